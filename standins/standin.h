#ifndef STANDIN_H
#define STANDIN_H

#include <event2/event.h>

#endif

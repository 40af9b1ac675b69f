#ifndef LB_TIME_H
#define LB_TIME_H

#include "lb-types.h"

#include <sys/time.h>

LbTime lb_time_earlier (LbTime a, LbTime b);
LbTime lb_time_later (LbTime a, LbTime b);
/* Converts a duration to the type that libevent's timers take. */
struct timeval lb_time_to_timeval (LbTime time);

#endif

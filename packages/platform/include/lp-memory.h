#ifndef LP_MEMORY_H
#define LP_MEMORY_H

#include "lp-store.h"

LpStore *lp_memory_store (LpPlatform *platform);

#endif

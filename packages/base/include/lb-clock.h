#ifndef LB_CLOCK_H
#define LB_CLOCK_H

#include "lb-types.h"

LbTime lb_clock_monotonic (void);
int64_t lb_clock_wall_ms (void);
/* Monotonic time that, unlike lb_clock_monotonic, includes time while the machine is suspended. */
LbTime lb_clock_boottime (void);

#endif

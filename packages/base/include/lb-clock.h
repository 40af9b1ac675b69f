#ifndef LB_CLOCK_H
#define LB_CLOCK_H

#include "lb-types.h"

LbTime lb_clock_monotonic (void);
int64_t lb_clock_wall_ms (void);
/* Like the monotonic clock, but also counts the time that the machine is suspended. */
LbTime lb_clock_boottime (void);

#endif

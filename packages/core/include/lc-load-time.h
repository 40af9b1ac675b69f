#ifndef LC_LOAD_TIME_H
#define LC_LOAD_TIME_H

#include "lb-error.h"

/* When an engine that loads weights is asked whether it has them. What engines state of themselves
 * is some 100 ms old, and how long loads take differs from site to site and with their number: it
 * is learned from the loads before. Asked late, the next engine's load begins late; asked often, it
 * costs questions. No I/O. */

typedef struct
{
  LbTime mean; /* from an order to the answer that showed the load's end; 0: none was seen */
} LcLoadTime;

/* commands */
/* The end of a load that was ordered so long ago has shown. */
void lc_load_time_add_sample (LcLoadTime *load, LbTime time);

/* queries */
/* From the order to the first question. */
LbTime lc_load_time_first_poll_delay (const LcLoadTime *load);
/* From one question to the next. */
LbTime lc_load_time_poll_interval (const LcLoadTime *load);

#endif

#ifndef LC_LOAD_TIME_H
#define LC_LOAD_TIME_H

#include "lb-error.h"

/* Times to poll an engine that loads weights for the end of the load. Load reports are about 100 ms
 * old, and load times vary between sites and with the number of concurrent loads, so they are
 * learned from earlier loads. A late poll delays the load of the next engine; frequent polls cost
 * requests. No I/O. */

typedef struct
{
  LbTime mean; /* from an order to the poll that showed the end of the load; 0: none seen yet */
} LcLoadTime;

/* commands */
/* time: from an order to the poll that showed the end of the load. */
void lc_load_time_add_sample (LcLoadTime *load, LbTime time);

/* queries */
/* Time from the order to the first poll. */
LbTime lc_load_time_first_poll_delay (const LcLoadTime *load);
/* Time between further polls. */
LbTime lc_load_time_poll_interval (const LcLoadTime *load);

#endif

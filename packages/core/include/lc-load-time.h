#ifndef LC_LOAD_TIME_H
#define LC_LOAD_TIME_H

#include "lb-error.h"

/* Computes when to poll an engine for the end of a weight load. Load reports are about 100 ms old,
 * and load times vary between sites and with the number of concurrent loads, so the expected load
 * time is learned from earlier loads. A late poll delays the load of the next engine; frequent
 * polls cost requests. No I/O. */

typedef struct
{
  /* moving average of the time from a load order to the poll that detects the end of the load; 0:
   * no load has ended yet */
  LbTime mean;
} LcLoadTime;

/* Functions that change an LcLoadTime. */

/* Adds the time of one load: from the order to the poll that detected the end of the load. */
void lc_load_time_add_sample (LcLoadTime *load, LbTime time);

/* Functions that only read an LcLoadTime. */

/* Returns the time from a load order to the first poll of the engine. */
LbTime lc_load_time_first_poll_delay (const LcLoadTime *load);
/* Returns the time from one poll of an engine to the next. */
LbTime lc_load_time_poll_interval (const LcLoadTime *load);

#endif

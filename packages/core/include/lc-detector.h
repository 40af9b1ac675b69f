#ifndef LC_DETECTOR_H
#define LC_DETECTOR_H

#include "lc-types.h"

/* Failure detector of one connection: derives the timeout from the gaps seen between arrivals. */
typedef struct
{
  LbTime last_arrival;
  double mean_gap_us;      /* moving average of the gaps between arrivals */
  double gap_deviation_us; /* moving average of the absolute deviation from mean_gap_us */
  LbTime min_timeout;      /* bounds of the timeout that is derived from the gaps */
  LbTime max_timeout;
} LcDetector;

void lc_detector_init (LcDetector *detector, LbTime period, LbTime now);

/* Functions that change an LcDetector. */

void lc_detector_record_arrival (LcDetector *detector, LbTime now);
void lc_detector_discount_pause (LcDetector *detector, LbTime pause, LbTime now);

/* Functions that only read an LcDetector. */

LbTime lc_detector_deadline (const LcDetector *detector);
bool lc_detector_has_timed_out (const LcDetector *detector, LbTime now);

#endif

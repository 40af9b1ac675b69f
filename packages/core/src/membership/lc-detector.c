#include "lc-detector.h"

#include <math.h>

/* The timeout lies between two and three heartbeat periods: below two, one late heartbeat would be
 * enough to time out; above three, callers would still be given the address of an instance that
 * died three seconds ago. */
#define MIN_TIMEOUT_PERIODS 2
#define MAX_TIMEOUT_PERIODS 3
#define TIMEOUT_DEVIATIONS 4.0
#define SMOOTHING_FACTOR 0.125

/* period: time between two heartbeats that the peer is expected to answer. */
void
lc_detector_init (LcDetector *detector, LbTime period, LbTime now)
{
  detector->last_arrival = now;
  detector->mean_gap_us = (double)period;
  detector->gap_deviation_us = (double)period / TIMEOUT_DEVIATIONS;
  detector->min_timeout = MIN_TIMEOUT_PERIODS * period;
  detector->max_timeout = MAX_TIMEOUT_PERIODS * period;
}

/* Records an arrival; any byte from the peer counts. Gaps below half a period come from bursts of
 * other frames and are left out of the average: with them, the timeout would be too short for the
 * heartbeats. */
void
lc_detector_record_arrival (LcDetector *detector, LbTime now)
{
  double gap = (double)(now - detector->last_arrival);
  double period = (double)detector->min_timeout / MIN_TIMEOUT_PERIODS;

  detector->last_arrival = now;
  if (gap < period / 2)
    return;
  double difference = gap - detector->mean_gap_us;
  detector->mean_gap_us += SMOOTHING_FACTOR * difference;
  detector->gap_deviation_us += SMOOTHING_FACTOR * (fabs (difference) - detector->gap_deviation_us);
}

/* Shifts the last arrival by a pause of this process, which is not silence of the peer. */
void
lc_detector_discount_pause (LcDetector *detector, LbTime pause, LbTime now)
{
  detector->last_arrival += pause;
  if (detector->last_arrival > now)
    detector->last_arrival = now;
}

LbTime
lc_detector_deadline (const LcDetector *detector)
{
  LbTime timeout
      = (LbTime)(detector->mean_gap_us + TIMEOUT_DEVIATIONS * detector->gap_deviation_us);

  if (timeout < detector->min_timeout)
    timeout = detector->min_timeout;
  if (timeout > detector->max_timeout)
    timeout = detector->max_timeout;
  return detector->last_arrival + timeout;
}

bool
lc_detector_has_timed_out (const LcDetector *detector, LbTime now)
{
  return now >= lc_detector_deadline (detector);
}

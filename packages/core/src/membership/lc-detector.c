#include "lc-detector.h"

#include <math.h>

/* The silence that condemns lies between two and three periods: below two, one late heartbeat would
 * be enough; above three, the instance would still be named after the three seconds promised. */
#define FLOOR_PERIODS 2
#define CEILING_PERIODS 3
#define DEVIATIONS 4.0
#define WEIGHT_OF_NEW 0.125

/* period: the time between heartbeats that the other end was asked for. */
void
lc_detector_init (LcDetector *detector, LbTime period, LbTime now)
{
  detector->last_arrival = now;
  detector->mean_gap_us = (double)period;
  detector->gap_deviation_us = (double)period / DEVIATIONS;
  detector->min_timeout = FLOOR_PERIODS * period;
  detector->max_timeout = CEILING_PERIODS * period;
}

/* Any byte of the other end counts. Gaps well below a period come from bursts of other frames; they
 * would make the history look tighter than the heartbeat is, so they are left out of it. */
void
lc_detector_record_arrival (LcDetector *detector, LbTime now)
{
  double gap = (double)(now - detector->last_arrival);
  double period = (double)detector->min_timeout / FLOOR_PERIODS;

  detector->last_arrival = now;
  if (gap < period / 2)
    return;
  double difference = gap - detector->mean_gap_us;
  detector->mean_gap_us += WEIGHT_OF_NEW * difference;
  detector->gap_deviation_us += WEIGHT_OF_NEW * (fabs (difference) - detector->gap_deviation_us);
}

/* The time that this process itself was paused is no silence of the other end. */
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
  LbTime limit = (LbTime)(detector->mean_gap_us + DEVIATIONS * detector->gap_deviation_us);

  if (limit < detector->min_timeout)
    limit = detector->min_timeout;
  if (limit > detector->max_timeout)
    limit = detector->max_timeout;
  return detector->last_arrival + limit;
}

bool
lc_detector_has_timed_out (const LcDetector *detector, LbTime now)
{
  return now >= lc_detector_deadline (detector);
}

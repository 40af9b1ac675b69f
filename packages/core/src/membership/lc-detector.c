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
  detector->heard = now;
  detector->mean = (double)period;
  detector->deviation = (double)period / DEVIATIONS;
  detector->floor = FLOOR_PERIODS * period;
  detector->ceiling = CEILING_PERIODS * period;
}

/* Any byte of the other end counts. Gaps well below a period come from bursts of other frames; they
 * would make the history look tighter than the heartbeat is, so they are left out of it. */
void
lc_detector_heard (LcDetector *detector, LbTime now)
{
  double gap = (double)(now - detector->heard);
  double period = (double)detector->floor / FLOOR_PERIODS;

  detector->heard = now;
  if (gap < period / 2)
    return;
  double difference = gap - detector->mean;
  detector->mean += WEIGHT_OF_NEW * difference;
  detector->deviation += WEIGHT_OF_NEW * (fabs (difference) - detector->deviation);
}

/* The time that this process itself was paused is no silence of the other end. */
void
lc_detector_forgive (LcDetector *detector, LbTime pause, LbTime now)
{
  detector->heard += pause;
  if (detector->heard > now)
    detector->heard = now;
}

LbTime
lc_detector_silent_at (const LcDetector *detector)
{
  LbTime limit = (LbTime)(detector->mean + DEVIATIONS * detector->deviation);

  if (limit < detector->floor)
    limit = detector->floor;
  if (limit > detector->ceiling)
    limit = detector->ceiling;
  return detector->heard + limit;
}

bool
lc_detector_is_silent (const LcDetector *detector, LbTime now)
{
  return now >= lc_detector_silent_at (detector);
}

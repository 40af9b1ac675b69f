#ifndef LC_DETECTOR_H
#define LC_DETECTOR_H

#include "lc-types.h"

/* Judges the silence of one connection by the gaps seen on it before. */
typedef struct
{
  LbTime heard;
  double mean; /* of the gaps between signs of life, microseconds */
  double deviation;
  LbTime floor; /* never silent before this */
  LbTime ceiling;
} LcDetector;

void lc_detector_init (LcDetector *detector, LbTime period, LbTime now);

/* commands */
void lc_detector_heard (LcDetector *detector, LbTime now);
void lc_detector_forgive (LcDetector *detector, LbTime pause, LbTime now);

/* queries */
LbTime lc_detector_silent_at (const LcDetector *detector);
bool lc_detector_is_silent (const LcDetector *detector, LbTime now);

#endif

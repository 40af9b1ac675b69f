#ifndef LC_STREAM_PACE_H
#define LC_STREAM_PACE_H

#include "lb-types.h"

/* How fast tokens come lately: over the last second or so of streaming, so that an engine that
 * turns slow shows while its long texts still run. */
typedef struct
{
  double seconds; /* of streaming, older ones count less */
  double tokens;  /* that came in them */
} LcStreamPace;

/* What one stream brought since its last piece. */
void lc_stream_pace_add (LcStreamPace *pace, int64_t tokens, LbTime interval);
/* 0: not known yet. */
double lc_stream_pace_token_seconds (const LcStreamPace *pace);

#endif

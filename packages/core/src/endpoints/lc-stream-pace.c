#include "lc-stream-pace.h"

#include <math.h>

/* Time constant of the decay, in seconds of streaming. A single stream shows a change of pace
 * within about half of it, six concurrent streams within a tenth of a second. A shorter window
 * follows the noise of single chunks. */
#define WINDOW_SECONDS 1.0
/* A shorter time is mostly noise: it holds about five chunks of an engine that sends twenty per
 * second. */
#define MIN_SECONDS 0.2

/* Seconds and tokens decay alike, so chunks that are read late in one go compensate for the long
 * interval before them: a paused reader does not make its engine look slow. */
void
lc_stream_pace_add_tokens (LcStreamPace *pace, int64_t tokens, LbTime interval)
{
  double seconds = (double)interval / LB_SEC;
  double decay = exp (-seconds / WINDOW_SECONDS);

  pace->seconds = pace->seconds * decay + seconds;
  pace->tokens = pace->tokens * decay + (double)tokens;
}

double
lc_stream_pace_token_seconds (const LcStreamPace *pace)
{
  if (pace->seconds < MIN_SECONDS)
    return 0;
  /* Without chunks the tokens decay to 0; at least one token limits the result to the time seen. */
  return pace->seconds / fmax (pace->tokens, 1);
}

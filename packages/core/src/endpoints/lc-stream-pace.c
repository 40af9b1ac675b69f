#include "lc-stream-pace.h"

#include <math.h>

/* Time constant of the decay, in seconds of streaming. A single stream shows a change of pace
 * within about half of this time, six concurrent streams within a tenth of a second. A shorter time
 * constant follows the noise of single chunks. */
#define DECAY_TIME_CONSTANT_SECONDS 1.0
/* The pace over a shorter streaming time is mostly noise: an engine that sends twenty chunks per
 * second sends about five in this time. */
#define MIN_STREAMING_SECONDS 0.2

/* Seconds and tokens decay at the same rate, so chunks that are read late and all at once
 * compensate for the long interval before them: a pause of this process does not make an engine
 * look slow. */
void
lc_stream_pace_add_tokens (LcStreamPace *pace, int64_t tokens, LbTime interval)
{
  double seconds = (double)interval / LB_SEC;
  double decay = exp (-seconds / DECAY_TIME_CONSTANT_SECONDS);

  pace->seconds = pace->seconds * decay + seconds;
  pace->tokens = pace->tokens * decay + (double)tokens;
}

double
lc_stream_pace_token_seconds (const LcStreamPace *pace)
{
  if (pace->seconds < MIN_STREAMING_SECONDS)
    return 0;
  /* Without chunks the tokens decay to 0. The minimum of one token limits the result to the
   * streaming time. */
  return pace->seconds / fmax (pace->tokens, 1);
}

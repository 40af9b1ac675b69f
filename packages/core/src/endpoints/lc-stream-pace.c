#include "lc-stream-pace.h"

#include <math.h>

/* Of streaming: a single stream shows a change of pace within about half of it, six streams beside
 * each other within a tenth of a second. Shorter ones follow the noise of single pieces. */
#define WINDOW_SECONDS 1.0
/* Less of it is mostly noise: about five pieces of an engine that sends twenty a second. */
#define SECONDS_ENOUGH 0.2

/* Seconds and tokens fade alike, so pieces that were read late, all at once, make up for the long
 * interval before them: a reader that was paused does not make its engine look slow. */
void
lc_stream_pace_add (LcStreamPace *pace, int64_t tokens, LbTime interval)
{
  double seconds = (double)interval / LB_SEC;
  double kept = exp (-seconds / WINDOW_SECONDS);

  pace->seconds = pace->seconds * kept + seconds;
  pace->tokens = pace->tokens * kept + (double)tokens;
}

double
lc_stream_pace_token_seconds (const LcStreamPace *pace)
{
  if (pace->seconds < SECONDS_ENOUGH)
    return 0;
  /* In a silence the tokens fade to none; the pace is then at least one for all its time. */
  return pace->seconds / fmax (pace->tokens, 1);
}

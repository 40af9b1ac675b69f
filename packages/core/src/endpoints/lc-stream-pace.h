#ifndef LC_STREAM_PACE_H
#define LC_STREAM_PACE_H

#include "lb-types.h"

/* Recent token rate of streams, averaged over about the last second of streaming, to detect an
 * engine that becomes slow while its long generations are still running. */
typedef struct
{
  double seconds; /* time spent streaming, with exponential decay */
  double tokens;  /* tokens received, with the same decay as seconds */
} LcStreamPace;

/* Adds the tokens, possibly 0, that one stream received in the interval since its previous
 * chunk. */
void lc_stream_pace_add_tokens (LcStreamPace *pace, int64_t tokens, LbTime interval);
/* Mean seconds per token; 0: not enough data. */
double lc_stream_pace_token_seconds (const LcStreamPace *pace);

#endif

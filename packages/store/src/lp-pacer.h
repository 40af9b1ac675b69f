#ifndef LP_PACER_H
#define LP_PACER_H

#include "lb-types.h"

/* Token bucket that limits calls per second. The bucket holds at most the tokens of 0.25 s. */
typedef struct
{
  double rate;     /* calls per second; 0: no limit */
  double capacity; /* largest number of tokens in the bucket */
  double tokens;   /* number of tokens in the bucket at updated_at; each call takes one */
  LbTime updated_at;
} LpPacer;

void lp_pacer_init (LpPacer *pacer, double rate, LbTime now);
/* Takes one token for a call; false: none is left. */
bool lp_pacer_take_token (LpPacer *pacer, LbTime now);

/* Time until the bucket has a token for the next call; 0: it has one now. */
LbTime lp_pacer_get_time_until_next_call (const LpPacer *pacer, LbTime now);

#endif

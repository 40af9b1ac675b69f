#ifndef LP_PACER_H
#define LP_PACER_H

#include "lb-types.h"

/* Token bucket: limits the calls per second, with bursts of up to a quarter of a second's calls. */
typedef struct
{
  double rate;   /* calls per second; 0: no limit */
  double burst;  /* largest number of tokens */
  double tokens; /* calls that could be sent at updated_at */
  LbTime updated_at;
} LpPacer;

void lp_pacer_init (LpPacer *pacer, double rate, LbTime now);
bool lp_pacer_take_token (LpPacer *pacer, LbTime now);

/* Time until the next call may be sent; 0: now. */
LbTime lp_pacer_time_until_next_call (const LpPacer *pacer, LbTime now);

#endif

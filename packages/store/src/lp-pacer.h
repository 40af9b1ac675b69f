#ifndef LP_PACER_H
#define LP_PACER_H

#include "lb-types.h"

/* A token bucket: so many calls a second, with a quarter of a second's worth at once. */
typedef struct
{
  double rate;
  double burst;
  double tokens;
  LbTime at;
} LpPacer;

void lp_pacer_init (LpPacer *pacer, double rate, LbTime now);
bool lp_pacer_take (LpPacer *pacer, LbTime now);

/* How long until the next call may go; 0 when it may go now. */
LbTime lp_pacer_wait (const LpPacer *pacer, LbTime now);

#endif

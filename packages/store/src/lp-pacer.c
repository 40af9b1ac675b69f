#include "lp-pacer.h"

#define BURST_SECONDS 0.25

void
lp_pacer_init (LpPacer *pacer, double rate, LbTime now)
{
  double burst = rate * BURST_SECONDS;

  pacer->rate = rate;
  pacer->burst = burst > 1 ? burst : 1;
  pacer->tokens = pacer->burst;
  pacer->updated_at = now;
}

static double
count_tokens_at (const LpPacer *pacer, LbTime now)
{
  double tokens = pacer->tokens + (double)(now - pacer->updated_at) / (double)LB_SEC * pacer->rate;

  return tokens < pacer->burst ? tokens : pacer->burst;
}

bool
lp_pacer_take_token (LpPacer *pacer, LbTime now)
{
  if (pacer->rate <= 0)
    return true;
  pacer->tokens = count_tokens_at (pacer, now);
  pacer->updated_at = now;
  if (pacer->tokens < 1)
    return false;
  pacer->tokens -= 1;
  return true;
}

LbTime
lp_pacer_time_until_next_call (const LpPacer *pacer, LbTime now)
{
  double missing;

  if (pacer->rate <= 0)
    return 0;
  missing = 1 - count_tokens_at (pacer, now);
  /* Plus one microsecond, so that rounding down never schedules a call too early. */
  return missing > 0 ? (LbTime)(missing / pacer->rate * (double)LB_SEC) + 1 : 0;
}

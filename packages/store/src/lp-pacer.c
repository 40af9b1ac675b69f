#include "lp-pacer.h"

#define BURST_SECONDS 0.25

void
lp_pacer_init (LpPacer *pacer, double rate, LbTime now)
{
  double capacity = rate * BURST_SECONDS;

  pacer->rate = rate;
  pacer->capacity = capacity > 1 ? capacity : 1;
  pacer->tokens = pacer->capacity;
  pacer->updated_at = now;
}

/* Number of tokens in the bucket at time now, without changing the bucket. */
static double
compute_token_count_at_time (const LpPacer *pacer, LbTime now)
{
  double tokens = pacer->tokens + (double)(now - pacer->updated_at) / (double)LB_SEC * pacer->rate;

  return tokens < pacer->capacity ? tokens : pacer->capacity;
}

bool
lp_pacer_take_token (LpPacer *pacer, LbTime now)
{
  if (pacer->rate <= 0)
    return true;
  pacer->tokens = compute_token_count_at_time (pacer, now);
  pacer->updated_at = now;
  if (pacer->tokens < 1)
    return false;
  pacer->tokens -= 1;
  return true;
}

LbTime
lp_pacer_get_time_until_next_call (const LpPacer *pacer, LbTime now)
{
  double missing;

  if (pacer->rate <= 0)
    return 0;
  missing = 1 - compute_token_count_at_time (pacer, now);
  /* Adds a microsecond because the conversion rounds down; otherwise the call would be sent too
   * early. */
  return missing > 0 ? (LbTime)(missing / pacer->rate * (double)LB_SEC) + 1 : 0;
}

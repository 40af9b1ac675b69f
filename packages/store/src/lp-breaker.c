#include "lp-breaker.h"

#include <string.h>

#define CONSECUTIVE_FAILURES_TO_OPEN 5
#define FIRST_BREAKER_OPEN_DURATION (200 * LB_MSEC)
#define MAX_BREAKER_OPEN_DURATION (2 * LB_SEC)

void
lp_breaker_init (LpBreaker *breaker)
{
  memset (breaker, 0, sizeof *breaker);
}

/* Returns whether a call may be sent now. The outcome of each allowed call must be recorded. */
bool
lp_breaker_allow_call (LpBreaker *breaker, LbTime now)
{
  if (!lp_breaker_is_open (breaker))
    return true;
  if (breaker->is_probing || now < breaker->open_until)
    return false;
  breaker->is_probing = true;
  return true;
}

void
lp_breaker_record_success (LpBreaker *breaker)
{
  lp_breaker_init (breaker);
}

/* Returns true if this failure opened the breaker. jitter: random number from 0 to 1. It spreads
 * the probes of many instances, which would otherwise all reach a recovering store at the same
 * time. */
bool
lp_breaker_record_failure (LpBreaker *breaker, double jitter, LbTime now)
{
  breaker->failures++;
  if (lp_breaker_is_open (breaker) && !breaker->is_probing)
    return false;
  if (breaker->failures < CONSECUTIVE_FAILURES_TO_OPEN && !breaker->is_probing)
    return false;
  LbTime duration
      = breaker->open_duration > 0 ? breaker->open_duration * 2 : FIRST_BREAKER_OPEN_DURATION;
  breaker->open_duration
      = duration < MAX_BREAKER_OPEN_DURATION ? duration : MAX_BREAKER_OPEN_DURATION;
  breaker->open_until
      = now + breaker->open_duration / 2 + (LbTime)(jitter * (double)breaker->open_duration / 2);
  breaker->is_probing = false;
  return true;
}

bool
lp_breaker_is_open (const LpBreaker *breaker)
{
  return breaker->open_duration > 0;
}

#include "lp-breaker.h"

#include <string.h>

#define FAILURES_TO_OPEN 5
#define FIRST_OPEN (200 * LB_MSEC)
#define MAX_OPEN (2 * LB_SEC)

void
lp_breaker_init (LpBreaker *breaker)
{
  memset (breaker, 0, sizeof *breaker);
}

/* True when a call may be sent now. Each call allowed must be followed by succeeded or failed. */
bool
lp_breaker_allow (LpBreaker *breaker, LbTime now)
{
  if (!lp_breaker_is_open (breaker))
    return true;
  if (breaker->probing || now < breaker->open_until)
    return false;
  breaker->probing = true;
  return true;
}

void
lp_breaker_succeeded (LpBreaker *breaker)
{
  lp_breaker_init (breaker);
}

/* True when this failure opened it. jitter in 0..1 spreads the probes of many instances: without
 * it all would try a returning store at the same moment. */
bool
lp_breaker_failed (LpBreaker *breaker, double jitter, LbTime now)
{
  breaker->failures++;
  if (lp_breaker_is_open (breaker) && !breaker->probing)
    return false;
  if (breaker->failures < FAILURES_TO_OPEN && !breaker->probing)
    return false;
  LbTime longer = breaker->open_for > 0 ? breaker->open_for * 2 : FIRST_OPEN;
  breaker->open_for = longer < MAX_OPEN ? longer : MAX_OPEN;
  breaker->open_until
      = now + breaker->open_for / 2 + (LbTime)(jitter * (double)breaker->open_for / 2);
  breaker->probing = false;
  return true;
}

bool
lp_breaker_is_open (const LpBreaker *breaker)
{
  return breaker->open_for > 0;
}

#include "lc-breaker.h"

#define FAILURES_TO_OPEN 5
#define FIRST_WAIT LB_SEC
#define LONGEST_WAIT (30 * LB_SEC)
#define TRIALS_TO_CLOSE 32

static void
open_breaker (LcBreaker *breaker, LbTime now)
{
  LbTime wait = FIRST_WAIT;

  for (int64_t i = 0; i < breaker->openings && wait < LONGEST_WAIT; i++)
    wait *= 2;
  breaker->state = LC_BREAKER_OPEN;
  breaker->until = now + (wait < LONGEST_WAIT ? wait : LONGEST_WAIT);
  breaker->openings++;
  breaker->trials = 0;
}

void
lc_breaker_failed (LcBreaker *breaker, LbTime now)
{
  breaker->consecutive_failures++;
  if (breaker->state == LC_BREAKER_OPEN && now < breaker->until)
    return;
  if (breaker->state != LC_BREAKER_CLOSED || breaker->consecutive_failures >= FAILURES_TO_OPEN)
    open_breaker (breaker, now);
}

/* Each good answer doubles what may be tried at once. All instances see an endpoint come back at
 * the same moment; full load at once would knock it over again. */
void
lc_breaker_succeeded (LcBreaker *breaker, LbTime now)
{
  breaker->consecutive_failures = 0;
  if (breaker->state == LC_BREAKER_CLOSED)
    return;
  if (breaker->state == LC_BREAKER_OPEN && now < breaker->until)
    return;
  breaker->state = LC_BREAKER_HALF_OPEN;
  breaker->trials = breaker->trials > 0 ? breaker->trials * 2 : 2;
  if (breaker->trials < TRIALS_TO_CLOSE)
    return;
  breaker->state = LC_BREAKER_CLOSED;
  breaker->openings = 0;
}

int64_t
lc_breaker_allowance (const LcBreaker *breaker, LbTime now)
{
  if (breaker->state == LC_BREAKER_CLOSED)
    return INT64_MAX;
  if (breaker->state == LC_BREAKER_OPEN && now < breaker->until)
    return 0;
  return breaker->trials > 0 ? breaker->trials : 1;
}

#include "lc-breaker.h"

#include "lb-switch.h"

#define FAILURES_TO_OPEN 5
#define RATIO_TO_OPEN 0.5
#define RATIO_WEIGHT 0.1
#define RESULTS_FOR_RATIO 10
#define FIRST_WAIT LB_SEC
#define MAX_WAIT (5 * LB_SEC)
#define TRIALS_TO_CLOSE 32

static void
open_breaker (LcBreaker *breaker, LbTime now)
{
  LbTime wait = FIRST_WAIT;

  for (int64_t i = 0; i < breaker->openings && wait < MAX_WAIT; i++)
    wait *= 2;
  breaker->state = LC_BREAKER_OPEN;
  breaker->until = now + (wait < MAX_WAIT ? wait : MAX_WAIT);
  breaker->openings++;
  breaker->trials = 0;
}

static void
close_breaker (LcBreaker *breaker)
{
  breaker->state = LC_BREAKER_CLOSED;
  breaker->openings = 0;
  breaker->failure_ratio = 0;
  breaker->results = 0;
}

static void
count_result (LcBreaker *breaker, bool failed)
{
  breaker->results++;
  breaker->failure_ratio += RATIO_WEIGHT * ((failed ? 1 : 0) - breaker->failure_ratio);
  breaker->consecutive_failures = failed ? breaker->consecutive_failures + 1 : 0;
}

/* An endpoint that fails every other request never fails five times in a row: the ratio finds it.
 */
static bool
is_bad (const LcBreaker *breaker)
{
  return breaker->consecutive_failures >= FAILURES_TO_OPEN
         || (breaker->results >= RESULTS_FOR_RATIO && breaker->failure_ratio > RATIO_TO_OPEN);
}

void
lc_breaker_request_sent (LcBreaker *breaker, LbTime now)
{
  if (breaker->state != LC_BREAKER_OPEN || now < breaker->until)
    return;
  breaker->state = LC_BREAKER_HALF_OPEN;
  breaker->trials = 1;
}

/* Results of requests sent before the endpoint was tried again say nothing of how it is now: those
 * that hung through an outage fail late and would open the breaker again and again. */
static bool
is_outdated (const LcBreaker *breaker, LbTime sent_at)
{
  return breaker->state != LC_BREAKER_CLOSED && sent_at < breaker->until;
}

void
lc_breaker_request_failed (LcBreaker *breaker, LbTime sent_at, LbTime now)
{
  if (is_outdated (breaker, sent_at) || !lb_switch_is_on (LB_SWITCH_BREAKERS))
    return;
  count_result (breaker, true);
  if (breaker->state == LC_BREAKER_HALF_OPEN || is_bad (breaker))
    open_breaker (breaker, now);
}

/* Each good answer of a trial lets one more go at once. All instances see an endpoint come back in
 * the same second: when each gives it a full share at once it fails again, and the breakers open
 * and close in step. */
void
lc_breaker_request_succeeded (LcBreaker *breaker, LbTime sent_at)
{
  if (is_outdated (breaker, sent_at))
    return;
  count_result (breaker, false);
  if (breaker->state != LC_BREAKER_HALF_OPEN)
    return;
  breaker->trials++;
  if (breaker->trials >= TRIALS_TO_CLOSE)
    close_breaker (breaker);
}

int64_t
lc_breaker_max_in_flight (const LcBreaker *breaker, LbTime now)
{
  if (breaker->state == LC_BREAKER_CLOSED)
    return INT64_MAX;
  if (breaker->state == LC_BREAKER_OPEN)
    return now < breaker->until ? 0 : 1;
  return breaker->trials;
}

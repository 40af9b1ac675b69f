#include "lc-breaker.h"

#include "lb-switch.h"

#define CONSECUTIVE_FAILURES_TO_OPEN 5
#define FAILURE_RATIO_TO_OPEN 0.5
#define FAILURE_RATIO_WEIGHT 0.1
#define MIN_RESULTS_FOR_RATIO 10
#define MIN_OPEN_TIME LB_SEC
#define MAX_OPEN_TIME (5 * LB_SEC)
#define TRIALS_TO_CLOSE 32

static void
open_breaker (LcBreaker *breaker, LbTime now)
{
  LbTime open_time = MIN_OPEN_TIME;

  for (int64_t i = 0; i < breaker->consecutive_openings && open_time < MAX_OPEN_TIME; i++)
    open_time *= 2;
  breaker->state = LC_BREAKER_OPEN;
  breaker->open_until = now + (open_time < MAX_OPEN_TIME ? open_time : MAX_OPEN_TIME);
  breaker->consecutive_openings++;
  breaker->max_trials = 0;
  breaker->n_trials = 0;
}

static void
close_breaker (LcBreaker *breaker)
{
  breaker->state = LC_BREAKER_CLOSED;
  breaker->n_trials = 0;
  breaker->consecutive_openings = 0;
  breaker->failure_ratio = 0;
  breaker->n_results = 0;
}

static void
record_request_result (LcBreaker *breaker, bool failed)
{
  breaker->n_results++;
  breaker->failure_ratio += FAILURE_RATIO_WEIGHT * ((failed ? 1 : 0) - breaker->failure_ratio);
  breaker->consecutive_failures = failed ? breaker->consecutive_failures + 1 : 0;
}

/* Whether the breaker must open because of failures. The failure ratio detects an endpoint that
 * fails many requests, but never CONSECUTIVE_FAILURES_TO_OPEN in a row. */
static bool
has_too_many_failures (const LcBreaker *breaker)
{
  return breaker->consecutive_failures >= CONSECUTIVE_FAILURES_TO_OPEN
         || (breaker->n_results >= MIN_RESULTS_FOR_RATIO
             && breaker->failure_ratio > FAILURE_RATIO_TO_OPEN);
}

void
lc_breaker_request_sent (LcBreaker *breaker, LbTime now)
{
  if (breaker->state == LC_BREAKER_OPEN && now >= breaker->open_until)
    {
      breaker->state = LC_BREAKER_HALF_OPEN;
      breaker->max_trials = 1;
    }
  breaker->n_trials += breaker->state == LC_BREAKER_HALF_OPEN;
}

/* Results of requests sent before the first trial are ignored: requests that hung during an outage
 * time out late and would reopen the breaker although the endpoint has recovered. */
static bool
was_sent_before_first_trial (const LcBreaker *breaker, LbTime sent_at)
{
  return breaker->state != LC_BREAKER_CLOSED && sent_at < breaker->open_until;
}

void
lc_breaker_request_ended (LcBreaker *breaker, LbTime sent_at)
{
  if (breaker->n_trials > 0 && !was_sent_before_first_trial (breaker, sent_at))
    breaker->n_trials--;
}

void
lc_breaker_request_failed (LcBreaker *breaker, LbTime sent_at, LbTime now)
{
  if (was_sent_before_first_trial (breaker, sent_at) || !lb_switch_is_on (LB_SWITCH_BREAKERS))
    return;
  record_request_result (breaker, true);
  if (breaker->state == LC_BREAKER_HALF_OPEN || has_too_many_failures (breaker))
    open_breaker (breaker, now);
}

/* While half open, each success raises the concurrency by one. All instances see an endpoint
 * recover in the same second: if each instance sent its full share at once, the endpoint would
 * fail again, and the breakers of all instances would open and close at the same time. */
void
lc_breaker_request_succeeded (LcBreaker *breaker, LbTime sent_at)
{
  if (was_sent_before_first_trial (breaker, sent_at))
    return;
  record_request_result (breaker, false);
  if (breaker->state != LC_BREAKER_HALF_OPEN)
    return;
  breaker->max_trials++;
  if (breaker->max_trials >= TRIALS_TO_CLOSE)
    close_breaker (breaker);
}

int64_t
lc_breaker_max_in_flight (const LcBreaker *breaker, LbTime now)
{
  if (breaker->state == LC_BREAKER_CLOSED)
    return INT64_MAX;
  if (breaker->state == LC_BREAKER_OPEN)
    return now < breaker->open_until ? 0 : 1;
  return breaker->max_trials;
}

bool
lc_breaker_allows_request (const LcBreaker *breaker, LbTime now)
{
  return breaker->n_trials < lc_breaker_max_in_flight (breaker, now);
}

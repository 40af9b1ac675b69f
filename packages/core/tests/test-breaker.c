#include "endpoints-fixture.h"

#include "lc-breaker.h"

static void
record_request_failures (LcBreaker *breaker, int n, LbTime now)
{
  for (int i = 0; i < n; i++)
    lc_breaker_request_failed (breaker, now, now);
}

/* An engine fails for ten seconds and recovers. All instances notice the recovery at the same time;
 * if each sent its full share of requests at once, they would overload the engine again. */
Test (breaker, half_open_breaker_allows_one_more_request_per_success)
{
  LcBreaker breaker = { 0 };
  LbTime now = LB_SEC;

  record_request_failures (&breaker, 5, now);
  cr_assert_eq (lc_breaker_max_in_flight (&breaker, now), 0);
  now = breaker.open_until;
  cr_assert_eq (lc_breaker_max_in_flight (&breaker, now), 1);
  lc_breaker_request_sent (&breaker, now);
  for (int64_t expected = 2; expected < 32; expected++)
    {
      lc_breaker_request_succeeded (&breaker, now);
      cr_assert_eq (lc_breaker_max_in_flight (&breaker, now), expected);
    }
  lc_breaker_request_succeeded (&breaker, now);
  cr_assert_eq (breaker.state, LC_BREAKER_CLOSED);
}

/* A half-open breaker lets a trial request through to the engine. With each trial request that
 * fails, the time until the next one must grow. */
Test (breaker, open_time_grows_with_each_failed_trial)
{
  LcBreaker breaker = { 0 };
  LbTime now = LB_SEC;
  LbTime last_open_time = 0;

  record_request_failures (&breaker, 5, now);
  for (int i = 0; i < 4; i++)
    {
      cr_assert_gt (breaker.open_until - now, last_open_time);
      last_open_time = breaker.open_until - now;
      now = breaker.open_until;
      lc_breaker_request_sent (&breaker, now);
      lc_breaker_request_failed (&breaker, now, now);
      cr_assert_eq (lc_breaker_max_in_flight (&breaker, now), 0);
    }
}

/* An engine did not respond for ten seconds and has recovered. Requests that hung during the outage
 * reach their deadlines one after the other; if each late failure reopened the breaker, the engine
 * would stay idle until the longest deadline. */
Test (breaker, late_failures_of_earlier_requests_do_not_reopen_the_breaker)
{
  LcBreaker breaker = { 0 };
  LbTime now = LB_SEC;

  record_request_failures (&breaker, 5, now);

  LbTime first_trial_at = breaker.open_until;

  lc_breaker_request_sent (&breaker, first_trial_at);
  lc_breaker_request_succeeded (&breaker, first_trial_at);
  lc_breaker_request_failed (&breaker, now - 1, first_trial_at + 1);
  cr_assert_eq (breaker.state, LC_BREAKER_HALF_OPEN);
  cr_assert_eq (lc_breaker_max_in_flight (&breaker, first_trial_at + 1), 2);
}

/* An engine fails two of three requests, but never five in a row. The failure ratio must open the
 * breaker. */
Test (breaker, opens_for_a_high_failure_ratio_without_five_in_a_row)
{
  LcBreaker breaker = { 0 };

  for (int i = 0; i < 30 && breaker.state == LC_BREAKER_CLOSED; i++)
    if (i % 3 == 0)
      lc_breaker_request_succeeded (&breaker, i);
    else
      lc_breaker_request_failed (&breaker, i, i);
  cr_assert_eq (breaker.state, LC_BREAKER_OPEN);
}

Test (breaker, new_incarnation_starts_with_a_closed_breaker)
{
  Fixture f;

  fixture_init (&f, 1);
  fixture_record_load_report (&f, "e0", "a", 1, 1);

  LcEndpoint *endpoint = fixture_find_endpoint (&f, "e0");

  for (int i = 0; i < 5; i++)
    {
      lc_endpoint_request_sent (endpoint, LC_KIND_LIVE, 0, 2);
      lc_endpoint_request_ended (endpoint, LC_KIND_LIVE, false, 0, 1, 3);
    }
  cr_assert_eq (endpoint->breaker, LC_BREAKER_OPEN);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", 4));
  fixture_record_load_report (&f, "e0", "b", 1, 10);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", 11));
  fixture_clear (&f);
}

static void
send_requests (LcEndpoint *endpoint, int n, LbTime now)
{
  for (int i = 0; i < n; i++)
    lc_endpoint_request_sent (endpoint, LC_KIND_LIVE, 0, now);
}

/* An endpoint was silent, and requests that were sent before its breaker opened still hang. They
 * must not count as trials: the first trial after the outage waited until all of them had reached
 * their deadlines. The end of a hanging request must not allow a further trial either. */
Test (breaker, hanging_requests_do_not_count_as_trials)
{
  Fixture f;

  fixture_init (&f, 1);
  LcEndpoint *endpoint = fixture_find_endpoint (&f, "e0");
  send_requests (endpoint, 7, LB_SEC);
  for (int i = 0; i < 5; i++)
    lc_endpoint_request_ended (endpoint, LC_KIND_LIVE, false, 0, LB_SEC, 2 * LB_SEC);
  cr_assert_eq (endpoint->breaker, LC_BREAKER_OPEN);
  LbTime trial_at = endpoint->breaker_open_until;
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", trial_at - 1));
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", trial_at));

  send_requests (endpoint, 1, trial_at);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", trial_at + 1));
  lc_endpoint_request_cancelled (endpoint, LC_KIND_LIVE, trial_at + 1 - LB_SEC, trial_at + 1);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", trial_at + 2));
  lc_endpoint_request_ended (endpoint, LC_KIND_LIVE, true, 1, 2, trial_at + 2);
  send_requests (endpoint, 2, trial_at + 3);
  cr_assert_not (fixture_can_endpoint_accept_live_call (&f, "e0", trial_at + 3));
  lc_endpoint_request_cancelled (endpoint, LC_KIND_LIVE, trial_at + 3, trial_at + 4);
  cr_assert (fixture_can_endpoint_accept_live_call (&f, "e0", trial_at + 4));
  fixture_clear (&f);
}

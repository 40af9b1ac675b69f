#include "endpoints-fixture.h"

#include "lc-breaker.h"

static void
fail_times (LcBreaker *breaker, int n, LbTime now)
{
  for (int i = 0; i < n; i++)
    lc_breaker_request_failed (breaker, now, now);
}

/* An engine dies for ten seconds and comes back. All instances see it at the same moment; a full
 * share from each at once would knock it over again. So first one request, then one more for each
 * good answer, until the limit no longer matters. */
Test (breaker, returns_a_little_at_a_time)
{
  LcBreaker breaker = { 0 };
  LbTime now = LB_SEC;

  fail_times (&breaker, 5, now);
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

/* An engine that fails each trial is asked less and less often. */
Test (breaker, waits_longer_after_each_failed_trial)
{
  LcBreaker breaker = { 0 };
  LbTime now = LB_SEC;
  LbTime last = 0;

  fail_times (&breaker, 5, now);
  for (int i = 0; i < 4; i++)
    {
      cr_assert_gt (breaker.open_until - now, last);
      last = breaker.open_until - now;
      now = breaker.open_until;
      lc_breaker_request_sent (&breaker, now);
      lc_breaker_request_failed (&breaker, now, now);
      cr_assert_eq (lc_breaker_max_in_flight (&breaker, now), 0);
    }
}

/* An engine was silent for ten seconds and serves again. Requests that hung through the silence
 * fail one after the other by their deadlines; each would open the breaker anew, and the engine
 * would stand idle for as long as the longest deadline. */
Test (breaker, failures_of_requests_from_before_do_not_open_it_again)
{
  LcBreaker breaker = { 0 };
  LbTime now = LB_SEC;

  fail_times (&breaker, 5, now);

  LbTime again = breaker.open_until;

  lc_breaker_request_sent (&breaker, again);
  lc_breaker_request_succeeded (&breaker, again);
  lc_breaker_request_failed (&breaker, now - 1, again + 1);
  cr_assert_eq (breaker.state, LC_BREAKER_HALF_OPEN);
  cr_assert_eq (lc_breaker_max_in_flight (&breaker, again + 1), 2);
}

/* An engine fails two of three requests, never five in a row. */
Test (breaker, opens_for_a_bad_share_without_five_in_a_row)
{
  LcBreaker breaker = { 0 };

  for (int i = 0; i < 30 && breaker.state == LC_BREAKER_CLOSED; i++)
    if (i % 3 == 0)
      lc_breaker_request_succeeded (&breaker, i);
    else
      lc_breaker_request_failed (&breaker, i, i);
  cr_assert_eq (breaker.state, LC_BREAKER_OPEN);
}

Test (breaker, a_new_process_begins_closed)
{
  Fixture f;

  fixture_init (&f, 1);
  fixture_report (&f, "e0", "a", 1, 1);

  LcEndpoint *endpoint = fixture_find (&f, "e0");

  for (int i = 0; i < 5; i++)
    {
      lc_endpoint_request_sent (endpoint, LC_KIND_LIVE, 0, 2);
      lc_endpoint_request_ended (endpoint, LC_KIND_LIVE, false, 0, 1, 3);
    }
  cr_assert_eq (endpoint->breaker, LC_BREAKER_OPEN);
  cr_assert_not (fixture_may_take (&f, "e0", 4));
  fixture_report (&f, "e0", "b", 1, 10);
  cr_assert (fixture_may_take (&f, "e0", 11));
  fixture_clear (&f);
}

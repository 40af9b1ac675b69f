#include "lp-breaker.h"
#include "lp-pacer.h"

#include <criterion/criterion.h>

static void
record_failures_until_breaker_opens (LpBreaker *breaker, LbTime now)
{
  while (!lp_breaker_record_failure (breaker, 1, now))
    cr_assert (lp_breaker_allow_call (breaker, now));
}

/* While the store hangs, each call would wait for its whole deadline and delay the daemon's status
 * page and leases. After a few consecutive failures calls must fail immediately, and a single probe
 * at a time must detect the store's recovery. */
Test (breaker, opens_after_failures_and_closes_after_a_successful_probe)
{
  LpBreaker breaker;
  LbTime now = LB_SEC;

  lp_breaker_init (&breaker);
  cr_assert (lp_breaker_allow_call (&breaker, now));
  record_failures_until_breaker_opens (&breaker, now);
  cr_assert_not (lp_breaker_allow_call (&breaker, now));
  now = breaker.open_until;
  cr_assert (lp_breaker_allow_call (&breaker, now));
  cr_assert_not (lp_breaker_allow_call (&breaker, now),
                 "a second probe was allowed while the first is pending");
  lp_breaker_record_success (&breaker);
  cr_assert (lp_breaker_allow_call (&breaker, now));
  cr_assert (lp_breaker_allow_call (&breaker, now));
}

Test (breaker, failed_probes_lengthen_the_open_duration_up_to_a_limit)
{
  LpBreaker breaker;
  LbTime now = LB_SEC;
  LbTime previous = 0;

  lp_breaker_init (&breaker);
  record_failures_until_breaker_opens (&breaker, now);
  for (int i = 0; i < 10; i++)
    {
      cr_assert_geq (breaker.open_duration, previous);
      previous = breaker.open_duration;
      now = breaker.open_until;
      cr_assert (lp_breaker_allow_call (&breaker, now));
      cr_assert (lp_breaker_record_failure (&breaker, 1, now));
    }
  cr_assert_leq (breaker.open_duration, 2 * LB_SEC);
}

/* Calls sent before the breaker opened may fail after it opened. They must not delay the probe. */
Test (breaker, late_failures_do_not_delay_the_probe)
{
  LpBreaker breaker;
  LbTime now = LB_SEC;

  lp_breaker_init (&breaker);
  record_failures_until_breaker_opens (&breaker, now);
  LbTime open_until_before = breaker.open_until;
  for (int i = 0; i < 50; i++)
    cr_assert_not (lp_breaker_record_failure (&breaker, 1, now + 10 * LB_MSEC));
  cr_assert_eq (breaker.open_until, open_until_before);
}

Test (pacer, calls_keep_the_rate_when_they_wait_for_the_returned_time)
{
  LpPacer pacer;
  LbTime now = LB_SEC;
  int sent = 0;

  lp_pacer_init (&pacer, 100, now);
  while (now < 11 * LB_SEC)
    {
      while (lp_pacer_take_token (&pacer, now))
        sent++;
      LbTime wait = lp_pacer_get_time_until_next_call (&pacer, now);
      cr_assert_gt (wait, 0);
      now += wait;
    }
  cr_assert_geq (sent, 1000);
  cr_assert_leq (sent, 1000 + 26);
}

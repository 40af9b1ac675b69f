#include "lp-breaker.h"
#include "lp-pacer.h"

#include <criterion/criterion.h>

static void
fail_until_open (LpBreaker *breaker, LbTime now)
{
  while (!lp_breaker_failed (breaker, 1, now))
    cr_assert (lp_breaker_allow (breaker, now));
}

/* The store hangs: each call waits its whole deadline, and the daemon's status page and leases wait
 * with it. After a few failures in a row calls must fail at once, and one probe at a time must find
 * out when the store is back. */
Test (breaker, opens_lets_one_probe_through_and_closes)
{
  LpBreaker breaker;
  LbTime now = LB_SEC;

  lp_breaker_init (&breaker);
  cr_assert (lp_breaker_allow (&breaker, now));
  fail_until_open (&breaker, now);
  cr_assert_not (lp_breaker_allow (&breaker, now));
  now = breaker.open_until;
  cr_assert (lp_breaker_allow (&breaker, now));
  cr_assert_not (lp_breaker_allow (&breaker, now), "a second probe beside the first");
  lp_breaker_succeeded (&breaker);
  cr_assert (lp_breaker_allow (&breaker, now));
  cr_assert (lp_breaker_allow (&breaker, now));
}

Test (breaker, failed_probe_opens_for_longer_up_to_a_bound)
{
  LpBreaker breaker;
  LbTime now = LB_SEC;
  LbTime last = 0;

  lp_breaker_init (&breaker);
  fail_until_open (&breaker, now);
  for (int i = 0; i < 10; i++)
    {
      cr_assert_geq (breaker.open_for, last);
      last = breaker.open_for;
      now = breaker.open_until;
      cr_assert (lp_breaker_allow (&breaker, now));
      cr_assert (lp_breaker_failed (&breaker, 1, now));
    }
  cr_assert_leq (breaker.open_for, 2 * LB_SEC);
}

/* Calls sent before the breaker opened fail after it: they must not push the probe further away. */
Test (breaker, late_failures_do_not_lengthen_the_opening)
{
  LpBreaker breaker;
  LbTime now = LB_SEC;

  lp_breaker_init (&breaker);
  fail_until_open (&breaker, now);
  LbTime until = breaker.open_until;
  for (int i = 0; i < 50; i++)
    cr_assert_not (lp_breaker_failed (&breaker, 1, now + 10 * LB_MSEC));
  cr_assert_eq (breaker.open_until, until);
}

Test (pacer, keeps_the_rate_and_wakes_in_time)
{
  LpPacer pacer;
  LbTime now = LB_SEC;
  int sent = 0;

  lp_pacer_init (&pacer, 100, now);
  while (now < 11 * LB_SEC)
    {
      while (lp_pacer_take (&pacer, now))
        sent++;
      LbTime wait = lp_pacer_wait (&pacer, now);
      cr_assert_gt (wait, 0);
      now += wait;
    }
  cr_assert_geq (sent, 1000);
  cr_assert_leq (sent, 1000 + 26);
}

#include "lc-load-time.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>

typedef struct
{
  LbTime delay;     /* from the moment at which a load's end can be seen, mean */
  double questions; /* a load */
} Outcome;

/* Loads one after the other, the end of each to be seen `shows` after its order, give or take
 * `jitter`; asked at `first` and then each `next`, where these are given. */
static Outcome
play (LbTime shows, LbTime jitter, LbTime first, LbTime next)
{
  enum
  {
    N_LOADS = 2000,
    N_LEARNING = 20
  };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus);
  LcLoadTime load = { 0 };
  Outcome outcome = { 0 };

  for (int i = 0; i < N_LOADS; i++)
    {
      LbTime end = shows + (LbTime)((gsl_rng_uniform (rng) - 0.5) * (double)jitter);
      LbTime at = first > 0 ? first : lc_load_time_first_poll_delay (&load);
      int n = 1;
      for (; at < end; n++)
        at += next > 0 ? next : lc_load_time_poll_interval (&load);
      lc_load_time_add_sample (&load, at);
      if (i < N_LEARNING)
        continue;
      outcome.delay += (at - end) / (N_LOADS - N_LEARNING);
      outcome.questions += (double)n / (N_LOADS - N_LEARNING);
    }
  gsl_rng_free (rng);
  return outcome;
}

/* Versions of six models come each four seconds for 77 engines, 16 of which load at a time. Each
 * load's end that is seen late keeps its place from the next one, and the engines' weights are late
 * for the steps. */
Test (load_time, the_end_of_a_load_is_seen_soon)
{
  Outcome before = play (1120 * LB_MSEC, 60 * LB_MSEC, 1010 * LB_MSEC, 120 * LB_MSEC);
  Outcome now = play (1120 * LB_MSEC, 60 * LB_MSEC, 0, 0);

  cr_assert_geq (before.delay, 45 * LB_MSEC, "%lld us", (long long)before.delay);
  cr_assert_leq (now.delay, 30 * LB_MSEC, "%lld us", (long long)now.delay);
  cr_assert_leq (now.questions, 2.1, "%f", now.questions);
}

/* Loads that take three times as long, or a third, as on another site or beside many others: the
 * questions follow. */
Test (load_time, follows_loads_of_any_length)
{
  Outcome slow = play (3400 * LB_MSEC, 200 * LB_MSEC, 0, 0);
  Outcome quick = play (400 * LB_MSEC, 40 * LB_MSEC, 0, 0);

  cr_assert_leq (slow.delay, 150 * LB_MSEC, "%lld us", (long long)slow.delay);
  cr_assert_leq (slow.questions, 3);
  cr_assert_leq (quick.delay, 40 * LB_MSEC, "%lld us", (long long)quick.delay);
}

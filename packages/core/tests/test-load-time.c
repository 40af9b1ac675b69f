#include "lc-load-time.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>

typedef struct
{
  LbTime delay; /* mean time from when the end of a load is visible until a poll detects it */
  double polls; /* mean number of polls per load */
} PollResult;

/* Simulates consecutive loads. The end of a load becomes visible after a random time, visible_after
 * plus or minus up to half of jitter. fixed_delay: time from the start of a load to its first poll;
 * fixed_interval: time between polls; 0 for both: as computed by lc-load-time. */
static PollResult
simulate_polling_of_weight_loads (LbTime visible_after,
                                  LbTime jitter,
                                  LbTime fixed_delay,
                                  LbTime fixed_interval)
{
  enum
  {
    N_LOADS = 2000,
    N_LEARNING = 20
  };
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus);
  LcLoadTime load = { 0 };
  PollResult result = { 0 };

  for (int i = 0; i < N_LOADS; i++)
    {
      LbTime end = visible_after + (LbTime)((gsl_rng_uniform (rng) - 0.5) * (double)jitter);
      LbTime at = fixed_delay > 0 ? fixed_delay : lc_load_time_first_poll_delay (&load);
      int n = 1;
      for (; at < end; n++)
        at += fixed_interval > 0 ? fixed_interval : lc_load_time_poll_interval (&load);
      lc_load_time_add_sample (&load, at);
      if (i < N_LEARNING)
        continue;
      result.delay += (at - end) / (N_LOADS - N_LEARNING);
      result.polls += (double)n / (N_LOADS - N_LEARNING);
    }
  gsl_rng_free (rng);
  return result;
}

/* Six models get a version every four seconds on 77 engines, 16 of which load at once. Late
 * detection of the end of a load delays the next load, and steps wait for new weights. */
Test (load_time, end_of_a_load_is_detected_soon)
{
  PollResult fixed = simulate_polling_of_weight_loads (1120 * LB_MSEC, 60 * LB_MSEC, 1010 * LB_MSEC,
                                                       120 * LB_MSEC);
  PollResult learned = simulate_polling_of_weight_loads (1120 * LB_MSEC, 60 * LB_MSEC, 0, 0);

  cr_assert_geq (fixed.delay, 45 * LB_MSEC, "the mean delay is %lld us, expected at least 45000",
                 (long long)fixed.delay);
  cr_assert_leq (learned.delay, 30 * LB_MSEC, "the mean delay is %lld us, expected at most 30000",
                 (long long)learned.delay);
  cr_assert_leq (learned.polls, 2.1, "%f polls per load, expected at most 2.1", learned.polls);
}

/* Loads take three times as long or a third as long, as on another site or with another number of
 * concurrent loads. */
Test (load_time, polls_adapt_to_long_and_short_loads)
{
  PollResult slow = simulate_polling_of_weight_loads (3400 * LB_MSEC, 200 * LB_MSEC, 0, 0);
  PollResult quick = simulate_polling_of_weight_loads (400 * LB_MSEC, 40 * LB_MSEC, 0, 0);

  cr_assert_leq (slow.delay, 150 * LB_MSEC, "the mean delay is %lld us, expected at most 150000",
                 (long long)slow.delay);
  cr_assert_leq (slow.polls, 3);
  cr_assert_leq (quick.delay, 40 * LB_MSEC, "the mean delay is %lld us, expected at most 40000",
                 (long long)quick.delay);
}

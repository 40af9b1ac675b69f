#include "lc-batch-cost.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>

static double
estimate_batch_slowdown_from_noisy_reports (double slowdown, double min_fill, double max_fill)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcBatchCost cost = { 0 };

  for (int i = 0; i < 2000; i++)
    {
      double fill = gsl_ran_flat (rng, min_fill, max_fill);
      double noise = gsl_ran_flat (rng, 0.97, 1.03);

      lc_batch_cost_add_report (&cost, fill, 0.012 * (1 + slowdown * fill) * noise);
    }
  gsl_rng_free (rng);
  return lc_batch_cost_full_batch_slowdown (&cost);
}

/* If the estimated slowdown of a full engine is three times too large, the effect of load is
 * overrated: requests are routed away from the engine that has their prompt cached to an engine
 * with hardly less load, which repeats the prefill. */
Test (batch_cost, estimated_slowdown_is_close_to_the_actual_slowdown)
{
  cr_assert_float_eq (estimate_batch_slowdown_from_noisy_reports (0.33, 0.1, 0.9), 0.33, 0.08);
  cr_assert_float_eq (estimate_batch_slowdown_from_noisy_reports (2.0, 0.1, 0.9), 2.0, 0.3);
}

/* If all engines of a pool are equally full for hours, their reports do not show how load slows an
 * engine down. Differences that are only noise must not count as an effect of load. */
Test (batch_cost, slowdown_stays_near_the_prior_when_all_batches_are_equally_full)
{
  cr_assert_float_eq (estimate_batch_slowdown_from_noisy_reports (0.33, 0.5, 0.51), 1.0, 0.5);
  cr_assert_eq (lc_batch_cost_full_batch_slowdown (&(LcBatchCost){ 0 }), 1.0);
}

#include "lc-batch-cost.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>

static double
learn (double slowdown, double least_fill, double most_fill)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcBatchCost cost = { 0 };

  for (int i = 0; i < 2000; i++)
    {
      double fill = gsl_ran_flat (rng, least_fill, most_fill);
      double noise = gsl_ran_flat (rng, 0.97, 1.03);

      lc_batch_cost_add_report (&cost, fill, 0.012 * (1 + slowdown * fill) * noise);
    }
  gsl_rng_free (rng);
  return lc_batch_cost_slowdown (&cost);
}

/* With a slowdown taken three times too large, load looks dear: requests leave the engine that
 * holds their prompt for one that is hardly emptier, and pay for the prefill again. */
Test (batch_cost, is_learnt_from_reports)
{
  cr_assert_float_eq (learn (0.33, 0.1, 0.9), 0.33, 0.08);
  cr_assert_float_eq (learn (2.0, 0.1, 0.9), 2.0, 0.3);
}

/* All engines of a pool are equally full for hours: noise must not become a slope. */
Test (batch_cost, stays_at_the_prior_when_all_batches_are_alike)
{
  cr_assert_float_eq (learn (0.33, 0.5, 0.51), 1.0, 0.5);
  cr_assert_eq (lc_batch_cost_slowdown (&(LcBatchCost){ 0 }), 1.0);
}

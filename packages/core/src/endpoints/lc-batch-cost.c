#include "lc-batch-cost.h"

#include <math.h>

#define PRIOR_SLOWDOWN 1.0
/* Variance of the fill at which the prior and the reports have equal weight: reports with nearly
 * equal fill contain little information on the slope. */
#define PRIOR_FILL_VARIANCE 0.002
#define MIN_REPORT_WEIGHT 0.005 /* minimum weight of a new report in the means */
#define MIN_SLOWDOWN 0.05
#define MAX_SLOWDOWN 5.0

static void
update_weighted_mean (double *mean, double value, double weight)
{
  *mean += weight * (value - *mean);
}

void
lc_batch_cost_add_report (LcBatchCost *cost, double fill, double token_seconds)
{
  double weight = fmax (MIN_REPORT_WEIGHT, 1 / (cost->n_reports + 1));

  cost->n_reports++;
  update_weighted_mean (&cost->mean_fill, fill, weight);
  update_weighted_mean (&cost->mean_token_seconds, token_seconds, weight);
  update_weighted_mean (&cost->mean_fill_squared, fill * fill, weight);
  update_weighted_mean (&cost->mean_fill_token_seconds, fill * token_seconds, weight);
}

double
lc_batch_cost_full_batch_slowdown (const LcBatchCost *cost)
{
  double variance = cost->mean_fill_squared - cost->mean_fill * cost->mean_fill;
  double covariance = cost->mean_fill_token_seconds - cost->mean_fill * cost->mean_token_seconds;
  double prior_slope
      = PRIOR_SLOWDOWN * cost->mean_token_seconds / (1 + PRIOR_SLOWDOWN * cost->mean_fill);
  double slope
      = (covariance + PRIOR_FILL_VARIANCE * prior_slope) / (variance + PRIOR_FILL_VARIANCE);
  double intercept = cost->mean_token_seconds - slope * cost->mean_fill;

  if (cost->n_reports == 0)
    return PRIOR_SLOWDOWN;
  if (intercept <= 0)
    return MAX_SLOWDOWN;
  return fmin (MAX_SLOWDOWN, fmax (MIN_SLOWDOWN, slope / intercept));
}

#include "lc-batch-cost.h"

#include <math.h>

#define PRIOR_SLOWDOWN 1.0
#define PRIOR_VARIANCE 0.002 /* of the fill; reports that hardly differ in it say little */
#define MIN_WEIGHT 0.005     /* of a new report */
#define MIN_SLOWDOWN 0.05
#define MAX_SLOWDOWN 5.0

static void
mix (double *mean, double value, double weight)
{
  *mean += weight * (value - *mean);
}

void
lc_batch_cost_add_report (LcBatchCost *cost, double fill, double token_seconds)
{
  double weight = fmax (MIN_WEIGHT, 1 / (cost->reports + 1));

  cost->reports++;
  mix (&cost->fill, fill, weight);
  mix (&cost->seconds, token_seconds, weight);
  mix (&cost->fill_squared, fill * fill, weight);
  mix (&cost->fill_by_seconds, fill * token_seconds, weight);
}

double
lc_batch_cost_slowdown (const LcBatchCost *cost)
{
  double variance = cost->fill_squared - cost->fill * cost->fill;
  double covariance = cost->fill_by_seconds - cost->fill * cost->seconds;
  double prior_slope = PRIOR_SLOWDOWN * cost->seconds / (1 + PRIOR_SLOWDOWN * cost->fill);
  double slope = (covariance + PRIOR_VARIANCE * prior_slope) / (variance + PRIOR_VARIANCE);
  double alone = cost->seconds - slope * cost->fill;

  if (cost->reports == 0)
    return PRIOR_SLOWDOWN;
  if (alone <= 0)
    return MAX_SLOWDOWN;
  return fmin (MAX_SLOWDOWN, fmax (MIN_SLOWDOWN, slope / alone));
}

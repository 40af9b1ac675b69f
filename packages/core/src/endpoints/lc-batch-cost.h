#ifndef LC_BATCH_COST_H
#define LC_BATCH_COST_H

/* Estimates how much slower a token is generated in a full batch than by a single stream: an
 * exponentially weighted linear regression of seconds per token on batch fill, from a pool's load
 * reports. */
typedef struct
{
  double n_reports;
  double mean_fill;
  double mean_token_seconds;
  double mean_fill_squared;
  double mean_fill_token_seconds; /* mean of the product of fill and seconds per token */
} LcBatchCost;

/* fill: share of the batch in use, 0..1; token_seconds: seconds per token of one stream. */
void lc_batch_cost_add_report (LcBatchCost *cost, double fill, double token_seconds);
/* Relative increase of seconds per token from a single stream to a full batch; 1: twice as slow. */
double lc_batch_cost_full_batch_slowdown (const LcBatchCost *cost);

#endif

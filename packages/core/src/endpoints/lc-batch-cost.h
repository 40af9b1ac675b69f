#ifndef LC_BATCH_COST_H
#define LC_BATCH_COST_H

/* How much longer a token takes in a full batch than alone, learnt from load reports of a pool: a
 * line through the time of a token over how full the batch was, recent reports weighing more. */
typedef struct
{
  double reports;
  double fill; /* means */
  double seconds;
  double fill_squared;
  double fill_by_seconds;
} LcBatchCost;

/* Fill is 0..1, token_seconds that of one stream. */
void lc_batch_cost_add_report (LcBatchCost *cost, double fill, double token_seconds);
/* Share of the time alone by which a full batch is longer. */
double lc_batch_cost_slowdown (const LcBatchCost *cost);

#endif

#include "lc-engine-shares.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <math.h>
#include <string.h>

/* Number of periods within which a difference of lag is to be removed. A trainer that is d periods
 * further behind than others needs a share that is larger by d / LAG_HORIZON_PERIODS. With a longer
 * horizon, trainers that need more than the capacity end up more than a step apart. */
#define LAG_HORIZON_PERIODS 0.7
/* The same for a trainer that submits steps ahead, and the difference of lag that moves no engine.
 * Its lag is determined by steps that began up to two periods ago, and often by their longest text,
 * so with the shorter horizon and without a tolerance, engines would move often and lose the
 * time of each load of weights. */
#define LAG_HORIZON_PERIODS_AHEAD 2.0
#define LAG_TOLERANCE_AHEAD 0.5
/* Largest factor on the share of a trainer that is behind. */
#define MAX_LAG_FACTOR 2.0
/* Lag of the trainer that is furthest behind, in its periods, from which shares are fully corrected
 * by the needed capacity. */
#define FULL_CORRECTION_LAG_STEPS 0.5
/* Largest correction. Without a bound, a trainer whose steps wait for one long text would get more
 * and more engines, since its steps take as long with more of them. */
#define MAX_CORRECTION 2.0
/* Number of steps whose weight the mean demand of all trainers has in that of each. One step alone
 * is up to a third longer or shorter than the next. */
#define MEAN_DEMAND_STEPS 1.0
/* Part of its share by demand that a model always keeps. */
#define MIN_SHARE_OF_DEMAND 0.5

/* Whether the steps of each model that has a trainer show the demand of its schedule. */
static bool
is_demand_of_schedules_known (const LcModelShare *shares,
                              size_t n_models,
                              const LcTrainerLags *lags)
{
  for (size_t i = 0; i < n_models; i++)
    {
      const LcTrainerLag *lag = lc_trainer_lags_find (lags, shares[i].model);
      if (lag ? lag->has_several_trainers : shares[i].demand > 0)
        return false;
    }
  return true;
}

/* Takes the demand of the trainers' schedules in place of what they requested. A trainer that is
 * behind requests less per time, so its share would shrink and it would fall behind further.
 * Trainers usually start within seconds of each other. Until the lag of one is known, a model
 * without a step counts as average; otherwise the first trainer would get nearly all engines, and
 * the others would be late from their first step. */
static void
set_demand_of_schedules (LcModelShare *shares, size_t n_models, const LcTrainerLags *lags)
{
  bool is_any_known = false;
  double sum = 0;
  size_t n = 0;

  for (size_t i = 0; i < n_models; i++)
    {
      const LcTrainerLag *lag = lc_trainer_lags_find (lags, shares[i].model);
      shares[i].demand = 0;
      if (!lag || lag->has_stopped)
        continue;
      shares[i].demand
          = lag->tokens_per_step / (lag->period > 0 ? (double)lag->period / (double)LB_SEC : 1);
      sum += shares[i].demand;
      n++;
      is_any_known |= lag->is_known;
    }
  for (size_t i = 0; i < n_models && n > 0; i++)
    {
      const LcTrainerLag *lag = lc_trainer_lags_find (lags, shares[i].model);
      double mean = sum / (double)n;
      if (!lag && !is_any_known)
        shares[i].demand = mean;
      else if (lag && !lag->has_stopped)
        shares[i].demand = (shares[i].demand * (double)lag->n_steps + mean * MEAN_DEMAND_STEPS)
                           / ((double)lag->n_steps + MEAN_DEMAND_STEPS);
    }
}

static bool
are_all_trainers_stopped (const LcModelShare *shares, size_t n_models, const LcTrainerLags *lags)
{
  for (size_t i = 0; i < n_models; i++)
    {
      const LcTrainerLag *lag = lc_trainer_lags_find (lags, shares[i].model);
      if (lag && !lag->has_stopped)
        return false;
    }
  return true;
}

/* Where trainers are behind, corrects demand in tokens by the capacity that their last steps show
 * to be needed. Tokens alone leave out the time until the last long text of a step has ended and
 * the training, so that trainers with longer texts fall behind at the same capacity per token.
 * While all are on schedule, durations do not show what is needed, since more engines would not
 * shorten them. In between, the correction is partial, so that a small lag causes no sudden change.
 */
static void
set_corrections_by_needed_capacity (LcModelShare *shares,
                                    size_t n_models,
                                    const LcTrainerLags *lags)
{
  double sum = 0;
  double needed_sum = 0;
  double max_lag_steps = 0;

  for (size_t i = 0; i < n_models; i++)
    {
      const LcTrainerLag *lag = lc_trainer_lags_find (lags, shares[i].model);
      if (shares[i].demand <= 0)
        continue;
      if (!lag || lag->needed_capacity <= 0 || !lag->is_known)
        return;
      sum += shares[i].demand;
      needed_sum += lag->needed_capacity;
      max_lag_steps = fmax (max_lag_steps, lag->held_lag_steps);
    }
  double weight = fmin (1, max_lag_steps / FULL_CORRECTION_LAG_STEPS);
  for (size_t i = 0; i < n_models; i++)
    {
      const LcTrainerLag *lag = lc_trainer_lags_find (lags, shares[i].model);
      if (shares[i].demand <= 0)
        continue;
      double ratio = (lag->needed_capacity / needed_sum) / (shares[i].demand / sum);
      shares[i].correction = pow (fmin (fmax (ratio, 1 / MAX_CORRECTION), MAX_CORRECTION), weight);
    }
}

void
lc_engine_shares_init (LcModelShare *shares,
                       const LbName *models,
                       size_t n_models,
                       const LcDemand *demand,
                       const LcTrainerLags *lags,
                       LbTime now)
{
  if (!lb_switch_is_on (LB_SWITCH_LAG_SHARES))
    lags = NULL;
  for (size_t i = 0; i < n_models; i++)
    {
      const LcTrainerLag *lag = lags ? lc_trainer_lags_find (lags, models[i]) : NULL;
      shares[i]
          = (LcModelShare){ .demand = lc_demand_tokens (demand, models[i], now), .correction = 1 };
      LB_COPY (shares[i].model, models[i]);
      if (!lag)
        continue;
      shares[i].priority = lag->priority;
      shares[i].lag_steps = lag->is_known ? lag->held_lag_steps : 0;
      shares[i].lag_tolerance = lag->n_ahead > 0 ? LAG_TOLERANCE_AHEAD : 0;
    }
  /* After all trainers have stopped, what they requested last counts, as without lags. Otherwise
   * all models would be equal, and engines would move for nothing. */
  if (lags && !are_all_trainers_stopped (shares, n_models, lags)
      && is_demand_of_schedules_known (shares, n_models, lags))
    {
      set_demand_of_schedules (shares, n_models, lags);
      set_corrections_by_needed_capacity (shares, n_models, lags);
    }
}

/* Computes how many engines each model should have by demand: one each, and the rest by demand, or
 * evenly without demand. Without the even division, engines that register one after the other may
 * be assigned 5, 3 and 1 to three models, and the first steps of the last model would wait. */
static void
compute_shares_by_demand (LcModelShare *shares, size_t n, double total)
{
  double sum = 0;

  for (size_t i = 0; i < n; i++)
    sum += shares[i].demand * shares[i].correction;
  for (size_t i = 0; i < n; i++)
    {
      double fraction = sum > 0 ? shares[i].demand * shares[i].correction / sum : 1 / (double)n;
      shares[i].share = 1 + fraction * (total - (double)n);
      shares[i].min_share = fmax (1, MIN_SHARE_OF_DEMAND * shares[i].share);
    }
}

/* Sums over the models of one priority. */
typedef struct
{
  double share;
  double min_share;
  double lag_steps; /* mean, weighted by share */
} PrioritySums;

static PrioritySums
sum_shares_of_priority (const LcModelShare *shares, size_t n, int64_t priority)
{
  PrioritySums sums = { 0 };

  for (size_t i = 0; i < n; i++)
    if (shares[i].priority == priority)
      {
        sums.share += shares[i].share;
        sums.min_share += shares[i].min_share;
        sums.lag_steps += shares[i].share * shares[i].lag_steps;
      }
  sums.lag_steps /= sums.share > 0 ? sums.share : 1;
  return sums;
}

/* Returns the factor on the share of a model, by its lag and the mean lag of its priority. */
static double
compute_lag_factor (const LcModelShare *share, double mean_lag_steps)
{
  double difference = share->lag_steps - mean_lag_steps;
  double counted = fmax (0, fabs (difference) - share->lag_tolerance);
  double horizon = share->lag_tolerance > 0 ? LAG_HORIZON_PERIODS_AHEAD : LAG_HORIZON_PERIODS;

  return 1 + copysign (counted, difference) / horizon;
}

/* Divides `total` among the models of one priority, so that their trainers have the same lag after
 * LAG_HORIZON_PERIODS: each model keeps its min_share, and the rest is divided by what the model
 * needs beyond it. Without differences of lag, each model gets its share by demand. */
static void
divide_total_of_priority (LcModelShare *shares, size_t n, int64_t priority, double total)
{
  const PrioritySums sums = sum_shares_of_priority (shares, n, priority);
  double needed = 0;

  for (size_t i = 0; i < n; i++)
    if (shares[i].priority == priority)
      {
        double factor = compute_lag_factor (&shares[i], sums.lag_steps);
        double wanted = shares[i].share * fmin (factor, MAX_LAG_FACTOR);
        shares[i].share = fmax (0, wanted - shares[i].min_share);
        needed += shares[i].share;
      }
  for (size_t i = 0; i < n; i++)
    if (shares[i].priority == priority)
      {
        double rest = total - sums.min_share;
        shares[i].share = shares[i].min_share
                          + (needed > 0 ? rest * shares[i].share / needed
                                        : rest * shares[i].min_share / sums.min_share);
      }
}

/* Sets `priority` to the largest priority of a model: of all models if is_first, otherwise of those
 * below the present value. Returns false if there is none. */
static bool
find_next_priority (const LcModelShare *shares, size_t n, int64_t *priority, bool is_first)
{
  bool is_found = false;
  int64_t next = INT64_MIN;

  for (size_t i = 0; i < n; i++)
    if ((is_first || shares[i].priority < *priority) && (!is_found || shares[i].priority > next))
      {
        next = shares[i].priority;
        is_found = true;
      }
  *priority = next;
  return is_found;
}

/* Models of a higher priority whose trainers are behind get more than their share by demand, down
 * to the min_share of models of lower priorities. Those of the lowest priority get what is left. */
void
lc_engine_shares_compute (LcModelShare *shares, size_t n, double total)
{
  double left = total;
  double min_left = 0;
  double share_left = 0;
  int64_t priority = 0;

  compute_shares_by_demand (shares, n, total);
  for (size_t i = 0; i < n; i++)
    {
      min_left += shares[i].min_share;
      share_left += shares[i].share;
    }
  for (bool is_first = true; find_next_priority (shares, n, &priority, is_first); is_first = false)
    {
      const PrioritySums sums = sum_shares_of_priority (shares, n, priority);
      min_left -= sums.min_share;
      share_left -= sums.share;
      double factor = 1 + sums.lag_steps / LAG_HORIZON_PERIODS;
      double wanted = sums.share * fmin (factor, MAX_LAG_FACTOR);
      /* Nothing is left for other priorities if this is the lowest one. */
      double part = share_left < 0.5 ? left : fmin (wanted, left - min_left);
      divide_total_of_priority (shares, n, priority, part);
      left -= part;
    }
}

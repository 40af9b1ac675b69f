#ifndef LC_ENGINE_SHARES_H
#define LC_ENGINE_SHARES_H

#include "lc-engine-plan.h"
#include "lc-trainer-lag.h"

/* Share of the engines that each model should have, and what determines it. */
typedef struct
{
  LbName model;
  double demand;        /* tokens that trainers requested, in the same unit for all models */
  double correction;    /* of the share by demand, by the capacity that steps needed; 1: none */
  int64_t priority;     /* organisation priority of the model's trainer */
  double lag_steps;     /* how far the trainer is behind its schedule, in its periods */
  double lag_tolerance; /* difference of lag_steps to others that moves no engine */
  double share;         /* engines of average capacity that the model should have; at least 1 */
  double min_share; /* capacity that the model keeps, although other trainers are further behind */
  double capacity;  /* capacity of the engines that are assigned to the model */
  size_t n_engines; /* number of these engines */
} LcModelShare;

/* Sets model, demand, priority and lag of each share. lags: NULL if the engines are divided by
 * demand alone. */
void lc_engine_shares_init (LcModelShare *shares,
                            const LbName *models,
                            size_t n_models,
                            const LcDemand *demand,
                            const LcTrainerLags *lags,
                            LbTime now);
/* Computes share and min_share of each model. total: capacity of all engines, more than n. */
void lc_engine_shares_compute (LcModelShare *shares, size_t n, double total);

/* Like lc_engine_plan_rebalance, with shares from lc_engine_shares_init, of which the computed
 * members are set. capacities: of each engine in a common unit, 0: not known; NULL: all are equal.
 */
bool lc_engine_plan_divide (LcEnginePlan *plan,
                            const LcPlanEntry *engines,
                            const double *capacities,
                            size_t n_engines,
                            LcModelShare *shares,
                            size_t n_models);

#endif

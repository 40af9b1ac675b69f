#ifndef LC_ENGINE_PLAN_H
#define LC_ENGINE_PLAN_H

#include "lc-types.h"

struct json_object;

/* This header declares the engine plan, which assigns engines to models in deployments with several
 * models. The instance that sends the weight-load orders makes the plan, and all other instances
 * read it. An engine that moves to another model must first load that model's newest weights, so
 * engines move only after a lasting change of demand. */

typedef struct
{
  LbName engine;
  LbName model;
  /* version of the weights on the engine, as known to the instance that makes the plan; 0: not
   * known */
  LcVersion version;
  /* the engine was ordered to load weights and takes no new requests until the load ends */
  bool loading;
} LcPlanEntry;

typedef struct
{
  LcPlanEntry *entries; /* sorted by engine name */
  size_t n_entries;
} LcEnginePlan;

void lc_engine_plan_clear (LcEnginePlan *plan);
void lc_engine_plan_copy (LcEnginePlan *target, const LcEnginePlan *source);
/* Returns the entry of an engine; NULL if the plan has none. */
const LcPlanEntry *lc_engine_plan_find (const LcEnginePlan *plan, const char *engine);
/* Adds or replaces the entry of an engine; returns true if that changed the plan. */
bool lc_engine_plan_put (LcEnginePlan *plan, const LcPlanEntry *entry);
/* Removes the plan's entries for engines that are not in the array `engines`; returns true if it
 * removed any. */
bool
lc_engine_plan_retain_engines (LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines);
bool lc_engine_plan_is_same (const LcEnginePlan *a, const LcEnginePlan *b);

/* The plan is stored in parts, each in its own row of the store, since a row holds only about 800
 * engines. A hash of the engine name chooses the part. */
#define LC_ENGINE_PLAN_PARTS 16
/* Copies the plan's entries of the part with this index to *part, which the caller clears. */
void lc_engine_plan_copy_part (const LcEnginePlan *plan, size_t index, LcEnginePlan *part);
/* Builds *plan, which the caller clears, from all LC_ENGINE_PLAN_PARTS parts. */
void lc_engine_plan_join_parts (const LcEnginePlan *parts, LcEnginePlan *plan);
struct json_object *lc_engine_plan_to_json (const LcEnginePlan *plan);
bool lc_engine_plan_from_json (struct json_object *object, LcEnginePlan *plan);

/* Number of tokens that trainers requested from each model, with exponential decay. */
typedef struct LcDemand LcDemand;

LcDemand *lc_demand_new (void);
void lc_demand_free (LcDemand *demand);
void lc_demand_add (LcDemand *demand, const char *model, double tokens, LbTime now);
/* returns true until the first call of lc_demand_add */
bool lc_demand_is_empty (const LcDemand *demand);
double lc_demand_tokens (const LcDemand *demand, const char *model, LbTime now);

/* Assigns engines to models in proportion to demand, or evenly if there is no demand; every model
 * keeps at least one engine. Returns true if the plan changed. engines: all engines, each with its
 * present model. */
bool lc_engine_plan_rebalance (LcEnginePlan *plan,
                               const LcPlanEntry *engines,
                               size_t n_engines,
                               const LbName *models,
                               size_t n_models,
                               const LcDemand *demand,
                               LbTime now);

#endif

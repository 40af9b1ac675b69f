#ifndef LC_ENGINE_PLAN_H
#define LC_ENGINE_PLAN_H

#include "lc-types.h"

struct json_object;

/* Assignment of a model to each engine, where engines hold several models. Made by the instance
 * that gives the weight orders, and read by all others. An engine that changes its model must first
 * load that model's newest weights, so engines move only when demand changes lastingly. */

typedef struct
{
  LbName engine;
  LbName model;
  LcVersion version; /* of the model on the engine, as the planning instance knows; 0: not known */
  bool loading;      /* was ordered to load; takes no new requests until it has loaded */
} LcPlanEntry;

typedef struct
{
  LcPlanEntry *entries; /* sorted by engine */
  size_t n_entries;
} LcEnginePlan;

void lc_engine_plan_clear (LcEnginePlan *plan);
void lc_engine_plan_copy (LcEnginePlan *target, const LcEnginePlan *source);
/* Returns NULL if the plan does not have the engine. */
const LcPlanEntry *lc_engine_plan_find (const LcEnginePlan *plan, const char *engine);
/* Adds or replaces the entry of an engine; returns true if that changed the plan. */
bool lc_engine_plan_put (LcEnginePlan *plan, const LcPlanEntry *entry);
/* Removes all other engines; returns true if there were any. */
bool
lc_engine_plan_retain_engines (LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines);
bool lc_engine_plan_is_same (const LcEnginePlan *a, const LcEnginePlan *b);

/* The plan is stored in parts by hash of the engine name, since a row of the store holds about 800
 * engines. */
#define LC_ENGINE_PLAN_PARTS 16
/* Copies the entries of one part; the caller clears it. */
void lc_engine_plan_copy_part (const LcEnginePlan *plan, size_t index, LcEnginePlan *part);
/* Builds a plan from all LC_ENGINE_PLAN_PARTS parts; the caller clears it. */
void lc_engine_plan_join_parts (const LcEnginePlan *parts, LcEnginePlan *plan);
struct json_object *lc_engine_plan_to_json (const LcEnginePlan *plan);
bool lc_engine_plan_from_json (struct json_object *object, LcEnginePlan *plan);

/* Tokens requested by trainers for each model, with exponential decay. */
typedef struct LcDemand LcDemand;

LcDemand *lc_demand_new (void);
void lc_demand_free (LcDemand *demand);
void lc_demand_add (LcDemand *demand, const char *model, double tokens, LbTime now);
bool lc_demand_is_empty (const LcDemand *demand); /* true until the first lc_demand_add */
double lc_demand_tokens (const LcDemand *demand, const char *model, LbTime now);

/* Assigns engines to models in proportion to demand, evenly while there is none; every model keeps
 * at least one engine. Returns true if the plan changed. engines: all engines, each with the model
 * that it is assigned to now. */
bool lc_engine_plan_rebalance (LcEnginePlan *plan,
                               const LcPlanEntry *engines,
                               size_t n_engines,
                               const LbName *models,
                               size_t n_models,
                               const LcDemand *demand,
                               LbTime now);

#endif

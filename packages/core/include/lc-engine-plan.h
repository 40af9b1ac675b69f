#ifndef LC_ENGINE_PLAN_H
#define LC_ENGINE_PLAN_H

#include "lc-types.h"

struct json_object;

/* Which model each engine is used for, when engines hold several: decided by one instance, the one
 * that orders weights, and read by all others. An engine that serves another model than before
 * loads that model's newest weights first, so engines change their model only for a lasting need.
 */

typedef struct
{
  LbName engine;
  LbName model;
  LcVersion version; /* that it has of the model, as the planning instance knows; 0: not known */
  bool loading;      /* it was ordered to load, and takes no new requests meanwhile */
} LcPlanEntry;

typedef struct
{
  LcPlanEntry *entries;
  size_t n_entries;
} LcEnginePlan;

void lc_engine_plan_clear (LcEnginePlan *plan);
void lc_engine_plan_copy (LcEnginePlan *target, const LcEnginePlan *source);
/* NULL: the plan does not name the engine. */
const LcPlanEntry *lc_engine_plan_find (const LcEnginePlan *plan, const char *engine);
/* Notes what became of an engine; true when that is news. */
bool lc_engine_plan_put (LcEnginePlan *plan, const LcPlanEntry *entry);
/* Takes out engines that are not among these. */
bool lc_engine_plan_retain (LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines);
bool lc_engine_plan_is_same (const LcEnginePlan *a, const LcEnginePlan *b);

/* A plan is kept in parts, by the engines' names, since a row of the store holds some 800 engines.
 */
#define LC_ENGINE_PLAN_PARTS 16
/* Entries of one part; the caller clears. */
void lc_engine_plan_copy_part (const LcEnginePlan *plan, size_t index, LcEnginePlan *part);
/* All parts together; the caller clears. */
void lc_engine_plan_join_parts (const LcEnginePlan *parts, LcEnginePlan *plan);
struct json_object *lc_engine_plan_to_json (const LcEnginePlan *plan);
bool lc_engine_plan_from_json (struct json_object *object, LcEnginePlan *plan);

/* Work that trainers bring for each model, in tokens; old work counts less and less. */
typedef struct LcDemand LcDemand;

LcDemand *lc_demand_new (void);
void lc_demand_free (LcDemand *demand);
void lc_demand_add (LcDemand *demand, const char *model, double tokens, LbTime now);
bool lc_demand_is_empty (const LcDemand *demand); /* nobody has brought anything yet */
double lc_demand_tokens (const LcDemand *demand, const char *model, LbTime now);

/* Changes the plan so that engines are shared out by demand, evenly while there is none; every
 * model keeps one engine at least. True when it changed. engines holds each engine and the model
 * that it is used for now. */
bool lc_engine_plan_rebalance (LcEnginePlan *plan,
                               const LcPlanEntry *engines,
                               size_t n_engines,
                               const LbName *models,
                               size_t n_models,
                               const LcDemand *demand,
                               LbTime now);

#endif

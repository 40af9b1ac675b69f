#include "lc-engine-plan.h"

#include "lc-engine-shares.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lb-switch.h"

#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Half-life of the recorded demand. It spans several batches, since trainers submit a batch every
 * few seconds, with very different lengths. */
#define DEMAND_HALF_LIFE (20 * LB_SEC)
/* Minimum imbalance that moves the first engine: MIN_IMBALANCE_ENGINES plus
 * MIN_IMBALANCE_SHARE_FACTOR of an even share of engines. The imbalance is the number of engines
 * that one model lacks plus the number that another has in excess. A smaller imbalance is noise:
 * over five steps of 40 texts, random text lengths shift a tenth of the share. Each move costs a
 * load of weights and the engine's cache. */
#define MIN_IMBALANCE_ENGINES 1.4
#define MIN_IMBALANCE_SHARE_FACTOR 0.1
/* Minimum imbalance for the moves after the first one, which make the assignment as even as whole
 * engines allow. A move changes the sum of the squared deviations by 2 - 2 x (lack + excess), so it
 * is an improvement only if lack plus excess is above 1; 0.01 is far above rounding errors. Each
 * move lowers the sum, so the loop ends. Without this bound, two models with a lack of 0.7 and an
 * excess of 0.2 took the same engine from each other in an endless loop, which blocked the
 * instance. */
#define MIN_IMBALANCE_AFTER_FIRST_MOVE 1.01
/* Tolerance in engines for rounding errors in sums of capacities. */
#define CAPACITY_ROUNDING 1e-6

void
lc_engine_plan_clear (LcEnginePlan *plan)
{
  free (plan->entries);
  memset (plan, 0, sizeof *plan);
}

void
lc_engine_plan_copy (LcEnginePlan *target, const LcEnginePlan *source)
{
  target->n_entries = source->n_entries;
  target->entries = lb_memdup (source->entries, source->n_entries * sizeof *source->entries);
}

/* Returns the index of the engine's entry, or the index to insert it at. Entries are sorted by
 * engine name: with a linear search, processing each list of 1,000 engines took 3 ms on every
 * instance. */
static size_t
find_engine_position (const LcEnginePlan *plan, const char *engine)
{
  size_t low = 0;
  size_t high = plan->n_entries;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      if (strcmp (plan->entries[middle].engine, engine) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static bool
has_plan_entry_at (const LcEnginePlan *plan, size_t position, const char *engine)
{
  return position < plan->n_entries && strcmp (plan->entries[position].engine, engine) == 0;
}

const LcPlanEntry *
lc_engine_plan_find (const LcEnginePlan *plan, const char *engine)
{
  size_t position = find_engine_position (plan, engine);

  return has_plan_entry_at (plan, position, engine) ? &plan->entries[position] : NULL;
}

static bool
is_same_plan_entry (const LcPlanEntry *a, const LcPlanEntry *b)
{
  return strcmp (a->engine, b->engine) == 0 && strcmp (a->model, b->model) == 0
         && a->version == b->version && a->loading == b->loading;
}

static void
insert_plan_entry_at (LcEnginePlan *plan, size_t position, const LcPlanEntry *entry)
{
  plan->entries = lb_realloc (plan->entries, (plan->n_entries + 1) * sizeof *plan->entries);
  memmove (&plan->entries[position + 1], &plan->entries[position],
           (plan->n_entries - position) * sizeof *plan->entries);
  plan->entries[position] = *entry;
  plan->n_entries++;
}

bool
lc_engine_plan_put (LcEnginePlan *plan, const LcPlanEntry *entry)
{
  size_t position = find_engine_position (plan, entry->engine);

  if (!has_plan_entry_at (plan, position, entry->engine))
    {
      insert_plan_entry_at (plan, position, entry);
      return true;
    }
  bool changed = !is_same_plan_entry (&plan->entries[position], entry);
  plan->entries[position] = *entry;
  return changed;
}

static bool
is_engine_in_list (const LcPlanEntry *entry, const LcPlanEntry *engines, size_t n_engines)
{
  for (size_t i = 0; i < n_engines; i++)
    if (strcmp (engines[i].engine, entry->engine) == 0)
      return true;
  return false;
}

bool
lc_engine_plan_retain_engines (LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines)
{
  size_t n_kept = 0;

  for (size_t i = 0; i < plan->n_entries; i++)
    if (is_engine_in_list (&plan->entries[i], engines, n_engines))
      plan->entries[n_kept++] = plan->entries[i];
  bool changed = n_kept != plan->n_entries;
  plan->n_entries = n_kept;
  return changed;
}

bool
lc_engine_plan_is_same (const LcEnginePlan *a, const LcEnginePlan *b)
{
  if (a->n_entries != b->n_entries)
    return false;
  for (size_t i = 0; i < a->n_entries; i++)
    {
      const LcPlanEntry *other = lc_engine_plan_find (b, a->entries[i].engine);
      if (!other || !is_same_plan_entry (&a->entries[i], other))
        return false;
    }
  return true;
}

static size_t
get_plan_part_index_of_engine (const char *engine)
{
  return XXH3_64bits (engine, strlen (engine)) % LC_ENGINE_PLAN_PARTS;
}

static void
append_plan_entries (LcEnginePlan *plan, const LcPlanEntry *entries, size_t n_entries)
{
  plan->entries
      = lb_realloc (plan->entries, (plan->n_entries + n_entries + 1) * sizeof *plan->entries);
  memcpy (&plan->entries[plan->n_entries], entries, n_entries * sizeof *entries);
  plan->n_entries += n_entries;
}

void
lc_engine_plan_copy_part (const LcEnginePlan *plan, size_t index, LcEnginePlan *part)
{
  memset (part, 0, sizeof *part);
  for (size_t i = 0; i < plan->n_entries; i++)
    if (get_plan_part_index_of_engine (plan->entries[i].engine) == index)
      append_plan_entries (part, &plan->entries[i], 1);
}

static int
compare_engine_names (const void *a, const void *b)
{
  return strcmp (((const LcPlanEntry *)a)->engine, ((const LcPlanEntry *)b)->engine);
}

void
lc_engine_plan_join_parts (const LcEnginePlan *parts, LcEnginePlan *plan)
{
  memset (plan, 0, sizeof *plan);
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    if (parts[i].n_entries > 0)
      append_plan_entries (plan, parts[i].entries, parts[i].n_entries);
  if (plan->n_entries > 0)
    qsort (plan->entries, plan->n_entries, sizeof *plan->entries, compare_engine_names);
}

struct json_object *
lc_engine_plan_to_json (const LcEnginePlan *plan)
{
  struct json_object *object = json_object_new_object ();

  for (size_t i = 0; i < plan->n_entries; i++)
    {
      const LcPlanEntry *entry = &plan->entries[i];
      struct json_object *item = json_object_new_object ();
      json_object_object_add (item, "model", json_object_new_string (entry->model));
      json_object_object_add (item, "version", json_object_new_int64 (entry->version));
      json_object_object_add (item, "loading", json_object_new_boolean (entry->loading));
      json_object_object_add (object, entry->engine, item);
    }
  return object;
}

bool
lc_engine_plan_from_json (struct json_object *object, LcEnginePlan *plan)
{
  memset (plan, 0, sizeof *plan);
  if (!json_object_is_type (object, json_type_object))
    return false;
  json_object_object_foreach (object, engine, item)
  {
    LcPlanEntry entry = { .version = lb_json_int (item, "version", 0),
                          .loading = lb_json_bool (item, "loading", false) };
    LB_COPY (entry.engine, engine);
    LB_COPY (entry.model, lb_json_text (item, "model", ""));
    if (entry.model[0])
      lc_engine_plan_put (plan, &entry);
  }
  return true;
}

/* --- demand for each model, in tokens that trainers requested --- */

typedef struct
{
  LbName model; /* key in LcDemand.by_model */
  double tokens;
  LbTime updated_at;
  UT_hash_handle hh;
} ModelDemand;

struct LcDemand
{
  ModelDemand *by_model;
};

LcDemand *
lc_demand_new (void)
{
  return LB_NEW (LcDemand);
}

void
lc_demand_free (LcDemand *demand)
{
  ModelDemand *model_demand, *next;

  if (!demand)
    return;
  HASH_ITER (hh, demand->by_model, model_demand, next)
  {
    HASH_DEL (demand->by_model, model_demand);
    free (model_demand);
  }
  free (demand);
}

static ModelDemand *
find_model_demand (const LcDemand *demand, const char *model)
{
  ModelDemand *model_demand = NULL;

  HASH_FIND_STR (demand->by_model, model, model_demand);
  return model_demand;
}

static double
get_decayed_demand_tokens (const ModelDemand *model_demand, LbTime now)
{
  return model_demand->tokens
         * exp2 (-(double)(now - model_demand->updated_at) / (double)DEMAND_HALF_LIFE);
}

void
lc_demand_add (LcDemand *demand, const char *model, double tokens, LbTime now)
{
  ModelDemand *model_demand = find_model_demand (demand, model);

  if (!model_demand)
    {
      model_demand = LB_NEW (ModelDemand);
      LB_COPY (model_demand->model, model);
      HASH_ADD_STR (demand->by_model, model, model_demand);
    }
  model_demand->tokens
      = (model_demand->updated_at > 0 ? get_decayed_demand_tokens (model_demand, now) : 0) + tokens;
  model_demand->updated_at = now;
}

bool
lc_demand_is_empty (const LcDemand *demand)
{
  return demand->by_model == NULL;
}

double
lc_demand_tokens (const LcDemand *demand, const char *model, LbTime now)
{
  const ModelDemand *model_demand = find_model_demand (demand, model);

  return model_demand ? get_decayed_demand_tokens (model_demand, now) : 0;
}

/* --- assignment of engines to models --- */

static size_t
find_model_share_index (const LcModelShare *shares, size_t n, const char *model)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (shares[i].model, model) == 0)
      return i;
  return n;
}

/* An assignment of engines to models that is being changed. */
typedef struct
{
  LcPlanEntry *engines;
  double *capacities;    /* of each engine; the average is 1 */
  size_t *model_indexes; /* of each engine: index in shares, or n_models if there is none */
  size_t n_engines;
  LcModelShare *shares;
  size_t n_models;
} Assignment;

/* Returns the engine of the model `from` whose move brings both models closest to their shares.
 * imbalance: what the model has too much, plus what the other model lacks. Returns n_engines if no
 * move is an improvement, or each would take the model below its min_share. */
static size_t
find_engine_to_move (const Assignment *assignment, size_t from, double imbalance)
{
  const LcModelShare *share = &assignment->shares[from];
  const double *capacities = assignment->capacities;
  double movable = share->capacity - share->min_share + CAPACITY_ROUNDING;
  size_t best = assignment->n_engines;

  for (size_t i = 0; i < assignment->n_engines && share->n_engines > 1; i++)
    if (assignment->model_indexes[i] == from && capacities[i] <= movable
        && imbalance >= capacities[i] * MIN_IMBALANCE_AFTER_FIRST_MOVE
        && (best == assignment->n_engines
            || fabs (2 * capacities[i] - imbalance) < fabs (2 * capacities[best] - imbalance)))
      best = i;
  return best;
}

typedef struct
{
  size_t engine;
  size_t to;   /* index of the model that gets the engine */
  size_t from; /* index of the model that loses the engine */
} EngineMove;

/* Finds the model that lacks most and, among the models that have an engine to move, the one with
 * the largest excess. Returns true if an engine should move from the latter to the former. */
static bool
find_engine_move (const Assignment *assignment, double min_imbalance, EngineMove *move)
{
  const LcModelShare *shares = assignment->shares;
  double largest = min_imbalance;
  bool is_found = false;

  move->to = 0;
  for (size_t i = 1; i < assignment->n_models; i++)
    if (shares[i].share - shares[i].capacity > shares[move->to].share - shares[move->to].capacity)
      move->to = i;
  double lack = shares[move->to].share - shares[move->to].capacity;
  for (size_t i = 0; i < assignment->n_models; i++)
    {
      double imbalance = lack + shares[i].capacity - shares[i].share;
      if (i == move->to || imbalance < largest || (is_found && imbalance <= largest))
        continue;
      size_t engine = find_engine_to_move (assignment, i, imbalance);
      if (engine == assignment->n_engines)
        continue;
      move->engine = engine;
      move->from = i;
      largest = imbalance;
      is_found = true;
    }
  return is_found;
}

static void
add_engine_to_share (Assignment *assignment, size_t engine, size_t model)
{
  assignment->model_indexes[engine] = model;
  if (model == assignment->n_models)
    return;
  assignment->shares[model].capacity += assignment->capacities[engine];
  assignment->shares[model].n_engines++;
}

static void
remove_engine_from_share (Assignment *assignment, size_t engine, size_t model)
{
  assignment->shares[model].capacity -= assignment->capacities[engine];
  assignment->shares[model].n_engines--;
}

/* Moves engines one by one from models with too many to models with too few. */
static void
balance_engines (Assignment *assignment)
{
  double even_share = (double)assignment->n_engines / (double)assignment->n_models;
  double min_imbalance = MIN_IMBALANCE_ENGINES + MIN_IMBALANCE_SHARE_FACTOR * even_share;
  EngineMove move = { 0 };

  for (size_t i = 0; i < assignment->n_engines; i++)
    add_engine_to_share (assignment, i,
                         find_model_share_index (assignment->shares, assignment->n_models,
                                                 assignment->engines[i].model));
  for (; find_engine_move (assignment, min_imbalance, &move);
       min_imbalance = MIN_IMBALANCE_AFTER_FIRST_MOVE)
    {
      LB_COPY (assignment->engines[move.engine].model, assignment->shares[move.to].model);
      remove_engine_from_share (assignment, move.engine, move.from);
      add_engine_to_share (assignment, move.engine, move.to);
    }
}

/* Writes the assignment of engines to models to the plan. When the model of an entry changes, the
 * entry loses its weight version, which belonged to the previous model. */
static bool
store_assignment_in_plan (LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines)
{
  bool changed = lc_engine_plan_retain_engines (plan, engines, n_engines);

  for (size_t i = 0; i < n_engines; i++)
    {
      const LcPlanEntry *known = lc_engine_plan_find (plan, engines[i].engine);
      LcPlanEntry entry = { .version = 0 };
      if (known && strcmp (known->model, engines[i].model) == 0)
        continue;
      LB_COPY (entry.engine, engines[i].engine);
      LB_COPY (entry.model, engines[i].model);
      changed |= lc_engine_plan_put (plan, &entry);
    }
  return changed;
}

/* Returns the capacity of each engine in units of the average of those that state one, so that the
 * average is 1 and the bounds on the imbalance are numbers of engines. */
static double *
compute_relative_capacities (const double *capacities, size_t n_engines)
{
  double *relative = LB_NEW_ARRAY (double, n_engines + 1);
  double sum = 0;
  size_t n_stated = 0;

  if (!lb_switch_is_on (LB_SWITCH_LAG_SHARES))
    capacities = NULL;
  for (size_t i = 0; capacities && i < n_engines; i++)
    if (capacities[i] > 0)
      {
        sum += capacities[i];
        n_stated++;
      }
  for (size_t i = 0; i < n_engines; i++)
    relative[i] = capacities && capacities[i] > 0 ? capacities[i] / (sum / (double)n_stated) : 1;
  return relative;
}

bool
lc_engine_plan_divide (LcEnginePlan *plan,
                       const LcPlanEntry *engines,
                       const double *capacities,
                       size_t n_engines,
                       LcModelShare *shares,
                       size_t n_models)
{
  LcPlanEntry *assigned = lb_memdup (engines, n_engines * sizeof *engines);

  if (n_models > 1 && n_engines > n_models && lb_switch_is_on (LB_SWITCH_DIVISION))
    {
      Assignment assignment = { .engines = assigned,
                                .capacities = compute_relative_capacities (capacities, n_engines),
                                .model_indexes = LB_NEW_ARRAY (size_t, n_engines),
                                .n_engines = n_engines,
                                .shares = shares,
                                .n_models = n_models };
      lc_engine_shares_compute (shares, n_models, (double)n_engines);
      balance_engines (&assignment);
      free (assignment.capacities);
      free (assignment.model_indexes);
    }
  bool changed = store_assignment_in_plan (plan, assigned, n_engines);
  free (assigned);
  return changed;
}

bool
lc_engine_plan_rebalance (LcEnginePlan *plan,
                          const LcPlanEntry *engines,
                          size_t n_engines,
                          const LbName *models,
                          size_t n_models,
                          const LcDemand *demand,
                          LbTime now)
{
  LcModelShare *shares = LB_NEW_ARRAY (LcModelShare, n_models + 1);

  lc_engine_shares_init (shares, models, n_models, demand, NULL, now);
  bool changed = lc_engine_plan_divide (plan, engines, NULL, n_engines, shares, n_models);
  free (shares);
  return changed;
}

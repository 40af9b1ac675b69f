#include "lc-engine-plan.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lb-switch.h"

#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Trainers bring a batch every few seconds, of very different lengths: the mean is over several. */
#define HALF_LIFE (20 * LB_SEC)
/* Engines by which one model must lack its share and another have too many, together, before one is
 * moved, and beside them a part of an even share: less is noise of the lengths of texts, which in
 * five steps of 40 texts is a tenth of the share, and each move costs a load of weights and the
 * engine's cache. */
#define MIN_IMBALANCE 1.4
#define MIN_IMBALANCE_PART 0.1
/* Once engines are moved at all, the division becomes as even as whole engines allow. A move
 * changes the sum of the squares of what models lack by 2 - 2 x (lack of the one + spare of the
 * other), so it brings the division nearer to the demand only where these two are over 1 together;
 * the hundredth is far above what rounding adds. Each move then lowers that sum, so the moves end.
 * Without it, two models with a lack of 0.7 and a spare of 0.2 took the same engine from each other
 * for ever, and the instance stood still. */
#define MIN_GAIN 1.01

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

/* Where the engine's entry is, or belongs: entries are in order of the engines' names. Looked for
 * one by one, 1,000 engines took each instance 3 ms for each list of them. */
static size_t
place_of (const LcEnginePlan *plan, const char *engine)
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
is_at (const LcEnginePlan *plan, size_t place, const char *engine)
{
  return place < plan->n_entries && strcmp (plan->entries[place].engine, engine) == 0;
}

const LcPlanEntry *
lc_engine_plan_find (const LcEnginePlan *plan, const char *engine)
{
  size_t place = place_of (plan, engine);

  return is_at (plan, place, engine) ? &plan->entries[place] : NULL;
}

static bool
is_same_entry (const LcPlanEntry *a, const LcPlanEntry *b)
{
  return strcmp (a->engine, b->engine) == 0 && strcmp (a->model, b->model) == 0
         && a->version == b->version && a->loading == b->loading;
}

static void
insert_at (LcEnginePlan *plan, size_t place, const LcPlanEntry *entry)
{
  plan->entries = lb_realloc (plan->entries, (plan->n_entries + 1) * sizeof *plan->entries);
  memmove (&plan->entries[place + 1], &plan->entries[place],
           (plan->n_entries - place) * sizeof *plan->entries);
  plan->entries[place] = *entry;
  plan->n_entries++;
}

bool
lc_engine_plan_put (LcEnginePlan *plan, const LcPlanEntry *entry)
{
  size_t place = place_of (plan, entry->engine);

  if (!is_at (plan, place, entry->engine))
    {
      insert_at (plan, place, entry);
      return true;
    }
  bool changed = !is_same_entry (&plan->entries[place], entry);
  plan->entries[place] = *entry;
  return changed;
}

static bool
is_among (const LcPlanEntry *entry, const LcPlanEntry *engines, size_t n_engines)
{
  for (size_t i = 0; i < n_engines; i++)
    if (strcmp (engines[i].engine, entry->engine) == 0)
      return true;
  return false;
}

bool
lc_engine_plan_retain (LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines)
{
  size_t n_kept = 0;

  for (size_t i = 0; i < plan->n_entries; i++)
    if (is_among (&plan->entries[i], engines, n_engines))
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
      if (!other || !is_same_entry (&a->entries[i], other))
        return false;
    }
  return true;
}

static size_t
part_of (const char *engine)
{
  return XXH3_64bits (engine, strlen (engine)) % LC_ENGINE_PLAN_PARTS;
}

static void
append (LcEnginePlan *plan, const LcPlanEntry *entries, size_t n_entries)
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
    if (part_of (plan->entries[i].engine) == index)
      append (part, &plan->entries[i], 1);
}

static int
by_engine (const void *a, const void *b)
{
  return strcmp (((const LcPlanEntry *)a)->engine, ((const LcPlanEntry *)b)->engine);
}

void
lc_engine_plan_join_parts (const LcEnginePlan *parts, LcEnginePlan *plan)
{
  memset (plan, 0, sizeof *plan);
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    if (parts[i].n_entries > 0)
      append (plan, parts[i].entries, parts[i].n_entries);
  if (plan->n_entries > 0)
    qsort (plan->entries, plan->n_entries, sizeof *plan->entries, by_engine);
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

/* --- demand --- */

typedef struct
{
  LbName model; /* key */
  double tokens;
  LbTime at;
  UT_hash_handle hh;
} Work;

struct LcDemand
{
  Work *by_model;
};

LcDemand *
lc_demand_new (void)
{
  return LB_NEW (LcDemand);
}

void
lc_demand_free (LcDemand *demand)
{
  Work *work, *next;

  if (!demand)
    return;
  HASH_ITER (hh, demand->by_model, work, next)
  {
    HASH_DEL (demand->by_model, work);
    free (work);
  }
  free (demand);
}

static Work *
find_work (const LcDemand *demand, const char *model)
{
  Work *work = NULL;

  HASH_FIND_STR (demand->by_model, model, work);
  return work;
}

static double
decayed (const Work *work, LbTime now)
{
  return work->tokens * exp2 (-(double)(now - work->at) / (double)HALF_LIFE);
}

void
lc_demand_add (LcDemand *demand, const char *model, double tokens, LbTime now)
{
  Work *work = find_work (demand, model);

  if (!work)
    {
      work = LB_NEW (Work);
      LB_COPY (work->model, model);
      HASH_ADD_STR (demand->by_model, model, work);
    }
  work->tokens = (work->at > 0 ? decayed (work, now) : 0) + tokens;
  work->at = now;
}

bool
lc_demand_is_empty (const LcDemand *demand)
{
  return demand->by_model == NULL;
}

double
lc_demand_tokens (const LcDemand *demand, const char *model, LbTime now)
{
  const Work *work = find_work (demand, model);

  return work ? decayed (work, now) : 0;
}

/* --- the division --- */

typedef struct
{
  const char *name;
  double share; /* engines that its demand is worth, one at least */
  double has;
} Share;

static size_t
find_share (const Share *shares, size_t n, const char *model)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (shares[i].name, model) == 0)
      return i;
  return n;
}

/* Each model has one engine; the others go by demand, or evenly as long as there is none: engines
 * that were listed one after the other may be divided 5, 3 and 1, and the first steps wait. */
static void
fill_shares (Share *shares,
             const LbName *models,
             size_t n_models,
             size_t n_engines,
             const LcDemand *demand,
             LbTime now)
{
  double total = 0;

  for (size_t i = 0; i < n_models; i++)
    total += lc_demand_tokens (demand, models[i], now);
  for (size_t i = 0; i < n_models; i++)
    {
      double part
          = total > 0 ? lc_demand_tokens (demand, models[i], now) / total : 1 / (double)n_models;
      shares[i] = (Share){ .name = models[i], .share = 1 + part * (double)(n_engines - n_models) };
    }
}

/* The model that lacks most, and the one that has most to spare; true when an engine moved between
 * them brings the division nearer to the demand. */
static bool
find_move (const Share *shares, size_t n, double least, size_t *to, size_t *from)
{
  double lack;
  double spare;

  *to = 0;
  *from = 0;
  for (size_t i = 1; i < n; i++)
    {
      if (shares[i].share - shares[i].has > shares[*to].share - shares[*to].has)
        *to = i;
      if (shares[i].has - shares[i].share > shares[*from].has - shares[*from].share)
        *from = i;
    }
  lack = shares[*to].share - shares[*to].has;
  spare = shares[*from].has - shares[*from].share;
  return lack + spare >= least && shares[*from].has > 1;
}

static void
move_one (LcPlanEntry *engines, size_t n_engines, const char *from, const char *to)
{
  for (size_t i = 0; i < n_engines; i++)
    if (strcmp (engines[i].model, from) == 0)
      {
        LB_COPY (engines[i].model, to);
        return;
      }
}

/* What is known of weights does not hold for another model. */
static bool
apply (LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines)
{
  bool changed = lc_engine_plan_retain (plan, engines, n_engines);

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

/* Gives engines of models with too many to those with too few, one after the other. */
static void
move_by_demand (LcPlanEntry *engines, size_t n_engines, Share *shares, size_t n_models)
{
  double least = MIN_IMBALANCE + MIN_IMBALANCE_PART * (double)n_engines / (double)n_models;
  size_t to = 0;
  size_t from = 0;

  for (size_t i = 0; i < n_engines; i++)
    {
      size_t model = find_share (shares, n_models, engines[i].model);
      if (model < n_models)
        shares[model].has++;
    }
  for (; find_move (shares, n_models, least, &to, &from); least = MIN_GAIN)
    {
      move_one (engines, n_engines, shares[from].name, shares[to].name);
      shares[from].has--;
      shares[to].has++;
    }
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
  Share *shares = LB_NEW_ARRAY (Share, n_models + 1);
  LcPlanEntry *wanted = lb_memdup (engines, n_engines * sizeof *engines);

  if (n_models > 1 && n_engines > n_models && lb_switch_is_on (LB_SWITCH_DIVISION))
    {
      fill_shares (shares, models, n_models, n_engines, demand, now);
      move_by_demand (wanted, n_engines, shares, n_models);
    }
  bool changed = apply (plan, wanted, n_engines);
  free (wanted);
  free (shares);
  return changed;
}

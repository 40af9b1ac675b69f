#include "lc-engine-plan.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Trainers bring a batch every few seconds: this long ago they brought half as much as counts. */
#define HALF_LIFE (8 * LB_SEC)
/* Engines by which a model must lack its share before one is moved: less is noise of the lengths of
 * texts, and each move costs a load of weights and the engine's cache. */
#define LEAST_LACK 0.8

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

const char *
lc_engine_plan_model (const LcEnginePlan *plan, const char *engine)
{
  for (size_t i = 0; i < plan->n_entries; i++)
    if (strcmp (plan->entries[i].engine, engine) == 0)
      return plan->entries[i].model;
  return NULL;
}

struct json_object *
lc_engine_plan_to_json (const LcEnginePlan *plan)
{
  struct json_object *object = json_object_new_object ();

  for (size_t i = 0; i < plan->n_entries; i++)
    json_object_object_add (object, plan->entries[i].engine,
                            json_object_new_string (plan->entries[i].model));
  return object;
}

static void
add_entry (LcEnginePlan *plan, const char *engine, const char *model)
{
  plan->entries = lb_realloc (plan->entries, (plan->n_entries + 1) * sizeof *plan->entries);
  LcPlanEntry *entry = &plan->entries[plan->n_entries++];
  LB_COPY (entry->engine, engine);
  LB_COPY (entry->model, model);
}

bool
lc_engine_plan_from_json (struct json_object *object, LcEnginePlan *plan)
{
  memset (plan, 0, sizeof *plan);
  if (!json_object_is_type (object, json_type_object))
    return false;
  json_object_object_foreach (object, engine, model)
  {
    if (json_object_is_type (model, json_type_string))
      add_entry (plan, engine, json_object_get_string (model));
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

double
lc_demand_of (const LcDemand *demand, const char *model, LbTime now)
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

/* Each model has one engine; the others go by demand. */
static bool
fill_shares (Share *shares,
             const LbName *models,
             size_t n_models,
             size_t n_engines,
             const LcDemand *demand,
             LbTime now)
{
  double total = 0;

  for (size_t i = 0; i < n_models; i++)
    total += lc_demand_of (demand, models[i], now);
  for (size_t i = 0; i < n_models; i++)
    {
      double part = total > 0 ? lc_demand_of (demand, models[i], now) / total : 0;
      shares[i] = (Share){ .name = models[i],
                           .share = 1 + part * (double)(n_engines - n_models) };
    }
  return total > 0;
}

/* The model that lacks most, and the one that has most to spare. */
static bool
find_move (const Share *shares, size_t n, size_t *to, size_t *from)
{
  *to = 0;
  *from = 0;
  for (size_t i = 1; i < n; i++)
    {
      if (shares[i].share - shares[i].has > shares[*to].share - shares[*to].has)
        *to = i;
      if (shares[i].has - shares[i].share > shares[*from].has - shares[*from].share)
        *from = i;
    }
  return shares[*to].share - shares[*to].has >= LEAST_LACK && shares[*from].has > 1
         && shares[*from].has - shares[*from].share > 0;
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

static bool
is_same (const LcEnginePlan *plan, const LcPlanEntry *engines, size_t n_engines)
{
  if (plan->n_entries != n_engines)
    return false;
  for (size_t i = 0; i < n_engines; i++)
    {
      const char *model = lc_engine_plan_model (plan, engines[i].engine);
      if (!model || strcmp (model, engines[i].model) != 0)
        return false;
    }
  return true;
}

bool
lc_engine_plan_divide (LcEnginePlan *plan,
                       const LcPlanEntry *engines,
                       size_t n_engines,
                       const LbName *models,
                       size_t n_models,
                       const LcDemand *demand,
                       LbTime now)
{
  Share *shares = LB_NEW_ARRAY (Share, n_models + 1);
  LcPlanEntry *wanted = lb_memdup (engines, (n_engines + 1) * sizeof *engines);
  size_t to = 0;
  size_t from = 0;
  bool changed = false;

  if (n_models < 2 || n_engines <= n_models
      || !fill_shares (shares, models, n_models, n_engines, demand, now))
    goto out;
  for (size_t i = 0; i < n_engines; i++)
    {
      size_t model = find_share (shares, n_models, engines[i].model);
      if (model < n_models)
        shares[model].has++;
    }
  while (find_move (shares, n_models, &to, &from))
    {
      move_one (wanted, n_engines, shares[from].name, shares[to].name);
      shares[from].has--;
      shares[to].has++;
    }
  changed = !is_same (plan, wanted, n_engines);
  if (changed)
    {
      lc_engine_plan_clear (plan);
      for (size_t i = 0; i < n_engines; i++)
        add_entry (plan, wanted[i].engine, wanted[i].model);
    }
out:
  free (wanted);
  free (shares);
  return changed;
}

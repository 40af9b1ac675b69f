#include "lc-engine-plan.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define N 10

static const LbName models[] = { "short", "long" };

static void
make_engines (LcPlanEntry *engines)
{
  for (int i = 0; i < N; i++)
    {
      engines[i] = (LcPlanEntry){ .version = 0 };
      snprintf (engines[i].engine, LB_NAME_MAX, "i-%d", i);
      LB_COPY (engines[i].model, models[i % 2]);
    }
}

static int
count (const LcEnginePlan *plan, const char *model)
{
  int n = 0;

  for (size_t i = 0; i < plan->n_entries; i++)
    n += strcmp (plan->entries[i].model, model) == 0;
  return n;
}

/* One trainer brings four times the tokens of the other. With the engines shared evenly its steps
 * wait for places while the other's engines stand idle. */
Test (engine_plan, engines_go_where_the_work_is)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N];
  LbTime now = LB_SEC;

  make_engines (engines);
  lc_demand_add (demand, "short", 1000, now);
  lc_demand_add (demand, "long", 4000, now);
  cr_assert (lc_engine_plan_rebalance (&plan, engines, N, models, 2, demand, now));
  cr_assert_eq (count (&plan, "long"), 7);
  cr_assert_eq (count (&plan, "short"), 3);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

/* Demand moves a little with the lengths of texts; each move costs a load of weights. */
Test (engine_plan, a_small_change_moves_nothing)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N];
  LbTime now = LB_SEC;

  make_engines (engines);
  lc_demand_add (demand, "short", 1000, now);
  lc_demand_add (demand, "long", 1100, now);
  lc_engine_plan_rebalance (&plan, engines, N, models, 2, demand, now);
  cr_assert_eq (count (&plan, "short"), 5);
  cr_assert_not (lc_engine_plan_rebalance (&plan, engines, N, models, 2, demand, now));
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

Test (engine_plan, each_model_keeps_an_engine)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N];
  LbTime now = LB_SEC;

  make_engines (engines);
  lc_demand_add (demand, "long", 1e9, now);
  lc_engine_plan_rebalance (&plan, engines, N, models, 2, demand, now);
  cr_assert_eq (count (&plan, "short"), 1);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

Test (engine_plan, old_work_counts_less)
{
  LcDemand *demand = lc_demand_new ();

  lc_demand_add (demand, "m", 800, LB_SEC);
  cr_assert_float_eq (lc_demand_tokens (demand, "m", 21 * LB_SEC), 400, 1);
  cr_assert_eq (lc_demand_tokens (demand, "other", LB_SEC), 0);
  lc_demand_free (demand);
}

/* What is known of an engine's weights is of the model that it served: after it has changed its
 * model the old version would let requests go to weights that it does not have. */
Test (engine_plan, an_engine_that_changes_its_model_is_not_known_to_have_weights)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N];
  LbTime now = LB_SEC;

  make_engines (engines);
  lc_engine_plan_rebalance (&plan, engines, N, models, 2, demand, now);
  LcPlanEntry loaded = { .version = 9 };
  LB_COPY (loaded.engine, "i-1");
  LB_COPY (loaded.model, "long");
  lc_engine_plan_put (&plan, &loaded);
  LB_COPY (engines[1].model, "short");
  cr_assert (lc_engine_plan_rebalance (&plan, engines, N, models, 2, demand, now));
  cr_assert_str_eq (lc_engine_plan_find (&plan, "i-1")->model, "short");
  cr_assert_eq (lc_engine_plan_find (&plan, "i-1")->version, 0);
  cr_assert (lc_engine_plan_rebalance (&plan, engines, N - 1, models, 2, demand, now));
  cr_assert_null (lc_engine_plan_find (&plan, "i-9"), "one that has gone is named no more");
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

Test (engine_plan, says_the_same_after_a_round_trip)
{
  LcEnginePlan plan = { 0 };
  LcEnginePlan read;
  LcPlanEntry entry = { .version = 3, .loading = true };

  LB_COPY (entry.engine, "i-1");
  LB_COPY (entry.model, "m");
  lc_engine_plan_put (&plan, &entry);
  struct json_object *object = lc_engine_plan_to_json (&plan);
  cr_assert (lc_engine_plan_from_json (object, &read));
  cr_assert (lc_engine_plan_is_same (&plan, &read));
  json_object_put (object);
  lc_engine_plan_clear (&plan);
  lc_engine_plan_clear (&read);
}

/* Engines are noted in any order, and some go: each that is left is found, none twice. */
Test (engine_plan, every_engine_is_found_whatever_the_order_of_the_notes)
{
  static const char *const names[] = { "i-7", "i-1", "i-9", "i-3", "i-1", "i-5" };
  LcEnginePlan plan = { 0 };
  LcPlanEntry kept[2] = { { .engine = "i-9" }, { .engine = "i-3" } };

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      LcPlanEntry entry = { .version = (LcVersion)i };
      LB_COPY (entry.engine, names[i]);
      LB_COPY (entry.model, "m");
      cr_assert (lc_engine_plan_put (&plan, &entry));
    }
  cr_assert_eq (plan.n_entries, 5);
  cr_assert_eq (lc_engine_plan_find (&plan, "i-1")->version, 4);
  cr_assert_eq (lc_engine_plan_find (&plan, "i-7")->version, 0);
  cr_assert (lc_engine_plan_retain (&plan, kept, 2));
  cr_assert_eq (plan.n_entries, 2);
  cr_assert_eq (lc_engine_plan_find (&plan, "i-3")->version, 3);
  cr_assert_eq (lc_engine_plan_find (&plan, "i-9")->version, 2);
  cr_assert_null (lc_engine_plan_find (&plan, "i-5"));
  lc_engine_plan_clear (&plan);
}

/* --- any number of models, engines and any demand --- */

#define MAX_MODELS 10
#define MAX_ENGINES 100
#define N_DRAWS 4000

typedef struct
{
  LbName models[MAX_MODELS];
  size_t n_models;
  LcPlanEntry engines[MAX_ENGINES];
  size_t n_engines;
  double tokens[MAX_MODELS];
  LcDemand *demand;
} Draw;

static void
draw_init (Draw *draw, gsl_rng *random)
{
  memset (draw, 0, sizeof *draw);
  draw->demand = lc_demand_new ();
  draw->n_models = 1 + gsl_rng_uniform_int (random, MAX_MODELS);
  draw->n_engines = 1 + gsl_rng_uniform_int (random, MAX_ENGINES);
  for (size_t i = 0; i < draw->n_models; i++)
    {
      snprintf (draw->models[i], LB_NAME_MAX, "model-%zu", i);
      draw->tokens[i] = gsl_rng_uniform (random) * (gsl_rng_uniform_int (random, 4) == 0 ? 0 : 1e5);
      lc_demand_add (draw->demand, draw->models[i], draw->tokens[i], LB_SEC);
    }
  for (size_t i = 0; i < draw->n_engines; i++)
    {
      snprintf (draw->engines[i].engine, LB_NAME_MAX, "i-%03zu", i);
      LB_COPY (draw->engines[i].model, draw->models[gsl_rng_uniform_int (random, draw->n_models)]);
    }
}

/* How far the division is from what demand is worth, as the division itself states it. */
static double
unevenness (const Draw *draw, const LcEnginePlan *plan)
{
  double total = 0;
  double sum = 0;

  for (size_t i = 0; i < draw->n_models; i++)
    total += draw->tokens[i];
  for (size_t i = 0; i < draw->n_models && total > 0; i++)
    {
      double share = 1 + draw->tokens[i] / total * (double)(draw->n_engines - draw->n_models);
      double lack = share - count (plan, draw->models[i]);
      sum += lack * lack;
    }
  return sum;
}

/* The trainers of all models wait without end: the instance that plans the engines falls silent,
 * its successor gains the lease, plans in its turn and falls silent as well. With three models and
 * more two of them took the same engine from each other for ever. */
Test (engine_plan, a_division_ends_whatever_is_asked, .timeout = 20)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);

  for (unsigned long seed = 1; seed <= N_DRAWS; seed++)
    {
      Draw draw;
      LcEnginePlan before = { 0 };
      LcEnginePlan after = { 0 };
      gsl_rng_set (random, seed);
      draw_init (&draw, random);
      for (size_t i = 0; i < draw.n_engines; i++)
        lc_engine_plan_put (&before, &draw.engines[i]);
      lc_engine_plan_rebalance (&after, draw.engines, draw.n_engines, draw.models, draw.n_models,
                                draw.demand, LB_SEC);
      cr_assert_eq (after.n_entries, draw.n_engines, "seed %lu", seed);
      if (draw.n_engines > draw.n_models && draw.n_models > 1)
        cr_assert_leq (unevenness (&draw, &after), unevenness (&draw, &before) + 1e-6, "seed %lu",
                       seed);
      for (size_t i = 0; i < draw.n_models; i++)
        cr_assert (count (&after, draw.models[i]) > 0 || count (&before, draw.models[i]) == 0,
                   "seed %lu: a model lost its last engine", seed);
      cr_assert_not (lc_engine_plan_rebalance (&after, after.entries, after.n_entries, draw.models,
                                               draw.n_models, draw.demand, LB_SEC),
                     "seed %lu: the same again moves nothing", seed);
      lc_engine_plan_clear (&before);
      lc_engine_plan_clear (&after);
      lc_demand_free (draw.demand);
    }
  gsl_rng_free (random);
}

/* Nine engines, used for the models of these numbers. */
static void
make_nine (LcPlanEntry *engines, const LbName *names, const char *uses)
{
  for (int i = 0; i < 9; i++)
    {
      engines[i] = (LcPlanEntry){ .version = 0 };
      snprintf (engines[i].engine, LB_NAME_MAX, "i-%d", i);
      LB_COPY (engines[i].model, names[(int)uses[i]]);
    }
}

/* Three trainers of unlike demand. By the hash of their names the lightest model has four engines
 * and the heaviest two, whose texts wait in two waves: each step of it ends a second or two late,
 * all day, and its trainer falls a step behind. Both sides of the imbalance count. */
Test (engine_plan, the_heaviest_model_does_not_keep_the_fewest_engines)
{
  static const LbName three[] = { "light", "heavy", "middle" };
  static const char uses[9] = { 0, 0, 0, 0, 1, 1, 2, 2, 2 };
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[9];

  make_nine (engines, three, uses);
  lc_demand_add (demand, "light", 800, LB_SEC);
  lc_demand_add (demand, "heavy", 1150, LB_SEC);
  lc_demand_add (demand, "middle", 1179, LB_SEC);
  lc_engine_plan_rebalance (&plan, engines, 9, three, 3, demand, LB_SEC);
  cr_assert_eq (count (&plan, "light"), 3);
  cr_assert_eq (count (&plan, "heavy"), 3);
  cr_assert_eq (count (&plan, "middle"), 3);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

/* Endpoints register one after the other, and each list divides those that it names. The first
 * steps of a trainer wait for its one engine while another trainer has five. */
Test (engine_plan, without_demand_the_division_is_even)
{
  static const LbName three[] = { "a", "b", "c" };
  static const char uses[9] = { 0, 0, 0, 0, 0, 1, 1, 1, 2 };
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[9];

  make_nine (engines, three, uses);
  cr_assert (lc_demand_is_empty (demand));
  lc_engine_plan_rebalance (&plan, engines, 9, three, 3, demand, LB_SEC);
  cr_assert_eq (count (&plan, "a"), 3);
  cr_assert_eq (count (&plan, "b"), 3);
  cr_assert_eq (count (&plan, "c"), 3);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

/* Guards against a plan that outgrows a row of the store. */
Test (engine_plan, a_part_of_the_size_to_come_fits_a_row)
{
  enum
  {
    N_ENGINES = 7000,
    ROW_BYTES = 65536
  };
  LcEnginePlan plan = { 0 };
  LcEnginePlan parts[LC_ENGINE_PLAN_PARTS];
  LcEnginePlan joined;

  plan.entries = LB_NEW_ARRAY (LcPlanEntry, N_ENGINES);
  plan.n_entries = N_ENGINES;
  for (int i = 0; i < N_ENGINES; i++)
    {
      LcPlanEntry *entry = &plan.entries[i];
      snprintf (entry->engine, sizeof entry->engine, "i-%08x", i);
      LB_COPY (entry->model, "model-of-this-length");
      entry->version = 1000;
    }
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    {
      lc_engine_plan_copy_part (&plan, i, &parts[i]);
      struct json_object *object = lc_engine_plan_to_json (&parts[i]);
      cr_assert_lt (strlen (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN)),
                    ROW_BYTES);
      json_object_put (object);
    }
  lc_engine_plan_join_parts (parts, &joined);
  cr_assert (lc_engine_plan_is_same (&plan, &joined));
  for (size_t i = 0; i < LC_ENGINE_PLAN_PARTS; i++)
    lc_engine_plan_clear (&parts[i]);
  lc_engine_plan_clear (&plan);
  lc_engine_plan_clear (&joined);
}

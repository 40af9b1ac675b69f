#include "lc-engine-plan.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#define N_ENGINES 10

static const LbName models[] = { "short", "long" };

static void
make_engines_with_alternating_models (LcPlanEntry *engines)
{
  for (int i = 0; i < N_ENGINES; i++)
    {
      engines[i] = (LcPlanEntry){ .version = 0 };
      snprintf (engines[i].engine, LB_NAME_MAX, "i-%d", i);
      LB_COPY (engines[i].model, models[i % 2]);
    }
}

static int
count_engines_of_model (const LcEnginePlan *plan, const char *model)
{
  int n = 0;

  for (size_t i = 0; i < plan->n_entries; i++)
    n += strcmp (plan->entries[i].model, model) == 0;
  return n;
}

/* One trainer requests four times the tokens of the other. If both models had the same number of
 * engines, its steps would queue while engines of the other model are idle. */
Test (engine_plan, engines_are_assigned_in_proportion_to_demand)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N_ENGINES];
  LbTime now = LB_SEC;

  make_engines_with_alternating_models (engines);
  lc_demand_add (demand, "short", 1000, now);
  lc_demand_add (demand, "long", 4000, now);
  cr_assert (lc_engine_plan_rebalance (&plan, engines, N_ENGINES, models, 2, demand, now));
  cr_assert_eq (count_engines_of_model (&plan, "long"), 7);
  cr_assert_eq (count_engines_of_model (&plan, "short"), 3);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

/* The demand for a model varies slightly with the lengths of its texts. A small imbalance must not
 * move an engine to another model, since each move costs a load of weights. */
Test (engine_plan, small_imbalance_moves_no_engine)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N_ENGINES];
  LbTime now = LB_SEC;

  make_engines_with_alternating_models (engines);
  lc_demand_add (demand, "short", 1000, now);
  lc_demand_add (demand, "long", 1100, now);
  lc_engine_plan_rebalance (&plan, engines, N_ENGINES, models, 2, demand, now);
  cr_assert_eq (count_engines_of_model (&plan, "short"), 5);
  cr_assert_not (lc_engine_plan_rebalance (&plan, engines, N_ENGINES, models, 2, demand, now));
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

Test (engine_plan, model_without_demand_keeps_one_engine)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N_ENGINES];
  LbTime now = LB_SEC;

  make_engines_with_alternating_models (engines);
  lc_demand_add (demand, "long", 1e9, now);
  lc_engine_plan_rebalance (&plan, engines, N_ENGINES, models, 2, demand, now);
  cr_assert_eq (count_engines_of_model (&plan, "short"), 1);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

Test (engine_plan, demand_halves_in_20_seconds)
{
  LcDemand *demand = lc_demand_new ();

  lc_demand_add (demand, "m", 800, LB_SEC);
  cr_assert_float_eq (lc_demand_tokens (demand, "m", 21 * LB_SEC), 400, 1);
  cr_assert_eq (lc_demand_tokens (demand, "other", LB_SEC), 0);
  lc_demand_free (demand);
}

/* The version of an engine belongs to the model that it served. If the version were kept after a
 * change of the model, requests would be routed to weights that the engine does not have. */
Test (engine_plan, engine_that_changes_its_model_loses_its_version)
{
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[N_ENGINES];
  LbTime now = LB_SEC;

  make_engines_with_alternating_models (engines);
  lc_engine_plan_rebalance (&plan, engines, N_ENGINES, models, 2, demand, now);
  LcPlanEntry loaded = { .version = 9 };
  LB_COPY (loaded.engine, "i-1");
  LB_COPY (loaded.model, "long");
  lc_engine_plan_put (&plan, &loaded);
  LB_COPY (engines[1].model, "short");
  cr_assert (lc_engine_plan_rebalance (&plan, engines, N_ENGINES, models, 2, demand, now));
  cr_assert_str_eq (lc_engine_plan_find (&plan, "i-1")->model, "short");
  cr_assert_eq (lc_engine_plan_find (&plan, "i-1")->version, 0);
  cr_assert (lc_engine_plan_rebalance (&plan, engines, N_ENGINES - 1, models, 2, demand, now));
  cr_assert_null (lc_engine_plan_find (&plan, "i-9"),
                  "engine i-9 left and must be removed from the plan");
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

Test (engine_plan, json_round_trip_preserves_the_plan)
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

/* Engines are added to a plan in unsorted order, one of them twice, and some are removed. Each
 * engine that remains must be found once. */
Test (engine_plan, engines_put_in_unsorted_order_are_found)
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
  cr_assert (lc_engine_plan_retain_engines (&plan, kept, 2));
  cr_assert_eq (plan.n_entries, 2);
  cr_assert_eq (lc_engine_plan_find (&plan, "i-3")->version, 3);
  cr_assert_eq (lc_engine_plan_find (&plan, "i-9")->version, 2);
  cr_assert_null (lc_engine_plan_find (&plan, "i-5"));
  lc_engine_plan_clear (&plan);
}

/* --- plans with random models, engines and demand --- */

#define MAX_MODELS 10
#define MAX_ENGINES 100
#define N_RANDOM_CASES 4000

typedef struct
{
  LbName models[MAX_MODELS];
  size_t n_models;
  LcPlanEntry engines[MAX_ENGINES];
  size_t n_engines;
  double tokens[MAX_MODELS];
  LcDemand *demand;
} RandomCase;

static void
random_plan_case_init (RandomCase *random_case, gsl_rng *random)
{
  memset (random_case, 0, sizeof *random_case);
  random_case->demand = lc_demand_new ();
  random_case->n_models = 1 + gsl_rng_uniform_int (random, MAX_MODELS);
  random_case->n_engines = 1 + gsl_rng_uniform_int (random, MAX_ENGINES);
  for (size_t i = 0; i < random_case->n_models; i++)
    {
      snprintf (random_case->models[i], LB_NAME_MAX, "model-%zu", i);
      random_case->tokens[i]
          = gsl_rng_uniform (random) * (gsl_rng_uniform_int (random, 4) == 0 ? 0 : 1e5);
      lc_demand_add (random_case->demand, random_case->models[i], random_case->tokens[i], LB_SEC);
    }
  for (size_t i = 0; i < random_case->n_engines; i++)
    {
      snprintf (random_case->engines[i].engine, LB_NAME_MAX, "i-%03zu", i);
      LB_COPY (random_case->engines[i].model,
               random_case->models[gsl_rng_uniform_int (random, random_case->n_models)]);
    }
}

/* Returns the sum over the models of the squared deviation from the share by demand, which
 * lc_engine_plan_rebalance reduces. */
static double
sum_squared_deviations_from_demand (const RandomCase *random_case, const LcEnginePlan *plan)
{
  double total = 0;
  double sum = 0;

  for (size_t i = 0; i < random_case->n_models; i++)
    total += random_case->tokens[i];
  for (size_t i = 0; i < random_case->n_models && total > 0; i++)
    {
      double share = 1
                     + random_case->tokens[i] / total
                           * (double)(random_case->n_engines - random_case->n_models);
      double lack = share - count_engines_of_model (plan, random_case->models[i]);
      sum += lack * lack;
    }
  return sum;
}

/* Rebalancing must end for any demand. With three or more models, two of them could take the same
 * engine from each other in an endless loop. This blocked the planning instance and then each
 * successor, and all trainers waited. */
Test (engine_plan, rebalancing_ends_for_any_demand, .timeout = 20)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);

  for (unsigned long seed = 1; seed <= N_RANDOM_CASES; seed++)
    {
      RandomCase random_case;
      LcEnginePlan before = { 0 };
      LcEnginePlan after = { 0 };
      gsl_rng_set (random, seed);
      random_plan_case_init (&random_case, random);
      for (size_t i = 0; i < random_case.n_engines; i++)
        lc_engine_plan_put (&before, &random_case.engines[i]);
      lc_engine_plan_rebalance (&after, random_case.engines, random_case.n_engines,
                                random_case.models, random_case.n_models, random_case.demand,
                                LB_SEC);
      cr_assert_eq (after.n_entries, random_case.n_engines,
                    "seed %lu: expected all engines in the plan", seed);
      if (random_case.n_engines > random_case.n_models && random_case.n_models > 1)
        cr_assert_leq (sum_squared_deviations_from_demand (&random_case, &after),
                       sum_squared_deviations_from_demand (&random_case, &before) + 1e-6,
                       "seed %lu: rebalancing increased the deviation", seed);
      for (size_t i = 0; i < random_case.n_models; i++)
        cr_assert (count_engines_of_model (&after, random_case.models[i]) > 0
                       || count_engines_of_model (&before, random_case.models[i]) == 0,
                   "seed %lu: a model lost its last engine", seed);
      cr_assert_not (lc_engine_plan_rebalance (&after, after.entries, after.n_entries,
                                               random_case.models, random_case.n_models,
                                               random_case.demand, LB_SEC),
                     "seed %lu: a second run must not move engines", seed);
      lc_engine_plan_clear (&before);
      lc_engine_plan_clear (&after);
      lc_demand_free (random_case.demand);
    }
  gsl_rng_free (random);
}

/* Makes nine engines. model_indexes: for each engine, the index in `names` of the model to which
 * the engine is assigned. */
static void
make_nine_engines (LcPlanEntry *engines, const LbName *names, const char *model_indexes)
{
  for (int i = 0; i < 9; i++)
    {
      engines[i] = (LcPlanEntry){ .version = 0 };
      snprintf (engines[i].engine, LB_NAME_MAX, "i-%d", i);
      LB_COPY (engines[i].model, names[(int)model_indexes[i]]);
    }
}

/* Initially the model with the least demand has four engines and one with high demand has two, so
 * that each step of the latter runs in two rounds and ends one to two seconds late. An engine must
 * be moved if the surplus of one model plus the shortage of the other exceeds the threshold, even
 * if neither of the two does alone. */
Test (engine_plan, lack_and_excess_both_count_as_imbalance)
{
  static const LbName three_models[] = { "light", "heavy", "middle" };
  static const char model_indexes[9] = { 0, 0, 0, 0, 1, 1, 2, 2, 2 };
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[9];

  make_nine_engines (engines, three_models, model_indexes);
  lc_demand_add (demand, "light", 800, LB_SEC);
  lc_demand_add (demand, "heavy", 1150, LB_SEC);
  lc_demand_add (demand, "middle", 1179, LB_SEC);
  lc_engine_plan_rebalance (&plan, engines, 9, three_models, 3, demand, LB_SEC);
  cr_assert_eq (count_engines_of_model (&plan, "light"), 3);
  cr_assert_eq (count_engines_of_model (&plan, "heavy"), 3);
  cr_assert_eq (count_engines_of_model (&plan, "middle"), 3);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

/* Engines that register one after the other are assigned in the order in which they are listed: in
 * this case 5, 3 and 1 to the three models. Without rebalancing, the first steps of a trainer would
 * wait for the only engine of its model. */
Test (engine_plan, engines_are_assigned_evenly_without_demand)
{
  static const LbName three_models[] = { "a", "b", "c" };
  static const char model_indexes[9] = { 0, 0, 0, 0, 0, 1, 1, 1, 2 };
  LcDemand *demand = lc_demand_new ();
  LcEnginePlan plan = { 0 };
  LcPlanEntry engines[9];

  make_nine_engines (engines, three_models, model_indexes);
  cr_assert (lc_demand_is_empty (demand));
  lc_engine_plan_rebalance (&plan, engines, 9, three_models, 3, demand, LB_SEC);
  cr_assert_eq (count_engines_of_model (&plan, "a"), 3);
  cr_assert_eq (count_engines_of_model (&plan, "b"), 3);
  cr_assert_eq (count_engines_of_model (&plan, "c"), 3);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

/* Each stored part of the largest expected plan must fit into a row of the store. */
Test (engine_plan, each_part_of_a_large_plan_fits_a_store_row)
{
  enum
  {
    N_PLANNED = 7000,
    ROW_BYTES = 65536
  };
  LcEnginePlan plan = { 0 };
  LcEnginePlan parts[LC_ENGINE_PLAN_PARTS];
  LcEnginePlan joined;

  plan.entries = LB_NEW_ARRAY (LcPlanEntry, N_PLANNED);
  plan.n_entries = N_PLANNED;
  for (int i = 0; i < N_PLANNED; i++)
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

#include "lc-engine-plan.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
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
  cr_assert (lc_engine_plan_divide (&plan, engines, N, models, 2, demand, now));
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
  lc_engine_plan_divide (&plan, engines, N, models, 2, demand, now);
  cr_assert_eq (count (&plan, "short"), 5);
  cr_assert_not (lc_engine_plan_divide (&plan, engines, N, models, 2, demand, now));
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
  lc_engine_plan_divide (&plan, engines, N, models, 2, demand, now);
  cr_assert_eq (count (&plan, "short"), 1);
  lc_engine_plan_clear (&plan);
  lc_demand_free (demand);
}

Test (engine_plan, old_work_counts_less)
{
  LcDemand *demand = lc_demand_new ();

  lc_demand_add (demand, "m", 800, LB_SEC);
  cr_assert_float_eq (lc_demand_of (demand, "m", 21 * LB_SEC), 400, 1);
  cr_assert_eq (lc_demand_of (demand, "other", LB_SEC), 0);
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
  lc_engine_plan_divide (&plan, engines, N, models, 2, demand, now);
  LcPlanEntry loaded = { .version = 9 };
  LB_COPY (loaded.engine, "i-1");
  LB_COPY (loaded.model, "long");
  lc_engine_plan_note (&plan, &loaded);
  LB_COPY (engines[1].model, "short");
  cr_assert (lc_engine_plan_divide (&plan, engines, N, models, 2, demand, now));
  cr_assert_str_eq (lc_engine_plan_find (&plan, "i-1")->model, "short");
  cr_assert_eq (lc_engine_plan_find (&plan, "i-1")->version, 0);
  cr_assert (lc_engine_plan_divide (&plan, engines, N - 1, models, 2, demand, now));
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
  lc_engine_plan_note (&plan, &entry);
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
      cr_assert (lc_engine_plan_note (&plan, &entry));
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

#include "lc-roster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define N_ENGINES 9

static LcRegistration
engine (int number)
{
  LcRegistration listed = { .slots = 8, .n_models = 2 };

  snprintf (listed.name, sizeof listed.name, "i-%d", number);
  snprintf (listed.address, sizeof listed.address, "10.0.0.%d:80", number);
  LB_COPY (listed.service, "engines");
  LB_COPY (listed.models[0].name, "reader");
  LB_COPY (listed.models[1].name, "writer");
  listed.models[0].version = 1;
  listed.models[1].version = 1;
  return listed;
}

static void
list_engines (LcRegistration *list, int n)
{
  for (int i = 0; i < n; i++)
    list[i] = engine (i);
}

static int
count_model (const LcRoster *roster, const char *model)
{
  int count = 0;

  for (size_t i = 0; i < lc_roster_count (roster); i++)
    count += strcmp (lc_roster_model (roster, i), model) == 0;
  return count;
}

/* The store is away for four seconds; nobody can renew an entry, and the store drops them all. The
 * first list after its return is empty. Were it believed, all engines would be gone at once
 * although they serve. */
Test (roster, entries_that_lapsed_with_the_store_count_as_alive_for_a_while)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = 10 * LB_SEC;

  list_engines (list, N_ENGINES);
  cr_assert (lc_roster_update (roster, list, N_ENGINES, now, now));
  now += 4 * LB_SEC;
  lc_roster_update (roster, list, 0, now, now);
  cr_assert_eq (lc_roster_count (roster), N_ENGINES);
  now += 400 * LB_MSEC;
  lc_roster_update (roster, list, 4, now, now);
  cr_assert_eq (lc_roster_count (roster), N_ENGINES);
  for (int i = 0; i < 6; i++)
    {
      now += 400 * LB_MSEC;
      lc_roster_update (roster, list, 4, now, now);
    }
  cr_assert_eq (lc_roster_count (roster), 4, "what has not come back by then is gone");
  lc_roster_free (roster);
}

/* An engine is lost while the store answers as always: it takes no work from the next list on. */
Test (roster, an_entry_that_goes_while_the_store_answers_is_gone)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];

  list_engines (list, N_ENGINES);
  lc_roster_update (roster, list, N_ENGINES, LB_SEC, LB_SEC);
  cr_assert (lc_roster_update (roster, list, N_ENGINES - 1, 1400 * LB_MSEC, 1400 * LB_MSEC));
  cr_assert_eq (lc_roster_count (roster), N_ENGINES - 1);
  lc_roster_free (roster);
}

/* Two models on nine engines: each instance must find the same division by itself, or weights would
 * be loaded where nobody asks for them. */
Test (roster, engines_are_divided_alike_whatever_the_order_of_the_list)
{
  LcRoster *first = lc_roster_new ();
  LcRoster *second = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LcRegistration reversed[N_ENGINES];

  list_engines (list, N_ENGINES);
  for (int i = 0; i < N_ENGINES; i++)
    reversed[i] = list[N_ENGINES - 1 - i];
  lc_roster_update (first, list, N_ENGINES, LB_SEC, LB_SEC);
  lc_roster_update (second, reversed, N_ENGINES, LB_SEC, LB_SEC);
  for (size_t i = 0; i < N_ENGINES; i++)
    {
      cr_assert_str_eq (lc_roster_registration (first, i)->name,
                        lc_roster_registration (second, i)->name);
      cr_assert_str_eq (lc_roster_model (first, i), lc_roster_model (second, i));
    }
  cr_assert_geq (count_model (first, "reader"), 4);
  cr_assert_geq (count_model (first, "writer"), 4);
  lc_roster_free (first);
  lc_roster_free (second);
}

/* The plan says more than the engine's own entry, which lags: its model, and that it has loaded. */
Test (roster, the_plan_goes_before_the_own_division)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LcEnginePlan plan = { 0 };
  LcPlanEntry entry = { .version = 7 };

  list_engines (list, N_ENGINES);
  lc_roster_update (roster, list, N_ENGINES, LB_SEC, LB_SEC);
  LB_COPY (entry.model, "writer");
  for (int i = 0; i < N_ENGINES; i++)
    {
      snprintf (entry.engine, sizeof entry.engine, "i-%d", i);
      lc_engine_plan_put (&plan, &entry);
    }
  cr_assert (lc_roster_set_plan (roster, &plan));
  cr_assert_eq (count_model (roster, "writer"), N_ENGINES);
  cr_assert_eq (lc_roster_latest_version (roster, 0), 7);
  cr_assert_not (lc_roster_set_plan (roster, &plan), "the same plan again is no news");
  lc_engine_plan_clear (&plan);
  lc_roster_free (roster);
}

Test (roster, resources_hold_a_pool_for_each_model_and_every_endpoint)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[2] = { engine (1), { .slots = 6 } };

  LB_COPY (list[1].name, "i-lookup");
  LB_COPY (list[1].address, "10.0.0.9:80");
  LB_COPY (list[1].service, "lookup");
  list[1].leaving = true;
  lc_roster_update (roster, list, 2, LB_SEC, LB_SEC);
  LcResourceSet *set = lc_roster_to_resources (roster, 5, true);
  cr_assert_eq (set->n_pools, 2);
  cr_assert_eq (set->n_endpoints, 2);
  const LcEndpointMember *lookup = lc_resource_set_find_endpoint (set, "i-lookup");
  cr_assert_eq (lookup->kind, LC_ENDPOINT_SERVICE);
  cr_assert_str_eq (lookup->pool, "lookup");
  cr_assert (lookup->leaving);
  lc_resource_set_free (set);
  lc_roster_free (roster);
}

/* A deployment whose engines obey any holder of the lease: believed to check, they would be ordered
 * by the next holder while the last order of the one before is on its way. */
Test (roster, engines_check_orders_only_where_the_operators_say_so)
{
  for (int checks = 0; checks < 2; checks++)
    {
      LcRoster *roster = lc_roster_new ();
      LcRegistration listed = engine (1);

      lc_roster_update (roster, &listed, 1, LB_SEC, LB_SEC);
      LcResourceSet *set = lc_roster_to_resources (roster, 1, checks);
      cr_assert_eq (set->endpoints[0].checks_fence, checks);
      lc_resource_set_free (set);
      lc_roster_free (roster);
    }
}

/* New endpoints come with a list in any order, some more than once; each has one entry, and the
 * next list finds it again. */
Test (roster, an_endpoint_has_one_entry_whatever_the_order_of_the_lists)
{
  static const int order[] = { 7, 2, 2, 8, 0, 7, 5 };
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = LB_SEC;

  for (size_t i = 0; i < 7; i++)
    list[i] = engine (order[i]);
  cr_assert (lc_roster_update (roster, list, 7, now, now));
  cr_assert_eq (lc_roster_count (roster), 5);
  list_engines (list, N_ENGINES);
  cr_assert (lc_roster_update (roster, list, N_ENGINES, now + LB_SEC, now + LB_SEC));
  cr_assert_eq (lc_roster_count (roster), N_ENGINES);
  cr_assert_not (lc_roster_update (roster, list, N_ENGINES, now + 2 * LB_SEC, now + 2 * LB_SEC));
  lc_roster_free (roster);
}

/* A thousand endpoints were listed by each of a hundred instances each 0.4 s: some 60% of a core of
 * each, and calls waited. Larger lists are asked less often, but soon enough for one that leaves.
 */
Test (roster, larger_lists_are_asked_less_often)
{
  enum
  {
    MANY = 1000
  };
  LcRoster *roster = lc_roster_new ();
  LcRegistration *list = LB_NEW_ARRAY (LcRegistration, MANY);

  list_engines (list, MANY);
  cr_assert_eq (lc_roster_list_period (roster), 400 * LB_MSEC);
  lc_roster_update (roster, list, 60, LB_SEC, LB_SEC);
  cr_assert_eq (lc_roster_list_period (roster), 400 * LB_MSEC);
  lc_roster_update (roster, list, 300, 2 * LB_SEC, 2 * LB_SEC);
  cr_assert_eq (lc_roster_list_period (roster), 750 * LB_MSEC);
  lc_roster_update (roster, list, MANY, 3 * LB_SEC, 3 * LB_SEC);
  cr_assert_eq (lc_roster_list_period (roster), 900 * LB_MSEC);
  free (list);
  lc_roster_free (roster);
}

/* An engine restarts within a second under its id while the store is away. Were its start before
 * kept as alive until the grace is over, requests would be planned for both, its load, its pace and
 * its cache be believed of a process that has ended. */
Test (roster, a_start_at_the_same_address_ends_the_one_before)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = 10 * LB_SEC;

  list_engines (list, N_ENGINES);
  lc_roster_update (roster, list, N_ENGINES, now, now);
  now += 4 * LB_SEC;
  LB_COPY (list[3].name, "i-3@2");
  cr_assert (lc_roster_update (roster, list, 4, now, now));
  cr_assert_eq (lc_roster_count (roster), N_ENGINES, "those that lapsed are kept for a while");
  for (size_t i = 0; i < lc_roster_count (roster); i++)
    cr_assert_str_neq (lc_roster_registration (roster, i)->name, "i-3");
  lc_roster_free (roster);
}

/* The model that the plan has for it stays: else the engine would load another one's weights in the
 * middle of a step. Its version is not known until it says so. */
Test (roster, a_start_keeps_the_model_of_the_one_before)
{
  static const char *const pools[] = { "reader", "writer" };

  for (int i = 0; i < 2; i++)
    {
      LcRoster *roster = lc_roster_new ();
      LcRegistration list[N_ENGINES];
      LcEnginePlan plan = { 0 };
      LcPlanEntry planned = { .version = 7 };
      list_engines (list, N_ENGINES);
      lc_roster_update (roster, list, N_ENGINES, LB_SEC, LB_SEC);
      LB_COPY (planned.engine, "i-3");
      LB_COPY (planned.model, pools[i]);
      lc_engine_plan_put (&plan, &planned);
      lc_roster_set_plan (roster, &plan);
      LB_COPY (list[3].name, "i-3@2");
      cr_assert (lc_roster_update (roster, list, N_ENGINES, 2 * LB_SEC, 2 * LB_SEC));
      for (size_t at = 0; at < lc_roster_count (roster); at++)
        if (strcmp (lc_roster_registration (roster, at)->name, "i-3@2") == 0)
          {
            cr_assert_str_eq (lc_roster_model (roster, at), pools[i]);
            cr_assert_eq (lc_roster_latest_version (roster, at), 1, "as it says itself");
          }
      lc_engine_plan_clear (&plan);
      lc_roster_free (roster);
    }
}

/* The list before said that an engine is gone, just after the store was back. It is believed for a
 * while, and not for ever where no later list says anything new. */
Test (roster, the_same_list_again_ends_what_it_does_not_name)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = 10 * LB_SEC;

  list_engines (list, N_ENGINES);
  lc_roster_update (roster, list, N_ENGINES, LB_SEC, LB_SEC);
  lc_roster_update (roster, list, N_ENGINES - 1, now, now);
  cr_assert_eq (lc_roster_count (roster), N_ENGINES);
  for (int i = 1; i < 6; i++)
    cr_assert_not (
        lc_roster_confirm_list (roster, now + i * 400 * LB_MSEC, now + i * 400 * LB_MSEC));
  cr_assert (lc_roster_confirm_list (roster, now + 3 * LB_SEC, now + 3 * LB_SEC));
  cr_assert_eq (lc_roster_count (roster), N_ENGINES - 1);
  lc_roster_free (roster);
}

#define MANY_ENGINES 20000
#define MANY_SECONDS 1.0 /* compared pair by pair it takes twenty */

static double
processor_seconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* All machines of a large site start after its power is back. Each of them took its first list of
 * the endpoints by comparing all with all, and did so again with each change; an endpoint that said
 * meanwhile that it leaves still got requests when its time for that was over. */
Test (roster, work_grows_with_the_list_and_not_with_its_square)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration *list = LB_NEW_ARRAY (LcRegistration, MANY_ENGINES);
  double begun;

  for (int i = 0; i < MANY_ENGINES; i++)
    {
      list[i] = engine (i);
      snprintf (list[i].name, sizeof list[i].name, "i-%07d", i * 7919 % MANY_ENGINES);
    }
  begun = processor_seconds ();
  cr_assert (lc_roster_update (roster, list, MANY_ENGINES, 1, 1));
  list[0].leaving = true;
  cr_assert (lc_roster_update (roster, list, MANY_ENGINES, 2, 2));
  cr_assert_lt (processor_seconds () - begun, MANY_SECONDS);
  cr_assert_eq (lc_roster_count (roster), MANY_ENGINES);
  cr_assert_eq (count_model (roster, "reader"), MANY_ENGINES / 2);
  free (list);
  lc_roster_free (roster);
}

/* A list that names an endpoint twice, known or new, says nothing of two. */
Test (roster, an_entry_listed_twice_is_one)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[] = { engine (2), engine (1), engine (2), engine (3), engine (3) };

  lc_roster_update (roster, list, 3, 1, 1);
  cr_assert_eq (lc_roster_count (roster), 2);
  lc_roster_update (roster, list, 5, 2, 2);
  cr_assert_eq (lc_roster_count (roster), 3);
  lc_roster_free (roster);
}

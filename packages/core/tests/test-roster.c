#include "lc-roster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define N_ENGINES 9

static LcRegistration
make_engine_registration (int number)
{
  LcRegistration registration = { .slots = 8, .n_models = 2 };

  snprintf (registration.name, sizeof registration.name, "i-%d", number);
  snprintf (registration.address, sizeof registration.address, "10.0.0.%d:80", number);
  LB_COPY (registration.service, "engines");
  LB_COPY (registration.models[0].name, "reader");
  LB_COPY (registration.models[1].name, "writer");
  registration.models[0].version = 1;
  registration.models[1].version = 1;
  return registration;
}

static void
fill_engine_registrations (LcRegistration *list, int n)
{
  for (int i = 0; i < n; i++)
    list[i] = make_engine_registration (i);
}

static int
count_engines_of_model (const LcRoster *roster, const char *model)
{
  int count = 0;

  for (size_t i = 0; i < lc_roster_count_endpoints (roster); i++)
    count += strcmp (lc_roster_assigned_model (roster, i), model) == 0;
  return count;
}

/* The store is unavailable for four seconds, no registration can be renewed, and all expire. If the
 * empty list after the store's recovery were applied, all engines would be removed although they
 * are alive. */
Test (roster, registrations_expired_in_a_store_outage_are_kept_for_a_grace_period)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = 10 * LB_SEC;

  fill_engine_registrations (list, N_ENGINES);
  cr_assert (lc_roster_apply_list (roster, list, N_ENGINES, now, now));
  now += 4 * LB_SEC;
  lc_roster_apply_list (roster, list, 0, now, now);
  cr_assert_eq (lc_roster_count_endpoints (roster), N_ENGINES);
  now += 400 * LB_MSEC;
  lc_roster_apply_list (roster, list, 4, now, now);
  cr_assert_eq (lc_roster_count_endpoints (roster), N_ENGINES);
  for (int i = 0; i < 6; i++)
    {
      now += 400 * LB_MSEC;
      lc_roster_apply_list (roster, list, 4, now, now);
    }
  cr_assert_eq (lc_roster_count_endpoints (roster), 4,
                "expected unlisted endpoints to be removed after the grace period");
  lc_roster_free (roster);
}

/* If the store had no outage, an endpoint that is missing from the next list must be removed at
 * once. */
Test (roster, unlisted_endpoint_is_removed_without_an_outage)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];

  fill_engine_registrations (list, N_ENGINES);
  lc_roster_apply_list (roster, list, N_ENGINES, LB_SEC, LB_SEC);
  cr_assert (lc_roster_apply_list (roster, list, N_ENGINES - 1, 1400 * LB_MSEC, 1400 * LB_MSEC));
  cr_assert_eq (lc_roster_count_endpoints (roster), N_ENGINES - 1);
  lc_roster_free (roster);
}

/* Nine engines are divided between two models. All instances must compute the same division, or
 * weights would be loaded by engines that get no requests for them. */
Test (roster, division_of_engines_does_not_depend_on_the_order_of_the_list)
{
  LcRoster *first = lc_roster_new ();
  LcRoster *second = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LcRegistration reversed[N_ENGINES];

  fill_engine_registrations (list, N_ENGINES);
  for (int i = 0; i < N_ENGINES; i++)
    reversed[i] = list[N_ENGINES - 1 - i];
  lc_roster_apply_list (first, list, N_ENGINES, LB_SEC, LB_SEC);
  lc_roster_apply_list (second, reversed, N_ENGINES, LB_SEC, LB_SEC);
  for (size_t i = 0; i < N_ENGINES; i++)
    {
      cr_assert_str_eq (lc_roster_registration (first, i)->name,
                        lc_roster_registration (second, i)->name);
      cr_assert_str_eq (lc_roster_assigned_model (first, i), lc_roster_assigned_model (second, i));
    }
  cr_assert_geq (count_engines_of_model (first, "reader"), 4);
  cr_assert_geq (count_engines_of_model (first, "writer"), 4);
  lc_roster_free (first);
  lc_roster_free (second);
}

/* The model and the weight version that the engine plan states for an engine take precedence over
 * the engine's registration, because the registration is updated only some time after each weight
 * load. */
Test (roster, plan_takes_precedence_over_division)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LcEnginePlan plan = { 0 };
  LcPlanEntry entry = { .version = 7 };

  fill_engine_registrations (list, N_ENGINES);
  lc_roster_apply_list (roster, list, N_ENGINES, LB_SEC, LB_SEC);
  LB_COPY (entry.model, "writer");
  for (int i = 0; i < N_ENGINES; i++)
    {
      snprintf (entry.engine, sizeof entry.engine, "i-%d", i);
      lc_engine_plan_put (&plan, &entry);
    }
  cr_assert (lc_roster_set_engine_plan (roster, &plan));
  cr_assert_eq (count_engines_of_model (roster, "writer"), N_ENGINES);
  cr_assert_eq (lc_roster_latest_weight_version (roster, 0), 7);
  cr_assert_not (lc_roster_set_engine_plan (roster, &plan), "expected no change by the same plan");
  lc_engine_plan_clear (&plan);
  lc_roster_free (roster);
}

Test (roster, resources_hold_a_pool_for_each_model_and_every_endpoint)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[2] = { make_engine_registration (1), { .slots = 6 } };

  LB_COPY (list[1].name, "i-lookup");
  LB_COPY (list[1].address, "10.0.0.9:80");
  LB_COPY (list[1].service, "lookup");
  list[1].leaving = true;
  lc_roster_apply_list (roster, list, 2, LB_SEC, LB_SEC);
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

/* Engines that accept orders of any lease holder must not be treated as checking the fencing
 * token: a new holder would send orders while the last order of the previous holder is still in
 * transit. */
Test (roster, engines_check_fencing_tokens_only_if_configured)
{
  for (int checks = 0; checks < 2; checks++)
    {
      LcRoster *roster = lc_roster_new ();
      LcRegistration registration = make_engine_registration (1);

      lc_roster_apply_list (roster, &registration, 1, LB_SEC, LB_SEC);
      LcResourceSet *set = lc_roster_to_resources (roster, 1, checks);
      cr_assert_eq (set->endpoints[0].checks_fence, checks);
      lc_resource_set_free (set);
      lc_roster_free (roster);
    }
}

/* A list contains new endpoints in any order, some more than once. Each endpoint must get one
 * entry, and the next list must find this entry again. */
Test (roster, endpoint_has_one_entry_for_any_order_of_the_list)
{
  static const int order[] = { 7, 2, 2, 8, 0, 7, 5 };
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = LB_SEC;

  for (size_t i = 0; i < 7; i++)
    list[i] = make_engine_registration (order[i]);
  cr_assert (lc_roster_apply_list (roster, list, 7, now, now));
  cr_assert_eq (lc_roster_count_endpoints (roster), 5);
  fill_engine_registrations (list, N_ENGINES);
  cr_assert (lc_roster_apply_list (roster, list, N_ENGINES, now + LB_SEC, now + LB_SEC));
  cr_assert_eq (lc_roster_count_endpoints (roster), N_ENGINES);
  cr_assert_not (
      lc_roster_apply_list (roster, list, N_ENGINES, now + 2 * LB_SEC, now + 2 * LB_SEC));
  lc_roster_free (roster);
}

/* Listing a thousand endpoints every 0.4 s on each of a hundred instances took some 60% of a core
 * per instance and delayed calls. Longer lists are requested less often, but often enough to notice
 * a leaving endpoint before its time limit. */
Test (roster, longer_lists_are_requested_less_often)
{
  enum
  {
    N_REGISTRATIONS = 1000
  };
  LcRoster *roster = lc_roster_new ();
  LcRegistration *list = LB_NEW_ARRAY (LcRegistration, N_REGISTRATIONS);

  fill_engine_registrations (list, N_REGISTRATIONS);
  cr_assert_eq (lc_roster_list_period (roster), 400 * LB_MSEC);
  lc_roster_apply_list (roster, list, 60, LB_SEC, LB_SEC);
  cr_assert_eq (lc_roster_list_period (roster), 400 * LB_MSEC);
  lc_roster_apply_list (roster, list, 300, 2 * LB_SEC, 2 * LB_SEC);
  cr_assert_eq (lc_roster_list_period (roster), 750 * LB_MSEC);
  lc_roster_apply_list (roster, list, N_REGISTRATIONS, 3 * LB_SEC, 3 * LB_SEC);
  cr_assert_eq (lc_roster_list_period (roster), 900 * LB_MSEC);
  free (list);
  lc_roster_free (roster);
}

/* An engine restarts under the same id during an outage of the store. If its previous registration
 * were kept for the grace period, requests would be routed to both registrations, one of them with
 * the load, pace and cache of a process that has ended. */
Test (roster, new_registration_replaces_one_with_the_same_address)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = 10 * LB_SEC;

  fill_engine_registrations (list, N_ENGINES);
  lc_roster_apply_list (roster, list, N_ENGINES, now, now);
  now += 4 * LB_SEC;
  LB_COPY (list[3].name, "i-3@2");
  cr_assert (lc_roster_apply_list (roster, list, 4, now, now));
  cr_assert_eq (lc_roster_count_endpoints (roster), N_ENGINES,
                "expected expired registrations to be kept for the grace period");
  for (size_t i = 0; i < lc_roster_count_endpoints (roster); i++)
    cr_assert_str_neq (lc_roster_registration (roster, i)->name, "i-3");
  lc_roster_free (roster);
}

/* A restarted engine must keep its planned model, or it would load other weights in the middle of a
 * step. The version of its weights is not known until the engine reports it. */
Test (roster, restarted_engine_keeps_its_planned_model)
{
  static const char *const pools[] = { "reader", "writer" };

  for (int i = 0; i < 2; i++)
    {
      LcRoster *roster = lc_roster_new ();
      LcRegistration list[N_ENGINES];
      LcEnginePlan plan = { 0 };
      LcPlanEntry planned = { .version = 7 };
      fill_engine_registrations (list, N_ENGINES);
      lc_roster_apply_list (roster, list, N_ENGINES, LB_SEC, LB_SEC);
      LB_COPY (planned.engine, "i-3");
      LB_COPY (planned.model, pools[i]);
      lc_engine_plan_put (&plan, &planned);
      lc_roster_set_engine_plan (roster, &plan);
      LB_COPY (list[3].name, "i-3@2");
      cr_assert (lc_roster_apply_list (roster, list, N_ENGINES, 2 * LB_SEC, 2 * LB_SEC));
      for (size_t at = 0; at < lc_roster_count_endpoints (roster); at++)
        if (strcmp (lc_roster_registration (roster, at)->name, "i-3@2") == 0)
          {
            cr_assert_str_eq (lc_roster_assigned_model (roster, at), pools[i]);
            cr_assert_eq (lc_roster_latest_weight_version (roster, at), 1,
                          "version 1 of the registration must be used");
          }
      lc_engine_plan_clear (&plan);
      lc_roster_free (roster);
    }
}

/* After an outage of the store, an engine that is not listed is kept for the grace period. The
 * engine must be removed afterwards, even if all later lists are unchanged. */
Test (roster, unchanged_list_removes_unlisted_endpoints_after_the_grace_period)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[N_ENGINES];
  LbTime now = 10 * LB_SEC;

  fill_engine_registrations (list, N_ENGINES);
  lc_roster_apply_list (roster, list, N_ENGINES, LB_SEC, LB_SEC);
  lc_roster_apply_list (roster, list, N_ENGINES - 1, now, now);
  cr_assert_eq (lc_roster_count_endpoints (roster), N_ENGINES);
  for (int i = 1; i < 6; i++)
    cr_assert_not (
        lc_roster_record_unchanged_list (roster, now + i * 400 * LB_MSEC, now + i * 400 * LB_MSEC));
  cr_assert (lc_roster_record_unchanged_list (roster, now + 3 * LB_SEC, now + 3 * LB_SEC));
  cr_assert_eq (lc_roster_count_endpoints (roster), N_ENGINES - 1);
  lc_roster_free (roster);
}

#define N_LARGE_SITE_ENGINES 20000
#define MAX_PROCESSOR_SECONDS 1.0 /* a quadratic algorithm takes 20 s */

static double
read_processor_seconds (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* All machines of a large site start after a power failure. When the time to process the first list
 * and each change was quadratic, an endpoint that announced meanwhile that it is leaving got
 * requests for longer than allowed. */
Test (roster, processing_time_is_not_quadratic)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration *list = LB_NEW_ARRAY (LcRegistration, N_LARGE_SITE_ENGINES);
  double started_at;

  for (int i = 0; i < N_LARGE_SITE_ENGINES; i++)
    {
      list[i] = make_engine_registration (i);
      snprintf (list[i].name, sizeof list[i].name, "i-%07d", i * 7919 % N_LARGE_SITE_ENGINES);
    }
  started_at = read_processor_seconds ();
  cr_assert (lc_roster_apply_list (roster, list, N_LARGE_SITE_ENGINES, 1, 1));
  list[0].leaving = true;
  cr_assert (lc_roster_apply_list (roster, list, N_LARGE_SITE_ENGINES, 2, 2));
  cr_assert_lt (read_processor_seconds () - started_at, MAX_PROCESSOR_SECONDS);
  cr_assert_eq (lc_roster_count_endpoints (roster), N_LARGE_SITE_ENGINES);
  cr_assert_eq (count_engines_of_model (roster, "reader"), N_LARGE_SITE_ENGINES / 2);
  free (list);
  lc_roster_free (roster);
}

/* A list may contain a known or a new endpoint twice. */
Test (roster, endpoint_listed_twice_has_one_entry)
{
  LcRoster *roster = lc_roster_new ();
  LcRegistration list[]
      = { make_engine_registration (2), make_engine_registration (1), make_engine_registration (2),
          make_engine_registration (3), make_engine_registration (3) };

  lc_roster_apply_list (roster, list, 3, 1, 1);
  cr_assert_eq (lc_roster_count_endpoints (roster), 2);
  lc_roster_apply_list (roster, list, 5, 2, 2);
  cr_assert_eq (lc_roster_count_endpoints (roster), 3);
  lc_roster_free (roster);
}

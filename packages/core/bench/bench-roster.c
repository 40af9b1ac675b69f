/* Measures how long an instance takes to process a list of endpoints. The first list blocks the
 * start of the instance. In the second list, an engine is leaving. The other lists have no changes,
 * as usual, and are each followed by a lookup of the weight version of every engine.
 * Argument: number of engines; 600 by default. */

#include "lc-engine-plan.h"
#include "lc-roster.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>

#define N_REPEATED_LISTS 50

static void
fill_engine_registration_and_plan_entry (LcRegistration *registration,
                                         LcPlanEntry *planned,
                                         size_t index)
{
  snprintf (registration->name, sizeof registration->name, "i-%08zx", index);
  LB_COPY (registration->address, "127.0.0.1:9000");
  LB_COPY (registration->service, "readers");
  registration->slots = 8;
  registration->n_models = 1;
  LB_COPY (registration->models[0].name, "reader");
  registration->models[0].version = 1;
  LB_COPY (planned->engine, registration->name);
  LB_COPY (planned->model, "reader");
  planned->version = 2;
}

static LcVersion
apply_unchanged_engine_list_repeatedly (LcRoster *roster,
                                        const LcRegistration *list,
                                        size_t n_engines)
{
  LcVersion sum = 0;

  for (int round = 1; round <= N_REPEATED_LISTS; round++)
    {
      LbTime at = round * 400 * LB_MSEC;
      lc_roster_apply_list (roster, list, n_engines, at, at);
      for (size_t i = 0; i < lc_roster_count_endpoints (roster); i++)
        sum += lc_roster_latest_weight_version (roster, i);
    }
  return sum;
}

int
main (int argc, char **argv)
{
  size_t n_engines = argc > 1 ? strtoul (argv[1], NULL, 10) : 600;
  LcRegistration *list = LB_NEW_ARRAY (LcRegistration, n_engines);
  LcEnginePlan plan = { 0 };
  LcRoster *roster = lc_roster_new ();

  for (size_t i = 0; i < n_engines; i++)
    {
      LcPlanEntry planned = { .version = 0 };
      fill_engine_registration_and_plan_entry (&list[i], &planned, i);
      lc_engine_plan_put (&plan, &planned);
    }
  LbTime started_at = lb_clock_monotonic ();
  lc_roster_apply_list (roster, list, n_engines, 1, 1);
  LbTime first = lb_clock_monotonic () - started_at;
  lc_roster_set_engine_plan (roster, &plan);

  list[0].leaving = true;
  started_at = lb_clock_monotonic ();
  lc_roster_apply_list (roster, list, n_engines, 2, 2);
  LbTime changed = lb_clock_monotonic () - started_at;

  started_at = lb_clock_monotonic ();
  LcVersion sum = apply_unchanged_engine_list_repeatedly (roster, list, n_engines);
  LbTime repeated = lb_clock_monotonic () - started_at;
  printf (
      "%zu engines: first list %.3f ms, a change %.3f ms, no change %.3f ms (checksum of versions "
      "%lld)\n",
      n_engines, (double)first / LB_MSEC, (double)changed / LB_MSEC,
      (double)repeated / N_REPEATED_LISTS / LB_MSEC, (long long)sum);
  lc_engine_plan_clear (&plan);
  lc_roster_free (roster);
  free (list);
  return 0;
}

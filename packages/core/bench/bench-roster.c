/* Measures how long an instance takes to process a list of endpoints: the first one, which blocks
 * its start; one in which an engine is leaving; and one without changes, the usual case, followed
 * by a lookup of the version of each engine. Argument: number of engines. */

#include "lc-engine-plan.h"
#include "lc-roster.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>

#define N_LISTS 50

static void
fill_entry (LcRegistration *registration, LcPlanEntry *planned, size_t index)
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
update_repeatedly (LcRoster *roster, const LcRegistration *list, size_t n)
{
  LcVersion sum = 0;

  for (int round = 1; round <= N_LISTS; round++)
    {
      LbTime at = round * 400 * LB_MSEC;
      lc_roster_apply_list (roster, list, n, at, at);
      for (size_t i = 0; i < lc_roster_count (roster); i++)
        sum += lc_roster_latest_weight_version (roster, i);
    }
  return sum;
}

int
main (int argc, char **argv)
{
  size_t n = argc > 1 ? strtoul (argv[1], NULL, 10) : 600;
  LcRegistration *list = LB_NEW_ARRAY (LcRegistration, n);
  LcEnginePlan plan = { 0 };
  LcRoster *roster = lc_roster_new ();

  for (size_t i = 0; i < n; i++)
    {
      LcPlanEntry planned = { .version = 0 };
      fill_entry (&list[i], &planned, i);
      lc_engine_plan_put (&plan, &planned);
    }
  LbTime started_at = lb_clock_monotonic ();
  lc_roster_apply_list (roster, list, n, 1, 1);
  LbTime first = lb_clock_monotonic () - started_at;
  lc_roster_set_engine_plan (roster, &plan);

  list[0].leaving = true;
  started_at = lb_clock_monotonic ();
  lc_roster_apply_list (roster, list, n, 2, 2);
  LbTime changed = lb_clock_monotonic () - started_at;

  started_at = lb_clock_monotonic ();
  LcVersion sum = update_repeatedly (roster, list, n);
  LbTime repeated = lb_clock_monotonic () - started_at;
  printf (
      "%zu engines: first list %.3f ms, a change %.3f ms, no change %.3f ms (checksum of versions "
      "%lld)\n",
      n, (double)first / LB_MSEC, (double)changed / LB_MSEC, (double)repeated / N_LISTS / LB_MSEC,
      (long long)sum);
  lc_engine_plan_clear (&plan);
  lc_roster_free (roster);
  free (list);
  return 0;
}

/* What one list of endpoints costs an instance: the first one, which a start takes while it does
 * nothing else; one in which an engine has begun to leave; and one that says nothing new, as nearly
 * always, after which the version of each engine is told. Argument: the number of engines. */

#include "lc-engine-plan.h"
#include "lc-roster.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>

#define LISTS 50

static void
fill (LcRegistration *listed, LcPlanEntry *planned, size_t index)
{
  snprintf (listed->name, sizeof listed->name, "i-%08zx", index);
  LB_COPY (listed->address, "127.0.0.1:9000");
  LB_COPY (listed->service, "readers");
  listed->slots = 8;
  listed->n_models = 1;
  LB_COPY (listed->models[0].name, "reader");
  listed->models[0].version = 1;
  LB_COPY (planned->engine, listed->name);
  LB_COPY (planned->model, "reader");
  planned->version = 2;
}

static LcVersion
take_lists (LcRoster *roster, const LcRegistration *list, size_t n)
{
  LcVersion sum = 0;

  for (int round = 1; round <= LISTS; round++)
    {
      LbTime at = round * 400 * LB_MSEC;
      lc_roster_update (roster, list, n, at, at);
      for (size_t i = 0; i < lc_roster_count (roster); i++)
        sum += lc_roster_latest_version (roster, i);
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
      fill (&list[i], &planned, i);
      lc_engine_plan_put (&plan, &planned);
    }
  LbTime begun = lb_clock_monotonic ();
  lc_roster_update (roster, list, n, 1, 1);
  LbTime first = lb_clock_monotonic () - begun;
  lc_roster_set_plan (roster, &plan);

  list[0].leaving = true;
  begun = lb_clock_monotonic ();
  lc_roster_update (roster, list, n, 2, 2);
  LbTime changed = lb_clock_monotonic () - begun;

  begun = lb_clock_monotonic ();
  LcVersion sum = take_lists (roster, list, n);
  LbTime took = lb_clock_monotonic () - begun;
  printf (
      "%zu engines: first list %.3f ms, a change %.3f ms, no change %.3f ms (versions add up to "
      "%lld)\n",
      n, (double)first / LB_MSEC, (double)changed / LB_MSEC, (double)took / LISTS / LB_MSEC,
      (long long)sum);
  lc_engine_plan_clear (&plan);
  lc_roster_free (roster);
  free (list);
  return 0;
}

#include "lt-local-commands.h"

#include "lt-arguments.h"

#include "lt-command.h"

#include "lb-log.h"
#include "lx-soak.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Returns the LxFault with this name, or -1 if no fault has it. */
static int
find_fault_by_name (const char *name)
{
  for (int i = 0; i < LX_N_FAULTS; i++)
    if (strcmp (lx_fault_name ((LxFault)i), name) == 0)
      return i;
  return -1;
}

static int
run_soak_with_seeds (LxSoak *soak, int n_seeds, bool shrink)
{
  int n_failed = 0;

  for (int i = 0; i < n_seeds; i++, soak->seed++)
    n_failed += !lx_soak_run (soak, shrink, stdout);
  if (n_failed > 0)
    printf ("%d of %d runs failed\n", n_failed, n_seeds);
  return n_failed > 0 ? LT_EXIT_FAILED : LT_EXIT_OK;
}

/* Runs long randomised simulations with injected faults. The simulator and the simulated code check
 * their invariants during the run. */
int
lt_run_soak_command (int argc, char **argv)
{
  struct arg_str *site = arg_str1 (NULL, "site", "SITE", "kurunegala or hoa-sen");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed (default: 1)");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "number of seeds (default: 1)");
  struct arg_int *events = arg_int0 (NULL, "events", "N", "events per run (default: 1000000)");
  struct arg_str *only = arg_str0 (NULL, "only", "FAULT", "inject only this kind of fault");
  struct arg_lit *shrink
      = arg_lit0 (NULL, "shrink",
                  "after a failed run, search for one that fails with fewer faults");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { site, seed, seeds, events, only, shrink, help, end };
  int errors = arg_parse (argc, argv, table);
  int code = LT_EXIT_USAGE;
  LxSoak soak = { .seed = seed->count ? (uint64_t)*seed->ival : 1,
                  .events = events->count ? (uint64_t)*events->ival : 1000000,
                  .only_fault = -1 };

  if (help->count > 0)
    {
      lt_print_help (
          table, "soak",
          "Runs random fault simulations and checks all invariants; a seed reproduces its run.");
      code = LT_EXIT_OK;
      goto out;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, "lentilspindle soak");
      goto out;
    }
  soak.site = lx_site_find (*site->sval);
  if (only->count > 0)
    soak.only_fault = find_fault_by_name (*only->sval);
  if (!soak.site || (only->count > 0 && soak.only_fault < 0))
    {
      fprintf (stderr, "lentilspindle soak: unknown %s\n", soak.site ? "fault" : "site");
      goto out;
    }
  lb_log_init (LB_LOG_OFF, 2, NULL);
  code = run_soak_with_seeds (&soak, seeds->count ? *seeds->ival : 1, shrink->count > 0);
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

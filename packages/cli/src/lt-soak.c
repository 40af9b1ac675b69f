#include "lt-local-commands.h"

#include "lt-arguments.h"

#include "lt-command.h"

#include "lb-log.h"
#include "lx-soak.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* -1 when no fault has this name. */
static int
find_fault (const char *name)
{
  for (int i = 0; i < LX_N_FAULTS; i++)
    if (strcmp (lx_fault_name ((LxFault)i), name) == 0)
      return i;
  return -1;
}

static int
run_seeds (LxSoak *soak, int n_seeds, bool shrink)
{
  int failed = 0;

  for (int i = 0; i < n_seeds; i++, soak->seed++)
    failed += !lx_soak_run (soak, shrink, stdout);
  if (failed > 0)
    printf ("%d of %d runs failed\n", failed, n_seeds);
  return failed > 0 ? LT_EXIT_FAILED : LT_EXIT_OK;
}

/* Long randomised runs with faults; every promise is checked, from outside and by core itself. */
int
lt_soak_run (int argc, char **argv)
{
  struct arg_str *site = arg_str1 (NULL, "site", "SITE", "kurunegala or hoa-sen");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "first seed, 1 if not given");
  struct arg_int *seeds = arg_int0 (NULL, "seeds", "N", "how many seeds, 1 if not given");
  struct arg_int *events = arg_int0 (NULL, "events", "N", "events of a run, 1000000");
  struct arg_str *only = arg_str0 (NULL, "only", "FAULT", "one kind of fault alone");
  struct arg_lit *shrink = arg_lit0 (NULL, "shrink", "look for a shorter failing run");
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
          "Runs random faults for long and checks all promises; the same seed is the same run.");
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
    soak.only_fault = find_fault (*only->sval);
  if (!soak.site || (only->count > 0 && soak.only_fault < 0))
    {
      fprintf (stderr, "lentilspindle soak: unknown %s\n", soak.site ? "fault" : "site");
      goto out;
    }
  lb_log_init (LB_LOG_OFF, 2, NULL);
  code = run_seeds (&soak, seeds->count ? *seeds->ival : 1, shrink->count > 0);
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

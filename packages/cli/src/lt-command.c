#include "lt-command.h"

#include "lt-operator-commands.h"
#include "lt-local-commands.h"

#include <stdio.h>
#include <string.h>

static const LtCommand commands[] = {
  { "apply", "add or replace resources from files", lt_apply_run },
  { "get", "print the accepted resources", lt_get_run },
  { "delete", "delete a resource", lt_delete_run },
  { "diff", "print what applying files would change", lt_diff_run },
  { "watch", "follow the accepted revisions and where they are in force", lt_watch_run },
  { "history", "print the last changes", lt_history_run },
  { "status", "print instances, leases and roll-outs", lt_status_run },
  { "cost", "measure the cost of decisions on this machine", lt_cost_run },
  { "explain", "print the timeline of a request from logs", lt_explain_run },
  { "replay", "run traces and check their expectations", lt_replay_run },
  { "soak", "run random fault simulations and check all invariants", lt_soak_run },
  { "bench", "compare policies on one workload", lt_bench_run },
  { NULL, NULL, NULL },
};

static void
print_usage (FILE *out)
{
  fputs ("Usage: lentilspindle COMMAND [OPTION...]\n\nCommands:\n", out);
  for (const LtCommand *command = commands; command->name; command++)
    fprintf (out, "  %-10s %s\n", command->name, command->summary);
  fputs ("\nlentilspindle COMMAND --help lists a command's options.\n", out);
}

static const LtCommand *
find_command (const char *name)
{
  for (const LtCommand *command = commands; command->name; command++)
    if (strcmp (command->name, name) == 0)
      return command;
  return NULL;
}

int
lt_main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (stderr);
      return LT_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_usage (stdout);
      return LT_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      puts ("lentilspindle " LS_VERSION);
      return LT_EXIT_OK;
    }

  const LtCommand *command = find_command (argv[1]);
  if (!command)
    {
      fprintf (stderr, "lentilspindle: unknown command '%s'; see lentilspindle --help\n", argv[1]);
      return LT_EXIT_USAGE;
    }
  return command->run (argc - 1, argv + 1);
}

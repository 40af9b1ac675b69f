#include "lt-command.h"

#include "lt-operator-commands.h"
#include "lt-local-commands.h"

#include <stdio.h>
#include <string.h>

static const LtCommand commands[] = {
  { "apply", "add or replace resources from files", lt_run_apply_command },
  { "get", "print the accepted resources", lt_run_get_command },
  { "delete", "delete a resource", lt_run_delete_command },
  { "diff", "print what applying files would change", lt_run_diff_command },
  { "watch", "follow the accepted revisions and where they are in force", lt_run_watch_command },
  { "history", "print the last changes", lt_run_history_command },
  { "status", "print instances, leases and roll-outs", lt_run_status_command },
  { "cost", "measure the cost of decisions on this machine", lt_run_cost_command },
  { "explain", "print the timeline of a request from logs", lt_run_explain_command },
  { "replay", "run traces and check their expectations", lt_run_replay_command },
  { "soak", "run random fault simulations and check all invariants", lt_run_soak_command },
  { "bench", "compare policies on one workload", lt_run_bench_command },
  { NULL, NULL, NULL },
};

static void
print_command_usage (FILE *out)
{
  fputs ("Usage: lentilspindle COMMAND [OPTION...]\n\nCommands:\n", out);
  for (const LtCommand *command = commands; command->name; command++)
    fprintf (out, "  %-10s %s\n", command->name, command->summary);
  fputs ("\nlentilspindle COMMAND --help lists a command's options.\n", out);
}

static const LtCommand *
find_subcommand (const char *name)
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
      print_command_usage (stderr);
      return LT_EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      print_command_usage (stdout);
      return LT_EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      puts ("lentilspindle " LS_VERSION);
      return LT_EXIT_OK;
    }

  const LtCommand *command = find_subcommand (argv[1]);
  if (!command)
    {
      fprintf (stderr, "lentilspindle: unknown command '%s'; see lentilspindle --help\n", argv[1]);
      return LT_EXIT_USAGE;
    }
  return command->run (argc - 1, argv + 1);
}

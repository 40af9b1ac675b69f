#include "lt-command.h"

#include "lt-operator-commands.h"
#include "lt-local-commands.h"

#include <stdio.h>
#include <string.h>

static const LtCommand commands[] = {
  { "apply", "add or replace resources from files", lt_apply_run },
  { "get", "print the accepted resources", lt_get_run },
  { "delete", "delete a resource", lt_delete_run },
  { "diff", "print what files would change", lt_diff_run },
  { "watch", "follow what is accepted and in force", lt_watch_run },
  { "history", "print the last changes", lt_history_run },
  { "status", "print who holds what and what waits", lt_status_run },
  { "cost", "measures what decisions cost here", lt_cost_run },
  { "explain", "tells what became of a request, from logs", lt_explain_run },
  { "replay", "runs traces against what they state", lt_replay_run },
  { "soak", "runs at random with faults and checks every promise", lt_soak_run },
  { "bench", "compares policies on one trace", lt_bench_run },
  { NULL, NULL, NULL },
};

static void
print_usage (FILE *out)
{
  fputs ("Usage: lentilspindle COMMAND [OPTION...]\n\nCommands:\n", out);
  for (const LtCommand *command = commands; command->name; command++)
    fprintf (out, "  %-10s %s\n", command->name, command->summary);
  fputs ("\nlentilspindle COMMAND --help tells a command's options.\n", out);
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

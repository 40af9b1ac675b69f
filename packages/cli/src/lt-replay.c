#include "lt-local-commands.h"

#include "lt-arguments.h"

#include "lt-command.h"

#include "lb-log.h"
#include "lx-replay.h"

#include <argtable2.h>
#include <stdio.h>

static int
replay_trace_file (const char *path)
{
  LbError error = { 0 };
  LxTrace trace;

  if (!lx_trace_read (&trace, path, &error))
    {
      fprintf (stderr, "lentilspindle replay: %s: %s: %s\n", lb_error_name (error.code),
               error.where, error.detail);
      return LT_EXIT_USAGE;
    }
  bool passed = lx_replay_run (&trace, path, stdout);
  printf ("%s: %s (%s)\n", path, passed ? "held" : "FAILED", trace.about);
  lx_trace_clear (&trace);
  return passed ? LT_EXIT_OK : LT_EXIT_FAILED;
}

/* Runs the traces in the files and checks the outcomes that they expect. Returns the highest exit
 * code of all files. */
int
lt_run_replay_command (int argc, char **argv)
{
  struct arg_file *files = arg_filen (NULL, NULL, "FILE", 1, 1000, "trace file (docs/TRACES.md)");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { files, help, end };
  int errors = arg_parse (argc, argv, table);
  int code = LT_EXIT_USAGE;

  if (help->count > 0)
    {
      lt_print_help (table, "replay",
                     "Runs traces and checks the outcomes that they expect (docs/TRACES.md).");
      code = LT_EXIT_OK;
      goto out;
    }
  if (errors > 0)
    {
      arg_print_errors (stderr, end, "lentilspindle replay");
      goto out;
    }
  lb_log_init (LB_LOG_OFF, 2, NULL);
  code = LT_EXIT_OK;
  for (int i = 0; i < files->count; i++)
    {
      int result = replay_trace_file (files->filename[i]);
      code = result > code ? result : code;
    }
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

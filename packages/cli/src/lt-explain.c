#include "lt-local-commands.h"

#include "lt-arguments.h"
#include "lt-command.h"
#include "lt-timeline.h"

#include <argtable2.h>
#include <stdio.h>

static int
print_timeline_of_id (const char *id, const struct arg_file *files)
{
  LtTimeline *timeline = lt_timeline_new (id);
  LbError error = { 0 };
  int code = LT_EXIT_USAGE;

  for (int i = 0; i < files->count; i++)
    if (!lt_timeline_read_log (timeline, files->filename[i], &error))
      {
        fprintf (stderr, "lentilspindle explain: %s: %s\n", error.where, error.detail);
        goto out;
      }
  code = LT_EXIT_OK;
  if (!lt_timeline_print (timeline, stdout))
    {
      fprintf (stderr, "lentilspindle explain: no log line names the id %s\n", id);
      code = LT_EXIT_FAILED;
    }
out:
  lt_timeline_free (timeline);
  return code;
}

/* Prints the timeline of one request, batch or batch item from the logs of several instances. */
int
lt_run_explain_command (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "id of a request, a batch or an item");
  struct arg_file *files = arg_filen (NULL, NULL, "FILE", 1, 1000, "log file of an instance");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { id, files, help, end };
  int errors = arg_parse (argc, argv, table);
  int code = LT_EXIT_USAGE;

  if (help->count > 0)
    {
      lt_print_help (
          table, "explain",
          "Prints the log lines of a request, a batch or an item in time order, and the state\n"
          "changes of the instances involved (docs/OPERATIONS.md).");
      code = LT_EXIT_OK;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "lentilspindle explain");
  else
    code = print_timeline_of_id (id->sval[0], files);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

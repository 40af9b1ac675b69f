#include "lt-local-commands.h"

#include "lt-arguments.h"
#include "lt-command.h"
#include "lt-timeline.h"

#include <argtable2.h>
#include <stdio.h>

static int
explain (const char *id, const struct arg_file *files)
{
  LtTimeline *story = lt_timeline_new (id);
  LbError error = { 0 };
  int code = LT_EXIT_USAGE;

  for (int i = 0; i < files->count; i++)
    if (!lt_timeline_read_log (story, files->filename[i], &error))
      {
        fprintf (stderr, "lentilspindle explain: %s: %s\n", error.where, error.detail);
        goto out;
      }
  code = LT_EXIT_OK;
  if (!lt_timeline_print (story, stdout))
    {
      fprintf (stderr, "lentilspindle explain: no line names %s\n", id);
      code = LT_EXIT_FAILED;
    }
out:
  lt_timeline_free (story);
  return code;
}

/* Prints what became of one request, from the logs of all instances. */
int
lt_explain_run (int argc, char **argv)
{
  struct arg_str *id = arg_str1 (NULL, NULL, "ID", "of a request, a batch or an item");
  struct arg_file *files = arg_filen (NULL, NULL, "FILE", 1, 1000, "log of an instance");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { id, files, help, end };
  int errors = arg_parse (argc, argv, table);
  int code = LT_EXIT_USAGE;

  if (help->count > 0)
    {
      lt_print_help (table, "explain",
                     "Prints what became of a request, a batch or an item, in the order of time,\n"
                     "and what the instances believed meanwhile (docs/OPERATIONS.md).");
      code = LT_EXIT_OK;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "lentilspindle explain");
  else
    code = explain (id->sval[0], files);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}

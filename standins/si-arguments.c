#include "si-arguments.h"

#include <stdio.h>

#define EXIT_USAGE 2

bool
si_arguments_parse (
    int argc, char **argv, void **table, size_t n_entries, const char *program, int *exit_code)
{
  const struct arg_lit *help = table[n_entries - 2];
  struct arg_end *end = table[n_entries - 1];
  int errors = arg_parse (argc, argv, table);

  *exit_code = EXIT_USAGE;
  if (help->count > 0)
    {
      arg_print_glossary (stdout, table, "  %-30s %s\n");
      *exit_code = 0;
      return false;
    }
  if (errors > 0)
    arg_print_errors (stderr, end, program);
  return errors == 0;
}

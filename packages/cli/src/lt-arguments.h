#ifndef LT_ARGUMENTS_H
#define LT_ARGUMENTS_H

#include "lt-client.h"

#include <argtable2.h>

/* Command-line options common to all subcommands that call an instance. */
typedef struct
{
  struct arg_lit *help;
  struct arg_str *address;
  struct arg_str *token;
  struct arg_str *output;
  struct arg_end *end;
} LtArguments;

#define LT_N_COMMON_ARGUMENTS 5

/* Creates the common options and writes them to the first LT_N_COMMON_ARGUMENTS entries of table.
 * The last of these entries is arg_end. */
void lt_arguments_init (LtArguments *arguments, void **table);

/* Prints the usage, the summary and the options to standard output. The last entry of table is
 * arg_end. */
void lt_print_help (void **table, const char *command, const char *summary);

/* Parses argv into table, which has n_entries entries including the common options. Returns true if
 * the command should run. Otherwise prints the help text or the errors and sets *exit_code. */
bool lt_arguments_parse (LtArguments *arguments,
                         void **table,
                         size_t n_entries,
                         int argc,
                         char **argv,
                         const char *summary,
                         int *exit_code);

bool lt_arguments_wants_json (const LtArguments *arguments);
LtClient *lt_arguments_new_client (const LtArguments *arguments);

/* Prints the error as one line on standard error and returns LT_EXIT_FAILED. */
int lt_print_error (const LbError *error);

#endif

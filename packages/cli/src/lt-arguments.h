#ifndef LT_ARGUMENTS_H
#define LT_ARGUMENTS_H

#include "lt-client.h"

#include <argtable2.h>

/* The options that every operator's command has, beside its own. */
typedef struct
{
  struct arg_lit *help;
  struct arg_str *address;
  struct arg_str *token;
  struct arg_str *output;
  struct arg_end *end;
} LtArguments;

#define LT_N_COMMON_ARGUMENTS 5

/* Makes the common options and writes them (LT_N_COMMON_ARGUMENTS of them, the last is the end) to
 * table.
 */
void lt_arguments_init (LtArguments *arguments, void **table);

/* Usage, what the command does and its options, on standard output. The table ends with arg_end. */
void lt_print_help (void **table, const char *command, const char *summary);

/* True when the command shall run; else *exit_code tells how to end, and the help or the faults
 * have been printed. table has n entries in all. */
bool lt_arguments_parse (LtArguments *arguments,
                         void **table,
                         size_t n,
                         int argc,
                         char **argv,
                         const char *summary,
                         int *exit_code);

bool lt_arguments_wants_json (const LtArguments *arguments);
LtClient *lt_arguments_new_client (const LtArguments *arguments);

/* One line on standard error; the exit code of a refusal or failed call. */
int lt_print_error (const LbError *error);

#endif

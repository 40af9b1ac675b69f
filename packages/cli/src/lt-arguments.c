#include "lt-arguments.h"

#include "lt-command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_ADDRESS "127.0.0.1:8080"
#define ADDRESS_ENVIRONMENT_VARIABLE "LENTILSPINDLE_ADDRESS"
#define TOKEN_ENVIRONMENT_VARIABLE "LENTILSPINDLE_TOKEN"
#define MAX_PRINTED_USAGE_ERRORS 10

void
lt_arguments_init (LtArguments *arguments, void **table)
{
  arguments->address = arg_str0 ("a", "address", "IP:PORT",
                                 "address of an instance (default: $" ADDRESS_ENVIRONMENT_VARIABLE
                                 " or " DEFAULT_ADDRESS ")");
  arguments->token = arg_str0 (NULL, "token", "TOKEN",
                               "operator token (default: $" TOKEN_ENVIRONMENT_VARIABLE ")");
  arguments->output = arg_str0 ("o", "output", "json|table", "output format (default: table)");
  arguments->help = arg_lit0 (NULL, "help", "print this help");
  arguments->end = arg_end (MAX_PRINTED_USAGE_ERRORS);
  table[0] = arguments->address;
  table[1] = arguments->token;
  table[2] = arguments->output;
  table[3] = arguments->help;
  table[4] = arguments->end;
}

void
lt_print_help (void **table, const char *command, const char *summary)
{
  printf ("Usage: lentilspindle %s", command);
  arg_print_syntax (stdout, table, "\n");
  printf ("\n%s\n\n", summary);
  arg_print_glossary (stdout, table, "  %-28s %s\n");
}

bool
lt_arguments_parse (LtArguments *arguments,
                    void **table,
                    size_t n_entries,
                    int argc,
                    char **argv,
                    const char *summary,
                    int *exit_code)
{
  char program[64];

  *exit_code = LT_EXIT_USAGE;
  if (arg_nullcheck (table) != 0 || n_entries == 0)
    return false;
  int n_errors = arg_parse (argc, argv, table);
  if (arguments->help->count > 0)
    {
      lt_print_help (table, argv[0], summary);
      *exit_code = LT_EXIT_OK;
      return false;
    }
  snprintf (program, sizeof program, "lentilspindle %s", argv[0]);
  if (n_errors > 0)
    {
      arg_print_errors (stderr, arguments->end, program);
      return false;
    }
  if (arguments->output->count > 0 && strcmp (arguments->output->sval[0], "json") != 0
      && strcmp (arguments->output->sval[0], "table") != 0)
    {
      fprintf (stderr, "%s: --output: expected json or table\n", program);
      return false;
    }
  return true;
}

bool
lt_arguments_wants_json (const LtArguments *arguments)
{
  return arguments->output->count > 0 && strcmp (arguments->output->sval[0], "json") == 0;
}

static const char *
get_option_or_environment_value (const struct arg_str *option,
                                 const char *variable,
                                 const char *default_value)
{
  const char *from_environment = getenv (variable);

  if (option->count > 0)
    return option->sval[0];
  return from_environment ? from_environment : default_value;
}

LtClient *
lt_arguments_new_client (const LtArguments *arguments)
{
  return lt_client_new (get_option_or_environment_value (arguments->address,
                                                         ADDRESS_ENVIRONMENT_VARIABLE,
                                                         DEFAULT_ADDRESS),
                        get_option_or_environment_value (arguments->token,
                                                         TOKEN_ENVIRONMENT_VARIABLE, ""));
}

int
lt_print_error (const LbError *error)
{
  fprintf (stderr, "lentilspindle: %s%s%s: %s\n", error->where, error->where[0] ? ": " : "",
           lb_error_name (error->code), error->detail);
  return LT_EXIT_FAILED;
}

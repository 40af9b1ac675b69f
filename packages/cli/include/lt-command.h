#ifndef LT_COMMAND_H
#define LT_COMMAND_H

/* Exit codes of all subcommands. */
enum
{
  LT_EXIT_OK = 0,
  LT_EXIT_FAILED = 1, /* a check or a request failed, or a difference was found */
  LT_EXIT_USAGE = 2   /* invalid options or an invalid input file */
};

typedef struct
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv); /* argv[0] is the name of the subcommand */
} LtCommand;

int lt_main (int argc, char **argv);

#endif

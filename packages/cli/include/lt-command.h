#ifndef LT_COMMAND_H
#define LT_COMMAND_H

/* Exit codes of every subcommand. */
enum
{
  LT_EXIT_OK = 0,
  LT_EXIT_FAILED = 1, /* it ran and the answer is no, or the service refused */
  LT_EXIT_USAGE = 2   /* bad options, or a bad file */
};

typedef struct
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv); /* argv[0] is the subcommand's name */
} LtCommand;

int lt_main (int argc, char **argv);

#endif

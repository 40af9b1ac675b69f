#ifndef SI_ARGUMENTS_H
#define SI_ARGUMENTS_H

#include <argtable2.h>
#include <stdbool.h>

/* Of an argtable whose last two entries are --help and the end. True when the program shall run;
 * else *status is its exit code, and the help or the faults have been printed. */
bool si_arguments_parse (
    int argc, char **argv, void **table, size_t n, const char *program, int *status);

#endif

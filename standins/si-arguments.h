#ifndef SI_ARGUMENTS_H
#define SI_ARGUMENTS_H

#include <argtable2.h>
#include <stdbool.h>

/* Parses argv into an argtable2 table of n_entries entries; the last two must be --help and
 * arg_end. Returns true if the program should run. Otherwise prints help or usage errors and sets
 * *exit_code. */
bool si_arguments_parse (
    int argc, char **argv, void **table, size_t n_entries, const char *program, int *exit_code);

#endif

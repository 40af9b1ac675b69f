#ifndef SI_ARGUMENTS_H
#define SI_ARGUMENTS_H

#include <argtable2.h>
#include <stdbool.h>

/* The last two of the table's n_entries must be --help and arg_end. Returns true when the program
 * should run; otherwise help or usage errors have been printed and *exit_code is set. */
bool si_arguments_parse (
    int argc, char **argv, void **table, size_t n_entries, const char *program, int *exit_code);

#endif

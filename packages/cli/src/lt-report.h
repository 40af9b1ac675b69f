#ifndef LT_REPORT_H
#define LT_REPORT_H

#include "lx-result.h"

/* Writes the self-contained page DIR/bench.html. Prints an error and returns false on failure. */
bool lt_report_write (const char *dir, const char *site, const LxResult *results, size_t n);

#endif

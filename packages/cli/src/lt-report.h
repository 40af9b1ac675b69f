#ifndef LT_REPORT_H
#define LT_REPORT_H

#include "lx-result.h"

/* Writes DIR/bench.html, a page that needs nothing else; false and a line on standard error when it
 * can't. */
bool lt_report_write (const char *dir, const char *site, const LxResult *results, size_t n);

#endif

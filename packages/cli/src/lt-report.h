#ifndef LT_REPORT_H
#define LT_REPORT_H

#include "lx-result.h"

/* Writes the benchmark results to DIR/bench.html, a self-contained HTML page. On failure prints an
 * error and returns false. */
bool lt_bench_report_write (const char *dir, const char *site, const LxResult *results, size_t n);

#endif

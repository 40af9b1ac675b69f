#ifndef LB_HISTOGRAM_H
#define LB_HISTOGRAM_H

#include "lb-types.h"

#include <gsl/gsl_histogram.h>
#include <stdio.h>

/* Durations in buckets from 1 ms to 10 s. A static variable of the module that measures; registered
 * at its first use, like LbMetric. */
typedef struct LbHistogram
{
  const char *name; /* lentilspindle_..._seconds */
  const char *help;
  gsl_histogram *buckets; /* NULL: not used yet */
  double sum;
  struct LbHistogram *next;
} LbHistogram;

#define LB_HISTOGRAM_INIT(n, h)                                                                    \
  {                                                                                                \
    .name = (n), .help = (h)                                                                       \
  }

void lb_histogram_add (LbHistogram *histogram, LbTime duration);
int64_t lb_histogram_count_values (const LbHistogram *histogram);
/* Writes all registered histograms in the Prometheus text format. */
void lb_histogram_render_all (FILE *out);

#endif

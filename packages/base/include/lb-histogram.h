#ifndef LB_HISTOGRAM_H
#define LB_HISTOGRAM_H

#include "lb-types.h"

#include <gsl/gsl_histogram.h>
#include <stdio.h>

/* Histogram of durations with buckets from 1 ms to 10 s. Each is a static variable of the module
 * that measures the durations, and is registered by its first lb_histogram_add. */
typedef struct LbHistogram
{
  const char *name; /* Prometheus metric name: lentilspindle_..._seconds */
  const char *help;
  gsl_histogram *buckets; /* NULL until the first lb_histogram_add */
  double sum;             /* sum of all durations, in seconds */
  struct LbHistogram *next;
} LbHistogram;

#define LB_HISTOGRAM_INIT(metric_name, help_text)                                                  \
  {                                                                                                \
    .name = (metric_name), .help = (help_text)                                                     \
  }

void lb_histogram_add (LbHistogram *histogram, LbTime duration);
int64_t lb_histogram_count_values (const LbHistogram *histogram);
/* Writes all registered histograms in the Prometheus text format. */
void lb_histogram_render_all (FILE *out);

#endif

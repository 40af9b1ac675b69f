#ifndef LB_HISTOGRAM_H
#define LB_HISTOGRAM_H

#include "lb-types.h"

#include <gsl/gsl_histogram.h>
#include <stdio.h>

/* Times in buckets from a millisecond to ten seconds. A static in the module that measures; it
 * joins the registry at its first use, as metrics do. */
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

void lb_histogram_add (LbHistogram *histogram, LbTime time);
int64_t lb_histogram_count (const LbHistogram *histogram);
/* All registered ones in the Prometheus text format. */
void lb_histogram_render_all (FILE *out);

#endif

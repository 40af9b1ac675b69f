#include "lc-true-time.h"

#include "lb-alloc.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdlib.h>

/* Converts offsets to double, which holds milliseconds since 1970 without loss. */
int64_t
lc_true_time_median_offset (const int64_t *offsets, size_t n)
{
  double *values = LB_NEW_ARRAY (double, n);

  for (size_t i = 0; i < n; i++)
    values[i] = (double)offsets[i];
  gsl_sort (values, 1, n);
  double median = gsl_stats_median_from_sorted_data (values, 1, n);
  free (values);
  return (int64_t)median;
}

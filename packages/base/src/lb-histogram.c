#include "lb-histogram.h"

#include <float.h>
#include <gsl/gsl_histogram.h>

/* Neighbouring bounds differ by a factor of about 1.5 from 100 ms to 250 ms, where the latency
 * goals lie, and of 2 to 2.5 elsewhere. */
static const double bucket_bounds_seconds[]
    = { 0, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10, DBL_MAX };
#define N_BUCKET_BOUNDS (sizeof bucket_bounds_seconds / sizeof bucket_bounds_seconds[0])

static LbHistogram *registry;

static void
register_histogram (LbHistogram *histogram)
{
  histogram->buckets = gsl_histogram_alloc (N_BUCKET_BOUNDS - 1);
  gsl_histogram_set_ranges (histogram->buckets, bucket_bounds_seconds, N_BUCKET_BOUNDS);
  histogram->next = registry;
  registry = histogram;
}

void
lb_histogram_add (LbHistogram *histogram, LbTime duration)
{
  double seconds = duration > 0 ? (double)duration / LB_SEC : 0;

  if (!histogram->buckets)
    register_histogram (histogram);
  gsl_histogram_increment (histogram->buckets, seconds);
  histogram->sum += seconds;
}

int64_t
lb_histogram_count_values (const LbHistogram *histogram)
{
  return histogram->buckets ? (int64_t)gsl_histogram_sum (histogram->buckets) : 0;
}

static void
render_histogram (FILE *out, const LbHistogram *histogram)
{
  double cumulative = 0;

  fprintf (out, "# HELP %s %s\n# TYPE %s histogram\n", histogram->name, histogram->help,
           histogram->name);
  for (size_t i = 0; i + 2 < N_BUCKET_BOUNDS; i++)
    {
      cumulative += gsl_histogram_get (histogram->buckets, i);
      fprintf (out, "%s_bucket{le=\"%g\"} %.0f\n", histogram->name, bucket_bounds_seconds[i + 1],
               cumulative);
    }
  fprintf (out, "%s_bucket{le=\"+Inf\"} %lld\n%s_sum %g\n%s_count %lld\n", histogram->name,
           (long long)lb_histogram_count_values (histogram), histogram->name, histogram->sum,
           histogram->name, (long long)lb_histogram_count_values (histogram));
}

void
lb_histogram_render_all (FILE *out)
{
  for (const LbHistogram *histogram = registry; histogram; histogram = histogram->next)
    render_histogram (out, histogram);
}

#include "lt-report.h"

#include "lb-alloc.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

enum
{
  CHART_WIDTH_PX = 760,
  CHART_HEIGHT_PX = 360,
  MARGIN_PX = 60,
  BAR_PITCH_PX = 18
};

typedef double (*Metric) (const LxResult *result);

static double
get_mean_trainer_idle_seconds (const LxResult *result)
{
  return result->idle_seconds;
}

static double
get_mean_sample_staleness (const LxResult *result)
{
  return result->staleness_mean;
}

static double
get_live_call_latency_p50_ms (const LxResult *result)
{
  return result->live_p50_ms;
}

static double
get_live_call_latency_p99_ms (const LxResult *result)
{
  return result->live_p99_ms;
}

static double
get_engine_token_imbalance (const LxResult *result)
{
  return result->imbalance;
}

static double
find_max_metric_value (const LxResult *results, size_t n, Metric metric)
{
  double max = 1e-9;

  for (size_t i = 0; i < n; i++)
    max = metric (&results[i]) > max ? metric (&results[i]) : max;
  return max;
}

static void
write_idle_time_scatter (FILE *out, const LxResult *results, size_t n)
{
  double x_max = find_max_metric_value (results, n, get_mean_sample_staleness) * 1.1;
  double y_max = find_max_metric_value (results, n, get_mean_trainer_idle_seconds) * 1.1;

  fprintf (out, "<h2>Idle time against staleness</h2>\n<svg width=\"%d\" height=\"%d\">\n",
           CHART_WIDTH_PX, CHART_HEIGHT_PX);
  fprintf (out, "<path d=\"M%d %d V%d H%d\" stroke=\"black\" fill=\"none\"/>\n", MARGIN_PX, 10,
           CHART_HEIGHT_PX - MARGIN_PX, CHART_WIDTH_PX - 10);
  fprintf (out, "<text x=\"%d\" y=\"%d\">mean staleness, versions (to %.2f)</text>\n",
           CHART_WIDTH_PX / 3, CHART_HEIGHT_PX - MARGIN_PX / 3, x_max);
  fprintf (out, "<text x=\"5\" y=\"20\">idle s per step (to %.1f)</text>\n", y_max);
  for (size_t i = 0; i < n; i++)
    {
      double x = MARGIN_PX + (CHART_WIDTH_PX - 2 * MARGIN_PX) * results[i].staleness_mean / x_max;
      double y = CHART_HEIGHT_PX - MARGIN_PX
                 - (CHART_HEIGHT_PX - 2 * MARGIN_PX) * results[i].idle_seconds / y_max;
      fprintf (out,
               "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"><title>%s</title></circle>\n",
               x, y, strncmp (results[i].policy, "lentil", 6) == 0 ? "#c33" : "#369",
               results[i].policy);
      fprintf (out, "<text x=\"%.1f\" y=\"%.1f\" font-size=\"9\">%s</text>\n", x + 6, y - 3,
               results[i].policy);
    }
  fputs ("</svg>\n", out);
}

static void
write_bar_chart (FILE *out, const char *title, const LxResult *results, size_t n, Metric metric)
{
  double max = find_max_metric_value (results, n, metric);

  fprintf (out, "<h2>%s</h2>\n<svg width=\"%d\" height=\"%zu\">\n", title, CHART_WIDTH_PX,
           n * BAR_PITCH_PX + 10);
  for (size_t i = 0; i < n; i++)
    {
      double value = metric (&results[i]);
      fprintf (out,
               "<text x=\"0\" y=\"%zu\" font-size=\"11\">%s #%" PRIu64 "</text>"
               "<rect x=\"250\" y=\"%zu\" width=\"%.1f\" height=\"12\" fill=\"#369\"/>"
               "<text x=\"%.1f\" y=\"%zu\" font-size=\"11\">%.2f</text>\n",
               i * BAR_PITCH_PX + 14, results[i].policy, results[i].seed, i * BAR_PITCH_PX + 4,
               (CHART_WIDTH_PX - 330) * value / max, 255 + (CHART_WIDTH_PX - 330) * value / max,
               i * BAR_PITCH_PX + 14, value);
    }
  fputs ("</svg>\n", out);
}

bool
lt_bench_report_write (const char *dir, const char *site, const LxResult *results, size_t n)
{
  char *path = lb_asprintf ("%s/bench.html", dir);
  bool written = false;
  FILE *out = NULL;

  if (mkdir (dir, 0777) != 0 && errno != EEXIST)
    goto out;
  out = fopen (path, "w");
  if (!out)
    goto out;
  fprintf (out,
           "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>bench %s</title>"
           "<style>body{font-family:sans-serif;margin:2em}</style><h1>bench, %s</h1>\n",
           site, site);
  write_idle_time_scatter (out, results, n);
  write_bar_chart (out, "Live latency, median, ms", results, n, get_live_call_latency_p50_ms);
  write_bar_chart (out, "Live latency, 99th percentile, ms", results, n,
                   get_live_call_latency_p99_ms);
  write_bar_chart (out, "Load of the busiest engine relative to the mean", results, n,
                   get_engine_token_imbalance);
  fputs ("</html>\n", out);
  written = true;
out:
  if (out && fclose (out) != 0)
    written = false;
  if (!written)
    fprintf (stderr, "lentilspindle bench: can't write %s: %s\n", path, strerror (errno));
  free (path);
  return written;
}

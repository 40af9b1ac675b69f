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
  WIDTH = 760,
  HEIGHT = 360,
  MARGIN = 60,
  BAR = 18
};

typedef double (*Measure) (const LxResult *result);

static double
idle_of (const LxResult *result)
{
  return result->idle_seconds;
}

static double
staleness_of (const LxResult *result)
{
  return result->staleness_mean;
}

static double
p50_of (const LxResult *result)
{
  return result->live_p50_ms;
}

static double
p99_of (const LxResult *result)
{
  return result->live_p99_ms;
}

static double
imbalance_of (const LxResult *result)
{
  return result->imbalance;
}

static double
largest (const LxResult *results, size_t n, Measure measure)
{
  double most = 1e-9;

  for (size_t i = 0; i < n; i++)
    most = measure (&results[i]) > most ? measure (&results[i]) : most;
  return most;
}

static void
write_scatter (FILE *out, const LxResult *results, size_t n)
{
  double x_max = largest (results, n, staleness_of) * 1.1;
  double y_max = largest (results, n, idle_of) * 1.1;

  fprintf (out, "<h2>Idle time against staleness</h2>\n<svg width=\"%d\" height=\"%d\">\n", WIDTH,
           HEIGHT);
  fprintf (out, "<path d=\"M%d %d V%d H%d\" stroke=\"black\" fill=\"none\"/>\n", MARGIN, 10,
           HEIGHT - MARGIN, WIDTH - 10);
  fprintf (out, "<text x=\"%d\" y=\"%d\">mean staleness, versions (to %.2f)</text>\n", WIDTH / 3,
           HEIGHT - MARGIN / 3, x_max);
  fprintf (out, "<text x=\"5\" y=\"20\">idle s per step (to %.1f)</text>\n", y_max);
  for (size_t i = 0; i < n; i++)
    {
      double x = MARGIN + (WIDTH - 2 * MARGIN) * results[i].staleness_mean / x_max;
      double y = HEIGHT - MARGIN - (HEIGHT - 2 * MARGIN) * results[i].idle_seconds / y_max;
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
write_bars (FILE *out, const char *title, const LxResult *results, size_t n, Measure measure)
{
  double most = largest (results, n, measure);

  fprintf (out, "<h2>%s</h2>\n<svg width=\"%d\" height=\"%zu\">\n", title, WIDTH, n * BAR + 10);
  for (size_t i = 0; i < n; i++)
    {
      double value = measure (&results[i]);
      fprintf (out,
               "<text x=\"0\" y=\"%zu\" font-size=\"11\">%s #%" PRIu64 "</text>"
               "<rect x=\"250\" y=\"%zu\" width=\"%.1f\" height=\"12\" fill=\"#369\"/>"
               "<text x=\"%.1f\" y=\"%zu\" font-size=\"11\">%.2f</text>\n",
               i * BAR + 14, results[i].policy, results[i].seed, i * BAR + 4,
               (WIDTH - 330) * value / most, 255 + (WIDTH - 330) * value / most, i * BAR + 14,
               value);
    }
  fputs ("</svg>\n", out);
}

bool
lt_report_write (const char *dir, const char *site, const LxResult *results, size_t n)
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
  write_scatter (out, results, n);
  write_bars (out, "Live latency, median, ms", results, n, p50_of);
  write_bars (out, "Live latency, 99th percentile, ms", results, n, p99_of);
  write_bars (out, "Load of the busiest engine over the mean", results, n, imbalance_of);
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

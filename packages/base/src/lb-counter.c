#include "lb-counter.h"

#include "lb-alloc.h"
#include "lb-error.h"
#include "lb-histogram.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static LbMetric *registry;

static LbMetric error_metrics[LB_N_ERRORS];
static char error_labels[LB_N_ERRORS][64];

/* Inserts the metric into the list sorted by name: the Prometheus text format requires that metrics
 * of the same name follow each other. */
static void
register_metric (LbMetric *metric)
{
  LbMetric **insert_at = &registry;

  while (*insert_at && strcmp ((*insert_at)->name, metric->name) <= 0)
    insert_at = &(*insert_at)->next;
  metric->next = *insert_at;
  *insert_at = metric;
  metric->is_registered = true;
}

void
lb_metric_add (LbMetric *metric, int64_t amount)
{
  if (!metric->is_registered)
    register_metric (metric);
  metric->value += amount;
}

void
lb_metric_set (LbMetric *metric, int64_t value)
{
  if (!metric->is_registered)
    register_metric (metric);
  metric->value = value;
}

void
lb_metric_count_error (int error_code)
{
  LbMetric *metric = &error_metrics[error_code];

  if (!metric->name)
    {
      snprintf (error_labels[error_code], sizeof error_labels[error_code], "type=\"%s\"",
                lb_error_name ((LbErrorCode)error_code));
      metric->name = "lentilspindle_errors_total";
      metric->help = "Failures by type";
      metric->label = error_labels[error_code];
    }
  lb_metric_add (metric, 1);
}

static void
render_metric (FILE *out, const LbMetric *metric, bool is_first_with_name)
{
  if (is_first_with_name)
    fprintf (out, "# HELP %s %s\n# TYPE %s %s\n", metric->name, metric->help, metric->name,
             metric->kind == LB_GAUGE ? "gauge" : "counter");
  if (metric->label)
    fprintf (out, "%s{%s} %lld\n", metric->name, metric->label, (long long)metric->value);
  else
    fprintf (out, "%s %lld\n", metric->name, (long long)metric->value);
}

char *
lb_metric_render_all (void)
{
  char *text = NULL;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  const char *previous = "";

  if (!out)
    return lb_strdup ("");
  for (const LbMetric *metric = registry; metric; metric = metric->next)
    {
      render_metric (out, metric, strcmp (previous, metric->name) != 0);
      previous = metric->name;
    }
  lb_histogram_render_all (out);
  fclose (out);
  return text;
}

#include "ln-lag-metrics.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <stdio.h>
#include <string.h>

#define LABEL_BYTES (LB_NAME_MAX + 16)

typedef struct
{
  LbName model;
  char label[LABEL_BYTES];
  LbMetric metric;
} LagMetric;

static LagMetric lag_metrics[LC_MAX_TRAINERS];
static size_t n_lag_metrics;

/* Replaces the characters that are not allowed in a label's value. */
static void
sanitise_label_value (char *text)
{
  for (; *text; text++)
    if (*text == '"' || *text == '\\' || (unsigned char)*text < ' ')
      *text = '_';
}

/* Returns the metric of a model; NULL if LC_MAX_TRAINERS other models have one. */
static LagMetric *
find_or_add_metric (const char *model)
{
  LbName label_value;

  for (size_t i = 0; i < n_lag_metrics; i++)
    if (strcmp (lag_metrics[i].model, model) == 0)
      return &lag_metrics[i];
  if (n_lag_metrics == LC_MAX_TRAINERS)
    return NULL;
  LagMetric *added = &lag_metrics[n_lag_metrics++];
  LB_COPY (added->model, model);
  LB_COPY (label_value, model);
  sanitise_label_value (label_value);
  snprintf (added->label, sizeof added->label, "model=\"%s\"", label_value);
  added->metric = (LbMetric)LB_GAUGE_INIT ("lentilspindle_trainer_lag_ms", added->label,
                                           "How far the model's trainer is behind its schedule");
  return added;
}

void
ln_lag_metrics_update (const LcTrainerLags *lags)
{
  for (size_t i = 0; i < lc_trainer_lags_count (lags); i++)
    {
      const LcTrainerLag *lag = lc_trainer_lags_get (lags, i);
      LagMetric *metric = lag->is_known ? find_or_add_metric (lag->model) : NULL;
      if (metric)
        lb_metric_set (&metric->metric, lag->lag / LB_MSEC);
    }
}

void
ln_lag_metrics_reset (void)
{
  for (size_t i = 0; i < n_lag_metrics; i++)
    lb_metric_set (&lag_metrics[i].metric, 0);
}

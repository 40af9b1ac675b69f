#ifndef LB_COUNTER_H
#define LB_COUNTER_H

#include "lb-types.h"

typedef enum
{
  LB_COUNTER,
  LB_GAUGE
} LbMetricKind;

/* A counter or gauge. Each is a static variable of the module that updates it and is registered for
 * lb_metric_render_all by its first update. */
typedef struct LbMetric
{
  const char *name;  /* Prometheus metric name: lentilspindle_... */
  const char *label; /* key="value" pairs without braces; NULL: no labels */
  const char *help;
  LbMetricKind kind;
  int64_t value;
  bool is_registered;
  struct LbMetric *next;
} LbMetric;

#define LB_COUNTER_INIT(metric_name, labels, help_text)                                            \
  {                                                                                                \
    .name = (metric_name), .label = (labels), .help = (help_text), .kind = LB_COUNTER              \
  }
#define LB_GAUGE_INIT(metric_name, labels, help_text)                                              \
  {                                                                                                \
    .name = (metric_name), .label = (labels), .help = (help_text), .kind = LB_GAUGE                \
  }

void lb_metric_add (LbMetric *metric, int64_t amount);
void lb_metric_set (LbMetric *metric, int64_t value);

/* Increments lentilspindle_errors_total; its label "type" is the name of this error code. */
void lb_metric_count_error (int error_code);

/* Renders all registered metrics in the Prometheus text format; the caller frees the text. */
char *lb_metric_render_all (void);

#endif

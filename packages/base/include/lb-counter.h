#ifndef LB_COUNTER_H
#define LB_COUNTER_H

#include "lb-types.h"

typedef enum
{
  LB_COUNTER,
  LB_GAUGE
} LbMetricKind;

/* A static variable of the module that updates it; registered at its first use. */
typedef struct LbMetric
{
  const char *name;  /* lentilspindle_..., Prometheus style */
  const char *label; /* key="value" pairs, or NULL */
  const char *help;
  LbMetricKind kind;
  int64_t value;
  bool is_registered;
  struct LbMetric *next;
} LbMetric;

#define LB_COUNTER_INIT(n, l, h)                                                                   \
  {                                                                                                \
    .name = (n), .label = (l), .help = (h), .kind = LB_COUNTER                                     \
  }
#define LB_GAUGE_INIT(n, l, h)                                                                     \
  {                                                                                                \
    .name = (n), .label = (l), .help = (h), .kind = LB_GAUGE                                       \
  }

void lb_metric_add (LbMetric *metric, int64_t amount);
void lb_metric_set (LbMetric *metric, int64_t value);

/* Increments the counter of this error code. */
void lb_metric_count_error (int error_code);

/* Renders all registered metrics in the Prometheus text format; the caller frees the text. */
char *lb_metric_render (void);

#endif

#ifndef LB_COUNTER_H
#define LB_COUNTER_H

#include "lb-types.h"

typedef enum
{
  LB_COUNTER,
  LB_GAUGE
} LbMetricKind;

/* A metric lives as a static in the module that counts; it joins the registry at its first use. */
typedef struct LbMetric
{
  const char *name;  /* lentilspindle_..., Prometheus style */
  const char *label; /* key="value" pairs, or NULL */
  const char *help;
  LbMetricKind kind;
  int64_t value;
  bool registered;
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

/* Counts one more failure of this type (one LbMetric per error code is kept inside). */
void lb_metric_count_error (int error_code);

/* Every registered metric in the Prometheus text format; the caller frees it. */
char *lb_metric_render (void);

#endif

#ifndef LC_STALENESS_H
#define LC_STALENESS_H

#include "lc-types.h"

/* What one trainer lets be delivered to it, and what is known of the fleet's versions. */
typedef struct
{
  int64_t max_lag;    /* INT64_MAX: no bound */
  double idle_weight; /* 0..1 */
  LcVersion trainer;  /* the trainer's latest stated version */
  LcVersion newest;   /* the newest that any engine of the pool may serve; 0: unknown */
  LbTime cadence;     /* between versions; 0: unknown */
} LcFreshness;

bool lc_staleness_is_too_old (const LcLabel *label, LcVersion trainer, int64_t max_lag);
/* The oldest weights worth starting on, for a sample that takes so many seconds; 0: any. */
LcVersion lc_staleness_min_version (const LcFreshness *freshness, double seconds);

#endif

#ifndef LC_STALENESS_H
#define LC_STALENESS_H

#include "lc-types.h"

/* A trainer's staleness bound and what is known of the versions that its pool serves. */
typedef struct
{
  int64_t max_lag;           /* INT64_MAX: no bound */
  double idle_weight;        /* 0 (only staleness counts) .. 1 (only idle time) */
  LcVersion trainer_version; /* latest version that the trainer stated; 0: none */
  LcVersion newest_version;  /* the newest that any engine of the pool may serve; 0: unknown */
  LbTime version_interval;   /* between new versions; 0: unknown */
} LcStalenessPolicy;

bool lc_staleness_is_too_old (const LcLabel *label, LcVersion trainer_version, int64_t max_lag);
/* The oldest version to start a sample on that will take this many seconds; 0: any. */
LcVersion lc_staleness_min_version (const LcStalenessPolicy *policy, double seconds);

#endif

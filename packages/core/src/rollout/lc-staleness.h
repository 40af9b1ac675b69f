#ifndef LC_STALENESS_H
#define LC_STALENESS_H

#include "lc-types.h"

/* A trainer's staleness bound and the known weight versions of the trainer and its pool. */
typedef struct
{
  int64_t max_lag; /* largest allowed staleness, in versions; INT64_MAX: no bound */
  /* weight of the trainer's idle time against staleness: 0 (avoid staleness) to 1 (avoid idle
   * time) */
  double idle_weight;
  LcVersion trainer_version; /* latest version that the trainer reported; 0: none */
  LcVersion newest_version;  /* newest version that an engine of the pool may serve; 0: unknown */
  LbTime version_interval;   /* time between new weight versions; 0: unknown */
} LcStalenessPolicy;

bool
lc_staleness_is_label_too_old (const LcLabel *label, LcVersion trainer_version, int64_t max_lag);
/* Returns the oldest weight version that may start a sample whose generation is expected to take
 * this many seconds; 0: any version. */
LcVersion lc_staleness_min_version_for_duration (const LcStalenessPolicy *policy, double seconds);

#endif

#include "lc-staleness.h"

#include "lc-label.h"

bool
lc_staleness_is_label_too_old (const LcLabel *label, LcVersion trainer_version, int64_t max_lag)
{
  return lc_label_staleness (label, trainer_version) > max_lag;
}

static int64_t
count_versions_expected_within (const LcStalenessPolicy *policy, double seconds)
{
  if (policy->version_interval <= 0)
    return 0;
  return (int64_t)(seconds * LB_SEC / (double)policy->version_interval);
}

/* The trainer's version advances while a sample is generated, so at the start the oldest version
 * may be behind the trainer's version only by max_lag minus the number of versions expected until
 * the end. A smaller idle_weight reduces this lag further, for fresher samples at the cost of idle
 * time. The result never exceeds the newest version, which some engine serves. */
LcVersion
lc_staleness_min_version_for_duration (const LcStalenessPolicy *policy, double seconds)
{
  if (policy->max_lag == INT64_MAX || policy->trainer_version == 0)
    return 0;
  /* The newest version on the engines is unknown, so the whole max_lag is allowed: a stricter
   * minimum may be a version that no engine serves. */
  if (policy->newest_version == 0)
    return policy->trainer_version > policy->max_lag ? policy->trainer_version - policy->max_lag
                                                     : 0;

  int64_t allowed_lag = policy->max_lag - count_versions_expected_within (policy, seconds);
  allowed_lag = allowed_lag > 0 ? (int64_t)((double)allowed_lag * policy->idle_weight + 0.5) : 0;
  LcVersion min_version = policy->trainer_version - allowed_lag;
  if (policy->newest_version > 0 && min_version > policy->newest_version)
    min_version = policy->newest_version;
  return min_version > 0 ? min_version : 0;
}

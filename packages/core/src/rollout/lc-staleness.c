#include "lc-staleness.h"

#include "lc-label.h"

bool
lc_staleness_is_too_old (const LcLabel *label, LcVersion trainer, int64_t max_lag)
{
  return lc_label_staleness (label, trainer) > max_lag;
}

static int64_t
versions_meanwhile (const LcFreshness *freshness, double seconds)
{
  if (freshness->cadence <= 0)
    return 0;
  return (int64_t)(seconds * LB_SEC / (double)freshness->cadence);
}

/* The trainer moves on while the sample runs, so the lag left at the start is smaller than the
 * bound. A trainer to which staleness matters more gives up a part of that lag too. It is never
 * more than the newest: a sample must be able to start somewhere. */
LcVersion
lc_staleness_min_version (const LcFreshness *freshness, double seconds)
{
  if (freshness->max_lag == INT64_MAX || freshness->trainer == 0)
    return 0;
  /* Not known what the engines serve: more than the bound needs might be nowhere to be had. */
  if (freshness->newest == 0)
    return freshness->trainer > freshness->max_lag ? freshness->trainer - freshness->max_lag : 0;

  int64_t lag = freshness->max_lag - versions_meanwhile (freshness, seconds);
  lag = lag > 0 ? (int64_t)((double)lag * freshness->idle_weight + 0.5) : 0;
  LcVersion wanted = freshness->trainer - lag;
  if (freshness->newest > 0 && wanted > freshness->newest)
    wanted = freshness->newest;
  return wanted > 0 ? wanted : 0;
}

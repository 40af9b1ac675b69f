#ifndef LX_OPTIONS_H
#define LX_OPTIONS_H

#include "lx-site.h"

#include "lc-rollouts.h"

/* Parameters of a simulation run. Runs with equal parameters have identical results. */
typedef struct
{
  const LxSite *site;
  uint64_t seed;
  LbName policy; /* routing policy */
  LcRolloutSettings rollouts;
  int64_t n_engines;   /* number of model engines; 0: as many as the site has */
  int64_t concurrency; /* maximum number of streams that an engine runs at once */
  LbTime duration;
  uint64_t max_events; /* maximum number of simulation events; 0: no limit */
  size_t n_trainers;
  int64_t groups_per_step;
  int64_t samples_per_group;
  /* tokens of the shortest sample; most samples have 1 to 3 times, stragglers 10 to 30 times as
   * many */
  int64_t min_sample_tokens;
  LbTime train_time;       /* time that a trainer trains on one step */
  LbTime version_interval; /* time between new weight versions */
  double calls_per_second;
  double service_calls_per_second;
  /* Share of the stragglers, 0..1, that are in groups with a hard prompt. In a group with a hard
   * prompt, every second sample is a straggler. */
  double hard_share;
  double hedge_budget; /* share of a step's tokens that hedges may waste */
  double idle_weight; /* weight of idle time against stale samples, 0..1; negative: site's preset */
  LbTime hedge_after; /* hedge repeatable live calls without a piece after this time; 0: never */
  bool is_scripted; /* all events except polls and weight swaps come from a trace; none is random */
  bool explain;     /* print one line per step on standard error */
  /* options of soak runs, which inject faults */
  uint32_t fault_kinds; /* bit i: LxFault i is injected */
  bool stop_at_violation;
  LbTime mean_fault_interval;
  LbTime mean_change_interval;       /* mean time between configuration changes; 0: no changes */
  const uint8_t *skipped_injections; /* nonzero at i: fault injection number i is skipped */
  size_t n_skipped_injections;
} LxOptions;

void lx_options_init (LxOptions *options, const LxSite *site, uint64_t seed);
/* Accepts "lentilspindle", the name of a router policy, or a router policy with one or more rollout
 * mechanisms, such as "random+hedging". Returns false if a name is unknown. */
bool lx_options_parse_policy (LxOptions *options, const char *policy);

/* Returns the mechanism names that lx_options_parse_policy accepts, as a NULL-terminated array. */
const char *const *lx_rollout_mechanism_names (void);

#endif

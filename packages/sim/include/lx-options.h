#ifndef LX_OPTIONS_H
#define LX_OPTIONS_H

#include "lx-site.h"

#include "lc-rollouts.h"

/* Parameters of a run. They determine everything that happens in it. */
typedef struct
{
  const LxSite *site;
  uint64_t seed;
  LbName policy; /* routing policy */
  LcRolloutSettings rollouts;
  int64_t n_engines;   /* 0: the number of the site */
  int64_t concurrency; /* of an engine */
  LbTime duration;
  uint64_t max_events; /* 0: no limit */
  size_t n_trainers;
  int64_t groups_per_step;
  int64_t samples_per_group;
  int64_t min_sample_tokens; /* the longest is 3 times as long, a straggler 10 to 30 times */
  LbTime train_time;         /* on one step */
  LbTime version_interval;
  double calls_per_second;
  double service_calls_per_second;
  double hard_share; /* share of stragglers that belong to hard prompts, 0..1 */
  double hedge_budget;
  double idle_weight; /* < 0: the value of the site's preset */
  LbTime hedge_after;
  bool is_scripted; /* no random events; only polls and swaps happen without a trace line */
  bool explain;     /* prints a line on standard error for each step */
  /* soak */
  uint32_t fault_kinds; /* bits by LxFault */
  bool stop_at_violation;
  LbTime mean_fault_interval;
  LbTime mean_change_interval;       /* between operators' changes; 0: none */
  const uint8_t *skipped_injections; /* by number of the fault injection */
  size_t n_skipped_injections;
} LxOptions;

void lx_options_init (LxOptions *options, const LxSite *site, uint64_t seed);
/* Accepts "lentilspindle", the name of a router policy, or a router policy and one or more
 * mechanisms: "random+hedging". Returns false if a part is unknown. */
bool lx_options_set_policy (LxOptions *options, const char *policy);

const char *const *lx_mechanism_names (void);

#endif

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
  int64_t n_engines;   /* model engines; 0: as many as the site has */
  int64_t concurrency; /* streams that an engine runs at once */
  LbTime duration;
  uint64_t max_events; /* 0: no limit */
  size_t n_trainers;
  int64_t groups_per_step;
  int64_t samples_per_group;
  int64_t min_sample_tokens; /* the longest is 3 times as long, a straggler 10 to 30 times */
  LbTime train_time;         /* how long a trainer trains on one step */
  LbTime version_interval;   /* between new weight versions */
  double calls_per_second;
  double service_calls_per_second;
  /* Share of the stragglers that are in groups with a hard prompt, 0..1. Every second sample of
   * such a group is a straggler. */
  double hard_share;
  double hedge_budget; /* share of a step's tokens that hedges may waste */
  double idle_weight;  /* 0 (only staleness counts) to 1 (only idle time); < 0: by preset */
  LbTime hedge_after;  /* for repeatable live calls without a first piece; 0: never */
  bool is_scripted;    /* no random events; only polls and swaps happen without a trace line */
  bool explain;        /* prints a line on standard error for each step */
  /* of a soak, which injects faults */
  uint32_t fault_kinds; /* bit i: LxFault i is injected */
  bool stop_at_violation;
  LbTime mean_fault_interval;
  LbTime mean_change_interval;       /* between operators' changes; 0: none */
  const uint8_t *skipped_injections; /* by number of the fault injection; nonzero: not made */
  size_t n_skipped_injections;
} LxOptions;

void lx_options_init (LxOptions *options, const LxSite *site, uint64_t seed);
/* Accepts "lentilspindle", the name of a router policy, or a router policy and one or more
 * mechanisms: "random+hedging". Returns false if a part is unknown. */
bool lx_options_set_policy (LxOptions *options, const char *policy);

const char *const *lx_rollout_mechanism_names (void);

#endif

#ifndef LX_OPTIONS_H
#define LX_OPTIONS_H

#include "lx-site.h"

#include "lc-rollouts.h"

/* What a run is made of. Everything that happens in it follows from these values. */
typedef struct
{
  const LxSite *site;
  uint64_t seed;
  LbName policy; /* of the router */
  LcRolloutSettings rollouts;
  int64_t n_engines;   /* 0: as at the site */
  int64_t concurrency; /* of an engine */
  LbTime duration;
  uint64_t max_events; /* 0: no limit */
  size_t n_trainers;
  int64_t groups;
  int64_t samples;
  int64_t shortest; /* sample in tokens; the longest is three times that, a straggler's ten times */
  LbTime train_time; /* training on one step */
  LbTime version_every;
  double calls_per_second;
  double service_calls_per_second;
  double hard_share; /* share of the stragglers that come from hard prompts, 0..1 */
  double hedge_budget;
  double idle_weight; /* below 0: as the site's preset says */
  LbTime hedge_after;
  bool scripted; /* nothing happens of itself but polls and swaps */
  bool explain;  /* a line on standard error for each step */
  /* soak */
  uint32_t faults; /* bits by LxFault */
  bool stop_at_breach;
  LbTime fault_pause;
  LbTime change_every;     /* operators' changes; 0: none */
  const uint8_t *left_out; /* strikes that do not happen */
  size_t n_left_out;
} LxOptions;

void lx_options_init (LxOptions *options, const LxSite *site, uint64_t seed);
/* "lentilspindle", a router's name, or a router's name + one or more mechanisms: "random+hedging".
 * False when a part is unknown. */
bool lx_options_set_policy (LxOptions *options, const char *policy);

const char *const *lx_mechanism_names (void);

#endif

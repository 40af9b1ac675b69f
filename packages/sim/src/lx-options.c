#include "lx-options.h"

#include "lb-alloc.h"

#include <stddef.h>
#include <string.h>

static const char *const mechanism_names[]
    = { "longest-first", "hedging",     "resume",    "predict-staleness",
        "group-release", "fair-shares", "migration", NULL };

static const size_t mechanism_offsets[] = {
  offsetof (LcRolloutSettings, longest_first), offsetof (LcRolloutSettings, hedging),
  offsetof (LcRolloutSettings, resume),        offsetof (LcRolloutSettings, predict_staleness),
  offsetof (LcRolloutSettings, group_release), offsetof (LcRolloutSettings, fair_shares),
  offsetof (LcRolloutSettings, migrate),
};

const char *const *
lx_rollout_mechanism_names (void)
{
  return mechanism_names;
}

void
lx_options_init (LxOptions *options, const LxSite *site, uint64_t seed)
{
  *options = (LxOptions){ .site = site,
                          .seed = seed,
                          .policy = "lentilspindle",
                          .rollouts = lc_rollout_settings_default (),
                          .concurrency = 32,
                          .duration = 900 * LB_SEC,
                          .n_trainers = 2,
                          .groups_per_step = 128,
                          .samples_per_group = 8,
                          .min_sample_tokens = 100,
                          .train_time = 45 * LB_SEC,
                          .version_interval = 90 * LB_SEC,
                          .calls_per_second = 20,
                          .service_calls_per_second = 10,
                          .hard_share = 0.5,
                          .hedge_budget = 0.1,
                          .idle_weight = -1 };
}

static bool *
get_rollout_mechanism_flag (LcRolloutSettings *settings, size_t i)
{
  return (bool *)((char *)settings + mechanism_offsets[i]);
}

static bool
enable_rollout_mechanism (LcRolloutSettings *settings, const char *name)
{
  for (size_t i = 0; mechanism_names[i]; i++)
    if (strcmp (mechanism_names[i], name) == 0)
      {
        *get_rollout_mechanism_flag (settings, i) = true;
        return true;
      }
  return false;
}

static bool
is_router_policy (const char *name)
{
  for (const char *const *policy = lc_router_policy_names (); *policy; policy++)
    if (strcmp (*policy, name) == 0)
      return true;
  return false;
}

bool
lx_options_parse_policy (LxOptions *options, const char *policy)
{
  char copy[256];
  char *rest;

  LB_COPY (copy, policy);
  char *name = strtok_r (copy, "+", &rest);
  if (!name || !is_router_policy (name))
    return false;
  LB_COPY (options->policy, name);
  if (strcmp (policy, "lentilspindle") == 0)
    return true;
  for (size_t i = 0; mechanism_names[i]; i++)
    *get_rollout_mechanism_flag (&options->rollouts, i) = false;
  for (char *part = strtok_r (NULL, "+", &rest); part; part = strtok_r (NULL, "+", &rest))
    if (!enable_rollout_mechanism (&options->rollouts, part))
      return false;
  return true;
}

#include "lc-swap-turns.h"

#include "lb-switch.h"

/* Returns the share of a model's engines that have, or are loading, weights that the next step of
 * the model's trainer can use. Ties between models are broken by the share that has or loads the
 * newest weights. The next step accepts weights one version old, so engines two versions behind are
 * unusable for it. Loads in progress count in both shares, because otherwise the first of several
 * equal models would get all loads, and the next step of another model would find none of its
 * engines ready. */
static double
score_usable_engine_share_of_model (const LcWeightsStatus *status)
{
  double engines = (double)status->engines;

  return ((double)status->usable + (double)status->swapping) / engines
         + ((double)status->on_target + (double)status->swapping) / engines / 100;
}

static bool
can_model_start_load (const LcSwapCandidate *candidate)
{
  const LcWeightsStatus *status = &candidate->status;

  return !candidate->blocked && status->engines > 0 && status->target > 0
         && status->on_target + status->swapping < status->engines;
}

size_t
lc_swap_turns_choose_model (const LcSwapCandidate *candidates, size_t n)
{
  size_t least_ready = n;

  for (size_t i = 0; i < n; i++)
    if (can_model_start_load (&candidates[i])
        && (least_ready == n
            || score_usable_engine_share_of_model (&candidates[i].status)
                   < score_usable_engine_share_of_model (&candidates[least_ready].status)))
      least_ready = i;
  return least_ready;
}

size_t
lc_swap_turns_max_concurrent_loads (size_t n_engines)
{
  if (!lb_switch_is_on (LB_SWITCH_LOADS_IN_TURN))
    return n_engines;
  return (n_engines * LC_SWAP_TURNS_MAX_LOADING_PERCENT + 99) / 100;
}

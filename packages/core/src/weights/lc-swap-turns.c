#include "lc-swap-turns.h"

#include "lb-switch.h"

/* Share of the model's engines that the next step can use, and among equals the share that has the
 * newest weights or gets them. The next step of a trainer takes weights that are one version old,
 * so an engine two versions behind is lost to it, and one that is one behind is not yet. Loads on
 * their way count in both: else the first of equal models gets all loads that go at full speed
 * together, and the next step of another finds none of its engines ready. */
static double
readiness (const LcWeightsStatus *status)
{
  double engines = (double)status->engines;

  return ((double)status->usable + (double)status->swapping) / engines
         + ((double)status->on_target + (double)status->swapping) / engines / 100;
}

static bool
wants_load (const LcSwapCandidate *candidate)
{
  const LcWeightsStatus *status = &candidate->status;

  return !candidate->blocked && status->engines > 0 && status->target > 0
         && status->on_target + status->swapping < status->engines;
}

size_t
lc_swap_turns_choose_model (const LcSwapCandidate *candidates, size_t n)
{
  size_t best = n;

  for (size_t i = 0; i < n; i++)
    if (wants_load (&candidates[i])
        && (best == n || readiness (&candidates[i].status) < readiness (&candidates[best].status)))
      best = i;
  return best;
}

size_t
lc_swap_turns_max_loads (size_t n_engines)
{
  if (!lb_switch_is_on (LB_SWITCH_LOADS_IN_TURN))
    return n_engines;
  return (n_engines * LC_SWAP_TURNS_MAX_LOADING_PERCENT + 99) / 100;
}

#ifndef LC_SWAP_TURNS_H
#define LC_SWAP_TURNS_H

#include "lc-weights.h"

/* Scheduling of weight loads among models. Only a few loads run at full speed at the same time, so
 * the scheduler chooses the model that may start the next one. */
typedef struct
{
  LcWeightsStatus status;
  bool blocked; /* no load could be ordered for the model when it was last chosen */
} LcSwapCandidate;

/* Returns the index of the model with the smallest share of engines whose weights are usable or
 * being loaded; n if no model needs a load. */
size_t lc_swap_turns_choose_model (const LcSwapCandidate *candidates, size_t n);

/* Maximum percentage of all engines that load weights at once; more loads slow each other down. The
 * number of engines is rounded up. The percentage does not depend on the size of the deployment. */
#define LC_SWAP_TURNS_MAX_LOADING_PERCENT 20

/* Returns how many engines of all models together may load weights at once. */
size_t lc_swap_turns_max_concurrent_loads (size_t n_engines);

#endif

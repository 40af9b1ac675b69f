#ifndef LC_SWAP_TURNS_H
#define LC_SWAP_TURNS_H

#include "lc-weights.h"

/* Scheduling of weight loads among models: only a few loads at once run at full speed, and this
 * chooses the model that may start the next one. */
typedef struct
{
  LcWeightsStatus status;
  bool blocked; /* gave no order the last time it was chosen */
} LcSwapCandidate;

/* Returns the index of the model with the fewest engines that have usable weights; n if no model
 * needs a load. */
size_t lc_swap_turns_choose_model (const LcSwapCandidate *candidates, size_t n);

/* Engines that can load at full speed at the same time, in percent of all engines; more slow each
 * other down. One fifth, rounded up, for all known sizes. */
#define LC_SWAP_TURNS_MAX_LOADING_PERCENT 20

/* Returns how many engines may load at once, over all models. */
size_t lc_swap_turns_max_loads (size_t n_engines);

#endif

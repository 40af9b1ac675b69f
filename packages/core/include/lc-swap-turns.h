#ifndef LC_SWAP_TURNS_H
#define LC_SWAP_TURNS_H

#include "lc-weights.h"

/* One model in the scheduling of weight loads. Only a few loads run at full speed at the same time,
 * so the scheduler chooses the model that may start the next load. */
typedef struct
{
  LcWeightsStatus status;
  bool blocked; /* when the model was last chosen, none of its engines could be ordered to load */
} LcSwapCandidate;

/* Returns the index of the model with the smallest share of engines that have usable weights or are
 * loading; n if no model needs a load. */
size_t lc_swap_turns_choose_model (const LcSwapCandidate *candidates, size_t n);

/* Maximum percentage of all engines that load weights at once; more loads slow each other down. The
 * number of engines is rounded up. The percentage does not depend on the size of the deployment. */
#define LC_SWAP_TURNS_MAX_LOADING_PERCENT 20

/* Returns how many engines of all models together may load weights at once. */
size_t lc_swap_turns_max_concurrent_loads (size_t n_engines);

#endif

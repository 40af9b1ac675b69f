#ifndef LC_SWAP_TURNS_H
#define LC_SWAP_TURNS_H

#include "lc-weights.h"

/* Models share the few loads of weights that go at full speed at once: this decides whose engine is
 * next. */
typedef struct
{
  LcWeightsStatus status;
  bool blocked; /* it could order nothing when it was its turn */
} LcSwapCandidate;

/* Index of the model whose engines lack fresh weights most; n when nobody wants a load. */
size_t lc_swap_turns_choose_model (const LcSwapCandidate *candidates, size_t n);

/* Share of the engines that load weights at full speed together; more at once slow one another
 * down. On all sizes known it is a fifth, rounded up. */
#define LC_SWAP_TURNS_MAX_LOADING_PERCENT 20

/* Engines that may load at once, of all models together. */
size_t lc_swap_turns_max_loads (size_t n_engines);

#endif

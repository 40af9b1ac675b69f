#ifndef LX_SWAPS_H
#define LX_SWAPS_H

#include "lc-types.h"

struct LxWorld;

/* Publishes new weight versions and makes the engines load them, a few engines at a time. */
typedef struct
{
  struct LxWorld *world;
  LcVersion newest_version;
  size_t max_concurrent_loads; /* limit of the weight store for concurrent loads */
} LxWeightSwaps;

void lx_weight_swaps_init (LxWeightSwaps *swaps, struct LxWorld *world);
void lx_weight_swaps_start (LxWeightSwaps *swaps);
/* Adds the next weight version to the weight store. */
void lx_weight_swaps_publish_version (LxWeightSwaps *swaps);

#endif

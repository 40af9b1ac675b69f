#ifndef LX_SWAPS_H
#define LX_SWAPS_H

#include "lc-types.h"

struct LxWorld;

/* Publishes new versions and makes the engines load them, a few at a time. */
typedef struct
{
  struct LxWorld *world;
  LcVersion newest_version;
  size_t max_concurrent_loads; /* that the weight store allows */
} LxSwaps;

void lx_swaps_init (LxSwaps *swaps, struct LxWorld *world);
void lx_swaps_start (LxSwaps *swaps);
/* Adds a new version to the weight store. */
void lx_swaps_publish (LxSwaps *swaps);

#endif

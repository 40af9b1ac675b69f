#ifndef LX_SWAPS_H
#define LX_SWAPS_H

#include "lc-types.h"

struct LxWorld;

/* Publishes new versions and orders the engines to load them, a few at a time. */
typedef struct
{
  struct LxWorld *world;
  LcVersion newest;
  size_t at_once;
} LxSwaps;

void lx_swaps_init (LxSwaps *swaps, struct LxWorld *world);
void lx_swaps_start (LxSwaps *swaps);
/* The weight store has a new version. */
void lx_swaps_publish (LxSwaps *swaps);

#endif

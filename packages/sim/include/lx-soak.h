#ifndef LX_SOAK_H
#define LX_SOAK_H

#include "lx-world.h"

#include <stdio.h>

/* A long randomised run, determined by site, seed and number of events. */
typedef struct
{
  const LxSite *site;
  uint64_t seed;
  uint64_t events;
  int only_fault; /* an LxFault; -1: chosen by the seed */
} LxSoak;

/* Runs it and writes a summary; returns true if no violation was found. With shrink, a failing run
 * is repeated with fewer injected faults as long as it still fails. */
bool lx_soak_run (const LxSoak *soak, bool shrink, FILE *out);

#endif

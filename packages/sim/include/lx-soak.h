#ifndef LX_SOAK_H
#define LX_SOAK_H

#include "lx-world.h"

#include <stdio.h>

/* A long randomised run: what happens follows from site, seed and number of events alone. */
typedef struct
{
  const LxSite *site;
  uint64_t seed;
  uint64_t events;
  int only_fault; /* one LxFault; -1: as the seed says */
} LxSoak;

/* Runs it and writes what happened; true when every promise held. With shrink, a failing run is
 * repeated with fewer and fewer strikes as long as it still fails. */
bool lx_soak_run (const LxSoak *soak, bool shrink, FILE *out);

#endif

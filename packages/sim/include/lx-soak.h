#ifndef LX_SOAK_H
#define LX_SOAK_H

#include "lx-world.h"

#include <stdio.h>

/* A long randomised simulation run, determined by site, seed, number of events and fault kind. */
typedef struct
{
  const LxSite *site;
  uint64_t seed;
  uint64_t events; /* number of events to simulate */
  int only_fault;  /* the only LxFault to inject; -1: the seed selects the faults */
} LxSoak;

/* Runs a soak test and writes a summary; returns true if no violation was found. With shrink,
 * repeats a failing run with fewer and fewer injected faults while the run still fails. */
bool lx_soak_run (const LxSoak *soak, bool shrink, FILE *out);

#endif

#ifndef LC_GENERATE_H
#define LC_GENERATE_H

#include "lc-job.h"

/* This header declares the scheduling of generations and scorings: chooses the next slot (place of
 * one sample in a step) to run and builds the slot's request. */

/* Starts all scorings that need not wait for a retry delay, and generations up to each pool's
 * concurrency limit. */
void lc_generate_start_scorings_and_generations (LcRollouts *rollouts, LbTime now, LbList *actions);
/* Starts a generation for the slot. For a hedge, original is the running job of the same slot;
 * otherwise NULL. */
LcJob *lc_generate_start_generation (LcRollouts *rollouts,
                                     LcStep *step,
                                     LcSlot *slot,
                                     const LcJob *original,
                                     LbTime now,
                                     LbList *actions);

#endif

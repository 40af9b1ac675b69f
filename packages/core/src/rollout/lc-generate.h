#ifndef LC_GENERATE_H
#define LC_GENERATE_H

#include "lc-job.h"

/* Scheduling of generations and scorings: which slot runs next, and with which request. */

/* Starts all scorings that are due, and generations up to each pool's limit. */
void lc_generate_start_requests (LcRollouts *rollouts, LbTime now, LbList *actions);
/* Starts a generation for the slot; original is the running job that it hedges, or NULL. */
LcJob *lc_generate_start_sample (LcRollouts *rollouts,
                                 LcStep *step,
                                 LcSlot *slot,
                                 const LcJob *original,
                                 LbTime now,
                                 LbList *actions);

#endif

#ifndef LC_GENERATE_H
#define LC_GENERATE_H

#include "lc-job.h"

/* Which slot runs next, and how its request looks. */

/* Starts as many generations and scorings as the pools have room for. */
void lc_generate_fill (LcRollouts *rollouts, LbTime now, LbList *actions);
/* Starts one; original: the running job that it hedges, or NULL. */
LcJob *lc_generate_start (LcRollouts *rollouts,
                          LcStep *step,
                          LcSlot *slot,
                          const LcJob *original,
                          LbTime now,
                          LbList *actions);

#endif

#ifndef LC_GENERATE_H
#define LC_GENERATE_H

#include "lc-rollouts-state.h"

/* The making of samples: which slot runs next, what becomes of what an engine or a scorer says. */

/* Starts as many generations and scorings as the pools have room for. */
void lc_generate_fill (LcRollouts *rollouts, LbTime now, LbList *actions);
/* Second generations for the step's tail. */
void lc_generate_hedge (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions);
/* Cancels all that runs for the slot. */
void lc_generate_abandon (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbList *actions);
/* Throws away what is too old for a trainer at this version, ready or running. */
void lc_generate_discard_stale (
    LcRollouts *rollouts, LcStep *step, LcVersion trainer, int64_t max_lag, LbList *actions);
/* Throws away the slot's sample as stale; it is generated again. */
void lc_generate_discard_sample (LcStep *step, LcSlot *slot, int64_t *counter, const char *reason);

void lc_generate_piece (LcRollouts *rollouts,
                        LcJob *job,
                        const LcPiece *piece,
                        const char *endpoint,
                        LbTime now,
                        LbList *actions);
/* The job is freed; text is taken over. */
void lc_generate_finished (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now, LbList *actions);
void
lc_generate_scored (LcRollouts *rollouts, LcJob *job, LbErrorCode error, double score, LbTime now);

#endif

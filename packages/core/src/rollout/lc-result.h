#ifndef LC_RESULT_H
#define LC_RESULT_H

#include "lc-job.h"

/* What becomes of what an engine or a scorer says. */

void lc_result_piece (LcRollouts *rollouts,
                      LcJob *job,
                      const LcPiece *piece,
                      const char *endpoint,
                      LbTime now,
                      LbList *actions);
/* The job is freed; text is taken over. */
void lc_result_finished (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now, LbList *actions);
void
lc_result_scored (LcRollouts *rollouts, LcJob *job, LbErrorCode error, double score, LbTime now);
/* A sample that an earlier owner of the step had; one without a whole label is left out. */
void lc_result_take_over (LcRollouts *rollouts, LcStep *step, const LcReadySample *sample);
/* Throws away what is too old for a trainer at this version, ready or running. */
void lc_result_discard_stale (
    LcRollouts *rollouts, LcStep *step, LcVersion trainer, int64_t max_lag, LbList *actions);

#endif

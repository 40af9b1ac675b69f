#ifndef LC_RESULT_H
#define LC_RESULT_H

#include "lc-job.h"

/* Handling of results from engines and scorers. */

void lc_result_add_piece (LcRollouts *rollouts,
                          LcJob *job,
                          const LcPiece *piece,
                          const char *endpoint,
                          LbTime now,
                          LbList *actions);
/* Frees the job and takes ownership of text. */
void lc_result_finish_generation (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now, LbList *actions);
void lc_result_finish_scoring (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, double score, LbTime now);
/* Restores a sample from an earlier owner of the step, unless its label is incomplete. */
void lc_result_restore_sample (LcRollouts *rollouts, LcStep *step, const LcReadySample *sample);
/* Discards ready and running samples that are staler than max_lag for a trainer at this version. */
void lc_result_discard_stale (LcRollouts *rollouts,
                              LcStep *step,
                              LcVersion trainer_version,
                              int64_t max_lag,
                              LbList *actions);

#endif

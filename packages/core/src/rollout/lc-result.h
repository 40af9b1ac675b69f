#ifndef LC_RESULT_H
#define LC_RESULT_H

#include "lc-job.h"

/* This header declares how the results of engines and scorers are recorded in the slots of a
 * step. */

void lc_result_add_generated_piece (LcRollouts *rollouts,
                                    LcJob *job,
                                    const LcPiece *piece,
                                    const char *endpoint,
                                    LbTime now,
                                    LbList *actions);
/* Processes the end of a generation: frees the job and takes ownership of text. */
void lc_result_finish_generation (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now, LbList *actions);
void lc_result_finish_scoring (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, double score, LbTime now);
/* Restores a sample of the step's previous owner, unless the sample's label is incomplete. */
void lc_result_restore_sample (LcRollouts *rollouts, LcStep *step, const LcReadySample *sample);
/* Discards unsent samples, running ones included, that are more than max_lag versions behind
 * trainer_version. */
void lc_result_discard_stale_samples (LcRollouts *rollouts,
                                      LcStep *step,
                                      LcVersion trainer_version,
                                      int64_t max_lag,
                                      LbList *actions);

#endif

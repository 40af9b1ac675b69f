#ifndef LC_JOB_H
#define LC_JOB_H

#include "lc-rollouts-state.h"

/* This header declares jobs. A job is a running request (a generation or a scoring) of a slot, the
 * place of one sample in a step. */

LcJob *lc_job_new (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now);
void lc_job_free (LcRollouts *rollouts, LcJob *job);
/* Cancels the job's request and frees the job. */
void lc_job_cancel (LcRollouts *rollouts, LcJob *job, LbList *actions);
/* Cancels all running requests of the slot. */
void lc_slot_cancel_jobs (LcRollouts *rollouts, LcSlot *slot, LbList *actions);

LcSlot *lc_job_find_slot (const LcJob *job);
/* Returns the number of tokens that the job's request generated, not counting the earlier tokens
 * after which it resumed. */
int64_t lc_job_count_generated_tokens (const LcJob *job);
LcRolloutPool *lc_step_find_pool (LcRollouts *rollouts, const LcStep *step);
const LcLengthHistogram *lc_step_find_trainer_length_histogram (const LcRollouts *rollouts,
                                                                const LcStep *step);

#endif

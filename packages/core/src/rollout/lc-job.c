#include "lc-job.h"

#include "lb-alloc.h"
#include "lc-label.h"

#include <stdlib.h>

LcJob *
lc_job_new (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now)
{
  LcJob *job = LB_NEW (LcJob);

  job->request = lc_rollouts_new_request_id (rollouts);
  job->step = step;
  job->slot_index = (size_t)(slot - step->slots);
  job->started_at = now;
  lc_label_init (&job->label);
  lb_list_append (&slot->jobs, &job->link);
  HASH_ADD (hh, rollouts->jobs, request, sizeof job->request, job);
  return job;
}

LcSlot *
lc_job_find_slot (const LcJob *job)
{
  return &job->step->slots[job->slot_index];
}

LcRolloutPool *
lc_step_find_pool (LcRollouts *rollouts, const LcStep *step)
{
  return lc_rollouts_ensure_pool (
      rollouts, lc_rollouts_find_trainer (rollouts, step->spec.subscription)->subscription.pool);
}

void
lc_job_free (LcRollouts *rollouts, LcJob *job)
{
  if (!job->is_scoring)
    {
      lc_step_find_pool (rollouts, job->step)->n_running--;
      lc_rollouts_find_trainer (rollouts, job->step->spec.subscription)->n_running--;
    }
  job->step->reserved_tokens -= job->reserved_tokens;
  HASH_DELETE (hh, rollouts->jobs, job);
  lb_list_remove (&lc_job_find_slot (job)->jobs, &job->link);
  lc_deferred_free_add (&rollouts->deferred_free, job->resume_text);
  free (job);
}

int64_t
lc_job_count_generated_tokens (const LcJob *job)
{
  return job->label.tokens - job->resume_offset;
}

void
lc_job_cancel (LcRollouts *rollouts, LcJob *job, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_CANCEL);

  action->spec.id = job->request;
  job->step->status.wasted_tokens += lc_job_count_generated_tokens (job);
  lc_job_free (rollouts, job);
}

void
lc_slot_cancel_jobs (LcRollouts *rollouts, LcSlot *slot, LbList *actions)
{
  LB_LIST_FOREACH (&slot->jobs, LcJob, link, job)
  {
    lc_job_cancel (rollouts, job, actions);
  }
}

const LcLengthHistogram *
lc_step_find_trainer_length_histogram (const LcRollouts *rollouts, const LcStep *step)
{
  return &lc_rollouts_find_trainer (rollouts, step->spec.subscription)->lengths;
}

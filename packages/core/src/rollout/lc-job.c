#include "lc-job.h"

#include "lb-alloc.h"
#include "lc-label.h"

#include <stdlib.h>

LcJob *
lc_job_new (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now)
{
  LcJob *job = LB_NEW (LcJob);

  job->request = lc_rollouts_next_id (rollouts);
  job->step = step;
  job->slot = (size_t)(slot - step->slots);
  job->started = now;
  lc_label_init (&job->label);
  lb_list_append (&slot->jobs, &job->link);
  HASH_ADD (hh, rollouts->jobs, request, sizeof job->request, job);
  return job;
}

LcSlot *
lc_job_slot (const LcJob *job)
{
  return &job->step->slots[job->slot];
}

LcRolloutPool *
lc_step_pool (LcRollouts *rollouts, const LcStep *step)
{
  return lc_rollouts_pool (rollouts,
                           lc_rollouts_trainer (rollouts, step->spec.subscription)->resource.pool);
}

void
lc_job_free (LcRollouts *rollouts, LcJob *job)
{
  if (!job->scores)
    {
      lc_step_pool (rollouts, job->step)->running--;
      lc_rollouts_trainer (rollouts, job->step->spec.subscription)->running--;
    }
  job->step->reserved -= job->reserved;
  HASH_DELETE (hh, rollouts->jobs, job);
  lb_list_remove (&lc_job_slot (job)->jobs, &job->link);
  lc_trash_add (&rollouts->trash, job->prefix);
  free (job);
}

/* Tokens that this job itself made. */
int64_t
lc_job_made_tokens (const LcJob *job)
{
  return job->label.tokens - job->base;
}

void
lc_job_abandon (LcRollouts *rollouts, LcJob *job, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_CANCEL);

  action->spec.id = job->request;
  job->step->status.wasted_tokens += lc_job_made_tokens (job);
  lc_job_free (rollouts, job);
}

void
lc_slot_abandon (LcRollouts *rollouts, LcSlot *slot, LbList *actions)
{
  LB_LIST_FOREACH (&slot->jobs, LcJob, link, job)
  {
    lc_job_abandon (rollouts, job, actions);
  }
}

const LcLengthHistogram *
lc_step_lengths (const LcRollouts *rollouts, const LcStep *step)
{
  return &lc_rollouts_trainer (rollouts, step->spec.subscription)->lengths;
}

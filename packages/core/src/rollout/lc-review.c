#include "lc-review.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-generate.h"

#define REVIEW_INTERVAL (100 * LB_MSEC)
/* A sample that was moved so often stays where it is. */
#define MAX_MOVES 4

static LbMetric hedges_metric
    = LB_COUNTER_INIT ("lentilspindle_rollout_hedges_total",
                       NULL,
                       "Second generations of a sample that were started");

static LcSampleProgress
progress_of (const LcJob *job)
{
  return (LcSampleProgress){ .tokens = job->label.tokens,
                             .max_tokens
                             = lc_step_group_spec (job->step, lc_job_slot (job))->max_tokens,
                             .started_at = job->started,
                             .first_piece_at = job->first_piece };
}

typedef double (*Gain) (const LcLengthHistogram *lengths,
                        const LcPace *pace,
                        const LcSampleProgress *progress,
                        double idle_weight,
                        LbTime now);

static bool
may_be_moved (const LcSlot *slot)
{
  const LcJob *job = LB_LIST_FIRST (&slot->jobs, LcJob, link);

  return slot->state == LC_SLOT_RUNNING && slot->jobs.length == 1 && !job->recalled;
}

/* The running sample for which the gain is largest; NULL: there is none for any. */
static LcJob *
pick_straggler (LcRollouts *rollouts, LcStep *step, Gain gain_of, LbTime now)
{
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
  const LcRolloutPool *pool = lc_step_pool (rollouts, step);
  LcJob *best = NULL;
  double best_gain = 0;

  for (size_t i = 0; i < step->n_slots; i++)
    {
      LcSlot *slot = &step->slots[i];
      if (!may_be_moved (slot)
          || (gain_of == lc_straggler_move_gain_seconds && slot->moves >= MAX_MOVES))
        continue;
      LcJob *job = LB_LIST_FIRST (&slot->jobs, LcJob, link);
      LcSampleProgress progress = progress_of (job);
      double gain
          = gain_of (&trainer->lengths, &pool->pace, &progress, trainer->resource.idle_weight, now);
      if (gain > best_gain)
        {
          best = job;
          best_gain = gain;
        }
    }
  return best;
}

static bool
fits_budget (const LcRollouts *rollouts, const LcStep *step, int64_t cost)
{
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
  double budget = trainer->resource.hedge_budget * (double)step->status.tokens;

  return (double)(step->status.wasted_tokens + step->reserved + cost) <= budget;
}

static void
log_review (const LcJob *job, const char *event)
{
  lb_log (LB_LOG_INFO, event, LB_TEXT ("subscription", job->step->spec.subscription),
          LB_INT ("step", job->step->spec.step),
          LB_TEXT ("group", lc_step_group_spec (job->step, lc_job_slot (job))->id),
          LB_INT ("index", lc_job_slot (job)->index), LB_TEXT ("endpoint", job->endpoint),
          LB_INT ("tokens", job->label.tokens));
}

static void
recall (LcJob *job, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_PREEMPT);

  action->spec.id = job->request;
  job->recalled = true;
  lc_job_slot (job)->moves++;
}

static void
migrate (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  LcJob *job;

  while (rollouts->settings.migrate
         && (job = pick_straggler (rollouts, step, lc_straggler_move_gain_seconds, now)))
    {
      LB_COPY (lc_job_slot (job)->avoid, job->endpoint);
      recall (job, actions);
      log_review (job, "sample-migrated");
    }
}

static void
hedge (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  LcRolloutPool *pool = lc_step_pool (rollouts, step);
  LcJob *job;

  while (rollouts->settings.hedging && pool->running < pool->window
         && (job = pick_straggler (rollouts, step, lc_straggler_hedge_gain_seconds, now)))
    {
      LcSampleProgress progress = progress_of (job);
      int64_t cost = lc_straggler_hedge_cost_tokens (lc_step_lengths (rollouts, step), &pool->pace,
                                                     &progress, now);
      if (!fits_budget (rollouts, step, cost))
        return;
      log_review (job, "sample-hedged");
      LcJob *second = lc_generate_start (rollouts, step, lc_job_slot (job), job, now, actions);
      second->reserved = cost;
      step->reserved += cost;
      step->status.hedges++;
      lb_metric_add (&hedges_metric, 1);
    }
}

/* Only the tail is hedged: while slots wait, a place is worth more to them. */
void
lc_review_step (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  if (rollouts->draining || now < step->next_review || step->n_in_state[LC_SLOT_RUNNING] == 0)
    return;
  step->next_review = now + REVIEW_INTERVAL;
  migrate (rollouts, step, now, actions);
  if (step->n_in_state[LC_SLOT_WAITING] == 0)
    hedge (rollouts, step, now, actions);
}

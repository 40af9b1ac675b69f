#include "lc-review.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-generate.h"

#define STRAGGLER_REVIEW_INTERVAL (100 * LB_MSEC)
#define MAX_MIGRATIONS_PER_SAMPLE 4

static LbMetric hedges_metric = LB_COUNTER_INIT ("lentilspindle_rollout_hedges_total",
                                                 NULL,
                                                 "Second generations started for running samples");

static LcSampleProgress
get_job_progress (const LcJob *job)
{
  return (LcSampleProgress){ .tokens = job->label.tokens,
                             .max_tokens
                             = lc_step_group_spec (job->step, lc_job_find_slot (job))->max_tokens,
                             .started_at = job->started_at,
                             .first_piece_at = job->first_piece_at };
}

typedef double (*GainFunction) (const LcLengthHistogram *lengths,
                                const LcPace *pace,
                                const LcSampleProgress *progress,
                                double idle_weight,
                                LbTime now);

static bool
has_single_running_job (const LcSlot *slot)
{
  const LcJob *job = LB_LIST_FIRST (&slot->jobs, LcJob, link);

  return slot->state == LC_SLOT_RUNNING && slot->jobs.length == 1 && !job->is_preempted;
}

/* Returns the running sample for which gain_function estimates the largest gain, in seconds; NULL
 * if no gain is above 0. */
static LcJob *
pick_straggler (LcRollouts *rollouts, LcStep *step, GainFunction gain_function, LbTime now)
{
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);
  const LcRolloutPool *pool = lc_step_find_pool (rollouts, step);
  LcJob *best = NULL;
  double best_gain = 0;

  for (size_t i = 0; i < step->n_slots; i++)
    {
      LcSlot *slot = &step->slots[i];
      if (!has_single_running_job (slot)
          || (gain_function == lc_straggler_move_gain_seconds
              && slot->n_migrations >= MAX_MIGRATIONS_PER_SAMPLE))
        continue;
      LcJob *job = LB_LIST_FIRST (&slot->jobs, LcJob, link);
      LcSampleProgress progress = get_job_progress (job);
      double gain = gain_function (&trainer->lengths, &pool->pace, &progress,
                                   trainer->subscription.idle_weight, now);
      if (gain > best_gain)
        {
          best = job;
          best_gain = gain;
        }
    }
  return best;
}

static bool
is_within_hedge_budget (const LcRollouts *rollouts, const LcStep *step, int64_t cost_tokens)
{
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);
  double budget_tokens = trainer->subscription.hedge_budget * (double)step->status.tokens;

  return (double)(step->status.wasted_tokens + step->reserved_tokens + cost_tokens)
         <= budget_tokens;
}

static void
log_straggler (const LcJob *job, const char *event)
{
  lb_log (LB_LOG_INFO, event, LB_TEXT ("subscription", job->step->spec.subscription),
          LB_INT ("step", job->step->spec.step),
          LB_TEXT ("group", lc_step_group_spec (job->step, lc_job_find_slot (job))->id),
          LB_INT ("index", lc_job_find_slot (job)->index), LB_TEXT ("endpoint", job->endpoint),
          LB_INT ("tokens", job->label.tokens));
}

static void
preempt_job (LcJob *job, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_PREEMPT);

  action->spec.id = job->request;
  job->is_preempted = true;
  lc_job_find_slot (job)->n_migrations++;
}

static void
migrate_stragglers (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  LcJob *job;

  while (rollouts->settings.migrate
         && (job = pick_straggler (rollouts, step, lc_straggler_move_gain_seconds, now)))
    {
      LB_COPY (lc_job_find_slot (job)->avoid_endpoint, job->endpoint);
      preempt_job (job, actions);
      log_straggler (job, "sample-migrated");
    }
}

static void
hedge_stragglers (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  LcRolloutPool *pool = lc_step_find_pool (rollouts, step);
  LcJob *job;

  while (rollouts->settings.hedging && pool->n_running < pool->max_running
         && (job = pick_straggler (rollouts, step, lc_straggler_hedge_gain_seconds, now)))
    {
      LcSampleProgress progress = get_job_progress (job);
      int64_t cost_tokens
          = lc_straggler_hedge_cost_tokens (lc_step_find_trainer_length_histogram (rollouts, step),
                                            &pool->pace, &progress, now);
      if (!is_within_hedge_budget (rollouts, step, cost_tokens))
        return;
      log_straggler (job, "sample-hedged");
      LcJob *hedge_job = lc_generate_start_generation (rollouts, step, lc_job_find_slot (job), job,
                                                       now, actions);
      hedge_job->reserved_tokens = cost_tokens;
      step->reserved_tokens += cost_tokens;
      step->status.hedges++;
      lb_metric_add (&hedges_metric, 1);
    }
}

/* Hedges only once no slot waits for a generation, since a waiting slot makes better use of the
 * pool's free capacity than a hedge. */
void
lc_review_migrate_or_hedge_stragglers (LcRollouts *rollouts,
                                       LcStep *step,
                                       LbTime now,
                                       LbList *actions)
{
  if (rollouts->draining || now < step->next_review_at || step->n_in_state[LC_SLOT_RUNNING] == 0)
    return;
  step->next_review_at = now + STRAGGLER_REVIEW_INTERVAL;
  migrate_stragglers (rollouts, step, now, actions);
  if (step->n_in_state[LC_SLOT_WAITING] == 0)
    hedge_stragglers (rollouts, step, now, actions);
}

#include "lc-result.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-label.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_DELAY_MIN (100 * LB_MSEC)
#define RETRY_DELAY_MAX (5 * LB_SEC)
/* After this many consecutive failures of a slot, the partial sample itself may be the cause, so
 * the next attempt generates the sample from the start. */
#define MAX_RESUME_FAILURES 3

static LbMetric stale_metric = LB_COUNTER_INIT ("lentilspindle_rollout_discarded_total",
                                                "reason=\"stale\"",
                                                "Samples discarded to be generated again");
static LbMetric unlabelled_metric = LB_COUNTER_INIT ("lentilspindle_rollout_discarded_total",
                                                     "reason=\"unlabelled\"",
                                                     "Samples discarded to be generated again");

/* Delays the slot's next request by exponential backoff with full jitter, so that slots that failed
 * together don't retry together. */
static void
delay_slot_retry (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now)
{
  LbTime max_delay = RETRY_DELAY_MIN
                     << (slot->consecutive_failures < 6 ? slot->consecutive_failures : 6);

  if (max_delay > RETRY_DELAY_MAX)
    max_delay = RETRY_DELAY_MAX;
  slot->consecutive_failures++;
  slot->not_before = now + (LbTime)(gsl_rng_uniform (rollouts->rng) * (double)max_delay);
  if (slot->not_before < step->retry_at)
    step->retry_at = slot->not_before;
}

static void
discard_sample (LcStep *step, LcSlot *slot, int64_t *counter, const char *reason)
{
  (*counter)++;
  step->status.wasted_tokens += slot->label ? slot->label->tokens : 0;
  lb_log (LB_LOG_INFO, "sample-discarded", LB_TEXT ("reason", reason),
          LB_TEXT ("subscription", step->spec.subscription), LB_INT ("step", step->spec.step),
          LB_TEXT ("group", lc_step_group_spec (step, slot)->id), LB_INT ("index", slot->index));
  lc_step_reset_slot (step, slot);
}

/* Processing the pieces and the end of a generation. */

/* Frees a job that gave no usable sample and discards the tokens that the job generated. The slot
 * returns to state WAITING unless the other job of a hedged pair still runs. */
static void
end_unsuccessful_job (LcRollouts *rollouts, LcJob *job, LbTime now, bool should_back_off)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_find_slot (job);

  step->status.wasted_tokens += lc_job_count_generated_tokens (job);
  lc_job_free (rollouts, job);
  if (!lb_list_is_empty (&slot->jobs))
    return;
  lc_step_reset_slot (step, slot);
  if (should_back_off)
    delay_slot_retry (rollouts, step, slot, now);
}

static void
end_unlabelled_job (LcRollouts *rollouts, LcJob *job, LbTime now)
{
  LcStep *step = job->step;

  step->status.discarded_unlabelled++;
  lb_metric_add (&unlabelled_metric, 1);
  lb_log (LB_LOG_WARNING, "sample-unlabelled", LB_TEXT ("subscription", step->spec.subscription),
          LB_INT ("step", step->spec.step), LB_INT ("slot", (int64_t)job->slot_index),
          LB_TEXT ("endpoint", job->endpoint));
  end_unsuccessful_job (rollouts, job, now, true);
}

/* Removes from the job's label the spans after the resume offset, when another endpoint generates
 * again from this offset. Not for the same endpoint: if its stream returns to the resume offset,
 * tokens may be repeated, and the label must record the overlap. */
static void
truncate_job_label_to_resume_offset (LcJob *job)
{
  LcLabel *label = &job->label;

  job->step->status.wasted_tokens += lc_job_count_generated_tokens (job);
  label->unlabelled = false;
  while (label->n_spans > 0 && label->spans[label->n_spans - 1].first >= job->resume_offset)
    label->n_spans--;
  label->tokens = job->resume_offset;
  if (label->n_spans > 0)
    {
      LcSpan *last = &label->spans[label->n_spans - 1];
      last->count = job->resume_offset - last->first;
    }
}

void
lc_result_add_generated_piece (LcRollouts *rollouts,
                               LcJob *job,
                               const LcPiece *piece,
                               const char *endpoint,
                               LbTime now,
                               LbList *actions)
{
  bool has_new_endpoint = strcmp (job->endpoint, endpoint) != 0;

  LB_COPY (job->endpoint, endpoint);
  if (job->first_piece_at == 0)
    job->first_piece_at = now;
  if (has_new_endpoint && piece->tokens > 0 && piece->offset == job->resume_offset
      && lc_job_count_generated_tokens (job) > 0)
    truncate_job_label_to_resume_offset (job);
  lc_label_add_tokens_kv_reused (&job->label, piece->offset, piece->tokens, piece->version,
                                 piece->kv_reused_version);
  job->step->status.tokens += piece->tokens > 0 ? piece->tokens : 0;
  if (!job->label.unlabelled)
    return;

  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_CANCEL);
  action->spec.id = job->request;
  end_unlabelled_job (rollouts, job, now);
}

static char *
join_resumed_text_parts (char *resume_text, char *text)
{
  if (!resume_text)
    return text;

  char *whole_text = lb_asprintf ("%s%s", resume_text, text);
  free (text);
  return whole_text;
}

/* Stores the job's partial sample in the slot, so that the next generation resumes after it. */
static void
store_partial_sample (LcRollouts *rollouts, LcJob *job, char *text, LbTime now)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_find_slot (job);
  bool was_preempted = job->is_preempted;

  slot->text = join_resumed_text_parts (job->resume_text, text);
  slot->label = lb_memdup (&job->label, sizeof job->label);
  lc_step_set_slot_state (step, slot, LC_SLOT_WAITING);
  lc_job_free (rollouts, job);
  if (!was_preempted)
    delay_slot_retry (rollouts, step, slot, now);
}

/* Processes the end of a preempted request. The slot resumes as soon as the pool has free capacity,
 * without a retry delay. */
static void
finish_preempted_job (LcRollouts *rollouts, LcJob *job, char *text, LbTime now)
{
  LcSlot *slot = lc_job_find_slot (job);
  bool is_only_job = slot->jobs.length == 1;

  if (is_only_job && job->label.tokens > 0 && text
      && (text[0] || lc_job_count_generated_tokens (job) == 0))
    {
      store_partial_sample (rollouts, job, text, now);
      return;
    }
  free (text);
  end_unsuccessful_job (rollouts, job, now, false);
}

static void
finish_failed_job (LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now)
{
  LcSlot *slot = lc_job_find_slot (job);
  bool can_resume = rollouts->settings.resume && slot->jobs.length == 1
                    && slot->consecutive_failures < MAX_RESUME_FAILURES;

  lb_metric_count_error (error);
  lb_log (LB_LOG_INFO, "sample-failed", LB_TEXT ("error", lb_error_name (error)),
          LB_TEXT ("subscription", job->step->spec.subscription),
          LB_INT ("step", job->step->spec.step), LB_INT ("slot", (int64_t)job->slot_index),
          LB_TEXT ("endpoint", job->endpoint), LB_INT ("tokens", job->label.tokens));
  if (can_resume && lc_job_count_generated_tokens (job) > 0 && text && text[0])
    {
      store_partial_sample (rollouts, job, text, now);
      return;
    }
  if (can_resume && lc_job_count_generated_tokens (job) == 0 && job->resume_offset > 0)
    {
      free (text);
      store_partial_sample (rollouts, job, lb_strdup (""), now);
      return;
    }
  free (text);
  end_unsuccessful_job (rollouts, job, now, true);
}

static void
record_sample_length_and_pace (LcRollouts *rollouts, const LcJob *job, LbTime now)
{
  LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, job->step->spec.subscription);
  LcRolloutPool *pool = lc_step_find_pool (rollouts, job->step);
  LbTime first_piece_at = job->first_piece_at ? job->first_piece_at : now;

  lc_length_histogram_add_sample_length (&trainer->lengths, job->label.tokens);
  lc_pace_add_sample (&pool->pace, lc_job_count_generated_tokens (job),
                      first_piece_at - job->started_at, now - first_piece_at);
}

/* Stores a complete sample in its slot. The first complete sample of a hedged pair wins: the other
 * request is cancelled, and an answer to it that is already in flight is ignored. */
static void
store_complete_sample (LcRollouts *rollouts, LcJob *job, char *text, LbTime now, LbList *actions)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_find_slot (job);
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);

  record_sample_length_and_pace (rollouts, job, now);
  slot->text = join_resumed_text_parts (job->resume_text, text);
  slot->label = lb_memdup (&job->label, sizeof job->label);
  slot->consecutive_failures = 0;
  slot->not_before = 0;
  lc_job_free (rollouts, job);
  lc_slot_cancel_jobs (rollouts, slot, actions);
  lc_step_set_slot_state (step, slot,
                          trainer->subscription.scorer[0] ? LC_SLOT_SCORING : LC_SLOT_READY);
  if (lc_staleness_is_label_too_old (slot->label, step->trainer_version, trainer->max_lag))
    {
      lb_metric_add (&stale_metric, 1);
      discard_sample (step, slot, &step->status.discarded_stale, "stale");
    }
}

void
lc_result_finish_generation (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now, LbList *actions)
{
  if (error != LB_OK && job->is_preempted)
    {
      finish_preempted_job (rollouts, job, text, now);
      return;
    }
  if (error != LB_OK)
    {
      finish_failed_job (rollouts, job, error, text, now);
      return;
    }
  if (!text || !lc_label_is_complete (&job->label, job->label.tokens))
    {
      free (text);
      end_unlabelled_job (rollouts, job, now);
      return;
    }
  store_complete_sample (rollouts, job, text, now, actions);
}

void
lc_result_finish_scoring (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, double score, LbTime now)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_find_slot (job);

  lc_job_free (rollouts, job);
  if (error != LB_OK)
    {
      lb_metric_count_error (error);
      delay_slot_retry (rollouts, step, slot, now);
      return;
    }
  slot->consecutive_failures = 0;
  slot->has_score = true;
  slot->score = score;
  lc_step_set_slot_state (step, slot, LC_SLOT_READY);
}

void
lc_result_restore_sample (LcRollouts *rollouts, LcStep *step, const LcReadySample *sample)
{
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);
  LcSlot *slot = lc_step_find_slot (step, sample->group, sample->index);

  if (!slot || slot->state != LC_SLOT_WAITING
      || !lc_label_is_complete (sample->label, sample->label->tokens))
    return;
  slot->text = lb_strdup (sample->text);
  slot->label = lb_memdup (sample->label, sizeof *sample->label);
  slot->has_score = sample->has_score;
  slot->score = sample->score;
  lc_step_set_slot_state (step, slot,
                          trainer->subscription.scorer[0] && !sample->has_score ? LC_SLOT_SCORING
                                                                                : LC_SLOT_READY);
}

/* Discarding stale samples. */

static void
cancel_stale_jobs (LcRollouts *rollouts,
                   LcStep *step,
                   LcSlot *slot,
                   LcVersion trainer_version,
                   int64_t max_lag,
                   LbList *actions)
{
  LB_LIST_FOREACH (&slot->jobs, LcJob, link, job)
  {
    if (job->label.n_spans > 0
        && lc_staleness_is_label_too_old (&job->label, trainer_version, max_lag))
      lc_job_cancel (rollouts, job, actions);
  }
  if (!lb_list_is_empty (&slot->jobs))
    return;
  lb_metric_add (&stale_metric, 1);
  discard_sample (step, slot, &step->status.discarded_stale, "stale while running");
}

void
lc_result_discard_stale_samples (
    LcRollouts *rollouts, LcStep *step, LcVersion trainer_version, int64_t max_lag, LbList *actions)
{
  for (size_t i = 0; i < step->n_slots; i++)
    {
      LcSlot *slot = &step->slots[i];
      if (slot->state == LC_SLOT_RUNNING)
        {
          cancel_stale_jobs (rollouts, step, slot, trainer_version, max_lag, actions);
          continue;
        }
      if (slot->state > LC_SLOT_READY || !slot->label
          || !lc_staleness_is_label_too_old (slot->label, trainer_version, max_lag))
        continue;
      lc_slot_cancel_jobs (rollouts, slot, actions);
      lb_metric_add (&stale_metric, 1);
      discard_sample (step, slot, &step->status.discarded_stale, "stale");
    }
}

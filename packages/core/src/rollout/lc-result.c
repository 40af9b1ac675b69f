#include "lc-result.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-label.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_FIRST (100 * LB_MSEC)
#define RETRY_LONGEST (5 * LB_SEC)
/* So many failures in a row may come from the part itself: the next start is from the beginning. */
#define RESUME_TRIES 3

static LbMetric stale_metric = LB_COUNTER_INIT ("lentilspindle_rollout_discarded_total",
                                                "reason=\"stale\"",
                                                "Samples thrown away and generated again");
static LbMetric unlabelled_metric = LB_COUNTER_INIT ("lentilspindle_rollout_discarded_total",
                                                     "reason=\"unlabelled\"",
                                                     "Samples thrown away and generated again");

/* Exponential with full jitter, so that what failed together does not come back together. */
static void
back_off (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now)
{
  LbTime longest = RETRY_FIRST << (slot->failures < 6 ? slot->failures : 6);

  if (longest > RETRY_LONGEST)
    longest = RETRY_LONGEST;
  slot->failures++;
  slot->not_before = now + (LbTime)(gsl_rng_uniform (rollouts->rng) * (double)longest);
  if (slot->not_before < step->retry_at)
    step->retry_at = slot->not_before;
}

static void
discard (LcStep *step, LcSlot *slot, int64_t *counter, const char *reason)
{
  (*counter)++;
  step->status.wasted_tokens += slot->label ? slot->label->tokens : 0;
  lb_log (LB_LOG_INFO, "sample-discarded", LB_TEXT ("reason", reason),
          LB_TEXT ("subscription", step->spec.subscription), LB_INT ("step", step->spec.step),
          LB_TEXT ("group", lc_step_group_spec (step, slot)->id), LB_INT ("index", slot->index));
  lc_step_reset_slot (step, slot);
}

/* What came of it. */

/* Without its twin the slot waits for a new start. */
static void
drop_job (LcRollouts *rollouts, LcJob *job, LbTime now, bool failed)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_slot (job);

  step->status.wasted_tokens += lc_job_made_tokens (job);
  lc_job_free (rollouts, job);
  if (!lb_list_is_empty (&slot->jobs))
    return;
  lc_step_reset_slot (step, slot);
  if (failed)
    back_off (rollouts, step, slot, now);
}

static void
drop_unlabelled (LcRollouts *rollouts, LcJob *job, LbTime now)
{
  LcStep *step = job->step;

  step->status.discarded_unlabelled++;
  lb_metric_add (&unlabelled_metric, 1);
  lb_log (LB_LOG_WARNING, "sample-unlabelled", LB_TEXT ("subscription", step->spec.subscription),
          LB_INT ("step", step->spec.step), LB_INT ("slot", (int64_t)job->slot),
          LB_TEXT ("endpoint", job->endpoint));
  drop_job (rollouts, job, now, true);
}

/* An attempt that was broken off and begun again elsewhere starts at the base once more: what was
 * said of the tokens of the first attempt does not count for those of the second. The same endpoint
 * at the base again may as well be one stream that repeats itself, and is left to the label, which
 * takes it as an overlap. */
static void
restart_label (LcJob *job)
{
  LcLabel *label = &job->label;

  job->step->status.wasted_tokens += lc_job_made_tokens (job);
  label->unlabelled = false;
  while (label->n_spans > 0 && label->spans[label->n_spans - 1].first >= job->base)
    label->n_spans--;
  label->tokens = job->base;
  if (label->n_spans > 0)
    {
      LcSpan *last = &label->spans[label->n_spans - 1];
      last->count = job->base - last->first;
    }
}

void
lc_result_piece (LcRollouts *rollouts,
                 LcJob *job,
                 const LcPiece *piece,
                 const char *endpoint,
                 LbTime now,
                 LbList *actions)
{
  bool elsewhere = strcmp (job->endpoint, endpoint) != 0;

  LB_COPY (job->endpoint, endpoint);
  if (job->first_piece == 0)
    job->first_piece = now;
  if (elsewhere && piece->tokens > 0 && piece->offset == job->base && lc_job_made_tokens (job) > 0)
    restart_label (job);
  lc_label_add_tokens_kv_reused (&job->label, piece->offset, piece->tokens, piece->version,
                                 piece->kv_reused_version);
  job->step->status.tokens += piece->tokens > 0 ? piece->tokens : 0;
  if (!job->label.unlabelled)
    return;

  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_CANCEL);
  action->spec.id = job->request;
  drop_unlabelled (rollouts, job, now);
}

static char *
join (char *prefix, char *text)
{
  if (!prefix)
    return text;

  char *joined = lb_asprintf ("%s%s", prefix, text);
  free (text);
  return joined;
}

/* Keeps what was generated, so that the next start goes on behind it. */
static void
keep_partial (LcRollouts *rollouts, LcJob *job, char *text, LbTime now)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_slot (job);
  bool recalled = job->recalled;

  slot->text = join (job->prefix, text);
  slot->label = lb_memdup (&job->label, sizeof job->label);
  lc_step_set_state (step, slot, LC_SLOT_WAITING);
  lc_job_free (rollouts, job);
  if (!recalled)
    back_off (rollouts, step, slot, now);
}

/* What a recalled request had made; its slot goes on from there as soon as there is a place. */
static void
take_recalled (LcRollouts *rollouts, LcJob *job, char *text, LbTime now)
{
  LcSlot *slot = lc_job_slot (job);
  bool alone = slot->jobs.length == 1;

  if (alone && job->label.tokens > 0 && text && (text[0] || lc_job_made_tokens (job) == 0))
    {
      keep_partial (rollouts, job, text, now);
      return;
    }
  free (text);
  drop_job (rollouts, job, now, false);
}

static void
failed (LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now)
{
  LcSlot *slot = lc_job_slot (job);
  bool may_keep
      = rollouts->settings.resume && slot->jobs.length == 1 && slot->failures < RESUME_TRIES;

  lb_metric_count_error (error);
  lb_log (LB_LOG_INFO, "sample-failed", LB_TEXT ("error", lb_error_name (error)),
          LB_TEXT ("subscription", job->step->spec.subscription),
          LB_INT ("step", job->step->spec.step), LB_INT ("slot", (int64_t)job->slot),
          LB_TEXT ("endpoint", job->endpoint), LB_INT ("tokens", job->label.tokens));
  if (may_keep && lc_job_made_tokens (job) > 0 && text && text[0])
    {
      keep_partial (rollouts, job, text, now);
      return;
    }
  if (may_keep && lc_job_made_tokens (job) == 0 && job->base > 0)
    {
      free (text);
      keep_partial (rollouts, job, lb_strdup (""), now);
      return;
    }
  free (text);
  drop_job (rollouts, job, now, true);
}

static void
learn (LcRollouts *rollouts, const LcJob *job, LbTime now)
{
  LcTrainer *trainer = lc_rollouts_trainer (rollouts, job->step->spec.subscription);
  LcRolloutPool *pool = lc_step_pool (rollouts, job->step);
  LbTime first = job->first_piece ? job->first_piece : now;

  lc_length_histogram_add (&trainer->lengths, job->label.tokens);
  lc_pace_add (&pool->pace, lc_job_made_tokens (job), first - job->started, now - first);
}

/* The first whole sample fills the slot; its twin is cancelled here, and an answer of the twin that
 * was already under way finds no job and is dropped. */
static void
fill_slot (LcRollouts *rollouts, LcJob *job, char *text, LbTime now, LbList *actions)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_slot (job);
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);

  learn (rollouts, job, now);
  slot->text = join (job->prefix, text);
  slot->label = lb_memdup (&job->label, sizeof job->label);
  slot->failures = 0;
  slot->not_before = 0;
  lc_job_free (rollouts, job);
  lc_slot_abandon (rollouts, slot, actions);
  lc_step_set_state (step, slot, trainer->resource.scorer[0] ? LC_SLOT_SCORING : LC_SLOT_READY);
  if (lc_staleness_is_too_old (slot->label, step->trainer_version, trainer->max_lag))
    {
      lb_metric_add (&stale_metric, 1);
      discard (step, slot, &step->status.discarded_stale, "stale");
    }
}

void
lc_result_finished (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now, LbList *actions)
{
  if (error != LB_OK && job->recalled)
    {
      take_recalled (rollouts, job, text, now);
      return;
    }
  if (error != LB_OK)
    {
      failed (rollouts, job, error, text, now);
      return;
    }
  if (!text || !lc_label_is_complete (&job->label, job->label.tokens))
    {
      free (text);
      drop_unlabelled (rollouts, job, now);
      return;
    }
  fill_slot (rollouts, job, text, now, actions);
}

void
lc_result_scored (LcRollouts *rollouts, LcJob *job, LbErrorCode error, double score, LbTime now)
{
  LcStep *step = job->step;
  LcSlot *slot = lc_job_slot (job);

  lc_job_free (rollouts, job);
  if (error != LB_OK)
    {
      lb_metric_count_error (error);
      back_off (rollouts, step, slot, now);
      return;
    }
  slot->failures = 0;
  slot->has_score = true;
  slot->score = score;
  lc_step_set_state (step, slot, LC_SLOT_READY);
}

void
lc_result_take_over (LcRollouts *rollouts, LcStep *step, const LcReadySample *sample)
{
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
  LcSlot *slot = lc_step_find_slot (step, sample->group, sample->index);

  if (!slot || slot->state != LC_SLOT_WAITING
      || !lc_label_is_complete (sample->label, sample->label->tokens))
    return;
  slot->text = lb_strdup (sample->text);
  slot->label = lb_memdup (sample->label, sizeof *sample->label);
  slot->has_score = sample->has_score;
  slot->score = sample->score;
  lc_step_set_state (step, slot,
                     trainer->resource.scorer[0] && !sample->has_score ? LC_SLOT_SCORING
                                                                       : LC_SLOT_READY);
}

/* Staleness. */

static void
abandon_stale_jobs (LcRollouts *rollouts,
                    LcStep *step,
                    LcSlot *slot,
                    LcVersion trainer,
                    int64_t max_lag,
                    LbList *actions)
{
  LB_LIST_FOREACH (&slot->jobs, LcJob, link, job)
  {
    if (job->label.n_spans > 0 && lc_staleness_is_too_old (&job->label, trainer, max_lag))
      lc_job_abandon (rollouts, job, actions);
  }
  if (!lb_list_is_empty (&slot->jobs))
    return;
  lb_metric_add (&stale_metric, 1);
  discard (step, slot, &step->status.discarded_stale, "stale while running");
}

void
lc_result_discard_stale (
    LcRollouts *rollouts, LcStep *step, LcVersion trainer, int64_t max_lag, LbList *actions)
{
  for (size_t i = 0; i < step->n_slots; i++)
    {
      LcSlot *slot = &step->slots[i];
      if (slot->state == LC_SLOT_RUNNING)
        {
          abandon_stale_jobs (rollouts, step, slot, trainer, max_lag, actions);
          continue;
        }
      if (slot->state > LC_SLOT_READY || !slot->label
          || !lc_staleness_is_too_old (slot->label, trainer, max_lag))
        continue;
      lc_slot_abandon (rollouts, slot, actions);
      lb_metric_add (&stale_metric, 1);
      discard (step, slot, &step->status.discarded_stale, "stale");
    }
}

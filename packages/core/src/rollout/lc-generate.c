#include "lc-generate.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A scoring request without an answer after this time is repeated. */
#define SCORING_TIMEOUT (30 * LB_SEC)
#define BYTES_PER_TOKEN 4 /* estimated length of a token, to count the tokens of a prompt */
#define MAX_PRIORITY 10
/* factor of the bonus that lets one sample of each group start early, in multiples of the mean
 * sample length; see compute_group_scheduling_score */
#define EXPLORATION_WEIGHT 2.0

/* Prediction of sample lengths. */

/* Returns the expected total length of a running sample in tokens, given the tokens that it already
 * has. */
static double
estimate_total_sample_tokens (const LcLengthHistogram *lengths,
                              const LcJob *job,
                              int64_t max_tokens)
{
  return (double)job->label.tokens
         + lc_length_histogram_estimate_remaining_tokens (lengths, job->label.tokens, max_tokens);
}

static LcGroupLengths
sum_group_lengths (const LcLengthHistogram *lengths, const LcStep *step, size_t group_index)
{
  LcGroupLengths group_lengths = { 0 };
  const LcGroup *group = &step->groups[group_index];
  int64_t max_tokens = step->spec.groups[group_index].max_tokens;

  for (size_t i = group->first_slot; i < group->first_slot + group->n_slots; i++)
    {
      const LcSlot *slot = &step->slots[i];
      const LcJob *job = LB_LIST_FIRST (&slot->jobs, LcJob, link);

      if (slot->state >= LC_SLOT_SCORING && slot->label)
        group_lengths.sum += (double)slot->label->tokens;
      else if (slot->state == LC_SLOT_RUNNING && job)
        group_lengths.sum += estimate_total_sample_tokens (lengths, job, max_tokens);
      else
        continue;
      group_lengths.count++;
    }
  return group_lengths;
}

/* Returns the expected length of the group's next sample, in tokens. */
static double
predict_next_sample_tokens (const LcRollouts *rollouts, const LcStep *step, size_t group_index)
{
  const LcLengthHistogram *lengths = lc_step_find_trainer_length_histogram (rollouts, step);
  LcGroupLengths group_lengths = sum_group_lengths (lengths, step, group_index);

  return lc_length_histogram_predict_group_sample_length (
      lengths, &group_lengths, step->spec.groups[group_index].max_tokens);
}

static size_t
count_started_samples_of_group (const LcStep *step, size_t group_index)
{
  const LcGroup *group = &step->groups[group_index];
  size_t n_started = 0;

  for (size_t i = group->first_slot; i < group->first_slot + group->n_slots; i++)
    n_started += step->slots[i].state != LC_SLOT_WAITING;
  return n_started;
}

/* Returns the expected length of the group's next sample plus an exploration bonus, which shrinks
 * with the number of the group's started samples. The bonus makes a sample of each group start
 * early, which shows whether the whole group is long. */
static double
compute_group_scheduling_score (const LcRollouts *rollouts, const LcStep *step, size_t group_index)
{
  double mean
      = lc_length_histogram_mean_sample_length (lc_step_find_trainer_length_histogram (rollouts,
                                                                                       step),
                                                step->spec.groups[group_index].max_tokens);

  return predict_next_sample_tokens (rollouts, step, group_index)
         + EXPLORATION_WEIGHT * mean
               / (1.0 + (double)count_started_samples_of_group (step, group_index));
}

static bool
can_start_generation (LcStep *step, const LcSlot *slot, LbTime now)
{
  if (slot->state != LC_SLOT_WAITING)
    return false;
  if (slot->not_before <= now)
    return true;
  if (slot->not_before < step->retry_at)
    step->retry_at = slot->not_before;
  return false;
}

/* Picks the waiting slot with the largest expected sample length; returns NULL if no slot can start
 * now. Long samples start first, so that the step does not end with a long sample that started
 * last. Slots with a partial sample go before all others. */
static LcSlot *
pick_waiting_slot_of_step (const LcRollouts *rollouts, LcStep *step, LbTime now)
{
  LcSlot *best = NULL;
  double best_score = -1;

  for (size_t g = 0; g < step->spec.n_groups; g++)
    {
      const LcGroup *group = &step->groups[g];
      double group_score = -1;

      for (size_t i = group->first_slot; i < group->first_slot + group->n_slots; i++)
        {
          LcSlot *slot = &step->slots[i];
          if (!can_start_generation (step, slot, now))
            continue;
          if (!rollouts->settings.longest_first)
            return slot;
          if (group_score < 0)
            group_score = compute_group_scheduling_score (rollouts, step, g);
          double score = slot->label ? INFINITY : group_score;
          if (score > best_score)
            {
              best = slot;
              best_score = score;
            }
        }
    }
  return best;
}

/* Starting generations and scorings. */

static LcVersion
choose_min_weight_version (LcRollouts *rollouts, const LcStep *step, double tokens)
{
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);
  const LcRolloutPool *pool = lc_step_find_pool (rollouts, step);
  LcStalenessPolicy policy = { .max_lag = trainer->max_lag,
                               .idle_weight = trainer->subscription.idle_weight,
                               .trainer_version = step->trainer_version,
                               .newest_version = pool->newest_version,
                               .version_interval = pool->version_interval };

  if (!rollouts->settings.predict_staleness)
    return 0;
  return lc_staleness_min_version_for_duration (&policy,
                                                lc_pace_expected_generation_seconds (&pool->pace,
                                                                                     tokens));
}

/* Returns the request's priority: its expected length in multiples of the trainer's mean length. */
static int
compute_request_priority (const LcRollouts *rollouts, const LcStep *step, double tokens)
{
  double relative_length = tokens
                           / lc_length_histogram_mean_sample_length (
                               lc_step_find_trainer_length_histogram (rollouts, step), INT64_MAX);

  return (int)fmin (relative_length, MAX_PRIORITY);
}

static void
fill_generation_request_spec (LcRollouts *rollouts, LcRequestSpec *spec, const LcJob *job)
{
  const LcStep *step = job->step;
  const LcSlot *slot = lc_job_find_slot (job);
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);
  double tokens = predict_next_sample_tokens (rollouts, step, slot->group_index);

  spec->id = job->request;
  spec->kind = LC_KIND_SAMPLE;
  /* streamed, because hedging and resuming need each piece as soon as it arrives */
  spec->delivery = LC_DELIVER_STREAM;
  LB_COPY (spec->pool, trainer->subscription.pool);
  LB_COPY (spec->caller, step->spec.subscription);
  spec->share = trainer->subscription.share;
  spec->repeatable = true;
  spec->resumable = rollouts->settings.resume;
  spec->priority
      = rollouts->settings.longest_first ? compute_request_priority (rollouts, step, tokens) : 0;
  spec->prompt_tokens
      = (int64_t)strlen (lc_step_group_spec (step, slot)->prompt) / BYTES_PER_TOKEN + 1;
  spec->expected_tokens = (int64_t)tokens;
  spec->min_version = choose_min_weight_version (rollouts, step, tokens);
  spec->deadline = LB_TIME_NEVER;
  spec->resume_at = job->resume_offset;
}

/* Excludes an endpoint for the request, because a hedge must not run on the endpoint of the
 * original request, and a migrated sample must not return to the endpoint that was slow with it. */
static void
add_avoided_endpoint (LcRequestSpec *spec, const char *endpoint)
{
  if (!endpoint[0])
    return;
  LB_COPY (spec->avoid[spec->n_avoid], endpoint);
  spec->n_avoid++;
}

/* Moves the slot's partial sample of an interrupted generation into the job that resumes it. */
static void
move_partial_sample_to_job (LcSlot *slot, LcJob *job)
{
  if (!slot->label)
    return;
  job->label = *slot->label;
  job->resume_offset = job->label.tokens;
  job->resume_text = slot->text;
  slot->text = NULL;
  free (slot->label);
  slot->label = NULL;
}

LcJob *
lc_generate_start_generation (LcRollouts *rollouts,
                              LcStep *step,
                              LcSlot *slot,
                              const LcJob *original,
                              LbTime now,
                              LbList *actions)
{
  const LcGroupSpec *group = lc_step_group_spec (step, slot);
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_GENERATE);
  LcJob *job = lc_job_new (rollouts, step, slot, now);

  job->is_hedge = original != NULL;
  if (original)
    add_avoided_endpoint (&action->spec, original->endpoint);
  else
    {
      add_avoided_endpoint (&action->spec, slot->avoid_endpoint);
      move_partial_sample_to_job (slot, job);
    }
  lc_step_find_pool (rollouts, step)->n_running++;
  lc_rollouts_find_trainer (rollouts, step->spec.subscription)->n_running++;
  fill_generation_request_spec (rollouts, &action->spec, job);
  action->group = group->id;
  action->index = slot->index;
  action->prompt = group->prompt;
  action->max_tokens = group->max_tokens;
  action->resume_text = job->resume_text ? lb_strdup (job->resume_text) : NULL;
  if (slot->state == LC_SLOT_WAITING)
    lc_step_set_slot_state (step, slot, LC_SLOT_RUNNING);
  return job;
}

static void
start_slot_scoring (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now, LbList *actions)
{
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_SCORE);
  LcJob *job = lc_job_new (rollouts, step, slot, now);

  job->is_scoring = true;
  action->spec.id = job->request;
  action->spec.kind = LC_KIND_SERVICE;
  action->spec.delivery = LC_DELIVER_BUFFERED;
  LB_COPY (action->spec.pool, trainer->subscription.scorer);
  LB_COPY (action->spec.caller, step->spec.subscription);
  action->spec.share = trainer->subscription.share;
  action->spec.repeatable = true;
  action->spec.deadline = now + SCORING_TIMEOUT;
  LB_COPY (action->scorer, trainer->subscription.scorer);
  action->group = lc_step_group_spec (step, slot)->id;
  action->index = slot->index;
  action->prompt = lc_step_group_spec (step, slot)->prompt;
  action->text = slot->text;
}

static void
start_scorings_past_retry_time (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  if (step->n_in_state[LC_SLOT_SCORING] == 0)
    return;
  for (size_t i = 0; i < step->n_slots; i++)
    {
      LcSlot *slot = &step->slots[i];
      if (slot->state != LC_SLOT_SCORING || !lb_list_is_empty (&slot->jobs))
        continue;
      if (slot->not_before <= now)
        start_slot_scoring (rollouts, step, slot, now, actions);
      else if (slot->not_before < step->retry_at)
        step->retry_at = slot->not_before;
    }
}

/* Returns true if trainer a has fewer running generations than trainer b, relative to their shares.
 * The number of waiting samples does not count, so that a burst of one trainer can't starve
 * another. */
static bool
has_fewer_running_generations_per_share (const LcRollouts *rollouts,
                                         const LcTrainer *a,
                                         const LcTrainer *b)
{
  if (!rollouts->settings.fair_shares)
    return false;
  return (double)(a->n_running + 1) * b->subscription.share
         < (double)(b->n_running + 1) * a->subscription.share;
}

static LcSlot *
pick_waiting_slot_of_pool (LcRollouts *rollouts,
                           const LcRolloutPool *pool,
                           LcStep **chosen_step,
                           LbTime now)
{
  LcSlot *chosen = NULL;
  const LcTrainer *chosen_trainer = NULL;

  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, step->spec.subscription);
    if (step->n_in_state[LC_SLOT_WAITING] == 0
        || strcmp (trainer->subscription.pool, pool->name) != 0)
      continue;
    if (chosen && !has_fewer_running_generations_per_share (rollouts, trainer, chosen_trainer))
      continue;
    LcSlot *slot = pick_waiting_slot_of_step (rollouts, step, now);
    if (!slot)
      continue;
    chosen = slot;
    chosen_trainer = trainer;
    *chosen_step = step;
  }
  return chosen;
}

void
lc_generate_start_scorings_and_generations (LcRollouts *rollouts, LbTime now, LbList *actions)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    start_scorings_past_retry_time (rollouts, step, now, actions);
  }
  if (rollouts->draining)
    return;
  LB_LIST_FOREACH (&rollouts->pools, LcRolloutPool, link, pool)
  {
    while (pool->n_running < pool->max_running)
      {
        LcStep *step = NULL;
        LcSlot *slot = pick_waiting_slot_of_pool (rollouts, pool, &step, now);
        if (!slot)
          break;
        lc_generate_start_generation (rollouts, step, slot, NULL, now, actions);
      }
  }
}

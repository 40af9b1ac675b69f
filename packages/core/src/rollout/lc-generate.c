#include "lc-generate.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A scorer that says nothing for so long is asked again. */
#define SCORE_DEADLINE (30 * LB_SEC)
#define BYTES_PER_TOKEN 4
#define HIGHEST_PRIORITY 10
#define LEARNING_WEIGHT 2.0

/* Prediction. */

/* Of a sample that runs: what it has and what ended samples say of one that has so much. */
static double
expected_length (const LcLengthHistogram *lengths, const LcJob *job, int64_t max_tokens)
{
  return (double)job->label.tokens
         + lc_length_histogram_expect_remaining (lengths, job->label.tokens, max_tokens);
}

static LcGroupLengths
group_lengths (const LcLengthHistogram *lengths, const LcStep *step, size_t index)
{
  LcGroupLengths sums = { 0 };
  const LcGroup *group = &step->groups[index];
  int64_t max_tokens = step->spec.groups[index].max_tokens;

  for (size_t i = group->first; i < group->first + group->count; i++)
    {
      const LcSlot *slot = &step->slots[i];
      const LcJob *job = LB_LIST_FIRST (&slot->jobs, LcJob, link);

      if (slot->state >= LC_SLOT_SCORING && slot->label)
        sums.sum += (double)slot->label->tokens;
      else if (slot->state == LC_SLOT_RUNNING && job)
        sums.sum += expected_length (lengths, job, max_tokens);
      else
        continue;
      sums.count++;
    }
  return sums;
}

/* Expected length of the group's next sample. */
static double
predict (const LcRollouts *rollouts, const LcStep *step, size_t group)
{
  const LcLengthHistogram *lengths = lc_step_lengths (rollouts, step);
  LcGroupLengths sums = group_lengths (lengths, step, group);

  return lc_length_histogram_predict (lengths, &sums, step->spec.groups[group].max_tokens);
}

static size_t
count_started (const LcStep *step, size_t group)
{
  const LcGroup *at = &step->groups[group];
  size_t started = 0;

  for (size_t i = at->first; i < at->first + at->count; i++)
    started += step->slots[i].state != LC_SLOT_WAITING;
  return started;
}

/* The expected length of the group's next sample, and what there is to learn from it: a group of
 * which little has run tells with one more sample whether its others are long, so that they can
 * begin early. */
static double
urgency (const LcRollouts *rollouts, const LcStep *step, size_t group)
{
  double mean = lc_length_histogram_mean (lc_step_lengths (rollouts, step),
                                          step->spec.groups[group].max_tokens);

  return predict (rollouts, step, group)
         + LEARNING_WEIGHT * mean / (1.0 + (double)count_started (step, group));
}

static bool
may_start (LcStep *step, const LcSlot *slot, LbTime now)
{
  if (slot->state != LC_SLOT_WAITING)
    return false;
  if (slot->not_before <= now)
    return true;
  if (slot->not_before < step->retry_at)
    step->retry_at = slot->not_before;
  return false;
}

/* The waiting slot that should start next: the one with the most tokens to come, so that the step
 * does not end with a long sample that was begun last. NULL: none may start now. */
static LcSlot *
pick_slot (const LcRollouts *rollouts, LcStep *step, LbTime now)
{
  LcSlot *best = NULL;
  double best_urgency = -1;

  for (size_t g = 0; g < step->spec.n_groups; g++)
    {
      const LcGroup *group = &step->groups[g];
      double group_urgency = -1;

      for (size_t i = group->first; i < group->first + group->count; i++)
        {
          LcSlot *slot = &step->slots[i];
          if (!may_start (step, slot, now))
            continue;
          if (!rollouts->settings.longest_first)
            return slot;
          if (group_urgency < 0)
            group_urgency = urgency (rollouts, step, g);
          double own = slot->label ? INFINITY : group_urgency;
          if (own > best_urgency)
            {
              best = slot;
              best_urgency = own;
            }
        }
    }
  return best;
}

/* Starting. */

static LcVersion
min_version (LcRollouts *rollouts, const LcStep *step, double tokens)
{
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
  const LcRolloutPool *pool = lc_step_pool (rollouts, step);
  LcFreshness freshness = { .max_lag = trainer->max_lag,
                            .idle_weight = trainer->resource.idle_weight,
                            .trainer = step->trainer_version,
                            .newest = pool->newest,
                            .cadence = pool->cadence };

  if (!rollouts->settings.predict_staleness)
    return 0;
  return lc_staleness_min_version (&freshness, lc_pace_expected_seconds (&pool->pace, tokens));
}

static int
priority_of (const LcRollouts *rollouts, const LcStep *step, double tokens)
{
  double times = tokens / lc_length_histogram_mean (lc_step_lengths (rollouts, step), INT64_MAX);

  return (int)fmin (times, HIGHEST_PRIORITY);
}

static void
fill_spec (LcRollouts *rollouts, LcRequestSpec *spec, const LcJob *job)
{
  const LcStep *step = job->step;
  const LcSlot *slot = lc_job_slot (job);
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
  double tokens = predict (rollouts, step, slot->group);

  spec->id = job->request;
  spec->kind = LC_KIND_SAMPLE;
  spec->delivery = LC_DELIVER_STREAM; /* progress must be seen, for hedges and for resuming */
  LB_COPY (spec->pool, trainer->resource.pool);
  LB_COPY (spec->caller, step->spec.subscription);
  spec->share = trainer->resource.share;
  spec->repeatable = true;
  spec->resumable = rollouts->settings.resume;
  spec->priority = rollouts->settings.longest_first ? priority_of (rollouts, step, tokens) : 0;
  spec->prompt_tokens
      = (int64_t)strlen (lc_step_group_spec (step, slot)->prompt) / BYTES_PER_TOKEN + 1;
  spec->expected_tokens = (int64_t)tokens;
  spec->min_version = min_version (rollouts, step, tokens);
  spec->deadline = LB_TIME_NEVER;
  spec->resume_at = job->base;
}

/* A hedge must not land beside what it hedges. */
static void
avoid_endpoint (LcRequestSpec *spec, const char *endpoint)
{
  if (!endpoint[0])
    return;
  LB_COPY (spec->avoid[spec->n_avoid], endpoint);
  spec->n_avoid++;
}

/* The part that a broken generation left moves into the job that goes on from it. */
static void
take_partial (LcSlot *slot, LcJob *job)
{
  if (!slot->label)
    return;
  job->label = *slot->label;
  job->base = job->label.tokens;
  job->prefix = slot->text;
  slot->text = NULL;
  free (slot->label);
  slot->label = NULL;
}

LcJob *
lc_generate_start (LcRollouts *rollouts,
                   LcStep *step,
                   LcSlot *slot,
                   const LcJob *original,
                   LbTime now,
                   LbList *actions)
{
  const LcGroupSpec *group = lc_step_group_spec (step, slot);
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_GENERATE);
  LcJob *job = lc_job_new (rollouts, step, slot, now);

  job->hedge = original != NULL;
  if (original)
    avoid_endpoint (&action->spec, original->endpoint);
  else
    {
      avoid_endpoint (&action->spec, slot->avoid);
      take_partial (slot, job);
    }
  lc_step_pool (rollouts, step)->running++;
  lc_rollouts_trainer (rollouts, step->spec.subscription)->running++;
  fill_spec (rollouts, &action->spec, job);
  action->group = group->id;
  action->index = slot->index;
  action->prompt = group->prompt;
  action->max_tokens = group->max_tokens;
  action->resume_text = job->prefix ? lb_strdup (job->prefix) : NULL;
  if (slot->state == LC_SLOT_WAITING)
    lc_step_set_state (step, slot, LC_SLOT_RUNNING);
  return job;
}

static void
start_scoring (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now, LbList *actions)
{
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_SCORE);
  LcJob *job = lc_job_new (rollouts, step, slot, now);

  job->scores = true;
  action->spec.id = job->request;
  action->spec.kind = LC_KIND_SERVICE;
  action->spec.delivery = LC_DELIVER_BUFFERED;
  LB_COPY (action->spec.pool, trainer->resource.scorer);
  LB_COPY (action->spec.caller, step->spec.subscription);
  action->spec.share = trainer->resource.share;
  action->spec.repeatable = true;
  action->spec.deadline = now + SCORE_DEADLINE;
  LB_COPY (action->scorer, trainer->resource.scorer);
  action->group = lc_step_group_spec (step, slot)->id;
  action->index = slot->index;
  action->prompt = lc_step_group_spec (step, slot)->prompt;
  action->text = slot->text;
}

static void
start_scorings (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  if (step->n_in_state[LC_SLOT_SCORING] == 0)
    return;
  for (size_t i = 0; i < step->n_slots; i++)
    {
      LcSlot *slot = &step->slots[i];
      if (slot->state != LC_SLOT_SCORING || !lb_list_is_empty (&slot->jobs))
        continue;
      if (slot->not_before <= now)
        start_scoring (rollouts, step, slot, now, actions);
      else if (slot->not_before < step->retry_at)
        step->retry_at = slot->not_before;
    }
}

/* The trainer that has the least running for its share goes next, whatever the others have waiting,
 * so that one trainer's burst can not starve another. */
static bool
goes_before (const LcRollouts *rollouts, const LcTrainer *a, const LcTrainer *b)
{
  if (!rollouts->settings.fair_shares)
    return false;
  return (double)(a->running + 1) * b->resource.share
         < (double)(b->running + 1) * a->resource.share;
}

static LcSlot *
pick_of_pool (LcRollouts *rollouts, const LcRolloutPool *pool, LcStep **chosen_step, LbTime now)
{
  LcSlot *chosen = NULL;
  const LcTrainer *chosen_trainer = NULL;

  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
    if (step->n_in_state[LC_SLOT_WAITING] == 0 || strcmp (trainer->resource.pool, pool->name) != 0)
      continue;
    if (chosen && !goes_before (rollouts, trainer, chosen_trainer))
      continue;
    LcSlot *slot = pick_slot (rollouts, step, now);
    if (!slot)
      continue;
    chosen = slot;
    chosen_trainer = trainer;
    *chosen_step = step;
  }
  return chosen;
}

void
lc_generate_fill (LcRollouts *rollouts, LbTime now, LbList *actions)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    start_scorings (rollouts, step, now, actions);
  }
  if (rollouts->draining)
    return;
  LB_LIST_FOREACH (&rollouts->pools, LcRolloutPool, link, pool)
  {
    while (pool->running < pool->window)
      {
        LcStep *step = NULL;
        LcSlot *slot = pick_of_pool (rollouts, pool, &step, now);
        if (!slot)
          break;
        lc_generate_start (rollouts, step, slot, NULL, now, actions);
      }
  }
}

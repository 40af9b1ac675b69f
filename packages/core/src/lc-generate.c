#include "lc-generate.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-label.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_FIRST (100 * LB_MSEC)
#define RETRY_LONGEST (5 * LB_SEC)
/* A scorer that says nothing for so long is asked again. */
#define SCORE_DEADLINE (30 * LB_SEC)
#define HEDGE_INTERVAL (100 * LB_MSEC)
#define BYTES_PER_TOKEN 4
#define HIGHEST_PRIORITY 10
/* So many failures in a row may come from the part itself: the next start is from the beginning. */
#define RESUME_TRIES 3

static LbMetric hedges_metric
    = LB_COUNTER_INIT ("lentilspindle_rollout_hedges_total",
                       NULL,
                       "Second generations of a sample that were started");
static LbMetric stale_metric = LB_COUNTER_INIT ("lentilspindle_rollout_discarded_total",
                                                "reason=\"stale\"",
                                                "Samples thrown away and generated again");
static LbMetric unlabelled_metric = LB_COUNTER_INIT ("lentilspindle_rollout_discarded_total",
                                                     "reason=\"unlabelled\"",
                                                     "Samples thrown away and generated again");

static LcJob *
job_new (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbTime now)
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

static LcSlot *
slot_of (const LcJob *job)
{
  return &job->step->slots[job->slot];
}

static LcRolloutPool *
pool_of (LcRollouts *rollouts, const LcStep *step)
{
  return lc_rollouts_pool (rollouts,
                           lc_rollouts_trainer (rollouts, step->spec.subscription)->resource.pool);
}

static void
job_free (LcRollouts *rollouts, LcJob *job)
{
  if (!job->scores)
    {
      pool_of (rollouts, job->step)->running--;
      lc_rollouts_trainer (rollouts, job->step->spec.subscription)->running--;
    }
  job->step->reserved -= job->reserved;
  HASH_DELETE (hh, rollouts->jobs, job);
  lb_list_remove (&slot_of (job)->jobs, &job->link);
  lc_trash_add (&rollouts->trash, job->prefix);
  free (job);
}

/* Tokens that this job itself made. */
static int64_t
made_tokens (const LcJob *job)
{
  return job->label.tokens - job->base;
}

static void
abandon_job (LcRollouts *rollouts, LcJob *job, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_ABANDON);

  action->spec.id = job->request;
  job->step->status.wasted_tokens += made_tokens (job);
  job_free (rollouts, job);
}

void
lc_generate_abandon (LcRollouts *rollouts, LcStep *step, LcSlot *slot, LbList *actions)
{
  (void)step;
  LB_LIST_FOREACH (&slot->jobs, LcJob, link, job)
  {
    abandon_job (rollouts, job, actions);
  }
}

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

void
lc_generate_discard_sample (LcStep *step, LcSlot *slot, int64_t *counter, const char *reason)
{
  (*counter)++;
  step->status.wasted_tokens += slot->label ? slot->label->tokens : 0;
  lb_log (LB_LOG_INFO, "sample-discarded", LB_TEXT ("reason", reason),
          LB_TEXT ("subscription", step->spec.subscription), LB_INT ("step", step->spec.step),
          LB_TEXT ("group", lc_step_group_spec (step, slot)->id), LB_INT ("index", slot->index));
  lc_step_reset_slot (step, slot);
}

/* Prediction. */

static const LcLengths *
lengths_of (const LcRollouts *rollouts, const LcStep *step)
{
  return &lc_rollouts_trainer (rollouts, step->spec.subscription)->lengths;
}

/* Of a sample that runs: what it has and what ended samples say of one that has so much. */
static double
expected_length (const LcLengths *lengths, const LcJob *job, int64_t max_tokens)
{
  return (double)job->label.tokens + lc_lengths_remaining (lengths, job->label.tokens, max_tokens);
}

static LcGroupLengths
group_lengths (const LcLengths *lengths, const LcStep *step, size_t index)
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
  const LcLengths *lengths = lengths_of (rollouts, step);
  LcGroupLengths sums = group_lengths (lengths, step, group);

  return lc_lengths_predict (lengths, &sums, step->spec.groups[group].max_tokens);
}

/* A group of which nothing ran yet goes first: its first sample tells of the others. */
static double
urgency (const LcRollouts *rollouts, const LcStep *step, size_t group)
{
  const LcGroup *at = &step->groups[group];

  for (size_t i = at->first; i < at->first + at->count; i++)
    if (step->slots[i].state != LC_SLOT_WAITING)
      return predict (rollouts, step, group);
  return INFINITY;
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
  const LcRolloutPool *pool = pool_of (rollouts, step);
  LcFreshness freshness = { .max_lag = trainer->max_lag,
                            .idle_weight = trainer->resource.idle_weight,
                            .trainer = step->trainer_version,
                            .newest = pool->newest,
                            .cadence = pool->cadence };

  if (!rollouts->settings.predict_staleness)
    return 0;
  return lc_staleness_min_version (&freshness, lc_pace_seconds (&pool->pace, tokens));
}

static int
priority_of (const LcRollouts *rollouts, const LcStep *step, double tokens)
{
  double times = tokens / lc_lengths_mean (lengths_of (rollouts, step), INT64_MAX);

  return (int)fmin (times, HIGHEST_PRIORITY);
}

static void
fill_spec (LcRollouts *rollouts, LcRequestSpec *spec, const LcJob *job)
{
  const LcStep *step = job->step;
  const LcSlot *slot = slot_of (job);
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

static LcJob *
start_generation (LcRollouts *rollouts,
                  LcStep *step,
                  LcSlot *slot,
                  const LcJob *original,
                  LbTime now,
                  LbList *actions)
{
  const LcGroupSpec *group = lc_step_group_spec (step, slot);
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_GENERATE);
  LcJob *job = job_new (rollouts, step, slot, now);

  job->hedge = original != NULL;
  if (original)
    avoid_endpoint (&action->spec, original->endpoint);
  else
    take_partial (slot, job);
  pool_of (rollouts, step)->running++;
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
  LcJob *job = job_new (rollouts, step, slot, now);

  job->scores = true;
  action->spec.id = job->request;
  action->spec.kind = LC_KIND_SERVICE;
  action->spec.delivery = LC_DELIVER_WHOLE;
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
        start_generation (rollouts, step, slot, NULL, now, actions);
      }
  }
}

/* Hedging. */

static LcProgress
progress_of (const LcJob *job)
{
  return (LcProgress){ .tokens = job->label.tokens,
                       .max_tokens = lc_step_group_spec (job->step, slot_of (job))->max_tokens,
                       .started = job->started,
                       .first_piece = job->first_piece };
}

/* The running sample for which waiting is expected to cost most; NULL: none is worth a hedge. */
static LcJob *
pick_straggler (LcRollouts *rollouts, LcStep *step, LbTime now)
{
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);
  const LcRolloutPool *pool = pool_of (rollouts, step);
  LcJob *best = NULL;
  double best_gain = 0;

  for (size_t i = 0; i < step->n_slots; i++)
    {
      LcSlot *slot = &step->slots[i];
      if (slot->state != LC_SLOT_RUNNING || slot->jobs.length != 1)
        continue;
      LcJob *job = LB_LIST_FIRST (&slot->jobs, LcJob, link);
      LcProgress progress = progress_of (job);
      double gain = lc_straggler_gain (&trainer->lengths, &pool->pace, &progress,
                                       trainer->resource.idle_weight, now);
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

/* Only the tail is hedged: while slots wait, a place is worth more to them. */
void
lc_generate_hedge (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  LcRolloutPool *pool = pool_of (rollouts, step);

  if (!rollouts->settings.hedging || rollouts->draining || now < step->next_hedge
      || step->n_in_state[LC_SLOT_WAITING] > 0)
    return;
  step->next_hedge = now + HEDGE_INTERVAL;
  while (pool->running < pool->window)
    {
      LcJob *job = pick_straggler (rollouts, step, now);
      if (!job)
        return;
      LcProgress progress = progress_of (job);
      int64_t cost = lc_straggler_cost (lengths_of (rollouts, step), &pool->pace, &progress, now);
      if (!fits_budget (rollouts, step, cost))
        return;
      LcSlot *slot = slot_of (job);
      LcJob *hedge = start_generation (rollouts, step, slot, job, now, actions);
      hedge->reserved = cost;
      step->reserved += cost;
      step->status.hedges++;
      lb_metric_add (&hedges_metric, 1);
      lb_log (LB_LOG_INFO, "sample-hedged", LB_TEXT ("subscription", step->spec.subscription),
              LB_INT ("step", step->spec.step),
              LB_TEXT ("group", lc_step_group_spec (step, slot)->id), LB_INT ("index", slot->index),
              LB_TEXT ("slow_at", job->endpoint), LB_INT ("tokens_so_far", job->label.tokens),
              LB_INT ("cost_tokens", cost));
    }
}

/* What came of it. */

/* Without its twin the slot waits for a new start. */
static void
drop_job (LcRollouts *rollouts, LcJob *job, LbTime now, bool failed)
{
  LcStep *step = job->step;
  LcSlot *slot = slot_of (job);

  step->status.wasted_tokens += made_tokens (job);
  job_free (rollouts, job);
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

  job->step->status.wasted_tokens += made_tokens (job);
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
lc_generate_piece (LcRollouts *rollouts,
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
  if (elsewhere && piece->tokens > 0 && piece->offset == job->base && made_tokens (job) > 0)
    restart_label (job);
  lc_label_add_reused (&job->label, piece->offset, piece->tokens, piece->version,
                       piece->kv_reused_version);
  job->step->status.tokens += piece->tokens > 0 ? piece->tokens : 0;
  if (!job->label.unlabelled)
    return;

  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_ABANDON);
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
  LcSlot *slot = slot_of (job);

  slot->text = join (job->prefix, text);
  slot->label = lb_memdup (&job->label, sizeof job->label);
  lc_step_set_state (step, slot, LC_SLOT_WAITING);
  job_free (rollouts, job);
  back_off (rollouts, step, slot, now);
}

static void
failed (LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now)
{
  LcSlot *slot = slot_of (job);
  bool may_keep
      = rollouts->settings.resume && slot->jobs.length == 1 && slot->failures < RESUME_TRIES;

  lb_metric_count_error (error);
  lb_log (LB_LOG_INFO, "sample-failed", LB_TEXT ("error", lb_error_name (error)),
          LB_TEXT ("subscription", job->step->spec.subscription),
          LB_INT ("step", job->step->spec.step), LB_INT ("slot", (int64_t)job->slot),
          LB_TEXT ("endpoint", job->endpoint), LB_INT ("tokens", job->label.tokens));
  if (may_keep && made_tokens (job) > 0 && text && text[0])
    {
      keep_partial (rollouts, job, text, now);
      return;
    }
  if (may_keep && made_tokens (job) == 0 && job->base > 0)
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
  LcRolloutPool *pool = pool_of (rollouts, job->step);
  LbTime first = job->first_piece ? job->first_piece : now;

  lc_lengths_add (&trainer->lengths, job->label.tokens);
  lc_pace_add (&pool->pace, made_tokens (job), first - job->started, now - first);
}

/* The first whole sample fills the slot; its twin is cancelled here, and an answer of the twin that
 * was already under way finds no job and is dropped. */
static void
fill_slot (LcRollouts *rollouts, LcJob *job, char *text, LbTime now, LbList *actions)
{
  LcStep *step = job->step;
  LcSlot *slot = slot_of (job);
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, step->spec.subscription);

  learn (rollouts, job, now);
  slot->text = join (job->prefix, text);
  slot->label = lb_memdup (&job->label, sizeof job->label);
  slot->failures = 0;
  slot->not_before = 0;
  job_free (rollouts, job);
  lc_generate_abandon (rollouts, step, slot, actions);
  lc_step_set_state (step, slot, trainer->resource.scorer[0] ? LC_SLOT_SCORING : LC_SLOT_READY);
  if (lc_staleness_is_too_old (slot->label, step->trainer_version, trainer->max_lag))
    {
      lb_metric_add (&stale_metric, 1);
      lc_generate_discard_sample (step, slot, &step->status.discarded_stale, "stale");
    }
}

void
lc_generate_finished (
    LcRollouts *rollouts, LcJob *job, LbErrorCode error, char *text, LbTime now, LbList *actions)
{
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
lc_generate_scored (LcRollouts *rollouts, LcJob *job, LbErrorCode error, double score, LbTime now)
{
  LcStep *step = job->step;
  LcSlot *slot = slot_of (job);

  job_free (rollouts, job);
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
      abandon_job (rollouts, job, actions);
  }
  if (!lb_list_is_empty (&slot->jobs))
    return;
  lb_metric_add (&stale_metric, 1);
  lc_generate_discard_sample (step, slot, &step->status.discarded_stale, "stale while running");
}

void
lc_generate_discard_stale (
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
      lc_generate_abandon (rollouts, step, slot, actions);
      lb_metric_add (&stale_metric, 1);
      lc_generate_discard_sample (step, slot, &step->status.discarded_stale, "stale");
    }
}

#include "lc-rollouts.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lc-deliver.h"
#include "lc-generate.h"
#include "lc-result.h"
#include "lc-review.h"

#include <stdlib.h>
#include <string.h>

#define MAX_SLOTS 65536
/* Room beyond the engines' concurrency, so that no place stays empty until the next send. */
#define WINDOW_SLACK 1.1
#define WINDOW_UNKNOWN 64
/* How long a step stays known after all of it was acknowledged, for a late repeat of the last pull.
 */
#define KEEP_CLOSED (300 * LB_SEC)
#define DEFAULT_PAUSE_LIMIT LB_SEC
#define TICK (250 * LB_MSEC)

static LbMetric late_metric
    = LB_COUNTER_INIT ("lentilspindle_rollout_late_total",
                       NULL,
                       "Events of requests that were over, such as the second of a hedged pair");

LcRolloutSettings
lc_rollout_settings_default (void)
{
  return (LcRolloutSettings){ .longest_first = true,
                              .hedging = true,
                              .resume = true,
                              .predict_staleness = true,
                              .group_release = true,
                              .fair_shares = true,
                              .migrate = true,
                              .pause_limit = DEFAULT_PAUSE_LIMIT };
}

LcRollouts *
lc_rollouts_new (const LcRolloutSettings *settings)
{
  LcRollouts *rollouts = LB_NEW (LcRollouts);

  rollouts->settings = *settings;
  rollouts->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (rollouts->rng, (unsigned long)settings->seed);
  lb_list_init (&rollouts->pools);
  lb_list_init (&rollouts->trainers);
  lb_list_init (&rollouts->steps);
  return rollouts;
}

void
lc_rollout_action_free (LcRolloutAction *action)
{
  free (action->resume_text);
  free (action->row_key);
  free (action->row_value);
  free (action->samples);
  free (action->cursor);
  free (action);
}

static void
free_actions (LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    lc_rollout_action_free (LB_CONTAINER (link, LcRolloutAction, link));
}

void
lc_rollouts_free (LcRollouts *rollouts)
{
  LbList actions;
  LbLink *link;

  if (!rollouts)
    return;
  lb_list_init (&actions);
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    lc_rollouts_end_step (rollouts, step, LB_ERROR_DRAINING, &actions);
  }
  free_actions (&actions);
  while ((link = lb_list_pop (&rollouts->pools)))
    free (LB_CONTAINER (link, LcRolloutPool, link));
  while ((link = lb_list_pop (&rollouts->trainers)))
    free (LB_CONTAINER (link, LcTrainer, link));
  lc_trash_empty (&rollouts->trash);
  gsl_rng_free (rollouts->rng);
  free (rollouts);
}

/* What the parts share. */

LcRolloutAction *
lc_rollouts_add_action (LbList *actions, LcRolloutActionType type)
{
  LcRolloutAction *action = LB_NEW (LcRolloutAction);

  action->type = type;
  lb_list_append (actions, &action->link);
  return action;
}

LcRequestId
lc_rollouts_next_id (LcRollouts *rollouts)
{
  return rollouts->next_id ? rollouts->next_id (rollouts->next_id_user) : ++rollouts->last_id;
}

LcTrainer *
lc_rollouts_trainer (const LcRollouts *rollouts, const char *subscription)
{
  LB_LIST_FOREACH (&rollouts->trainers, LcTrainer, link, trainer)
  {
    if (strcmp (trainer->resource.name, subscription) == 0)
      return trainer;
  }
  return NULL;
}

/* Made when it is first named. */
LcRolloutPool *
lc_rollouts_pool (LcRollouts *rollouts, const char *name)
{
  LB_LIST_FOREACH (&rollouts->pools, LcRolloutPool, link, known)
  {
    if (strcmp (known->name, name) == 0)
      return known;
  }

  LcRolloutPool *pool = LB_NEW (LcRolloutPool);
  LB_COPY (pool->name, name);
  pool->window = WINDOW_UNKNOWN;
  lb_list_append (&rollouts->pools, &pool->link);
  return pool;
}

void
lc_rollouts_end_step (LcRollouts *rollouts, LcStep *step, LbErrorCode error, LbList *actions)
{
  lc_deliver_fail_pulls (step, error, 0, actions);
  for (size_t i = 0; i < step->n_slots; i++)
    lc_slot_abandon (rollouts, &step->slots[i], actions);
  lb_list_remove (&rollouts->steps, &step->link);
  lc_step_free (step);
}

static LcStep *
find_step (const LcRollouts *rollouts, const char *subscription, int64_t number)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    if (step->spec.step == number && strcmp (step->spec.subscription, subscription) == 0)
      return step;
  }
  return NULL;
}

/* Every command begins here: what earlier replies pointed to is freed, and a pause is noticed. */
static void
begin (LcRollouts *rollouts, LbTime now)
{
  LbTime gap = now - rollouts->last_seen;

  lc_trash_empty (&rollouts->trash);
  if (rollouts->settings.pause_limit > 0 && gap > rollouts->settings.pause_limit)
    LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
    {
      lb_log (LB_LOG_WARNING, "step-owner-was-paused",
              LB_TEXT ("subscription", step->spec.subscription), LB_INT ("step", step->spec.step),
              LB_INT ("paused_ms", gap / LB_MSEC));
      lc_deliver_confirm_session (step);
    }
  rollouts->last_seen = now;
}

/* Every command that may have changed what can be given or started ends here. */
static void
settle (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  lc_deliver_serve (rollouts, step, now, actions);
  lc_deliver_write_ledger (rollouts, step, now, actions);
  lc_generate_fill (rollouts, now, actions);
}

/* Configuration. */

void
lc_rollouts_set_id_source (LcRollouts *rollouts, LcRequestId (*next_id) (void *user), void *user)
{
  rollouts->next_id = next_id;
  rollouts->next_id_user = user;
}

static int64_t
window_of (const LcResourceSet *set, const LcPool *pool)
{
  int64_t places = 0;

  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      const LcEndpointMember *member = &set->endpoints[i];
      if (member->kind == LC_ENDPOINT_ENGINE && !member->leaving
          && strcmp (member->pool, pool->name) == 0)
        places += member->concurrency;
    }
  if (places == 0)
    return WINDOW_UNKNOWN;
  int64_t window = (int64_t)((double)places * (1 - pool->live_reserve) * WINDOW_SLACK);
  return window > 0 ? window : 1;
}

static void
declare_trainer (LcRollouts *rollouts, const LcResourceSet *set, const LcSubscription *resource)
{
  LcTrainer *trainer = lc_rollouts_trainer (rollouts, resource->name);

  if (!trainer)
    {
      trainer = LB_NEW (LcTrainer);
      lb_list_append (&rollouts->trainers, &trainer->link);
    }
  /* Running work is counted by pool: a step keeps the pool it was opened for. */
  LbName pool;
  LB_COPY (pool, trainer->running > 0 ? trainer->resource.pool : resource->pool);
  trainer->resource = *resource;
  LB_COPY (trainer->resource.pool, pool);
  trainer->max_lag = lc_resource_set_max_lag (set, resource->name);
  trainer->declared = true;
  if (trainer->resource.share <= 0)
    trainer->resource.share = 1;
}

void
lc_rollouts_configure (LcRollouts *rollouts, const LcResourceSet *set, LbTime now, LbList *actions)
{
  begin (rollouts, now);
  LB_LIST_FOREACH (&rollouts->trainers, LcTrainer, link, trainer)
  {
    trainer->declared = false;
  }
  for (size_t i = 0; i < set->n_subscriptions; i++)
    declare_trainer (rollouts, set, &set->subscriptions[i]);
  for (size_t i = 0; i < set->n_pools; i++)
    lc_rollouts_pool (rollouts, set->pools[i].name)->window = window_of (set, &set->pools[i]);
  lc_generate_fill (rollouts, now, actions);
}

void
lc_rollouts_set_versions (LcRollouts *rollouts,
                          const char *name,
                          LcVersion newest,
                          LbTime cadence,
                          LbTime now,
                          LbList *actions)
{
  LcRolloutPool *pool = lc_rollouts_pool (rollouts, name);

  begin (rollouts, now);
  pool->newest = newest;
  pool->cadence = cadence;
  lc_generate_fill (rollouts, now, actions);
}

/* Steps. */

static bool
names_are_unique (const LcStepSpec *spec)
{
  for (size_t i = 0; i < spec->n_groups; i++)
    for (size_t j = i + 1; j < spec->n_groups; j++)
      if (strcmp (spec->groups[i].id, spec->groups[j].id) == 0)
        return false;
  return true;
}

static bool
check_spec (const LcStepSpec *spec, LbError *error)
{
  int64_t slots = 0;

  if (spec->n_groups == 0)
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "groups", "expected at least one group");
  if (spec->step < 0 || spec->trainer_version < 0)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "step", "expected 0 or more");
  for (size_t i = 0; i < spec->n_groups; i++)
    {
      if (spec->groups[i].samples < 1 || spec->groups[i].samples > MAX_SLOTS)
        return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "groups.samples", "expected 1 to %d",
                             MAX_SLOTS);
      if (spec->groups[i].max_tokens < 1)
        return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "groups.max_tokens",
                             "expected 1 or more");
      slots += spec->groups[i].samples;
    }
  if (slots > MAX_SLOTS)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "groups", "expected at most %d samples",
                         MAX_SLOTS);
  if (!names_are_unique (spec))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "groups.id", "two groups have one name");
  return true;
}

bool
lc_rollouts_has_subscription (const LcRollouts *rollouts, const char *subscription)
{
  const LcTrainer *trainer = lc_rollouts_trainer (rollouts, subscription);

  return trainer && trainer->declared;
}

bool
lc_rollouts_can_open_step (const LcRollouts *rollouts, const LcStepSpec *spec, LbError *error)
{
  if (!lc_rollouts_has_subscription (rollouts, spec->subscription))
    return lb_error_set (error, LB_ERROR_UNKNOWN_SUBSCRIPTION, spec->subscription,
                         "no subscription of this name is declared");
  if (rollouts->draining)
    return lb_error_set (error, LB_ERROR_DRAINING, "", "this instance is shutting down");
  return check_spec (spec, error);
}

static bool
is_same (const LcStep *step, const LcStepSpec *spec, LbError *error)
{
  if (step->hash == lc_step_spec_hash (spec))
    return true;
  return lb_error_set (error, LB_ERROR_CONFLICT, "step", "this step is open with other content");
}

bool
lc_rollouts_take_over_step (LcRollouts *rollouts,
                            LcStepSpec *spec,
                            const LcStepHandover *recovery,
                            LbTime now,
                            LbList *actions,
                            LbError *error)
{
  LcStep *step = find_step (rollouts, spec->subscription, spec->step);
  LcCursor cursor = { 0 };

  begin (rollouts, now);
  if (step)
    return is_same (step, spec, error);
  if (!lc_rollouts_can_open_step (rollouts, spec, error))
    return false;
  step = lc_step_new (spec, recovery->session, &rollouts->trash, now);
  bool ok
      = lc_cursor_from_text (&cursor, recovery->ledger_cursor, step->n_slots, step->hash, error);
  if (ok)
    {
      lc_deliver_recover (step, &cursor);
      for (size_t i = 0; i < recovery->n_samples; i++)
        lc_result_take_over (rollouts, step, &recovery->samples[i]);
      lb_list_append (&rollouts->steps, &step->link);
      lb_log (LB_LOG_INFO, "step-opened", LB_TEXT ("subscription", step->spec.subscription),
              LB_INT ("step", step->spec.step), LB_INT ("session", recovery->session),
              LB_INT ("slots", step->n_slots),
              LB_INT ("acknowledged", step->n_in_state[LC_SLOT_ACKED]));
      lc_generate_fill (rollouts, now, actions);
    }
  else
    lc_step_free (step);
  lc_cursor_clear (&cursor);
  return ok;
}

bool
lc_rollouts_recover_step (LcRollouts *rollouts,
                          LcStepSpec *spec,
                          uint64_t session,
                          const char *ledger,
                          LbTime now,
                          LbList *actions,
                          LbError *error)
{
  const LcStepHandover recovery = { .session = session, .ledger_cursor = ledger };

  return lc_rollouts_take_over_step (rollouts, spec, &recovery, now, actions, error);
}

bool
lc_rollouts_open_step (LcRollouts *rollouts,
                       LcStepSpec *spec,
                       uint64_t session,
                       LbTime now,
                       LbList *actions,
                       LbError *error)
{
  return lc_rollouts_recover_step (rollouts, spec, session, "", now, actions, error);
}

void
lc_rollouts_abort_step (
    LcRollouts *rollouts, const char *subscription, int64_t number, LbTime now, LbList *actions)
{
  LcStep *step = find_step (rollouts, subscription, number);

  begin (rollouts, now);
  if (!step)
    return;
  lb_log (LB_LOG_WARNING, "step-lost", LB_TEXT ("subscription", subscription),
          LB_INT ("step", number), LB_INT ("session", step->session));
  lc_rollouts_end_step (rollouts, step, LB_ERROR_STALE_SESSION, actions);
  lc_generate_fill (rollouts, now, actions);
}

/* Pulls. */

void
lc_rollouts_pull (LcRollouts *rollouts, const LcPull *pull, LbTime now, LbList *actions)
{
  LcStep *step = find_step (rollouts, pull->subscription, pull->step);

  begin (rollouts, now);
  if (!step)
    {
      LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);
      action->pull_id = pull->id;
      lb_error_set (&action->error, LB_ERROR_UNKNOWN_STEP, "step", "this step is not open here");
      return;
    }
  if (lc_deliver_pull (rollouts, step, pull, now, actions))
    settle (rollouts, step, now, actions);
  else
    lc_generate_fill (rollouts, now, actions);
}

void
lc_rollouts_cancel_pull (LcRollouts *rollouts, uint64_t id)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    LB_LIST_FOREACH (&step->pulls, LcWaitingPull, link, pull)
    {
      if (pull->id != id)
        continue;
      lb_list_remove (&step->pulls, &pull->link);
      free (pull);
    }
  }
}

/* What comes of requests. */

static LcJob *
find_job (LcRollouts *rollouts, LcRequestId request)
{
  LcJob *job = NULL;

  HASH_FIND (hh, rollouts->jobs, &request, sizeof request, job);
  if (!job)
    lb_metric_add (&late_metric, 1);
  return job;
}

void
lc_rollouts_add_piece (LcRollouts *rollouts,
                       LcRequestId request,
                       const LcPiece *piece,
                       const char *endpoint,
                       LbTime now,
                       LbList *actions)
{
  LcJob *job = find_job (rollouts, request);

  begin (rollouts, now);
  if (!job || job->scores)
    return;
  lc_result_piece (rollouts, job, piece, endpoint, now, actions);
  if (!lb_list_is_empty (actions))
    lc_generate_fill (rollouts, now, actions);
}

void
lc_rollouts_finish_generation (LcRollouts *rollouts,
                               LcRequestId request,
                               LbErrorCode error,
                               char *text,
                               LbTime now,
                               LbList *actions)
{
  LcJob *job = find_job (rollouts, request);

  begin (rollouts, now);
  if (!job || job->scores)
    {
      free (text);
      return;
    }
  LcStep *step = job->step;
  lc_result_finished (rollouts, job, error, text, now, actions);
  settle (rollouts, step, now, actions);
  lc_review_step (rollouts, step, now, actions);
}

void
lc_rollouts_finish_scoring (LcRollouts *rollouts,
                            LcRequestId request,
                            LbErrorCode error,
                            double score,
                            LbTime now,
                            LbList *actions)
{
  LcJob *job = find_job (rollouts, request);

  begin (rollouts, now);
  if (!job || !job->scores)
    return;
  LcStep *step = job->step;
  lc_result_scored (rollouts, job, error, score, now);
  settle (rollouts, step, now, actions);
}

static LcStep *
step_of_write (const LcRollouts *rollouts, uint64_t write)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    if (step->ledger.write == write)
      return step;
  }
  return NULL;
}

void
lc_rollouts_finish_ledger_write (
    LcRollouts *rollouts, uint64_t write, LbErrorCode error, LbTime now, LbList *actions)
{
  LcStep *step = step_of_write (rollouts, write);

  begin (rollouts, now);
  if (!step)
    return;
  /* Another instance has taken the step over since: whatever this one would still deliver, the
   * trainer may get from there. */
  if (error == LB_ERROR_CONDITION_FAILED || error == LB_ERROR_STALE_SESSION)
    {
      lc_rollouts_abort_step (rollouts, step->spec.subscription, step->spec.step, now, actions);
      return;
    }
  lc_ledger_done (&step->ledger, error, gsl_rng_uniform (rollouts->rng), now);
  settle (rollouts, step, now, actions);
}

/* Time. */

void
lc_rollouts_drain (LcRollouts *rollouts, LbTime now, LbList *actions)
{
  LcJob *job, *next;

  begin (rollouts, now);
  rollouts->draining = true;
  /* What has not begun may never begin here; the step's next owner starts it. */
  HASH_ITER (hh, rollouts->jobs, job, next)
  {
    LcSlot *slot = lc_job_slot (job);
    if (job->scores || job->first_piece != 0)
      continue;
    LcStep *step = job->step;
    lc_job_abandon (rollouts, job, actions);
    if (lb_list_is_empty (&slot->jobs))
      lc_step_reset_slot (step, slot);
  }
}

static bool
is_over (const LcStep *step, LbTime now)
{
  return step->closed && now - step->closed > KEEP_CLOSED && !step->ledger.write
         && lb_list_is_empty (&step->pulls);
}

void
lc_rollouts_tick (LcRollouts *rollouts, LbTime now, LbList *actions)
{
  begin (rollouts, now);
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    if (is_over (step, now))
      {
        lc_rollouts_end_step (rollouts, step, LB_ERROR_UNKNOWN_STEP, actions);
        continue;
      }
    if (step->retry_at <= now)
      step->retry_at = LB_TIME_NEVER;
    lc_deliver_serve (rollouts, step, now, actions);
    lc_deliver_write_ledger (rollouts, step, now, actions);
  }
  lc_generate_fill (rollouts, now, actions);
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, open)
  {
    lc_review_step (rollouts, open, now, actions);
  }
}

/* An open step is looked at several times within the pause limit, else silence would look like a
 * pause of this process. */
LbTime
lc_rollouts_next_tick (const LcRollouts *rollouts)
{
  LbTime next = LB_TIME_NEVER;

  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    next = lb_time_earlier (next, step->retry_at);
    next = lb_time_earlier (next, step->closed ? step->closed + KEEP_CLOSED + 1
                                               : rollouts->last_seen + TICK);
    if (!step->closed || step->ledger.confirmed != step->ledger.wanted)
      next = lb_time_earlier (next, lc_ledger_due (&step->ledger));
    LB_LIST_FOREACH (&step->pulls, LcWaitingPull, link, pull)
    {
      next = lb_time_earlier (next, pull->wait_until);
    }
  }
  return next;
}

/* Queries. */

bool
lc_rollouts_get_step_status (const LcRollouts *rollouts,
                             const char *subscription,
                             int64_t number,
                             LcStepStatus *status)
{
  const LcStep *step = find_step (rollouts, subscription, number);

  if (!step)
    return false;
  *status = step->status;
  status->delivered = (int64_t)(step->n_in_state[LC_SLOT_SENT] + step->n_in_state[LC_SLOT_ACKED]);
  status->ready = (int64_t)step->n_in_state[LC_SLOT_READY];
  status->running
      = (int64_t)(step->n_in_state[LC_SLOT_RUNNING] + step->n_in_state[LC_SLOT_SCORING]);
  return true;
}

size_t
lc_rollouts_list_unacknowledged (const LcRollouts *rollouts,
                                 const char *subscription,
                                 int64_t number,
                                 LcReadySample **samples)
{
  const LcStep *step = find_step (rollouts, subscription, number);
  size_t n_samples = 0;

  *samples = LB_NEW_ARRAY (LcReadySample, step ? step->n_slots : 0);
  for (size_t i = 0; step && i < step->n_slots; i++)
    {
      const LcSlot *slot = &step->slots[i];
      if (slot->state >= LC_SLOT_SCORING && slot->state != LC_SLOT_ACKED && slot->text)
        (*samples)[n_samples++] = lc_step_delivered (step, slot);
    }
  return n_samples;
}

bool
lc_rollouts_is_scoring (const LcRollouts *rollouts, LcRequestId request)
{
  const LcJob *job = NULL;

  HASH_FIND (hh, rollouts->jobs, &request, sizeof request, job);
  return job && job->scores;
}

/* Requests and pulls that are not answered yet. */
size_t
lc_rollouts_count_in_progress (const LcRollouts *rollouts)
{
  size_t count = HASH_COUNT (rollouts->jobs);

  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    count += step->pulls.length;
  }
  return count;
}

int64_t
lc_rollouts_invariant_failures (const LcRollouts *rollouts)
{
  return rollouts->invariant_failures;
}

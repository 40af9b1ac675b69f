#include "lc-rollouts.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lc-deliver.h"
#include "lc-strict.h"
#include "lc-generate.h"
#include "lc-result.h"
#include "lc-review.h"

#include <stdlib.h>
#include <string.h>

#define MAX_STEP_SAMPLES 65536
/* Ratio of started generations to the engines' total concurrency. The excess is queued, so that no
 * engine idles until its next request arrives. */
#define QUEUE_AHEAD_FACTOR 1.1
#define DEFAULT_MAX_RUNNING 64 /* concurrent generations of a pool without known engines */
/* Time for which a step is kept after all its samples were acknowledged, to answer a late repeat of
 * the step's last pull. */
#define CLOSED_STEP_RETENTION (300 * LB_SEC)
#define DEFAULT_PAUSE_LIMIT LB_SEC
/* Maximum time between ticks while a step is open. Well below the pause limit, so that an idle
 * owner does not look like a paused process. */
#define TICK_INTERVAL (250 * LB_MSEC)

static LbMetric late_metric
    = LB_COUNTER_INIT ("lentilspindle_rollout_late_total",
                       NULL,
                       "Events of requests that had ended, such as the second of a hedged pair");

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
    lc_rollouts_remove_step (rollouts, step, LB_ERROR_DRAINING, &actions);
  }
  free_actions (&actions);
  while ((link = lb_list_pop (&rollouts->pools)))
    free (LB_CONTAINER (link, LcRolloutPool, link));
  while ((link = lb_list_pop (&rollouts->trainers)))
    free (LB_CONTAINER (link, LcTrainer, link));
  lc_deferred_free_release_all (&rollouts->deferred_free);
  gsl_rng_free (rollouts->rng);
  free (rollouts);
}

/* Helpers shared by the source files of LcRollouts. */

LcRolloutAction *
lc_rollouts_add_action (LbList *actions, LcRolloutActionType type)
{
  LcRolloutAction *action = LB_NEW (LcRolloutAction);

  action->type = type;
  lb_list_append (actions, &action->link);
  return action;
}

LcRequestId
lc_rollouts_new_request_id (LcRollouts *rollouts)
{
  return rollouts->next_id ? rollouts->next_id (rollouts->next_id_user) : ++rollouts->last_id;
}

LcTrainer *
lc_rollouts_find_trainer (const LcRollouts *rollouts, const char *subscription)
{
  LB_LIST_FOREACH (&rollouts->trainers, LcTrainer, link, trainer)
  {
    if (strcmp (trainer->subscription.name, subscription) == 0)
      return trainer;
  }
  return NULL;
}

LcRolloutPool *
lc_rollouts_ensure_pool (LcRollouts *rollouts, const char *name)
{
  LB_LIST_FOREACH (&rollouts->pools, LcRolloutPool, link, existing)
  {
    if (strcmp (existing->name, name) == 0)
      return existing;
  }

  LcRolloutPool *pool = LB_NEW (LcRolloutPool);
  LB_COPY (pool->name, name);
  pool->max_running = DEFAULT_MAX_RUNNING;
  lb_list_append (&rollouts->pools, &pool->link);
  return pool;
}

void
lc_rollouts_remove_step (LcRollouts *rollouts, LcStep *step, LbErrorCode error, LbList *actions)
{
  lc_deliver_fail_waiting_pulls (step, error, 0, actions);
  for (size_t i = 0; i < step->n_slots; i++)
    lc_slot_cancel_jobs (rollouts, &step->slots[i], actions);
  lb_list_remove (&rollouts->steps, &step->link);
  lc_step_free (step);
}

static LcStep *
find_step (const LcRollouts *rollouts, const char *subscription, int64_t step_number)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    if (step->spec.step == step_number && strcmp (step->spec.subscription, subscription) == 0)
      return step;
  }
  return NULL;
}

/* Called first by every function that changes an LcRollouts. Frees the memory that actions of the
 * previous call pointed to. If the process was paused since that call, requires a ledger write of
 * each step, which confirms that this instance still owns the step. */
static void
free_deferred_memory_and_detect_pause (LcRollouts *rollouts, LbTime now)
{
  LbTime elapsed = now - rollouts->last_command_at;

  lc_deferred_free_release_all (&rollouts->deferred_free);
  if (rollouts->settings.pause_limit > 0 && elapsed > rollouts->settings.pause_limit)
    LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
    {
      lb_log (LB_LOG_WARNING, "step-owner-was-paused",
              LB_TEXT ("subscription", step->spec.subscription), LB_INT ("step", step->spec.step),
              LB_INT ("paused_ms", elapsed / LB_MSEC));
      lc_deliver_require_session_check (step);
    }
  rollouts->last_command_at = now;
}

/* Called last by each function that may make a sample deliverable or a slot ready to start. */
static void
answer_pulls_and_start_requests (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  lc_deliver_answer_waiting_pulls (rollouts, step, now, actions);
  lc_deliver_add_ledger_write_if_needed (rollouts, step, now, actions);
  lc_generate_start_scorings_and_generations (rollouts, now, actions);
}

/* Functions that configure an LcRollouts. */

void
lc_rollouts_set_request_id_source (LcRollouts *rollouts,
                                   LcRequestId (*next_id) (void *user),
                                   void *user)
{
  rollouts->next_id = next_id;
  rollouts->next_id_user = user;
}

static int64_t
compute_max_running_generations (const LcResourceSet *set, const LcPool *pool)
{
  int64_t concurrency_sum = 0;

  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      const LcEndpointMember *member = &set->endpoints[i];
      if (member->kind == LC_ENDPOINT_ENGINE && !member->leaving
          && strcmp (member->pool, pool->name) == 0)
        concurrency_sum += member->concurrency;
    }
  if (concurrency_sum == 0)
    return DEFAULT_MAX_RUNNING;
  int64_t max_running
      = (int64_t)((double)concurrency_sum * (1 - pool->live_reserve) * QUEUE_AHEAD_FACTOR);
  return max_running > 0 ? max_running : 1;
}

static void
set_trainer_subscription (LcRollouts *rollouts,
                          const LcResourceSet *set,
                          const LcSubscription *subscription)
{
  LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, subscription->name);

  if (!trainer)
    {
      trainer = LB_NEW (LcTrainer);
      lb_list_append (&rollouts->trainers, &trainer->link);
    }
  /* Running generations are counted in the trainer's pool, so the trainer keeps this pool while it
   * has running generations. */
  LbName pool;
  LB_COPY (pool, trainer->n_running > 0 ? trainer->subscription.pool : subscription->pool);
  trainer->subscription = *subscription;
  LB_COPY (trainer->subscription.pool, pool);
  trainer->max_lag = lc_resource_set_max_lag (set, subscription->name);
  trainer->is_configured = true;
  if (trainer->subscription.share <= 0)
    trainer->subscription.share = 1;
}

void
lc_rollouts_configure (LcRollouts *rollouts, const LcResourceSet *set, LbTime now, LbList *actions)
{
  free_deferred_memory_and_detect_pause (rollouts, now);
  LB_LIST_FOREACH (&rollouts->trainers, LcTrainer, link, trainer)
  {
    trainer->is_configured = false;
  }
  for (size_t i = 0; i < set->n_subscriptions; i++)
    set_trainer_subscription (rollouts, set, &set->subscriptions[i]);
  for (size_t i = 0; i < set->n_pools; i++)
    lc_rollouts_ensure_pool (rollouts, set->pools[i].name)->max_running
        = compute_max_running_generations (set, &set->pools[i]);
  lc_generate_start_scorings_and_generations (rollouts, now, actions);
}

void
lc_rollouts_set_newest_pool_version (LcRollouts *rollouts,
                                     const char *pool_name,
                                     LcVersion newest_version,
                                     LbTime version_interval,
                                     LbTime now,
                                     LbList *actions)
{
  LcRolloutPool *pool = lc_rollouts_ensure_pool (rollouts, pool_name);

  free_deferred_memory_and_detect_pause (rollouts, now);
  pool->newest_version = newest_version;
  pool->version_interval = version_interval;
  lc_generate_start_scorings_and_generations (rollouts, now, actions);
}

/* Opening and closing steps. */

static bool
has_unique_group_ids (const LcStepSpec *spec)
{
  for (size_t i = 0; i < spec->n_groups; i++)
    for (size_t j = i + 1; j < spec->n_groups; j++)
      if (strcmp (spec->groups[i].id, spec->groups[j].id) == 0)
        return false;
  return true;
}

static bool
check_step_spec (const LcStepSpec *spec, LbError *error)
{
  int64_t n_samples = 0;

  if (spec->n_groups == 0)
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "groups", "expected at least one group");
  if (spec->step < 0 || spec->trainer_version < 0)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "step",
                         "expected a step and a weight version of 0 or more");
  for (size_t i = 0; i < spec->n_groups; i++)
    {
      if (spec->groups[i].samples < 1 || spec->groups[i].samples > MAX_STEP_SAMPLES)
        return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "groups.samples", "expected 1 to %d",
                             MAX_STEP_SAMPLES);
      if (spec->groups[i].max_tokens < 1)
        return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "groups.max_tokens",
                             "expected 1 or more");
      n_samples += spec->groups[i].samples;
    }
  if (n_samples > MAX_STEP_SAMPLES)
    return lb_error_set (error, LB_ERROR_OUT_OF_RANGE, "groups", "expected at most %d samples",
                         MAX_STEP_SAMPLES);
  if (!has_unique_group_ids (spec))
    return lb_error_set (error, LB_ERROR_BAD_VALUE, "groups.id",
                         "expected unique ids; two groups have the same id");
  return true;
}

bool
lc_rollouts_has_subscription (const LcRollouts *rollouts, const char *subscription)
{
  const LcTrainer *trainer = lc_rollouts_find_trainer (rollouts, subscription);

  return trainer && trainer->is_configured;
}

bool
lc_rollouts_can_open_step (const LcRollouts *rollouts, const LcStepSpec *spec, LbError *error)
{
  if (!lc_rollouts_has_subscription (rollouts, spec->subscription))
    return lb_error_set (error, LB_ERROR_UNKNOWN_SUBSCRIPTION, spec->subscription,
                         "no subscription of this name is declared");
  if (rollouts->draining)
    return lb_error_set (error, LB_ERROR_DRAINING, "", "this instance is shutting down");
  return check_step_spec (spec, error);
}

static bool
check_spec_matches_open_step (const LcStep *step, const LcStepSpec *spec, LbError *error)
{
  if (step->spec_hash == lc_step_spec_hash (spec))
    return true;
  return lb_error_set (error, LB_ERROR_CONFLICT, "step",
                       "the step is already open with different content");
}

bool
lc_rollouts_take_over_step (LcRollouts *rollouts,
                            LcStepSpec *spec,
                            const LcStepHandover *handover,
                            LbTime now,
                            LbList *actions,
                            LbError *error)
{
  LcStep *step = find_step (rollouts, spec->subscription, spec->step);

  free_deferred_memory_and_detect_pause (rollouts, now);
  if (step)
    return check_spec_matches_open_step (step, spec, error);
  if (!lc_rollouts_can_open_step (rollouts, spec, error))
    return false;
  step = lc_step_new (spec, handover->session, &rollouts->deferred_free, now);
  bool ok = lc_strict_restore_ledger (step, handover->ledger_cursor, error);
  if (ok)
    {
      for (size_t i = 0; i < handover->n_samples; i++)
        lc_result_restore_sample (rollouts, step, &handover->samples[i]);
      lb_list_append (&rollouts->steps, &step->link);
      lb_log (LB_LOG_INFO, "step-opened", LB_TEXT ("subscription", step->spec.subscription),
              LB_INT ("step", step->spec.step), LB_INT ("session", handover->session),
              LB_INT ("slots", step->n_slots),
              LB_INT ("acknowledged", step->n_in_state[LC_SLOT_ACKED]));
      lc_generate_start_scorings_and_generations (rollouts, now, actions);
    }
  else
    lc_step_free (step);
  return ok;
}

bool
lc_rollouts_recover_step_from_ledger (LcRollouts *rollouts,
                                      LcStepSpec *spec,
                                      uint64_t session,
                                      const char *ledger_cursor,
                                      LbTime now,
                                      LbList *actions,
                                      LbError *error)
{
  const LcStepHandover handover = { .session = session, .ledger_cursor = ledger_cursor };

  return lc_rollouts_take_over_step (rollouts, spec, &handover, now, actions, error);
}

bool
lc_rollouts_open_step (LcRollouts *rollouts,
                       LcStepSpec *spec,
                       uint64_t session,
                       LbTime now,
                       LbList *actions,
                       LbError *error)
{
  return lc_rollouts_recover_step_from_ledger (rollouts, spec, session, "", now, actions, error);
}

void
lc_rollouts_abort_step (LcRollouts *rollouts,
                        const char *subscription,
                        int64_t step_number,
                        LbTime now,
                        LbList *actions)
{
  LcStep *step = find_step (rollouts, subscription, step_number);

  free_deferred_memory_and_detect_pause (rollouts, now);
  if (!step)
    return;
  lb_log (LB_LOG_WARNING, "step-lost", LB_TEXT ("subscription", subscription),
          LB_INT ("step", step_number), LB_INT ("session", step->session));
  lc_rollouts_remove_step (rollouts, step, LB_ERROR_STALE_SESSION, actions);
  lc_generate_start_scorings_and_generations (rollouts, now, actions);
}

/* Receiving and cancelling pulls. */

void
lc_rollouts_accept_pull (LcRollouts *rollouts, const LcPull *pull, LbTime now, LbList *actions)
{
  LcStep *step = find_step (rollouts, pull->subscription, pull->step);

  free_deferred_memory_and_detect_pause (rollouts, now);
  if (!step)
    {
      LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);
      action->pull_id = pull->id;
      lb_error_set (&action->error, LB_ERROR_UNKNOWN_STEP, "step",
                    "the step is not open on this instance");
      return;
    }
  if (lc_deliver_accept_pull (rollouts, step, pull, now, actions))
    answer_pulls_and_start_requests (rollouts, step, now, actions);
  else
    lc_generate_start_scorings_and_generations (rollouts, now, actions);
}

void
lc_rollouts_cancel_pull (LcRollouts *rollouts, uint64_t pull_id)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    LB_LIST_FOREACH (&step->waiting_pulls, LcWaitingPull, link, pull)
    {
      if (pull->id != pull_id)
        continue;
      lb_list_remove (&step->waiting_pulls, &pull->link);
      free (pull);
    }
  }
}

/* Processing the results of requests. */

static LcJob *
find_job_of_request (LcRollouts *rollouts, LcRequestId request)
{
  LcJob *job = NULL;

  HASH_FIND (hh, rollouts->jobs, &request, sizeof request, job);
  if (!job)
    lb_metric_add (&late_metric, 1);
  return job;
}

void
lc_rollouts_add_generated_piece (LcRollouts *rollouts,
                                 LcRequestId request,
                                 const LcPiece *piece,
                                 const char *endpoint,
                                 LbTime now,
                                 LbList *actions)
{
  LcJob *job = find_job_of_request (rollouts, request);

  free_deferred_memory_and_detect_pause (rollouts, now);
  if (!job || job->is_scoring)
    return;
  lc_result_add_generated_piece (rollouts, job, piece, endpoint, now, actions);
  if (!lb_list_is_empty (actions))
    lc_generate_start_scorings_and_generations (rollouts, now, actions);
}

void
lc_rollouts_finish_generation (LcRollouts *rollouts,
                               LcRequestId request,
                               LbErrorCode error,
                               char *text,
                               LbTime now,
                               LbList *actions)
{
  LcJob *job = find_job_of_request (rollouts, request);

  free_deferred_memory_and_detect_pause (rollouts, now);
  if (!job || job->is_scoring)
    {
      free (text);
      return;
    }
  LcStep *step = job->step;
  lc_result_finish_generation (rollouts, job, error, text, now, actions);
  answer_pulls_and_start_requests (rollouts, step, now, actions);
  lc_review_migrate_or_hedge_stragglers (rollouts, step, now, actions);
}

void
lc_rollouts_finish_scoring (LcRollouts *rollouts,
                            LcRequestId request,
                            LbErrorCode error,
                            double score,
                            LbTime now,
                            LbList *actions)
{
  LcJob *job = find_job_of_request (rollouts, request);

  free_deferred_memory_and_detect_pause (rollouts, now);
  if (!job || !job->is_scoring)
    return;
  LcStep *step = job->step;
  lc_result_finish_scoring (rollouts, job, error, score, now);
  answer_pulls_and_start_requests (rollouts, step, now, actions);
}

static LcStep *
find_step_of_ledger_write (const LcRollouts *rollouts, uint64_t write_id)
{
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    if (step->ledger.write_id == write_id)
      return step;
  }
  return NULL;
}

void
lc_rollouts_finish_ledger_write (
    LcRollouts *rollouts, uint64_t write_id, LbErrorCode error, LbTime now, LbList *actions)
{
  LcStep *step = find_step_of_ledger_write (rollouts, write_id);

  free_deferred_memory_and_detect_pause (rollouts, now);
  if (!step)
    return;
  /* These errors mean that another instance has taken over the step and may deliver the samples
   * that this instance still has, so this instance drops the step. */
  if (error == LB_ERROR_CONDITION_FAILED || error == LB_ERROR_STALE_SESSION)
    {
      lc_rollouts_abort_step (rollouts, step->spec.subscription, step->spec.step, now, actions);
      return;
    }
  lc_ledger_end_write (&step->ledger, error, gsl_rng_uniform (rollouts->rng), now);
  answer_pulls_and_start_requests (rollouts, step, now, actions);
}

/* Draining and periodic work. */

void
lc_rollouts_drain (LcRollouts *rollouts, LbTime now, LbList *actions)
{
  LcJob *job, *next;

  free_deferred_memory_and_detect_pause (rollouts, now);
  rollouts->draining = true;
  /* Generations without a first piece might never get an engine, so the drain doesn't wait for
   * them. The step's next owner starts them again. */
  HASH_ITER (hh, rollouts->jobs, job, next)
  {
    LcSlot *slot = lc_job_find_slot (job);
    if (job->is_scoring || job->first_piece_at != 0)
      continue;
    LcStep *step = job->step;
    lc_job_cancel (rollouts, job, actions);
    if (lb_list_is_empty (&slot->jobs))
      lc_step_reset_slot (step, slot);
  }
}

static bool
is_closed_step_expired (const LcStep *step, LbTime now)
{
  return step->closed_at && now - step->closed_at > CLOSED_STEP_RETENTION && !step->ledger.write_id
         && lb_list_is_empty (&step->waiting_pulls);
}

void
lc_rollouts_tick (LcRollouts *rollouts, LbTime now, LbList *actions)
{
  free_deferred_memory_and_detect_pause (rollouts, now);
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    if (is_closed_step_expired (step, now))
      {
        lc_rollouts_remove_step (rollouts, step, LB_ERROR_UNKNOWN_STEP, actions);
        continue;
      }
    if (step->retry_at <= now)
      step->retry_at = LB_TIME_NEVER;
    lc_deliver_answer_waiting_pulls (rollouts, step, now, actions);
    lc_deliver_add_ledger_write_if_needed (rollouts, step, now, actions);
  }
  lc_generate_start_scorings_and_generations (rollouts, now, actions);
  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, open_step)
  {
    lc_review_migrate_or_hedge_stragglers (rollouts, open_step, now, actions);
  }
}

LbTime
lc_rollouts_next_tick_at (const LcRollouts *rollouts)
{
  LbTime next = LB_TIME_NEVER;

  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    next = lb_time_earlier (next, step->retry_at);
    next = lb_time_earlier (next, step->closed_at ? step->closed_at + CLOSED_STEP_RETENTION + 1
                                                  : rollouts->last_command_at + TICK_INTERVAL);
    if (!step->closed_at || step->ledger.stored_change != step->ledger.latest_change)
      next = lb_time_earlier (next, lc_ledger_next_write_at (&step->ledger));
    LB_LIST_FOREACH (&step->waiting_pulls, LcWaitingPull, link, pull)
    {
      next = lb_time_earlier (next, pull->wait_until);
    }
  }
  return next;
}

/* Functions that only read an LcRollouts. */

bool
lc_rollouts_get_step_status (const LcRollouts *rollouts,
                             const char *subscription,
                             int64_t step_number,
                             LcStepStatus *status)
{
  const LcStep *step = find_step (rollouts, subscription, step_number);

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
lc_rollouts_list_unacknowledged_samples (const LcRollouts *rollouts,
                                         const char *subscription,
                                         int64_t step_number,
                                         LcReadySample **samples)
{
  const LcStep *step = find_step (rollouts, subscription, step_number);
  size_t n_samples = 0;

  *samples = LB_NEW_ARRAY (LcReadySample, step ? step->n_slots : 0);
  for (size_t i = 0; step && i < step->n_slots; i++)
    {
      const LcSlot *slot = &step->slots[i];
      if (slot->state >= LC_SLOT_SCORING && slot->state != LC_SLOT_ACKED && slot->text)
        (*samples)[n_samples++] = lc_step_make_ready_sample (step, slot);
    }
  return n_samples;
}

bool
lc_rollouts_is_scoring_request (const LcRollouts *rollouts, LcRequestId request)
{
  const LcJob *job = NULL;

  HASH_FIND (hh, rollouts->jobs, &request, sizeof request, job);
  return job && job->is_scoring;
}

size_t
lc_rollouts_count_requests_and_waiting_pulls (const LcRollouts *rollouts)
{
  size_t count = HASH_COUNT (rollouts->jobs);

  LB_LIST_FOREACH (&rollouts->steps, LcStep, link, step)
  {
    count += step->waiting_pulls.length;
  }
  return count;
}

int64_t
lc_rollouts_count_invariant_failures (const LcRollouts *rollouts)
{
  return rollouts->invariant_failures;
}

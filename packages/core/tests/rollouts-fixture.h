#ifndef ROLLOUTS_FIXTURE_H
#define ROLLOUTS_FIXTURE_H

#include "lb-alloc.h"
#include "lc-rollouts.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OWNER_MAX_REQUESTS 512

/* The LcRollouts under test, as in the instance that owns a trainer's step. The fixture replaces
 * the dispatcher, the trainer and the store: it records requests and replies, and stores writes of
 * the ledger row (the samples that were delivered) unless a fault is set. */
typedef struct
{
  LcRollouts *rollouts;
  LbTime now;
  LcRequestSpec
      requests[OWNER_MAX_REQUESTS]; /* in order of start; id is 0 after the request ended */
  char *resume_texts[OWNER_MAX_REQUESTS];
  size_t n_requests;
  size_t n_scores;
  LcRequestId last_cancelled;
  LcRequestId last_preempted;
  size_t n_cancelled;
  LbErrorCode ledger_error;    /* error that the next ledger writes return; LB_OK: none */
  bool ledger_is_unresponsive; /* true: ledger writes get no result */
  char *ledger_row;
  int n_ledger_writes;
  uint64_t last_write_id;
  LcReadySample *handed_over; /* completed samples that the previous owner of the step passed on */
  size_t n_handed_over;
  size_t n_replies;    /* number of replies to pulls */
  int64_t n_delivered; /* number of samples in all replies */
  /* contents of the last reply */
  LbErrorCode reply_error;
  char *cursor;
  int64_t chunk_id;
  int64_t remaining;
  size_t n_samples;
  char samples[OWNER_MAX_REQUESTS][64]; /* each sample as "group/index text" */
  LcLabel labels[OWNER_MAX_REQUESTS];
} Owner;

static inline void owner_execute_actions (Owner *owner, LbList *actions);

static inline void
owner_record_pull_reply (Owner *owner, const LcRolloutAction *action)
{
  owner->n_replies++;
  owner->reply_error = action->error.code;
  owner->n_samples = action->n_samples;
  owner->n_delivered += (int64_t)action->n_samples;
  owner->remaining = action->remaining;
  free (owner->cursor);
  owner->cursor = lb_strdup (action->cursor ? action->cursor : "");
  owner->chunk_id = action->chunk_id;
  for (size_t i = 0; i < action->n_samples; i++)
    {
      const LcReadySample *sample = &action->samples[i];
      snprintf (owner->samples[i], sizeof owner->samples[i], "%s/%d %s", sample->group,
                (int)sample->index, sample->text);
      owner->labels[i] = *sample->label;
    }
}

static inline void
owner_execute_ledger_write (Owner *owner, const LcRolloutAction *action)
{
  LbList next_actions;

  owner->last_write_id = action->write_id;
  owner->n_ledger_writes++;
  if (owner->ledger_is_unresponsive)
    return;
  if (owner->ledger_error == LB_OK)
    {
      free (owner->ledger_row);
      owner->ledger_row = lb_strdup (action->row_value);
    }
  lb_list_init (&next_actions);
  lc_rollouts_finish_ledger_write (owner->rollouts, action->write_id, owner->ledger_error,
                                   owner->now, &next_actions);
  owner_execute_actions (owner, &next_actions);
}

static inline void
owner_record_cancelled_request (Owner *owner, LcRequestId request)
{
  owner->last_cancelled = request;
  owner->n_cancelled++;
  for (size_t i = 0; i < owner->n_requests; i++)
    if (owner->requests[i].id == request)
      owner->requests[i].id = 0;
}

static inline void
owner_execute_actions (Owner *owner, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcRolloutAction *action = LB_CONTAINER (link, LcRolloutAction, link);
      if (action->type == LC_ROLLOUT_GENERATE || action->type == LC_ROLLOUT_SCORE)
        {
          owner->resume_texts[owner->n_requests]
              = action->resume_text ? lb_strdup (action->resume_text) : NULL;
          owner->requests[owner->n_requests++] = action->spec;
          owner->n_scores += action->type == LC_ROLLOUT_SCORE;
        }
      else if (action->type == LC_ROLLOUT_CANCEL)
        owner_record_cancelled_request (owner, action->spec.id);
      else if (action->type == LC_ROLLOUT_PREEMPT)
        owner->last_preempted = action->spec.id;
      else if (action->type == LC_ROLLOUT_WRITE_LEDGER)
        owner_execute_ledger_write (owner, action);
      else
        owner_record_pull_reply (owner, action);
      lc_rollout_action_free (action);
    }
}

/* Calls an LcRollouts function with the local list `actions` as an argument, then executes
 * the actions that the function has appended to this list. */
#define OWNER_EXECUTE_ACTIONS_OF(owner, call)                                                      \
  do                                                                                               \
    {                                                                                              \
      LbList actions;                                                                              \
      lb_list_init (&actions);                                                                     \
      call;                                                                                        \
      owner_execute_actions ((owner), &actions);                                                   \
    }                                                                                              \
  while (0)

static inline void
owner_apply_configuration (Owner *owner, const LcSubscription *subscription, int64_t max_lag)
{
  LcPool pool = { .name = "reader" };
  LcVersionBound bound = { .name = "fresh", .max_lag = max_lag };
  LcEndpointMember engines[2] = { { .name = "e1", .pool = "reader", .concurrency = 200 },
                                  { .name = "e2", .pool = "reader", .concurrency = 200 } };
  LcSubscription own_subscription = *subscription;
  LcResourceSet set = { .pools = &pool,
                        .n_pools = 1,
                        .subscriptions = &own_subscription,
                        .n_subscriptions = 1,
                        .bounds = &bound,
                        .n_bounds = 1,
                        .endpoints = engines,
                        .n_endpoints = 2 };

  LB_COPY (own_subscription.name, "t");
  LB_COPY (own_subscription.pool, "reader");
  LB_COPY (bound.subscription, "t");
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_configure (owner->rollouts, &set, owner->now, &actions));
}

static inline Owner *
owner_new_with_rollout_settings (const LcRolloutSettings *base_settings,
                                 const LcSubscription *subscription,
                                 int64_t max_lag)
{
  Owner *owner = LB_NEW (Owner);
  LcRolloutSettings settings = *base_settings;

  settings.seed = 7;
  owner->now = LB_SEC;
  owner->ledger_row = lb_strdup ("");
  owner->cursor = lb_strdup ("");
  owner->rollouts = lc_rollouts_new (&settings);
  owner_apply_configuration (owner, subscription, max_lag);
  return owner;
}

static inline Owner *
owner_new (const LcSubscription *subscription, int64_t max_lag)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();

  return owner_new_with_rollout_settings (&settings, subscription, max_lag);
}

static inline void
owner_free (Owner *owner)
{
  lc_rollouts_free (owner->rollouts);
  for (size_t i = 0; i < owner->n_requests; i++)
    free (owner->resume_texts[i]);
  free (owner->ledger_row);
  free (owner->cursor);
  free (owner);
}

/* Opens step 1 at trainer version 40 with groups g0, g1, ... */
static inline void
owner_open_step (Owner *owner, size_t n_groups, int64_t samples, uint64_t session)
{
  LcStepSpec spec = { .step = 1, .trainer_version = 40, .n_groups = n_groups };
  LcStepHandover handover = { .session = session,
                              .ledger_cursor = owner->ledger_row,
                              .samples = owner->handed_over,
                              .n_samples = owner->n_handed_over };
  LbError error;
  bool ok = false;

  LB_COPY (spec.subscription, "t");
  spec.groups = LB_NEW_ARRAY (LcGroupSpec, n_groups);
  for (size_t i = 0; i < n_groups; i++)
    {
      snprintf (spec.groups[i].id, sizeof spec.groups[i].id, "g%d", (int)i);
      spec.groups[i].prompt = lb_strdup ("read this envelope");
      spec.groups[i].samples = samples;
      spec.groups[i].max_tokens = 1000;
    }
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            ok = lc_rollouts_take_over_step (owner->rollouts, &spec, &handover,
                                                             owner->now, &actions, &error));
  cr_assert (ok, "expected the step to open; %s: %s", error.where, error.detail);
}

static inline void
owner_receive_generated_piece (
    Owner *owner, LcRequestId request, int64_t offset, int64_t tokens, LcVersion version)
{
  LcPiece piece = { .offset = offset, .tokens = tokens, .version = version };

  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_add_generated_piece (owner->rollouts, request, &piece, "e1",
                                                             owner->now, &actions));
}

static inline void
owner_finish_generation (Owner *owner, LcRequestId request, LbErrorCode error, const char *text)
{
  char *copy = text ? lb_strdup (text) : NULL;

  owner_record_cancelled_request (owner, request);
  owner->n_cancelled--;
  OWNER_EXECUTE_ACTIONS_OF (owner, lc_rollouts_finish_generation (owner->rollouts, request, error,
                                                                  copy, owner->now, &actions));
}

/* Finishes all running generations with tokens of one version. Generations that start as a result
 * keep running. */
static inline void
owner_finish_all_generations (Owner *owner, LcVersion version)
{
  size_t n_requests = owner->n_requests;

  for (size_t i = 0; i < n_requests; i++)
    {
      LcRequestSpec *spec = &owner->requests[i];
      if (spec->id == 0 || spec->kind != LC_KIND_SAMPLE)
        continue;
      LcRequestId id = spec->id;
      owner_receive_generated_piece (owner, id, spec->resume_at, 10, version);
      owner_finish_generation (owner, id, LB_OK, "text");
    }
}

static inline void
owner_start_pull (
    Owner *owner, uint64_t id, const char *cursor, LcVersion version, LbTime wait_time)
{
  char *copy = lb_strdup (cursor);
  LcPull pull = { .id = id,
                  .step = 1,
                  .cursor = copy,
                  .trainer_version = version,
                  .max_samples = 64,
                  .wait_until = owner->now + wait_time };

  LB_COPY (pull.subscription, "t");
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_accept_pull (owner->rollouts, &pull, owner->now, &actions));
  free (copy);
}

static inline void
owner_pull_without_waiting (Owner *owner, const char *cursor, LcVersion version)
{
  owner_start_pull (owner, 1, cursor, version, 0);
}

/* Pulls from a strict subscription, naming the last chunk that the trainer has. */
static inline void
owner_pull_after_chunk (Owner *owner, int64_t received_chunk_id, LbTime wait_time)
{
  LcPull pull = { .id = 1,
                  .step = 1,
                  .cursor = "",
                  .names_chunk = true,
                  .received_chunk_id = received_chunk_id,
                  .trainer_version = 40,
                  .max_samples = 64,
                  .wait_until = owner->now + wait_time };

  LB_COPY (pull.subscription, "t");
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_accept_pull (owner->rollouts, &pull, owner->now, &actions));
}

/* Advances the time in steps of 100 ms and ticks the owner after each, as in a process that is
 * never paused. */
static inline void
owner_advance_time_with_ticks (Owner *owner, LbTime duration)
{
  for (LbTime until = owner->now + duration; owner->now < until;)
    {
      owner->now += 100 * LB_MSEC;
      OWNER_EXECUTE_ACTIONS_OF (owner, lc_rollouts_tick (owner->rollouts, owner->now, &actions));
    }
}

static inline size_t
owner_count_running_requests (const Owner *owner)
{
  size_t n_running = 0;

  for (size_t i = 0; i < owner->n_requests; i++)
    n_running += owner->requests[i].id != 0;
  return n_running;
}

static inline LcStepStatus
owner_get_step_status (const Owner *owner)
{
  LcStepStatus status = { 0 };

  lc_rollouts_get_step_status (owner->rollouts, "t", 1, &status);
  return status;
}

#endif

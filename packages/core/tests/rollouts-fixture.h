#ifndef ROLLOUTS_FIXTURE_H
#define ROLLOUTS_FIXTURE_H

#include "lb-alloc.h"
#include "lc-rollouts.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_REQUESTS 512

/* One owner under test with everything around it played by the test: requests that it started,
 * replies to pulls, and a ledger that works unless told otherwise. */
typedef struct
{
  LcRollouts *rollouts;
  LbTime now;
  LcRequestSpec requests[MAX_REQUESTS]; /* running, in the order of their start; id 0: over */
  char *resume_texts[MAX_REQUESTS];
  size_t n_requests;
  size_t n_scores;
  LcRequestId last_abandoned;
  LcRequestId last_recalled;
  size_t n_abandoned;
  LbErrorCode ledger_error; /* what ledger writes come to */
  bool ledger_silent;       /* writes get no answer */
  char *ledger;             /* the row */
  int n_writes;
  uint64_t write;      /* the last write */
  LcReadySample *left; /* samples that an earlier owner left */
  size_t n_left;
  /* the last reply */
  size_t n_replies;
  int64_t n_given; /* samples of all replies */
  LbErrorCode reply_error;
  char *cursor;
  int64_t remaining;
  size_t n_samples;
  char samples[MAX_REQUESTS][64]; /* "group/index text" */
  LcLabel labels[MAX_REQUESTS];
} Owner;

static inline void owner_take (Owner *owner, LbList *actions);

static inline void
owner_take_reply (Owner *owner, const LcRolloutAction *action)
{
  owner->n_replies++;
  owner->reply_error = action->error.code;
  owner->n_samples = action->n_samples;
  owner->n_given += (int64_t)action->n_samples;
  owner->remaining = action->remaining;
  free (owner->cursor);
  owner->cursor = lb_strdup (action->cursor ? action->cursor : "");
  for (size_t i = 0; i < action->n_samples; i++)
    {
      const LcReadySample *sample = &action->samples[i];
      snprintf (owner->samples[i], sizeof owner->samples[i], "%s/%d %s", sample->group,
                (int)sample->index, sample->text);
      owner->labels[i] = *sample->label;
    }
}

static inline void
owner_take_ledger (Owner *owner, const LcRolloutAction *action)
{
  LbList more;

  owner->write = action->write_id;
  owner->n_writes++;
  if (owner->ledger_silent)
    return;
  if (owner->ledger_error == LB_OK)
    {
      free (owner->ledger);
      owner->ledger = lb_strdup (action->row_value);
    }
  lb_list_init (&more);
  lc_rollouts_finish_ledger_write (owner->rollouts, action->write_id, owner->ledger_error,
                                   owner->now, &more);
  owner_take (owner, &more);
}

static inline void
owner_take_abandon (Owner *owner, LcRequestId request)
{
  owner->last_abandoned = request;
  owner->n_abandoned++;
  for (size_t i = 0; i < owner->n_requests; i++)
    if (owner->requests[i].id == request)
      owner->requests[i].id = 0;
}

static inline void
owner_take (Owner *owner, LbList *actions)
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
        owner_take_abandon (owner, action->spec.id);
      else if (action->type == LC_ROLLOUT_PREEMPT)
        owner->last_recalled = action->spec.id;
      else if (action->type == LC_ROLLOUT_WRITE_LEDGER)
        owner_take_ledger (owner, action);
      else
        owner_take_reply (owner, action);
      lc_rollout_action_free (action);
    }
}

#define OWNER_DO(owner, call)                                                                      \
  do                                                                                               \
    {                                                                                              \
      LbList actions;                                                                              \
      lb_list_init (&actions);                                                                     \
      call;                                                                                        \
      owner_take ((owner), &actions);                                                              \
    }                                                                                              \
  while (0)

static inline void
owner_configure (Owner *owner, const LcSubscription *subscription, int64_t max_lag)
{
  LcPool pool = { .name = "reader" };
  LcVersionBound bound = { .name = "fresh", .max_lag = max_lag };
  LcEndpointMember engines[2] = { { .name = "e1", .pool = "reader", .concurrency = 200 },
                                  { .name = "e2", .pool = "reader", .concurrency = 200 } };
  LcSubscription resource = *subscription;
  LcResourceSet set = { .pools = &pool,
                        .n_pools = 1,
                        .subscriptions = &resource,
                        .n_subscriptions = 1,
                        .bounds = &bound,
                        .n_bounds = 1,
                        .endpoints = engines,
                        .n_endpoints = 2 };

  LB_COPY (resource.name, "t");
  LB_COPY (resource.pool, "reader");
  LB_COPY (bound.subscription, "t");
  OWNER_DO (owner, lc_rollouts_configure (owner->rollouts, &set, owner->now, &actions));
}

static inline Owner *
owner_new_with (const LcRolloutSettings *chosen,
                const LcSubscription *subscription,
                int64_t max_lag)
{
  Owner *owner = LB_NEW (Owner);
  LcRolloutSettings settings = *chosen;

  settings.seed = 7;
  owner->now = LB_SEC;
  owner->ledger = lb_strdup ("");
  owner->cursor = lb_strdup ("");
  owner->rollouts = lc_rollouts_new (&settings);
  owner_configure (owner, subscription, max_lag);
  return owner;
}

static inline Owner *
owner_new (const LcSubscription *subscription, int64_t max_lag)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();

  return owner_new_with (&settings, subscription, max_lag);
}

static inline void
owner_free (Owner *owner)
{
  lc_rollouts_free (owner->rollouts);
  for (size_t i = 0; i < owner->n_requests; i++)
    free (owner->resume_texts[i]);
  free (owner->ledger);
  free (owner->cursor);
  free (owner);
}

/* Step 1 at version 40: groups g0, g1, ... */
static inline void
owner_open (Owner *owner, size_t n_groups, int64_t samples, uint64_t session)
{
  LcStepSpec spec = { .step = 1, .trainer_version = 40, .n_groups = n_groups };
  LcStepHandover recovery = { .session = session,
                              .ledger_cursor = owner->ledger,
                              .samples = owner->left,
                              .n_samples = owner->n_left };
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
  OWNER_DO (owner, ok = lc_rollouts_take_over_step (owner->rollouts, &spec, &recovery, owner->now,
                                                    &actions, &error));
  cr_assert (ok, "%s: %s", error.where, error.detail);
}

static inline void
owner_piece (Owner *owner, LcRequestId request, int64_t offset, int64_t tokens, LcVersion version)
{
  LcPiece piece = { .offset = offset, .tokens = tokens, .version = version };

  OWNER_DO (owner,
            lc_rollouts_add_piece (owner->rollouts, request, &piece, "e1", owner->now, &actions));
}

static inline void
owner_finish (Owner *owner, LcRequestId request, LbErrorCode error, const char *text)
{
  char *copy = text ? lb_strdup (text) : NULL;

  owner_take_abandon (owner, request);
  owner->n_abandoned--;
  OWNER_DO (owner, lc_rollouts_finish_generation (owner->rollouts, request, error, copy, owner->now,
                                                  &actions));
}

/* Whole answers for all requests that run now, made by one version; later starts stay running. */
static inline void
owner_finish_all (Owner *owner, LcVersion version)
{
  size_t n_requests = owner->n_requests;

  for (size_t i = 0; i < n_requests; i++)
    {
      LcRequestSpec *spec = &owner->requests[i];
      if (spec->id == 0 || spec->kind != LC_KIND_SAMPLE)
        continue;
      LcRequestId id = spec->id;
      owner_piece (owner, id, spec->resume_at, 10, version);
      owner_finish (owner, id, LB_OK, "text");
    }
}

static inline void
owner_pull_id (Owner *owner, uint64_t id, const char *cursor, LcVersion version, LbTime wait)
{
  char *copy = lb_strdup (cursor);
  LcPull pull = { .id = id,
                  .step = 1,
                  .cursor = copy,
                  .trainer_version = version,
                  .max_samples = 64,
                  .wait_until = owner->now + wait };

  LB_COPY (pull.subscription, "t");
  OWNER_DO (owner, lc_rollouts_pull (owner->rollouts, &pull, owner->now, &actions));
  free (copy);
}

static inline void
owner_pull (Owner *owner, const char *cursor, LcVersion version)
{
  owner_pull_id (owner, 1, cursor, version, 0);
}

/* Goes on in time as a living process does, ticking on the way. */
static inline void
owner_wait (Owner *owner, LbTime time)
{
  for (LbTime until = owner->now + time; owner->now < until;)
    {
      owner->now += 100 * LB_MSEC;
      OWNER_DO (owner, lc_rollouts_tick (owner->rollouts, owner->now, &actions));
    }
}

static inline size_t
owner_running (const Owner *owner)
{
  size_t running = 0;

  for (size_t i = 0; i < owner->n_requests; i++)
    running += owner->requests[i].id != 0;
  return running;
}

static inline LcStepStatus
owner_status (const Owner *owner)
{
  LcStepStatus status = { 0 };

  lc_rollouts_get_step_status (owner->rollouts, "t", 1, &status);
  return status;
}

#endif

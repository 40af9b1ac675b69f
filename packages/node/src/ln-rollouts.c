#include "ln-context.h"

#include "ln-messages.h"
#include "ln-step-call.h"
#include "ln-step-claim.h"
#include "ln-step-relay.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER (500 * LB_MSEC)
#define MOST_ROUNDS 3
/* How often a step that was opened while the store was away is written to it. */
#define CLAIM_INTERVAL LB_SEC

/* A step that this instance works on, or looks for the owner of. */
typedef struct
{
  LbLink link;
  LnStepKey key;
  LnStepOwner owner;
  bool open;     /* in the core; else the owner is being looked up */
  bool durable;  /* its row is known to be in the table */
  bool claiming; /* an ask is in progress */
  char *content; /* while not durable, and for an open that waits */
  LbTime claim_at;
  LbList calls; /* LnStepCall that wait for the owner to be known */
} LnHeldStep;

/* Trainers' steps: owns the core of them and carries its actions out. */
typedef struct
{
  LnTask task; /* first */
  LnContext *context;
  LcRollouts *core;
  LnStepStore *store;
  LcResourceSet *set;
  LnMember *members;
  size_t n_members;
  struct event *tick;
  LbList held;  /* LnHeldStep */
  LbList calls; /* LnStepCall that wait in the core or for a relay */
  size_t asks;  /* in progress */
  bool draining;
} LnRollouts;

typedef struct
{
  LnRollouts *rollouts;
  LnStepKey key;
} Ask;

typedef struct
{
  LnRollouts *rollouts;
  LnStepKey key;
  uint64_t session;
  uint64_t write;
} LedgerWrite;

static void run_actions (LnRollouts *rollouts, LbList *actions);
static void resolve (LnRollouts *rollouts, LnStepCall *call);

static bool
is_key (const LnStepKey *a, const LnStepKey *b)
{
  return a->step == b->step && strcmp (a->subscription, b->subscription) == 0;
}

static LnHeldStep *
find_held (LnRollouts *rollouts, const LnStepKey *key)
{
  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    if (is_key (&held->key, key))
      return held;
  }
  return NULL;
}

static LnHeldStep *
held_new (LnRollouts *rollouts, const LnStepKey *key)
{
  LnHeldStep *held = LB_NEW (LnHeldStep);

  held->key = *key;
  lb_list_init (&held->calls);
  lb_list_append (&rollouts->held, &held->link);
  return held;
}

static void
held_free (LnRollouts *rollouts, LnHeldStep *held)
{
  lb_list_remove (&rollouts->held, &held->link);
  free (held->content);
  free (held);
}

/* Forgets steps that the core has closed or lost. */
static void
drop_closed (LnRollouts *rollouts)
{
  LcStepStatus status;

  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    if (held->open && !held->claiming
        && !lc_rollouts_status (rollouts->core, held->key.subscription, held->key.step, &status))
      held_free (rollouts, held);
  }
}

/* Calls. */

static void
end_call (LnRollouts *rollouts, LnStepCall *call)
{
  ln_step_relay_cancel (call);
  if (lb_link_is_linked (&call->link))
    lb_list_remove (&rollouts->calls, &call->link);
  ln_step_call_free (call);
}

static void
fail_call (LnRollouts *rollouts, LnStepCall *call, LbErrorCode code, const char *detail)
{
  LbError error;

  lb_error_set (&error, code, call->key.subscription, "%s", detail);
  ln_step_call_reply_error (call, &error, RETRY_AFTER);
  end_call (rollouts, call);
}

static LnStepCall *
find_call (LbList *calls, uint64_t id)
{
  LB_LIST_FOREACH (calls, LnStepCall, link, call)
  {
    if (call->id == id)
      return call;
  }
  return NULL;
}

static void
open_here (LnRollouts *rollouts, LnStepCall *call, const LnHeldStep *held)
{
  LcStepSpec spec;
  LcStepStatus status = { 0 };
  LbError error = { .code = LB_OK };
  size_t length;
  const char *body = ln_exchange_body (call->exchange, &length);
  LbList actions;

  lb_list_init (&actions);
  bool ok = ln_step_spec_read (&spec, call->key.subscription, body, length, &error)
            && lc_rollouts_open (rollouts->core, &spec, held->owner.session, lb_clock_monotonic (),
                                 &actions, &error);
  lc_step_spec_clear (&spec);
  lc_rollouts_status (rollouts->core, call->key.subscription, call->key.step, &status);
  if (ok)
    ln_step_call_reply_open (call, status.slots, held->owner.session, held->durable);
  else
    ln_step_call_reply_error (call, &error, 0);
  end_call (rollouts, call);
  run_actions (rollouts, &actions);
}

static void
pull_here (LnRollouts *rollouts, LnStepCall *call)
{
  LbList actions;

  lb_list_init (&actions);
  lb_list_append (&rollouts->calls, &call->link);
  lc_rollouts_pull (rollouts->core, &call->pull, lb_clock_monotonic (), &actions);
  run_actions (rollouts, &actions);
}

static void
status_here (LnRollouts *rollouts, LnStepCall *call, const LnHeldStep *held)
{
  LcStepStatus status;

  if (lc_rollouts_status (rollouts->core, call->key.subscription, call->key.step, &status))
    {
      ln_step_call_reply_status (call, &status, held->owner.session);
      end_call (rollouts, call);
    }
  else
    fail_call (rollouts, call, LB_ERROR_UNKNOWN_STEP, "this step was closed");
}

static void
serve_here (LnRollouts *rollouts, LnStepCall *call, const LnHeldStep *held)
{
  switch (call->type)
    {
    case LN_STEP_OPEN:
      open_here (rollouts, call, held);
      break;
    case LN_STEP_PULL:
      pull_here (rollouts, call);
      break;
    case LN_STEP_STATUS:
      status_here (rollouts, call, held);
      break;
    }
}

/* Who lives. */

/* An instance that is not in the view, or there as another incarnation, is gone. Should the view be
 * wrong, two owners work for a while and the session in rows and cursors lets one of them count. */
static bool
is_alive (const LnRollouts *rollouts, const LnStepOwner *owner)
{
  for (size_t i = 0; i < rollouts->n_members; i++)
    {
      const LnMember *member = &rollouts->members[i];
      if (strcmp (member->name, owner->instance) == 0
          && strcmp (member->incarnation, owner->incarnation) == 0)
        return member->alive;
    }
  return false;
}

/* Relaying. */

static void
on_relayed (LnStepCall *call, LbErrorCode failure, void *user)
{
  LnRollouts *rollouts = user;

  if (failure == LB_OK || !call->exchange)
    end_call (rollouts, call);
  else
    fail_call (rollouts, call, LB_ERROR_NOT_READY, "the step's owner does not answer");
}

static void
relay (LnRollouts *rollouts, LnStepCall *call, const LnStepOwner *owner)
{
  if (ln_exchange_header (call->exchange, "x-relayed-by"))
    {
      fail_call (rollouts, call, LB_ERROR_NOT_READY, "the step has moved");
      return;
    }
  if (!ln_step_relay_start (rollouts->context, call, owner, on_relayed, rollouts))
    {
      fail_call (rollouts, call, LB_ERROR_NOT_READY, "the step's owner can not be reached");
      return;
    }
  lb_list_append (&rollouts->calls, &call->link);
}

/* A relay to an owner that has died would wait for its silence. */
static void
recall_relays (LnRollouts *rollouts)
{
  LB_LIST_FOREACH (&rollouts->calls, LnStepCall, link, call)
  {
    if (!call->relay || is_alive (rollouts, &call->relayed_to))
      continue;
    ln_step_relay_cancel (call);
    lb_list_remove (&rollouts->calls, &call->link);
    resolve (rollouts, call);
  }
}

/* Owners. */

static bool
recover (LnRollouts *rollouts, const LnHeldStep *held, const LnStepAnswer *answer, LbError *error)
{
  LcStepSpec spec;
  LbList actions;

  lb_list_init (&actions);
  bool ok = ln_step_spec_read (&spec, held->key.subscription, answer->content,
                               answer->content_length, error)
            && lc_rollouts_recover (rollouts->core, &spec, answer->owner.session, answer->ledger,
                                    lb_clock_monotonic (), &actions, error);
  lc_step_spec_clear (&spec);
  run_actions (rollouts, &actions);
  return ok;
}

/* The calls that waited for the step's owner, in the order in which they came. */
static void
answer_waiting (LnRollouts *rollouts, LbList *waiting, const LnStepAnswer *answer)
{
  LbLink *link;

  while ((link = lb_list_pop (waiting)))
    {
      LnStepCall *call = LB_CONTAINER (link, LnStepCall, link);
      LnHeldStep *held = find_held (rollouts, &call->key);
      if (!call->exchange)
        end_call (rollouts, call);
      else if (answer->outcome == LN_STEP_OURS && held && held->open)
        serve_here (rollouts, call, held);
      else if (answer->outcome == LN_STEP_ELSEWHERE)
        relay (rollouts, call, &answer->owner);
      else if (answer->outcome == LN_STEP_ABSENT)
        fail_call (rollouts, call, LB_ERROR_UNKNOWN_STEP, "this step was never opened");
      else
        fail_call (rollouts, call, answer->error ? answer->error : LB_ERROR_NOT_READY,
                   "the step's owner is not known");
    }
}

/* A step may begin while the store is away: its row follows when the store is back. Until then a
 * second instance that is asked to open it does not know of this one; the cursors of the two do not
 * fit each other, so the trainer stays with one. */
static bool
opens_without_store (const LnHeldStep *held, const LnStepAnswer *answer)
{
  return held->content && answer->outcome == LN_STEP_FAILED
         && (answer->error == LB_ERROR_STORE_AWAY || answer->error == LB_ERROR_STORE_UNKNOWN
             || answer->error == LB_ERROR_STORE_BUSY);
}

static void
take_held (LnHeldStep *held, const LnStepOwner *owner, bool durable)
{
  held->owner = *owner;
  held->open = true;
  held->durable = durable;
  if (durable)
    {
      free (held->content);
      held->content = NULL;
    }
}

static void
settle_new (LnRollouts *rollouts, LnHeldStep *held, LnStepAnswer *answer)
{
  LbList waiting = { 0 };
  LbError error = { .code = LB_OK };
  LbLink *link;

  lb_list_init (&waiting);
  while ((link = lb_list_pop (&held->calls)))
    lb_list_append (&waiting, link);
  if (opens_without_store (held, answer))
    {
      LnStepOwner own = { .session = 1 };
      take_held (held, &own, false);
      held->claim_at = lb_clock_monotonic () + CLAIM_INTERVAL;
      answer->outcome = LN_STEP_OURS;
    }
  else if (answer->outcome == LN_STEP_OURS
           && (!answer->content || recover (rollouts, held, answer, &error)))
    take_held (held, &answer->owner, true);
  else
    {
      if (answer->outcome == LN_STEP_OURS)
        *answer = (LnStepAnswer){ .outcome = LN_STEP_FAILED, .error = error.code };
      held_free (rollouts, held);
    }
  answer_waiting (rollouts, &waiting, answer);
  drop_closed (rollouts);
}

/* The late claim of a step that was opened while the store was away. */
static void
settle_late (LnRollouts *rollouts, LnHeldStep *held, const LnStepAnswer *answer)
{
  LbList actions;

  if (answer->outcome == LN_STEP_OURS && answer->owner.session == held->owner.session)
    {
      take_held (held, &answer->owner, true);
      return;
    }
  if (answer->outcome == LN_STEP_FAILED)
    {
      held->claim_at = lb_clock_monotonic () + CLAIM_INTERVAL;
      return;
    }
  lb_list_init (&actions);
  lc_rollouts_lose (rollouts->core, held->key.subscription, held->key.step, lb_clock_monotonic (),
                    &actions);
  run_actions (rollouts, &actions);
  drop_closed (rollouts);
}

static void
on_answer (const LnStepAnswer *given, void *user)
{
  Ask *ask = user;
  LnRollouts *rollouts = ask->rollouts;
  LnHeldStep *held = find_held (rollouts, &ask->key);
  LnStepAnswer answer = *given;

  free (ask);
  rollouts->asks--;
  held->claiming = false;
  if (held->open)
    settle_late (rollouts, held, &answer);
  else
    settle_new (rollouts, held, &answer);
}

static bool
owner_is_alive (const LnStepOwner *owner, void *user)
{
  const Ask *ask = user;

  return is_alive (ask->rollouts, owner);
}

static void
ask_owner (LnRollouts *rollouts, LnHeldStep *held)
{
  Ask *ask = LB_NEW (Ask);

  *ask = (Ask){ .rollouts = rollouts, .key = held->key };
  held->claiming = true;
  rollouts->asks++;
  ln_step_claim_ask (rollouts->store,
                     &(LnStepAsk){ .key = held->key,
                                   .content = held->content,
                                   .own_session = held->open ? held->owner.session : 0,
                                   .incarnation = rollouts->context->incarnation,
                                   .is_alive = owner_is_alive,
                                   .done = on_answer,
                                   .user = ask });
}

/* Answers the call here, or finds out who should. */
static void
resolve (LnRollouts *rollouts, LnStepCall *call)
{
  LnHeldStep *held = find_held (rollouts, &call->key);
  size_t length;

  if (held && held->open)
    {
      serve_here (rollouts, call, held);
      return;
    }
  if (++call->rounds > MOST_ROUNDS)
    {
      fail_call (rollouts, call, LB_ERROR_NOT_READY, "the step moves between instances");
      return;
    }
  if (!held)
    held = held_new (rollouts, &call->key);
  if (call->type == LN_STEP_OPEN && !held->content && !held->claiming)
    held->content = lb_strdup (ln_exchange_body (call->exchange, &length));
  lb_list_append (&held->calls, &call->link);
  if (!held->claiming)
    ask_owner (rollouts, held);
}

/* Actions of the core. */

static void
clear_sample (LnMessage *message)
{
  LnSampleMessage *sample = (LnSampleMessage *)message;

  free (sample->body);
  free (sample->resume_text);
}

static const char *
model_of (const LnRollouts *rollouts, const char *pool)
{
  const LcPool *resource = rollouts->set ? lc_resource_set_pool (rollouts->set, pool) : NULL;

  return resource && resource->model[0] ? resource->model : pool;
}

static char *
generate_body (const LnRollouts *rollouts, const LcRolloutAction *action)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "model",
                          json_object_new_string (model_of (rollouts, action->spec.pool)));
  json_object_object_add (object, "prompt", json_object_new_string (action->prompt));
  json_object_object_add (object, "max_tokens", json_object_new_int64 (action->max_tokens));
  json_object_object_add (object, "stream", json_object_new_boolean (true));
  char *body = lb_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return body;
}

static char *
score_body (const LcRolloutAction *action)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "prompt", json_object_new_string (action->prompt));
  json_object_object_add (object, "text", json_object_new_string (action->text));
  char *body = lb_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return body;
}

static void
post_sample (LnRollouts *rollouts, LcRolloutAction *action)
{
  LnSampleMessage message = { .base = LN_MESSAGE (LN_SAMPLE), .spec = action->spec };

  message.base.clear = clear_sample;
  message.body
      = action->type == LC_ROLLOUT_SCORE ? score_body (action) : generate_body (rollouts, action);
  message.resume_text = action->resume_text;
  action->resume_text = NULL;
  LN_POST (rollouts->task.hub, ln_hub_find (rollouts->task.hub, "calls"), message);
}

static void
post_cancel (LnRollouts *rollouts, const LcRolloutAction *action)
{
  LnSampleCancelMessage message = { .base = LN_MESSAGE (LN_SAMPLE_CANCEL),
                                    .request = action->spec.id,
                                    .keep = action->type == LC_ROLLOUT_RECALL };

  LN_POST (rollouts->task.hub, ln_hub_find (rollouts->task.hub, "calls"), message);
}

static void
on_ledger_written (LbErrorCode error, void *user)
{
  LedgerWrite *write = user;
  LnRollouts *rollouts = write->rollouts;
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_ledger_done (rollouts->core, write->write, error, lb_clock_monotonic (), &actions);
  free (write);
  run_actions (rollouts, &actions);
  drop_closed (rollouts);
}

static LnHeldStep *
find_ledger_owner (LnRollouts *rollouts, const LcRolloutAction *action)
{
  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    char *key = lb_asprintf ("ledger/%s/%lld", held->key.subscription, (long long)held->key.step);
    bool same = strcmp (key, action->row_key) == 0;
    free (key);
    if (same && held->open && held->durable)
      return held;
  }
  return NULL;
}

static void
write_ledger (LnRollouts *rollouts, const LcRolloutAction *action, LbList *actions)
{
  LnHeldStep *held = find_ledger_owner (rollouts, action);

  if (!held)
    {
      lc_rollouts_ledger_done (rollouts->core, action->write, LB_ERROR_STORE_AWAY,
                               lb_clock_monotonic (), actions);
      return;
    }
  LedgerWrite *write = LB_NEW (LedgerWrite);
  *write = (LedgerWrite){ .rollouts = rollouts, .key = held->key, .write = action->write };
  ln_step_store_write_ledger (rollouts->store, &held->key, &held->owner, action->row_value,
                              on_ledger_written, write);
}

/* The step went to another instance meanwhile: the trainer's call follows it there. */
static void
follow (LnRollouts *rollouts, LnStepCall *call)
{
  lb_list_remove (&rollouts->calls, &call->link);
  drop_closed (rollouts);
  resolve (rollouts, call);
}

static void
reply (LnRollouts *rollouts, const LcRolloutAction *action)
{
  LnStepCall *call = find_call (&rollouts->calls, action->pull);

  if (!call)
    return;
  if (action->error.code == LB_ERROR_STALE_SESSION && call->exchange)
    {
      follow (rollouts, call);
      return;
    }
  if (action->error.code == LB_OK)
    ln_step_call_reply_chunk (call, action);
  else
    ln_step_call_reply_error (call, &action->error, action->retry_after);
  end_call (rollouts, call);
}

static void
run_action (LnRollouts *rollouts, LcRolloutAction *action, LbList *actions)
{
  switch (action->type)
    {
    case LC_ROLLOUT_GENERATE:
    case LC_ROLLOUT_SCORE:
      post_sample (rollouts, action);
      break;
    case LC_ROLLOUT_ABANDON:
    case LC_ROLLOUT_RECALL:
      post_cancel (rollouts, action);
      break;
    case LC_ROLLOUT_LEDGER:
      write_ledger (rollouts, action, actions);
      break;
    case LC_ROLLOUT_REPLY:
      reply (rollouts, action);
      break;
    }
}

static void
schedule_tick (LnRollouts *rollouts)
{
  LbTime next = lc_rollouts_next_tick (rollouts->core);

  if (next == LB_TIME_NEVER)
    {
      evtimer_del (rollouts->tick);
      return;
    }
  LbTime wait = next - lb_clock_monotonic ();
  if (wait < LB_MSEC)
    wait = LB_MSEC;
  const struct timeval tv = { .tv_sec = wait / LB_SEC, .tv_usec = wait % LB_SEC };
  evtimer_add (rollouts->tick, &tv);
}

static void
run_actions (LnRollouts *rollouts, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcRolloutAction *action = LB_CONTAINER (link, LcRolloutAction, link);
      run_action (rollouts, action, actions);
      lc_rollout_action_free (action);
    }
  schedule_tick (rollouts);
}

static void
claim_late (LnRollouts *rollouts)
{
  LbTime now = lb_clock_monotonic ();

  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    if (held->open && !held->durable && !held->claiming && held->claim_at <= now)
      ask_owner (rollouts, held);
  }
}

static void
on_tick (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnRollouts *rollouts = user;
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_tick (rollouts->core, lb_clock_monotonic (), &actions);
  run_actions (rollouts, &actions);
  drop_closed (rollouts);
  claim_late (rollouts);
}

/* Messages. */

static void
take_exchange (LnRollouts *rollouts, LnExchange *exchange)
{
  LbError error = { .code = LB_OK };
  LnStepCall *call = ln_step_call_read (exchange, rollouts->core, lb_clock_monotonic (), &error);

  if (call)
    resolve (rollouts, call);
  else
    ln_exchange_reply_error (exchange, &error, 0);
}

static LnStepCall *
find_waiting (LnRollouts *rollouts, uint64_t id)
{
  LnStepCall *call = find_call (&rollouts->calls, id);

  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    if (!call)
      call = find_call (&held->calls, id);
  }
  return call;
}

static void
trainer_gone (LnRollouts *rollouts, LnExchange *exchange)
{
  LnStepCall *call = find_waiting (rollouts, ln_exchange_id (exchange));

  if (!call)
    return;
  lc_rollouts_pull_gone (rollouts->core, call->id);
  call->exchange = NULL;
  ln_exchange_end (exchange);
  /* One that waits for its step's owner ends when that is known. */
  if (find_call (&rollouts->calls, call->id))
    end_call (rollouts, call);
}

static void
take_config (LnRollouts *rollouts, const LcResourceSet *set)
{
  LbList actions;

  lb_list_init (&actions);
  lc_resource_set_free (rollouts->set);
  rollouts->set = lc_resource_set_copy (set);
  lc_rollouts_configure (rollouts->core, rollouts->set, lb_clock_monotonic (), &actions);
  run_actions (rollouts, &actions);
}

static void
take_members (LnRollouts *rollouts, const LnMembersMessage *message)
{
  free (rollouts->members);
  rollouts->members = lb_memdup (message->members, message->n_members * sizeof (LnMember));
  rollouts->n_members = message->n_members;
  recall_relays (rollouts);
}

static void
take_versions (LnRollouts *rollouts, const LnVersionsMessage *message)
{
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_versions (rollouts->core, message->pool, message->newest, message->cadence,
                        lb_clock_monotonic (), &actions);
  run_actions (rollouts, &actions);
}

static void
take_piece (LnRollouts *rollouts, const LnSamplePieceMessage *message)
{
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_piece (rollouts->core, message->request, &message->piece, message->endpoint,
                     lb_clock_monotonic (), &actions);
  run_actions (rollouts, &actions);
}

static bool
read_score (const char *text, double *score)
{
  struct json_object *object = text ? json_tokener_parse (text) : NULL;
  struct json_object *member = NULL;
  bool ok = json_object_object_get_ex (object, "score", &member)
            && (json_object_is_type (member, json_type_double)
                || json_object_is_type (member, json_type_int));

  if (ok)
    *score = json_object_get_double (member);
  json_object_put (object);
  return ok;
}

static void
take_score (LnRollouts *rollouts, const LnSampleDoneMessage *message, LbList *actions)
{
  LbErrorCode error = message->error;
  double score = 0;

  if (error == LB_OK && !read_score (message->text, &score))
    error = LB_ERROR_ENDPOINT_FAILED;
  lc_rollouts_scored (rollouts->core, message->request, error, score, lb_clock_monotonic (),
                      actions);
}

static void
take_done (LnRollouts *rollouts, const LnSampleDoneMessage *message)
{
  LbList actions;

  lb_list_init (&actions);
  if (lc_rollouts_is_scoring (rollouts->core, message->request))
    take_score (rollouts, message, &actions);
  else
    lc_rollouts_finished (rollouts->core, message->request, message->error,
                          message->text ? lb_strdup (message->text) : NULL, lb_clock_monotonic (),
                          &actions);
  run_actions (rollouts, &actions);
}

static void
receive (LnTask *task, const LnMessage *message)
{
  LnRollouts *rollouts = (LnRollouts *)task;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      take_exchange (rollouts, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_EXCHANGE_GONE:
      trainer_gone (rollouts, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CONFIG:
      take_config (rollouts, ((const LnConfigMessage *)message)->set);
      break;
    case LN_SAMPLE_PIECE:
      take_piece (rollouts, (const LnSamplePieceMessage *)message);
      break;
    case LN_SAMPLE_DONE:
      take_done (rollouts, (const LnSampleDoneMessage *)message);
      break;
    case LN_VERSIONS:
      take_versions (rollouts, (const LnVersionsMessage *)message);
      break;
    case LN_MEMBERS:
      take_members (rollouts, (const LnMembersMessage *)message);
      break;
    default:
      break;
    }
}

static void
drain (LnTask *task)
{
  LnRollouts *rollouts = (LnRollouts *)task;
  LbList actions;

  rollouts->draining = true;
  lb_list_init (&actions);
  lc_rollouts_drain (rollouts->core, lb_clock_monotonic (), &actions);
  run_actions (rollouts, &actions);
}

static bool
is_idle (const LnTask *task)
{
  const LnRollouts *rollouts = (const LnRollouts *)task;

  return rollouts->asks == 0 && lb_list_is_empty (&rollouts->calls)
         && lc_rollouts_in_progress (rollouts->core) == 0;
}

static void
free_calls (LbList *calls)
{
  LbLink *link;

  while ((link = lb_list_pop (calls)))
    {
      LnStepCall *call = LB_CONTAINER (link, LnStepCall, link);
      ln_step_relay_cancel (call);
      ln_step_call_free (call);
    }
}

static void
rollouts_free (LnTask *task)
{
  LnRollouts *rollouts = (LnRollouts *)task;

  free_calls (&rollouts->calls);
  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    free_calls (&held->calls);
    held_free (rollouts, held);
  }
  ln_step_store_free (rollouts->store);
  lc_rollouts_free (rollouts->core);
  lc_resource_set_free (rollouts->set);
  free (rollouts->members);
  event_free (rollouts->tick);
  free (rollouts);
}

static const LnTaskClass rollouts_class = {
  .name = "rollouts", .receive = receive, .drain = drain, .is_idle = is_idle, .free = rollouts_free
};

static LcRequestId
next_request (void *user)
{
  return ln_context_next_request (user);
}

LnTask *
ln_rollouts_new (LnContext *context)
{
  LnRollouts *rollouts = LB_NEW (LnRollouts);
  LcRolloutSettings settings = lc_rollout_settings_default ();

  settings.seed = ln_context_seed (context);
  LB_COPY (settings.instance, context->instance);
  rollouts->task.klass = &rollouts_class;
  rollouts->task.hub = context->hub;
  rollouts->context = context;
  rollouts->core = lc_rollouts_new (&settings);
  lc_rollouts_set_id_source (rollouts->core, next_request, context);
  rollouts->store = ln_step_store_new (context);
  rollouts->tick = evtimer_new (context->base, on_tick, rollouts);
  lb_list_init (&rollouts->held);
  lb_list_init (&rollouts->calls);
  return &rollouts->task;
}

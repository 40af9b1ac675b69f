#include "ln-rollouts-private.h"

#include "ln-step-claim.h"
#include "ln-step-relay.h"
#include "ln-step-samples.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER (500 * LB_MSEC)
#define MAX_ROUNDS 3
/* How often a write that failed is tried again: of a step that was opened while the store was away,
 * and of one that is left. */
#define WRITE_INTERVAL LB_SEC
/* The step is left without the store's knowledge then: its next owner finds this one gone. */
#define RELEASE_TRIES 10

typedef struct
{
  LnRollouts *rollouts;
  LnStepKey key;
} Ask;

static bool
is_key (const LnStepKey *a, const LnStepKey *b)
{
  return a->step == b->step && strcmp (a->subscription, b->subscription) == 0;
}

LnHeldStep *
ln_rollouts_find_held (LnRollouts *rollouts, const LnStepKey *key)
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

void
ln_rollouts_free_held (LnRollouts *rollouts, LnHeldStep *held)
{
  lb_list_remove (&rollouts->held, &held->link);
  free (held->content);
  free (held);
}

void
ln_rollouts_drop_closed (LnRollouts *rollouts)
{
  LcStepStatus status;

  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    if (held->open && !held->claiming && !held->releasing
        && !lc_rollouts_get_step_status (rollouts->core, held->key.subscription, held->key.step,
                                         &status))
      ln_rollouts_free_held (rollouts, held);
  }
}

/* Calls. */

void
ln_rollouts_end_call (LnRollouts *rollouts, LnStepCall *call)
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
  ln_rollouts_end_call (rollouts, call);
}

static void
fail_absent (LnRollouts *rollouts, LnStepCall *call)
{
  if (lc_rollouts_has_subscription (rollouts->core, call->key.subscription))
    fail_call (rollouts, call, LB_ERROR_UNKNOWN_STEP, "this step was never opened");
  else
    fail_call (rollouts, call, LB_ERROR_UNKNOWN_SUBSCRIPTION,
               "no subscription of this name is declared");
}

LnStepCall *
ln_rollouts_find_call (LbList *calls, uint64_t id)
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
            && lc_rollouts_open_step (rollouts->core, &spec, held->owner.session,
                                      lb_clock_monotonic (), &actions, &error);
  lc_step_spec_clear (&spec);
  lc_rollouts_get_step_status (rollouts->core, call->key.subscription, call->key.step, &status);
  if (ok)
    ln_step_call_reply_open (call, status.slots, held->owner.session, held->durable);
  else
    ln_step_call_reply_error (call, &error, 0);
  ln_rollouts_end_call (rollouts, call);
  ln_rollouts_run (rollouts, &actions);
}

static void
pull_here (LnRollouts *rollouts, LnStepCall *call)
{
  LbList actions;

  lb_list_init (&actions);
  lb_list_append (&rollouts->calls, &call->link);
  lc_rollouts_pull (rollouts->core, &call->pull, lb_clock_monotonic (), &actions);
  ln_rollouts_run (rollouts, &actions);
}

static void
status_here (LnRollouts *rollouts, LnStepCall *call, const LnHeldStep *held)
{
  LcStepStatus status;

  if (lc_rollouts_get_step_status (rollouts->core, call->key.subscription, call->key.step, &status))
    {
      ln_step_call_reply_status (call, &status, held->owner.session);
      ln_rollouts_end_call (rollouts, call);
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
    ln_rollouts_end_call (rollouts, call);
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

void
ln_rollouts_recall_relays (LnRollouts *rollouts)
{
  LB_LIST_FOREACH (&rollouts->calls, LnStepCall, link, call)
  {
    if (!call->relay || is_alive (rollouts, &call->relayed_to))
      continue;
    ln_step_relay_cancel (call);
    lb_list_remove (&rollouts->calls, &call->link);
    ln_rollouts_resolve (rollouts, call);
  }
}

/* An instance on its way out takes no step over; another one does when it is asked. */
static void
pass_on (LnRollouts *rollouts, LnStepCall *call)
{
  for (size_t i = 0; i < rollouts->n_members; i++)
    {
      const LnMember *member = &rollouts->members[i];
      LnStepOwner other = { 0 };
      if (member->is_self || !member->alive || member->draining)
        continue;
      LB_COPY (other.instance, member->name);
      LB_COPY (other.incarnation, member->incarnation);
      LB_COPY (other.address, member->caller_address);
      relay (rollouts, call, &other);
      return;
    }
  fail_call (rollouts, call, LB_ERROR_DRAINING, "this instance is shutting down");
}

/* Owners. */

static bool
recover (LnRollouts *rollouts, const LnHeldStep *held, const LnStepAnswer *answer, LbError *error)
{
  const LnStepStored *stored = &answer->stored;
  LnStepSamples samples;
  LcStepSpec spec;
  LbList actions;

  lb_list_init (&actions);
  ln_step_samples_read (&samples, stored->samples, stored->samples_length);
  const LcStepHandover recovery = { .session = answer->owner.session,
                                    .ledger_cursor = stored->ledger,
                                    .samples = samples.samples,
                                    .n_samples = samples.n_samples };
  bool ok = ln_step_spec_read (&spec, held->key.subscription, stored->content,
                               stored->content_length, error)
            && lc_rollouts_take_over_step (rollouts->core, &spec, &recovery, lb_clock_monotonic (),
                                           &actions, error);
  lc_step_spec_clear (&spec);
  ln_step_samples_clear (&samples);
  ln_rollouts_run (rollouts, &actions);
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
      LnHeldStep *held = ln_rollouts_find_held (rollouts, &call->key);
      if (!call->exchange)
        ln_rollouts_end_call (rollouts, call);
      else if (answer->outcome == LN_STEP_OURS && held && held->open)
        serve_here (rollouts, call, held);
      else if (answer->outcome == LN_STEP_ELSEWHERE)
        relay (rollouts, call, &answer->owner);
      else if (answer->outcome == LN_STEP_FREE)
        pass_on (rollouts, call);
      else if (answer->outcome == LN_STEP_ABSENT)
        fail_absent (rollouts, call);
      else
        fail_call (rollouts, call, answer->error ? answer->error : LB_ERROR_NOT_READY,
                   "the step's owner is not known");
    }
}

/* A step may begin while the store is away: its row follows when the store is back. Until then a
 * second instance that is asked to open it does not know of this one; each takes the cursors of the
 * other, which name what the trainer has. */
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
      held->retry_at = lb_clock_monotonic () + WRITE_INTERVAL;
      answer->outcome = LN_STEP_OURS;
    }
  else if (answer->outcome == LN_STEP_OURS
           && (!answer->stored.content || recover (rollouts, held, answer, &error)))
    take_held (held, &answer->owner, true);
  else
    {
      if (answer->outcome == LN_STEP_OURS)
        *answer = (LnStepAnswer){ .outcome = LN_STEP_FAILED, .error = error.code };
      ln_rollouts_free_held (rollouts, held);
    }
  answer_waiting (rollouts, &waiting, answer);
  ln_rollouts_drop_closed (rollouts);
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
      held->retry_at = lb_clock_monotonic () + WRITE_INTERVAL;
      return;
    }
  lb_list_init (&actions);
  lc_rollouts_abort_step (rollouts->core, held->key.subscription, held->key.step,
                          lb_clock_monotonic (), &actions);
  ln_rollouts_run (rollouts, &actions);
  ln_rollouts_drop_closed (rollouts);
}

static void
on_answer (const LnStepAnswer *given, void *user)
{
  Ask *ask = user;
  LnRollouts *rollouts = ask->rollouts;
  LnHeldStep *held = ln_rollouts_find_held (rollouts, &ask->key);
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
                                   .may_claim = !rollouts->draining,
                                   .is_alive = owner_is_alive,
                                   .done = on_answer,
                                   .user = ask });
}

void
ln_rollouts_resolve (LnRollouts *rollouts, LnStepCall *call)
{
  LnHeldStep *held = ln_rollouts_find_held (rollouts, &call->key);
  size_t length;

  if (held && held->open)
    {
      serve_here (rollouts, call, held);
      return;
    }
  if (++call->rounds > MAX_ROUNDS)
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

static void
claim_late (LnRollouts *rollouts, LbTime now)
{
  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    if (held->open && !held->durable && !held->claiming && held->retry_at <= now)
      ask_owner (rollouts, held);
  }
}

/* Leaving steps. */

static void
give_up (LnRollouts *rollouts, const LnHeldStep *held)
{
  LnStepKey key = held->key;
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_abort_step (rollouts->core, key.subscription, key.step, lb_clock_monotonic (),
                          &actions);
  ln_rollouts_run (rollouts, &actions);
  ln_rollouts_drop_closed (rollouts);
}

static void
on_released (LbErrorCode error, void *user)
{
  Ask *ask = user;
  LnRollouts *rollouts = ask->rollouts;
  LnHeldStep *held = ln_rollouts_find_held (rollouts, &ask->key);

  free (ask);
  rollouts->asks--;
  if (!held)
    return;
  lb_log (LB_LOG_INFO, "step-released", LB_TEXT ("subscription", held->key.subscription),
          LB_INT ("step", held->key.step), LB_TEXT ("error", lb_error_name (error)));
  held->releasing = false;
  held->retry_at = lb_clock_monotonic () + WRITE_INTERVAL;
  if (error == LB_OK || error == LB_ERROR_CONDITION_FAILED
      || ++held->release_tries >= RELEASE_TRIES)
    give_up (rollouts, held);
}

static void
release (LnRollouts *rollouts, LnHeldStep *held)
{
  Ask *ask = LB_NEW (Ask);
  LcReadySample *samples = NULL;
  size_t n_samples = lc_rollouts_list_unacknowledged (rollouts->core, held->key.subscription,
                                                      held->key.step, &samples);
  struct json_object *json = ln_step_samples_to_json (samples, n_samples, 0);

  *ask = (Ask){ .rollouts = rollouts, .key = held->key };
  held->releasing = true;
  rollouts->asks++;
  ln_step_store_release (rollouts->store, &held->key, &held->owner,
                         json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN), on_released,
                         ask);
  json_object_put (json);
  free (samples);
}

/* A step is left once nothing of it runs here, so that no generation is cut off. */
static void
release_steps (LnRollouts *rollouts, LbTime now)
{
  LB_LIST_FOREACH (&rollouts->held, LnHeldStep, link, held)
  {
    LcStepStatus status = { 0 };
    if (!held->open || held->claiming || held->releasing || held->retry_at > now)
      continue;
    lc_rollouts_get_step_status (rollouts->core, held->key.subscription, held->key.step, &status);
    if (status.running > 0)
      continue;
    if (held->durable)
      release (rollouts, held);
    else if (now - rollouts->draining_since > RELEASE_TRIES * WRITE_INTERVAL)
      {
        give_up (rollouts, held);
        return;
      }
  }
}

void
ln_rollouts_tick_owners (LnRollouts *rollouts)
{
  LbTime now = lb_clock_monotonic ();

  claim_late (rollouts, now);
  if (rollouts->draining)
    release_steps (rollouts, now);
}

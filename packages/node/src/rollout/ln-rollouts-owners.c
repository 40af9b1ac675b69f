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

/* Delay that a trainer is told to wait before it retries a failed call. */
#define STEP_CALL_RETRY_AFTER (500 * LB_MSEC)
#define MAX_STEP_OWNER_LOOKUPS_PER_CALL 3
/* Delay before retrying a failed release, or a failed claim of a step that was opened while the
 * store was unavailable. */
#define OWNER_WRITE_RETRY_DELAY LB_SEC
/* After this number of failed releases, the step is dropped. Its row still names this instance, so
 * another instance can claim the step only when this instance has exited. */
#define MAX_RELEASE_ATTEMPTS_PER_STEP 10

typedef struct
{
  LnRollouts *rollouts;
  LnStepKey key;
} OwnershipOperation;

static bool
is_same_step (const LnStepKey *a, const LnStepKey *b)
{
  return a->step == b->step && strcmp (a->subscription, b->subscription) == 0;
}

LnTrackedStep *
ln_rollouts_find_step (LnRollouts *rollouts, const LnStepKey *key)
{
  LB_LIST_FOREACH (&rollouts->steps, LnTrackedStep, link, step)
  {
    if (is_same_step (&step->key, key))
      return step;
  }
  return NULL;
}

static LnTrackedStep *
add_tracked_step (LnRollouts *rollouts, const LnStepKey *key)
{
  LnTrackedStep *step = LB_NEW (LnTrackedStep);

  step->key = *key;
  lb_list_init (&step->waiting_calls);
  lb_list_append (&rollouts->steps, &step->link);
  return step;
}

void
ln_rollouts_remove_step (LnRollouts *rollouts, LnTrackedStep *step)
{
  lb_list_remove (&rollouts->steps, &step->link);
  free (step->content);
  free (step);
}

void
ln_rollouts_remove_closed_steps (LnRollouts *rollouts)
{
  LcStepStatus status;

  LB_LIST_FOREACH (&rollouts->steps, LnTrackedStep, link, step)
  {
    if (step->is_open && !step->is_claiming && !step->is_releasing
        && !lc_rollouts_get_step_status (rollouts->core, step->key.subscription, step->key.step,
                                         &status))
      ln_rollouts_remove_step (rollouts, step);
  }
}

/* --- serving calls --- */

void
ln_rollouts_end_call (LnRollouts *rollouts, LnStepCall *call)
{
  ln_step_relay_cancel (call);
  if (lb_link_is_in_list (&call->link))
    lb_list_remove (&rollouts->calls, &call->link);
  ln_step_call_free (call);
}

static void
fail_step_call (LnRollouts *rollouts, LnStepCall *call, LbErrorCode code, const char *detail)
{
  LbError error;

  lb_error_set (&error, code, call->key.subscription, "%s", detail);
  ln_step_call_reply_error (call, &error, STEP_CALL_RETRY_AFTER);
  ln_rollouts_end_call (rollouts, call);
}

static void
fail_call_for_unknown_step (LnRollouts *rollouts, LnStepCall *call)
{
  if (lc_rollouts_has_subscription (rollouts->core, call->key.subscription))
    fail_step_call (rollouts, call, LB_ERROR_UNKNOWN_STEP, "the step was never opened");
  else
    fail_step_call (rollouts, call, LB_ERROR_UNKNOWN_SUBSCRIPTION,
                    "the configuration has no subscription of this name");
}

LnStepCall *
ln_rollouts_find_call_by_id (LbList *calls, uint64_t id)
{
  LB_LIST_FOREACH (calls, LnStepCall, link, call)
  {
    if (call->id == id)
      return call;
  }
  return NULL;
}

static void
open_claimed_step_and_reply (LnRollouts *rollouts, LnStepCall *call, const LnTrackedStep *step)
{
  LcStepSpec spec;
  LcStepStatus status = { 0 };
  LbError error = { .code = LB_OK };
  size_t length;
  const char *body = ln_exchange_body (call->exchange, &length);
  LbList actions;

  lb_list_init (&actions);
  bool ok = ln_step_spec_parse (&spec, call->key.subscription, body, length, &error)
            && lc_rollouts_open_step (rollouts->core, &spec, step->owner.session,
                                      lb_clock_monotonic (), &actions, &error);
  lc_step_spec_clear (&spec);
  lc_rollouts_get_step_status (rollouts->core, call->key.subscription, call->key.step, &status);
  if (ok)
    ln_step_call_reply_opened (call, status.slots, step->owner.session, step->is_durable);
  else
    ln_step_call_reply_error (call, &error, 0);
  ln_rollouts_end_call (rollouts, call);
  ln_rollouts_execute_actions (rollouts, &actions);
}

static void
start_pull_of_samples (LnRollouts *rollouts, LnStepCall *call)
{
  LbList actions;

  lb_list_init (&actions);
  lb_list_append (&rollouts->calls, &call->link);
  lc_rollouts_accept_pull (rollouts->core, &call->pull, lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
}

static void
reply_step_status (LnRollouts *rollouts, LnStepCall *call, const LnTrackedStep *step)
{
  LcStepStatus status;

  if (lc_rollouts_get_step_status (rollouts->core, call->key.subscription, call->key.step, &status))
    {
      ln_step_call_reply_status (call, &status, step->owner.session);
      ln_rollouts_end_call (rollouts, call);
    }
  else
    fail_step_call (rollouts, call, LB_ERROR_UNKNOWN_STEP, "the step is closed");
}

static void
serve_call_of_open_step (LnRollouts *rollouts, LnStepCall *call, const LnTrackedStep *step)
{
  switch (call->type)
    {
    case LN_STEP_OPEN:
      open_claimed_step_and_reply (rollouts, call, step);
      break;
    case LN_STEP_PULL:
      start_pull_of_samples (rollouts, call);
      break;
    case LN_STEP_STATUS:
      reply_step_status (rollouts, call, step);
      break;
    }
}

/* --- liveness of owners --- */

/* An owner that is missing from the member list, or listed with another incarnation, counts as
 * dead. If the list is wrong, a step has two owners for a while. The number of the claim (session),
 * in rows and cursors, ensures that only one of the two owners delivers samples. */
static bool
is_step_owner_alive (const LnRollouts *rollouts, const LnStepOwner *owner)
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

/* --- relaying calls --- */

static void
on_step_call_relay_done (LnStepCall *call, LbErrorCode failure, void *user)
{
  LnRollouts *rollouts = user;

  if (failure == LB_OK || !call->exchange)
    ln_rollouts_end_call (rollouts, call);
  else
    fail_step_call (rollouts, call, LB_ERROR_NOT_READY,
                    "the step's owner did not answer the relayed call");
}

static void
relay_call_to_owner (LnRollouts *rollouts, LnStepCall *call, const LnStepOwner *owner)
{
  if (ln_exchange_header (call->exchange, "x-relayed-by"))
    {
      fail_step_call (rollouts, call, LB_ERROR_NOT_READY,
                      "the call was relayed to an instance that does not own the step");
      return;
    }
  if (!ln_step_relay_start (rollouts->context, call, owner, on_step_call_relay_done, rollouts))
    {
      fail_step_call (rollouts, call, LB_ERROR_NOT_READY,
                      "the call could not be relayed to the step's owner");
      return;
    }
  lb_list_append (&rollouts->calls, &call->link);
}

void
ln_rollouts_reroute_calls_of_dead_owners (LnRollouts *rollouts)
{
  LB_LIST_FOREACH (&rollouts->calls, LnStepCall, link, call)
  {
    if (!call->relay || is_step_owner_alive (rollouts, &call->relay_owner))
      continue;
    ln_step_relay_cancel (call);
    lb_list_remove (&rollouts->calls, &call->link);
    ln_rollouts_route_call (rollouts, call);
  }
}

/* Relays a call for a step without an owner to an instance that can claim the step. Called while
 * draining, when this instance claims no steps. */
static void
relay_call_to_non_draining_instance (LnRollouts *rollouts, LnStepCall *call)
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
      relay_call_to_owner (rollouts, call, &other);
      return;
    }
  fail_step_call (rollouts, call, LB_ERROR_DRAINING, "this instance is shutting down");
}

/* --- looking up owners and claiming steps --- */

static bool
take_over_step (LnRollouts *rollouts,
                const LnTrackedStep *step,
                const LnStepClaimResult *result,
                LbError *error)
{
  const LnStoredStep *stored = &result->stored;
  LnStepSamples samples;
  LcStepSpec spec;
  LbList actions;

  lb_list_init (&actions);
  ln_step_samples_parse (&samples, stored->samples, stored->samples_length);
  const LcStepHandover handover = { .session = result->owner.session,
                                    .ledger_cursor = stored->ledger,
                                    .samples = samples.samples,
                                    .n_samples = samples.n_samples };
  bool ok = ln_step_spec_parse (&spec, step->key.subscription, stored->content,
                                stored->content_length, error)
            && lc_rollouts_take_over_step (rollouts->core, &spec, &handover, lb_clock_monotonic (),
                                           &actions, error);
  lc_step_spec_clear (&spec);
  ln_step_samples_clear (&samples);
  ln_rollouts_execute_actions (rollouts, &actions);
  return ok;
}

/* Serves or relays, in order of arrival, the calls that waited for the step's owner to be known. */
static void
serve_waiting_calls (LnRollouts *rollouts, LbList *waiting_calls, const LnStepClaimResult *result)
{
  LbLink *link;

  while ((link = lb_list_pop (waiting_calls)))
    {
      LnStepCall *call = LB_CONTAINER (link, LnStepCall, link);
      LnTrackedStep *step = ln_rollouts_find_step (rollouts, &call->key);
      if (!call->exchange)
        ln_rollouts_end_call (rollouts, call);
      else if (result->outcome == LN_STEP_OWNED_HERE && step && step->is_open)
        serve_call_of_open_step (rollouts, call, step);
      else if (result->outcome == LN_STEP_OWNED_ELSEWHERE)
        relay_call_to_owner (rollouts, call, &result->owner);
      else if (result->outcome == LN_STEP_UNOWNED)
        relay_call_to_non_draining_instance (rollouts, call);
      else if (result->outcome == LN_STEP_NOT_FOUND)
        fail_call_for_unknown_step (rollouts, call);
      else
        fail_step_call (rollouts, call, result->error ? result->error : LB_ERROR_NOT_READY,
                        "the step's owner could not be determined");
    }
}

/* A step may be opened while the store is unavailable. Its row is written when the store is
 * available again. Another instance may also open the step in the meantime. Each of the two
 * instances accepts cursors of the other, because a cursor names the samples that the trainer has.
 */
static bool
can_open_step_without_store (const LnTrackedStep *step, const LnStepClaimResult *result)
{
  return step->content && result->outcome == LN_STEP_CLAIM_FAILED
         && (result->error == LB_ERROR_STORE_AWAY || result->error == LB_ERROR_STORE_UNKNOWN
             || result->error == LB_ERROR_STORE_BUSY);
}

static void
mark_step_open (LnTrackedStep *step, const LnStepOwner *owner, bool is_durable)
{
  step->owner = *owner;
  step->is_open = true;
  step->is_durable = is_durable;
  if (is_durable)
    {
      free (step->content);
      step->content = NULL;
    }
}

static void
finish_step_owner_lookup (LnRollouts *rollouts, LnTrackedStep *step, LnStepClaimResult *result)
{
  LbList waiting_calls = { 0 };
  LbError error = { .code = LB_OK };
  LbLink *link;

  lb_list_init (&waiting_calls);
  while ((link = lb_list_pop (&step->waiting_calls)))
    lb_list_append (&waiting_calls, link);
  if (can_open_step_without_store (step, result))
    {
      LnStepOwner own = { .session = 1 };
      mark_step_open (step, &own, false);
      step->retry_at = lb_clock_monotonic () + OWNER_WRITE_RETRY_DELAY;
      result->outcome = LN_STEP_OWNED_HERE;
    }
  else if (result->outcome == LN_STEP_OWNED_HERE
           && (!result->stored.content || take_over_step (rollouts, step, result, &error)))
    mark_step_open (step, &result->owner, true);
  else
    {
      if (result->outcome == LN_STEP_OWNED_HERE)
        *result = (LnStepClaimResult){ .outcome = LN_STEP_CLAIM_FAILED, .error = error.code };
      ln_rollouts_remove_step (rollouts, step);
    }
  serve_waiting_calls (rollouts, &waiting_calls, result);
  ln_rollouts_remove_closed_steps (rollouts);
}

/* Handles the result of claiming a step that was opened while the store was unavailable. Aborts the
 * step if another instance owns it. */
static void
finish_claim_of_open_step (LnRollouts *rollouts,
                           LnTrackedStep *step,
                           const LnStepClaimResult *result)
{
  LbList actions;

  if (result->outcome == LN_STEP_OWNED_HERE && result->owner.session == step->owner.session)
    {
      mark_step_open (step, &result->owner, true);
      return;
    }
  if (result->outcome == LN_STEP_CLAIM_FAILED)
    {
      step->retry_at = lb_clock_monotonic () + OWNER_WRITE_RETRY_DELAY;
      return;
    }
  lb_list_init (&actions);
  lc_rollouts_abort_step (rollouts->core, step->key.subscription, step->key.step,
                          lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
  ln_rollouts_remove_closed_steps (rollouts);
}

static void
on_step_claim_done (const LnStepClaimResult *claim_result, void *user)
{
  OwnershipOperation *operation = user;
  LnRollouts *rollouts = operation->rollouts;
  LnTrackedStep *step = ln_rollouts_find_step (rollouts, &operation->key);
  LnStepClaimResult result = *claim_result;

  free (operation);
  rollouts->n_operations--;
  step->is_claiming = false;
  if (step->is_open)
    finish_claim_of_open_step (rollouts, step, &result);
  else
    finish_step_owner_lookup (rollouts, step, &result);
}

static bool
is_step_owner_alive_callback (const LnStepOwner *owner, void *user)
{
  const OwnershipOperation *operation = user;

  return is_step_owner_alive (operation->rollouts, owner);
}

static void
start_step_claim (LnRollouts *rollouts, LnTrackedStep *step)
{
  OwnershipOperation *operation = LB_NEW (OwnershipOperation);

  *operation = (OwnershipOperation){ .rollouts = rollouts, .key = step->key };
  step->is_claiming = true;
  rollouts->n_operations++;
  ln_step_claim_start (rollouts->store, &(LnStepClaimRequest){
                                            .key = step->key,
                                            .content = step->content,
                                            .own_session = step->is_open ? step->owner.session : 0,
                                            .incarnation = rollouts->context->incarnation,
                                            .may_claim = !rollouts->is_draining,
                                            .is_owner_alive = is_step_owner_alive_callback,
                                            .done = on_step_claim_done,
                                            .user = operation });
}

void
ln_rollouts_route_call (LnRollouts *rollouts, LnStepCall *call)
{
  LnTrackedStep *step = ln_rollouts_find_step (rollouts, &call->key);
  size_t length;

  if (step && step->is_open)
    {
      serve_call_of_open_step (rollouts, call, step);
      return;
    }
  if (++call->owner_lookups > MAX_STEP_OWNER_LOOKUPS_PER_CALL)
    {
      fail_step_call (rollouts, call, LB_ERROR_NOT_READY, "the step's owner keeps changing");
      return;
    }
  if (!step)
    step = add_tracked_step (rollouts, &call->key);
  if (call->type == LN_STEP_OPEN && !step->content && !step->is_claiming)
    step->content = lb_strdup (ln_exchange_body (call->exchange, &length));
  lb_list_append (&step->waiting_calls, &call->link);
  if (!step->is_claiming)
    start_step_claim (rollouts, step);
}

static void
retry_claims_of_open_steps (LnRollouts *rollouts, LbTime now)
{
  LB_LIST_FOREACH (&rollouts->steps, LnTrackedStep, link, step)
  {
    if (step->is_open && !step->is_durable && !step->is_claiming && step->retry_at <= now)
      start_step_claim (rollouts, step);
  }
}

/* --- releasing steps while draining --- */

static void
abort_and_remove_step (LnRollouts *rollouts, const LnTrackedStep *step)
{
  LnStepKey key = step->key;
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_abort_step (rollouts->core, key.subscription, key.step, lb_clock_monotonic (),
                          &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
  ln_rollouts_remove_closed_steps (rollouts);
}

static void
on_step_released (LbErrorCode error, void *user)
{
  OwnershipOperation *operation = user;
  LnRollouts *rollouts = operation->rollouts;
  LnTrackedStep *step = ln_rollouts_find_step (rollouts, &operation->key);

  free (operation);
  rollouts->n_operations--;
  if (!step)
    return;
  lb_log (LB_LOG_INFO, "step-released", LB_TEXT ("subscription", step->key.subscription),
          LB_INT ("step", step->key.step), LB_TEXT ("error", lb_error_name (error)));
  step->is_releasing = false;
  step->retry_at = lb_clock_monotonic () + OWNER_WRITE_RETRY_DELAY;
  if (error == LB_OK || error == LB_ERROR_CONDITION_FAILED
      || ++step->release_attempts >= MAX_RELEASE_ATTEMPTS_PER_STEP)
    abort_and_remove_step (rollouts, step);
}

static void
release_step (LnRollouts *rollouts, LnTrackedStep *step)
{
  OwnershipOperation *operation = LB_NEW (OwnershipOperation);
  LcReadySample *samples = NULL;
  size_t n_samples
      = lc_rollouts_list_unacknowledged_samples (rollouts->core, step->key.subscription,
                                                 step->key.step, &samples);
  struct json_object *json = ln_step_samples_to_json (samples, n_samples, 0);

  *operation = (OwnershipOperation){ .rollouts = rollouts, .key = step->key };
  step->is_releasing = true;
  rollouts->n_operations++;
  ln_step_store_release_step (rollouts->store, &step->key, &step->owner,
                              json_object_to_json_string_ext (json, JSON_C_TO_STRING_PLAIN),
                              on_step_released, operation);
  json_object_put (json);
  free (samples);
}

/* Releases the steps that have no running requests, so that no generation is interrupted. */
static void
release_idle_steps (LnRollouts *rollouts, LbTime now)
{
  LB_LIST_FOREACH (&rollouts->steps, LnTrackedStep, link, step)
  {
    LcStepStatus status = { 0 };
    if (!step->is_open || step->is_claiming || step->is_releasing || step->retry_at > now)
      continue;
    lc_rollouts_get_step_status (rollouts->core, step->key.subscription, step->key.step, &status);
    if (status.running > 0)
      continue;
    if (step->is_durable)
      release_step (rollouts, step);
    else if (now - rollouts->draining_since
             > MAX_RELEASE_ATTEMPTS_PER_STEP * OWNER_WRITE_RETRY_DELAY)
      {
        abort_and_remove_step (rollouts, step);
        return;
      }
  }
}

void
ln_rollouts_retry_claims_and_releases (LnRollouts *rollouts)
{
  LbTime now = lb_clock_monotonic ();

  retry_claims_of_open_steps (rollouts, now);
  if (rollouts->is_draining)
    release_idle_steps (rollouts, now);
}

#include "ln-rollouts-private.h"

#include "ln-step-relay.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

static void
on_rollouts_tick_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnRollouts *rollouts = user;
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_tick (rollouts->core, lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
  ln_rollouts_remove_closed_steps (rollouts);
  ln_rollouts_retry_claims_and_releases (rollouts);
}

/* --- handling messages --- */

static bool
is_step_open_here (LnRollouts *rollouts, const LnStepCall *call)
{
  const LnTrackedStep *step = ln_rollouts_find_step (rollouts, &call->key);

  return step && step->is_open;
}

/* Whether to refuse a call after the drain time because its step is not open on this instance. A
 * trainer keeps using an address that answers, so relaying its calls without a time limit would
 * keep the drain from ending. A refused trainer switches to another instance. */
static bool
must_refuse_call_after_drain_time (LnRollouts *rollouts, const LnStepCall *call, LbTime now)
{
  LbTime drain_time = rollouts->context->settings->drain.drain_ms * LB_MSEC;

  return rollouts->is_draining && now - rollouts->draining_since > drain_time
         && !is_step_open_here (rollouts, call);
}

static void
receive_trainer_request (LnRollouts *rollouts, LnExchange *exchange)
{
  LbError error = { .code = LB_OK };
  LbTime now = lb_clock_monotonic ();
  LnStepCall *call = ln_step_call_parse (exchange, rollouts->core, now, &error);

  if (call && must_refuse_call_after_drain_time (rollouts, call, now))
    {
      lb_error_set (&error, LB_ERROR_DRAINING, "", "this instance is shutting down");
      ln_exchange_reply_error (exchange, &error, LB_SEC);
      ln_step_call_free (call);
      return;
    }
  if (call && (rollouts->is_ready || is_step_open_here (rollouts, call)))
    {
      ln_rollouts_route_call (rollouts, call);
      return;
    }
  if (call)
    {
      lb_error_set (&error, LB_ERROR_NOT_READY, "",
                    "this instance has not confirmed its resources yet");
      ln_step_call_free (call);
    }
  ln_exchange_reply_error (exchange, &error, call ? LB_SEC : 0);
}

static LnStepCall *
find_step_call_in_progress (LnRollouts *rollouts, uint64_t id)
{
  LnStepCall *call = ln_rollouts_find_call_by_id (&rollouts->calls, id);

  LB_LIST_FOREACH (&rollouts->steps, LnTrackedStep, link, step)
  {
    if (!call)
      call = ln_rollouts_find_call_by_id (&step->waiting_calls, id);
  }
  return call;
}

static void
end_call_of_disconnected_trainer (LnRollouts *rollouts, LnExchange *exchange)
{
  LnStepCall *call = find_step_call_in_progress (rollouts, ln_exchange_id (exchange));

  if (!call)
    return;
  lc_rollouts_cancel_pull (rollouts->core, call->id);
  call->exchange = NULL;
  ln_exchange_end (exchange);
  /* A call that waits for a lookup of the step's owner is freed when the lookup is done. */
  if (ln_rollouts_find_call_by_id (&rollouts->calls, call->id))
    ln_rollouts_end_call (rollouts, call);
}

static void
apply_resource_config (LnRollouts *rollouts, const LcResourceSet *set)
{
  LbList actions;

  lb_list_init (&actions);
  lc_resource_set_free (rollouts->resources);
  rollouts->resources = lc_resource_set_copy (set);
  lc_rollouts_configure (rollouts->core, rollouts->resources, lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
}

static void
update_member_list (LnRollouts *rollouts, const LnMembersMessage *message)
{
  free (rollouts->members);
  rollouts->members = lb_memdup (message->members, message->n_members * sizeof (LnMember));
  rollouts->n_members = message->n_members;
  ln_rollouts_reroute_calls_of_dead_owners (rollouts);
}

static void
update_newest_pool_version (LnRollouts *rollouts, const LnPoolVersionMessage *message)
{
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_set_newest_pool_version (rollouts->core, message->pool, message->newest,
                                       message->cadence, lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
}

static void
receive_sample_piece (LnRollouts *rollouts, const LnSamplePieceMessage *message)
{
  LbList actions;

  lb_list_init (&actions);
  lc_rollouts_add_generated_piece (rollouts->core, message->request, &message->piece,
                                   message->endpoint, lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
}

static bool
parse_score (const char *text, double *score)
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
receive_scoring_result (LnRollouts *rollouts, const LnSampleDoneMessage *message, LbList *actions)
{
  LbErrorCode error = message->error;
  double score = 0;

  if (error == LB_OK && !parse_score (message->text, &score))
    error = LB_ERROR_ENDPOINT_FAILED;
  lc_rollouts_finish_scoring (rollouts->core, message->request, error, score, lb_clock_monotonic (),
                              actions);
}

static void
receive_sample_result (LnRollouts *rollouts, const LnSampleDoneMessage *message)
{
  LbList actions;

  lb_list_init (&actions);
  if (lc_rollouts_is_scoring_request (rollouts->core, message->request))
    receive_scoring_result (rollouts, message, &actions);
  else
    lc_rollouts_finish_generation (rollouts->core, message->request, message->error,
                                   message->text ? lb_strdup (message->text) : NULL,
                                   lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
}

static void
receive_message_for_rollouts_task (LnTask *task, const LnMessage *message)
{
  LnRollouts *rollouts = (LnRollouts *)task;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      receive_trainer_request (rollouts, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CALLER_DISCONNECTED:
      end_call_of_disconnected_trainer (rollouts, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CONFIG:
      apply_resource_config (rollouts, ((const LnConfigMessage *)message)->set);
      break;
    case LN_SAMPLE_PIECE:
      receive_sample_piece (rollouts, (const LnSamplePieceMessage *)message);
      break;
    case LN_SAMPLE_DONE:
      receive_sample_result (rollouts, (const LnSampleDoneMessage *)message);
      break;
    case LN_POOL_VERSION:
      update_newest_pool_version (rollouts, (const LnPoolVersionMessage *)message);
      break;
    case LN_READY:
      rollouts->is_ready = ((const LnReadyMessage *)message)->ready;
      break;
    case LN_MEMBERS:
      update_member_list (rollouts, (const LnMembersMessage *)message);
      break;
    default:
      break;
    }
}

static void
drain_rollouts_task (LnTask *task)
{
  LnRollouts *rollouts = (LnRollouts *)task;
  LbList actions;

  rollouts->is_draining = true;
  rollouts->draining_since = lb_clock_monotonic ();
  lb_list_init (&actions);
  lc_rollouts_drain (rollouts->core, lb_clock_monotonic (), &actions);
  ln_rollouts_execute_actions (rollouts, &actions);
}

static bool
is_rollouts_task_idle (const LnTask *task)
{
  const LnRollouts *rollouts = (const LnRollouts *)task;

  return rollouts->n_operations == 0 && lb_list_is_empty (&rollouts->steps)
         && lb_list_is_empty (&rollouts->calls)
         && lc_rollouts_count_requests_and_waiting_pulls (rollouts->core) == 0;
}

static void
free_step_calls (LbList *calls)
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
free_rollouts_task (LnTask *task)
{
  LnRollouts *rollouts = (LnRollouts *)task;

  free_step_calls (&rollouts->calls);
  LB_LIST_FOREACH (&rollouts->steps, LnTrackedStep, link, step)
  {
    free_step_calls (&step->waiting_calls);
    ln_rollouts_remove_step (rollouts, step);
  }
  ln_step_store_free (rollouts->store);
  lc_rollouts_free (rollouts->core);
  lc_resource_set_free (rollouts->resources);
  free (rollouts->members);
  event_free (rollouts->timer);
  free (rollouts);
}

static const LnTaskClass rollouts_class = { .name = "rollouts",
                                            .receive = receive_message_for_rollouts_task,
                                            .drain = drain_rollouts_task,
                                            .is_idle = is_rollouts_task_idle,
                                            .free = free_rollouts_task };

static LcRequestId
new_request_id (void *user)
{
  return ln_context_next_request_id (user);
}

LnTask *
ln_rollouts_task_new (LnContext *context)
{
  LnRollouts *rollouts = LB_NEW (LnRollouts);
  LcRolloutSettings settings = lc_rollout_settings_default ();

  settings.seed = ln_context_random_seed (context);
  LB_COPY (settings.instance, context->instance);
  rollouts->task.klass = &rollouts_class;
  rollouts->task.hub = context->hub;
  rollouts->context = context;
  rollouts->core = lc_rollouts_new (&settings);
  lc_rollouts_set_request_id_source (rollouts->core, new_request_id, context);
  rollouts->store = ln_step_store_new (context);
  rollouts->timer = evtimer_new (context->base, on_rollouts_tick_timer, rollouts);
  lb_list_init (&rollouts->steps);
  lb_list_init (&rollouts->calls);
  return &rollouts->task;
}

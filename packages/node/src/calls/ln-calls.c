#include "ln-calls-private.h"

#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lb-switch.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STREAM_KEEP_ALIVE_PERIOD (500 * LB_MSEC)
/* Period of posting the engines' lasting paces, which change within tens of seconds. */
#define ENGINE_PACES_PERIOD (2 * LB_SEC)

static LbMetric in_progress
    = LB_GAUGE_INIT ("lentilspindle_requests_in_progress", NULL, "Requests waiting or running");
static LbMetric waiting_live = LB_GAUGE_INIT ("lentilspindle_requests_waiting",
                                              "kind=\"live\"",
                                              "Requests waiting for an endpoint");
static LbMetric waiting_samples = LB_GAUGE_INIT ("lentilspindle_requests_waiting",
                                                 "kind=\"sample\"",
                                                 "Requests waiting for an endpoint");
static LbMetric waiting_service = LB_GAUGE_INIT ("lentilspindle_requests_waiting",
                                                 "kind=\"service\"",
                                                 "Requests waiting for an endpoint");
#define PACE_HELP "Lasting time per token of the engines whose pace is known, in microseconds"
static LbMetric engine_paces[] = {
  LB_GAUGE_INIT ("lentilspindle_engine_token_microseconds", "value=\"lowest\"", PACE_HELP),
  LB_GAUGE_INIT ("lentilspindle_engine_token_microseconds", "value=\"median\"", PACE_HELP),
  LB_GAUGE_INIT ("lentilspindle_engine_token_microseconds", "value=\"highest\"", PACE_HELP),
};
static LbMetric engines_with_pace = LB_GAUGE_INIT ("lentilspindle_engines_with_known_pace",
                                                   NULL,
                                                   "Engines whose lasting pace is known");
static LbMetric invariant_failures
    = LB_GAUGE_INIT ("lentilspindle_broken_invariants",
                     NULL,
                     "Dispatch actions suppressed because they would have violated an invariant");

static void
on_caller_disconnected (LnExchange *exchange)
{
  LnExchangeHandler *handler = ln_exchange_user_data (exchange);

  if (handler)
    handler->klass->on_caller_disconnected (handler);
}

static void
submit_sample_or_score (LnCalls *calls, const LnSampleMessage *message)
{
  bool is_score = message->spec.kind == LC_KIND_SERVICE;
  LnCall *call = ln_call_new (is_score ? LN_CALL_SCORE : LN_CALL_SAMPLE);

  call->spec = message->spec;
  call->spec.is_owed = true;
  LB_COPY (call->organisation, message->organisation);
  if (message->outgoing)
    lc_outgoing_request_copy (&call->outgoing, message->outgoing);
  else if (is_score)
    {
      call->method = lb_strdup ("POST");
      call->path = lb_strdup ("/score");
      call->raw_body = lb_strdup (message->body);
      call->raw_length = strlen (message->body);
    }
  else
    {
      call->body = json_tokener_parse (message->body);
      if (!json_object_is_type (call->body, json_type_object))
        {
          ln_calls_post_sample_done (calls, call->spec.id, LB_ERROR_BAD_JSON, NULL);
          ln_call_free (call);
          return;
        }
      call->resume_text = message->resume_text ? lb_strdup (message->resume_text) : NULL;
    }
  ln_calls_submit (calls, call);
}

static void
cancel_sample (LnCalls *calls, const LnSampleCancelMessage *message)
{
  LnCall *call = ln_calls_find (calls, message->request);

  if (message->only_if_waiting
      && !lc_dispatch_is_request_waiting (calls->dispatch, message->request))
    return;
  if (call && message->needs_move_decision)
    ln_calls_move_or_refuse (calls, call, &message->move);
  else if (call && message->return_partial)
    ln_calls_cancel_returning_text (calls, call, NULL);
  else if (call)
    ln_calls_cancel (calls, call);
}

static void
record_endpoint_leaving (LnCalls *calls, const LnEndpointLeavingMessage *message)
{
  LbList actions;

  lb_list_init (&actions);
  if (message->withdrawn)
    lc_endpoints_clear_platform_leaving_mark (lc_dispatch_get_endpoints (calls->dispatch),
                                              message->endpoint, lb_clock_monotonic ());
  else
    lc_dispatch_mark_endpoint_leaving (calls->dispatch, message->endpoint, message->incarnation,
                                       message->source, lb_clock_monotonic (), &actions);
  ln_calls_perform_actions (calls, &actions);
  ln_calls_broadcast_endpoint_leaving (calls, message->endpoint);
}

void
ln_calls_broadcast_endpoint_leaving (LnCalls *calls, const char *endpoint)
{
  ln_leaving_announce_endpoint (calls->leaving,
                                lc_endpoints_find (lc_dispatch_get_endpoints (calls->dispatch),
                                                   endpoint));
}

/* An endpoint's registration shows that the endpoint is alive and its weight version, but not its
 * load. Until a reply reports the load, the number of requests that this instance has in flight at
 * the endpoint is used. */
static void
record_endpoint_registration (LnCalls *calls, const LnEndpointListedMessage *message)
{
  LcEndpoint *endpoint
      = lc_endpoints_find (lc_dispatch_get_endpoints (calls->dispatch), message->endpoint);
  LcLoadReport report = { .version = message->version,
                          .measured_at = lb_clock_monotonic (),
                          .is_from_registry = true };
  LbList actions;

  if (!endpoint)
    return;
  LB_COPY (report.incarnation, message->endpoint);
  report.running = endpoint->in_flight;
  lb_list_init (&actions);
  lc_dispatch_record_load_report (calls->dispatch, message->endpoint, &report, report.measured_at,
                                  &actions);
  ln_calls_perform_actions (calls, &actions);
}

static void
set_endpoint_list_origin (LnCalls *calls, const LnEndpointListAppliedMessage *message)
{
  calls->list_requested_at = message->requested_at;
  LB_COPY (calls->list_requested_by, message->listed_by);
}

static void
receive_peer_frame (LnCalls *calls, const LnPeerMessage *frame)
{
  LnEndpointLeavingMessage leaving;

  if (ln_crashes_receive_frame (calls->crashes, frame))
    return;
  if (ln_leaving_receive_frame (calls->leaving, frame, &leaving))
    record_endpoint_leaving (calls, &leaving);
}

static void
configure_dispatch_and_poller (LnCalls *calls, const LcResourceSet *set)
{
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_configure (calls->dispatch, set, lb_clock_monotonic (), &actions);
  if (calls->poller)
    ln_poller_configure (calls->poller, set);
  ln_calls_perform_actions (calls, &actions);
}

static void
on_load_report (const char *endpoint, const LcLoadReport *report, void *user)
{
  LnCalls *calls = user;
  LnEndpointReportMessage message = { .base = LN_MESSAGE (LN_ENDPOINT_REPORT), .report = *report };
  LnTask *config = ln_hub_find_task (calls->task.hub, "config");
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_record_load_report (calls->dispatch, endpoint, report, lb_clock_monotonic (),
                                  &actions);
  ln_calls_perform_actions (calls, &actions);
  ln_calls_broadcast_endpoint_leaving (calls, endpoint);
  LB_COPY (message.endpoint, endpoint);
  if (config)
    LN_POST (calls->task.hub, config, message);
}

static void
on_endpoint_crashed (const char *endpoint,
                     LbTime broken_at,
                     const LcFingerprint *fingerprints,
                     size_t n_fingerprints,
                     void *user)
{
  LnCalls *calls = user;

  ln_crashes_report_crash (calls->crashes, endpoint, broken_at, fingerprints, n_fingerprints);
}

static void
on_cache_event (const char *endpoint, uint64_t sequence, bool stored, uint64_t prefix, void *user)
{
  LnCalls *calls = user;

  lc_endpoints_apply_cache_event (lc_dispatch_get_endpoints (calls->dispatch), endpoint, sequence,
                                  stored, prefix, lb_clock_monotonic ());
}

static void
receive_message_for_calls_task (LnTask *task, const LnMessage *message)
{
  LnCalls *calls = (LnCalls *)task;
  const LnEndpointSwapMessage *swap;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      ln_calls_handle_request (calls, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CALLER_DISCONNECTED:
      on_caller_disconnected (((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CONFIG:
      configure_dispatch_and_poller (calls, ((const LnConfigMessage *)message)->set);
      break;
    case LN_MEMBERS:
      ln_relays_set_members (calls->relays, (const LnMembersMessage *)message);
      break;
    case LN_READY:
      calls->is_ready = ((const LnReadyMessage *)message)->ready;
      break;
    case LN_SAMPLE:
      submit_sample_or_score (calls, (const LnSampleMessage *)message);
      break;
    case LN_SAMPLE_CANCEL:
      cancel_sample (calls, (const LnSampleCancelMessage *)message);
      break;
    case LN_ENDPOINT_LEAVING:
      record_endpoint_leaving (calls, (const LnEndpointLeavingMessage *)message);
      break;
    case LN_PEER_FRAME:
      receive_peer_frame (calls, (const LnPeerMessage *)message);
      break;
    case LN_DESIRED:
      ln_admission_state_update (&calls->admission_state, (const LnDesiredMessage *)message);
      ln_routed_fail_calls_with_revoked_key (calls);
      break;
    case LN_DESIRED_CONFIRMED:
      calls->admission_state.confirmed_at = ((const LnDesiredConfirmedMessage *)message)->at;
      break;
    case LN_ENDPOINT_LIST_APPLIED:
      set_endpoint_list_origin (calls, (const LnEndpointListAppliedMessage *)message);
      break;
    case LN_ENDPOINT_LISTED:
      record_endpoint_registration (calls, (const LnEndpointListedMessage *)message);
      break;
    case LN_ENDPOINT_SWAP:
      swap = (const LnEndpointSwapMessage *)message;
      lc_endpoints_set_weight_swap_state (lc_dispatch_get_endpoints (calls->dispatch),
                                          swap->endpoint, swap->pending, swap->until,
                                          lb_clock_monotonic ());
      break;
    default:
      break;
    }
}

/* Calls that would run until the process is killed get an answer shortly before. Items of batches
 * go on at other instances. */
static void
limit_deadlines_of_calls (LnCalls *calls)
{
  LB_LIST_FOREACH (&calls->active_calls, LnCall, link, call)
  {
    if (call->kind != LN_CALL_SAMPLE)
      lc_dispatch_limit_deadline (calls->dispatch, call->spec.id, calls->context->stop_at);
  }
}

static void
drain_calls_task (LnTask *task)
{
  LnCalls *calls = (LnCalls *)task;
  LbList actions;

  calls->is_draining = true;
  if (calls->context->stop_at > 0)
    limit_deadlines_of_calls (calls);
  /* On a shared platform, callers connect for some seconds after the instance reported that it is
   * not ready, so the instance serves calls until it exits. */
  if (calls->context->dialect)
    return;
  lb_list_init (&actions);
  lc_dispatch_drain (calls->dispatch, lb_clock_monotonic (), &actions);
  ln_calls_perform_actions (calls, &actions);
}

static bool
is_calls_task_idle (const LnTask *task)
{
  const LnCalls *calls = (const LnCalls *)task;

  return lb_list_is_empty (&calls->active_calls) && ln_relays_is_idle (calls->relays)
         && ln_claims_is_idle (calls->claims) && ln_ticket_calls_is_idle (calls->tickets);
}

static void
free_calls_task (LnTask *task)
{
  LnCalls *calls = (LnCalls *)task;

  HASH_CLEAR (hh, calls->by_id);
  LB_LIST_FOREACH (&calls->active_calls, LnCall, link, call)
  {
    ln_call_free (call);
  }
  ln_relays_free (calls->relays);
  ln_leaving_free (calls->leaving);
  ln_endpoint_checks_free (calls->checks);
  ln_crashes_free (calls->crashes);
  ln_claims_free (calls->claims);
  ln_ticket_calls_free (calls->tickets);
  ln_poller_free (calls->poller);
  event_free (calls->dispatch_timer);
  ln_ticker_remove (ln_context_get_ticker (calls->context), &calls->periodic_call);
  lc_dispatch_free (calls->dispatch);
  lc_desired_unref (calls->admission_state.desired);
  lc_utilisation_free (calls->utilisation);
  free (calls);
}

static const LnTaskClass calls_class = { .name = "calls",
                                         .receive = receive_message_for_calls_task,
                                         .drain = drain_calls_task,
                                         .is_idle = is_calls_task_idle,
                                         .free = free_calls_task };

static LcDispatch *
new_dispatch_from_settings (const LnContext *context)
{
  const LnSettings *settings = context->settings;
  LcDispatchSettings dispatch = { .queue_limit = settings->calls.queue_limit,
                                  .default_deadline = settings->calls.default_deadline_ms * LB_MSEC,
                                  .retry_budget = settings->calls.retry_budget,
                                  .hedge_after = settings->calls.hedge_after_ms * LB_MSEC,
                                  .seed = ln_context_random_seed (context) };

  LB_COPY (dispatch.data_centre, settings->instance.data_centre);
  LB_COPY (dispatch.policy, settings->calls.policy);
  return lc_dispatch_new (&dispatch);
}

static void
update_pace_gauges (const LnCalls *calls)
{
  LcLastingPaces paces
      = lc_endpoints_summarise_lasting_paces (lc_dispatch_get_endpoints (calls->dispatch),
                                              LC_ENDPOINT_ENGINE);

  lb_metric_set (&engines_with_pace, (int64_t)paces.n_known);
  lb_metric_set (&engine_paces[0], (int64_t)(paces.lowest * LB_SEC));
  lb_metric_set (&engine_paces[1], (int64_t)(paces.median * LB_SEC));
  lb_metric_set (&engine_paces[2], (int64_t)(paces.highest * LB_SEC));
}

static void
update_request_gauges (const LnCalls *calls)
{
  lb_metric_set (&in_progress, (int64_t)lc_dispatch_count_requests_in_progress (calls->dispatch));
  lb_metric_set (&waiting_live,
                 (int64_t)lc_dispatch_count_waiting_requests (calls->dispatch, LC_KIND_LIVE));
  lb_metric_set (&waiting_samples,
                 (int64_t)lc_dispatch_count_waiting_requests (calls->dispatch, LC_KIND_SAMPLE));
  lb_metric_set (&waiting_service,
                 (int64_t)lc_dispatch_count_waiting_requests (calls->dispatch, LC_KIND_SERVICE));
  lb_metric_set (&invariant_failures,
                 (int64_t)lc_dispatch_count_invariant_failures (calls->dispatch));
}

static void
post_overloaded_service_if_changed (LnCalls *calls)
{
  const char *service = lc_utilisation_find_overloaded_service (calls->utilisation);
  LnTask *peers = ln_hub_find_task (calls->task.hub, "peers");
  LnServiceOverloadedMessage message = { .base = LN_MESSAGE (LN_SERVICE_OVERLOADED) };

  if (!peers || strcmp (service, calls->overloaded_service) == 0)
    return;
  lb_log (LB_LOG_INFO, "service_crowded", LB_TEXT ("service", service),
          LB_TEXT ("before", calls->overloaded_service));
  LB_COPY (calls->overloaded_service, service);
  LB_COPY (message.service, service);
  LN_POST (calls->task.hub, peers, message);
}

/* Posts the engines' lasting paces, which the task "rollouts" writes to the rows of batches. */
static void
post_engine_paces_if_due (LnCalls *calls, LbTime now)
{
  LcEndpoints *endpoints = lc_dispatch_get_endpoints (calls->dispatch);
  LnTask *rollouts = ln_hub_find_task (calls->task.hub, "rollouts");
  LnEnginePacesMessage message = { .base = LN_MESSAGE (LN_ENGINE_PACES) };

  if (!rollouts || !calls->context->dialect || now < calls->next_paces_at
      || !lb_switch_is_on (LB_SWITCH_LAG_SHARES))
    return;
  calls->next_paces_at = now + ENGINE_PACES_PERIOD;
  for (size_t i = 0; i < lc_endpoints_count (endpoints); i++)
    {
      const LcEndpoint *endpoint = lc_endpoints_at (endpoints, i);
      if (endpoint->member.kind == LC_ENDPOINT_ENGINE)
        lc_engine_paces_add (&message.paces, endpoint->member.name,
                             lc_endpoint_lasting_token_seconds (endpoint));
    }
  lc_engine_paces_clear_if_even (&message.paces);
  LN_POST (calls->task.hub, rollouts, message);
}

/* Updates gauges and usage, and sends keep-alives, by which callers tell a slow answer from a dead
 * connection. */
static void
on_calls_periodic_timer (void *user)
{
  LnCalls *calls = user;
  LbTime now = lb_clock_monotonic ();

  update_request_gauges (calls);
  update_pace_gauges (calls);
  post_overloaded_service_if_changed (calls);
  post_engine_paces_if_due (calls, now);
  ln_crashes_tick (calls->crashes, now);
  LB_LIST_FOREACH (&calls->active_calls, LnCall, link, call)
  {
    ln_call_send_keep_alive (call, now - STREAM_KEEP_ALIVE_PERIOD, now);
    ln_calls_count_running_call_in_usage (calls, call, now);
  }
}

LnTask *
ln_calls_task_new (LnContext *context)
{
  static const LnPollerHandlers handlers
      = { .on_report = on_load_report, .on_cache_event = on_cache_event };
  LnCalls *calls = LB_NEW (LnCalls);

  calls->task.klass = &calls_class;
  calls->task.hub = context->hub;
  calls->context = context;
  lb_list_init (&calls->active_calls);
  calls->dispatch = new_dispatch_from_settings (context);
  calls->utilisation = lc_utilisation_new ();
  calls->tickets
      = ln_ticket_calls_new (context->instance, context->incarnation, context->settings->seed);
  calls->claims = ln_claims_new (context->base, context->platform, context->incarnation);
  calls->relays = ln_relays_new (context);
  calls->leaving = ln_leaving_new (&calls->task);
  calls->crashes = ln_crashes_new (context, lc_dispatch_get_quarantine (calls->dispatch));
  /* Requests the crash reports before the routes, so that the first call finds them loaded. */
  ln_crashes_tick (calls->crashes, lb_clock_monotonic ());
  calls->checks = ln_endpoint_checks_new (context, on_endpoint_crashed, calls);
  calls->dispatch_timer = evtimer_new (context->base, ln_calls_on_dispatch_timer, calls);
  if (!context->dialect)
    calls->poller
        = ln_poller_new (context->base, context->http_pool,
                         context->settings->calls.load_poll_ms * LB_MSEC, &handlers, calls);
  calls->periodic_call = (LnPeriodicCall){ .period = STREAM_KEEP_ALIVE_PERIOD / 2,
                                           .callback = on_calls_periodic_timer,
                                           .user = calls };
  ln_ticker_add (ln_context_get_ticker (context), &calls->periodic_call);
  return &calls->task;
}

#include "ln-calls-private.h"

#include "ln-dialect.h"
#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lh-request-check.h"

#include <stdlib.h>
#include <string.h>

/* The first read of the routes from the store takes some tens of milliseconds, so a retry after
 * this time finds the routes on this or another instance. */
#define NOT_READY_RETRY_AFTER (300 * LB_MSEC)
/* Another instance can serve the request at once. */
#define DRAINING_RETRY_AFTER (100 * LB_MSEC)

static void
refuse_request (LnExchange *exchange, LbErrorCode code, const char *detail, LbTime retry_after)
{
  LbError error = { 0 };

  lb_error_set (&error, code, "", "%s", detail);
  ln_exchange_reply_error (exchange, &error, retry_after);
}

static void
hand_over_exchange_to_task (LnCalls *calls, LnExchange *exchange, const char *name)
{
  LnTask *task = ln_hub_find_task (calls->task.hub, name);
  LnExchangeMessage message = { .base = LN_MESSAGE (LN_EXCHANGE), .exchange = exchange };

  ln_exchange_set_owner (exchange, task);
  LN_POST (calls->task.hub, task, message);
}

typedef struct
{
  const LnDialect *dialect;
  LcOutgoingRequest *outgoing;
} HeaderCopy;

static void
copy_header_to_outgoing_request (const char *name, const char *value, void *user)
{
  HeaderCopy *copy = user;

  if (!lh_is_hop_by_hop_header (name) && !copy->dialect->is_own_header (name))
    lc_outgoing_request_add_header (copy->outgoing, name, value);
}

static void
copy_request_to_call (const LnCalls *calls,
                      LnCall *call,
                      const LnExchange *exchange,
                      const LnInbound *inbound)
{
  HeaderCopy copy = { .dialect = calls->context->dialect, .outgoing = &call->outgoing };
  const char *query = ln_exchange_get_raw_query (exchange);
  size_t length;
  const char *body = ln_exchange_body (exchange, &length);

  LB_COPY (call->outgoing.id, inbound->id ? inbound->id : "");
  call->outgoing.method = lb_strdup (ln_exchange_method (exchange));
  call->outgoing.path
      = lb_asprintf ("%s%s%s", ln_exchange_path (exchange), query ? "?" : "", query ? query : "");
  call->outgoing.host = lb_strdup (inbound->host);
  call->outgoing.body = lb_memdup (body, length + 1);
  call->outgoing.body_length = length;
  ln_exchange_foreach_request_header (exchange, copy_header_to_outgoing_request, &copy);
}

/* Returns the earliest of the caller's deadline, the route's timeout and the default deadline. */
static LbTime
compute_call_deadline (const LnCalls *calls,
                       const LcRoute *route,
                       const LnInbound *inbound,
                       LbTime start)
{
  LbTime timeout = calls->context->settings->calls.default_deadline_ms * LB_MSEC;

  if (inbound->deadline > 0 && inbound->deadline < timeout)
    timeout = inbound->deadline;
  if (route->timeout > 0 && route->timeout < timeout)
    timeout = route->timeout;
  return start + timeout;
}

/* Makes all callers of an organisation one flow of fair queueing, so that organisations share a
 * service's endpoints fairly. */
static void
set_call_organisation (LnCall *call, const LcAdmission *admission)
{
  if (!admission->organisation.name[0])
    return;
  LB_COPY (call->organisation, admission->organisation.name);
  LB_COPY (call->spec.flow, admission->organisation.name);
  call->spec.organisation_priority = admission->organisation.priority;
  call->has_key = true;
  call->key = admission->digest;
}

static LnCall *
new_service_call (LnCalls *calls,
                  LnExchange *exchange,
                  const LcRoute *route,
                  const LcAdmission *admission,
                  const char *service,
                  const LnInbound *inbound)
{
  static const LnExchangeHandlerClass call_class
      = { .on_caller_disconnected = ln_calls_on_caller_disconnected };
  LnCall *call = ln_call_new (LN_CALL_SERVICE);

  call->handler.klass = &call_class;
  call->owner = calls;
  call->exchange = exchange;
  call->spec.id = ln_context_next_request_id (calls->context);
  call->spec.kind = LC_KIND_SERVICE;
  call->spec.delivery = LC_DELIVER_BUFFERED;
  call->spec.repeatable = route->kind == LC_ROUTE_IDEMPOTENT;
  call->spec.priority = route->priority;
  call->spec.max_attempts = route->max_attempts;
  call->spec.hedge_after = lc_route_hedge_delay (route);
  call->spec.expected_tokens = 1;
  /* The caller waits since it sent the request; a large body may have taken long to arrive. */
  call->spec.deadline
      = compute_call_deadline (calls, route, inbound, ln_exchange_get_start_time (exchange));
  if (calls->context->stop_at > 0 && call->spec.deadline > calls->context->stop_at)
    call->spec.deadline = calls->context->stop_at;
  LB_COPY (call->spec.caller, route->name);
  LB_COPY (call->spec.pool, service);
  set_call_organisation (call, admission);
  copy_request_to_call (calls, call, exchange, inbound);
  ln_exchange_set_user_data (exchange, call);
  return call;
}

/* Whether the process may be killed while it runs the call. A call that may be repeated is accepted
 * all the same: most calls end long before their deadline, and its caller may try again. */
static bool
may_be_cut_at_stop (const LnCalls *calls,
                    const LcRoute *route,
                    const LnInbound *inbound,
                    LbTime now)
{
  LbTime stop_at = calls->context->stop_at;

  return stop_at > 0 && compute_call_deadline (calls, route, inbound, now) > stop_at
         && (route->kind != LC_ROUTE_IDEMPOTENT || now >= stop_at);
}

/* An instance that has just started, or has just received a new service, knows the routes before
 * the endpoints. It then replies "not ready", since callers do not retry after "not found". */
static void
submit_routed_call (LnCalls *calls,
                    LnExchange *exchange,
                    const LcRoute *route,
                    const LcAdmission *admission,
                    const LnInbound *inbound)
{
  const char *service = lc_route_choose_service (route, ln_context_random_uniform (calls->context));

  if (may_be_cut_at_stop (calls, route, inbound, lb_clock_monotonic ()))
    refuse_request (exchange, LB_ERROR_DRAINING,
                    "this instance is shutting down and may stop before the request ends",
                    DRAINING_RETRY_AFTER);
  else if (lc_dispatch_has_service (calls->dispatch, service))
    ln_calls_submit (calls, new_service_call (calls, exchange, route, admission, service, inbound));
  else
    refuse_request (exchange, LB_ERROR_NOT_READY,
                    "the endpoints of the route are not known on this instance yet",
                    NOT_READY_RETRY_AFTER);
}

void
ln_routed_handle_platform_request (LnCalls *calls, LnExchange *exchange)
{
  const LcDesired *desired = calls->admission_state.desired;
  const LcRoute *route = NULL;
  LcAdmission admission;
  LnInbound inbound;

  calls->context->dialect->read_inbound (exchange, &inbound);
  if (!desired)
    {
      refuse_request (exchange, LB_ERROR_NOT_READY, "no routes are known on this instance yet",
                      NOT_READY_RETRY_AFTER);
      return;
    }
  route = lc_desired_match_route (desired, inbound.host, ln_exchange_path (exchange));
  if (!route)
    {
      lb_log (LB_LOG_INFO, "no_route", LB_TEXT ("id", inbound.id), LB_TEXT ("host", inbound.host),
              LB_TEXT ("path", ln_exchange_path (exchange)), LB_INT ("desired", desired->version));
      refuse_request (exchange, LB_ERROR_UNKNOWN_PATH, "no route matches the host and path", 0);
      return;
    }
  ln_admission_check_request (calls->context, &calls->admission_state, route->is_public, &inbound,
                              &admission);
  if (admission.error != LB_OK)
    {
      ln_admission_refuse_request (exchange, &calls->admission_state, &inbound, &admission);
      return;
    }
  if (!lh_method_is_supported (ln_exchange_method (exchange)))
    {
      refuse_request (exchange, LB_ERROR_BAD_VALUE, "the method is not supported", 0);
      return;
    }
  if (route->kind == LC_ROUTE_BATCH)
    hand_over_exchange_to_task (calls, exchange, "rollouts");
  else
    submit_routed_call (calls, exchange, route, &admission, &inbound);
}

/* Excludes calls that were sent to an endpoint: they may have run, but the error for a revoked key
 * says "not run". */
static bool
is_queued_call_with_revoked_key (const LnCall *call, const LcDesired *desired)
{
  const LcOrganisation *holder = NULL;

  if (!call->has_key || !call->exchange || call->was_sent)
    return false;
  if (desired->organisations)
    holder = lc_organisations_find_by_key (desired->organisations, &call->key);
  return !holder || strcmp (holder->name, call->organisation) != 0;
}

/* Returns the first queued call whose API key was revoked; NULL: none. Ending a call may end other
 * calls, so the search starts again after each one. */
static LnCall *
find_queued_call_with_revoked_key (const LnCalls *calls)
{
  LB_LIST_FOREACH (&calls->active_calls, LnCall, link, call)
  {
    if (is_queued_call_with_revoked_key (call, calls->admission_state.desired))
      return call;
  }
  return NULL;
}

/* Fails queued calls whose API key was revoked. Otherwise, under load, calls that wait in the queue
 * for seconds would run although their key was revoked. */
void
ln_routed_fail_calls_with_revoked_key (LnCalls *calls)
{
  LnCall *call = NULL;

  while ((call = find_queued_call_with_revoked_key (calls)))
    {
      lb_log (LB_LOG_INFO, "request_given_up", LB_INT ("request", call->spec.id),
              LB_TEXT ("id", call->outgoing.id), LB_TEXT ("organisation", call->organisation),
              LB_TEXT ("error", lb_error_name (LB_ERROR_UNAUTHORIZED)));
      ln_call_reply_error (call, LB_ERROR_UNAUTHORIZED, 0);
      ln_calls_cancel (calls, call);
    }
}

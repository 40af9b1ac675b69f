#include "ln-calls-private.h"

#include "ln-dialect.h"
#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* A caller that found this instance without routes may find another one with them, or this one a
 * little later: a first read of the store takes some tens of milliseconds. */
#define RETRY_WITHOUT_ROUTES (300 * LB_MSEC)

static void
refuse (LnExchange *exchange, LbErrorCode code, const char *detail, LbTime retry_after)
{
  LbError error = { 0 };

  lb_error_set (&error, code, "", "%s", detail);
  ln_exchange_reply_error (exchange, &error, retry_after);
}

static void
pass_on (LnCalls *calls, LnExchange *exchange, const char *name)
{
  LnTask *task = ln_hub_find_task (calls->task.hub, name);
  LnExchangeMessage message = { .base = LN_MESSAGE (LN_EXCHANGE), .exchange = exchange };

  ln_exchange_set_owner (exchange, task);
  LN_POST (calls->task.hub, task, message);
}

typedef struct
{
  const LnDialect *dialect;
  LcOutgoing *outgoing;
} HeaderCopy;

static void
copy_header (const char *name, const char *value, void *user)
{
  HeaderCopy *copy = user;

  if (!ln_call_is_hop_header (name) && !copy->dialect->is_own_header (name))
    lc_outgoing_add_header (copy->outgoing, name, value);
}

static void
copy_request (const LnCalls *calls, LnCall *call, const LnExchange *exchange, const LnInbound *in)
{
  HeaderCopy copy = { .dialect = calls->context->dialect, .outgoing = &call->outgoing };
  const char *query = ln_exchange_raw_query (exchange);
  size_t length;
  const char *body = ln_exchange_body (exchange, &length);

  LB_COPY (call->outgoing.id, in->id ? in->id : "");
  call->outgoing.method = lb_strdup (ln_exchange_method (exchange));
  call->outgoing.path
      = lb_asprintf ("%s%s%s", ln_exchange_path (exchange), query ? "?" : "", query ? query : "");
  call->outgoing.host = lb_strdup (in->host);
  call->outgoing.body = lb_memdup (body, length + 1);
  call->outgoing.body_length = length;
  ln_exchange_foreach_header (exchange, copy_header, &copy);
}

/* The caller's own deadline, or the longest time that the operators want it kept waiting. */
static LbTime
deadline_of (const LnCalls *calls, const LcRoute *route, const LnInbound *in, LbTime now)
{
  LbTime wait = calls->context->settings->calls.default_deadline_ms * LB_MSEC;

  if (in->deadline > 0 && in->deadline < wait)
    wait = in->deadline;
  if (route->timeout > 0 && route->timeout < wait)
    wait = route->timeout;
  return now + wait;
}

/* Callers of one organisation share the endpoints of a service as one, however many they are. */
static void
set_organisation (LnCall *call, const LcAdmission *admission)
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
make_call (LnCalls *calls,
           LnExchange *exchange,
           const LcRoute *route,
           const LcAdmission *admission,
           const char *service,
           const LnInbound *in)
{
  static const LnHolderClass call_class = { .caller_gone = ln_calls_caller_gone };
  LnCall *call = ln_call_new (LN_CALL_SERVICE);

  call->holder.klass = &call_class;
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
  call->spec.deadline = deadline_of (calls, route, in, lb_clock_monotonic ());
  LB_COPY (call->spec.caller, route->name);
  LB_COPY (call->spec.pool, service);
  set_organisation (call, admission);
  copy_request (calls, call, exchange, in);
  ln_exchange_set_user_data (exchange, call);
  return call;
}

/* Guards against a "not found" for a route that is there: an instance that has just started, or
 * just heard of a new service, knows the routes before it has the list of endpoints, and the caller
 * would not come back. */
static void
submit (LnCalls *calls,
        LnExchange *exchange,
        const LcRoute *route,
        const LcAdmission *admission,
        const LnInbound *in)
{
  const char *service = lc_route_choose_service (route, ln_context_random_uniform (calls->context));

  if (lc_dispatch_has_service (calls->dispatch, service))
    ln_calls_submit (calls, make_call (calls, exchange, route, admission, service, in));
  else
    refuse (exchange, LB_ERROR_NOT_READY, "the endpoints of the route are not known here yet",
            RETRY_WITHOUT_ROUTES);
}

void
ln_routed_take (LnCalls *calls, LnExchange *exchange)
{
  const LcDesired *desired = calls->belief.desired;
  const LcRoute *route = NULL;
  LcAdmission admission;
  LnInbound in;

  calls->context->dialect->read_inbound (exchange, &in);
  if (!desired)
    {
      refuse (exchange, LB_ERROR_NOT_READY, "no routes are known here yet", RETRY_WITHOUT_ROUTES);
      return;
    }
  route = lc_desired_match_route (desired, in.host, ln_exchange_path (exchange));
  if (!route)
    {
      lb_log (LB_LOG_INFO, "no_route", LB_TEXT ("id", in.id), LB_TEXT ("host", in.host),
              LB_TEXT ("path", ln_exchange_path (exchange)), LB_INT ("desired", desired->version));
      refuse (exchange, LB_ERROR_UNKNOWN_PATH, "no route leads there", 0);
      return;
    }
  ln_admission_check (calls->context, &calls->belief, route->is_public, &in, &admission);
  if (admission.error != LB_OK)
    {
      ln_admission_refuse (exchange, &calls->belief, &in, &admission);
      return;
    }
  if (!lh_method_is_known (ln_exchange_method (exchange)))
    {
      refuse (exchange, LB_ERROR_BAD_VALUE, "this method can't be passed on", 0);
      return;
    }
  if (route->kind == LC_ROUTE_BATCH)
    pass_on (calls, exchange, "rollouts");
  else
    submit (calls, exchange, route, &admission, &in);
}

/* Not yet given to any endpoint, so that "not run" is true. */
static bool
waits_under_lost_key (const LnCall *call, const LcDesired *desired)
{
  const LcOrganisation *holder = NULL;

  if (!call->has_key || !call->exchange || call->was_sent)
    return false;
  if (desired->organisations)
    holder = lc_organisations_find_by_key (desired->organisations, &call->key);
  return !holder || strcmp (holder->name, call->organisation) != 0;
}

/* The first one; the end of a call may end others, so the list is looked through anew after each.
 */
static LnCall *
find_under_lost_key (const LnCalls *calls)
{
  LB_LIST_FOREACH (&calls->all, LnCall, link, call)
  {
    if (waits_under_lost_key (call, calls->belief.desired))
      return call;
  }
  return NULL;
}

/* Guards against a key that was taken away and still works for what waits: under load that is
 * seconds. */
void
ln_routed_review (LnCalls *calls)
{
  LnCall *call = NULL;

  while ((call = find_under_lost_key (calls)))
    {
      lb_log (LB_LOG_INFO, "request_given_up", LB_INT ("request", call->spec.id),
              LB_TEXT ("id", call->outgoing.id), LB_TEXT ("organisation", call->organisation),
              LB_TEXT ("error", lb_error_name (LB_ERROR_UNAUTHORIZED)));
      ln_call_reply_error (call, LB_ERROR_UNAUTHORIZED, 0);
      ln_calls_cancel (calls, call);
    }
}

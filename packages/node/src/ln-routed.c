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
  LnTask *task = ln_hub_find (calls->task.hub, name);
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
  ln_exchange_each_header (exchange, copy_header, &copy);
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

static LnCall *
make_call (LnCalls *calls,
           LnExchange *exchange,
           const LcRoute *route,
           const char *service,
           const LnInbound *in)
{
  static const LnHolderClass call_class = { .caller_gone = ln_calls_caller_gone };
  LnCall *call = ln_call_new (LN_CALL_SERVICE);

  call->holder.klass = &call_class;
  call->owner = calls;
  call->exchange = exchange;
  call->spec.id = ln_context_next_request (calls->context);
  call->spec.kind = LC_KIND_SERVICE;
  call->spec.delivery = LC_DELIVER_WHOLE;
  call->spec.repeatable = route->kind == LC_ROUTE_REPEATABLE;
  call->spec.priority = route->priority;
  call->spec.max_attempts = route->attempts;
  call->spec.hedge_after = lc_route_hedge_after (route);
  call->spec.expected_tokens = 1;
  call->spec.deadline = deadline_of (calls, route, in, lb_clock_monotonic ());
  LB_COPY (call->spec.caller, route->name);
  LB_COPY (call->spec.pool, service);
  copy_request (calls, call, exchange, in);
  ln_exchange_set_user (exchange, call);
  return call;
}

/* Guards against a "not found" for a route that is there: an instance that has just started, or
 * just heard of a new service, knows the routes before it has the list of endpoints, and the caller
 * would not come back. */
static void
submit (LnCalls *calls, LnExchange *exchange, const LcRoute *route, const LnInbound *in)
{
  const char *service = lc_route_service (route, ln_context_draw (calls->context));

  if (lc_dispatch_knows_service (calls->dispatch, service))
    ln_calls_submit (calls, make_call (calls, exchange, route, service, in));
  else
    refuse (exchange, LB_ERROR_NOT_READY, "the endpoints of the route are not known here yet",
            RETRY_WITHOUT_ROUTES);
}

void
ln_routed_take (LnCalls *calls, LnExchange *exchange)
{
  const LcRoute *route = NULL;
  LnInbound in;

  calls->context->dialect->read_inbound (exchange, &in);
  if (!calls->desired)
    {
      refuse (exchange, LB_ERROR_NOT_READY, "no routes are known here yet", RETRY_WITHOUT_ROUTES);
      return;
    }
  route = lc_desired_route (calls->desired, in.host, ln_exchange_path (exchange));
  if (!route)
    {
      lb_log (LB_LOG_INFO, "no_route", LB_TEXT ("id", in.id), LB_TEXT ("host", in.host),
              LB_TEXT ("path", ln_exchange_path (exchange)),
              LB_INT ("desired", calls->desired->version));
      refuse (exchange, LB_ERROR_UNKNOWN_PATH, "no route leads there", 0);
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
    submit (calls, exchange, route, &in);
}

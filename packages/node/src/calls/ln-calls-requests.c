#include "ln-calls-private.h"

#include "ln-call-reader.h"
#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define TICKET_LIFETIME_MS 600000
#define MAX_IDEMPOTENCY_KEY_BYTES 256

/* Refers a caller to other instances if this instance refuses a call because of its state, not
 * because of load. */
void
ln_calls_set_other_instance_headers (LnCalls *calls, LnExchange *exchange, LbErrorCode code)
{
  char addresses[4 * LB_NAME_MAX];

  if (code != LB_ERROR_DRAINING && code != LB_ERROR_NOT_READY)
    return;
  ln_exchange_set_reply_header (exchange, "x-entry-stale", "1");
  ln_relays_list_other_instance_addresses (calls->relays, addresses, sizeof addresses);
  if (addresses[0])
    ln_exchange_set_reply_header (exchange, "x-entry", addresses);
}

static void
refuse_request (LnCalls *calls, LnExchange *exchange, LbErrorCode code, const char *detail)
{
  LbError error = { 0 };

  ln_calls_set_other_instance_headers (calls, exchange, code);
  lb_error_set (&error, code, "", "%s", detail);
  ln_exchange_reply_error (exchange, &error, code == LB_ERROR_NOT_READY ? LB_SEC : 0);
}

void
ln_calls_on_caller_disconnected (LnExchangeHandler *handler)
{
  LnCall *call = (LnCall *)handler;

  ln_exchange_end (call->exchange);
  call->exchange = NULL;
  if (call->is_submitted && !call->has_ticket)
    ln_calls_cancel (call->owner, call);
}

static void
issue_ticket (LnCalls *calls, LnExchange *exchange)
{
  const char *caller = ln_exchange_header (exchange, "x-caller");
  char text[LC_TICKET_SIZE];
  LbError error = { 0 };

  if (calls->is_draining)
    {
      refuse_request (calls, exchange, LB_ERROR_DRAINING, "this instance is shutting down");
      return;
    }
  if (!lc_tickets_issue (ln_ticket_calls_get_tickets (calls->tickets),
                         caller && *caller ? caller : ln_exchange_caller_ip (exchange),
                         lb_clock_monotonic (), text, &error))
    {
      ln_exchange_reply_error (exchange, &error, LB_SEC);
      return;
    }
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "ticket", json_object_new_string (text));
  json_object_object_add (reply, "expires_in_ms", json_object_new_int (TICKET_LIFETIME_MS));
  ln_exchange_reply_json (exchange, 200, reply);
}

/* Hashes the request, so that a ticket that is reused for a different request is detected. */
static uint64_t
hash_request (const LnExchange *exchange)
{
  const char *query = ln_exchange_get_raw_query (exchange);
  size_t length;
  const char *body = ln_exchange_body (exchange, &length);
  uint64_t hash = XXH3_64bits (body, length);

  hash ^= XXH3_64bits_withSeed (ln_exchange_path (exchange), strlen (ln_exchange_path (exchange)),
                                1);
  if (query)
    hash ^= XXH3_64bits_withSeed (query, strlen (query), 2);
  return hash
         ^ XXH3_64bits_withSeed (ln_exchange_method (exchange),
                                 strlen (ln_exchange_method (exchange)), 3);
}

static void
relay_call_to_ticket_issuer (LnCalls *calls,
                             LnCall *call,
                             const char *ticket,
                             const LcTicketDecision *decision)
{
  const LnRelayTarget target = { .instance = decision->instance,
                                 .incarnation = decision->incarnation,
                                 .ticket = ticket,
                                 .caller = call->spec.caller,
                                 .deadline = call->spec.deadline };

  ln_relays_forward_request (calls->relays, call->exchange, &target);
}

static void
replay_stored_answer (LnExchange *exchange, const LcTicketDecision *decision)
{
  LnAnswer answer;

  ln_answer_decode (&answer, decision->status, decision->answer, decision->answer_length);
  ln_answer_send (&answer, exchange);
  ln_answer_clear (&answer);
}

/* Handles a call with a ticket (an idempotency key). As the ticket requires, runs the call, waits
 * for the running call with the same ticket, replays the stored answer, relays the call to another
 * instance or rejects the call. Takes ownership of the call. */
static void
handle_call_with_ticket (LnCalls *calls, LnCall *call, const char *ticket)
{
  LcTicketDecision decision
      = lc_tickets_redeem (ln_ticket_calls_get_tickets (calls->tickets), ticket, call->spec.caller,
                           hash_request (call->exchange), call->spec.id, lb_clock_monotonic ());
  LbError error = { 0 };

  call->has_ticket = true;
  switch (decision.action)
    {
    case LC_TICKET_RUN:
      ln_calls_submit (calls, call);
      return;
    case LC_TICKET_JOIN:
      ln_ticket_calls_add_waiter (calls->tickets, call->exchange, decision.request);
      break;
    case LC_TICKET_REPLAY:
      replay_stored_answer (call->exchange, &decision);
      break;
    case LC_TICKET_RELAY:
      relay_call_to_ticket_issuer (calls, call, ticket, &decision);
      break;
    case LC_TICKET_REJECT:
      lb_error_set (&error, decision.error, "x-ticket", "the ticket is not valid for this request");
      ln_exchange_reply_error (call->exchange, &error, 0);
      break;
    }
  ln_call_free (call);
}

/* ticket: the ticket bound to the idempotency key; NULL: the claim failed with error. */
static void
on_idempotency_key_claimed (const char *ticket, const LbError *error, void *user)
{
  LnCall *call = user;
  LnCalls *calls = call->owner;

  if (!call->exchange)
    {
      ln_call_free (call);
      return;
    }
  if (ticket)
    {
      handle_call_with_ticket (calls, call, ticket);
      return;
    }
  ln_exchange_reply_error (call->exchange, error, LB_SEC);
  ln_call_free (call);
}

static void
claim_idempotency_key (LnCalls *calls, LnCall *call, const char *key)
{
  char ticket[LC_TICKET_SIZE];
  LbError error = { 0 };
  bool ok = strlen (key) <= MAX_IDEMPOTENCY_KEY_BYTES;

  if (!ok)
    lb_error_set (&error, LB_ERROR_OUT_OF_RANGE, "idempotency-key", "expected at most %d bytes",
                  MAX_IDEMPOTENCY_KEY_BYTES);
  else
    ok = lc_tickets_issue (ln_ticket_calls_get_tickets (calls->tickets), call->spec.caller,
                           lb_clock_monotonic (), ticket, &error);
  if (!ok)
    {
      ln_exchange_reply_error (call->exchange, &error, 0);
      ln_call_free (call);
      return;
    }
  ln_claims_claim_idempotency_key (calls->claims, call->spec.caller, key, ticket,
                                   call->spec.deadline + TICKET_LIFETIME_MS * LB_MSEC,
                                   on_idempotency_key_claimed, call);
}

static LnCall *
parse_call_or_reply_error (LnCalls *calls, LnExchange *exchange)
{
  static const LnExchangeHandlerClass call_class
      = { .on_caller_disconnected = ln_calls_on_caller_disconnected };
  LbTime deadline = calls->context->settings->calls.default_deadline_ms * LB_MSEC;
  LbError error = { 0 };
  LnCall *call = ln_call_parse (exchange, lb_clock_monotonic (), deadline, &error);

  if (!call)
    {
      ln_exchange_reply_error (exchange, &error, 0);
      return NULL;
    }
  call->handler.klass = &call_class;
  call->owner = calls;
  call->exchange = exchange;
  call->spec.id = ln_context_next_request_id (calls->context);
  snprintf (call->stream_id, sizeof call->stream_id, "cmpl-%s-%llu", calls->context->incarnation,
            (unsigned long long)call->spec.id);
  LB_COPY (call->outgoing.id, call->stream_id);
  ln_exchange_set_reply_header (exchange, "x-request-id", call->outgoing.id);
  ln_exchange_set_user_data (exchange, call);
  return call;
}

static bool
is_engine_or_service_path (const char *path)
{
  static const char services[] = "/services/";

  return strcmp (path, "/v1/completions") == 0 || strcmp (path, "/v1/chat/completions") == 0
         || strncmp (path, services, sizeof services - 1) == 0;
}

void
ln_calls_handle_request (LnCalls *calls, LnExchange *exchange)
{
  const char *ticket = ln_exchange_header (exchange, "x-ticket");
  const char *key = ln_exchange_header (exchange, "idempotency-key");
  LnCall *call;

  if (calls->context->dialect)
    {
      ln_routed_handle_platform_request (calls, exchange);
      return;
    }
  /* An unconfirmed configuration may be outdated and route calls to endpoints that were replaced.
   */
  if (!calls->is_ready)
    {
      refuse_request (calls, exchange, LB_ERROR_NOT_READY,
                      "the configuration of this instance is not confirmed");
      return;
    }
  /* An instance that has just started may load its configuration before the crash reports. It would
   * then crash one more endpoint with a request that all other instances refuse. */
  if (!ln_crashes_is_initial_read_over (calls->crashes, lb_clock_monotonic ()))
    {
      refuse_request (calls, exchange, LB_ERROR_NOT_READY,
                      "crash reports are not loaded yet on this instance");
      return;
    }
  if (strcmp (ln_exchange_path (exchange), "/v1/tickets") == 0)
    {
      issue_ticket (calls, exchange);
      return;
    }
  if (!is_engine_or_service_path (ln_exchange_path (exchange)))
    {
      refuse_request (calls, exchange, LB_ERROR_UNKNOWN_PATH, "no handler for this path");
      return;
    }
  if (calls->is_draining && !ticket && !key)
    {
      refuse_request (calls, exchange, LB_ERROR_DRAINING, "this instance is shutting down");
      return;
    }
  call = parse_call_or_reply_error (calls, exchange);
  if (!call)
    return;
  if (ticket)
    handle_call_with_ticket (calls, call, ticket);
  else if (key)
    claim_idempotency_key (calls, call, key);
  else
    ln_calls_submit (calls, call);
}

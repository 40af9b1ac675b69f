#include "ln-calls-private.h"

#include "ln-call-reader.h"
#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#define TICKET_LIFE_MS 600000
#define MAX_KEY_BYTES 256

/* A caller that is turned away by the instance, not by the load, hears where to go instead. */
void
ln_calls_add_hints (LnCalls *calls, LnExchange *exchange, LbErrorCode code)
{
  char hint[4 * LB_NAME_MAX];

  if (code != LB_ERROR_DRAINING && code != LB_ERROR_NOT_READY)
    return;
  ln_exchange_set_header (exchange, "x-entry-stale", "1");
  ln_relays_hint (calls->relays, hint, sizeof hint);
  if (hint[0])
    ln_exchange_set_header (exchange, "x-entry", hint);
}

static void
refuse (LnCalls *calls, LnExchange *exchange, LbErrorCode code, const char *detail)
{
  LbError error = { 0 };

  ln_calls_add_hints (calls, exchange, code);
  lb_error_set (&error, code, "", "%s", detail);
  ln_exchange_reply_error (exchange, &error, code == LB_ERROR_NOT_READY ? LB_SEC : 0);
}

/* A caller that leaves takes its call with it, unless a ticket lets it come back for the answer. */
void
ln_calls_caller_gone (LnHolder *holder)
{
  LnCall *call = (LnCall *)holder;

  ln_exchange_end (call->exchange);
  call->exchange = NULL;
  if (call->submitted && !call->ticketed)
    ln_calls_cancel (call->owner, call);
}

static void
issue_ticket (LnCalls *calls, LnExchange *exchange)
{
  const char *caller = ln_exchange_header (exchange, "x-caller");
  char text[LC_TICKET_SIZE];
  LbError error = { 0 };

  if (calls->draining)
    {
      refuse (calls, exchange, LB_ERROR_DRAINING, "this instance is shutting down");
      return;
    }
  if (!lc_tickets_issue (ln_ticket_calls_table (calls->tickets),
                         caller && *caller ? caller : ln_exchange_caller_ip (exchange),
                         lb_clock_monotonic (), text, &error))
    {
      ln_exchange_reply_error (exchange, &error, LB_SEC);
      return;
    }
  struct json_object *reply = json_object_new_object ();
  json_object_object_add (reply, "ticket", json_object_new_string (text));
  json_object_object_add (reply, "expires_in_ms", json_object_new_int (TICKET_LIFE_MS));
  ln_exchange_reply_json (exchange, 200, reply);
}

/* The same ticket must carry the same call. */
static uint64_t
content_hash (const LnExchange *exchange)
{
  const char *query = ln_exchange_raw_query (exchange);
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
relay (LnCalls *calls, LnCall *call, const char *ticket, const LcTicketDecision *verdict)
{
  const LnRelayTarget target = { .instance = verdict->instance,
                                 .incarnation = verdict->incarnation,
                                 .ticket = ticket,
                                 .caller = call->spec.caller,
                                 .deadline = call->spec.deadline };

  ln_relays_pass (calls->relays, call->exchange, &target);
}

static void
reply_kept (LnExchange *exchange, const LcTicketDecision *verdict)
{
  LnAnswer answer;

  ln_answer_decode (&answer, verdict->status, verdict->answer, verdict->answer_length);
  ln_answer_reply (&answer, exchange);
  ln_answer_clear (&answer);
}

/* Takes the call over. */
static void
use_ticket (LnCalls *calls, LnCall *call, const char *ticket)
{
  LcTicketDecision verdict
      = lc_tickets_redeem (ln_ticket_calls_table (calls->tickets), ticket, call->spec.caller,
                           content_hash (call->exchange), call->spec.id, lb_clock_monotonic ());
  LbError error = { 0 };

  call->ticketed = true;
  switch (verdict.action)
    {
    case LC_TICKET_RUN:
      ln_calls_submit (calls, call);
      return;
    case LC_TICKET_JOIN:
      ln_ticket_calls_join (calls->tickets, call->exchange, verdict.request);
      break;
    case LC_TICKET_REPLAY:
      reply_kept (call->exchange, &verdict);
      break;
    case LC_TICKET_RELAY:
      relay (calls, call, ticket, &verdict);
      break;
    case LC_TICKET_REJECT:
      lb_error_set (&error, verdict.error, "x-ticket", "the ticket can't be used");
      ln_exchange_reply_error (call->exchange, &error, 0);
      break;
    }
  ln_call_free (call);
}

static void
on_claimed (const char *ticket, const LbError *error, void *user)
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
      use_ticket (calls, call, ticket);
      return;
    }
  ln_exchange_reply_error (call->exchange, error, LB_SEC);
  ln_call_free (call);
}

static void
claim_key (LnCalls *calls, LnCall *call, const char *key)
{
  char ticket[LC_TICKET_SIZE];
  LbError error = { 0 };
  bool ok = strlen (key) <= MAX_KEY_BYTES;

  if (!ok)
    lb_error_set (&error, LB_ERROR_OUT_OF_RANGE, "idempotency-key", "expected at most %d bytes",
                  MAX_KEY_BYTES);
  else
    ok = lc_tickets_issue (ln_ticket_calls_table (calls->tickets), call->spec.caller,
                           lb_clock_monotonic (), ticket, &error);
  if (!ok)
    {
      ln_exchange_reply_error (call->exchange, &error, 0);
      ln_call_free (call);
      return;
    }
  ln_claims_take (calls->claims, call->spec.caller, key, ticket,
                  call->spec.deadline + TICKET_LIFE_MS * LB_MSEC, on_claimed, call);
}

static LnCall *
read_call (LnCalls *calls, LnExchange *exchange)
{
  static const LnHolderClass call_class = { .caller_gone = ln_calls_caller_gone };
  LbTime deadline = calls->context->settings->calls.default_deadline_ms * LB_MSEC;
  LbError error = { 0 };
  LnCall *call = ln_call_read (exchange, lb_clock_monotonic (), deadline, &error);

  if (!call)
    {
      ln_exchange_reply_error (exchange, &error, 0);
      return NULL;
    }
  call->holder.klass = &call_class;
  call->owner = calls;
  call->exchange = exchange;
  call->spec.id = ln_context_next_request_id (calls->context);
  snprintf (call->stream_id, sizeof call->stream_id, "cmpl-%s-%llu", calls->context->incarnation,
            (unsigned long long)call->spec.id);
  LB_COPY (call->outgoing.id, call->stream_id);
  ln_exchange_set_header (exchange, "x-request-id", call->outgoing.id);
  ln_exchange_set_user_data (exchange, call);
  return call;
}

static bool
is_known_path (const char *path)
{
  static const char services[] = "/services/";

  return strcmp (path, "/v1/completions") == 0 || strcmp (path, "/v1/chat/completions") == 0
         || strncmp (path, services, sizeof services - 1) == 0;
}

void
ln_calls_take (LnCalls *calls, LnExchange *exchange)
{
  const char *ticket = ln_exchange_header (exchange, "x-ticket");
  const char *key = ln_exchange_header (exchange, "idempotency-key");
  LnCall *call;

  if (calls->context->dialect)
    {
      ln_routed_take (calls, exchange);
      return;
    }
  /* An instance that can't confirm its resources may route by ones that were replaced long ago. */
  if (!calls->ready)
    {
      refuse (calls, exchange, LB_ERROR_NOT_READY, "the resources here are not confirmed");
      return;
    }
  /* A busy instance that has just started may have its resources first, and would crash one more
   * endpoint with a request that all others refuse. */
  if (!ln_crashes_is_ready (calls->crashes, lb_clock_monotonic ()))
    {
      refuse (calls, exchange, LB_ERROR_NOT_READY, "crashed endpoints are not known here yet");
      return;
    }
  if (strcmp (ln_exchange_path (exchange), "/v1/tickets") == 0)
    {
      issue_ticket (calls, exchange);
      return;
    }
  if (!is_known_path (ln_exchange_path (exchange)))
    {
      refuse (calls, exchange, LB_ERROR_UNKNOWN_PATH, "nothing answers below this path");
      return;
    }
  if (calls->draining && !ticket && !key)
    {
      refuse (calls, exchange, LB_ERROR_DRAINING, "this instance is shutting down");
      return;
    }
  call = read_call (calls, exchange);
  if (!call)
    return;
  if (ticket)
    use_ticket (calls, call, ticket);
  else if (key)
    claim_key (calls, call, key);
  else
    ln_calls_submit (calls, call);
}

#include "ln-relay.h"

#include "ln-call.h"
#include "ln-exchange-handler.h"
#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lh-fetch.h"
#include "lh-request-check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MAX_LISTED_INSTANCES 3
/* Added to the call's deadline, so that the timeout reply of the instance that runs the call
 * arrives before the relay's own timeout. */
#define RELAY_TIMEOUT_MARGIN (2 * LB_SEC)

typedef struct
{
  LnExchangeHandler handler; /* must be the first member, since handlers are cast to Relay */
  LbLink link;
  LnRelays *relays;
  LnExchange *exchange;
  LhFetch *fetch;
  LbName instance;
} Relay;

struct LnRelays
{
  LnContext *context;
  LnMember *members;
  size_t n_members;
  LbList active_relays;
};

typedef struct
{
  LhHeader *items;
  size_t count;
} HeaderList;

static LbMetric calls_relayed
    = LB_COUNTER_INIT ("lentilspindle_calls_relayed_total",
                       NULL,
                       "Calls forwarded to the instance that their ticket names");

LnRelays *
ln_relays_new (LnContext *context)
{
  LnRelays *relays = LB_NEW (LnRelays);

  relays->context = context;
  lb_list_init (&relays->active_relays);
  return relays;
}

static void
relay_free (Relay *relay)
{
  lb_list_remove (&relay->relays->active_relays, &relay->link);
  free (relay);
}

void
ln_relays_free (LnRelays *relays)
{
  if (!relays)
    return;
  LB_LIST_FOREACH (&relays->active_relays, Relay, link, relay)
  {
    lh_fetch_cancel (relay->fetch);
    relay_free (relay);
  }
  free (relays->members);
  free (relays);
}

void
ln_relays_set_members (LnRelays *relays, const LnMembersMessage *message)
{
  free (relays->members);
  relays->n_members = message->n_members;
  relays->members = LB_NEW_ARRAY (LnMember, message->n_members + 1);
  for (size_t i = 0; i < message->n_members; i++)
    relays->members[i] = message->members[i];
}

bool
ln_relays_is_idle (const LnRelays *relays)
{
  return lb_list_is_empty (&relays->active_relays);
}

void
ln_relays_list_other_instance_addresses (const LnRelays *relays, char *text, size_t size)
{
  size_t used = 0;
  int n_addresses = 0;

  text[0] = '\0';
  for (size_t i = 0; i < relays->n_members && n_addresses < MAX_LISTED_INSTANCES; i++)
    {
      const LnMember *member = &relays->members[i];
      if (member->is_self || !member->alive || member->draining)
        continue;
      used += (size_t)snprintf (text + used, size - used, "%s%s", n_addresses > 0 ? "," : "",
                                member->caller_address);
      n_addresses++;
    }
}

static const LnMember *
find_live_target_instance (const LnRelays *relays, const LnRelayTarget *target)
{
  for (size_t i = 0; i < relays->n_members; i++)
    {
      const LnMember *member = &relays->members[i];
      if (strcmp (member->name, target->instance) == 0
          && strcmp (member->incarnation, target->incarnation) == 0 && member->alive)
        return member;
    }
  return NULL;
}

/* Only the instance that issued the ticket knows, in its memory, whether the call has run. Without
 * an answer from that instance the outcome is unknown, even if the relay sent no byte, since the
 * ticket may have been used before. */
static void
reply_outcome_unknown (LnExchange *exchange, const char *instance)
{
  LbError error = { 0 };

  lb_error_set (&error, LB_ERROR_OUTCOME_UNKNOWN, "x-ticket", "no answer from instance %s",
                instance);
  ln_exchange_reply_error (exchange, &error, 0);
}

static void
forward_header_to_caller (const char *name, const char *value, void *user)
{
  if (!lh_is_hop_by_hop_header (name))
    ln_exchange_set_reply_header (user, name, value);
}

static void
on_relay_done (LhFetch *fetch, const LhResult *result, void *user)
{
  Relay *relay = user;
  LnExchange *exchange = relay->exchange;

  if (result->failure != LB_OK)
    reply_outcome_unknown (exchange, relay->instance);
  else
    {
      lh_fetch_visit_response_headers (fetch, forward_header_to_caller, exchange);
      ln_exchange_reply_text (exchange, result->status, NULL, result->body, result->body_length);
    }
  relay_free (relay);
}

static void
on_caller_disconnected (LnExchangeHandler *handler)
{
  Relay *relay = (Relay *)handler;

  lh_fetch_cancel (relay->fetch);
  ln_exchange_end (relay->exchange);
  relay_free (relay);
}

static void
append_header (HeaderList *headers, const char *name, const char *value)
{
  headers->items = lb_realloc (headers->items, (headers->count + 1) * sizeof (LhHeader));
  headers->items[headers->count++] = (LhHeader){ .name = name, .value = value };
}

static void
copy_request_header_to_relay (const char *name, const char *value, void *user)
{
  static const char *const replaced_headers[]
      = { "x-ticket", "idempotency-key", "x-caller", "x-relayed-by", "x-deadline-ms" };

  for (size_t i = 0; i < sizeof replaced_headers / sizeof replaced_headers[0]; i++)
    if (strcasecmp (name, replaced_headers[i]) == 0)
      return;
  if (!lh_is_hop_by_hop_header (name))
    append_header (user, name, value);
}

static LhFetch *
start_relay_request (LnRelays *relays,
                     Relay *relay,
                     const LnMember *member,
                     const LnRelayTarget *target,
                     LbError *error)
{
  static const LhHandlers handlers = { .on_done = on_relay_done };
  const char *query = ln_exchange_get_raw_query (relay->exchange);
  LbTime time_left = target->deadline - lb_clock_monotonic ();
  char time_left_ms[32];
  size_t length;
  HeaderList headers = { 0 };
  char *path = lb_asprintf ("%s%s%s", ln_exchange_path (relay->exchange), query ? "?" : "",
                            query ? query : "");

  snprintf (time_left_ms, sizeof time_left_ms, "%lld",
            (long long)(time_left > 0 ? time_left / LB_MSEC : 0));
  ln_exchange_foreach_request_header (relay->exchange, copy_request_header_to_relay, &headers);
  append_header (&headers, "x-ticket", target->ticket);
  append_header (&headers, "x-caller", target->caller);
  append_header (&headers, "x-deadline-ms", time_left_ms);
  append_header (&headers, "x-relayed-by", relays->context->instance);
  const char *body = ln_exchange_body (relay->exchange, &length);
  const LhRequest request
      = { .method = ln_exchange_method (relay->exchange),
          .address = member->caller_address,
          .path = path,
          .headers = headers.items,
          .n_headers = headers.count,
          .body = body,
          .body_length = length,
          .idle_timeout = (time_left > 0 ? time_left : 0) + RELAY_TIMEOUT_MARGIN };
  LhFetch *fetch = lh_fetch_start (relays->context->http_pool, &request, &handlers, relay, error);
  free (headers.items);
  free (path);
  return fetch;
}

void
ln_relays_forward_request (LnRelays *relays, LnExchange *exchange, const LnRelayTarget *target)
{
  static const LnExchangeHandlerClass relay_class
      = { .on_caller_disconnected = on_caller_disconnected };
  const LnMember *member = find_live_target_instance (relays, target);
  LbError error = { 0 };

  /* Refuses to relay a call that was relayed already, since a second relay could start an endless
   * loop. */
  if (!member || ln_exchange_header (exchange, "x-relayed-by"))
    {
      reply_outcome_unknown (exchange, target->instance);
      return;
    }
  Relay *relay = LB_NEW (Relay);
  relay->handler.klass = &relay_class;
  relay->relays = relays;
  relay->exchange = exchange;
  LB_COPY (relay->instance, target->instance);
  lb_list_append (&relays->active_relays, &relay->link);
  relay->fetch = start_relay_request (relays, relay, member, target, &error);
  if (!relay->fetch)
    {
      relay_free (relay);
      ln_exchange_reply_error (exchange, &error, 0);
      return;
    }
  lb_metric_add (&calls_relayed, 1);
  lb_log (LB_LOG_INFO, "relayed", LB_INT ("exchange", ln_exchange_id (exchange)),
          LB_TEXT ("to", member->name), LB_TEXT ("reason", "ticket"));
  ln_exchange_set_user_data (exchange, relay);
}

#include "ln-step-relay.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lh-fetch.h"

#include <stdlib.h>
#include <string.h>

/* The idle timeout of a relayed request is this much longer than the time that the trainer waits
 * for samples. */
#define RELAY_TIMEOUT_MARGIN (3 * LB_SEC)

typedef struct
{
  LnStepCall *call;
  LnStepRelayDone done;
  void *user;
} Relay;

static void
on_owner_reply_received (LhFetch *fetch, const LhResult *result, void *user)
{
  Relay *relay = user;
  LnStepCall *call = relay->call;
  LnStepRelayDone done = relay->done;
  void *done_user = relay->user;
  const char *retry_after = lh_fetch_get_response_header (fetch, "x-retry-after-ms");

  free (relay);
  call->relay = NULL;
  call->relay_state = NULL;
  if (result->failure == LB_OK && call->exchange)
    {
      if (retry_after)
        ln_exchange_set_reply_header (call->exchange, "x-retry-after-ms", retry_after);
      ln_exchange_reply_text (call->exchange, result->status, "application/json", result->body,
                              result->body_length);
      call->exchange = NULL;
    }
  done (call, result->failure, done_user);
}

static LbTime
compute_relay_idle_timeout (const LnStepCall *call)
{
  LbTime wait = call->type == LN_STEP_PULL ? call->pull.wait_until - lb_clock_monotonic () : 0;

  return RELAY_TIMEOUT_MARGIN + (wait > 0 ? wait : 0);
}

bool
ln_step_relay_start (LnContext *context,
                     LnStepCall *call,
                     const LnStepOwner *owner,
                     LnStepRelayDone done,
                     void *user)
{
  static const LhHandlers handlers = { .on_done = on_owner_reply_received };
  const LhHeader headers[]
      = { { "Content-Type", "application/json" }, { "x-relayed-by", context->instance } };
  LbError error = { .code = LB_OK };
  Relay *relay = LB_NEW (Relay);
  size_t length;
  const char *body = ln_exchange_body (call->exchange, &length);
  const LhRequest request = { .method = ln_exchange_method (call->exchange),
                              .address = owner->address,
                              .path = ln_exchange_path (call->exchange),
                              .headers = headers,
                              .n_headers = 2,
                              .body = body,
                              .body_length = length,
                              .idle_timeout = compute_relay_idle_timeout (call) };

  *relay = (Relay){ .call = call, .done = done, .user = user };
  call->relay_owner = *owner;
  call->relay_state = relay;
  call->relay = lh_fetch_start (context->http_pool, &request, &handlers, relay, &error);
  if (call->relay)
    {
      lb_log (LB_LOG_INFO, "step-call-relayed", LB_TEXT ("subscription", call->key.subscription),
              LB_INT ("step", call->key.step), LB_TEXT ("owner", owner->instance));
      return true;
    }
  lb_log_error (LB_LOG_WARNING, "step-call-not-relayed", &error);
  free (relay);
  call->relay_state = NULL;
  return false;
}

void
ln_step_relay_cancel (LnStepCall *call)
{
  if (!call->relay)
    return;
  lh_fetch_cancel (call->relay);
  free (call->relay_state);
  call->relay = NULL;
  call->relay_state = NULL;
}

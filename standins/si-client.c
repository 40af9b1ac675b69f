#include "si-client.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  SiResponse *response;
  bool is_done;
} PendingCall;

void
si_client_init (SiClient *client)
{
  client->base = event_base_new ();
  client->pool = lh_pool_new (client->base);
}

void
si_client_clear (SiClient *client)
{
  lh_pool_free (client->pool);
  event_base_free (client->base);
}

static void
on_call_done (LhFetch *fetch, const LhResult *result, void *user)
{
  PendingCall *pending = user;
  SiResponse *response = pending->response;
  const char *retry_after_ms = lh_fetch_get_response_header (fetch, "x-retry-after-ms");

  pending->is_done = true;
  response->failure = result->failure;
  response->status = result->status;
  response->body = lb_strndup (result->body ? result->body : "", result->body_length);
  response->length = result->body_length;
  response->not_run = lh_fetch_get_response_header (fetch, "x-not-run") != NULL;
  response->retry_after = retry_after_ms ? strtoll (retry_after_ms, NULL, 10) * LB_MSEC : 0;
}

void
si_client_call (SiClient *client, const SiCall *call, SiResponse *response)
{
  const LhHandlers handlers = { .on_done = on_call_done };
  const LhRequest request = { .method = call->method,
                              .address = call->address,
                              .path = call->path,
                              .headers = call->headers,
                              .n_headers = call->n_headers,
                              .body = call->body,
                              .body_length = call->body ? strlen (call->body) : 0,
                              .idle_timeout = call->idle_timeout };
  PendingCall pending = { .response = response };
  LbTime start = lb_clock_monotonic ();
  LbError error;

  memset (response, 0, sizeof *response);
  if (!lh_fetch_start (client->pool, &request, &handlers, &pending, &error))
    {
      response->failure = error.code;
      response->body = lb_strdup ("");
      return;
    }
  while (!pending.is_done)
    event_base_loop (client->base, EVLOOP_ONCE);
  response->duration = lb_clock_monotonic () - start;
}

struct json_object *
si_client_call_json (SiClient *client, const char *address, const char *path, const char *body)
{
  const SiCall call
      = { .method = body ? "POST" : "GET", .address = address, .path = path, .body = body };
  struct json_object *object = NULL;
  SiResponse response;

  si_client_call (client, &call, &response);
  if (si_response_is_ok (&response))
    object = json_tokener_parse (response.body);
  si_response_clear (&response);
  return object;
}

static void
on_pause_elapsed (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

void
si_client_pause (SiClient *client, LbTime time)
{
  const struct timeval wait = lb_time_to_timeval (time);
  bool elapsed = false;

  event_base_once (client->base, -1, EV_TIMEOUT, on_pause_elapsed, &elapsed, &wait);
  while (!elapsed)
    event_base_loop (client->base, EVLOOP_ONCE);
}

void
si_response_clear (SiResponse *response)
{
  free (response->body);
  response->body = NULL;
}

bool
si_response_is_ok (const SiResponse *response)
{
  return response->failure == LB_OK && response->status >= 200 && response->status < 300;
}

const char *
si_response_get_error_type (SiResponse *response)
{
  struct json_object *object, *error;

  if (response->failure != LB_OK)
    return lb_error_name (response->failure);
  object = json_tokener_parse (response->body);
  if (object && json_object_object_get_ex (object, "error", &error))
    LB_COPY (response->error, si_json_get_text (error, "type", "untyped"));
  else
    LB_COPY (response->error, "untyped");
  json_object_put (object);
  return response->error;
}

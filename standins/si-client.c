#include "si-client.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"

#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  SiResponse *answer;
  bool done;
} Wait;

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
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  Wait *wait = user;
  SiResponse *answer = wait->answer;
  const char *retry = lh_fetch_header (fetch, "x-retry-after-ms");

  wait->done = true;
  answer->failure = result->failure;
  answer->status = result->status;
  answer->body = lb_strndup (result->body ? result->body : "", result->body_length);
  answer->length = result->body_length;
  answer->not_run = lh_fetch_header (fetch, "x-not-run") != NULL;
  answer->retry_after = retry ? strtoll (retry, NULL, 10) * LB_MSEC : 0;
}

void
si_client_call (SiClient *client, const SiCall *call, SiResponse *answer)
{
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = call->method,
                              .address = call->address,
                              .path = call->path,
                              .headers = call->headers,
                              .n_headers = call->n_headers,
                              .body = call->body,
                              .body_length = call->body ? strlen (call->body) : 0,
                              .idle_timeout = call->idle_timeout };
  Wait wait = { .answer = answer };
  LbTime start = lb_clock_monotonic ();
  LbError error;

  memset (answer, 0, sizeof *answer);
  if (!lh_fetch_start (client->pool, &request, &handlers, &wait, &error))
    {
      answer->failure = error.code;
      answer->body = lb_strdup ("");
      return;
    }
  while (!wait.done)
    event_base_loop (client->base, EVLOOP_ONCE);
  answer->duration = lb_clock_monotonic () - start;
}

struct json_object *
si_client_call_json (SiClient *client, const char *address, const char *path, const char *body)
{
  const SiCall call
      = { .method = body ? "POST" : "GET", .address = address, .path = path, .body = body };
  struct json_object *object = NULL;
  SiResponse answer;

  si_client_call (client, &call, &answer);
  if (si_response_is_ok (&answer))
    object = json_tokener_parse (answer.body);
  si_response_clear (&answer);
  return object;
}

static void
on_pause_over (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  *(bool *)user = true;
}

void
si_client_pause (SiClient *client, LbTime time)
{
  const struct timeval wait = lb_time_to_timeval (time);
  bool over = false;

  event_base_once (client->base, -1, EV_TIMEOUT, on_pause_over, &over, &wait);
  while (!over)
    event_base_loop (client->base, EVLOOP_ONCE);
}

void
si_response_clear (SiResponse *answer)
{
  free (answer->body);
  answer->body = NULL;
}

bool
si_response_is_ok (const SiResponse *answer)
{
  return answer->failure == LB_OK && answer->status >= 200 && answer->status < 300;
}

const char *
si_response_error (SiResponse *answer)
{
  struct json_object *object, *error;

  if (answer->failure != LB_OK)
    return lb_error_name (answer->failure);
  object = json_tokener_parse (answer->body);
  if (object && json_object_object_get_ex (object, "error", &error))
    LB_COPY (answer->error, si_json_text (error, "type", "untyped"));
  else
    LB_COPY (answer->error, "untyped");
  json_object_put (object);
  return answer->error;
}

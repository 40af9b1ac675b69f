#include "lt-client.h"

#include "lb-alloc.h"
#include "lb-json.h"
#include "lh-fetch.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_REQUEST_HEADERS 6

struct LtClient
{
  struct event_base *base;
  LhPool *pool;
  LbName address;
  char *authorization;
  char *operator_name;
};

/* Context of the call in progress; on_call_done stores the result of the call in it. */
typedef struct
{
  LtClient *client;
  LtReply *reply;
  LbErrorCode failure;
} PendingCall;

LtClient *
lt_client_new (const char *address, const char *token)
{
  LtClient *client = LB_NEW (LtClient);
  const char *user_name = getenv ("USER");

  client->base = event_base_new ();
  client->pool = lh_pool_new (client->base);
  LB_COPY (client->address, address);
  client->authorization = lb_asprintf ("Bearer %s", token);
  client->operator_name = lb_strdup (user_name ? user_name : "");
  return client;
}

void
lt_client_free (LtClient *client)
{
  if (!client)
    return;
  lh_pool_free (client->pool);
  event_base_free (client->base);
  free (client->authorization);
  free (client->operator_name);
  free (client);
}

void
lt_reply_clear (LtReply *reply)
{
  json_object_put (reply->body);
  memset (reply, 0, sizeof *reply);
}

static struct json_object *
parse_json_body (const char *body, size_t length)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = length > 0 ? json_tokener_parse_ex (tokener, body, (int)length) : NULL;

  json_tokener_free (tokener);
  return object;
}

static void
on_call_done (LhFetch *fetch, const LhResult *result, void *user_data)
{
  PendingCall *pending = user_data;
  const char *etag = lh_fetch_get_response_header (fetch, "ETag");

  pending->failure = result->failure;
  pending->reply->status = result->status;
  if (result->failure == LB_OK)
    pending->reply->body = parse_json_body (result->body, result->body_length);
  if (etag)
    pending->reply->revision = strtoll (etag + (*etag == '"'), NULL, 10);
  event_base_loopbreak (pending->client->base);
}

static size_t
fill_request_headers (const LtClient *client, const LtCall *call, LhHeader *headers)
{
  size_t n = 0;

  headers[n++] = (LhHeader){ "authorization", client->authorization };
  if (client->operator_name[0])
    headers[n++] = (LhHeader){ "x-operator", client->operator_name };
  if (call->if_match)
    headers[n++] = (LhHeader){ "If-Match", call->if_match };
  if (call->idempotency_key)
    headers[n++] = (LhHeader){ "idempotency-key", call->idempotency_key };
  if (call->body)
    headers[n++] = (LhHeader){ "content-type", "application/json" };
  return n;
}

static bool
set_error_from_reply (const LtReply *reply, LbError *error)
{
  struct json_object *error_object = NULL;

  if (!reply->body || !json_object_object_get_ex (reply->body, "error", &error_object))
    return lb_error_set (error, LB_ERROR_IO, "",
                         "HTTP status %d without an error object in the body", reply->status);
  return lb_error_set (error, lb_error_from_name (lb_json_text (error_object, "type", "")),
                       lb_json_text (error_object, "where", ""), "%s",
                       lb_json_text (error_object, "message", ""));
}

bool
lt_client_call (LtClient *client, const LtCall *call, LtReply *reply, LbError *error)
{
  LhHeader headers[MAX_REQUEST_HEADERS];
  PendingCall pending = { .client = client, .reply = reply };
  const LhHandlers handlers = { .on_done = on_call_done };
  LhRequest request = { .method = call->method,
                        .address = client->address,
                        .path = call->path,
                        .headers = headers,
                        .n_headers = fill_request_headers (client, call, headers),
                        .idle_timeout = call->idle_timeout };

  *reply = (LtReply){ .revision = -1 };
  if (call->body)
    {
      request.body = json_object_to_json_string_ext (call->body, JSON_C_TO_STRING_PLAIN);
      request.body_length = strlen (request.body);
    }
  if (!lh_fetch_start (client->pool, &request, &handlers, &pending, error))
    return false;
  event_base_dispatch (client->base);
  if (pending.failure != LB_OK || reply->status == 0)
    return lb_error_set (error, pending.failure != LB_OK ? pending.failure : LB_ERROR_IO,
                         client->address, "no reply from the instance");
  if (reply->status / 100 != 2)
    return set_error_from_reply (reply, error);
  return true;
}

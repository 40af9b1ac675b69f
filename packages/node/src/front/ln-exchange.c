#include "ln-exchange-private.h"

#include "ln-messages.h"
#include "ln-recorder.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define JSON_FORMAT (JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE)

/* A caller whose reply has more unsent bytes than this is treated as disconnected. */
#define MAX_UNSENT_REPLY_BYTES (16 << 20)

struct LnExchange
{
  LbLink link; /* link in the list exchanges */
  LnCallers *callers;
  size_t n_bytes_in_progress; /* of the body, counted in callers */
  LbTime started_at;          /* when the first bytes of the request arrived */
  int references; /* 1 until the reply is complete, +1 for a queued LN_CALLER_DISCONNECTED */
  uint64_t id;
  LnHub *hub;
  LnTask *owner;
  void *user_data;
  LnCaller *caller;         /* NULL once the connection is closed */
  evhtp_request_t *request; /* NULL once the connection is closed */
  struct evkeyvalq query;
  char *raw_query;
  bool is_disconnected;
  bool is_streaming;
  bool is_chunked;
  int status; /* HTTP status of the reply, or of the error that ended a stream */
  char *method;
  char *path;
  char *body;
  size_t body_length;
  char caller_ip[64];
};

LnExchange *
ln_exchange_new (LnCaller *caller, evhtp_request_t *request, uint64_t id, LnHub *hub)
{
  LnExchange *exchange = LB_NEW (LnExchange);
  const char *method = htparser_get_methodstr_m (request->method);
  const char *path = request->uri && request->uri->path ? request->uri->path->full : NULL;

  exchange->id = id;
  exchange->references = 1;
  exchange->callers = caller->callers;
  lb_list_append (&exchange->callers->exchanges, &exchange->link);
  exchange->hub = hub;
  exchange->caller = caller;
  exchange->request = request;
  /* evhtp's parser accepts some methods for which evhtp has no name. */
  exchange->method = lb_strdup (method ? method : "UNKNOWN");
  exchange->path = lb_strdup (path ? path : "/");
  LB_COPY (exchange->caller_ip, caller->ip);
  TAILQ_INIT (&exchange->query);
  exchange->raw_query = caller->raw_query;
  caller->raw_query = NULL;
  if (exchange->raw_query)
    evhttp_parse_query_str (exchange->raw_query, &exchange->query);
  exchange->started_at = caller->request_started_at;
  exchange->n_bytes_in_progress = caller->n_bytes_in_progress;
  caller->n_bytes_in_progress = 0;
  exchange->body_length = evbuffer_get_length (request->buffer_in);
  exchange->body = lb_malloc (exchange->body_length + 1);
  evbuffer_remove (request->buffer_in, exchange->body, exchange->body_length);
  exchange->body[exchange->body_length] = '\0';
  caller->exchange = exchange;
  evhtp_request_pause (request);
  ln_caller_watch_disconnect (caller);
  return exchange;
}

static void
exchange_unref (LnExchange *exchange)
{
  if (--exchange->references > 0)
    return;
  evhttp_clear_headers (&exchange->query);
  free (exchange->raw_query);
  free (exchange->method);
  free (exchange->path);
  free (exchange->body);
  free (exchange);
}

/* Detaches the exchange from its owner and connection. Frees the exchange unless a queued message
 * refers to it. */
static void
exchange_close (LnExchange *exchange)
{
  exchange->user_data = NULL;
  exchange->request = NULL;
  exchange->caller = NULL;
  exchange->is_disconnected = true;
  ln_callers_release_bytes (exchange->callers, exchange->n_bytes_in_progress);
  lb_list_remove (&exchange->callers->exchanges, &exchange->link);
  exchange_unref (exchange);
}

void
ln_exchange_free_all (LbList *exchanges)
{
  LB_LIST_FOREACH (exchanges, LnExchange, link, exchange)
  {
    exchange_close (exchange);
  }
}

static void
clear_disconnected_message (LnMessage *message)
{
  exchange_unref (((LnExchangeMessage *)message)->exchange);
}

void
ln_exchange_report_disconnect (LnExchange *exchange)
{
  LnExchangeMessage message = { .base = LN_MESSAGE (LN_CALLER_DISCONNECTED), .exchange = exchange };

  if (exchange->is_disconnected)
    return;
  exchange->is_disconnected = true;
  if (!exchange->owner)
    return;
  /* The owner may reply before it receives this message. The reference keeps the exchange from
   * being freed until the message is received. */
  exchange->references++;
  message.base.clear = clear_disconnected_message;
  LN_POST (exchange->hub, exchange->owner, message);
}

void
ln_exchange_detach_connection (LnExchange *exchange)
{
  exchange->caller = NULL;
  exchange->request = NULL;
  ln_exchange_report_disconnect (exchange);
}

uint64_t
ln_exchange_id (const LnExchange *exchange)
{
  return exchange->id;
}

LbTime
ln_exchange_get_start_time (const LnExchange *exchange)
{
  return exchange->started_at;
}

const char *
ln_exchange_method (const LnExchange *exchange)
{
  return exchange->method;
}

const char *
ln_exchange_path (const LnExchange *exchange)
{
  return exchange->path;
}

const char *
ln_exchange_get_query_parameter (const LnExchange *exchange, const char *key)
{
  return evhttp_find_header (&exchange->query, key);
}

const char *
ln_exchange_get_raw_query (const LnExchange *exchange)
{
  return exchange->raw_query;
}

/* Returns NULL when the request has no such header, or once the caller's connection is closed. */
const char *
ln_exchange_header (const LnExchange *exchange, const char *name)
{
  return exchange->request ? evhtp_header_find (exchange->request->headers_in, name) : NULL;
}

size_t
ln_exchange_count_request_header (const LnExchange *exchange, const char *name)
{
  const evhtp_kv_t *header;
  size_t n = 0;

  if (!exchange->request)
    return 0;
  TAILQ_FOREACH (header, exchange->request->headers_in, next)
  {
    n += strcasecmp (header->key, name) == 0;
  }
  return n;
}

void
ln_exchange_foreach_request_header (const LnExchange *exchange,
                                    void (*visit) (const char *name, const char *value, void *user),
                                    void *user)
{
  evhtp_kv_t *header;

  if (!exchange->request)
    return;
  TAILQ_FOREACH (header, exchange->request->headers_in, next)
  {
    visit (header->key, header->val, user);
  }
}

const char *
ln_exchange_body (const LnExchange *exchange, size_t *length)
{
  if (length)
    *length = exchange->body_length;
  return exchange->body;
}

const char *
ln_exchange_caller_ip (const LnExchange *exchange)
{
  return exchange->caller_ip;
}

void
ln_exchange_set_user_data (LnExchange *exchange, void *user)
{
  exchange->user_data = user;
}

void *
ln_exchange_user_data (const LnExchange *exchange)
{
  return exchange->user_data;
}

void
ln_exchange_set_owner (LnExchange *exchange, LnTask *owner)
{
  exchange->owner = owner;
}

void
ln_exchange_set_reply_header (LnExchange *exchange, const char *name, const char *value)
{
  if (exchange->request)
    evhtp_headers_add_header (exchange->request->headers_out, evhtp_header_new (name, value, 1, 1));
}

/* False after a disconnect: evhtp has then marked the connection for freeing, and frees it when the
 * request is resumed. */
static bool
can_write_reply (const LnExchange *exchange)
{
  return exchange->caller && exchange->request && !exchange->is_disconnected;
}

static void
record_reply_completion (const LnExchange *exchange)
{
  LnRecorder *recorder = exchange->caller ? exchange->caller->callers->recorder : NULL;

  if (recorder && can_write_reply (exchange) && exchange->status == 200)
    ln_recorder_add_completion (recorder, exchange, lb_clock_monotonic ());
}

static void
finish_exchange_reply (LnExchange *exchange)
{
  LnCaller *caller = exchange->caller;

  record_reply_completion (exchange);
  if (caller && exchange->is_disconnected)
    {
      caller->exchange = NULL;
      evhtp_connection_free (caller->connection);
    }
  else if (caller)
    ln_caller_finish_reply (caller, exchange->request);
  exchange_close (exchange);
}

/* A draining instance closes connections, so that callers connect to another instance. */
static void
close_after_reply_if_draining (LnExchange *exchange)
{
  if (!exchange->caller->callers->is_draining)
    return;
  exchange->caller->is_closed_after_reply = true;
  ln_exchange_set_reply_header (exchange, "Connection", "close");
}

void
ln_exchange_reply_text (
    LnExchange *exchange, int status, const char *type, const char *text, size_t length)
{
  exchange->status = status;
  if (can_write_reply (exchange))
    {
      close_after_reply_if_draining (exchange);
      if (type)
        ln_exchange_set_reply_header (exchange, "Content-Type", type);
      evbuffer_add (exchange->request->buffer_out, text, length);
      evhtp_send_reply (exchange->request, (evhtp_res)status);
    }
  finish_exchange_reply (exchange);
}

void
ln_exchange_reply_json (LnExchange *exchange, int status, struct json_object *object)
{
  LnRecorder *recorder = exchange->caller ? exchange->caller->callers->recorder : NULL;
  size_t length;
  const char *text = json_object_to_json_string_length (object, JSON_FORMAT, &length);

  if (recorder)
    ln_recorder_add_reply (recorder, exchange, status, object, lb_clock_monotonic ());
  ln_exchange_reply_text (exchange, status, "application/json", text, length);
  json_object_put (object);
}

static struct json_object *
error_to_json (const LbError *error)
{
  struct json_object *outer = json_object_new_object ();
  struct json_object *inner = json_object_new_object ();

  json_object_object_add (inner, "type", json_object_new_string (lb_error_name (error->code)));
  json_object_object_add (inner, "message", json_object_new_string (error->detail));
  json_object_object_add (inner, "where", json_object_new_string (error->where));
  json_object_object_add (inner, "not_run",
                          json_object_new_boolean (lb_error_proves_request_not_run (error->code)));
  json_object_object_add (outer, "error", inner);
  return outer;
}

void
ln_exchange_reply_error (LnExchange *exchange, const LbError *error, LbTime retry_after)
{
  char value[32];

  lb_metric_count_error (error->code);
  if (exchange->is_streaming)
    {
      /* The status line is already sent, so the error is sent as the last event of the stream,
       * without an end marker. */
      struct json_object *object = error_to_json (error);
      char *event
          = lb_asprintf ("data: %s\n\n", json_object_to_json_string_ext (object, JSON_FORMAT));
      ln_exchange_write_stream (exchange, event, strlen (event));
      exchange->status = lb_error_http_status (error->code);
      free (event);
      json_object_put (object);
      ln_exchange_end (exchange);
      return;
    }
  if (lb_error_proves_request_not_run (error->code))
    ln_exchange_set_reply_header (exchange, "x-not-run", "1");
  if (retry_after > 0)
    {
      if (exchange->caller && exchange->caller->callers->has_exact_retry_after)
        snprintf (value, sizeof value, "%.3f", (double)retry_after / LB_SEC);
      else
        snprintf (value, sizeof value, "%lld", (long long)((retry_after + LB_SEC - 1) / LB_SEC));
      ln_exchange_set_reply_header (exchange, "Retry-After", value);
      snprintf (value, sizeof value, "%lld", (long long)((retry_after + LB_MSEC - 1) / LB_MSEC));
      ln_exchange_set_reply_header (exchange, "x-retry-after-ms", value);
    }
  ln_exchange_reply_json (exchange, lb_error_http_status (error->code), error_to_json (error));
}

void
ln_exchange_start_stream (LnExchange *exchange, int status, const char *type)
{
  exchange->is_streaming = true;
  exchange->status = status;
  if (!can_write_reply (exchange))
    return;
  close_after_reply_if_draining (exchange);
  ln_exchange_set_reply_header (exchange, "Content-Type", type);
  /* HTTP/1.0 has no chunked coding, so closing the connection ends an HTTP/1.0 reply. */
  exchange->is_chunked = exchange->request->proto != EVHTP_PROTO_10;
  if (exchange->is_chunked)
    evhtp_send_reply_chunk_start (exchange->request, (evhtp_res)status);
  else
    {
      exchange->caller->is_closed_after_reply = true;
      evhtp_send_reply_start (exchange->request, (evhtp_res)status);
    }
}

void
ln_exchange_write_stream (LnExchange *exchange, const char *bytes, size_t length)
{
  struct evbuffer *chunk;

  if (!can_write_reply (exchange) || length == 0)
    return;
  chunk = evbuffer_new ();
  evbuffer_add (chunk, bytes, length);
  if (exchange->is_chunked)
    evhtp_send_reply_chunk (exchange->request, chunk);
  else
    evhtp_send_reply_body (exchange->request, chunk);
  evbuffer_free (chunk);
  /* The unsent reply to a caller that has stopped reading must not exhaust the daemon's memory. */
  struct evbuffer *unsent = bufferevent_get_output (exchange->caller->connection->bev);
  if (evbuffer_get_length (unsent) > MAX_UNSENT_REPLY_BYTES)
    ln_exchange_report_disconnect (exchange);
}

void
ln_exchange_end (LnExchange *exchange)
{
  if (can_write_reply (exchange) && exchange->is_chunked)
    evhtp_send_reply_chunk_end (exchange->request);
  else if (can_write_reply (exchange))
    evhtp_send_reply_end (exchange->request);
  finish_exchange_reply (exchange);
}

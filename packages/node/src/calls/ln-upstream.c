#include "ln-upstream.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-json.h"
#include "lb-log.h"
#include "lb-settings.h"
#include "lh-sse.h"

#include <event2/buffer.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define MAX_STREAM_EVENT_BYTES (1 << 20)
/* A hundred round trips between data centres. An endpoint that has not accepted a connection within
 * this time is down or overloaded. */
#define ENDPOINT_CONNECT_TIMEOUT (250 * LB_MSEC)
#define MAX_ERROR_BODY_BYTES (64 << 10)
/* Maximum size of a whole stream: many times the longest text that a batch stores. */
#define MAX_STREAM_BYTES ((size_t)64 << 20)

struct LnUpstream
{
  LcRequestId request;
  uint32_t attempt;
  LbName endpoint;
  LbName address;
  char *stream_id; /* id of an engine's stream; NULL: plain service or shared platform */
  LhPool *pool;
  LhFetch *fetch;
  LnUpstreamHandlers handlers;
  void *user;
  LhSse sse;
  struct evbuffer
      *body; /* body of a service's reply, or of an engine's reply that is not a stream */
  /* Progress of a streamed reply. An endpoint in trouble may send bytes without end that bring
   * nothing. */
  LbTime max_silence;    /* longest time in which bytes may arrive without an event */
  LbTime unused_since;   /* when the first byte after the last event arrived; 0: none has */
  size_t n_unused_bytes; /* bytes since the last event */
  size_t n_stream_bytes;
  int64_t last_event; /* highest number of an event on a shared platform; 0: none yet */
  int status;
  bool connection_lost;     /* the connection was lost before the reply was complete */
  const LnDialect *dialect; /* codec for a shared platform; NULL: the daemon's own protocol */
  char *external_id;        /* id of the request in logs; NULL: none */
  LnStreamReader *reader;   /* parses an engine's stream on a shared platform; else NULL */
  LcVersion version;        /* weight version of the stream's last event; 0: unknown */
  bool is_conditional; /* the endpoint may refuse the request for a condition that the caller set */
  bool is_head;        /* the method is HEAD, whose reply has no body */
  bool has_end_marker; /* the event [DONE], the end of an engine's stream, was received */
  bool is_invalid; /* invalid data or another request's answer was received; the rest is ignored */
  bool is_parsing; /* the parser is running, so a cancel only sets is_cancelled and frees nothing */
  bool is_cancelled;
  bool is_ended; /* on_end runs, after which the upstream is freed */
};

static LbMetric streams_aborted = LB_COUNTER_INIT (
    "lentilspindle_wrong_stream_total",
    NULL,
    "Streams aborted because they carried another request's answer or invalid JSON");

static void
upstream_free (LnUpstream *upstream)
{
  lh_sse_clear (&upstream->sse);
  if (upstream->reader)
    upstream->dialect->stream_free (upstream->reader);
  free (upstream->external_id);
  evbuffer_free (upstream->body);
  free (upstream->stream_id);
  free (upstream);
}

static const char *
get_choice_text (struct json_object *choice)
{
  struct json_object *text = NULL;
  struct json_object *delta = NULL;

  if (json_object_object_get_ex (choice, "text", &text))
    return json_object_get_string (text);
  if (json_object_object_get_ex (choice, "delta", &delta)
      && json_object_object_get_ex (delta, "content", &text))
    return json_object_get_string (text);
  return NULL;
}

static struct json_object *
get_first_choice (struct json_object *event)
{
  struct json_object *choices = NULL;

  if (!json_object_object_get_ex (event, "choices", &choices)
      || !json_object_is_type (choices, json_type_array))
    return NULL;
  return json_object_array_get_idx (choices, 0);
}

static void
record_stream_progress (LnUpstream *upstream)
{
  upstream->unused_since = 0;
  upstream->n_unused_bytes = 0;
}

/* Each attempt has a unique stream id that all its events must contain. Otherwise an endpoint or
 * proxy that mixes up streams would send an answer to the wrong caller. */
static bool
event_has_stream_id (const LnUpstream *upstream, struct json_object *event)
{
  const char *id = lb_json_text (event, "id", NULL);

  return id && strcmp (id, upstream->stream_id) == 0;
}

static bool
report_engine_event (LnUpstream *upstream, struct json_object *event)
{
  struct json_object *finish_reason = NULL;
  struct json_object *choice = get_first_choice (event);

  if (!choice || !event_has_stream_id (upstream, event))
    return false;
  const char *text = get_choice_text (choice);
  LcPiece piece = { .offset = lb_json_int (event, "offset", -1),
                    .tokens = lb_json_int (event, "tokens", -1),
                    .version = lb_json_int (event, "weight_version", 0),
                    .kv_reused_version = lb_json_int (event, "kv_reused_version", 0) };
  if (piece.offset < 0 || piece.tokens < 0)
    return false;
  piece.last = json_object_object_get_ex (choice, "finish_reason", &finish_reason) && finish_reason;
  upstream->handlers.on_piece (upstream, &piece, event, text ? text : "", upstream->user);
  return true;
}

static void
on_upstream_sse_event (const char *data, size_t length, void *user)
{
  LnUpstream *upstream = user;
  struct json_object *event = NULL;
  LbError error;

  if (upstream->is_cancelled || upstream->is_invalid || upstream->has_end_marker)
    return;
  record_stream_progress (upstream);
  if (length == 6 && memcmp (data, "[DONE]", 6) == 0)
    {
      upstream->has_end_marker = true;
      return;
    }
  event = lb_settings_parse (data, length, "event", &error);
  if (!event || !report_engine_event (upstream, event))
    {
      upstream->is_invalid = true;
      lb_metric_add (&streams_aborted, 1);
    }
  json_object_put (event);
}

static void
report_attempt_end_and_free (LnUpstream *upstream, LcAttemptEnd end)
{
  upstream->is_ended = true;
  upstream->handlers.on_end (upstream, end, upstream->user);
  upstream_free (upstream);
}

static const char *
get_reply_header (const void *source, const char *name)
{
  return lh_fetch_get_response_header (source, name);
}

/* An engine may first send a late answer to another request, which must not reach the caller. */
static bool
is_reply_to_request (const LnUpstream *upstream)
{
  return upstream->dialect->is_reply_to (upstream->external_id, get_reply_header, upstream->fetch);
}

static void
on_shared_platform_stream_event (const LnStreamEvent *event, void *user)
{
  LnUpstream *upstream = user;
  char *text = NULL;

  if (upstream->is_cancelled || upstream->is_invalid)
    return;
  if (event->number > upstream->last_event)
    {
      upstream->last_event = event->number;
      record_stream_progress (upstream);
    }
  if (event->version > 0)
    upstream->version = event->version;
  const LcPiece piece = { .offset = event->number - 1, .tokens = 1, .version = upstream->version };
  text = lb_strndup (event->data, event->length);
  upstream->handlers.on_piece (upstream, &piece, NULL, text, upstream->user);
  free (text);
}

static bool
parse_stream_bytes (LnUpstream *upstream, const char *bytes, size_t length)
{
  LbError error;

  if (!upstream->dialect)
    return lh_sse_parse_data_lines (&upstream->sse, bytes, length, on_upstream_sse_event, upstream,
                                    &error);
  if (!is_reply_to_request (upstream))
    {
      lb_metric_add (&streams_aborted, 1);
      return false;
    }
  if (upstream->version == 0)
    upstream->version = upstream->dialect->read_first_version (get_reply_header, upstream->fetch);
  return upstream->dialect->stream_feed (upstream->reader, bytes, length);
}

/* Counts bytes of a stream that are about to be parsed. */
static void
count_stream_bytes (LnUpstream *upstream, size_t length, LbTime now)
{
  upstream->n_stream_bytes += length;
  upstream->n_unused_bytes += length;
  if (upstream->unused_since == 0)
    upstream->unused_since = now;
}

/* Whether the stream has no end: more bytes have arrived than a reply can have, in all or since its
 * last event, or bytes have arrived for too long without an event. */
static bool
is_stream_endless (const LnUpstream *upstream, size_t max_unused_bytes, LbTime now)
{
  return upstream->n_stream_bytes > MAX_STREAM_BYTES || upstream->n_unused_bytes > max_unused_bytes
         || (upstream->unused_since > 0 && now - upstream->unused_since > upstream->max_silence);
}

static void
abort_stream (LnUpstream *upstream, LcAttemptEnd end)
{
  lh_fetch_cancel (upstream->fetch);
  report_attempt_end_and_free (upstream, end);
}

static void
add_error_body_bytes (LnUpstream *upstream, const char *bytes, size_t length, LbTime now)
{
  count_stream_bytes (upstream, length, now);
  if (is_stream_endless (upstream, MAX_ERROR_BODY_BYTES, now))
    abort_stream (upstream, LC_END_BROKEN);
  else
    evbuffer_add (upstream->body, bytes, length);
}

static void
on_reply_body_bytes (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  LnUpstream *upstream = user;
  LbTime now = lb_clock_monotonic ();

  if (lh_fetch_get_response_status (fetch) != 200)
    {
      add_error_body_bytes (upstream, bytes, length, now);
      return;
    }
  count_stream_bytes (upstream, length, now);
  upstream->is_parsing = true;
  if (!parse_stream_bytes (upstream, bytes, length))
    upstream->is_invalid = true;
  upstream->is_parsing = false;
  if (upstream->is_cancelled)
    upstream_free (upstream);
  else if (upstream->is_invalid)
    abort_stream (upstream, LC_END_BROKEN);
  else if (is_stream_endless (upstream, MAX_STREAM_EVENT_BYTES, now))
    abort_stream (upstream, upstream->has_end_marker ? LC_END_COMPLETE : LC_END_BROKEN);
}

/* Only a 503 or 429 reply with the error type "leaving" or "not_started" proves that the endpoint
 * did not start the request. */
static bool
parse_refusal_reply (LnUpstream *upstream, LcAttemptEnd *end)
{
  struct json_object *object = NULL;
  size_t length;
  LbError error;

  if (upstream->status != 503 && upstream->status != 429)
    return false;
  const char *body = ln_upstream_get_reply_body (upstream, &length);
  object = lb_settings_parse (body, length, "refusal", &error);
  const char *name = lb_json_text (lb_json_member (object, "error"), "type", "");
  bool leaving = strcmp (name, "leaving") == 0;
  bool refused = leaving || strcmp (name, "not_started") == 0;
  *end = leaving ? LC_END_REFUSED_LEAVING : LC_END_REFUSED;
  json_object_put (object);
  return refused;
}

/* Whether the reply headers define where the body ends. A body that ends when the connection closes
 * may have been truncated by a crash, so the reply does not count as complete. */
static bool
has_delimited_body (const LnUpstream *upstream)
{
  return upstream->is_head || upstream->status == 204 || upstream->status == 304
         || lh_fetch_get_response_header (upstream->fetch, "Content-Length")
         || lh_fetch_get_response_header (upstream->fetch, "Transfer-Encoding");
}

/* Whether the reply is a stream of events of which a caller has to receive each one. */
static bool
is_event_stream_reply (const LnUpstream *upstream)
{
  static const char event_stream[] = "text/event-stream";
  const char *type = lh_fetch_get_response_header (upstream->fetch, "Content-Type");

  return type && strncasecmp (type, event_stream, sizeof event_stream - 1) == 0;
}

/* Whether the text is empty or ends with a blank line, the end of an event. */
static bool
ends_with_whole_event (const char *text, size_t length)
{
  return length == 0 || (length >= 2 && memcmp (text + length - 2, "\n\n", 2) == 0)
         || (length >= 4 && memcmp (text + length - 4, "\r\n\r\n", 4) == 0);
}

/* Whether a stream of events ended inside an event, as when its endpoint crashed: the connection of
 * a process that ends is closed like one whose reply is complete. */
static bool
is_stream_cut_inside_event (LnUpstream *upstream)
{
  size_t length;
  const char *body = NULL;

  if (upstream->reader)
    return upstream->dialect->stream_is_inside_event (upstream->reader);
  if (has_delimited_body (upstream) || !is_event_stream_reply (upstream))
    return false;
  body = ln_upstream_get_reply_body (upstream, &length);
  return !ends_with_whole_event (body, length);
}

/* A plain service's failure reply is an answer and is forwarded unchanged. An engine's failure
 * reply is no answer, since a sample is either complete or not delivered. */
static LcAttemptEnd
classify_attempt_end_on_shared_platform (LnUpstream *upstream, const LhResult *result)
{
  if (result->failure != LB_OK)
    return result->bytes_handed ? LC_END_BROKEN : LC_END_NOT_SENT;
  if (!is_reply_to_request (upstream))
    return LC_END_BROKEN;
  switch (upstream->dialect->classify_reply (upstream->status, get_reply_header, upstream->fetch))
    {
    case LN_REPLY_NOT_RUN:
      return LC_END_REFUSED;
    case LN_REPLY_WRONG_ENDPOINT:
      return upstream->is_conditional ? LC_END_REFUSED_CONDITION : LC_END_REFUSED_LEAVING;
    case LN_REPLY_UNPROCESSABLE:
      return upstream->reader ? LC_END_REJECTED : LC_END_COMPLETE;
    case LN_REPLY_FAILURE:
      return upstream->reader ? LC_END_FAILED : LC_END_COMPLETE;
    case LN_REPLY_ANSWER:
      break;
    }
  if (upstream->reader && upstream->status != 200)
    return LC_END_FAILED;
  return is_stream_cut_inside_event (upstream) ? LC_END_BROKEN : LC_END_COMPLETE;
}

static LcAttemptEnd
classify_attempt_end (LnUpstream *upstream, const LhResult *result)
{
  LcAttemptEnd end = LC_END_FAILED;

  if (upstream->dialect)
    return classify_attempt_end_on_shared_platform (upstream, result);

  if (upstream->has_end_marker)
    return LC_END_COMPLETE;
  if (result->failure != LB_OK)
    return result->bytes_handed ? LC_END_BROKEN : LC_END_NOT_SENT;
  if (parse_refusal_reply (upstream, &end))
    return end;
  if (!upstream->stream_id)
    return has_delimited_body (upstream) ? LC_END_COMPLETE : LC_END_BROKEN;
  return upstream->status == 200 ? LC_END_BROKEN : LC_END_FAILED;
}

static void
on_attempt_fetch_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  LnUpstream *upstream = user;

  upstream->status = result->status;
  upstream->connection_lost = result->failure == LB_ERROR_CLOSED || result->failure == LB_ERROR_IO;
  if (result->body_length > 0)
    evbuffer_add (upstream->body, result->body, result->body_length);
  LcAttemptEnd end = classify_attempt_end (upstream, result);
  if (result->failure != LB_OK)
    {
      /* A middlebox may have dropped the state of all older connections. Requests on idle
       * connections would then get lost, so the next request opens a new connection. */
      lh_pool_close_idle_connections (upstream->pool, upstream->address);
      lb_log (LB_LOG_INFO, "attempt_failed", LB_INT ("request", upstream->request),
              LB_TEXT ("id", upstream->external_id), LB_INT ("attempt", upstream->attempt),
              LB_TEXT ("endpoint", upstream->endpoint),
              LB_TEXT ("error", lb_error_name (result->failure)),
              LB_BOOL ("bytes_handed", result->bytes_handed));
    }
  report_attempt_end_and_free (upstream, end);
}

LnUpstream *
ln_upstream_start (LhPool *pool,
                   const LnUpstreamSpec *spec,
                   const LnUpstreamHandlers *handlers,
                   void *user,
                   LbError *error)
{
  LnUpstream *upstream = LB_NEW (LnUpstream);
  const LhHandlers fetch_handlers
      = { .on_body_chunk = spec->stream_id || spec->is_stream ? on_reply_body_bytes : NULL,
          .on_done = on_attempt_fetch_done };
  const LhRequest request = { .method = spec->method,
                              .address = spec->address,
                              .path = spec->path,
                              .host = spec->host,
                              .headers = spec->headers,
                              .n_headers = spec->n_headers,
                              .body = spec->body,
                              .body_length = spec->body_length,
                              .connect_timeout = ENDPOINT_CONNECT_TIMEOUT,
                              .idle_timeout = spec->idle_timeout };

  upstream->request = spec->request;
  upstream->attempt = spec->attempt;
  LB_COPY (upstream->endpoint, spec->endpoint);
  LB_COPY (upstream->address, spec->address);
  upstream->stream_id = spec->stream_id ? lb_strdup (spec->stream_id) : NULL;
  upstream->pool = pool;
  upstream->dialect = spec->dialect;
  upstream->external_id = spec->external_id ? lb_strdup (spec->external_id) : NULL;
  if (spec->dialect && spec->is_stream)
    upstream->reader = spec->dialect->stream_new (on_shared_platform_stream_event, upstream);
  upstream->is_conditional = spec->is_conditional;
  upstream->is_head = strcmp (spec->method, "HEAD") == 0;
  /* The daemon's own protocol has keep-alive comments between events. */
  upstream->max_silence = spec->dialect ? spec->idle_timeout : LB_TIME_NEVER;
  upstream->handlers = *handlers;
  upstream->user = user;
  upstream->body = evbuffer_new ();
  lh_sse_init (&upstream->sse, MAX_STREAM_EVENT_BYTES);
  upstream->fetch = lh_fetch_start (pool, &request, &fetch_handlers, upstream, error);
  if (upstream->fetch)
    return upstream;
  upstream_free (upstream);
  return NULL;
}

void
ln_upstream_cancel (LnUpstream *upstream)
{
  if (upstream->is_ended || upstream->is_cancelled)
    return;
  lh_fetch_cancel (upstream->fetch);
  upstream->is_cancelled = true;
  if (!upstream->is_parsing)
    upstream_free (upstream);
}

void
ln_upstream_read_load (const LnUpstream *upstream, LnReportedLoad *load)
{
  memset (load, 0, sizeof *load);
  if (upstream->dialect)
    upstream->dialect->read_load (get_reply_header, upstream->fetch, load);
}

const char *
ln_upstream_read_score (const LnUpstream *upstream)
{
  if (!upstream->dialect || upstream->status / 100 != 2)
    return NULL;
  return upstream->dialect->read_score (get_reply_header, upstream->fetch);
}

uint32_t
ln_upstream_get_attempt_number (const LnUpstream *upstream)
{
  return upstream->attempt;
}

const char *
ln_upstream_get_endpoint_name (const LnUpstream *upstream)
{
  return upstream->endpoint;
}

const char *
ln_upstream_get_endpoint_address (const LnUpstream *upstream)
{
  return upstream->address;
}

bool
ln_upstream_has_lost_connection (const LnUpstream *upstream)
{
  return upstream->connection_lost;
}

const LhFetch *
ln_upstream_get_fetch (const LnUpstream *upstream)
{
  return upstream->fetch;
}

int
ln_upstream_get_http_status (const LnUpstream *upstream)
{
  return upstream->status;
}

const char *
ln_upstream_get_reply_body (LnUpstream *upstream, size_t *length)
{
  *length = evbuffer_get_length (upstream->body);
  return *length > 0 ? (const char *)evbuffer_pullup (upstream->body, -1) : "";
}

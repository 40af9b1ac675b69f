#include "lh-fetch.h"

#include "lh-pool.h"
#include "lh-status-line.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"
#include "lh-request-check.h"
#include "lh-rewrite.h"
#include "lh-socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#define DEFAULT_IDLE_TIMEOUT (30 * LB_SEC)
#define MAX_BUFFERED_BODY_BYTES (64 << 20)
/* Maximum size of all responses that a pool's fetches buffer. Servers in trouble may send bytes
 * without end to many fetches at once. */
#define MAX_BUFFERED_BYTES_OF_POOL ((size_t)64 << 20)
/* Maximum number of bytes of a streamed body that evhttp can't parse, such as a line with a chunk
 * size that does not end. */
#define MAX_UNPARSED_STREAM_BYTES ((size_t)256 << 10)

struct LhFetch
{
  LbLink link; /* link in LhPool.running_fetches or LhPool.failed_starts */
  LhPool *pool;
  LhConnection *connection;
  struct evhttp_request *request;
  LhHandlers handlers;
  void *user;
  struct event *connect_timer; /* NULL: connected, or no connect timeout */
  bool bytes_handed;           /* at least one byte of the request may have been sent */
  LhStatusLine status_line;
  LhMessageScanner scanner; /* scanner that has seen all bytes received */
  uint64_t n_received;
  struct event *abort_event; /* ends the fetch with `failure` in the event loop's next iteration */
  struct event *duration_timer; /* NULL: the response may take any time */
  /* Bytes that arrive without end in the head, or in the framing of a streamed body, restart
   * evhttp's timeout, but bring nothing. */
  LbTime max_stall;     /* longest time in which bytes may arrive without progress */
  LbTime stalled_since; /* when the first byte after the last progress arrived; 0: none has */
  bool has_headers;     /* the head of the response is complete */
  size_t n_buffered;    /* bytes of the response that count for the pool's limit */
  bool is_starting;     /* set while evhttp_make_request runs: on_done must not be called yet */
  bool is_in_handler;   /* a handler runs: the fetch is freed only after it returns */
  bool is_cancelled;    /* cancelled by a handler that runs */
  LbErrorCode failure;
};

static bool
find_http_method_by_name (const char *name, enum evhttp_cmd_type *method)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type method;
  } methods[] = { { "GET", EVHTTP_REQ_GET },        { "POST", EVHTTP_REQ_POST },
                  { "PUT", EVHTTP_REQ_PUT },        { "DELETE", EVHTTP_REQ_DELETE },
                  { "PATCH", EVHTTP_REQ_PATCH },    { "HEAD", EVHTTP_REQ_HEAD },
                  { "OPTIONS", EVHTTP_REQ_OPTIONS } };

  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    if (strcmp (methods[i].name, name) == 0)
      {
        *method = methods[i].method;
        return true;
      }
  return false;
}

/* Whether lh_fetch_start supports this HTTP method, such as "GET". */
bool
lh_method_is_supported (const char *name)
{
  enum evhttp_cmd_type method;

  return find_http_method_by_name (name, &method);
}

static void
set_idle_timeout (LhConnection *connection, LbTime timeout)
{
  const struct timeval limit = lb_time_to_timeval (timeout);

  evhttp_connection_set_timeout_tv (connection->evcon, &limit);
}

static void
free_connect_timer (LhFetch *fetch)
{
  if (fetch->connect_timer)
    event_free (fetch->connect_timer);
  fetch->connect_timer = NULL;
}

/* Sets bytes_handed once bytes of the request may have been sent, since the server may then execute
 * the request. evhttp adds bytes to the output buffer only after it has connected. */
static void
on_output_buffer_changed (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  (void)buffer;
  LhFetch *fetch = user;

  if (info->n_added == 0)
    return;
  fetch->bytes_handed = true;
  free_connect_timer (fetch);
}

static void
release_buffered_bytes (LhFetch *fetch)
{
  fetch->pool->n_buffered -= fetch->n_buffered;
  fetch->n_buffered = 0;
}

/* Fails the fetch. The event loop ends it, since the caller is inside evhttp, which still uses the
 * connection. */
static void
schedule_abort (LhFetch *fetch, LbErrorCode failure)
{
  if (fetch->failure != LB_OK)
    return;
  fetch->failure = failure;
  event_active (fetch->abort_event, EV_TIMEOUT, 0);
}

/* Aborts the fetches with the largest responses while all of the pool's together are too large. */
static void
enforce_buffer_limit (LhPool *pool)
{
  while (pool->n_buffered > MAX_BUFFERED_BYTES_OF_POOL)
    {
      LhFetch *largest = NULL;

      LB_LIST_FOREACH (&pool->running_fetches, LhFetch, link, fetch)
      {
        if (!largest || fetch->n_buffered > largest->n_buffered)
          largest = fetch;
      }
      if (!largest)
        return;
      release_buffered_bytes (largest);
      schedule_abort (largest, LB_ERROR_BODY_TOO_LARGE);
    }
}

static void
count_received_bytes (LhFetch *fetch, size_t n_added, size_t n_unparsed)
{
  if (fetch->failure != LB_OK)
    return;
  if (fetch->handlers.on_body_chunk)
    {
      if (n_unparsed > MAX_UNPARSED_STREAM_BYTES)
        schedule_abort (fetch, LB_ERROR_BODY_TOO_LARGE);
      return;
    }
  fetch->n_buffered += n_added;
  fetch->pool->n_buffered += n_added;
  enforce_buffer_limit (fetch->pool);
}

static void
abort_if_stalled (LhFetch *fetch, LbTime now)
{
  if (fetch->has_headers && !fetch->handlers.on_body_chunk)
    return;
  if (fetch->stalled_since == 0)
    fetch->stalled_since = now;
  if (now - fetch->stalled_since > fetch->max_stall)
    schedule_abort (fetch, LB_ERROR_TIMEOUT);
}

static int
on_headers_complete (struct evhttp_request *request, void *user)
{
  (void)request;
  LhFetch *fetch = user;

  fetch->has_headers = true;
  fetch->stalled_since = 0;
  return 0;
}

/* Rewrites a line that evhttp has not read yet, since it reads whole lines. */
static void
rewrite_input (const LhRewrite *rewrite, void *user)
{
  LhFetch *fetch = user;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (fetch->connection->evcon);

  if (!lh_rewrite_apply (rewrite, bufferevent_get_input (bev), fetch->n_received))
    schedule_abort (fetch, LB_ERROR_IO);
}

static void
scan_response_bytes (LhFetch *fetch, const char *bytes, size_t length)
{
  if (!lh_status_line_feed (&fetch->status_line, bytes, length)
      || !lh_message_scanner_feed (&fetch->scanner, bytes, length))
    schedule_abort (fetch, LB_ERROR_IO);
}

/* Scans the bytes that were added to the input before evhttp reads them. */
static void
on_input_buffer_changed (struct evbuffer *input, const struct evbuffer_cb_info *info, void *user)
{
  LhFetch *fetch = user;
  struct evbuffer_ptr position;
  struct evbuffer_iovec segment;
  size_t remaining = info->n_added;

  fetch->n_received += remaining;
  while (remaining > 0 && fetch->failure == LB_OK
         && evbuffer_ptr_set (input, &position, evbuffer_get_length (input) - remaining,
                              EVBUFFER_PTR_SET)
                == 0
         && evbuffer_peek (input, (ev_ssize_t)remaining, &position, &segment, 1) > 0)
    {
      size_t length = segment.iov_len < remaining ? segment.iov_len : remaining;
      scan_response_bytes (fetch, segment.iov_base, length);
      remaining -= length;
    }
  if (info->n_added == 0)
    return;
  count_received_bytes (fetch, info->n_added, evbuffer_get_length (input));
  abort_if_stalled (fetch, lb_clock_monotonic ());
}

static void
set_buffer_callbacks_enabled (LhFetch *fetch, bool enable)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (fetch->connection->evcon);
  struct evbuffer *output = bufferevent_get_output (bev);
  struct evbuffer *input = bufferevent_get_input (bev);

  if (enable)
    {
      evbuffer_add_cb (output, on_output_buffer_changed, fetch);
      evbuffer_add_cb (input, on_input_buffer_changed, fetch);
    }
  else
    {
      evbuffer_remove_cb (output, on_output_buffer_changed, fetch);
      evbuffer_remove_cb (input, on_input_buffer_changed, fetch);
    }
}

/* Returns the time that the connection may be idle before its next request; 0: the connection must
 * not be reused, for example because unread bytes are left. Bytes left after a response would be
 * parsed as the response to the next request and reach another caller. Some servers wrongly send a
 * body after a HEAD request. */
static LbTime
get_connection_max_idle_time (const LhFetch *fetch, struct evhttp_request *request)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (fetch->connection->evcon);
  struct evkeyvalq *headers;
  const char *value;

  if (evbuffer_get_length (bufferevent_get_input (bev)) > 0)
    return 0;
  if (!request || evhttp_request_get_response_code (request) == 0
      || evhttp_request_get_command (request) == EVHTTP_REQ_HEAD)
    return 0;
  headers = evhttp_request_get_input_headers (request);
  value = evhttp_find_header (headers, "Connection");
  if (value && strcasecmp (value, "close") == 0)
    return 0;
  return lh_pool_parse_max_idle_time (evhttp_find_header (headers, "Keep-Alive"));
}

/* Defers the report of a failed evhttp_make_request to the event loop, since the caller gets
 * the fetch only when lh_fetch_start returns. evhttp fails immediately if it can't open a socket,
 * for example because all file descriptors are in use. */
static void
defer_start_failure_report (LhFetch *fetch)
{
  set_buffer_callbacks_enabled (fetch, false);
  lh_pool_schedule_connection_close (fetch->connection);
  fetch->connection = NULL;
  fetch->request = NULL;
  lb_list_remove (&fetch->pool->running_fetches, &fetch->link);
  lb_list_append (&fetch->pool->failed_starts, &fetch->link);
  lh_pool_schedule_cleanup (fetch->pool);
}

static void
fetch_free (LhFetch *fetch)
{
  release_buffered_bytes (fetch);
  event_free (fetch->abort_event);
  if (fetch->duration_timer)
    event_free (fetch->duration_timer);
  free (fetch);
}

static void
call_done_handler_and_free (LhFetch *fetch, const LhResult *result)
{
  fetch->is_in_handler = true;
  fetch->handlers.on_done (fetch, result, fetch->user);
  fetch_free (fetch);
}

/* Ends the request and its connection, which may have read a part of the response. Calls no
 * handler. */
static void
abandon_request (LhFetch *fetch)
{
  free_connect_timer (fetch);
  set_buffer_callbacks_enabled (fetch, false);
  lb_list_remove (&fetch->pool->running_fetches, &fetch->link);
  evhttp_request_set_error_cb (fetch->request, NULL);
  /* Also frees the request. */
  evhttp_cancel_request (fetch->request);
  lh_pool_schedule_connection_close (fetch->connection);
  fetch->connection = NULL;
  fetch->request = NULL;
}

/* Closes the connection of an unfinished fetch and reports the failure. */
static void
fail_and_free_fetch (LhFetch *fetch, LbErrorCode failure)
{
  const LhResult result = { .failure = failure, .bytes_handed = fetch->bytes_handed };

  abandon_request (fetch);
  call_done_handler_and_free (fetch, &result);
}

/* Without a connect timeout, a host that lost power and doesn't answer SYN packets would use up the
 * caller's whole deadline. No byte was sent yet, so the request can go to another endpoint. */
static void
on_connect_timeout (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  fail_and_free_fetch (user, LB_ERROR_TIMEOUT);
}

/* The timeout of evhttp restarts with each byte, so it does not end a response without end. */
static void
on_duration_limit (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  fail_and_free_fetch (user, LB_ERROR_TIMEOUT);
}

static void
start_duration_timer (LhFetch *fetch, LbTime limit)
{
  const struct timeval tv = lb_time_to_timeval (limit);

  if (limit <= 0)
    return;
  fetch->duration_timer = evtimer_new (fetch->pool->base, on_duration_limit, fetch);
  evtimer_add (fetch->duration_timer, &tv);
}

static void
on_abort (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LhFetch *fetch = user;

  fail_and_free_fetch (fetch, fetch->failure);
}

static void
start_connect_timer (LhFetch *fetch, LbTime timeout)
{
  const struct timeval tv = lb_time_to_timeval (timeout);

  if (timeout <= 0 || fetch->bytes_handed)
    return;
  fetch->connect_timer = evtimer_new (fetch->pool->base, on_connect_timeout, fetch);
  evtimer_add (fetch->connect_timer, &tv);
}

static bool
is_response_complete (const LhFetch *fetch)
{
  return fetch->scanner.n_complete > 0 || lh_message_scanner_ends_with_connection (&fetch->scanner);
}

static void
report_result_and_free_fetch (LhFetch *fetch, struct evhttp_request *request)
{
  LhResult result = { .bytes_handed = fetch->bytes_handed };
  LhConnection *connection = fetch->connection;

  set_buffer_callbacks_enabled (fetch, false);
  free_connect_timer (fetch);
  lb_list_remove (&fetch->pool->running_fetches, &fetch->link);
  if (request && evhttp_request_get_response_code (request) != 0 && fetch->failure == LB_OK
      && is_response_complete (fetch))
    {
      struct evbuffer *input = evhttp_request_get_input_buffer (request);
      result.status = evhttp_request_get_response_code (request);
      result.body_length = evbuffer_get_length (input);
      result.body = result.body_length ? (const char *)evbuffer_pullup (input, -1) : "";
    }
  else
    result.failure = fetch->failure != LB_OK ? fetch->failure : LB_ERROR_IO;
  lh_pool_release_connection (connection, result.failure == LB_OK
                                              ? get_connection_max_idle_time (fetch, request)
                                              : 0);
  fetch->connection = NULL;
  fetch->request = request;
  call_done_handler_and_free (fetch, &result);
}

static void
on_request_done (struct evhttp_request *request, void *user)
{
  LhFetch *fetch = user;

  if (fetch->is_starting)
    fetch->failure = LB_ERROR_IO;
  else
    report_result_and_free_fetch (fetch, request);
}

static void
on_chunk_received (struct evhttp_request *request, void *user)
{
  LhFetch *fetch = user;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);

  if (length == 0 || fetch->failure != LB_OK)
    return;
  fetch->stalled_since = 0;
  /* Copies the chunk, since the handler may cancel the fetch, which frees the input buffer. */
  char *bytes = lb_malloc (length);
  evbuffer_remove (input, bytes, length);
  fetch->is_in_handler = true;
  fetch->handlers.on_body_chunk (fetch, bytes, length, fetch->user);
  fetch->is_in_handler = false;
  free (bytes);
  if (fetch->is_cancelled)
    fetch_free (fetch);
}

static void
on_request_error (enum evhttp_request_error problem, void *user)
{
  LhFetch *fetch = user;

  switch (problem)
    {
    case EVREQ_HTTP_TIMEOUT:
      fetch->failure = LB_ERROR_TIMEOUT;
      break;
    case EVREQ_HTTP_EOF:
      fetch->failure = LB_ERROR_CLOSED;
      break;
    case EVREQ_HTTP_DATA_TOO_LONG:
      fetch->failure = LB_ERROR_BODY_TOO_LARGE;
      break;
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
      fetch->failure = LB_ERROR_IO;
      break;
    }
}

static void
add_headers_and_body (struct evhttp_request *request, const LhRequest *spec)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char length[32];

  evhttp_add_header (headers, "Host", spec->host ? spec->host : spec->address);
  for (size_t i = 0; i < spec->n_headers; i++)
    evhttp_add_header (headers, spec->headers[i].name, spec->headers[i].value);
  if (spec->body_length == 0)
    return;
  /* evhttp adds Content-Length itself only for methods that usually have a body, such as POST. */
  snprintf (length, sizeof length, "%zu", spec->body_length);
  evhttp_add_header (headers, "Content-Length", length);
  evbuffer_add (evhttp_request_get_output_buffer (request), spec->body, spec->body_length);
}

/* Starts an HTTP request. Returns NULL and sets *error only if the address is malformed or
 * lh_request_check refuses the request. Any other failure, such as a refused connection, is
 * reported by on_done from the event loop, never from inside this function. */
LhFetch *
lh_fetch_start (
    LhPool *pool, const LhRequest *spec, const LhHandlers *handlers, void *user, LbError *error)
{
  enum evhttp_cmd_type method;
  LhFetch *fetch = NULL;

  if (!lh_request_check (spec, error) || !find_http_method_by_name (spec->method, &method))
    return NULL;
  LhConnection *connection
      = lh_pool_acquire_connection (pool, spec->address, spec->fresh_connection, error);
  if (!connection)
    return NULL;

  fetch = LB_NEW (LhFetch);
  fetch->pool = pool;
  fetch->connection = connection;
  fetch->handlers = *handlers;
  fetch->user = user;
  fetch->scanner.is_response = true;
  fetch->scanner.is_bodiless = method == EVHTTP_REQ_HEAD;
  fetch->scanner.on_rewrite = rewrite_input;
  fetch->scanner.user = fetch;
  fetch->abort_event = event_new (pool->base, -1, 0, on_abort, fetch);
  lb_list_append (&pool->running_fetches, &fetch->link);
  fetch->max_stall = spec->idle_timeout > 0 ? spec->idle_timeout : DEFAULT_IDLE_TIMEOUT;
  set_idle_timeout (connection, fetch->max_stall);
  fetch->request = evhttp_request_new (on_request_done, fetch);
  evhttp_request_set_error_cb (fetch->request, on_request_error);
  evhttp_request_set_header_cb (fetch->request, on_headers_complete);
  if (handlers->on_body_chunk)
    evhttp_request_set_chunked_cb (fetch->request, on_chunk_received);
  add_headers_and_body (fetch->request, spec);
  set_buffer_callbacks_enabled (fetch, true);
  evhttp_connection_set_max_body_size (connection->evcon,
                                       handlers->on_body_chunk ? -1 : MAX_BUFFERED_BODY_BYTES);
  fetch->is_starting = true;
  if (evhttp_make_request (connection->evcon, fetch->request, method, spec->path) != 0)
    fetch->failure = LB_ERROR_IO;
  fetch->is_starting = false;
  if (fetch->failure != LB_OK)
    defer_start_failure_report (fetch);
  else
    {
      lh_socket_enable_keepalive (
          bufferevent_getfd (evhttp_connection_get_bufferevent (connection->evcon)));
      start_connect_timer (fetch, spec->connect_timeout);
      start_duration_timer (fetch, spec->max_duration);
    }
  return fetch;
}

void
lh_fetch_cancel (LhFetch *fetch)
{
  if (fetch->connection)
    abandon_request (fetch);
  else if (!fetch->is_in_handler)
    lb_list_remove (&fetch->pool->failed_starts, &fetch->link);
  fetch->is_cancelled = true;
  if (!fetch->is_in_handler)
    fetch_free (fetch);
}

void
lh_fetch_report_failed_starts (LhPool *pool)
{
  LbLink *link;

  while ((link = lb_list_pop (&pool->failed_starts)))
    {
      LhFetch *fetch = LB_CONTAINER (link, LhFetch, link);
      const LhResult result = { .failure = LB_ERROR_IO };
      call_done_handler_and_free (fetch, &result);
    }
}

void
lh_fetch_cancel_all (LhPool *pool)
{
  LB_LIST_FOREACH (&pool->running_fetches, LhFetch, link, running)
  {
    lh_fetch_cancel (running);
  }
  LB_LIST_FOREACH (&pool->failed_starts, LhFetch, link, failed)
  {
    lh_fetch_cancel (failed);
  }
}

const char *
lh_fetch_get_response_header (const LhFetch *fetch, const char *name)
{
  if (!fetch->request)
    return NULL;
  return evhttp_find_header (evhttp_request_get_input_headers (fetch->request), name);
}

void
lh_fetch_visit_response_headers (const LhFetch *fetch,
                                 void (*visit) (const char *name, const char *value, void *user),
                                 void *user)
{
  struct evkeyval *header;

  if (!fetch->request)
    return;
  TAILQ_FOREACH (header, evhttp_request_get_input_headers (fetch->request), next)
  {
    visit (header->key, header->value, user);
  }
}

int
lh_fetch_get_response_status (const LhFetch *fetch)
{
  return fetch->request ? evhttp_request_get_response_code (fetch->request) : 0;
}

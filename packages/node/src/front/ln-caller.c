#include "ln-caller.h"

#include "ln-exchange-private.h"
#include "ln-linger.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lb-time.h"
#include "lh-framing.h"
#include "lh-rewrite.h"
#include "lh-socket.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* evhtp's parser rejects a line of a request that has this number of bytes or more. */
#define MAX_PARSER_LINE_BYTES 8192

/* Input of a caller that is read while its request is processed, beside the headers of the next. */
#define MAX_PIPELINED_BYTES ((size_t)256 << 10)

/* Time limit for receiving a request that is incomplete when the drain time is over. It only serves
 * to refuse the request with a reply, so it must not delay the exit for long. */
#define MAX_READ_TIME_AFTER_DRAIN LB_SEC

static LbMetric connections
    = LB_GAUGE_INIT ("lentilspindle_caller_connections", NULL, "Open connections of callers");
static LbMetric refused_connections
    = LB_COUNTER_INIT ("lentilspindle_caller_connections_refused_total",
                       NULL,
                       "Connections closed at once because too many were open");

static LbMetric bytes_in_progress
    = LB_GAUGE_INIT ("lentilspindle_request_body_bytes",
                     NULL,
                     "Bytes that the bodies of callers' requests in progress count for");
static LbMetric requests_without_memory = LB_COUNTER_INIT (
    "lentilspindle_requests_refused_for_memory_total",
    NULL,
    "Requests refused because the bodies in progress need the memory for bodies");

void
ln_callers_init (LnCallers *callers, struct event_base *base)
{
  memset (callers, 0, sizeof *callers);
  callers->base = base;
  lb_list_init (&callers->connections);
  lb_list_init (&callers->lingers);
  lb_list_init (&callers->exchanges);
}

void
ln_callers_clear (LnCallers *callers)
{
  LB_LIST_FOREACH (&callers->connections, LnCaller, link, caller)
  {
    evhtp_connection_free (caller->connection);
  }
  ln_linger_free_all (&callers->lingers);
  ln_exchange_free_all (&callers->exchanges);
}

static void
start_connection_timer (LnCaller *caller, LbTime delay)
{
  const struct timeval interval = lb_time_to_timeval (delay);

  evtimer_add (caller->timer, &interval);
}

static LbTime
get_read_timeout (const LnCallers *callers)
{
  if (callers->has_stopped_accepting && callers->read_timeout > MAX_READ_TIME_AFTER_DRAIN)
    return MAX_READ_TIME_AFTER_DRAIN;
  return callers->read_timeout;
}

static void
start_read_timer (LnCaller *caller)
{
  caller->request_started_at = lb_clock_monotonic ();
  start_connection_timer (caller, get_read_timeout (caller->callers));
}

static bool
is_reading_request (const LnCaller *caller)
{
  const evhtp_request_t *request = caller->connection->request;

  return request && !(request->flags & EVHTP_REQ_FLAG_FINISHED);
}

/* Returns the size in bytes of a partial request line that the parser has not got yet; 0: none. */
static size_t
get_partial_request_line_length (const LnCaller *caller)
{
  size_t length = lh_message_scanner_get_partial_line_length (&caller->scanner);

  return caller->scanner.is_malformed || length >= MAX_PARSER_LINE_BYTES ? 0 : length;
}

/* Returns the size in bytes of the input's incomplete last line or lines that the parser must not
 * get yet; 0: none. */
static size_t
get_withheld_length (const LnCaller *caller)
{
  size_t line = get_partial_request_line_length (caller);

  if (line > 0 || caller->scanner.is_malformed)
    return line;
  return lh_message_scanner_get_partial_chunk_length (&caller->scanner);
}

/* Accepts the next request of the connection, of which the parser may read all that has arrived. */
static void
resume_held_request (LnCaller *caller)
{
  evhtp_request_t *held_request = caller->held_request;

  caller->held_request = NULL;
  start_connection_timer (caller, get_read_timeout (caller->callers));
  evhtp_request_resume (held_request);
}

/* Returns the error to reply with before the connection is closed; LB_OK: no request has begun. */
static LbErrorCode
choose_refusal_of_unfinished_request (const LnCaller *caller)
{
  if (caller->scanner.is_malformed)
    return LB_ERROR_BAD_REQUEST;
  if (!is_reading_request (caller) && get_withheld_length (caller) == 0)
    return LB_OK;
  return caller->callers->has_stopped_accepting ? LB_ERROR_DRAINING : LB_ERROR_TOO_SLOW;
}

/* Limits the time from the first to the last byte of a request. evhtp's own timeouts restart with
 * each byte, so a caller that sends one byte a second would hold its connection for ever. An idle
 * connection is closed without a reply. While a request is processed, the timer instead resumes
 * reading; see ln_caller_watch_disconnect. */
static void
on_connection_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnCaller *caller = user;

  if (caller->exchange)
    {
      bufferevent_enable (caller->connection->bev, EV_READ);
      return;
    }
  if (caller->held_request && get_withheld_length (caller) == 0 && !caller->scanner.is_malformed)
    {
      resume_held_request (caller);
      return;
    }
  if (caller->refusal == LB_OK)
    caller->refusal = choose_refusal_of_unfinished_request (caller);
  evhtp_connection_free (caller->connection);
}

static LbErrorCode
get_parser_error (const LnCaller *caller)
{
  switch (htparser_get_error (caller->connection->parser))
    {
    case htparse_error_none:
    case htparse_error_user: /* stopped by a hook of this file, or paused until the reply */
      return LB_OK;
    case htparse_error_too_big:
      /* The parser also reports "too big" for an invalid Content-Length. */
      return caller->scanner.longest_line < MAX_PARSER_LINE_BYTES ? LB_ERROR_BAD_REQUEST
                                                                  : LB_ERROR_HEADER_TOO_LARGE;
    default:
      return LB_ERROR_BAD_REQUEST;
    }
}

static void
write_error_reply (struct bufferevent *bev, LbErrorCode code)
{
  int status = lb_error_http_status (code);
  char *body = lb_asprintf (
      "{\"error\":{\"type\":\"%s\",\"message\":\"the request was refused before it was processed\","
      "\"where\":\"\",\"not_run\":true}}\n",
      lb_error_name (code));
  char *reply = lb_asprintf ("HTTP/1.1 %d Refused\r\nContent-Type: application/json\r\n"
                             "Content-Length: %zu\r\nx-not-run: 1\r\nConnection: close\r\n\r\n%s",
                             status, strlen (body), body);

  evbuffer_add (bufferevent_get_output (bev), reply, strlen (reply));
  free (reply);
  free (body);
  lb_metric_count_error (code);
}

/* evhtp discards pending output when it frees a connection, even after a parser error, so the
 * caller would get no reply. evhtp calls this hook first: the hook takes over the socket, writes
 * the error reply and starts a lingering close. */
static evhtp_res
on_connection_end (evhtp_connection_t *connection, void *user)
{
  LnCaller *caller = user;
  struct bufferevent *bev = connection->bev;

  if (caller->refusal == LB_OK && !caller->exchange)
    caller->refusal
        = caller->scanner.is_malformed ? LB_ERROR_BAD_REQUEST : get_parser_error (caller);
  if (bev)
    evbuffer_remove_cb_entry (bufferevent_get_input (bev), caller->input_callback);
  if (bev && (caller->refusal != LB_OK || caller->is_flushed_at_close))
    {
      connection->bev = NULL;
      if (caller->refusal != LB_OK)
        write_error_reply (bev, caller->refusal);
      ln_linger_start (&caller->callers->lingers, bev);
    }
  if (caller->exchange)
    ln_exchange_detach_connection (caller->exchange);
  ln_callers_release_bytes (caller->callers, caller->n_bytes_in_progress);
  lb_list_remove (&caller->callers->connections, &caller->link);
  lb_metric_add (&connections, -1);
  event_free (caller->timer);
  free (caller->raw_query);
  free (caller);
  return EVHTP_RES_OK;
}

/* Returns the maximum number of input bytes to buffer for a caller that pipelines requests. */
static size_t
compute_max_input_bytes (const LnCallers *callers)
{
  return callers->max_header_bytes + MAX_PIPELINED_BYTES;
}

void
ln_callers_release_bytes (LnCallers *callers, size_t n_bytes)
{
  callers->n_bytes_in_progress -= n_bytes;
  lb_metric_add (&bytes_in_progress, -(int64_t)n_bytes);
}

/* Returns the number of bytes that a body counts for. One that is larger than the bound passes
 * alone, beside small ones. */
static size_t
compute_counted_bytes (const LnCallers *callers, size_t body_bytes)
{
  size_t max = callers->max_bytes_in_progress - callers->max_bytes_in_progress / 8;

  return body_bytes < max ? body_bytes : max;
}

/* Counts the body that is being read, of which body_bytes are known. Returns false if there is no
 * memory for it beside the other requests. */
static bool
reserve_body_bytes (LnCaller *caller, size_t body_bytes)
{
  LnCallers *callers = caller->callers;
  size_t n_bytes = compute_counted_bytes (callers, body_bytes);

  if (n_bytes <= caller->n_bytes_in_progress)
    return true;
  n_bytes -= caller->n_bytes_in_progress;
  if (callers->n_bytes_in_progress + n_bytes > callers->max_bytes_in_progress)
    {
      lb_metric_add (&requests_without_memory, 1);
      return false;
    }
  caller->n_bytes_in_progress += n_bytes;
  callers->n_bytes_in_progress += n_bytes;
  lb_metric_add (&bytes_in_progress, (int64_t)n_bytes);
  return true;
}

static evhtp_res
on_headers_start (evhtp_request_t *request, void *user)
{
  (void)request;
  LnCaller *caller = user;

  caller->header_bytes = 0;
  caller->body_bytes = 0;
  if (!caller->is_read_timer_started)
    start_read_timer (caller);
  caller->is_read_timer_started = false;
  if (caller->scanner.is_malformed)
    start_connection_timer (caller, 0);
  return EVHTP_RES_OK;
}

static evhtp_res
refuse_request (LnCaller *caller, LbErrorCode code)
{
  caller->refusal = code;
  return EVHTP_RES_ERROR;
}

static evhtp_res
on_header_received (evhtp_request_t *request, evhtp_header_t *header, void *user)
{
  (void)request;
  LnCaller *caller = user;

  caller->header_bytes += header->klen + header->vlen + 4;
  if (caller->header_bytes > caller->callers->max_header_bytes)
    return refuse_request (caller, LB_ERROR_HEADER_TOO_LARGE);
  return EVHTP_RES_OK;
}

static int
add_header_to_framing (evhtp_header_t *header, void *user)
{
  lh_framing_add_header (user, header->key, header->klen, header->val, header->vlen);
  return 0;
}

/* Limits the time for the body by the request's route, which is known now. A caller may need longer
 * for a large body than for its headers, and must not wait longer than its route allows. */
static void
limit_read_time_by_route (LnCaller *caller, const evhtp_request_t *request)
{
  const LnCallers *callers = caller->callers;
  const char *host = evhtp_header_find (request->headers_in, "Host");
  const char *path = request->uri && request->uri->path ? request->uri->path->full : NULL;
  LbTime timeout = 0;

  if (!callers->get_route_timeout || callers->has_stopped_accepting || caller->scanner.is_malformed
      || !host || !path)
    return;
  timeout = callers->get_route_timeout (callers->user, host, path);
  if (timeout > 0)
    start_connection_timer (caller, lb_time_later (0, caller->request_started_at + timeout
                                                          - lb_clock_monotonic ()));
}

static evhtp_res
on_headers_complete (evhtp_request_t *request, evhtp_headers_t *headers, void *user)
{
  LnCaller *caller = user;
  LhFraming framing = { 0 };
  const unsigned char *query = request->uri ? request->uri->query_raw : NULL;

  /* The query is copied, since evhtp later replaces the query by the body of a submitted form. */
  free (caller->raw_query);
  caller->raw_query = query ? lb_strdup ((const char *)query) : NULL;
  evhtp_kvs_for_each (headers, add_header_to_framing, &framing);
  /* The scanner may be ahead of the parser, so is_malformed may concern a later request. This
   * request is malformed only if the scanner has not counted its headers as complete. */
  if (lh_framing_is_ambiguous (&framing)
      || caller->n_headers_parsed >= caller->scanner.n_headers_complete)
    return refuse_request (caller, LB_ERROR_BAD_REQUEST);
  caller->n_headers_parsed++;
  if (evhtp_request_content_len (request) > caller->callers->max_body_bytes)
    return refuse_request (caller, LB_ERROR_BODY_TOO_LARGE);
  if (!reserve_body_bytes (caller, (size_t)evhtp_request_content_len (request)))
    return refuse_request (caller, LB_ERROR_OVERLOADED);
  limit_read_time_by_route (caller, request);
  return EVHTP_RES_OK;
}

static evhtp_res
on_body_received (evhtp_request_t *request, struct evbuffer *buffer, void *user)
{
  (void)request;
  LnCaller *caller = user;

  caller->body_bytes += evbuffer_get_length (buffer);
  if (caller->body_bytes > caller->callers->max_body_bytes)
    return refuse_request (caller, LB_ERROR_BODY_TOO_LARGE);
  if (!reserve_body_bytes (caller, caller->body_bytes))
    return refuse_request (caller, LB_ERROR_OVERLOADED);
  return EVHTP_RES_OK;
}

/* Detects a caller that disconnects while its request is processed; otherwise the engine would
 * continue to generate text without a recipient. evhtp does not call its error hook for a paused
 * connection, but calls this event hook for every event. */
static void
on_connection_event (evhtp_connection_t *connection, short events, void *user)
{
  (void)connection;
  LnCaller *caller = user;

  if (caller->exchange && (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    ln_exchange_report_disconnect (caller->exchange);
}

static void
set_read_watermark (LnCaller *caller, size_t n_bytes)
{
  const LnCallers *callers = caller->callers;

  bufferevent_setwatermark (caller->connection->bev, EV_READ, n_bytes,
                            compute_max_input_bytes (callers));
}

/* Withholds a request line from the parser until the line is complete. If a request line continues
 * in a second segment, evhtp's parser skips one byte of its buffer and keeps a byte of the previous
 * request instead: "/services/" became "/serv3ices/", and a service ran the changed request.
 *
 * Withholds all input while it ends inside a chunk size line or trailer fields, which are rewritten
 * once they are complete. */
static void
withhold_incomplete_lines (LnCaller *caller, struct evbuffer *input, size_t n_added)
{
  size_t withheld = get_withheld_length (caller);
  size_t length = evbuffer_get_length (input);

  if (caller->held_request)
    {
      if (withheld == 0)
        start_connection_timer (caller, 0);
      return;
    }
  if (caller->exchange)
    return;
  bool is_all_withheld
      = withheld > 0 && (withheld == length || get_partial_request_line_length (caller) == 0);
  set_read_watermark (caller, is_all_withheld ? length + 1 : 0);
  if (withheld == 0 || withheld > n_added || is_reading_request (caller))
    return;
  start_read_timer (caller);
  caller->is_read_timer_started = true;
}

/* Refuses a chunk size line or trailer fields that are longer than headers may be. */
static void
refuse_oversized_chunk_lines (LnCaller *caller)
{
  if (lh_message_scanner_get_partial_chunk_length (&caller->scanner)
      <= caller->callers->max_header_bytes)
    return;
  caller->refusal = LB_ERROR_HEADER_TOO_LARGE;
  caller->scanner.is_malformed = true;
}

/* Rewrites input that the parser has not read yet, since it was withheld or has just arrived. */
static void
rewrite_input (const LhRewrite *rewrite, void *user)
{
  LnCaller *caller = user;

  if (!lh_rewrite_apply (rewrite, bufferevent_get_input (caller->connection->bev),
                         caller->n_received))
    caller->scanner.is_malformed = true;
}

/* Scans received bytes before evhtp's parser gets them. A malformed request is refused after the
 * replies to all earlier requests. The parser can't refuse the request, as it may wait for more
 * bytes. */
static void
on_input_received (struct evbuffer *input, const struct evbuffer_cb_info *info, void *user)
{
  LnCaller *caller = user;
  struct evbuffer_ptr position;
  struct evbuffer_iovec segment;
  size_t remaining = info->n_added;

  caller->n_received += remaining;
  if (remaining == 0
      || evbuffer_ptr_set (input, &position, evbuffer_get_length (input) - remaining,
                           EVBUFFER_PTR_SET)
             != 0)
    return;
  while (remaining > 0 && evbuffer_peek (input, (ev_ssize_t)remaining, &position, &segment, 1) > 0)
    {
      size_t length = segment.iov_len < remaining ? segment.iov_len : remaining;
      lh_message_scanner_feed (&caller->scanner, segment.iov_base, length);
      remaining -= length;
      if (remaining > 0 && evbuffer_ptr_set (input, &position, length, EVBUFFER_PTR_ADD) != 0)
        break;
    }
  refuse_oversized_chunk_lines (caller);
  withhold_incomplete_lines (caller, input, info->n_added);
  if (caller->scanner.is_malformed && !caller->exchange)
    start_connection_timer (caller, 0);
}

static void
set_connection_hooks (evhtp_connection_t *connection, LnCaller *caller)
{
  const struct
  {
    evhtp_hook_type type;
    evhtp_hook hook;
  } hooks[] = { { evhtp_hook_on_headers_start, (evhtp_hook)on_headers_start },
                { evhtp_hook_on_header, (evhtp_hook)on_header_received },
                { evhtp_hook_on_headers, (evhtp_hook)on_headers_complete },
                { evhtp_hook_on_read, (evhtp_hook)on_body_received },
                { evhtp_hook_on_event, (evhtp_hook)(void (*) (void))on_connection_event },
                { evhtp_hook_on_connection_fini, (evhtp_hook)on_connection_end } };

  for (size_t i = 0; i < sizeof hooks / sizeof hooks[0]; i++)
    evhtp_connection_set_hook (connection, hooks[i].type, hooks[i].hook, caller);
}

static void
read_caller_ip (LnCaller *caller)
{
  const struct sockaddr *address = caller->connection->saddr;

  if (address && address->sa_family == AF_INET)
    inet_ntop (AF_INET, &((const struct sockaddr_in *)(const void *)address)->sin_addr, caller->ip,
               sizeof caller->ip);
  else if (address && address->sa_family == AF_INET6)
    inet_ntop (AF_INET6, &((const struct sockaddr_in6 *)(const void *)address)->sin6_addr,
               caller->ip, sizeof caller->ip);
}

evhtp_res
ln_caller_accept (evhtp_connection_t *connection, void *user)
{
  LnCallers *callers = user;

  if (callers->connections.length >= callers->max_connections)
    {
      lb_metric_add (&refused_connections, 1);
      return EVHTP_RES_ERROR;
    }
  LnCaller *caller = LB_NEW (LnCaller);
  caller->callers = callers;
  caller->connection = connection;
  caller->timer = evtimer_new (callers->base, on_connection_timer, caller);
  caller->scanner.on_rewrite = rewrite_input;
  caller->scanner.user = caller;
  lb_list_append (&callers->connections, &caller->link);
  lb_metric_add (&connections, 1);
  read_caller_ip (caller);
  lh_socket_enable_keepalive (connection->sock);
  set_connection_hooks (connection, caller);
  start_connection_timer (caller, get_read_timeout (callers));
  caller->input_callback
      = evbuffer_add_cb (bufferevent_get_input (connection->bev), on_input_received, caller);
  set_read_watermark (caller, 0);
  return EVHTP_RES_OK;
}

LbErrorCode
ln_caller_count_parsed_request (LnCaller *caller)
{
  if (caller->n_parsed++ < caller->scanner.n_complete)
    return LB_OK;
  caller->is_closed_after_reply = true;
  return caller->refusal != LB_OK ? caller->refusal : LB_ERROR_BAD_REQUEST;
}

LnCaller *
ln_caller_from_connection (const evhtp_connection_t *connection)
{
  return connection->hooks->on_connection_fini_arg;
}

/* Whether bytes of a request have arrived that this process has not read yet. */
static bool
has_unread_input (const LnCaller *caller)
{
  char byte;

  return recv (caller->connection->sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* After the drain time, a request that has arrived unread counts as well: otherwise the process
 * would exit before it reads the request, and the caller could not tell whether the request has
 * run. */
bool
ln_caller_is_busy (const LnCaller *caller)
{
  struct evbuffer *output = bufferevent_get_output (caller->connection->bev);

  return caller->exchange || is_reading_request (caller) || get_withheld_length (caller) > 0
         || evbuffer_get_length (output) > 0
         || (caller->callers->has_stopped_accepting && has_unread_input (caller));
}

/* Closes the connection if it is idle. Limits the time for receiving an incomplete request. Does
 * nothing while a request is processed, since its reply closes the connection. */
static void
close_idle_or_limit_read_time (LnCaller *caller)
{
  if (caller->exchange)
    return;
  if (is_reading_request (caller) || get_withheld_length (caller) > 0 || has_unread_input (caller))
    start_connection_timer (caller, get_read_timeout (caller->callers));
  else if (evbuffer_get_length (bufferevent_get_output (caller->connection->bev)) > 0)
    ln_caller_close (caller);
  else
    evhtp_connection_free (caller->connection);
}

void
ln_callers_refuse_connection (LnCallers *callers, int fd)
{
  struct bufferevent *bev = bufferevent_socket_new (callers->base, fd, BEV_OPT_CLOSE_ON_FREE);

  if (!bev)
    {
      lb_log (LB_LOG_WARNING, "connection_not_refused", LB_INT ("fd", fd));
      close (fd);
      return;
    }
  write_error_reply (bev, LB_ERROR_DRAINING);
  ln_linger_start (&callers->lingers, bev);
}

void
ln_callers_stop_accepting (LnCallers *callers)
{
  callers->has_stopped_accepting = true;
  LB_LIST_FOREACH (&callers->connections, LnCaller, link, caller)
  {
    close_idle_or_limit_read_time (caller);
  }
}

/* evhtp stops reading from a paused connection, so it would not detect a disconnect. evhtp stops
 * reading again after its callback returns, so reading must be resumed in the next iteration of the
 * event loop. The timer does this, as it is otherwise unused while a request is processed. */
void
ln_caller_watch_disconnect (LnCaller *caller)
{
  start_connection_timer (caller, 0);
}

void
ln_caller_finish_reply (LnCaller *caller, evhtp_request_t *request)
{
  caller->exchange = NULL;
  if (caller->is_closed_after_reply || caller->callers->has_stopped_accepting
      || !(request->flags & EVHTP_REQ_FLAG_KEEPALIVE))
    {
      ln_caller_close (caller);
      return;
    }
  if (get_withheld_length (caller) > 0)
    {
      caller->held_request = request;
      start_connection_timer (caller, get_read_timeout (caller->callers));
      bufferevent_enable (caller->connection->bev, EV_READ);
      return;
    }
  start_connection_timer (caller, caller->scanner.is_malformed ? 0 : caller->callers->idle_timeout);
  evhtp_request_resume (request);
}

void
ln_caller_close (LnCaller *caller)
{
  caller->is_flushed_at_close = true;
  evhtp_connection_free (caller->connection);
}

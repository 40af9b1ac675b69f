#include "ln-caller.h"

#include "ln-exchange-private.h"
#include "ln-framing.h"
#include "ln-linger.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-time.h"
#include "lh-socket.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <stdlib.h>
#include <string.h>

/* Bytes; the shortest line that evhtp's parser takes for too long. */
#define PARSER_LINE_MAX 8192

static LbMetric connections
    = LB_GAUGE_INIT ("lentilspindle_caller_connections", NULL, "Open connections of callers");
static LbMetric refused_connections
    = LB_COUNTER_INIT ("lentilspindle_caller_connections_refused_total",
                       NULL,
                       "Connections closed at once because too many are open");

void
ln_callers_init (LnCallers *callers, struct event_base *base)
{
  memset (callers, 0, sizeof *callers);
  callers->base = base;
  lb_list_init (&callers->callers);
  lb_list_init (&callers->lingers);
  lb_list_init (&callers->exchanges);
}

void
ln_callers_clear (LnCallers *callers)
{
  LB_LIST_FOREACH (&callers->callers, LnCaller, link, caller)
  {
    evhtp_connection_free (caller->connection);
  }
  ln_linger_free_all (&callers->lingers);
  ln_exchange_free_all (&callers->exchanges);
}

static void
arm (LnCaller *caller, LbTime time)
{
  const struct timeval limit = lb_time_to_timeval (time);

  evtimer_add (caller->timer, &limit);
}

static bool
is_reading (const LnCaller *caller)
{
  const evhtp_request_t *request = caller->connection->request;

  return request && !(request->flags & EVHTP_REQ_FLAG_FINISHED);
}

/* Bytes of a request line that is kept from the parser until its end has come. */
static size_t
half_line (const LnCaller *caller)
{
  size_t length = ln_request_bytes_half_line (&caller->bytes);

  return caller->bytes.is_bad || length >= PARSER_LINE_MAX ? 0 : length;
}

/* The request behind an answered one has its whole request line now. */
static void
go_on (LnCaller *caller)
{
  evhtp_request_t *answered = caller->answered;

  caller->answered = NULL;
  arm (caller, caller->callers->read_time);
  evhtp_request_resume (answered);
}

/* The caller sends its request so slowly, a byte a second say, that it would hold the connection
 * for ever; evhtp's own timeouts start anew with each byte. The time of a whole request is bounded
 * instead, from its first byte to its last. A connection between requests is just closed. */
static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnCaller *caller = user;

  if (caller->exchange)
    {
      bufferevent_enable (caller->connection->bev, EV_READ);
      return;
    }
  if (caller->answered && half_line (caller) == 0 && !caller->bytes.is_bad)
    {
      go_on (caller);
      return;
    }
  if (caller->bytes.is_bad)
    caller->refusal = LB_ERROR_BAD_REQUEST;
  else if (is_reading (caller) || half_line (caller) > 0)
    caller->refusal = LB_ERROR_TOO_SLOW;
  evhtp_connection_free (caller->connection);
}

static LbErrorCode
refusal_of_parser (const evhtp_connection_t *connection)
{
  switch (htparser_get_error (connection->parser))
    {
    case htparse_error_none:
    case htparse_error_user: /* a hook of ours stopped it, or paused it to answer */
      return LB_OK;
    case htparse_error_too_big:
      /* It says the same of a Content-Length that is no number of bytes. */
      return htparser_get_total_bytes_read (connection->parser) < PARSER_LINE_MAX
                 ? LB_ERROR_BAD_REQUEST
                 : LB_ERROR_HEADER_TOO_LARGE;
    default:
      return LB_ERROR_BAD_REQUEST;
    }
}

static void
write_refusal (struct bufferevent *bev, LbErrorCode code)
{
  int status = lb_error_http_status (code);
  char *body = lb_asprintf ("{\"error\":{\"type\":\"%s\",\"message\":\"the request was given up\","
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

/* evhtp frees a connection with all that waits to be sent, also when its parser refuses a request,
 * so the caller would see a closed connection without a reason. This runs before that: it takes
 * the socket away, adds the typed reply and lets it flush. */
static evhtp_res
on_connection_end (evhtp_connection_t *connection, void *user)
{
  LnCaller *caller = user;
  struct bufferevent *bev = connection->bev;

  if (caller->refusal == LB_OK && !caller->exchange)
    caller->refusal = caller->bytes.is_bad ? LB_ERROR_BAD_REQUEST : refusal_of_parser (connection);
  if (bev)
    evbuffer_remove_cb_entry (bufferevent_get_input (bev), caller->on_input);
  if (bev && (caller->refusal != LB_OK || caller->flush))
    {
      connection->bev = NULL;
      if (caller->refusal != LB_OK)
        write_refusal (bev, caller->refusal);
      ln_linger_start (&caller->callers->lingers, bev);
    }
  if (caller->exchange)
    ln_exchange_connection_lost (caller->exchange);
  lb_list_remove (&caller->callers->callers, &caller->link);
  lb_metric_add (&connections, -1);
  event_free (caller->timer);
  free (caller->query);
  free (caller);
  return EVHTP_RES_OK;
}

/* A caller that sends request after request without reading fills no more than this. */
static size_t
most_unread (const LnCallers *callers)
{
  return callers->max_body + callers->max_header + 4096;
}

static evhtp_res
on_headers_start (evhtp_request_t *request, void *user)
{
  (void)request;
  LnCaller *caller = user;

  caller->header_bytes = 0;
  caller->body_bytes = 0;
  if (caller->bytes.is_bad)
    arm (caller, 0);
  else if (!caller->is_timed)
    arm (caller, caller->callers->read_time);
  caller->is_timed = false;
  return EVHTP_RES_OK;
}

static evhtp_res
refuse (LnCaller *caller, LbErrorCode code)
{
  caller->refusal = code;
  return EVHTP_RES_ERROR;
}

static evhtp_res
on_header (evhtp_request_t *request, evhtp_header_t *header, void *user)
{
  (void)request;
  LnCaller *caller = user;

  caller->header_bytes += header->klen + header->vlen + 4;
  if (caller->header_bytes > caller->callers->max_header)
    return refuse (caller, LB_ERROR_HEADER_TOO_LARGE);
  return EVHTP_RES_OK;
}

static int
add_to_framing (evhtp_header_t *header, void *user)
{
  ln_framing_add (user, header->key, header->klen, header->val, header->vlen);
  return 0;
}

static evhtp_res
on_headers (evhtp_request_t *request, evhtp_headers_t *headers, void *user)
{
  LnCaller *caller = user;
  LnFraming framing = { 0 };
  const unsigned char *query = request->uri ? request->uri->query_raw : NULL;

  /* evhtp puts the body of a form in its place later. */
  free (caller->query);
  caller->query = query ? lb_strdup ((const char *)query) : NULL;
  evhtp_kvs_for_each (headers, add_to_framing, &framing);
  /* What is no request may be a later one of the same bytes. */
  if (ln_framing_is_ambiguous (&framing) || caller->heads >= caller->bytes.heads)
    return refuse (caller, LB_ERROR_BAD_REQUEST);
  caller->heads++;
  if (evhtp_request_content_len (request) > caller->callers->max_body)
    return refuse (caller, LB_ERROR_BODY_TOO_LARGE);
  return EVHTP_RES_OK;
}

static evhtp_res
on_body (evhtp_request_t *request, struct evbuffer *buffer, void *user)
{
  (void)request;
  LnCaller *caller = user;

  caller->body_bytes += evbuffer_get_length (buffer);
  if (caller->body_bytes > caller->callers->max_body)
    return refuse (caller, LB_ERROR_BODY_TOO_LARGE);
  return EVHTP_RES_OK;
}

/* A caller goes away while its request is answered. evhtp's error hook is not called for a paused
 * connection, so the engine would go on for nobody; this hook comes with every event. */
static void
on_event (evhtp_connection_t *connection, short events, void *user)
{
  (void)connection;
  LnCaller *caller = user;

  if (caller->exchange && (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    ln_exchange_caller_gone (caller->exchange);
}

static void
wait_for (LnCaller *caller, size_t n_bytes)
{
  const LnCallers *callers = caller->callers;

  bufferevent_setwatermark (caller->connection->bev, EV_READ, n_bytes, most_unread (callers));
}

/* Guards against paths that nobody sent: evhtp's parser skips a place of its buffer, with what it
 * held before, where a request line goes on in a second piece. "/services/" became "/serv3ices/",
 * the 3 of the request before it, and a service ran it. So the parser is not woken before the line
 * is whole. */
static void
hold_half_line (LnCaller *caller, struct evbuffer *input, size_t n_added)
{
  size_t half = half_line (caller);

  if (caller->answered)
    {
      if (half == 0)
        arm (caller, 0);
      return;
    }
  if (caller->exchange)
    return;
  wait_for (caller, half > 0 && half == evbuffer_get_length (input) ? half + 1 : 0);
  if (half == 0 || half > n_added)
    return;
  arm (caller, caller->callers->read_time);
  caller->is_timed = true;
}

/* Runs before the library's parser sees the bytes. What is no request is refused once the requests
 * before it are answered; the parser may be waiting for more of it, so it is not left to it. */
static void
on_input (struct evbuffer *input, const struct evbuffer_cb_info *info, void *user)
{
  LnCaller *caller = user;
  struct evbuffer_ptr at;
  struct evbuffer_iovec piece;
  size_t left = info->n_added;

  if (left == 0
      || evbuffer_ptr_set (input, &at, evbuffer_get_length (input) - left, EVBUFFER_PTR_SET) != 0)
    return;
  while (left > 0 && evbuffer_peek (input, (ev_ssize_t)left, &at, &piece, 1) > 0)
    {
      size_t length = piece.iov_len < left ? piece.iov_len : left;
      ln_request_bytes_take (&caller->bytes, piece.iov_base, length);
      left -= length;
      if (left > 0 && evbuffer_ptr_set (input, &at, length, EVBUFFER_PTR_ADD) != 0)
        break;
    }
  hold_half_line (caller, input, info->n_added);
  if (caller->bytes.is_bad && !caller->exchange)
    arm (caller, 0);
}

static void
set_hooks (evhtp_connection_t *connection, LnCaller *caller)
{
  const struct
  {
    evhtp_hook_type type;
    evhtp_hook hook;
  } hooks[] = { { evhtp_hook_on_headers_start, (evhtp_hook)on_headers_start },
                { evhtp_hook_on_header, (evhtp_hook)on_header },
                { evhtp_hook_on_headers, (evhtp_hook)on_headers },
                { evhtp_hook_on_read, (evhtp_hook)on_body },
                { evhtp_hook_on_event, (evhtp_hook)(void (*) (void))on_event },
                { evhtp_hook_on_connection_fini, (evhtp_hook)on_connection_end } };

  for (size_t i = 0; i < sizeof hooks / sizeof hooks[0]; i++)
    evhtp_connection_set_hook (connection, hooks[i].type, hooks[i].hook, caller);
}

static void
read_peer (LnCaller *caller)
{
  const struct sockaddr *address = caller->connection->saddr;

  if (address && address->sa_family == AF_INET)
    inet_ntop (AF_INET, &((const struct sockaddr_in *)(const void *)address)->sin_addr,
               caller->peer, sizeof caller->peer);
  else if (address && address->sa_family == AF_INET6)
    inet_ntop (AF_INET6, &((const struct sockaddr_in6 *)(const void *)address)->sin6_addr,
               caller->peer, sizeof caller->peer);
}

evhtp_res
ln_caller_accept (evhtp_connection_t *connection, void *user)
{
  LnCallers *callers = user;

  if (callers->callers.length >= callers->max_callers)
    {
      lb_metric_add (&refused_connections, 1);
      return EVHTP_RES_ERROR;
    }
  LnCaller *caller = LB_NEW (LnCaller);
  caller->callers = callers;
  caller->connection = connection;
  caller->timer = evtimer_new (callers->base, on_timer, caller);
  lb_list_append (&callers->callers, &caller->link);
  lb_metric_add (&connections, 1);
  read_peer (caller);
  lh_socket_enable_keepalive (connection->sock);
  set_hooks (connection, caller);
  arm (caller, callers->read_time);
  caller->on_input = evbuffer_add_cb (bufferevent_get_input (connection->bev), on_input, caller);
  wait_for (caller, 0);
  return EVHTP_RES_OK;
}

LnCaller *
ln_caller_of (const evhtp_connection_t *connection)
{
  return connection->hooks->on_connection_fini_arg;
}

bool
ln_caller_is_busy (const LnCaller *caller)
{
  struct evbuffer *unsent = bufferevent_get_output (caller->connection->bev);

  return caller->exchange || is_reading (caller) || half_line (caller) > 0
         || evbuffer_get_length (unsent) > 0;
}

/* evhtp stops reading from a paused connection, and so would not see that its caller closes it: the
 * engine would go on for nobody. It does so once more after its callback returns, so reading starts
 * again in the loop's next turn, by the timer, which is free while a request is answered. */
void
ln_caller_watch (LnCaller *caller)
{
  arm (caller, 0);
}

void
ln_caller_replied (LnCaller *caller, evhtp_request_t *request)
{
  caller->exchange = NULL;
  if (caller->last_reply || !(request->flags & EVHTP_REQ_FLAG_KEEPALIVE))
    {
      ln_caller_close (caller);
      return;
    }
  if (half_line (caller) > 0)
    {
      caller->answered = request;
      arm (caller, caller->callers->read_time);
      bufferevent_enable (caller->connection->bev, EV_READ);
      return;
    }
  arm (caller, caller->bytes.is_bad ? 0 : caller->callers->idle_time);
  evhtp_request_resume (request);
}

void
ln_caller_close (LnCaller *caller)
{
  caller->flush = true;
  evhtp_connection_free (caller->connection);
}

#include "ln-context.h"

#include "ln-dialect.h"
#include "ln-exchange-private.h"
#include "ln-messages.h"
#include "ln-recorder.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lp-path.h"

#include <arpa/inet.h>
#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
/* Maximum number of listeners: one each for callers, address lookups, readiness checks, metrics
 * and, on a shared platform, other instances. */
#define MAX_LISTENERS 5
/* A request's body is held up to four times: as read, by its call, by its attempt and by the
 * kernel. The bodies of all requests may need half of the memory. */
#define MEMORY_PER_BODY_BYTE 8
/* Retry-After of a request that arrives after the drain time. Short, since another instance can
 * serve the request at once. */
#define AFTER_DRAIN_RETRY_DELAY (100 * LB_MSEC)

/* The HTTP front end: receives complete requests, within the configured limits, and posts each to
 * the task of its route. */
typedef struct
{
  LnTask task; /* must be the first member */
  LnContext *context;
  evhtp_t *servers[MAX_LISTENERS];
  size_t n_servers;
  evhtp_t *peer_server; /* server for other instances, in servers; NULL: the peers task listens */
  evhtp_t *metrics_server; /* server for metrics only, in servers; NULL: none */
  LnCallers callers;
  LcDesired *desired; /* desired state in force; NULL: none yet */
  uint64_t last_exchange_id;
  bool is_ready; /* the store or other instances have confirmed the resources */
  bool is_draining;
} LnFront;

static const LnRoute routes[] = { { "POST", "/v1/completions", "calls" },
                                  { "POST", "/v1/chat/completions", "calls" },
                                  { "POST", "/v1/tickets", "calls" },
                                  { NULL, "/services/", "calls" },
                                  { NULL, "/v1/subscriptions/", "rollouts" },
                                  { "GET", "/v1/entry", "peers" },
                                  { NULL, "/v1/resources", "config" },
                                  { "GET", "/v1/history", "config" },
                                  { "GET", "/v1/status", "config" },
                                  { "GET", "/metrics", "front" },
                                  { "GET", "/healthz", "front" },
                                  { "GET", "/readyz", "front" } };

static LbMetric requests_after_drain
    = LB_COUNTER_INIT ("lentilspindle_requests_after_drain_total",
                       NULL,
                       "Requests refused because they arrived after the drain time");
static LbMetric requests = LB_COUNTER_INIT ("lentilspindle_requests_total",
                                            NULL,
                                            "Complete requests received from callers");

/* A route's prefix matches whole path segments only: /metrics does not match /metricsx. */
static bool
route_matches (const LnRoute *route, const char *method, const char *path)
{
  size_t length = strlen (route->prefix);

  if (strncmp (path, route->prefix, length) != 0)
    return false;
  if (path[length] != '\0' && path[length] != '/' && route->prefix[length - 1] != '/')
    return false;
  return !route->method || strcmp (route->method, method) == 0;
}

/* Finds the task on a shared platform. The path of the peers task is for instances only, so it is
 * accepted only at the peer address, which callers can't reach. */
static LnTask *
find_task_on_shared_platform (const LnFront *front, const LnExchange *exchange, bool is_from_peer)
{
  static const char *const tasks[] = {
    [LN_INBOUND_RESOLVE] = "peers",         [LN_INBOUND_READINESS] = "front",
    [LN_INBOUND_RESULTS] = "rollouts",      [LN_INBOUND_ITEM] = "rollouts",
    [LN_INBOUND_DELETE_BATCH] = "rollouts", [LN_INBOUND_ROUTED] = "calls",
  };
  LnInbound inbound;

  if (is_from_peer && strcmp (ln_exchange_path (exchange), LP_PEER_PATH) == 0)
    return ln_hub_find_task (front->task.hub, "peers");
  front->context->dialect->read_inbound (exchange, &inbound);
  return ln_hub_find_task (front->task.hub, tasks[inbound.kind]);
}

static LnTask *
find_task_for_request (const LnFront *front, const LnExchange *exchange, bool is_from_peer)
{
  const LnRoute *best = NULL;

  if (front->context->dialect)
    return find_task_on_shared_platform (front, exchange, is_from_peer);
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    if (route_matches (&routes[i], ln_exchange_method (exchange), ln_exchange_path (exchange))
        && (!best || strlen (routes[i].prefix) > strlen (best->prefix)))
      best = &routes[i];
  return best ? ln_hub_find_task (front->task.hub, best->task) : NULL;
}

/* Posts the request to the task of its route. Requests for the front task are posted as well, since
 * evhtp's callbacks must not send replies. */
static void
on_request_received (evhtp_request_t *request, void *user)
{
  LnFront *front = user;
  LnExchange *exchange = ln_exchange_new (ln_caller_from_connection (request->conn), request,
                                          ++front->last_exchange_id, front->task.hub);
  bool is_from_peer = front->peer_server && request->conn->htp == front->peer_server;
  bool is_for_metrics = front->metrics_server && request->conn->htp == front->metrics_server;
  LnTask *task
      = is_for_metrics ? &front->task : find_task_for_request (front, exchange, is_from_peer);
  LnRecorder *recorder = front->callers.recorder;
  LnExchangeMessage message = { .base = LN_MESSAGE (LN_EXCHANGE), .exchange = exchange };

  if (!task)
    task = &front->task;
  message.refusal = ln_caller_count_parsed_request (ln_caller_from_connection (request->conn));
  if (message.refusal == LB_OK && front->callers.has_stopped_accepting && task != &front->task)
    message.refusal = LB_ERROR_DRAINING;
  if (message.refusal != LB_OK)
    task = &front->task;
  lb_metric_add (&requests, 1);
  if (recorder && message.refusal == LB_OK)
    ln_recorder_add_request (recorder, exchange, lb_clock_monotonic ());
  ln_exchange_set_owner (exchange, task);
  LN_POST (front->task.hub, task, message);
}

static void
reply_readiness (LnFront *front, LnExchange *exchange)
{
  LbError error = { 0 };

  if (front->is_ready && !front->is_draining)
    {
      ln_exchange_reply_text (exchange, 200, "text/plain", "ready\n", 6);
      return;
    }
  lb_error_set (&error, front->is_draining ? LB_ERROR_DRAINING : LB_ERROR_NOT_READY, "",
                front->is_draining
                    ? "this instance is shutting down"
                    : "the resources are not confirmed by the store or by other instances");
  ln_exchange_reply_error (exchange, &error, LB_SEC);
}

static void
reply_to_front_request (LnFront *front, LnExchange *exchange)
{
  const char *path = ln_exchange_path (exchange);
  LbError error = { 0 };
  LnInbound inbound = { .kind = LN_INBOUND_ROUTED };

  if (front->context->dialect)
    front->context->dialect->read_inbound (exchange, &inbound);
  if (inbound.kind == LN_INBOUND_READINESS)
    {
      reply_readiness (front, exchange);
      return;
    }
  if (strcmp (path, "/metrics") == 0)
    {
      char *text = lb_metric_render_all ();
      ln_exchange_reply_text (exchange, 200, "text/plain; version=0.0.4", text, strlen (text));
      free (text);
      return;
    }
  if (strcmp (path, "/healthz") == 0)
    {
      ln_exchange_reply_text (exchange, 200, "text/plain", "alive\n", 6);
      return;
    }
  if (strcmp (path, "/readyz") == 0)
    {
      reply_readiness (front, exchange);
      return;
    }
  lb_error_set (&error, LB_ERROR_UNKNOWN_PATH, "", "no handler for %s %.120s",
                ln_exchange_method (exchange), path);
  ln_exchange_reply_error (exchange, &error, 0);
}

/* Refuses a request that arrived after the drain time. An instance whose store call is refused as
 * "store unavailable" relays the call through another instance. */
static void
refuse_request_after_drain_time (const LnFront *front, LnExchange *exchange)
{
  bool is_store_call
      = front->context->dialect && strcmp (ln_exchange_path (exchange), LP_PEER_PATH) == 0;
  LbError error = { 0 };

  lb_metric_add (&requests_after_drain, 1);
  if (!front->context->dialect)
    ln_exchange_set_reply_header (exchange, "x-entry-stale", "1");
  lb_error_set (&error, is_store_call ? LB_ERROR_STORE_AWAY : LB_ERROR_DRAINING, "",
                "this instance is shutting down");
  ln_exchange_reply_error (exchange, &error, is_store_call ? 0 : AFTER_DRAIN_RETRY_DELAY);
}

static void
reply_or_refuse_request (LnFront *front, const LnExchangeMessage *message)
{
  LbError error = { 0 };

  if (message->refusal == LB_OK)
    reply_to_front_request (front, message->exchange);
  else if (message->refusal == LB_ERROR_DRAINING)
    refuse_request_after_drain_time (front, message->exchange);
  else
    {
      lb_error_set (&error, message->refusal, "",
                    "the request was refused before it was processed");
      ln_exchange_reply_error (message->exchange, &error, 0);
    }
}

static int64_t
max_int64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Applies the size limits and the timeouts for callers that the operators of a shared platform
 * publish, where they exceed this instance's settings. Otherwise the instance would refuse
 * permitted requests, or close a connection to which a caller is writing a request. */
static void
raise_caller_limits (LnFront *front, const LcCallerLimits *limits)
{
  const LnSettings *settings = front->context->settings;
  LnCallers *callers = &front->callers;

  callers->max_body_bytes
      = (size_t)max_int64 (settings->http.max_body_bytes, limits->max_body_bytes);
  callers->max_header_bytes
      = (size_t)max_int64 (settings->http.max_header_bytes, limits->max_header_bytes);
  callers->read_timeout
      = max_int64 (settings->http.request_read_ms * LB_MSEC, limits->header_timeout);
  callers->idle_timeout = max_int64 (LN_CALLER_IDLE_TIMEOUT, limits->idle_timeout);
}

static LbTime
get_route_timeout (void *user, const char *host, const char *path)
{
  const LnFront *front = user;
  const LcRoute *route
      = front->desired ? lc_desired_match_route (front->desired, host, path) : NULL;

  return route ? route->timeout : 0;
}

static void
apply_desired_state (LnFront *front, LcDesired *desired)
{
  LcDesired *previous = front->desired;

  front->desired = lc_desired_ref (desired);
  lc_desired_unref (previous);
  raise_caller_limits (front, &desired->limits);
}

static void
receive_message_for_front_task (LnTask *task, const LnMessage *message)
{
  LnFront *front = (LnFront *)task;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      reply_or_refuse_request (front, (const LnExchangeMessage *)message);
      break;
    case LN_READY:
      front->is_ready = ((const LnReadyMessage *)message)->ready;
      break;
    case LN_DESIRED:
      apply_desired_state (front, ((const LnDesiredMessage *)message)->desired);
      break;
    default:
      break;
    }
}

static void
drain_front_task (LnTask *task)
{
  LnFront *front = (LnFront *)task;

  front->is_draining = true;
  front->callers.is_draining = true;
}

static bool
is_front_task_idle (const LnTask *task)
{
  const LnFront *front = (const LnFront *)task;

  if (!lb_list_is_empty (&front->callers.lingers))
    return false;
  LB_LIST_FOREACH (&front->callers.connections, LnCaller, link, caller)
  {
    if (ln_caller_is_busy (caller))
      return false;
  }
  return true;
}

static void
close_listeners (LnFront *front)
{
  for (size_t i = 0; i < front->n_servers; i++)
    {
      if (front->servers[i]->server)
        evhtp_unbind_socket (front->servers[i]);
    }
}

/* Refuses the connections that wait to be accepted. Closing the listener would reset them, and a
 * caller that has already sent its request could not tell whether it has run. Other instances are
 * not refused: they relay a call through another instance if the connection fails. */
static void
refuse_pending_connections (LnFront *front, const evhtp_t *server)
{
  int listener = server->server ? evconnlistener_get_fd (server->server) : -1;
  int fd = -1;

  if (listener < 0 || server == front->peer_server)
    return;
  while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    ln_callers_refuse_connection (&front->callers, fd);
}

static void
stop_accepting_requests (LnTask *task)
{
  LnFront *front = (LnFront *)task;

  for (size_t i = 0; i < front->n_servers; i++)
    refuse_pending_connections (front, front->servers[i]);
  close_listeners (front);
  ln_callers_stop_accepting (&front->callers);
}

static void
free_servers (LnFront *front)
{
  close_listeners (front);
  for (size_t i = 0; i < front->n_servers; i++)
    evhtp_free (front->servers[i]);
  front->n_servers = 0;
}

static void
free_front_task (LnTask *task)
{
  LnFront *front = (LnFront *)task;

  ln_callers_clear (&front->callers);
  ln_recorder_free (front->callers.recorder);
  free_servers (front);
  lc_desired_unref (front->desired);
  free (front);
}

static const LnTaskClass front_class = { .name = "front",
                                         .receive = receive_message_for_front_task,
                                         .drain = drain_front_task,
                                         .stop_accepting = stop_accepting_requests,
                                         .is_idle = is_front_task_idle,
                                         .free = free_front_task };

static evhtp_t *
add_http_server (LnFront *front)
{
  evhtp_t *server = evhtp_new (front->context->base, NULL);

  evhtp_enable_flag (server, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_post_accept_cb (server, ln_caller_accept, &front->callers);
  evhtp_set_gencb (server, on_request_received, front);
  front->servers[front->n_servers++] = server;
  return server;
}

static bool
listen_at_address (LnFront *front, const char *address, const char *key, LbError *error)
{
  const char *colon = strrchr (address, ':');
  char ip[LB_NAME_MAX] = "";

  if (colon)
    lb_strlcpy (ip, address, (size_t)(colon - address) + 1);
  if (!colon
      || evhtp_bind_socket (add_http_server (front), ip, (uint16_t)strtoul (colon + 1, NULL, 10),
                            LISTEN_BACKLOG)
             != 0)
    return lb_error_set (error, LB_ERROR_IO, key, "cannot listen at %s: %s", address,
                         strerror (errno));
  return true;
}

/* Reads the bound address, with the port that the kernel chose. */
static void
read_bound_address (const evhtp_t *server, LbName address)
{
  struct sockaddr_in bound = { 0 };
  socklen_t length = sizeof bound;
  char ip[INET_ADDRSTRLEN] = "";
  int fd = evconnlistener_get_fd (server->server);

  if (getsockname (fd, (struct sockaddr *)&bound, &length) != 0)
    return;
  inet_ntop (AF_INET, &bound.sin_addr, ip, sizeof ip);
  snprintf (address, LB_NAME_MAX, "%s:%u", ip, ntohs (bound.sin_port));
}

/* On a shared platform, instances communicate by HTTP, so the front task listens at the peer
 * address. Otherwise the peers task does. */
static bool
listen_for_other_instances (LnFront *front, LbError *error)
{
  LnContext *context = front->context;

  if (!context->dialect)
    return true;
  if (!listen_at_address (front, context->settings->instance.peer_address, "instance.peer_address",
                          error))
    return false;
  front->peer_server = front->servers[front->n_servers - 1];
  read_bound_address (front->peer_server, context->peer_address);
  return true;
}

/* Metrics can have an address of their own, since on a shared platform any path at the caller
 * address may be a route. */
static bool
listen_for_metrics (LnFront *front, LbError *error)
{
  LnContext *context = front->context;
  const char *address = context->settings->instance.metrics_address;

  if (!address[0])
    return true;
  if (!listen_at_address (front, address, "instance.metrics_address", error))
    return false;
  front->metrics_server = front->servers[front->n_servers - 1];
  read_bound_address (front->metrics_server, context->metrics_address);
  return true;
}

static bool
listen_at_all_addresses (LnFront *front, LbError *error)
{
  const LnSettings *settings = front->context->settings;
  const char *entry = settings->instance.entry_address;
  const char *ready = settings->instance.ready_address;

  if (!listen_at_address (front, settings->instance.caller_address, "instance.caller_address",
                          error))
    return false;
  read_bound_address (front->servers[0], front->context->caller_address);
  return (!entry[0] || listen_at_address (front, entry, "instance.entry_address", error))
         && (!ready[0] || listen_at_address (front, ready, "instance.ready_address", error))
         && listen_for_metrics (front, error) && listen_for_other_instances (front, error);
}

/* Listens at the configured addresses and stores the bound addresses in context. When it can't
 * listen, logs the error and returns NULL. */
LnTask *
ln_front_task_new (LnContext *context)
{
  const LnSettings *settings = context->settings;
  LnFront *front = LB_NEW (LnFront);
  LbError error = { 0 };

  front->task.klass = &front_class;
  front->task.hub = context->hub;
  front->context = context;
  ln_callers_init (&front->callers, context->base);
  front->callers.max_connections = (size_t)settings->http.max_connections;
  front->callers.max_body_bytes = (size_t)settings->http.max_body_bytes;
  front->callers.max_header_bytes = (size_t)settings->http.max_header_bytes;
  front->callers.max_bytes_in_progress
      = ((size_t)settings->instance.memory_mb << 20) / MEMORY_PER_BODY_BYTE;
  front->callers.idle_timeout = LN_CALLER_IDLE_TIMEOUT;
  front->callers.read_timeout = settings->http.request_read_ms * LB_MSEC;
  front->callers.get_route_timeout = get_route_timeout;
  front->callers.user = front;
  front->callers.has_exact_retry_after = context->dialect != NULL;
  if (!listen_at_all_addresses (front, &error))
    {
      lb_log_error (LB_LOG_ERROR, "front_cannot_listen", &error);
      free_servers (front);
      free (front);
      return NULL;
    }
  if (settings->record[0])
    front->callers.recorder = ln_recorder_new (settings->record, settings->instance.data_centre,
                                               settings->seed, lb_clock_monotonic ());
  return &front->task;
}

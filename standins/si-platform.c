#include "si-platform.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"
#include "si-table.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SCAN_LIMIT 1000

/* A reply delayed by the fault "slow". */
typedef struct
{
  struct evhttp_request *request; /* NULL after the caller closed the connection */
  struct json_object *reply;
  int status;
} DelayedReply;

static void
on_delayed_reply_caller_disconnected (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  DelayedReply *delayed = user;

  si_request_free_if_connection_closed (delayed->request);
  delayed->request = NULL;
}

static void
on_delayed_reply_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  DelayedReply *delayed = user;

  if (delayed->request)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (delayed->request), NULL, NULL);
      si_reply_json (delayed->request, delayed->status, delayed->reply);
    }
  else
    json_object_put (delayed->reply);
  free (delayed);
}

/* Sends the reply, unless a fault drops or delays it. A dropped reply leaves the caller of a write
 * in doubt: the write has already been applied. */
static void
send_or_drop_reply (SiPlatform *platform,
                    struct evhttp_request *request,
                    int status,
                    struct json_object *reply)
{
  const char *path = si_request_get_path (request);

  if (si_faults_consume_occurrence_at_path (&platform->faults, SI_FAULT_LOSE_REPLY, path))
    {
      json_object_put (reply);
      si_request_close_connection (request);
      return;
    }
  if (!si_faults_consume_occurrence_at_path (&platform->faults, SI_FAULT_SLOW, path))
    {
      si_reply_json (request, status, reply);
      return;
    }
  LbTime wait = platform->faults.faults[SI_FAULT_SLOW].delay;
  const struct timeval at = lb_time_to_timeval (wait);
  DelayedReply *delayed = LB_NEW (DelayedReply);
  *delayed = (DelayedReply){ .request = request, .reply = reply, .status = status };
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_delayed_reply_caller_disconnected, delayed);
  event_base_once (platform->server.base, -1, EV_TIMEOUT, on_delayed_reply_due, delayed, &at);
}

static void
handle_table_transaction (SiPlatform *platform, struct evhttp_request *request)
{
  struct json_object *transaction = si_request_parse_body (request);
  struct json_object *reply;

  if (!transaction)
    {
      si_reply_error (request, 400, "bad_json");
      return;
    }
  platform->writes++;
  int status = si_table_transact (platform->store, transaction, &reply);
  send_or_drop_reply (platform, request, status, reply);
  json_object_put (transaction);
}

static void
handle_get_table_row (SiPlatform *platform, struct evhttp_request *request)
{
  char *key = si_request_copy_query_value (request, "key");
  struct json_object *reply;
  int status = si_table_get_row (platform->store, key ? key : "", &reply);

  send_or_drop_reply (platform, request, status, reply);
  free (key);
}

static void
handle_table_scan (SiPlatform *platform, struct evhttp_request *request)
{
  char *prefix = si_request_copy_query_value (request, "prefix");
  char *after = si_request_copy_query_value (request, "after");
  char *limit = si_request_copy_query_value (request, "limit");
  int64_t n = limit ? strtoll (limit, NULL, 10) : DEFAULT_SCAN_LIMIT;

  send_or_drop_reply (platform, request, 200,
                      si_table_scan (platform->store, prefix ? prefix : "",
                                     after && after[0] != '\0' ? after : NULL, n));
  free (prefix);
  free (after);
  free (limit);
}

static void
handle_get_object (SiPlatform *platform, struct evhttp_request *request, const char *key)
{
  size_t length;
  const char *bytes = lp_store_get_object (platform->store, key, &length);

  if (!bytes)
    {
      si_reply_error (request, 404, "not_found");
      return;
    }
  evbuffer_add (evhttp_request_get_output_buffer (request), bytes, length);
  evhttp_send_reply (request, 200, NULL, NULL);
}

static void
handle_put_object (SiPlatform *platform, struct evhttp_request *request, const char *key)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);

  platform->writes++;
  lp_store_put_object (platform->store, key, (const char *)evbuffer_pullup (input, -1), length);
  send_or_drop_reply (platform, request, 200, json_object_new_object ());
}

static void
route_object_request (SiPlatform *platform, struct evhttp_request *request, const char *key)
{
  switch (evhttp_request_get_command (request))
    {
    case EVHTTP_REQ_GET:
      handle_get_object (platform, request, key);
      break;
    case EVHTTP_REQ_PUT:
      handle_put_object (platform, request, key);
      break;
    case EVHTTP_REQ_DELETE:
      lp_store_delete_object (platform->store, key);
      send_or_drop_reply (platform, request, 200, json_object_new_object ());
      break;
    default:
      si_reply_error (request, 404, "unknown_path");
    }
}

/* Replies with the list of instances. A list set by POST /control becomes visible after
 * instances_lag. */
static void
handle_get_instances (SiPlatform *platform, struct evhttp_request *request)
{
  if (platform->pending_instances && lb_clock_monotonic () >= platform->pending_due)
    {
      json_object_put (platform->instances);
      platform->instances = platform->pending_instances;
      platform->pending_instances = NULL;
    }
  send_or_drop_reply (platform, request, 200, json_object_get (platform->instances));
}

static void
handle_get_weight_version (SiPlatform *platform, struct evhttp_request *request)
{
  char *pool = si_request_copy_query_value (request, "pool");
  int64_t version = pool ? lp_store_get_weight_version (platform->store, pool) : 0;
  struct json_object *reply = json_object_new_object ();

  if (version > 0)
    {
      si_json_set_text (reply, "pool", pool);
      si_json_set_int (reply, "version", version);
      si_json_set_int (reply, "made_ms", lb_clock_wall_ms ());
    }
  send_or_drop_reply (platform, request, version > 0 ? 200 : 404, reply);
  free (pool);
}

/* Refills the token bucket and takes one token for a call; returns true if the bucket is empty. */
static bool
is_rate_limit_exceeded (SiPlatform *platform)
{
  LbTime now = lb_clock_monotonic ();

  if (platform->max_calls_per_second <= 0)
    return false;
  platform->rate_tokens
      += (double)(now - platform->rate_tokens_at) / (double)LB_SEC * platform->max_calls_per_second;
  platform->rate_tokens_at = now;
  if (platform->rate_tokens > platform->max_calls_per_second)
    platform->rate_tokens = platform->max_calls_per_second;
  if (platform->rate_tokens < 1)
    return true;
  platform->rate_tokens -= 1;
  return false;
}

static void
schedule_instance_list_change (SiPlatform *platform, struct json_object *list)
{
  json_object_put (platform->pending_instances);
  platform->pending_instances = json_object_get (list);
  platform->pending_due = lb_clock_monotonic () + platform->instances_lag;
}

static void
set_weight_version (SiPlatform *platform, struct json_object *weights)
{
  lp_store_set_weight_version (platform->store, si_json_get_text (weights, "pool", ""),
                               si_json_get_int (weights, "version", 0));
}

/* Handles POST /control with body {"instances": {...}, "weights": {"pool", "version"}, "lag_ms": n,
 * "rate": n}; each key is optional. */
static void
handle_control_settings (SiPlatform *platform, struct evhttp_request *request)
{
  struct json_object *settings = si_request_parse_body (request);
  struct json_object *value;

  if (!settings)
    {
      si_reply_error (request, 400, "bad_json");
      return;
    }
  platform->instances_lag
      = si_json_get_int (settings, "lag_ms", platform->instances_lag / LB_MSEC) * LB_MSEC;
  platform->max_calls_per_second
      = si_json_get_real (settings, "rate", platform->max_calls_per_second);
  if (json_object_object_get_ex (settings, "instances", &value))
    schedule_instance_list_change (platform, value);
  if (json_object_object_get_ex (settings, "weights", &value))
    set_weight_version (platform, value);
  si_reply_json (request, 200, json_object_new_object ());
  json_object_put (settings);
}

static void
reply_call_counters (SiPlatform *platform, struct evhttp_request *request)
{
  struct json_object *log = json_object_new_object ();

  si_json_set_int (log, "calls", platform->served);
  si_json_set_int (log, "writes", platform->writes);
  si_json_set_int (log, "busy", platform->rejected_busy);
  si_reply_json (request, 200, log);
}

static void
route_api_call (SiPlatform *platform, struct evhttp_request *request)
{
  static const char objects_path[] = "/objects/";
  const char *path = si_request_get_path (request);

  if (si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/table/transact"))
    handle_table_transaction (platform, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/table/row"))
    handle_get_table_row (platform, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/table/scan"))
    handle_table_scan (platform, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/instances"))
    handle_get_instances (platform, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/weights"))
    handle_get_weight_version (platform, request);
  else if (strncmp (path, objects_path, sizeof objects_path - 1) == 0)
    route_object_request (platform, request, path + sizeof objects_path - 1);
  else
    si_reply_error (request, 404, "unknown_path");
}

static void
reject_or_route_api_call (SiPlatform *platform, struct evhttp_request *request)
{
  const char *path = si_request_get_path (request);

  platform->received++;
  if (si_faults_consume_occurrence_at_path (&platform->faults, SI_FAULT_DOWN, path))
    si_request_close_connection (request);
  else if (si_faults_consume_occurrence_at_path (&platform->faults, SI_FAULT_HANG, path))
    return;
  else if (si_faults_consume_occurrence_at_path (&platform->faults, SI_FAULT_BUSY, path)
           || is_rate_limit_exceeded (platform))
    {
      platform->rejected_busy++;
      si_reply_error (request, 503, "busy");
    }
  else
    {
      platform->served++;
      route_api_call (platform, request);
    }
}

static void
on_platform_request (struct evhttp_request *request, void *user)
{
  SiPlatform *platform = user;

  if (si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/faults"))
    si_faults_set_from_request (&platform->faults, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/control"))
    handle_control_settings (platform, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/log"))
    reply_call_counters (platform, request);
  else
    reject_or_route_api_call (platform, request);
}

static struct json_object *
new_empty_instance_list (void)
{
  struct json_object *list = json_object_new_object ();

  json_object_object_add (list, "instances", json_object_new_array ());
  json_object_object_add (list, "endpoints", json_object_new_array ());
  return list;
}

static void
init_platform_state (SiPlatform *platform)
{
  memset (platform, 0, sizeof *platform);
  platform->store = lp_store_new ();
  platform->instances = new_empty_instance_list ();
  platform->rate_tokens_at = lb_clock_monotonic ();
}

bool
si_platform_init (SiPlatform *platform, struct event_base *base, int port)
{
  init_platform_state (platform);
  return si_server_init (&platform->server, base, port, on_platform_request, platform);
}

bool
si_platform_init_standalone (SiPlatform *platform, int port)
{
  init_platform_state (platform);
  return si_server_init_standalone (&platform->server, port, on_platform_request, platform);
}

void
si_platform_clear (SiPlatform *platform)
{
  si_server_clear (&platform->server);
  json_object_put (platform->instances);
  json_object_put (platform->pending_instances);
  lp_store_free (platform->store);
}

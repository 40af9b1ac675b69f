#include "si-platform.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"
#include "si-table.h"

#include <event2/buffer.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_SCAN_LIMIT 1000

/* A reply held back by a slow store. */
typedef struct
{
  struct evhttp_request *request;
  struct json_object *reply;
  int status;
} Held;

static void
on_held_gone (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Held *held = user;

  si_request_release (held->request);
  held->request = NULL;
}

static void
on_held_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Held *held = user;

  if (held->request)
    {
      evhttp_connection_set_closecb (evhttp_request_get_connection (held->request), NULL, NULL);
      si_reply_json (held->request, held->status, held->reply);
    }
  else
    json_object_put (held->reply);
  free (held);
}

/* The write, if it was one, has been done; what is lost or slow is the answer. */
static void
answer (SiPlatform *platform, struct evhttp_request *request, int status, struct json_object *reply)
{
  const char *path = si_request_path (request);

  if (si_faults_consume_at_path (&platform->faults, SI_FAULT_LOSE_REPLY, path))
    {
      json_object_put (reply);
      si_reply_abort (request);
      return;
    }
  if (!si_faults_consume_at_path (&platform->faults, SI_FAULT_SLOW, path))
    {
      si_reply_json (request, status, reply);
      return;
    }
  LbTime wait = platform->faults.faults[SI_FAULT_SLOW].delay;
  const struct timeval at = lb_time_to_timeval (wait);
  Held *held = LB_NEW (Held);
  *held = (Held){ .request = request, .reply = reply, .status = status };
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_held_gone, held);
  event_base_once (platform->server.base, -1, EV_TIMEOUT, on_held_due, held, &at);
}

static void
transact (SiPlatform *platform, struct evhttp_request *request)
{
  struct json_object *asked = si_request_json (request);
  struct json_object *reply;

  if (!asked)
    {
      si_reply_error (request, 400, "bad_json");
      return;
    }
  platform->writes++;
  int status = si_table_transact (platform->store, asked, &reply);
  answer (platform, request, status, reply);
  json_object_put (asked);
}

static void
get_row (SiPlatform *platform, struct evhttp_request *request)
{
  char *key = si_request_query (request, "key");
  struct json_object *reply;
  int status = si_table_row (platform->store, key ? key : "", &reply);

  answer (platform, request, status, reply);
  free (key);
}

static void
scan (SiPlatform *platform, struct evhttp_request *request)
{
  char *prefix = si_request_query (request, "prefix");
  char *after = si_request_query (request, "after");
  char *limit = si_request_query (request, "limit");
  int64_t n = limit ? strtoll (limit, NULL, 10) : DEFAULT_SCAN_LIMIT;

  answer (platform, request, 200,
          si_table_scan (platform->store, prefix ? prefix : "",
                         after && after[0] != '\0' ? after : NULL, n));
  free (prefix);
  free (after);
  free (limit);
}

static void
get_object (SiPlatform *platform, struct evhttp_request *request, const char *key)
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
put_object (SiPlatform *platform, struct evhttp_request *request, const char *key)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);

  platform->writes++;
  lp_store_put_object (platform->store, key, (const char *)evbuffer_pullup (input, -1), length);
  answer (platform, request, 200, json_object_new_object ());
}

static void
handle_object (SiPlatform *platform, struct evhttp_request *request, const char *key)
{
  switch (evhttp_request_get_command (request))
    {
    case EVHTTP_REQ_GET:
      get_object (platform, request, key);
      break;
    case EVHTTP_REQ_PUT:
      put_object (platform, request, key);
      break;
    case EVHTTP_REQ_DELETE:
      lp_store_delete_object (platform->store, key);
      answer (platform, request, 200, json_object_new_object ());
      break;
    default:
      si_reply_error (request, 404, "unknown_path");
    }
}

/* The list lags: what was set is shown only after the lag. */
static void
get_instances (SiPlatform *platform, struct evhttp_request *request)
{
  if (platform->pending_instances && lb_clock_monotonic () >= platform->pending_due)
    {
      json_object_put (platform->instances);
      platform->instances = platform->pending_instances;
      platform->pending_instances = NULL;
    }
  answer (platform, request, 200, json_object_get (platform->instances));
}

static void
get_weights (SiPlatform *platform, struct evhttp_request *request)
{
  char *pool = si_request_query (request, "pool");
  int64_t version = pool ? lp_store_get_weights (platform->store, pool) : 0;
  struct json_object *reply = json_object_new_object ();

  if (version > 0)
    {
      si_json_set_text (reply, "pool", pool);
      si_json_set_int (reply, "version", version);
      si_json_set_int (reply, "made_ms", lb_clock_wall_ms ());
    }
  answer (platform, request, version > 0 ? 200 : 404, reply);
  free (pool);
}

static bool
is_over_rate (SiPlatform *platform)
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
set_instances (SiPlatform *platform, struct json_object *list)
{
  json_object_put (platform->pending_instances);
  platform->pending_instances = json_object_get (list);
  platform->pending_due = lb_clock_monotonic () + platform->instances_lag;
}

static void
set_weights (SiPlatform *platform, struct json_object *weights)
{
  lp_store_set_weights (platform->store, si_json_text (weights, "pool", ""),
                        si_json_int (weights, "version", 0));
}

/* POST /control {"instances": {...}, "weights": {"pool", "version"}, "lag_ms": n, "rate": n}; each
 * optional. */
static void
control (SiPlatform *platform, struct evhttp_request *request)
{
  struct json_object *order = si_request_json (request);
  struct json_object *value;

  if (!order)
    {
      si_reply_error (request, 400, "bad_json");
      return;
    }
  platform->instances_lag
      = si_json_int (order, "lag_ms", platform->instances_lag / LB_MSEC) * LB_MSEC;
  platform->max_calls_per_second = si_json_real (order, "rate", platform->max_calls_per_second);
  if (json_object_object_get_ex (order, "instances", &value))
    set_instances (platform, value);
  if (json_object_object_get_ex (order, "weights", &value))
    set_weights (platform, value);
  si_reply_json (request, 200, json_object_new_object ());
  json_object_put (order);
}

static void
reply_log (SiPlatform *platform, struct evhttp_request *request)
{
  struct json_object *log = json_object_new_object ();

  si_json_set_int (log, "calls", platform->served);
  si_json_set_int (log, "writes", platform->writes);
  si_json_set_int (log, "busy", platform->rejected_busy);
  si_reply_json (request, 200, log);
}

static void
route (SiPlatform *platform, struct evhttp_request *request)
{
  static const char objects[] = "/objects/";
  const char *path = si_request_path (request);

  if (si_request_is (request, EVHTTP_REQ_POST, "/table/transact"))
    transact (platform, request);
  else if (si_request_is (request, EVHTTP_REQ_GET, "/table/row"))
    get_row (platform, request);
  else if (si_request_is (request, EVHTTP_REQ_GET, "/table/scan"))
    scan (platform, request);
  else if (si_request_is (request, EVHTTP_REQ_GET, "/instances"))
    get_instances (platform, request);
  else if (si_request_is (request, EVHTTP_REQ_GET, "/weights"))
    get_weights (platform, request);
  else if (strncmp (path, objects, sizeof objects - 1) == 0)
    handle_object (platform, request, path + sizeof objects - 1);
  else
    si_reply_error (request, 404, "unknown_path");
}

static void
serve (SiPlatform *platform, struct evhttp_request *request)
{
  const char *path = si_request_path (request);

  platform->received++;
  if (si_faults_consume_at_path (&platform->faults, SI_FAULT_DOWN, path))
    si_reply_abort (request);
  else if (si_faults_consume_at_path (&platform->faults, SI_FAULT_HANG, path))
    return;
  else if (si_faults_consume_at_path (&platform->faults, SI_FAULT_BUSY, path)
           || is_over_rate (platform))
    {
      platform->rejected_busy++;
      si_reply_error (request, 503, "busy");
    }
  else
    {
      platform->served++;
      route (platform, request);
    }
}

static void
handle (struct evhttp_request *request, void *user)
{
  SiPlatform *platform = user;

  if (si_request_is (request, EVHTTP_REQ_POST, "/faults"))
    si_faults_handle (&platform->faults, request);
  else if (si_request_is (request, EVHTTP_REQ_POST, "/control"))
    control (platform, request);
  else if (si_request_is (request, EVHTTP_REQ_GET, "/log"))
    reply_log (platform, request);
  else
    serve (platform, request);
}

static struct json_object *
new_empty_instances (void)
{
  struct json_object *list = json_object_new_object ();

  json_object_object_add (list, "instances", json_object_new_array ());
  json_object_object_add (list, "endpoints", json_object_new_array ());
  return list;
}

static void
prepare (SiPlatform *platform)
{
  memset (platform, 0, sizeof *platform);
  platform->store = lp_store_new ();
  platform->instances = new_empty_instances ();
  platform->rate_tokens_at = lb_clock_monotonic ();
}

bool
si_platform_init (SiPlatform *platform, struct event_base *base, int port)
{
  prepare (platform);
  return si_server_init (&platform->server, base, port, handle, platform);
}

bool
si_platform_init_program (SiPlatform *platform, int port)
{
  prepare (platform);
  return si_server_init_program (&platform->server, port, handle, platform);
}

void
si_platform_clear (SiPlatform *platform)
{
  si_server_clear (&platform->server);
  json_object_put (platform->instances);
  json_object_put (platform->pending_instances);
  lp_store_free (platform->store);
}

#include "si-endpoint.h"

#include "si-json.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#define REGISTRATION_INTERVAL (300 * LB_MSEC)
#define CRASH_DELAY (20 * LB_MSEC)
#define DEFAULT_RESTART_DELAY (400 * LB_MSEC)
#define INITIAL_START_TIME_MS 1700000000000 /* arbitrary Unix time in milliseconds */

typedef struct
{
  LbLink link;
  SiEndpoint *endpoint;
  struct evhttp_request *request;
  struct event *timer;
  SiStreamRecord *record;
  int64_t next_event; /* id of the next event to send; starts at 1 */
  int64_t version;    /* weight version that was last reported to the caller */
} Stream;

static void
add_reply_header (struct evhttp_request *request, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), name, value);
}

static void
add_reply_int_header (struct evhttp_request *request, const char *name, int64_t number)
{
  char text[32];

  snprintf (text, sizeof text, "%lld", (long long)number);
  add_reply_header (request, name, text);
}

static void
start_timer (struct event *timer, LbTime time)
{
  const struct timeval tv = lb_time_to_timeval (time);

  evtimer_add (timer, &tv);
}

/* --- load --- */

static void
add_load_header (const SiEndpoint *endpoint, struct evhttp_request *request)
{
  size_t n_running = endpoint->streams.length + endpoint->running_calls.length;
  char load[96];
  int length = snprintf (load, sizeof load, "%zu,0,%lld", n_running, (long long)endpoint->slots);

  if (endpoint->reports_work_time)
    snprintf (load + length, sizeof load - (size_t)length, ",%lld",
              (long long)endpoint->work_time_percent);
  add_reply_header (request, "Server-Load", endpoint->load_header ? endpoint->load_header : load);
}

static LbTime
get_present_duration (const SiEndpoint *endpoint, LbTime usual_duration)
{
  return usual_duration * endpoint->work_time_percent / 100;
}

/* --- event streams --- */

static void
stream_free (Stream *stream)
{
  lb_list_remove (&stream->endpoint->streams, &stream->link);
  event_free (stream->timer);
  free (stream);
}

static void
on_stream_caller_disconnected (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Stream *stream = user;

  stream->endpoint->cancelled_streams++;
  si_request_free_if_connection_closed (stream->request);
  stream_free (stream);
}

static void
send_stream_event (Stream *stream)
{
  struct evbuffer *event = evbuffer_new ();
  const SiEndpoint *endpoint = stream->endpoint;

  if (stream->version != endpoint->version)
    evbuffer_add_printf (event, "weight-versions: %lld\n", (long long)endpoint->version);
  stream->version = endpoint->version;
  evbuffer_add_printf (event, "id: %lld\ndata: %s.%lld%*s", (long long)stream->next_event,
                       stream->record->attempt_id, (long long)stream->next_event,
                       endpoint->event_padding_size, "");
  if (endpoint->reports_version)
    evbuffer_add_printf (event, " v%lld", (long long)endpoint->version);
  evbuffer_add_printf (event, "\n\n");
  evhttp_send_reply_chunk (stream->request, event);
  evbuffer_free (event);
  stream->next_event++;
  stream->record->sent_events++;
}

static void
on_stream_event_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Stream *stream = user;

  if (stream->next_event <= stream->endpoint->n_events)
    {
      send_stream_event (stream);
      start_timer (stream->timer,
                   get_present_duration (stream->endpoint, stream->endpoint->event_interval));
      return;
    }
  stream->record->is_complete = true;
  evhttp_connection_set_closecb (evhttp_request_get_connection (stream->request), NULL, NULL);
  evhttp_send_reply_end (stream->request);
  stream_free (stream);
}

static void
start_stream (SiEndpoint *endpoint, struct evhttp_request *request)
{
  const char *id = si_request_get_header (request, "Attempt-Id");
  const char *after = si_request_get_header (request, "Last-Event-Id");
  Stream *stream = LB_NEW (Stream);

  stream->endpoint = endpoint;
  stream->request = request;
  stream->record = &endpoint->stream_records[endpoint->n_stream_records++ % SI_MAX_STREAM_RECORDS];
  *stream->record = (SiStreamRecord){ .resumed_after = after ? atoll (after) : 0 };
  LB_COPY (stream->record->attempt_id, id ? id : "");
  stream->next_event = stream->record->resumed_after + 1;
  stream->version = endpoint->version;
  stream->timer = evtimer_new (endpoint->server.base, on_stream_event_due, stream);
  lb_list_append (&endpoint->streams, &stream->link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_stream_caller_disconnected, stream);
  add_reply_header (request, "Attempt-Id", stream->record->attempt_id);
  add_reply_header (request, "Content-Type", "text/event-stream");
  add_load_header (endpoint, request);
  add_reply_int_header (request, "Weight-Versions", endpoint->version);
  if (endpoint->listener && endpoint->listener->on_stream)
    endpoint->listener->on_stream (endpoint, stream->record->attempt_id, endpoint->user);
  evhttp_send_reply_start (request, 200, NULL);
  start_timer (stream->timer, get_present_duration (endpoint, endpoint->event_interval));
}

/* --- weight orders and status reports --- */

static void
on_weight_load_done (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEndpoint *endpoint = user;

  endpoint->version = endpoint->loading_version;
  endpoint->loading_version = 0;
  si_endpoint_register (endpoint);
}

static void
handle_weight_load_order (SiEndpoint *endpoint, struct evhttp_request *request)
{
  struct json_object *order = si_request_parse_body (request);
  int64_t fence = si_json_get_int (order, "fence", 0);
  int64_t version = si_json_get_int (order, "version", 0);
  int status = 202;

  if (fence < endpoint->last_fence)
    status = 412;
  else if (endpoint->loading_version != 0
           || si_json_get_int (order, "expected", endpoint->accepted_orders)
                  != endpoint->accepted_orders)
    status = 409;
  else if (version == endpoint->version)
    status = 200;
  if (endpoint->listener && endpoint->listener->on_order)
    endpoint->listener->on_order (endpoint, si_json_get_text (order, "holder", ""), fence,
                                  status == 202, endpoint->user);
  json_object_put (order);
  if (status == 202)
    {
      endpoint->last_fence = fence;
      endpoint->accepted_orders++;
      endpoint->loading_version = version;
      start_timer (endpoint->load_timer, endpoint->load_time);
    }
  evhttp_send_reply (request, status, NULL, NULL);
}

static struct json_object *
endpoint_models_to_json (const SiEndpoint *endpoint)
{
  struct json_object *models = json_object_new_array ();
  struct json_object *model = json_object_new_object ();

  if (endpoint->model[0])
    {
      si_json_set_text (model, "name", endpoint->model);
      si_json_set_int (model, "version", endpoint->version);
      json_object_array_add (models, model);
    }
  else
    json_object_put (model);
  return models;
}

static void
reply_status_report (SiEndpoint *endpoint, struct evhttp_request *request)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "models", endpoint_models_to_json (endpoint));
  json_object_object_add (object, "busy", json_object_new_boolean (endpoint->loading_version != 0));
  si_json_set_int (object, "seq", endpoint->accepted_orders);
  si_json_set_int (object, "born", endpoint->start_ms);
  si_reply_json (request, 200, object);
}

/* --- request headers, and calls to an endpoint without a model --- */

static void
record_tenant_and_count_api_key_headers (SiEndpoint *endpoint, struct evhttp_request *request)
{
  const struct evkeyval *header;
  char tenants[LB_NAME_MAX] = "";
  size_t length = 0;

  TAILQ_FOREACH (header, evhttp_request_get_input_headers (request), next)
  {
    endpoint->leaked_keys += strcasecmp (header->key, "Api-Key") == 0;
    if (strcasecmp (header->key, "Tenant") == 0 && length < sizeof tenants)
      length += (size_t)snprintf (tenants + length, sizeof tenants - length, "%s", header->value);
  }
  LB_COPY (endpoint->organisation, tenants);
}

static bool
is_request_misdirected (const SiEndpoint *endpoint, struct evhttp_request *request)
{
  const char *expected = si_request_get_header (request, "Expect-Instance");

  return expected && strcmp (expected, endpoint->name) != 0;
}

static bool
is_version_refused (const SiEndpoint *endpoint, struct evhttp_request *request)
{
  const char *expected = si_request_get_header (request, "Expect-Version");

  return endpoint->model[0] && expected && atoll (expected) != endpoint->version;
}

/* A call to an endpoint without a model whose reply is delayed. */
typedef struct
{
  LbLink link;
  struct evhttp_request *request;
  struct event *timer;
  SiEndpoint *endpoint;
} PendingCall;

static void
pending_call_free (PendingCall *call)
{
  lb_list_remove (&call->endpoint->running_calls, &call->link);
  event_free (call->timer);
  free (call);
}

static void
on_service_caller_disconnected (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  PendingCall *call = user;

  si_request_free_if_connection_closed (call->request);
  pending_call_free (call);
}

static void
send_service_reply (const SiEndpoint *endpoint, struct evhttp_request *request)
{
  const char *id = si_request_get_header (request, "Attempt-Id");
  char stamp[LB_NAME_MAX + 8];

  snprintf (stamp, sizeof stamp, "stamp-%s", id ? id : "");
  add_reply_header (request, "Attempt-Id", id ? id : "");
  add_reply_header (request, "Server-Stamp", stamp);
  add_load_header (endpoint, request);
  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "answer to %s", id ? id : "");
  evhttp_send_reply (request, 200, NULL, NULL);
}

static void
on_service_reply_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  PendingCall *call = user;

  evhttp_connection_set_closecb (evhttp_request_get_connection (call->request), NULL, NULL);
  send_service_reply (call->endpoint, call->request);
  pending_call_free (call);
}

static PendingCall *
pending_call_new (SiEndpoint *endpoint, struct evhttp_request *request)
{
  PendingCall *call = LB_NEW (PendingCall);

  call->endpoint = endpoint;
  call->request = request;
  call->timer = evtimer_new (endpoint->server.base, on_service_reply_due, call);
  lb_list_append (&endpoint->running_calls, &call->link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_service_caller_disconnected, call);
  return call;
}

static void
handle_service_call (SiEndpoint *endpoint, struct evhttp_request *request)
{
  const char *id = si_request_get_header (request, "Attempt-Id");

  endpoint->n_calls++;
  if (endpoint->listener && endpoint->listener->on_call)
    endpoint->listener->on_call (endpoint, id ? id : "", endpoint->user);
  if (endpoint->call_duration == 0)
    send_service_reply (endpoint, request);
  else
    start_timer (pending_call_new (endpoint, request)->timer,
                 get_present_duration (endpoint, endpoint->call_duration));
}

/* --- simulated crashes and restarts --- */

static bool
has_fatal_request_body (const SiEndpoint *endpoint, struct evhttp_request *request)
{
  char *body = endpoint->fatal_body ? si_request_copy_body (request) : NULL;
  bool is_fatal = body && strcmp (body, endpoint->fatal_body) == 0;

  free (body);
  return is_fatal;
}

/* Leaves the request unanswered until the endpoint crashes. The listener's callback crashes the
 * endpoint; without a callback a timer does so after CRASH_DELAY. */
static void
start_request_with_fatal_body (SiEndpoint *endpoint, struct evhttp_request *request)
{
  const char *id = si_request_get_header (request, "Attempt-Id");

  endpoint->fatal_requests++;
  pending_call_new (endpoint, request);
  if (endpoint->listener && endpoint->listener->on_fatal_request)
    endpoint->listener->on_fatal_request (endpoint, id ? id : "", endpoint->user);
  else if (!evtimer_pending (endpoint->crash_timer, NULL))
    start_timer (endpoint->crash_timer, CRASH_DELAY);
}

static void
free_streams_and_pending_calls (SiEndpoint *endpoint)
{
  LB_LIST_FOREACH (&endpoint->streams, Stream, link, stream)
  {
    evhttp_connection_set_closecb (evhttp_request_get_connection (stream->request), NULL, NULL);
    stream_free (stream);
  }
  LB_LIST_FOREACH (&endpoint->running_calls, PendingCall, link, call)
  {
    evhttp_connection_set_closecb (evhttp_request_get_connection (call->request), NULL, NULL);
    pending_call_free (call);
  }
}

/* The registration stays in the store until the restart, as after the crash of a real process. */
static void
on_crash_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEndpoint *endpoint = user;

  endpoint->crashes++;
  free_streams_and_pending_calls (endpoint);
  event_del (endpoint->register_timer);
  si_server_stop (&endpoint->server);
  start_timer (endpoint->restart_timer, endpoint->restart_delay);
}

static void
on_restart_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiEndpoint *endpoint = user;
  LbName name;

  if (!si_server_restart (&endpoint->server))
    {
      start_timer (endpoint->restart_timer, endpoint->restart_delay);
      return;
    }
  si_endpoint_unregister (endpoint);
  snprintf (name, sizeof name, "%.*s.%d", (int)strcspn (endpoint->name, "."), endpoint->name,
            endpoint->crashes);
  LB_COPY (endpoint->name, name);
  endpoint->accepted_orders = 0;
  endpoint->last_fence = 0;
  endpoint->loading_version = 0;
  si_endpoint_register (endpoint);
}

static void
route_stream_or_service_request (SiEndpoint *endpoint, struct evhttp_request *request)
{
  record_tenant_and_count_api_key_headers (endpoint, request);
  if (has_fatal_request_body (endpoint, request))
    start_request_with_fatal_body (endpoint, request);
  else if (!endpoint->model[0])
    handle_service_call (endpoint, request);
  else if (endpoint->loading_version != 0)
    {
      endpoint->refused_requests++;
      add_reply_header (request, "Not-Run", "1");
      evhttp_send_reply (request, 503, NULL, NULL);
    }
  else
    start_stream (endpoint, request);
}

static void
on_endpoint_request (struct evhttp_request *request, void *user)
{
  SiEndpoint *endpoint = user;

  if (is_request_misdirected (endpoint, request))
    {
      endpoint->misdirected_requests++;
      evhttp_send_reply (request, 421, NULL, NULL);
    }
  else if (is_version_refused (endpoint, request))
    evhttp_send_reply (request, 421, NULL, NULL);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/-/order"))
    handle_weight_load_order (endpoint, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/-/report"))
    reply_status_report (endpoint, request);
  else
    route_stream_or_service_request (endpoint, request);
}

void
si_endpoint_register (SiEndpoint *endpoint)
{
  const struct timeval period = { .tv_usec = REGISTRATION_INTERVAL };
  struct json_object *object = json_object_new_object ();

  si_json_set_text (object, "service", endpoint->service);
  si_json_set_text (object, "address",
                    endpoint->advertised_address[0] ? endpoint->advertised_address
                                                    : endpoint->server.address);
  si_json_set_text (object, "zone", "hall-a");
  si_json_set_text (object, "version", "v1");
  si_json_set_int (object, "slots", endpoint->slots);
  si_json_set_int (object, "coldLeftMs", 0);
  si_json_set_int (object, "seq", ++endpoint->entry_sequence);
  si_json_set_int (object, "born", endpoint->start_ms);
  si_json_set_text (object, "state", endpoint->draining ? "draining" : "ready");
  json_object_object_add (object, "models", endpoint_models_to_json (endpoint));
  si_row_store_put (endpoint->store, "servers", "", endpoint->name,
                    json_object_to_json_string (object));
  json_object_put (object);
  event_add (endpoint->register_timer, &period);
}

void
si_endpoint_restart (SiEndpoint *endpoint)
{
  si_endpoint_close_stream_connections (endpoint);
  endpoint->start_ms++;
  endpoint->accepted_orders = 0;
  endpoint->last_fence = 0;
  endpoint->loading_version = 0;
  si_endpoint_register (endpoint);
}

void
si_endpoint_unregister (SiEndpoint *endpoint)
{
  event_del (endpoint->register_timer);
  si_row_store_put (endpoint->store, "servers", "", endpoint->name, NULL);
}

void
si_endpoint_close_stream_connections (SiEndpoint *endpoint)
{
  LB_LIST_FOREACH (&endpoint->streams, Stream, link, stream)
  {
    struct evhttp_connection *connection = evhttp_request_get_connection (stream->request);
    evhttp_connection_set_closecb (connection, NULL, NULL);
    stream_free (stream);
    evhttp_connection_free (connection);
  }
}

static void
on_registration_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  si_endpoint_register (user);
}

bool
si_endpoint_init (SiEndpoint *endpoint,
                  struct event_base *base,
                  SiRowStore *store,
                  const char *name,
                  const char *service,
                  const char *model)
{
  memset (endpoint, 0, sizeof *endpoint);
  if (!si_server_init (&endpoint->server, base, 0, on_endpoint_request, endpoint))
    return false;
  endpoint->store = store;
  LB_COPY (endpoint->name, name);
  LB_COPY (endpoint->service, service);
  LB_COPY (endpoint->model, model);
  endpoint->version = 1;
  endpoint->start_ms = INITIAL_START_TIME_MS;
  endpoint->n_events = 10;
  endpoint->event_interval = 10 * LB_MSEC;
  endpoint->work_time_percent = 100;
  endpoint->slots = 8;
  endpoint->load_time = 200 * LB_MSEC;
  lb_list_init (&endpoint->streams);
  lb_list_init (&endpoint->running_calls);
  endpoint->load_timer = evtimer_new (base, on_weight_load_done, endpoint);
  endpoint->restart_delay = DEFAULT_RESTART_DELAY;
  endpoint->crash_timer = evtimer_new (base, on_crash_due, endpoint);
  endpoint->restart_timer = evtimer_new (base, on_restart_due, endpoint);
  endpoint->register_timer = event_new (base, -1, EV_PERSIST, on_registration_due, endpoint);
  si_endpoint_register (endpoint);
  return true;
}

void
si_endpoint_clear (SiEndpoint *endpoint)
{
  free_streams_and_pending_calls (endpoint);
  event_free (endpoint->crash_timer);
  event_free (endpoint->restart_timer);
  event_free (endpoint->register_timer);
  event_free (endpoint->load_timer);
  si_server_clear (&endpoint->server);
}

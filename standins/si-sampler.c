#include "si-sampler.h"

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

#define BEAT_PERIOD (300 * LB_MSEC)
#define CRASH_AFTER (20 * LB_MSEC)
#define DOWN_TIME (400 * LB_MSEC)
#define FIRST_START 1700000000000 /* Unix ms; any will do */

typedef struct
{
  LbLink link;
  SiSampler *sampler;
  struct evhttp_request *request;
  struct event *timer;
  SiRun *run;
  int64_t next; /* number of the next event */
  int64_t version;
} Stream;

static void
add_header (struct evhttp_request *request, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (request), name, value);
}

static void
add_number (struct evhttp_request *request, const char *name, int64_t number)
{
  char text[32];

  snprintf (text, sizeof text, "%lld", (long long)number);
  add_header (request, name, text);
}

static void
set_timer (struct event *timer, LbTime time)
{
  const struct timeval tv = lb_time_to_timeval (time);

  evtimer_add (timer, &tv);
}

/* --- streams --- */

static void
stream_free (Stream *stream)
{
  lb_list_remove (&stream->sampler->streams, &stream->link);
  event_free (stream->timer);
  free (stream);
}

static void
on_closed (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Stream *stream = user;

  stream->sampler->cancelled++;
  si_request_closed (stream->request);
  stream_free (stream);
}

static void
send_event (Stream *stream)
{
  struct evbuffer *event = evbuffer_new ();
  const SiSampler *sampler = stream->sampler;

  if (stream->version != sampler->version)
    evbuffer_add_printf (event, "weight-versions: %lld\n", (long long)sampler->version);
  stream->version = sampler->version;
  evbuffer_add_printf (event, "id: %lld\ndata: %s.%lld%*s", (long long)stream->next,
                       stream->run->id, (long long)stream->next, sampler->padding, "");
  if (sampler->tells_version)
    evbuffer_add_printf (event, " v%lld", (long long)sampler->version);
  evbuffer_add_printf (event, "\n\n");
  evhttp_send_reply_chunk (stream->request, event);
  evbuffer_free (event);
  stream->next++;
  stream->run->sent++;
}

static void
on_event (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Stream *stream = user;

  if (stream->next <= stream->sampler->events)
    {
      send_event (stream);
      set_timer (stream->timer, stream->sampler->event_time);
      return;
    }
  stream->run->whole = true;
  evhttp_connection_set_closecb (evhttp_request_get_connection (stream->request), NULL, NULL);
  evhttp_send_reply_end (stream->request);
  stream_free (stream);
}

static void
start_stream (SiSampler *sampler, struct evhttp_request *request)
{
  const char *id = si_request_header (request, "Attempt-Id");
  const char *after = si_request_header (request, "Last-Event-Id");
  Stream *stream = LB_NEW (Stream);

  stream->sampler = sampler;
  stream->request = request;
  stream->run = &sampler->runs[sampler->n_runs++ % SI_MAX_RUNS];
  *stream->run = (SiRun){ .from = after ? atoll (after) : 0 };
  LB_COPY (stream->run->id, id ? id : "");
  stream->next = stream->run->from + 1;
  stream->version = sampler->version;
  stream->timer = evtimer_new (sampler->server.base, on_event, stream);
  lb_list_append (&sampler->streams, &stream->link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_closed, stream);
  add_header (request, "Attempt-Id", stream->run->id);
  add_header (request, "Content-Type", "text/event-stream");
  add_number (request, "Weight-Versions", sampler->version);
  if (sampler->listener && sampler->listener->on_run)
    sampler->listener->on_run (sampler, stream->run->id, sampler->user);
  evhttp_send_reply_start (request, 200, NULL);
  set_timer (stream->timer, sampler->event_time);
}

/* --- orders and state --- */

static void
on_loaded (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiSampler *sampler = user;

  sampler->version = sampler->next_version;
  sampler->next_version = 0;
  si_sampler_register (sampler);
}

static void
take_order (SiSampler *sampler, struct evhttp_request *request)
{
  struct json_object *order = si_request_json (request);
  int64_t fence = si_json_int (order, "fence", 0);
  int64_t version = si_json_int (order, "version", 0);
  int status = 202;

  if (fence < sampler->last_fence)
    status = 412;
  else if (sampler->next_version != 0
           || si_json_int (order, "expected", sampler->orders) != sampler->orders)
    status = 409;
  else if (version == sampler->version)
    status = 200;
  if (sampler->listener && sampler->listener->on_order)
    sampler->listener->on_order (sampler, si_json_text (order, "holder", ""), fence, status == 202,
                                 sampler->user);
  json_object_put (order);
  if (status == 202)
    {
      sampler->last_fence = fence;
      sampler->orders++;
      sampler->next_version = version;
      set_timer (sampler->loaded, sampler->load_time);
    }
  evhttp_send_reply (request, status, NULL, NULL);
}

static struct json_object *
models_to_json (const SiSampler *sampler)
{
  struct json_object *models = json_object_new_array ();
  struct json_object *model = json_object_new_object ();

  if (sampler->model[0])
    {
      si_json_set_text (model, "name", sampler->model);
      si_json_set_int (model, "version", sampler->version);
      json_object_array_add (models, model);
    }
  else
    json_object_put (model);
  return models;
}

static void
tell_state (SiSampler *sampler, struct evhttp_request *request)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "models", models_to_json (sampler));
  json_object_object_add (object, "busy", json_object_new_boolean (sampler->next_version != 0));
  si_json_set_int (object, "seq", sampler->orders);
  si_json_set_int (object, "born", sampler->born);
  si_reply_json (request, 200, object);
}

/* --- the server --- */

static void
note_identity (SiSampler *sampler, struct evhttp_request *request)
{
  const struct evkeyval *header;
  char names[LB_NAME_MAX] = "";
  size_t length = 0;

  TAILQ_FOREACH (header, evhttp_request_get_input_headers (request), next)
  {
    sampler->keys += strcasecmp (header->key, "Api-Key") == 0;
    if (strcasecmp (header->key, "Tenant") == 0 && length < sizeof names)
      length += (size_t)snprintf (names + length, sizeof names - length, "%s", header->value);
  }
  LB_COPY (sampler->organisation, names);
}

static bool
is_misplaced (const SiSampler *sampler, struct evhttp_request *request)
{
  const char *expected = si_request_header (request, "Expect-Instance");

  return expected && strcmp (expected, sampler->name) != 0;
}

/* A call whose answer takes its time. */
typedef struct
{
  LbLink link;
  struct evhttp_request *request;
  struct event *timer;
  SiSampler *sampler;
} Call;

static void
call_free (Call *call)
{
  lb_list_remove (&call->sampler->calls_running, &call->link);
  event_free (call->timer);
  free (call);
}

static void
on_call_closed (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Call *call = user;

  si_request_closed (call->request);
  call_free (call);
}

static void
send_answer (struct evhttp_request *request)
{
  const char *id = si_request_header (request, "Attempt-Id");
  char stamp[LB_NAME_MAX + 8];

  snprintf (stamp, sizeof stamp, "stamp-%s", id ? id : "");
  add_header (request, "Attempt-Id", id ? id : "");
  add_header (request, "Server-Stamp", stamp);
  add_header (request, "Server-Load", "1,0,8");
  evbuffer_add_printf (evhttp_request_get_output_buffer (request), "answer to %s", id ? id : "");
  evhttp_send_reply (request, 200, NULL, NULL);
}

static void
on_call_time (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Call *call = user;

  evhttp_connection_set_closecb (evhttp_request_get_connection (call->request), NULL, NULL);
  send_answer (call->request);
  call_free (call);
}

static Call *
call_new (SiSampler *sampler, struct evhttp_request *request)
{
  Call *call = LB_NEW (Call);

  call->sampler = sampler;
  call->request = request;
  call->timer = evtimer_new (sampler->server.base, on_call_time, call);
  lb_list_append (&sampler->calls_running, &call->link);
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_call_closed, call);
  return call;
}

static void
answer_call (SiSampler *sampler, struct evhttp_request *request)
{
  const char *id = si_request_header (request, "Attempt-Id");

  sampler->calls++;
  if (sampler->listener && sampler->listener->on_call)
    sampler->listener->on_call (sampler, id ? id : "", sampler->user);
  if (sampler->call_time == 0)
    send_answer (request);
  else
    set_timer (call_new (sampler, request)->timer, sampler->call_time);
}

/* --- requests that end it --- */

static bool
ends_it (const SiSampler *sampler, struct evhttp_request *request)
{
  char *body = sampler->crashes_on ? si_request_text (request) : NULL;
  bool ends = body && strcmp (body, sampler->crashes_on) == 0;

  free (body);
  return ends;
}

/* It works on it for a while and ends without a word. */
static void
run_to_the_end (SiSampler *sampler, struct evhttp_request *request)
{
  const char *id = si_request_header (request, "Attempt-Id");

  sampler->crash_runs++;
  call_new (sampler, request);
  if (sampler->listener && sampler->listener->on_fatal)
    sampler->listener->on_fatal (sampler, id ? id : "", sampler->user);
  else if (!evtimer_pending (sampler->crash, NULL))
    set_timer (sampler->crash, CRASH_AFTER);
}

static void
drop_all (SiSampler *sampler)
{
  LB_LIST_FOREACH (&sampler->streams, Stream, link, stream)
  {
    evhttp_connection_set_closecb (evhttp_request_get_connection (stream->request), NULL, NULL);
    stream_free (stream);
  }
  LB_LIST_FOREACH (&sampler->calls_running, Call, link, call)
  {
    evhttp_connection_set_closecb (evhttp_request_get_connection (call->request), NULL, NULL);
    call_free (call);
  }
}

/* Its entry stays until it starts again: the store does not know of its end yet. */
static void
on_crash (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiSampler *sampler = user;

  sampler->crashes++;
  drop_all (sampler);
  event_del (sampler->beat);
  si_server_crash (&sampler->server);
  set_timer (sampler->restart, sampler->down_time);
}

static void
on_restart (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  SiSampler *sampler = user;
  LbName name;

  if (!si_server_resume (&sampler->server))
    {
      set_timer (sampler->restart, sampler->down_time);
      return;
    }
  si_sampler_unregister (sampler);
  snprintf (name, sizeof name, "%.*s.%d", (int)strcspn (sampler->name, "."), sampler->name,
            sampler->crashes);
  LB_COPY (sampler->name, name);
  sampler->orders = 0;
  sampler->last_fence = 0;
  sampler->next_version = 0;
  si_sampler_register (sampler);
}

static void
take_work (SiSampler *sampler, struct evhttp_request *request)
{
  note_identity (sampler, request);
  if (ends_it (sampler, request))
    run_to_the_end (sampler, request);
  else if (!sampler->model[0])
    answer_call (sampler, request);
  else if (sampler->next_version != 0)
    {
      sampler->refused++;
      add_header (request, "Not-Run", "1");
      evhttp_send_reply (request, 503, NULL, NULL);
    }
  else
    start_stream (sampler, request);
}

static void
on_request (struct evhttp_request *request, void *user)
{
  SiSampler *sampler = user;

  if (is_misplaced (sampler, request))
    {
      sampler->misplaced++;
      evhttp_send_reply (request, 421, NULL, NULL);
    }
  else if (si_request_is (request, EVHTTP_REQ_POST, "/-/order"))
    take_order (sampler, request);
  else if (si_request_is (request, EVHTTP_REQ_GET, "/-/report"))
    tell_state (sampler, request);
  else
    take_work (sampler, request);
}

void
si_sampler_register (SiSampler *sampler)
{
  const struct timeval period = { .tv_usec = BEAT_PERIOD };
  struct json_object *object = json_object_new_object ();

  si_json_set_text (object, "service", sampler->service);
  si_json_set_text (object, "address",
                    sampler->reached_at[0] ? sampler->reached_at : sampler->server.address);
  si_json_set_text (object, "zone", "hall-a");
  si_json_set_text (object, "version", "v1");
  si_json_set_int (object, "slots", 8);
  si_json_set_int (object, "coldLeftMs", 0);
  si_json_set_int (object, "seq", ++sampler->beats);
  si_json_set_int (object, "born", sampler->born);
  si_json_set_text (object, "state", sampler->leaving ? "draining" : "ready");
  json_object_object_add (object, "models", models_to_json (sampler));
  si_rows_put (sampler->rows, "servers", "", sampler->name, json_object_to_json_string (object));
  json_object_put (object);
  event_add (sampler->beat, &period);
}

void
si_sampler_start_again (SiSampler *sampler)
{
  si_sampler_break_streams (sampler);
  sampler->born++;
  sampler->orders = 0;
  sampler->last_fence = 0;
  sampler->next_version = 0;
  si_sampler_register (sampler);
}

void
si_sampler_unregister (SiSampler *sampler)
{
  event_del (sampler->beat);
  si_rows_put (sampler->rows, "servers", "", sampler->name, NULL);
}

void
si_sampler_break_streams (SiSampler *sampler)
{
  LB_LIST_FOREACH (&sampler->streams, Stream, link, stream)
  {
    struct evhttp_connection *connection = evhttp_request_get_connection (stream->request);
    evhttp_connection_set_closecb (connection, NULL, NULL);
    stream_free (stream);
    evhttp_connection_free (connection);
  }
}

static void
on_beat (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  si_sampler_register (user);
}

bool
si_sampler_init (SiSampler *sampler,
                 struct event_base *base,
                 SiRows *rows,
                 const char *name,
                 const char *service,
                 const char *model)
{
  memset (sampler, 0, sizeof *sampler);
  if (!si_server_init (&sampler->server, base, 0, on_request, sampler))
    return false;
  sampler->rows = rows;
  LB_COPY (sampler->name, name);
  LB_COPY (sampler->service, service);
  LB_COPY (sampler->model, model);
  sampler->version = 1;
  sampler->born = FIRST_START;
  sampler->events = 10;
  sampler->event_time = 10 * LB_MSEC;
  sampler->load_time = 200 * LB_MSEC;
  lb_list_init (&sampler->streams);
  lb_list_init (&sampler->calls_running);
  sampler->loaded = evtimer_new (base, on_loaded, sampler);
  sampler->down_time = DOWN_TIME;
  sampler->crash = evtimer_new (base, on_crash, sampler);
  sampler->restart = evtimer_new (base, on_restart, sampler);
  sampler->beat = event_new (base, -1, EV_PERSIST, on_beat, sampler);
  si_sampler_register (sampler);
  return true;
}

void
si_sampler_clear (SiSampler *sampler)
{
  drop_all (sampler);
  event_free (sampler->crash);
  event_free (sampler->restart);
  event_free (sampler->beat);
  event_free (sampler->loaded);
  si_server_clear (&sampler->server);
}

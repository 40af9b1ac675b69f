#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"
#include "si-arguments.h"
#include "si-faults.h"
#include "si-run-log.h"
#include "si-server.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

typedef struct
{
  SiServer server;
  SiFaults faults;
  SiRunLog log;
  char incarnation[64];
  int64_t n_running_calls;
  int64_t concurrency;
  LbTime call_latency;
  const char *crash_on; /* a call with this body ends the process; "": none does */
} Service;

/* A call whose reply is delayed by the service's latency. */
typedef struct
{
  Service *service;
  struct evhttp_request *request;
  struct event *timer;
  struct json_object *reply;
  bool loses_reply;
} Call;

static void
on_reply_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Call *call = user;
  Service *service = call->service;

  service->n_running_calls--;
  service->log.finished++;
  evhttp_connection_set_closecb (evhttp_request_get_connection (call->request), NULL, NULL);
  if (call->loses_reply)
    {
      si_request_close_connection (call->request);
      json_object_put (call->reply);
    }
  else
    si_reply_json (call->request, 200, call->reply);
  event_free (call->timer);
  free (call);
}

static void
on_caller_disconnected (struct evhttp_connection *connection, void *user)
{
  (void)connection;
  Call *call = user;

  si_request_free_if_connection_closed (call->request);
  call->service->n_running_calls--;
  call->service->log.cancelled++;
  json_object_put (call->reply);
  event_free (call->timer);
  free (call);
}

static void
schedule_reply (Service *service, struct evhttp_request *request, struct json_object *reply)
{
  Call *call = LB_NEW (Call);
  LbTime wait = service->call_latency;

  if (si_faults_consume_occurrence (&service->faults, SI_FAULT_SLOW))
    wait += service->faults.faults[SI_FAULT_SLOW].delay;
  call->service = service;
  call->request = request;
  call->reply = reply;
  call->loses_reply = si_faults_consume_occurrence (&service->faults, SI_FAULT_LOSE_REPLY);
  call->timer = evtimer_new (service->server.base, on_reply_due, call);
  service->n_running_calls++;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request), on_caller_disconnected,
                                 call);
  const struct timeval at = lb_time_to_timeval (wait);
  event_add (call->timer, &at);
}

/* Returns a score between 0 and 1 that depends only on the text in the request body. */
static struct json_object *
new_score_reply (const char *body)
{
  struct json_object *request = json_tokener_parse (body);
  struct json_object *reply = json_object_new_object ();
  const char *text = request ? si_json_get_text (request, "text", "") : "";
  double score = (double)(XXH64 (text, strlen (text), 0) % 1000) / 1000;

  json_object_object_add (reply, "score", json_object_new_double (score));
  json_object_put (request);
  return reply;
}

static struct json_object *
new_echo_reply (struct evhttp_request *request, const char *body, const char *key, int64_t runs)
{
  struct json_object *reply = json_object_new_object ();

  si_json_set_text (reply, "path", evhttp_request_get_uri (request));
  si_json_set_text (reply, "body", body);
  si_json_set_text (reply, "key", key);
  si_json_set_int (reply, "runs", runs);
  return reply;
}

/* Executes a call and counts the execution under header x-order or, without that header, under the
 * request body. */
static void
handle_service_call (Service *service, struct evhttp_request *request)
{
  char *body = si_request_copy_body (request);
  const char *order = si_request_get_header (request, "x-order");
  const char *key = order ? order : body;
  int64_t runs = si_run_log_count_execution (&service->log, key);

  bool is_fatal = service->crash_on[0] && strcmp (body, service->crash_on) == 0;
  if (is_fatal || si_faults_consume_occurrence (&service->faults, SI_FAULT_CRASH))
    _exit (1);
  if (si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/score"))
    schedule_reply (service, request, new_score_reply (body));
  else if (!si_faults_consume_occurrence (&service->faults, SI_FAULT_HANG))
    schedule_reply (service, request, new_echo_reply (request, body, key, runs));
  free (body);
}

static void
reply_load_report (Service *service, struct evhttp_request *request)
{
  struct json_object *load = json_object_new_object ();
  bool leaving = si_faults_is_on (&service->faults, SI_FAULT_LEAVING);

  si_json_set_text (load, "incarnation", service->incarnation);
  si_json_set_text (load, "state", leaving ? "leaving" : "serving");
  si_json_set_int (load, "running", service->n_running_calls);
  si_json_set_int (load, "waiting", 0);
  si_json_set_int (load, "concurrency", service->concurrency);
  si_reply_json (request, 200, load);
}

static const char *
get_refusal_error_type (Service *service)
{
  if (si_faults_is_on (&service->faults, SI_FAULT_LEAVING))
    return "leaving";
  if (service->n_running_calls >= service->concurrency
      || si_faults_consume_occurrence (&service->faults, SI_FAULT_REFUSE))
    return "not_started";
  return NULL;
}

static void
on_service_request (struct evhttp_request *request, void *user)
{
  Service *service = user;
  const char *refusal;

  if (si_request_has_method_and_path (request, EVHTTP_REQ_POST, "/faults"))
    si_faults_set_from_request (&service->faults, request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/log"))
    si_reply_json (request, 200, si_run_log_to_json (&service->log));
  else if (si_faults_is_on (&service->faults, SI_FAULT_DOWN))
    si_request_close_connection (request);
  else if (si_request_has_method_and_path (request, EVHTTP_REQ_GET, "/load"))
    reply_load_report (service, request);
  else if ((refusal = get_refusal_error_type (service)))
    {
      service->log.refused++;
      si_reply_error (request, 503, refusal);
    }
  else
    handle_service_call (service, request);
}

static int
run_standin_service (
    const char *name, const char *crash_on, int port, int latency_ms, int concurrency)
{
  Service service
      = { .call_latency = latency_ms * LB_MSEC, .concurrency = concurrency, .crash_on = crash_on };

  snprintf (service.incarnation, sizeof service.incarnation, "%s-%x", name,
            (unsigned)((uint64_t)lb_clock_monotonic () ^ ((uint64_t)getpid () << 20)));
  if (!si_server_init_standalone (&service.server, port, on_service_request, &service))
    return 1;
  si_server_print_address (&service.server, name);
  event_base_dispatch (service.server.base);
  si_server_clear (&service.server);
  si_run_log_clear (&service.log);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arg_int *port = arg_int0 (NULL, "port", "N", "port on 127.0.0.1; 0: any free port");
  struct arg_str *name = arg_str0 (NULL, "name", "NAME", "prefix of the incarnation id");
  struct arg_int *call_latency
      = arg_int0 (NULL, "latency-ms", "N", "latency of a call in milliseconds");
  struct arg_int *concurrency
      = arg_int0 (NULL, "concurrency", "N", "maximum number of concurrent calls");
  struct arg_str *crash_on = arg_str0 (NULL, "crash-on", "BODY", "exit on a call with this body");
  struct arg_lit *help = arg_lit0 (NULL, "help", "show this help");
  struct arg_end *end = arg_end (4);
  void *table[] = { port, name, call_latency, concurrency, crash_on, help, end };
  int exit_code;

  port->ival[0] = 0;
  name->sval[0] = "service";
  crash_on->sval[0] = "";
  call_latency->ival[0] = 1;
  concurrency->ival[0] = 64;
  if (si_arguments_parse (argc, argv, table, sizeof table / sizeof table[0], "standin-service",
                          &exit_code))
    exit_code = run_standin_service (name->sval[0], crash_on->sval[0], port->ival[0],
                                     call_latency->ival[0], concurrency->ival[0]);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return exit_code;
}

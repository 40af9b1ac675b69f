#include "si-server.h"

#include "lb-alloc.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define ALLOWED_METHODS                                                                            \
  (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE         \
   | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

static void
on_terminate_signal (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  event_base_loopbreak (user);
}

/* libevent's default timers round up to a millisecond, but simulated tokens take much less. */
struct event_base *
si_precise_event_base_new (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

static void
record_bound_server_address (SiServer *server, struct evhttp_bound_socket *socket)
{
  struct sockaddr_in bound = { 0 };
  socklen_t length = sizeof bound;

  getsockname (evhttp_bound_socket_get_fd (socket), (struct sockaddr *)&bound, &length);
  snprintf (server->address, sizeof server->address, "127.0.0.1:%d", ntohs (bound.sin_port));
}

/* Nagle's algorithm holds back the second small chunk of a stream for about 40 ms, until the peer's
 * delayed acknowledgement arrives. */
static void
disable_nagle (struct evhttp_request *request)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);
  int fd = bufferevent_getfd (evhttp_connection_get_bufferevent (connection));
  const int enabled = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

static void
pass_request_to_handler (struct evhttp_request *request, void *user)
{
  SiServer *server = user;

  disable_nagle (request);
  server->handler (request, server->user);
}

static bool
bind_port (SiServer *server, int port)
{
  server->http = evhttp_new (server->base);
  evhttp_set_allowed_methods (server->http, ALLOWED_METHODS);
  evhttp_set_gencb (server->http, pass_request_to_handler, server);
  struct evhttp_bound_socket *socket
      = evhttp_bind_socket_with_handle (server->http, "127.0.0.1", (uint16_t)port);
  if (!socket)
    {
      fprintf (stderr, "can't bind 127.0.0.1:%d\n", port);
      return false;
    }
  record_bound_server_address (server, socket);
  return true;
}

bool
si_server_init (SiServer *server, struct event_base *base, int port, SiHandler handler, void *user)
{
  memset (server, 0, sizeof *server);
  server->base = base;
  server->handler = handler;
  server->user = user;
  return bind_port (server, port);
}

void
si_server_stop (SiServer *server)
{
  evhttp_free (server->http);
  server->http = NULL;
}

bool
si_server_restart (SiServer *server)
{
  return bind_port (server, atoi (strchr (server->address, ':') + 1));
}

bool
si_server_init_standalone (SiServer *server, int port, SiHandler handler, void *user)
{
  struct event_base *base = si_precise_event_base_new ();

  signal (SIGPIPE, SIG_IGN);
  if (!si_server_init (server, base, port, handler, user))
    return false;
  server->sigterm_event = evsignal_new (base, SIGTERM, on_terminate_signal, base);
  server->sigint_event = evsignal_new (base, SIGINT, on_terminate_signal, base);
  event_add (server->sigterm_event, NULL);
  event_add (server->sigint_event, NULL);
  return true;
}

void
si_server_clear (SiServer *server)
{
  if (server->http)
    evhttp_free (server->http);
  if (!server->sigterm_event)
    return;
  event_free (server->sigterm_event);
  event_free (server->sigint_event);
  event_base_free (server->base);
}

void
si_server_print_address (const SiServer *server, const char *name)
{
  printf ("{\"name\": \"%s\", \"address\": \"%s\"}\n", name, server->address);
  fflush (stdout);
}

bool
si_request_has_method_and_path (struct evhttp_request *request,
                                enum evhttp_cmd_type method,
                                const char *path)
{
  return evhttp_request_get_command (request) == method
         && strcmp (si_request_get_path (request), path) == 0;
}

const char *
si_request_get_path (struct evhttp_request *request)
{
  const char *path = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));

  return path ? path : "/";
}

const char *
si_request_get_header (struct evhttp_request *request, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (request), name);
}

char *
si_request_copy_query_value (struct evhttp_request *request, const char *key)
{
  const char *query = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq values;
  char *found = NULL;

  if (!query || evhttp_parse_query_str (query, &values) != 0)
    return NULL;
  const char *value = evhttp_find_header (&values, key);
  if (value)
    found = lb_strdup (value);
  evhttp_clear_headers (&values);
  return found;
}

char *
si_request_copy_body (struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  char *text = lb_malloc (length + 1);

  evbuffer_copyout (input, text, length);
  text[length] = '\0';
  return text;
}

struct json_object *
si_request_parse_body (struct evhttp_request *request)
{
  char *text = si_request_copy_body (request);
  struct json_object *object = json_tokener_parse (text);

  free (text);
  if (object && !json_object_is_type (object, json_type_object))
    {
      json_object_put (object);
      return NULL;
    }
  return object;
}

void
si_reply_json (struct evhttp_request *request, int status, struct json_object *object)
{
  struct evbuffer *output = evhttp_request_get_output_buffer (request);

  evhttp_add_header (evhttp_request_get_output_headers (request), "Content-Type",
                     "application/json");
  evbuffer_add_printf (output, "%s\n",
                       json_object_to_json_string_ext (object, JSON_C_TO_STRING_NOSLASHESCAPE));
  evhttp_send_reply (request, status, NULL, NULL);
  json_object_put (object);
}

void
si_reply_error (struct evhttp_request *request, int status, const char *type)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *error = json_object_new_object ();

  si_json_set_text (error, "type", type);
  json_object_object_add (object, "error", error);
  si_reply_json (request, status, object);
}

/* evhttp does not free an unanswered request whose connection closed; the handler must free it. */
void
si_request_free_if_connection_closed (struct evhttp_request *request)
{
  if (!evhttp_request_get_connection (request))
    evhttp_request_free (request);
}

void
si_request_close_connection (struct evhttp_request *request)
{
  struct evhttp_connection *connection = evhttp_request_get_connection (request);

  evhttp_connection_set_closecb (connection, NULL, NULL);
  evhttp_connection_free (connection);
}

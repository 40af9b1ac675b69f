#ifndef NODE_FIXTURE_H
#define NODE_FIXTURE_H

#include "ln-context.h"
#include "ln-messages.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lh-fetch.h"
#include "lp-platform.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <event2/event.h>
#include <fcntl.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define FIXTURE_WAIT_TIMEOUT (20 * LB_SEC)

/* Runs the tasks "front" (HTTP front end) and "calls" (dispatch of calls to endpoints) of an
 * instance in the test process. The test acts as the callers and endpoints at the other ends of
 * all sockets, and runs the event loop itself. */
typedef struct
{
  struct event_base *base;
  LnSettings settings;
  LnContext context;
  LnTask *front;
  LnTask *calls;
} Fixture;

/* The socket of a caller or endpoint that the test plays, connected to the daemon; `text` holds the
 * bytes that the daemon sent. */
typedef struct
{
  int fd;
  char text[1 << 16];
  size_t length;
  bool closed;
} TestConnection;

static inline void
fixture_init_settings_and_event_base (Fixture *f)
{
  memset (f, 0, sizeof *f);
  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "test");
  ln_settings_init (&f->settings);
  LB_COPY (f->settings.instance.caller_address, "127.0.0.1:0");
  f->settings.calls.load_poll_ms = 60000;
  f->base = event_base_new ();
}

static inline void
fixture_start_front_and_calls (Fixture *f)
{
  LnReadyMessage ready = { .base = LN_MESSAGE (LN_READY), .ready = true };

  f->context.base = f->base;
  f->context.settings = &f->settings;
  f->context.hub = ln_hub_new (f->base);
  f->context.http_pool = lh_pool_new (f->base);
  if (!f->context.platform)
    f->context.platform = lp_memory_new (f->base);
  LB_COPY (f->context.instance, "i1");
  LB_COPY (f->context.incarnation, "a1");
  f->front = ln_front_task_new (&f->context);
  cr_assert (f->front);
  ln_hub_add_task (f->context.hub, f->front);
  f->calls = ln_calls_task_new (&f->context);
  ln_hub_add_task (f->context.hub, f->calls);
  LN_POST (f->context.hub, NULL, ready);
}

static inline void
fixture_clear (Fixture *f)
{
  ln_hub_free (f->context.hub);
  f->context.platform->klass->free (f->context.platform);
  lh_pool_free (f->context.http_pool);
  ln_settings_clear (&f->settings);
  event_base_free (f->base);
}

static inline void
fixture_run_event_loop_once (Fixture *f)
{
  event_base_loop (f->base, EVLOOP_NONBLOCK);
  usleep (200);
}

/* Runs the event loop until the condition holds; fails the test after FIXTURE_WAIT_TIMEOUT. */
#define FIXTURE_WAIT_UNTIL(f, condition)                                                           \
  do                                                                                               \
    {                                                                                              \
      LbTime deadline_ = lb_clock_monotonic () + FIXTURE_WAIT_TIMEOUT;                             \
      bool is_met_ = false;                                                                        \
      while (!(is_met_ = (condition)) && lb_clock_monotonic () < deadline_)                        \
        fixture_run_event_loop_once (f);                                                           \
      cr_assert (is_met_, "timeout waiting for: %s", #condition);                                  \
    }                                                                                              \
  while (0)

/* Returns 127.0.0.1 with the port of `address` (IP:PORT); port 0 if `address` is NULL. */
static inline struct sockaddr_in
fixture_make_loopback_address (const char *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET };

  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (address)
    to.sin_port = htons ((uint16_t)atoi (strrchr (address, ':') + 1));
  return to;
}

/* Opens a listening socket on a free loopback port, stores its IP:PORT in `address` and returns
 * the socket. */
static inline int
fixture_open_listener (LbName address)
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  struct sockaddr_in at = fixture_make_loopback_address (NULL);
  socklen_t length = sizeof at;

  cr_assert_eq (bind (fd, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (fd, 16), 0);
  getsockname (fd, (struct sockaddr *)&at, &length);
  snprintf (address, LB_NAME_MAX, "127.0.0.1:%d", ntohs (at.sin_port));
  return fd;
}

static inline void
connection_init (TestConnection *connection, int fd)
{
  memset (connection, 0, sizeof *connection);
  connection->fd = fd;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

static inline void
connection_close (TestConnection *connection)
{
  close (connection->fd);
  connection->fd = -1;
}

static inline void
connection_send_text (TestConnection *connection, const char *text)
{
  size_t length = strlen (text);

  cr_assert_eq (send (connection->fd, text, length, 0), (ssize_t)length);
}

/* Receives the bytes that have arrived. Always returns true, for use in the condition of
 * FIXTURE_WAIT_UNTIL. */
static inline bool
connection_receive_available (TestConnection *connection)
{
  ssize_t n_read = recv (connection->fd, connection->text + connection->length,
                         sizeof connection->text - 1 - connection->length, 0);

  if (n_read > 0)
    {
      connection->length += (size_t)n_read;
      connection->text[connection->length] = '\0';
    }
  else if (n_read == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    connection->closed = true;
  return true;
}

static inline bool
connection_has_received (TestConnection *connection, const char *needle)
{
  connection_receive_available (connection);
  return strstr (connection->text, needle) != NULL;
}

static inline bool
connection_is_closed_by_daemon (TestConnection *connection)
{
  connection_receive_available (connection);
  return connection->closed;
}

static inline void
connection_clear_received_text (TestConnection *connection)
{
  connection->length = 0;
  connection->text[0] = '\0';
}

/* Connects to the daemon's listener for callers. */
static inline void
caller_connect (Fixture *f, TestConnection *caller)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in to = fixture_make_loopback_address (f->context.caller_address);

  cr_assert_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  connection_init (caller, fd);
}

static inline void
caller_send_post (TestConnection *caller, const char *path, const char *headers, const char *body)
{
  char *text = lb_asprintf ("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %zu\r\n\r\n%s", path,
                            headers, strlen (body), body);

  connection_send_text (caller, text);
  free (text);
}

static inline void
endpoint_reply_to_load_poll (TestConnection *connection)
{
  const char *load = "{\"incarnation\":\"e\",\"state\":\"serving\",\"weight_version\":40}";
  char *text = lb_asprintf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                            "Connection: close\r\n\r\n%s",
                            strlen (load), load);

  connection_send_text (connection, text);
  free (text);
}

/* Accepts the next call at the endpoint's listener; returns false if no complete request header
 * has arrived yet. Also answers load polls, since the daemon sends no work to an endpoint
 * without a load report, and closes connections that poll for cache events. */
static inline bool
endpoint_try_accept_call (int listener, TestConnection *connection)
{
  if (connection->fd <= 0)
    {
      int fd = accept (listener, NULL, NULL);
      if (fd < 0)
        return false;
      connection_init (connection, fd);
    }
  connection_receive_available (connection);
  if (strncmp (connection->text, "GET /load", 9) == 0)
    endpoint_reply_to_load_poll (connection);
  if (strncmp (connection->text, "GET /load", 9) == 0
      || strncmp (connection->text, "GET /cache_e", 12) == 0 || connection->closed)
    {
      connection_close (connection);
      return false;
    }
  return strstr (connection->text, "\r\n\r\n") != NULL;
}

static inline void
endpoint_accept_call (Fixture *f, int listener, TestConnection *connection)
{
  memset (connection, 0, sizeof *connection);
  FIXTURE_WAIT_UNTIL (f, endpoint_try_accept_call (listener, connection));
}

static inline void
endpoint_accept_stream_call (Fixture *f, int listener, TestConnection *connection, char id[96])
{
  endpoint_accept_call (f, listener, connection);
  FIXTURE_WAIT_UNTIL (f, connection_has_received (connection, "\"request_id\":\""));
  FIXTURE_WAIT_UNTIL (f, connection_has_received (connection, "}"));
  sscanf (strstr (connection->text, "\"request_id\":\"") + 14, "%95[^\"]", id);
}

static inline void
endpoint_send_stream_head (TestConnection *connection)
{
  connection_send_text (connection, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n");
}

static inline void
endpoint_send_chunk (TestConnection *connection, const char *text)
{
  char *chunk = lb_asprintf ("%zx\r\n%s\r\n", strlen (text), text);

  connection_send_text (connection, chunk);
  free (chunk);
}

static inline void
endpoint_send_token (
    TestConnection *connection, const char *id, int offset, const char *text, bool last)
{
  char *event = lb_asprintf ("data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"%s\","
                             "\"finish_reason\":%s}],\"offset\":%d,\"tokens\":1,"
                             "\"weight_version\":40}\n\n",
                             id, text, last ? "\"stop\"" : "null", offset);

  endpoint_send_chunk (connection, event);
  free (event);
}

static inline void
endpoint_send_stream_end (TestConnection *connection)
{
  endpoint_send_chunk (connection, "data: [DONE]\n\n");
  connection_send_text (connection, "0\r\n\r\n");
}

/* Applies a configuration with a pool "p" of engines and a service "s" of plain services, one
 * endpoint per address. */
static inline void
fixture_apply_engines_and_services (Fixture *f,
                                    const char *const *engines,
                                    const char *const *services)
{
  LnConfigMessage message = { .base = LN_MESSAGE (LN_CONFIG) };
  struct json_object *object = json_object_new_object ();
  struct json_object *resources = json_object_new_array ();
  LbError error = { 0 };
  char *text;

  json_object_array_add (resources,
                         json_tokener_parse ("{\"kind\":\"pool\",\"name\":\"p\",\"model\":\"m\"}"));
  for (int i = 0; engines && engines[i]; i++)
    {
      text = lb_asprintf ("{\"kind\":\"endpoint\",\"name\":\"e%d\",\"type\":\"engine\","
                          "\"pool\":\"p\",\"address\":\"%s\",\"data_centre\":\"local\","
                          "\"concurrency\":8}",
                          i, engines[i]);
      json_object_array_add (resources, json_tokener_parse (text));
      free (text);
    }
  for (int i = 0; services && services[i]; i++)
    {
      text = lb_asprintf ("{\"kind\":\"endpoint\",\"name\":\"s%d\",\"type\":\"service\","
                          "\"pool\":\"s\",\"address\":\"%s\",\"data_centre\":\"local\","
                          "\"concurrency\":8}",
                          i, services[i]);
      json_object_array_add (resources, json_tokener_parse (text));
      free (text);
    }
  json_object_object_add (object, "revision", json_object_new_int (1));
  json_object_object_add (object, "resources", resources);
  message.set = lc_resource_set_from_json (object, "test", &error);
  cr_assert (message.set, "invalid resource set: %s %s", error.where, error.detail);
  json_object_put (object);
  ln_post (f->context.hub, NULL, &message.base, sizeof message);
  fixture_run_event_loop_once (f);
  lc_resource_set_free (message.set);
}

#endif

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

/* The test's end of a connection to the daemon, with the bytes received on the connection. */
typedef struct
{
  int fd;
  char text[1 << 16];
  size_t length;
  bool closed;
} Peer;

static inline void
fixture_init (Fixture *f)
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
fixture_start_tasks (Fixture *f)
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
fixture_run_loop_once (Fixture *f)
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
        fixture_run_loop_once (f);                                                                 \
      cr_assert (is_met_, "timeout waiting for: %s", #condition);                                  \
    }                                                                                              \
  while (0)

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
peer_init (Peer *peer, int fd)
{
  memset (peer, 0, sizeof *peer);
  peer->fd = fd;
  fcntl (fd, F_SETFL, fcntl (fd, F_GETFL) | O_NONBLOCK);
}

static inline void
peer_close (Peer *peer)
{
  close (peer->fd);
  peer->fd = -1;
}

static inline void
peer_send (Peer *peer, const char *text)
{
  size_t length = strlen (text);

  cr_assert_eq (send (peer->fd, text, length, 0), (ssize_t)length);
}

/* Receives the bytes that are available. Always returns true, for use in FIXTURE_WAIT_UNTIL. */
static inline bool
peer_read (Peer *peer)
{
  ssize_t n_read
      = recv (peer->fd, peer->text + peer->length, sizeof peer->text - 1 - peer->length, 0);

  if (n_read > 0)
    {
      peer->length += (size_t)n_read;
      peer->text[peer->length] = '\0';
    }
  else if (n_read == 0 || (errno != EAGAIN && errno != EWOULDBLOCK))
    peer->closed = true;
  return true;
}

static inline bool
peer_has_received (Peer *peer, const char *needle)
{
  peer_read (peer);
  return strstr (peer->text, needle) != NULL;
}

static inline bool
peer_is_closed (Peer *peer)
{
  peer_read (peer);
  return peer->closed;
}

static inline void
peer_clear_text (Peer *peer)
{
  peer->length = 0;
  peer->text[0] = '\0';
}

/* Connects to the daemon's listener for callers. */
static inline void
caller_connect (Fixture *f, Peer *caller)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  struct sockaddr_in to = fixture_make_loopback_address (f->context.caller_address);

  cr_assert_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  peer_init (caller, fd);
}

static inline void
caller_send_post (Peer *caller, const char *path, const char *headers, const char *body)
{
  char *text = lb_asprintf ("POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %zu\r\n\r\n%s", path,
                            headers, strlen (body), body);

  peer_send (caller, text);
  free (text);
}

static inline void
endpoint_reply_to_load_poll (Peer *peer)
{
  const char *load = "{\"incarnation\":\"e\",\"state\":\"serving\",\"weight_version\":40}";
  char *text = lb_asprintf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n"
                            "Connection: close\r\n\r\n%s",
                            strlen (load), load);

  peer_send (peer, text);
  free (text);
}

/* Accepts the next call at the endpoint's listener; returns false if no complete request header
 * has arrived yet. Also answers load polls, since the daemon sends no work to an endpoint
 * without a load report, and closes connections that poll for cache events. */
static inline bool
endpoint_try_accept_call (int listener, Peer *peer)
{
  if (peer->fd <= 0)
    {
      int fd = accept (listener, NULL, NULL);
      if (fd < 0)
        return false;
      peer_init (peer, fd);
    }
  peer_read (peer);
  if (strncmp (peer->text, "GET /load", 9) == 0)
    endpoint_reply_to_load_poll (peer);
  if (strncmp (peer->text, "GET /load", 9) == 0 || strncmp (peer->text, "GET /cache_e", 12) == 0
      || peer->closed)
    {
      peer_close (peer);
      return false;
    }
  return strstr (peer->text, "\r\n\r\n") != NULL;
}

static inline void
endpoint_accept_call (Fixture *f, int listener, Peer *peer)
{
  memset (peer, 0, sizeof *peer);
  FIXTURE_WAIT_UNTIL (f, endpoint_try_accept_call (listener, peer));
}

static inline void
endpoint_accept_stream_call (Fixture *f, int listener, Peer *peer, char id[96])
{
  endpoint_accept_call (f, listener, peer);
  FIXTURE_WAIT_UNTIL (f, peer_has_received (peer, "\"request_id\":\""));
  FIXTURE_WAIT_UNTIL (f, peer_has_received (peer, "}"));
  sscanf (strstr (peer->text, "\"request_id\":\"") + 14, "%95[^\"]", id);
}

static inline void
endpoint_send_stream_head (Peer *peer)
{
  peer_send (peer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n");
}

static inline void
endpoint_send_chunk (Peer *peer, const char *text)
{
  char *chunk = lb_asprintf ("%zx\r\n%s\r\n", strlen (text), text);

  peer_send (peer, chunk);
  free (chunk);
}

static inline void
endpoint_send_token (Peer *peer, const char *id, int offset, const char *text, bool last)
{
  char *event = lb_asprintf ("data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"text\":\"%s\","
                             "\"finish_reason\":%s}],\"offset\":%d,\"tokens\":1,"
                             "\"weight_version\":40}\n\n",
                             id, text, last ? "\"stop\"" : "null", offset);

  endpoint_send_chunk (peer, event);
  free (event);
}

static inline void
endpoint_send_stream_end (Peer *peer)
{
  endpoint_send_chunk (peer, "data: [DONE]\n\n");
  peer_send (peer, "0\r\n\r\n");
}

/* Applies a configuration with a pool "p" of engines and a service "s" of plain services, one
 * endpoint per address. */
static inline void
fixture_configure (Fixture *f, const char *const *engines, const char *const *services)
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
  fixture_run_loop_once (f);
  lc_resource_set_free (message.set);
}

#endif

#include "lh-fetch.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

/* The test plays the server by hand and runs the loop in between. */
typedef struct
{
  struct event_base *base;
  LhPool *pool;
  int listener;
  LbName address;
  char request[4096]; /* as the server has read it */
  size_t length;
  bool closed;
  /* what the client was told */
  int done;
  LbErrorCode failure;
  bool bytes_handed;
  int status;
  char body[4096];
  char header[64];
  LhFetch *cancel_at_piece; /* cancelled by the handler at the first piece */
  int pieces;
} World;

static void
world_init (World *w)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  memset (w, 0, sizeof *w);
  signal (SIGPIPE, SIG_IGN);
  w->base = event_base_new ();
  w->pool = lh_pool_new (w->base);
  w->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  cr_assert_eq (bind (w->listener, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (w->listener, 16), 0);
  getsockname (w->listener, (struct sockaddr *)&at, &length);
  snprintf (w->address, sizeof w->address, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
world_clear (World *w)
{
  lh_pool_free (w->pool);
  event_base_free (w->base);
  close (w->listener);
}

static void
pump (World *w)
{
  event_base_loop (w->base, EVLOOP_NONBLOCK);
  usleep (200);
}

#define UNTIL(w, condition)                                                                        \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + 20 * LB_SEC;                                           \
      bool met_ = false;                                                                           \
      while (!(met_ = (condition)) && lb_clock_monotonic () < end_)                                \
        pump (w);                                                                                  \
      cr_assert (met_, "never came true: %s", #condition);                                         \
    }                                                                                              \
  while (0)

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  World *w = user;
  const char *header = lh_fetch_header (fetch, "x-kind");

  w->done++;
  w->failure = result->failure;
  w->bytes_handed = result->bytes_handed;
  w->status = result->status;
  strncat (w->body, result->body ? result->body : "", result->body_length);
  LB_COPY (w->header, header ? header : "");
}

static void
on_piece (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  World *w = user;

  w->pieces++;
  strncat (w->body, bytes, length);
  if (fetch == w->cancel_at_piece)
    lh_fetch_cancel (fetch);
}

static LhFetch *
start (World *w, const char *method, const char *body, bool streams, LbTime silence)
{
  const LhRequest request = { .method = method,
                              .address = w->address,
                              .path = "/p?q=1",
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = silence };
  const LhHandlers handlers = { .on_body_chunk = streams ? on_piece : NULL, .on_done = on_done };
  LbError error = { 0 };
  LhFetch *fetch = lh_fetch_start (w->pool, &request, &handlers, w, &error);

  cr_assert (fetch, "%s", error.detail);
  cr_assert_eq (w->done, 0, "a handler was called from inside the start");
  return fetch;
}

static bool
server_read (World *w, int fd, const char *needle)
{
  ssize_t got = recv (fd, w->request + w->length, sizeof w->request - 1 - w->length, MSG_DONTWAIT);

  if (got > 0)
    w->length += (size_t)got;
  w->closed = w->closed || got == 0;
  w->request[w->length] = '\0';
  return needle && strstr (w->request, needle);
}

static int
server_accept (World *w, const char *needle)
{
  int fd = -1;

  w->length = 0;
  w->request[0] = '\0';
  UNTIL (w, (fd = accept (w->listener, NULL, NULL)) >= 0);
  UNTIL (w, server_read (w, fd, needle));
  return fd;
}

static void
server_send (int fd, const char *text)
{
  cr_assert_eq (send (fd, text, strlen (text), 0), (ssize_t)strlen (text));
}

Test (fetch, reply_comes_with_status_headers_and_body)
{
  World w;

  world_init (&w);
  start (&w, "DELETE", "bye", false, 0);
  int fd = server_accept (&w, "\r\n\r\nbye");
  cr_assert (strstr (w.request, "DELETE /p?q=1 HTTP/1.1"));
  cr_assert (strstr (w.request, "Content-Length: 3"));
  server_send (fd, "HTTP/1.1 404 No\r\nx-kind: short\r\nContent-Length: 4\r\n\r\nnone");
  UNTIL (&w, w.done);
  cr_assert_eq (w.failure, LB_OK);
  cr_assert_eq (w.status, 404);
  cr_assert_str_eq (w.body, "none");
  cr_assert_str_eq (w.header, "short");
  close (fd);
  world_clear (&w);
}

Test (fetch, connection_is_reused_and_forgotten)
{
  World w;

  world_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.done);
  w.done = 0;
  w.length = 0;
  start (&w, "GET", "", false, 0);
  UNTIL (&w, server_read (&w, fd, "\r\n\r\n"));
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.done);
  lh_pool_drop_idle (w.pool, w.address);
  UNTIL (&w, (server_read (&w, fd, NULL), w.closed));
  close (fd);
  world_clear (&w);
}

/* An endpoint sends more than its reply, a body to a HEAD request for example. The bytes that are
 * left on the connection would be read as the reply to the next request, and reach another caller.
 */
Test (fetch, connection_with_bytes_left_is_not_reused)
{
  World w;

  world_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                   "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
  UNTIL (&w, w.done);
  cr_assert_str_eq (w.body, "one");
  w.done = 0;
  w.body[0] = '\0';
  start (&w, "GET", "", false, 0);
  int fresh = server_accept (&w, "\r\n\r\n");
  server_send (fresh, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  UNTIL (&w, w.done);
  cr_assert_str_eq (w.body, "two");
  close (fd);
  close (fresh);
  world_clear (&w);
}

/* Nothing listens at the address: no byte was handed to a socket, which is the proof that the
 * request did not run. */
Test (fetch, refused_connection_handed_no_byte)
{
  World w;

  world_init (&w);
  close (w.listener);
  start (&w, "POST", "x", false, 0);
  UNTIL (&w, w.done);
  cr_assert_neq (w.failure, LB_OK);
  cr_assert_not (w.bytes_handed);
  w.listener = -1;
  world_clear (&w);
}

/* The server takes the request and closes: it may have run. */
Test (fetch, close_after_the_request_handed_bytes)
{
  World w;

  world_init (&w);
  start (&w, "POST", "x", false, 0);
  int fd = server_accept (&w, "\r\n\r\nx");
  close (fd);
  UNTIL (&w, w.done);
  cr_assert_neq (w.failure, LB_OK);
  cr_assert (w.bytes_handed);
  world_clear (&w);
}

/* The body ends before its stated length: it is not a reply, however much came. */
Test (fetch, cut_body_is_a_failure)
{
  World w;

  world_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  for (int i = 0; i < 20; i++)
    pump (&w);
  close (fd);
  UNTIL (&w, w.done);
  cr_assert_neq (w.failure, LB_OK);
  world_clear (&w);
}

Test (fetch, silence_is_a_timeout)
{
  World w;

  world_init (&w);
  start (&w, "GET", "", true, 50 * LB_MSEC);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
  UNTIL (&w, w.done);
  cr_assert_eq (w.failure, LB_ERROR_TIMEOUT);
  cr_assert_eq (w.done, 1);
  cr_assert_str_eq (w.body, "one");
  close (fd);
  world_clear (&w);
}

/* The reader of a stream gives up in the middle of a piece. */
Test (fetch, cancel_inside_a_piece)
{
  World w;

  world_init (&w);
  w.cancel_at_piece = start (&w, "GET", "", true, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n");
  UNTIL (&w, w.pieces > 0);
  UNTIL (&w, (server_read (&w, fd, NULL), w.closed));
  cr_assert_eq (w.pieces, 1);
  cr_assert_eq (w.done, 0);
  close (fd);
  world_clear (&w);
}

Test (fetch, cancel_before_the_connection_stands)
{
  World w;

  world_init (&w);
  lh_fetch_cancel (start (&w, "GET", "", true, 0));
  for (int i = 0; i < 20; i++)
    pump (&w);
  cr_assert_eq (w.done, 0);
  world_clear (&w);
}

/* All file descriptors are used. The failure comes from the loop, after the start has returned, so
 * that the starter knows whose it is. */
Test (fetch, no_descriptor_left_fails_from_the_loop)
{
  World w;
  struct rlimit limit, none;

  world_init (&w);
  getrlimit (RLIMIT_NOFILE, &limit);
  none = limit;
  none.rlim_cur = (rlim_t)dup (0);
  close ((int)none.rlim_cur);
  setrlimit (RLIMIT_NOFILE, &none);
  start (&w, "GET", "", false, 0);
  lh_fetch_cancel (start (&w, "GET", "", false, 0));
  UNTIL (&w, w.done);
  setrlimit (RLIMIT_NOFILE, &limit);
  cr_assert_eq (w.done, 1);
  cr_assert_neq (w.failure, LB_OK);
  cr_assert_not (w.bytes_handed);
  world_clear (&w);
}

/* A service works for a minute without a word, and its instance loses power. Nothing closes the
 * connection, so only the kernel's own probes can tell, and those must be asked for. */
Test (fetch, sockets_look_for_silence)
{
  World w;
  int unconfirmed = 0;
  int found = 0;
  socklen_t size = sizeof unconfirmed;

  world_init (&w);
  start (&w, "GET", "", false, 0);
  int server = server_accept (&w, "\r\n\r\n");
  for (int fd = 3; fd < 64; fd++)
    {
      struct sockaddr_in peer = { 0 };
      socklen_t length = sizeof peer;
      char address[LB_NAME_MAX];
      if (getpeername (fd, (struct sockaddr *)&peer, &length) != 0 || peer.sin_family != AF_INET)
        continue;
      snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (peer.sin_port));
      if (strcmp (address, w.address) != 0)
        continue;
      found++;
      getsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unconfirmed, &size);
      cr_assert_eq (unconfirmed, 6000);
    }
  cr_assert_eq (found, 1);
  close (server);
  world_clear (&w);
}

Test (fetch, malformed_requests_are_typed)
{
  World w;
  LbError error = { 0 };
  const LhHandlers handlers = { .on_done = on_done };
  LhRequest request = { .method = "BREW", .address = "127.0.0.1:1", .path = "/" };

  world_init (&w);
  cr_assert_null (lh_fetch_start (w.pool, &request, &handlers, &w, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  request.method = "GET";
  request.address = "nowhere";
  cr_assert_null (lh_fetch_start (w.pool, &request, &handlers, &w, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  world_clear (&w);
}

/* A stream may be silent for 100 ms at most; afterwards its connection lies idle for longer than
 * that. The limit of the last exchange went on to count and closed it, so the next request to the
 * engine paid for a new connection, a thousand times in a quiet half minute. */
Test (fetch, an_idle_connection_outlives_the_silence_of_its_last_exchange)
{
  World w;
  LbTime end = 0;

  world_init (&w);
  start (&w, "GET", "", false, 100 * LB_MSEC);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.done);
  end = lb_clock_monotonic () + 500 * LB_MSEC;
  while (lb_clock_monotonic () < end)
    pump (&w);
  w.length = 0;
  server_read (&w, fd, NULL);
  cr_assert_not (w.closed);
  w.done = 0;
  start (&w, "GET", "", false, 0);
  UNTIL (&w, server_read (&w, fd, "\r\n\r\n"));
  close (fd);
  world_clear (&w);
}

/* An engine closes idle connections after the second its Keep-Alive header states. A request that
 * is sent just then meets the close, and one that must not run twice is answered 502 although the
 * engine never saw it. */
Test (fetch, an_idle_connection_is_not_used_near_the_end_its_server_stated)
{
  World w;
  LbTime end = 0;

  world_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=1\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.done);
  end = lb_clock_monotonic () + 800 * LB_MSEC;
  while (lb_clock_monotonic () < end)
    pump (&w);
  w.done = 0;
  start (&w, "GET", "", false, 0);
  int fresh = server_accept (&w, "\r\n\r\n");
  close (fd);
  close (fresh);
  world_clear (&w);
}

/* The route's host is part of what the endpoint is asked. */
Test (fetch, the_host_may_differ_from_the_address)
{
  World w;

  world_init (&w);
  const LhRequest request
      = { .method = "GET", .address = w.address, .path = "/", .host = "shop.example" };
  const LhHandlers handlers = { .on_done = on_done };
  lh_fetch_start (w.pool, &request, &handlers, &w, NULL);
  int fd = server_accept (&w, "\r\n\r\n");
  cr_assert (strstr (w.request, "Host: shop.example\r\n"));
  close (fd);
  world_clear (&w);
}

/* A machine lost power: nobody answers the opening packet. A caller with two seconds waited for all
 * of them and got no answer, though other endpoints were idle. The request is known not to have
 * been handed over, so it goes elsewhere after the time to connect. */
Test (fetch, a_connection_that_does_not_open_is_given_up_early)
{
  World w;
  int fillers[64];
  int n = 0;
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  world_init (&w);
  /* A listener whose queue is full drops further opening packets. */
  int full = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (bind (full, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (full, 0), 0);
  getsockname (full, (struct sockaddr *)&at, &length);
  for (; n < 8; n++)
    {
      fillers[n] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (fillers[n], (struct sockaddr *)&at, sizeof at);
    }
  usleep (100000);
  snprintf (w.address, sizeof w.address, "127.0.0.1:%d", ntohs (at.sin_port));
  const LhRequest request = { .method = "GET",
                              .address = w.address,
                              .path = "/",
                              .connect_timeout = 200 * LB_MSEC,
                              .idle_timeout = 60 * LB_SEC };
  const LhHandlers handlers = { .on_done = on_done };
  lh_fetch_start (w.pool, &request, &handlers, &w, NULL);
  UNTIL (&w, w.done);
  cr_assert_eq (w.failure, LB_ERROR_TIMEOUT);
  cr_assert_not (w.bytes_handed);
  while (n > 0)
    close (fillers[--n]);
  close (full);
  world_clear (&w);
}

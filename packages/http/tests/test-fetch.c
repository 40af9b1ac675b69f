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

/* The test acts as the server and runs the event loop in between. */
typedef struct
{
  struct event_base *base;
  LhPool *pool;
  int listener;
  LbName address;
  char request[4096]; /* as read by the server */
  size_t length;
  bool is_closed;
  /* as reported to the client */
  int n_done;
  LbErrorCode failure;
  bool bytes_handed;
  int status;
  char body[4096];
  char header[64];
  LhFetch *cancel_at_chunk; /* cancelled by the handler at its first chunk */
  int n_chunks;
} Fixture;

static void
fixture_init (Fixture *w)
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
fixture_clear (Fixture *w)
{
  lh_pool_free (w->pool);
  event_base_free (w->base);
  close (w->listener);
}

static void
run_loop_once (Fixture *w)
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
        run_loop_once (w);                                                                         \
      cr_assert (met_, "condition not met within 20 s: %s", #condition);                           \
    }                                                                                              \
  while (0)

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  Fixture *w = user;
  const char *header = lh_fetch_header (fetch, "x-kind");

  w->n_done++;
  w->failure = result->failure;
  w->bytes_handed = result->bytes_handed;
  w->status = result->status;
  strncat (w->body, result->body ? result->body : "", result->body_length);
  LB_COPY (w->header, header ? header : "");
}

static void
on_body_chunk_received (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  Fixture *w = user;

  w->n_chunks++;
  strncat (w->body, bytes, length);
  if (fetch == w->cancel_at_chunk)
    lh_fetch_cancel (fetch);
}

static LhFetch *
start (Fixture *w, const char *method, const char *body, bool streams, LbTime idle_timeout)
{
  const LhRequest request = { .method = method,
                              .address = w->address,
                              .path = "/p?q=1",
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = idle_timeout };
  const LhHandlers handlers
      = { .on_body_chunk = streams ? on_body_chunk_received : NULL, .on_done = on_done };
  LbError error = { 0 };
  LhFetch *fetch = lh_fetch_start (w->pool, &request, &handlers, w, &error);

  cr_assert (fetch, "%s", error.detail);
  cr_assert_eq (w->n_done, 0, "on_done was called from inside lh_fetch_start");
  return fetch;
}

static bool
server_read (Fixture *w, int fd, const char *needle)
{
  ssize_t got = recv (fd, w->request + w->length, sizeof w->request - 1 - w->length, MSG_DONTWAIT);

  if (got > 0)
    w->length += (size_t)got;
  w->is_closed = w->is_closed || got == 0;
  w->request[w->length] = '\0';
  return needle && strstr (w->request, needle);
}

static int
server_accept (Fixture *w, const char *needle)
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

Test (fetch, response_has_status_headers_and_body)
{
  Fixture w;

  fixture_init (&w);
  start (&w, "DELETE", "bye", false, 0);
  int fd = server_accept (&w, "\r\n\r\nbye");
  cr_assert (strstr (w.request, "DELETE /p?q=1 HTTP/1.1"));
  cr_assert (strstr (w.request, "Content-Length: 3"));
  server_send (fd, "HTTP/1.1 404 No\r\nx-kind: short\r\nContent-Length: 4\r\n\r\nnone");
  UNTIL (&w, w.n_done);
  cr_assert_eq (w.failure, LB_OK);
  cr_assert_eq (w.status, 404);
  cr_assert_str_eq (w.body, "none");
  cr_assert_str_eq (w.header, "short");
  close (fd);
  fixture_clear (&w);
}

Test (fetch, idle_connection_is_reused_and_dropped)
{
  Fixture w;

  fixture_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.n_done);
  w.n_done = 0;
  w.length = 0;
  start (&w, "GET", "", false, 0);
  UNTIL (&w, server_read (&w, fd, "\r\n\r\n"));
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.n_done);
  lh_pool_drop_idle (w.pool, w.address);
  UNTIL (&w, (server_read (&w, fd, NULL), w.is_closed));
  close (fd);
  fixture_clear (&w);
}

/* An endpoint sends more than its response, for example a body after a HEAD request. The unread
 * bytes would be taken for the response to the next request and reach another caller. */
Test (fetch, connection_with_unread_bytes_is_not_reused)
{
  Fixture w;

  fixture_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                   "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
  UNTIL (&w, w.n_done);
  cr_assert_str_eq (w.body, "one");
  w.n_done = 0;
  w.body[0] = '\0';
  start (&w, "GET", "", false, 0);
  int fresh = server_accept (&w, "\r\n\r\n");
  server_send (fresh, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  UNTIL (&w, w.n_done);
  cr_assert_str_eq (w.body, "two");
  close (fd);
  close (fresh);
  fixture_clear (&w);
}

/* Nothing listens at the address, so no byte is handed to a socket, which proves that the request
 * did not run. */
Test (fetch, refused_connection_hands_over_no_byte)
{
  Fixture w;

  fixture_init (&w);
  close (w.listener);
  start (&w, "POST", "x", false, 0);
  UNTIL (&w, w.n_done);
  cr_assert_neq (w.failure, LB_OK);
  cr_assert_not (w.bytes_handed);
  w.listener = -1;
  fixture_clear (&w);
}

/* The server reads the request and closes the connection: the request may have run. */
Test (fetch, close_after_the_request_counts_as_bytes_handed)
{
  Fixture w;

  fixture_init (&w);
  start (&w, "POST", "x", false, 0);
  int fd = server_accept (&w, "\r\n\r\nx");
  close (fd);
  UNTIL (&w, w.n_done);
  cr_assert_neq (w.failure, LB_OK);
  cr_assert (w.bytes_handed);
  fixture_clear (&w);
}

/* A body that ends before its stated length is no valid response, however much of it arrived. */
Test (fetch, truncated_body_is_a_failure)
{
  Fixture w;

  fixture_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  for (int i = 0; i < 20; i++)
    run_loop_once (&w);
  close (fd);
  UNTIL (&w, w.n_done);
  cr_assert_neq (w.failure, LB_OK);
  fixture_clear (&w);
}

Test (fetch, silent_stream_times_out)
{
  Fixture w;

  fixture_init (&w);
  start (&w, "GET", "", true, 50 * LB_MSEC);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
  UNTIL (&w, w.n_done);
  cr_assert_eq (w.failure, LB_ERROR_TIMEOUT);
  cr_assert_eq (w.n_done, 1);
  cr_assert_str_eq (w.body, "one");
  close (fd);
  fixture_clear (&w);
}

/* The reader of a stream cancels it from inside the chunk handler. */
Test (fetch, cancel_inside_the_chunk_handler)
{
  Fixture w;

  fixture_init (&w);
  w.cancel_at_chunk = start (&w, "GET", "", true, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n");
  UNTIL (&w, w.n_chunks > 0);
  UNTIL (&w, (server_read (&w, fd, NULL), w.is_closed));
  cr_assert_eq (w.n_chunks, 1);
  cr_assert_eq (w.n_done, 0);
  close (fd);
  fixture_clear (&w);
}

Test (fetch, cancel_before_the_connection_is_established)
{
  Fixture w;

  fixture_init (&w);
  lh_fetch_cancel (start (&w, "GET", "", true, 0));
  for (int i = 0; i < 20; i++)
    run_loop_once (&w);
  cr_assert_eq (w.n_done, 0);
  fixture_clear (&w);
}

/* All file descriptors are in use. The failure must be reported from the event loop, after
 * lh_fetch_start has returned the fetch that it belongs to. */
Test (fetch, exhausted_descriptors_are_reported_from_the_event_loop)
{
  Fixture w;
  struct rlimit limit, none;

  fixture_init (&w);
  getrlimit (RLIMIT_NOFILE, &limit);
  none = limit;
  none.rlim_cur = (rlim_t)dup (0);
  close ((int)none.rlim_cur);
  setrlimit (RLIMIT_NOFILE, &none);
  start (&w, "GET", "", false, 0);
  lh_fetch_cancel (start (&w, "GET", "", false, 0));
  UNTIL (&w, w.n_done);
  setrlimit (RLIMIT_NOFILE, &limit);
  cr_assert_eq (w.n_done, 1);
  cr_assert_neq (w.failure, LB_OK);
  cr_assert_not (w.bytes_handed);
  fixture_clear (&w);
}

/* A service works for a minute without sending anything, and its instance loses power. Nothing
 * closes the connection, so only the kernel's probes can detect it, and they must be enabled. */
Test (fetch, sockets_detect_dead_connections)
{
  Fixture w;
  int max_unacked_ms = 0;
  int found = 0;
  socklen_t size = sizeof max_unacked_ms;

  fixture_init (&w);
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
      getsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &max_unacked_ms, &size);
      cr_assert_eq (max_unacked_ms, 6000);
    }
  cr_assert_eq (found, 1);
  close (server);
  fixture_clear (&w);
}

Test (fetch, malformed_requests_are_refused_as_bad_value)
{
  Fixture w;
  LbError error = { 0 };
  const LhHandlers handlers = { .on_done = on_done };
  LhRequest request = { .method = "BREW", .address = "127.0.0.1:1", .path = "/" };

  fixture_init (&w);
  cr_assert_null (lh_fetch_start (w.pool, &request, &handlers, &w, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  request.method = "GET";
  request.address = "nowhere";
  cr_assert_null (lh_fetch_start (w.pool, &request, &handlers, &w, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  fixture_clear (&w);
}

/* A connection is idle for longer than the 100 ms allowed in its last exchange. That timeout
 * continued to apply and closed it, so the next request needed a new connection: a thousand of them
 * in half a minute of low load. */
Test (fetch, idle_connection_outlives_the_timeout_of_its_last_exchange)
{
  Fixture w;
  LbTime end = 0;

  fixture_init (&w);
  start (&w, "GET", "", false, 100 * LB_MSEC);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.n_done);
  end = lb_clock_monotonic () + 500 * LB_MSEC;
  while (lb_clock_monotonic () < end)
    run_loop_once (&w);
  w.length = 0;
  server_read (&w, fd, NULL);
  cr_assert_not (w.is_closed);
  w.n_done = 0;
  start (&w, "GET", "", false, 0);
  UNTIL (&w, server_read (&w, fd, "\r\n\r\n"));
  close (fd);
  fixture_clear (&w);
}

/* An engine closes idle connections after the one second stated in its Keep-Alive header. A request
 * sent at that moment fails, and one that must not run twice is answered 502 although the engine
 * never received it. */
Test (fetch, idle_connection_is_not_reused_near_its_keep_alive_timeout)
{
  Fixture w;
  LbTime end = 0;

  fixture_init (&w);
  start (&w, "GET", "", false, 0);
  int fd = server_accept (&w, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=1\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&w, w.n_done);
  end = lb_clock_monotonic () + 800 * LB_MSEC;
  while (lb_clock_monotonic () < end)
    run_loop_once (&w);
  w.n_done = 0;
  start (&w, "GET", "", false, 0);
  int fresh = server_accept (&w, "\r\n\r\n");
  close (fd);
  close (fresh);
  fixture_clear (&w);
}

/* The endpoint receives the host of the route, not its own address. */
Test (fetch, host_header_may_differ_from_the_address)
{
  Fixture w;

  fixture_init (&w);
  const LhRequest request
      = { .method = "GET", .address = w.address, .path = "/", .host = "shop.example" };
  const LhHandlers handlers = { .on_done = on_done };
  lh_fetch_start (w.pool, &request, &handlers, &w, NULL);
  int fd = server_accept (&w, "\r\n\r\n");
  cr_assert (strstr (w.request, "Host: shop.example\r\n"));
  close (fd);
  fixture_clear (&w);
}

/* A host that lost power doesn't answer SYN packets. A caller with a deadline of two seconds got no
 * answer although other endpoints were idle. No byte was handed over, so the request can go
 * elsewhere after the connect timeout. */
Test (fetch, unanswered_connect_ends_after_the_connect_timeout)
{
  Fixture w;
  int fillers[64];
  int n = 0;
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  fixture_init (&w);
  /* A listener with a full accept queue drops further SYN packets. */
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
  UNTIL (&w, w.n_done);
  cr_assert_eq (w.failure, LB_ERROR_TIMEOUT);
  cr_assert_not (w.bytes_handed);
  while (n > 0)
    close (fillers[--n]);
  close (full);
  fixture_clear (&w);
}

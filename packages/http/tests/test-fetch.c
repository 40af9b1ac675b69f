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
fixture_init (Fixture *f)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  memset (f, 0, sizeof *f);
  signal (SIGPIPE, SIG_IGN);
  f->base = event_base_new ();
  f->pool = lh_pool_new (f->base);
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  cr_assert_eq (bind (f->listener, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (f->listener, 16), 0);
  getsockname (f->listener, (struct sockaddr *)&at, &length);
  snprintf (f->address, sizeof f->address, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
fixture_clear (Fixture *f)
{
  lh_pool_free (f->pool);
  event_base_free (f->base);
  close (f->listener);
}

static void
run_loop_once (Fixture *f)
{
  event_base_loop (f->base, EVLOOP_NONBLOCK);
  usleep (200);
}

#define UNTIL(f, condition)                                                                        \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + 20 * LB_SEC;                                           \
      bool met_ = false;                                                                           \
      while (!(met_ = (condition)) && lb_clock_monotonic () < end_)                                \
        run_loop_once (f);                                                                         \
      cr_assert (met_, "condition not met within 20 s: %s", #condition);                           \
    }                                                                                              \
  while (0)

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  Fixture *f = user;
  const char *header = lh_fetch_get_response_header (fetch, "x-kind");

  f->n_done++;
  f->failure = result->failure;
  f->bytes_handed = result->bytes_handed;
  f->status = result->status;
  strncat (f->body, result->body ? result->body : "", result->body_length);
  LB_COPY (f->header, header ? header : "");
}

static void
on_body_chunk_received (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  Fixture *f = user;

  f->n_chunks++;
  strncat (f->body, bytes, length);
  if (fetch == f->cancel_at_chunk)
    lh_fetch_cancel (fetch);
}

static LhFetch *
start (Fixture *f, const char *method, const char *body, bool streams, LbTime idle_timeout)
{
  const LhRequest request = { .method = method,
                              .address = f->address,
                              .path = "/p?q=1",
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = idle_timeout };
  const LhHandlers handlers
      = { .on_body_chunk = streams ? on_body_chunk_received : NULL, .on_done = on_done };
  LbError error = { 0 };
  LhFetch *fetch = lh_fetch_start (f->pool, &request, &handlers, f, &error);

  cr_assert (fetch, "%s", error.detail);
  cr_assert_eq (f->n_done, 0, "on_done was called from inside lh_fetch_start");
  return fetch;
}

static bool
server_read (Fixture *f, int fd, const char *needle)
{
  ssize_t got = recv (fd, f->request + f->length, sizeof f->request - 1 - f->length, MSG_DONTWAIT);

  if (got > 0)
    f->length += (size_t)got;
  f->is_closed = f->is_closed || got == 0;
  f->request[f->length] = '\0';
  return needle && strstr (f->request, needle);
}

static int
server_accept (Fixture *f, const char *needle)
{
  int fd = -1;

  f->length = 0;
  f->request[0] = '\0';
  UNTIL (f, (fd = accept (f->listener, NULL, NULL)) >= 0);
  UNTIL (f, server_read (f, fd, needle));
  return fd;
}

static void
server_send (int fd, const char *text)
{
  cr_assert_eq (send (fd, text, strlen (text), 0), (ssize_t)strlen (text));
}

Test (fetch, response_has_status_headers_and_body)
{
  Fixture f;

  fixture_init (&f);
  start (&f, "DELETE", "bye", false, 0);
  int fd = server_accept (&f, "\r\n\r\nbye");
  cr_assert (strstr (f.request, "DELETE /p?q=1 HTTP/1.1"));
  cr_assert (strstr (f.request, "Content-Length: 3"));
  server_send (fd, "HTTP/1.1 404 No\r\nx-kind: short\r\nContent-Length: 4\r\n\r\nnone");
  UNTIL (&f, f.n_done);
  cr_assert_eq (f.failure, LB_OK);
  cr_assert_eq (f.status, 404);
  cr_assert_str_eq (f.body, "none");
  cr_assert_str_eq (f.header, "short");
  close (fd);
  fixture_clear (&f);
}

Test (fetch, idle_connection_is_reused_and_dropped)
{
  Fixture f;

  fixture_init (&f);
  start (&f, "GET", "", false, 0);
  int fd = server_accept (&f, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&f, f.n_done);
  f.n_done = 0;
  f.length = 0;
  start (&f, "GET", "", false, 0);
  UNTIL (&f, server_read (&f, fd, "\r\n\r\n"));
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&f, f.n_done);
  lh_pool_close_idle_connections (f.pool, f.address);
  UNTIL (&f, (server_read (&f, fd, NULL), f.is_closed));
  close (fd);
  fixture_clear (&f);
}

/* An endpoint sends more than its response, for example a body after a HEAD request. The unread
 * bytes would be taken for the response to the next request and reach another caller. */
Test (fetch, connection_with_unread_bytes_is_not_reused)
{
  Fixture f;

  fixture_init (&f);
  start (&f, "GET", "", false, 0);
  int fd = server_accept (&f, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                   "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
  UNTIL (&f, f.n_done);
  cr_assert_str_eq (f.body, "one");
  f.n_done = 0;
  f.body[0] = '\0';
  start (&f, "GET", "", false, 0);
  int fresh = server_accept (&f, "\r\n\r\n");
  server_send (fresh, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  UNTIL (&f, f.n_done);
  cr_assert_str_eq (f.body, "two");
  close (fd);
  close (fresh);
  fixture_clear (&f);
}

/* Nothing listens at the address, so no byte is handed to a socket, which proves that the request
 * did not run. */
Test (fetch, refused_connection_hands_over_no_byte)
{
  Fixture f;

  fixture_init (&f);
  close (f.listener);
  start (&f, "POST", "x", false, 0);
  UNTIL (&f, f.n_done);
  cr_assert_neq (f.failure, LB_OK);
  cr_assert_not (f.bytes_handed);
  f.listener = -1;
  fixture_clear (&f);
}

/* The server reads the request and closes the connection: the request may have run. */
Test (fetch, close_after_the_request_counts_as_bytes_handed)
{
  Fixture f;

  fixture_init (&f);
  start (&f, "POST", "x", false, 0);
  int fd = server_accept (&f, "\r\n\r\nx");
  close (fd);
  UNTIL (&f, f.n_done);
  cr_assert_neq (f.failure, LB_OK);
  cr_assert (f.bytes_handed);
  fixture_clear (&f);
}

/* A body that ends before its stated length is no valid response, however much of it arrived. */
Test (fetch, truncated_body_is_a_failure)
{
  Fixture f;

  fixture_init (&f);
  start (&f, "GET", "", false, 0);
  int fd = server_accept (&f, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  for (int i = 0; i < 20; i++)
    run_loop_once (&f);
  close (fd);
  UNTIL (&f, f.n_done);
  cr_assert_neq (f.failure, LB_OK);
  fixture_clear (&f);
}

Test (fetch, silent_stream_times_out)
{
  Fixture f;

  fixture_init (&f);
  start (&f, "GET", "", true, 50 * LB_MSEC);
  int fd = server_accept (&f, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
  UNTIL (&f, f.n_done);
  cr_assert_eq (f.failure, LB_ERROR_TIMEOUT);
  cr_assert_eq (f.n_done, 1);
  cr_assert_str_eq (f.body, "one");
  close (fd);
  fixture_clear (&f);
}

/* The reader of a stream cancels it from inside the chunk handler. */
Test (fetch, cancel_inside_the_chunk_handler)
{
  Fixture f;

  fixture_init (&f);
  f.cancel_at_chunk = start (&f, "GET", "", true, 0);
  int fd = server_accept (&f, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n");
  UNTIL (&f, f.n_chunks > 0);
  UNTIL (&f, (server_read (&f, fd, NULL), f.is_closed));
  cr_assert_eq (f.n_chunks, 1);
  cr_assert_eq (f.n_done, 0);
  close (fd);
  fixture_clear (&f);
}

Test (fetch, cancel_before_the_connection_is_established)
{
  Fixture f;

  fixture_init (&f);
  lh_fetch_cancel (start (&f, "GET", "", true, 0));
  for (int i = 0; i < 20; i++)
    run_loop_once (&f);
  cr_assert_eq (f.n_done, 0);
  fixture_clear (&f);
}

/* All file descriptors are in use. The failure must be reported from the event loop, after
 * lh_fetch_start has returned the fetch that it belongs to. */
Test (fetch, exhausted_descriptors_are_reported_from_the_event_loop)
{
  Fixture f;
  struct rlimit limit, none;

  fixture_init (&f);
  getrlimit (RLIMIT_NOFILE, &limit);
  none = limit;
  none.rlim_cur = (rlim_t)dup (0);
  close ((int)none.rlim_cur);
  setrlimit (RLIMIT_NOFILE, &none);
  start (&f, "GET", "", false, 0);
  lh_fetch_cancel (start (&f, "GET", "", false, 0));
  UNTIL (&f, f.n_done);
  setrlimit (RLIMIT_NOFILE, &limit);
  cr_assert_eq (f.n_done, 1);
  cr_assert_neq (f.failure, LB_OK);
  cr_assert_not (f.bytes_handed);
  fixture_clear (&f);
}

/* A service works for a minute without sending anything, and its instance loses power. Nothing
 * closes the connection, so only the kernel's probes can detect it, and they must be enabled. */
Test (fetch, sockets_detect_dead_connections)
{
  Fixture f;
  int max_unacked_ms = 0;
  int found = 0;
  socklen_t size = sizeof max_unacked_ms;

  fixture_init (&f);
  start (&f, "GET", "", false, 0);
  int server = server_accept (&f, "\r\n\r\n");
  for (int fd = 3; fd < 64; fd++)
    {
      struct sockaddr_in peer = { 0 };
      socklen_t length = sizeof peer;
      char address[LB_NAME_MAX];
      if (getpeername (fd, (struct sockaddr *)&peer, &length) != 0 || peer.sin_family != AF_INET)
        continue;
      snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (peer.sin_port));
      if (strcmp (address, f.address) != 0)
        continue;
      found++;
      getsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &max_unacked_ms, &size);
      cr_assert_eq (max_unacked_ms, 6000);
    }
  cr_assert_eq (found, 1);
  close (server);
  fixture_clear (&f);
}

Test (fetch, malformed_requests_are_refused_as_bad_value)
{
  Fixture f;
  LbError error = { 0 };
  const LhHandlers handlers = { .on_done = on_done };
  LhRequest request = { .method = "BREW", .address = "127.0.0.1:1", .path = "/" };

  fixture_init (&f);
  cr_assert_null (lh_fetch_start (f.pool, &request, &handlers, &f, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  request.method = "GET";
  request.address = "nowhere";
  cr_assert_null (lh_fetch_start (f.pool, &request, &handlers, &f, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  fixture_clear (&f);
}

/* A connection is idle for longer than the 100 ms allowed in its last exchange. That timeout
 * continued to apply and closed it, so the next request needed a new connection: a thousand of them
 * in half a minute of low load. */
Test (fetch, idle_connection_outlives_the_timeout_of_its_last_exchange)
{
  Fixture f;
  LbTime end = 0;

  fixture_init (&f);
  start (&f, "GET", "", false, 100 * LB_MSEC);
  int fd = server_accept (&f, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&f, f.n_done);
  end = lb_clock_monotonic () + 500 * LB_MSEC;
  while (lb_clock_monotonic () < end)
    run_loop_once (&f);
  f.length = 0;
  server_read (&f, fd, NULL);
  cr_assert_not (f.is_closed);
  f.n_done = 0;
  start (&f, "GET", "", false, 0);
  UNTIL (&f, server_read (&f, fd, "\r\n\r\n"));
  close (fd);
  fixture_clear (&f);
}

/* An engine closes idle connections after the one second stated in its Keep-Alive header. A request
 * sent at that moment fails, and one that must not run twice is answered 502 although the engine
 * never received it. */
Test (fetch, idle_connection_is_not_reused_near_its_keep_alive_timeout)
{
  Fixture f;
  LbTime end = 0;

  fixture_init (&f);
  start (&f, "GET", "", false, 0);
  int fd = server_accept (&f, "\r\n\r\n");
  server_send (fd, "HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=1\r\nContent-Length: 0\r\n\r\n");
  UNTIL (&f, f.n_done);
  end = lb_clock_monotonic () + 800 * LB_MSEC;
  while (lb_clock_monotonic () < end)
    run_loop_once (&f);
  f.n_done = 0;
  start (&f, "GET", "", false, 0);
  int fresh = server_accept (&f, "\r\n\r\n");
  close (fd);
  close (fresh);
  fixture_clear (&f);
}

/* The endpoint receives the host of the route, not its own address. */
Test (fetch, host_header_may_differ_from_the_address)
{
  Fixture f;

  fixture_init (&f);
  const LhRequest request
      = { .method = "GET", .address = f.address, .path = "/", .host = "shop.example" };
  const LhHandlers handlers = { .on_done = on_done };
  lh_fetch_start (f.pool, &request, &handlers, &f, NULL);
  int fd = server_accept (&f, "\r\n\r\n");
  cr_assert (strstr (f.request, "Host: shop.example\r\n"));
  close (fd);
  fixture_clear (&f);
}

/* A host that lost power doesn't answer SYN packets. A caller with a deadline of two seconds got no
 * answer although other endpoints were idle. No byte was handed over, so the request can go
 * elsewhere after the connect timeout. */
Test (fetch, unanswered_connect_ends_after_the_connect_timeout)
{
  Fixture f;
  int fillers[64];
  int n = 0;
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  fixture_init (&f);
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
  snprintf (f.address, sizeof f.address, "127.0.0.1:%d", ntohs (at.sin_port));
  const LhRequest request = { .method = "GET",
                              .address = f.address,
                              .path = "/",
                              .connect_timeout = 200 * LB_MSEC,
                              .idle_timeout = 60 * LB_SEC };
  const LhHandlers handlers = { .on_done = on_done };
  lh_fetch_start (f.pool, &request, &handlers, &f, NULL);
  UNTIL (&f, f.n_done);
  cr_assert_eq (f.failure, LB_ERROR_TIMEOUT);
  cr_assert_not (f.bytes_handed);
  while (n > 0)
    close (fillers[--n]);
  close (full);
  fixture_clear (&f);
}

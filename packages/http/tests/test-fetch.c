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

/* Client, event loop and listening socket of a test. The test plays the server on plain sockets and
 * runs the client's event loop in between. */
typedef struct
{
  struct event_base *base;
  LhPool *pool;
  int listener;
  LbName address;
  char request[4096]; /* bytes that the server has received */
  size_t request_length;
  bool is_closed; /* the client has closed the connection */
  /* results passed to the client's on_done */
  int n_done; /* number of on_done calls */
  LbErrorCode failure;
  bool bytes_handed;
  int status;
  char body[4096];
  char header[64];
  LhFetch *cancel_at_chunk; /* fetch to cancel from the body chunk handler; NULL: none */
  int n_chunks;
  int n_cancels; /* fetches that a handler has cancelled */
} FetchFixture;

static void
fetch_fixture_init (FetchFixture *f)
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
fetch_fixture_clear (FetchFixture *f)
{
  lh_pool_free (f->pool);
  event_base_free (f->base);
  close (f->listener);
}

static void
run_event_loop_once (FetchFixture *f)
{
  event_base_loop (f->base, EVLOOP_NONBLOCK);
  usleep (200);
}

#define RUN_LOOP_UNTIL(f, condition)                                                               \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + 20 * LB_SEC;                                           \
      bool met_ = false;                                                                           \
      while (!(met_ = (condition)) && lb_clock_monotonic () < end_)                                \
        run_event_loop_once (f);                                                                   \
      cr_assert (met_, "condition not met within 20 s: %s", #condition);                           \
    }                                                                                              \
  while (0)

static void
copy_fetch_result_to_fixture (LhFetch *fetch, const LhResult *result, void *user)
{
  FetchFixture *f = user;
  const char *header = lh_fetch_get_response_header (fetch, "x-kind");

  f->n_done++;
  f->failure = result->failure;
  f->bytes_handed = result->bytes_handed;
  f->status = result->status;
  strncat (f->body, result->body ? result->body : "", result->body_length);
  LB_COPY (f->header, header ? header : "");
}

static void
append_body_chunk (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  FetchFixture *f = user;

  f->n_chunks++;
  strncat (f->body, bytes, length);
  if (fetch == f->cancel_at_chunk)
    lh_fetch_cancel (fetch);
}

static LhFetch *
start_fetch (
    FetchFixture *f, const char *method, const char *body, bool streams, LbTime idle_timeout)
{
  const LhRequest request = { .method = method,
                              .address = f->address,
                              .path = "/p?q=1",
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = idle_timeout };
  const LhHandlers handlers = { .on_body_chunk = streams ? append_body_chunk : NULL,
                                .on_done = copy_fetch_result_to_fixture };
  LbError error = { 0 };
  LhFetch *fetch = lh_fetch_start (f->pool, &request, &handlers, f, &error);

  cr_assert (fetch, "%s", error.detail);
  cr_assert_eq (f->n_done, 0, "on_done was called from inside lh_fetch_start");
  return fetch;
}

static bool
receive_bytes_and_search_request (FetchFixture *f, int fd, const char *needle)
{
  ssize_t got = recv (fd, f->request + f->request_length, sizeof f->request - 1 - f->request_length,
                      MSG_DONTWAIT);

  if (got > 0)
    f->request_length += (size_t)got;
  f->is_closed = f->is_closed || got == 0;
  f->request[f->request_length] = '\0';
  return needle && strstr (f->request, needle);
}

static int
accept_connection_and_receive_text (FetchFixture *f, const char *needle)
{
  int fd = -1;

  f->request_length = 0;
  f->request[0] = '\0';
  RUN_LOOP_UNTIL (f, (fd = accept (f->listener, NULL, NULL)) >= 0);
  RUN_LOOP_UNTIL (f, receive_bytes_and_search_request (f, fd, needle));
  return fd;
}

static void
send_text_to_client (int fd, const char *text)
{
  cr_assert_eq (send (fd, text, strlen (text), 0), (ssize_t)strlen (text));
}

Test (fetch, response_has_status_headers_and_body)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  start_fetch (&f, "DELETE", "bye", false, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\nbye");
  cr_assert (strstr (f.request, "DELETE /p?q=1 HTTP/1.1"));
  cr_assert (strstr (f.request, "Content-Length: 3"));
  send_text_to_client (fd, "HTTP/1.1 404 No\r\nx-kind: short\r\nContent-Length: 4\r\n\r\nnone");
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_eq (f.failure, LB_OK);
  cr_assert_eq (f.status, 404);
  cr_assert_str_eq (f.body, "none");
  cr_assert_str_eq (f.header, "short");
  close (fd);
  fetch_fixture_clear (&f);
}

Test (fetch, idle_connection_is_reused_and_closed_on_demand)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  start_fetch (&f, "GET", "", false, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_LOOP_UNTIL (&f, f.n_done);
  f.n_done = 0;
  f.request_length = 0;
  start_fetch (&f, "GET", "", false, 0);
  RUN_LOOP_UNTIL (&f, receive_bytes_and_search_request (&f, fd, "\r\n\r\n"));
  send_text_to_client (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_LOOP_UNTIL (&f, f.n_done);
  lh_pool_close_idle_connections (f.pool, f.address);
  RUN_LOOP_UNTIL (&f, (receive_bytes_and_search_request (&f, fd, NULL), f.is_closed));
  close (fd);
  fetch_fixture_clear (&f);
}

/* An endpoint sends more than its response, for example a body after a HEAD request. The unread
 * bytes would be taken for the response to the next request and reach another caller. */
Test (fetch, connection_with_unread_bytes_is_not_reused)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  start_fetch (&f, "GET", "", false, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
                           "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstolen");
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_str_eq (f.body, "one");
  f.n_done = 0;
  f.body[0] = '\0';
  start_fetch (&f, "GET", "", false, 0);
  int new_fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (new_fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_str_eq (f.body, "two");
  close (fd);
  close (new_fd);
  fetch_fixture_clear (&f);
}

/* No process listens on the address, so no byte of the request is sent. The result must
 * report that, since it proves that the request did not run. */
Test (fetch, refused_connection_reports_no_byte_sent)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  close (f.listener);
  start_fetch (&f, "POST", "x", false, 0);
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_neq (f.failure, LB_OK);
  cr_assert_not (f.bytes_handed);
  f.listener = -1;
  fetch_fixture_clear (&f);
}

/* The server reads the request and closes the connection without a response. The request may have
 * run, so the result must report that bytes were sent. */
Test (fetch, close_after_the_request_reports_bytes_sent)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  start_fetch (&f, "POST", "x", false, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\nx");
  close (fd);
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_neq (f.failure, LB_OK);
  cr_assert (f.bytes_handed);
  fetch_fixture_clear (&f);
}

/* The server closes the connection before the whole Content-Length has arrived. The partial body
 * must not be reported as a response. */
Test (fetch, truncated_body_is_a_failure)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  start_fetch (&f, "GET", "", false, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  for (int i = 0; i < 20; i++)
    run_event_loop_once (&f);
  close (fd);
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_neq (f.failure, LB_OK);
  fetch_fixture_clear (&f);
}

Test (fetch, silent_stream_times_out)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  start_fetch (&f, "GET", "", true, 50 * LB_MSEC);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_eq (f.failure, LB_ERROR_TIMEOUT);
  cr_assert_eq (f.n_done, 1);
  cr_assert_str_eq (f.body, "one");
  close (fd);
  fetch_fixture_clear (&f);
}

/* The client cancels a streamed fetch from inside its chunk handler: no further handler may be
 * called, and the connection must be closed. */
Test (fetch, cancel_inside_the_chunk_handler_ends_the_fetch)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  f.cancel_at_chunk = start_fetch (&f, "GET", "", true, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (
      fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n");
  RUN_LOOP_UNTIL (&f, f.n_chunks > 0);
  RUN_LOOP_UNTIL (&f, (receive_bytes_and_search_request (&f, fd, NULL), f.is_closed));
  cr_assert_eq (f.n_chunks, 1);
  cr_assert_eq (f.n_done, 0);
  close (fd);
  fetch_fixture_clear (&f);
}

/* A server sends its response one byte at a time without end. Each byte restarts the idle timeout,
 * so only the limits of the head and of the whole response end the fetch. */
Test (fetch, response_without_end_is_aborted)
{
  static const char *const heads[] = { "HTTP/1.1 200 OK\r\nX: ", "HTTP/1.1 200 OK\r\n\r\n" };

  for (size_t i = 0; i < 2; i++)
    {
      FetchFixture f;
      fetch_fixture_init (&f);
      const LhRequest request = { .method = "GET",
                                  .address = f.address,
                                  .path = "/",
                                  .idle_timeout = i == 0 ? 100 * LB_MSEC : 60 * LB_SEC,
                                  .max_duration = i == 0 ? 0 : 100 * LB_MSEC };
      const LhHandlers handlers = { .on_done = copy_fetch_result_to_fixture };
      cr_assert (lh_fetch_start (f.pool, &request, &handlers, &f, NULL));
      int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
      send_text_to_client (fd, heads[i]);
      RUN_LOOP_UNTIL (&f, (send (fd, "a", 1, MSG_NOSIGNAL), f.n_done > 0));
      cr_assert_eq (f.failure, LB_ERROR_TIMEOUT);
      RUN_LOOP_UNTIL (&f, (receive_bytes_and_search_request (&f, fd, NULL), f.is_closed));
      close (fd);
      fetch_fixture_clear (&f);
    }
}

Test (fetch, cancel_before_connecting_calls_no_handler)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  lh_fetch_cancel (start_fetch (&f, "GET", "", true, 0));
  for (int i = 0; i < 20; i++)
    run_event_loop_once (&f);
  cr_assert_eq (f.n_done, 0);
  fetch_fixture_clear (&f);
}

/* Chunk extensions are allowed (RFC 9112, 7.1.1); the HTTP library ended such responses as broken.
 */
Test (fetch, chunk_extensions_of_a_response_are_ignored)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  static const char chunks[] = "3;x=\"y\"\r\nabc\r\n2\t;z\r\nde\r\n0;end\r\nt: 1\r\n\r\n";

  for (size_t cut = 0; cut < sizeof chunks - 1; cut++)
    {
      FetchFixture f;
      char first[sizeof chunks] = "";
      fetch_fixture_init (&f);
      start_fetch (&f, "GET", "", false, 0);
      int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
      memcpy (first, chunks, cut);
      send_text_to_client (fd, head);
      send_text_to_client (fd, first);
      run_event_loop_once (&f);
      send_text_to_client (fd, chunks + cut);
      RUN_LOOP_UNTIL (&f, f.n_done);
      cr_assert_eq (f.failure, LB_OK, "cut at %zu", cut);
      cr_assert_str_eq (f.body, "abcde", "cut at %zu", cut);
      close (fd);
      fetch_fixture_clear (&f);
    }
}

/* Two servers may end such a response at different bytes; one passes half of it on as whole. */
Test (fetch, response_of_contradictory_length_is_no_response)
{
  static const char *const replies[]
      = { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
          "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x0\r\n\r\n" };

  for (size_t i = 0; i < sizeof replies / sizeof replies[0]; i++)
    {
      FetchFixture f;
      fetch_fixture_init (&f);
      start_fetch (&f, "GET", "", false, 0);
      int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
      send_text_to_client (fd, replies[i]);
      shutdown (fd, SHUT_WR);
      RUN_LOOP_UNTIL (&f, f.n_done);
      cr_assert_neq (f.failure, LB_OK, "reply %zu counts as a response", i);
      close (fd);
      fetch_fixture_clear (&f);
    }
}

static void
cancel_fetch_and_read_response (LhFetch *fetch, FetchFixture *f)
{
  lh_fetch_cancel (fetch);
  cr_assert_null (lh_fetch_get_response_header (fetch, "x-kind"));
  cr_assert_eq (lh_fetch_get_response_status (fetch), 0);
  lh_fetch_cancel (fetch);
  f->n_cancels++;
}

static void
cancel_in_chunk_handler (LhFetch *fetch, const char *bytes, size_t length, void *user)
{
  (void)bytes;
  (void)length;
  cancel_fetch_and_read_response (fetch, user);
}

static void
cancel_in_done_handler (LhFetch *fetch, const LhResult *result, void *user)
{
  FetchFixture *f = user;

  f->n_done++;
  f->failure = result->failure;
  lh_fetch_cancel (fetch);
  lh_fetch_cancel (fetch);
}

static void
start_fetch_that_cancels_itself (FetchFixture *f, bool streams, LbTime max_duration)
{
  const LhRequest request
      = { .method = "GET", .address = f->address, .path = "/", .max_duration = max_duration };
  const LhHandlers handlers = { .on_body_chunk = streams ? cancel_in_chunk_handler : NULL,
                                .on_done = cancel_in_done_handler };

  cr_assert (lh_fetch_start (f->pool, &request, &handlers, f, NULL));
}

/* A handler that cancels its fetch still uses it: freed at once, it was read and freed again. */
Test (fetch, chunk_handler_may_use_and_cancel_its_cancelled_fetch)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  start_fetch_that_cancels_itself (&f, true, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (fd, "HTTP/1.1 200 OK\r\nx-kind: long\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "3\r\nabc\r\n3\r\nabc\r\n0\r\n\r\n");
  RUN_LOOP_UNTIL (&f, (receive_bytes_and_search_request (&f, fd, NULL), f.is_closed));
  cr_assert_eq (f.n_cancels, 1);
  cr_assert_eq (f.n_done, 0);
  close (fd);
  fetch_fixture_clear (&f);
}

/* The owner of a fetch cancels all it has when one ends: the fetch that ended was freed twice. */
Test (fetch, cancel_in_done_handler_has_no_effect)
{
  static const char *const replies[]
      = { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", "no status line\r\n\r\n" };
  static const LbErrorCode failures[] = { LB_OK, LB_ERROR_TIMEOUT, LB_ERROR_IO };

  for (size_t i = 0; i < 3; i++)
    {
      FetchFixture f;
      fetch_fixture_init (&f);
      start_fetch_that_cancels_itself (&f, false, 500 * LB_MSEC);
      int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
      send_text_to_client (fd, replies[i]);
      RUN_LOOP_UNTIL (&f, f.n_done);
      cr_assert_eq (f.failure, failures[i]);
      run_event_loop_once (&f);
      cr_assert_eq (f.n_done, 1);
      close (fd);
      fetch_fixture_clear (&f);
    }
}

/* All file descriptors are in use, so no socket can be opened. The failure must be reported from
 * the event loop: the caller has the fetch only after lh_fetch_start has returned. */
Test (fetch, exhausted_descriptors_are_reported_from_the_event_loop)
{
  FetchFixture f;
  struct rlimit limit, no_free_descriptors;

  fetch_fixture_init (&f);
  getrlimit (RLIMIT_NOFILE, &limit);
  no_free_descriptors = limit;
  no_free_descriptors.rlim_cur = (rlim_t)dup (0);
  close ((int)no_free_descriptors.rlim_cur);
  setrlimit (RLIMIT_NOFILE, &no_free_descriptors);
  start_fetch (&f, "GET", "", false, 0);
  lh_fetch_cancel (start_fetch (&f, "GET", "", false, 0));
  RUN_LOOP_UNTIL (&f, f.n_done);
  setrlimit (RLIMIT_NOFILE, &limit);
  cr_assert_eq (f.n_done, 1);
  cr_assert_neq (f.failure, LB_OK);
  cr_assert_not (f.bytes_handed);
  fetch_fixture_clear (&f);
}

/* A server computes a response for a minute without sending a byte, and its machine loses power.
 * Nothing closes the connection, so only TCP keep-alive detects the failure and must be enabled. */
Test (fetch, sockets_have_a_timeout_for_dead_connections)
{
  FetchFixture f;
  int max_unacked_ms = 0;
  int n_client_sockets = 0;
  socklen_t size = sizeof max_unacked_ms;

  fetch_fixture_init (&f);
  start_fetch (&f, "GET", "", false, 0);
  int server = accept_connection_and_receive_text (&f, "\r\n\r\n");
  for (int fd = 3; fd < 64; fd++)
    {
      struct sockaddr_in peer_address = { 0 };
      socklen_t length = sizeof peer_address;
      char address[LB_NAME_MAX];
      if (getpeername (fd, (struct sockaddr *)&peer_address, &length) != 0
          || peer_address.sin_family != AF_INET)
        continue;
      snprintf (address, sizeof address, "127.0.0.1:%d", ntohs (peer_address.sin_port));
      if (strcmp (address, f.address) != 0)
        continue;
      n_client_sockets++;
      getsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &max_unacked_ms, &size);
      cr_assert_eq (max_unacked_ms, 6000);
    }
  cr_assert_eq (n_client_sockets, 1);
  close (server);
  fetch_fixture_clear (&f);
}

Test (fetch, malformed_requests_are_refused_as_bad_value)
{
  FetchFixture f;
  LbError error = { 0 };
  const LhHandlers handlers = { .on_done = copy_fetch_result_to_fixture };
  LhRequest request = { .method = "BREW", .address = "127.0.0.1:1", .path = "/" };

  fetch_fixture_init (&f);
  cr_assert_null (lh_fetch_start (f.pool, &request, &handlers, &f, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  request.method = "GET";
  request.address = "nowhere";
  cr_assert_null (lh_fetch_start (f.pool, &request, &handlers, &f, &error));
  cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
  fetch_fixture_clear (&f);
}

/* The 100 ms idle timeout of a request must not close its connection while the connection is idle
 * in the pool. When it did, each later request opened a new connection: a thousand in half a minute
 * of low load. */
Test (fetch, idle_connection_outlives_the_timeout_of_its_last_request)
{
  FetchFixture f;
  LbTime wait_until = 0;

  fetch_fixture_init (&f);
  start_fetch (&f, "GET", "", false, 100 * LB_MSEC);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_LOOP_UNTIL (&f, f.n_done);
  wait_until = lb_clock_monotonic () + 500 * LB_MSEC;
  while (lb_clock_monotonic () < wait_until)
    run_event_loop_once (&f);
  f.request_length = 0;
  receive_bytes_and_search_request (&f, fd, NULL);
  cr_assert_not (f.is_closed);
  f.n_done = 0;
  start_fetch (&f, "GET", "", false, 0);
  RUN_LOOP_UNTIL (&f, receive_bytes_and_search_request (&f, fd, "\r\n\r\n"));
  close (fd);
  fetch_fixture_clear (&f);
}

/* An engine closes idle connections after the 1 s in its Keep-Alive header. A request sent at that
 * moment fails; if it is not idempotent, the caller gets a 502 although the engine never received
 * it. The connection must not be reused shortly before the timeout. */
Test (fetch, idle_connection_is_not_reused_near_its_keep_alive_timeout)
{
  FetchFixture f;
  LbTime wait_until = 0;

  fetch_fixture_init (&f);
  start_fetch (&f, "GET", "", false, 0);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  send_text_to_client (
      fd, "HTTP/1.1 200 OK\r\nKeep-Alive: max=9, timeout=1\r\nContent-Length: 0\r\n\r\n");
  RUN_LOOP_UNTIL (&f, f.n_done);
  wait_until = lb_clock_monotonic () + 800 * LB_MSEC;
  while (lb_clock_monotonic () < wait_until)
    run_event_loop_once (&f);
  f.n_done = 0;
  start_fetch (&f, "GET", "", false, 0);
  int new_fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  close (fd);
  close (new_fd);
  fetch_fixture_clear (&f);
}

/* The Host header must be LhRequest.host if that is set, not the address. */
Test (fetch, host_header_may_differ_from_the_address)
{
  FetchFixture f;

  fetch_fixture_init (&f);
  const LhRequest request
      = { .method = "GET", .address = f.address, .path = "/", .host = "shop.example" };
  const LhHandlers handlers = { .on_done = copy_fetch_result_to_fixture };
  lh_fetch_start (f.pool, &request, &handlers, &f, NULL);
  int fd = accept_connection_and_receive_text (&f, "\r\n\r\n");
  cr_assert (strstr (f.request, "Host: shop.example\r\n"));
  close (fd);
  fetch_fixture_clear (&f);
}

/* A host that lost power doesn't answer SYN packets. A caller with a deadline of 2 s got no answer
 * although other endpoints were idle. The fetch must end after the connect timeout and report that
 * no byte was sent, so that the request can go to another endpoint. */
Test (fetch, unanswered_connect_ends_after_the_connect_timeout)
{
  FetchFixture f;
  int queued_fds[64];
  int n = 0;
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  fetch_fixture_init (&f);
  /* A listener with a full accept queue drops further SYN packets. */
  int full_listener = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (bind (full_listener, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (full_listener, 0), 0);
  getsockname (full_listener, (struct sockaddr *)&at, &length);
  for (; n < 8; n++)
    {
      queued_fds[n] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)connect (queued_fds[n], (struct sockaddr *)&at, sizeof at);
    }
  usleep (100000);
  snprintf (f.address, sizeof f.address, "127.0.0.1:%d", ntohs (at.sin_port));
  const LhRequest request = { .method = "GET",
                              .address = f.address,
                              .path = "/",
                              .connect_timeout = 200 * LB_MSEC,
                              .idle_timeout = 60 * LB_SEC };
  const LhHandlers handlers = { .on_done = copy_fetch_result_to_fixture };
  lh_fetch_start (f.pool, &request, &handlers, &f, NULL);
  RUN_LOOP_UNTIL (&f, f.n_done);
  cr_assert_eq (f.failure, LB_ERROR_TIMEOUT);
  cr_assert_not (f.bytes_handed);
  while (n > 0)
    close (queued_fds[--n]);
  close (full_listener);
  fetch_fixture_clear (&f);
}

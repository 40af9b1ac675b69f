#include "ln-upstream.h"

#include "lb-clock.h"
#include "lb-time.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REPLY_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
#define EVENT                                                                                      \
  "data: {\"id\": \"s1\", \"offset\": 0, \"tokens\": 1, \"choices\": [{\"text\": \"a\"}]}\n\n"

typedef struct
{
  struct event_base *base;
  LhPool *pool;
  int listener;
  LbName address;
  bool cancels_at_piece;
  int n_pieces;
  int n_ends;
  LcAttemptEnd end;
} UpstreamFixture;

static void
use_and_cancel_upstream (LnUpstream *upstream)
{
  LnReportedLoad load;

  ln_upstream_cancel (upstream);
  ln_upstream_read_load (upstream, &load);
  cr_assert_not (load.is_reported);
  cr_assert_str_eq (ln_upstream_get_endpoint_name (upstream), "e1");
  lh_fetch_get_response_header (ln_upstream_get_fetch (upstream), "Content-Type");
  ln_upstream_cancel (upstream);
}

static void
on_piece (LnUpstream *upstream,
          const LcPiece *piece,
          struct json_object *event,
          const char *text,
          void *user)
{
  (void)piece;
  (void)event;
  (void)text;
  UpstreamFixture *f = user;

  f->n_pieces++;
  if (f->cancels_at_piece)
    use_and_cancel_upstream (upstream);
}

static void
on_end (LnUpstream *upstream, LcAttemptEnd end, void *user)
{
  UpstreamFixture *f = user;

  f->n_ends++;
  f->end = end;
  use_and_cancel_upstream (upstream);
}

static void
upstream_fixture_init (UpstreamFixture *f)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  memset (f, 0, sizeof *f);
  signal (SIGPIPE, SIG_IGN);
  f->base = event_base_new ();
  f->pool = lh_pool_new (f->base);
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  cr_assert_eq (bind (f->listener, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (f->listener, 1), 0);
  getsockname (f->listener, (struct sockaddr *)&at, &length);
  snprintf (f->address, sizeof f->address, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
upstream_fixture_clear (UpstreamFixture *f)
{
  lh_pool_free (f->pool);
  event_base_free (f->base);
  close (f->listener);
}

/* Sends a request to an endpoint that answers with the text, until the endpoint sees the connection
 * closed. */
static void
run_upstream (UpstreamFixture *f, const char *reply)
{
  const LnUpstreamHandlers handlers = { .on_piece = on_piece, .on_end = on_end };
  const LnUpstreamSpec spec = { .method = "POST",
                                .address = f->address,
                                .endpoint = "e1",
                                .path = "/v1/completions",
                                .stream_id = "s1",
                                .body = "{}",
                                .body_length = 2,
                                .idle_timeout = 10 * LB_SEC };
  LbTime end = lb_clock_monotonic () + 10 * LB_SEC;
  bool is_closed = false;
  char request[4096];
  int fd = -1;

  cr_assert (ln_upstream_start (f->pool, &spec, &handlers, f, NULL));
  while (!is_closed && lb_clock_monotonic () < end)
    {
      event_base_loop (f->base, EVLOOP_NONBLOCK);
      usleep (200);
      if (fd < 0)
        {
          fd = accept (f->listener, NULL, NULL);
          continue;
        }
      ssize_t n = recv (fd, request, sizeof request, MSG_DONTWAIT);
      if (n > 0)
        cr_assert_eq (send (fd, reply, strlen (reply), MSG_NOSIGNAL), (ssize_t)strlen (reply));
      if (n > 0)
        shutdown (fd, SHUT_WR);
      is_closed = n == 0;
    }
  cr_assert (is_closed, "the connection is not closed within 10 s");
  close (fd);
}

/* A piece that ends its own call cancels the attempt: its fetch and upstream were used after that.
 */
Test (upstream, piece_handler_may_use_and_cancel_its_cancelled_upstream)
{
  UpstreamFixture f;

  upstream_fixture_init (&f);
  f.cancels_at_piece = true;
  run_upstream (&f, REPLY_HEAD EVENT EVENT);
  cr_assert_eq (f.n_pieces, 1);
  cr_assert_eq (f.n_ends, 0);
  upstream_fixture_clear (&f);
}

/* The end of an attempt ends its call, which cancels its attempts: this one was freed twice. */
Test (upstream, cancel_in_end_handler_has_no_effect)
{
  static const char *const replies[]
      = { REPLY_HEAD EVENT "data: [DONE]\n\n", REPLY_HEAD EVENT,
          REPLY_HEAD EVENT "data: not JSON\n\n", "HTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nx" };
  static const LcAttemptEnd ends[]
      = { LC_END_COMPLETE, LC_END_BROKEN, LC_END_BROKEN, LC_END_FAILED };

  for (size_t i = 0; i < 4; i++)
    {
      UpstreamFixture f;
      upstream_fixture_init (&f);
      run_upstream (&f, replies[i]);
      cr_assert_eq (f.n_ends, 1);
      cr_assert_eq (f.end, ends[i]);
      upstream_fixture_clear (&f);
    }
}

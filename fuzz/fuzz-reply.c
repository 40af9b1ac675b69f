#include "fz-message.h"
#include "fz-peer.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-time.h"
#include "ln-upstream.h"
#include "pf-dialect.h"

#include <event2/event.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_ROUNDS 2000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* What the caller of the request was told. */
typedef struct
{
  int n_ends;
  LcAttemptEnd end;
  int status;
  char *body;
  size_t body_length;
} Outcome;

static struct event_base *base;
static LhPool *pool;
static FzPeer endpoint;

static void
on_piece (LnUpstream *upstream,
          const LcPiece *piece,
          struct json_object *event,
          const char *text,
          void *user)
{
  (void)upstream;
  (void)event;
  (void)text;
  (void)user;
  (void)piece;
}

static void
on_end (LnUpstream *upstream, LcAttemptEnd end, void *user)
{
  Outcome *outcome = user;
  const char *body = ln_upstream_get_reply_body (upstream, &outcome->body_length);

  outcome->n_ends++;
  outcome->end = end;
  outcome->status = ln_upstream_get_http_status (upstream);
  outcome->body = lb_memdup (body, outcome->body_length);
}

static void
start_endpoint (void)
{
  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "fuzz");
  base = event_base_new ();
  pool = lh_pool_new (base);
  fz_peer_init (&endpoint);
}

/* Answers the request with the bytes, cut in two at `cut`, and closes the connection. */
static void
run_request (Outcome *outcome, const char *bytes, size_t length, size_t cut)
{
  FzConnection *connection = &endpoint.connections[0];
  bool has_answered = false;

  for (int round = 0; round < MAX_ROUNDS && outcome->n_ends == 0; round++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      fz_peer_accept (&endpoint);
      if (has_answered)
        usleep (20);
      if (has_answered || connection->fd < 0 || !fz_connection_receive (connection))
        continue;
      fz_connection_send (connection, bytes, cut);
      event_base_loop (base, EVLOOP_NONBLOCK);
      fz_connection_send (connection, bytes + cut, length - cut);
      close (connection->fd);
      connection->fd = -1;
      fz_connection_close (connection);
      has_answered = true;
    }
  event_base_loop (base, EVLOOP_NONBLOCK);
}

/* Aborts if an answer counts as complete that is not, or is not the one that the endpoint sent. */
static void
check_complete_answer (const Outcome *outcome, const char *bytes, size_t length, bool is_stream)
{
  FzMessage message;

  if (fz_message_read_response (&message, bytes, length, false) != FZ_COMPLETE
      || atoi (message.words[1]) != outcome->status)
    abort ();
  if (!is_stream
      && (message.body_length != outcome->body_length
          || (outcome->body_length > 0
              && memcmp (message.body, outcome->body, outcome->body_length) != 0)))
    abort ();
  fz_message_clear (&message);
}

/* Answers a request with the input, of which the first byte says where it is cut in two and whether
 * the request is for a stream of events. Aborts unless the request ends exactly once, and if an
 * answer counts as complete that is not. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const LnUpstreamHandlers handlers = { .on_piece = on_piece, .on_end = on_end };
  LnUpstreamSpec spec = { .method = "POST",
                          .address = endpoint.address,
                          .endpoint = "e1",
                          .path = "/p",
                          .host = "h",
                          .body = "b",
                          .body_length = 1,
                          .external_id = "r1",
                          .idle_timeout = 5 * LB_SEC,
                          .dialect = pf_get_dialect () };
  Outcome outcome = { 0 };

  if (size == 0)
    return 0;
  if (!base)
    start_endpoint ();
  const char *bytes = (const char *)data + 1;
  size_t length = size - 1;
  spec.is_stream = data[0] % 2 == 1;
  if (!ln_upstream_start (pool, &spec, &handlers, &outcome, NULL))
    abort ();
  run_request (&outcome, bytes, length, length * (data[0] / 2) / 128);
  if (outcome.n_ends != 1)
    abort ();
  if (outcome.end == LC_END_COMPLETE)
    check_complete_answer (&outcome, bytes, length, spec.is_stream);
  free (outcome.body);
  return 0;
}

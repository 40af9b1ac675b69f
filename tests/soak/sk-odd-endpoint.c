#include "sk-odd-endpoint.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "si-raw-endpoint.h"

#include <stdio.h>
#include <stdlib.h>

#define STREAM_HEAD                                                                                \
  "HTTP/1.1 200 OK\r\nAttempt-Id: %ID%\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1"   \
  "\r\n"

typedef struct
{
  const char *reply;
  SiRawEnd end;
  const char *filler;
} OddReply;

static const OddReply odd_replies[] = {
  { "HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nok", SI_RAW_CLOSE, "" },
  { "HTTP/1.1 12 No\r\nContent-Length: 0\r\n\r\n", SI_RAW_KEEP_OPEN, "" },
  { "no HTTP at all\r\n\r\n", SI_RAW_CLOSE, "" },
  { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", SI_RAW_CLOSE, "" },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabcd", SI_RAW_CLOSE, "" },
  { "HTTP/1.1 421 No\r\nAttempt-Id: %ID%\r\nContent-Length: 0\r\n\r\n", SI_RAW_KEEP_OPEN, "" },
  { "HTTP/1.1 200 OK\r\nX-Endless: ", SI_RAW_REPEAT, "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" },
  { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", SI_RAW_REPEAT, "0" },
};

static const OddReply odd_streams[] = {
  { STREAM_HEAD "\r\nid: 1\ndata: %ID%.1 v1\n\nid: 2\ndata: %I", SI_RAW_CLOSE, "" },
  { STREAM_HEAD "\r\nid: 18446744073709551617\ndata: x\n\n", SI_RAW_CLOSE, "" },
  { STREAM_HEAD "Transfer-Encoding: chunked\r\n\r\n", SI_RAW_TRICKLE, "a\r\n: nothing\n\r\n" },
};

struct SkOddEndpoint
{
  SkWorld *world;
  SiRawEndpoint raw;
  int n_starts;
  LbTime end_at; /* LB_TIME_NEVER: the endpoint does not run */
};

SkOddEndpoint *
sk_odd_endpoint_new (SkWorld *world)
{
  SkOddEndpoint *odd_endpoint = LB_NEW (SkOddEndpoint);

  odd_endpoint->world = world;
  odd_endpoint->end_at = LB_TIME_NEVER;
  return odd_endpoint;
}

static void
stop_endpoint (SkOddEndpoint *odd_endpoint)
{
  si_row_store_put (&odd_endpoint->world->store, "servers", "", odd_endpoint->raw.name, NULL);
  si_raw_endpoint_clear (&odd_endpoint->raw);
  odd_endpoint->end_at = LB_TIME_NEVER;
  odd_endpoint->world->last_disturbed_at = lb_clock_monotonic ();
}

void
sk_odd_endpoint_free (SkOddEndpoint *odd_endpoint)
{
  if (odd_endpoint->end_at != LB_TIME_NEVER)
    stop_endpoint (odd_endpoint);
  free (odd_endpoint);
}

void
sk_odd_endpoint_start (SkOddEndpoint *odd_endpoint)
{
  SkWorld *world = odd_endpoint->world;
  const OddReply *reply
      = &odd_replies[sk_random_int (world, 0, sizeof odd_replies / sizeof odd_replies[0] - 1)];
  const OddReply *stream
      = &odd_streams[sk_random_int (world, 0, sizeof odd_streams / sizeof odd_streams[0] - 1)];
  bool is_engine = sk_random_int (world, 0, 1);
  LbName name;

  if (odd_endpoint->end_at != LB_TIME_NEVER)
    return;
  snprintf (name, sizeof name, "i-odd-%d", odd_endpoint->n_starts++);
  if (!si_raw_endpoint_init (&odd_endpoint->raw, world->base, &world->store, name))
    return;
  /* Of a plain service, each of the streams is an answer. */
  if (is_engine && sk_random_int (world, 0, 1))
    reply = stream;
  odd_endpoint->raw.reply = reply->reply;
  odd_endpoint->raw.end = reply->end;
  odd_endpoint->raw.filler = reply->filler;
  si_raw_endpoint_register (&odd_endpoint->raw, is_engine ? "engines" : "lookups",
                            is_engine ? SK_MODEL : "", 4);
  sk_log (world, "%s of %s replies: %s", name, is_engine ? "engines" : "lookups", reply->reply);
  world->last_disturbed_at = lb_clock_monotonic ();
  odd_endpoint->end_at = world->last_disturbed_at + sk_random_int (world, 300, 3000) * LB_MSEC;
}

void
sk_odd_endpoint_tick (SkOddEndpoint *odd_endpoint, bool is_ending, LbTime now)
{
  if (odd_endpoint->end_at != LB_TIME_NEVER && (is_ending || now >= odd_endpoint->end_at))
    stop_endpoint (odd_endpoint);
}

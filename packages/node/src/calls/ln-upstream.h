#ifndef LN_UPSTREAM_H
#define LN_UPSTREAM_H

#include "lc-dispatch.h"
#include "lh-fetch.h"
#include "ln-dialect.h"

struct evbuffer;
struct json_object;

/* One attempt of a request at an endpoint: an engine's stream or a plain service's reply. */
typedef struct LnUpstream LnUpstream;

typedef struct
{
  LcRequestId request;
  uint32_t attempt;
  const char *endpoint;
  const char *address;
  const char *method;
  const char *path;
  const LhHeader *headers;
  size_t n_headers;
  const char *body;
  size_t body_length;
  const char *stream_id;   /* request_id of the attempt at an engine; NULL: plain service */
  LbTime idle_timeout;     /* the attempt fails after this time without a received byte */
  const char *external_id; /* id of the request in logs; with a dialect also in the reply */
  /* With a dialect only: */
  const LnDialect *dialect;
  const char *host; /* value of the Host header */
  bool is_stream;   /* the reply is an engine's stream of events */
} LnUpstreamSpec;

typedef struct
{
  /* A piece of an engine's answer; event: as the engine sent it, valid during the call, NULL with a
   * dialect. */
  void (*on_piece) (LnUpstream *upstream,
                    const LcPiece *piece,
                    struct json_object *event,
                    const char *text,
                    void *user);
  /* Called last; the upstream is freed after it. */
  void (*on_end) (LnUpstream *upstream, LcAttemptEnd end, void *user);
} LnUpstreamHandlers;

LnUpstream *ln_upstream_start (LhPool *pool,
                               const LnUpstreamSpec *spec,
                               const LnUpstreamHandlers *handlers,
                               void *user,
                               LbError *error);
/* Closes the connection, on which the engine cancels its work. Calls no handler. */
void ln_upstream_cancel (LnUpstream *upstream);

/* Reads the endpoint's load from the reply headers, if they were received and state it. */
void ln_upstream_read_load (const LnUpstream *upstream, LnReportedLoad *load);
/* The score in a scorer's reply; NULL: none. */
const char *ln_upstream_read_score (const LnUpstream *upstream);
uint32_t ln_upstream_attempt (const LnUpstream *upstream);
const char *ln_upstream_endpoint (const LnUpstream *upstream);
const char *ln_upstream_address (const LnUpstream *upstream);
/* The connection was lost before the reply was complete; false for a timeout. */
bool ln_upstream_has_lost_connection (const LnUpstream *upstream);
/* The HTTP exchange with the endpoint, for the headers of a plain service's reply; valid in on_end.
 * An engine's call has one as well, but its reply headers are not forwarded. */
const LhFetch *ln_upstream_fetch (const LnUpstream *upstream);
int ln_upstream_status (const LnUpstream *upstream);
const char *ln_upstream_body (LnUpstream *upstream, size_t *length);

#endif

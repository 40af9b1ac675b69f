#ifndef LN_UPSTREAM_H
#define LN_UPSTREAM_H

#include "lc-dispatch.h"
#include "lh-fetch.h"
#include "ln-dialect.h"

struct evbuffer;
struct json_object;

/* One attempt of one request at one endpoint: an engine's stream, or a plain service's reply. */
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
  const char *stream_id; /* the request_id sent to an engine; NULL: a plain service */
  LbTime silence;
  const char *name; /* of the request, in logs; in a dialect the reply names it too */
  /* In a dialect: */
  const LnDialect *dialect;
  const char *host;
  bool is_stream;
} LnUpstreamSpec;

typedef struct
{
  /* A piece of an engine's answer; event is the engine's own, valid during the call. */
  void (*on_piece) (LnUpstream *upstream,
                    const LcPiece *piece,
                    struct json_object *event,
                    const char *text,
                    void *user);
  /* The last call; the upstream is freed after it. */
  void (*on_end) (LnUpstream *upstream, LcAttemptEnd end, void *user);
} LnUpstreamHandlers;

LnUpstream *ln_upstream_start (LhPool *pool,
                               const LnUpstreamSpec *spec,
                               const LnUpstreamHandlers *handlers,
                               void *user,
                               LbError *error);
/* Closes the connection, which cancels the engine's work; no handler is called any more. */
void ln_upstream_cancel (LnUpstream *upstream);

/* What the reply states of the endpoint's load, as far as it came. */
void ln_upstream_load (const LnUpstream *upstream, LnReportedLoad *load);
/* The score in a scorer's reply; NULL: there is none. */
const char *ln_upstream_score (const LnUpstream *upstream);
uint32_t ln_upstream_attempt (const LnUpstream *upstream);
const char *ln_upstream_endpoint (const LnUpstream *upstream);
const char *ln_upstream_address (const LnUpstream *upstream);
/* The connection was lost before the whole reply had come; not: it was silent for too long. */
bool ln_upstream_was_closed (const LnUpstream *upstream);
/* A plain service's reply; valid in on_end. */
const LhFetch *ln_upstream_fetch (const LnUpstream *upstream);
int ln_upstream_status (const LnUpstream *upstream);
const char *ln_upstream_body (LnUpstream *upstream, size_t *length);

#endif

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
  const char *stream_id; /* request_id sent to an engine; NULL: plain service or shared platform */
  LbTime idle_timeout;   /* the attempt fails after this time without a received byte */
  const char *external_id; /* request id in logs; on a shared platform, replies must match it */
  /* The members below are used only on a shared platform. */
  const LnDialect *dialect;
  const char *host;    /* value of the Host header */
  bool is_stream;      /* the reply is an engine's stream of events */
  bool is_conditional; /* the endpoint may refuse the request for a condition that the caller set */
} LnUpstreamSpec;

typedef struct
{
  /* Called for each piece of an engine's answer. event: the engine's JSON event that contains
   * the piece, valid during the callback; NULL on a shared platform. */
  void (*on_piece) (LnUpstream *upstream,
                    const LcPiece *piece,
                    struct json_object *event,
                    const char *text,
                    void *user);
  /* Called once, as the last callback; the upstream is freed when it returns. */
  void (*on_end) (LnUpstream *upstream, LcAttemptEnd end, void *user);
} LnUpstreamHandlers;

LnUpstream *ln_upstream_start (LhPool *pool,
                               const LnUpstreamSpec *spec,
                               const LnUpstreamHandlers *handlers,
                               void *user,
                               LbError *error);
/* Closes the connection, which makes the engine cancel the request; no handler is called after
 * this. A handler may cancel its own upstream, which then stays valid, without reply headers, until
 * the handler returns; elsewhere the upstream must not be used afterwards. No effect in on_end. */
void ln_upstream_cancel (LnUpstream *upstream);

/* Reads the endpoint's load from the reply headers. Sets load->is_reported to false if they do not
 * state the load or were not received. */
void ln_upstream_read_load (const LnUpstream *upstream, LnReportedLoad *load);
/* Returns the score in a scorer's reply; NULL: the call failed or the reply has no score. */
const char *ln_upstream_read_score (const LnUpstream *upstream);
uint32_t ln_upstream_get_attempt_number (const LnUpstream *upstream);
const char *ln_upstream_get_endpoint_name (const LnUpstream *upstream);
const char *ln_upstream_get_endpoint_address (const LnUpstream *upstream);
/* Whether the connection was lost before the reply was complete; false for a timeout. */
bool ln_upstream_has_lost_connection (const LnUpstream *upstream);
/* Returns the HTTP request to the endpoint, from which the reply headers of a plain service are
 * read and forwarded. Reply headers of an engine are not forwarded. Valid in on_end. */
const LhFetch *ln_upstream_get_fetch (const LnUpstream *upstream);
int ln_upstream_get_http_status (const LnUpstream *upstream);
const char *ln_upstream_get_reply_body (LnUpstream *upstream, size_t *length);

#endif

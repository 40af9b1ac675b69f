#ifndef LH_FETCH_H
#define LH_FETCH_H

#include "lb-error.h"

struct event_base;
struct evbuffer;

/* Pool of idle HTTP connections that later requests to the same address reuse. A pool belongs to
 * one event loop. */
typedef struct LhPool LhPool;

/* One HTTP request and its response. Freed after on_done returns, or by lh_fetch_cancel, but never
 * while one of its handlers runs: then it is freed when the handler returns. */
typedef struct LhFetch LhFetch;

typedef struct
{
  const char *name;
  const char *value;
} LhHeader;

typedef struct
{
  LbErrorCode failure; /* LB_OK: complete response; else IO, TIMEOUT, CLOSED or BODY_TOO_LARGE */
  bool bytes_handed;   /* at least one byte of the request may have been sent */
  int status;          /* HTTP status; 0: no complete response */
  const char *body;    /* excludes chunks passed to on_body_chunk; not NUL-terminated; owned by the
                          fetch, valid until on_done returns */
  size_t body_length;
} LhResult;

typedef struct
{
  /* Called for each chunk of the response body. NULL: the whole body is passed to on_done. */
  void (*on_body_chunk) (LhFetch *fetch, const char *bytes, size_t length, void *user);
  /* Called exactly once, unless the fetch is cancelled. */
  void (*on_done) (LhFetch *fetch, const LhResult *result, void *user);
} LhHandlers;

typedef struct
{
  const char *method;  /* HTTP method that lh_method_is_supported accepts, such as "GET" */
  const char *address; /* IP:PORT of the server, such as "127.0.0.1:8080" */
  const char *path;    /* request target, query included */
  const char *host;    /* value of the Host header; NULL: the address */
  const LhHeader *headers;
  size_t n_headers;
  const char *body;
  size_t body_length;
  LbTime connect_timeout; /* time limit for the TCP connect; 0: only idle_timeout applies */
  LbTime idle_timeout;    /* longest time without a byte sent or received; 0: 30 s */
  LbTime max_duration;    /* longest time until the response is complete; 0: no limit */
  bool fresh_connection;  /* true: no idle connection is reused, since it may be dead */
} LhRequest;

bool lh_method_is_supported (const char *name);

LhPool *lh_pool_new (struct event_base *base);
void lh_pool_free (LhPool *pool);
/* Closes the idle connections to the address; NULL: the idle connections to all addresses. */
void lh_pool_close_idle_connections (LhPool *pool, const char *address);
/* Returns the number of idle connections to the address that have not exceeded their idle time. */
size_t lh_pool_count_idle_connections (const LhPool *pool, const char *address);

LhFetch *lh_fetch_start (
    LhPool *pool, const LhRequest *request, const LhHandlers *handlers, void *user, LbError *error);
/* Closes the connection and frees the fetch; no handler is called after this. A handler may cancel
 * its own fetch: until it returns, the fetch stays valid, without response headers. In on_done,
 * which runs after the fetch has ended, this has no effect. */
void lh_fetch_cancel (LhFetch *fetch);
/* Returns the value of a response header; NULL if absent. May be called from on_body_chunk and
 * on_done; the text is valid until the handler returns. */
const char *lh_fetch_get_response_header (const LhFetch *fetch, const char *name);
void
lh_fetch_visit_response_headers (const LhFetch *fetch,
                                 void (*visit) (const char *name, const char *value, void *user),
                                 void *user);
int lh_fetch_get_response_status (const LhFetch *fetch);

#endif

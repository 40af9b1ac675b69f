#ifndef LH_FETCH_H
#define LH_FETCH_H

#include "lb-error.h"

struct event_base;
struct evbuffer;

/* Pool of reusable idle connections by address. Belongs to one event loop. */
typedef struct LhPool LhPool;

/* One HTTP exchange with an address. Freed after on_done, or by lh_fetch_cancel. */
typedef struct LhFetch LhFetch;

typedef struct
{
  const char *name;
  const char *value;
} LhHeader;

typedef struct
{
  LbErrorCode failure; /* LB_OK: complete response; else IO, TIMEOUT, CLOSED, BODY_TOO_LARGE */
  bool bytes_handed;   /* some byte of the request was handed to a socket */
  int status;          /* HTTP status; 0: no response */
  const char *body; /* without the chunks passed to on_body_chunk; not NUL-terminated; valid during
                       the call */
  size_t body_length;
} LhResult;

typedef struct
{
  /* A chunk of the response's body. NULL: the whole body is passed to on_done. */
  void (*on_body_chunk) (LhFetch *fetch, const char *bytes, size_t length, void *user);
  /* Called exactly once unless cancelled. */
  void (*on_done) (LhFetch *fetch, const LhResult *result, void *user);
} LhHandlers;

typedef struct
{
  const char *method;  /* "GET", "POST", "PUT", "DELETE" */
  const char *address; /* "127.0.0.1:8080" */
  const char *path;    /* with the query */
  const char *host;    /* NULL: the address */
  const LhHeader *headers;
  size_t n_headers;
  const char *body;
  size_t body_length;
  LbTime connect_timeout; /* until the first byte can be handed to the socket; 0: idle_timeout */
  LbTime idle_timeout;    /* longest time with no byte in either direction; 0: 30 s */
  bool fresh_connection;  /* don't reuse an idle connection, which may have gone silent */
} LhRequest;

bool lh_method_is_supported (const char *name);

LhPool *lh_pool_new (struct event_base *base);
void lh_pool_free (LhPool *pool);
/* Closes the idle connections to the address; NULL: to all addresses. */
void lh_pool_close_idle_connections (LhPool *pool, const char *address);
/* Number of idle connections to the address that are still usable. */
size_t lh_pool_count_idle_connections (const LhPool *pool, const char *address);

LhFetch *lh_fetch_start (
    LhPool *pool, const LhRequest *request, const LhHandlers *handlers, void *user, LbError *error);
/* Closes the connection and frees the fetch without calling a handler. */
void lh_fetch_cancel (LhFetch *fetch);
/* Returns a header of the response; NULL if absent. Valid in the handlers. */
const char *lh_fetch_get_response_header (const LhFetch *fetch, const char *name);
void
lh_fetch_visit_response_headers (const LhFetch *fetch,
                                 void (*visit) (const char *name, const char *value, void *user),
                                 void *user);
int lh_fetch_get_response_status (const LhFetch *fetch);

#endif

#ifndef LH_FETCH_H
#define LH_FETCH_H

#include "lb-error.h"

struct event_base;
struct evbuffer;

/* Keeps idle connections to each address for reuse. One pool belongs to one event loop. */
typedef struct LhPool LhPool;

/* One HTTP exchange towards an address. Freed by itself after on_done, or by lh_fetch_cancel. */
typedef struct LhFetch LhFetch;

typedef struct
{
  const char *name;
  const char *value;
} LhHeader;

typedef struct
{
  LbErrorCode failure; /* LB_OK when a whole reply came; else IO, TIMEOUT, CLOSED, BODY_TOO_LARGE */
  bool bytes_handed;   /* any byte of the request was handed to a socket */
  int status;          /* HTTP status; 0 when none came */
  const char *body; /* what was not taken by on_body_chunk; not NUL-ended; valid during the call */
  size_t body_length;
} LhResult;

typedef struct
{
  /* A piece of the body of a reply. NULL: the body is gathered and given to on_done. */
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
  LbTime connect_timeout; /* longest time until the request can be handed over; 0: idle_timeout */
  LbTime idle_timeout;    /* longest time with no byte in either direction; 0: 30 s */
  bool fresh_connection;  /* do not reuse a kept connection: it may have gone silent */
} LhRequest;

bool lh_method_is_known (const char *name);

LhPool *lh_pool_new (struct event_base *base);
void lh_pool_free (LhPool *pool);
/* Drops kept idle connections to one address, or to all when address is NULL. */
void lh_pool_drop_idle (LhPool *pool, const char *address);
/* Kept connections to the address that the next requests would use. */
size_t lh_pool_count_idle (const LhPool *pool, const char *address);

LhFetch *lh_fetch_start (
    LhPool *pool, const LhRequest *request, const LhHandlers *handlers, void *user, LbError *error);
/* Closes the connection; no handler is called any more. */
void lh_fetch_cancel (LhFetch *fetch);
/* A header of the reply, NULL when absent. Valid in the handlers. */
const char *lh_fetch_header (const LhFetch *fetch, const char *name);
void lh_fetch_each_header (const LhFetch *fetch,
                           void (*visit) (const char *name, const char *value, void *user),
                           void *user);
int lh_fetch_status (const LhFetch *fetch);

#endif

#include "lh-fetch.h"

#include "lb-alloc.h"
#include "lb-list.h"
#include "lh-socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#define DEFAULT_SILENCE (30 * LB_SEC)
#define MAX_BODY_BYTES (64 << 20)
#define MAX_HEADER_BYTES (64 << 10)
#define MAX_IDLE_PER_POOL 512
#define IDLE_LIFE (20 * LB_SEC)

typedef struct
{
  LbLink link; /* in LhPool.idle or LhPool.closing */
  LhPool *pool;
  struct evhttp_connection *evcon;
  LbName address;
  struct timeval idle_since;
} Connection;

struct LhPool
{
  struct event_base *base;
  struct event *reaper;
  struct event *closer;
  LbList idle;
  LbList closing; /* freed outside of evhttp's own callbacks */
  LbList fetches;
  LbList failed; /* fetches that ended inside lh_fetch_start */
};

struct LhFetch
{
  LbLink link; /* in LhPool.fetches, or in LhPool.failed */
  LhPool *pool;
  Connection *connection;
  struct evhttp_request *request;
  LhHandlers handlers;
  void *user;
  bool bytes_handed;
  bool starting;
  LbErrorCode failure;
};

static bool
method_from_name (const char *name, enum evhttp_cmd_type *method)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type method;
  } methods[] = { { "GET", EVHTTP_REQ_GET },        { "POST", EVHTTP_REQ_POST },
                  { "PUT", EVHTTP_REQ_PUT },        { "DELETE", EVHTTP_REQ_DELETE },
                  { "PATCH", EVHTTP_REQ_PATCH },    { "HEAD", EVHTTP_REQ_HEAD },
                  { "OPTIONS", EVHTTP_REQ_OPTIONS } };

  for (size_t i = 0; i < sizeof methods / sizeof methods[0]; i++)
    if (strcmp (methods[i].name, name) == 0)
      {
        *method = methods[i].method;
        return true;
      }
  return false;
}

/* Whether a request with this method can be sent. */
bool
lh_method_is_known (const char *name)
{
  enum evhttp_cmd_type method;

  return method_from_name (name, &method);
}

static bool
split_address (const char *address, char *host, size_t size, int *port)
{
  const char *colon = strrchr (address, ':');
  char *end = NULL;

  if (!colon || colon == address || (size_t)(colon - address) >= size)
    return false;
  long number = strtol (colon + 1, &end, 10);
  if (*end != '\0' || end == colon + 1 || number < 1 || number > 65535)
    return false;
  memcpy (host, address, (size_t)(colon - address));
  host[colon - address] = '\0';
  *port = (int)number;
  return true;
}

static void
connection_free (Connection *connection)
{
  evhttp_connection_free (connection->evcon);
  free (connection);
}

static void
free_closing (LhPool *pool)
{
  LbLink *link;

  while ((link = lb_list_pop (&pool->closing)))
    connection_free (LB_CONTAINER (link, Connection, link));
}

static void
report_failed (LhPool *pool)
{
  LbLink *link;

  while ((link = lb_list_pop (&pool->failed)))
    {
      LhFetch *fetch = LB_CONTAINER (link, LhFetch, link);
      const LhResult result = { .failure = LB_ERROR_IO };
      fetch->handlers.on_done (fetch, &result, fetch->user);
      free (fetch);
    }
}

static void
close_now (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;

  free_closing (user);
  report_failed (user);
}

static void
reap (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LhPool *pool = user;
  struct timeval now;

  event_base_gettimeofday_cached (pool->base, &now);
  LB_LIST_FOREACH (&pool->idle, Connection, link, connection)
  {
    LbTime idle = (LbTime)(now.tv_sec - connection->idle_since.tv_sec) * LB_SEC;
    if (idle < IDLE_LIFE)
      continue;
    lb_list_remove (&pool->idle, &connection->link);
    lb_list_append (&pool->closing, &connection->link);
  }
  free_closing (pool);
}

LhPool *
lh_pool_new (struct event_base *base)
{
  LhPool *pool = LB_NEW (LhPool);
  const struct timeval period = { .tv_sec = 5 };

  pool->base = base;
  lb_list_init (&pool->idle);
  lb_list_init (&pool->closing);
  lb_list_init (&pool->fetches);
  lb_list_init (&pool->failed);
  pool->closer = event_new (base, -1, 0, close_now, pool);
  pool->reaper = event_new (base, -1, EV_PERSIST, reap, pool);
  event_add (pool->reaper, &period);
  return pool;
}

/* Cancels what still runs and closes everything. */
void
lh_pool_free (LhPool *pool)
{
  LbLink *link;

  if (!pool)
    return;
  while (!lb_list_is_empty (&pool->fetches))
    lh_fetch_cancel (LB_CONTAINER (pool->fetches.head.next, LhFetch, link));
  while ((link = lb_list_pop (&pool->failed)))
    free (LB_CONTAINER (link, LhFetch, link));
  while ((link = lb_list_pop (&pool->idle)))
    connection_free (LB_CONTAINER (link, Connection, link));
  free_closing (pool);
  event_free (pool->reaper);
  event_free (pool->closer);
  free (pool);
}

static void
close_later (Connection *connection)
{
  LhPool *pool = connection->pool;

  lb_list_append (&pool->closing, &connection->link);
  event_active (pool->closer, EV_TIMEOUT, 0);
}

void
lh_pool_forget (LhPool *pool, const char *address)
{
  LB_LIST_FOREACH (&pool->idle, Connection, link, connection)
  {
    if (address && strcmp (connection->address, address) != 0)
      continue;
    lb_list_remove (&pool->idle, &connection->link);
    close_later (connection);
  }
}

/* Returning a connection that the other side is closing would fail the next request, so only one
 * whose reply allows keep-alive goes back. */
static void
connection_return (Connection *connection, bool reusable)
{
  LhPool *pool = connection->pool;

  if (!reusable || pool->idle.length >= MAX_IDLE_PER_POOL)
    {
      close_later (connection);
      return;
    }
  event_base_gettimeofday_cached (pool->base, &connection->idle_since);
  lb_list_prepend (&pool->idle, &connection->link);
}

/* The peer closed a connection while it was idle in the pool. */
static void
on_connection_closed (struct evhttp_connection *evcon, void *user)
{
  (void)evcon;
  Connection *connection = user;

  LB_LIST_FOREACH (&connection->pool->idle, Connection, link, idle)
  {
    if (idle != connection)
      continue;
    lb_list_remove (&connection->pool->idle, &connection->link);
    close_later (connection);
  }
}

static Connection *
connection_new (LhPool *pool, const char *address, LbError *error)
{
  char host[LB_NAME_MAX];
  int port;

  if (!split_address (address, host, sizeof host, &port))
    {
      lb_error_set (error, LB_ERROR_BAD_VALUE, address, "expected an address of the form IP:PORT");
      return NULL;
    }
  Connection *connection = LB_NEW (Connection);
  connection->pool = pool;
  LB_COPY (connection->address, address);
  connection->evcon
      = evhttp_connection_base_bufferevent_new (pool->base, NULL, NULL, host, (uint16_t)port);
  evhttp_connection_set_max_headers_size (connection->evcon, MAX_HEADER_BYTES);
  evhttp_connection_set_closecb (connection->evcon, on_connection_closed, connection);
  return connection;
}

static Connection *
connection_take (LhPool *pool, const char *address, bool fresh, LbError *error)
{
  if (!fresh)
    LB_LIST_FOREACH (&pool->idle, Connection, link, connection)
    {
      if (strcmp (connection->address, address) != 0)
        continue;
      lb_list_remove (&pool->idle, &connection->link);
      return connection;
    }
  return connection_new (pool, address, error);
}

static void
set_silence (Connection *connection, LbTime silence)
{
  const struct timeval limit
      = { .tv_sec = silence / LB_SEC, .tv_usec = (suseconds_t)(silence % LB_SEC) };

  evhttp_connection_set_timeout_tv (connection->evcon, &limit);
}

/* "Not run" is a proof: it needs to know whether any byte was handed to the socket. evhttp fills
 * the output buffer only once connected, so the first byte added there is the first that may have
 * left. */
static void
on_output (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  (void)buffer;
  LhFetch *fetch = user;

  if (info->n_added > 0)
    fetch->bytes_handed = true;
}

static void
watch_output (LhFetch *fetch, bool watch)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (fetch->connection->evcon);
  struct evbuffer *output = bufferevent_get_output (bev);

  if (watch)
    evbuffer_add_cb (output, on_output, fetch);
  else
    evbuffer_remove_cb (output, on_output, fetch);
}

static bool
is_reusable (struct evhttp_request *request)
{
  const char *value;

  if (!request || evhttp_request_get_response_code (request) == 0)
    return false;
  value = evhttp_find_header (evhttp_request_get_input_headers (request), "Connection");
  return !value || strcasecmp (value, "close") != 0;
}

/* evhttp calls back from inside evhttp_make_request when it can't even open a socket, all file
 * descriptors being used for example. The starter does not know the fetch yet, so it hears of it
 * from the event loop. */
static void
fail_start (LhFetch *fetch)
{
  watch_output (fetch, false);
  close_later (fetch->connection);
  fetch->connection = NULL;
  fetch->request = NULL;
  lb_list_remove (&fetch->pool->fetches, &fetch->link);
  lb_list_append (&fetch->pool->failed, &fetch->link);
  event_active (fetch->pool->closer, EV_TIMEOUT, 0);
}

static void
finish (LhFetch *fetch, struct evhttp_request *request)
{
  LhResult result = { .bytes_handed = fetch->bytes_handed };
  Connection *connection = fetch->connection;

  watch_output (fetch, false);
  lb_list_remove (&fetch->pool->fetches, &fetch->link);
  if (request && evhttp_request_get_response_code (request) != 0 && fetch->failure == LB_OK)
    {
      struct evbuffer *input = evhttp_request_get_input_buffer (request);
      result.status = evhttp_request_get_response_code (request);
      result.body_length = evbuffer_get_length (input);
      result.body = result.body_length ? (const char *)evbuffer_pullup (input, -1) : "";
    }
  else
    result.failure = fetch->failure != LB_OK ? fetch->failure : LB_ERROR_IO;
  connection_return (connection, result.failure == LB_OK && is_reusable (request));
  fetch->request = request;
  fetch->handlers.on_done (fetch, &result, fetch->user);
  free (fetch);
}

static void
on_request_done (struct evhttp_request *request, void *user)
{
  LhFetch *fetch = user;

  if (fetch->starting)
    fetch->failure = LB_ERROR_IO;
  else
    finish (fetch, request);
}

static void
on_chunk (struct evhttp_request *request, void *user)
{
  LhFetch *fetch = user;
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);

  if (length == 0)
    return;
  /* The handler may cancel the fetch, which frees the request and this buffer with it. */
  char *bytes = lb_malloc (length);
  evbuffer_remove (input, bytes, length);
  fetch->handlers.on_piece (fetch, bytes, length, fetch->user);
  free (bytes);
}

static void
on_request_error (enum evhttp_request_error problem, void *user)
{
  LhFetch *fetch = user;

  switch (problem)
    {
    case EVREQ_HTTP_TIMEOUT:
      fetch->failure = LB_ERROR_TIMEOUT;
      break;
    case EVREQ_HTTP_EOF:
      fetch->failure = LB_ERROR_CLOSED;
      break;
    case EVREQ_HTTP_DATA_TOO_LONG:
      fetch->failure = LB_ERROR_BODY_TOO_LARGE;
      break;
    case EVREQ_HTTP_INVALID_HEADER:
    case EVREQ_HTTP_BUFFER_ERROR:
    case EVREQ_HTTP_REQUEST_CANCEL:
      fetch->failure = LB_ERROR_IO;
      break;
    }
}

static void
add_headers (struct evhttp_request *request, const LhRequest *wanted)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  char length[32];

  evhttp_add_header (headers, "Host", wanted->address);
  for (size_t i = 0; i < wanted->n_headers; i++)
    evhttp_add_header (headers, wanted->headers[i].name, wanted->headers[i].value);
  if (wanted->body_length == 0)
    return;
  /* evhttp adds the length itself only for the methods that usually have a body. */
  snprintf (length, sizeof length, "%zu", wanted->body_length);
  evhttp_add_header (headers, "Content-Length", length);
  evbuffer_add (evhttp_request_get_output_buffer (request), wanted->body, wanted->body_length);
}

/* Starts an exchange; NULL and a typed error only when the request itself is malformed. All else,
 * a refused connection included, comes through on_done, never from inside this call. */
LhFetch *
lh_fetch_start (
    LhPool *pool, const LhRequest *wanted, const LhHandlers *handlers, void *user, LbError *error)
{
  enum evhttp_cmd_type method;
  LhFetch *fetch = NULL;

  if (!method_from_name (wanted->method, &method))
    {
      lb_error_set (error, LB_ERROR_BAD_VALUE, wanted->method, "expected a known HTTP method");
      return NULL;
    }
  Connection *connection = connection_take (pool, wanted->address, wanted->fresh_connection, error);
  if (!connection)
    return NULL;

  fetch = LB_NEW (LhFetch);
  fetch->pool = pool;
  fetch->connection = connection;
  fetch->handlers = *handlers;
  fetch->user = user;
  lb_list_append (&pool->fetches, &fetch->link);
  set_silence (connection, wanted->silence > 0 ? wanted->silence : DEFAULT_SILENCE);
  fetch->request = evhttp_request_new (on_request_done, fetch);
  evhttp_request_set_error_cb (fetch->request, on_request_error);
  if (handlers->on_piece)
    evhttp_request_set_chunked_cb (fetch->request, on_chunk);
  add_headers (fetch->request, wanted);
  watch_output (fetch, true);
  evhttp_connection_set_max_body_size (connection->evcon, handlers->on_piece ? -1 : MAX_BODY_BYTES);
  fetch->starting = true;
  if (evhttp_make_request (connection->evcon, fetch->request, method, wanted->path) != 0)
    fetch->failure = LB_ERROR_IO;
  fetch->starting = false;
  if (fetch->failure != LB_OK)
    fail_start (fetch);
  else
    lh_socket_find_silence (
        bufferevent_getfd (evhttp_connection_get_bufferevent (connection->evcon)));
  return fetch;
}

void
lh_fetch_cancel (LhFetch *fetch)
{
  if (!fetch->connection)
    {
      lb_list_remove (&fetch->pool->failed, &fetch->link);
      free (fetch);
      return;
    }
  watch_output (fetch, false);
  lb_list_remove (&fetch->pool->fetches, &fetch->link);
  /* Freeing the connection frees its request; a half-read stream can't be reused anyway. */
  evhttp_request_set_error_cb (fetch->request, NULL);
  evhttp_cancel_request (fetch->request);
  close_later (fetch->connection);
  free (fetch);
}

const char *
lh_fetch_header (const LhFetch *fetch, const char *name)
{
  if (!fetch->request)
    return NULL;
  return evhttp_find_header (evhttp_request_get_input_headers (fetch->request), name);
}

void
lh_fetch_each_header (const LhFetch *fetch,
                      void (*visit) (const char *name, const char *value, void *user),
                      void *user)
{
  struct evkeyval *header;

  if (!fetch->request)
    return;
  TAILQ_FOREACH (header, evhttp_request_get_input_headers (fetch->request), next)
  {
    visit (header->key, header->value, user);
  }
}

int
lh_fetch_status (const LhFetch *fetch)
{
  return fetch->request ? evhttp_request_get_response_code (fetch->request) : 0;
}

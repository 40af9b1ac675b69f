#include "lh-pool.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-switch.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#define MAX_HEADER_BYTES (64 << 10)
#define MAX_IDLE_PER_POOL 512
#define IDLE_LIFE (20 * LB_SEC)
/* A stated idle time ends this much earlier here: the next request travels for a while, and the
 * server counts from when it wrote its reply. Half the shortest time the header can state. */
#define IDLE_MARGIN (500 * LB_MSEC)
#define REAP_SECONDS 5

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
connection_free (LhConnection *connection)
{
  evhttp_connection_free (connection->evcon);
  free (connection);
}

static void
free_closing (LhPool *pool)
{
  LbLink *link;

  while ((link = lb_list_pop (&pool->closing)))
    connection_free (LB_CONTAINER (link, LhConnection, link));
}

static void
close_now (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;

  free_closing (user);
  lh_fetch_report_failed (user);
}

static void
leave_idle (LhConnection *connection)
{
  connection->is_idle = false;
  lb_list_remove (&connection->pool->idle, &connection->link);
}

/* Whether the server may be closing the connection by now. */
static bool
has_idled_out (const LhConnection *connection, LbTime now)
{
  return now - connection->idle_since >= connection->idle_life;
}

static void
reap (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LhPool *pool = user;
  LbTime now = lb_clock_monotonic ();

  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    if (!has_idled_out (connection, now))
      continue;
    leave_idle (connection);
    lb_list_append (&pool->closing, &connection->link);
  }
  free_closing (pool);
}

LhPool *
lh_pool_new (struct event_base *base)
{
  LhPool *pool = LB_NEW (LhPool);
  const struct timeval period = { .tv_sec = REAP_SECONDS };

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
  if (!pool)
    return;
  lh_fetch_drop_all (pool);
  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    leave_idle (connection);
    connection_free (connection);
  }
  free_closing (pool);
  event_free (pool->reaper);
  event_free (pool->closer);
  free (pool);
}

void
lh_pool_wake (LhPool *pool)
{
  event_active (pool->closer, EV_TIMEOUT, 0);
}

void
lh_pool_close_later (LhConnection *connection)
{
  LhPool *pool = connection->pool;

  lb_list_append (&pool->closing, &connection->link);
  lh_pool_wake (pool);
}

void
lh_pool_drop_idle (LhPool *pool, const char *address)
{
  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    if (address && strcmp (connection->address, address) != 0)
      continue;
    leave_idle (connection);
    lh_pool_close_later (connection);
  }
}

LbTime
lh_pool_idle_life (const char *keep_alive)
{
  const char *timeout = keep_alive ? strcasestr (keep_alive, "timeout=") : NULL;
  const char *digits = timeout ? timeout + strlen ("timeout=") : "";
  char *end = NULL;
  long seconds = strtol (digits, &end, 10);

  if (end == digits || seconds < 0 || seconds > IDLE_LIFE / LB_SEC)
    return IDLE_LIFE;
  return seconds * LB_SEC - IDLE_MARGIN;
}

/* The one used last is the likeliest to be used again. */
static void
close_oldest (LhPool *pool)
{
  LhConnection *oldest = LB_CONTAINER (pool->idle.head.prev, LhConnection, link);

  leave_idle (oldest);
  lh_pool_close_later (oldest);
}

/* Returning a connection that the other side is closing would fail the next request, so only one
 * whose reply allows keep-alive goes back, for as long as its server keeps it. */
void
lh_pool_give_back (LhConnection *connection, LbTime idle_life)
{
  static const struct timeval idle_limit = { .tv_sec = 2 * IDLE_LIFE / LB_SEC };
  LhPool *pool = connection->pool;

  if (!lb_switch_is_on (LB_SWITCH_IDLE_CONNECTIONS) || idle_life <= 0)
    {
      lh_pool_close_later (connection);
      return;
    }
  if (pool->idle.length >= MAX_IDLE_PER_POOL)
    close_oldest (pool);
  /* evhttp keeps the silence limit of the last exchange on an idle connection and closes it then.
   */
  evhttp_connection_set_timeout_tv (connection->evcon, &idle_limit);
  connection->idle_since = lb_clock_monotonic ();
  connection->idle_life = idle_life;
  connection->is_idle = true;
  lb_list_prepend (&pool->idle, &connection->link);
}

/* The peer closed a connection while it was idle in the pool. */
static void
on_connection_closed (struct evhttp_connection *evcon, void *user)
{
  (void)evcon;
  LhConnection *connection = user;

  if (!connection->is_idle)
    return;
  leave_idle (connection);
  lh_pool_close_later (connection);
}

static LhConnection *
connection_new (LhPool *pool, const char *address, LbError *error)
{
  char host[LB_NAME_MAX];
  int port;

  if (!split_address (address, host, sizeof host, &port))
    {
      lb_error_set (error, LB_ERROR_BAD_VALUE, address, "expected an address of the form IP:PORT");
      return NULL;
    }
  LhConnection *connection = LB_NEW (LhConnection);
  connection->pool = pool;
  LB_COPY (connection->address, address);
  connection->evcon
      = evhttp_connection_base_bufferevent_new (pool->base, NULL, NULL, host, (uint16_t)port);
  evhttp_connection_set_max_headers_size (connection->evcon, MAX_HEADER_BYTES);
  evhttp_connection_set_closecb (connection->evcon, on_connection_closed, connection);
  return connection;
}

size_t
lh_pool_count_idle (const LhPool *pool, const char *address)
{
  LbTime now = lb_clock_monotonic ();
  size_t n = 0;

  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    n += strcmp (connection->address, address) == 0 && !has_idled_out (connection, now);
  }
  return n;
}

LhConnection *
lh_pool_take (LhPool *pool, const char *address, bool fresh, LbError *error)
{
  LbTime now = lb_clock_monotonic ();

  if (!fresh)
    LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
    {
      if (strcmp (connection->address, address) != 0 || has_idled_out (connection, now))
        continue;
      leave_idle (connection);
      return connection;
    }
  return connection_new (pool, address, error);
}

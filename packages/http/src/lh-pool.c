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
#define MAX_IDLE_TIME (20 * LB_SEC)
/* A Keep-Alive timeout is shortened by this: the next request takes time to arrive, and the server
 * counts from when it wrote its response. Half the shortest timeout that the header can state. */
#define KEEP_ALIVE_MARGIN (500 * LB_MSEC)
#define EXPIRY_CHECK_SECONDS 5

static bool
parse_address (const char *address, char *host, size_t size, int *port)
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
free_closing_connections (LhPool *pool)
{
  LbLink *link;

  while ((link = lb_list_pop (&pool->closing)))
    connection_free (LB_CONTAINER (link, LhConnection, link));
}

static void
on_cleanup (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;

  free_closing_connections (user);
  lh_fetch_report_failed (user);
}

static void
remove_from_idle (LhConnection *connection)
{
  connection->is_idle = false;
  lb_list_remove (&connection->pool->idle, &connection->link);
}

/* Whether the server may already be closing the connection. */
static bool
is_idle_time_over (const LhConnection *connection, LbTime now)
{
  return now - connection->idle_since >= connection->max_idle_time;
}

/* Closes the connections that were idle for their max_idle_time. */
static void
on_expiry_check (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LhPool *pool = user;
  LbTime now = lb_clock_monotonic ();

  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    if (!is_idle_time_over (connection, now))
      continue;
    remove_from_idle (connection);
    lb_list_append (&pool->closing, &connection->link);
  }
  free_closing_connections (pool);
}

LhPool *
lh_pool_new (struct event_base *base)
{
  LhPool *pool = LB_NEW (LhPool);
  const struct timeval period = { .tv_sec = EXPIRY_CHECK_SECONDS };

  pool->base = base;
  lb_list_init (&pool->idle);
  lb_list_init (&pool->closing);
  lb_list_init (&pool->fetches);
  lb_list_init (&pool->failed);
  pool->cleanup_event = event_new (base, -1, 0, on_cleanup, pool);
  pool->expiry_timer = event_new (base, -1, EV_PERSIST, on_expiry_check, pool);
  event_add (pool->expiry_timer, &period);
  return pool;
}

/* Cancels all fetches and closes all connections. */
void
lh_pool_free (LhPool *pool)
{
  if (!pool)
    return;
  lh_fetch_cancel_all (pool);
  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    remove_from_idle (connection);
    connection_free (connection);
  }
  free_closing_connections (pool);
  event_free (pool->expiry_timer);
  event_free (pool->cleanup_event);
  free (pool);
}

void
lh_pool_schedule_cleanup (LhPool *pool)
{
  event_active (pool->cleanup_event, EV_TIMEOUT, 0);
}

void
lh_pool_close_later (LhConnection *connection)
{
  LhPool *pool = connection->pool;

  lb_list_append (&pool->closing, &connection->link);
  lh_pool_schedule_cleanup (pool);
}

void
lh_pool_close_idle_connections (LhPool *pool, const char *address)
{
  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    if (address && strcmp (connection->address, address) != 0)
      continue;
    remove_from_idle (connection);
    lh_pool_close_later (connection);
  }
}

LbTime
lh_pool_parse_max_idle_time (const char *keep_alive)
{
  const char *timeout = keep_alive ? strcasestr (keep_alive, "timeout=") : NULL;
  const char *digits = timeout ? timeout + strlen ("timeout=") : "";
  char *end = NULL;
  long seconds = strtol (digits, &end, 10);

  if (end == digits || seconds < 0 || seconds > MAX_IDLE_TIME / LB_SEC)
    return MAX_IDLE_TIME;
  return seconds * LB_SEC - KEEP_ALIVE_MARGIN;
}

/* Recently used connections are kept, as they are the most likely to be reused. */
static void
close_longest_idle (LhPool *pool)
{
  LhConnection *longest_idle = LB_CONTAINER (pool->idle.head.prev, LhConnection, link);

  remove_from_idle (longest_idle);
  lh_pool_close_later (longest_idle);
}

/* Reusing a connection that the server is closing would fail the next request, so a connection is
 * kept only if its response allows it, and no longer than the server keeps it. */
void
lh_pool_release (LhConnection *connection, LbTime max_idle_time)
{
  static const struct timeval idle_timeout = { .tv_sec = 2 * MAX_IDLE_TIME / LB_SEC };
  LhPool *pool = connection->pool;

  if (!lb_switch_is_on (LB_SWITCH_IDLE_CONNECTIONS) || max_idle_time <= 0)
    {
      lh_pool_close_later (connection);
      return;
    }
  if (pool->idle.length >= MAX_IDLE_PER_POOL)
    close_longest_idle (pool);
  /* Otherwise evhttp would close it after the idle timeout of its last exchange. */
  evhttp_connection_set_timeout_tv (connection->evcon, &idle_timeout);
  connection->idle_since = lb_clock_monotonic ();
  connection->max_idle_time = max_idle_time;
  connection->is_idle = true;
  lb_list_prepend (&pool->idle, &connection->link);
}

/* The server closed the connection; only of interest while it is idle in the pool. */
static void
on_connection_closed (struct evhttp_connection *evcon, void *user)
{
  (void)evcon;
  LhConnection *connection = user;

  if (!connection->is_idle)
    return;
  remove_from_idle (connection);
  lh_pool_close_later (connection);
}

static LhConnection *
connection_new (LhPool *pool, const char *address, LbError *error)
{
  char host[LB_NAME_MAX];
  int port;

  if (!parse_address (address, host, sizeof host, &port))
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
lh_pool_count_idle_connections (const LhPool *pool, const char *address)
{
  LbTime now = lb_clock_monotonic ();
  size_t n = 0;

  LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
  {
    n += strcmp (connection->address, address) == 0 && !is_idle_time_over (connection, now);
  }
  return n;
}

LhConnection *
lh_pool_acquire (LhPool *pool, const char *address, bool must_be_new, LbError *error)
{
  LbTime now = lb_clock_monotonic ();

  if (!must_be_new)
    LB_LIST_FOREACH (&pool->idle, LhConnection, link, connection)
    {
      if (strcmp (connection->address, address) != 0 || is_idle_time_over (connection, now))
        continue;
      remove_from_idle (connection);
      return connection;
    }
  return connection_new (pool, address, error);
}

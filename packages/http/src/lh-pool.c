#include "lh-pool.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-switch.h"

#include <event2/event.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>

#define MAX_RESPONSE_HEADER_BYTES (64 << 10)
#define MAX_IDLE_CONNECTIONS 512
#define MAX_CONNECTION_IDLE_TIME (20 * LB_SEC)
/* Connections are closed this long before the timeout in the server's Keep-Alive header. The server
 * counts from the time it wrote its response, and the next request takes time to arrive. The margin
 * is half of the shortest timeout that the header can state, 1 s. */
#define KEEP_ALIVE_MARGIN (500 * LB_MSEC)
#define IDLE_EXPIRY_CHECK_INTERVAL_SECONDS 5

static bool
parse_host_and_port (const char *address, char *host, size_t size, int *port)
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
free_connection (LhConnection *connection)
{
  evhttp_connection_free (connection->evcon);
  free (connection);
}

static void
free_closing_connections (LhPool *pool)
{
  LbLink *link;

  while ((link = lb_list_pop (&pool->closing_connections)))
    free_connection (LB_CONTAINER (link, LhConnection, link));
}

static void
on_pool_cleanup_event (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;

  free_closing_connections (user);
  lh_fetch_report_failed_starts (user);
}

static void
remove_connection_from_idle_list (LhConnection *connection)
{
  connection->is_idle = false;
  lb_list_remove (&connection->pool->idle_connections, &connection->link);
}

/* Whether the connection was idle for so long that the server may already be closing it. */
static bool
has_exceeded_max_idle_time (const LhConnection *connection, LbTime now)
{
  return now - connection->idle_since >= connection->max_idle_time;
}

/* Closes the idle connections that have exceeded their max_idle_time. */
static void
on_idle_connection_expiry_check (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LhPool *pool = user;
  LbTime now = lb_clock_monotonic ();

  LB_LIST_FOREACH (&pool->idle_connections, LhConnection, link, connection)
  {
    if (!has_exceeded_max_idle_time (connection, now))
      continue;
    remove_connection_from_idle_list (connection);
    lb_list_append (&pool->closing_connections, &connection->link);
  }
  free_closing_connections (pool);
}

LhPool *
lh_pool_new (struct event_base *base)
{
  LhPool *pool = LB_NEW (LhPool);
  const struct timeval period = { .tv_sec = IDLE_EXPIRY_CHECK_INTERVAL_SECONDS };

  pool->base = base;
  lb_list_init (&pool->idle_connections);
  lb_list_init (&pool->closing_connections);
  lb_list_init (&pool->running_fetches);
  lb_list_init (&pool->failed_starts);
  pool->cleanup_event = event_new (base, -1, 0, on_pool_cleanup_event, pool);
  pool->expiry_timer = event_new (base, -1, EV_PERSIST, on_idle_connection_expiry_check, pool);
  event_add (pool->expiry_timer, &period);
  return pool;
}

/* Cancels all fetches without calling their handlers and closes all connections. */
void
lh_pool_free (LhPool *pool)
{
  if (!pool)
    return;
  lh_fetch_cancel_all (pool);
  LB_LIST_FOREACH (&pool->idle_connections, LhConnection, link, connection)
  {
    remove_connection_from_idle_list (connection);
    free_connection (connection);
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
lh_pool_schedule_connection_close (LhConnection *connection)
{
  LhPool *pool = connection->pool;

  lb_list_append (&pool->closing_connections, &connection->link);
  lh_pool_schedule_cleanup (pool);
}

void
lh_pool_close_idle_connections (LhPool *pool, const char *address)
{
  LB_LIST_FOREACH (&pool->idle_connections, LhConnection, link, connection)
  {
    if (address && strcmp (connection->address, address) != 0)
      continue;
    remove_connection_from_idle_list (connection);
    lh_pool_schedule_connection_close (connection);
  }
}

LbTime
lh_pool_parse_max_idle_time (const char *keep_alive)
{
  const char *timeout = keep_alive ? strcasestr (keep_alive, "timeout=") : NULL;
  const char *digits = timeout ? timeout + strlen ("timeout=") : "";
  char *end = NULL;
  long seconds = strtol (digits, &end, 10);

  if (end == digits || seconds < 0 || seconds > MAX_CONNECTION_IDLE_TIME / LB_SEC)
    return MAX_CONNECTION_IDLE_TIME;
  return seconds * LB_SEC - KEEP_ALIVE_MARGIN;
}

/* Makes room in a full pool by closing the least recently used connection, which is the least
 * likely to be reused. */
static void
close_longest_idle_connection (LhPool *pool)
{
  LhConnection *longest_idle = LB_CONTAINER (pool->idle_connections.head.prev, LhConnection, link);

  remove_connection_from_idle_list (longest_idle);
  lh_pool_schedule_connection_close (longest_idle);
}

/* Keeps the connection only if its last response allows reuse, and no longer than the server does,
 * because a request on a connection that the server is closing would fail. */
void
lh_pool_release_connection (LhConnection *connection, LbTime max_idle_time)
{
  static const struct timeval idle_timeout = { .tv_sec = 2 * MAX_CONNECTION_IDLE_TIME / LB_SEC };
  LhPool *pool = connection->pool;

  if (!lb_switch_is_on (LB_SWITCH_IDLE_CONNECTIONS) || max_idle_time <= 0)
    {
      lh_pool_schedule_connection_close (connection);
      return;
    }
  if (pool->idle_connections.length >= MAX_IDLE_CONNECTIONS)
    close_longest_idle_connection (pool);
  /* evhttp would otherwise close the connection after the idle timeout of its last request. */
  evhttp_connection_set_timeout_tv (connection->evcon, &idle_timeout);
  connection->idle_since = lb_clock_monotonic ();
  connection->max_idle_time = max_idle_time;
  connection->is_idle = true;
  lb_list_prepend (&pool->idle_connections, &connection->link);
}

/* Removes an idle connection that the server closed. If a fetch uses the connection, the fetch
 * reports the close. */
static void
on_connection_closed (struct evhttp_connection *evcon, void *user)
{
  (void)evcon;
  LhConnection *connection = user;

  if (!connection->is_idle)
    return;
  remove_connection_from_idle_list (connection);
  lh_pool_schedule_connection_close (connection);
}

static LhConnection *
create_connection (LhPool *pool, const char *address, LbError *error)
{
  char host[LB_NAME_MAX];
  int port;

  if (!parse_host_and_port (address, host, sizeof host, &port))
    {
      lb_error_set (error, LB_ERROR_BAD_VALUE, address, "expected an address of the form IP:PORT");
      return NULL;
    }
  LhConnection *connection = LB_NEW (LhConnection);
  connection->pool = pool;
  LB_COPY (connection->address, address);
  connection->evcon
      = evhttp_connection_base_bufferevent_new (pool->base, NULL, NULL, host, (uint16_t)port);
  evhttp_connection_set_max_headers_size (connection->evcon, MAX_RESPONSE_HEADER_BYTES);
  evhttp_connection_set_closecb (connection->evcon, on_connection_closed, connection);
  return connection;
}

size_t
lh_pool_count_idle_connections (const LhPool *pool, const char *address)
{
  LbTime now = lb_clock_monotonic ();
  size_t n = 0;

  LB_LIST_FOREACH (&pool->idle_connections, LhConnection, link, connection)
  {
    n += strcmp (connection->address, address) == 0
         && !has_exceeded_max_idle_time (connection, now);
  }
  return n;
}

LhConnection *
lh_pool_acquire_connection (LhPool *pool, const char *address, bool must_be_new, LbError *error)
{
  LbTime now = lb_clock_monotonic ();

  if (!must_be_new)
    LB_LIST_FOREACH (&pool->idle_connections, LhConnection, link, connection)
    {
      if (strcmp (connection->address, address) != 0
          || has_exceeded_max_idle_time (connection, now))
        continue;
      remove_connection_from_idle_list (connection);
      return connection;
    }
  return create_connection (pool, address, error);
}

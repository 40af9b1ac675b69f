#include "pt-relay.h"

#include "pt-assert.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Interval at which the relay tries again to forward a chunk whose delay has elapsed, while an
 * earlier chunk still waits. */
#define CHUNK_ORDER_POLL_INTERVAL (2 * LB_MSEC)

/* A client's connection to the relay, and the relay's connection to the target for that client. */
typedef struct
{
  LbLink link;
  PtRelay *relay;
  struct bufferevent *client;
  struct bufferevent *server;
  bool is_blackholed;    /* all further data is dropped */
  LbList delayed_chunks; /* of type Chunk, in the order of arrival */
} Connection;

/* Data that was received together and is forwarded after the delay. */
typedef struct
{
  LbLink link;
  Connection *connection;
  struct evbuffer *data;
  struct bufferevent *destination;
  struct event *timer;
} Chunk;

static void
chunk_free (Chunk *chunk)
{
  lb_list_remove (&chunk->connection->delayed_chunks, &chunk->link);
  event_free (chunk->timer);
  evbuffer_free (chunk->data);
  free (chunk);
}

static void
connection_free (Connection *connection)
{
  lb_list_remove (&connection->relay->connections, &connection->link);
  LB_LIST_FOREACH (&connection->delayed_chunks, Chunk, link, chunk)
  chunk_free (chunk);
  bufferevent_free (connection->client);
  bufferevent_free (connection->server);
  free (connection);
}

static void
on_chunk_delay_elapsed (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Chunk *chunk = user;
  const struct timeval poll_interval = { .tv_usec = CHUNK_ORDER_POLL_INTERVAL };

  /* An earlier chunk with a longer delay is still in the list and must be written first. */
  if (chunk->connection->delayed_chunks.head.next != &chunk->link)
    {
      evtimer_add (chunk->timer, &poll_interval);
      return;
    }
  bufferevent_write_buffer (chunk->destination, chunk->data);
  chunk_free (chunk);
}

static void
forward_after_delay (Connection *connection,
                     struct evbuffer *input,
                     struct bufferevent *destination)
{
  LbTime delay = connection->relay->fault.delay;
  const struct timeval tv = lb_time_to_timeval (delay);
  Chunk *chunk = LB_NEW (Chunk);

  chunk->connection = connection;
  chunk->destination = destination;
  chunk->data = evbuffer_new ();
  evbuffer_add_buffer (chunk->data, input);
  chunk->timer = evtimer_new (connection->relay->base, on_chunk_delay_elapsed, chunk);
  evtimer_add (chunk->timer, &tv);
  lb_list_append (&connection->delayed_chunks, &chunk->link);
}

static void
on_data_received (struct bufferevent *from, void *user)
{
  Connection *connection = user;
  struct evbuffer *input = bufferevent_get_input (from);
  const PtRelayFault *fault = &connection->relay->fault;
  bool to_target = from == connection->client;

  /* Once bytes are dropped, forwarding later bytes would leave a gap in the TCP stream. */
  connection->is_blackholed |= to_target ? fault->drops_to_target : fault->drops_from_target;
  if (connection->is_blackholed)
    {
      evbuffer_drain (input, evbuffer_get_length (input));
      return;
    }
  connection->relay->bytes_forwarded += (int64_t)evbuffer_get_length (input);
  if (fault->delay > 0 || !lb_list_is_empty (&connection->delayed_chunks))
    forward_after_delay (connection, input, to_target ? connection->server : connection->client);
  else
    bufferevent_write_buffer (to_target ? connection->server : connection->client, input);
}

/* Closes both sides when one side has closed or failed. A blackholed connection stays open, as a
 * firewall without connection state forwards no close. */
static void
on_connection_event (struct bufferevent *from, short what, void *user)
{
  Connection *connection = user;

  if (what & BEV_EVENT_CONNECTED)
    return;
  if (connection->is_blackholed)
    bufferevent_disable (from, EV_READ | EV_WRITE);
  else
    connection_free (connection);
}

static void
disable_nagle (struct bufferevent *side)
{
  const int on = 1;

  setsockopt (bufferevent_getfd (side), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
enable_relay_callbacks (Connection *connection, struct bufferevent *side)
{
  bufferevent_setcb (side, on_data_received, NULL, on_connection_event, connection);
  bufferevent_enable (side, EV_READ | EV_WRITE);
  disable_nagle (side);
}

static void
on_client_accepted (struct evconnlistener *listener,
                    evutil_socket_t fd,
                    struct sockaddr *address,
                    int length,
                    void *user)
{
  (void)listener;
  (void)address;
  (void)length;
  PtRelay *relay = user;
  Connection *connection = LB_NEW (Connection);
  struct sockaddr_storage target;
  int target_length = sizeof target;

  connection->relay = relay;
  lb_list_init (&connection->delayed_chunks);
  lb_list_append (&relay->connections, &connection->link);
  connection->client = bufferevent_socket_new (relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->server = bufferevent_socket_new (relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
  PT_ASSERT (
      evutil_parse_sockaddr_port (relay->target_address, (struct sockaddr *)&target, &target_length)
      == 0);
  bufferevent_socket_connect (connection->server, (struct sockaddr *)&target, target_length);
  enable_relay_callbacks (connection, connection->client);
  enable_relay_callbacks (connection, connection->server);
}

/* Binds a socket to a free port and never listens on it, so that no other program can take the port
 * while the relay refuses connections. SO_REUSEPORT lets the relay's listener bind the port too;
 * close-on-exec keeps child processes from inheriting the socket. */
static int
reserve_port (struct sockaddr_in *bound)
{
  const struct sockaddr_in any_port
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const int on = 1;
  socklen_t length = sizeof *bound;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  PT_ASSERT (fd >= 0);
  PT_ASSERT (setsockopt (fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) == 0);
  PT_ASSERT (bind (fd, (const struct sockaddr *)&any_port, sizeof any_port) == 0);
  PT_ASSERT (getsockname (fd, (struct sockaddr *)bound, &length) == 0);
  return fd;
}

void
pt_relay_init (PtRelay *relay, struct event_base *base, const char *target_address)
{
  struct sockaddr_in bound = { 0 };

  memset (relay, 0, sizeof *relay);
  relay->base = base;
  lb_list_init (&relay->connections);
  LB_COPY (relay->target_address, target_address);
  relay->reserved_socket = reserve_port (&bound);
  snprintf (relay->address, sizeof relay->address, "127.0.0.1:%d", ntohs (bound.sin_port));
  pt_relay_accept_connections (relay);
}

void
pt_relay_refuse_connections (PtRelay *relay)
{
  if (relay->listener)
    evconnlistener_free (relay->listener);
  relay->listener = NULL;
}

void
pt_relay_accept_connections (PtRelay *relay)
{
  const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE_PORT;
  struct sockaddr_in address;
  int length = sizeof address;

  if (relay->listener)
    return;
  PT_ASSERT (evutil_parse_sockaddr_port (relay->address, (struct sockaddr *)&address, &length)
             == 0);
  relay->listener = evconnlistener_new_bind (relay->base, on_client_accepted, relay, flags, -1,
                                             (struct sockaddr *)&address, length);
  PT_ASSERT (relay->listener != NULL);
}

void
pt_relay_clear (PtRelay *relay)
{
  LB_LIST_FOREACH (&relay->connections, Connection, link, connection)
  connection_free (connection);
  pt_relay_refuse_connections (relay);
  close (relay->reserved_socket);
}

void
pt_relay_blackhole_connections (PtRelay *relay)
{
  LB_LIST_FOREACH (&relay->connections, Connection, link, connection)
  connection->is_blackholed = true;
}

/* Makes close() send a TCP reset, by a linger time of zero. */
static void
set_reset_on_close (struct bufferevent *side)
{
  const struct linger zero_linger = { .l_onoff = 1 };

  setsockopt (bufferevent_getfd (side), SOL_SOCKET, SO_LINGER, &zero_linger, sizeof zero_linger);
}

void
pt_relay_reset_connections (PtRelay *relay)
{
  LB_LIST_FOREACH (&relay->connections, Connection, link, connection)
  {
    set_reset_on_close (connection->client);
    set_reset_on_close (connection->server);
    connection_free (connection);
  }
}

size_t
pt_relay_count_connections (const PtRelay *relay)
{
  return relay->connections.length;
}

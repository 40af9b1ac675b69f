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

#define BEHIND_ANOTHER (2 * LB_MSEC) /* until a chunk looks again whether it is the first */

/* One connection through the relay. */
typedef struct
{
  LbLink link;
  PtRelay *relay;
  struct bufferevent *near;
  struct bufferevent *far;
  bool silent;
  LbList delayed; /* Chunk */
} Line;

/* Bytes on their way for a while. */
typedef struct
{
  LbLink link;
  Line *line;
  struct evbuffer *bytes;
  struct bufferevent *to;
  struct event *timer;
} Chunk;

static void
chunk_free (Chunk *chunk)
{
  lb_list_remove (&chunk->line->delayed, &chunk->link);
  event_free (chunk->timer);
  evbuffer_free (chunk->bytes);
  free (chunk);
}

static void
line_free (Line *line)
{
  lb_list_remove (&line->relay->lines, &line->link);
  LB_LIST_FOREACH (&line->delayed, Chunk, link, chunk)
  chunk_free (chunk);
  bufferevent_free (line->near);
  bufferevent_free (line->far);
  free (line);
}

static void
on_chunk_time (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Chunk *chunk = user;
  const struct timeval again = { .tv_usec = BEHIND_ANOTHER };

  /* One that came before with a longer delay goes first. */
  if (chunk->line->delayed.head.next != &chunk->link)
    {
      evtimer_add (chunk->timer, &again);
      return;
    }
  bufferevent_write_buffer (chunk->to, chunk->bytes);
  chunk_free (chunk);
}

static void
pass_on_later (Line *line, struct evbuffer *input, struct bufferevent *to)
{
  LbTime delay = line->relay->fault.delay;
  const struct timeval tv = lb_time_to_timeval (delay);
  Chunk *chunk = LB_NEW (Chunk);

  chunk->line = line;
  chunk->to = to;
  chunk->bytes = evbuffer_new ();
  evbuffer_add_buffer (chunk->bytes, input);
  chunk->timer = evtimer_new (line->relay->base, on_chunk_time, chunk);
  evtimer_add (chunk->timer, &tv);
  lb_list_append (&line->delayed, &chunk->link);
}

static void
on_read (struct bufferevent *from, void *user)
{
  Line *line = user;
  struct evbuffer *input = bufferevent_get_input (from);
  const PtRelayFault *fault = &line->relay->fault;
  bool to_target = from == line->near;

  /* Bytes that were lost once are missing in the middle: such a line delivers nothing more. */
  line->silent |= to_target ? fault->drops_to_target : fault->drops_from_target;
  if (line->silent)
    {
      evbuffer_drain (input, evbuffer_get_length (input));
      return;
    }
  line->relay->bytes += (int64_t)evbuffer_get_length (input);
  if (fault->delay > 0 || !lb_list_is_empty (&line->delayed))
    pass_on_later (line, input, to_target ? line->far : line->near);
  else
    bufferevent_write_buffer (to_target ? line->far : line->near, input);
}

/* A silent line also keeps a close to itself: the other end never hears of it. */
static void
on_event (struct bufferevent *from, short what, void *user)
{
  Line *line = user;

  if (what & BEV_EVENT_CONNECTED)
    return;
  if (line->silent)
    bufferevent_disable (from, EV_READ | EV_WRITE);
  else
    line_free (line);
}

static void
send_at_once (struct bufferevent *end)
{
  const int on = 1;

  setsockopt (bufferevent_getfd (end), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
watch (Line *line, struct bufferevent *end)
{
  bufferevent_setcb (end, on_read, NULL, on_event, line);
  bufferevent_enable (end, EV_READ | EV_WRITE);
  send_at_once (end);
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *user)
{
  (void)listener;
  (void)address;
  (void)length;
  PtRelay *relay = user;
  Line *line = LB_NEW (Line);
  struct sockaddr_storage target;
  int target_length = sizeof target;

  line->relay = relay;
  lb_list_init (&line->delayed);
  lb_list_append (&relay->lines, &line->link);
  line->near = bufferevent_socket_new (relay->base, fd, BEV_OPT_CLOSE_ON_FREE);
  line->far = bufferevent_socket_new (relay->base, -1, BEV_OPT_CLOSE_ON_FREE);
  PT_ASSERT (evutil_parse_sockaddr_port (relay->target, (struct sockaddr *)&target, &target_length)
             == 0);
  bufferevent_socket_connect (line->far, (struct sockaddr *)&target, target_length);
  watch (line, line->near);
  watch (line, line->far);
}

/* port 0: any free one. Programs that the test starts must not keep the socket open. */
static void
listen_at (PtRelay *relay, uint16_t port)
{
  const unsigned flags = LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  at.sin_port = htons (port);
  relay->listener = evconnlistener_new_bind (relay->base, on_accept, relay, flags, -1,
                                             (struct sockaddr *)&at, sizeof at);
  PT_ASSERT (relay->listener != NULL);
}

void
pt_relay_init (PtRelay *relay, struct event_base *base, const char *target)
{
  struct sockaddr_in bound = { 0 };
  socklen_t length = sizeof bound;

  memset (relay, 0, sizeof *relay);
  relay->base = base;
  lb_list_init (&relay->lines);
  LB_COPY (relay->target, target);
  listen_at (relay, 0);
  getsockname (evconnlistener_get_fd (relay->listener), (struct sockaddr *)&bound, &length);
  snprintf (relay->address, sizeof relay->address, "127.0.0.1:%d", ntohs (bound.sin_port));
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
  if (!relay->listener)
    listen_at (relay, (uint16_t)atoi (strchr (relay->address, ':') + 1));
}

void
pt_relay_clear (PtRelay *relay)
{
  LB_LIST_FOREACH (&relay->lines, Line, link, line)
  line_free (line);
  pt_relay_refuse_connections (relay);
}

void
pt_relay_blackhole_connections (PtRelay *relay)
{
  LB_LIST_FOREACH (&relay->lines, Line, link, line)
  line->silent = true;
}

/* A close that lingers for no time is a reset. */
static void
reset_at_close (struct bufferevent *end)
{
  const struct linger at_once = { .l_onoff = 1 };

  setsockopt (bufferevent_getfd (end), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void
pt_relay_reset_connections (PtRelay *relay)
{
  LB_LIST_FOREACH (&relay->lines, Line, link, line)
  {
    reset_at_close (line->near);
    reset_at_close (line->far);
    line_free (line);
  }
}

size_t
pt_relay_count_connections (const PtRelay *relay)
{
  return relay->lines.length;
}

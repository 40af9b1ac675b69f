#include "lh-reach.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

struct LhConnectProbe
{
  struct event_base *base;
  evutil_socket_t fd;
  struct event *event;
  LbTime hold_time;
  LhConnectProbeDone done;
  void *user;
  int connect_error; /* errno of a failed connect (); 0: pending or established */
};

static void
free_reach (LhConnectProbe *reach)
{
  if (reach->event)
    event_free (reach->event);
  evutil_closesocket (reach->fd);
  free (reach);
}

void
lh_connect_probe_cancel (LhConnectProbe *reach)
{
  free_reach (reach);
}

static int
get_error (const LhConnectProbe *reach)
{
  int error = reach->connect_error;
  socklen_t length = sizeof error;

  if (error == 0)
    getsockopt (reach->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

static LhConnectProbeOutcome
get_outcome (const LhConnectProbe *reach, short what)
{
  int error = get_error (reach);

  if (error == ECONNREFUSED || error == ECONNRESET)
    return LH_CONNECT_PROBE_REFUSED;
  return error == 0 && (what & EV_WRITE) ? LH_CONNECT_PROBE_OPEN : LH_CONNECT_PROBE_NO_ANSWER;
}

static void
finish_check (LhConnectProbe *reach, LhConnectProbeOutcome outcome)
{
  LhConnectProbeDone done = reach->done;
  void *done_user = reach->user;

  free_reach (reach);
  done (outcome, done_user);
}

/* A listener sends nothing before a request, so only the end of the connection can be read. */
static void
on_hold_end (evutil_socket_t fd, short what, void *user)
{
  char byte;
  bool has_ended = (what & EV_READ) && recv (fd, &byte, sizeof byte, 0) <= 0;

  finish_check (user, has_ended ? LH_CONNECT_PROBE_CLOSED : LH_CONNECT_PROBE_OPEN);
}

static void
start_hold (LhConnectProbe *reach)
{
  const struct timeval wait = lb_time_to_timeval (reach->hold_time);

  event_free (reach->event);
  reach->event = event_new (reach->base, reach->fd, EV_READ, on_hold_end, reach);
  event_add (reach->event, &wait);
}

static void
on_connect_end (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  LhConnectProbe *reach = user;
  LhConnectProbeOutcome outcome = get_outcome (reach, what);

  if (outcome == LH_CONNECT_PROBE_OPEN && reach->hold_time > 0)
    start_hold (reach);
  else
    finish_check (reach, outcome);
}

/* Also reports a connect that fails immediately from the event loop. */
static void
start_connect (LhConnectProbe *reach, const struct sockaddr_in *target, LbTime timeout)
{
  const struct timeval wait = lb_time_to_timeval (timeout);

  if (connect (reach->fd, (const struct sockaddr *)target, sizeof *target) == 0)
    event_active (reach->event, EV_WRITE, 0);
  else if (errno == EINPROGRESS)
    event_add (reach->event, &wait);
  else
    {
      reach->connect_error = errno;
      event_active (reach->event, EV_WRITE, 0);
    }
}

LhConnectProbe *
lh_connect_probe_start (struct event_base *base,
                        const char *address,
                        const LhConnectProbeTimes *times,
                        LhConnectProbeDone done,
                        void *user)
{
  struct sockaddr_in target = { 0 };
  int length = sizeof target;
  LhConnectProbe *reach = NULL;
  int fd = -1;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&target, &length) != 0
      || target.sin_family != AF_INET)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  reach = LB_NEW (LhConnectProbe);
  reach->base = base;
  reach->fd = fd;
  reach->hold_time = times->hold_time;
  reach->done = done;
  reach->user = user;
  reach->event = event_new (base, fd, EV_WRITE, on_connect_end, reach);
  start_connect (reach, &target, times->connect_timeout);
  return reach;
}

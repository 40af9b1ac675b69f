#include "lh-connect-probe.h"

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
  int connect_error; /* errno if connect () failed immediately; 0: pending or connected */
};

static void
free_connect_probe (LhConnectProbe *probe)
{
  if (probe->event)
    event_free (probe->event);
  evutil_closesocket (probe->fd);
  free (probe);
}

void
lh_connect_probe_cancel (LhConnectProbe *probe)
{
  free_connect_probe (probe);
}

static int
get_connect_error (const LhConnectProbe *probe)
{
  int error = probe->connect_error;
  socklen_t length = sizeof error;

  if (error == 0)
    getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

static LhConnectProbeOutcome
get_connect_outcome (const LhConnectProbe *probe, short what)
{
  int error = get_connect_error (probe);

  if (error == ECONNREFUSED || error == ECONNRESET)
    return LH_CONNECT_PROBE_REFUSED;
  return error == 0 && (what & EV_WRITE) ? LH_CONNECT_PROBE_OPEN : LH_CONNECT_PROBE_NO_ANSWER;
}

static void
finish_connect_probe (LhConnectProbe *probe, LhConnectProbeOutcome outcome)
{
  LhConnectProbeDone done = probe->done;
  void *done_user = probe->user;

  free_connect_probe (probe);
  done (outcome, done_user);
}

/* Reports the address as closed if the server ended the connection during hold_time. A server sends
 * no data before it gets a request, so a readable socket normally means end of file. */
static void
on_hold_time_ended (evutil_socket_t fd, short what, void *user)
{
  char byte;
  bool has_ended = (what & EV_READ) && recv (fd, &byte, sizeof byte, 0) <= 0;

  finish_connect_probe (user, has_ended ? LH_CONNECT_PROBE_CLOSED : LH_CONNECT_PROBE_OPEN);
}

static void
start_watching_for_server_close (LhConnectProbe *probe)
{
  const struct timeval wait = lb_time_to_timeval (probe->hold_time);

  event_free (probe->event);
  probe->event = event_new (probe->base, probe->fd, EV_READ, on_hold_time_ended, probe);
  event_add (probe->event, &wait);
}

static void
on_connect_ended (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  LhConnectProbe *probe = user;
  LhConnectProbeOutcome outcome = get_connect_outcome (probe, what);

  if (outcome == LH_CONNECT_PROBE_OPEN && probe->hold_time > 0)
    start_watching_for_server_close (probe);
  else
    finish_connect_probe (probe, outcome);
}

/* Starts a non-blocking connect. An immediate result is also reported from the event loop, so that
 * done is never called from inside lh_connect_probe_start. */
static void
start_probe_connect (LhConnectProbe *probe, const struct sockaddr_in *target, LbTime timeout)
{
  const struct timeval wait = lb_time_to_timeval (timeout);

  if (connect (probe->fd, (const struct sockaddr *)target, sizeof *target) == 0)
    event_active (probe->event, EV_WRITE, 0);
  else if (errno == EINPROGRESS)
    event_add (probe->event, &wait);
  else
    {
      probe->connect_error = errno;
      event_active (probe->event, EV_WRITE, 0);
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
  LhConnectProbe *probe = NULL;
  int fd = -1;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&target, &length) != 0
      || target.sin_family != AF_INET)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  probe = LB_NEW (LhConnectProbe);
  probe->base = base;
  probe->fd = fd;
  probe->hold_time = times->hold_time;
  probe->done = done;
  probe->user = user;
  probe->event = event_new (base, fd, EV_WRITE, on_connect_ended, probe);
  start_probe_connect (probe, &target, times->connect_timeout);
  return probe;
}

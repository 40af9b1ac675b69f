#include "lh-reach.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/socket.h>

struct LhReach
{
  struct event_base *base;
  evutil_socket_t fd;
  struct event *event;
  LbTime hold;
  LhReachDone done;
  void *user;
  int connect_error; /* of the connect itself; 0: it is on its way */
};

static void
reach_free (LhReach *reach)
{
  if (reach->event)
    event_free (reach->event);
  evutil_closesocket (reach->fd);
  free (reach);
}

void
lh_reach_cancel (LhReach *reach)
{
  reach_free (reach);
}

static int
error_of (const LhReach *reach)
{
  int error = reach->connect_error;
  socklen_t length = sizeof error;

  if (error == 0)
    getsockopt (reach->fd, SOL_SOCKET, SO_ERROR, &error, &length);
  return error;
}

static LhReachOutcome
outcome_of (const LhReach *reach, short what)
{
  int error = error_of (reach);

  if (error == ECONNREFUSED || error == ECONNRESET)
    return LH_REACH_REFUSED;
  return error == 0 && (what & EV_WRITE) ? LH_REACH_OPEN : LH_REACH_SILENT;
}

static void
finish (LhReach *reach, LhReachOutcome outcome)
{
  LhReachDone done = reach->done;
  void *done_user = reach->user;

  reach_free (reach);
  done (outcome, done_user);
}

/* A listener has nothing to say before it is asked: only an end can be read. */
static void
on_held (evutil_socket_t fd, short what, void *user)
{
  char byte;
  bool is_over = (what & EV_READ) && recv (fd, &byte, sizeof byte, 0) <= 0;

  finish (user, is_over ? LH_REACH_CLOSED : LH_REACH_OPEN);
}

static void
hold (LhReach *reach)
{
  const struct timeval wait = lb_time_to_timeval (reach->hold);

  event_free (reach->event);
  reach->event = event_new (reach->base, reach->fd, EV_READ, on_held, reach);
  event_add (reach->event, &wait);
}

static void
on_event (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  LhReach *reach = user;
  LhReachOutcome outcome = outcome_of (reach, what);

  if (outcome == LH_REACH_OPEN && reach->hold > 0)
    hold (reach);
  else
    finish (reach, outcome);
}

/* A connect that fails at once is reported from the loop too. */
static void
begin (LhReach *reach, const struct sockaddr_in *target, LbTime time)
{
  const struct timeval wait = lb_time_to_timeval (time);

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

LhReach *
lh_reach_start (struct event_base *base,
                const char *address,
                const LhReachTimes *times,
                LhReachDone done,
                void *user)
{
  struct sockaddr_in target = { 0 };
  int length = sizeof target;
  LhReach *reach = NULL;
  int fd = -1;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&target, &length) != 0
      || target.sin_family != AF_INET)
    return NULL;
  fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  reach = LB_NEW (LhReach);
  reach->base = base;
  reach->fd = fd;
  reach->hold = times->hold_time;
  reach->done = done;
  reach->user = user;
  reach->event = event_new (base, fd, EV_WRITE, on_event, reach);
  begin (reach, &target, times->connect_timeout);
  return reach;
}

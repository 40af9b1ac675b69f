#include "lh-reach.h"

#include "lb-clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

typedef struct
{
  struct event_base *base;
  int listener;
  LbName address;
  int calls;
  LhReachOutcome outcome;
} World;

static void
world_init (World *w, int backlog)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  *w = (World){ .base = event_base_new () };
  w->listener = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (bind (w->listener, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (w->listener, backlog), 0);
  getsockname (w->listener, (struct sockaddr *)&at, &length);
  snprintf (w->address, sizeof w->address, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
world_clear (World *w)
{
  if (w->listener >= 0)
    close (w->listener);
  event_base_free (w->base);
}

static void
on_done (LhReachOutcome outcome, void *user)
{
  World *w = user;

  w->calls++;
  w->outcome = outcome;
}

static void
check_held (World *w, LbTime time, LbTime hold)
{
  const LhReachTimes times = { .connect_timeout = time, .hold_time = hold };

  cr_assert (lh_reach_start (w->base, w->address, &times, on_done, w));
  cr_assert_eq (w->calls, 0, "not from inside");
  event_base_dispatch (w->base);
  cr_assert_eq (w->calls, 1);
}

static void
check (World *w, LbTime time)
{
  check_held (w, time, 0);
}

Test (reach, tells_a_listener)
{
  World w;

  world_init (&w, 8);
  check (&w, 10 * LB_SEC);
  cr_assert_eq (w.outcome, LH_REACH_OPEN);
  world_clear (&w);
}

Test (reach, tells_that_nobody_listens)
{
  World w;

  world_init (&w, 8);
  close (w.listener);
  w.listener = -1;
  check (&w, 10 * LB_SEC);
  cr_assert_eq (w.outcome, LH_REACH_REFUSED);
  world_clear (&w);
}

/* A machine without power, or behind a cut, answers nothing. A listener whose queue of new
 * connections is full does the same. That proves no end of a process. */
Test (reach, takes_silence_for_neither)
{
  World w;
  struct sockaddr_in at = { 0 };
  socklen_t length = sizeof at;
  int queued[3];

  world_init (&w, 0);
  getsockname (w.listener, (struct sockaddr *)&at, &length);
  for (int i = 0; i < 3; i++)
    {
      queued[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      cr_assert (connect (queued[i], (struct sockaddr *)&at, length) == 0 || errno == EINPROGRESS);
    }
  check (&w, 100 * LB_MSEC);
  cr_assert_eq (w.outcome, LH_REACH_SILENT);
  for (int i = 0; i < 3; i++)
    close (queued[i]);
  world_clear (&w);
}

static void
on_close_time (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  World *w = user;

  close (w->listener);
  w->listener = -1;
}

/* A process that ends on a busy machine loses its connections first and stops listening a moment
 * later. A connection opened between the two is taken, and reset. */
Test (reach, tells_a_listener_that_is_about_to_end)
{
  const struct timeval soon = { .tv_usec = 20000 };
  World w;

  world_init (&w, 8);
  struct event *timer = evtimer_new (w.base, on_close_time, &w);
  event_add (timer, &soon);
  check_held (&w, 10 * LB_SEC, 10 * LB_SEC);
  cr_assert_eq (w.outcome, LH_REACH_CLOSED);
  event_free (timer);
  world_clear (&w);
}

Test (reach, tells_a_listener_that_stays)
{
  World w;

  world_init (&w, 8);
  check_held (&w, 10 * LB_SEC, 30 * LB_MSEC);
  cr_assert_eq (w.outcome, LH_REACH_OPEN);
  world_clear (&w);
}

Test (reach, refuses_what_is_no_address_and_can_be_cancelled)
{
  const LhReachTimes times = { .connect_timeout = LB_SEC };
  World w;

  world_init (&w, 8);
  cr_assert_null (lh_reach_start (w.base, "nonsense", &times, on_done, &w));
  lh_reach_cancel (lh_reach_start (w.base, w.address, &times, on_done, &w));
  event_base_dispatch (w.base);
  cr_assert_eq (w.calls, 0);
  world_clear (&w);
}

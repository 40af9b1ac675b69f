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
  LhConnectProbeOutcome outcome;
} Fixture;

static void
fixture_init (Fixture *f, int backlog)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  *f = (Fixture){ .base = event_base_new () };
  f->listener = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (bind (f->listener, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (f->listener, backlog), 0);
  getsockname (f->listener, (struct sockaddr *)&at, &length);
  snprintf (f->address, sizeof f->address, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
fixture_clear (Fixture *f)
{
  if (f->listener >= 0)
    close (f->listener);
  event_base_free (f->base);
}

static void
on_done (LhConnectProbeOutcome outcome, void *user)
{
  Fixture *f = user;

  f->calls++;
  f->outcome = outcome;
}

static void
check_with_hold (Fixture *f, LbTime connect_timeout, LbTime hold_time)
{
  const LhConnectProbeTimes times = { .connect_timeout = connect_timeout, .hold_time = hold_time };

  cr_assert (lh_connect_probe_start (f->base, f->address, &times, on_done, f));
  cr_assert_eq (f->calls, 0, "done was called from inside lh_reach_start");
  event_base_dispatch (f->base);
  cr_assert_eq (f->calls, 1);
}

static void
check (Fixture *f, LbTime connect_timeout)
{
  check_with_hold (f, connect_timeout, 0);
}

Test (reach, reports_a_listener_as_open)
{
  Fixture f;

  fixture_init (&f, 8);
  check (&f, 10 * LB_SEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_OPEN);
  fixture_clear (&f);
}

Test (reach, reports_a_port_without_listener_as_refused)
{
  Fixture f;

  fixture_init (&f, 8);
  close (f.listener);
  f.listener = -1;
  check (&f, 10 * LB_SEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_REFUSED);
  fixture_clear (&f);
}

/* A host that is off or unreachable doesn't answer, and neither does a listener with a full accept
 * queue. That must not count as proof that the process has ended. */
Test (reach, reports_no_answer_as_silent)
{
  Fixture f;
  struct sockaddr_in at = { 0 };
  socklen_t length = sizeof at;
  int queued[3];

  fixture_init (&f, 0);
  getsockname (f.listener, (struct sockaddr *)&at, &length);
  for (int i = 0; i < 3; i++)
    {
      queued[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      cr_assert (connect (queued[i], (struct sockaddr *)&at, length) == 0 || errno == EINPROGRESS);
    }
  check (&f, 100 * LB_MSEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_NO_ANSWER);
  for (int i = 0; i < 3; i++)
    close (queued[i]);
  fixture_clear (&f);
}

static void
close_listener (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Fixture *f = user;

  close (f->listener);
  f->listener = -1;
}

/* A process that ends on a busy host loses its connections first and stops listening a moment
 * later. A connection opened in between is accepted and then reset. */
Test (reach, reports_a_listener_about_to_stop_as_closed)
{
  const struct timeval soon = { .tv_usec = 20000 };
  Fixture f;

  fixture_init (&f, 8);
  struct event *timer = evtimer_new (f.base, close_listener, &f);
  event_add (timer, &soon);
  check_with_hold (&f, 10 * LB_SEC, 10 * LB_SEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_CLOSED);
  event_free (timer);
  fixture_clear (&f);
}

Test (reach, reports_a_lasting_listener_as_open)
{
  Fixture f;

  fixture_init (&f, 8);
  check_with_hold (&f, 10 * LB_SEC, 30 * LB_MSEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_OPEN);
  fixture_clear (&f);
}

Test (reach, refuses_a_malformed_address_and_can_be_cancelled)
{
  const LhConnectProbeTimes times = { .connect_timeout = LB_SEC };
  Fixture f;

  fixture_init (&f, 8);
  cr_assert_null (lh_connect_probe_start (f.base, "nonsense", &times, on_done, &f));
  lh_connect_probe_cancel (lh_connect_probe_start (f.base, f.address, &times, on_done, &f));
  event_base_dispatch (f.base);
  cr_assert_eq (f.calls, 0);
  fixture_clear (&f);
}

#include "lh-connect-probe.h"

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
  int n_done_calls;
  LhConnectProbeOutcome outcome;
} ConnectProbeFixture;

static void
connect_probe_fixture_init (ConnectProbeFixture *f, int backlog)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  *f = (ConnectProbeFixture){ .base = event_base_new () };
  f->listener = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (bind (f->listener, (struct sockaddr *)&at, sizeof at), 0);
  cr_assert_eq (listen (f->listener, backlog), 0);
  getsockname (f->listener, (struct sockaddr *)&at, &length);
  snprintf (f->address, sizeof f->address, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
connect_probe_fixture_clear (ConnectProbeFixture *f)
{
  if (f->listener >= 0)
    close (f->listener);
  event_base_free (f->base);
}

static void
copy_probe_outcome_to_fixture (LhConnectProbeOutcome outcome, void *user)
{
  ConnectProbeFixture *f = user;

  f->n_done_calls++;
  f->outcome = outcome;
}

static void
run_probe_with_hold_time (ConnectProbeFixture *f, LbTime connect_timeout, LbTime hold_time)
{
  const LhConnectProbeTimes times = { .connect_timeout = connect_timeout, .hold_time = hold_time };

  cr_assert (
      lh_connect_probe_start (f->base, f->address, &times, copy_probe_outcome_to_fixture, f));
  cr_assert_eq (f->n_done_calls, 0, "done was called from inside lh_connect_probe_start");
  event_base_dispatch (f->base);
  cr_assert_eq (f->n_done_calls, 1);
}

static void
run_probe_without_hold_time (ConnectProbeFixture *f, LbTime connect_timeout)
{
  run_probe_with_hold_time (f, connect_timeout, 0);
}

Test (connect_probe, reports_a_listener_as_open)
{
  ConnectProbeFixture f;

  connect_probe_fixture_init (&f, 8);
  run_probe_without_hold_time (&f, 10 * LB_SEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_OPEN);
  connect_probe_fixture_clear (&f);
}

Test (connect_probe, reports_a_port_without_listener_as_refused)
{
  ConnectProbeFixture f;

  connect_probe_fixture_init (&f, 8);
  close (f.listener);
  f.listener = -1;
  run_probe_without_hold_time (&f, 10 * LB_SEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_REFUSED);
  connect_probe_fixture_clear (&f);
}

/* A host that is off or unreachable doesn't answer a connect, nor does a listener with a full
 * accept queue. The probe must report "no answer", which is no proof that the process has ended. */
Test (connect_probe, reports_unanswered_connect_as_no_answer)
{
  ConnectProbeFixture f;
  struct sockaddr_in at = { 0 };
  socklen_t length = sizeof at;
  int queued_fds[3];

  connect_probe_fixture_init (&f, 0);
  getsockname (f.listener, (struct sockaddr *)&at, &length);
  for (int i = 0; i < 3; i++)
    {
      queued_fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      cr_assert (connect (queued_fds[i], (struct sockaddr *)&at, length) == 0
                 || errno == EINPROGRESS);
    }
  run_probe_without_hold_time (&f, 100 * LB_MSEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_NO_ANSWER);
  for (int i = 0; i < 3; i++)
    close (queued_fds[i]);
  connect_probe_fixture_clear (&f);
}

static void
on_close_listener_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  ConnectProbeFixture *f = user;

  close (f->listener);
  f->listener = -1;
}

/* On a busy host, the kernel closes an exiting process's connections first and its listening socket
 * a moment later. A connection opened in between is accepted and then reset; the probe must report
 * it as closed. */
Test (connect_probe, reports_a_listener_about_to_stop_as_closed)
{
  const struct timeval soon = { .tv_usec = 20000 };
  ConnectProbeFixture f;

  connect_probe_fixture_init (&f, 8);
  struct event *timer = evtimer_new (f.base, on_close_listener_timer, &f);
  event_add (timer, &soon);
  run_probe_with_hold_time (&f, 10 * LB_SEC, 10 * LB_SEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_CLOSED);
  event_free (timer);
  connect_probe_fixture_clear (&f);
}

Test (connect_probe, reports_a_listener_open_until_the_hold_time_ends_as_open)
{
  ConnectProbeFixture f;

  connect_probe_fixture_init (&f, 8);
  run_probe_with_hold_time (&f, 10 * LB_SEC, 30 * LB_MSEC);
  cr_assert_eq (f.outcome, LH_CONNECT_PROBE_OPEN);
  connect_probe_fixture_clear (&f);
}

Test (connect_probe, malformed_address_is_refused_and_cancel_calls_no_handler)
{
  const LhConnectProbeTimes times = { .connect_timeout = LB_SEC };
  ConnectProbeFixture f;

  connect_probe_fixture_init (&f, 8);
  cr_assert_null (
      lh_connect_probe_start (f.base, "nonsense", &times, copy_probe_outcome_to_fixture, &f));
  lh_connect_probe_cancel (
      lh_connect_probe_start (f.base, f.address, &times, copy_probe_outcome_to_fixture, &f));
  event_base_dispatch (f.base);
  cr_assert_eq (f.n_done_calls, 0);
  connect_probe_fixture_clear (&f);
}

#include "ln-stall.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-histogram.h"
#include "lb-log.h"
#include "lb-time.h"

#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#define PERIOD (250 * LB_MSEC)
/* A turn that comes so late is told: renewals and the texts of streams wait as long. */
#define WORTH_TELLING (500 * LB_MSEC)
/* The exit status of an error in the program itself, by sysexits.h. */
#define STALLED_STATUS 70

struct LnStallDetector
{
  struct event *timer;
  LbTime expected;
  LbTime cpu_limit;
};

static const char *volatile doing = "start";

static LbHistogram late_time
    = LB_HISTOGRAM_INIT ("lentilspindle_loop_late_seconds",
                         "By how much the event loop came late to its timer, four times a second");

void
ln_stall_set_activity (const char *what)
{
  doing = what;
}

static void
say (const char *text)
{
  /* Nothing can be done about a line that is not taken; the exit status tells the same. */
  if (write (STDOUT_FILENO, text, strlen (text)) < 0)
    return;
}

/* Only calls that are allowed in a signal handler. */
static void
on_limit (int number)
{
  (void)number;
  say ("{\"level\":\"error\",\"event\":\"loop_stalled\",\"doing\":\"");
  say (doing);
  say ("\"}\n");
  _exit (STALLED_STATUS);
}

static void
arm (const LnStallDetector *stall)
{
  const struct itimerval limit = { .it_value = lb_time_to_timeval (stall->cpu_limit) };

  if (setitimer (ITIMER_PROF, &limit, NULL) != 0)
    lb_log (LB_LOG_DEBUG, "stall_watch_not_armed", LB_TEXT ("reason", "setitimer failed"));
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnStallDetector *stall = user;
  LbTime now = lb_clock_monotonic ();
  LbTime late = now > stall->expected ? now - stall->expected : 0;

  lb_histogram_add (&late_time, late);
  if (late > WORTH_TELLING)
    lb_log (LB_LOG_WARNING, "loop_late", LB_INT ("late_us", late), LB_TEXT ("before", doing));
  stall->expected = now + PERIOD;
  arm (stall);
}

LnStallDetector *
ln_stall_detector_new (struct event_base *base, LbTime cpu_limit)
{
  const struct timeval period = { .tv_usec = PERIOD };
  const struct sigaction action = { .sa_handler = on_limit };
  LnStallDetector *stall = LB_NEW (LnStallDetector);

  stall->cpu_limit = cpu_limit;
  stall->expected = lb_clock_monotonic () + PERIOD;
  sigaction (SIGPROF, &action, NULL);
  stall->timer = event_new (base, -1, EV_PERSIST, on_timer, stall);
  event_add (stall->timer, &period);
  arm (stall);
  return stall;
}

void
ln_stall_detector_free (LnStallDetector *stall)
{
  const struct itimerval off = { .it_value = { 0 } };

  if (!stall)
    return;
  setitimer (ITIMER_PROF, &off, NULL);
  event_free (stall->timer);
  free (stall);
}

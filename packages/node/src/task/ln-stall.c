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

#define LOOP_CHECK_PERIOD (250 * LB_MSEC)
/* Longer delays of the event loop are logged, since lease renewals and streamed text are delayed
 * equally long. */
#define MIN_LOGGED_DELAY (500 * LB_MSEC)
/* EX_SOFTWARE of sysexits.h: an internal error of the program. */
#define STALL_EXIT_STATUS 70

struct LnStallDetector
{
  struct event *timer;
  LbTime expected_at;
  LbTime cpu_limit;
};

static const char *volatile current_activity = "start";

static LbHistogram loop_delay
    = LB_HISTOGRAM_INIT ("lentilspindle_loop_late_seconds",
                         "Delay of a timer of the event loop, measured four times a second");

void
ln_stall_set_activity (const char *activity)
{
  current_activity = activity;
}

static void
write_to_stdout (const char *text)
{
  /* A failed write can't be reported; the exit status still shows that the loop stalled. */
  if (write (STDOUT_FILENO, text, strlen (text)) < 0)
    return;
}

/* Handler of SIGPROF; calls only async-signal-safe functions. */
static void
exit_on_cpu_limit (int number)
{
  (void)number;
  write_to_stdout ("{\"level\":\"error\",\"event\":\"loop_stalled\",\"doing\":\"");
  write_to_stdout (current_activity);
  write_to_stdout ("\"}\n");
  _exit (STALL_EXIT_STATUS);
}

static void
restart_cpu_time_limit (const LnStallDetector *detector)
{
  const struct itimerval limit = { .it_value = lb_time_to_timeval (detector->cpu_limit) };

  if (setitimer (ITIMER_PROF, &limit, NULL) != 0)
    lb_log (LB_LOG_DEBUG, "stall_watch_not_armed", LB_TEXT ("reason", "setitimer failed"));
}

static void
record_event_loop_delay (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnStallDetector *detector = user;
  LbTime now = lb_clock_monotonic ();
  LbTime delay = now > detector->expected_at ? now - detector->expected_at : 0;

  lb_histogram_add (&loop_delay, delay);
  if (delay > MIN_LOGGED_DELAY)
    lb_log (LB_LOG_WARNING, "loop_late", LB_INT ("late_us", delay),
            LB_TEXT ("before", current_activity));
  detector->expected_at = now + LOOP_CHECK_PERIOD;
  restart_cpu_time_limit (detector);
}

LnStallDetector *
ln_stall_detector_new (struct event_base *base, LbTime cpu_limit)
{
  const struct timeval period = { .tv_usec = LOOP_CHECK_PERIOD };
  const struct sigaction action = { .sa_handler = exit_on_cpu_limit };
  LnStallDetector *detector = LB_NEW (LnStallDetector);

  detector->cpu_limit = cpu_limit;
  detector->expected_at = lb_clock_monotonic () + LOOP_CHECK_PERIOD;
  sigaction (SIGPROF, &action, NULL);
  detector->timer = event_new (base, -1, EV_PERSIST, record_event_loop_delay, detector);
  event_add (detector->timer, &period);
  restart_cpu_time_limit (detector);
  return detector;
}

void
ln_stall_detector_free (LnStallDetector *detector)
{
  const struct itimerval off = { .it_value = { 0 } };

  if (!detector)
    return;
  setitimer (ITIMER_PROF, &off, NULL);
  event_free (detector->timer);
  free (detector);
}

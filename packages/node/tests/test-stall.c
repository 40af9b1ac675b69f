#include "ln-stall.h"

#include "lb-clock.h"

#include <criterion/criterion.h>
#include <event2/event.h>

/* An event handler loops for ever. Without the stall detector, callers would get no reply, other
 * instances would take over only after the leases of this instance expire, and no log line would
 * tell the cause. The process must exit instead, so that the platform restarts it. */
Test (stall, endless_handler_terminates_the_process, .exit_code = 70, .timeout = 60)
{
  struct event_base *base = event_base_new ();
  volatile int n_iterations = 0;

  ln_stall_detector_new (base, 100 * LB_MSEC);
  ln_stall_set_activity ("endless loop");
  for (;;)
    n_iterations++;
}

/* A process that waits uses no processor time, like a process on a busy or paused machine. It is
 * healthy and must not be terminated. */
Test (stall, waiting_loop_is_not_terminated)
{
  struct event_base *base = event_base_new ();
  LnStallDetector *stall = ln_stall_detector_new (base, 100 * LB_MSEC);
  LbTime end = lb_clock_monotonic () + 400 * LB_MSEC;

  while (lb_clock_monotonic () < end)
    event_base_loop (base, EVLOOP_ONCE);
  ln_stall_detector_free (stall);
  event_base_free (base);
}

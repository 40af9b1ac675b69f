#include "ln-stall.h"

#include "lb-clock.h"

#include <criterion/criterion.h>
#include <event2/event.h>

/* A handler runs in a circle for ever. Callers of this instance wait without an answer, what it
 * holds is missed by the others only after its leases, and there is no line that says why. The
 * process ends instead, and the platform starts it anew. */
Test (stall, a_turn_that_never_ends_ends_the_process, .exit_code = 70, .timeout = 60)
{
  struct event_base *base = event_base_new ();
  volatile int turns = 0;

  ln_stall_detector_new (base, 100 * LB_MSEC);
  ln_stall_set_activity ("a circle");
  for (;;)
    turns++;
}

/* A machine that is busy or was paused, and a process that waits, use no processor time. */
Test (stall, a_loop_that_waits_goes_on)
{
  struct event_base *base = event_base_new ();
  LnStallDetector *stall = ln_stall_detector_new (base, 100 * LB_MSEC);
  LbTime end = lb_clock_monotonic () + 400 * LB_MSEC;

  while (lb_clock_monotonic () < end)
    event_base_loop (base, EVLOOP_ONCE);
  ln_stall_detector_free (stall);
  event_base_free (base);
}

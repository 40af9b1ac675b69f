#include "lc-dispatch-private.h"

#include "lb-counter.h"
#include "lb-log.h"

static LbMetric failures = LB_COUNTER_INIT ("lentilspindle_invariant_failures_total",
                                            "part=\"dispatch\"",
                                            "Actions refused because they would break a promise");

/* Asserts at the point where a promise is kept. Returns holds: on false the caller leaves out the
 * one action and goes on, since a wrong action is worse than a missing one and other requests must
 * not suffer from either. */
bool
lc_dispatch_check (LcDispatch *dispatch, bool holds, const char *promise, LcRequestId request)
{
  if (holds)
    return true;
  dispatch->invariant_failures++;
  lb_metric_add (&failures, 1);
  lb_log (LB_LOG_ERROR, "invariant", LB_TEXT ("promise", promise), LB_INT ("request", request));
  return false;
}

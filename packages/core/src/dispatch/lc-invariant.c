#include "lc-dispatch-private.h"

#include "lb-counter.h"
#include "lb-log.h"

static LbMetric invariant_violations
    = LB_COUNTER_INIT ("lentilspindle_invariant_failures_total",
                       "part=\"dispatch\"",
                       "Actions suppressed because they would violate an invariant");

/* Checks an invariant right before the action that could violate it, and returns whether it holds.
 * If not, the caller skips that one action and continues: a wrong action is worse than a missing
 * one, and other requests must not be affected. */
bool
lc_dispatch_check_invariant (LcDispatch *dispatch,
                             bool holds,
                             const char *invariant,
                             LcRequestId request)
{
  if (holds)
    return true;
  dispatch->invariant_failures++;
  lb_metric_add (&invariant_violations, 1);
  lb_log (LB_LOG_ERROR, "invariant", LB_TEXT ("promise", invariant), LB_INT ("request", request));
  return false;
}

#include "lc-dispatch-private.h"

#include "lb-counter.h"
#include "lb-log.h"

static LbMetric invariant_violations
    = LB_COUNTER_INIT ("lentilspindle_invariant_failures_total",
                       "part=\"dispatch\"",
                       "Actions suppressed because they would violate an invariant");

/* Counts and logs a violated invariant; returns holds. Called right before the action that could
 * violate the invariant. The caller then skips this action and continues, because a wrong action is
 * worse than a missing one and other requests must not be affected. */
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

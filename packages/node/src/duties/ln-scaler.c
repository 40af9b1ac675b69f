#include "ln-scaler.h"

#include "ln-dialect.h"
#include "ln-platform-call.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lc-scaling.h"

#include <stdlib.h>
#include <string.h>

struct LnScaler
{
  LnContext *context;
  LnDutyLease *lease;
  LcScaling *scaling;
  LcDesired *desired; /* desired state of the services; NULL: not known */
  LcResourceSet *set; /* endpoints in use; NULL: not known */
  LbList calls;       /* LnPlatformCall in progress */
  int64_t duty_epoch; /* incremented when this instance gains or loses the lease */
};

typedef struct
{
  LnScaler *scaler;
  LcScalingOrder order;
  int64_t duty_epoch; /* value of LnScaler.duty_epoch when the order was sent; the outcome is
                         ignored if the value has changed since */
} OrderCall;

LnScaler *
ln_scaler_new (LnContext *context, LnDutyLease *lease)
{
  LnScaler *scaler = LB_NEW (LnScaler);

  scaler->context = context;
  scaler->lease = lease;
  scaler->scaling = lc_scaling_new ();
  lb_list_init (&scaler->calls);
  return scaler;
}

void
ln_scaler_free (LnScaler *scaler)
{
  ln_platform_calls_cancel (&scaler->calls);
  lc_scaling_free (scaler->scaling);
  lc_desired_unref (scaler->desired);
  lc_resource_set_free (scaler->set);
  free (scaler);
}

void
ln_scaler_set_lease_held (LnScaler *scaler, bool held)
{
  scaler->duty_epoch++;
  if (held)
    lc_scaling_forget_orders (scaler->scaling);
}

void
ln_scaler_add_demand (LnScaler *scaler, const LnDemandMessage *demand, LbTime now)
{
  const LcRoute *route = scaler->desired
                             ? lc_desired_match_route (scaler->desired, demand->host, demand->path)
                             : NULL;
  int64_t total_weight = 0;

  for (size_t i = 0; route && i < route->n_targets; i++)
    total_weight += route->targets[i].weight;
  if (total_weight == 0)
    lc_scaling_add_demand (scaler->scaling, "", demand->model, demand->n_items, now);
  for (size_t i = 0; total_weight > 0 && i < route->n_targets; i++)
    lc_scaling_add_demand (scaler->scaling, route->targets[i].service, demand->model,
                           demand->n_items * route->targets[i].weight / total_weight, now);
}

void
ln_scaler_set_desired_state (LnScaler *scaler, LcDesired *desired)
{
  lc_desired_unref (scaler->desired);
  scaler->desired = lc_desired_ref (desired);
}

void
ln_scaler_set_endpoints (LnScaler *scaler, const LcResourceSet *set)
{
  lc_resource_set_free (scaler->set);
  scaler->set = lc_resource_set_copy (set);
}

static LcScalingOutcome
duty_outcome_to_scaling_outcome (LnDutyOutcome outcome)
{
  switch (outcome)
    {
    case LN_DUTY_DONE:
      return LC_SCALING_ACCEPTED;
    case LN_DUTY_NO_ANSWER:
      return LC_SCALING_UNKNOWN;
    case LN_DUTY_REFUSED:
    case LN_DUTY_BUSY:
      break;
    }
  return LC_SCALING_REFUSED;
}

/* Handles the platform's answer to an order of endpoints. If the platform refused the order,
 * another instance may hold the lease now with a higher fencing number, so the lease's row is read
 * again. */
static void
on_scaling_order_answered (LnDutyOutcome outcome, void *user)
{
  OrderCall *call = user;
  LnScaler *scaler = call->scaler;
  LbTime now = lb_clock_monotonic ();

  if (outcome == LN_DUTY_REFUSED)
    ln_duty_lease_request_read (scaler->lease, now);
  if (call->duty_epoch == scaler->duty_epoch)
    lc_scaling_record_order_outcome (scaler->scaling, &call->order,
                                     duty_outcome_to_scaling_outcome (outcome), now);
  free (call);
}

static void
send_scaling_order (LnScaler *scaler, const LcScalingOrder *order)
{
  const LnContext *context = scaler->context;
  const LnDutyHolder holder
      = { .holder = context->instance,
          .fence = ln_duty_lease_begin_call (scaler->lease, lb_clock_monotonic ()) };
  const LnScaleOrder scale = { .service = order->service,
                               .data_centre = order->data_centre,
                               .endpoints = order->endpoints,
                               .is_spot = true };
  OrderCall *call = LB_NEW (OrderCall);
  LcOutgoingRequest outgoing;

  *call = (OrderCall){ .scaler = scaler, .order = *order, .duty_epoch = scaler->duty_epoch };
  context->dialect->write_scale (&holder, &scale, &outgoing);
  lb_log (LB_LOG_INFO, "endpoints_ordered", LB_TEXT ("service", order->service),
          LB_TEXT ("data_centre", order->data_centre), LB_INT ("endpoints", order->endpoints),
          LB_INT ("fence", holder.fence));
  ln_platform_call_start (context, &scaler->calls, &outgoing, on_scaling_order_answered, call);
  lc_outgoing_request_clear (&outgoing);
}

void
ln_scaler_tick (LnScaler *scaler, LbTime now)
{
  bool fence_is_unchecked = !scaler->context->settings->duties.platform_checks_fence;
  LcScalingOrder order;

  if (!scaler->desired || !scaler->set)
    return;
  while (ln_duty_lease_allows_call (scaler->lease, fence_is_unchecked, now)
         && lc_scaling_next_order (scaler->scaling, scaler->desired, scaler->set, now, &order))
    send_scaling_order (scaler, &order);
}

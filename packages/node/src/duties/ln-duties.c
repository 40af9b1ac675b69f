#include "ln-context.h"

#include "ln-dialect.h"
#include "ln-duty-lease.h"
#include "ln-messages.h"
#include "ln-scaler.h"
#include "ln-true-time.h"
#include "ln-usage-reporter.h"
#include "ln-usage-rows.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-switch.h"
#include "lb-time.h"

#include <event2/event.h>
#include <stdlib.h>

#define DUTIES_TICK_PERIOD (100 * LB_MSEC)
#define LEASE_DUTY_NAME "platform"
/* Maximum time that a draining process delays its exit until its usage counts are written. If the
 * store is reachable, writing the counts takes less time. */
#define MAX_DRAIN_TIME (7 * LB_SEC)

/* The task "duties": holds the lease for calls to the shared platform that only one instance may
 * make at a time (usage reports, orders of endpoints), and counts this instance's requests for the
 * usage reports. */
typedef struct
{
  LnTask task; /* must be the first member */
  LnContext *context;
  struct event *timer;
  LnTrueTime *true_time;
  LnDutyLease *lease;
  LnUsageRows *usage_rows;         /* NULL: no usage reports are configured */
  LnUsageReporter *usage_reporter; /* NULL: no usage reports are configured */
  LnScaler *scaler;                /* NULL: no orders of endpoints are configured */
  size_t n_members;                /* number of known instances */
  bool posted_is_held;             /* last posted LN_DUTY: this instance has the lease */
  LbTime draining_since;           /* start of draining; 0: not draining */
} Duties;

static void
post_platform_duty_if_changed (Duties *duties, bool held)
{
  LnDutyMessage message
      = { .base = LN_MESSAGE (LN_DUTY), .duty = LN_DUTY_PLATFORM_CALLS, .held = held };

  if (held == duties->posted_is_held)
    return;
  duties->posted_is_held = held;
  LN_POST (duties->task.hub, NULL, message);
}

static void
on_duties_lease_changed (LbTime now, void *user)
{
  (void)now;
  Duties *duties = user;
  bool held = ln_duty_lease_is_held (duties->lease);

  if (duties->usage_reporter)
    ln_usage_reporter_set_lease_held (duties->usage_reporter, held);
  if (duties->scaler)
    ln_scaler_set_lease_held (duties->scaler, held);
  post_platform_duty_if_changed (duties, held);
}

static void
on_duties_tick (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Duties *duties = user;
  LbTime now = lb_clock_monotonic ();
  int64_t true_ms = ln_true_time_to_unix_ms (duties->true_time, now);

  ln_duty_lease_tick (duties->lease, duties->context->settings->duties.platform_checks_fence, now);
  if (duties->usage_rows)
    {
      ln_usage_rows_tick (duties->usage_rows, duties->n_members, true_ms, now);
      ln_usage_reporter_tick (duties->usage_reporter, true_ms, now);
    }
  if (duties->scaler)
    ln_scaler_tick (duties->scaler, now);
}

static void
apply_members_message (Duties *duties, const LnMembersMessage *message)
{
  duties->n_members = message->n_members;
  ln_true_time_set_members (duties->true_time, message);
  if (duties->draining_since == 0)
    ln_duty_lease_set_members (duties->lease, message);
}

static void
pass_message_to_scaler (LnScaler *scaler, const LnMessage *message)
{
  if (message->type == LN_DEMAND)
    ln_scaler_add_demand (scaler, (const LnDemandMessage *)message, lb_clock_monotonic ());
  else if (message->type == LN_DESIRED)
    ln_scaler_set_desired_state (scaler, ((const LnDesiredMessage *)message)->desired);
  else if (message->type == LN_CONFIG)
    ln_scaler_set_endpoints (scaler, ((const LnConfigMessage *)message)->set);
}

static void
receive_message_for_duties_task (LnTask *task, const LnMessage *message)
{
  Duties *duties = (Duties *)task;
  const LnRequestStartedMessage *started = (const LnRequestStartedMessage *)message;

  if (message->type == LN_MEMBERS)
    apply_members_message (duties, (const LnMembersMessage *)message);
  else if (message->type == LN_REQUEST_STARTED && duties->usage_rows)
    ln_usage_rows_count_request (duties->usage_rows, started->organisation,
                                 ln_true_time_to_unix_ms (duties->true_time, started->at));
  else if (duties->scaler)
    pass_message_to_scaler (duties->scaler, message);
}

static void
drain_duties_task (LnTask *task)
{
  Duties *duties = (Duties *)task;

  duties->draining_since = lb_clock_monotonic ();
  ln_duty_lease_release (duties->lease, duties->draining_since);
}

static bool
is_duties_task_idle (const LnTask *task)
{
  const Duties *duties = (const Duties *)task;
  LbTime now = lb_clock_monotonic ();

  if (duties->draining_since == 0 || now - duties->draining_since >= MAX_DRAIN_TIME)
    return true;
  return ln_duty_lease_is_released (duties->lease, now)
         && (!duties->usage_rows || ln_usage_rows_are_all_written (duties->usage_rows));
}

static void
free_duties_task (LnTask *task)
{
  Duties *duties = (Duties *)task;

  event_free (duties->timer);
  if (duties->usage_rows)
    {
      ln_usage_reporter_free (duties->usage_reporter);
      ln_usage_rows_free (duties->usage_rows);
    }
  if (duties->scaler)
    ln_scaler_free (duties->scaler);
  ln_duty_lease_free (duties->lease);
  ln_true_time_free (duties->true_time);
  free (duties);
}

static const LnTaskClass duties_class = { .name = "duties",
                                          .receive = receive_message_for_duties_task,
                                          .drain = drain_duties_task,
                                          .is_idle = is_duties_task_idle,
                                          .free = free_duties_task };

static bool
is_duty_configured (const LnContext *context, LnPlatformDuty duty)
{
  const LnSettings *settings = context->settings;

  for (size_t i = 0; i < settings->duties.n_kinds; i++)
    if (context->dialect->parse_duty_name (settings->duties.kinds[i]) == duty)
      return settings->duties.address[0] != '\0';
  return false;
}

/* If neither usage reports nor orders of endpoints are configured, the timer is not started, so
 * that this instance does not read the lease's row and makes no calls to the platform. */
LnTask *
ln_duties_task_new (LnContext *context)
{
  const struct timeval tick = lb_time_to_timeval (DUTIES_TICK_PERIOD);
  bool reports_usage = is_duty_configured (context, LN_PLATFORM_USAGE);
  bool scales
      = is_duty_configured (context, LN_PLATFORM_SCALE) && lb_switch_is_on (LB_SWITCH_SCALING);
  Duties *duties = LB_NEW (Duties);

  duties->task.klass = &duties_class;
  duties->task.hub = context->hub;
  duties->context = context;
  duties->true_time = ln_true_time_new (context);
  duties->lease = ln_duty_lease_new (context, LEASE_DUTY_NAME,
                                     context->settings->duties.platform_checks_fence,
                                     on_duties_lease_changed, duties);
  if (reports_usage)
    {
      duties->usage_rows
          = ln_usage_rows_new (context, context->settings->duties.usage_window_s * 1000);
      duties->usage_reporter = ln_usage_reporter_new (context, duties->lease);
    }
  if (scales)
    duties->scaler = ln_scaler_new (context, duties->lease);
  duties->timer = event_new (context->base, -1, EV_PERSIST, on_duties_tick, duties);
  if (reports_usage || scales)
    event_add (duties->timer, &tick);
  return &duties->task;
}

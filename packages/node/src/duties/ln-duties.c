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

#define TICK (100 * LB_MSEC)
#define DUTY "platform"
/* What an instance counted is in the store within this time after it began to leave, or the store
 * is away and its exit is not held up for it. */
#define MAX_GOODBYE (7 * LB_SEC)

/* What only one instance may do at a time towards the shared platform, and what each one counts for
 * it. Runs as the task "duties". */
typedef struct
{
  LnTask task; /* first */
  LnContext *context;
  struct event *timer;
  LnTrueTime *time;
  LnDutyLease *lease;
  LnUsageRows *rows;         /* NULL: the platform wants no reports of usage */
  LnUsageReporter *reporter; /* the same */
  LnScaler *scaler;          /* NULL: it takes no orders of endpoints */
  size_t n_members;
  bool was_held;         /* as the others were told */
  LbTime draining_since; /* 0: it is not */
} Duties;

static void
tell_held (Duties *duties, bool held)
{
  LnDutyMessage message
      = { .base = LN_MESSAGE (LN_DUTY), .duty = LN_DUTY_PLATFORM_CALLS, .held = held };

  if (held == duties->was_held)
    return;
  duties->was_held = held;
  LN_POST (duties->task.hub, NULL, message);
}

static void
on_lease (LbTime now, void *user)
{
  (void)now;
  Duties *duties = user;
  bool held = ln_duty_lease_is_held (duties->lease);

  if (duties->reporter)
    ln_usage_reporter_set_duty_held (duties->reporter, held);
  if (duties->scaler)
    ln_scaler_set_duty_held (duties->scaler, held);
  tell_held (duties, held);
}

static void
on_tick (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Duties *duties = user;
  LbTime now = lb_clock_monotonic ();
  int64_t true_ms = ln_true_time_ms (duties->time, now);

  ln_duty_lease_tick (duties->lease, duties->context->settings->duties.platform_checks_fence, now);
  if (duties->rows)
    {
      ln_usage_rows_tick (duties->rows, duties->n_members, true_ms, now);
      ln_usage_reporter_tick (duties->reporter, true_ms, now);
    }
  if (duties->scaler)
    ln_scaler_tick (duties->scaler, now);
}

static void
take_members (Duties *duties, const LnMembersMessage *message)
{
  duties->n_members = message->n_members;
  ln_true_time_set_members (duties->time, message);
  if (duties->draining_since == 0)
    ln_duty_lease_set_members (duties->lease, message);
}

static void
tell_scaler (LnScaler *scaler, const LnMessage *message)
{
  if (message->type == LN_DEMAND)
    ln_scaler_add_demand (scaler, (const LnDemandMessage *)message, lb_clock_monotonic ());
  else if (message->type == LN_DESIRED)
    ln_scaler_set_desired (scaler, ((const LnDesiredMessage *)message)->desired);
  else if (message->type == LN_CONFIG)
    ln_scaler_set_endpoints (scaler, ((const LnConfigMessage *)message)->set);
}

static void
receive (LnTask *task, const LnMessage *message)
{
  Duties *duties = (Duties *)task;
  const LnRequestStartedMessage *began = (const LnRequestStartedMessage *)message;

  if (message->type == LN_MEMBERS)
    take_members (duties, (const LnMembersMessage *)message);
  else if (message->type == LN_REQUEST_STARTED && duties->rows)
    ln_usage_rows_count_request (duties->rows, began->organisation,
                                 ln_true_time_ms (duties->time, began->at));
  else if (duties->scaler)
    tell_scaler (duties->scaler, message);
}

static void
drain (LnTask *task)
{
  Duties *duties = (Duties *)task;

  duties->draining_since = lb_clock_monotonic ();
  ln_duty_lease_release (duties->lease, duties->draining_since);
}

static bool
is_idle (const LnTask *task)
{
  const Duties *duties = (const Duties *)task;
  LbTime now = lb_clock_monotonic ();

  if (duties->draining_since == 0 || now - duties->draining_since >= MAX_GOODBYE)
    return true;
  return ln_duty_lease_is_released (duties->lease, now)
         && (!duties->rows || ln_usage_rows_are_written (duties->rows));
}

static void
free_task (LnTask *task)
{
  Duties *duties = (Duties *)task;

  event_free (duties->timer);
  if (duties->rows)
    {
      ln_usage_reporter_free (duties->reporter);
      ln_usage_rows_free (duties->rows);
    }
  if (duties->scaler)
    ln_scaler_free (duties->scaler);
  ln_duty_lease_free (duties->lease);
  ln_true_time_free (duties->time);
  free (duties);
}

static const LnTaskClass duties_class = {
  .name = "duties", .receive = receive, .drain = drain, .is_idle = is_idle, .free = free_task
};

static bool
wants (const LnContext *context, LnPlatformDuty duty)
{
  const LnSettings *settings = context->settings;

  for (size_t i = 0; i < settings->duties.n_kinds; i++)
    if (context->dialect->parse_duty_name (settings->duties.kinds[i]) == duty)
      return settings->duties.address[0] != '\0';
  return false;
}

/* Without any duty nothing is to be done, not even a lease to be kept. */
LnTask *
ln_duties_new (LnContext *context)
{
  const struct timeval tick = lb_time_to_timeval (TICK);
  bool reports = wants (context, LN_PLATFORM_USAGE);
  bool scales = wants (context, LN_PLATFORM_SCALE) && lb_switch_is_on (LB_SWITCH_SCALING);
  Duties *duties = LB_NEW (Duties);

  duties->task.klass = &duties_class;
  duties->task.hub = context->hub;
  duties->context = context;
  duties->time = ln_true_time_new (context);
  duties->lease = ln_duty_lease_new (context, DUTY, context->settings->duties.platform_checks_fence,
                                     on_lease, duties);
  if (reports)
    {
      duties->rows = ln_usage_rows_new (context, context->settings->duties.usage_window_s * 1000);
      duties->reporter = ln_usage_reporter_new (context, duties->lease);
    }
  if (scales)
    duties->scaler = ln_scaler_new (context, duties->lease);
  duties->timer = event_new (context->base, -1, EV_PERSIST, on_tick, duties);
  if (reports || scales)
    event_add (duties->timer, &tick);
  return &duties->task;
}

#include "ln-ticker.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"

#include <event2/event.h>
#include <stdlib.h>

#define BUSY_TICK_INTERVAL (50 * LB_MSEC)
#define IDLE_TICK_INTERVAL (250 * LB_MSEC)
/* For this time after reported work, an idle process ticks at BUSY_TICK_INTERVAL. */
#define BUSY_TIME_AFTER_WORK (5 * LB_SEC)
/* Calls that are due within this time after a tick are made in the same tick. */
#define DUE_TIME_TOLERANCE (BUSY_TICK_INTERVAL / 4)

struct LnTicker
{
  struct event *timer;
  LbList calls;
  bool is_idle;
  LbTime busy_until;
};

static bool
uses_idle_interval (const LnTicker *ticker, LbTime now)
{
  return ticker->is_idle && now >= ticker->busy_until;
}

static void
schedule_next_tick (LnTicker *ticker, LbTime now)
{
  const struct timeval interval = lb_time_to_timeval (
      uses_idle_interval (ticker, now) ? IDLE_TICK_INTERVAL : BUSY_TICK_INTERVAL);

  event_add (ticker->timer, &interval);
}

static void
run_due_periodic_calls (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnTicker *ticker = user;
  LbTime now = lb_clock_monotonic ();

  schedule_next_tick (ticker, now);
  LB_LIST_FOREACH (&ticker->calls, LnPeriodicCall, link, call)
  {
    if (call->due_at > now + DUE_TIME_TOLERANCE)
      continue;
    call->due_at = now + call->period;
    call->callback (call->user);
  }
}

LnTicker *
ln_ticker_new (struct event_base *base)
{
  LnTicker *ticker = LB_NEW (LnTicker);

  lb_list_init (&ticker->calls);
  ticker->timer = event_new (base, -1, 0, run_due_periodic_calls, ticker);
  return ticker;
}

void
ln_ticker_free (LnTicker *ticker)
{
  if (!ticker)
    return;
  event_free (ticker->timer);
  free (ticker);
}

void
ln_ticker_add (LnTicker *ticker, LnPeriodicCall *call)
{
  call->due_at = 0;
  lb_list_append (&ticker->calls, &call->link);
  event_active (ticker->timer, EV_TIMEOUT, 0);
}

void
ln_ticker_remove (LnTicker *ticker, LnPeriodicCall *call)
{
  lb_list_remove (&ticker->calls, &call->link);
}

void
ln_ticker_set_idle (LnTicker *ticker, bool is_idle)
{
  if (ticker->is_idle && !is_idle)
    event_active (ticker->timer, EV_TIMEOUT, 0);
  ticker->is_idle = is_idle;
}

void
ln_ticker_report_work (LnTicker *ticker, LbTime now)
{
  if (uses_idle_interval (ticker, now))
    event_active (ticker->timer, EV_TIMEOUT, 0);
  ticker->busy_until = now + BUSY_TIME_AFTER_WORK;
}

#include "ln-ticker.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-time.h"

#include <event2/event.h>
#include <stdlib.h>

#define PERIOD (50 * LB_MSEC)
#define IDLE_PERIOD (250 * LB_MSEC)
#define BUSY_TIME (5 * LB_SEC) /* after work has come */
/* A call that would be due so soon after a turn is made in it. */
#define TOLERANCE (PERIOD / 4)

struct LnTicker
{
  struct event *timer;
  LbList ticks;
  bool is_idle;
  LbTime busy_until;
};

static bool
is_slow (const LnTicker *ticker, LbTime now)
{
  return ticker->is_idle && now >= ticker->busy_until;
}

static void
arm (LnTicker *ticker, LbTime now)
{
  const struct timeval next = lb_time_to_timeval (is_slow (ticker, now) ? IDLE_PERIOD : PERIOD);

  event_add (ticker->timer, &next);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnTicker *ticker = user;
  LbTime now = lb_clock_monotonic ();

  arm (ticker, now);
  LB_LIST_FOREACH (&ticker->ticks, LnPeriodicCall, link, tick)
  {
    if (tick->due > now + TOLERANCE)
      continue;
    tick->due = now + tick->period;
    tick->callback (tick->user);
  }
}

LnTicker *
ln_ticker_new (struct event_base *base)
{
  LnTicker *ticker = LB_NEW (LnTicker);

  lb_list_init (&ticker->ticks);
  ticker->timer = event_new (base, -1, 0, on_timer, ticker);
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
ln_ticker_add (LnTicker *ticker, LnPeriodicCall *tick)
{
  tick->due = 0;
  lb_list_append (&ticker->ticks, &tick->link);
  event_active (ticker->timer, EV_TIMEOUT, 0);
}

void
ln_ticker_remove (LnTicker *ticker, LnPeriodicCall *tick)
{
  lb_list_remove (&ticker->ticks, &tick->link);
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
  if (is_slow (ticker, now))
    event_active (ticker->timer, EV_TIMEOUT, 0);
  ticker->busy_until = now + BUSY_TIME;
}

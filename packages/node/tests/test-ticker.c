#include "ln-ticker.h"

#include "lb-clock.h"

#include <criterion/criterion.h>
#include <event2/event.h>

typedef struct
{
  struct event_base *base;
  LnTicker *ticker;
  int n_fast_calls;
  int n_slow_calls;
} Fixture;

static void
count_fast_call (void *user)
{
  ((Fixture *)user)->n_fast_calls++;
}

static void
count_slow_call (void *user)
{
  ((Fixture *)user)->n_slow_calls++;
}

static void
run_event_loop_for_ms (Fixture *f, int ms)
{
  const struct timeval limit = { .tv_usec = ms * 1000 };

  event_base_loopexit (f->base, &limit);
  event_base_dispatch (f->base);
}

/* Guards against an idle process that wakes up 100 times a second. */
Test (ticker, idle_process_runs_periodic_calls_less_often_until_work_is_reported)
{
  Fixture f = { .base = event_base_new () };
  LnPeriodicCall fast = { .period = 50 * LB_MSEC, .callback = count_fast_call, .user = &f };
  LnPeriodicCall slow = { .period = 400 * LB_MSEC, .callback = count_slow_call, .user = &f };

  f.ticker = ln_ticker_new (f.base);
  ln_ticker_add (f.ticker, &fast);
  ln_ticker_add (f.ticker, &slow);
  ln_ticker_set_idle (f.ticker, true);
  run_event_loop_for_ms (&f, 900);
  cr_assert_geq (f.n_fast_calls, 1);
  cr_assert_leq (f.n_fast_calls, 5);
  cr_assert_leq (f.n_slow_calls, 3);
  int n_calls_while_idle = f.n_fast_calls;
  ln_ticker_report_work (f.ticker, lb_clock_monotonic ());
  run_event_loop_for_ms (&f, 900);
  cr_assert_gt (f.n_fast_calls - n_calls_while_idle, n_calls_while_idle);
  ln_ticker_remove (f.ticker, &fast);
  ln_ticker_remove (f.ticker, &slow);
  ln_ticker_free (f.ticker);
  event_base_free (f.base);
}

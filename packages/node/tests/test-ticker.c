#include "ln-ticker.h"

#include "lb-clock.h"

#include <criterion/criterion.h>
#include <event2/event.h>

typedef struct
{
  struct event_base *base;
  LnTicker *ticker;
  int n_fast;
  int n_slow;
} Fixture;

static void
count_fast (void *user)
{
  ((Fixture *)user)->n_fast++;
}

static void
count_slow (void *user)
{
  ((Fixture *)user)->n_slow++;
}

static void
run_for (Fixture *f, int ms)
{
  const struct timeval limit = { .tv_usec = ms * 1000 };

  event_base_loopexit (f->base, &limit);
  event_base_dispatch (f->base);
}

/* Guards against 100 wake-ups a second in an idle process. */
Test (ticker, idle_process_makes_fewer_calls_until_work_is_reported)
{
  Fixture f = { .base = event_base_new () };
  LnPeriodicCall fast = { .period = 50 * LB_MSEC, .callback = count_fast, .user = &f };
  LnPeriodicCall slow = { .period = 400 * LB_MSEC, .callback = count_slow, .user = &f };

  f.ticker = ln_ticker_new (f.base);
  ln_ticker_add (f.ticker, &fast);
  ln_ticker_add (f.ticker, &slow);
  ln_ticker_set_idle (f.ticker, true);
  run_for (&f, 900);
  cr_assert_geq (f.n_fast, 1);
  cr_assert_leq (f.n_fast, 5);
  cr_assert_leq (f.n_slow, 3);
  int before = f.n_fast;
  ln_ticker_report_work (f.ticker, lb_clock_monotonic ());
  run_for (&f, 900);
  cr_assert_gt (f.n_fast - before, before);
  ln_ticker_remove (f.ticker, &fast);
  ln_ticker_remove (f.ticker, &slow);
  ln_ticker_free (f.ticker);
  event_base_free (f.base);
}

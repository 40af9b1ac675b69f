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
} Setup;

static void
count_fast (void *user)
{
  ((Setup *)user)->n_fast++;
}

static void
count_slow (void *user)
{
  ((Setup *)user)->n_slow++;
}

static void
run_for (Setup *s, int ms)
{
  const struct timeval limit = { .tv_usec = ms * 1000 };

  event_base_loopexit (s->base, &limit);
  event_base_dispatch (s->base);
}

/* Guards against an idle process that is woken a hundred times a second. */
Test (ticker, an_idle_process_is_woken_seldom_until_work_comes)
{
  Setup s = { .base = event_base_new () };
  LnPeriodicCall fast = { .period = 50 * LB_MSEC, .callback = count_fast, .user = &s };
  LnPeriodicCall slow = { .period = 400 * LB_MSEC, .callback = count_slow, .user = &s };

  s.ticker = ln_ticker_new (s.base);
  ln_ticker_add (s.ticker, &fast);
  ln_ticker_add (s.ticker, &slow);
  ln_ticker_set_idle (s.ticker, true);
  run_for (&s, 900);
  cr_assert_geq (s.n_fast, 1);
  cr_assert_leq (s.n_fast, 5);
  cr_assert_leq (s.n_slow, 3);
  int before = s.n_fast;
  ln_ticker_report_work (s.ticker, lb_clock_monotonic ());
  run_for (&s, 900);
  cr_assert_gt (s.n_fast - before, before);
  ln_ticker_remove (s.ticker, &fast);
  ln_ticker_remove (s.ticker, &slow);
  ln_ticker_free (s.ticker);
  event_base_free (s.base);
}

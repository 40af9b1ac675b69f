#include "lc-usage-reports.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MS 5000
#define SETTLE_MS 2500
#define LATEST_MS 7000
#define DUE_MS 10000
#define N_WINDOWS 16
#define N_HOLDERS 4
#define MAX_CALLS 512
#define STEP (50 * LB_MSEC)
#define N_SEEDS 300

/* An action on its way to the store or the platform, and its answer on the way back. */
typedef struct
{
  bool used;
  int holder;
  int64_t epoch;
  LcUsageActionType type;
  int64_t window;
  char *text;
  LbTime apply_at;
  LbTime answer_at;
  bool applied;
  bool ok;
  char *other;
  bool answer_lost;
} Call;

/* Holders before one store and one platform, in virtual time. */
typedef struct
{
  LcUsageReports *holders[N_HOLDERS];
  Call calls[MAX_CALLS];
  char *decided[N_WINDOWS];
  bool closed[N_WINDOWS];
  char *taken[N_WINDOWS]; /* by the platform */
  int64_t truth[N_WINDOWS];
  LbTime taken_at[N_WINDOWS];
  LbTime store_away_until;
  LbTime platform_away_until;
  LbTime now;
  gsl_rng *random;
  bool faults;
} World;

static World w;

static void
world_init (unsigned long seed, bool faults)
{
  const LcUsageReportSettings settings
      = { .window_ms = WINDOW_MS, .settle_delay_ms = SETTLE_MS, .max_delay_ms = LATEST_MS };

  memset (&w, 0, sizeof w);
  w.faults = faults;
  w.random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (w.random, seed);
  for (int i = 0; i < N_HOLDERS; i++)
    w.holders[i] = lc_usage_reports_new (&settings);
}

static void
call_clear (Call *call)
{
  free (call->text);
  free (call->other);
  memset (call, 0, sizeof *call);
}

static void
world_clear (void)
{
  for (int i = 0; i < N_HOLDERS; i++)
    lc_usage_reports_free (w.holders[i]);
  for (int i = 0; i < MAX_CALLS; i++)
    call_clear (&w.calls[i]);
  for (int i = 0; i < N_WINDOWS; i++)
    {
      free (w.decided[i]);
      free (w.taken[i]);
    }
  gsl_rng_free (w.random);
}

static bool
chance (double share)
{
  return gsl_rng_uniform (w.random) < share;
}

static LbTime
delay (void)
{
  LbTime usual = 5 * LB_MSEC + (LbTime)(gsl_rng_uniform (w.random) * 40 * LB_MSEC);

  return w.faults && chance (0.03) ? usual + (LbTime)(gsl_rng_uniform (w.random) * 4 * LB_SEC)
                                   : usual;
}

static void
send (int holder, const LcUsageAction *action)
{
  for (int i = 0; i < MAX_CALLS; i++)
    if (!w.calls[i].used)
      {
        w.calls[i] = (Call){ .used = true,
                             .holder = holder,
                             .epoch = lc_usage_reports_duty_epoch (w.holders[holder]),
                             .type = action->type,
                             .window = action->window,
                             .text = action->text ? lb_strdup (action->text) : NULL,
                             .apply_at = w.now + delay (),
                             .answer_lost = w.faults && chance (0.05) };
        w.calls[i].answer_at = w.calls[i].apply_at + delay ();
        return;
      }
  cr_assert_fail ("too many calls on their way");
}

static bool
goes_to_platform (const Call *call)
{
  return call->type == LC_USAGE_SEND_REPORT;
}

static void
take_report (const Call *call)
{
  if (w.taken[call->window])
    cr_assert_str_eq (w.taken[call->window], call->text, "two reports of window %lld differ",
                      (long long)call->window);
  else
    {
      w.taken[call->window] = lb_strdup (call->text);
      w.taken_at[call->window] = w.now;
    }
}

static void
apply (Call *call)
{
  LbTime away_until = goes_to_platform (call) ? w.platform_away_until : w.store_away_until;
  char **row = &w.decided[call->window];

  call->applied = true;
  call->ok = w.now >= away_until;
  if (!call->ok)
    return;
  if (call->type == LC_USAGE_SEND_REPORT)
    take_report (call);
  else if (call->type == LC_USAGE_CLOSE_WINDOW)
    w.closed[call->window] = true;
  else if (call->type == LC_USAGE_RECORD_REPORT && *row)
    {
      call->ok = false;
      call->other = lb_strdup (*row);
    }
  else if (call->type == LC_USAGE_RECORD_REPORT)
    *row = lb_strdup (call->text);
}

static void
answer_read (LcUsageReports *reports, const Call *call)
{
  for (int i = 0; call->ok && i < N_WINDOWS; i++)
    if (w.decided[i])
      lc_usage_reports_add_recorded (reports, i, w.decided[i], w.closed[i]);
    else if (w.truth[i] > 0)
      lc_usage_reports_add_row_window (reports, i);
  lc_usage_reports_read_completed (reports, call->ok, w.now);
}

static void
answer_count (LcUsageReports *reports, const Call *call)
{
  LcUsageCounts *counts = lc_usage_counts_new ();

  lc_usage_counts_add (counts, "post", w.truth[call->window]);
  lc_usage_reports_sum_completed (reports, call->window, call->ok ? counts : NULL, w.now);
  lc_usage_counts_free (counts);
}

static void
answer (Call *call)
{
  LcUsageReports *reports = w.holders[call->holder];
  bool ok = call->ok && !call->answer_lost;

  if (call->epoch != lc_usage_reports_duty_epoch (reports))
    return;
  switch (call->type)
    {
    case LC_USAGE_READ_REPORTS:
      answer_read (reports, call);
      break;
    case LC_USAGE_SUM_ROWS:
      answer_count (reports, call);
      break;
    case LC_USAGE_RECORD_REPORT:
      lc_usage_reports_record_completed (reports, call->window, ok,
                                         call->answer_lost ? NULL : call->other, w.now);
      break;
    case LC_USAGE_SEND_REPORT:
      lc_usage_reports_send_completed (reports, call->window,
                                       ok ? LC_USAGE_ACCEPTED : LC_USAGE_NO_ANSWER, w.now);
      break;
    case LC_USAGE_CLOSE_WINDOW:
      lc_usage_reports_close_completed (reports, call->window, ok, w.now);
      break;
    }
  if (!ok && !goes_to_platform (call))
    lc_usage_reports_store_failed (reports, w.now);
}

static int64_t
true_ms (void)
{
  return w.now / LB_MSEC;
}

/* Requests begin all the time; their rows are there at once. */
static void
turn (void)
{
  LcUsageAction action;

  w.now += STEP;
  if (true_ms () / WINDOW_MS < N_WINDOWS)
    w.truth[true_ms () / WINDOW_MS]++;
  for (int i = 0; i < MAX_CALLS; i++)
    {
      Call *call = &w.calls[i];
      if (call->used && !call->applied && w.now >= call->apply_at)
        apply (call);
      if (!call->used || !call->applied || w.now < call->answer_at)
        continue;
      answer (call);
      call_clear (call);
    }
  for (int i = 0; i < N_HOLDERS; i++)
    while (lc_usage_reports_next_action (w.holders[i], true_ms (), w.now, &action))
      if (action.type == LC_USAGE_READ_REPORTS || action.window < N_WINDOWS)
        send (i, &action);
}

static void
disturb (void)
{
  int holder = (int)gsl_rng_uniform_int (w.random, N_HOLDERS);

  if (chance (0.005))
    lc_usage_reports_duty_acquired (w.holders[holder]);
  else if (chance (0.005))
    lc_usage_reports_duty_lost (w.holders[holder]);
  if (chance (0.003))
    w.store_away_until = w.now + (LbTime)(gsl_rng_uniform (w.random) * 6 * LB_SEC);
  if (chance (0.003))
    w.platform_away_until = w.now + (LbTime)(gsl_rng_uniform (w.random) * 6 * LB_SEC);
}

static void
assert_taken (int64_t window)
{
  char expected[64];

  snprintf (expected, sizeof expected, "{\"post\":%lld}", (long long)w.truth[window]);
  cr_assert (w.taken[window], "window %lld was not reported", (long long)window);
  cr_assert_str_eq (w.taken[window], expected);
}

/* One holder on a calm day: each window is reported once it is whole, long before it is due. */
Test (usage_reports, each_window_is_reported_in_time)
{
  world_init (1, false);
  lc_usage_reports_duty_acquired (w.holders[0]);
  while (true_ms () < 60000)
    turn ();
  for (int64_t window = 0; window < 11; window++)
    {
      assert_taken (window);
      cr_assert_lt (w.taken_at[window] / LB_MSEC, (window + 1) * WINDOW_MS + DUE_MS);
      cr_assert (w.closed[window]);
    }
  world_clear ();
}

/* The holder is killed between its decision and the answer of the platform, and nobody has the duty
 * for three windows. The next one repeats what was decided, and catches up what was not. */
Test (usage_reports, the_next_holder_repeats_and_catches_up)
{
  world_init (2, false);
  lc_usage_reports_duty_acquired (w.holders[0]);
  while (!w.decided[1])
    turn ();
  lc_usage_reports_duty_lost (w.holders[0]);
  w.truth[1] += 7; /* rows that came too late for the decision */
  while (true_ms () < 25000)
    turn ();
  cr_assert_null (w.taken[2]);
  lc_usage_reports_duty_acquired (w.holders[1]);
  while (true_ms () < 28000)
    turn ();
  cr_assert_str_eq (w.taken[1], w.decided[1]);
  assert_taken (2);
  assert_taken (3);
  world_clear ();
}

/* The store is away when a window ends. Instances could not write their rows; they are waited for
 * as long as the report can still come in time. */
Test (usage_reports, a_window_is_not_decided_while_the_store_is_away)
{
  world_init (3, false);
  lc_usage_reports_duty_acquired (w.holders[0]);
  while (true_ms () < 7400)
    turn ();
  w.store_away_until = w.now + 2 * LB_SEC;
  while (w.now < w.store_away_until + LB_SEC)
    turn ();
  cr_assert_null (w.decided[0], "instances write what they could not");
  while (true_ms () < 5000 + DUE_MS)
    turn ();
  assert_taken (0);
  world_clear ();
}

/* Holders that come and go, overlap and return; a store and a platform that go away, answer late or
 * lose their answers. No two reports of one window differ, and once it is calm all are there. */
Test (usage_reports, never_two_that_differ, .timeout = 120)
{
  const char *text = getenv ("USAGE_SEEDS");
  unsigned long n_seeds = text ? strtoul (text, NULL, 10) : N_SEEDS;

  for (unsigned long seed = 1; seed <= n_seeds; seed++)
    {
      world_init (seed, true);
      lc_usage_reports_duty_acquired (w.holders[0]);
      while (true_ms () < (N_WINDOWS - 4) * WINDOW_MS)
        {
          turn ();
          disturb ();
        }
      w.faults = false;
      w.store_away_until = w.platform_away_until = 0;
      for (int i = 1; i < N_HOLDERS; i++)
        lc_usage_reports_duty_lost (w.holders[i]);
      lc_usage_reports_duty_acquired (w.holders[0]);
      while (true_ms () < N_WINDOWS * WINDOW_MS)
        turn ();
      for (int64_t window = 0; window < N_WINDOWS - 4; window++)
        cr_assert (w.taken[window], "seed %lu: window %lld was not reported", seed,
                   (long long)window);
      world_clear ();
    }
}

static const char *
next_text (LcUsageReports *reports, LcUsageActionType type, LbTime now)
{
  LcUsageAction action;

  cr_assert (lc_usage_reports_next_action (reports, 8 * 1000, now, &action));
  cr_assert_eq (action.type, type);
  cr_assert_eq (action.window, type == LC_USAGE_READ_REPORTS ? action.window : 0);
  return action.text;
}

/* Two instances take themselves for the holder, and add a window up at different moments. The one
 * whose decision comes second finds the other's in the store, and sends that. */
Test (usage_reports, the_decision_that_stands_is_sent)
{
  const LcUsageReportSettings settings
      = { .window_ms = WINDOW_MS, .settle_delay_ms = SETTLE_MS, .max_delay_ms = LATEST_MS };
  LcUsageReports *reports = lc_usage_reports_new (&settings);
  LcUsageCounts *counts = lc_usage_counts_new ();

  lc_usage_counts_add (counts, "post", 5);
  lc_usage_reports_duty_acquired (reports);
  next_text (reports, LC_USAGE_READ_REPORTS, 0);
  lc_usage_reports_add_row_window (reports, 0);
  lc_usage_reports_read_completed (reports, true, 0);
  next_text (reports, LC_USAGE_SUM_ROWS, 0);
  lc_usage_reports_sum_completed (reports, 0, counts, 0);
  cr_assert_str_eq (next_text (reports, LC_USAGE_RECORD_REPORT, 0), "{\"post\":5}");
  lc_usage_reports_record_completed (reports, 0, false, "{\"post\":3}", 0);
  cr_assert_str_eq (next_text (reports, LC_USAGE_SEND_REPORT, 0), "{\"post\":3}");
  lc_usage_counts_free (counts);
  lc_usage_reports_free (reports);
}

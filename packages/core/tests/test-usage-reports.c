#include "lc-usage-reports.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MS 5000
#define SETTLE_DELAY_MS 2500
#define MAX_DELAY_MS 7000
#define DUE_MS 10000
#define N_WINDOWS 16
#define N_HOLDERS 4
#define MAX_OPERATIONS 512
#define STEP (50 * LB_MSEC)
#define N_SEEDS 300

/* An action in transit to the store or the platform, and its reply. */
typedef struct
{
  bool is_pending;
  int holder;
  int64_t epoch;
  LcUsageActionType type;
  int64_t window;
  char *text;
  LbTime apply_at;
  LbTime reply_at;
  bool is_applied;
  bool ok;
  char *recorded;
  bool is_reply_lost;
} Operation;

/* Several holders with one store and one platform, in virtual time. */
typedef struct
{
  LcUsageReports *holders[N_HOLDERS];
  Operation operations[MAX_OPERATIONS];
  char *recorded_text[N_WINDOWS];
  bool is_closed[N_WINDOWS];
  char *accepted_text[N_WINDOWS]; /* by the platform; NULL: none */
  int64_t expected_requests[N_WINDOWS];
  LbTime accepted_at[N_WINDOWS];
  LbTime store_down_until;
  LbTime platform_down_until;
  LbTime now;
  gsl_rng *random;
  bool injects_faults;
} World;

static World w;

static void
world_init (unsigned long seed, bool injects_faults)
{
  const LcUsageReportSettings settings = { .window_ms = WINDOW_MS,
                                           .settle_delay_ms = SETTLE_DELAY_MS,
                                           .max_delay_ms = MAX_DELAY_MS };

  memset (&w, 0, sizeof w);
  w.injects_faults = injects_faults;
  w.random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (w.random, seed);
  for (int i = 0; i < N_HOLDERS; i++)
    w.holders[i] = lc_usage_reports_new (&settings);
}

static void
operation_clear (Operation *operation)
{
  free (operation->text);
  free (operation->recorded);
  memset (operation, 0, sizeof *operation);
}

static void
world_clear (void)
{
  for (int i = 0; i < N_HOLDERS; i++)
    lc_usage_reports_free (w.holders[i]);
  for (int i = 0; i < MAX_OPERATIONS; i++)
    operation_clear (&w.operations[i]);
  for (int i = 0; i < N_WINDOWS; i++)
    {
      free (w.recorded_text[i]);
      free (w.accepted_text[i]);
    }
  gsl_rng_free (w.random);
}

static bool
happens (double share)
{
  return gsl_rng_uniform (w.random) < share;
}

static LbTime
delay (void)
{
  LbTime typical = 5 * LB_MSEC + (LbTime)(gsl_rng_uniform (w.random) * 40 * LB_MSEC);

  return w.injects_faults && happens (0.03)
             ? typical + (LbTime)(gsl_rng_uniform (w.random) * 4 * LB_SEC)
             : typical;
}

static void
start_operation (int holder, const LcUsageAction *action)
{
  for (int i = 0; i < MAX_OPERATIONS; i++)
    if (!w.operations[i].is_pending)
      {
        w.operations[i] = (Operation){ .is_pending = true,
                                       .holder = holder,
                                       .epoch = lc_usage_reports_duty_epoch (w.holders[holder]),
                                       .type = action->type,
                                       .window = action->window,
                                       .text = action->text ? lb_strdup (action->text) : NULL,
                                       .apply_at = w.now + delay (),
                                       .is_reply_lost = w.injects_faults && happens (0.05) };
        w.operations[i].reply_at = w.operations[i].apply_at + delay ();
        return;
      }
  cr_assert_fail ("too many operations in transit");
}

static bool
is_for_platform (const Operation *operation)
{
  return operation->type == LC_USAGE_SEND_REPORT;
}

static void
accept_report (const Operation *operation)
{
  if (w.accepted_text[operation->window])
    cr_assert_str_eq (w.accepted_text[operation->window], operation->text,
                      "two reports of window %lld differ", (long long)operation->window);
  else
    {
      w.accepted_text[operation->window] = lb_strdup (operation->text);
      w.accepted_at[operation->window] = w.now;
    }
}

static void
apply_operation (Operation *operation)
{
  LbTime down_until = is_for_platform (operation) ? w.platform_down_until : w.store_down_until;
  char **row = &w.recorded_text[operation->window];

  operation->is_applied = true;
  operation->ok = w.now >= down_until;
  if (!operation->ok)
    return;
  if (operation->type == LC_USAGE_SEND_REPORT)
    accept_report (operation);
  else if (operation->type == LC_USAGE_CLOSE_WINDOW)
    w.is_closed[operation->window] = true;
  else if (operation->type == LC_USAGE_RECORD_REPORT && *row)
    {
      operation->ok = false;
      operation->recorded = lb_strdup (*row);
    }
  else if (operation->type == LC_USAGE_RECORD_REPORT)
    *row = lb_strdup (operation->text);
}

static void
complete_read (LcUsageReports *reports, const Operation *operation)
{
  for (int i = 0; operation->ok && i < N_WINDOWS; i++)
    if (w.recorded_text[i])
      lc_usage_reports_add_recorded (reports, i, w.recorded_text[i], w.is_closed[i]);
    else if (w.expected_requests[i] > 0)
      lc_usage_reports_add_row_window (reports, i);
  lc_usage_reports_read_completed (reports, operation->ok, w.now);
}

static void
complete_sum (LcUsageReports *reports, const Operation *operation)
{
  LcUsageCounts *counts = lc_usage_counts_new ();

  lc_usage_counts_add (counts, "post", w.expected_requests[operation->window]);
  lc_usage_reports_sum_completed (reports, operation->window, operation->ok ? counts : NULL, w.now);
  lc_usage_counts_free (counts);
}

static void
complete_operation (Operation *operation)
{
  LcUsageReports *reports = w.holders[operation->holder];
  bool ok = operation->ok && !operation->is_reply_lost;

  if (operation->epoch != lc_usage_reports_duty_epoch (reports))
    return;
  switch (operation->type)
    {
    case LC_USAGE_READ_REPORTS:
      complete_read (reports, operation);
      break;
    case LC_USAGE_SUM_ROWS:
      complete_sum (reports, operation);
      break;
    case LC_USAGE_RECORD_REPORT:
      lc_usage_reports_record_completed (reports, operation->window, ok,
                                         operation->is_reply_lost ? NULL : operation->recorded,
                                         w.now);
      break;
    case LC_USAGE_SEND_REPORT:
      lc_usage_reports_send_completed (reports, operation->window,
                                       ok ? LC_USAGE_ACCEPTED : LC_USAGE_NO_ANSWER, w.now);
      break;
    case LC_USAGE_CLOSE_WINDOW:
      lc_usage_reports_close_completed (reports, operation->window, ok, w.now);
      break;
    }
  if (!ok && !is_for_platform (operation))
    lc_usage_reports_record_store_failure (reports, w.now);
}

static int64_t
true_ms (void)
{
  return w.now / LB_MSEC;
}

/* One request starts in each step, and its row is stored at once. */
static void
run_step (void)
{
  LcUsageAction action;

  w.now += STEP;
  if (true_ms () / WINDOW_MS < N_WINDOWS)
    w.expected_requests[true_ms () / WINDOW_MS]++;
  for (int i = 0; i < MAX_OPERATIONS; i++)
    {
      Operation *operation = &w.operations[i];
      if (operation->is_pending && !operation->is_applied && w.now >= operation->apply_at)
        apply_operation (operation);
      if (!operation->is_pending || !operation->is_applied || w.now < operation->reply_at)
        continue;
      complete_operation (operation);
      operation_clear (operation);
    }
  for (int i = 0; i < N_HOLDERS; i++)
    while (lc_usage_reports_next_action (w.holders[i], true_ms (), w.now, &action))
      if (action.type == LC_USAGE_READ_REPORTS || action.window < N_WINDOWS)
        start_operation (i, &action);
}

static void
inject_faults (void)
{
  int holder = (int)gsl_rng_uniform_int (w.random, N_HOLDERS);

  if (happens (0.005))
    lc_usage_reports_begin_duty (w.holders[holder]);
  else if (happens (0.005))
    lc_usage_reports_end_duty (w.holders[holder]);
  if (happens (0.003))
    w.store_down_until = w.now + (LbTime)(gsl_rng_uniform (w.random) * 6 * LB_SEC);
  if (happens (0.003))
    w.platform_down_until = w.now + (LbTime)(gsl_rng_uniform (w.random) * 6 * LB_SEC);
}

static void
assert_accepted (int64_t window)
{
  char expected[64];

  snprintf (expected, sizeof expected, "{\"post\":%lld}", (long long)w.expected_requests[window]);
  cr_assert (w.accepted_text[window], "window %lld was not reported", (long long)window);
  cr_assert_str_eq (w.accepted_text[window], expected);
}

/* One holder without faults reports each window once it is complete, before it is due. */
Test (usage_reports, each_window_is_reported_before_it_is_due)
{
  world_init (1, false);
  lc_usage_reports_begin_duty (w.holders[0]);
  while (true_ms () < 60000)
    run_step ();
  for (int64_t window = 0; window < 11; window++)
    {
      assert_accepted (window);
      cr_assert_lt (w.accepted_at[window] / LB_MSEC, (window + 1) * WINDOW_MS + DUE_MS);
      cr_assert (w.is_closed[window]);
    }
  world_clear ();
}

/* The holder is killed after it recorded a report and before the platform answers, and no instance
 * holds the reporting duty for three windows. The next holder must send the recorded report
 * unchanged, and report the missed windows. */
Test (usage_reports, next_holder_resends_recorded_report_and_catches_up)
{
  world_init (2, false);
  lc_usage_reports_begin_duty (w.holders[0]);
  while (!w.recorded_text[1])
    run_step ();
  lc_usage_reports_end_duty (w.holders[0]);
  w.expected_requests[1] += 7; /* rows that arrive after the report was recorded */
  while (true_ms () < 25000)
    run_step ();
  cr_assert_null (w.accepted_text[2]);
  lc_usage_reports_begin_duty (w.holders[1]);
  while (true_ms () < 28000)
    run_step ();
  cr_assert_str_eq (w.accepted_text[1], w.recorded_text[1]);
  assert_accepted (2);
  assert_accepted (3);
  world_clear ();
}

/* The store is down when a window ends, so instances could not write their rows. The report must
 * wait for them as long as it can still be sent in time. */
Test (usage_reports, no_report_is_recorded_while_the_store_is_down)
{
  world_init (3, false);
  lc_usage_reports_begin_duty (w.holders[0]);
  while (true_ms () < 7400)
    run_step ();
  w.store_down_until = w.now + 2 * LB_SEC;
  while (w.now < w.store_down_until + LB_SEC)
    run_step ();
  cr_assert_null (w.recorded_text[0], "instances must have time to write the rows that failed");
  while (true_ms () < 5000 + DUE_MS)
    run_step ();
  assert_accepted (0);
  world_clear ();
}

/* Random run: holders gain and lose the duty and overlap; store and platform are down at times,
 * answer late or lose replies. No two reports of one window may differ, and all windows must be
 * reported once the faults end. */
Test (usage_reports, reports_of_one_window_never_differ, .timeout = 120)
{
  const char *text = getenv ("USAGE_SEEDS");
  unsigned long n_seeds = text ? strtoul (text, NULL, 10) : N_SEEDS;

  for (unsigned long seed = 1; seed <= n_seeds; seed++)
    {
      world_init (seed, true);
      lc_usage_reports_begin_duty (w.holders[0]);
      while (true_ms () < (N_WINDOWS - 4) * WINDOW_MS)
        {
          run_step ();
          inject_faults ();
        }
      w.injects_faults = false;
      w.store_down_until = w.platform_down_until = 0;
      for (int i = 1; i < N_HOLDERS; i++)
        lc_usage_reports_end_duty (w.holders[i]);
      lc_usage_reports_begin_duty (w.holders[0]);
      while (true_ms () < N_WINDOWS * WINDOW_MS)
        run_step ();
      for (int64_t window = 0; window < N_WINDOWS - 4; window++)
        cr_assert (w.accepted_text[window], "seed %lu: window %lld was not reported", seed,
                   (long long)window);
      world_clear ();
    }
}

static const char *
expect_action (LcUsageReports *reports, LcUsageActionType type, LbTime now)
{
  LcUsageAction action;

  cr_assert (lc_usage_reports_next_action (reports, 8 * 1000, now, &action));
  cr_assert_eq (action.type, type);
  cr_assert_eq (action.window, type == LC_USAGE_READ_REPORTS ? action.window : 0);
  return action.text;
}

/* Two instances hold the duty at once and sum a window at different times. The second one finds the
 * report of the other in the store, and must send that one. */
Test (usage_reports, report_recorded_by_another_holder_is_sent)
{
  const LcUsageReportSettings settings = { .window_ms = WINDOW_MS,
                                           .settle_delay_ms = SETTLE_DELAY_MS,
                                           .max_delay_ms = MAX_DELAY_MS };
  LcUsageReports *reports = lc_usage_reports_new (&settings);
  LcUsageCounts *counts = lc_usage_counts_new ();

  lc_usage_counts_add (counts, "post", 5);
  lc_usage_reports_begin_duty (reports);
  expect_action (reports, LC_USAGE_READ_REPORTS, 0);
  lc_usage_reports_add_row_window (reports, 0);
  lc_usage_reports_read_completed (reports, true, 0);
  expect_action (reports, LC_USAGE_SUM_ROWS, 0);
  lc_usage_reports_sum_completed (reports, 0, counts, 0);
  cr_assert_str_eq (expect_action (reports, LC_USAGE_RECORD_REPORT, 0), "{\"post\":5}");
  lc_usage_reports_record_completed (reports, 0, false, "{\"post\":3}", 0);
  cr_assert_str_eq (expect_action (reports, LC_USAGE_SEND_REPORT, 0), "{\"post\":3}");
  lc_usage_counts_free (counts);
  lc_usage_reports_free (reports);
}

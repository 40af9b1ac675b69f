#include "lc-usage-reports.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MS 5000
#define SETTLE_DELAY_MS 2500
#define MAX_REPORT_DELAY_MS 7000
#define REPORT_DUE_MS 10000
#define N_WINDOWS 16
#define N_HOLDERS 4
#define MAX_PENDING_OPERATIONS 512
#define TIME_STEP (50 * LB_MSEC)
#define DEFAULT_N_SEEDS 300

/* A call to the store or the platform by a holder (an instance that reports usage), and the delayed
 * reply to the call. */
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

/* Simulates several instances that report usage (holders of the reporting duty), one store and one
 * platform, in virtual time. */
typedef struct
{
  LcUsageReports *holders[N_HOLDERS];
  Operation operations[MAX_PENDING_OPERATIONS];
  char *recorded_text[N_WINDOWS];
  bool is_closed[N_WINDOWS];
  char *accepted_text[N_WINDOWS]; /* report that the platform accepted; NULL: none */
  int64_t expected_requests[N_WINDOWS];
  LbTime accepted_at[N_WINDOWS];
  LbTime store_down_until;
  LbTime platform_down_until;
  LbTime now;
  gsl_rng *random;
  bool injects_faults;
} Simulation;

static Simulation simulation;

static void
usage_simulation_init (unsigned long seed, bool injects_faults)
{
  const LcUsageReportSettings settings = { .window_ms = WINDOW_MS,
                                           .settle_delay_ms = SETTLE_DELAY_MS,
                                           .max_delay_ms = MAX_REPORT_DELAY_MS };

  memset (&simulation, 0, sizeof simulation);
  simulation.injects_faults = injects_faults;
  simulation.random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (simulation.random, seed);
  for (int i = 0; i < N_HOLDERS; i++)
    simulation.holders[i] = lc_usage_reports_new (&settings);
}

static void
operation_clear (Operation *operation)
{
  free (operation->text);
  free (operation->recorded);
  memset (operation, 0, sizeof *operation);
}

static void
usage_simulation_clear (void)
{
  for (int i = 0; i < N_HOLDERS; i++)
    lc_usage_reports_free (simulation.holders[i]);
  for (int i = 0; i < MAX_PENDING_OPERATIONS; i++)
    operation_clear (&simulation.operations[i]);
  for (int i = 0; i < N_WINDOWS; i++)
    {
      free (simulation.recorded_text[i]);
      free (simulation.accepted_text[i]);
    }
  gsl_rng_free (simulation.random);
}

static bool
draw_bool_with_probability (double probability)
{
  return gsl_rng_uniform (simulation.random) < probability;
}

static LbTime
draw_operation_delay (void)
{
  LbTime typical = 5 * LB_MSEC + (LbTime)(gsl_rng_uniform (simulation.random) * 40 * LB_MSEC);

  return simulation.injects_faults && draw_bool_with_probability (0.03)
             ? typical + (LbTime)(gsl_rng_uniform (simulation.random) * 4 * LB_SEC)
             : typical;
}

static void
start_holder_operation (int holder, const LcUsageAction *action)
{
  for (int i = 0; i < MAX_PENDING_OPERATIONS; i++)
    if (!simulation.operations[i].is_pending)
      {
        simulation.operations[i]
            = (Operation){ .is_pending = true,
                           .holder = holder,
                           .epoch = lc_usage_reports_duty_epoch (simulation.holders[holder]),
                           .type = action->type,
                           .window = action->window,
                           .text = action->text ? lb_strdup (action->text) : NULL,
                           .apply_at = simulation.now + draw_operation_delay (),
                           .is_reply_lost
                           = simulation.injects_faults && draw_bool_with_probability (0.05) };
        simulation.operations[i].reply_at
            = simulation.operations[i].apply_at + draw_operation_delay ();
        return;
      }
  cr_assert_fail ("too many operations in transit");
}

static bool
is_platform_operation (const Operation *operation)
{
  return operation->type == LC_USAGE_SEND_REPORT;
}

static void
record_accepted_report (const Operation *operation)
{
  if (simulation.accepted_text[operation->window])
    cr_assert_str_eq (simulation.accepted_text[operation->window], operation->text,
                      "expected the same report of window %lld again, got a different one",
                      (long long)operation->window);
  else
    {
      simulation.accepted_text[operation->window] = lb_strdup (operation->text);
      simulation.accepted_at[operation->window] = simulation.now;
    }
}

static void
apply_holder_operation (Operation *operation)
{
  LbTime down_until = is_platform_operation (operation) ? simulation.platform_down_until
                                                        : simulation.store_down_until;
  char **row = &simulation.recorded_text[operation->window];

  operation->is_applied = true;
  operation->ok = simulation.now >= down_until;
  if (!operation->ok)
    return;
  if (operation->type == LC_USAGE_SEND_REPORT)
    record_accepted_report (operation);
  else if (operation->type == LC_USAGE_CLOSE_WINDOW)
    simulation.is_closed[operation->window] = true;
  else if (operation->type == LC_USAGE_RECORD_REPORT && *row)
    {
      operation->ok = false;
      operation->recorded = lb_strdup (*row);
    }
  else if (operation->type == LC_USAGE_RECORD_REPORT)
    *row = lb_strdup (operation->text);
}

static void
complete_read_of_recorded_reports (LcUsageReports *reports, const Operation *operation)
{
  for (int i = 0; operation->ok && i < N_WINDOWS; i++)
    if (simulation.recorded_text[i])
      lc_usage_reports_add_recorded_report (reports, i, simulation.recorded_text[i],
                                            simulation.is_closed[i]);
    else if (simulation.expected_requests[i] > 0)
      lc_usage_reports_add_window_with_rows (reports, i);
  lc_usage_reports_read_reports_completed (reports, operation->ok, simulation.now);
}

static void
complete_sum_of_window_rows (LcUsageReports *reports, const Operation *operation)
{
  LcUsageCounts *counts = lc_usage_counts_new ();

  lc_usage_counts_add_requests (counts, "post", simulation.expected_requests[operation->window]);
  lc_usage_reports_sum_rows_completed (reports, operation->window, operation->ok ? counts : NULL,
                                       simulation.now);
  lc_usage_counts_free (counts);
}

static void
deliver_operation_result_to_holder (Operation *operation)
{
  LcUsageReports *reports = simulation.holders[operation->holder];
  bool ok = operation->ok && !operation->is_reply_lost;

  if (operation->epoch != lc_usage_reports_duty_epoch (reports))
    return;
  switch (operation->type)
    {
    case LC_USAGE_READ_REPORTS:
      complete_read_of_recorded_reports (reports, operation);
      break;
    case LC_USAGE_SUM_ROWS:
      complete_sum_of_window_rows (reports, operation);
      break;
    case LC_USAGE_RECORD_REPORT:
      lc_usage_reports_record_report_completed (reports, operation->window, ok,
                                                operation->is_reply_lost ? NULL
                                                                         : operation->recorded,
                                                simulation.now);
      break;
    case LC_USAGE_SEND_REPORT:
      lc_usage_reports_send_report_completed (reports, operation->window,
                                              ok ? LC_USAGE_ACCEPTED : LC_USAGE_NO_ANSWER,
                                              simulation.now);
      break;
    case LC_USAGE_CLOSE_WINDOW:
      lc_usage_reports_close_window_completed (reports, operation->window, ok, simulation.now);
      break;
    }
  if (!ok && !is_platform_operation (operation))
    lc_usage_reports_record_store_failure (reports, simulation.now);
}

static int64_t
get_simulated_true_time_ms (void)
{
  return simulation.now / LB_MSEC;
}

/* Advances virtual time by TIME_STEP. One request starts in each step and is counted at once. */
static void
simulate_one_time_step (void)
{
  LcUsageAction action;

  simulation.now += TIME_STEP;
  if (get_simulated_true_time_ms () / WINDOW_MS < N_WINDOWS)
    simulation.expected_requests[get_simulated_true_time_ms () / WINDOW_MS]++;
  for (int i = 0; i < MAX_PENDING_OPERATIONS; i++)
    {
      Operation *operation = &simulation.operations[i];
      if (operation->is_pending && !operation->is_applied && simulation.now >= operation->apply_at)
        apply_holder_operation (operation);
      if (!operation->is_pending || !operation->is_applied || simulation.now < operation->reply_at)
        continue;
      deliver_operation_result_to_holder (operation);
      operation_clear (operation);
    }
  for (int i = 0; i < N_HOLDERS; i++)
    while (lc_usage_reports_next_action (simulation.holders[i], get_simulated_true_time_ms (),
                                         simulation.now, &action))
      if (action.type == LC_USAGE_READ_REPORTS || action.window < N_WINDOWS)
        start_holder_operation (i, &action);
}

static void
inject_random_faults (void)
{
  int holder = (int)gsl_rng_uniform_int (simulation.random, N_HOLDERS);

  if (draw_bool_with_probability (0.005))
    lc_usage_reports_begin_duty (simulation.holders[holder]);
  else if (draw_bool_with_probability (0.005))
    lc_usage_reports_end_duty (simulation.holders[holder]);
  if (draw_bool_with_probability (0.003))
    simulation.store_down_until
        = simulation.now + (LbTime)(gsl_rng_uniform (simulation.random) * 6 * LB_SEC);
  if (draw_bool_with_probability (0.003))
    simulation.platform_down_until
        = simulation.now + (LbTime)(gsl_rng_uniform (simulation.random) * 6 * LB_SEC);
}

static void
assert_correct_report_of_window_accepted (int64_t window)
{
  char expected[64];

  snprintf (expected, sizeof expected, "{\"post\":%lld}",
            (long long)simulation.expected_requests[window]);
  cr_assert (simulation.accepted_text[window], "window %lld was not reported", (long long)window);
  cr_assert_str_eq (simulation.accepted_text[window], expected);
}

/* Without faults, the instance that reports usage must report each window after the end of the
 * window and before the report is due. */
Test (usage_reports, each_window_is_reported_before_it_is_due)
{
  usage_simulation_init (1, false);
  lc_usage_reports_begin_duty (simulation.holders[0]);
  while (get_simulated_true_time_ms () < 60000)
    simulate_one_time_step ();
  for (int64_t window = 0; window < 11; window++)
    {
      assert_correct_report_of_window_accepted (window);
      cr_assert_lt (simulation.accepted_at[window] / LB_MSEC,
                    (window + 1) * WINDOW_MS + REPORT_DUE_MS);
      cr_assert (simulation.is_closed[window]);
    }
  usage_simulation_clear ();
}

/* The holder is killed after it recorded a report and before the platform answers, and no instance
 * holds the reporting duty for three windows. The next holder must send the recorded report
 * unchanged, and report the missed windows. */
Test (usage_reports, next_holder_resends_recorded_report_and_catches_up)
{
  usage_simulation_init (2, false);
  lc_usage_reports_begin_duty (simulation.holders[0]);
  while (!simulation.recorded_text[1])
    simulate_one_time_step ();
  lc_usage_reports_end_duty (simulation.holders[0]);
  simulation.expected_requests[1]
      += 7; /* requests counted in rows that are stored after the report was recorded */
  while (get_simulated_true_time_ms () < 25000)
    simulate_one_time_step ();
  cr_assert_null (simulation.accepted_text[2]);
  lc_usage_reports_begin_duty (simulation.holders[1]);
  while (get_simulated_true_time_ms () < 28000)
    simulate_one_time_step ();
  cr_assert_str_eq (simulation.accepted_text[1], simulation.recorded_text[1]);
  assert_correct_report_of_window_accepted (2);
  assert_correct_report_of_window_accepted (3);
  usage_simulation_clear ();
}

/* The store is down when a window ends, so instances could not write their rows. The report must
 * wait for these rows as long as it can still be sent before it is due. */
Test (usage_reports, no_report_is_recorded_while_the_store_is_down)
{
  usage_simulation_init (3, false);
  lc_usage_reports_begin_duty (simulation.holders[0]);
  while (get_simulated_true_time_ms () < 7400)
    simulate_one_time_step ();
  simulation.store_down_until = simulation.now + 2 * LB_SEC;
  while (simulation.now < simulation.store_down_until + LB_SEC)
    simulate_one_time_step ();
  cr_assert_null (simulation.recorded_text[0],
                  "instances must have time to write the rows that failed");
  while (get_simulated_true_time_ms () < 5000 + REPORT_DUE_MS)
    simulate_one_time_step ();
  assert_correct_report_of_window_accepted (0);
  usage_simulation_clear ();
}

/* Random run: holders gain and lose the duty and overlap; store and platform are down at times,
 * answer late or lose replies. No two reports of one window may differ, and all windows must be
 * reported once the faults end. */
Test (usage_reports, reports_of_one_window_never_differ, .timeout = 120)
{
  const char *text = getenv ("USAGE_SEEDS");
  unsigned long n_seeds = text ? strtoul (text, NULL, 10) : DEFAULT_N_SEEDS;

  for (unsigned long seed = 1; seed <= n_seeds; seed++)
    {
      usage_simulation_init (seed, true);
      lc_usage_reports_begin_duty (simulation.holders[0]);
      while (get_simulated_true_time_ms () < (N_WINDOWS - 4) * WINDOW_MS)
        {
          simulate_one_time_step ();
          inject_random_faults ();
        }
      simulation.injects_faults = false;
      simulation.store_down_until = simulation.platform_down_until = 0;
      for (int i = 1; i < N_HOLDERS; i++)
        lc_usage_reports_end_duty (simulation.holders[i]);
      lc_usage_reports_begin_duty (simulation.holders[0]);
      while (get_simulated_true_time_ms () < N_WINDOWS * WINDOW_MS)
        simulate_one_time_step ();
      for (int64_t window = 0; window < N_WINDOWS - 4; window++)
        cr_assert (simulation.accepted_text[window], "seed %lu: window %lld was not reported", seed,
                   (long long)window);
      usage_simulation_clear ();
    }
}

static const char *
expect_next_usage_action (LcUsageReports *reports, LcUsageActionType type, LbTime now)
{
  LcUsageAction action;

  cr_assert (lc_usage_reports_next_action (reports, 8 * 1000, now, &action));
  cr_assert_eq (action.type, type);
  cr_assert_eq (action.window, type == LC_USAGE_READ_REPORTS ? action.window : 0);
  return action.text;
}

/* Two instances hold the duty at once and sum a window at different times. The second
 * instance finds the first one's report in the store, and must send that report. */
Test (usage_reports, report_recorded_by_another_holder_is_sent)
{
  const LcUsageReportSettings settings = { .window_ms = WINDOW_MS,
                                           .settle_delay_ms = SETTLE_DELAY_MS,
                                           .max_delay_ms = MAX_REPORT_DELAY_MS };
  LcUsageReports *reports = lc_usage_reports_new (&settings);
  LcUsageCounts *counts = lc_usage_counts_new ();

  lc_usage_counts_add_requests (counts, "post", 5);
  lc_usage_reports_begin_duty (reports);
  expect_next_usage_action (reports, LC_USAGE_READ_REPORTS, 0);
  lc_usage_reports_add_window_with_rows (reports, 0);
  lc_usage_reports_read_reports_completed (reports, true, 0);
  expect_next_usage_action (reports, LC_USAGE_SUM_ROWS, 0);
  lc_usage_reports_sum_rows_completed (reports, 0, counts, 0);
  cr_assert_str_eq (expect_next_usage_action (reports, LC_USAGE_RECORD_REPORT, 0), "{\"post\":5}");
  lc_usage_reports_record_report_completed (reports, 0, false, "{\"post\":3}", 0);
  cr_assert_str_eq (expect_next_usage_action (reports, LC_USAGE_SEND_REPORT, 0), "{\"post\":3}");
  lc_usage_counts_free (counts);
  lc_usage_reports_free (reports);
}

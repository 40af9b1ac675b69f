#include "ln-usage-reporter.h"

#include "ln-dialect.h"
#include "ln-platform-call.h"
#include "ln-usage-rows.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-json.h"
#include "lb-list.h"
#include "lb-log.h"
#include "lc-usage-reports.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REPORT_PREFIX "report/usage/"
/* Reports that stay in the store: all that a later holder may look for, and some more. */
#define KEPT_REPORTS 48
/* The store takes 100 entries in a transaction. */
#define MAX_REMOVED 90
/* After a window's end: instances write their last rows within a second and a half, a little later
 * on large sites, and the clocks by which they count differ by some ten milliseconds. */
#define SETTLE_MS 2500
/* Of the ten seconds or more until a report is due, what is left to send it. */
#define SENDING_MS 3000

struct LnUsageReporter
{
  LnContext *context;
  LnDutyLease *lease;
  LcUsageReports *reports;
  LbList calls; /* LnPlatformCall on their way */
};

/* One action on its way. */
typedef struct
{
  LnUsageReporter *reporter;
  int64_t epoch;
  int64_t window;
  size_t waiting; /* lists on their way */
  bool failed;
  LcUsageCounts *counts;
  char *text;
} Step;

static LbMetric sent
    = LB_COUNTER_INIT ("lentilspindle_usage_reports_total",
                       NULL,
                       "Reports of usage that the platform took from this instance");

static LcUsageReports *
reports_new (const LnSettings *settings)
{
  const LcUsageReportSettings rules
      = { .window_ms = settings->duties.usage_window_s * 1000,
          .settle_delay_ms = SETTLE_MS,
          .max_delay_ms = settings->duties.usage_due_s * 1000 - SENDING_MS };

  return lc_usage_reports_new (&rules);
}

LnUsageReporter *
ln_usage_reporter_new (LnContext *context, LnDutyLease *lease)
{
  LnUsageReporter *reporter = LB_NEW (LnUsageReporter);

  reporter->context = context;
  reporter->lease = lease;
  reporter->reports = reports_new (context->settings);
  lb_list_init (&reporter->calls);
  return reporter;
}

void
ln_usage_reporter_free (LnUsageReporter *reporter)
{
  ln_platform_calls_cancel (&reporter->calls);
  lc_usage_reports_free (reporter->reports);
  free (reporter);
}

void
ln_usage_reporter_set_duty_held (LnUsageReporter *reporter, bool held)
{
  if (held)
    lc_usage_reports_duty_acquired (reporter->reports);
  else
    lc_usage_reports_duty_lost (reporter->reports);
}

static Step *
step_new (LnUsageReporter *reporter, const LcUsageAction *action)
{
  Step *step = LB_NEW (Step);

  step->reporter = reporter;
  step->epoch = lc_usage_reports_duty_epoch (reporter->reports);
  step->window = action->window;
  step->text = action->text ? lb_strdup (action->text) : NULL;
  return step;
}

static void
step_free (Step *step)
{
  lc_usage_counts_free (step->counts);
  free (step->text);
  free (step);
}

static bool
is_current (const Step *step)
{
  return step->epoch == lc_usage_reports_duty_epoch (step->reporter->reports);
}

/* One answer that was lost says nothing of the rows of others. While the store is away lists fail
 * as well. */
static void
note_error (const Step *step, LbErrorCode error, const char *what)
{
  if (error == LB_OK)
    return;
  lb_log (LB_LOG_INFO, "usage_step_failed", LB_TEXT ("step", what), LB_INT ("window", step->window),
          LB_TEXT ("error", lb_error_name (error)));
  if (error != LB_ERROR_CONDITION_FAILED && error != LB_ERROR_STORE_UNKNOWN)
    lc_usage_reports_store_failed (step->reporter->reports, lb_clock_monotonic ());
}

/* --- what earlier holders decided --- */

static void
take_report (Step *step, const LpRow *row)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  const char *counts = lb_json_text (object, "counts", NULL);

  if (counts)
    lc_usage_reports_add_recorded (step->reporter->reports,
                                   strtoll (row->key + strlen (REPORT_PREFIX), NULL, 10), counts,
                                   lb_json_bool (object, "sent", false));
  else
    lb_log (LB_LOG_ERROR, "usage_report_unreadable", LB_TEXT ("key", row->key));
  json_object_put (object);
}

static void
end_read (Step *step)
{
  if (--step->waiting > 0)
    return;
  if (is_current (step))
    lc_usage_reports_read_completed (step->reporter->reports, !step->failed, lb_clock_monotonic ());
  step_free (step);
}

static void
on_reports (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Step *step = user;

  note_error (step, error, "read");
  step->failed |= error != LB_OK;
  for (size_t i = 0; i < n_rows && is_current (step); i++)
    take_report (step, &rows[i]);
  end_read (step);
}

static void
on_any_counts (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Step *step = user;

  note_error (step, error, "read");
  step->failed |= error != LB_OK;
  if (n_rows > 0 && is_current (step) && ln_usage_window_from_key (rows[0].key) >= 0)
    lc_usage_reports_add_row_window (step->reporter->reports,
                                     ln_usage_window_from_key (rows[0].key));
  end_read (step);
}

/* The first row of each part is that of the oldest window. */
static void
read_reports (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  Step *step = step_new (reporter, action);
  char prefix[LN_USAGE_KEY_SIZE];

  step->waiting = 1 + LN_USAGE_N_PARTITIONS;
  platform->klass->list (platform, REPORT_PREFIX, NULL, 0, on_reports, step);
  for (size_t part = 0; part < LN_USAGE_N_PARTITIONS; part++)
    {
      ln_usage_partition_prefix (part, prefix);
      platform->klass->list (platform, prefix, NULL, 1, on_any_counts, step);
    }
}

/* --- a window is added up --- */

static void
add_start (LcUsageCounts *total, const LpRow *rows, size_t n_rows)
{
  LcUsageCounts *start = lc_usage_counts_new ();
  LbError error = { 0 };

  for (size_t i = 0; i < n_rows; i++)
    {
      LcUsageCounts *row = lc_usage_counts_new ();
      if (rows[i].value && lc_usage_counts_add_text (row, rows[i].value, &error))
        lc_usage_counts_merge_maximum (start, row);
      else
        lb_log_error (LB_LOG_ERROR, "usage_row_unreadable", &error);
      lc_usage_counts_free (row);
    }
  lc_usage_counts_add_counts (total, start);
  lc_usage_counts_free (start);
}

/* Rows of one start lie beside one another. */
static size_t
rows_of_start (const LpRow *rows, size_t n_rows)
{
  size_t length = ln_usage_incarnation_prefix_length (rows[0].key);
  size_t n = 1;

  while (n < n_rows && ln_usage_incarnation_prefix_length (rows[n].key) == length
         && strncmp (rows[n].key, rows[0].key, length) == 0)
    n++;
  return n;
}

static void
on_counts (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Step *step = user;

  note_error (step, error, "count");
  step->failed |= error != LB_OK;
  for (size_t i = 0; i < n_rows;)
    {
      size_t n = rows_of_start (rows + i, n_rows - i);
      add_start (step->counts, rows + i, n);
      i += n;
    }
  if (--step->waiting > 0)
    return;
  if (is_current (step))
    lc_usage_reports_sum_completed (step->reporter->reports, step->window,
                                    step->failed ? NULL : step->counts, lb_clock_monotonic ());
  step_free (step);
}

static void
count (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  Step *step = step_new (reporter, action);
  char prefix[LN_USAGE_KEY_SIZE];

  step->counts = lc_usage_counts_new ();
  step->waiting = LN_USAGE_N_PARTITIONS;
  for (size_t part = 0; part < LN_USAGE_N_PARTITIONS; part++)
    {
      ln_usage_window_prefix (part, action->window, prefix);
      platform->klass->list (platform, prefix, NULL, 0, on_counts, step);
    }
}

/* --- a report is decided --- */

static void
report_key (int64_t window, char *key)
{
  snprintf (key, LN_USAGE_KEY_SIZE, REPORT_PREFIX "%012lld", (long long)window);
}

static char *
report_to_text (const char *counts, bool is_sent)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "counts", json_object_new_string (counts));
  json_object_object_add (object, "sent", json_object_new_boolean (is_sent));
  return lb_json_take_text (object, JSON_C_TO_STRING_PLAIN);
}

/* What stands there was decided by another holder, or by a try of this one whose answer was lost.
 */
static void
on_other_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Step *step = user;
  struct json_object *object
      = error == LB_OK && n_rows > 0 && rows[0].value ? json_tokener_parse (rows[0].value) : NULL;

  note_error (step, error, "decide");
  if (is_current (step))
    lc_usage_reports_record_completed (step->reporter->reports, step->window, false,
                                       lb_json_text (object, "counts", NULL),
                                       lb_clock_monotonic ());
  json_object_put (object);
  step_free (step);
}

static void
on_decided (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Step *step = user;
  LpPlatform *platform = step->reporter->context->platform;
  char key[LN_USAGE_KEY_SIZE];

  note_error (step, error, "decide");
  if (error == LB_ERROR_CONDITION_FAILED)
    {
      report_key (step->window, key);
      platform->klass->get (platform, key, on_other_read, step);
      return;
    }
  if (is_current (step))
    lc_usage_reports_record_completed (step->reporter->reports, step->window, error == LB_OK, NULL,
                                       lb_clock_monotonic ());
  step_free (step);
}

static void
decide (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  char *text = report_to_text (action->text, false);
  char key[LN_USAGE_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = 0 };
  const LpPut put = { .key = key, .value = text };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  report_key (action->window, key);
  lb_log (LB_LOG_INFO, "usage_decided", LB_INT ("window", action->window),
          LB_JSON ("counts", action->text));
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_decided,
                             step_new (reporter, action));
  free (text);
}

/* --- a report is sent --- */

static LcUsageSendResult
receipt_of (LnDutyOutcome outcome)
{
  switch (outcome)
    {
    case LN_DUTY_DONE:
      return LC_USAGE_ACCEPTED;
    case LN_DUTY_NO_ANSWER:
      return LC_USAGE_NO_ANSWER;
    case LN_DUTY_REFUSED:
    case LN_DUTY_BUSY:
      break;
    }
  return LC_USAGE_REFUSED;
}

static void
on_sent (LnDutyOutcome outcome, void *user)
{
  Step *step = user;
  LnUsageReporter *reporter = step->reporter;
  LbTime now = lb_clock_monotonic ();

  if (outcome == LN_DUTY_DONE)
    lb_metric_add (&sent, 1);
  if (outcome == LN_DUTY_REFUSED)
    ln_duty_lease_read_soon (reporter->lease, now);
  if (is_current (step))
    lc_usage_reports_send_completed (reporter->reports, step->window, receipt_of (outcome), now);
  step_free (step);
}

static void
send (LnUsageReporter *reporter, const LcUsageAction *action)
{
  const LnContext *context = reporter->context;
  const LnDutyHolder words
      = { .holder = context->instance, .fence = ln_duty_lease_fence (reporter->lease) };
  LcOutgoing outgoing;

  context->dialect->write_usage (&words, action->window, action->text, &outgoing);
  lb_log (LB_LOG_INFO, "usage_report", LB_INT ("window", action->window),
          LB_INT ("fence", words.fence));
  ln_platform_call_start (context, &reporter->calls, &outgoing, on_sent,
                          step_new (reporter, action));
  lc_outgoing_clear (&outgoing);
}

/* --- a window is closed --- */

/* Rows that stay are no harm: the window's report is decided. */
static void
log_not_removed (LbErrorCode error)
{
  lb_log (LB_LOG_INFO, "usage_rows_not_removed", LB_TEXT ("error", lb_error_name (error)));
}

static void
on_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  (void)user;
  if (error != LB_OK)
    log_not_removed (error);
}

static void
on_rows_to_remove (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnUsageReporter *reporter = user;
  LpPlatform *platform = reporter->context->platform;
  LpPut puts[MAX_REMOVED];
  size_t n = n_rows < MAX_REMOVED ? n_rows : MAX_REMOVED;

  if (error != LB_OK)
    log_not_removed (error);
  for (size_t i = 0; i < n; i++)
    puts[i] = (LpPut){ .key = rows[i].key };
  const LpTransaction transaction = { .token = "", .puts = puts, .n_puts = n };
  if (n > 0)
    platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_removed, reporter);
}

static void
remove_counts (LnUsageReporter *reporter, int64_t window)
{
  LpPlatform *platform = reporter->context->platform;
  char prefix[LN_USAGE_KEY_SIZE];

  for (size_t part = 0; part < LN_USAGE_N_PARTITIONS; part++)
    {
      ln_usage_window_prefix (part, window, prefix);
      platform->klass->list (platform, prefix, NULL, MAX_REMOVED, on_rows_to_remove, reporter);
    }
}

static void
on_closed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Step *step = user;

  note_error (step, error, "close");
  if (is_current (step))
    lc_usage_reports_close_completed (step->reporter->reports, step->window, error == LB_OK,
                                      lb_clock_monotonic ());
  step_free (step);
}

static void
close_window (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  char *text = report_to_text (action->text, true);
  char key[LN_USAGE_KEY_SIZE];
  char old[LN_USAGE_KEY_SIZE];
  const LpPut puts[] = { { .key = key, .value = text }, { .key = old } };
  const LpTransaction transaction = { .token = "", .puts = puts, .n_puts = 2 };

  report_key (action->window, key);
  report_key (action->window - KEPT_REPORTS, old);
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_closed,
                             step_new (reporter, action));
  remove_counts (reporter, action->window);
  free (text);
}

static void
carry_out (LnUsageReporter *reporter, const LcUsageAction *action)
{
  switch (action->type)
    {
    case LC_USAGE_READ_REPORTS:
      read_reports (reporter, action);
      break;
    case LC_USAGE_SUM_ROWS:
      count (reporter, action);
      break;
    case LC_USAGE_RECORD_REPORT:
      decide (reporter, action);
      break;
    case LC_USAGE_SEND_REPORT:
      send (reporter, action);
      break;
    case LC_USAGE_CLOSE_WINDOW:
      close_window (reporter, action);
      break;
    }
}

void
ln_usage_reporter_tick (LnUsageReporter *reporter, int64_t true_ms, LbTime now)
{
  bool unfenced = !reporter->context->settings->duties.platform_checks_fence;
  LcUsageAction action;

  while (ln_duty_lease_can_order (reporter->lease, unfenced, now)
         && lc_usage_reports_next_action (reporter->reports, true_ms, now, &action))
    carry_out (reporter, &action);
}

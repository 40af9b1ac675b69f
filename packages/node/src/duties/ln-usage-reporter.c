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
/* Number of reports kept in the store: twice the number of missed windows that a new lease holder
 * reports afterwards (MAX_CATCH_UP_WINDOWS of lc-usage-reports.c). */
#define N_KEPT_REPORTS 48
/* Maximum number of rows of a window that are removed in each partition. One transaction removes
 * them, and the store accepts at most 100 entries in it. Further rows stay in the store. */
#define MAX_REMOVED_ROWS_PER_PARTITION 90
/* Time from a window's end until its rows are summed. Instances write their last rows of the window
 * within 1.5 s, slightly later on large sites, and their clocks differ by about 10 ms. */
#define SETTLE_DELAY_MS 2500
/* Time reserved for sending a report, which is due 10 s or more after the window's end. */
#define SEND_MARGIN_MS 3000

struct LnUsageReporter
{
  LnContext *context;
  LnDutyLease *lease;
  LcUsageReports *reports;
  LbList calls; /* LnPlatformCall in progress */
};

/* An action that LcUsageReports requested, and whose store or platform calls are in progress. */
typedef struct
{
  LnUsageReporter *reporter;
  int64_t duty_epoch;     /* how often this instance had gained the lease when the action started;
                             results that arrive after the loss of the lease are ignored */
  int64_t window;         /* number of the time window of the action */
  size_t n_pending_lists; /* number of list calls in progress */
  bool has_failed;        /* a list call failed */
  LcUsageCounts *counts;  /* sum of the listed rows; NULL unless the action is LC_USAGE_SUM_ROWS */
  char *text;             /* counts of the report as JSON; NULL: none */
} UsageActionInProgress;

static LbMetric metric_sent
    = LB_COUNTER_INIT ("lentilspindle_usage_reports_total",
                       NULL,
                       "Usage reports of this instance that the platform accepted");

static LcUsageReports *
usage_reports_new (const LnSettings *settings)
{
  const LcUsageReportSettings report_settings
      = { .window_ms = settings->duties.usage_window_s * 1000,
          .settle_delay_ms = SETTLE_DELAY_MS,
          .max_delay_ms = settings->duties.usage_due_s * 1000 - SEND_MARGIN_MS };

  return lc_usage_reports_new (&report_settings);
}

LnUsageReporter *
ln_usage_reporter_new (LnContext *context, LnDutyLease *lease)
{
  LnUsageReporter *reporter = LB_NEW (LnUsageReporter);

  reporter->context = context;
  reporter->lease = lease;
  reporter->reports = usage_reports_new (context->settings);
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
ln_usage_reporter_set_lease_held (LnUsageReporter *reporter, bool held)
{
  if (held)
    lc_usage_reports_begin_duty (reporter->reports);
  else
    lc_usage_reports_end_duty (reporter->reports);
}

static UsageActionInProgress *
usage_action_in_progress_new (LnUsageReporter *reporter, const LcUsageAction *action)
{
  UsageActionInProgress *pending = LB_NEW (UsageActionInProgress);

  pending->reporter = reporter;
  pending->duty_epoch = lc_usage_reports_duty_epoch (reporter->reports);
  pending->window = action->window;
  pending->text = action->text ? lb_strdup (action->text) : NULL;
  return pending;
}

static void
usage_action_in_progress_free (UsageActionInProgress *pending)
{
  lc_usage_counts_free (pending->counts);
  free (pending->text);
  free (pending);
}

static bool
is_lease_held_since_action_start (const UsageActionInProgress *pending)
{
  return pending->duty_epoch == lc_usage_reports_duty_epoch (pending->reporter->reports);
}

/* Logs a failed store call. Also records a store failure, after which the summing of rows waits for
 * rows that other instances could not write. A failed condition or a lost answer of a write is not
 * recorded: if the store is unreachable, list calls fail as well. */
static void
log_and_record_store_error (const UsageActionInProgress *pending,
                            LbErrorCode error,
                            const char *step_name)
{
  if (error == LB_OK)
    return;
  lb_log (LB_LOG_INFO, "usage_step_failed", LB_TEXT ("step", step_name),
          LB_INT ("window", pending->window), LB_TEXT ("error", lb_error_name (error)));
  if (error != LB_ERROR_CONDITION_FAILED && error != LB_ERROR_STORE_UNKNOWN)
    lc_usage_reports_record_store_failure (pending->reporter->reports, lb_clock_monotonic ());
}

/* --- reading the reports that earlier lease holders recorded --- */

static void
add_report_row (UsageActionInProgress *pending, const LpRow *row)
{
  struct json_object *object = row->value ? json_tokener_parse (row->value) : NULL;
  const char *counts = lb_json_text (object, "counts", NULL);

  if (counts)
    lc_usage_reports_add_recorded_report (pending->reporter->reports,
                                          strtoll (row->key + strlen (REPORT_PREFIX), NULL, 10),
                                          counts, lb_json_bool (object, "sent", false));
  else
    lb_log (LB_LOG_ERROR, "usage_report_unreadable", LB_TEXT ("key", row->key));
  json_object_put (object);
}

static void
finish_action_if_all_lists_completed (UsageActionInProgress *pending)
{
  if (--pending->n_pending_lists > 0)
    return;
  if (is_lease_held_since_action_start (pending))
    lc_usage_reports_read_reports_completed (pending->reporter->reports, !pending->has_failed,
                                             lb_clock_monotonic ());
  usage_action_in_progress_free (pending);
}

static void
on_report_rows_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  UsageActionInProgress *pending = user;

  log_and_record_store_error (pending, error, "read");
  pending->has_failed |= error != LB_OK;
  for (size_t i = 0; i < n_rows && is_lease_held_since_action_start (pending); i++)
    add_report_row (pending, &rows[i]);
  finish_action_if_all_lists_completed (pending);
}

static void
on_oldest_usage_row_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  UsageActionInProgress *pending = user;

  log_and_record_store_error (pending, error, "read");
  pending->has_failed |= error != LB_OK;
  if (n_rows > 0 && is_lease_held_since_action_start (pending)
      && ln_usage_parse_window_from_key (rows[0].key) >= 0)
    lc_usage_reports_add_window_with_rows (pending->reporter->reports,
                                           ln_usage_parse_window_from_key (rows[0].key));
  finish_action_if_all_lists_completed (pending);
}

/* Lists the reports in the store, and the first usage row of each partition. Usage rows are sorted
 * by window, so the first row belongs to the partition's oldest window. */
static void
list_report_rows (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  UsageActionInProgress *pending = usage_action_in_progress_new (reporter, action);
  char prefix[LN_USAGE_KEY_SIZE];

  pending->n_pending_lists = 1 + LN_USAGE_N_PARTITIONS;
  platform->klass->list (platform, REPORT_PREFIX, NULL, 0, on_report_rows_listed, pending);
  for (size_t partition = 0; partition < LN_USAGE_N_PARTITIONS; partition++)
    {
      ln_usage_format_partition_prefix (partition, prefix);
      platform->klass->list (platform, prefix, NULL, 1, on_oldest_usage_row_listed, pending);
    }
}

/* --- summing the rows of a window --- */

static void
add_largest_counts_of_incarnation (LcUsageCounts *total, const LpRow *rows, size_t n_rows)
{
  LcUsageCounts *counts = lc_usage_counts_new ();
  LbError error = { 0 };

  for (size_t i = 0; i < n_rows; i++)
    {
      LcUsageCounts *row = lc_usage_counts_new ();
      if (rows[i].value && lc_usage_counts_add_text (row, rows[i].value, &error))
        lc_usage_counts_merge_maximum (counts, row);
      else
        lb_log_error (LB_LOG_ERROR, "usage_row_unreadable", &error);
      lc_usage_counts_free (row);
    }
  lc_usage_counts_add_counts (total, counts);
  lc_usage_counts_free (counts);
}

/* Returns the number of rows at the start of the list that belong to the first row's incarnation.
 * Rows of one incarnation are adjacent. */
static size_t
count_rows_of_first_incarnation (const LpRow *rows, size_t n_rows)
{
  size_t length = ln_usage_get_incarnation_prefix_length (rows[0].key);
  size_t n = 1;

  while (n < n_rows && ln_usage_get_incarnation_prefix_length (rows[n].key) == length
         && strncmp (rows[n].key, rows[0].key, length) == 0)
    n++;
  return n;
}

static void
on_usage_rows_of_window_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  UsageActionInProgress *pending = user;

  log_and_record_store_error (pending, error, "count");
  pending->has_failed |= error != LB_OK;
  for (size_t i = 0; i < n_rows;)
    {
      size_t n = count_rows_of_first_incarnation (rows + i, n_rows - i);
      add_largest_counts_of_incarnation (pending->counts, rows + i, n);
      i += n;
    }
  if (--pending->n_pending_lists > 0)
    return;
  if (is_lease_held_since_action_start (pending))
    lc_usage_reports_sum_rows_completed (pending->reporter->reports, pending->window,
                                         pending->has_failed ? NULL : pending->counts,
                                         lb_clock_monotonic ());
  usage_action_in_progress_free (pending);
}

static void
sum_usage_rows_of_window (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  UsageActionInProgress *pending = usage_action_in_progress_new (reporter, action);
  char prefix[LN_USAGE_KEY_SIZE];

  pending->counts = lc_usage_counts_new ();
  pending->n_pending_lists = LN_USAGE_N_PARTITIONS;
  for (size_t partition = 0; partition < LN_USAGE_N_PARTITIONS; partition++)
    {
      ln_usage_format_window_prefix (partition, action->window, prefix);
      platform->klass->list (platform, prefix, NULL, 0, on_usage_rows_of_window_listed, pending);
    }
}

/* --- recording a report in the store --- */

static void
format_report_key (int64_t window, char *key)
{
  snprintf (key, LN_USAGE_KEY_SIZE, REPORT_PREFIX "%012lld", (long long)window);
}

static char *
report_row_to_text (const char *counts, bool is_sent)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "counts", json_object_new_string (counts));
  json_object_object_add (object, "sent", json_object_new_boolean (is_sent));
  return lb_json_serialize_and_release (object, JSON_C_TO_STRING_PLAIN);
}

/* Uses the report that the store already had for the window: another lease holder wrote it, or this
 * instance did by a write whose answer was lost. */
static void
on_existing_report_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  UsageActionInProgress *pending = user;
  struct json_object *object
      = error == LB_OK && n_rows > 0 && rows[0].value ? json_tokener_parse (rows[0].value) : NULL;

  log_and_record_store_error (pending, error, "decide");
  if (is_lease_held_since_action_start (pending))
    lc_usage_reports_record_report_completed (pending->reporter->reports, pending->window, false,
                                              lb_json_text (object, "counts", NULL),
                                              lb_clock_monotonic ());
  json_object_put (object);
  usage_action_in_progress_free (pending);
}

static void
on_report_row_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  UsageActionInProgress *pending = user;
  LpPlatform *platform = pending->reporter->context->platform;
  char key[LN_USAGE_KEY_SIZE];

  log_and_record_store_error (pending, error, "decide");
  if (error == LB_ERROR_CONDITION_FAILED)
    {
      format_report_key (pending->window, key);
      platform->klass->get (platform, key, on_existing_report_row_read, pending);
      return;
    }
  if (is_lease_held_since_action_start (pending))
    lc_usage_reports_record_report_completed (pending->reporter->reports, pending->window,
                                              error == LB_OK, NULL, lb_clock_monotonic ());
  usage_action_in_progress_free (pending);
}

static void
write_report_row (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  char *text = report_row_to_text (action->text, false);
  char key[LN_USAGE_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = 0 };
  const LpPut put = { .key = key, .value = text };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  format_report_key (action->window, key);
  lb_log (LB_LOG_INFO, "usage_decided", LB_INT ("window", action->window),
          LB_JSON ("counts", action->text));
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_report_row_written,
                             usage_action_in_progress_new (reporter, action));
  free (text);
}

/* --- sending a report to the platform --- */

static LcUsageSendResult
duty_outcome_to_usage_send_result (LnDutyOutcome outcome)
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
on_usage_report_sent (LnDutyOutcome outcome, void *user)
{
  UsageActionInProgress *pending = user;
  LnUsageReporter *reporter = pending->reporter;
  LbTime now = lb_clock_monotonic ();

  if (outcome == LN_DUTY_DONE)
    lb_metric_add (&metric_sent, 1);
  if (outcome == LN_DUTY_REFUSED)
    ln_duty_lease_request_read (reporter->lease, now);
  if (is_lease_held_since_action_start (pending))
    lc_usage_reports_send_report_completed (reporter->reports, pending->window,
                                            duty_outcome_to_usage_send_result (outcome), now);
  usage_action_in_progress_free (pending);
}

static void
send_usage_report (LnUsageReporter *reporter, const LcUsageAction *action)
{
  const LnContext *context = reporter->context;
  const LnDutyHolder holder
      = { .holder = context->instance,
          .fence = ln_duty_lease_begin_call (reporter->lease, lb_clock_monotonic ()) };
  LcOutgoingRequest outgoing;

  context->dialect->write_usage (&holder, action->window, action->text, &outgoing);
  lb_log (LB_LOG_INFO, "usage_report", LB_INT ("window", action->window),
          LB_INT ("fence", holder.fence));
  ln_platform_call_start (context, &reporter->calls, &outgoing, on_usage_report_sent,
                          usage_action_in_progress_new (reporter, action));
  lc_outgoing_request_clear (&outgoing);
}

/* --- closing a window whose report was sent --- */

/* Only logs that usage rows could not be removed: rows left in the store are not counted again,
 * since the store has their window's report. */
static void
log_usage_rows_not_removed (LbErrorCode error)
{
  lb_log (LB_LOG_INFO, "usage_rows_not_removed", LB_TEXT ("error", lb_error_name (error)));
}

static void
on_usage_rows_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  (void)user;
  if (error != LB_OK)
    log_usage_rows_not_removed (error);
}

static void
on_usage_rows_to_remove_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnUsageReporter *reporter = user;
  LpPlatform *platform = reporter->context->platform;
  LpPut puts[MAX_REMOVED_ROWS_PER_PARTITION];
  size_t n = n_rows < MAX_REMOVED_ROWS_PER_PARTITION ? n_rows : MAX_REMOVED_ROWS_PER_PARTITION;

  if (error != LB_OK)
    log_usage_rows_not_removed (error);
  for (size_t i = 0; i < n; i++)
    puts[i] = (LpPut){ .key = rows[i].key };
  const LpTransaction transaction = { .token = "", .puts = puts, .n_puts = n };
  if (n > 0)
    platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_usage_rows_removed,
                               reporter);
}

static void
remove_usage_rows_of_window (LnUsageReporter *reporter, int64_t window)
{
  LpPlatform *platform = reporter->context->platform;
  char prefix[LN_USAGE_KEY_SIZE];

  for (size_t partition = 0; partition < LN_USAGE_N_PARTITIONS; partition++)
    {
      ln_usage_format_window_prefix (partition, window, prefix);
      platform->klass->list (platform, prefix, NULL, MAX_REMOVED_ROWS_PER_PARTITION,
                             on_usage_rows_to_remove_listed, reporter);
    }
}

static void
on_report_row_marked_sent (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  UsageActionInProgress *pending = user;

  log_and_record_store_error (pending, error, "close");
  if (is_lease_held_since_action_start (pending))
    lc_usage_reports_close_window_completed (pending->reporter->reports, pending->window,
                                             error == LB_OK, lb_clock_monotonic ());
  usage_action_in_progress_free (pending);
}

static void
mark_report_sent_and_remove_usage_rows (LnUsageReporter *reporter, const LcUsageAction *action)
{
  LpPlatform *platform = reporter->context->platform;
  char *text = report_row_to_text (action->text, true);
  char key[LN_USAGE_KEY_SIZE];
  char oldest_key[LN_USAGE_KEY_SIZE];
  const LpPut puts[] = { { .key = key, .value = text }, { .key = oldest_key } };
  const LpTransaction transaction = { .token = "", .puts = puts, .n_puts = 2 };

  format_report_key (action->window, key);
  format_report_key (action->window - N_KEPT_REPORTS, oldest_key);
  platform->klass->transact (platform, &transaction, LP_PRIORITY_STATUS, on_report_row_marked_sent,
                             usage_action_in_progress_new (reporter, action));
  remove_usage_rows_of_window (reporter, action->window);
  free (text);
}

static void
execute_usage_action (LnUsageReporter *reporter, const LcUsageAction *action)
{
  switch (action->type)
    {
    case LC_USAGE_READ_REPORTS:
      list_report_rows (reporter, action);
      break;
    case LC_USAGE_SUM_ROWS:
      sum_usage_rows_of_window (reporter, action);
      break;
    case LC_USAGE_RECORD_REPORT:
      write_report_row (reporter, action);
      break;
    case LC_USAGE_SEND_REPORT:
      send_usage_report (reporter, action);
      break;
    case LC_USAGE_CLOSE_WINDOW:
      mark_report_sent_and_remove_usage_rows (reporter, action);
      break;
    }
}

void
ln_usage_reporter_tick (LnUsageReporter *reporter, int64_t true_ms, LbTime now)
{
  /* true if the platform accepts calls with an outdated fencing token */
  bool fence_is_unchecked = !reporter->context->settings->duties.platform_checks_fence;
  LcUsageAction action;

  while (ln_duty_lease_allows_call (reporter->lease, fence_is_unchecked, now)
         && lc_usage_reports_next_action (reporter->reports, true_ms, now, &action))
    execute_usage_action (reporter, &action);
}

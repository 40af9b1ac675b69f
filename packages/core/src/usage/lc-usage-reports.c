#include "lc-usage-reports.h"

#include "lb-alloc.h"
#include "lb-list.h"

#include <stdlib.h>
#include <string.h>

/* Delay before a failed action is repeated. */
#define RETRY_DELAY (250 * LB_MSEC)
/* Time after a store failure before rows are summed, so that instances can repeat failed writes and
 * late writes can arrive. */
#define STORE_RECOVERY_DELAY (1500 * LB_MSEC)
/* Largest number of windows that are reported late after a time in which no instance held the
 * reporting duty. Windows older than these are not reported. */
#define MAX_CATCH_UP_WINDOWS 24

typedef enum
{
  WINDOW_OPEN,     /* rows are incomplete or not summed yet */
  WINDOW_SUMMED,   /* `text` is the report, not recorded in the store yet */
  WINDOW_RECORDED, /* `text` is recorded in the store */
  WINDOW_SENT,     /* the platform accepted `text` */
  WINDOW_CLOSED
} WindowState;

typedef struct
{
  LbLink link;
  int64_t number;
  WindowState state;
  char *text;
  bool has_pending_action;
  LbTime retry_at;
} Window;

struct LcUsageReports
{
  LcUsageReportSettings settings;
  LbList windows;
  int64_t first_window; /* number of the oldest window to report; -1: unknown */
  int64_t epoch;        /* incremented each time the reporting duty is acquired */
  bool has_duty;
  bool has_read;
  bool is_reading;
  LbTime next_read_at;
  LbTime store_failed_at; /* when a store request last failed; 0: never */
};

LcUsageReports *
lc_usage_reports_new (const LcUsageReportSettings *settings)
{
  LcUsageReports *reports = LB_NEW (LcUsageReports);

  reports->settings = *settings;
  lb_list_init (&reports->windows);
  return reports;
}

static void
remove_window (LcUsageReports *reports, Window *window)
{
  lb_list_remove (&reports->windows, &window->link);
  free (window->text);
  free (window);
}

static void
remove_all_windows (LcUsageReports *reports)
{
  LB_LIST_FOREACH (&reports->windows, Window, link, window)
  {
    remove_window (reports, window);
  }
}

void
lc_usage_reports_free (LcUsageReports *reports)
{
  if (!reports)
    return;
  remove_all_windows (reports);
  free (reports);
}

void
lc_usage_reports_begin_duty (LcUsageReports *reports)
{
  remove_all_windows (reports);
  reports->epoch++;
  reports->first_window = -1;
  reports->has_duty = true;
  reports->has_read = false;
  reports->is_reading = false;
  reports->next_read_at = 0;
}

void
lc_usage_reports_end_duty (LcUsageReports *reports)
{
  remove_all_windows (reports);
  reports->has_duty = false;
}

static Window *
find_window (const LcUsageReports *reports, int64_t window_number)
{
  LB_LIST_FOREACH (&reports->windows, Window, link, window)
  {
    if (window->number == window_number)
      return window;
  }
  return NULL;
}

static Window *
add_window (LcUsageReports *reports, int64_t window_number)
{
  Window *window = LB_NEW (Window);

  window->number = window_number;
  lb_list_append (&reports->windows, &window->link);
  return window;
}

static void
set_first_window_if_earlier (LcUsageReports *reports, int64_t window_number)
{
  if (reports->first_window < 0 || window_number < reports->first_window)
    reports->first_window = window_number;
}

void
lc_usage_reports_add_window_with_rows (LcUsageReports *reports, int64_t window_number)
{
  if (reports->has_duty && !reports->has_read)
    set_first_window_if_earlier (reports, window_number);
}

void
lc_usage_reports_add_recorded_report (LcUsageReports *reports,
                                      int64_t window_number,
                                      const char *text,
                                      bool is_sent)
{
  Window *window = NULL;

  if (!reports->has_duty || reports->has_read || find_window (reports, window_number))
    return;
  set_first_window_if_earlier (reports, window_number);
  window = add_window (reports, window_number);
  window->state = is_sent ? WINDOW_CLOSED : WINDOW_RECORDED;
  window->text = lb_strdup (text);
}

void
lc_usage_reports_read_reports_completed (LcUsageReports *reports, bool ok, LbTime now)
{
  reports->is_reading = false;
  reports->has_read = ok;
  reports->next_read_at = now + RETRY_DELAY;
  if (!ok)
    remove_all_windows (reports);
}

void
lc_usage_reports_record_store_failure (LcUsageReports *reports, LbTime now)
{
  reports->store_failed_at = now;
}

/* Ends the window's pending action. Returns the window if the action succeeded; NULL if it failed
 * and will be retried, or if no action was pending. */
static Window *
finish_window_action (LcUsageReports *reports, int64_t window_number, bool ok, LbTime now)
{
  Window *window = find_window (reports, window_number);

  if (!window || !window->has_pending_action)
    return NULL;
  window->has_pending_action = false;
  if (!ok)
    window->retry_at = now + RETRY_DELAY;
  return ok ? window : NULL;
}

void
lc_usage_reports_sum_rows_completed (LcUsageReports *reports,
                                     int64_t window_number,
                                     LcUsageCounts *counts,
                                     LbTime now)
{
  Window *window = finish_window_action (reports, window_number, counts != NULL, now);

  if (!window)
    return;
  window->state = WINDOW_SUMMED;
  window->text = lc_usage_counts_to_text (counts);
}

void
lc_usage_reports_record_report_completed (
    LcUsageReports *reports, int64_t window_number, bool ok, const char *recorded, LbTime now)
{
  Window *window = finish_window_action (reports, window_number, ok || recorded, now);

  if (!window)
    return;
  window->state = WINDOW_RECORDED;
  if (!recorded)
    return;
  free (window->text);
  window->text = lb_strdup (recorded);
}

void
lc_usage_reports_send_report_completed (LcUsageReports *reports,
                                        int64_t window_number,
                                        LcUsageSendResult result,
                                        LbTime now)
{
  Window *window = finish_window_action (reports, window_number, result == LC_USAGE_ACCEPTED, now);

  if (window)
    window->state = WINDOW_SENT;
}

void
lc_usage_reports_close_window_completed (LcUsageReports *reports,
                                         int64_t window_number,
                                         bool ok,
                                         LbTime now)
{
  Window *window = finish_window_action (reports, window_number, ok, now);

  if (window)
    window->state = WINDOW_CLOSED;
}

/* Adds the windows that are missing from the list, because every window from the first one in the
 * store to the current one must be reported. */
static void
add_unknown_windows_up_to_current (LcUsageReports *reports, int64_t current)
{
  if (reports->first_window < 0)
    reports->first_window = current;
  if (reports->first_window < current - MAX_CATCH_UP_WINDOWS)
    reports->first_window = current - MAX_CATCH_UP_WINDOWS;
  for (int64_t window_number = reports->first_window; window_number <= current; window_number++)
    if (!find_window (reports, window_number))
      add_window (reports, window_number);
}

static void
remove_windows_before_first_to_report (LcUsageReports *reports)
{
  LB_LIST_FOREACH (&reports->windows, Window, link, window)
  {
    if (!window->has_pending_action && window->number < reports->first_window)
      remove_window (reports, window);
  }
}

/* Until max_delay_ms after the end of a window, its rows count as incomplete while the store is
 * unavailable and shortly after: an instance may not have been able to write its row. */
static bool
are_window_rows_complete (const LcUsageReports *reports,
                          const Window *window,
                          int64_t true_ms,
                          LbTime now)
{
  int64_t ms_since_end = true_ms - (window->number + 1) * reports->settings.window_ms;
  bool store_is_available
      = reports->store_failed_at == 0 || now - reports->store_failed_at >= STORE_RECOVERY_DELAY;

  if (ms_since_end < reports->settings.settle_delay_ms)
    return false;
  return store_is_available || ms_since_end >= reports->settings.max_delay_ms;
}

static bool
get_next_window_action_type (const LcUsageReports *reports,
                             const Window *window,
                             int64_t true_ms,
                             LbTime now,
                             LcUsageActionType *type)
{
  switch (window->state)
    {
    case WINDOW_OPEN:
      *type = LC_USAGE_SUM_ROWS;
      return are_window_rows_complete (reports, window, true_ms, now);
    case WINDOW_SUMMED:
      *type = LC_USAGE_RECORD_REPORT;
      return true;
    case WINDOW_RECORDED:
      *type = LC_USAGE_SEND_REPORT;
      return true;
    case WINDOW_SENT:
      *type = LC_USAGE_CLOSE_WINDOW;
      return true;
    case WINDOW_CLOSED:
      break;
    }
  return false;
}

static bool
begin_reading_recorded_reports (LcUsageReports *reports, LbTime now, LcUsageAction *action)
{
  if (reports->is_reading || now < reports->next_read_at)
    return false;
  reports->is_reading = true;
  *action = (LcUsageAction){ .type = LC_USAGE_READ_REPORTS };
  return true;
}

bool
lc_usage_reports_next_action (LcUsageReports *reports,
                              int64_t true_ms,
                              LbTime now,
                              LcUsageAction *action)
{
  int64_t current = true_ms / reports->settings.window_ms;

  if (!reports->has_duty)
    return false;
  if (!reports->has_read)
    return begin_reading_recorded_reports (reports, now, action);
  add_unknown_windows_up_to_current (reports, current);
  remove_windows_before_first_to_report (reports);
  for (int64_t window_number = reports->first_window; window_number <= current; window_number++)
    {
      Window *window = find_window (reports, window_number);
      LcUsageActionType type;

      if (window->has_pending_action || now < window->retry_at
          || !get_next_window_action_type (reports, window, true_ms, now, &type))
        continue;
      window->has_pending_action = true;
      *action = (LcUsageAction){ .type = type, .window = window_number, .text = window->text };
      return true;
    }
  return false;
}

int64_t
lc_usage_reports_duty_epoch (const LcUsageReports *reports)
{
  return reports->has_duty ? reports->epoch : 0;
}

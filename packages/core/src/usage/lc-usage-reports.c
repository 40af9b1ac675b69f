#include "lc-usage-reports.h"

#include "lb-alloc.h"
#include "lb-list.h"

#include <stdlib.h>
#include <string.h>

/* After an action that failed. */
#define RETRY (250 * LB_MSEC)
/* Instances write what they could not, and rows that were on their way arrive. */
#define STORE_RETURN (1500 * LB_MSEC)
/* Windows that ended without a holder and are caught up; older ones are long overdue. */
#define MAX_BEHIND 24

typedef enum
{
  WINDOW_OPEN,    /* its rows are not whole yet */
  WINDOW_COUNTED, /* text is what shall be decided */
  WINDOW_DECIDED, /* text stands in the store */
  WINDOW_SENT,    /* and was taken */
  WINDOW_CLOSED
} WindowState;

typedef struct
{
  LbLink link;
  int64_t number;
  WindowState state;
  char *text;
  bool busy; /* an action is on its way */
  LbTime retry_at;
} Window;

struct LcUsageReports
{
  LcUsageReportSettings settings;
  LbList windows; /* by number */
  int64_t first;  /* window that is looked after; -1: the one that runs when the duty begins */
  int64_t epoch;  /* counts the times that this instance got the duty */
  bool active;
  bool has_read;
  bool is_reading;
  LbTime read_again_at;
  LbTime store_failed_at; /* 0: it did not */
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
drop (LcUsageReports *reports, Window *window)
{
  lb_list_remove (&reports->windows, &window->link);
  free (window->text);
  free (window);
}

static void
drop_all (LcUsageReports *reports)
{
  LB_LIST_FOREACH (&reports->windows, Window, link, window)
  {
    drop (reports, window);
  }
}

void
lc_usage_reports_free (LcUsageReports *reports)
{
  if (!reports)
    return;
  drop_all (reports);
  free (reports);
}

void
lc_usage_reports_duty_acquired (LcUsageReports *reports)
{
  drop_all (reports);
  reports->epoch++;
  reports->first = -1;
  reports->active = true;
  reports->has_read = false;
  reports->is_reading = false;
  reports->read_again_at = 0;
}

void
lc_usage_reports_duty_lost (LcUsageReports *reports)
{
  drop_all (reports);
  reports->active = false;
}

static Window *
find (const LcUsageReports *reports, int64_t number)
{
  LB_LIST_FOREACH (&reports->windows, Window, link, window)
  {
    if (window->number == number)
      return window;
  }
  return NULL;
}

static Window *
add (LcUsageReports *reports, int64_t number)
{
  Window *window = LB_NEW (Window);

  window->number = number;
  lb_list_append (&reports->windows, &window->link);
  return window;
}

static void
note_first (LcUsageReports *reports, int64_t number)
{
  if (reports->first < 0 || number < reports->first)
    reports->first = number;
}

void
lc_usage_reports_add_row_window (LcUsageReports *reports, int64_t number)
{
  if (reports->active && !reports->has_read)
    note_first (reports, number);
}

void
lc_usage_reports_add_recorded (LcUsageReports *reports,
                               int64_t number,
                               const char *text,
                               bool is_sent)
{
  Window *window = NULL;

  if (!reports->active || reports->has_read || find (reports, number))
    return;
  note_first (reports, number);
  window = add (reports, number);
  window->state = is_sent ? WINDOW_CLOSED : WINDOW_DECIDED;
  window->text = lb_strdup (text);
}

void
lc_usage_reports_read_completed (LcUsageReports *reports, bool ok, LbTime now)
{
  reports->is_reading = false;
  reports->has_read = ok;
  reports->read_again_at = now + RETRY;
  if (!ok)
    drop_all (reports);
}

void
lc_usage_reports_store_failed (LcUsageReports *reports, LbTime now)
{
  reports->store_failed_at = now;
}

/* The window of an answer, if it is still that of this holder's action. */
static Window *
answered (LcUsageReports *reports, int64_t number, bool ok, LbTime now)
{
  Window *window = find (reports, number);

  if (!window || !window->busy)
    return NULL;
  window->busy = false;
  if (!ok)
    window->retry_at = now + RETRY;
  return ok ? window : NULL;
}

void
lc_usage_reports_sum_completed (LcUsageReports *reports,
                                int64_t number,
                                LcUsageCounts *counts,
                                LbTime now)
{
  Window *window = answered (reports, number, counts != NULL, now);

  if (!window)
    return;
  window->state = WINDOW_COUNTED;
  window->text = lc_usage_counts_to_text (counts);
}

void
lc_usage_reports_record_completed (
    LcUsageReports *reports, int64_t number, bool ok, const char *other, LbTime now)
{
  Window *window = answered (reports, number, ok || other, now);

  if (!window)
    return;
  window->state = WINDOW_DECIDED;
  if (!other)
    return;
  free (window->text);
  window->text = lb_strdup (other);
}

void
lc_usage_reports_send_completed (LcUsageReports *reports,
                                 int64_t number,
                                 LcUsageSendResult receipt,
                                 LbTime now)
{
  Window *window = answered (reports, number, receipt == LC_USAGE_ACCEPTED, now);

  if (window)
    window->state = WINDOW_SENT;
}

void
lc_usage_reports_close_completed (LcUsageReports *reports, int64_t number, bool ok, LbTime now)
{
  Window *window = answered (reports, number, ok, now);

  if (window)
    window->state = WINDOW_CLOSED;
}

/* Windows follow one another without a gap from the first one of which the store tells anything. */
static void
open_windows (LcUsageReports *reports, int64_t present)
{
  if (reports->first < 0)
    reports->first = present;
  if (reports->first < present - MAX_BEHIND)
    reports->first = present - MAX_BEHIND;
  for (int64_t number = reports->first; number <= present; number++)
    if (!find (reports, number))
      add (reports, number);
}

static void
forget_old (LcUsageReports *reports)
{
  LB_LIST_FOREACH (&reports->windows, Window, link, window)
  {
    if (!window->busy && window->number < reports->first)
      drop (reports, window);
  }
}

/* Guards against counts that are missing because their rows could not be written: while the store
 * was away, and a moment after its return, none is whole. */
static bool
is_whole (const LcUsageReports *reports, const Window *window, int64_t true_ms, LbTime now)
{
  int64_t since_end = true_ms - (window->number + 1) * reports->settings.window_ms;
  bool store_is_well
      = reports->store_failed_at == 0 || now - reports->store_failed_at >= STORE_RETURN;

  if (since_end < reports->settings.settle_delay_ms)
    return false;
  return store_is_well || since_end >= reports->settings.max_delay_ms;
}

static bool
next_of (const LcUsageReports *reports,
         const Window *window,
         int64_t true_ms,
         LbTime now,
         LcUsageActionType *type)
{
  switch (window->state)
    {
    case WINDOW_OPEN:
      *type = LC_USAGE_SUM_ROWS;
      return is_whole (reports, window, true_ms, now);
    case WINDOW_COUNTED:
      *type = LC_USAGE_RECORD_REPORT;
      return true;
    case WINDOW_DECIDED:
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
next_read (LcUsageReports *reports, LbTime now, LcUsageAction *action)
{
  if (reports->is_reading || now < reports->read_again_at)
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
  int64_t present = true_ms / reports->settings.window_ms;

  if (!reports->active)
    return false;
  if (!reports->has_read)
    return next_read (reports, now, action);
  open_windows (reports, present);
  forget_old (reports);
  for (int64_t number = reports->first; number <= present; number++)
    {
      Window *window = find (reports, number);
      LcUsageActionType type;

      if (window->busy || now < window->retry_at || !next_of (reports, window, true_ms, now, &type))
        continue;
      window->busy = true;
      *action = (LcUsageAction){ .type = type, .window = number, .text = window->text };
      return true;
    }
  return false;
}

int64_t
lc_usage_reports_duty_epoch (const LcUsageReports *reports)
{
  return reports->active ? reports->epoch : 0;
}

#ifndef LC_USAGE_REPORTS_H
#define LC_USAGE_REPORTS_H

#include "lc-usage.h"

/* The reports of usage as the holder of the duty makes them: which window is due, from which rows
 * it is added up, and what is sent. What is sent for a window is decided once: it is written to the
 * store under the condition that nothing stands there, before it is sent for the first time, and
 * every later holder repeats just that. So there are never two reports of one window that differ.
 * No I/O: each action is answered once by the command of its name. */

typedef struct
{
  int64_t window_ms;
  int64_t settle_delay_ms; /* after its end until its rows are taken to be whole, while the store is
                              well */
  int64_t max_delay_ms;    /* after its end it is decided by whatever rows there are */
} LcUsageReportSettings;

typedef enum
{
  LC_USAGE_READ_REPORTS,  /* the reports that were decided: answer with was_read */
  LC_USAGE_SUM_ROWS,      /* add up the rows of the window: answer with counted */
  LC_USAGE_RECORD_REPORT, /* write `text` for the window if nothing stands there: answer with
                             decided */
  LC_USAGE_SEND_REPORT,   /* report `text`: answer with sent */
  LC_USAGE_CLOSE_WINDOW /* remove the window's rows and note that it was sent: answer with closed */
} LcUsageActionType;

typedef struct
{
  LcUsageActionType type;
  int64_t window;
  const char *text; /* DECIDE, SEND: valid until the next command */
} LcUsageAction;

/* How a report was received. */
typedef enum
{
  LC_USAGE_ACCEPTED,
  LC_USAGE_NO_ANSWER, /* it may be taken, or be taken later */
  LC_USAGE_REFUSED    /* not now, or not from this holder */
} LcUsageSendResult;

typedef struct LcUsageReports LcUsageReports;

LcUsageReports *lc_usage_reports_new (const LcUsageReportSettings *settings);
void lc_usage_reports_free (LcUsageReports *reports);

/* commands */
/* This instance has the duty from now on, and knows nothing of what earlier holders did. */
void lc_usage_reports_duty_acquired (LcUsageReports *reports);
void lc_usage_reports_duty_lost (LcUsageReports *reports);
/* A report that an earlier holder decided; before was_read. */
void lc_usage_reports_add_recorded (LcUsageReports *reports,
                                    int64_t window,
                                    const char *text,
                                    bool is_sent);
/* Rows of counts of the window stand in the store; before was_read. */
void lc_usage_reports_add_row_window (LcUsageReports *reports, int64_t window);
void lc_usage_reports_read_completed (LcUsageReports *reports, bool ok, LbTime now);
/* counts: NULL: the rows could not be read. */
void lc_usage_reports_sum_completed (LcUsageReports *reports,
                                     int64_t window,
                                     LcUsageCounts *counts,
                                     LbTime now);
/* other: what stands there already; NULL: nothing did, or the outcome is not known. */
void lc_usage_reports_record_completed (
    LcUsageReports *reports, int64_t window, bool ok, const char *other, LbTime now);
void lc_usage_reports_send_completed (LcUsageReports *reports,
                                      int64_t window,
                                      LcUsageSendResult receipt,
                                      LbTime now);
void
lc_usage_reports_close_completed (LcUsageReports *reports, int64_t window, bool ok, LbTime now);
/* The store failed to answer here. */
void lc_usage_reports_store_failed (LcUsageReports *reports, LbTime now);
/* The next thing to do; false: nothing now. true_ms: Unix milliseconds. */
bool lc_usage_reports_next_action (LcUsageReports *reports,
                                   int64_t true_ms,
                                   LbTime now,
                                   LcUsageAction *action);

/* queries */
/* Another one each time that this instance gets the duty; 0: it does not have it. An answer to an
 * action of an earlier one must not be passed on: it would be taken for that of the present one. */
int64_t lc_usage_reports_duty_epoch (const LcUsageReports *reports);

#endif

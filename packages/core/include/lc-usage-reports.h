#ifndef LC_USAGE_REPORTS_H
#define LC_USAGE_REPORTS_H

#include "lc-usage.h"

/* This header declares the usage reports. The instance that holds the usage reporting duty sums the
 * rows of each time window and sends the result to the platform. Before a report is first sent, its
 * text is recorded in the store, on condition that the window has no recorded report. Every later
 * holder of the duty sends the recorded text, so no two reports of one window ever differ. No I/O:
 * the caller runs each action and then calls the function for its result exactly once. */

typedef struct
{
  int64_t window_ms;
  /* Time from the end of a window until its rows are considered complete, if the store is
   * available. */
  int64_t settle_delay_ms;
  /* Time from the end of a window until it is reported even if the store was unavailable and rows
   * may be missing. */
  int64_t max_delay_ms;
} LcUsageReportSettings;

/* Actions of the instance that holds the reporting duty. */
typedef enum
{
  /* read the recorded reports; then call lc_usage_reports_read_reports_completed */
  LC_USAGE_READ_REPORTS,
  /* sum the rows of the window; then call lc_usage_reports_sum_rows_completed */
  LC_USAGE_SUM_ROWS,
  /* record `text` in the store unless the window already has a recorded report; then call
   * lc_usage_reports_record_report_completed */
  LC_USAGE_RECORD_REPORT,
  /* send `text` to the platform; then call lc_usage_reports_send_report_completed */
  LC_USAGE_SEND_REPORT,
  /* delete the window's rows and mark its report as sent; then call
   * lc_usage_reports_close_window_completed */
  LC_USAGE_CLOSE_WINDOW
} LcUsageActionType;

typedef struct
{
  LcUsageActionType type;
  int64_t window; /* number of the window: Unix milliseconds / window_ms */
  /* RECORD_REPORT, SEND_REPORT: the report; valid until the LcUsageReports is next changed */
  const char *text;
} LcUsageAction;

/* Result of sending a report. */
typedef enum
{
  LC_USAGE_ACCEPTED,
  LC_USAGE_NO_ANSWER, /* the platform may have accepted the report, or may accept it later */
  /* the platform rejected this attempt or this sender, so the report is sent again later */
  LC_USAGE_REFUSED
} LcUsageSendResult;

typedef struct LcUsageReports LcUsageReports;

LcUsageReports *lc_usage_reports_new (const LcUsageReportSettings *settings);
void lc_usage_reports_free (LcUsageReports *reports);

/* Functions that change an LcUsageReports. */

/* Starts reporting after this instance acquired the duty; drops all earlier state. */
void lc_usage_reports_begin_duty (LcUsageReports *reports);
void lc_usage_reports_end_duty (LcUsageReports *reports);
/* Adds a report that is recorded in the store. Called before
 * lc_usage_reports_read_reports_completed. */
void lc_usage_reports_add_recorded_report (LcUsageReports *reports,
                                           int64_t window,
                                           const char *text,
                                           bool is_sent);
/* Adds a window that has rows in the store. Called before lc_usage_reports_read_reports_completed.
 */
void lc_usage_reports_add_window_with_rows (LcUsageReports *reports, int64_t window);
void lc_usage_reports_read_reports_completed (LcUsageReports *reports, bool ok, LbTime now);
/* counts: sums of the window's rows; NULL if the rows could not be read. */
void lc_usage_reports_sum_rows_completed (LcUsageReports *reports,
                                          int64_t window,
                                          LcUsageCounts *counts,
                                          LbTime now);
/* recorded: text of the report that the store already had for the window; NULL if there was none or
 * the result of the write is unknown. */
void lc_usage_reports_record_report_completed (
    LcUsageReports *reports, int64_t window, bool ok, const char *recorded, LbTime now);
void lc_usage_reports_send_report_completed (LcUsageReports *reports,
                                             int64_t window,
                                             LcUsageSendResult result,
                                             LbTime now);
void lc_usage_reports_close_window_completed (LcUsageReports *reports,
                                              int64_t window,
                                              bool ok,
                                              LbTime now);
/* Records that a store request of this instance failed. Windows are then not summed for a while, so
 * that instances can write the rows that failed. */
void lc_usage_reports_record_store_failure (LcUsageReports *reports, LbTime now);
/* Sets *action to the next action; returns false if there is nothing to do now. true_ms: Unix
 * milliseconds. */
bool lc_usage_reports_next_action (LcUsageReports *reports,
                                   int64_t true_ms,
                                   LbTime now,
                                   LcUsageAction *action);

/* Functions that only read an LcUsageReports. */

/* Returns a number that increases each time this instance acquires the duty; 0 while another
 * instance or none holds it. Results of actions of an earlier epoch must be dropped, since they
 * look like results of the current epoch's actions. */
int64_t lc_usage_reports_duty_epoch (const LcUsageReports *reports);

#endif

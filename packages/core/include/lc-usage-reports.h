#ifndef LC_USAGE_REPORTS_H
#define LC_USAGE_REPORTS_H

#include "lc-usage.h"

/* Usage reports, sent by the holder of the usage duty: sums the rows of each window and sends the
 * result to the platform. The text of a report is recorded in the store, on condition that none is
 * recorded yet, before it is first sent; every later holder sends the recorded text. So no two
 * reports of one window ever differ. No I/O: each action is answered exactly once by its command.
 */

typedef struct
{
  int64_t window_ms;
  /* Time from the end of a window until its rows are considered complete, if the store is
   * available. */
  int64_t settle_delay_ms;
  /* Time from the end of a window until it is reported from whatever rows there are. */
  int64_t max_delay_ms;
} LcUsageReportSettings;

typedef enum
{
  LC_USAGE_READ_REPORTS,  /* read the recorded reports; answered by read_completed */
  LC_USAGE_SUM_ROWS,      /* sum the rows of the window; answered by sum_completed */
  LC_USAGE_RECORD_REPORT, /* record text if the window has none; answered by record_completed */
  LC_USAGE_SEND_REPORT,   /* send text to the platform; answered by send_completed */
  LC_USAGE_CLOSE_WINDOW   /* delete the rows, mark it as sent; answered by close_completed */
} LcUsageActionType;

typedef struct
{
  LcUsageActionType type;
  int64_t window;   /* number of the window: Unix milliseconds / window_ms */
  const char *text; /* RECORD_REPORT, SEND_REPORT: valid until the next command */
} LcUsageAction;

/* Result of sending a report. */
typedef enum
{
  LC_USAGE_ACCEPTED,
  LC_USAGE_NO_ANSWER, /* the platform may have accepted it, or may still do so */
  LC_USAGE_REFUSED /* not accepted now, or not from this holder of the duty; is sent again later */
} LcUsageSendResult;

typedef struct LcUsageReports LcUsageReports;

LcUsageReports *lc_usage_reports_new (const LcUsageReportSettings *settings);
void lc_usage_reports_free (LcUsageReports *reports);

/* commands */
/* This instance holds the duty from now on; starts without any state of earlier holders. */
void lc_usage_reports_begin_duty (LcUsageReports *reports);
void lc_usage_reports_end_duty (LcUsageReports *reports);
/* Adds a report that is recorded in the store; before read_completed. */
void lc_usage_reports_add_recorded (LcUsageReports *reports,
                                    int64_t window,
                                    const char *text,
                                    bool is_sent);
/* Adds a window that has rows in the store; before read_completed. */
void lc_usage_reports_add_row_window (LcUsageReports *reports, int64_t window);
void lc_usage_reports_read_completed (LcUsageReports *reports, bool ok, LbTime now);
/* counts: NULL if the rows could not be read. */
void lc_usage_reports_sum_completed (LcUsageReports *reports,
                                     int64_t window,
                                     LcUsageCounts *counts,
                                     LbTime now);
/* recorded: text that was already recorded for the window; NULL if there was none or the outcome
 * is not known. */
void lc_usage_reports_record_completed (
    LcUsageReports *reports, int64_t window, bool ok, const char *recorded, LbTime now);
void lc_usage_reports_send_completed (LcUsageReports *reports,
                                      int64_t window,
                                      LcUsageSendResult result,
                                      LbTime now);
void
lc_usage_reports_close_completed (LcUsageReports *reports, int64_t window, bool ok, LbTime now);
/* A request of this instance to the store failed: windows are not summed until the rows whose
 * writes failed may have been written. */
void lc_usage_reports_record_store_failure (LcUsageReports *reports, LbTime now);
/* Returns false if there is nothing to do now. true_ms: Unix milliseconds, see lc-true-time.h. */
bool lc_usage_reports_next_action (LcUsageReports *reports,
                                   int64_t true_ms,
                                   LbTime now,
                                   LcUsageAction *action);

/* queries */
/* Number that changes each time this instance acquires the duty; 0: it does not hold it. Answers
 * to actions of an earlier epoch must be dropped, since they can't be told from those to the
 * actions of the present one. */
int64_t lc_usage_reports_duty_epoch (const LcUsageReports *reports);

#endif

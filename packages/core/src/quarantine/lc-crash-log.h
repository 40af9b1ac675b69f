#ifndef LC_CRASH_LOG_H
#define LC_CRASH_LOG_H

#include "lc-quarantine.h"

/* This header declares the log of a quarantine's crash reports, grouped by crash. */

typedef struct
{
  LbLink link; /* in LcCrash.entries */
  LcCrashReport report;
} LcReportEntry;

/* Crash of an endpoint, reported by one instance or several. */
typedef struct
{
  LbLink link;
  LbList entries; /* list of LcReportEntry; never empty */
  LbName endpoint;
  LbTime crashed_at;  /* time of the earliest report */
  bool is_attributed; /* the quarantine has attributed the crash to a quarantined fingerprint */
} LcCrash;

typedef struct
{
  LbList crashes; /* list of LcCrash, ordered by crashed_at */
  size_t n_reports;
} LcCrashLog;

void lc_crash_log_init (LcCrashLog *log);
void lc_crash_log_clear (LcCrashLog *log);

/* Returns false if a report with the same id is already known. */
bool lc_crash_log_add_report (LcCrashLog *log, const LcCrashReport *report);
/* Returns false if there is no report with this id. */
bool lc_crash_log_withdraw_report (LcCrashLog *log, const char *id);
/* Drops crashes at or before this time; returns false if there were none. */
bool lc_crash_log_expire (LcCrashLog *log, LbTime before);

bool lc_crash_involves (const LcCrash *crash, LcFingerprint fingerprint);

#endif

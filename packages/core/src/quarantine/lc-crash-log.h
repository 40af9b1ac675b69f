#ifndef LC_CRASH_LOG_H
#define LC_CRASH_LOG_H

#include "lc-quarantine.h"

/* Crash reports of a quarantine, grouped by the crash that they are about. */

typedef struct
{
  LbLink link; /* in LcCrash.entries */
  LcCrashReport report;
} LcReportEntry;

/* Crash of an endpoint, reported by one instance or several. */
typedef struct
{
  LbLink link;
  LbList entries; /* LcReportEntry; at least one */
  LbName endpoint;
  LbTime crashed_at;  /* time of the earliest report */
  bool is_attributed; /* attributed to a quarantined fingerprint; set by the quarantine */
} LcCrash;

typedef struct
{
  LbList crashes; /* LcCrash, ordered by crashed_at */
  size_t n_reports;
} LcCrashLog;

void lc_crash_log_init (LcCrashLog *log);
void lc_crash_log_clear (LcCrashLog *log);

/* False if the report is known already. */
bool lc_crash_log_add_report (LcCrashLog *log, const LcCrashReport *report);
/* False if there is no such report. */
bool lc_crash_log_withdraw_report (LcCrashLog *log, const char *id);
/* Drops crashes at or before this time; false if there are none. */
bool lc_crash_log_expire (LcCrashLog *log, LbTime before);

bool lc_crash_involves (const LcCrash *crash, LcFingerprint fingerprint);

#endif

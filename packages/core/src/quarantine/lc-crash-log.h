#ifndef LC_CRASH_LOG_H
#define LC_CRASH_LOG_H

#include "lc-quarantine.h"

/* The reports that a quarantine relies on, put together by the crash of an endpoint that they are
 * about. */

typedef struct
{
  LbLink link; /* in LcCrash.entries */
  LcCrashReport report;
} LcReportEntry;

/* An endpoint ended, and one instance or several told so. */
typedef struct
{
  LbLink link;
  LbList entries; /* LcReportEntry; one at least */
  LbName endpoint;
  LbTime at;      /* of the earliest report */
  bool explained; /* by a content that is blamed; the quarantine's */
} LcCrash;

typedef struct
{
  LbList crashes; /* LcCrash, by time */
  size_t n_reports;
} LcCrashLog;

void lc_crash_log_init (LcCrashLog *log);
void lc_crash_log_clear (LcCrashLog *log);

/* False when the report is known already. */
bool lc_crash_log_add (LcCrashLog *log, const LcCrashReport *report);
/* False when there is no such report. */
bool lc_crash_log_withdraw (LcCrashLog *log, const char *id);
/* Forgets crashes that are not later than this; false when there is none. */
bool lc_crash_log_expire (LcCrashLog *log, LbTime before);

bool lc_crash_names (const LcCrash *crash, LcFingerprint content);

#endif

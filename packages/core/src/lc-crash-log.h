#ifndef LC_CRASH_LOG_H
#define LC_CRASH_LOG_H

#include "lc-quarantine.h"

/* The reports that a quarantine goes by, put together by the end of an endpoint that they are
 * about. */

typedef struct
{
  LbLink link; /* in LcCrashEnd.reports */
  LcCrash crash;
} LcCrashReport;

/* The end of an endpoint, of which several instances may tell. */
typedef struct
{
  LbLink link;
  LbList reports;
  LbName endpoint;
  LbTime at;      /* of the earliest report */
  bool explained; /* by a content that is blamed; the quarantine's */
} LcCrashEnd;

typedef struct
{
  LbList ends; /* by time */
  size_t n_reports;
} LcCrashLog;

void lc_crash_log_init (LcCrashLog *log);
void lc_crash_log_clear (LcCrashLog *log);

/* False when the report is known already. */
bool lc_crash_log_add (LcCrashLog *log, const LcCrash *crash);
/* False when there is no such report. */
bool lc_crash_log_withdraw (LcCrashLog *log, const char *id);
/* Forgets ends that are not later than this; false when there is none. */
bool lc_crash_log_expire (LcCrashLog *log, LbTime before);

bool lc_crash_end_names (const LcCrashEnd *end, LcContent content);

#endif

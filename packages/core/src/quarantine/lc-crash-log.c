#include "lc-crash-log.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* Reports about one endpoint within this time count as one crash: each instance notices its broken
 * connection at a different time. */
#define SAME_CRASH_WINDOW (2 * LB_SEC)
/* Maximum number of stored reports: enough for ten instances to report about fifty crashes each;
 * half a megabyte. */
#define MAX_REPORTS 512

void
lc_crash_log_init (LcCrashLog *log)
{
  lb_list_init (&log->crashes);
  log->n_reports = 0;
}

static void
remove_crash (LcCrashLog *log, LcCrash *crash)
{
  LbLink *link;

  lb_list_remove (&log->crashes, &crash->link);
  log->n_reports -= crash->entries.length;
  while ((link = lb_list_pop (&crash->entries)))
    free (LB_CONTAINER (link, LcReportEntry, link));
  free (crash);
}

void
lc_crash_log_clear (LcCrashLog *log)
{
  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    remove_crash (log, crash);
  }
}

static LcReportEntry *
find_report_entry (const LcCrash *crash, const char *id)
{
  LB_LIST_FOREACH (&crash->entries, LcReportEntry, link, entry)
  {
    if (strcmp (entry->report.id, id) == 0)
      return entry;
  }
  return NULL;
}

static bool
is_report_known (const LcCrashLog *log, const char *id)
{
  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (find_report_entry (crash, id))
      return true;
  }
  return false;
}

/* Drops the oldest crash that no quarantine is based on; if there is none, drops the oldest
 * crash. */
static void
evict_crash (LcCrashLog *log)
{
  LcCrash *oldest = NULL;

  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (!oldest || (oldest->is_attributed && !crash->is_attributed))
      oldest = crash;
  }
  if (!oldest)
    return;
  lb_log (LB_LOG_WARNING, "crash_reports_dropped", LB_INT ("reports", oldest->entries.length),
          LB_TEXT ("endpoint", oldest->endpoint));
  remove_crash (log, oldest);
}

static bool
is_report_about_crash (const LcCrash *crash, const LcCrashReport *report)
{
  return strcmp (crash->endpoint, report->endpoint) == 0
         && llabs (crash->crashed_at - report->at) <= SAME_CRASH_WINDOW;
}

/* Returns the crash that the report is about, or a new one. The crash is taken out of the list,
 * since the report may change its position in the order of time. */
static LcCrash *
detach_or_create_crash (LcCrashLog *log, const LcCrashReport *report)
{
  LcCrash *created = NULL;

  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (!is_report_about_crash (crash, report))
      continue;
    lb_list_remove (&log->crashes, &crash->link);
    return crash;
  }
  created = LB_NEW (LcCrash);
  lb_list_init (&created->entries);
  LB_COPY (created->endpoint, report->endpoint);
  created->crashed_at = report->at;
  return created;
}

static void
insert_crash_by_time (LcCrashLog *log, LcCrash *crash)
{
  LB_LIST_FOREACH (&log->crashes, LcCrash, link, other)
  {
    if (other->crashed_at <= crash->crashed_at)
      continue;
    lb_list_insert_before (&log->crashes, &other->link, &crash->link);
    return;
  }
  lb_list_append (&log->crashes, &crash->link);
}

bool
lc_crash_log_add_report (LcCrashLog *log, const LcCrashReport *report)
{
  LcReportEntry *entry = NULL;
  LcCrash *crash = NULL;

  if (is_report_known (log, report->id))
    return false;
  if (log->n_reports >= MAX_REPORTS)
    evict_crash (log);
  entry = LB_NEW (LcReportEntry);
  entry->report = *report;
  crash = detach_or_create_crash (log, report);
  lb_list_append (&crash->entries, &entry->link);
  log->n_reports++;
  if (report->at < crash->crashed_at)
    crash->crashed_at = report->at;
  insert_crash_by_time (log, crash);
  return true;
}

static void
remove_report_entry (LcCrashLog *log, LcCrash *crash, LcReportEntry *entry)
{
  lb_list_remove (&crash->entries, &entry->link);
  free (entry);
  log->n_reports--;
  if (lb_list_is_empty (&crash->entries))
    remove_crash (log, crash);
}

bool
lc_crash_log_withdraw_report (LcCrashLog *log, const char *id)
{
  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    LcReportEntry *entry = find_report_entry (crash, id);
    if (!entry)
      continue;
    remove_report_entry (log, crash, entry);
    return true;
  }
  return false;
}

bool
lc_crash_log_expire (LcCrashLog *log, LbTime before)
{
  bool any_removed = false;

  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (crash->crashed_at > before)
      continue;
    remove_crash (log, crash);
    any_removed = true;
  }
  return any_removed;
}

bool
lc_crash_involves (const LcCrash *crash, LcFingerprint fingerprint)
{
  LB_LIST_FOREACH (&crash->entries, LcReportEntry, link, entry)
  {
    if (lc_fingerprint_is_among (fingerprint, entry->report.fingerprints,
                                 entry->report.n_fingerprints))
      return true;
  }
  return false;
}

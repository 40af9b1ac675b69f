#include "lc-crash-log.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* Reports of one crash differ by the time until each instance notices its broken connection. */
#define SAME_CRASH (2 * LB_SEC)
/* Half a megabyte; some fifty crashes of endpoints that ten instances were working with. */
#define MAX_REPORTS 512

void
lc_crash_log_init (LcCrashLog *log)
{
  lb_list_init (&log->crashes);
  log->n_reports = 0;
}

static void
drop_crash (LcCrashLog *log, LcCrash *crash)
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
    drop_crash (log, crash);
  }
}

static LcReportEntry *
find_in (const LcCrash *crash, const char *id)
{
  LB_LIST_FOREACH (&crash->entries, LcReportEntry, link, entry)
  {
    if (strcmp (entry->report.id, id) == 0)
      return entry;
  }
  return NULL;
}

static bool
is_known (const LcCrashLog *log, const char *id)
{
  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (find_in (crash, id))
      return true;
  }
  return false;
}

/* The oldest crash, of those that keep nobody out if there are any. */
static void
make_room (LcCrashLog *log)
{
  LcCrash *oldest = NULL;

  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (!oldest || (oldest->explained && !crash->explained))
      oldest = crash;
  }
  if (!oldest)
    return;
  lb_log (LB_LOG_WARNING, "crash_reports_dropped", LB_INT ("reports", oldest->entries.length),
          LB_TEXT ("endpoint", oldest->endpoint));
  drop_crash (log, oldest);
}

static bool
is_about (const LcCrash *crash, const LcCrashReport *report)
{
  return strcmp (crash->endpoint, report->endpoint) == 0
         && llabs (crash->at - report->at) <= SAME_CRASH;
}

/* The crash that the report is about, outside the list: its place there may change. */
static LcCrash *
take_out (LcCrashLog *log, const LcCrashReport *report)
{
  LcCrash *fresh = NULL;

  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (!is_about (crash, report))
      continue;
    lb_list_remove (&log->crashes, &crash->link);
    return crash;
  }
  fresh = LB_NEW (LcCrash);
  lb_list_init (&fresh->entries);
  LB_COPY (fresh->endpoint, report->endpoint);
  fresh->at = report->at;
  return fresh;
}

/* Before the first one that was later. */
static void
insert (LcCrashLog *log, LcCrash *crash)
{
  LB_LIST_FOREACH (&log->crashes, LcCrash, link, other)
  {
    if (other->at <= crash->at)
      continue;
    lb_list_insert_before (&log->crashes, &other->link, &crash->link);
    return;
  }
  lb_list_append (&log->crashes, &crash->link);
}

bool
lc_crash_log_add (LcCrashLog *log, const LcCrashReport *report)
{
  LcReportEntry *entry = NULL;
  LcCrash *crash = NULL;

  if (is_known (log, report->id))
    return false;
  if (log->n_reports >= MAX_REPORTS)
    make_room (log);
  entry = LB_NEW (LcReportEntry);
  entry->report = *report;
  crash = take_out (log, report);
  lb_list_append (&crash->entries, &entry->link);
  log->n_reports++;
  if (report->at < crash->at)
    crash->at = report->at;
  insert (log, crash);
  return true;
}

static void
drop_entry (LcCrashLog *log, LcCrash *crash, LcReportEntry *entry)
{
  lb_list_remove (&crash->entries, &entry->link);
  free (entry);
  log->n_reports--;
  if (lb_list_is_empty (&crash->entries))
    drop_crash (log, crash);
}

bool
lc_crash_log_withdraw (LcCrashLog *log, const char *id)
{
  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    LcReportEntry *entry = find_in (crash, id);
    if (!entry)
      continue;
    drop_entry (log, crash, entry);
    return true;
  }
  return false;
}

bool
lc_crash_log_expire (LcCrashLog *log, LbTime before)
{
  bool any = false;

  LB_LIST_FOREACH (&log->crashes, LcCrash, link, crash)
  {
    if (crash->at > before)
      continue;
    drop_crash (log, crash);
    any = true;
  }
  return any;
}

bool
lc_crash_names (const LcCrash *crash, LcFingerprint content)
{
  LB_LIST_FOREACH (&crash->entries, LcReportEntry, link, entry)
  {
    if (lc_fingerprint_is_among (content, entry->report.fingerprints, entry->report.n_fingerprints))
      return true;
  }
  return false;
}

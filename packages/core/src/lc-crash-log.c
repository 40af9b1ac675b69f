#include "lc-crash-log.h"

#include "lb-alloc.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* Reports of one end differ by the time until each instance notices its broken connection. */
#define SAME_END (2 * LB_SEC)
/* Half a megabyte; some fifty ends of endpoints that ten instances were working with. */
#define MAX_REPORTS 512

void
lc_crash_log_init (LcCrashLog *log)
{
  lb_list_init (&log->ends);
  log->n_reports = 0;
}

static void
drop_end (LcCrashLog *log, LcCrashEnd *end)
{
  LbLink *link;

  lb_list_remove (&log->ends, &end->link);
  log->n_reports -= end->reports.length;
  while ((link = lb_list_pop (&end->reports)))
    free (LB_CONTAINER (link, LcCrashReport, link));
  free (end);
}

void
lc_crash_log_clear (LcCrashLog *log)
{
  LB_LIST_FOREACH (&log->ends, LcCrashEnd, link, end)
  {
    drop_end (log, end);
  }
}

static LcCrashReport *
find_in (const LcCrashEnd *end, const char *id)
{
  LB_LIST_FOREACH (&end->reports, LcCrashReport, link, report)
  {
    if (strcmp (report->crash.id, id) == 0)
      return report;
  }
  return NULL;
}

static bool
is_known (const LcCrashLog *log, const char *id)
{
  LB_LIST_FOREACH (&log->ends, LcCrashEnd, link, end)
  {
    if (find_in (end, id))
      return true;
  }
  return false;
}

/* The oldest end, of those that keep nobody out if there are any. */
static void
make_room (LcCrashLog *log)
{
  LcCrashEnd *oldest = NULL;

  LB_LIST_FOREACH (&log->ends, LcCrashEnd, link, end)
  {
    if (!oldest || (oldest->explained && !end->explained))
      oldest = end;
  }
  if (!oldest)
    return;
  lb_log (LB_LOG_WARNING, "crash_reports_dropped", LB_INT ("reports", oldest->reports.length),
          LB_TEXT ("endpoint", oldest->endpoint));
  drop_end (log, oldest);
}

static bool
is_about (const LcCrashEnd *end, const LcCrash *crash)
{
  return strcmp (end->endpoint, crash->endpoint) == 0 && llabs (end->at - crash->at) <= SAME_END;
}

/* The end that the report is about, outside the list: its place there may change. */
static LcCrashEnd *
take_out (LcCrashLog *log, const LcCrash *crash)
{
  LcCrashEnd *fresh = NULL;

  LB_LIST_FOREACH (&log->ends, LcCrashEnd, link, end)
  {
    if (!is_about (end, crash))
      continue;
    lb_list_remove (&log->ends, &end->link);
    return end;
  }
  fresh = LB_NEW (LcCrashEnd);
  lb_list_init (&fresh->reports);
  LB_COPY (fresh->endpoint, crash->endpoint);
  fresh->at = crash->at;
  return fresh;
}

/* Before the first one that was later. */
static void
insert (LcCrashLog *log, LcCrashEnd *end)
{
  LB_LIST_FOREACH (&log->ends, LcCrashEnd, link, other)
  {
    if (other->at <= end->at)
      continue;
    lb_list_insert_before (&log->ends, &other->link, &end->link);
    return;
  }
  lb_list_append (&log->ends, &end->link);
}

bool
lc_crash_log_add (LcCrashLog *log, const LcCrash *crash)
{
  LcCrashReport *report = NULL;
  LcCrashEnd *end = NULL;

  if (is_known (log, crash->id))
    return false;
  if (log->n_reports >= MAX_REPORTS)
    make_room (log);
  report = LB_NEW (LcCrashReport);
  report->crash = *crash;
  end = take_out (log, crash);
  lb_list_append (&end->reports, &report->link);
  log->n_reports++;
  if (crash->at < end->at)
    end->at = crash->at;
  insert (log, end);
  return true;
}

static void
drop_report (LcCrashLog *log, LcCrashEnd *end, LcCrashReport *report)
{
  lb_list_remove (&end->reports, &report->link);
  free (report);
  log->n_reports--;
  if (lb_list_is_empty (&end->reports))
    drop_end (log, end);
}

bool
lc_crash_log_withdraw (LcCrashLog *log, const char *id)
{
  LB_LIST_FOREACH (&log->ends, LcCrashEnd, link, end)
  {
    LcCrashReport *report = find_in (end, id);
    if (!report)
      continue;
    drop_report (log, end, report);
    return true;
  }
  return false;
}

bool
lc_crash_log_expire (LcCrashLog *log, LbTime before)
{
  bool any = false;

  LB_LIST_FOREACH (&log->ends, LcCrashEnd, link, end)
  {
    if (end->at > before)
      continue;
    drop_end (log, end);
    any = true;
  }
  return any;
}

bool
lc_crash_end_names (const LcCrashEnd *end, LcContent content)
{
  LB_LIST_FOREACH (&end->reports, LcCrashReport, link, report)
  {
    for (size_t i = 0; i < report->crash.n_contents; i++)
      if (report->crash.contents[i] == content)
        return true;
  }
  return false;
}

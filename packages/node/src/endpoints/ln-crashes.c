#include "lp-platform.h"

#include "ln-crashes.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-list.h"
#include "lb-log.h"
#include "ln-crash-frame.h"
#include "ln-crash-row.h"
#include "ln-unwritten-rows.h"
#include "lp-follow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TABLE "crash"
#define PREFIX TABLE "/all/"
/* Of one watch. A connection that went silent is found after it, in less than the three seconds in
 * which a bad request has to be known everywhere; a shorter one costs more than half a call of
 * the store a second, of every instance. */
#define WATCH_WAIT (2 * LB_SEC)
#define RETRY (100 * LB_MSEC)
/* Of a row whose reports no longer count; spread, so that not all instances remove the same. */
#define MAX_REMOVAL_WAIT (600 * LB_SEC)
/* Where rows can't be followed: a frame may be lost with its connection. */
#define SCAN_PERIOD (5 * LB_SEC)
/* A row that was told so recently may be missing in a list that was asked for before. */
#define SETTLED_AFTER (10 * LB_SEC)
/* How long a new instance waits for the rows of before: some answers of a store that is slow. */
#define MAX_START (2 * LB_SEC)
/* Rows that are remembered here, to be removed one day. */
#define MAX_ROWS 1024

/* A row that stands in the store. */
typedef struct
{
  LbLink link;
  char *key;
  LbTime heard_at;
  LbTime remove_at;
} Row;

struct LnCrashes
{
  LnContext *context;
  LcQuarantine *quarantine;
  LpFollow *follow; /* NULL: the platform's rows can't be followed, and are scanned */
  LbList rows;
  LnUnwrittenRows *unwritten;
  uint64_t n_told;
  LbTime store_offset; /* from the own clock to the store's */
  bool knows_store_time;
  LbTime next_scan;
  bool is_scanning;
  bool is_base; /* the rows that follow are all there are */
  bool has_scanned;
  LbTime started;
};

/* --- times --- */

/* Times in rows are by the store's steady clock, which all instances hear of in its answers; where
 * the store has none, by the time of day. That is good enough for terms of an hour. */
static void
note_store_time (LnCrashes *crashes)
{
  LpPlatform *platform = crashes->context->platform;
  int64_t ms
      = platform->klass->store_ms ? platform->klass->store_ms (platform) : lb_clock_wall_ms ();

  if (ms == 0)
    return;
  crashes->store_offset = ms * LB_MSEC - lb_clock_monotonic ();
  crashes->knows_store_time = true;
}

static int64_t
to_store_ms (const LnCrashes *crashes, LbTime at)
{
  return crashes->knows_store_time ? (at + crashes->store_offset) / LB_MSEC : 0;
}

/* What can't be placed in time happened now: it counts for longer rather than not at all. */
static LbTime
from_store_ms (const LnCrashes *crashes, int64_t ms, LbTime now)
{
  LbTime at = ms * LB_MSEC - crashes->store_offset;

  return ms > 0 && crashes->knows_store_time && at < now ? at : now;
}

/* --- rows heard --- */

static Row *
find_row (const LnCrashes *crashes, const char *key)
{
  LB_LIST_FOREACH (&crashes->rows, Row, link, row)
  {
    if (strcmp (row->key, key) == 0)
      return row;
  }
  return NULL;
}

static void
drop_row (LnCrashes *crashes, Row *row)
{
  lb_list_remove (&crashes->rows, &row->link);
  free (row->key);
  free (row);
}

static void
remember_row (LnCrashes *crashes, const char *key, LbTime at)
{
  double draw = ln_context_random_uniform (crashes->context);
  Row *oldest = LB_LIST_FIRST (&crashes->rows, Row, link);
  Row *row = NULL;

  if (find_row (crashes, key))
    return;
  if (oldest && crashes->rows.length >= MAX_ROWS)
    drop_row (crashes, oldest);
  row = LB_NEW (Row);
  row->key = lb_strdup (key);
  row->heard_at = lb_clock_monotonic ();
  row->remove_at
      = at + lc_quarantine_report_lifetime () + (LbTime)(draw * (double)MAX_REMOVAL_WAIT) + LB_SEC;
  lb_list_append (&crashes->rows, &row->link);
}

static void
hear (LnCrashes *crashes, const char *key, const char *text, LbTime now)
{
  LnCrashRow row;
  LbError error = { 0 };

  if (!ln_crash_row_from_text (text, &row, &error))
    {
      lb_log_error (LB_LOG_WARNING, "crash_row_not_read", &error);
      return;
    }
  row.report.at = from_store_ms (crashes, row.at_ms, now);
  LB_COPY (row.report.id, key);
  remember_row (crashes, key, row.report.at);
  if (row.is_clearance)
    lc_quarantine_add_clearance (crashes->quarantine, row.report.fingerprints[0], row.report.at);
  else
    lc_quarantine_add_report (crashes->quarantine, &row.report, now);
}

/* A row is removed when it is too old to count, or by the operators, who let a request run again.
 */
static void
hear_removal (LnCrashes *crashes, const char *key)
{
  Row *row = find_row (crashes, key);

  lc_quarantine_withdraw_report (crashes->quarantine, key);
  if (row)
    drop_row (crashes, row);
}

static bool
is_among (const char *key, const LpRow *rows, size_t n_rows)
{
  for (size_t i = 0; i < n_rows; i++)
    if (strcmp (rows[i].key, key) == 0)
      return true;
  return false;
}

/* The rows are all that stand in the store: others were removed while this instance did not hear.
 */
static void
forget_missing (LnCrashes *crashes, const LpRow *rows, size_t n_rows, LbTime now)
{
  LB_LIST_FOREACH (&crashes->rows, Row, link, row)
  {
    if (now - row->heard_at < SETTLED_AFTER || is_among (row->key, rows, n_rows))
      continue;
    lc_quarantine_withdraw_report (crashes->quarantine, row->key);
    drop_row (crashes, row);
  }
}

static void
take_rows (LnCrashes *crashes, const LpRow *rows, size_t n_rows)
{
  LbTime now = lb_clock_monotonic ();

  if (crashes->is_base)
    forget_missing (crashes, rows, n_rows, now);
  crashes->is_base = false;

  note_store_time (crashes);
  for (size_t i = 0; i < n_rows; i++)
    if (rows[i].value)
      hear (crashes, rows[i].key, rows[i].value, now);
    else
      hear_removal (crashes, rows[i].key);
  ln_crashes_publish_clearances (crashes);
}

static void
on_rows (const LpRow *rows, size_t n_rows, void *user)
{
  take_rows (user, rows, n_rows);
}

static void
on_base (void *user)
{
  LnCrashes *crashes = user;

  note_store_time (crashes);
  crashes->is_base = true;
}

static void
on_scanned (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnCrashes *crashes = user;

  crashes->is_scanning = false;
  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    return;
  crashes->next_scan = lb_clock_monotonic () + SCAN_PERIOD;
  crashes->has_scanned = true;
  crashes->is_base = true;
  take_rows (crashes, rows, error == LB_OK ? n_rows : 0);
}

/* --- rows told --- */

/* Where rows can't be followed, instances that run hear of them by frames. */
static void
tell (LnCrashes *crashes, const char *key, const LnCrashRow *row)
{
  char *text = ln_crash_row_to_text (row);

  remember_row (crashes, key, row->report.at);
  if (!crashes->follow)
    ln_crash_frame_send (crashes->context->hub, key, text);
  ln_unwritten_rows_write (crashes->unwritten, key, text);
}

void
ln_crashes_report_crash (LnCrashes *crashes,
                         const char *endpoint,
                         LbTime at,
                         const LcFingerprint *contents,
                         size_t n_contents)
{
  const LnContext *context = crashes->context;
  LnCrashRow row = { .at_ms = to_store_ms (crashes, at) };
  LcCrashReport *report = &row.report;

  LB_COPY (report->endpoint, endpoint);
  report->at = at;
  report->n_fingerprints
      = n_contents < LC_MAX_REPORT_FINGERPRINTS ? n_contents : LC_MAX_REPORT_FINGERPRINTS;
  memcpy (report->fingerprints, contents, report->n_fingerprints * sizeof *contents);
  snprintf (report->id, sizeof report->id, "%s%s:%s:%s-%llu", PREFIX, endpoint, context->instance,
            context->incarnation, (unsigned long long)++crashes->n_told);
  tell (crashes, report->id, &row);
  lc_quarantine_add_report (crashes->quarantine, report, lb_clock_monotonic ());
  ln_crashes_publish_clearances (crashes);
}

void
ln_crashes_publish_clearances (LnCrashes *crashes)
{
  LnCrashRow row = { .is_clearance = true };
  char content[LC_FINGERPRINT_TEXT_SIZE];
  char key[sizeof PREFIX + LC_FINGERPRINT_TEXT_SIZE + sizeof "answered:"];

  row.report.n_fingerprints = 1;
  while (lc_quarantine_pop_clearance (crashes->quarantine, &row.report.fingerprints[0],
                                      &row.report.at))
    {
      lc_fingerprint_to_text (row.report.fingerprints[0], content);
      snprintf (key, sizeof key, "%sanswered:%s", PREFIX, content);
      row.at_ms = to_store_ms (crashes, row.report.at);
      tell (crashes, key, &row);
    }
}

bool
ln_crashes_receive_frame (LnCrashes *crashes, const LnPeerMessage *frame)
{
  LnCrashFrame told;

  if (!ln_crash_frame_read (frame, &told))
    return false;
  hear (crashes, told.key, told.text, lb_clock_monotonic ());
  ln_crashes_publish_clearances (crashes);
  return true;
}

/* --- */

static void
remove_old (LnCrashes *crashes, LbTime now)
{
  LB_LIST_FOREACH (&crashes->rows, Row, link, row)
  {
    if (row->remove_at > now)
      continue;
    ln_unwritten_rows_write (crashes->unwritten, row->key, NULL);
    drop_row (crashes, row);
  }
}

bool
ln_crashes_is_ready (const LnCrashes *crashes, LbTime now)
{
  bool has_read = crashes->follow ? lp_follow_has_listed (crashes->follow) : crashes->has_scanned;

  return has_read || now - crashes->started >= MAX_START;
}

static void
scan (LnCrashes *crashes, LbTime now)
{
  LpPlatform *platform = crashes->context->platform;

  if (crashes->is_scanning || now < crashes->next_scan)
    return;
  crashes->is_scanning = true;
  platform->klass->scan (platform, PREFIX, on_scanned, crashes);
}

void
ln_crashes_tick (LnCrashes *crashes, LbTime now)
{
  if (crashes->follow)
    lp_follow_tick (crashes->follow, now);
  else
    {
      note_store_time (crashes);
      scan (crashes, now);
    }
  lc_quarantine_expire (crashes->quarantine, now);
  ln_unwritten_rows_retry (crashes->unwritten);
  remove_old (crashes, now);
}

LnCrashes *
ln_crashes_new (LnContext *context, LcQuarantine *quarantine)
{
  static const char *const prefixes[] = { PREFIX };
  const LpFollowSettings settings = { .table = TABLE,
                                      .prefixes = prefixes,
                                      .n_prefixes = 1,
                                      .wait = WATCH_WAIT,
                                      .retry = RETRY,
                                      .on_base = on_base };
  LnCrashes *crashes = LB_NEW (LnCrashes);

  crashes->context = context;
  crashes->quarantine = quarantine;
  crashes->started = lb_clock_monotonic ();
  lb_list_init (&crashes->rows);
  crashes->unwritten = ln_unwritten_rows_new (context->platform, context->incarnation);
  if (context->platform->klass->watch)
    crashes->follow = lp_follow_new (context->platform, &settings, on_rows, crashes);
  return crashes;
}

void
ln_crashes_free (LnCrashes *crashes)
{
  LB_LIST_FOREACH (&crashes->rows, Row, link, row)
  {
    drop_row (crashes, row);
  }
  ln_unwritten_rows_free (crashes->unwritten);
  lp_follow_free (crashes->follow);
  free (crashes);
}

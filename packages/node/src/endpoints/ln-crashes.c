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

#define CRASH_TABLE "crash"
#define KEY_PREFIX CRASH_TABLE "/all/"
/* Timeout of one watch call, which also bounds how long a dead connection goes unnoticed. It is
 * below the three seconds within which all instances have to know of a request that crashes
 * endpoints. A shorter timeout would cost each instance more than half a store call per second. */
#define WATCH_TIMEOUT (2 * LB_SEC)
#define WATCH_RETRY_DELAY (100 * LB_MSEC)
/* Maximum random delay before an expired row is removed, so that not all instances remove the same
 * rows. */
#define MAX_EXPIRED_ROW_REMOVAL_DELAY (600 * LB_SEC)
/* Time between two reads of all rows on a platform without watches. Instances there also send each
 * new row to each other in a frame, but a frame may be lost with its connection. */
#define TABLE_SCAN_PERIOD (5 * LB_SEC)
/* A row received less than this time ago is kept even if a copy of the table does not contain it,
 * because the copy may have been requested before the row was written. */
#define NEW_ROW_GRACE_TIME (10 * LB_SEC)
/* Maximum time that a starting instance waits for the rows that are already in the store; enough
 * for a few replies of a slow store. */
#define MAX_INITIAL_READ_TIME (2 * LB_SEC)
/* Maximum number of rows of the store that this instance remembers, so that it can remove them when
 * they expire. */
#define MAX_KNOWN_ROWS 1024

/* A row of the crash table that this instance has read or written. */
typedef struct
{
  LbLink link;
  char *key;
  LbTime received_at;
  LbTime remove_at;
} KnownRow;

struct LnCrashes
{
  LnContext *context;
  LcQuarantine *quarantine;
  LpFollow *follower; /* watches the rows; NULL: scans them on a platform without watches */
  LbList rows;        /* list of KnownRow, oldest first */
  LnUnwrittenRows *unwritten;
  uint64_t report_count;     /* number of crash reports by this instance, part of their ids */
  LbTime store_clock_offset; /* the store's clock minus this instance's clock */
  bool has_store_clock;
  LbTime next_scan_at;
  bool is_scanning;
  bool is_complete_copy; /* the next delivered rows are the whole table, not only changes */
  bool has_scanned;
  LbTime started_at;
};

/* --- clocks --- */

/* Times in rows are by the store's monotonic clock, which all instances know from the store's
 * answers. On a store without a clock they are by the wall clock, which is accurate enough for
 * report lifetimes of an hour. */
static void
update_store_clock_offset (LnCrashes *crashes)
{
  LpPlatform *platform = crashes->context->platform;
  int64_t ms = platform->klass->store_clock_ms ? platform->klass->store_clock_ms (platform)
                                               : lb_clock_wall_ms ();

  if (ms == 0)
    return;
  crashes->store_clock_offset = ms * LB_MSEC - lb_clock_monotonic ();
  crashes->has_store_clock = true;
}

static int64_t
convert_local_time_to_store_ms (const LnCrashes *crashes, LbTime at)
{
  return crashes->has_store_clock ? (at + crashes->store_clock_offset) / LB_MSEC : 0;
}

/* Converts a time in a row to this instance's clock. Replaces an unknown or future time by the
 * current time: the report then expires late instead of being ignored. */
static LbTime
convert_store_ms_to_local_time (const LnCrashes *crashes, int64_t ms, LbTime now)
{
  LbTime at = ms * LB_MSEC - crashes->store_clock_offset;

  return ms > 0 && crashes->has_store_clock && at < now ? at : now;
}

/* --- reading rows --- */

static KnownRow *
find_known_crash_row (const LnCrashes *crashes, const char *key)
{
  LB_LIST_FOREACH (&crashes->rows, KnownRow, link, row)
  {
    if (strcmp (row->key, key) == 0)
      return row;
  }
  return NULL;
}

static void
forget_known_crash_row (LnCrashes *crashes, KnownRow *row)
{
  lb_list_remove (&crashes->rows, &row->link);
  free (row->key);
  free (row);
}

static void
add_known_crash_row (LnCrashes *crashes, const char *key, LbTime at)
{
  double draw = ln_context_random_uniform (crashes->context);
  KnownRow *oldest = LB_LIST_FIRST (&crashes->rows, KnownRow, link);
  KnownRow *row = NULL;

  if (find_known_crash_row (crashes, key))
    return;
  if (oldest && crashes->rows.length >= MAX_KNOWN_ROWS)
    forget_known_crash_row (crashes, oldest);
  row = LB_NEW (KnownRow);
  row->key = lb_strdup (key);
  row->received_at = lb_clock_monotonic ();
  row->remove_at = at + lc_quarantine_report_lifetime ()
                   + (LbTime)(draw * (double)MAX_EXPIRED_ROW_REMOVAL_DELAY) + LB_SEC;
  lb_list_append (&crashes->rows, &row->link);
}

static void
add_crash_row_to_quarantine (LnCrashes *crashes, const char *key, const char *text, LbTime now)
{
  LnCrashRow row;
  LbError error = { 0 };

  if (!ln_crash_row_from_text (text, &row, &error))
    {
      lb_log_error (LB_LOG_WARNING, "crash_row_not_read", &error);
      return;
    }
  row.report.at = convert_store_ms_to_local_time (crashes, row.at_ms, now);
  LB_COPY (row.report.id, key);
  add_known_crash_row (crashes, key, row.report.at);
  if (row.is_clearance)
    lc_quarantine_add_clearance (crashes->quarantine, row.report.fingerprints[0], row.report.at);
  else
    lc_quarantine_add_report (crashes->quarantine, &row.report, now);
}

/* Withdraws the crash report of a row that was removed from the store. A row is removed when it
 * expires, or when an operator allows the blocked request again. */
static void
withdraw_removed_crash_row (LnCrashes *crashes, const char *key)
{
  KnownRow *row = find_known_crash_row (crashes, key);

  lc_quarantine_withdraw_report (crashes->quarantine, key);
  if (row)
    forget_known_crash_row (crashes, row);
}

static bool
has_row_with_key (const char *key, const LpRow *rows, size_t n_rows)
{
  for (size_t i = 0; i < n_rows; i++)
    if (strcmp (rows[i].key, key) == 0)
      return true;
  return false;
}

/* rows: a complete copy of the table. Known rows that are missing from it were removed without this
 * instance being notified. */
static void
forget_known_rows_missing_from_table (LnCrashes *crashes,
                                      const LpRow *rows,
                                      size_t n_rows,
                                      LbTime now)
{
  LB_LIST_FOREACH (&crashes->rows, KnownRow, link, row)
  {
    if (now - row->received_at < NEW_ROW_GRACE_TIME || has_row_with_key (row->key, rows, n_rows))
      continue;
    lc_quarantine_withdraw_report (crashes->quarantine, row->key);
    forget_known_crash_row (crashes, row);
  }
}

static void
apply_changed_crash_rows (LnCrashes *crashes, const LpRow *rows, size_t n_rows)
{
  LbTime now = lb_clock_monotonic ();

  if (crashes->is_complete_copy)
    forget_known_rows_missing_from_table (crashes, rows, n_rows, now);
  crashes->is_complete_copy = false;

  update_store_clock_offset (crashes);
  for (size_t i = 0; i < n_rows; i++)
    if (rows[i].value)
      add_crash_row_to_quarantine (crashes, rows[i].key, rows[i].value, now);
    else
      withdraw_removed_crash_row (crashes, rows[i].key);
  ln_crashes_publish_clearances (crashes);
}

static void
on_crash_rows_changed (const LpRow *rows, size_t n_rows, void *user)
{
  apply_changed_crash_rows (user, rows, n_rows);
}

static void
on_crash_snapshot_begin (void *user)
{
  LnCrashes *crashes = user;

  update_store_clock_offset (crashes);
  crashes->is_complete_copy = true;
}

static void
on_crash_rows_scanned (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnCrashes *crashes = user;

  crashes->is_scanning = false;
  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    return;
  crashes->next_scan_at = lb_clock_monotonic () + TABLE_SCAN_PERIOD;
  crashes->has_scanned = true;
  crashes->is_complete_copy = true;
  apply_changed_crash_rows (crashes, rows, error == LB_OK ? n_rows : 0);
}

/* --- writing rows --- */

/* Writes the row to the store and, on a platform without watches, sends it to the running instances
 * in a frame. */
static void
publish_crash_row (LnCrashes *crashes, const char *key, const LnCrashRow *row)
{
  char *text = ln_crash_row_to_text (row);

  add_known_crash_row (crashes, key, row->report.at);
  if (!crashes->follower)
    ln_crash_frame_send (crashes->context->hub, key, text);
  ln_unwritten_rows_write (crashes->unwritten, key, text);
}

void
ln_crashes_report_crash (LnCrashes *crashes,
                         const char *endpoint,
                         LbTime at,
                         const LcFingerprint *fingerprints,
                         size_t n_fingerprints)
{
  const LnContext *context = crashes->context;
  LnCrashRow row = { .at_ms = convert_local_time_to_store_ms (crashes, at) };
  LcCrashReport *report = &row.report;

  LB_COPY (report->endpoint, endpoint);
  report->at = at;
  report->n_fingerprints
      = n_fingerprints < LC_MAX_REPORT_FINGERPRINTS ? n_fingerprints : LC_MAX_REPORT_FINGERPRINTS;
  memcpy (report->fingerprints, fingerprints, report->n_fingerprints * sizeof *fingerprints);
  snprintf (report->id, sizeof report->id, "%s%s:%s:%s-%llu", KEY_PREFIX, endpoint,
            context->instance, context->incarnation, (unsigned long long)++crashes->report_count);
  publish_crash_row (crashes, report->id, &row);
  lc_quarantine_add_report (crashes->quarantine, report, lb_clock_monotonic ());
  ln_crashes_publish_clearances (crashes);
}

void
ln_crashes_publish_clearances (LnCrashes *crashes)
{
  LnCrashRow row = { .is_clearance = true };
  char text[LC_FINGERPRINT_TEXT_SIZE];
  char key[sizeof KEY_PREFIX + LC_FINGERPRINT_TEXT_SIZE + sizeof "answered:"];

  row.report.n_fingerprints = 1;
  while (lc_quarantine_pop_clearance (crashes->quarantine, &row.report.fingerprints[0],
                                      &row.report.at))
    {
      lc_fingerprint_to_text (row.report.fingerprints[0], text);
      snprintf (key, sizeof key, "%sanswered:%s", KEY_PREFIX, text);
      row.at_ms = convert_local_time_to_store_ms (crashes, row.report.at);
      publish_crash_row (crashes, key, &row);
    }
}

bool
ln_crashes_receive_frame (LnCrashes *crashes, const LnPeerMessage *frame)
{
  LnCrashFrame row;

  if (!ln_crash_frame_read (frame, &row))
    return false;
  add_crash_row_to_quarantine (crashes, row.key, row.text, lb_clock_monotonic ());
  ln_crashes_publish_clearances (crashes);
  return true;
}

/* --- periodic work --- */

static void
remove_expired_crash_rows (LnCrashes *crashes, LbTime now)
{
  LB_LIST_FOREACH (&crashes->rows, KnownRow, link, row)
  {
    if (row->remove_at > now)
      continue;
    ln_unwritten_rows_write (crashes->unwritten, row->key, NULL);
    forget_known_crash_row (crashes, row);
  }
}

bool
ln_crashes_is_initial_read_over (const LnCrashes *crashes, LbTime now)
{
  bool has_read = crashes->follower ? lp_follow_has_delivered_all_rows (crashes->follower)
                                    : crashes->has_scanned;

  return has_read || now - crashes->started_at >= MAX_INITIAL_READ_TIME;
}

static void
scan_crash_rows_if_due (LnCrashes *crashes, LbTime now)
{
  LpPlatform *platform = crashes->context->platform;

  if (crashes->is_scanning || now < crashes->next_scan_at)
    return;
  crashes->is_scanning = true;
  platform->klass->scan (platform, KEY_PREFIX, on_crash_rows_scanned, crashes);
}

void
ln_crashes_tick (LnCrashes *crashes, LbTime now)
{
  if (crashes->follower)
    lp_follow_start_call_if_due (crashes->follower, now);
  else
    {
      update_store_clock_offset (crashes);
      scan_crash_rows_if_due (crashes, now);
    }
  lc_quarantine_expire (crashes->quarantine, now);
  ln_unwritten_rows_retry_writes (crashes->unwritten);
  remove_expired_crash_rows (crashes, now);
}

LnCrashes *
ln_crashes_new (LnContext *context, LcQuarantine *quarantine)
{
  static const char *const prefixes[] = { KEY_PREFIX };
  const LpFollowSettings settings = { .table = CRASH_TABLE,
                                      .prefixes = prefixes,
                                      .n_prefixes = 1,
                                      .watch_timeout = WATCH_TIMEOUT,
                                      .retry_delay = WATCH_RETRY_DELAY,
                                      .on_snapshot_begin = on_crash_snapshot_begin };
  LnCrashes *crashes = LB_NEW (LnCrashes);

  crashes->context = context;
  crashes->quarantine = quarantine;
  crashes->started_at = lb_clock_monotonic ();
  lb_list_init (&crashes->rows);
  crashes->unwritten = ln_unwritten_rows_new (context->platform, context->incarnation);
  if (context->platform->klass->watch)
    crashes->follower
        = lp_follow_new (context->platform, &settings, on_crash_rows_changed, crashes);
  return crashes;
}

void
ln_crashes_free (LnCrashes *crashes)
{
  LB_LIST_FOREACH (&crashes->rows, KnownRow, link, row)
  {
    forget_known_crash_row (crashes, row);
  }
  ln_unwritten_rows_free (crashes->unwritten);
  lp_follow_free (crashes->follower);
  free (crashes);
}

#include "lp-follow.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <event2/util.h>
#include <stdlib.h>

#define MAX_BACKOFF_DOUBLINGS 4 /* most doublings of the retry delay after STORE_BUSY answers */

/* Follower of one table. At any time either one watch is in progress, or one list call for each
 * prefix, or no call until next_call_at. */
struct LpFollow
{
  LpPlatform *platform;
  LpFollowSettings settings;
  LpFollowRows on_rows;
  void *user;
  int64_t version;        /* table version of the last answer; 0: the rows must be listed */
  size_t n_pending;       /* number of calls without an answer yet */
  LbErrorCode list_error; /* error of the lists in progress; LB_OK: no list has failed */
  int64_t list_version;   /* lowest table version in the answers to the lists; 0: none yet */
  LbTime next_call_at;
  LbTime last_answer_at;
  LbTime list_interval; /* time between lists of the rows; 0: the table is watched instead */
  LbTime watch_delay;   /* minimum time between an answer and the next watch */
  bool has_listed;
  bool has_no_history; /* the store has dropped old changes; a watch can't deliver all rows */
  int busy_refusals;   /* number of consecutive STORE_BUSY answers, at most MAX_BACKOFF_DOUBLINGS */
};

LpFollow *
lp_follow_new (LpPlatform *platform,
               const LpFollowSettings *settings,
               LpFollowRows on_rows,
               void *user)
{
  LpFollow *follow = LB_NEW (LpFollow);

  follow->platform = platform;
  follow->settings = *settings;
  follow->on_rows = on_rows;
  follow->user = user;
  return follow;
}

void
lp_follow_free (LpFollow *follow)
{
  free (follow);
}

static LbTime
draw_random_delay (LbTime max)
{
  uint64_t bits;

  evutil_secure_rng_get_bytes (&bits, sizeof bits);
  return (LbTime)(bits % (uint64_t)max);
}

/* Returns the delay before the next call, and counts a STORE_BUSY answer. A busy store refuses the
 * calls of many instances at once; exponential backoff with jitter spreads their retries. */
static LbTime
compute_next_retry_delay (LpFollow *follow, LbErrorCode error)
{
  LbTime delay = follow->settings.retry_delay;

  if (error != LB_ERROR_STORE_BUSY)
    {
      follow->busy_refusals = 0;
      return delay;
    }
  for (int i = 0; i < follow->busy_refusals; i++)
    delay *= 2;
  if (follow->busy_refusals < MAX_BACKOFF_DOUBLINGS)
    follow->busy_refusals++;
  return delay + draw_random_delay (delay);
}

/* Schedules the next call after a failed one. NOT_FOUND means that the store has dropped changes
 * after follow->version, so the rows must be listed: immediately if no rows were delivered yet. */
static void
schedule_next_call_after_error (LpFollow *follow, LbErrorCode error)
{
  lb_log (LB_LOG_DEBUG, "table_not_read", LB_TEXT ("table", follow->settings.table),
          LB_TEXT ("error", lb_error_name (error)), LB_INT ("after", follow->version));
  follow->next_call_at = lb_clock_monotonic () + compute_next_retry_delay (follow, error);
  if (error != LB_ERROR_NOT_FOUND)
    return;
  if (!follow->has_listed)
    follow->next_call_at = 0;
  follow->version = 0;
  follow->has_no_history = true;
}

/* Receives the rows listed for one prefix. The next watch continues from the lowest version of all
 * lists: a change between two lists is then delivered twice instead of being lost. Each list calls
 * on_snapshot_begin, which is why that callback requires a single prefix. */
static void
on_prefix_listed (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  LpFollow *follow = user;

  if (error != LB_OK)
    follow->list_error = error;
  else if (follow->list_version == 0 || version < follow->list_version)
    follow->list_version = version;
  if (error == LB_OK && follow->settings.on_snapshot_begin)
    follow->settings.on_snapshot_begin (follow->user);
  if (n_rows > 0)
    follow->on_rows (rows, n_rows, follow->user);
  if (--follow->n_pending > 0)
    return;
  if (follow->list_error != LB_OK)
    {
      schedule_next_call_after_error (follow, follow->list_error);
      return;
    }
  follow->version = follow->list_version;
  follow->busy_refusals = 0;
  follow->has_listed = true;
  follow->last_answer_at = lb_clock_monotonic ();
  if (follow->list_interval > 0)
    follow->next_call_at = lb_clock_monotonic () + follow->list_interval;
}

static void
start_listing_prefixes (LpFollow *follow)
{
  const LpFollowSettings *settings = &follow->settings;

  follow->list_error = LB_OK;
  follow->list_version = 0;
  follow->n_pending = settings->n_prefixes;
  for (size_t i = 0; i < settings->n_prefixes; i++)
    follow->platform->klass->list (follow->platform, settings->prefixes[i], NULL, 0,
                                   on_prefix_listed, follow);
}

static void
on_watch_answer (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  LpFollow *follow = user;

  follow->n_pending = 0;
  if (error != LB_OK)
    {
      schedule_next_call_after_error (follow, error);
      return;
    }
  follow->version = version;
  follow->busy_refusals = 0;
  if (follow->watch_delay > 0)
    follow->next_call_at = lb_clock_monotonic () + follow->watch_delay;
  follow->has_listed = true;
  follow->last_answer_at = lb_clock_monotonic ();
  if (n_rows > 0)
    follow->on_rows (rows, n_rows, follow->user);
}

/* Whether to read the table by a watch from version 0, one call for the whole change history. A
 * list takes one call for each prefix, but also works after the store has dropped old changes. */
static bool
should_read_whole_change_history (const LpFollow *follow)
{
  return follow->settings.tries_history && !follow->has_listed && !follow->has_no_history;
}

void
lp_follow_set_list_interval (LpFollow *follow, LbTime interval, LbTime now)
{
  if (interval < follow->list_interval && follow->next_call_at > now)
    follow->next_call_at = now;
  follow->list_interval = interval;
}

void
lp_follow_set_watch_delay (LpFollow *follow, LbTime delay)
{
  follow->watch_delay = delay;
}

void
lp_follow_set_watch_timeout (LpFollow *follow, LbTime timeout)
{
  follow->settings.watch_timeout = timeout;
}

static void
start_table_watch (LpFollow *follow)
{
  const LpFollowSettings *settings = &follow->settings;

  follow->n_pending = 1;
  follow->platform->klass->watch (follow->platform, settings->table, follow->version,
                                  follow->version > 0 ? settings->watch_timeout : 0,
                                  on_watch_answer, follow);
}

void
lp_follow_start_call_if_due (LpFollow *follow, LbTime now)
{
  if (follow->n_pending > 0 || now < follow->next_call_at)
    return;
  if (should_read_whole_change_history (follow))
    start_table_watch (follow);
  else if (follow->version == 0 || follow->list_interval > 0)
    start_listing_prefixes (follow);
  else
    start_table_watch (follow);
}

LbTime
lp_follow_get_last_answer_time (const LpFollow *follow)
{
  return follow->last_answer_at;
}

bool
lp_follow_has_delivered_all_rows (const LpFollow *follow)
{
  return follow->has_listed;
}

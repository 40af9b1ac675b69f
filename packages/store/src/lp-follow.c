#include "lp-follow.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <event2/util.h>
#include <stdlib.h>

#define MAX_DOUBLINGS 4 /* of the time between two calls that a busy store refused */

struct LpFollow
{
  LpPlatform *platform;
  LpFollowSettings settings;
  LpFollowRows on_rows;
  void *user;
  int64_t version;    /* of the table, as last seen; 0: the rows have to be listed */
  size_t n_waiting;   /* calls on their way */
  LbErrorCode failed; /* one of the lists on their way; LB_OK: none so far */
  int64_t oldest;     /* version of the lists on their way that were answered; 0: none was */
  LbTime next_call;
  LbTime heard_at;
  LbTime pause; /* between lists; 0: the table is watched */
  LbTime gap;   /* between an answer and the next watch */
  bool has_listed;
  bool has_no_history; /* since the table began */
  int refusals;        /* in a row, by a store that is busy */
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
jitter (LbTime most)
{
  uint64_t bits;

  evutil_secure_rng_get_bytes (&bits, sizeof bits);
  return (LbTime)(bits % (uint64_t)most);
}

/* A store that is busy refuses calls of many instances at once: they come back later each time, and
 * not together. */
static LbTime
retry_time (LpFollow *follow, LbErrorCode error)
{
  LbTime retry = follow->settings.retry_delay;

  if (error != LB_ERROR_STORE_BUSY)
    {
      follow->refusals = 0;
      return retry;
    }
  for (int i = 0; i < follow->refusals; i++)
    retry *= 2;
  if (follow->refusals < MAX_DOUBLINGS)
    follow->refusals++;
  return retry + jitter (retry);
}

static void
fail (LpFollow *follow, LbErrorCode error)
{
  lb_log (LB_LOG_DEBUG, "table_not_read", LB_TEXT ("table", follow->settings.table),
          LB_TEXT ("error", lb_error_name (error)), LB_INT ("after", follow->version));
  follow->next_call = lb_clock_monotonic () + retry_time (follow, error);
  if (error != LB_ERROR_NOT_FOUND)
    return;
  if (!follow->has_listed)
    follow->next_call = 0;
  follow->version = 0;
  follow->has_no_history = true;
}

/* The watch goes on from the oldest of the lists: a change between two of them is heard twice
 * rather than not at all. */
static void
on_list (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  LpFollow *follow = user;

  if (error != LB_OK)
    follow->failed = error;
  else if (follow->oldest == 0 || version < follow->oldest)
    follow->oldest = version;
  if (error == LB_OK && follow->settings.on_snapshot_begin)
    follow->settings.on_snapshot_begin (follow->user);
  if (n_rows > 0)
    follow->on_rows (rows, n_rows, follow->user);
  if (--follow->n_waiting > 0)
    return;
  if (follow->failed != LB_OK)
    {
      fail (follow, follow->failed);
      return;
    }
  follow->version = follow->oldest;
  follow->refusals = 0;
  follow->has_listed = true;
  follow->heard_at = lb_clock_monotonic ();
  if (follow->pause > 0)
    follow->next_call = lb_clock_monotonic () + follow->pause;
}

static void
list (LpFollow *follow)
{
  const LpFollowSettings *settings = &follow->settings;

  follow->failed = LB_OK;
  follow->oldest = 0;
  follow->n_waiting = settings->n_prefixes;
  for (size_t i = 0; i < settings->n_prefixes; i++)
    follow->platform->klass->list (follow->platform, settings->prefixes[i], NULL, 0, on_list,
                                   follow);
}

static void
on_changes (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  LpFollow *follow = user;

  follow->n_waiting = 0;
  if (error != LB_OK)
    {
      fail (follow, error);
      return;
    }
  follow->version = version;
  follow->refusals = 0;
  if (follow->gap > 0)
    follow->next_call = lb_clock_monotonic () + follow->gap;
  follow->has_listed = true;
  follow->heard_at = lb_clock_monotonic ();
  if (n_rows > 0)
    follow->on_rows (rows, n_rows, follow->user);
}

/* All that was ever written is one call where the store still has it, and a list is one for each
 * part. */
static bool
may_read_history (const LpFollow *follow)
{
  return follow->settings.tries_history && !follow->has_listed && !follow->has_no_history;
}

void
lp_follow_set_list_interval (LpFollow *follow, LbTime pause, LbTime now)
{
  if (pause < follow->pause && follow->next_call > now)
    follow->next_call = now;
  follow->pause = pause;
}

void
lp_follow_set_watch_delay (LpFollow *follow, LbTime gap)
{
  follow->gap = gap;
}

void
lp_follow_set_watch_timeout (LpFollow *follow, LbTime wait)
{
  follow->settings.watch_timeout = wait;
}

static void
watch (LpFollow *follow)
{
  const LpFollowSettings *settings = &follow->settings;

  follow->n_waiting = 1;
  follow->platform->klass->watch (follow->platform, settings->table, follow->version,
                                  follow->version > 0 ? settings->watch_timeout : 0, on_changes,
                                  follow);
}

void
lp_follow_tick (LpFollow *follow, LbTime now)
{
  if (follow->n_waiting > 0 || now < follow->next_call)
    return;
  if (may_read_history (follow))
    watch (follow);
  else if (follow->version == 0 || follow->pause > 0)
    list (follow);
  else
    watch (follow);
}

LbTime
lp_follow_last_answer_at (const LpFollow *follow)
{
  return follow->heard_at;
}

bool
lp_follow_has_listed (const LpFollow *follow)
{
  return follow->has_listed;
}

#include "lc-lease.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define MARGIN (100 * LB_MSEC)
#define RANK_DELAY (500 * LB_MSEC)
#define MAX_PAUSE LB_SEC
#define N_REMEMBERED 8
#define STALE_RETRY (200 * LB_MSEC)

struct LcLease
{
  LcLeaseSettings settings;
  int rank;
  LcLeaseRow row;        /* as last read */
  int64_t version;       /* of row; 0: absent */
  bool seen;             /* the row was read at least once */
  int64_t ended_version; /* of the row whose holder is known to have ended */
  LbTime version_since;  /* when this version was first seen */
  bool reading;
  LbTime read_at; /* when the read on its way was asked */
  LbTime next_read;
  bool writing;
  LcLeaseRow written; /* the write on its way, or the last */
  /* When each of the last writes was asked, by number of the renewal. */
  LbTime asked_at[N_REMEMBERED];
  int64_t renewals; /* number of the last write */
  bool held;
  LbTime valid_until; /* on our clock; no order from then on */
  LbTime lost_at;     /* 0: it never was */
  LbTime gained_at;   /* when gained_fence was */
  int64_t gained_fence;
  bool from_another; /* the one that held it when gained_fence was gained */
  bool must_confirm; /* paused: no order until a renewal asked after it went through */
  LbTime paused_at;
  bool releasing;
  LbTime last_tick;
  LbTime last_wall;
};

static LbMetric metric_gained = LB_COUNTER_INIT ("lentilspindle_lease_changes_total",
                                                 "change=\"gained\"",
                                                 "Leases gained and lost");
static LbMetric metric_lost = LB_COUNTER_INIT ("lentilspindle_lease_changes_total",
                                               "change=\"lost\"",
                                               "Leases gained and lost");
static LbMetric metric_paused
    = LB_COUNTER_INIT ("lentilspindle_lease_pauses_total",
                       NULL,
                       "Pauses of this process that a lease holder noticed");

struct json_object *
lc_lease_row_to_json (const LcLeaseRow *row)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "holder", json_object_new_string (row->holder));
  json_object_object_add (object, "incarnation", json_object_new_string (row->incarnation));
  json_object_object_add (object, "fence", json_object_new_int64 (row->fence));
  json_object_object_add (object, "renewal", json_object_new_int64 (row->renewal));
  json_object_object_add (object, "released", json_object_new_boolean (row->released));
  return object;
}

static bool
row_from_json (struct json_object *object, LcLeaseRow *row)
{
  struct json_object *fence, *renewal, *released;
  const char *holder = lb_json_text (object, "holder", NULL);
  const char *incarnation = lb_json_text (object, "incarnation", NULL);

  memset (row, 0, sizeof *row);
  if (!holder || !incarnation || !json_object_object_get_ex (object, "fence", &fence)
      || !json_object_object_get_ex (object, "renewal", &renewal)
      || !json_object_object_get_ex (object, "released", &released))
    return false;
  LB_COPY (row->holder, holder);
  LB_COPY (row->incarnation, incarnation);
  row->fence = json_object_get_int64 (fence);
  row->renewal = json_object_get_int64 (renewal);
  row->released = json_object_get_boolean (released);
  return true;
}

bool
lc_lease_row_from_text (const char *text, LcLeaseRow *row)
{
  struct json_object *object = json_tokener_parse (text);
  bool ok = row_from_json (object, row);

  json_object_put (object);
  return ok;
}

/* Durations by which another takes over in less than 10 s after a crash: a look (1 s) until the
 * last renewal is seen, its duration (4 s), a look (1 s), two ranks (1 s) and, for endpoints that
 * check no fence, the life of an order (2 s). */
void
lc_lease_settings_init (LcLeaseSettings *settings)
{
  *settings = (LcLeaseSettings){ .duration = 4 * LB_SEC,
                                 .poll_period = LB_SEC,
                                 .observer_poll_period = 30 * LB_SEC,
                                 .order_lifetime = 2 * LB_SEC,
                                 .max_clock_drift = 0.01 };
}

LcLease *
lc_lease_new (const LcLeaseSettings *settings, LbTime now, LbTime wall)
{
  LcLease *lease = LB_NEW (LcLease);

  lease->settings = *settings;
  lease->rank = -1;
  lease->next_read = now;
  lease->last_tick = now;
  lease->last_wall = wall;
  return lease;
}

void
lc_lease_free (LcLease *lease)
{
  free (lease);
}

static LcLeaseAction *
add_action (LbList *actions, LcLeaseActionType type)
{
  LcLeaseAction *action = LB_NEW (LcLeaseAction);

  action->type = type;
  lb_list_append (actions, &action->link);
  return action;
}

static bool
is_own (const LcLease *lease)
{
  return strcmp (lease->row.holder, lease->settings.instance) == 0
         && strcmp (lease->row.incarnation, lease->settings.incarnation) == 0;
}

/* The holder counts from before it asked and by the shortest the lease may last on any clock. */
static LbTime
own_end (const LcLease *lease, LbTime asked_at)
{
  return asked_at + (LbTime)(lease->settings.duration * (1 - lease->settings.max_clock_drift))
         - MARGIN;
}

/* Others count from after they saw the renewal and by the longest it may last. Guards against two
 * holders whose clocks differ: an engine would be ordered to two versions in turn. */
static LbTime
others_end (const LcLease *lease)
{
  return lease->version_since
         + (LbTime)(lease->settings.duration * (1 + lease->settings.max_clock_drift)) + MARGIN;
}

static void
lose (LcLease *lease, LbTime now, LbList *actions)
{
  if (!lease->held)
    return;
  lease->held = false;
  lease->lost_at = now;
  lb_metric_add (&metric_lost, 1);
  add_action (actions, LC_LEASE_LOST)->row = lease->row;
}

static void
write_row (LcLease *lease, const LcLeaseRow *row, LbTime now, LbList *actions)
{
  LcLeaseAction *action = add_action (actions, LC_LEASE_WRITE);

  lease->writing = true;
  lease->written = *row;
  lease->written.renewal = ++lease->renewals;
  lease->asked_at[lease->renewals % N_REMEMBERED] = now;
  action->row = lease->written;
  action->expected_version = lease->version;
}

static void
claim (LcLease *lease, LbTime now, LbList *actions)
{
  LcLeaseRow row = { .fence = lease->row.fence + 1 };

  LB_COPY (row.holder, lease->settings.instance);
  LB_COPY (row.incarnation, lease->settings.incarnation);
  write_row (lease, &row, now, actions);
}

/* This write of ours is the row: the lease is ours from when it was asked. */
static void
confirm (LcLease *lease, const LcLeaseRow *row, LbTime now, LbList *actions)
{
  LbTime asked_at = lease->renewals - row->renewal < N_REMEMBERED
                        ? lease->asked_at[row->renewal % N_REMEMBERED]
                        : 0;

  if (row->released)
    return;
  if (own_end (lease, asked_at) > lease->valid_until)
    lease->valid_until = own_end (lease, asked_at);
  if (lease->must_confirm && asked_at >= lease->paused_at)
    lease->must_confirm = false;
  if (lease->held || now >= lease->valid_until || lease->releasing)
    return;
  lease->held = true;
  if (row->fence != lease->gained_fence)
    {
      lease->gained_at = now;
      lease->from_another = row->fence != lease->gained_fence + 1;
    }
  lease->gained_fence = row->fence;
  lb_metric_add (&metric_gained, 1);
  add_action (actions, LC_LEASE_GAINED)->row = *row;
}

static void
renew_or_release (LcLease *lease, LbTime now, LbList *actions)
{
  LcLeaseRow row = lease->row;

  if (row.released && !lease->releasing)
    claim (lease, now, actions);
  else if (!row.released)
    {
      row.released = lease->releasing;
      write_row (lease, &row, now, actions);
    }
}

static bool
may_claim (const LcLease *lease, LbTime now)
{
  if (lease->releasing || lease->rank < 0)
    return false;
  if (lease->version == 0 || lease->row.released || lease->ended_version == lease->version)
    return now >= lease->version_since + lease->rank * RANK_DELAY;
  return lease->read_at >= others_end (lease) + lease->rank * RANK_DELAY;
}

void
lc_lease_set_rank (LcLease *lease, int rank)
{
  if (rank >= 0 && lease->rank < 0)
    lease->next_read = 0;
  lease->rank = rank;
}

/* Guards against a holder that was paused past its lease without knowing: two instances would order
 * the same engines. Its loop shows a gap, or its wall clock a step against the other one when the
 * whole machine stood still; either way no order is given until a renewal went through. */
static void
notice_pause (LcLease *lease, LbTime now, LbTime wall)
{
  LbTime elapsed = now - lease->last_tick;
  LbTime elapsed_wall = wall - lease->last_wall;

  lease->last_tick = now;
  lease->last_wall = wall;
  if (elapsed <= MAX_PAUSE && elapsed_wall - elapsed <= MAX_PAUSE)
    return;
  if (lease->held)
    lb_metric_add (&metric_paused, 1);
  lease->must_confirm = true;
  lease->paused_at = now;
  lease->next_read = now;
}

void
lc_lease_tick (LcLease *lease, LbTime now, LbTime wall, LbList *actions)
{
  notice_pause (lease, now, wall);
  if (lease->held && now >= lease->valid_until)
    lose (lease, now, actions);
  if (now < lease->next_read || lease->reading || lease->writing)
    return;
  lease->reading = true;
  lease->read_at = now;
  bool busy = lease->rank >= 0 || is_own (lease);
  lease->next_read
      = now + (busy ? lease->settings.poll_period : lease->settings.observer_poll_period);
  add_action (actions, LC_LEASE_READ);
}

static void
note_row (LcLease *lease, const LcLeaseRow *row, int64_t version, LbTime now)
{
  if (lease->seen && version == lease->version)
    return;
  lease->seen = true;
  lease->version = version;
  lease->version_since = now;
  if (row)
    lease->row = *row;
  else
    lease->row.holder[0] = '\0';
}

void
lc_lease_read_completed (LcLease *lease,
                         LbErrorCode error,
                         const LcLeaseRow *row,
                         int64_t version,
                         LbTime now,
                         LbList *actions)
{
  lease->reading = false;
  if (error == LB_ERROR_NOT_FOUND)
    note_row (lease, NULL, 0, now);
  else if (error != LB_OK)
    return;
  else if (version < lease->version)
    {
      /* Guards against a replica that lags: the holder would see the row of the one before it, and
       * give up what it holds. */
      lease->next_read = now + STALE_RETRY;
      return;
    }
  else
    note_row (lease, row, version, now);
  if (is_own (lease))
    {
      confirm (lease, &lease->row, now, actions);
      renew_or_release (lease, now, actions);
      return;
    }
  lose (lease, now, actions);
  if (may_claim (lease, now))
    claim (lease, now, actions);
}

/* After a write whose outcome is unknown, or that lost a race, the next read tells: the row names
 * the renewal that made it. */
void
lc_lease_write_completed (LcLease *lease, LbErrorCode error, LbTime now, LbList *actions)
{
  lease->writing = false;
  if (error == LB_OK)
    {
      confirm (lease, &lease->written, now, actions);
      lease->row = lease->written;
      if (lease->written.released)
        lose (lease, now, actions);
    }
  else if (error == LB_ERROR_CONDITION_FAILED || error == LB_ERROR_STORE_UNKNOWN)
    lease->next_read = now;
}

void
lc_lease_release (LcLease *lease, LbTime now, LbList *actions)
{
  lease->releasing = true;
  lease->next_read = now;
  lose (lease, now, actions);
}

void
lc_lease_mark_holder_ended (LcLease *lease, int64_t version, LbTime now)
{
  if (version == 0 || version != lease->version || lease->ended_version == version)
    return;
  lease->ended_version = version;
  lease->next_read = now;
}

/* A holder that was killed and started again has a younger row under its name. One that is missed
 * need not be dead, it may only be cut off; but endpoints that have heard of the next holder refuse
 * its orders, and it stops by itself when its term is over. */
bool
lc_lease_holder_has_ended (const LcLease *lease, const LcLeaseHolderView *view)
{
  if (strcmp (view->incarnation, lease->row.incarnation) != 0)
    return view->row_version > lease->version;
  return !view->alive && view->endpoints_check_fence;
}

int64_t
lc_lease_row_version (const LcLease *lease)
{
  return lease->version;
}

void
lc_lease_read_soon (LcLease *lease, LbTime now)
{
  lease->next_read = now;
}

/* Guards against two holders that order in turn, each for a moment: what they order can't be told
 * from an old order that comes late. The fencing number shows that another one held it between. */
static bool
takes_turns (const LcLease *lease, LbTime now)
{
  return lease->from_another && lease->lost_at > 0
         && now < lease->lost_at + lease->settings.reacquire_delay;
}

/* Guards against an order of an earlier holder that was still on its way, at an endpoint that takes
 * any: it would come after ours and undo it. Such an endpoint is ordered only after that order's
 * life has run out; what it then states is read back. */
bool
lc_lease_can_order (const LcLease *lease, bool unfenced, LbTime now)
{
  if (!lease->held || lease->must_confirm || lease->releasing || now >= lease->valid_until)
    return false;
  if (now - lease->last_tick > MAX_PAUSE || takes_turns (lease, now))
    return false;
  return !unfenced || now >= lease->gained_at + lease->settings.order_lifetime;
}

int64_t
lc_lease_fence (const LcLease *lease)
{
  return lease->row.fence;
}

int
lc_lease_rank (const LcLease *lease)
{
  return lease->rank;
}

bool
lc_lease_is_held (const LcLease *lease)
{
  return lease->held;
}

bool
lc_lease_is_released (const LcLease *lease, LbTime now)
{
  return !lease->held && (!is_own (lease) || lease->row.released || now >= lease->valid_until);
}

const LcLeaseRow *
lc_lease_row (const LcLease *lease)
{
  return &lease->row;
}

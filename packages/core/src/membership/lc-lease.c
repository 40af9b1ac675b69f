#include "lc-lease.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

/* Time that candidates add to the expiry of the lease and the holder subtracts from the expiry. It
 * covers the time from the holder's check of the lease to the arrival of the holder's order at the
 * engine. */
#define EXPIRY_SAFETY_MARGIN (100 * LB_MSEC)
#define CLAIM_DELAY_PER_RANK (500 * LB_MSEC)
/* Time for the named next holder to claim a released lease: a poll of the lease's row and several
 * round trips to the store. */
#define NEXT_HOLDER_CLAIM_TIMEOUT (400 * LB_MSEC)
#define MAX_UNDETECTED_PAUSE LB_SEC
#define N_REMEMBERED_WRITES 8
#define STALE_READ_RETRY_DELAY (200 * LB_MSEC)

struct LcLease
{
  LcLeaseSettings settings;
  int rank;
  LcLeaseRow row;               /* the lease's row as last read */
  int64_t row_version;          /* store version of row; 0: the row is absent */
  bool has_read;                /* the lease's row was read at least once */
  int64_t ended_holder_version; /* row version whose holder is known to have ended; 0: none */
  LbTime version_seen_at;       /* when row_version was first read */
  bool is_reading;
  LbTime read_started_at; /* start of the read in progress or of the last read */
  LbTime next_read_at;
  bool is_writing;
  LcLeaseRow last_written; /* row of the write in progress or of the last write */
  /* Start times of the last writes, indexed by renewal number modulo N_REMEMBERED_WRITES. */
  LbTime write_started_at[N_REMEMBERED_WRITES];
  int64_t last_renewal; /* renewal number of the last write */
  bool held;
  /* end of the lease on this instance's clock; no orders are given from this time on */
  LbTime valid_until;
  LbTime lost_at;   /* when the lease was last lost; 0: never */
  LbTime gained_at; /* when the lease was gained with the fencing token gained_fence */
  int64_t gained_fence;
  int64_t claimed_quiet_ms; /* quiet_ms of the released row that this instance claimed; else 0 */
  bool has_alternated; /* the row that this instance claimed shows that this instance, possibly an
                          earlier process of it, was the holder before the last one */
  bool gained_from_another; /* another instance held the lease between this instance's last two
                               claims, as a gap in the fencing tokens shows */
  bool needs_confirmation;  /* after a pause: no orders until a renewal started since paused_at has
                               succeeded */
  LbTime paused_at;
  /* Since when no order of this or an earlier holder may be in transit, except those sent at that
   * very time. */
  LbTime quiet_since;
  bool is_releasing;
  LbName next_holder; /* named when this instance releases the lease */
  LbTime last_tick_at;
  LbTime last_tick_wall;
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
                       "Pauses of this process detected while it held a lease");

struct json_object *
lc_lease_row_to_json (const LcLeaseRow *row)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "holder", json_object_new_string (row->holder));
  json_object_object_add (object, "incarnation", json_object_new_string (row->incarnation));
  json_object_object_add (object, "fence", json_object_new_int64 (row->fence));
  json_object_object_add (object, "renewal", json_object_new_int64 (row->renewal));
  json_object_object_add (object, "released", json_object_new_boolean (row->released));
  if (row->next_holder[0])
    json_object_object_add (object, "next", json_object_new_string (row->next_holder));
  if (row->quiet_ms > 0)
    json_object_object_add (object, "quiet_ms", json_object_new_int64 (row->quiet_ms));
  if (row->previous_holder[0])
    json_object_object_add (object, "previous", json_object_new_string (row->previous_holder));
  return object;
}

static bool
lease_row_from_json (struct json_object *object, LcLeaseRow *row)
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
  LB_COPY (row->next_holder, lb_json_text (object, "next", ""));
  row->quiet_ms = lb_json_int (object, "quiet_ms", 0);
  LB_COPY (row->previous_holder, lb_json_text (object, "previous", ""));
  return true;
}

bool
lc_lease_row_from_text (const char *text, LcLeaseRow *row)
{
  struct json_object *object = json_tokener_parse (text);
  bool ok = lease_row_from_json (object, row);

  json_object_put (object);
  return ok;
}

/* With these durations another instance takes over less than 10 s after the holder crashes: a poll
 * (1 s) until the last renewal is seen, the lease's duration (4 s), another poll (1 s), the claim
 * delay of two ranks (1 s) and, for endpoints that do not check fencing tokens, the lifetime of an
 * order (2 s). */
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
  lease->next_read_at = now;
  lease->last_tick_at = now;
  lease->last_tick_wall = wall;
  return lease;
}

void
lc_lease_free (LcLease *lease)
{
  free (lease);
}

static LcLeaseAction *
append_lease_action (LbList *actions, LcLeaseActionType type)
{
  LcLeaseAction *action = LB_NEW (LcLeaseAction);

  action->type = type;
  lb_list_append (actions, &action->link);
  return action;
}

static bool
is_row_held_by_self (const LcLease *lease)
{
  return strcmp (lease->row.holder, lease->settings.instance) == 0
         && strcmp (lease->row.incarnation, lease->settings.incarnation) == 0;
}

/* Returns the expiry of the lease as the holder computes it: the start of the holder's write plus
 * the shortest duration that any clock within the allowed drift may measure. */
static LbTime
compute_lease_expiry_for_holder (const LcLease *lease, LbTime write_started_at)
{
  return write_started_at
         + (LbTime)(lease->settings.duration * (1 - lease->settings.max_clock_drift))
         - EXPIRY_SAFETY_MARGIN;
}

/* Returns the expiry of the lease as all instances but the holder compute it: the first read of the
 * renewal plus the longest duration that any clock within the allowed drift may measure. With the
 * margins on both sides no two instances hold the lease at once, even if their clocks differ; two
 * holders would switch an engine back and forth between two versions. */
static LbTime
compute_lease_expiry_for_others (const LcLease *lease)
{
  return lease->version_seen_at
         + (LbTime)(lease->settings.duration * (1 + lease->settings.max_clock_drift))
         + EXPIRY_SAFETY_MARGIN;
}

static void
lose_lease (LcLease *lease, LbTime now, LbList *actions)
{
  if (!lease->held)
    return;
  lease->held = false;
  lease->lost_at = now;
  lb_metric_add (&metric_lost, 1);
  append_lease_action (actions, LC_LEASE_LOST)->row = lease->row;
}

static void
start_row_write (LcLease *lease, const LcLeaseRow *row, LbTime now, LbList *actions)
{
  LcLeaseAction *action = append_lease_action (actions, LC_LEASE_WRITE);

  lease->is_writing = true;
  lease->last_written = *row;
  lease->last_written.renewal = ++lease->last_renewal;
  lease->write_started_at[lease->last_renewal % N_REMEMBERED_WRITES] = now;
  action->row = lease->last_written;
  action->expected_version = lease->row_version;
}

static void
claim_lease (LcLease *lease, LbTime now, LbList *actions)
{
  LcLeaseRow row = { .fence = lease->row.fence + 1 };

  LB_COPY (row.holder, lease->settings.instance);
  LB_COPY (row.incarnation, lease->settings.incarnation);
  LB_COPY (row.previous_holder, strcmp (lease->row.holder, row.holder) == 0
                                    ? lease->row.previous_holder
                                    : lease->row.holder);
  lease->claimed_quiet_ms = lease->row_version > 0 && lease->row.released ? lease->row.quiet_ms : 0;
  lease->has_alternated = strcmp (lease->row.holder, row.holder) != 0
                          && strcmp (lease->row.previous_holder, row.holder) == 0;
  start_row_write (lease, &row, now, actions);
}

/* Gains or extends the lease after a write of this instance has reached the row: the lease is valid
 * from the start of that write. */
static void
gain_or_extend_lease (LcLease *lease, const LcLeaseRow *row, LbTime now, LbList *actions)
{
  LbTime write_started_at = lease->last_renewal - row->renewal < N_REMEMBERED_WRITES
                                ? lease->write_started_at[row->renewal % N_REMEMBERED_WRITES]
                                : 0;

  if (row->released)
    return;
  if (compute_lease_expiry_for_holder (lease, write_started_at) > lease->valid_until)
    lease->valid_until = compute_lease_expiry_for_holder (lease, write_started_at);
  if (lease->needs_confirmation && write_started_at >= lease->paused_at)
    lease->needs_confirmation = false;
  if (lease->held || now >= lease->valid_until || lease->is_releasing)
    return;
  lease->held = true;
  if (row->fence != lease->gained_fence)
    {
      lease->gained_at = now;
      lease->quiet_since = now - lease->claimed_quiet_ms * LB_MSEC;
      lease->gained_from_another = row->fence != lease->gained_fence + 1;
    }
  lease->gained_fence = row->fence;
  lb_metric_add (&metric_gained, 1);
  append_lease_action (actions, LC_LEASE_GAINED)->row = *row;
}

/* Returns for how long no order has been sent, by any clock within the allowed drift. */
static int64_t
get_quiet_ms (const LcLease *lease, LbTime now)
{
  LbTime quiet = (LbTime)((now - lease->quiet_since) * (1 - 2 * lease->settings.max_clock_drift));

  return lease->settings.records_orders && lease->gained_at > 0 && quiet > EXPIRY_SAFETY_MARGIN
             ? (quiet - EXPIRY_SAFETY_MARGIN) / LB_MSEC
             : 0;
}

static void
renew_or_release_lease (LcLease *lease, LbTime now, LbList *actions)
{
  LcLeaseRow row = lease->row;

  if (row.released && !lease->is_releasing)
    claim_lease (lease, now, actions);
  else if (!row.released)
    {
      row.released = lease->is_releasing;
      if (row.released)
        {
          LB_COPY (row.next_holder, lease->next_holder);
          row.quiet_ms = get_quiet_ms (lease, now);
        }
      start_row_write (lease, &row, now, actions);
    }
}

static bool
can_claim_lease (const LcLease *lease, LbTime now)
{
  if (lease->is_releasing || lease->rank < 0)
    return false;
  if (lease->row.released && strcmp (lease->row.next_holder, lease->settings.instance) == 0)
    return true;
  LbTime delay = lease->rank * CLAIM_DELAY_PER_RANK;
  if (lease->row.released && lease->row.next_holder[0])
    delay += NEXT_HOLDER_CLAIM_TIMEOUT;
  if (lease->row_version == 0 || lease->row.released
      || lease->ended_holder_version == lease->row_version)
    return now >= lease->version_seen_at + delay;
  return lease->read_started_at >= compute_lease_expiry_for_others (lease) + delay;
}

void
lc_lease_set_claim_rank (LcLease *lease, int rank)
{
  if (rank >= 0 && lease->rank < 0)
    lease->next_read_at = 0;
  lease->rank = rank;
}

/* Detects a pause of this process, after which another instance may hold the lease and both would
 * give orders to the same engines. A pause shows as a gap between ticks or, if the machine was
 * suspended, as a jump of the wall clock relative to the monotonic clock. No order is given until a
 * renewal has succeeded. */
static void
detect_process_pause (LcLease *lease, LbTime now, LbTime wall)
{
  LbTime elapsed = now - lease->last_tick_at;
  LbTime elapsed_wall = wall - lease->last_tick_wall;

  lease->last_tick_at = now;
  lease->last_tick_wall = wall;
  if (elapsed <= MAX_UNDETECTED_PAUSE && elapsed_wall - elapsed <= MAX_UNDETECTED_PAUSE)
    return;
  if (lease->held)
    lb_metric_add (&metric_paused, 1);
  lease->needs_confirmation = true;
  lease->paused_at = now;
  lease->next_read_at = now;
}

static LbTime
get_read_period (const LcLease *lease)
{
  if (is_row_held_by_self (lease))
    return lease->settings.poll_period;
  if (lease->rank < 0)
    return lease->settings.observer_poll_period;
  return lease->settings.candidate_poll_period > 0 ? lease->settings.candidate_poll_period
                                                   : lease->settings.poll_period;
}

static void
start_row_read (LcLease *lease, LbTime now, LbList *actions)
{
  lease->is_reading = true;
  lease->read_started_at = now;
  lease->next_read_at = now + get_read_period (lease);
  append_lease_action (actions, LC_LEASE_READ);
}

void
lc_lease_tick (LcLease *lease, LbTime now, LbTime wall, LbList *actions)
{
  detect_process_pause (lease, now, wall);
  if (lease->held && now >= lease->valid_until)
    lose_lease (lease, now, actions);
  if (now < lease->next_read_at || lease->is_reading || lease->is_writing)
    return;
  start_row_read (lease, now, actions);
}

static void
record_lease_row_read (LcLease *lease, const LcLeaseRow *row, int64_t version, LbTime now)
{
  if (lease->has_read && version == lease->row_version)
    return;
  lease->has_read = true;
  lease->row_version = version;
  lease->version_seen_at = now;
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
  lease->is_reading = false;
  if (error == LB_ERROR_NOT_FOUND)
    record_lease_row_read (lease, NULL, 0, now);
  else if (error != LB_OK)
    return;
  else if (version < lease->row_version)
    {
      /* A lagging replica of the store still shows the row of the previous holder; acting on that
       * row would make the current holder drop the lease. */
      lease->next_read_at = now + STALE_READ_RETRY_DELAY;
      return;
    }
  else
    record_lease_row_read (lease, row, version, now);
  if (is_row_held_by_self (lease))
    {
      gain_or_extend_lease (lease, &lease->row, now, actions);
      renew_or_release_lease (lease, now, actions);
      return;
    }
  lose_lease (lease, now, actions);
  if (can_claim_lease (lease, now))
    claim_lease (lease, now, actions);
}

/* After a write that lost a race or has an unknown outcome, the next read shows who holds the
 * lease, because the row contains the renewal number of the write that produced the row. */
void
lc_lease_write_completed (LcLease *lease, LbErrorCode error, LbTime now, LbList *actions)
{
  lease->is_writing = false;
  if (error == LB_OK)
    {
      gain_or_extend_lease (lease, &lease->last_written, now, actions);
      lease->row = lease->last_written;
      if (lease->last_written.released)
        lose_lease (lease, now, actions);
    }
  else if (error == LB_ERROR_CONDITION_FAILED || error == LB_ERROR_STORE_UNKNOWN)
    lease->next_read_at = now;
  /* The row's new version, which the release must name, is known only after another read. */
  if (lease->is_releasing && error == LB_OK && !lease->last_written.released)
    start_row_read (lease, now, actions);
}

void
lc_lease_set_next_holder (LcLease *lease, const char *name)
{
  LB_COPY (lease->next_holder, name);
}

void
lc_lease_release (LcLease *lease, LbTime now, LbList *actions)
{
  lease->is_releasing = true;
  lease->next_read_at = now;
  if (lease->held && !lease->is_reading && !lease->is_writing)
    start_row_read (lease, now, actions);
  lose_lease (lease, now, actions);
}

void
lc_lease_mark_holder_ended (LcLease *lease, int64_t version, LbTime now)
{
  if (version == 0 || version != lease->row_version || lease->ended_holder_version == version)
    return;
  lease->ended_holder_version = version;
  lease->next_read_at = now;
}

/* A newer incarnation under the holder's name shows that the holder was restarted. A holder that no
 * longer renews its instance row may merely be cut off from the store. But endpoints that have seen
 * the next holder's fencing token refuse the orders of such a holder, and the holder itself stops
 * when its lease expires. */
bool
lc_lease_holder_has_ended (const LcLease *lease, const LcLeaseHolderView *view)
{
  if (strcmp (view->incarnation, lease->row.incarnation) != 0)
    return view->row_version > lease->row_version;
  return !view->alive && view->endpoints_check_fence;
}

int64_t
lc_lease_row_version (const LcLease *lease)
{
  return lease->row_version;
}

void
lc_lease_request_read (LcLease *lease, LbTime now)
{
  lease->next_read_at = now;
}

/* Whether orders are delayed because this instance recently regained the lease from another holder.
 * If two holders alternated quickly, receivers could not tell their orders from old orders that
 * arrive late. */
static bool
are_orders_delayed_after_regain (const LcLease *lease, LbTime now)
{
  return lease->gained_from_another && lease->lost_at > 0
         && now < lease->lost_at + lease->settings.reacquire_delay;
}

/* An endpoint that does not check fencing tokens could carry out an order of the previous holder
 * after one of this instance. So such an endpoint gets its first order from this instance only when
 * orders of the previous holder have expired; the weight version that the endpoint then reports is
 * read back. If this instance, or an earlier process of it, was the holder before the previous one,
 * the endpoint could get orders of two alternating holders within a short time, since the previous
 * holder need not have waited. */
static LbTime
get_first_unfenced_order_at (const LcLease *lease)
{
  const LcLeaseSettings *settings = &lease->settings;
  LbTime at = lease->gained_at + settings->order_lifetime - lease->claimed_quiet_ms * LB_MSEC;

  if (lease->has_alternated && at < lease->gained_at + settings->reacquire_delay)
    at = lease->gained_at + settings->reacquire_delay;
  return at;
}

bool
lc_lease_allows_order (const LcLease *lease, bool can_order_unfenced, LbTime now)
{
  if (!lease->held || lease->needs_confirmation || lease->is_releasing || now >= lease->valid_until)
    return false;
  if (now - lease->last_tick_at > MAX_UNDETECTED_PAUSE
      || are_orders_delayed_after_regain (lease, now))
    return false;
  return !can_order_unfenced || now >= get_first_unfenced_order_at (lease);
}

int64_t
lc_lease_begin_order (LcLease *lease, LbTime now)
{
  lease->quiet_since = now;
  return lease->row.fence;
}

int64_t
lc_lease_fencing_token (const LcLease *lease)
{
  return lease->row.fence;
}

int
lc_lease_claim_rank (const LcLease *lease)
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
  return !lease->held
         && (!is_row_held_by_self (lease) || lease->row.released || now >= lease->valid_until);
}

const LcLeaseRow *
lc_lease_row (const LcLease *lease)
{
  return &lease->row;
}

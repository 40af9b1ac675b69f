#include "lb-alloc.h"
#include "lc-lease.h"

#include <criterion/criterion.h>
#include <stdlib.h>

/* Expiry of a lease as the holder and as others compute it. Both allow for the drift of two clocks
 * over the duration and for an order in transit from its check to the engine. */

#define CLAIMED_AT (10 * LB_SEC)
#define DURATION (4 * LB_SEC)
#define MAX_CLOCK_DRIFT 0.01 /* default of the settings */
/* Time from an order's check through the socket's queue to the engine: a little less than the
 * margin of 100 ms on each side. */
#define ORDER_TRANSIT_TIME (90 * LB_MSEC)
#define TICK_INTERVAL (100 * LB_MSEC)

static LcLease *
make_lease (const char *instance)
{
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  cr_assert_eq (settings.duration, DURATION);
  LB_COPY (settings.instance, instance);
  LB_COPY (settings.incarnation, "first");
  LcLease *lease = lc_lease_new (&settings, CLAIMED_AT, CLAIMED_AT);
  lc_lease_set_rank (lease, 0);
  return lease;
}

/* The last WRITE action; false when there is none. */
static bool
pop_write (LbList *actions, LcLeaseRow *row)
{
  LbLink *link;
  bool found = false;

  while ((link = lb_list_pop (actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      if (action->type == LC_LEASE_WRITE)
        {
          *row = action->row;
          found = true;
        }
      free (action);
    }
  return found;
}

/* A holder that claimed at CLAIMED_AT and has had no answer from the store since. */
static LcLease *
make_holder (void)
{
  LcLease *lease = make_lease ("a");
  LcLeaseRow row;
  LbList actions;

  lb_list_init (&actions);
  lc_lease_tick (lease, CLAIMED_AT, CLAIMED_AT, &actions);
  lc_lease_read_completed (lease, LB_ERROR_NOT_FOUND, NULL, 0, CLAIMED_AT, &actions);
  cr_assert (pop_write (&actions, &row));
  lc_lease_write_completed (lease, LB_OK, CLAIMED_AT, &actions);
  pop_write (&actions, &row);
  cr_assert (lc_lease_allows_order (lease, false, CLAIMED_AT));
  return lease;
}

static bool
can_order_at (LcLease *lease, LbTime end)
{
  LcLeaseRow row;
  LbList actions;

  lb_list_init (&actions);
  for (LbTime now = CLAIMED_AT + TICK_INTERVAL; now < end; now += TICK_INTERVAL)
    lc_lease_tick (lease, now, now, &actions);
  pop_write (&actions, &row);
  return lc_lease_allows_order (lease, false, end);
}

/* Guards against an engine that the new holder switches to one version and the old holder switches
 * back. The old one cannot reach the store and its clock is slow, so that its lease seems to last
 * while for others it has expired. It must stop early enough that even its last order has arrived
 * by then. */
Test (lease_ends, holder_with_a_slow_clock_stops_before_others_can_claim)
{
  LcLease *lease = make_holder ();
  LbTime expiry_for_others = CLAIMED_AT + (LbTime)(DURATION / (1 + MAX_CLOCK_DRIFT));

  cr_assert (can_order_at (lease, CLAIMED_AT + 3800 * LB_MSEC),
             "the holder stops earlier than it has to");
  cr_assert_not (can_order_at (lease, expiry_for_others - ORDER_TRANSIT_TIME));
  lc_lease_free (lease);
}

/* Whether the candidate claims the lease after a read that started at this time. */
static bool
claims_at (LcLease *lease, LbTime now)
{
  LcLeaseRow row = { .fence = 4, .holder = "a", .incarnation = "first" };
  LcLeaseRow claim;
  LbList actions;

  lb_list_init (&actions);
  lc_lease_request_read (lease, now);
  lc_lease_tick (lease, now, now, &actions);
  lc_lease_read_completed (lease, LB_OK, &row, 7, now, &actions);
  return pop_write (&actions, &claim) && claim.fence == 5;
}

/* The same conflict the other way round: the candidate's clock is fast, so that the lease has
 * expired for it while the holder may still give orders. It must wait for as long as the slowest
 * clock may take, and for the holder's last order. */
Test (lease_ends, candidate_with_a_fast_clock_waits_for_the_holders_last_order)
{
  LcLease *lease = make_lease ("b");
  LbTime expiry_for_holder = CLAIMED_AT + (LbTime)(DURATION * (1 + MAX_CLOCK_DRIFT));

  cr_assert_not (claims_at (lease, CLAIMED_AT));
  cr_assert_not (claims_at (lease, expiry_for_holder + ORDER_TRANSIT_TIME));
  cr_assert (claims_at (lease, expiry_for_holder + 200 * LB_MSEC),
             "the candidate waits longer than it has to");
  lc_lease_free (lease);
}

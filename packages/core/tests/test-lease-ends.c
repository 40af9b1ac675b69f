/* Tests of a lease's expiry, as computed by the holder and by candidates. Both allow for clock
 * drift during the lease, and for the time that the last order takes to reach the engine. */
#include "lb-alloc.h"
#include "lc-lease.h"

#include <criterion/criterion.h>
#include <stdlib.h>

#define CLAIMED_AT (10 * LB_SEC)
#define LEASE_DURATION (4 * LB_SEC)
#define MAX_CLOCK_DRIFT 0.01 /* default of max_clock_drift in the settings, as a fraction */
/* Time from the check of an order until it reaches the engine: slightly less than the safety margin
 * of 100 ms that holder and candidates each allow. */
#define ORDER_TRANSIT_TIME (90 * LB_MSEC)
#define TICK_INTERVAL (100 * LB_MSEC)

static LcLease *
make_candidate_lease (const char *instance)
{
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  cr_assert_eq (settings.duration, LEASE_DURATION);
  LB_COPY (settings.instance, instance);
  LB_COPY (settings.incarnation, "first");
  LcLease *lease = lc_lease_new (&settings, CLAIMED_AT, CLAIMED_AT);
  lc_lease_set_claim_rank (lease, 0);
  return lease;
}

/* Frees all actions. Copies the row of the last WRITE action to *row; returns false if there is
 * none. */
static bool
take_last_lease_row_write (LbList *actions, LcLeaseRow *row)
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

/* Makes a lease that its holder claimed at CLAIMED_AT. The holder gets no answers from the store
 * after the claim. */
static LcLease *
make_held_lease_without_later_replies (void)
{
  LcLease *lease = make_candidate_lease ("a");
  LcLeaseRow row;
  LbList actions;

  lb_list_init (&actions);
  lc_lease_tick (lease, CLAIMED_AT, CLAIMED_AT, &actions);
  lc_lease_read_completed (lease, LB_ERROR_NOT_FOUND, NULL, 0, CLAIMED_AT, &actions);
  cr_assert (take_last_lease_row_write (&actions, &row));
  lc_lease_write_completed (lease, LB_OK, CLAIMED_AT, &actions);
  take_last_lease_row_write (&actions, &row);
  cr_assert (lc_lease_allows_order (lease, false, CLAIMED_AT));
  return lease;
}

static bool
is_order_allowed_after_ticks_until (LcLease *lease, LbTime end)
{
  LcLeaseRow row;
  LbList actions;

  lb_list_init (&actions);
  for (LbTime now = CLAIMED_AT + TICK_INTERVAL; now < end; now += TICK_INTERVAL)
    lc_lease_tick (lease, now, now, &actions);
  take_last_lease_row_write (&actions, &row);
  return lc_lease_allows_order (lease, false, end);
}

/* Guards against an engine that the new holder switches to one version and the old holder switches
 * back. The old holder cannot reach the store, and its slow clock shows the lease as valid after it
 * has expired for others. The old holder must stop so early that its last order arrives before the
 * lease expires for others. */
Test (lease_ends, holder_with_a_slow_clock_stops_before_others_can_claim)
{
  LcLease *lease = make_held_lease_without_later_replies ();
  LbTime expiry_for_others = CLAIMED_AT + (LbTime)(LEASE_DURATION / (1 + MAX_CLOCK_DRIFT));

  cr_assert (is_order_allowed_after_ticks_until (lease, CLAIMED_AT + 3800 * LB_MSEC),
             "expected the holder to allow orders 3.8 s after its claim, but it does not");
  cr_assert_not (
      is_order_allowed_after_ticks_until (lease, expiry_for_others - ORDER_TRANSIT_TIME));
  lc_lease_free (lease);
}

/* Returns true if the candidate claims the lease after a read that started at `now`. */
static bool
does_candidate_claim_lease_at (LcLease *lease, LbTime now)
{
  LcLeaseRow row = { .fence = 4, .holder = "a", .incarnation = "first" };
  LcLeaseRow claim;
  LbList actions;

  lb_list_init (&actions);
  lc_lease_request_read (lease, now);
  lc_lease_tick (lease, now, now, &actions);
  lc_lease_read_completed (lease, LB_OK, &row, 7, now, &actions);
  return take_last_lease_row_write (&actions, &claim) && claim.fence == 5;
}

/* Guards against a candidate that claims the lease while the holder may still give orders, because
 * the candidate's clock is fast. The candidate must wait until the lease has expired by the slowest
 * clock within the allowed drift, and until the holder's last order has arrived. */
Test (lease_ends, candidate_with_a_fast_clock_waits_for_the_holders_last_order)
{
  LcLease *lease = make_candidate_lease ("b");
  LbTime expiry_for_holder = CLAIMED_AT + (LbTime)(LEASE_DURATION * (1 + MAX_CLOCK_DRIFT));

  cr_assert_not (does_candidate_claim_lease_at (lease, CLAIMED_AT));
  cr_assert_not (does_candidate_claim_lease_at (lease, expiry_for_holder + ORDER_TRANSIT_TIME));
  cr_assert (does_candidate_claim_lease_at (lease, expiry_for_holder + 200 * LB_MSEC),
             "expected a claim 200 ms after the expiry for the holder, got none");
  lc_lease_free (lease);
}

#include "lb-alloc.h"
#include "lc-lease.h"

#include <criterion/criterion.h>
#include <stdlib.h>

/* Where a lease ends for its holder and where for the others. Each end has two parts: what two
 * clocks may differ by over the term, and what an order takes from its check to the engine. */

#define STARTED (10 * LB_SEC)
#define TERM (4 * LB_SEC)
#define DRIFT 0.01 /* of the settings by default */
/* The order is checked, waits for its turn at the socket and travels: a little less than the margin
 * of 100 ms that each side keeps. */
#define ORDER_ON_ITS_WAY (90 * LB_MSEC)
#define TICK (100 * LB_MSEC)

static LcLease *
make_lease (const char *instance)
{
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  cr_assert_eq (settings.duration, TERM);
  LB_COPY (settings.instance, instance);
  LB_COPY (settings.incarnation, "first");
  LcLease *lease = lc_lease_new (&settings, STARTED, STARTED);
  lc_lease_set_rank (lease, 0);
  return lease;
}

/* The last write that was asked; false when there is none. */
static bool
take_write (LbList *actions, LcLeaseRow *row)
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

/* A holder that claimed at STARTED, and hears nothing of the store any more. */
static LcLease *
make_holder (void)
{
  LcLease *lease = make_lease ("a");
  LcLeaseRow row;
  LbList actions;

  lb_list_init (&actions);
  lc_lease_tick (lease, STARTED, STARTED, &actions);
  lc_lease_read_completed (lease, LB_ERROR_NOT_FOUND, NULL, 0, STARTED, &actions);
  cr_assert (take_write (&actions, &row));
  lc_lease_write_completed (lease, LB_OK, STARTED, &actions);
  take_write (&actions, &row);
  cr_assert (lc_lease_can_order (lease, false, STARTED));
  return lease;
}

static bool
may_order_at (LcLease *lease, LbTime end)
{
  LcLeaseRow row;
  LbList actions;

  lb_list_init (&actions);
  for (LbTime now = STARTED + TICK; now < end; now += TICK)
    lc_lease_tick (lease, now, now, &actions);
  take_write (&actions, &row);
  return lc_lease_can_order (lease, false, end);
}

/* An engine is ordered to one version by the new holder and back to the old one by the old holder.
 * The old one can't reach the store; its clock runs slow, so that its term seems to last while for
 * the others it is over. It stops early enough that even its last order has arrived by then. */
Test (lease_ends, holder_with_a_slow_clock_stops_before_the_others_may_claim)
{
  LcLease *lease = make_holder ();
  LbTime end_for_others = STARTED + (LbTime)(TERM / (1 + DRIFT));

  cr_assert (may_order_at (lease, STARTED + 3800 * LB_MSEC), "it doesn't give up too much either");
  cr_assert_not (may_order_at (lease, end_for_others - ORDER_ON_ITS_WAY));
  lc_lease_free (lease);
}

/* True when the candidate claims after a look that it began at this time. */
static bool
claims_at (LcLease *lease, LbTime now)
{
  LcLeaseRow row = { .fence = 4, .holder = "a", .incarnation = "first" };
  LcLeaseRow claim;
  LbList actions;

  lb_list_init (&actions);
  lc_lease_read_soon (lease, now);
  lc_lease_tick (lease, now, now, &actions);
  lc_lease_read_completed (lease, LB_OK, &row, 7, now, &actions);
  return take_write (&actions, &claim) && claim.fence == 5;
}

/* The same two orders, the other way round: the candidate's clock runs fast, the term is over for
 * it while the holder may still order. It waits for as long as the slowest clock may take, and for
 * the holder's last order. */
Test (lease_ends, candidate_with_a_fast_clock_waits_for_the_holders_last_order)
{
  LcLease *lease = make_lease ("b");
  LbTime end_for_holder = STARTED + (LbTime)(TERM * (1 + DRIFT));

  cr_assert_not (claims_at (lease, STARTED));
  cr_assert_not (claims_at (lease, end_for_holder + ORDER_ON_ITS_WAY));
  cr_assert (claims_at (lease, end_for_holder + 200 * LB_MSEC), "it doesn't wait for ever either");
  lc_lease_free (lease);
}

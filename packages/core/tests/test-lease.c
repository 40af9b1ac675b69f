#include "lb-alloc.h"
#include "lc-lease.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define N_HOLDERS 3
#define MAX_TABLE_OPERATIONS 256
#define TIME_STEP (10 * LB_MSEC)
#define TICK_INTERVAL (50 * LB_MSEC)

/* A read or write of the lease's table row, in progress. */
typedef struct
{
  int holder; /* index of the holder that started it; -1: the entry is free */
  bool is_write;
  LcLeaseRow row;
  int64_t version;
  LbTime apply_at;
  LbTime reply_at;
  bool is_applied;
  LbErrorCode result;
} Operation;

/* An instance that may hold the lease. Its own clock shows offset + rate * true time. */
typedef struct
{
  LcLease *lease;
  double rate;
  LbTime offset;
  LbTime paused_until;
  LbTime next_tick;
  LbTime tick;
  bool is_cut_off; /* all reads and writes of the lease row by this instance fail */
} Holder;

static Holder holders[N_HOLDERS];
static Operation operations[MAX_TABLE_OPERATIONS];
static LcLeaseRow table_row;
static LcLeaseRow
    previous_row; /* last row of the previous holder, which a lagging replica still returns */
static int64_t previous_version;
static int64_t table_version;
static bool is_store_down;
static double lost_reply_ratio;
static double stale_read_ratio;
static LbTime max_delay;
static LbTime now; /* simulated true time */
static gsl_rng *rng;

static LbTime
read_holder_clock (const Holder *holder)
{
  return holder->offset + (LbTime)(holder->rate * now);
}

static void
start_lease_holders (void)
{
  static const char *const names[N_HOLDERS] = { "i1", "i2", "i3" };
  LcLeaseSettings settings;

  now = 1000 * LB_SEC;
  table_version = 0;
  previous_version = 0;
  is_store_down = false;
  lost_reply_ratio = 0;
  stale_read_ratio = 0;
  max_delay = 20 * LB_MSEC;
  rng = gsl_rng_alloc (gsl_rng_taus2);
  for (int i = 0; i < MAX_TABLE_OPERATIONS; i++)
    operations[i].holder = -1;
  for (int i = 0; i < N_HOLDERS; i++)
    {
      lc_lease_settings_init (&settings);
      LB_COPY (settings.instance, names[i]);
      LB_COPY (settings.incarnation, "a");
      holders[i] = (Holder){ .rate = 1.0, .offset = 5 * LB_SEC * i, .tick = TICK_INTERVAL };
      holders[i].lease = lc_lease_new (&settings, read_holder_clock (&holders[i]), now);
      lc_lease_set_claim_rank (holders[i].lease, i);
    }
}

static void
free_lease_holders (void)
{
  for (int i = 0; i < N_HOLDERS; i++)
    lc_lease_free (holders[i].lease);
  gsl_rng_free (rng);
}

TestSuite (lease, .init = start_lease_holders, .fini = free_lease_holders);

static LbTime
draw_table_delay (void)
{
  return 1 + (LbTime)(gsl_rng_uniform (rng) * max_delay);
}

static void
start_table_operation (int holder, const LcLeaseAction *action)
{
  int i = 0;

  while (operations[i].holder >= 0)
    i++;
  operations[i] = (Operation){ .holder = holder,
                               .is_write = action->type == LC_LEASE_WRITE,
                               .row = action->row,
                               .version = action->expected_version,
                               .apply_at = now + draw_table_delay () };
  operations[i].reply_at = operations[i].apply_at + draw_table_delay ();
}

static void
start_operations_of_lease_actions (int holder, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      if (action->type == LC_LEASE_READ || action->type == LC_LEASE_WRITE)
        start_table_operation (holder, action);
      free (action);
    }
}

static void
apply_operation_to_lease_table (Operation *operation)
{
  operation->is_applied = true;
  if (is_store_down || holders[operation->holder].is_cut_off)
    operation->result = operation->is_write ? LB_ERROR_STORE_UNKNOWN : LB_ERROR_STORE_AWAY;
  else if (!operation->is_write)
    {
      operation->result = table_version == 0 ? LB_ERROR_NOT_FOUND : LB_OK;
      bool stale = previous_version > 0 && gsl_rng_uniform (rng) < stale_read_ratio;
      operation->row = stale ? previous_row : table_row;
      operation->version = stale ? previous_version : table_version;
    }
  else if (operation->version != table_version)
    operation->result = LB_ERROR_CONDITION_FAILED;
  else
    {
      if (strcmp (table_row.holder, operation->row.holder) != 0)
        {
          previous_row = table_row;
          previous_version = table_version;
        }
      table_row = operation->row;
      table_version++;
      bool lost = gsl_rng_uniform (rng) < lost_reply_ratio;
      operation->result = lost ? LB_ERROR_STORE_UNKNOWN : LB_OK;
    }
}

static void
deliver_table_reply_to_holder (Operation *operation)
{
  LbList actions;
  int i = operation->holder;
  Holder *holder = &holders[i];

  lb_list_init (&actions);
  operation->holder = -1;
  if (operation->is_write)
    lc_lease_write_completed (holder->lease, operation->result, read_holder_clock (holder),
                              &actions);
  else
    lc_lease_read_completed (holder->lease, operation->result, &operation->row, operation->version,
                             read_holder_clock (holder), &actions);
  start_operations_of_lease_actions (i, &actions);
}

static void
apply_and_answer_due_table_operations (void)
{
  for (int i = 0; i < MAX_TABLE_OPERATIONS; i++)
    {
      Operation *operation = &operations[i];
      if (operation->holder < 0)
        continue;
      if (!operation->is_applied && now >= operation->apply_at)
        apply_operation_to_lease_table (operation);
      if (operation->is_applied && now >= operation->reply_at
          && now >= holders[operation->holder].paused_until)
        deliver_table_reply_to_holder (operation);
    }
}

static void
tick_holder_if_due (int i)
{
  LbList actions;
  Holder *holder = &holders[i];

  if (now < holder->paused_until || now < holder->next_tick)
    return;
  lb_list_init (&actions);
  holder->next_tick = now + holder->tick;
  lc_lease_tick (holder->lease, read_holder_clock (holder), now, &actions);
  start_operations_of_lease_actions (i, &actions);
}

static bool
has_holder_write_in_progress (int holder)
{
  for (int i = 0; i < MAX_TABLE_OPERATIONS; i++)
    if (operations[i].holder == holder && operations[i].is_write)
      return true;
  return false;
}

/* Returns the index of the holder that may give orders now; -1 if none. Skips paused holders and
 * asserts that there is at most one. */
static int
find_holder_that_can_order (void)
{
  int active = -1;

  for (int i = 0; i < N_HOLDERS; i++)
    {
      if (now < holders[i].paused_until
          || !lc_lease_allows_order (holders[i].lease, false, read_holder_clock (&holders[i])))
        continue;
      cr_assert_eq (active, -1, "two holders may give orders at %lld us", (long long)now);
      active = i;
    }
  return active;
}

static void
run_simulation_for (LbTime duration)
{
  for (LbTime until = now + duration; now < until; now += TIME_STEP)
    {
      find_holder_that_can_order ();
      apply_and_answer_due_table_operations ();
      for (int i = 0; i < N_HOLDERS; i++)
        tick_holder_if_due (i);
    }
}

/* Runs the simulation for at most `limit`, until a holder other than `before` may give orders.
 * Returns the simulated time taken. */
static LbTime
run_until_other_holder_can_order (int before, LbTime limit)
{
  LbTime start = now;

  while (now - start < limit
         && (find_holder_that_can_order () == before || find_holder_that_can_order () == -1))
    run_simulation_for (TIME_STEP);
  return now - start;
}

Test (lease, first_candidate_gets_and_keeps_the_lease)
{
  run_simulation_for (3 * LB_SEC);
  cr_assert_eq (find_holder_that_can_order (), 0);
  int64_t fence = lc_lease_fencing_token (holders[0].lease);
  for (int i = 0; i < 60; i++)
    {
      run_simulation_for (LB_SEC);
      cr_assert_eq (find_holder_that_can_order (), 0);
    }
  cr_assert_eq (lc_lease_fencing_token (holders[0].lease), fence);
}

/* The holder's process dies. Another instance must hold the lease, with a higher fencing token,
 * and be able to give all orders within 10 s, including the wait for endpoints that do not check
 * fencing tokens. */
Test (lease, crash_leaves_no_gap_over_ten_seconds)
{
  for (int i = 0; i < 20; i++)
    {
      free_lease_holders ();
      start_lease_holders ();
      gsl_rng_set (rng, (unsigned long)i + 1);
      run_simulation_for (3 * LB_SEC + i * 50 * LB_MSEC);
      int64_t fence = lc_lease_fencing_token (holders[0].lease);
      holders[0].paused_until = INT64_MAX;
      holders[1].paused_until = INT64_MAX;
      LbTime gap = run_until_other_holder_can_order (0, 20 * LB_SEC);
      cr_assert_leq (gap, 8 * LB_SEC);
      cr_assert_gt (lc_lease_fencing_token (holders[2].lease), fence);
      cr_assert_not (
          lc_lease_allows_order (holders[2].lease, true, read_holder_clock (&holders[2])));
      run_simulation_for (10 * LB_SEC - gap);
      cr_assert (lc_lease_allows_order (holders[2].lease, true, read_holder_clock (&holders[2])));
    }
}

/* The holder is paused for longer than its lease and resumes just before giving an order. Another
 * instance has taken over, so an order would switch the engine back to an old version. */
Test (lease, paused_holder_gives_no_order_on_resume)
{
  run_simulation_for (3 * LB_SEC);
  holders[0].paused_until = now + 9 * LB_SEC;
  run_simulation_for (9 * LB_SEC - TIME_STEP);
  cr_assert_eq (find_holder_that_can_order (), 1);
  now += TIME_STEP;
  cr_assert_not (lc_lease_allows_order (holders[0].lease, false, read_holder_clock (&holders[0])));
  run_simulation_for (5 * LB_SEC);
  cr_assert_eq (find_holder_that_can_order (), 1);
}

/* The holder's machine is suspended together with its monotonic clock, so that on resume its lease
 * seems valid for seconds. The holder must detect the suspension by the jump of the wall clock. */
Test (lease, suspended_holder_renews_before_giving_orders)
{
  run_simulation_for (3 * LB_SEC);
  holders[0].paused_until = now + 9 * LB_SEC;
  holders[0].offset -= 9 * LB_SEC;
  run_simulation_for (9 * LB_SEC);
  tick_holder_if_due (0);
  cr_assert_not (lc_lease_allows_order (holders[0].lease, false, read_holder_clock (&holders[0])));
  run_simulation_for (5 * LB_SEC);
  cr_assert_eq (find_holder_that_can_order (), 1);
}

/* The holder's machine is suspended while a renewal is in progress. The reply arrives after another
 * instance has taken over, and must not count as a renewal started after the suspension. */
Test (lease, reply_from_before_a_suspension_confirms_nothing)
{
  max_delay = LB_SEC;
  run_simulation_for (3 * LB_SEC);
  while (!has_holder_write_in_progress (0))
    run_simulation_for (TIME_STEP);
  holders[0].paused_until = now + 9 * LB_SEC;
  holders[0].offset -= 9 * LB_SEC;
  run_simulation_for (9 * LB_SEC);
  tick_holder_if_due (0);
  apply_and_answer_due_table_operations ();
  cr_assert_not (lc_lease_allows_order (holders[0].lease, false, read_holder_clock (&holders[0])));
}

/* The holder is cut off from the table. Its clock is the slowest and the candidate's clock the
 * fastest that the settings allow. Both must never be able to give orders at the same time. */
Test (lease, drifting_clocks_cause_no_overlap)
{
  for (int i = 0; i < 100; i++)
    {
      free_lease_holders ();
      start_lease_holders ();
      gsl_rng_set (rng, (unsigned long)i + 1);
      holders[0].rate = 0.995;
      holders[1].rate = 1.005;
      run_simulation_for (3 * LB_SEC + i * 11 * LB_MSEC);
      lc_lease_set_claim_rank (holders[1].lease, 0);
      holders[0].is_cut_off = true;
      holders[0].tick = TIME_STEP;
      holders[1].tick = TIME_STEP;
      for (int step = 0; step < 600; step++)
        {
          lc_lease_request_read (holders[1].lease, read_holder_clock (&holders[1]));
          run_simulation_for (TIME_STEP);
        }
      cr_assert_eq (find_holder_that_can_order (), 1);
    }
}

/* The holder is cut off from the store, and its lease expires between two ticks of its slow loop.
 * Orders must be refused from the expiry on, not only after the next tick. */
Test (lease, order_is_checked_against_the_expiry_itself)
{
  run_simulation_for (3 * LB_SEC);
  holders[0].is_cut_off = true;
  holders[0].tick = 9 * LB_SEC / 10;
  while (find_holder_that_can_order () == 0)
    run_simulation_for (TIME_STEP);
  cr_assert (lc_lease_is_held (holders[0].lease),
             "the lease was lost by a tick, so the check itself was not tested");
}

/* The holder is paused for a shorter time than its lease. It remains the holder, but must give
 * orders only after a renewal. */
Test (lease, short_pause_keeps_the_lease_after_a_renewal)
{
  run_simulation_for (3 * LB_SEC);
  holders[0].paused_until = now + 3 * LB_SEC / 2;
  run_simulation_for (3 * LB_SEC / 2);
  cr_assert_eq (find_holder_that_can_order (), -1,
                "expected no orders before the first tick after the pause, but they are allowed");
  tick_holder_if_due (0);
  cr_assert_eq (find_holder_that_can_order (), -1,
                "expected no orders before a renewal after the pause, but they are allowed");
  run_simulation_for (LB_SEC);
  cr_assert_eq (find_holder_that_can_order (), 0);
}

/* The holder drains and releases the lease: another instance must hold it within 3 s, without
 * waiting for the lease to expire. */
Test (lease, drain_hands_the_lease_over_within_three_seconds)
{
  LbList actions;

  lb_list_init (&actions);
  run_simulation_for (3 * LB_SEC);
  lc_lease_release (holders[0].lease, read_holder_clock (&holders[0]), &actions);
  start_operations_of_lease_actions (0, &actions);
  cr_assert_eq (find_holder_that_can_order (), -1);
  LbTime gap = run_until_other_holder_can_order (0, 10 * LB_SEC);
  cr_assert_leq (gap, 3 * LB_SEC);
  cr_assert (lc_lease_is_released (holders[0].lease, read_holder_clock (&holders[0])));
  int next = find_holder_that_can_order ();
  cr_assert_gt (next, 0);
  run_simulation_for (20 * LB_SEC);
  cr_assert_eq (find_holder_that_can_order (), next);
}

/* Starts the holders again with the settings of the leases for duties (ln-duty-lease.c), at an
 * arbitrary phase of their reads. */
static void
restart_holders_with_duty_settings (bool receivers_check_fence)
{
  static const char *const names[N_HOLDERS] = { "i1", "i2", "i3" };
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  settings.duration = receivers_check_fence ? 2 * LB_SEC : 3200 * LB_MSEC;
  settings.reacquire_delay = 3200 * LB_MSEC;
  settings.poll_period = 500 * LB_MSEC;
  settings.candidate_poll_period = 200 * LB_MSEC;
  settings.observer_poll_period = 10 * LB_SEC;
  settings.records_orders = true;
  now += 60 * LB_SEC;
  table_version = 0;
  for (int i = 0; i < MAX_TABLE_OPERATIONS; i++)
    operations[i].holder = -1;
  for (int i = 0; i < N_HOLDERS; i++)
    {
      lc_lease_free (holders[i].lease);
      LB_COPY (settings.instance, names[i]);
      LB_COPY (settings.incarnation, "a");
      holders[i].tick = 100 * LB_MSEC;
      holders[i].next_tick = now + (LbTime)(gsl_rng_uniform (rng) * 100 * LB_MSEC);
      holders[i].is_cut_off = false;
      holders[i].lease = lc_lease_new (&settings, read_holder_clock (&holders[i]), now);
      lc_lease_set_claim_rank (holders[i].lease, i);
    }
  run_simulation_for (3 * LB_SEC + (LbTime)(gsl_rng_uniform (rng) * LB_SEC));
}

static void
release_lease_to (int holder, const char *next_holder)
{
  LbList actions;

  lb_list_init (&actions);
  lc_lease_set_claim_rank (holders[holder].lease, -1);
  lc_lease_set_next_holder (holders[holder].lease, next_holder);
  lc_lease_release (holders[holder].lease, read_holder_clock (&holders[holder]), &actions);
  start_operations_of_lease_actions (holder, &actions);
}

/* Returns the longest of 100 times without a holder after the first holder released the lease. The
 * others do not know yet that it is draining, so they keep their ranks 1 and 2. */
static LbTime
measure_longest_gap_after_release (const char *next_holder, int unreachable)
{
  LbTime longest = 0;

  for (int i = 0; i < 100; i++)
    {
      restart_holders_with_duty_settings (true);
      cr_assert_eq (find_holder_that_can_order (), 0);
      if (unreachable > 0)
        holders[unreachable].is_cut_off = true;
      release_lease_to (0, next_holder);
      LbTime gap = run_until_other_holder_can_order (0, 10 * LB_SEC);
      longest = gap > longest ? gap : longest;
    }
  return longest;
}

/* An instance that is stopped holds the lease for the weights. Without a named next holder no
 * instance ordered weights for more than a second, since the stopped instance still had the first
 * rank and the others read the row twice a second. */
Test (lease, named_next_holder_has_the_lease_within_half_a_second)
{
  max_delay = 5 * LB_MSEC;
  cr_assert_leq (measure_longest_gap_after_release ("i3", 0), 500 * LB_MSEC);
  cr_assert_gt (measure_longest_gap_after_release ("", 0), 500 * LB_MSEC);
}

/* The next holder is killed when the lease is released. The third candidate must take the lease by
 * its rank. */
Test (lease, lease_is_claimed_by_rank_if_the_next_holder_is_gone)
{
  cr_assert_leq (measure_longest_gap_after_release ("i2", 1), 2 * LB_SEC);
}

/* The store loses every second reply while the lease is released. It must still be released and
 * claimed, by one holder (run_simulation_for checks this). */
Test (lease, release_survives_lost_replies_and_an_unavailable_store)
{
  restart_holders_with_duty_settings (true);
  lost_reply_ratio = 0.5;
  release_lease_to (0, "i2");
  is_store_down = true;
  run_simulation_for (300 * LB_MSEC);
  is_store_down = false;
  cr_assert_leq (run_until_other_holder_can_order (0, 10 * LB_SEC), 1500 * LB_MSEC);
  run_simulation_for (LB_SEC);
  cr_assert (lc_lease_is_released (holders[0].lease, read_holder_clock (&holders[0])));
}

/* Runs until the holder may give orders to endpoints that do not check fencing tokens. */
static LbTime
run_until_unfenced_order_is_allowed (int holder)
{
  LbTime start = now;

  while (
      now - start < 10 * LB_SEC
      && !lc_lease_allows_order (holders[holder].lease, true, read_holder_clock (&holders[holder])))
    run_simulation_for (TIME_STEP);
  return now - start;
}

/* Endpoints without fencing could carry out an order of the stopped holder after one of the next
 * holder. The next holder waits for the life of the last order, which has passed if no order was
 * sent for a while before the release. */
Test (lease, unfenced_endpoints_wait_only_for_the_last_order)
{
  max_delay = 5 * LB_MSEC;
  restart_holders_with_duty_settings (false);
  run_simulation_for (3 * LB_SEC);
  release_lease_to (0, "i2");
  cr_assert_leq (run_until_unfenced_order_is_allowed (1), 500 * LB_MSEC);

  restart_holders_with_duty_settings (false);
  run_simulation_for (3 * LB_SEC);
  lc_lease_begin_order (holders[0].lease, read_holder_clock (&holders[0]));
  run_simulation_for (LB_SEC);
  release_lease_to (0, "i2");
  LbTime wait = run_until_unfenced_order_is_allowed (1);
  cr_assert_geq (wait, LB_SEC, "an order of the stopped holder could still arrive");
  cr_assert_leq (wait, 1500 * LB_MSEC);
}

/* The first holder is restarted, and the second one is stopped as soon as it has given an order.
 * The restarted process, which remembers nothing, must not order endpoints without fencing within
 * 3 s of the orders of its earlier process. */
Test (lease, unfenced_endpoints_get_no_orders_of_alternating_holders_within_three_seconds)
{
  LcLeaseSettings settings;

  max_delay = 5 * LB_MSEC;
  restart_holders_with_duty_settings (false);
  run_simulation_for (3 * LB_SEC);
  LbTime stopped_at = now;
  release_lease_to (0, "i2");
  run_until_unfenced_order_is_allowed (1);
  lc_lease_free (holders[0].lease);
  lc_lease_settings_init (&settings);
  settings.duration = 3200 * LB_MSEC;
  settings.reacquire_delay = 3200 * LB_MSEC;
  settings.poll_period = 200 * LB_MSEC;
  settings.records_orders = true;
  LB_COPY (settings.instance, "i1");
  LB_COPY (settings.incarnation, "b");
  holders[0].lease = lc_lease_new (&settings, read_holder_clock (&holders[0]), now);
  lc_lease_set_claim_rank (holders[0].lease, 0);
  release_lease_to (1, "i1");
  run_until_unfenced_order_is_allowed (0);
  cr_assert_geq (now - stopped_at, 3 * LB_SEC);
  cr_assert_leq (now - stopped_at, 5 * LB_SEC);
}

/* The store is unreachable. The holder must stop giving orders by itself when its lease expires,
 * and orders must be given again after the store returns. */
Test (lease, store_outage_stops_orders)
{
  run_simulation_for (3 * LB_SEC);
  is_store_down = true;
  run_simulation_for (5 * LB_SEC);
  cr_assert_eq (find_holder_that_can_order (), -1);
  is_store_down = false;
  run_simulation_for (6 * LB_SEC);
  cr_assert_neq (find_holder_that_can_order (), -1);
}

/* The reply to a claim is lost although the write took effect. The new holder must find its claim
 * at the next read instead of waiting for its own lease to expire without giving orders. */
Test (lease, lost_reply_to_a_claim_is_read_back)
{
  lost_reply_ratio = 1.0;
  run_simulation_for (LB_SEC / 2);
  cr_assert_eq (find_holder_that_can_order (), 0);
  cr_assert_eq (lc_lease_fencing_token (holders[0].lease), 1);
}

/* Most reads are answered by a lagging replica. After a handover the new holder must not drop and
 * reclaim the lease whenever it reads the old holder's row again. */
Test (lease, stale_reads_do_not_change_the_holder)
{
  LbList actions;

  lb_list_init (&actions);
  run_simulation_for (3 * LB_SEC);
  lc_lease_release (holders[0].lease, read_holder_clock (&holders[0]), &actions);
  start_operations_of_lease_actions (0, &actions);
  run_until_other_holder_can_order (0, 10 * LB_SEC);
  int next = find_holder_that_can_order ();
  cr_assert_gt (next, 0);
  int64_t fence = lc_lease_fencing_token (holders[next].lease);
  stale_read_ratio = 0.7;
  for (int i = 0; i < 100; i++)
    {
      run_simulation_for (LB_SEC / 10);
      cr_assert_eq (find_holder_that_can_order (), next);
    }
  cr_assert_eq (table_row.fence, fence);
}

/* Long randomised run: clocks 1 % apart, lost replies, stale reads, store outages, slow writes and
 * pauses. run_simulation_for asserts that there are never two holders; the fencing token must never
 * decrease. */
Test (lease, never_two_holders_in_a_long_run)
{
  int64_t fence = 0;
  int held = 0;

  gsl_rng_set (rng, 42);
  holders[0].rate = 0.995;
  holders[2].rate = 1.004;
  lost_reply_ratio = 0.1;
  stale_read_ratio = 0.1;
  for (int i = 0; i < 3000; i++)
    {
      is_store_down = gsl_rng_uniform (rng) < 0.05;
      max_delay = gsl_rng_uniform (rng) < 0.1 ? 3 * LB_SEC : 20 * LB_MSEC;
      if (gsl_rng_uniform (rng) < 0.1)
        holders[gsl_rng_uniform_int (rng, N_HOLDERS)].paused_until
            = now + (LbTime)(gsl_rng_uniform (rng) * 12 * LB_SEC);
      run_simulation_for (LB_SEC);
      held += find_holder_that_can_order () >= 0;
      cr_assert_geq (table_row.fence, fence);
      fence = table_row.fence;
    }
  cr_assert_gt (fence, 20);
  cr_assert_gt (held, 1500);
}

/* A lease's row was edited wrongly by hand: a null holder must not be read as a string. */
Test (lease, a_row_with_null_names_is_rejected)
{
  static const char *const rows[]
      = { "{\"holder\":null,\"incarnation\":\"i\",\"fence\":1,\"renewal\":1,\"released\":false}",
          "{\"holder\":\"h\",\"incarnation\":null,\"fence\":1,\"renewal\":1,\"released\":false}",
          "cut {off" };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      LcLeaseRow row;
      cr_assert_not (lc_lease_row_from_text (rows[i], &row), "the invalid row %s was accepted",
                     rows[i]);
    }
}

static LcLease *
make_candidate_lease (void)
{
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  LB_COPY (settings.instance, "b");
  LB_COPY (settings.incarnation, "b-1");
  LcLease *lease = lc_lease_new (&settings, LB_SEC, 0);
  lc_lease_set_claim_rank (lease, 0);
  return lease;
}

/* Lets the candidate read, at time `at`, a row of holder "a" with this version. Returns true if the
 * candidate then claims the lease. */
static bool
does_candidate_claim_lease_at (LcLease *lease, int64_t version, LbTime at)
{
  LcLeaseRow row = { .fence = 4 };
  LbList actions;
  LbLink *link;
  bool claims = false;

  LB_COPY (row.holder, "a");
  LB_COPY (row.incarnation, "a-1");
  lb_list_init (&actions);
  lc_lease_tick (lease, at, 0, &actions);
  lc_lease_read_completed (lease, LB_OK, &row, version, at, &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      claims |= action->type == LC_LEASE_WRITE && action->row.fence == 5;
      free (action);
    }
  return claims;
}

/* All processes are killed and start again. Guards against candidates that wait for the dead
 * holder's lease to expire: for four seconds nobody ordered weights, and trainers' steps found no
 * engine with recent enough weights. */
Test (lease, lease_is_claimed_at_once_from_a_holder_known_to_have_ended)
{
  LcLease *lease = make_candidate_lease ();

  cr_assert_not (does_candidate_claim_lease_at (lease, 7, 2 * LB_SEC));
  lc_lease_mark_holder_ended (lease, 6, 2 * LB_SEC);
  cr_assert_not (does_candidate_claim_lease_at (lease, 7, 2100 * LB_MSEC),
                 "must not claim the lease: only an older version was marked as ended");
  lc_lease_mark_holder_ended (lease, 7, 2200 * LB_MSEC);
  cr_assert (does_candidate_claim_lease_at (lease, 7, 2300 * LB_MSEC));
  lc_lease_free (lease);
}

/* A candidate was told that the holder has ended, which applies to one version of the lease's row
 * only: a later renewal of the lease shows that the holder is alive. */
Test (lease, a_later_renewal_cancels_the_ended_mark)
{
  LcLease *lease = make_candidate_lease ();

  cr_assert_not (does_candidate_claim_lease_at (lease, 7, 2 * LB_SEC));
  lc_lease_mark_holder_ended (lease, 7, 2 * LB_SEC);
  cr_assert_not (does_candidate_claim_lease_at (lease, 8, 2100 * LB_MSEC));
  lc_lease_free (lease);
}

/* The holder loses power while two trainers publish new weights. For the remaining four seconds of
 * its lease nobody ordered weights, and trainers' steps found no engine with recent enough weights.
 * A missing renewal of the holder's instance row must suffice to claim the lease, but only where
 * endpoints refuse orders of an old holder. */
Test (lease, a_dead_holder_has_ended_only_where_fencing_is_checked)
{
  LcLease *lease = make_candidate_lease ();
  LcLeaseHolderView view
      = { .incarnation = "a-1", .row_version = 9, .endpoints_check_fence = true };

  cr_assert_not (does_candidate_claim_lease_at (lease, 7, 2 * LB_SEC));
  cr_assert (lc_lease_holder_has_ended (lease, &view));
  view.endpoints_check_fence = false;
  cr_assert_not (lc_lease_holder_has_ended (lease, &view));
  view.endpoints_check_fence = true;
  view.alive = true;
  cr_assert_not (lc_lease_holder_has_ended (lease, &view));
  lc_lease_free (lease);
}

/* Another incarnation under the holder's name shows that the holder has ended, unless its instance
 * row is older than the lease's row. */
Test (lease, a_newer_incarnation_shows_that_the_holder_has_ended)
{
  LcLease *lease = make_candidate_lease ();
  LcLeaseHolderView view = { .incarnation = "a-2", .row_version = 9, .alive = true };

  cr_assert_not (does_candidate_claim_lease_at (lease, 7, 2 * LB_SEC));
  cr_assert (lc_lease_holder_has_ended (lease, &view));
  view.row_version = 6;
  cr_assert_not (lc_lease_holder_has_ended (lease, &view));
  lc_lease_free (lease);
}

/* Simulates the lease table for one instance: answers the read of the lease row with a row of
 * `holder` and `fence`. If the instance then writes a claim, confirms the claim. */
static void
answer_lease_read_and_confirm_claim (LcLease *lease, const char *holder, int64_t fence, LbTime at)
{
  LcLeaseRow row = { .fence = fence, .released = strcmp (holder, "nobody") == 0 };
  LbList actions;
  LbLink *link;
  bool claims = false;

  LB_COPY (row.holder, holder);
  LB_COPY (row.incarnation, holder);
  lb_list_init (&actions);
  lc_lease_tick (lease, at, 0, &actions);
  lc_lease_read_completed (lease, LB_OK, &row, fence, at, &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      claims |= action->type == LC_LEASE_WRITE;
      free (action);
    }
  if (claims)
    lc_lease_write_completed (lease, LB_OK, at, &actions);
  while ((link = lb_list_pop (&actions)))
    free (LB_CONTAINER (link, LcLeaseAction, link));
}

static LcLease *
make_lease_with_reacquire_delay (void)
{
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  settings.reacquire_delay = 3 * LB_SEC;
  LB_COPY (settings.instance, "b");
  LB_COPY (settings.incarnation, "b");
  LcLease *lease = lc_lease_new (&settings, LB_SEC, 0);
  lc_lease_set_claim_rank (lease, 0);
  return lease;
}

/* A holder loses the lease to another instance, which releases it a second later. If the first
 * holder gave orders at once, receivers would get orders from both within three seconds and could
 * not tell them from old orders that arrive late. */
Test (lease, a_holder_that_regains_the_lease_delays_its_orders)
{
  LcLease *lease = make_lease_with_reacquire_delay ();

  answer_lease_read_and_confirm_claim (lease, "nobody", 4, 2 * LB_SEC);
  cr_assert (lc_lease_allows_order (lease, false, 2 * LB_SEC));
  answer_lease_read_and_confirm_claim (lease, "a", 6, 4 * LB_SEC);
  cr_assert_not (lc_lease_is_held (lease));
  answer_lease_read_and_confirm_claim (lease, "nobody", 7, 5 * LB_SEC);
  cr_assert (lc_lease_is_held (lease));
  for (LbTime at = 5 * LB_SEC; at < 7 * LB_SEC; at += LB_SEC / 2)
    {
      answer_lease_read_and_confirm_claim (lease, "b", 8, at);
      cr_assert_not (lc_lease_allows_order (lease, false, at),
                     "orders are allowed at %lld us, before the end of reacquire_delay",
                     (long long)at);
    }
  answer_lease_read_and_confirm_claim (lease, "b", 8, 7 * LB_SEC);
  cr_assert (lc_lease_allows_order (lease, false, 7100 * LB_MSEC),
             "expected orders after the end of reacquire_delay, but they are not allowed");
  lc_lease_free (lease);
}

/* During an upgrade, instances of the previous build release leases without naming the next holder,
 * and drop the newer fields when they renew a row. */
Test (lease, a_row_of_the_previous_build_names_no_next_holder)
{
  LcLeaseRow row;

  cr_assert (lc_lease_row_from_text ("{\"holder\":\"h\",\"incarnation\":\"i\",\"fence\":1,"
                                     "\"renewal\":1,\"released\":true}",
                                     &row));
  cr_assert_str_eq (row.next_holder, "");
  cr_assert_str_eq (row.previous_holder, "");
  cr_assert_eq (row.quiet_ms, 0);
  LB_COPY (row.next_holder, "n");
  LB_COPY (row.previous_holder, "p");
  row.quiet_ms = 5;
  struct json_object *object = lc_lease_row_to_json (&row);
  LcLeaseRow again;
  cr_assert (lc_lease_row_from_text (json_object_to_json_string (object), &again));
  cr_assert_str_eq (again.next_holder, "n");
  cr_assert_str_eq (again.previous_holder, "p");
  cr_assert_eq (again.quiet_ms, 5);
  json_object_put (object);
}

#include "lb-alloc.h"
#include "lc-lease.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#define N_HOLDERS 3
#define MAX_OPERATIONS 256
#define STEP (10 * LB_MSEC)
#define TICK (50 * LB_MSEC)

/* One read or write on its way to the table and back. */
typedef struct
{
  int holder; /* -1: free */
  bool is_write;
  LcLeaseRow row;
  int64_t version;
  LbTime apply_at;
  LbTime reply_at;
  bool applied;
  LbErrorCode result;
} Operation;

/* A holder with a clock of its own: now = offset + rate x true time. */
typedef struct
{
  LcLease *lease;
  double rate;
  LbTime offset;
  LbTime paused_until;
  LbTime next_tick;
  LbTime tick;
  bool cut_off; /* from the table */
} Holder;

static Holder holders[N_HOLDERS];
static Operation operations[MAX_OPERATIONS];
static LcLeaseRow table_row;
static LcLeaseRow
    row_before; /* the last of another holder, which a replica that lags still shows */
static int64_t version_before;
static int64_t table_version;
static bool store_away;
static double lose_replies;
static double stale_reads;
static LbTime longest_delay;
static LbTime now; /* true time */
static gsl_rng *rng;

static LbTime
clock_of (const Holder *holder)
{
  return holder->offset + (LbTime)(holder->rate * now);
}

static void
setup (void)
{
  static const char *const names[N_HOLDERS] = { "i1", "i2", "i3" };
  LcLeaseSettings settings;

  now = 1000 * LB_SEC;
  table_version = 0;
  version_before = 0;
  store_away = false;
  lose_replies = 0;
  stale_reads = 0;
  longest_delay = 20 * LB_MSEC;
  rng = gsl_rng_alloc (gsl_rng_taus2);
  for (int i = 0; i < MAX_OPERATIONS; i++)
    operations[i].holder = -1;
  for (int i = 0; i < N_HOLDERS; i++)
    {
      lc_lease_settings_init (&settings);
      LB_COPY (settings.instance, names[i]);
      LB_COPY (settings.incarnation, "a");
      holders[i] = (Holder){ .rate = 1.0, .offset = 5 * LB_SEC * i, .tick = TICK };
      holders[i].lease = lc_lease_new (&settings, clock_of (&holders[i]), now);
      lc_lease_set_rank (holders[i].lease, i);
    }
}

static void
teardown (void)
{
  for (int i = 0; i < N_HOLDERS; i++)
    lc_lease_free (holders[i].lease);
  gsl_rng_free (rng);
}

TestSuite (lease, .init = setup, .fini = teardown);

static LbTime
delay (void)
{
  return 1 + (LbTime)(gsl_rng_uniform (rng) * longest_delay);
}

static void
start_operation (int holder, const LcLeaseAction *action)
{
  int i = 0;

  while (operations[i].holder >= 0)
    i++;
  operations[i] = (Operation){ .holder = holder,
                               .is_write = action->type == LC_LEASE_WRITE,
                               .row = action->row,
                               .version = action->expected_version,
                               .apply_at = now + delay () };
  operations[i].reply_at = operations[i].apply_at + delay ();
}

static void
carry_out (int holder, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      if (action->type == LC_LEASE_READ || action->type == LC_LEASE_WRITE)
        start_operation (holder, action);
      free (action);
    }
}

static void
apply (Operation *operation)
{
  operation->applied = true;
  if (store_away || holders[operation->holder].cut_off)
    operation->result = operation->is_write ? LB_ERROR_STORE_UNKNOWN : LB_ERROR_STORE_AWAY;
  else if (!operation->is_write)
    {
      operation->result = table_version == 0 ? LB_ERROR_NOT_FOUND : LB_OK;
      bool stale = version_before > 0 && gsl_rng_uniform (rng) < stale_reads;
      operation->row = stale ? row_before : table_row;
      operation->version = stale ? version_before : table_version;
    }
  else if (operation->version != table_version)
    operation->result = LB_ERROR_CONDITION_FAILED;
  else
    {
      if (strcmp (table_row.holder, operation->row.holder) != 0)
        {
          row_before = table_row;
          version_before = table_version;
        }
      table_row = operation->row;
      table_version++;
      bool lost = gsl_rng_uniform (rng) < lose_replies;
      operation->result = lost ? LB_ERROR_STORE_UNKNOWN : LB_OK;
    }
}

static void
reply (Operation *operation)
{
  LbList actions;
  int i = operation->holder;
  Holder *holder = &holders[i];

  lb_list_init (&actions);
  operation->holder = -1;
  if (operation->is_write)
    lc_lease_write_completed (holder->lease, operation->result, clock_of (holder), &actions);
  else
    lc_lease_read_completed (holder->lease, operation->result, &operation->row, operation->version,
                             clock_of (holder), &actions);
  carry_out (i, &actions);
}

static void
step_operations (void)
{
  for (int i = 0; i < MAX_OPERATIONS; i++)
    {
      Operation *operation = &operations[i];
      if (operation->holder < 0)
        continue;
      if (!operation->applied && now >= operation->apply_at)
        apply (operation);
      if (operation->applied && now >= operation->reply_at
          && now >= holders[operation->holder].paused_until)
        reply (operation);
    }
}

static void
step_holder (int i)
{
  LbList actions;
  Holder *holder = &holders[i];

  if (now < holder->paused_until || now < holder->next_tick)
    return;
  lb_list_init (&actions);
  holder->next_tick = now + holder->tick;
  lc_lease_tick (holder->lease, clock_of (holder), now, &actions);
  carry_out (i, &actions);
}

static bool
is_writing (int holder)
{
  for (int i = 0; i < MAX_OPERATIONS; i++)
    if (operations[i].holder == holder && operations[i].is_write)
      return true;
  return false;
}

/* The one that may order now, -1: nobody. A paused one can't even ask. */
static int
orderer (void)
{
  int who = -1;

  for (int i = 0; i < N_HOLDERS; i++)
    {
      if (now < holders[i].paused_until
          || !lc_lease_can_order (holders[i].lease, false, clock_of (&holders[i])))
        continue;
      cr_assert_eq (who, -1, "two holders at %lld", (long long)now);
      who = i;
    }
  return who;
}

static void
run (LbTime duration)
{
  for (LbTime until = now + duration; now < until; now += STEP)
    {
      orderer ();
      step_operations ();
      for (int i = 0; i < N_HOLDERS; i++)
        step_holder (i);
    }
}

/* How long until the holder is another one than before. */
static LbTime
run_until_other (int before, LbTime limit)
{
  LbTime start = now;

  while (now - start < limit && (orderer () == before || orderer () == -1))
    run (STEP);
  return now - start;
}

Test (lease, first_candidate_holds_and_keeps_it)
{
  run (3 * LB_SEC);
  cr_assert_eq (orderer (), 0);
  int64_t fence = lc_lease_fence (holders[0].lease);
  for (int i = 0; i < 60; i++)
    {
      run (LB_SEC);
      cr_assert_eq (orderer (), 0);
    }
  cr_assert_eq (lc_lease_fence (holders[0].lease), fence);
}

/* The holder's process dies. Nobody swaps weights until another holds the lease: at most 10 s,
 * the wait for endpoints that check no fence included. Its number is higher. */
Test (lease, crash_leaves_no_gap_over_ten_seconds)
{
  for (int i = 0; i < 20; i++)
    {
      teardown ();
      setup ();
      gsl_rng_set (rng, (unsigned long)i + 1);
      run (3 * LB_SEC + i * 50 * LB_MSEC);
      int64_t fence = lc_lease_fence (holders[0].lease);
      holders[0].paused_until = INT64_MAX;
      holders[1].paused_until = INT64_MAX;
      LbTime gap = run_until_other (0, 20 * LB_SEC);
      cr_assert_leq (gap, 8 * LB_SEC);
      cr_assert_gt (lc_lease_fence (holders[2].lease), fence);
      cr_assert_not (lc_lease_can_order (holders[2].lease, true, clock_of (&holders[2])));
      run (10 * LB_SEC - gap);
      cr_assert (lc_lease_can_order (holders[2].lease, true, clock_of (&holders[2])));
    }
}

/* The holder is paused for longer than its lease and goes on where it was, about to order. Another
 * one has taken over: an engine would be swapped back. */
Test (lease, paused_holder_gives_no_order_when_it_wakes)
{
  run (3 * LB_SEC);
  holders[0].paused_until = now + 9 * LB_SEC;
  run (9 * LB_SEC - STEP);
  cr_assert_eq (orderer (), 1);
  now += STEP;
  cr_assert_not (lc_lease_can_order (holders[0].lease, false, clock_of (&holders[0])));
  run (5 * LB_SEC);
  cr_assert_eq (orderer (), 1);
}

/* The holder's whole machine stands still, its monotonic clock too; when it wakes its lease seems
 * to have seconds left. The wall clock has made a step. */
Test (lease, holder_whose_clock_stood_still_confirms_first)
{
  run (3 * LB_SEC);
  holders[0].paused_until = now + 9 * LB_SEC;
  holders[0].offset -= 9 * LB_SEC;
  run (9 * LB_SEC);
  step_holder (0);
  cr_assert_not (lc_lease_can_order (holders[0].lease, false, clock_of (&holders[0])));
  run (5 * LB_SEC);
  cr_assert_eq (orderer (), 1);
}

/* The machine stands still while a renewal is on its way. Its reply comes after another has taken
 * over, and must not pass for a renewal that was asked since. */
Test (lease, reply_from_before_a_standstill_confirms_nothing)
{
  longest_delay = LB_SEC;
  run (3 * LB_SEC);
  while (!is_writing (0))
    run (STEP);
  holders[0].paused_until = now + 9 * LB_SEC;
  holders[0].offset -= 9 * LB_SEC;
  run (9 * LB_SEC);
  step_holder (0);
  step_operations ();
  cr_assert_not (lc_lease_can_order (holders[0].lease, false, clock_of (&holders[0])));
}

/* The holder is cut off from the table, its clock is the slowest and the other's the fastest that
 * the bound allows. Both would order for a moment. */
Test (lease, drifting_clocks_leave_no_overlap)
{
  for (int i = 0; i < 100; i++)
    {
      teardown ();
      setup ();
      gsl_rng_set (rng, (unsigned long)i + 1);
      holders[0].rate = 0.995;
      holders[1].rate = 1.005;
      run (3 * LB_SEC + i * 11 * LB_MSEC);
      lc_lease_set_rank (holders[1].lease, 0);
      holders[0].cut_off = true;
      holders[0].tick = STEP;
      holders[1].tick = STEP;
      for (int step = 0; step < 600; step++)
        {
          lc_lease_read_soon (holders[1].lease, clock_of (&holders[1]));
          run (STEP);
        }
      cr_assert_eq (orderer (), 1);
    }
}

/* The loop of the holder is slow, not paused: its lease ends between two ticks. */
Test (lease, order_is_checked_against_the_end_itself)
{
  run (3 * LB_SEC);
  holders[0].cut_off = true;
  holders[0].tick = 9 * LB_SEC / 10;
  while (orderer () == 0)
    run (STEP);
  cr_assert (lc_lease_is_held (holders[0].lease), "no tick has noticed it yet");
}

/* A process is paused for a moment, shorter than its lease: it goes on as the holder, but only
 * after a renewal. */
Test (lease, short_pause_keeps_the_lease_after_a_renewal)
{
  run (3 * LB_SEC);
  holders[0].paused_until = now + 3 * LB_SEC / 2;
  run (3 * LB_SEC / 2);
  cr_assert_eq (orderer (), -1, "before its first tick");
  step_holder (0);
  cr_assert_eq (orderer (), -1, "after it");
  run (LB_SEC);
  cr_assert_eq (orderer (), 0);
}

/* The holder drains: another holds the lease within a second or two, not after its expiry. */
Test (lease, hand_over_at_drain_is_quick)
{
  LbList actions;

  lb_list_init (&actions);
  run (3 * LB_SEC);
  lc_lease_release (holders[0].lease, clock_of (&holders[0]), &actions);
  carry_out (0, &actions);
  cr_assert_eq (orderer (), -1);
  LbTime gap = run_until_other (0, 10 * LB_SEC);
  cr_assert_leq (gap, 3 * LB_SEC);
  cr_assert (lc_lease_is_released (holders[0].lease, clock_of (&holders[0])));
  int next = orderer ();
  cr_assert_gt (next, 0);
  run (20 * LB_SEC);
  cr_assert_eq (orderer (), next);
}

/* The store is away: the holder stops by itself before its lease can be another's, and goes on
 * when the store is back. */
Test (lease, store_away_stops_orders)
{
  run (3 * LB_SEC);
  store_away = true;
  run (5 * LB_SEC);
  cr_assert_eq (orderer (), -1);
  store_away = false;
  run (6 * LB_SEC);
  cr_assert_neq (orderer (), -1);
}

/* The reply to the claim is lost after the write took effect. The holder would wait for its own
 * lease to expire, and nobody orders in the meantime. */
Test (lease, lost_reply_to_a_claim_is_read_back)
{
  lose_replies = 1.0;
  run (LB_SEC / 2);
  cr_assert_eq (orderer (), 0);
  cr_assert_eq (lc_lease_fence (holders[0].lease), 1);
}

/* Most reads are answered by a replica that lags. After a hand-over the new holder would see the
 * old one's row again, give the lease up and claim it anew, and so on. */
Test (lease, stale_reads_do_not_shake_the_holder)
{
  LbList actions;

  lb_list_init (&actions);
  run (3 * LB_SEC);
  lc_lease_release (holders[0].lease, clock_of (&holders[0]), &actions);
  carry_out (0, &actions);
  run_until_other (0, 10 * LB_SEC);
  int next = orderer ();
  cr_assert_gt (next, 0);
  int64_t fence = lc_lease_fence (holders[next].lease);
  stale_reads = 0.7;
  for (int i = 0; i < 100; i++)
    {
      run (LB_SEC / 10);
      cr_assert_eq (orderer (), next);
    }
  cr_assert_eq (table_row.fence, fence);
}

/* Long randomised run: clocks 1 % apart, replies lost, stale reads, the store away, slow writes,
 * pauses. run
 * asserts that there are never two holders, and the number only ever grows. */
Test (lease, never_two_holders_in_a_long_run)
{
  int64_t fence = 0;
  int held = 0;

  gsl_rng_set (rng, 42);
  holders[0].rate = 0.995;
  holders[2].rate = 1.004;
  lose_replies = 0.1;
  stale_reads = 0.1;
  for (int i = 0; i < 3000; i++)
    {
      store_away = gsl_rng_uniform (rng) < 0.05;
      longest_delay = gsl_rng_uniform (rng) < 0.1 ? 3 * LB_SEC : 20 * LB_MSEC;
      if (gsl_rng_uniform (rng) < 0.1)
        holders[gsl_rng_uniform_int (rng, N_HOLDERS)].paused_until
            = now + (LbTime)(gsl_rng_uniform (rng) * 12 * LB_SEC);
      run (LB_SEC);
      held += orderer () >= 0;
      cr_assert_geq (table_row.fence, fence);
      fence = table_row.fence;
    }
  cr_assert_gt (fence, 20);
  cr_assert_gt (held, 1500);
}

/* A lease's row was damaged by hand: a null for a holder must not be read as a text. */
Test (lease, a_row_with_null_names_is_not_read)
{
  static const char *const rows[]
      = { "{\"holder\":null,\"incarnation\":\"i\",\"fence\":1,\"renewal\":1,\"released\":false}",
          "{\"holder\":\"h\",\"incarnation\":null,\"fence\":1,\"renewal\":1,\"released\":false}",
          "cut {off" };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      LcLeaseRow row;
      cr_assert_not (lc_lease_row_from_text (rows[i], &row), "%s", rows[i]);
    }
}

static LcLease *
make_candidate (void)
{
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  LB_COPY (settings.instance, "b");
  LB_COPY (settings.incarnation, "b-1");
  LcLease *lease = lc_lease_new (&settings, LB_SEC, 0);
  lc_lease_set_rank (lease, 0);
  return lease;
}

/* True when the candidate claims after it has read the row of holder "a". */
static bool
claims_at (LcLease *lease, int64_t version, LbTime at)
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

/* All processes are killed and start again. Nobody ordered weights until the term of the dead
 * holder was over, four seconds in which trainers' steps found no engine with weights young enough.
 */
Test (lease, is_claimed_at_once_from_a_holder_that_is_known_to_have_ended)
{
  LcLease *lease = make_candidate ();

  cr_assert_not (claims_at (lease, 7, 2 * LB_SEC));
  lc_lease_mark_holder_ended (lease, 6, 2 * LB_SEC);
  cr_assert_not (claims_at (lease, 7, 2100 * LB_MSEC), "that was said of an older row");
  lc_lease_mark_holder_ended (lease, 7, 2200 * LB_MSEC);
  cr_assert (claims_at (lease, 7, 2300 * LB_MSEC));
  lc_lease_free (lease);
}

/* It was said of one row: a later renewal shows that somebody holds the lease after all. */
Test (lease, a_later_row_is_waited_for_again)
{
  LcLease *lease = make_candidate ();

  cr_assert_not (claims_at (lease, 7, 2 * LB_SEC));
  lc_lease_mark_holder_ended (lease, 7, 2 * LB_SEC);
  cr_assert_not (claims_at (lease, 8, 2100 * LB_MSEC));
  lc_lease_free (lease);
}

/* The holder loses power for good while two trainers name new weights. Nobody ordered any for four
 * seconds, the rest of its term, and steps found no engine young enough. Its instance's row stands
 * still: that is enough where endpoints refuse orders of an old holder, and nowhere else. */
Test (lease, a_missed_holder_has_ended_where_orders_are_checked)
{
  LcLease *lease = make_candidate ();
  LcLeaseHolderView view
      = { .incarnation = "a-1", .row_version = 9, .endpoints_check_fence = true };

  cr_assert_not (claims_at (lease, 7, 2 * LB_SEC));
  cr_assert (lc_lease_holder_has_ended (lease, &view));
  view.endpoints_check_fence = false;
  cr_assert_not (lc_lease_holder_has_ended (lease, &view));
  view.endpoints_check_fence = true;
  view.alive = true;
  cr_assert_not (lc_lease_holder_has_ended (lease, &view));
  lc_lease_free (lease);
}

/* Another process under the holder's name ended it, unless what is seen of it is older than the
 * lease. */
Test (lease, a_younger_process_of_the_holder_has_ended_it)
{
  LcLease *lease = make_candidate ();
  LcLeaseHolderView view = { .incarnation = "a-2", .row_version = 9, .alive = true };

  cr_assert_not (claims_at (lease, 7, 2 * LB_SEC));
  cr_assert (lc_lease_holder_has_ended (lease, &view));
  view.row_version = 6;
  cr_assert_not (lc_lease_holder_has_ended (lease, &view));
  lc_lease_free (lease);
}

/* One instance's view of a table that the test plays: reads the row of `holder` with the fencing
 * number, and carries out the claim that follows, if there is one. */
static void
see_row (LcLease *lease, const char *holder, int64_t fence, LbTime at)
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
make_turn_taker (void)
{
  LcLeaseSettings settings;

  lc_lease_settings_init (&settings);
  settings.reacquire_delay = 3 * LB_SEC;
  LB_COPY (settings.instance, "b");
  LB_COPY (settings.incarnation, "b");
  LcLease *lease = lc_lease_new (&settings, LB_SEC, 0);
  lc_lease_set_rank (lease, 0);
  return lease;
}

/* A holder loses the lease to another instance, which gives it up a second later. Were the first
 * one to order again at once, receivers would hear the two in turn within three seconds, and could
 * not tell its orders from old ones that come late. */
Test (lease, a_holder_that_gets_it_back_waits_its_turn)
{
  LcLease *lease = make_turn_taker ();

  see_row (lease, "nobody", 4, 2 * LB_SEC);
  cr_assert (lc_lease_can_order (lease, false, 2 * LB_SEC));
  see_row (lease, "a", 6, 4 * LB_SEC);
  cr_assert_not (lc_lease_is_held (lease));
  see_row (lease, "nobody", 7, 5 * LB_SEC);
  cr_assert (lc_lease_is_held (lease));
  for (LbTime at = 5 * LB_SEC; at < 7 * LB_SEC; at += LB_SEC / 2)
    {
      see_row (lease, "b", 8, at);
      cr_assert_not (lc_lease_can_order (lease, false, at), "at %lld", (long long)at);
    }
  see_row (lease, "b", 8, 7 * LB_SEC);
  cr_assert (lc_lease_can_order (lease, false, 7100 * LB_MSEC), "three seconds after it lost it");
  lc_lease_free (lease);
}

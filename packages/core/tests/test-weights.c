#include "fake-engines.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>

static FakePool pool;

static void
create_fake_pool (void)
{
  fake_pool_init (&pool, 12, 25, 0.25, 40);
}

static void
free_fake_pool (void)
{
  fake_pool_clear (&pool);
}

TestSuite (weights, .init = create_fake_pool, .fini = free_fake_pool);

static LcWeightsStatus
get_weights_status (void)
{
  LcWeightsStatus result;

  lc_weights_get_status (pool.weights, pool.now, &result);
  return result;
}

Test (weights, roll_out_percent_limits_concurrent_loads)
{
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  LbTime duration = fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_lt (duration, 14 * LB_SEC);
  cr_assert_eq (pool.most_loading, 3);
  cr_assert_eq (pool.orders, 12);
  fake_pool_run_for (&pool, 10 * LB_SEC);
  cr_assert_eq (pool.orders, 12);
  cr_assert_eq (get_weights_status ().wait_reason, LC_WEIGHTS_IDLE);
}

/* Routing avoids an engine until the expected end of its weight swap. This time must be estimated
 * from the measured durations of earlier weight loads. */
Test (weights, expected_end_of_a_swap_follows_measured_load_times)
{
  LbList actions;

  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);
  fake_pool_run_for (&pool, LB_SEC);
  lc_weights_set_newest_version (pool.weights, 42, pool.now);
  lb_list_init (&actions);
  lc_weights_tick (pool.weights, true, true, pool.now, &actions);
  const LcWeightsAction *swap = LB_LIST_FIRST (&actions, LcWeightsAction, link);

  cr_assert_eq (swap->type, LC_WEIGHTS_UPDATE_ROUTING);
  cr_assert_geq (swap->expected_at - pool.now, pool.load_time);
  cr_assert_lt (swap->expected_at - pool.now, pool.load_time + LB_SEC);
  fake_pool_free_weights_actions (&actions);
}

/* roll_out_percent would allow all engines to swap weights at once. The capacity reserved for live
 * calls (0.6 of the engines) must limit the concurrent swaps, or live calls would be refused. */
Test (weights, live_reserve_limits_engines_out_of_service)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 10, 100, 0.6, 40);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 10);
  cr_assert_eq (pool.most_unavailable, 4);
}

/* All engines of a pool of two need a load, and roll_out_percent allows all at once. One engine
 * must still serve at any time. */
Test (weights, at_least_one_engine_serves_during_a_roll_out)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 2, 100, 0, 40);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 2);
  cr_assert_eq (pool.most_unavailable, 1);
}

Test (weights, only_engine_of_a_pool_is_swapped)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 1, 25, 0.25, 40);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 1);
}

Test (weights, failed_load_is_retried_without_blocking_others)
{
  pool.engines[0].fail_loads = 1;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 12);
  cr_assert_eq (pool.orders, 13);
  cr_assert_eq (get_weights_status ().failed, 0);
}

/* A load that always fails on one engine must be retried with a backoff, so that it does not use up
 * the rate limit of the weight store. */
Test (weights, load_that_always_fails_is_retried_with_backoff)
{
  pool.engines[0].fail_loads = 1000;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 120 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 11);
  cr_assert_geq (pool.orders, 14);
  cr_assert_leq (pool.orders, 18);
}

/* The lease holder requests a report from an engine, then orders the engine to load weights, and
 * then receives the report, which shows the old version. If the report counted as the end of the
 * load, a second order would take another engine out of service. */
Test (weights, report_from_before_the_order_does_not_end_the_load)
{
  LbList actions;
  LcWeightReport report = { .version = 40, .incarnation = "0" };

  fake_pool_run_for (&pool, 2 * LB_SEC);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_execute_load_orders (&pool);
  cr_assert_eq (pool.orders, 3);
  lb_list_init (&actions);
  report.requested_at = pool.now - 1;
  for (size_t i = 0; i < pool.n; i++)
    lc_weights_report_received (pool.weights, pool.engines[i].name, &report, pool.now, &actions);
  cr_assert (lb_list_is_empty (&actions), "an old report must not end the swap in routing");
  fake_pool_execute_load_orders (&pool);

  cr_assert_eq (pool.orders, 3);
}

/* An instance loses the lease, another instance orders three engines to load weights, and the first
 * instance regains the lease. It must count the loads of these three engines instead of trusting
 * the engine states that it knew before, or it would order three more engines. */
Test (weights, holder_that_regains_the_lease_counts_loads_of_the_other)
{
  fake_pool_run_for (&pool, 2 * LB_SEC);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  for (size_t i = 9; i < 12; i++)
    fake_engine_start_load (&pool, i, 41);
  lc_weights_lease_changed (pool.weights, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 12);
  cr_assert_eq (pool.most_loading, 3);
}

/* A broken version 41 fails on every engine, which would take all engines out of service one by
 * one. Most engines must keep serving 40, and another target must be loaded without delay. */
Test (weights, broken_version_halts_the_roll_out)
{
  for (size_t i = 0; i < pool.n; i++)
    pool.engines[i].fail_loads = 1000;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 120 * LB_SEC);
  cr_assert_geq (fake_pool_count_engines_serving (&pool, 40), 3);
  cr_assert_eq (get_weights_status ().wait_reason, LC_WEIGHTS_HALTED);

  for (size_t i = 0; i < pool.n; i++)
    pool.engines[i].fail_loads = 0;
  lc_weights_set_newest_version (pool.weights, 42, pool.now);
  LbTime duration = fake_pool_run_until_rolled_out (&pool, 42, 60 * LB_SEC);
  cr_assert_lt (duration, 20 * LB_SEC, "failed loads of 41 must not delay 42");
  pool.set->pools[0].weight_version = 40;
  lc_weights_configure (pool.weights, pool.set, pool.now);
  fake_pool_run_until_rolled_out (&pool, 40, 60 * LB_SEC);
  cr_assert_eq (fake_pool_count_engines_serving (&pool, 40), 12);
}

/* The lease holder crashes while three engines load weights. The new holder must read the states of
 * the engines first and count these loads, or six of twelve engines would be out of service at
 * once. */
Test (weights, new_lease_holder_counts_loads_of_the_crashed_holder)
{
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 3 * LB_SEC / 2);
  cr_assert_eq (pool.most_loading, 3);
  fake_pool_replace_lease_holder (&pool, 41);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 12);
  cr_assert_eq (pool.most_loading, 3);
  cr_assert_eq (pool.orders, 12);
}

/* A newer version 42 arrives halfway through the roll-out of 41. Loads in progress must finish; the
 * other engines must load 42 directly, and those with 41 come last. */
Test (weights, newer_version_during_a_roll_out_replaces_the_target)
{
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 4 * LB_SEC);
  size_t had_41 = fake_pool_count_engines_serving (&pool, 41);
  lc_weights_set_newest_version (pool.weights, 42, pool.now);
  fake_pool_run_until_rolled_out (&pool, 42, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 42), 12);
  cr_assert_leq (pool.orders, 12 + had_41 + 3);
  cr_assert_eq (pool.most_loading, 3);
}

/* Versions come faster than a roll-out takes. If every roll-out began with the same engines, the
 * others would keep an old version, and their samples would be discarded as stale. */
Test (weights, no_engine_starves_if_versions_come_fast)
{
  LcVersion version = 41;

  for (; version < 61; version++)
    {
      lc_weights_set_newest_version (pool.weights, version, pool.now);
      fake_pool_run_for (&pool, 3 * LB_SEC);
    }
  for (size_t i = 0; i < pool.n; i++)
    if (pool.engines[i].version > 0)
      cr_assert_geq (pool.engines[i].version, version - 6,
                     "engine %zu has version %lld, expected at least 55", i,
                     (long long)pool.engines[i].version);
}

/* An operator rolls back by a configuration revision whose pool names the previous version. */
Test (weights, pinned_older_version_rolls_back)
{
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 5 * LB_SEC);
  pool.set->pools[0].weight_version = 40;
  lc_weights_configure (pool.weights, pool.set, pool.now);
  fake_pool_run_until_rolled_out (&pool, 40, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 40), 12);
}

/* Engine 3 ignores fencing tokens, and a delayed order of an earlier lease holder reverts it to
 * version 40 after the roll-out. The lease holder must see this in its reports and order the engine
 * again. */
Test (weights, engine_reverted_by_an_old_order_is_ordered_again)
{
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);
  fake_engine_start_load (&pool, 3, 40);
  fake_pool_run_for (&pool, 3 * LB_SEC);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 12);
  cr_assert_eq (pool.orders, 13);
}

/* After a pause or a change of the lease holder, engines that don't check fencing tokens may be
 * ordered only when orders of the previous holder have expired. The other engines may be ordered at
 * once. */
Test (weights, unfenced_engines_are_not_ordered_while_old_orders_may_arrive)
{
  for (size_t i = 0; i < 6; i++)
    pool.set->endpoints[i].checks_fence = false;
  lc_weights_configure (pool.weights, pool.set, pool.now);
  pool.can_order_unfenced = false;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 60 * LB_SEC);
  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 6);
  cr_assert_eq (get_weights_status ().wait_reason, LC_WEIGHTS_NO_LEASE);
  pool.can_order_unfenced = true;
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 12);
}

/* Two of three engines are lost permanently. The third must keep serving 40 for a while, since the
 * lost engines may return. Then it must be swapped, or trainers would only get stale samples. */
Test (weights, lost_engines_block_the_others_only_until_the_timeout)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 3, 25, 0.25, 40);
  fake_pool_run_for (&pool, 2 * LB_SEC);
  pool.engines[1].dead = true;
  pool.engines[2].dead = true;
  fake_pool_run_for (&pool, 12 * LB_SEC);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 20 * LB_SEC);
  cr_assert_eq (pool.engines[0].version, 40);
  fake_pool_run_for (&pool, 40 * LB_SEC);

  cr_assert_eq (pool.engines[0].version, 41);
}

/* An engine accepts an order to load weights but does not execute it, as when the engine restarts
 * just after the order. The order must be repeated. */
Test (weights, order_without_effect_is_repeated)
{
  pool.engines[5].ignores_orders = true;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 20 * LB_SEC);
  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 11);
  pool.engines[5].ignores_orders = false;
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 12);
}

/* Three engines die just before the roll-out, and the lease holder still takes them for serving.
 * The orders to these engines fail and must not count against the limit of concurrent swaps. */
Test (weights, failed_orders_do_not_count_as_swaps)
{
  fake_pool_run_for (&pool, 2 * LB_SEC);
  for (size_t i = 0; i < 3; i++)
    pool.engines[i].dead = true;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);

  cr_assert_lt (fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC), 9 * LB_SEC);
}

/* Three loads hang forever. After load_timeout they must no longer block the other engines. */
Test (weights, loads_that_hang_block_others_only_until_the_timeout)
{
  fake_pool_run_for (&pool, 2 * LB_SEC);
  pool.load_time = 10000 * LB_SEC;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, LB_SEC);
  pool.load_time = 2 * LB_SEC;
  fake_pool_run_for (&pool, 100 * LB_SEC);
  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 0);
  fake_pool_run_for (&pool, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 9);
}

/* Reports that were requested before the holder lost the lease arrive after it has regained the
 * lease. They must be ignored, since engines that they show as serving may be loading now. */
Test (weights, reports_from_before_a_lease_change_are_ignored)
{
  LbList actions;
  LcWeightReport report = { .version = 40, .incarnation = "0", .requested_at = pool.now };

  lb_list_init (&actions);
  pool.now += LB_SEC;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  lc_weights_lease_changed (pool.weights, pool.now);
  for (size_t i = 0; i < pool.n; i++)
    lc_weights_report_received (pool.weights, pool.engines[i].name, &report, pool.now, &actions);
  fake_pool_execute_load_orders (&pool);

  cr_assert_eq (pool.orders, 0);
}

/* 13 of 70 engines fail while the store is down for some seconds; they stay listed until their
 * entries expire. A holder that has just gained the lease once counted them as swapping, which left
 * room for a single load. For three seconds hardly any other engine got new weights. */
Test (weights, silent_engines_do_not_count_as_swapping_for_long)
{
  enum
  {
    N_ENGINES = 70,
    N_SILENT = 13,
    PERCENT = 20
  };

  fake_pool_clear (&pool);
  fake_pool_init (&pool, N_ENGINES, PERCENT, 0, 40);
  pool.load_time = LB_SEC;
  pool.period = LB_SEC / 10;
  pool.first_report_limit = 400 * LB_MSEC;
  fake_pool_run_for (&pool, LB_SEC);
  for (size_t i = 0; i < N_SILENT; i++)
    pool.engines[i].dead = true;
  fake_pool_replace_lease_holder (&pool, 41);
  fake_pool_run_for (&pool, LB_SEC);
  cr_assert_eq (pool.orders, N_ENGINES * PERCENT / 100);
  fake_pool_run_for (&pool, 5 * LB_SEC);
  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), N_ENGINES - N_SILENT);
}

/* The status of a model must be correct without a tick, since a model is not ticked while loads of
 * other models use up the limit. A status computed in the last tick kept counting failed engines as
 * swapping until a load of another model ended; this blocked all loads for 1.3 s. */
Test (weights, status_does_not_depend_on_the_last_tick)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 20, 20, 0, 40);
  pool.first_report_limit = 400 * LB_MSEC;
  fake_pool_run_for (&pool, LB_SEC);
  for (size_t i = 0; i < pool.n; i++)
    pool.engines[i].dead = true;
  fake_pool_replace_lease_holder (&pool, 41);
  fake_pool_execute_load_orders (&pool);
  cr_assert_eq (get_weights_status ().swapping, 20);
  pool.now += 500 * LB_MSEC;
  cr_assert_eq (get_weights_status ().swapping, 0);
}

/* Four of twelve engines accept orders without carrying them out. They have the oldest version and
 * come first, so without a backoff the other engines would never be ordered. */
Test (weights, orders_without_effect_do_not_block_the_others)
{
  for (size_t i = 0; i < 4; i++)
    pool.engines[i].ignores_orders = true;
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 8);
}

/* A delayed answer of the weight store reports version 40 after 41. It must be ignored. */
Test (weights, newest_version_never_goes_back)
{
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_until_rolled_out (&pool, 41, 60 * LB_SEC);
  lc_weights_set_newest_version (pool.weights, 40, pool.now);
  fake_pool_run_for (&pool, 20 * LB_SEC);

  cr_assert_eq (fake_pool_count_engines_serving (&pool, 41), 12);
}

Test (weights, load_orders_stay_within_the_rate_limit)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 600, 100, 0, 40);
  fake_pool_run_for (&pool, 2 * LB_SEC);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  fake_pool_run_for (&pool, LB_SEC);

  cr_assert_leq (pool.orders, 60 + 60 + 3);
}

static void
inject_random_weight_load_fault (gsl_rng *rng, LcVersion *version)
{
  FakeEngine *engine = &pool.engines[gsl_rng_uniform_int (rng, pool.n)];

  switch (gsl_rng_uniform_int (rng, 6))
    {
    case 0:
      lc_weights_set_newest_version (pool.weights, ++*version, pool.now);
      break;
    case 1:
      fake_pool_replace_lease_holder (&pool, *version);
      break;
    case 2:
      engine->fail_loads = 1 + (int)gsl_rng_uniform_int (rng, 3);
      break;
    case 3:
      engine->ignores_orders = !engine->ignores_orders;
      break;
    case 4:
      /* The engine restarts with its initial version. */
      engine->loading = 0;
      engine->version = 40;
      engine->incarnation++;
      break;
    default:
      pool.can_order_fenced = !pool.can_order_fenced;
      pool.can_order_unfenced = pool.can_order_fenced;
      break;
    }
}

/* Random run with new versions, crashes of the lease holder, failed loads, orders without effect,
 * restarts of engines and lost leases. The number of engines that load must stay within
 * roll_out_percent, and every engine must get the newest version once the faults end. */
Test (weights, load_limit_holds_under_random_faults)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcVersion version = 41;

  gsl_rng_set (rng, 11);
  lc_weights_set_newest_version (pool.weights, version, pool.now);
  for (int i = 0; i < 2000; i++)
    {
      inject_random_weight_load_fault (rng, &version);
      fake_pool_run_for (&pool, (LbTime)(gsl_rng_uniform (rng) * 4 * LB_SEC));
      cr_assert_leq (pool.most_loading, 3,
                     "expected at most 3 engines to load at once, after fault %d", i);
    }
  for (size_t i = 0; i < pool.n; i++)
    {
      pool.engines[i].fail_loads = 0;
      pool.engines[i].ignores_orders = false;
    }
  pool.can_order_fenced = true;
  pool.can_order_unfenced = true;
  fake_pool_run_until_rolled_out (&pool, version, 200 * LB_SEC);
  cr_assert_eq (fake_pool_count_engines_serving (&pool, version), pool.n);
  cr_assert_gt (pool.orders, 1000);
  gsl_rng_free (rng);
}

#include "fake-engines.h"

#include <criterion/criterion.h>
#include <gsl/gsl_rng.h>

static FakePool pool;

static void
setup (void)
{
  fake_pool_init (&pool, 12, 25, 0.25, 40);
}

static void
teardown (void)
{
  fake_pool_clear (&pool);
}

TestSuite (weights, .init = setup, .fini = teardown);

static LcWeightsStatus
status (void)
{
  LcWeightsStatus result;

  lc_weights_status (pool.weights, pool.now, &result);
  return result;
}

Test (weights, roll_out_goes_in_waves_under_the_percent)
{
  lc_weights_set_newest (pool.weights, 41, pool.now);
  LbTime took = fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_lt (took, 14 * LB_SEC);
  cr_assert_eq (pool.most_swapping, 3);
  cr_assert_eq (pool.orders, 12);
  fake_pool_run (&pool, 10 * LB_SEC);
  cr_assert_eq (pool.orders, 12);
  cr_assert_eq (status ().wait_reason, LC_WEIGHTS_IDLE);
}

/* Routing weighs an engine by when its new weights are expected; the guess becomes what is seen. */
Test (weights, expected_end_of_a_swap_follows_the_load_times)
{
  LbList actions;

  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);
  fake_pool_run (&pool, LB_SEC);
  lc_weights_set_newest (pool.weights, 42, pool.now);
  lb_list_init (&actions);
  lc_weights_tick (pool.weights, true, true, pool.now, &actions);
  const LcWeightsAction *swap = LB_LIST_FIRST (&actions, LcWeightsAction, link);

  cr_assert_eq (swap->type, LC_WEIGHTS_UPDATE_ROUTING);
  cr_assert_geq (swap->expected_at - pool.now, pool.load_time);
  cr_assert_lt (swap->expected_at - pool.now, pool.load_time + LB_SEC);
  fake_pool_drop_actions (&actions);
}

/* A large part of the pool may be in a swap at once, but the live reserve is larger: callers would
 * be refused while four engines of five load. */
Test (weights, live_reserve_bounds_what_is_out)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 10, 100, 0.6, 40);
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 10);
  cr_assert_eq (pool.most_out, 4);
}

/* All engines of a small pool are due at once. One serves at any time, whatever the percent. */
Test (weights, one_engine_always_serves)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 2, 100, 0, 40);
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 2);
  cr_assert_eq (pool.most_out, 1);
}

Test (weights, single_engine_is_swapped_after_all)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 1, 25, 0.25, 40);
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 1);
}

/* A load fails on one engine. It stays out of routing, is tried again, and holds up nobody. */
Test (weights, failed_load_is_tried_again_and_holds_up_nobody)
{
  pool.engines[0].fail_loads = 1;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 12);
  cr_assert_eq (pool.orders, 13);
  cr_assert_eq (status ().failed, 0);
}

/* A load fails each time on one engine: it is not ordered without end, which would use up the rate
 * of the weight store. */
Test (weights, load_that_always_fails_is_tried_less_and_less)
{
  pool.engines[0].fail_loads = 1000;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 120 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 11);
  cr_assert_geq (pool.orders, 14);
  cr_assert_leq (pool.orders, 18);
}

/* A report that was asked for before the order comes after it and shows the old version. Taken for
 * the end of the load it would bring a second order, and another engine out of service. */
Test (weights, report_from_before_the_order_does_not_end_it)
{
  LbList actions;
  LcWeightReport report = { .version = 40, .incarnation = "0" };

  fake_pool_run (&pool, 2 * LB_SEC);
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_tick (&pool);
  cr_assert_eq (pool.orders, 3);
  lb_list_init (&actions);
  report.requested_at = pool.now - 1;
  for (size_t i = 0; i < pool.n; i++)
    lc_weights_report_received (pool.weights, pool.engines[i].name, &report, pool.now, &actions);
  cr_assert (lb_list_is_empty (&actions), "routing must not be told that a swap is over");
  fake_pool_tick (&pool);

  cr_assert_eq (pool.orders, 3);
}

/* An instance loses the lease, another one orders three engines, and the first gets it back. What
 * it knew of the engines is old: it must not order three more. */
Test (weights, lease_regained_mid_roll_out)
{
  fake_pool_run (&pool, 2 * LB_SEC);
  lc_weights_set_newest (pool.weights, 41, pool.now);
  for (size_t i = 9; i < 12; i++)
    fake_engine_load (&pool, i, 41);
  lc_weights_lease_changed (pool.weights, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 12);
  cr_assert_eq (pool.most_swapping, 3);
}

/* A version is broken and fails on every engine. All would be taken out one by one, and callers
 * refused until an operator comes. The rest keeps serving 40; a version named instead is loaded. */
Test (weights, broken_version_does_not_take_the_pool_down)
{
  for (size_t i = 0; i < pool.n; i++)
    pool.engines[i].fail_loads = 1000;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 120 * LB_SEC);
  cr_assert_geq (fake_pool_count (&pool, 40), 3);
  cr_assert_eq (status ().wait_reason, LC_WEIGHTS_HALTED);

  for (size_t i = 0; i < pool.n; i++)
    pool.engines[i].fail_loads = 0;
  lc_weights_set_newest (pool.weights, 42, pool.now);
  LbTime took = fake_pool_run_until_done (&pool, 42, 60 * LB_SEC);
  cr_assert_lt (took, 20 * LB_SEC, "failures of 41 must not hold up 42");
  pool.set->pools[0].weight_version = 40;
  lc_weights_configure (pool.weights, pool.set, pool.now);
  fake_pool_run_until_done (&pool, 40, 60 * LB_SEC);
  cr_assert_eq (fake_pool_count (&pool, 40), 12);
}

/* The holder of the lease crashes while three engines load. Its successor knows nothing: if it
 * began anew, six of twelve would be out at once. It reads them first and counts what loads. */
Test (weights, crash_of_the_holder_mid_roll_out)
{
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 3 * LB_SEC / 2);
  cr_assert_eq (pool.most_swapping, 3);
  fake_pool_new_holder (&pool, 41);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 12);
  cr_assert_eq (pool.most_swapping, 3);
  cr_assert_eq (pool.orders, 12);
}

/* A newer version comes while the one before is half out. Engines that load finish; the others go
 * to the newest directly, and those that had the middle one come last. */
Test (weights, newer_version_mid_roll_out)
{
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 4 * LB_SEC);
  size_t had_41 = fake_pool_count (&pool, 41);
  lc_weights_set_newest (pool.weights, 42, pool.now);
  fake_pool_run_until_done (&pool, 42, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 42), 12);
  cr_assert_leq (pool.orders, 12 + had_41 + 3);
  cr_assert_eq (pool.most_swapping, 3);
}

/* Versions come faster than a roll-out takes. If it began anew with the same engines each time,
 * the last ones would keep a version of long ago and their samples be thrown away as stale. */
Test (weights, no_engine_starves_when_versions_come_fast)
{
  LcVersion version = 41;

  for (; version < 61; version++)
    {
      lc_weights_set_newest (pool.weights, version, pool.now);
      fake_pool_run (&pool, 3 * LB_SEC);
    }
  for (size_t i = 0; i < pool.n; i++)
    if (pool.engines[i].version > 0)
      cr_assert_geq (pool.engines[i].version, version - 6, "engine %zu has %lld", i,
                     (long long)pool.engines[i].version);
}

/* An operator rolls back as a new revision that names the version before. */
Test (weights, roll_back_as_a_new_revision)
{
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 5 * LB_SEC);
  pool.set->pools[0].weight_version = 40;
  lc_weights_configure (pool.weights, pool.set, pool.now);
  fake_pool_run_until_done (&pool, 40, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 40), 12);
}

/* Engine 3 ignores fencing numbers. An order of an earlier holder, long on its way, reaches it
 * after ours and swaps it back to 40: callers get old weights under a roll-out that is done. It is
 * seen by what the engine states, and ordered again. */
Test (weights, engine_that_ignores_fences_is_read_back)
{
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);
  fake_engine_load (&pool, 3, 40);
  fake_pool_run (&pool, 3 * LB_SEC);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 12);
  cr_assert_eq (pool.orders, 13);
}

/* The holder was paused or has just taken over: engines that check no number must wait for the last
 * order of the holder before to run out; the others need not. */
Test (weights, unfenced_engines_wait_for_their_permission)
{
  for (size_t i = 0; i < 6; i++)
    pool.set->endpoints[i].checks_fence = false;
  lc_weights_configure (pool.weights, pool.set, pool.now);
  pool.unfenced = false;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 60 * LB_SEC);
  cr_assert_eq (fake_pool_count (&pool, 41), 6);
  cr_assert_eq (status ().wait_reason, LC_WEIGHTS_NO_LEASE);
  pool.unfenced = true;
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 12);
}

/* Two of three engines are lost for good. The third keeps serving 40 for a while, since they may
 * come back; then it is swapped, or trainers would never see a fresh sample again. */
Test (weights, lost_engines_hold_up_the_others_only_for_a_while)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 3, 25, 0.25, 40);
  fake_pool_run (&pool, 2 * LB_SEC);
  pool.engines[1].dead = true;
  pool.engines[2].dead = true;
  fake_pool_run (&pool, 12 * LB_SEC);
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 20 * LB_SEC);
  cr_assert_eq (pool.engines[0].version, 40);
  fake_pool_run (&pool, 40 * LB_SEC);

  cr_assert_eq (pool.engines[0].version, 41);
}

/* An engine takes the order and does nothing, or was started anew in between: seen by its report,
 * and ordered again. */
Test (weights, order_without_effect_is_given_again)
{
  pool.engines[5].ignores_orders = true;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 20 * LB_SEC);
  cr_assert_eq (fake_pool_count (&pool, 41), 11);
  pool.engines[5].ignores_orders = false;
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 12);
}

/* Three engines die a moment before the roll-out, when they still seem to serve. Their orders fail;
 * they must not hold their places until someone notices. */
Test (weights, failed_orders_free_their_places_at_once)
{
  fake_pool_run (&pool, 2 * LB_SEC);
  for (size_t i = 0; i < 3; i++)
    pool.engines[i].dead = true;
  lc_weights_set_newest (pool.weights, 41, pool.now);

  cr_assert_lt (fake_pool_run_until_done (&pool, 41, 60 * LB_SEC), 9 * LB_SEC);
}

/* Three loads hang for ever. After the limit of a load the others get their places. */
Test (weights, loads_that_hang_do_not_hold_up_the_others)
{
  fake_pool_run (&pool, 2 * LB_SEC);
  pool.load_time = 10000 * LB_SEC;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, LB_SEC);
  pool.load_time = 2 * LB_SEC;
  fake_pool_run (&pool, 100 * LB_SEC);
  cr_assert_eq (fake_pool_count (&pool, 41), 0);
  fake_pool_run (&pool, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 9);
}

/* Answers of engines to the holder's questions from before it lost the lease arrive after it has
 * got it back. They show engines serving that load by now. */
Test (weights, reports_from_before_the_restart_say_nothing)
{
  LbList actions;
  LcWeightReport report = { .version = 40, .incarnation = "0", .requested_at = pool.now };

  lb_list_init (&actions);
  pool.now += LB_SEC;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  lc_weights_lease_changed (pool.weights, pool.now);
  for (size_t i = 0; i < pool.n; i++)
    lc_weights_report_received (pool.weights, pool.engines[i].name, &report, pool.now, &actions);
  fake_pool_tick (&pool);

  cr_assert_eq (pool.orders, 0);
}

/* The store was away for some seconds, and the lease is gained anew. Meanwhile 13 engines of 70
 * went dark; they are listed until their entries lapse. Taken for engines that load, they had all
 * places but one of the loads, so that for three seconds hardly any of the others got the weights
 * that the trainers' next steps need. */
Test (weights, engines_that_went_dark_take_no_places_of_loads)
{
  enum
  {
    N_ENGINES = 70,
    N_DARK = 13,
    PERCENT = 20
  };

  fake_pool_clear (&pool);
  fake_pool_init (&pool, N_ENGINES, PERCENT, 0, 40);
  pool.load_time = LB_SEC;
  pool.period = LB_SEC / 10;
  pool.answer_limit = 400 * LB_MSEC;
  fake_pool_run (&pool, LB_SEC);
  for (size_t i = 0; i < N_DARK; i++)
    pool.engines[i].dead = true;
  fake_pool_new_holder (&pool, 41);
  fake_pool_run (&pool, LB_SEC);
  cr_assert_eq (pool.orders, N_ENGINES * PERCENT / 100);
  fake_pool_run (&pool, 5 * LB_SEC);
  cr_assert_eq (fake_pool_count (&pool, 41), N_ENGINES - N_DARK);
}

/* Whether a model is ticked depends on how many engines load in all, so its status is asked without
 * a tick between. It went by the time of the last tick: engines that went dark counted as loading
 * until a load of another model ended, and with all places taken by them none did for 1.3 s. */
Test (weights, status_is_that_of_now)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 20, 20, 0, 40);
  pool.answer_limit = 400 * LB_MSEC;
  fake_pool_run (&pool, LB_SEC);
  for (size_t i = 0; i < pool.n; i++)
    pool.engines[i].dead = true;
  fake_pool_new_holder (&pool, 41);
  fake_pool_tick (&pool);
  cr_assert_eq (status ().swapping, 20);
  pool.now += 500 * LB_MSEC;
  cr_assert_eq (status ().swapping, 0);
}

/* Four engines of twelve take orders and do nothing. They are the oldest, and would have all places
 * in the roll-out for themselves: the others would keep the old version for good. */
Test (weights, orders_without_effect_do_not_hold_up_the_others)
{
  for (size_t i = 0; i < 4; i++)
    pool.engines[i].ignores_orders = true;
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, 60 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 8);
}

/* An answer of the weight store that was late names an older version: no engine goes back. */
Test (weights, newest_never_goes_back)
{
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run_until_done (&pool, 41, 60 * LB_SEC);
  lc_weights_set_newest (pool.weights, 40, pool.now);
  fake_pool_run (&pool, 20 * LB_SEC);

  cr_assert_eq (fake_pool_count (&pool, 41), 12);
}

Test (weights, orders_stay_under_the_rate_of_the_weight_store)
{
  fake_pool_clear (&pool);
  fake_pool_init (&pool, 600, 100, 0, 40);
  fake_pool_run (&pool, 2 * LB_SEC);
  lc_weights_set_newest (pool.weights, 41, pool.now);
  fake_pool_run (&pool, LB_SEC);

  cr_assert_leq (pool.orders, 60 + 60 + 3);
}

static void
strike (gsl_rng *rng, LcVersion *version)
{
  FakeEngine *engine = &pool.engines[gsl_rng_uniform_int (rng, pool.n)];

  switch (gsl_rng_uniform_int (rng, 6))
    {
    case 0:
      lc_weights_set_newest (pool.weights, ++*version, pool.now);
      break;
    case 1:
      fake_pool_new_holder (&pool, *version);
      break;
    case 2:
      engine->fail_loads = 1 + (int)gsl_rng_uniform_int (rng, 3);
      break;
    case 3:
      engine->ignores_orders = !engine->ignores_orders;
      break;
    case 4:
      /* It starts anew with the version that it was started with. */
      engine->loading = 0;
      engine->version = 40;
      engine->incarnation++;
      break;
    default:
      pool.fenced = !pool.fenced;
      pool.unfenced = pool.fenced;
      break;
    }
}

/* Long randomised run: newer versions, holders that crash, loads that fail, orders without effect,
 * engines started anew, leases lost. Never are more engines loading than the percent allows, nor
 * fewer serving than the reserve needs because of orders; and when all is well again, the newest
 * version comes to every engine. */
Test (weights, bounds_hold_in_a_long_run)
{
  gsl_rng *rng = gsl_rng_alloc (gsl_rng_taus2);
  LcVersion version = 41;

  gsl_rng_set (rng, 11);
  lc_weights_set_newest (pool.weights, version, pool.now);
  for (int i = 0; i < 2000; i++)
    {
      strike (rng, &version);
      fake_pool_run (&pool, (LbTime)(gsl_rng_uniform (rng) * 4 * LB_SEC));
      cr_assert_leq (pool.most_swapping, 3, "after strike %d", i);
    }
  for (size_t i = 0; i < pool.n; i++)
    {
      pool.engines[i].fail_loads = 0;
      pool.engines[i].ignores_orders = false;
    }
  pool.fenced = true;
  pool.unfenced = true;
  fake_pool_run_until_done (&pool, version, 200 * LB_SEC);
  cr_assert_eq (fake_pool_count (&pool, version), pool.n);
  cr_assert_gt (pool.orders, 1000);
  gsl_rng_free (rng);
}

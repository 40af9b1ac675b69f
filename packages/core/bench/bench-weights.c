/* Measures how long LcWeights takes to roll out a weight version to simulated engines, in virtual
 * time. The load times are parameters of the simulation, not measurements of real engines. */
#include "../tests/fake-engines.h"

#include <stdio.h>

#define MAX_ROLLOUT_DURATION (600 * LB_SEC)

static void
measure_weight_rollout_time (size_t n_engines, int64_t roll_out_percent, LbTime load_time)
{
  FakePool pool;

  fake_pool_init (&pool, n_engines, roll_out_percent, 0.25, 40);
  pool.load_time = load_time;
  pool.load_jitter = load_time / 4;
  pool.period = 3 * LB_SEC;
  pool.swapping_report_period = LB_SEC / 2;
  fake_pool_run_for (&pool, 10 * LB_SEC);
  lc_weights_set_newest_version (pool.weights, 41, pool.now);
  LbTime duration = fake_pool_run_until_rolled_out (&pool, 41, MAX_ROLLOUT_DURATION);
  printf ("%8zu %8lld %9.1f %9.2f %8zu %8zu %8zu\n", n_engines, (long long)roll_out_percent,
          (double)load_time / LB_SEC, (double)duration / LB_SEC, pool.orders, pool.most_loading,
          pool.most_unavailable);
  fake_pool_clear (&pool);
}

int
main (void)
{
  static const size_t sizes[] = { 9, 100, 600 };
  static const int64_t percents[] = { 10, 25, 50 };
  static const LbTime loads[] = { LB_SEC / 5, LB_SEC, 2 * LB_SEC, 3 * LB_SEC, 5 * LB_SEC };

  printf ("%8s %8s %9s %9s %8s %8s %8s\n", "engines", "percent", "load s", "plan s", "orders",
          "swapping", "out");
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (size_t j = 0; j < sizeof percents / sizeof percents[0]; j++)
      for (size_t k = 0; k < sizeof loads / sizeof loads[0]; k++)
        measure_weight_rollout_time (sizes[i], percents[j], loads[k]);
  return 0;
}

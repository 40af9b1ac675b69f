#include "moves-fixture.h"

#define WARM_UP_STEPS 3
#define FAULT_RUNS 10

/* Runs steps after a warm-up, in which the paces of the engines become known. */
static void
run_steps_after_warm_up (Sim *sim, int n, LbTime period)
{
  sim_run_steps (sim, WARM_UP_STEPS, period);
  sim->n_runs = sim->n_moves = sim->n_moves_to_chosen = 0;
  sim_run_steps (sim, n, period);
}

static void
init_sim (Sim *sim, const double *paces, size_t n_paces, unsigned seed, bool decisions)
{
  lb_switch_enable_all_optimisations ();
  if (!decisions)
    lb_switch_disable_optimisation ("move_decisions");
  sim_init (sim, paces, n_paces);
  gsl_rng_set (sim->random, seed);
}

static void
init_uneven (Sim *sim, unsigned seed, bool decisions)
{
  static const double paces[] = { 0.7, 0.7, 1.7 };

  init_sim (sim, paces, 3, seed, decisions);
  sim->noise_share = 0.15;
  sim->mean_length = 60;
}

/* Texts left an engine as soon as it was slower than the average of all engines, so that almost
 * half of the runs on uneven engines was preempted, most of them for a gain of a few hundred
 * milliseconds. Requests wait for a slot in this load. */
Test (moves, few_texts_move_on_uneven_engines_and_no_step_is_later)
{
  static Sim sim;
  double seconds[2] = { 0 };
  double shares[2] = { 0 };

  for (unsigned seed = 1; seed <= 4; seed++)
    for (int decisions = 0; decisions < 2; decisions++)
      {
        init_uneven (&sim, seed, decisions);
        run_steps_after_warm_up (&sim, 40, 4 * LB_SEC);
        shares[decisions] += (double)sim.n_moves / sim.n_runs / 4;
        seconds[decisions] += sim_mean_step_seconds (&sim) / 4;
        sim_clear (&sim);
      }
  cr_log_info ("moved %.3f and %.3f, step %.2f s and %.2f s", shares[0], shares[1], seconds[0],
               seconds[1]);
  cr_assert_leq (shares[1], 0.05, "%.3f of the runs moved, %.3f without decisions", shares[1],
                 shares[0]);
  cr_assert_leq (seconds[1], seconds[0], "a step took %.2f s, %.2f s without decisions", seconds[1],
                 seconds[0]);
}

typedef struct
{
  int n_left;          /* long texts that left the faulty engine in time */
  double mean_seconds; /* mean time from the fault until a text left the engine */
  double step_seconds;
} FaultResult;

static void
init_equal (Sim *sim, unsigned seed, bool decisions)
{
  static const double paces[] = { 1 };

  init_sim (sim, paces, 1, seed, decisions);
  sim->mean_length = 32;
}

/* Makes an engine slower by the factor, or stall (0), for 8 s. */
static void
start_fault_in_next_step (Sim *sim, int engine, double factor)
{
  sim->faulty_engine = engine;
  sim->fault = factor;
  sim->fault_from = sim->now + 1200 * LB_MSEC;
  sim->fault_to = sim->fault_from + 8 * LB_SEC;
  sim->left_faulty_before = sim->fault_from + 2 * LB_SEC;
}

/* Runs steps on equal engines with a fault of one of them. Adds the results of several runs. */
static FaultResult
run_fault (double factor, bool decisions, bool are_paces_known)
{
  static Sim sim;
  FaultResult result = { 0 };

  for (unsigned seed = 1; seed <= FAULT_RUNS; seed++)
    {
      init_equal (&sim, seed, decisions);
      if (!are_paces_known)
        lb_switch_disable_optimisation ("condition");
      sim_run_steps (&sim, WARM_UP_STEPS, 4 * LB_SEC);
      start_fault_in_next_step (&sim, (int)seed, factor);
      sim_run_steps (&sim, 4, 4 * LB_SEC);
      result.n_left += sim.n_left_faulty;
      result.mean_seconds += sim.left_faulty_seconds;
      result.step_seconds += sim_mean_step_seconds (&sim) / FAULT_RUNS;
      sim_clear (&sim);
    }
  cr_assert_gt (result.n_left, 0);
  result.mean_seconds /= result.n_left;
  return result;
}

/* Compares the moves with those without decisions, where texts move by the average pace alone. */
static void
expect_long_texts_leave_as_soon (double factor, bool are_paces_known)
{
  FaultResult without = run_fault (factor, false, are_paces_known);
  FaultResult with = run_fault (factor, true, are_paces_known);

  cr_log_info ("factor %.1f: %d left after %.2f s, %d after %.2f s; step %.2f s and %.2f s", factor,
               without.n_left, without.mean_seconds, with.n_left, with.mean_seconds,
               without.step_seconds, with.step_seconds);
  cr_assert_geq (with.n_left, without.n_left);
  cr_assert_leq (with.mean_seconds, without.mean_seconds + 0.1);
  cr_assert_leq (with.step_seconds, 1.02 * without.step_seconds);
}

/* The slowness of an engine that becomes 3.5 times slower must not count as momentary. */
Test (moves, long_texts_leave_an_engine_that_becomes_slow)
{
  expect_long_texts_leave_as_soon (3.5, true);
}

/* Texts at an engine that sends nothing must leave it before their streams count as broken. */
Test (moves, long_texts_leave_a_stalled_engine)
{
  expect_long_texts_leave_as_soon (0, true);
}

/* Without lasting paces, the comparison with the average pace must decide as before. */
Test (moves, long_texts_leave_a_slow_or_stalled_engine_if_no_pace_is_known)
{
  expect_long_texts_leave_as_soon (3.5, false);
  expect_long_texts_leave_as_soon (0, false);
}

/* There are more long texts than slots, and none ends: a text that left its slow engine would only
 * wait for a slot. */
Test (moves, without_free_slot_no_text_moves)
{
  static Sim sim;

  init_uneven (&sim, 1, true);
  run_steps_after_warm_up (&sim, 1, 12 * LB_SEC);
  sim.n_moves = 0;
  sim.mean_length = 1000;
  sim_run_steps (&sim, 1, 5 * LB_SEC);
  cr_assert_eq (sim.n_moves, 0);
  cr_assert_gt (sim.n_refused[LC_MOVE_NO_FREE_SLOT], 0);
  sim_clear (&sim);
}

/* The chosen engine leaves between the decision and the arrival of the text, which must then be
 * placed like any other text and continue after its last event. */
Test (moves, text_is_placed_elsewhere_if_the_chosen_engine_leaves)
{
  static Sim sim;

  init_equal (&sim, 1, true);
  sim.mean_length = 20;
  sim_run_steps (&sim, WARM_UP_STEPS, 4 * LB_SEC);
  start_fault_in_next_step (&sim, 1, 0);
  sim.target_dies = true;
  sim.n_moves = sim.n_moves_to_chosen = 0;
  sim_run_steps (&sim, 1, 20 * LB_SEC);
  cr_assert_gt (sim.n_moves, 0);
  cr_assert_eq (sim.n_moves_to_chosen, 0);
  cr_assert_gt (sim.steps[sim.n_steps - 1].seconds, 0, "expected that the last step ends");
  sim_clear (&sim);
}

#include "moves-fixture.h"

/* Replays steps near the capacity of uneven engines, with lasting paces known and not known. */

#define N_SEEDS 10
#define WARM_UP_STEPS 3
#define N_STEPS 20
/* Events per second of all engines: their slots, at their mean pace including the noise. */
#define CAPACITY_EVENTS 1505.0
/* Time until the first piece, as a number of events. */
#define FIRST_PIECE_EVENTS (SIM_FIRST_PIECE_SECONDS / SIM_EVENT_SECONDS)
/* Steps may be this much longer than without known paces: about the standard error of the means. */
#define TOLERANCE 1.03
/* At middle load, steps must be shorter by at least this factor. */
#define MIDDLE_LOAD_GAIN 0.98

typedef struct
{
  double step_seconds;
  double idle_share; /* share of the slots' time that is idle while texts wait */
} LoadResult;

/* Returns the number of idle slots that waiting texts could use. */
static int
count_usable_idle_slots (const Sim *sim)
{
  int n_idle = SIM_ENGINES * SIM_SLOTS;
  int n_waiting = 0;

  for (size_t i = 0; i < SIM_MAX_RUNS; i++)
    {
      n_idle -= sim->runs[i].request && sim->runs[i].attempt;
      n_waiting += sim->runs[i].request && !sim->runs[i].attempt;
    }
  return n_idle < n_waiting ? n_idle : n_waiting;
}

static void
run_steps (Sim *sim, int n, LbTime period, LoadResult *result)
{
  for (int i = 0; i < n; i++)
    {
      LbTime end = sim->now + period;

      sim_start_step (sim);
      while (sim->now < end)
        {
          sim_run_until (sim, sim->now + SIM_TICK);
          result->idle_share += (double)count_usable_idle_slots (sim) * SIM_TICK / (double)period
                                / n / (SIM_ENGINES * SIM_SLOTS) / N_SEEDS;
        }
    }
}

/* Queues requests that no engine may take: its weights are too old. */
static void
submit_requests_for_newer_weights (Sim *sim, size_t n)
{
  LcRequestSpec spec = { .kind = LC_KIND_SAMPLE,
                         .repeatable = true,
                         .latest_start = 1,
                         .soft_deadline = LB_SEC,
                         .expected_tokens = 1,
                         .min_version = 2,
                         .deadline = LB_TIME_NEVER };
  LbTime retry_after = 0;
  LbError error;
  LbList actions;

  LB_COPY (spec.pool, "reader");
  LB_COPY (spec.caller, "trainer");
  lb_list_init (&actions);
  for (size_t i = 0; i < n; i++)
    {
      spec.id = ++sim->last_request;
      cr_assert (
          lc_dispatch_submit (sim->dispatch, &spec, sim->now, &actions, &retry_after, &error));
    }
  sim_perform_dispatch_actions (sim, &actions);
}

static LoadResult
run_load (double load, double mean_length, size_t n_for_newer_weights, bool is_on)
{
  static const double paces[] = { 0.7, 0.7, 1.7 };
  static Sim sim;
  LbTime period
      = (LbTime)(SIM_ITEMS * (mean_length + FIRST_PIECE_EVENTS) / CAPACITY_EVENTS / load * LB_SEC);
  LoadResult result = { 0 };
  LoadResult ignored = { 0 };

  for (unsigned seed = 1; seed <= N_SEEDS; seed++)
    {
      lb_switch_enable_all_optimisations ();
      if (!is_on)
        lb_switch_disable_optimisation ("condition");
      sim_init (&sim, paces, 3);
      gsl_rng_set (sim.random, seed);
      sim.noise_share = 0.15;
      sim.mean_length = mean_length;
      sim_run_steps (&sim, 0, 0);
      submit_requests_for_newer_weights (&sim, n_for_newer_weights);
      run_steps (&sim, WARM_UP_STEPS, period, &ignored);
      run_steps (&sim, N_STEPS, period, &result);
      result.step_seconds += sim_mean_step_seconds (&sim) / N_SEEDS;
      sim_clear (&sim);
    }
  lb_switch_enable_all_optimisations ();
  return result;
}

static void
compare_steps (double load, double mean_length, double max_ratio, double max_idle_share)
{
  LoadResult off = run_load (load, mean_length, 0, false);
  LoadResult on = run_load (load, mean_length, 0, true);

  cr_log_info ("load %.2f, length %.0f: step %.2f s, %.2f s if off; idle %.4f, %.4f if off", load,
               mean_length, on.step_seconds, off.step_seconds, on.idle_share, off.idle_share);
  cr_assert_leq (on.step_seconds, max_ratio * off.step_seconds, "step %.2f s, %.2f s if off",
                 on.step_seconds, off.step_seconds);
  cr_assert_leq (on.idle_share, max_idle_share, "%.3f of the slots' time idle while texts wait",
                 on.idle_share);
}

/* The queue is always longer than the number of requests that a round of sending may skip. If all
 * of these wait for a faster engine and the round then ends, the slow engines are idle for a fifth
 * of the slots' time, and the steps take up to 24% longer than without known paces. */
Test (saturation, short_texts_at_the_capacity)
{
  compare_steps (1.0, 30, TOLERANCE, 0.08);
}

Test (saturation, short_texts_above_the_capacity)
{
  compare_steps (1.1, 30, TOLERANCE, 0.03);
}

Test (saturation, long_texts_at_the_capacity)
{
  compare_steps (1.0, 60, TOLERANCE, 0.08);
}

Test (saturation, long_texts_above_the_capacity)
{
  compare_steps (1.1, 60, TOLERANCE, 0.03);
}

/* At middle load the queue becomes empty in each step, and waiting for a faster engine must still
 * be worth it. */
Test (saturation, short_texts_at_middle_load)
{
  compare_steps (0.8, 30, MIDDLE_LOAD_GAIN, 0.1);
}

/* Requests that wait for newer weights use up half of those that a round of sending may skip. The
 * slots of slow engines must be used nevertheless. */
Test (saturation, requests_for_newer_weights_do_not_hold_up_others)
{
  LoadResult result = run_load (1.0, 30, 8, true);

  cr_log_info ("step %.2f s, idle %.4f", result.step_seconds, result.idle_share);
  cr_assert_leq (result.idle_share, 0.08, "%.3f of the slots' time idle while texts wait",
                 result.idle_share);
}

#include "trainers-fixture.h"

/* --- replay of trainers that share engines, in virtual time --- */

#define N_STEPS 15
#define N_SEEDS 40
/* Work of the trainers, as a part of what all slots can do, with which a fair division just keeps
 * the period. Slots are idle while the last texts of a step end and while its trainer trains. */
#define SUSTAINED_LOAD 0.57
#define MIN_TRAINING_TIME (300 * LB_MSEC)
#define MAX_TRAINING_TIME (900 * LB_MSEC)
#define LOSS_STEP 4
#define LOSS_TIME (3 * LB_SEC)

typedef struct
{
  double load;          /* work of all trainers; 1: as much as engines of equal speed sustain */
  bool has_equal_texts; /* all trainers have texts of the same mean length */
  const double *speeds; /* each engine has a random one of them; NULL: all are equal */
  size_t n_speeds;
  bool is_capacity_known;
  bool has_time_loss; /* a trainer loses LOSS_TIME in a step; each trainer in turn, by seed */
} ReplayCase;

/* Submissions of a trainer that has one open step at a time. */
typedef struct
{
  LbTime next_at; /* earliest next submission, while no step is open */
  LbTime lag;     /* of the last submission */
} Schedule;

static LbTime
get_first_submission_time (int trainer)
{
  return LB_SEC + trainer * 700 * LB_MSEC;
}

static ReplayStep *
get_last_step (ReplayTrainer *trainer)
{
  return &trainer->steps[(trainer->next + N_OPEN - 1) % N_OPEN];
}

static void
submit_step (Replay *replay, int index, Schedule *schedule, int losing_trainer, LbTime now)
{
  const ReplayStep *step = replay_submit_step (replay, index, 0, now);

  schedule->lag = now - get_first_submission_time (index) - step->number * PERIOD;
  if (index == losing_trainer && step->number == LOSS_STEP)
    replay->trainers[index].paused_until = now + LOSS_TIME;
}

/* Ends the last step. Its texts that are not complete are cancelled. */
static void
end_step (Replay *replay, int index, Schedule *schedule, LbTime now)
{
  ReplayStep *step = get_last_step (&replay->trainers[index]);
  LbTime scheduled_at = step->submitted_at - schedule->lag + PERIOD;
  LbTime trained_at
      = now + replay_draw_training_time (replay, MIN_TRAINING_TIME, MAX_TRAINING_TIME);

  for (int i = 0; i < N_ENGINES; i++)
    if (replay_get_trainer_of_engine (replay, i) == index)
      replay_free_slots_of_engine (replay, i);
  step->is_open = false;
  schedule->next_at = trained_at > scheduled_at ? trained_at : scheduled_at;
  replay_record_step (replay, index, step, now);
}

static void
init_replay (Replay *replay, const ReplayCase *settings, unsigned long seed)
{
  double speed_sum = 0;

  replay_init (replay, seed);
  replay->are_speeds_known = settings->is_capacity_known;
  for (int i = 0; i < N_ENGINES; i++)
    {
      if (settings->speeds)
        replay->speeds[i]
            = settings->speeds[gsl_rng_uniform_int (replay->random, settings->n_speeds)];
      speed_sum += replay->speeds[i];
    }
  for (int i = 0; i < N_TRAINERS; i++)
    {
      double seconds
          = settings->load * SUSTAINED_LOAD * speed_sum * N_SLOTS * (double)PERIOD / (double)LB_SEC;
      double factor = settings->has_equal_texts ? 1 : length_factors[i];
      replay->trainers[i].mean_seconds = factor * seconds / (MEAN_TEXTS * N_TRAINERS);
    }
}

/* Runs the trainers until each has submitted its last step. Returns the largest difference of their
 * lags at that submission, in periods. losing_trainer: loses LOSS_TIME in LOSS_STEP; -1: none
 * does. */
static double
run_replay (Replay *replay, int losing_trainer)
{
  Schedule schedules[N_TRAINERS];
  LbTime least = LB_TIME_NEVER;
  LbTime most = 0;
  int n_running = N_TRAINERS;

  for (int i = 0; i < N_TRAINERS; i++)
    schedules[i] = (Schedule){ .next_at = get_first_submission_time (i) };
  for (LbTime now = LB_SEC; n_running > 0; now += TICK)
    {
      n_running = 0;
      for (int i = 0; i < N_TRAINERS; i++)
        {
          ReplayTrainer *trainer = &replay->trainers[i];
          n_running += trainer->next < N_STEPS;
          /* A trainer that is done goes on, so that the load on the others stays the same. */
          if (get_last_step (trainer)->is_open || now < schedules[i].next_at)
            continue;
          submit_step (replay, i, &schedules[i], losing_trainer, now);
          if (trainer->next == N_STEPS)
            {
              least = schedules[i].lag < least ? schedules[i].lag : least;
              most = schedules[i].lag > most ? schedules[i].lag : most;
            }
        }
      replay_run_tick (replay, now);
      for (int i = 0; i < N_TRAINERS; i++)
        {
          const ReplayStep *step = get_last_step (&replay->trainers[i]);
          if (step->is_open && step->n_done * 10 >= step->n_texts * 9)
            end_step (replay, i, &schedules[i], now);
        }
    }
  return (double)(most - least) / (double)PERIOD;
}

typedef struct
{
  double mean_spread; /* of the seeds: difference of lag at the last submission, in periods */
  double worst_spread;
  double mean_moves;
} ReplayResult;

static ReplayResult
run_replays (const ReplayCase *settings, bool is_on)
{
  ReplayResult result = { 0 };

  set_lag_shares_switch (is_on);
  for (unsigned long seed = 1; seed <= N_SEEDS; seed++)
    {
      Replay replay;
      init_replay (&replay, settings, seed);
      double spread = run_replay (&replay, settings->has_time_loss ? (int)(seed % N_TRAINERS) : -1);
      result.mean_spread += spread / N_SEEDS;
      result.worst_spread = fmax (result.worst_spread, spread);
      result.mean_moves += (double)replay.n_moves / N_SEEDS;
      replay_clear (&replay);
    }
  set_lag_shares_switch (true);
  printf ("load %.1f uneven %d known %d on %d: spread %.2f, worst %.2f; %.1f moves\n",
          settings->load, settings->speeds != NULL, settings->is_capacity_known, is_on,
          result.mean_spread, result.worst_spread, result.mean_moves);
  return result;
}

/* One trainer loses 3 s in a step. By demand alone a trainer that is behind submits less, so it
 * gets fewer engines and falls behind further; trainers ended up to 18 steps apart. */
Test (engine_shares, trainers_end_within_a_step_of_each_other)
{
  static const double loads[] = { 1.0, 1.3, 1.9 };

  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      const ReplayCase settings = { .load = loads[i], .has_time_loss = true };
      ReplayResult off = run_replays (&settings, false);
      ReplayResult on = run_replays (&settings, true);
      cr_expect_leq (on.mean_spread, 1, "load %.1f: %.2f steps", loads[i], on.mean_spread);
      cr_expect_leq (on.worst_spread, off.mean_spread / 2, "load %.1f: %.2f steps, off %.2f",
                     loads[i], on.worst_spread, off.mean_spread);
    }
}

/* Engines that are moved although all trainers are equal and on schedule load weights for nothing.
 */
Test (engine_shares, even_load_moves_no_engine)
{
  const ReplayCase settings = { .load = 0.8, .has_equal_texts = true };

  cr_expect_eq (run_replays (&settings, true).mean_moves, 0);
}

/* A third of the engines has 2.4 times the speed of the others. Lag alone corrects the division
 * only after trainers have fallen behind. */
Test (engine_shares, known_capacities_reduce_the_lag_on_uneven_engines)
{
  static const double uneven[] = { 0.7, 0.7, 1.7 };
  ReplayCase settings = { .load = 1.3, .speeds = uneven, .n_speeds = 3, .has_time_loss = true };
  ReplayResult off = run_replays (&settings, false);
  ReplayResult by_lag = run_replays (&settings, true);

  settings.is_capacity_known = true;
  ReplayResult by_capacity = run_replays (&settings, true);
  cr_expect_leq (by_lag.mean_spread, off.mean_spread / 2);
  cr_expect_lt (by_capacity.mean_spread, by_lag.mean_spread);
}

/* --- division by given lags --- */

#define MAX_MODELS 6
#define MAX_ENGINES 60

typedef struct
{
  LcPlanEntry engines[MAX_ENGINES];
  double capacities[MAX_ENGINES];
  size_t n_engines;
  LcModelShare shares[MAX_MODELS];
  size_t n_models;
  LcEnginePlan plan;
} Division;

/* Makes a division with even demand, in which the engines serve the models in turn. */
static void
division_init (Division *division, size_t n_engines, size_t n_models)
{
  memset (division, 0, sizeof *division);
  division->n_engines = n_engines;
  division->n_models = n_models;
  for (size_t i = 0; i < n_models; i++)
    {
      snprintf (division->shares[i].model, LB_NAME_MAX, "m-%zu", i);
      division->shares[i].demand = 1;
    }
  for (size_t i = 0, model = 0; i < n_engines; i++, model = model + 1 < n_models ? model + 1 : 0)
    {
      snprintf (division->engines[i].engine, LB_NAME_MAX, "i-%02zu", i);
      LB_COPY (division->engines[i].model, division->shares[model].model);
      division->capacities[i] = 1;
    }
}

/* Divides the engines. Returns the number of engines that moved. */
static size_t
division_run (Division *division)
{
  size_t n_moved = 0;

  for (size_t i = 0; i < division->n_models; i++)
    {
      if (division->shares[i].correction <= 0)
        division->shares[i].correction = 1;
      division->shares[i].capacity = 0;
      division->shares[i].n_engines = 0;
    }
  lc_engine_plan_divide (&division->plan, division->engines, division->capacities,
                         division->n_engines, division->shares, division->n_models);
  cr_assert_eq (division->plan.n_entries, division->n_engines);
  for (size_t i = 0; i < division->n_engines; i++)
    {
      const char *model = lc_engine_plan_find (&division->plan, division->engines[i].engine)->model;
      n_moved += strcmp (model, division->engines[i].model) != 0;
      LB_COPY (division->engines[i].model, model);
    }
  return n_moved;
}

/* However far a trainer is behind, one that is ahead must go on. */
Test (engine_shares, model_that_is_ahead_keeps_half_of_its_share)
{
  Division division;

  division_init (&division, 44, 4);
  division.shares[0].lag_steps = 50;
  cr_assert_gt (division_run (&division), 0);
  for (size_t i = 1; i < 4; i++)
    cr_assert_geq (division.shares[i].n_engines, 6, "share by demand: 11");
  lc_engine_plan_clear (&division.plan);
}

/* A trainer of a low priority must not take engines from one of a higher priority, and the latter
 * is served first if both are behind. */
Test (engine_shares, higher_priority_comes_first)
{
  Division division;

  division_init (&division, 40, 4);
  division.shares[0].priority = division.shares[1].priority = 9;
  division.shares[2].lag_steps = division.shares[3].lag_steps = 5;
  cr_assert_eq (division_run (&division), 0);
  division.shares[0].lag_steps = 1;
  cr_assert_gt (division_run (&division), 0);
  cr_assert_geq (division.shares[0].n_engines + division.shares[1].n_engines, 28);
  cr_assert_gt (division.shares[0].n_engines, division.shares[1].n_engines);
  cr_assert_geq (division.shares[2].n_engines, 5);
  lc_engine_plan_clear (&division.plan);
}

/* Records the rows of a step that are visible at the time `now`. Trainer 0 submits each odd step 3
 * s late, since the step before it is long, and catches up in a short step. */
static void
record_alternating_step (LcTrainerLags *lags, int trainer, int index, LbTime now)
{
  bool is_late = trainer == 0 && index % 2;
  LbTime long_duration = trainer == 0 ? 6600 * LB_MSEC : (2 + index % 3) * LB_SEC / 2;
  LcTrainerStep step
      = { .tokens = 1000, .submitted_at = 100 * LB_SEC + index * PERIOD + is_late * 3 * LB_SEC };
  LbTime ended_at = step.submitted_at + (is_late ? 300 * LB_MSEC : long_duration);

  LB_COPY (step.model, models[trainer]);
  snprintf (step.batch, LB_NAME_MAX, "%d-%d", trainer, index);
  step.ended_at = now >= ended_at ? ended_at : 0;
  if (index >= 0 && now >= step.submitted_at)
    lc_trainer_lags_record_step (lags, &step, now);
}

/* A trainer whose steps are long and short in turn is late at every second submission. Engines that
 * followed this lag would load weights twice in each pair of steps. */
Test (engine_shares, lag_that_alternates_moves_no_engine_back_and_forth)
{
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LcDemand *demand = lc_demand_new ();
  Division division;
  size_t n_moves = 0;
  size_t n_late_moves = 0;

  division_init (&division, N_ENGINES, N_TRAINERS);
  for (int tick = 0; tick < 200; tick++)
    {
      LbTime now = 100 * LB_SEC + tick * LB_SEC;
      for (int i = 0; i < 3 * N_TRAINERS; i++)
        record_alternating_step (lags, i % N_TRAINERS, tick / 4 - i / N_TRAINERS, now);
      for (int i = 0; i < N_TRAINERS; i++)
        lc_trainer_lags_record_capacity (lags, models[i], (double)division.shares[i].n_engines,
                                         now);
      lc_trainer_lags_estimate (lags, now);
      lc_engine_shares_init (division.shares, models, N_TRAINERS, demand, lags, now);
      size_t n_moved = division_run (&division);
      n_moves += n_moved;
      n_late_moves += tick >= 40 ? n_moved : 0;
    }
  cr_assert_gt (n_moves, 0, "the lag must have been seen");
  cr_assert_eq (n_late_moves, 0);
  lc_engine_plan_clear (&division.plan);
  lc_trainer_lags_free (lags);
  lc_demand_free (demand);
}

/* Engines come, go and differ, and demand, lag and priority change at random. The division must
 * end, assign each engine once, leave no model without an engine, and then be stable. With three or
 * more models, two of them could take the same engine from each other in an endless loop. */
Test (engine_shares, division_ends_and_is_stable_for_any_lag, .timeout = 60)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);

  for (unsigned long seed = 1; seed <= 2000; seed++)
    {
      Division division;
      gsl_rng_set (random, seed);
      size_t n_models = 2 + gsl_rng_uniform_int (random, MAX_MODELS - 1);
      division_init (&division, n_models + 1 + gsl_rng_uniform_int (random, MAX_ENGINES - n_models),
                     n_models);
      bool is_uneven = gsl_rng_uniform_int (random, 2);
      for (int round = 0; round < 10; round++)
        {
          size_t largest = division.n_engines;
          if (gsl_rng_uniform_int (random, 3) == 0 && division.n_engines > 2 * n_models)
            division.n_engines -= gsl_rng_uniform_int (random, 3);
          for (size_t i = 0; i < n_models; i++)
            {
              LcModelShare *share = &division.shares[i];
              share->demand = gsl_rng_uniform_int (random, 5) ? gsl_rng_uniform (random) : 0;
              share->lag_steps
                  = gsl_rng_uniform_int (random, 3) ? 10 * gsl_rng_uniform (random) : 0;
              share->priority = (int64_t)gsl_rng_uniform_int (random, 3);
            }
          for (size_t i = 0; is_uneven && i < division.n_engines; i++)
            division.capacities[i] = 0.5 + 2 * gsl_rng_uniform (random);
          bool has_engine[MAX_MODELS] = { false };
          for (size_t i = 0; i < division.n_engines; i++)
            has_engine[division.engines[i].model[2] - '0'] = true;
          division_run (&division);
          size_t n_assigned = 0;
          double share_sum = 0;
          for (size_t i = 0; i < n_models; i++)
            {
              n_assigned += division.shares[i].n_engines;
              share_sum += division.shares[i].share;
              cr_assert (division.shares[i].n_engines > 0 || !has_engine[i], "seed %lu", seed);
              cr_assert_geq (division.shares[i].share, division.shares[i].min_share - 1e-9,
                             "seed %lu", seed);
            }
          cr_assert_eq (n_assigned, division.n_engines, "seed %lu", seed);
          cr_assert_leq (n_assigned, largest);
          cr_assert_float_eq (share_sum, (double)division.n_engines, 1e-6, "seed %lu", seed);
          cr_assert_eq (division_run (&division), 0, "seed %lu: not stable", seed);
        }
      lc_engine_plan_clear (&division.plan);
    }
  gsl_rng_free (random);
}

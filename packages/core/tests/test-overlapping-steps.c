#include "lc-engine-shares.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Replay, in virtual time, of trainers that request one step ahead: step k is submitted at its
 * scheduled time, or when step k - 2 has ended and was trained. */

#define N_TRAINERS 4
#define N_ENGINES 44
#define N_SLOTS 6
#define N_STEPS 40
#define N_SEEDS 12 /* a multiple of N_TRAINERS: each trainer starts first as often */
#define N_OPEN 2
#define MAX_TEXTS 112
#define MEAN_TEXTS 96
#define PERIOD (4 * LB_SEC)
#define MIN_TRAINING_TIME (500 * LB_MSEC)
#define MAX_TRAINING_TIME (1000 * LB_MSEC)
#define LOAD_TIME (900 * LB_MSEC)
#define MIN_DIVISION_PERIOD (2 * LB_SEC)
#define TICK (20 * LB_MSEC)

static const LbName models[N_TRAINERS] = { "m-0", "m-1", "m-2", "m-3" };

typedef struct
{
  double left[MAX_TEXTS]; /* seconds that each text still needs; the longest text is first */
  bool is_running[MAX_TEXTS];
  int n_texts;
  int n_done;
  int number;
  bool is_open;
  LbTime submitted_at;
} ReplayStep;

typedef struct
{
  ReplayStep steps[N_OPEN]; /* step k is at index k % N_OPEN */
  int next;                 /* number of the next step */
  LbTime trained_at[N_OPEN];
  LbTime first_at;
  double mean_seconds; /* mean time of a text, without the longest */
  double late_steps;   /* sum over the steps, in periods */
} ReplayTrainer;

typedef struct
{
  double load;            /* work of all trainers; 1: all that the slots can do */
  double longest_seconds; /* of the longest text of each step of all trainers but the last */
  double last_longest_seconds;
  bool has_uneven_texts;
} ReplayCase;

typedef struct
{
  const ReplayCase *settings;
  ReplayTrainer trainers[N_TRAINERS];
  LcPlanEntry engines[N_ENGINES];
  LbTime loads_until[N_ENGINES];
  struct
  {
    ReplayStep *step; /* NULL: the slot is free */
    int text;
  } slots[N_ENGINES][N_SLOTS];
  int n_moves;
  LbTime next_division_at;
  LcEnginePlan plan;
  LcDemand *demand;
  LcTrainerLags *lags;
  gsl_rng *random;
} Replay;

static int
get_trainer_of_engine (const Replay *replay, int engine)
{
  return replay->engines[engine].model[2] - '0';
}

static void
record_step (Replay *replay, int index, const ReplayStep *step, LbTime ended_at)
{
  LcTrainerStep recorded = { .submitted_at = step->submitted_at,
                             .ended_at = ended_at,
                             .has_step = true,
                             .step = step->number,
                             .tokens = step->n_texts * replay->trainers[index].mean_seconds * 100 };

  LB_COPY (recorded.model, models[index]);
  snprintf (recorded.batch, LB_NAME_MAX, "%d-%d", index, step->number);
  lc_trainer_lags_record_step (replay->lags, &recorded, step->submitted_at);
  if (ended_at == 0)
    lc_demand_add (replay->demand, models[index], recorded.tokens, step->submitted_at);
}

static void
submit_step_if_due (Replay *replay, int index, LbTime now)
{
  ReplayTrainer *trainer = &replay->trainers[index];
  ReplayStep *step = &trainer->steps[trainer->next % N_OPEN];
  LbTime scheduled_at = trainer->first_at + trainer->next * PERIOD;

  if (step->is_open || now < scheduled_at || now < trainer->trained_at[trainer->next % N_OPEN])
    return;
  *step = (ReplayStep){ .number = trainer->next++, .is_open = true, .submitted_at = now };
  if (step->number < N_STEPS)
    trainer->late_steps += (double)(now - scheduled_at) / (double)PERIOD;
  step->n_texts = 80 + (int)gsl_rng_uniform_int (replay->random, 33);
  for (int i = 0; i < step->n_texts; i++)
    step->left[i] = gsl_ran_gamma (replay->random, 4, trainer->mean_seconds / 4);
  step->left[0] = index == N_TRAINERS - 1 ? replay->settings->last_longest_seconds
                                          : replay->settings->longest_seconds;
  record_step (replay, index, step, 0);
}

static void
end_step_if_done (Replay *replay, int index, ReplayStep *step, LbTime now)
{
  ReplayTrainer *trainer = &replay->trainers[index];
  LbTime earlier = trainer->trained_at[(step->number + 1) % N_OPEN];

  if (!step->is_open || step->n_done < step->n_texts)
    return;
  step->is_open = false;
  trainer->trained_at[step->number % N_OPEN]
      = (now > earlier ? now : earlier) + MIN_TRAINING_TIME
        + (LbTime)gsl_rng_uniform_int (replay->random, MAX_TRAINING_TIME - MIN_TRAINING_TIME);
  record_step (replay, index, step, now);
}

/* Assigns a waiting text of the oldest open step to a free slot. */
static void
fill_slot (Replay *replay, int engine, int slot)
{
  ReplayTrainer *trainer = &replay->trainers[get_trainer_of_engine (replay, engine)];

  for (int number = trainer->next >= N_OPEN ? trainer->next - N_OPEN : 0; number < trainer->next;
       number++)
    {
      ReplayStep *step = &trainer->steps[number % N_OPEN];
      for (int i = 0; step->is_open && i < step->n_texts; i++)
        if (step->left[i] > 0 && !step->is_running[i])
          {
            step->is_running[i] = true;
            replay->slots[engine][slot].step = step;
            replay->slots[engine][slot].text = i;
            return;
          }
    }
}

static void
run_engine (Replay *replay, int engine, LbTime now)
{
  if (now < replay->loads_until[engine])
    return;
  for (int i = 0; i < N_SLOTS; i++)
    {
      if (!replay->slots[engine][i].step)
        fill_slot (replay, engine, i);
      ReplayStep *step = replay->slots[engine][i].step;
      if (!step)
        continue;
      int text = replay->slots[engine][i].text;
      step->left[text] -= (double)TICK / (double)LB_SEC;
      if (step->left[text] > 0)
        continue;
      step->n_done++;
      replay->slots[engine][i].step = NULL;
    }
}

static void
move_engine (Replay *replay, int engine, const char *model, LbTime now)
{
  for (int i = 0; i < N_SLOTS; i++)
    {
      if (replay->slots[engine][i].step)
        replay->slots[engine][i].step->is_running[replay->slots[engine][i].text] = false;
      replay->slots[engine][i].step = NULL;
    }
  LB_COPY (replay->engines[engine].model, model);
  replay->loads_until[engine] = now + LOAD_TIME;
  replay->n_moves++;
}

static void
divide_engines (Replay *replay, LbTime now)
{
  LcModelShare shares[N_TRAINERS];
  double capacity[N_TRAINERS] = { 0 };

  for (int i = 0; i < N_ENGINES; i++)
    capacity[get_trainer_of_engine (replay, i)]++;
  for (int i = 0; i < N_TRAINERS; i++)
    lc_trainer_lags_record_capacity (replay->lags, models[i], capacity[i], now);
  lc_trainer_lags_estimate (replay->lags, now);
  LbTime period = lc_trainer_lags_get_shortest_period (replay->lags);
  bool is_on = lb_switch_is_on (LB_SWITCH_LAG_SHARES);
  replay->next_division_at
      = now + (is_on && period > MIN_DIVISION_PERIOD ? period : MIN_DIVISION_PERIOD);
  lc_engine_shares_init (shares, models, N_TRAINERS, replay->demand, replay->lags, now);
  lc_engine_plan_divide (&replay->plan, replay->engines, NULL, N_ENGINES, shares, N_TRAINERS);
  for (int i = 0; i < N_ENGINES; i++)
    {
      const LcPlanEntry *entry = lc_engine_plan_find (&replay->plan, replay->engines[i].engine);
      if (strcmp (entry->model, replay->engines[i].model) != 0)
        move_engine (replay, i, entry->model, now);
    }
}

static void
replay_init (Replay *replay, const ReplayCase *settings, unsigned long seed)
{
  static const double factors[N_TRAINERS] = { 0.6, 0.9, 1.1, 1.4 };
  double seconds
      = settings->load * N_ENGINES * N_SLOTS * (double)PERIOD / (double)LB_SEC / N_TRAINERS;

  memset (replay, 0, sizeof *replay);
  replay->settings = settings;
  replay->demand = lc_demand_new ();
  replay->lags = lc_trainer_lags_new ();
  replay->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (replay->random, seed);
  for (int i = 0; i < N_ENGINES; i++)
    {
      snprintf (replay->engines[i].engine, LB_NAME_MAX, "i-%02d", i);
      LB_COPY (replay->engines[i].model, models[i % N_TRAINERS]);
    }
  for (int i = 0; i < N_TRAINERS; i++)
    replay->trainers[i]
        = (ReplayTrainer){ .first_at = LB_SEC + (LbTime)((i + seed) % N_TRAINERS) * 700 * LB_MSEC,
                           .mean_seconds = (settings->has_uneven_texts ? factors[i] : 1)
                                           * (seconds - settings->longest_seconds) / MEAN_TEXTS };
}

static void
replay_clear (Replay *replay)
{
  lc_engine_plan_clear (&replay->plan);
  lc_demand_free (replay->demand);
  lc_trainer_lags_free (replay->lags);
  gsl_rng_free (replay->random);
}

static bool
is_replay_done (const Replay *replay)
{
  for (int i = 0; i < N_TRAINERS; i++)
    if (replay->trainers[i].next < N_STEPS)
      return false;
  return true;
}

static void
run_replay (Replay *replay)
{
  for (LbTime now = LB_SEC; !is_replay_done (replay); now += TICK)
    {
      for (int i = 0; i < N_TRAINERS; i++)
        submit_step_if_due (replay, i, now);
      if (now >= replay->next_division_at)
        divide_engines (replay, now);
      for (int i = 0; i < N_ENGINES; i++)
        run_engine (replay, i, now);
      for (int i = 0; i < N_TRAINERS; i++)
        for (int j = 0; j < N_OPEN; j++)
          end_step_if_done (replay, i, &replay->trainers[i].steps[j], now);
    }
}

typedef struct
{
  double moves;                  /* mean of the seeds */
  double late_steps[N_TRAINERS]; /* mean of the steps and seeds */
} ReplayResult;

static ReplayResult
run_replays (const ReplayCase *settings, bool is_on)
{
  ReplayResult result = { 0 };

  if (!is_on)
    lb_switch_disable_optimisation ("lag_shares");
  for (unsigned long seed = 1; seed <= N_SEEDS; seed++)
    {
      Replay replay;
      replay_init (&replay, settings, seed);
      run_replay (&replay);
      result.moves += (double)replay.n_moves / N_SEEDS;
      for (int i = 0; i < N_TRAINERS; i++)
        result.late_steps[i] += replay.trainers[i].late_steps / N_STEPS / N_SEEDS;
      replay_clear (&replay);
    }
  lb_switch_enable_all_optimisations ();
  printf ("load %.1f longest %.1f, %.1f uneven %d on %d: moves %.1f; late %.2f %.2f %.2f %.2f\n",
          settings->load, settings->longest_seconds, settings->last_longest_seconds,
          settings->has_uneven_texts, is_on, result.moves, result.late_steps[0],
          result.late_steps[1], result.late_steps[2], result.late_steps[3]);
  return result;
}

/* Steps that end with their longest text do not get shorter by more engines, so engines that move
 * to a late trainer load weights for nothing and are lost to the others. By requested tokens, the
 * trainer that starts first gets more than its share at the start; so the order of the starts
 * differs from seed to seed. */
Test (overlapping_steps, longest_texts_move_no_engines, .timeout = 120)
{
  static const ReplayCase cases[] = {
    { .load = 0.4, .longest_seconds = 7, .last_longest_seconds = 7 },
    { .load = 0.9, .longest_seconds = 7, .last_longest_seconds = 7 },
    { .load = 0.4, .longest_seconds = 7, .last_longest_seconds = 8 },
    { .load = 0.9, .longest_seconds = 7, .last_longest_seconds = 8 },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      ReplayResult off = run_replays (&cases[i], false);
      ReplayResult on = run_replays (&cases[i], true);
      cr_expect_leq (on.moves, off.moves / 2, "case %zu: %.1f moves, off %.1f", i, on.moves,
                     off.moves);
      for (int j = 0; j < N_TRAINERS; j++)
        cr_expect_leq (on.late_steps[j], off.late_steps[j] + 0.1, "case %zu, trainer %d: %.2f", i,
                       j, on.late_steps[j]);
    }
}

/* Trainers with longer texts fall behind by requested tokens. Those with shorter texts lose engines
 * to them, so only the one that is furthest behind must not be later. */
Test (overlapping_steps, furthest_trainer_gains_with_uneven_texts, .timeout = 120)
{
  static const double loads[] = { 0.4, 0.9 };

  for (size_t i = 0; i < sizeof loads / sizeof loads[0]; i++)
    {
      const ReplayCase settings = {
        .load = loads[i], .longest_seconds = 7, .last_longest_seconds = 7, .has_uneven_texts = true
      };
      ReplayResult off = run_replays (&settings, false);
      ReplayResult on = run_replays (&settings, true);
      double off_most = 0;
      double on_most = 0;
      for (int j = 0; j < N_TRAINERS; j++)
        {
          off_most = fmax (off_most, off.late_steps[j]);
          on_most = fmax (on_most, on.late_steps[j]);
        }
      cr_expect_leq (on.moves, off.moves / 2);
      cr_expect_leq (on_most, off_most + 0.1);
    }
}

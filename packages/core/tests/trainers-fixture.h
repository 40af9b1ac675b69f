#ifndef TRAINERS_FIXTURE_H
#define TRAINERS_FIXTURE_H

#include "lc-engine-shares.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* Virtual-time replay of trainers that share engines. The fixture runs the texts of the open steps
 * and divides the engines; the test decides when a step is submitted and when it ends. */

#define N_TRAINERS 4
#define N_ENGINES 44
#define N_SLOTS 6
#define N_OPEN 2 /* most open steps of a trainer */
#define MAX_TEXTS 112
#define MEAN_TEXTS 96
#define PERIOD (4 * LB_SEC)
#define LOAD_TIME (900 * LB_MSEC)
/* Least time between two divisions, as in ln-engine-plans.c. */
#define MIN_DIVISION_PERIOD (2 * LB_SEC)
#define TICK (20 * LB_MSEC)

static const LbName models[N_TRAINERS] = { "m-0", "m-1", "m-2", "m-3" };
/* Relative text lengths of the trainers in replays with uneven texts. */
static const double length_factors[N_TRAINERS] = { 0.6, 0.9, 1.1, 1.4 };

typedef struct
{
  double left[MAX_TEXTS]; /* seconds of a slot of usual speed that each text still needs */
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
  double mean_seconds;      /* mean of the random slot times of texts */
  LbTime paused_until;      /* until then, no engine works on the trainer's texts */
} ReplayTrainer;

typedef struct
{
  ReplayStep *step; /* NULL: the slot is free */
  int text;
} ReplaySlot;

typedef struct
{
  ReplayTrainer trainers[N_TRAINERS];
  bool has_step_numbers; /* the trainers number their steps */
  LcPlanEntry engines[N_ENGINES];
  double speeds[N_ENGINES];
  bool are_speeds_known; /* the division uses the speeds */
  LbTime loads_until[N_ENGINES];
  ReplaySlot slots[N_ENGINES][N_SLOTS];
  int n_moves;
  LbTime next_division_at;
  LcEnginePlan plan;
  LcDemand *demand;
  LcTrainerLags *lags;
  gsl_rng *random;
} Replay;

/* Assigns the engines to the trainers in turn. The engines have the usual speed. */
static inline void
replay_init (Replay *replay, unsigned long seed)
{
  memset (replay, 0, sizeof *replay);
  replay->demand = lc_demand_new ();
  replay->lags = lc_trainer_lags_new ();
  replay->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (replay->random, seed);
  for (int i = 0; i < N_ENGINES; i++)
    {
      snprintf (replay->engines[i].engine, LB_NAME_MAX, "i-%02d", i);
      LB_COPY (replay->engines[i].model, models[i % N_TRAINERS]);
      replay->speeds[i] = 1;
    }
}

static inline void
replay_clear (Replay *replay)
{
  lc_engine_plan_clear (&replay->plan);
  lc_demand_free (replay->demand);
  lc_trainer_lags_free (replay->lags);
  gsl_rng_free (replay->random);
}

static inline int
replay_get_trainer_of_engine (const Replay *replay, int engine)
{
  return replay->engines[engine].model[2] - '0';
}

/* Records the step's row. ended_at: 0 if the step is open. */
static inline void
replay_record_step (Replay *replay, int trainer, const ReplayStep *step, LbTime ended_at)
{
  LcTrainerStep row = { .submitted_at = step->submitted_at,
                        .ended_at = ended_at,
                        .has_step = replay->has_step_numbers,
                        .step = replay->has_step_numbers ? step->number : 0,
                        .tokens = step->n_texts * replay->trainers[trainer].mean_seconds * 100 };

  LB_COPY (row.model, models[trainer]);
  snprintf (row.batch, LB_NAME_MAX, "%d-%d", trainer, step->number);
  lc_trainer_lags_record_step (replay->lags, &row, step->submitted_at);
  if (ended_at == 0)
    lc_demand_add (replay->demand, models[trainer], row.tokens, step->submitted_at);
}

/* Submits the trainer's next step. longest_seconds: slot time of the longest text; 0: random, like
 * that of the others. */
static inline ReplayStep *
replay_submit_step (Replay *replay, int index, double longest_seconds, LbTime now)
{
  ReplayTrainer *trainer = &replay->trainers[index];
  ReplayStep *step = &trainer->steps[trainer->next % N_OPEN];

  *step = (ReplayStep){ .number = trainer->next++, .is_open = true, .submitted_at = now };
  step->n_texts = 80 + (int)gsl_rng_uniform_int (replay->random, 33);
  for (int i = 0; i < step->n_texts; i++)
    step->left[i] = gsl_ran_gamma (replay->random, 4, trainer->mean_seconds / 4);
  if (longest_seconds > 0)
    step->left[0] = longest_seconds;
  replay_record_step (replay, index, step, 0);
  return step;
}

static inline LbTime
replay_draw_training_time (Replay *replay, LbTime min, LbTime max)
{
  return min + (LbTime)gsl_rng_uniform_int (replay->random, max - min);
}

/* The texts that the engine was running wait again. */
static inline void
replay_free_slots_of_engine (Replay *replay, int engine)
{
  for (int i = 0; i < N_SLOTS; i++)
    {
      ReplaySlot *slot = &replay->slots[engine][i];
      if (slot->step)
        slot->step->is_running[slot->text] = false;
      slot->step = NULL;
    }
}

static inline void
replay_divide_engines (Replay *replay, LbTime now)
{
  LcModelShare shares[N_TRAINERS];
  double capacity[N_TRAINERS] = { 0 };

  for (int i = 0; i < N_ENGINES; i++)
    capacity[replay_get_trainer_of_engine (replay, i)]
        += replay->are_speeds_known ? replay->speeds[i] : 1;
  for (int i = 0; i < N_TRAINERS; i++)
    lc_trainer_lags_record_capacity (replay->lags, models[i], capacity[i], now);
  lc_trainer_lags_estimate (replay->lags, now);
  LbTime period = lc_trainer_lags_get_shortest_period (replay->lags);
  bool is_on = lb_switch_is_on (LB_SWITCH_LAG_SHARES);
  replay->next_division_at
      = now + (is_on && period > MIN_DIVISION_PERIOD ? period : MIN_DIVISION_PERIOD);
  lc_engine_shares_init (shares, models, N_TRAINERS, replay->demand, replay->lags, now);
  lc_engine_plan_divide (&replay->plan, replay->engines,
                         replay->are_speeds_known ? replay->speeds : NULL, N_ENGINES, shares,
                         N_TRAINERS);
  for (int i = 0; i < N_ENGINES; i++)
    {
      const LcPlanEntry *entry = lc_engine_plan_find (&replay->plan, replay->engines[i].engine);
      if (strcmp (entry->model, replay->engines[i].model) == 0)
        continue;
      replay_free_slots_of_engine (replay, i);
      replay->n_moves++;
      LB_COPY (replay->engines[i].model, entry->model);
      replay->loads_until[i] = now + LOAD_TIME;
    }
}

/* Assigns a waiting text of the trainer's oldest open step to a free slot. */
static inline void
replay_fill_slot (ReplayTrainer *trainer, ReplaySlot *slot)
{
  for (int number = trainer->next >= N_OPEN ? trainer->next - N_OPEN : 0; number < trainer->next;
       number++)
    {
      ReplayStep *step = &trainer->steps[number % N_OPEN];
      for (int i = 0; step->is_open && i < step->n_texts; i++)
        if (step->left[i] > 0 && !step->is_running[i])
          {
            step->is_running[i] = true;
            *slot = (ReplaySlot){ .step = step, .text = i };
            return;
          }
    }
}

/* Generates the texts at the engine for one tick. */
static inline void
replay_run_engine (Replay *replay, int engine, LbTime now)
{
  ReplayTrainer *trainer = &replay->trainers[replay_get_trainer_of_engine (replay, engine)];

  if (now < trainer->paused_until || now < replay->loads_until[engine])
    return;
  for (int i = 0; i < N_SLOTS; i++)
    {
      ReplaySlot *slot = &replay->slots[engine][i];
      if (!slot->step)
        replay_fill_slot (trainer, slot);
      if (!slot->step)
        continue;
      slot->step->left[slot->text] -= replay->speeds[engine] * (double)TICK / (double)LB_SEC;
      if (slot->step->left[slot->text] > 0)
        continue;
      slot->step->n_done++;
      slot->step = NULL;
    }
}

/* Divides the engines if that is due, then runs them for one tick. */
static inline void
replay_run_tick (Replay *replay, LbTime now)
{
  if (now >= replay->next_division_at)
    replay_divide_engines (replay, now);
  for (int i = 0; i < N_ENGINES; i++)
    replay_run_engine (replay, i, now);
}

static inline void
set_lag_shares_switch (bool is_on)
{
  lb_switch_enable_all_optimisations ();
  if (!is_on)
    lb_switch_disable_optimisation ("lag_shares");
}

#endif

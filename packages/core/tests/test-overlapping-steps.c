#include "trainers-fixture.h"

/* Replay, in virtual time, of trainers that request one step ahead: step k is submitted at its
 * scheduled time, or when step k - 2 has ended and was trained. */

#define N_STEPS 40
#define N_SEEDS 12 /* a multiple of N_TRAINERS: each trainer starts first as often */
#define MIN_TRAINING_TIME (500 * LB_MSEC)
#define MAX_TRAINING_TIME (1000 * LB_MSEC)

typedef struct
{
  double load;            /* work of all trainers; 1: all that the slots can do */
  double longest_seconds; /* of the longest text of each step of all trainers but the last */
  double last_longest_seconds;
  bool has_uneven_texts;
} ReplayCase;

typedef struct
{
  LbTime trained_at[N_OPEN]; /* when step k was trained, at index k % N_OPEN */
  LbTime first_at;
  double late_steps; /* sum over the steps, in periods */
} Schedule;

static void
submit_step_if_due (
    Replay *replay, int index, Schedule *schedule, const ReplayCase *settings, LbTime now)
{
  int number = replay->trainers[index].next;
  LbTime scheduled_at = schedule->first_at + number * PERIOD;

  if (replay->trainers[index].steps[number % N_OPEN].is_open || now < scheduled_at
      || now < schedule->trained_at[number % N_OPEN])
    return;
  if (number < N_STEPS)
    schedule->late_steps += (double)(now - scheduled_at) / (double)PERIOD;
  replay_submit_step (replay, index,
                      index == N_TRAINERS - 1 ? settings->last_longest_seconds
                                              : settings->longest_seconds,
                      now);
}

static void
end_step_if_done (Replay *replay, int index, Schedule *schedule, ReplayStep *step, LbTime now)
{
  LbTime earlier = schedule->trained_at[(step->number + 1) % N_OPEN];

  if (!step->is_open || step->n_done < step->n_texts)
    return;
  step->is_open = false;
  schedule->trained_at[step->number % N_OPEN]
      = (now > earlier ? now : earlier)
        + replay_draw_training_time (replay, MIN_TRAINING_TIME, MAX_TRAINING_TIME);
  replay_record_step (replay, index, step, now);
}

static void
init_replay (Replay *replay, Schedule *schedules, const ReplayCase *settings, unsigned long seed)
{
  double seconds
      = settings->load * N_ENGINES * N_SLOTS * (double)PERIOD / (double)LB_SEC / N_TRAINERS;

  replay_init (replay, seed);
  replay->has_step_numbers = true;
  for (int i = 0; i < N_TRAINERS; i++)
    {
      schedules[i]
          = (Schedule){ .first_at = LB_SEC + (LbTime)((i + seed) % N_TRAINERS) * 700 * LB_MSEC };
      replay->trainers[i].mean_seconds = (settings->has_uneven_texts ? length_factors[i] : 1)
                                         * (seconds - settings->longest_seconds) / MEAN_TEXTS;
    }
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
run_replay (Replay *replay, Schedule *schedules, const ReplayCase *settings)
{
  for (LbTime now = LB_SEC; !is_replay_done (replay); now += TICK)
    {
      for (int i = 0; i < N_TRAINERS; i++)
        submit_step_if_due (replay, i, &schedules[i], settings, now);
      replay_run_tick (replay, now);
      for (int i = 0; i < N_TRAINERS; i++)
        for (int j = 0; j < N_OPEN; j++)
          end_step_if_done (replay, i, &schedules[i], &replay->trainers[i].steps[j], now);
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

  set_lag_shares_switch (is_on);
  for (unsigned long seed = 1; seed <= N_SEEDS; seed++)
    {
      Replay replay;
      Schedule schedules[N_TRAINERS];
      init_replay (&replay, schedules, settings, seed);
      run_replay (&replay, schedules, settings);
      result.moves += (double)replay.n_moves / N_SEEDS;
      for (int i = 0; i < N_TRAINERS; i++)
        result.late_steps[i] += schedules[i].late_steps / N_STEPS / N_SEEDS;
      replay_clear (&replay);
    }
  set_lag_shares_switch (true);
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

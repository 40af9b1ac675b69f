#include "lc-trainer-lag.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>
#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <string.h>

#define PERIOD (4 * LB_SEC)
#define TRAINING_TIME (400 * LB_MSEC)
#define START (100 * LB_SEC)

static void
record_step (
    LcTrainerLags *lags, const char *model, int index, LbTime submitted_at, LbTime ended_at)
{
  LcTrainerStep step = { .tokens = 1000, .submitted_at = submitted_at, .ended_at = ended_at };

  LB_COPY (step.model, model);
  snprintf (step.batch, LB_NAME_MAX, "%s-%d", model, index);
  lc_trainer_lags_record_step (lags, &step, submitted_at);
}

/* Records the steps of a trainer with PERIOD, by their durations. Returns the time at which the
 * trainer submits the next step. lag: set to the trainer's lag at that time. */
static LbTime
record_steps (
    LcTrainerLags *lags, const char *model, const LbTime *durations, int n_steps, LbTime *lag)
{
  LbTime now = START;

  for (int i = 0; i < n_steps; i++)
    {
      LbTime ended_at = now + durations[i];
      LbTime scheduled_at = START + (i + 1) * PERIOD;
      record_step (lags, model, i, now, ended_at);
      now = ended_at + TRAINING_TIME > scheduled_at ? ended_at + TRAINING_TIME : scheduled_at;
      *lag = now - scheduled_at;
    }
  return now;
}

/* Records ended steps like record_steps, and the next one as open from the returned time on. */
static LbTime
record_steps_and_open_next (
    LcTrainerLags *lags, const char *model, const LbTime *durations, int n_steps, LbTime *lag)
{
  LbTime now = record_steps (lags, model, durations, n_steps, lag);

  record_step (lags, model, n_steps, now, 0);
  return now;
}

/* The period is not known, and late steps are longer or, while the trainer catches up, shorter. */
Test (trainer_lag, lag_of_a_trainer_that_loses_time_in_one_step_is_found)
{
  static const LbTime durations[] = { 2000 * LB_MSEC, 2500 * LB_MSEC, 1900 * LB_MSEC,
                                      2200 * LB_MSEC, 6400 * LB_MSEC, 3000 * LB_MSEC };
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LbTime lag;
  LbTime now = record_steps_and_open_next (lags, "m", durations, 6, &lag);

  lc_trainer_lags_estimate (lags, now);
  const LcTrainerLag *estimate = lc_trainer_lags_find (lags, "m");
  cr_assert (estimate->is_known && estimate->is_period_observed);
  cr_assert_float_eq ((double)estimate->period, (double)PERIOD, (double)(20 * LB_MSEC));
  cr_assert_float_eq ((double)estimate->lag, (double)lag, (double)(100 * LB_MSEC));
  lc_trainer_lags_free (lags);
}

/* With random durations, the estimate must be close at light and at heavy load. If all steps are
 * late, the period is not observed, and the bound from the intervals must do. */
Test (trainer_lag, estimate_is_close_for_random_durations)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  enum
  {
    N = 20
  };

  for (unsigned long seed = 1; seed <= 200; seed++)
    {
      LcTrainerLags *lags = lc_trainer_lags_new ();
      LbTime durations[N];
      LbTime lag;
      gsl_rng_set (random, seed);
      double mean = gsl_ran_flat (random, 1, 8);
      for (int i = 0; i < N; i++)
        durations[i] = (LbTime)(gsl_ran_gamma (random, 25, mean / 25) * (double)LB_SEC);
      LbTime now = record_steps_and_open_next (lags, "late", durations, N, &lag);
      lc_trainer_lags_estimate (lags, now);
      const LcTrainerLag *estimate = lc_trainer_lags_find (lags, "late");
      if (estimate->is_period_observed)
        cr_assert_float_eq ((double)estimate->lag, (double)lag, (double)(400 * LB_MSEC),
                            "seed %lu: lag %lld, estimate %lld", seed, (long long)lag,
                            (long long)estimate->lag);
      else
        cr_assert_leq (estimate->lag, lag, "seed %lu: the bound on the period is an upper one",
                       seed);
      lc_trainer_lags_free (lags);
    }
  gsl_rng_free (random);
}

/* If a late trainer's own period is not seen, the lag must not be taken for 0 while another trainer
 * shows the period. */
Test (trainer_lag, trainer_that_was_never_on_schedule_is_compared_with_others)
{
  static const LbTime late[] = { 6000 * LB_MSEC, 7000 * LB_MSEC, 6500 * LB_MSEC, 7600 * LB_MSEC };
  static const LbTime early[] = { 2000 * LB_MSEC, 2500 * LB_MSEC, 1900 * LB_MSEC, 2200 * LB_MSEC,
                                  3000 * LB_MSEC, 2000 * LB_MSEC, 2500 * LB_MSEC };
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LbTime lag;

  record_steps_and_open_next (lags, "early", early, 7, &lag);
  LbTime now = record_steps_and_open_next (lags, "late", late, 4, &lag);
  lc_trainer_lags_estimate (lags, now);
  cr_assert_not (lc_trainer_lags_find (lags, "late")->is_period_observed);
  cr_assert_float_eq ((double)lc_trainer_lags_find (lags, "late")->lag, (double)lag,
                      (double)(100 * LB_MSEC));
  cr_assert_lt (lc_trainer_lags_find (lags, "early")->lag, 100 * LB_MSEC);
  lc_trainer_lags_free (lags);
}

/* If an open step counted only at its end, engines would move a whole step too late. */
Test (trainer_lag, open_step_that_is_longer_than_the_schedule_allows_counts_at_once)
{
  static const LbTime durations[] = { 2000 * LB_MSEC, 2500 * LB_MSEC, 1900 * LB_MSEC,
                                      2200 * LB_MSEC, 3000 * LB_MSEC, 2000 * LB_MSEC };
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LbTime lag;
  LbTime now = record_steps_and_open_next (lags, "m", durations, 6, &lag);

  lc_trainer_lags_estimate (lags, now + 3 * LB_SEC);
  cr_assert_lt (lc_trainer_lags_find (lags, "m")->lag, 50 * LB_MSEC);
  lc_trainer_lags_estimate (lags, now + 6 * LB_SEC);
  cr_assert_geq (lc_trainer_lags_find (lags, "m")->lag, 2 * LB_SEC);
  lc_trainer_lags_free (lags);
}

/* A trainer that ended must not keep engines by its last lag; one that waits for a long step has
 * not ended. */
Test (trainer_lag, trainer_has_stopped_after_three_periods_without_a_step)
{
  static const LbTime durations[] = { 2000 * LB_MSEC, 2500 * LB_MSEC, 1900 * LB_MSEC,
                                      2200 * LB_MSEC, 9000 * LB_MSEC, 2000 * LB_MSEC };
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LbTime lag;
  LbTime next = record_steps (lags, "m", durations, 6, &lag);

  lc_trainer_lags_estimate (lags, next + 2 * PERIOD);
  cr_assert_not (lc_trainer_lags_find (lags, "m")->has_stopped);
  lc_trainer_lags_estimate (lags, next + 3 * PERIOD);
  cr_assert (lc_trainer_lags_find (lags, "m")->has_stopped);
  cr_assert_eq (lc_trainer_lags_find (lags, "m")->lag, 0);
  cr_assert_eq (lc_trainer_lags_find (lags, "m")->held_lag_steps, 0);
  record_step (lags, "m", 6, next + 10 * PERIOD, 0);
  lc_trainer_lags_estimate (lags, next + 13 * PERIOD);
  cr_assert_not (lc_trainer_lags_find (lags, "m")->has_stopped, "a long step is open");
  lc_trainer_lags_estimate (lags, next + 30 * PERIOD);
  cr_assert (lc_trainer_lags_find (lags, "m")->has_stopped, "the open step was abandoned");
  lc_trainer_lags_free (lags);
}

/* Two trainers of one model would look like one with half the period. */
Test (trainer_lag, lag_of_overlapping_steps_is_not_known)
{
  LcTrainerLags *lags = lc_trainer_lags_new ();

  for (int i = 0; i < 10; i++)
    record_step (lags, "m", i, START + i * LB_SEC, START + i * LB_SEC + 3 * LB_SEC);
  lc_trainer_lags_estimate (lags, START + 13 * LB_SEC);
  cr_assert (lc_trainer_lags_find (lags, "m")->has_several_trainers);
  cr_assert_not (lc_trainer_lags_find (lags, "m")->is_known);
  lc_trainer_lags_free (lags);
}

/* Records a step that its trainer numbered. */
static void
record_numbered_step (
    LcTrainerLags *lags, int64_t number, const char *batch, LbTime submitted_at, LbTime ended_at)
{
  LcTrainerStep step = { .model = "m",
                         .tokens = 1000,
                         .has_step = true,
                         .step = number,
                         .submitted_at = submitted_at,
                         .ended_at = ended_at };

  LB_COPY (step.batch, batch);
  lc_trainer_lags_record_step (lags, &step, submitted_at);
}

#define N_NUMBERED 60

/* Computes the steps of a trainer that requests one step ahead, from when it requests them. */
static void
compute_overlapping_steps (gsl_rng *random, double mean, LbTime *submitted_at, LbTime *ended_at)
{
  LbTime trained_at[N_NUMBERED] = { 0 };

  for (int i = 0; i < N_NUMBERED; i++)
    {
      LbTime scheduled_at = START + i * PERIOD;
      LbTime allowed_at = i > 1 ? trained_at[i - 2] : 0;
      submitted_at[i] = scheduled_at > allowed_at ? scheduled_at : allowed_at;
      ended_at[i]
          = submitted_at[i] + (LbTime)(gsl_ran_flat (random, mean - 1, mean + 1) * (double)LB_SEC);
      LbTime training_at
          = i > 0 && trained_at[i - 1] > ended_at[i] ? trained_at[i - 1] : ended_at[i];
      trained_at[i] = training_at + (LbTime)(gsl_ran_flat (random, 0.5, 1) * (double)LB_SEC);
    }
}

/* The steps overlap by design and were taken for those of several trainers, whose lag is unknown.
 * The rows are read in any order. */
Test (trainer_lag, lag_of_overlapping_numbered_steps_is_found)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  int n_observed = 0;

  for (unsigned long seed = 1; seed <= 200; seed++)
    {
      LcTrainerLags *lags = lc_trainer_lags_new ();
      LbTime submitted_at[N_NUMBERED];
      LbTime ended_at[N_NUMBERED];
      int order[N_NUMBERED];
      char batch[16];
      gsl_rng_set (random, seed);
      compute_overlapping_steps (random, gsl_ran_flat (random, 5, 9), submitted_at, ended_at);
      int n = 4 + (int)gsl_rng_uniform_int (random, N_NUMBERED - 4);
      LbTime now = submitted_at[n - 1];
      for (int i = 0; i < n; i++)
        order[i] = i;
      gsl_ran_shuffle (random, order, (size_t)n, sizeof order[0]);
      for (int i = 0; i < n; i++)
        {
          snprintf (batch, sizeof batch, "%d", order[i]);
          record_numbered_step (lags, order[i], batch, submitted_at[order[i]],
                                ended_at[order[i]] <= now ? ended_at[order[i]] : 0);
        }
      lc_trainer_lags_estimate (lags, now);
      const LcTrainerLag *estimate = lc_trainer_lags_find (lags, "m");
      LbTime lag = now - START - (n - 1) * PERIOD;
      n_observed += estimate->is_period_observed;
      cr_assert (estimate->is_known && !estimate->has_several_trainers, "seed %lu", seed);
      cr_assert_float_eq ((double)estimate->lag, (double)lag, (double)(200 * LB_MSEC),
                          "seed %lu, %d steps: lag %lld, estimate %lld", seed, n, (long long)lag,
                          (long long)estimate->lag);
      lc_trainer_lags_free (lags);
    }
  cr_assert_gt (n_observed, 50);
  gsl_rng_free (random);
}

/* The history of a trainer that restarts at step 0 would show a lag of all its steps. */
Test (trainer_lag, trainer_that_restarts_at_step_0_is_a_new_trainer)
{
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LbTime restart = START + 10 * PERIOD + LB_SEC;
  char batch[16];

  for (int i = 0; i < 14; i++)
    {
      LbTime at = i < 10 ? START + i * PERIOD : restart + (i - 10) * PERIOD;
      snprintf (batch, sizeof batch, "%d", i);
      record_numbered_step (lags, i < 10 ? i : i - 10, batch, at, at + 7 * LB_SEC);
      lc_trainer_lags_estimate (lags, at);
      const LcTrainerLag *estimate = lc_trainer_lags_find (lags, "m");
      cr_assert_not (estimate->has_several_trainers);
      cr_assert_eq (estimate->is_known, i < 10 ? i >= 2 : i >= 12, "step %d", i);
      cr_assert_eq (estimate->lag, 0, "step %d", i);
      cr_assert_eq (estimate->n_steps, i < 10 ? (i < 8 ? (size_t)i + 1 : 8) : (size_t)i - 9);
    }
  lc_trainer_lags_free (lags);
}

/* The numbers of two trainers repeat if both are as old, or go back and forth. */
Test (trainer_lag, repeated_numbers_are_those_of_several_trainers)
{
  static const int firsts[] = { 0, 3, 30 };

  for (size_t i = 0; i < sizeof firsts / sizeof firsts[0]; i++)
    {
      LcTrainerLags *lags = lc_trainer_lags_new ();
      char batch[16];
      for (int step = 0; step < 6; step++)
        for (int trainer = 0; trainer < 2; trainer++)
          {
            LbTime at = START + step * PERIOD + trainer * LB_SEC;
            snprintf (batch, sizeof batch, "%d-%d", trainer, step);
            record_numbered_step (lags, trainer ? step : firsts[i] + step, batch, at,
                                  at + 2 * LB_SEC);
          }
      lc_trainer_lags_estimate (lags, START + 6 * PERIOD);
      cr_assert (lc_trainer_lags_find (lags, "m")->has_several_trainers, "first %d", firsts[i]);
      cr_assert_not (lc_trainer_lags_find (lags, "m")->is_known, "first %d", firsts[i]);
      lc_trainer_lags_free (lags);
    }
}

/* The estimate runs in each division, on instances with 0.09 of a core. The search for the period
 * compared all pairs of steps. */
Test (trainer_lag, estimate_of_four_trainers_is_cheap)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LbTime least = LB_TIME_NEVER;

  for (int trainer = 0; trainer < 4; trainer++)
    for (int i = 0; i < 64; i++)
      {
        LbTime at = START + i * PERIOD + (LbTime)gsl_rng_uniform_int (random, LB_SEC / 20);
        LcTrainerStep step = { .tokens = 1000,
                               .has_step = trainer < 2,
                               .step = i,
                               .submitted_at = at,
                               .ended_at = at + ((trainer < 2 ? 5 : 1) + i % 3) * LB_SEC };
        snprintf (step.model, LB_NAME_MAX, "m-%d", trainer);
        snprintf (step.batch, LB_NAME_MAX, "%d-%d", trainer, i);
        lc_trainer_lags_record_step (lags, &step, at);
      }
  for (int i = 0; i < 50; i++)
    {
      LbTime start = lb_clock_monotonic ();
      lc_trainer_lags_estimate (lags, START + 64 * PERIOD);
      LbTime duration = lb_clock_monotonic () - start;
      least = duration < least ? duration : least;
    }
  printf ("estimate of 4 trainers with 64 steps: %lld us\n", (long long)least);
  cr_assert (lc_trainer_lags_get (lags, 0)->is_period_observed);
  cr_assert (lc_trainer_lags_get (lags, 3)->is_period_observed);
  cr_assert_leq (least, 150, "%lld us", (long long)least);
  lc_trainer_lags_free (lags);
  gsl_rng_free (random);
}

/* A client that sends the same number with each step does not number its steps; its lag is that of
 * steps without numbers. */
Test (trainer_lag, equal_numbers_of_all_steps_are_ignored)
{
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LcTrainerLags *unnumbered = lc_trainer_lags_new ();
  char batch[16];

  for (int i = 0; i < 8; i++)
    {
      LbTime at = START + i * PERIOD + (i == 7 ? LB_SEC : 0);
      snprintf (batch, sizeof batch, "%d", i);
      record_numbered_step (lags, 1, batch, at, at + (i == 6 ? 4600 : 2000) * LB_MSEC);
      record_step (unnumbered, "m", i, at, at + (i == 6 ? 4600 : 2000) * LB_MSEC);
    }
  lc_trainer_lags_estimate (lags, START + 7 * PERIOD + LB_SEC);
  lc_trainer_lags_estimate (unnumbered, START + 7 * PERIOD + LB_SEC);
  const LcTrainerLag *estimate = lc_trainer_lags_find (lags, "m");
  cr_assert (estimate->is_known);
  cr_assert_gt (estimate->held_lag_steps, 0.2);
  cr_assert_eq (estimate->held_lag_steps, lc_trainer_lags_find (unnumbered, "m")->held_lag_steps);
  lc_trainer_lags_free (lags);
  lc_trainer_lags_free (unnumbered);
}

/* An instance that takes over the division reads the rows in any order, some of them twice. */
Test (trainer_lag, estimate_does_not_depend_on_the_order_of_rows)
{
  gsl_rng *random = gsl_rng_alloc (gsl_rng_taus2);
  enum
  {
    N = 100
  };

  for (unsigned long seed = 1; seed <= 100; seed++)
    {
      LcTrainerLags *first = lc_trainer_lags_new ();
      LcTrainerLags *second = lc_trainer_lags_new ();
      LbTime submitted_at[N];
      LbTime ended_at[N];
      int order[2 * N];
      LbTime now = START;
      gsl_rng_set (random, seed);
      for (int i = 0; i < N; i++)
        {
          submitted_at[i] = now;
          ended_at[i] = now + (LbTime)gsl_rng_uniform_int (random, 6 * LB_SEC);
          now = ended_at[i] + (LbTime)gsl_rng_uniform_int (random, 2 * LB_SEC);
          order[2 * i] = order[2 * i + 1] = i;
          record_step (first, "m", i, submitted_at[i], 0);
          record_step (first, "m", i, submitted_at[i], ended_at[i]);
        }
      gsl_ran_shuffle (random, order, 2 * N, sizeof order[0]);
      for (int i = 0; i < 2 * N; i++)
        record_step (second, "m", order[i], submitted_at[order[i]],
                     i % 3 == 0 ? 0 : ended_at[order[i]]);
      for (int i = 0; i < N; i++)
        record_step (second, "m", i, submitted_at[i], ended_at[i]);
      lc_trainer_lags_estimate (first, now);
      lc_trainer_lags_estimate (second, now);
      const LcTrainerLag *a = lc_trainer_lags_find (first, "m");
      const LcTrainerLag *b = lc_trainer_lags_find (second, "m");
      cr_assert (a->period == b->period && a->lag == b->lag && a->n_steps == b->n_steps
                     && a->held_lag_steps == b->held_lag_steps
                     && a->tokens_per_step == b->tokens_per_step,
                 "seed %lu", seed);
      lc_trainer_lags_free (first);
      lc_trainer_lags_free (second);
    }
  gsl_rng_free (random);
}

/* Models are named by trainers; their number must not grow the state without bound. */
Test (trainer_lag, number_of_trainers_is_bounded)
{
  LcTrainerLags *lags = lc_trainer_lags_new ();
  LcTrainerStep step = { .batch = "b", .tokens = 1, .submitted_at = START };

  for (int i = 0; i < LC_MAX_TRAINERS; i++)
    {
      snprintf (step.model, LB_NAME_MAX, "m-%d", i);
      cr_assert (lc_trainer_lags_record_step (lags, &step, START));
    }
  LB_COPY (step.model, "one-more");
  cr_assert_not (lc_trainer_lags_record_step (lags, &step, START));
  cr_assert_eq (lc_trainer_lags_count (lags), LC_MAX_TRAINERS);
  lc_trainer_lags_free (lags);
}

#ifndef LC_TRAINER_LAG_H
#define LC_TRAINER_LAG_H

#include "lc-types.h"

/* This header declares the estimate of how far the trainer of each model is behind its schedule. A
 * trainer submits a batch (a step) at fixed times, one period apart, or later if it is not done
 * with the previous step. Its period and schedule are not known; they are estimated from the times
 * at which steps were submitted and ended. No I/O; the same steps give the same estimate in any
 * order of recording.
 *
 * A submission is on schedule if the trainer waited before it: longer after the end of the previous
 * step than it takes at least to train. Two submissions on schedule are a whole number of periods
 * apart.
 *
 * A trainer may number its steps. It may then submit steps ahead, so that they overlap, and its
 * schedule is that of the steps that it submitted earliest by their number. Numbers that repeat or
 * go back are those of several trainers. A start at step 0 is a new trainer: earlier steps are
 * dropped.
 *
 * The estimate does not detect: the period of a trainer that was never on schedule, which is
 * assumed to be the shortest period or mean interval among the trainers; a trainer that is late by
 * the same time in each step, whose steady intervals are taken for its period; a lag from before
 * the first recorded step; and the schedules of several trainers of one model, whose lag is not
 * known. */

/* Largest number of models whose trainers are recorded at the same time. */
#define LC_MAX_TRAINERS 64

typedef struct
{
  LbName batch;
  LbName model;
  double tokens;       /* expected number of generated tokens */
  int64_t priority;    /* organisation priority; larger values come first */
  LbTime submitted_at; /* 0: not known; the step is ignored */
  LbTime ended_at;     /* 0: the step is open */
  bool has_step;       /* the trainer numbers its steps */
  int64_t step;        /* number, from 0, one higher with each step of the trainer */
} LcTrainerStep;

typedef struct
{
  LbName model;
  int64_t priority; /* of the newest step */
  /* Steps without numbers overlap, or numbers repeat or go back, so the lag is not known. */
  bool has_several_trainers;
  size_t n_ahead;          /* number of steps that the trainer submits ahead of an open one */
  bool is_known;           /* there are enough steps for an estimate of the lag */
  bool has_stopped;        /* the trainer has had no open step for three of its periods */
  bool is_period_observed; /* period is the trainer's own; else that of other trainers */
  LbTime period;           /* 0: not known of any trainer */
  /* How far behind its schedule the trainer is: at its last submission, or already because its open
   * step is longer than the schedule allows. */
  LbTime lag;
  /* Lag for the division of engines, in periods: the largest of the last submissions and now, so
   * that a lag that differs from step to step moves no engine back and forth. */
  double held_lag_steps;
  size_t n_steps;         /* number of steps that tokens_per_step is the mean of */
  double tokens_per_step; /* mean of the expected tokens of the newest steps */
  /* Capacity with which the trainer would keep its schedule, by the duration of its newest steps;
   * 0: not known. Overlapping steps share the engines, and those that end with their longest text
   * take as long with more engines, so it is not known of a trainer that submits steps ahead. */
  double needed_capacity;
} LcTrainerLag;

typedef struct LcTrainerLags LcTrainerLags;

LcTrainerLags *lc_trainer_lags_new (void);
void lc_trainer_lags_free (LcTrainerLags *lags);

/* Records a step that was submitted or has ended, by its batch. Returns false if the step is of one
 * more model than LC_MAX_TRAINERS and no other trainer has stopped. */
bool lc_trainer_lags_record_step (LcTrainerLags *lags, const LcTrainerStep *step, LbTime now);
/* Records the capacity of the engines that serve a model from now on, in any unit. Ignored before
 * the model's first step. */
void lc_trainer_lags_record_capacity (LcTrainerLags *lags,
                                      const char *model,
                                      double capacity,
                                      LbTime now);
/* Updates the estimates of all trainers. */
void lc_trainer_lags_estimate (LcTrainerLags *lags, LbTime now);

/* Shortest period of the trainers that have not stopped; 0: not known. */
LbTime lc_trainer_lags_get_shortest_period (const LcTrainerLags *lags);
size_t lc_trainer_lags_count (const LcTrainerLags *lags);
/* Estimate of the trainer with this index, valid until the next change of `lags`. */
const LcTrainerLag *lc_trainer_lags_get (const LcTrainerLags *lags, size_t index);
/* Estimate of a model's trainer; NULL: no step of the model was recorded. */
const LcTrainerLag *lc_trainer_lags_find (const LcTrainerLags *lags, const char *model);

#endif

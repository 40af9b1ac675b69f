#ifndef LC_TRAINER_PRIVATE_H
#define LC_TRAINER_PRIVATE_H

#include "lc-trainer-lag.h"

/* This header is shared by lc-trainer-lag.c, which records steps and estimates the lag, and
 * lc-trainer-period.c, which finds the period of a trainer. */

/* Number of newest steps of a trainer that the estimate is made from. */
#define LC_TRAINER_MAX_STEPS 64
/* A lag can be estimated from two intervals at least. */
#define LC_TRAINER_MIN_STEPS 3
/* Number of changes of a model's capacity that are kept. */
#define LC_TRAINER_MAX_CAPACITY_CHANGES 32

typedef struct
{
  uint64_t batch; /* hash of the batch's id */
  double tokens;
  int64_t priority;
  LbTime submitted_at;
  LbTime ended_at; /* 0: open */
  bool has_number;
  int64_t number; /* number that the trainer gave to the step */
} LcRecordedStep;

typedef struct
{
  LbTime at;
  double capacity; /* from this time on */
} LcCapacityChange;

typedef struct
{
  LcTrainerLag estimate;
  LcRecordedStep recorded[LC_TRAINER_MAX_STEPS]; /* sorted by time of submission */
  size_t n_recorded;
  /* The recorded steps by which the lag is estimated. A trainer that numbers its steps has only
   * those since its start; numbers are then used in place of indexes. */
  const LcRecordedStep *steps;
  size_t n_steps;
  bool is_numbered;
  LcCapacityChange capacities[LC_TRAINER_MAX_CAPACITY_CHANGES]; /* sorted by time */
  size_t n_capacities;
  LbTime min_turnaround;   /* shortest time from the end of a step to the next submission */
  LbTime longest_duration; /* of a step that ended */
  LbTime period_bound;     /* shortest mean interval since the first step; 0: not known */
} LcTrainer;

/* Defined in lc-trainer-period.c. */

/* Selects the recorded steps by which the lag is estimated, and finds out how many steps the
 * trainer submits ahead or whether the model has several trainers. */
void lc_trainer_select_steps (LcTrainer *trainer);
/* Number of steps from one to another, which may not all be recorded. */
LbTime lc_trainer_get_distance (const LcTrainer *trainer, size_t from, size_t to);
/* Computes min_turnaround, longest_duration and period_bound from the selected steps. */
void lc_trainer_measure_steps (LcTrainer *trainer);
/* Returns the period that the trainer's own steps show; 0: none. */
LbTime lc_trainer_find_observed_period (const LcTrainer *trainer);
/* Returns the time from the end of an earlier step to the submission of step i. */
LbTime lc_trainer_get_turnaround (const LcTrainer *trainer, size_t i, size_t earlier);

#endif

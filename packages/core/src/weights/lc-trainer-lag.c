#include "lc-trainer-private.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* A trainer has stopped after this many periods without an open step. */
#define STOPPED_AFTER_PERIODS 3
/* Least time between two searches for a stopped trainer. A search estimates the lags of all
 * trainers, which is too much for each row of the models that exceed LC_MAX_TRAINERS. */
#define STOPPED_SEARCH_PERIOD LB_SEC
/* Number of last submissions whose lag is held. With two, a lag that alternates is constant. */
#define HELD_SUBMISSIONS 2
/* Number of newest steps whose expected tokens are averaged. Random text lengths shift the average
 * of five steps of 40 texts by a tenth. */
#define AVERAGED_STEPS 8
/* Number of newest ended steps by which the need for capacity is measured. */
#define MEASURED_STEPS 4
/* Smaller differences of capacity, in engines, are rounding errors. */
#define MIN_CAPACITY_CHANGE 0.001

struct LcTrainerLags
{
  LcTrainer *trainers[LC_MAX_TRAINERS]; /* sorted by model */
  size_t n_trainers;
  LbTime next_search_at; /* when a stopped trainer is next sought, if there are too many trainers */
};

LcTrainerLags *
lc_trainer_lags_new (void)
{
  return LB_NEW (LcTrainerLags);
}

void
lc_trainer_lags_free (LcTrainerLags *lags)
{
  if (!lags)
    return;
  for (size_t i = 0; i < lags->n_trainers; i++)
    free (lags->trainers[i]);
  free (lags);
}

/* --- record of steps --- */

static size_t
find_trainer_position (const LcTrainerLags *lags, const char *model)
{
  size_t position = 0;

  while (position < lags->n_trainers
         && strcmp (lags->trainers[position]->estimate.model, model) < 0)
    position++;
  return position;
}

static bool
is_trainer_at (const LcTrainerLags *lags, size_t position, const char *model)
{
  return position < lags->n_trainers
         && strcmp (lags->trainers[position]->estimate.model, model) == 0;
}

static void
remove_trainer_at (LcTrainerLags *lags, size_t position)
{
  free (lags->trainers[position]);
  lags->n_trainers--;
  memmove (&lags->trainers[position], &lags->trainers[position + 1],
           (lags->n_trainers - position) * sizeof lags->trainers[0]);
}

/* Makes room for one more trainer. Returns false if there is none. */
static bool
drop_stopped_trainer_if_full (LcTrainerLags *lags, LbTime now)
{
  if (lags->n_trainers < LC_MAX_TRAINERS)
    return true;
  if (now < lags->next_search_at)
    return false;
  lags->next_search_at = now + STOPPED_SEARCH_PERIOD;
  lc_trainer_lags_estimate (lags, now);
  for (size_t i = 0; i < lags->n_trainers; i++)
    if (lags->trainers[i]->estimate.has_stopped)
      {
        remove_trainer_at (lags, i);
        return true;
      }
  return false;
}

static LcTrainer *
find_or_add_trainer (LcTrainerLags *lags, const char *model, LbTime now)
{
  size_t position = find_trainer_position (lags, model);

  if (is_trainer_at (lags, position, model))
    return lags->trainers[position];
  if (!drop_stopped_trainer_if_full (lags, now))
    return NULL;
  position = find_trainer_position (lags, model);
  memmove (&lags->trainers[position + 1], &lags->trainers[position],
           (lags->n_trainers - position) * sizeof lags->trainers[0]);
  lags->trainers[position] = LB_NEW (LcTrainer);
  LB_COPY (lags->trainers[position]->estimate.model, model);
  lags->n_trainers++;
  return lags->trainers[position];
}

static void
remove_step_at (LcTrainer *trainer, size_t position)
{
  trainer->n_recorded--;
  memmove (&trainer->recorded[position], &trainer->recorded[position + 1],
           (trainer->n_recorded - position) * sizeof trainer->recorded[0]);
}

/* Steps of equal time are ordered by batch, so that the order does not depend on that of recording.
 */
static bool
is_step_before (const LcRecordedStep *a, const LcRecordedStep *b)
{
  return a->submitted_at != b->submitted_at ? a->submitted_at < b->submitted_at
                                            : a->batch < b->batch;
}

static void
insert_step (LcTrainer *trainer, const LcRecordedStep *step)
{
  size_t position = trainer->n_recorded;

  if (trainer->n_recorded == LC_TRAINER_MAX_STEPS)
    {
      if (is_step_before (step, &trainer->recorded[0]))
        return;
      remove_step_at (trainer, 0);
      position--;
    }
  for (; position > 0 && is_step_before (step, &trainer->recorded[position - 1]); position--)
    trainer->recorded[position] = trainer->recorded[position - 1];
  trainer->recorded[position] = *step;
  trainer->n_recorded++;
}

/* Adds what an earlier report of the same step states. */
static void
merge_known_step (LcRecordedStep *added, const LcRecordedStep *known)
{
  /* The first report of a time is the closest to the event. */
  if (known->submitted_at < added->submitted_at)
    added->submitted_at = known->submitted_at;
  if (known->ended_at > 0 && (added->ended_at == 0 || known->ended_at < added->ended_at))
    added->ended_at = known->ended_at;
  /* An instance of an earlier version of the program that claims a batch writes its row without the
   * number. */
  if (!added->has_number)
    {
      added->has_number = known->has_number;
      added->number = known->number;
    }
}

bool
lc_trainer_lags_record_step (LcTrainerLags *lags, const LcTrainerStep *step, LbTime now)
{
  LcRecordedStep added = { .batch = XXH3_64bits (step->batch, strlen (step->batch)),
                           .tokens = step->tokens,
                           .priority = step->priority,
                           .has_number = step->has_step,
                           .number = step->step,
                           .submitted_at = step->submitted_at,
                           .ended_at = step->ended_at };

  if (step->submitted_at <= 0)
    return true;
  LcTrainer *trainer = find_or_add_trainer (lags, step->model, now);
  if (!trainer)
    return false;
  for (size_t i = 0; i < trainer->n_recorded; i++)
    if (trainer->recorded[i].batch == added.batch)
      {
        merge_known_step (&added, &trainer->recorded[i]);
        remove_step_at (trainer, i);
        break;
      }
  insert_step (trainer, &added);
  return true;
}

void
lc_trainer_lags_record_capacity (LcTrainerLags *lags,
                                 const char *model,
                                 double capacity,
                                 LbTime now)
{
  size_t position = find_trainer_position (lags, model);

  if (!is_trainer_at (lags, position, model))
    return;
  LcTrainer *trainer = lags->trainers[position];
  size_t n = trainer->n_capacities;
  if (n > 0 && fabs (trainer->capacities[n - 1].capacity - capacity) < MIN_CAPACITY_CHANGE)
    return;
  if (n == LC_TRAINER_MAX_CAPACITY_CHANGES)
    memmove (&trainer->capacities[0], &trainer->capacities[1], --n * sizeof trainer->capacities[0]);
  trainer->capacities[n] = (LcCapacityChange){ .at = now, .capacity = capacity };
  trainer->n_capacities = n + 1;
}

/* --- lag --- */

/* Whether the trainer paused before the step for so long that it counts as having stopped. */
static bool
is_start_after_stop (const LcTrainer *trainer, size_t i)
{
  LbTime limit = STOPPED_AFTER_PERIODS * trainer->estimate.period;

  if (trainer->steps[i - 1].ended_at > 0)
    return lc_trainer_get_turnaround (trainer, i, i - 1) > limit;
  return trainer->steps[i].submitted_at - trainer->steps[i - 1].submitted_at
         > limit + trainer->longest_duration;
}

/* Returns the lag at the submission of a step that is `distance` steps after one with this lag. */
static LbTime
add_interval_to_lag (const LcTrainer *trainer, LbTime lag, LbTime interval, LbTime distance)
{
  lag += interval - distance * trainer->estimate.period;
  return lag > 0 ? lag : 0;
}

/* Time at which the trainer can submit its next step at the earliest, so far as is known now. */
static LbTime
get_earliest_next_submission (const LcTrainer *trainer, LbTime now)
{
  if (trainer->n_steps <= trainer->estimate.n_ahead)
    return now;
  const LcRecordedStep *awaited = &trainer->steps[trainer->n_steps - 1 - trainer->estimate.n_ahead];
  LbTime earliest = (awaited->ended_at > 0 ? awaited->ended_at : now) + trainer->min_turnaround;

  return earliest > now ? earliest : now;
}

static bool
has_trainer_stopped (const LcTrainer *trainer, LbTime period, LbTime now)
{
  const LcRecordedStep *last = &trainer->steps[trainer->n_steps - 1];
  LbTime limit = STOPPED_AFTER_PERIODS * period;

  if (last->ended_at > 0)
    return now - last->ended_at > limit;
  /* The trainer of a step that stays open may have been lost. */
  return now - last->submitted_at > limit + STOPPED_AFTER_PERIODS * trainer->longest_duration;
}

static void
estimate_lag (LcTrainer *trainer, LbTime now)
{
  const LcRecordedStep *last = &trainer->steps[trainer->n_steps - 1];
  LbTime lags[LC_TRAINER_MAX_STEPS] = { 0 };
  LbTime held = 0;

  for (size_t i = 1; i < trainer->n_steps; i++)
    if (!is_start_after_stop (trainer, i))
      lags[i] = add_interval_to_lag (trainer, lags[i - 1],
                                     trainer->steps[i].submitted_at
                                         - trainer->steps[i - 1].submitted_at,
                                     lc_trainer_get_distance (trainer, i - 1, i));
  trainer->estimate.has_stopped = has_trainer_stopped (trainer, trainer->estimate.period, now);
  LbTime lag = lags[trainer->n_steps - 1];
  LbTime next
      = add_interval_to_lag (trainer, lag,
                             get_earliest_next_submission (trainer, now) - last->submitted_at, 1);
  if (last->ended_at > 0 || next > lag)
    lag = next;
  for (size_t i = 0; i < HELD_SUBMISSIONS && i < trainer->n_steps; i++)
    if (lags[trainer->n_steps - 1 - i] > held)
      held = lags[trainer->n_steps - 1 - i];
  held = lag > held ? lag : held;
  trainer->estimate.lag = trainer->estimate.has_stopped ? 0 : lag;
  trainer->estimate.held_lag_steps
      = trainer->estimate.has_stopped ? 0 : (double)held / (double)trainer->estimate.period;
}

static void
average_tokens (LcTrainer *trainer)
{
  size_t n = trainer->n_steps < AVERAGED_STEPS ? trainer->n_steps : AVERAGED_STEPS;
  double sum = 0;

  for (size_t i = 0; i < n; i++)
    sum += trainer->steps[trainer->n_steps - 1 - i].tokens;
  trainer->estimate.n_steps = n;
  trainer->estimate.tokens_per_step = sum / (double)n;
}

/* Returns the integral of the capacity over a time in the past, in capacity times seconds. Before
 * the first recorded value, the capacity is taken to be that value. */
static double
integrate_capacity (const LcTrainer *trainer, LbTime from, LbTime to)
{
  double sum = 0;

  for (size_t i = 0; i < trainer->n_capacities; i++)
    {
      LbTime begin = i > 0 && trainer->capacities[i].at > from ? trainer->capacities[i].at : from;
      LbTime end = i + 1 < trainer->n_capacities && trainer->capacities[i + 1].at < to
                       ? trainer->capacities[i + 1].at
                       : to;
      if (end > begin)
        sum += trainer->capacities[i].capacity * (double)(end - begin) / (double)LB_SEC;
    }
  return sum;
}

/* Returns the capacity that the trainer needs to keep its schedule, judged by how long the newest
 * steps took with the capacity that they had, training included; 0: not known. */
static double
measure_needed_capacity (const LcTrainer *trainer)
{
  double capacity_seconds = 0;
  double tokens = 0;
  size_t n = 0;

  /* Overlapping steps share the capacity, and their durations do not tell how. */
  if (trainer->estimate.n_ahead > 0)
    return 0;
  for (size_t i = trainer->n_steps; i > 0 && n < MEASURED_STEPS; i--)
    {
      const LcRecordedStep *step = &trainer->steps[i - 1];
      if (step->ended_at == 0)
        continue;
      capacity_seconds += integrate_capacity (trainer, step->submitted_at,
                                              step->ended_at + trainer->min_turnaround);
      tokens += step->tokens;
      n++;
    }
  if (tokens <= 0)
    return 0;
  return capacity_seconds / tokens * trainer->estimate.tokens_per_step * (double)LB_SEC
         / (double)trainer->estimate.period;
}

/* Sets is_known, is_period_observed and period, the latter to 0 if only other trainers can tell. */
static void
estimate_own_period (LcTrainer *trainer)
{
  lc_trainer_select_steps (trainer);
  lc_trainer_measure_steps (trainer);
  trainer->estimate.priority = trainer->steps[trainer->n_steps - 1].priority;
  trainer->estimate.is_known = trainer->n_steps >= LC_TRAINER_MIN_STEPS && trainer->period_bound > 0
                               && !trainer->estimate.has_several_trainers;
  trainer->estimate.period
      = trainer->estimate.is_known ? lc_trainer_find_observed_period (trainer) : 0;
  trainer->estimate.is_period_observed = trainer->estimate.period > 0;
  trainer->estimate.has_stopped = false;
}

/* Returns the shortest period among the trainers that have an estimate. A trainer that was never on
 * schedule is assumed to have it too: if its own period is longer, it gets engines until it is on
 * schedule, and its own period is observed from then on. */
static LbTime
find_shortest_period (const LcTrainerLags *lags, LbTime now)
{
  LbTime shortest = LB_TIME_NEVER;

  for (size_t i = 0; i < lags->n_trainers; i++)
    {
      const LcTrainer *trainer = lags->trainers[i];
      LbTime period
          = trainer->estimate.is_period_observed ? trainer->estimate.period : trainer->period_bound;
      if (trainer->estimate.is_known && period < shortest
          && !has_trainer_stopped (trainer, period, now))
        shortest = period;
    }
  return shortest;
}

void
lc_trainer_lags_estimate (LcTrainerLags *lags, LbTime now)
{
  for (size_t i = 0; i < lags->n_trainers; i++)
    estimate_own_period (lags->trainers[i]);
  LbTime shortest = find_shortest_period (lags, now);
  for (size_t i = 0; i < lags->n_trainers; i++)
    {
      LcTrainer *trainer = lags->trainers[i];
      average_tokens (trainer);
      if (!trainer->estimate.is_known)
        {
          trainer->estimate.period = shortest < LB_TIME_NEVER ? shortest : 0;
          continue;
        }
      if (!trainer->estimate.is_period_observed)
        trainer->estimate.period
            = shortest < trainer->period_bound ? shortest : trainer->period_bound;
      estimate_lag (trainer, now);
      trainer->estimate.needed_capacity = measure_needed_capacity (trainer);
    }
}

LbTime
lc_trainer_lags_get_shortest_period (const LcTrainerLags *lags)
{
  LbTime shortest = 0;

  for (size_t i = 0; i < lags->n_trainers; i++)
    {
      const LcTrainerLag *estimate = &lags->trainers[i]->estimate;
      if (estimate->is_known && !estimate->has_stopped
          && (shortest == 0 || estimate->period < shortest))
        shortest = estimate->period;
    }
  return shortest;
}

size_t
lc_trainer_lags_count (const LcTrainerLags *lags)
{
  return lags->n_trainers;
}

const LcTrainerLag *
lc_trainer_lags_get (const LcTrainerLags *lags, size_t index)
{
  return &lags->trainers[index]->estimate;
}

const LcTrainerLag *
lc_trainer_lags_find (const LcTrainerLags *lags, const char *model)
{
  size_t position = find_trainer_position (lags, model);

  return is_trainer_at (lags, position, model) ? &lags->trainers[position]->estimate : NULL;
}

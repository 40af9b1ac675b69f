#include "lc-trainer-private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* A trainer waited for its schedule if it submitted this much later after the end of the previous
 * step than it did at least. Above the differences between the clocks that set the two times. */
#define MIN_WAIT (200 * LB_MSEC)
/* The wait must also exceed this part of the mean interval, since the time of training varies.
 * With a fixed limit alone, the interval of trainers that are always late would be taken for their
 * period. */
#define MIN_WAIT_DIVISOR 8
/* Number of newest steps after a wait among which a common schedule is sought. */
#define MAX_STEPS_AFTER_WAIT 32
/* Longest distance of a step on schedule from its scheduled time, because of the times of rows. */
#define SCHEDULE_TOLERANCE ((double)(100 * LB_MSEC))
/* Number and share of the steps after a wait that must lie on one schedule. Some steps of a trainer
 * that is always late lie on one by chance, but not most of them; taking their interval for the
 * period would hide the lag. */
#define MIN_STEPS_ON_SCHEDULE 4
#define MIN_SHARE_ON_SCHEDULE 0.75
/* Number of intervals that must agree for a period if the trainer never seems to have waited, and
 * their largest difference as a share. Intervals of few late steps can agree roughly by chance. */
#define MIN_STEADY_INTERVALS 5
#define STEADY_TOLERANCE 0.015
/* A step submitted this long before the end of the previous one belongs to another trainer. */
#define MIN_OVERLAP (500 * LB_MSEC)
/* Number of newest steps, and of overlaps among them, by which a model has several trainers. */
#define OVERLAP_STEPS 8
#define MIN_OVERLAPS 2
/* Largest number of steps that a trainer is taken to submit ahead. */
#define MAX_STEPS_AHEAD 3
/* Largest increase of the number from one recorded step of a trainer to the next. Rows arrive in
 * any order, so some may be missing for a moment; the numbers of two trainers may be far apart. */
#define MAX_NUMBER_INCREASE 4
/* Number of numbered steps on the earliest possible schedule that show the period, and how many of
 * them must have been submitted after a wait. Several steps of a trainer that is always late can be
 * within SCHEDULE_TOLERANCE of one by chance, but it waits before none of them. */
#define MIN_NUMBERED_STEPS_ON_SCHEDULE 5
#define MIN_WAITS_ON_SCHEDULE 2

/* --- steps of one trainer --- */

/* Whether the step continues the numbers of the step before it. */
static bool
continues_numbers (const LcRecordedStep *steps, size_t i)
{
  int64_t increase = steps[i].number - steps[i - 1].number;

  return increase > 0 && increase <= MAX_NUMBER_INCREASE;
}

/* Returns the index after the newest step without a number. Sets whether a number differs from
 * others: a trainer that gives the same number to each step does not number them. */
static size_t
find_first_numbered_step (const LcTrainer *trainer, bool *has_different)
{
  size_t first = trainer->n_recorded;

  *has_different = false;
  for (; first > 0 && trainer->recorded[first - 1].has_number; first--)
    *has_different
        |= trainer->recorded[first - 1].number != trainer->recorded[trainer->n_recorded - 1].number;
  return first;
}

/* Selects the steps by which the lag is estimated, and sets whether several trainers seem to number
 * them. Steps that overlap but have increasing numbers are those of one trainer; one that starts
 * again at step 0 is a new trainer. */
static void
select_numbered_steps (LcTrainer *trainer, size_t first)
{
  const LcRecordedStep *steps = trainer->recorded;
  size_t newest = trainer->n_recorded;
  size_t n_breaks = 0;
  size_t begin = first;

  for (size_t i = newest - 1; i > first; i--)
    {
      if (continues_numbers (steps, i))
        continue;
      if (begin == first)
        begin = i;
      if (steps[i].number == 0 && steps[i - 1].number > 0)
        break;
      if (newest - i >= OVERLAP_STEPS)
        break;
      n_breaks++;
    }
  trainer->is_numbered = true;
  trainer->estimate.has_several_trainers = n_breaks >= MIN_OVERLAPS;
  trainer->steps = &steps[begin];
  trainer->n_steps = newest - begin;
}

/* Returns the number of steps, among the newest, that were submitted before the step `distance`
 * steps earlier had ended. */
static size_t
count_overlaps (const LcTrainer *trainer, size_t distance)
{
  size_t first = trainer->n_steps > OVERLAP_STEPS ? trainer->n_steps - OVERLAP_STEPS : 0;
  size_t n = 0;

  for (size_t i = first + distance; i < trainer->n_steps; i++)
    n += trainer->steps[i].submitted_at + MIN_OVERLAP < trainer->steps[i - distance].ended_at;
  return n;
}

void
lc_trainer_select_steps (LcTrainer *trainer)
{
  bool has_different;
  size_t first = find_first_numbered_step (trainer, &has_different);
  size_t n_numbered = trainer->n_recorded - first;

  trainer->steps = trainer->recorded;
  trainer->n_steps = trainer->n_recorded;
  trainer->is_numbered = false;
  trainer->estimate.n_ahead = 0;
  if (has_different && (first == 0 || n_numbered >= LC_TRAINER_MIN_STEPS))
    {
      select_numbered_steps (trainer, first);
      while (trainer->estimate.n_ahead < MAX_STEPS_AHEAD
             && count_overlaps (trainer, trainer->estimate.n_ahead + 1) >= MIN_OVERLAPS)
        trainer->estimate.n_ahead++;
    }
  else
    trainer->estimate.has_several_trainers = count_overlaps (trainer, 1) >= MIN_OVERLAPS;
}

LbTime
lc_trainer_get_distance (const LcTrainer *trainer, size_t from, size_t to)
{
  if (trainer->is_numbered)
    return trainer->steps[to].number - trainer->steps[from].number;
  return (LbTime)to - (LbTime)from;
}

/* --- period --- */

/* Time at which a step counts as ended. A step that stayed open while the trainer submitted the
 * next one lost its trainer or the report of its end. */
static LbTime
get_end_of_earlier_step (const LcTrainer *trainer, size_t i, size_t later)
{
  const LcRecordedStep *step = &trainer->steps[i];
  LbTime next = trainer->steps[later].submitted_at;

  return step->ended_at > 0 && step->ended_at < next ? step->ended_at : next;
}

LbTime
lc_trainer_get_turnaround (const LcTrainer *trainer, size_t i, size_t earlier)
{
  return trainer->steps[i].submitted_at - get_end_of_earlier_step (trainer, earlier, i);
}

void
lc_trainer_measure_steps (LcTrainer *trainer)
{
  trainer->min_turnaround = LB_TIME_NEVER;
  trainer->longest_duration = 0;
  trainer->period_bound = 0;
  for (size_t i = 0; i < trainer->n_steps; i++)
    {
      const LcRecordedStep *step = &trainer->steps[i];
      if (step->ended_at - step->submitted_at > trainer->longest_duration)
        trainer->longest_duration = step->ended_at - step->submitted_at;
      if (i == 0)
        continue;
      LbTime mean = (step->submitted_at - trainer->steps[0].submitted_at)
                    / lc_trainer_get_distance (trainer, 0, i);
      if (trainer->period_bound == 0 || mean < trainer->period_bound)
        trainer->period_bound = mean;
      if (i <= trainer->estimate.n_ahead)
        continue;
      size_t awaited = i - 1 - trainer->estimate.n_ahead;
      if (trainer->steps[awaited].ended_at > 0
          && lc_trainer_get_turnaround (trainer, i, awaited) < trainer->min_turnaround)
        trainer->min_turnaround = lc_trainer_get_turnaround (trainer, i, awaited);
    }
  if (trainer->min_turnaround == LB_TIME_NEVER)
    trainer->min_turnaround = 0;
}

/* Whether the trainer could have submitted the step earlier, but waited. */
static bool
is_step_after_wait (const LcTrainer *trainer, size_t i)
{
  LbTime min_wait = MIN_WAIT + trainer->period_bound / MIN_WAIT_DIVISOR;

  if (i <= trainer->estimate.n_ahead)
    return false;
  size_t awaited = i - 1 - trainer->estimate.n_ahead;
  return trainer->steps[awaited].ended_at > 0
         && lc_trainer_get_turnaround (trainer, i, awaited) >= trainer->min_turnaround + min_wait;
}

/* Returns the mean time from one step to the next between two steps. */
static double
compute_mean_interval (const LcTrainer *trainer, size_t from, size_t to)
{
  return (double)(trainer->steps[to].submitted_at - trainer->steps[from].submitted_at)
         / (double)lc_trainer_get_distance (trainer, from, to);
}

/* A schedule, and the steps that were found to be on it. */
typedef struct
{
  size_t step; /* index of a step on the schedule */
  double period;
  size_t n_steps;
  size_t oldest; /* indexes of the oldest and the newest step on the schedule */
  size_t newest;
} Schedule;

/* Adds the step to the schedule if it was submitted at its time. Returns whether it was. */
static bool
add_step_if_on_schedule (const LcTrainer *trainer, Schedule *schedule, size_t i)
{
  const LcRecordedStep *steps = trainer->steps;
  double elapsed = (double)(steps[i].submitted_at - steps[schedule->step].submitted_at);
  double n_periods = (double)lc_trainer_get_distance (trainer, schedule->step, i);

  if (fabs (elapsed - n_periods * schedule->period) > SCHEDULE_TOLERANCE)
    return false;
  schedule->n_steps++;
  schedule->oldest = i < schedule->oldest ? i : schedule->oldest;
  schedule->newest = i > schedule->newest ? i : schedule->newest;
  return true;
}

/* Collects the indexes of the newest steps that the trainer waited to submit. Returns their number.
 */
static size_t
collect_steps_after_wait (const LcTrainer *trainer, size_t *indexes)
{
  size_t n = 0;

  for (size_t i = trainer->n_steps; i > 1 && n < MAX_STEPS_AFTER_WAIT; i--)
    if (is_step_after_wait (trainer, i - 1))
      indexes[n++] = i - 1;
  return n;
}

/* Returns how many of the steps lie on a schedule with this period that contains the step `first`,
 * and refines the period by the two of them that are furthest apart. */
static size_t
count_steps_on_schedule (
    const LcTrainer *trainer, const size_t *indexes, size_t n, size_t first, double *period)
{
  Schedule schedule = { .step = first, .period = *period, .oldest = first, .newest = first };

  for (size_t i = 0; i < n; i++)
    add_step_if_on_schedule (trainer, &schedule, indexes[i]);
  if (schedule.newest > schedule.oldest)
    *period = compute_mean_interval (trainer, schedule.oldest, schedule.newest);
  return schedule.n_steps;
}

/* Finds the period by which most of the steps after a wait lie on one schedule; 0: there is none.
 * If the steps did not wait for the schedule, for example because the time of training varies, they
 * lie on no common schedule. */
static LbTime
find_period_of_schedule (const LcTrainer *trainer)
{
  size_t indexes[MAX_STEPS_AFTER_WAIT];
  size_t n = collect_steps_after_wait (trainer, indexes);
  size_t most = 0;
  double best = 0;

  /* If enough steps are on a schedule, some of these pairs consist of two of them. All pairs would
   * take n - 1 times as long. */
  for (size_t i = 0, j = n / 2; j > 0 && j < n; i++, j++)
    {
      double period = compute_mean_interval (trainer, indexes[j], indexes[i]);
      size_t n_on_schedule = count_steps_on_schedule (trainer, indexes, n, indexes[j], &period);
      if (n_on_schedule <= most)
        continue;
      most = n_on_schedule;
      best = period;
    }
  if (most < MIN_STEPS_ON_SCHEDULE || (double)most < MIN_SHARE_ON_SCHEDULE * (double)n)
    return 0;
  return (LbTime)best;
}

/* Collects the indexes of the steps that form the lower convex hull of the times of submission by
 * number. Returns how many they are. */
static size_t
collect_earliest_steps (const LcTrainer *trainer, size_t *hull)
{
  size_t n = 0;

  for (size_t i = 0; i < trainer->n_steps; i++)
    {
      while (n >= 2
             && compute_mean_interval (trainer, hull[n - 2], hull[n - 1])
                    >= compute_mean_interval (trainer, hull[n - 1], i))
        n--;
      hull[n++] = i;
    }
  return n;
}

/* Returns how many steps were submitted at their time on the schedule that contains the two steps,
 * and the period of these; 0 if these are few and the trainer does not seem to have waited. */
static size_t
count_numbered_steps_on_schedule (const LcTrainer *trainer, size_t from, size_t to, double *period)
{
  Schedule schedule = {
    .step = from, .period = compute_mean_interval (trainer, from, to), .oldest = from, .newest = to
  };
  size_t n_waits = 0;

  for (size_t i = 0; i < trainer->n_steps; i++)
    n_waits += add_step_if_on_schedule (trainer, &schedule, i) && is_step_after_wait (trainer, i);
  *period = compute_mean_interval (trainer, schedule.oldest, schedule.newest);
  /* If all steps take the same time, none shows how soon the trainer could have submitted it. */
  bool is_steady = (double)schedule.n_steps >= MIN_SHARE_ON_SCHEDULE * (double)trainer->n_steps;
  return n_waits >= MIN_WAITS_ON_SCHEDULE || is_steady ? schedule.n_steps : 0;
}

/* Finds the period of a trainer that numbers its steps; 0: not seen. No step is submitted before
 * its scheduled time, so the schedule is a line below all submissions on which several lie. Late
 * steps are submitted as soon as the trainer can, which is not periodic. */
static LbTime
find_period_of_numbered_steps (const LcTrainer *trainer)
{
  size_t hull[LC_TRAINER_MAX_STEPS];
  size_t n = collect_earliest_steps (trainer, hull);
  size_t most = 0;
  double best = 0;

  for (size_t i = 1; i < n; i++)
    {
      double period;
      if (lc_trainer_get_distance (trainer, hull[i - 1], hull[i]) < MIN_STEPS_ON_SCHEDULE - 1)
        continue;
      size_t n_on_schedule
          = count_numbered_steps_on_schedule (trainer, hull[i - 1], hull[i], &period);
      if (n_on_schedule <= most)
        continue;
      most = n_on_schedule;
      best = period;
    }
  return most >= MIN_NUMBERED_STEPS_ON_SCHEDULE ? (LbTime)best : 0;
}

/* Returns the mean interval if all are nearly equal; else 0. */
static LbTime
find_steady_interval (const LcTrainer *trainer)
{
  LbTime least = LB_TIME_NEVER;
  LbTime most = 0;

  if (trainer->n_steps < MIN_STEADY_INTERVALS + 1)
    return 0;
  for (size_t i = 1; i < trainer->n_steps; i++)
    {
      LbTime interval = trainer->steps[i].submitted_at - trainer->steps[i - 1].submitted_at;
      least = interval < least ? interval : least;
      most = interval > most ? interval : most;
    }
  if ((double)(most - least) > STEADY_TOLERANCE * (double)least)
    return 0;
  return (trainer->steps[trainer->n_steps - 1].submitted_at - trainer->steps[0].submitted_at)
         / (LbTime)(trainer->n_steps - 1);
}

LbTime
lc_trainer_find_observed_period (const LcTrainer *trainer)
{
  if (trainer->is_numbered)
    return find_period_of_numbered_steps (trainer);
  LbTime period = find_period_of_schedule (trainer);

  return period > 0 ? period : find_steady_interval (trainer);
}

#include "lc-trainer-lag.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Number of newest steps of a trainer that the estimate is made from. */
#define MAX_STEPS 64
/* Two intervals are the least from which a lag can be told. */
#define MIN_STEPS_OF_ESTIMATE 3
/* A trainer waited for its schedule if it submitted this much later after the end of the previous
 * step than it did at least. Above the differences between the clocks that set the two times. */
#define MIN_WAIT (200 * LB_MSEC)
/* The wait must also exceed this part of the mean interval, since the time of training varies. With
 * waits of 200 ms, the interval of trainers that are always late was taken for their period. */
#define MIN_WAIT_DIVISOR 8
/* Number of newest steps after a wait among which a common schedule is sought. */
#define MAX_STEPS_AFTER_WAIT 32
/* Longest distance of a step on schedule from its scheduled time, because of the times of rows. */
#define SCHEDULE_TOLERANCE ((double)(100 * LB_MSEC))
/* Number and share of the steps after a wait that must lie on one schedule. Steps of
 * a trainer that is always late lie on one by chance, but not most of them; taking their interval
 * for the period would hide the lag. */
#define MIN_STEPS_ON_SCHEDULE 4
#define MIN_SHARE_ON_SCHEDULE 0.75
/* Number of intervals that must agree for a period if the trainer never seems to have waited, and
 * their largest difference as a share. Four late steps agreed within 3% by chance. */
#define MIN_STEADY_INTERVALS 5
#define STEADY_TOLERANCE 0.015
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
/* Number of changes of a model's capacity that are kept. */
#define MAX_CAPACITY_CHANGES 32
/* Smaller differences of capacity, in engines, are rounding errors. */
#define MIN_CAPACITY_CHANGE 0.001
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
 * them must have been submitted after a wait. Five of 11 steps of a trainer that was always late
 * were within SCHEDULE_TOLERANCE of one by chance, but it had waited before none of them. */
#define MIN_NUMBERED_STEPS_ON_SCHEDULE 5
#define MIN_WAITS_ON_SCHEDULE 2

typedef struct
{
  uint64_t batch; /* hash of the batch's id */
  double tokens;
  int64_t priority;
  LbTime submitted_at;
  LbTime ended_at; /* 0: open */
  bool has_number;
  int64_t number; /* number that the trainer gave to the step */
} Step;

typedef struct
{
  LbTime at;
  double capacity; /* from this time on */
} CapacityChange;

typedef struct
{
  LcTrainerLag estimate;
  Step recorded[MAX_STEPS]; /* sorted by time of submission */
  size_t n_recorded;
  /* The recorded steps by which the lag is estimated. A trainer that numbers its steps has only
   * those since its start; numbers are then used in place of indexes. */
  const Step *steps;
  size_t n_steps;
  bool is_numbered;
  CapacityChange capacities[MAX_CAPACITY_CHANGES]; /* sorted by time */
  size_t n_capacities;
  LbTime min_turnaround;   /* shortest time from the end of a step to the next submission */
  LbTime longest_duration; /* of a step that ended */
  LbTime period_bound;     /* shortest mean interval since the first step; 0: not known */
} Trainer;

struct LcTrainerLags
{
  Trainer *trainers[LC_MAX_TRAINERS]; /* sorted by model */
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

static Trainer *
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
  lags->trainers[position] = LB_NEW (Trainer);
  LB_COPY (lags->trainers[position]->estimate.model, model);
  lags->n_trainers++;
  return lags->trainers[position];
}

static void
remove_step_at (Trainer *trainer, size_t position)
{
  trainer->n_recorded--;
  memmove (&trainer->recorded[position], &trainer->recorded[position + 1],
           (trainer->n_recorded - position) * sizeof trainer->recorded[0]);
}

/* Steps of equal time are ordered by batch, so that the order does not depend on that of recording.
 */
static bool
is_step_before (const Step *a, const Step *b)
{
  return a->submitted_at != b->submitted_at ? a->submitted_at < b->submitted_at
                                            : a->batch < b->batch;
}

static void
insert_step (Trainer *trainer, const Step *step)
{
  size_t position = trainer->n_recorded;

  if (trainer->n_recorded == MAX_STEPS)
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

bool
lc_trainer_lags_record_step (LcTrainerLags *lags, const LcTrainerStep *step, LbTime now)
{
  Step added = { .batch = XXH3_64bits (step->batch, strlen (step->batch)),
                 .tokens = step->tokens,
                 .priority = step->priority,
                 .has_number = step->has_step,
                 .number = step->step,
                 .submitted_at = step->submitted_at,
                 .ended_at = step->ended_at };

  if (step->submitted_at <= 0)
    return true;
  Trainer *trainer = find_or_add_trainer (lags, step->model, now);
  if (!trainer)
    return false;
  for (size_t i = 0; i < trainer->n_recorded; i++)
    if (trainer->recorded[i].batch == added.batch)
      {
        /* The first report of a time is the closest to the event. */
        const Step *known = &trainer->recorded[i];
        if (known->submitted_at < added.submitted_at)
          added.submitted_at = known->submitted_at;
        if (known->ended_at > 0 && (added.ended_at == 0 || known->ended_at < added.ended_at))
          added.ended_at = known->ended_at;
        /* An instance of a previous build that claims a batch writes its row without the number. */
        if (!added.has_number)
          {
            added.has_number = known->has_number;
            added.number = known->number;
          }
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
  Trainer *trainer = lags->trainers[position];
  size_t n = trainer->n_capacities;
  if (n > 0 && fabs (trainer->capacities[n - 1].capacity - capacity) < MIN_CAPACITY_CHANGE)
    return;
  if (n == MAX_CAPACITY_CHANGES)
    memmove (&trainer->capacities[0], &trainer->capacities[1], --n * sizeof trainer->capacities[0]);
  trainer->capacities[n] = (CapacityChange){ .at = now, .capacity = capacity };
  trainer->n_capacities = n + 1;
}

/* --- steps of one trainer --- */

/* Whether the step continues the numbers of the step before it. */
static bool
continues_numbers (const Step *steps, size_t i)
{
  int64_t increase = steps[i].number - steps[i - 1].number;

  return increase > 0 && increase <= MAX_NUMBER_INCREASE;
}

/* Returns the index after the newest step without a number. Sets whether a number differs from
 * others: a trainer that gives the same number to each step does not number them. */
static size_t
find_first_numbered_step (const Trainer *trainer, bool *has_different)
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
select_numbered_steps (Trainer *trainer, size_t first)
{
  const Step *steps = trainer->recorded;
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
count_overlaps (const Trainer *trainer, size_t distance)
{
  size_t first = trainer->n_steps > OVERLAP_STEPS ? trainer->n_steps - OVERLAP_STEPS : 0;
  size_t n = 0;

  for (size_t i = first + distance; i < trainer->n_steps; i++)
    n += trainer->steps[i].submitted_at + MIN_OVERLAP < trainer->steps[i - distance].ended_at;
  return n;
}

static void
select_steps (Trainer *trainer)
{
  bool has_different;
  size_t first = find_first_numbered_step (trainer, &has_different);
  size_t n_numbered = trainer->n_recorded - first;

  trainer->steps = trainer->recorded;
  trainer->n_steps = trainer->n_recorded;
  trainer->is_numbered = false;
  trainer->estimate.n_ahead = 0;
  if (has_different && (first == 0 || n_numbered >= MIN_STEPS_OF_ESTIMATE))
    {
      select_numbered_steps (trainer, first);
      while (trainer->estimate.n_ahead < MAX_STEPS_AHEAD
             && count_overlaps (trainer, trainer->estimate.n_ahead + 1) >= MIN_OVERLAPS)
        trainer->estimate.n_ahead++;
    }
  else
    trainer->estimate.has_several_trainers = count_overlaps (trainer, 1) >= MIN_OVERLAPS;
}

/* Number of steps from one to another, which may not all be recorded. */
static LbTime
get_distance (const Trainer *trainer, size_t from, size_t to)
{
  if (trainer->is_numbered)
    return trainer->steps[to].number - trainer->steps[from].number;
  return (LbTime)to - (LbTime)from;
}

/* --- period --- */

/* Time at which a step counts as ended. A step that stayed open while the trainer submitted the
 * next one lost its trainer or the report of its end. */
static LbTime
get_end_of_earlier_step (const Trainer *trainer, size_t i, size_t later)
{
  const Step *step = &trainer->steps[i];
  LbTime next = trainer->steps[later].submitted_at;

  return step->ended_at > 0 && step->ended_at < next ? step->ended_at : next;
}

static LbTime
get_turnaround (const Trainer *trainer, size_t i, size_t earlier)
{
  return trainer->steps[i].submitted_at - get_end_of_earlier_step (trainer, earlier, i);
}

static void
measure_steps (Trainer *trainer)
{
  trainer->min_turnaround = LB_TIME_NEVER;
  trainer->longest_duration = 0;
  trainer->period_bound = 0;
  for (size_t i = 0; i < trainer->n_steps; i++)
    {
      const Step *step = &trainer->steps[i];
      if (step->ended_at - step->submitted_at > trainer->longest_duration)
        trainer->longest_duration = step->ended_at - step->submitted_at;
      if (i == 0)
        continue;
      LbTime mean
          = (step->submitted_at - trainer->steps[0].submitted_at) / get_distance (trainer, 0, i);
      if (trainer->period_bound == 0 || mean < trainer->period_bound)
        trainer->period_bound = mean;
      if (i <= trainer->estimate.n_ahead)
        continue;
      size_t awaited = i - 1 - trainer->estimate.n_ahead;
      if (trainer->steps[awaited].ended_at > 0
          && get_turnaround (trainer, i, awaited) < trainer->min_turnaround)
        trainer->min_turnaround = get_turnaround (trainer, i, awaited);
    }
  if (trainer->min_turnaround == LB_TIME_NEVER)
    trainer->min_turnaround = 0;
}

/* Collects the indexes of the newest steps that the trainer waited to submit. Returns their number.
 */
static size_t
collect_steps_after_wait (const Trainer *trainer, size_t *indexes)
{
  LbTime min_wait = MIN_WAIT + trainer->period_bound / MIN_WAIT_DIVISOR;
  size_t n = 0;

  for (size_t i = trainer->n_steps; i > 1 && n < MAX_STEPS_AFTER_WAIT; i--)
    if (trainer->steps[i - 2].ended_at > 0
        && get_turnaround (trainer, i - 1, i - 2) >= trainer->min_turnaround + min_wait)
      indexes[n++] = i - 1;
  return n;
}

/* Returns how many of the steps lie on a schedule with this period that contains the step `first`,
 * and refines the period by the two of them that are furthest apart. */
static size_t
count_steps_on_schedule (
    const Trainer *trainer, const size_t *indexes, size_t n, size_t first, double *period)
{
  const Step *steps = trainer->steps;
  size_t oldest = first;
  size_t newest = first;
  size_t n_on_schedule = 0;

  for (size_t i = 0; i < n; i++)
    {
      double distance = (double)(steps[indexes[i]].submitted_at - steps[first].submitted_at);
      double n_periods = (double)indexes[i] - (double)first;
      if (fabs (distance - n_periods * *period) > SCHEDULE_TOLERANCE)
        continue;
      n_on_schedule++;
      oldest = indexes[i] < oldest ? indexes[i] : oldest;
      newest = indexes[i] > newest ? indexes[i] : newest;
    }
  if (newest > oldest)
    *period = (double)(steps[newest].submitted_at - steps[oldest].submitted_at)
              / (double)(newest - oldest);
  return n_on_schedule;
}

/* Finds the period by which most of the steps after a wait lie on one schedule; 0: there is none.
 * If the steps did not wait for the schedule, for example because the time of training varies, they
 * lie on no common schedule. */
static LbTime
find_period_of_schedule (const Trainer *trainer)
{
  size_t indexes[MAX_STEPS_AFTER_WAIT];
  size_t n = collect_steps_after_wait (trainer, indexes);
  size_t most = 0;
  double best = 0;

  /* If enough steps are on a schedule, some of these pairs consist of two of them. All pairs would
   * cost some hundreds of microseconds per division. */
  for (size_t i = 0, j = n / 2; j > 0 && j < n; i++, j++)
    {
      double period = (double)(trainer->steps[indexes[i]].submitted_at
                               - trainer->steps[indexes[j]].submitted_at)
                      / (double)(indexes[i] - indexes[j]);
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

static double
compute_slope (const Trainer *trainer, size_t from, size_t to)
{
  return (double)(trainer->steps[to].submitted_at - trainer->steps[from].submitted_at)
         / (double)get_distance (trainer, from, to);
}

/* Collects the indexes of the steps that form the lower convex hull of the times of submission by
 * number. Returns how many they are. */
static size_t
collect_earliest_steps (const Trainer *trainer, size_t *hull)
{
  size_t n = 0;

  for (size_t i = 0; i < trainer->n_steps; i++)
    {
      while (n >= 2
             && compute_slope (trainer, hull[n - 2], hull[n - 1])
                    >= compute_slope (trainer, hull[n - 1], i))
        n--;
      hull[n++] = i;
    }
  return n;
}

/* Whether the trainer could have submitted the step earlier, but waited. */
static bool
is_step_after_wait (const Trainer *trainer, size_t i)
{
  LbTime min_wait = MIN_WAIT + trainer->period_bound / MIN_WAIT_DIVISOR;

  if (i <= trainer->estimate.n_ahead)
    return false;
  size_t awaited = i - 1 - trainer->estimate.n_ahead;
  return trainer->steps[awaited].ended_at > 0
         && get_turnaround (trainer, i, awaited) >= trainer->min_turnaround + min_wait;
}

/* Returns how many steps were submitted at their time on the schedule that contains the two steps,
 * and the period of these; 0 if these are few and the trainer does not seem to have waited. */
static size_t
count_numbered_steps_on_schedule (const Trainer *trainer, size_t from, size_t to, double *period)
{
  double slope = compute_slope (trainer, from, to);
  size_t oldest = from;
  size_t newest = to;
  size_t n = 0;
  size_t n_waits = 0;

  for (size_t i = 0; i < trainer->n_steps; i++)
    {
      double distance
          = (double)(trainer->steps[i].submitted_at - trainer->steps[from].submitted_at);
      if (fabs (distance - (double)get_distance (trainer, from, i) * slope) > SCHEDULE_TOLERANCE)
        continue;
      n++;
      n_waits += is_step_after_wait (trainer, i);
      oldest = i < oldest ? i : oldest;
      newest = i > newest ? i : newest;
    }
  *period = compute_slope (trainer, oldest, newest);
  /* If all steps take the same time, none shows how soon the trainer could have submitted it. */
  bool is_steady = (double)n >= MIN_SHARE_ON_SCHEDULE * (double)trainer->n_steps;
  return n_waits >= MIN_WAITS_ON_SCHEDULE || is_steady ? n : 0;
}

/* Finds the period of a trainer that numbers its steps; 0: not seen. No step is submitted before
 * its scheduled time, so the schedule is a line below all submissions on which several lie. Late
 * steps are submitted as soon as the trainer can, which is not periodic. */
static LbTime
find_period_of_numbered_steps (const Trainer *trainer)
{
  size_t hull[MAX_STEPS];
  size_t n = collect_earliest_steps (trainer, hull);
  size_t most = 0;
  double best = 0;

  for (size_t i = 1; i < n; i++)
    {
      double period;
      if (get_distance (trainer, hull[i - 1], hull[i]) < MIN_STEPS_ON_SCHEDULE - 1)
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
find_steady_interval (const Trainer *trainer)
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

static LbTime
find_observed_period (const Trainer *trainer)
{
  if (trainer->is_numbered)
    return find_period_of_numbered_steps (trainer);
  LbTime period = find_period_of_schedule (trainer);

  return period > 0 ? period : find_steady_interval (trainer);
}

/* --- lag --- */

/* Whether the trainer paused before the step for so long that it counts as having stopped. */
static bool
is_start_after_stop (const Trainer *trainer, size_t i)
{
  LbTime limit = STOPPED_AFTER_PERIODS * trainer->estimate.period;

  if (trainer->steps[i - 1].ended_at > 0)
    return get_turnaround (trainer, i, i - 1) > limit;
  return trainer->steps[i].submitted_at - trainer->steps[i - 1].submitted_at
         > limit + trainer->longest_duration;
}

/* Returns the lag at the submission of a step that is `distance` steps after one with this lag. */
static LbTime
add_interval_to_lag (const Trainer *trainer, LbTime lag, LbTime interval, LbTime distance)
{
  lag += interval - distance * trainer->estimate.period;
  return lag > 0 ? lag : 0;
}

/* Time at which the trainer can submit its next step at the earliest, so far as is known now. */
static LbTime
get_earliest_next_submission (const Trainer *trainer, LbTime now)
{
  if (trainer->n_steps <= trainer->estimate.n_ahead)
    return now;
  const Step *awaited = &trainer->steps[trainer->n_steps - 1 - trainer->estimate.n_ahead];
  LbTime earliest = (awaited->ended_at > 0 ? awaited->ended_at : now) + trainer->min_turnaround;

  return earliest > now ? earliest : now;
}

static bool
has_trainer_stopped (const Trainer *trainer, LbTime period, LbTime now)
{
  const Step *last = &trainer->steps[trainer->n_steps - 1];
  LbTime limit = STOPPED_AFTER_PERIODS * period;

  if (last->ended_at > 0)
    return now - last->ended_at > limit;
  /* The trainer of a step that stays open may have been lost. */
  return now - last->submitted_at > limit + STOPPED_AFTER_PERIODS * trainer->longest_duration;
}

static void
estimate_lag (Trainer *trainer, LbTime now)
{
  const Step *last = &trainer->steps[trainer->n_steps - 1];
  LbTime lags[MAX_STEPS] = { 0 };
  LbTime held = 0;

  for (size_t i = 1; i < trainer->n_steps; i++)
    if (!is_start_after_stop (trainer, i))
      lags[i] = add_interval_to_lag (trainer, lags[i - 1],
                                     trainer->steps[i].submitted_at
                                         - trainer->steps[i - 1].submitted_at,
                                     get_distance (trainer, i - 1, i));
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
average_tokens (Trainer *trainer)
{
  size_t n = trainer->n_steps < AVERAGED_STEPS ? trainer->n_steps : AVERAGED_STEPS;
  double sum = 0;

  for (size_t i = 0; i < n; i++)
    sum += trainer->steps[trainer->n_steps - 1 - i].tokens;
  trainer->estimate.n_steps = n;
  trainer->estimate.tokens_per_step = sum / (double)n;
}

/* Returns the capacity times the duration, in seconds, of a time in the past. Capacity from before
 * the first known value counts as unchanged. */
static double
integrate_capacity (const Trainer *trainer, LbTime from, LbTime to)
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
measure_needed_capacity (const Trainer *trainer)
{
  double capacity_seconds = 0;
  double tokens = 0;
  size_t n = 0;

  /* Overlapping steps share the capacity, and their durations do not tell how. */
  if (trainer->estimate.n_ahead > 0)
    return 0;
  for (size_t i = trainer->n_steps; i > 0 && n < MEASURED_STEPS; i--)
    {
      const Step *step = &trainer->steps[i - 1];
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
estimate_own_period (Trainer *trainer)
{
  select_steps (trainer);
  measure_steps (trainer);
  trainer->estimate.priority = trainer->steps[trainer->n_steps - 1].priority;
  trainer->estimate.is_known = trainer->n_steps >= MIN_STEPS_OF_ESTIMATE
                               && trainer->period_bound > 0
                               && !trainer->estimate.has_several_trainers;
  trainer->estimate.period = trainer->estimate.is_known ? find_observed_period (trainer) : 0;
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
      const Trainer *trainer = lags->trainers[i];
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
      Trainer *trainer = lags->trainers[i];
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

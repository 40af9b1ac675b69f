#ifndef UNEVEN_FIXTURE_H
#define UNEVEN_FIXTURE_H

#include "dispatch-fixture.h"

#include "lb-switch.h"

#include <gsl/gsl_randist.h>
#include <math.h>
#include <stdlib.h>

/* Virtual-time replay of a trainer's steps on engines of different speeds. Each engine is also
 * NOISE_SLOWDOWN times slower in a share of the intervals of NOISE_INTERVAL. */

#define REPLAY_ENGINES 12
#define REPLAY_SLOTS 6
#define REPLAY_STEPS 4
#define REPLAY_TEXTS 104
#define REPLAY_GROUP_SIZE 8
#define REPLAY_TICK (10 * LB_MSEC)
#define REPLAY_STEP_PERIOD (4 * LB_SEC)
#define REPLAY_DUE_TIME (7500 * LB_MSEC)
#define REPLAY_TOKEN_SECONDS 0.030
#define REPLAY_REPORT_TICKS 30
#define NOISE_INTERVAL (600 * LB_MSEC)
#define NOISE_SHARE 0.15
#define NOISE_SLOWDOWN 2.5
#define SLOW_PHASE_SLOWDOWN 3.5
#define SLOW_PHASE_START (14 * LB_SEC)
#define SLOW_PHASE_DURATION (7 * LB_SEC)
#define SLOW_PHASE_GRACE (300 * LB_MSEC)
#define REPLAY_MAX_INTERVALS 200
#define MEDIAN_TEXT_TOKENS 40.0
#define MAX_TEXT_TOKENS 180.0
#define TEXT_SPREAD 0.6 /* standard deviation of the logarithm of expected lengths */
/* Standard deviation of the logarithm of true over expected lengths. */
#define ESTIMATE_SPREAD 0.5

typedef struct
{
  double length;
  double progress; /* tokens generated */
  int64_t n_delivered;
  uint32_t attempt;
  int engine; /* index of the engine; -1: waiting or complete */
  LbTime completed_at;
} ReplayText;

typedef struct
{
  Fixture f;
  gsl_rng *rng;
  double speeds[REPLAY_ENGINES];
  double batch_cost; /* relative increase of the time per token in a full batch */
  bool is_slow[REPLAY_ENGINES][REPLAY_MAX_INTERVALS];
  int n_running[REPLAY_ENGINES];
  ReplayText texts[REPLAY_STEPS * REPLAY_TEXTS + 1]; /* by request id */
  LbTime step_started_at[REPLAY_STEPS];
  /* when the first engine becomes SLOW_PHASE_SLOWDOWN times slower for SLOW_PHASE_DURATION; 0:
   * never */
  LbTime slow_from;
  int n_sent_while_slow; /* texts sent to that engine from SLOW_PHASE_GRACE after slow_from on */
} Replay;

typedef struct
{
  double last_text;   /* mean seconds from a step's start to its last text */
  double most_groups; /* mean seconds until 90% of the step's groups are complete */
  int n_sent_while_slow;
} ReplayResult;

static inline void
replay_init (
    Replay *replay, const double *speeds, size_t n_speeds, double batch_cost, uint64_t seed)
{
  static const LcDispatchSettings settings = { .data_centre = "hall-a", .queue_limit = 1000 };

  memset (replay, 0, sizeof *replay);
  fixture_init (&replay->f, &settings, REPLAY_ENGINES, REPLAY_SLOTS);
  replay->f.pool.live_reserve = 0;
  fixture_apply_endpoint_set (&replay->f);
  replay->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (replay->rng, seed);
  replay->batch_cost = batch_cost;
  for (int i = 0; i < REPLAY_ENGINES; i++)
    {
      replay->speeds[i] = speeds[(size_t)i % n_speeds];
      for (int j = 0; j < REPLAY_MAX_INTERVALS; j++)
        replay->is_slow[i][j] = gsl_rng_uniform (replay->rng) < NOISE_SHARE;
    }
}

static inline void
replay_clear (Replay *replay)
{
  gsl_rng_free (replay->rng);
  fixture_clear (&replay->f);
}

static inline void
replay_submit_step (Replay *replay, int step)
{
  Fixture *f = &replay->f;

  replay->step_started_at[step] = f->now;
  for (int i = 0; i < REPLAY_TEXTS; i++)
    {
      LcRequestSpec spec = fixture_make_request_spec (f, LC_KIND_SAMPLE);
      double expected
          = fmin (MEDIAN_TEXT_TOKENS * exp (gsl_ran_gaussian (replay->rng, TEXT_SPREAD)),
                  MAX_TEXT_TOKENS);

      spec.expected_tokens = (int64_t)expected + 1;
      spec.soft_deadline = f->now + REPLAY_DUE_TIME;
      spec.latest_start = spec.soft_deadline
                          - (LbTime)((double)spec.expected_tokens * REPLAY_TOKEN_SECONDS * LB_SEC);
      replay->texts[spec.id]
          = (ReplayText){ .length
                          = fmin (expected * exp (gsl_ran_gaussian (replay->rng, ESTIMATE_SPREAD)),
                                  MAX_TEXT_TOKENS),
                          .engine = -1 };
      cr_assert (fixture_submit_request (f, &spec));
    }
}

static inline bool
replay_is_in_slow_phase (const Replay *replay, int engine)
{
  LbTime elapsed = replay->f.now - replay->slow_from;

  return replay->slow_from > 0 && engine == 0 && elapsed >= 0 && elapsed < SLOW_PHASE_DURATION;
}

static inline void
replay_take_actions (Replay *replay)
{
  LbLink *link = NULL;

  while ((link = lb_list_pop (&replay->f.actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);
      ReplayText *text = &replay->texts[action->request];

      if (action->type == LC_ACTION_SEND)
        {
          text->engine = atoi (action->endpoint + 1) - 1;
          text->attempt = action->attempt;
          replay->n_running[text->engine]++;
          replay->n_sent_while_slow += replay_is_in_slow_phase (replay, text->engine)
                                       && replay->f.now >= replay->slow_from + SLOW_PHASE_GRACE;
        }
      lc_action_free (action);
    }
}

static inline double
replay_token_seconds (const Replay *replay, int engine)
{
  bool is_slow = replay->is_slow[engine][replay->f.now / NOISE_INTERVAL % REPLAY_MAX_INTERVALS];
  double fill = (double)replay->n_running[engine] / REPLAY_SLOTS;
  double slowdown = is_slow ? NOISE_SLOWDOWN : 1;

  if (replay_is_in_slow_phase (replay, engine))
    slowdown = SLOW_PHASE_SLOWDOWN;
  return REPLAY_TOKEN_SECONDS / replay->speeds[engine] * slowdown * (1 + replay->batch_cost * fill);
}

static inline void
replay_advance_text (Replay *replay, LcRequestId id, double token_seconds)
{
  ReplayText *text = &replay->texts[id];
  int engine = text->engine;
  int64_t n_new = 0;
  bool is_last = false;

  text->progress += (double)REPLAY_TICK / LB_SEC / token_seconds;
  is_last = text->progress >= text->length;
  n_new = (int64_t)fmin (text->progress, text->length) + is_last - text->n_delivered;
  if (n_new > 0)
    fixture_deliver_piece (&replay->f, id, text->attempt, text->n_delivered, n_new, is_last);
  text->n_delivered += n_new;
  if (!is_last)
    return;
  text->engine = -1;
  text->completed_at = replay->f.now;
  replay->n_running[engine]--;
  fixture_end_attempt (&replay->f, id, text->attempt, LC_END_COMPLETE);
}

static inline void
replay_report_loads (Replay *replay)
{
  Fixture *f = &replay->f;

  for (int i = 0; i < REPLAY_ENGINES; i++)
    {
      LcLoadReport report = { .version = 1,
                              .running = replay->n_running[i],
                              .measured_at = f->now,
                              .is_from_registry = true };

      lc_dispatch_record_load_report (f->dispatch, f->members[i].name, &report, f->now,
                                      &f->actions);
    }
}

static inline void
replay_tick (Replay *replay, int n_steps)
{
  double token_seconds[REPLAY_ENGINES];
  Fixture *f = &replay->f;

  fixture_tick_dispatch_at (f, f->now + REPLAY_TICK);
  replay_take_actions (replay);
  for (int i = 0; i < REPLAY_ENGINES; i++)
    token_seconds[i] = replay_token_seconds (replay, i);
  for (LcRequestId id = 1; id <= (LcRequestId)n_steps * REPLAY_TEXTS; id++)
    if (replay->texts[id].engine >= 0)
      replay_advance_text (replay, id, token_seconds[replay->texts[id].engine]);
  if (f->now / REPLAY_TICK % REPLAY_REPORT_TICKS == 0)
    replay_report_loads (replay);
  replay_take_actions (replay);
}

static inline int
replay_compare_times (const void *a, const void *b)
{
  LbTime x = *(const LbTime *)a;
  LbTime y = *(const LbTime *)b;

  return (x > y) - (x < y);
}

/* Sorts the times when the groups of the step are complete. Returns false if any is not. */
static inline bool
replay_sort_group_ends (const Replay *replay, int step, LbTime *ends)
{
  const ReplayText *texts = &replay->texts[step * REPLAY_TEXTS + 1];

  memset (ends, 0, REPLAY_TEXTS / REPLAY_GROUP_SIZE * sizeof *ends);
  for (int i = 0; i < REPLAY_TEXTS; i++)
    {
      LbTime *end = &ends[i / REPLAY_GROUP_SIZE];

      if (texts[i].completed_at == 0)
        return false;
      *end = texts[i].completed_at > *end ? texts[i].completed_at : *end;
    }
  qsort (ends, REPLAY_TEXTS / REPLAY_GROUP_SIZE, sizeof *ends, replay_compare_times);
  return true;
}

/* Runs the steps one after the other; each starts when the previous one is complete, and at least
 * REPLAY_STEP_PERIOD after it. The first step, in which nothing is known yet, does not count. */
static inline ReplayResult
replay_run (Replay *replay)
{
  ReplayResult result = { 0 };
  LbTime ends[REPLAY_TEXTS / REPLAY_GROUP_SIZE];
  const int n_groups = REPLAY_TEXTS / REPLAY_GROUP_SIZE;
  const int most = n_groups * 9 / 10;

  for (int step = 0; step < REPLAY_STEPS; step++)
    {
      replay_submit_step (replay, step);
      while (!replay_sort_group_ends (replay, step, ends)
             || replay->f.now - replay->step_started_at[step] < REPLAY_STEP_PERIOD)
        replay_tick (replay, step + 1);
      if (step == 0)
        continue;
      result.last_text += (double)(ends[n_groups - 1] - replay->step_started_at[step]) / LB_SEC;
      result.most_groups += (double)(ends[most] - replay->step_started_at[step]) / LB_SEC;
    }
  result.last_text /= REPLAY_STEPS - 1;
  result.most_groups /= REPLAY_STEPS - 1;
  result.n_sent_while_slow = replay->n_sent_while_slow;
  return result;
}

#endif

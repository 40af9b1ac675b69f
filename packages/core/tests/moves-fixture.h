/* Runs the batches of one trainer on simulated engines in virtual time. */
#ifndef MOVES_FIXTURE_H
#define MOVES_FIXTURE_H

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lc-batch.h"
#include "lc-dispatch.h"

#include <math.h>
#include <criterion/criterion.h>
#include <gsl/gsl_randist.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_ENGINES 12
#define SIM_SLOTS 6
#define SIM_MAX_RUNS 1024
#define SIM_MAX_STEPS 64
#define SIM_ITEMS 96
#define SIM_GROUP 8
#define SIM_TICK (10 * LB_MSEC)
#define SIM_EVENT_SECONDS 0.05 /* time per event at pace 1 */
#define SIM_FIRST_PIECE_SECONDS 0.12
#define SIM_NOISE_PERIOD (600 * LB_MSEC)
/* Events still to be generated of a text whose move away from the faulty engine is counted. */
#define SIM_LONG_EVENTS 30
#define SIM_REPORT_PERIOD (200 * LB_MSEC)

typedef struct
{
  LcBatch *batch; /* NULL: not submitted, or ended */
  int lengths[SIM_ITEMS];
  LbTime started_at;
  double seconds; /* duration, once the target number of groups is complete */
} SimStep;

typedef struct
{
  LcRequestId request; /* 0: the entry is free */
  uint32_t attempt;    /* 0: no attempt is running */
  SimStep *step;
  size_t item;
  int engine;
  int previous_engine; /* engine that the text left by a move; -1: none */
  int64_t events;      /* events that the submitter has */
  double wait_seconds; /* until the next event, at pace 1 */
} SimRun;

typedef struct
{
  LcDispatch *dispatch;
  LcEndpointMember members[SIM_ENGINES];
  LcPool pool;
  LcResourceSet set;
  LcBatchHistory *history;
  SimRun runs[SIM_MAX_RUNS];
  SimStep steps[SIM_MAX_STEPS];
  size_t n_steps;
  double paces[SIM_ENGINES]; /* usual time per event, as a multiple of SIM_EVENT_SECONDS */
  double noise[SIM_ENGINES]; /* present slowdown */
  double noise_share;        /* share of the time in which an engine is 2.5 times slower */
  int faulty_engine;
  double fault; /* slowdown of faulty_engine; 0: it stalls */
  LbTime fault_from, fault_to;
  LbTime left_faulty_before; /* texts that leave faulty_engine later are not counted */
  bool target_dies;          /* the endpoint chosen for a move leaves before the text arrives */
  double mean_length;
  gsl_rng *random;
  LcRequestId last_request;
  LbTime now;
  int n_runs, n_moves, n_moves_to_chosen;
  int n_left_faulty;
  double left_faulty_seconds; /* sum of the times from fault_from until texts left faulty_engine */
  int n_refused[LC_N_MOVE_REASONS];
} Sim;

static inline LcRequestId
sim_next_request_id (void *user)
{
  return ++((Sim *)user)->last_request;
}

static inline void
sim_init (Sim *sim, const double *paces, size_t n_paces)
{
  const LcDispatchSettings settings = { .queue_limit = 10000, .retry_budget = 1, .seed = 7 };

  *sim = (Sim){ .now = LB_SEC, .faulty_engine = -1, .mean_length = 30 };
  sim->dispatch = lc_dispatch_new (&settings);
  sim->history = lc_batch_history_new ();
  sim->random = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (sim->random, 11);
  LB_COPY (sim->pool.name, "reader");
  sim->set = (LcResourceSet){ .revision = 1, .pools = &sim->pool, .n_pools = 1 };
  sim->set.endpoints = sim->members;
  sim->set.n_endpoints = SIM_ENGINES;
  for (int i = 0; i < SIM_ENGINES; i++)
    {
      sim->members[i] = (LcEndpointMember){ .kind = LC_ENDPOINT_ENGINE, .concurrency = SIM_SLOTS };
      snprintf (sim->members[i].name, sizeof sim->members[i].name, "e%d", i);
      LB_COPY (sim->members[i].pool, "reader");
      LB_COPY (sim->members[i].address, "127.0.0.1:9");
      sim->paces[i] = paces[(size_t)i % n_paces];
      sim->noise[i] = 1;
    }
}

static inline SimRun *
sim_find_run (Sim *sim, LcRequestId request)
{
  for (size_t i = 0; i < SIM_MAX_RUNS; i++)
    if (sim->runs[i].request == request)
      return &sim->runs[i];
  return NULL;
}

static inline int
sim_count_runs_at (const Sim *sim, int engine)
{
  int n = 0;

  for (size_t i = 0; i < SIM_MAX_RUNS; i++)
    n += sim->runs[i].request && sim->runs[i].attempt && sim->runs[i].engine == engine;
  return n;
}

static inline void sim_perform_dispatch_actions (Sim *sim, LbList *actions);
static inline void sim_perform_batch_actions (Sim *sim, SimStep *step, LbList *actions);

static inline void
sim_finish_run (Sim *sim, SimRun *run, LbErrorCode error)
{
  SimStep *step = run->step;
  LcRequestId request = run->request;
  LbList actions;

  run->request = 0;
  lb_list_init (&actions);
  lc_batch_finish_generation (step->batch, request, error, sim->now, &actions);
  sim_perform_batch_actions (sim, step, &actions);
}

static inline void
sim_perform_dispatch_actions (Sim *sim, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcAction *action = LB_CONTAINER (link, LcAction, link);
      SimRun *run = sim_find_run (sim, action->request);
      if (run && action->type == LC_ACTION_SEND)
        {
          run->attempt = action->attempt;
          run->engine = atoi (action->endpoint + 1);
          run->wait_seconds = SIM_FIRST_PIECE_SECONDS;
          sim->n_moves_to_chosen += strcmp (action->decision.reason, "chosen-for-move") == 0;
        }
      else if (run && action->type == LC_ACTION_FINISH)
        sim_finish_run (sim, run, action->error);
      lc_action_free (action);
    }
}

static inline void
sim_cancel_run (Sim *sim, SimRun *run)
{
  LbList actions;

  lb_list_init (&actions);
  lc_dispatch_cancel (sim->dispatch, run->request, sim->now, &actions);
  sim_perform_dispatch_actions (sim, &actions);
}

static inline void
sim_submit (Sim *sim, SimStep *step, const LcBatchAction *action)
{
  LcRequestSpec spec = { .id = action->request,
                         .kind = LC_KIND_SAMPLE,
                         .repeatable = true,
                         .resumable = true,
                         .failure_is_final = true,
                         .latest_start = action->latest_start,
                         .soft_deadline = action->due_at,
                         .prompt_tokens = 200,
                         .expected_tokens = action->remaining_events,
                         .deadline = LB_TIME_NEVER,
                         .resume_at = action->resume_at,
                         .n_avoid = action->avoid_endpoint[0] ? 1 : 0 };
  SimRun *run = sim_find_run (sim, 0);
  LbTime retry_after = 0;
  LbError error;
  LbList actions;

  cr_assert_not_null (run);
  *run = (SimRun){ .request = action->request,
                   .step = step,
                   .item = action->item_index,
                   .events = action->resume_at };
  LB_COPY (spec.pool, "reader");
  LB_COPY (spec.caller, "trainer");
  LB_COPY (spec.avoid[0], action->avoid_endpoint);
  LB_COPY (spec.preferred_endpoint, action->preferred_endpoint);
  sim->n_runs++;
  lb_list_init (&actions);
  if (sim->target_dies && spec.preferred_endpoint[0])
    lc_dispatch_mark_endpoint_leaving (sim->dispatch, spec.preferred_endpoint, "", LC_LEAVING_PEER,
                                       sim->now, &actions);
  cr_assert (lc_dispatch_submit (sim->dispatch, &spec, sim->now, &actions, &retry_after, &error));
  sim_perform_dispatch_actions (sim, &actions);
}

static inline void
sim_preempt (Sim *sim, SimStep *step, const LcBatchAction *action)
{
  SimRun *run = sim_find_run (sim, action->request);
  LcMoveDecision move = { 0 };

  if (!run)
    return;
  if (action->needs_move_decision)
    move = lc_dispatch_decide_move (sim->dispatch, action->request, &action->move, sim->now);
  if (!lc_move_is_reason_to_move (move.reason))
    {
      sim->n_refused[move.reason]++;
      lc_batch_refuse_move (step->batch, action->request, move.reason, sim->now);
      return;
    }
  sim->n_moves++;
  if (run->engine == sim->faulty_engine && sim->now >= sim->fault_from
      && sim->now < sim->left_faulty_before
      && step->lengths[run->item] - run->events >= SIM_LONG_EVENTS)
    {
      sim->n_left_faulty++;
      sim->left_faulty_seconds += (double)(sim->now - sim->fault_from) / LB_SEC;
    }
  if (action->needs_move_decision)
    lc_batch_accept_move (step->batch, action->request, &move);
  sim_cancel_run (sim, run);
  sim_finish_run (sim, run, LB_ERROR_CLOSED);
}

static inline void
sim_perform_batch_actions (Sim *sim, SimStep *step, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      if (action->type == LC_BATCH_GENERATE)
        sim_submit (sim, step, action);
      else if (action->type == LC_BATCH_PREEMPT)
        sim_preempt (sim, step, action);
      else if (action->type == LC_BATCH_WRITE_RESULTS)
        lc_batch_finish_result_write (step->batch, true, sim->now, actions);
      else if (action->type == LC_BATCH_CHECKPOINT)
        lc_batch_finish_checkpoint (step->batch, true);
      lc_batch_action_free (action);
    }
}

/* Submits a step of SIM_ITEMS texts in groups of SIM_GROUP, of which 90% must be complete. */
static inline void
sim_start_step (Sim *sim)
{
  SimStep *step = &sim->steps[sim->n_steps++];
  LcBatchSpec spec = { .n_items = SIM_ITEMS, .target_groups = SIM_ITEMS / SIM_GROUP * 9 / 10 + 1 };
  const LcBatchSettings settings = { .history = sim->history,
                                     .tokens_per_event = 1,
                                     .max_failures = 9,
                                     .resumable = true,
                                     .due_at = sim->now + 7 * LB_SEC,
                                     .deadline = LB_TIME_NEVER,
                                     .next_request_id = sim_next_request_id,
                                     .user = sim };
  LbList actions;

  spec.items = LB_NEW_ARRAY (LcBatchItemSpec, SIM_ITEMS);
  for (size_t i = 0; i < SIM_ITEMS; i++)
    {
      double length = sim->mean_length * gsl_ran_lognormal (sim->random, -0.18, 0.6);
      step->lengths[i] = length < 4 ? 4 : length > 200 ? 200 : (int)length;
      snprintf (spec.items[i].request.id, LB_NAME_MAX, "%zu", i);
      snprintf (spec.items[i].group, LB_NAME_MAX, "g%zu", i / SIM_GROUP);
      spec.items[i].max_tokens = 400;
      spec.items[i].expected_tokens
          = (int64_t)(step->lengths[i] * gsl_ran_lognormal (sim->random, 0, 0.2)) + 1;
    }
  step->started_at = sim->now;
  step->batch = lc_batch_new (&spec, &settings);
  lb_list_init (&actions);
  lc_batch_start (step->batch, sim->now, &actions);
  sim_perform_batch_actions (sim, step, &actions);
}

/* Ends the step once the target number of groups is complete. */
static inline void
sim_tick_step (Sim *sim, SimStep *step)
{
  int unfinished[SIM_ITEMS / SIM_GROUP] = { 0 };
  int64_t n_complete = 0;
  LbList actions;

  lb_list_init (&actions);
  lc_batch_tick (step->batch, sim->now, &actions);
  sim_perform_batch_actions (sim, step, &actions);
  for (size_t i = 0; i < SIM_MAX_RUNS; i++)
    if (sim->runs[i].request && sim->runs[i].step == step)
      unfinished[sim->runs[i].item / SIM_GROUP]++;
  for (size_t i = 0; i < SIM_ITEMS / SIM_GROUP; i++)
    n_complete += unfinished[i] == 0;
  if (n_complete < lc_batch_get_spec (step->batch)->target_groups)
    return;
  step->seconds = (double)(sim->now - step->started_at) / LB_SEC;
  for (size_t i = 0; i < SIM_MAX_RUNS; i++)
    if (sim->runs[i].request && sim->runs[i].step == step)
      {
        sim_cancel_run (sim, &sim->runs[i]);
        sim->runs[i].request = 0;
      }
  lc_batch_free (step->batch);
  step->batch = NULL;
}

static inline void
sim_send_event (Sim *sim, SimRun *run)
{
  LcPiece piece = { .offset = run->events, .tokens = 1, .version = 1 };
  LcRequestId request = run->request;
  uint32_t attempt = run->attempt;
  LbList actions;

  lb_list_init (&actions);
  piece.last = run->events + 1 >= run->step->lengths[run->item];
  cr_assert_eq (lc_dispatch_receive_piece (sim->dispatch, request, attempt, &piece, sim->now,
                                           &actions),
                LC_PIECE_FORWARD);
  lc_batch_add_streamed_event (run->step->batch, request, 1, sim->members[run->engine].name, "w",
                               sim->now);
  run->events++;
  run->wait_seconds += SIM_EVENT_SECONDS;
  if (piece.last)
    lc_dispatch_record_attempt_end (sim->dispatch, request, attempt, LC_END_COMPLETE, sim->now,
                                    &actions);
  sim_perform_dispatch_actions (sim, &actions);
}

static inline double
sim_engine_pace (const Sim *sim, int engine)
{
  bool is_faulty
      = engine == sim->faulty_engine && sim->now >= sim->fault_from && sim->now < sim->fault_to;

  return sim->paces[engine] * sim->noise[engine]
         * (is_faulty ? (sim->fault > 0 ? sim->fault : HUGE_VAL) : 1);
}

static inline void
sim_report_loads_and_draw_noise (Sim *sim)
{
  LbList actions;

  lb_list_init (&actions);
  for (int i = 0; i < SIM_ENGINES; i++)
    {
      LcLoadReport report = { .incarnation = "1", .version = 1, .measured_at = sim->now };
      report.running = sim_count_runs_at (sim, i);
      if ((sim->now + i * SIM_TICK) % SIM_NOISE_PERIOD == 0)
        sim->noise[i] = gsl_rng_uniform (sim->random) < sim->noise_share ? 2.5 : 1;
      if ((sim->now + i * SIM_TICK) % SIM_REPORT_PERIOD == 0)
        lc_dispatch_record_load_report (sim->dispatch, sim->members[i].name, &report, sim->now,
                                        &actions);
    }
  lc_dispatch_tick (sim->dispatch, sim->now, &actions);
  sim_perform_dispatch_actions (sim, &actions);
}

static inline void
sim_run_until (Sim *sim, LbTime until)
{
  for (; sim->now < until; sim->now += SIM_TICK)
    {
      sim_report_loads_and_draw_noise (sim);
      for (size_t i = 0; i < SIM_MAX_RUNS; i++)
        {
          SimRun *run = &sim->runs[i];
          if (!run->request || !run->attempt)
            continue;
          run->wait_seconds -= (double)SIM_TICK / LB_SEC / sim_engine_pace (sim, run->engine);
          if (run->wait_seconds <= 0)
            sim_send_event (sim, run);
        }
      for (size_t i = 0; i < sim->n_steps; i++)
        if (sim->steps[i].batch)
          sim_tick_step (sim, &sim->steps[i]);
    }
}

/* Applies the endpoints and submits a step each `period`. */
static inline void
sim_run_steps (Sim *sim, int n, LbTime period)
{
  LbList actions;

  lb_list_init (&actions);
  if (sim->n_steps == 0)
    lc_dispatch_configure (sim->dispatch, &sim->set, sim->now, &actions);
  sim_run_until (sim, sim->now + SIM_REPORT_PERIOD);
  for (int i = 0; i < n; i++)
    {
      sim_start_step (sim);
      sim_run_until (sim, sim->now + period);
    }
}

static inline double
sim_mean_step_seconds (const Sim *sim)
{
  double sum = 0;

  for (size_t i = 0; i < sim->n_steps; i++)
    sum += sim->steps[i].seconds > 0 ? sim->steps[i].seconds
                                     : (double)(sim->now - sim->steps[i].started_at) / LB_SEC;
  return sum / (double)sim->n_steps;
}

static inline void
sim_clear (Sim *sim)
{
  for (size_t i = 0; i < sim->n_steps; i++)
    lc_batch_free (sim->steps[i].batch);
  cr_assert_eq (lc_dispatch_count_invariant_failures (sim->dispatch), 0);
  lc_dispatch_free (sim->dispatch);
  lc_batch_history_free (sim->history);
  gsl_rng_free (sim->random);
}

#endif

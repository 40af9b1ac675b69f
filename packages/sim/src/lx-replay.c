#include "lx-replay.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* How long a replay goes on after its last stated time. */
#define AFTERWARDS (5 * LB_SEC)

typedef struct
{
  LbName name;
  LxCallResult result;
} NamedCall;

typedef struct
{
  const LxTrace *trace;
  LxWorld *world;
  LbTime begun;
  NamedCall *calls; /* one per line; unused ones have no name */
  bool *in_force;   /* per line: what was seen at its time */
  const char *name;
  FILE *out;
  size_t failed;
} Replay;

/* A line on its way to its time. */
typedef struct
{
  Replay *replay;
  size_t index;
} Due;

static const LxTraceLine *
line_of (const Due *due)
{
  return &due->replay->trace->lines[due->index];
}

static LxTrainer *
find_trainer (const Replay *replay, const char *name)
{
  LxWorld *world = replay->world;

  for (size_t i = 0; i < world->options.n_trainers; i++)
    if (strcmp (world->trainers[i].name, name) == 0)
      return &world->trainers[i];
  return NULL;
}

static const NamedCall *
find_call (const Replay *replay, const char *name)
{
  for (size_t i = 0; i < replay->trace->n_lines; i++)
    if (strcmp (replay->calls[i].name, name) == 0)
      return &replay->calls[i];
  return NULL;
}

static void
fail (Replay *replay, const LxTraceLine *line, const char *what)
{
  replay->failed++;
  fprintf (replay->out, "%s:%d: %s: %s (at %.3f s, event %" PRIu64 ")\n", replay->name, line->line,
           line->event ? "event" : lx_expect_name ((LxTraceExpect)line->expect), what,
           (double)(lx_world_now (replay->world) - replay->begun) / LB_SEC,
           lx_world_event_number (replay->world));
}

/* Events. */

static void
start_call (Replay *replay, size_t index)
{
  const LxTraceLine *line = &replay->trace->lines[index];
  NamedCall *call = &replay->calls[index];

  LB_COPY (call->name, line->call);
  lx_callers_submit (&replay->world->callers,
                     &(LxCallSpec){ .of_service = line->event == LX_EVENT_SERVICE,
                                    .repeatable = line->repeatable,
                                    .tokens = line->tokens,
                                    .deadline = line->deadline_ms * LB_MSEC,
                                    .instance = line->instance,
                                    .result = &call->result });
}

static void
start_steps (Replay *replay, const LxTraceLine *line)
{
  LxTrainer *trainer = find_trainer (replay, line->trainer);

  if (!trainer)
    fail (replay, line, "no such trainer");
  else
    lx_trainer_start (trainer, line->count);
}

static LxFault
fault_of (const char *name)
{
  LxFault fault = 0;

  while (strcmp (lx_fault_name (fault), name) != 0)
    fault++;
  return fault;
}

static void
strike (Replay *replay, const LxTraceLine *line)
{
  const LxTrainer *trainer = find_trainer (replay, line->trainer);

  if (!lx_faults_inject (&replay->world->faults, fault_of (line->fault), line->endpoint,
                         line->instance, trainer ? trainer->index : 0, line->for_ms * LB_MSEC))
    fail (replay, line, "no such endpoint or instance");
}

static void
change (Replay *replay, const LxTraceLine *line)
{
  LxWorld *world = replay->world;
  LxInstance *instance = lx_world_find_instance (world, line->instance[0] ? line->instance : "i1");

  if (instance && instance->alive)
    lx_registry_request_change (&world->registry, instance, line->live_reserve);
  else
    fail (replay, line, "no such instance, or it does not live");
}

static bool
is_in_force (const Replay *replay, int64_t revision)
{
  const LxWorld *world = replay->world;

  for (size_t i = 0; i < world->n_instances; i++)
    if (world->instances[i].alive && lc_config_revision (world->instances[i].config) < revision)
      return false;
  return true;
}

static void
on_line (void *owner, void *argument)
{
  Due *due = argument;
  Replay *replay = owner;
  const LxTraceLine *line = line_of (due);

  switch ((LxTraceEvent)line->event)
    {
    case LX_EVENT_STEPS:
      start_steps (replay, line);
      break;
    case LX_EVENT_CALL:
    case LX_EVENT_SERVICE:
      start_call (replay, due->index);
      break;
    case LX_EVENT_VERSION:
      lx_swaps_publish (&replay->world->swaps);
      break;
    case LX_EVENT_CHANGE:
      change (replay, line);
      break;
    case LX_EVENT_FAULT:
      strike (replay, line);
      break;
    default:
      replay->in_force[due->index] = is_in_force (replay, line->revision);
      break;
    }
  free (due);
}

/* Expectations, held against the end of the run. */

static bool
was_in_time (const Replay *replay, const LxTraceLine *line, LbTime at)
{
  return at > 0 && at - replay->begun <= line->by_ms * LB_MSEC;
}

static const char *
check_call (const Replay *replay, const LxTraceLine *line)
{
  const NamedCall *call = find_call (replay, line->call);

  if (!call)
    return "no such call";

  const LxJob *job = lx_audit_job (&replay->world->audit, call->result.job);
  if (line->expect == LX_EXPECT_RUNS)
    return job->runs <= line->count ? NULL : "it was started more often";
  if (call->result.ended == 0)
    return "it has no answer";
  if (!was_in_time (replay, line, call->result.ended))
    return "its answer came late";
  if (line->expect == LX_EXPECT_WHOLE)
    return call->result.error == LB_OK ? NULL : lb_error_name (call->result.error);
  if (line->expect == LX_EXPECT_UNKNOWN)
    return call->result.error != LB_OK && !lb_error_is_not_run (call->result.error)
               ? NULL
               : lb_error_name (call->result.error);
  if (!lb_error_is_not_run (call->result.error))
    return lb_error_name (call->result.error);
  return job->runs == 0 ? NULL : "it had run";
}

static const char *
check_trainer (const Replay *replay, const LxTraceLine *line)
{
  const LxTrainer *trainer = find_trainer (replay, line->trainer);

  if (!trainer)
    return "no such trainer";
  if (line->expect == LX_EXPECT_STALENESS)
    return trainer->oldest <= line->count ? NULL : "an older sample was delivered";
  if (line->expect == LX_EXPECT_MIXED)
    return trainer->mixed >= line->count ? NULL : "fewer samples have several versions";
  if (lx_trainer_step_finished_at (trainer, line->step) == 0)
    return "samples are missing";
  return was_in_time (replay, line, lx_trainer_step_finished_at (trainer, line->step))
             ? NULL
             : "the last sample came late";
}

static const char *
check_endpoint (const Replay *replay, const LxTraceLine *line)
{
  const LxEngine *engine = lx_world_find_engine (replay->world, line->endpoint);

  if (!engine)
    return "no such endpoint";
  if (engine->sent_while_leaving > replay->begun + line->after_ms * LB_MSEC)
    return "new work was sent to it later";
  return NULL;
}

static const char *
check_drained (const Replay *replay, const LxTraceLine *line)
{
  const LxInstance *instance = lx_world_find_instance (replay->world, line->instance);

  if (!instance)
    return "no such instance";
  return was_in_time (replay, line, instance->drain_ended) ? NULL : "it did not end in time";
}

static const char *
check_line (const Replay *replay, size_t index)
{
  const LxTraceLine *line = &replay->trace->lines[index];

  switch ((LxTraceExpect)line->expect)
    {
    case LX_EXPECT_WHOLE:
    case LX_EXPECT_NOT_RUN:
    case LX_EXPECT_UNKNOWN:
    case LX_EXPECT_RUNS:
      return check_call (replay, line);
    case LX_EXPECT_STEP_DONE:
    case LX_EXPECT_STALENESS:
    case LX_EXPECT_MIXED:
      return check_trainer (replay, line);
    case LX_EXPECT_NO_NEW_WORK:
      return check_endpoint (replay, line);
    case LX_EXPECT_DRAINED:
      return check_drained (replay, line);
    case LX_EXPECT_IN_FORCE:
      return replay->in_force[index] ? NULL : "an instance that lives has an older one";
    default:
      return NULL;
    }
}

/* When the line's event happens, or its expectation must hold. */
static LbTime
time_of (const LxTraceLine *line)
{
  bool by = line->expect != LX_EXPECT_NONE && line->by_ms < 86400000;

  return (by ? line->by_ms : line->at_ms) * LB_MSEC;
}

static LbTime
schedule (Replay *replay)
{
  LbTime last = 0;

  for (size_t i = 0; i < replay->trace->n_lines; i++)
    {
      const LxTraceLine *line = &replay->trace->lines[i];
      LbTime at = time_of (line);

      last = at > last ? at : last;
      if (line->event == LX_EVENT_NONE && line->expect != LX_EXPECT_IN_FORCE)
        continue;
      Due *due = LB_NEW (Due);
      *due = (Due){ .replay = replay, .index = i };
      lx_world_schedule (replay->world, at, on_line, replay, due, free);
    }
  return last;
}

static void
fill_options (const LxTrace *trace, LxOptions *options)
{
  lx_options_init (options, trace->site, trace->seed);
  options->scripted = true;
  options->n_trainers = (size_t)trace->trainers;
  options->groups = trace->groups;
  options->samples = trace->samples;
  options->shortest = trace->shortest;
  options->train_time = trace->train_ms * LB_MSEC;
  options->hedge_after = LB_SEC;
}

bool
lx_replay_run (const LxTrace *trace, const char *name, FILE *out)
{
  LxOptions options;
  Replay replay = { .trace = trace, .name = name, .out = out };

  fill_options (trace, &options);
  replay.world = lx_world_new (&options);
  replay.begun = lx_world_now (replay.world);
  replay.calls = LB_NEW_ARRAY (NamedCall, trace->n_lines + 1);
  replay.in_force = LB_NEW_ARRAY (bool, trace->n_lines + 1);
  replay.world->options.duration = schedule (&replay) + AFTERWARDS;
  lx_world_run (replay.world);

  for (size_t i = 0; i < trace->n_lines; i++)
    {
      const char *wrong = check_line (&replay, i);
      if (wrong)
        fail (&replay, &trace->lines[i], wrong);
    }
  if (replay.world->audit.first_violation[0])
    {
      fprintf (out, "%s: %s\n", name, replay.world->audit.first_violation);
      replay.failed++;
    }
  lx_world_free (replay.world);
  free (replay.calls);
  free (replay.in_force);
  return replay.failed == 0;
}

#include "lx-replay.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* A replay continues for this time after the last event or time limit of the trace. */
#define TIME_AFTER_LAST_LINE (5 * LB_SEC)
/* Default of by_ms in trace lines, which means no time limit. */
#define NO_TIME_LIMIT_MS 86400000

/* A call of the trace and its result. */
typedef struct
{
  LbName name;
  LxCallResult result;
} NamedCall;

typedef struct
{
  const LxTrace *trace;
  LxWorld *world;
  LbTime started_at;
  NamedCall *calls; /* indexed by trace line; name is empty if no call was sent */
  /* Indexed by trace line: whether the revision of an in-force expectation was active on all
   * running instances at by_ms. */
  bool *was_active;
  const char *name;
  FILE *out;
  size_t n_failures;
} Replay;

/* A trace line and its replay: argument of the simulation event at the time of the line. */
typedef struct
{
  Replay *replay;
  size_t index;
} ScheduledLine;

static const LxTraceLine *
get_trace_line (const ScheduledLine *scheduled)
{
  return &scheduled->replay->trace->lines[scheduled->index];
}

static LxTrainer *
find_trainer_by_name (const Replay *replay, const char *name)
{
  LxWorld *world = replay->world;

  for (size_t i = 0; i < world->options.n_trainers; i++)
    if (strcmp (world->trainers[i].name, name) == 0)
      return &world->trainers[i];
  return NULL;
}

static const NamedCall *
find_call_by_name (const Replay *replay, const char *name)
{
  for (size_t i = 0; i < replay->trace->n_lines; i++)
    if (strcmp (replay->calls[i].name, name) == 0)
      return &replay->calls[i];
  return NULL;
}

static void
report_trace_line_failure (Replay *replay, const LxTraceLine *line, const char *problem)
{
  replay->n_failures++;
  fprintf (replay->out, "%s:%d: %s: %s (at %.3f s, event %" PRIu64 ")\n", replay->name, line->line,
           line->event ? "event" : lx_trace_expectation_name ((LxTraceExpect)line->expect), problem,
           (double)(lx_world_now (replay->world) - replay->started_at) / LB_SEC,
           lx_world_get_event_number (replay->world));
}

/* --- execution of the events of a trace --- */

static void
submit_call_of_trace_line (Replay *replay, size_t index)
{
  const LxTraceLine *line = &replay->trace->lines[index];
  NamedCall *call = &replay->calls[index];

  LB_COPY (call->name, line->call);
  lx_callers_submit_call (&replay->world->callers,
                          &(LxCallSpec){ .is_service_call = line->event == LX_EVENT_SERVICE,
                                         .repeatable = line->repeatable,
                                         .tokens = line->tokens,
                                         .timeout = line->deadline_ms * LB_MSEC,
                                         .instance = line->instance,
                                         .result = &call->result });
}

static void
start_trainer_steps (Replay *replay, const LxTraceLine *line)
{
  LxTrainer *trainer = find_trainer_by_name (replay, line->trainer);

  if (!trainer)
    report_trace_line_failure (replay, line, "unknown trainer");
  else
    lx_trainer_start (trainer, line->count);
}

static LxFault
find_fault_by_name (const char *name)
{
  LxFault fault = 0;

  while (strcmp (lx_fault_name (fault), name) != 0)
    fault++;
  return fault;
}

static void
inject_fault_of_trace_line (Replay *replay, const LxTraceLine *line)
{
  const LxTrainer *trainer = find_trainer_by_name (replay, line->trainer);

  if (!lx_faults_inject (&replay->world->faults, find_fault_by_name (line->fault), line->endpoint,
                         line->instance, trainer ? trainer->index : 0, line->for_ms * LB_MSEC))
    report_trace_line_failure (replay, line, "unknown endpoint or instance");
}

static void
submit_live_reserve_change (Replay *replay, const LxTraceLine *line)
{
  LxWorld *world = replay->world;
  LxInstance *instance = lx_world_find_instance (world, line->instance[0] ? line->instance : "i1");

  if (instance && instance->alive)
    lx_registry_submit_live_reserve_change (&world->registry, instance, line->live_reserve);
  else
    report_trace_line_failure (replay, line, "the instance is unknown or not running");
}

static bool
is_revision_active_on_all_instances (const Replay *replay, int64_t revision)
{
  const LxWorld *world = replay->world;

  for (size_t i = 0; i < world->n_instances; i++)
    if (world->instances[i].alive
        && lc_config_active_revision (world->instances[i].config) < revision)
      return false;
  return true;
}

static void
on_trace_line_due (void *owner, void *argument)
{
  ScheduledLine *scheduled = argument;
  Replay *replay = owner;
  const LxTraceLine *line = get_trace_line (scheduled);

  switch ((LxTraceEvent)line->event)
    {
    case LX_EVENT_STEPS:
      start_trainer_steps (replay, line);
      break;
    case LX_EVENT_CALL:
    case LX_EVENT_SERVICE:
      submit_call_of_trace_line (replay, scheduled->index);
      break;
    case LX_EVENT_VERSION:
      lx_weight_swaps_publish_version (&replay->world->swaps);
      break;
    case LX_EVENT_CHANGE:
      submit_live_reserve_change (replay, line);
      break;
    case LX_EVENT_FAULT:
      inject_fault_of_trace_line (replay, line);
      break;
    default:
      replay->was_active[scheduled->index]
          = is_revision_active_on_all_instances (replay, line->revision);
      break;
    }
  free (scheduled);
}

/* --- checks of the expectations of a trace at the end of the run --- */

static bool
is_within_time_limit_of_line (const Replay *replay, const LxTraceLine *line, LbTime at)
{
  return at > 0 && at - replay->started_at <= line->by_ms * LB_MSEC;
}

static const char *
check_call_expectation (const Replay *replay, const LxTraceLine *line)
{
  const NamedCall *call = find_call_by_name (replay, line->call);

  if (!call)
    return "unknown call";

  const LxJob *job = lx_audit_get_job (&replay->world->audit, call->result.job);
  if (line->expect == LX_EXPECT_RUNS)
    return job->n_starts <= line->count ? NULL : "endpoints started the call more often than count";
  if (call->result.ended_at == 0)
    return "the call has no answer";
  if (!is_within_time_limit_of_line (replay, line, call->result.ended_at))
    return "the answer arrived later than by_ms";
  if (line->expect == LX_EXPECT_WHOLE)
    return call->result.error == LB_OK ? NULL : lb_error_name (call->result.error);
  if (line->expect == LX_EXPECT_UNKNOWN)
    return call->result.error != LB_OK && !lb_error_proves_request_not_run (call->result.error)
               ? NULL
               : lb_error_name (call->result.error);
  if (!lb_error_proves_request_not_run (call->result.error))
    return lb_error_name (call->result.error);
  return job->n_starts == 0 ? NULL : "an endpoint had started the call";
}

static const char *
check_trainer_expectation (const Replay *replay, const LxTraceLine *line)
{
  const LxTrainer *trainer = find_trainer_by_name (replay, line->trainer);

  if (!trainer)
    return "unknown trainer";
  if (line->expect == LX_EXPECT_STALENESS)
    return trainer->staleness_max_all_steps <= line->count
               ? NULL
               : "a sample was older than count versions";
  if (line->expect == LX_EXPECT_MIXED)
    return trainer->mixed_samples >= line->count ? NULL
                                                 : "fewer than count samples have several versions";
  if (lx_trainer_get_step_finish_time (trainer, line->step) == 0)
    return "samples of the step are missing";
  return is_within_time_limit_of_line (replay, line,
                                       lx_trainer_get_step_finish_time (trainer, line->step))
             ? NULL
             : "the last sample arrived later than by_ms";
}

static const char *
check_no_new_work_expectation (const Replay *replay, const LxTraceLine *line)
{
  const LxEngine *engine = lx_world_find_engine (replay->world, line->endpoint);

  if (!engine)
    return "unknown endpoint";
  if (engine->sent_while_leaving_at > replay->started_at + line->after_ms * LB_MSEC)
    return "new work was sent to the endpoint later than after_ms";
  return NULL;
}

static const char *
check_drained_expectation (const Replay *replay, const LxTraceLine *line)
{
  const LxInstance *instance = lx_world_find_instance (replay->world, line->instance);

  if (!instance)
    return "unknown instance";
  return is_within_time_limit_of_line (replay, line, instance->drain_ended_at)
             ? NULL
             : "the instance did not complete its drain by by_ms";
}

static const char *
check_expectation_of_trace_line (const Replay *replay, size_t index)
{
  const LxTraceLine *line = &replay->trace->lines[index];

  switch ((LxTraceExpect)line->expect)
    {
    case LX_EXPECT_WHOLE:
    case LX_EXPECT_NOT_RUN:
    case LX_EXPECT_UNKNOWN:
    case LX_EXPECT_RUNS:
      return check_call_expectation (replay, line);
    case LX_EXPECT_STEP_DONE:
    case LX_EXPECT_STALENESS:
    case LX_EXPECT_MIXED:
      return check_trainer_expectation (replay, line);
    case LX_EXPECT_NO_NEW_WORK:
      return check_no_new_work_expectation (replay, line);
    case LX_EXPECT_DRAINED:
      return check_drained_expectation (replay, line);
    case LX_EXPECT_IN_FORCE:
      return replay->was_active[index] ? NULL : "a running instance has an older revision";
    default:
      return NULL;
    }
}

/* Returns the time of an event or the time limit of an expectation, counted from the start of the
 * run. */
static LbTime
get_line_due_time (const LxTraceLine *line)
{
  bool has_time_limit = line->expect != LX_EXPECT_NONE && line->by_ms < NO_TIME_LIMIT_MS;

  return (has_time_limit ? line->by_ms : line->at_ms) * LB_MSEC;
}

static LbTime
schedule_trace_lines (Replay *replay)
{
  LbTime last = 0;

  for (size_t i = 0; i < replay->trace->n_lines; i++)
    {
      const LxTraceLine *line = &replay->trace->lines[i];
      LbTime at = get_line_due_time (line);

      last = at > last ? at : last;
      if (line->event == LX_EVENT_NONE && line->expect != LX_EXPECT_IN_FORCE)
        continue;
      ScheduledLine *scheduled = LB_NEW (ScheduledLine);
      *scheduled = (ScheduledLine){ .replay = replay, .index = i };
      lx_world_schedule (replay->world, at, on_trace_line_due, replay, scheduled, free);
    }
  return last;
}

static void
fill_options_from_trace (const LxTrace *trace, LxOptions *options)
{
  lx_options_init (options, trace->site, trace->seed);
  options->is_scripted = true;
  options->n_trainers = (size_t)trace->trainers;
  options->groups_per_step = trace->groups;
  options->samples_per_group = trace->samples;
  options->min_sample_tokens = trace->shortest;
  options->train_time = trace->train_ms * LB_MSEC;
  options->hedge_after = LB_SEC;
}

bool
lx_replay_run (const LxTrace *trace, const char *name, FILE *out)
{
  LxOptions options;
  Replay replay = { .trace = trace, .name = name, .out = out };

  fill_options_from_trace (trace, &options);
  replay.world = lx_world_new (&options);
  replay.started_at = lx_world_now (replay.world);
  replay.calls = LB_NEW_ARRAY (NamedCall, trace->n_lines + 1);
  replay.was_active = LB_NEW_ARRAY (bool, trace->n_lines + 1);
  replay.world->options.duration = schedule_trace_lines (&replay) + TIME_AFTER_LAST_LINE;
  lx_world_run (replay.world);

  for (size_t i = 0; i < trace->n_lines; i++)
    {
      const char *problem = check_expectation_of_trace_line (&replay, i);
      if (problem)
        report_trace_line_failure (&replay, &trace->lines[i], problem);
    }
  if (replay.world->audit.first_violation[0])
    {
      fprintf (out, "%s: %s\n", name, replay.world->audit.first_violation);
      replay.n_failures++;
    }
  lx_world_free (replay.world);
  free (replay.calls);
  free (replay.was_active);
  return replay.n_failures == 0;
}

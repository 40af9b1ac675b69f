#include "lx-world.h"

#include "lb-alloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Times of a 7B model on one accelerator: 12 ms per token for a single stream, 16 ms per token in a
 * batch of 32. */
static const LxEngineTimes model_engine_times = { .token_seconds = 0.012,
                                                  .token_seconds_per_other = 0.000125,
                                                  .prefill_token_seconds = 0.0001,
                                                  .max_cached_blocks = 192,
                                                  .load_time = 4 * LB_SEC,
                                                  .pause_time = 500 * LB_MSEC };
static const LxEngineTimes service_times
    = { .token_seconds = 0.020, .token_seconds_per_other = 0.001 };

#define MAX_STREAMS_PER_SERVICE_ENDPOINT 64

LbTime
lx_world_now (const LxWorld *world)
{
  return lx_queue_now (world->queue);
}

uint64_t
lx_world_get_event_number (const LxWorld *world)
{
  return lx_queue_count_handled_events (world->queue);
}

LbTime
lx_world_get_network_latency (const LxWorld *world, size_t data_centre, size_t other)
{
  return data_centre == other ? world->options.site->latency_inside
                              : world->options.site->latency_between;
}

void
lx_world_schedule (LxWorld *world,
                   LbTime delay,
                   LxEventHandler handler,
                   void *owner,
                   void *argument,
                   void (*free_argument) (void *argument))
{
  lx_queue_add_event (world->queue, lx_world_now (world) + delay, handler, owner, argument,
                      free_argument);
}

void
lx_world_record_decision (LxWorld *world, const char *format, ...)
{
  char *line = world->recent_decisions[world->n_recorded_decisions++ % LX_MAX_HISTORY_LINES];
  int length = snprintf (line, sizeof world->recent_decisions[0], "%.6f ",
                         (double)lx_world_now (world) / LB_SEC);
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (line + length, sizeof world->recent_decisions[0] - (size_t)length, format, arguments);
  va_end (arguments);
}

void
lx_world_record_fault (LxWorld *world, const char *fault, const char *target)
{
  snprintf (world->recent_faults[world->n_recorded_faults++ % LX_MAX_HISTORY_LINES],
            sizeof world->recent_faults[0], "%.6f %s %s", (double)lx_world_now (world) / LB_SEC,
            fault, target);
}

LxEngine *
lx_world_find_engine (LxWorld *world, const char *name)
{
  for (size_t i = 0; i < world->n_endpoints; i++)
    if (strcmp (world->engines[i]->name, name) == 0)
      return world->engines[i];
  return NULL;
}

LxInstance *
lx_world_find_instance (LxWorld *world, const char *name)
{
  for (size_t i = 0; i < world->n_instances; i++)
    if (strcmp (world->instances[i].name, name) == 0)
      return &world->instances[i];
  return NULL;
}

LxInstance *
lx_world_choose_serving_instance (LxWorld *world, size_t preferred)
{
  LbTime now = lx_world_now (world);

  for (size_t i = 0; i < world->n_instances; i++)
    {
      LxInstance *instance = &world->instances[(preferred + i) % world->n_instances];
      if (instance->alive && !instance->draining && instance->paused_until <= now)
        return instance;
    }
  return NULL;
}

static void
on_engine_piece (void *user, LxEngine *engine, const LxStream *stream, const LcPiece *piece)
{
  LxWorld *world = user;
  LxInstance *instance = &world->instances[stream->spec.instance];

  lx_instance_schedule_piece_arrival (instance, engine, &stream->spec, piece);
}

static void
on_engine_stream_end (void *user, LxEngine *engine, const LxStream *stream, LcAttemptEnd end)
{
  LxWorld *world = user;

  lx_instance_schedule_stream_end_arrival (&world->instances[stream->spec.instance], engine,
                                           &stream->spec, end, 0);
}

static void
on_engine_stream_silenced (void *user, LxEngine *engine, const LxStream *stream)
{
  LxWorld *world = user;

  lx_instance_schedule_stream_end_arrival (&world->instances[stream->spec.instance], engine,
                                           &stream->spec, LC_END_BROKEN, LX_SILENT_STREAM_TIMEOUT);
}

static void
on_engine_tokens_generated (void *user, LxEngine *engine, const LxStream *stream, int64_t tokens)
{
  LxWorld *world = user;
  uint64_t step = lx_audit_get_job (&world->audit, stream->spec.job)->step;

  if (!engine->is_service)
    lx_audit_add_generated_tokens (&world->audit, stream->spec.id, stream->next_token - tokens,
                                   tokens, engine->version, lx_world_now (world));
  if (stream->spec.kind == LC_KIND_SAMPLE)
    lx_audit_get_or_add_step_tokens (&world->audit, step)->generated += tokens;
}

static void
add_endpoint (LxWorld *world, size_t index, bool is_service)
{
  const LxSite *site = world->options.site;
  size_t number = is_service ? index - world->n_engines : index;
  LbName name;

  snprintf (name, sizeof name, "%.40s-%zu", is_service ? site->service : site->pool, number + 1);
  LxEngine *engine
      = lx_engine_new (name, world->queue, is_service ? &service_times : &model_engine_times);
  snprintf (engine->address, LB_NAME_MAX, "127.0.0.1:%zu", 10000 + index);
  LB_COPY (engine->pool, is_service ? site->service : site->pool);
  engine->data_centre = number % site->n_data_centres;
  engine->is_service = is_service;
  engine->concurrency = is_service ? MAX_STREAMS_PER_SERVICE_ENDPOINT : world->options.concurrency;
  engine->listener = (LxEngineListener){ .on_piece = on_engine_piece,
                                         .on_end = on_engine_stream_end,
                                         .on_generated = on_engine_tokens_generated,
                                         .on_silenced = on_engine_stream_silenced,
                                         .user = world };
  world->engines[index] = engine;
}

static void
add_endpoints (LxWorld *world)
{
  const LxOptions *options = &world->options;

  world->n_engines = options->n_engines > 0 ? (size_t)options->n_engines : options->site->n_engines;
  world->n_endpoints = world->n_engines + options->site->n_services;
  world->engines = LB_NEW_ARRAY (LxEngine *, world->n_endpoints);
  for (size_t i = 0; i < world->n_endpoints; i++)
    add_endpoint (world, i, i >= world->n_engines);
}

static void
fill_endpoint_member (const LxWorld *world, const LxEngine *engine, LcEndpointMember *member)
{
  LB_COPY (member->name, engine->name);
  LB_COPY (member->pool, engine->pool);
  LB_COPY (member->address, engine->address);
  LB_COPY (member->data_centre, world->options.site->data_centres[engine->data_centre]);
  member->kind = engine->is_service ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;
  member->leaving = engine->leaving;
  member->checks_fence = true;
  member->concurrency = engine->concurrency;
}

static void
fill_subscription (const LxWorld *world, size_t index, LcSubscription *subscription)
{
  const LxOptions *options = &world->options;

  snprintf (subscription->name, LB_NAME_MAX, "trainer-%zu", index + 1);
  LB_COPY (subscription->pool, options->site->pool);
  subscription->share = 1;
  subscription->preset = options->site->preset;
  subscription->idle_weight = options->site->preset == LC_PRESET_IDLE_TIME ? 0.8 : 0.2;
  if (options->idle_weight >= 0)
    subscription->idle_weight = options->idle_weight;
  subscription->hedge_budget = options->hedge_budget;
}

/* Returns the initial configuration of the simulated site. */
static LcResourceSet *
make_initial_resource_set (const LxWorld *world)
{
  const LxOptions *options = &world->options;
  LcResourceSet *set = LB_NEW (LcResourceSet);

  set->revision = 1;
  set->pools = LB_NEW_ARRAY (LcPool, 1);
  set->n_pools = 1;
  LB_COPY (set->pools[0].name, options->site->pool);
  LB_COPY (set->pools[0].model, options->site->pool);
  set->pools[0].live_reserve = 0.25;
  set->pools[0].roll_out_percent = 25;
  set->pools[0].queue_limit = 4096;
  set->subscriptions = LB_NEW_ARRAY (LcSubscription, options->n_trainers);
  set->bounds = LB_NEW_ARRAY (LcVersionBound, options->n_trainers);
  set->n_subscriptions = options->n_trainers;
  set->n_bounds = options->n_trainers;
  for (size_t i = 0; i < options->n_trainers; i++)
    {
      fill_subscription (world, i, &set->subscriptions[i]);
      snprintf (set->bounds[i].name, LB_NAME_MAX, "bound-%zu", i + 1);
      LB_COPY (set->bounds[i].subscription, set->subscriptions[i].name);
      set->bounds[i].max_lag = options->site->max_lag;
    }
  set->endpoints = LB_NEW_ARRAY (LcEndpointMember, world->n_endpoints);
  set->n_endpoints = world->n_endpoints;
  for (size_t i = 0; i < world->n_endpoints; i++)
    fill_endpoint_member (world, world->engines[i], &set->endpoints[i]);
  return set;
}

LxWorld *
lx_world_new (const LxOptions *options)
{
  LxWorld *world = LB_NEW (LxWorld);

  world->options = *options;
  world->queue = lx_queue_new ();
  world->random = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->random, options->seed);
  lx_audit_init (&world->audit);
  add_endpoints (world);
  lx_registry_init (&world->registry, world, make_initial_resource_set (world));
  world->n_instances = options->site->n_instances;
  world->instances = LB_NEW_ARRAY (LxInstance, world->n_instances);
  for (size_t i = 0; i < world->n_instances; i++)
    lx_instance_init (&world->instances[i], world, i);
  world->trainers = LB_NEW_ARRAY (LxTrainer, options->n_trainers);
  for (size_t i = 0; i < options->n_trainers; i++)
    lx_trainer_init (&world->trainers[i], world, i);
  lx_callers_init (&world->callers, world);
  lx_weight_swaps_init (&world->swaps, world);
  lx_store_init (&world->store);
  lx_faults_init (&world->faults, world);
  return world;
}

void
lx_world_free (LxWorld *world)
{
  if (!world)
    return;
  for (size_t i = 0; i < world->n_instances; i++)
    lx_instance_clear (&world->instances[i]);
  free (world->instances);
  lx_queue_free (world->queue);
  lx_callers_clear (&world->callers);
  for (size_t i = 0; i < world->options.n_trainers; i++)
    lx_trainer_clear (&world->trainers[i]);
  free (world->trainers);
  for (size_t i = 0; i < world->n_endpoints; i++)
    lx_engine_free (world->engines[i]);
  free (world->engines);
  lx_registry_clear (&world->registry);
  lx_audit_clear (&world->audit);
  lx_store_clear (&world->store);
  gsl_rng_free (world->random);
  free (world);
}

void
lx_world_start (LxWorld *world)
{
  for (size_t i = 0; i < world->n_endpoints; i++)
    lx_engine_start (world->engines[i], world->swaps.newest_version);
  for (size_t i = 0; i < world->n_instances; i++)
    lx_instance_start (&world->instances[i]);
  lx_registry_start (&world->registry);
  lx_weight_swaps_start (&world->swaps);
  if (world->options.is_scripted)
    return;
  lx_callers_start (&world->callers);
  lx_faults_start (&world->faults);
  for (size_t i = 0; i < world->options.n_trainers; i++)
    lx_trainer_start (&world->trainers[i], 0);
}

void
lx_world_run (LxWorld *world)
{
  LbTime until = lx_world_now (world) + world->options.duration;
  uint64_t max = world->options.max_events;

  lx_world_start (world);
  while ((max == 0 || lx_world_get_event_number (world) < max)
         && lx_queue_run_next_event (world->queue, until))
    if (world->options.stop_at_violation && world->audit.first_violation[0])
      return;
}

#include "lx-swaps.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define LOAD_CHECK_INTERVAL (250 * LB_MSEC)
#define FIRST_WEIGHT_VERSION 10
#define ENGINES_PER_CONCURRENT_LOAD 4 /* one engine in this many may load weights at a time */

/* A message in transit that tells an instance that an engine loads weights. */
typedef struct
{
  size_t engine;
  bool pending;
  LbTime until; /* time when the engine starts to serve the new weights */
} SwapNotice;

void
lx_weight_swaps_init (LxWeightSwaps *swaps, LxWorld *world)
{
  swaps->world = world;
  swaps->newest_version = FIRST_WEIGHT_VERSION;
  swaps->max_concurrent_loads = world->n_engines / ENGINES_PER_CONCURRENT_LOAD > 0
                                    ? world->n_engines / ENGINES_PER_CONCURRENT_LOAD
                                    : 1;
}

static void
on_weight_swap_notice_arrived (LxInstance *instance, void *argument)
{
  const SwapNotice *notice = argument;

  lx_instance_set_engine_swap_state (instance, notice->engine, notice->pending, notice->until);
}

static void
notify_instances_of_weight_swap (LxWorld *world, size_t engine, bool pending, LbTime until)
{
  for (size_t i = 0; i < world->n_instances; i++)
    {
      SwapNotice *notice = LB_NEW (SwapNotice);
      *notice = (SwapNotice){ .engine = engine, .pending = pending, .until = until };
      lx_instance_post_message (&world->instances[i], world->options.site->latency_between,
                                on_weight_swap_notice_arrived, notice, free);
    }
}

static size_t
count_loading_engines (const LxWorld *world)
{
  size_t loading = 0;

  for (size_t i = 0; i < world->n_engines; i++)
    loading += world->engines[i]->loading;
  return loading;
}

/* Starts loads on engines with outdated weights, up to the number of concurrent loads that the
 * weight store allows. */
static void
start_loads_on_outdated_engines (void *owner, void *argument)
{
  LxWeightSwaps *swaps = owner;
  LxWorld *world = swaps->world;
  size_t loading = count_loading_engines (world);

  (void)argument;
  for (size_t i = 0; i < world->n_engines && loading < swaps->max_concurrent_loads; i++)
    {
      LxEngine *engine = world->engines[i];
      if (!engine->alive || engine->loading || engine->version == swaps->newest_version)
        continue;
      lx_engine_load_version (engine, swaps->newest_version);
      notify_instances_of_weight_swap (world, i, true,
                                       lx_world_now (world) + engine->times.load_time
                                           + engine->times.pause_time);
      loading++;
    }
  lx_world_schedule (world, LOAD_CHECK_INTERVAL, start_loads_on_outdated_engines, swaps, NULL,
                     NULL);
}

static void
on_newest_version_notice_arrived (LxInstance *instance, void *argument)
{
  const LcVersion *newest = argument;

  lx_instance_set_newest_weight_version (instance, *newest,
                                         instance->world->options.version_interval);
}

static void
notify_instances_of_newest_version (LxWeightSwaps *swaps)
{
  LxWorld *world = swaps->world;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      LcVersion *newest = LB_NEW (LcVersion);
      *newest = swaps->newest_version;
      lx_instance_post_message (&world->instances[i], world->options.site->latency_between,
                                on_newest_version_notice_arrived, newest, free);
    }
}

void
lx_weight_swaps_publish_version (LxWeightSwaps *swaps)
{
  swaps->newest_version++;
  notify_instances_of_newest_version (swaps);
}

static void
on_new_version_due (void *owner, void *argument)
{
  LxWeightSwaps *swaps = owner;

  (void)argument;
  lx_weight_swaps_publish_version (swaps);
  lx_world_schedule (swaps->world, swaps->world->options.version_interval, on_new_version_due,
                     swaps, NULL, NULL);
}

void
lx_weight_swaps_start (LxWeightSwaps *swaps)
{
  notify_instances_of_newest_version (swaps);
  start_loads_on_outdated_engines (swaps, NULL);
  if (swaps->world->options.is_scripted)
    return;
  lx_world_schedule (swaps->world, swaps->world->options.version_interval, on_new_version_due,
                     swaps, NULL, NULL);
}

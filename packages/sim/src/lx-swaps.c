#include "lx-swaps.h"

#include "lx-world.h"

#include "lb-alloc.h"

#include <stdlib.h>

#define CHECK_EVERY (250 * LB_MSEC)

typedef struct
{
  size_t engine;
  bool pending;
  LbTime until;
} Notice;

void
lx_swaps_init (LxSwaps *swaps, LxWorld *world)
{
  swaps->world = world;
  swaps->newest = 10;
  swaps->at_once = world->n_engines / 4 > 0 ? world->n_engines / 4 : 1;
}

static void
on_notice (LxInstance *instance, void *argument)
{
  const Notice *notice = argument;

  lx_instance_set_swap (instance, notice->engine, notice->pending, notice->until);
}

static void
tell_instances (LxWorld *world, size_t engine, bool pending, LbTime until)
{
  for (size_t i = 0; i < world->n_instances; i++)
    {
      Notice *notice = LB_NEW (Notice);
      *notice = (Notice){ .engine = engine, .pending = pending, .until = until };
      lx_instance_post (&world->instances[i], world->options.site->between, on_notice, notice,
                        free);
    }
}

static size_t
count_loading (const LxWorld *world)
{
  size_t loading = 0;

  for (size_t i = 0; i < world->n_engines; i++)
    loading += world->engines[i]->loading;
  return loading;
}

/* Orders the next engines that are behind, while the weight store's rate allows it. */
static void
on_check (void *owner, void *argument)
{
  LxSwaps *swaps = owner;
  LxWorld *world = swaps->world;
  size_t loading = count_loading (world);

  (void)argument;
  for (size_t i = 0; i < world->n_engines && loading < swaps->at_once; i++)
    {
      LxEngine *engine = world->engines[i];
      if (!engine->alive || engine->loading || engine->version == swaps->newest)
        continue;
      lx_engine_load_version (engine, swaps->newest);
      tell_instances (world, i, true,
                      lx_world_now (world) + engine->times.load + engine->times.pause);
      loading++;
    }
  lx_world_schedule (world, CHECK_EVERY, on_check, swaps, NULL, NULL);
}

static void
on_versions (LxInstance *instance, void *argument)
{
  const LcVersion *newest = argument;

  lx_instance_set_versions (instance, *newest, instance->world->options.version_every);
}

static void
tell_versions (LxSwaps *swaps)
{
  LxWorld *world = swaps->world;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      LcVersion *newest = LB_NEW (LcVersion);
      *newest = swaps->newest;
      lx_instance_post (&world->instances[i], world->options.site->between, on_versions, newest,
                        free);
    }
}

void
lx_swaps_publish (LxSwaps *swaps)
{
  swaps->newest++;
  tell_versions (swaps);
}

static void
on_version (void *owner, void *argument)
{
  LxSwaps *swaps = owner;

  (void)argument;
  lx_swaps_publish (swaps);
  lx_world_schedule (swaps->world, swaps->world->options.version_every, on_version, swaps, NULL,
                     NULL);
}

void
lx_swaps_start (LxSwaps *swaps)
{
  tell_versions (swaps);
  on_check (swaps, NULL);
  if (swaps->world->options.scripted)
    return;
  lx_world_schedule (swaps->world, swaps->world->options.version_every, on_version, swaps, NULL,
                     NULL);
}

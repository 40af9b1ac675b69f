#include "sk-handover.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_HANDOVER_TIME (300 * LB_MSEC)
#define SLOW_MACHINE_ALLOWANCE (500 * LB_MSEC)
/* How long before a release nothing may have been disturbed, so that the owner knew all others. */
#define CALM_TIME (3 * LB_SEC)

struct SkHandovers
{
  SkWorld *world;
  LbName batch;            /* the trainer's batch */
  SkInstance *released_by; /* instance that released the batch; NULL: not released */
  LbTime released_at;
  bool was_calm; /* nothing was disturbed for CALM_TIME before the release */
};

SkHandovers *
sk_handovers_new (SkWorld *world)
{
  SkHandovers *handovers = LB_NEW (SkHandovers);

  handovers->world = world;
  return handovers;
}

void
sk_handovers_free (SkHandovers *handovers)
{
  free (handovers);
}

static bool
has_logged (const SkInstance *instance, const char *event, const char *batch)
{
  char line[LB_NAME_MAX + 48];

  /* In logs, a batch's id is followed by "~" and a hash of its organisation. */
  snprintf (line, sizeof line, "\"event\":\"%s\",\"batch\":\"%s~", event, batch);
  return instance->process.pid > 0 && strstr (instance->process.output, line);
}

/* Finds the owner by the logs of all instances, as an operator would. */
SkInstance *
sk_handovers_find_owner (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    {
      SkInstance *instance = &world->instances[i];
      if (sk_instance_is_running (instance) && !instance->stopping
          && has_logged (instance, "batch_running", world->trainer_batch)
          && !has_logged (instance, "batch_released", world->trainer_batch))
        return instance;
    }
  return NULL;
}

static bool
is_calm_since (const SkWorld *world, LbTime since)
{
  return world->last_disturbed_at < since && world->store_last_disturbed_at < since;
}

/* Whether an instance could take the batch over. If all others are stopping or have just started,
 * the owner names no next one. */
static bool
has_calm_candidate (const SkWorld *world, LbTime since)
{
  for (size_t i = 0; i < world->n_instances; i++)
    if (sk_instance_was_undisturbed_since (&world->instances[i], since))
      return true;
  return false;
}

static bool
was_another_instance_disturbed_since (const SkHandovers *handovers, LbTime since)
{
  const SkWorld *world = handovers->world;

  for (size_t i = 0; i < world->n_instances; i++)
    if (&world->instances[i] != handovers->released_by
        && world->instances[i].last_disturbed_at >= since)
      return true;
  return false;
}

static void
find_release (SkHandovers *handovers, LbTime now)
{
  SkWorld *world = handovers->world;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      SkInstance *instance = &world->instances[i];
      if (!instance->stopping || !has_logged (instance, "batch_released", handovers->batch))
        continue;
      handovers->released_by = instance;
      handovers->released_at = now;
      handovers->was_calm
          = is_calm_since (world, now - CALM_TIME) && has_calm_candidate (world, now - CALM_TIME);
    }
}

static bool
runs_again (const SkHandovers *handovers)
{
  const SkWorld *world = handovers->world;

  for (size_t i = 0; i < world->n_instances; i++)
    if (&world->instances[i] != handovers->released_by
        && has_logged (&world->instances[i], "batch_running", handovers->batch))
      return true;
  return false;
}

void
sk_handovers_check (SkHandovers *handovers, LbTime now)
{
  SkWorld *world = handovers->world;

  if (strcmp (handovers->batch, world->trainer_batch) != 0)
    {
      LB_COPY (handovers->batch, world->trainer_batch);
      handovers->released_by = NULL;
      handovers->was_calm = false;
    }
  if (!handovers->released_by)
    find_release (handovers, now);
  if (!handovers->released_by || !handovers->was_calm)
    return;
  /* The first release of a batch is checked only: later owners' lines remain in the logs. */
  if (runs_again (handovers) || !is_calm_since (world, handovers->released_at - CALM_TIME)
      || was_another_instance_disturbed_since (handovers, handovers->released_at))
    handovers->was_calm = false;
  else if (now - handovers->released_at > MAX_HANDOVER_TIME + SLOW_MACHINE_ALLOWANCE)
    {
      sk_report_violation (world, "a released batch runs again in time",
                           "%s of %s does not run %.3f s after its release", handovers->batch,
                           handovers->released_by->name,
                           (double)(now - handovers->released_at) / LB_SEC);
      handovers->was_calm = false;
    }
}

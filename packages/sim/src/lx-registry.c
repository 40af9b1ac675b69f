#include "lx-registry.h"

#include "lx-world.h"

#include "lc-change.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* An accepted revision must be active within this time on every instance that runs and can reach
 * the store. */
#define MAX_ACTIVATION_TIME (10 * LB_SEC)
/* An instance is not checked for this time after an outage of the instance or of the store. */
#define CATCH_UP_TIME (20 * LB_SEC)
#define REVISION_CHECK_INTERVAL LB_SEC
#define BURST_CHANGE_INTERVAL (400 * LB_MSEC)

void
lx_registry_init (LxRegistry *registry, LxWorld *world, LcResourceSet *set)
{
  memset (registry, 0, sizeof *registry);
  registry->world = world;
  registry->accepted = set;
}

void
lx_registry_clear (LxRegistry *registry)
{
  lc_resource_set_free (registry->accepted);
}

LcResourceSet *
lx_registry_commit_change (LxRegistry *registry, int64_t revision, struct json_object *change)
{
  LbError error = { 0 };

  if (registry->accepted->revision != revision || revision + 1 >= LX_MAX_REVISIONS)
    {
      registry->n_conflicts++;
      return NULL;
    }

  LcResourceSet *next
      = lc_change_apply_to_resource_set (registry->accepted, change, "operator", &error);
  if (!next)
    return NULL;
  lc_resource_set_free (registry->accepted);
  registry->accepted = next;
  registry->accepted_at[next->revision] = lx_world_now (registry->world);
  registry->n_accepted++;
  lx_world_record_decision (registry->world, "revision %" PRId64 " accepted", next->revision);
  return lc_resource_set_copy (next);
}

int64_t
lx_registry_get_required_revision (const LxRegistry *registry, LbTime now)
{
  int64_t revision = registry->accepted->revision;

  while (revision > 0 && registry->accepted_at[revision] + MAX_ACTIVATION_TIME > now)
    revision--;
  return revision;
}

/* Returns the newest revision that an instance has used for longer than MAX_ACTIVATION_TIME. The
 * commit time alone does not count, because after a lost commit reply no instance knows the
 * revision until it reads the store's head row, which holds the newest configuration. */
static int64_t
get_newest_revision_active_beyond_time_limit (const LxRegistry *registry, LbTime now)
{
  int64_t revision = lx_registry_get_required_revision (registry, now);

  while (revision > 0
         && (registry->first_active_at[revision] == 0
             || registry->first_active_at[revision] + MAX_ACTIVATION_TIME > now))
    revision--;
  return revision;
}

static bool
is_instance_past_catch_up_time (const LxInstance *instance, LbTime now)
{
  return instance->alive && instance->started_at + CATCH_UP_TIME < now
         && instance->paused_until + CATCH_UP_TIME < now
         && instance->world->store.unavailable_until + CATCH_UP_TIME < now;
}

static void
check_active_revision_of_instance (LxRegistry *registry, LxInstance *instance, LbTime now)
{
  LxWorld *world = registry->world;
  int64_t revision = lc_config_active_revision (instance->config);
  int64_t due = lx_registry_get_required_revision (registry, now);

  if (revision < instance->checked_revision)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_REVERTED, now,
                               lx_world_get_event_number (world),
                               "%s went back from revision %" PRId64 " to %" PRId64, instance->name,
                               instance->checked_revision, revision);
  instance->checked_revision = revision;
  if (registry->first_active_at[revision] == 0)
    registry->first_active_at[revision] = now;
  if (is_instance_past_catch_up_time (instance, now) && revision < due)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_IN_FORCE, now,
                               lx_world_get_event_number (world),
                               "%s has revision %" PRId64 " active, %" PRId64
                               " was accepted %.1f s ago",
                               instance->name, revision, due,
                               (double)(now - registry->accepted_at[due]) / LB_SEC);
  /* An instance that becomes ready must not use an older revision than one that has long been
   * active on another instance. */
  if (!instance->was_ready && lc_config_is_ready_for_new_work (instance->config)
      && revision < get_newest_revision_active_beyond_time_limit (registry, now))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_REVERTED, now,
                               lx_world_get_event_number (world),
                               "%s is ready with revision %" PRId64 " after %" PRId64 " was active",
                               instance->name, revision,
                               get_newest_revision_active_beyond_time_limit (registry, now));
  instance->was_ready = lc_config_is_ready_for_new_work (instance->config);
}

static void
on_revision_check_due (void *owner, void *argument)
{
  LxRegistry *registry = owner;
  LxWorld *world = registry->world;
  LbTime now = lx_world_now (world);

  (void)argument;
  for (size_t i = 0; i < world->n_instances; i++)
    if (world->instances[i].alive && world->instances[i].paused_until <= now)
      check_active_revision_of_instance (registry, &world->instances[i], now);
  lx_world_schedule (world, REVISION_CHECK_INTERVAL, on_revision_check_due, registry, NULL, NULL);
}

/* Returns a change {"apply": [pool]} that sets the live reserve of the first pool. */
static struct json_object *
build_live_reserve_change (const LxRegistry *registry, double live_reserve)
{
  struct json_object *change = json_object_new_object ();
  struct json_object *apply = json_object_new_array ();
  struct json_object *pool = json_object_new_object ();
  const LcPool *current = &registry->accepted->pools[0];

  json_object_object_add (pool, "kind", json_object_new_string ("pool"));
  json_object_object_add (pool, "name", json_object_new_string (current->name));
  json_object_object_add (pool, "model", json_object_new_string (current->model));
  json_object_object_add (pool, "live_reserve", json_object_new_double (live_reserve));
  json_object_array_add (apply, pool);
  json_object_object_add (change, "apply", apply);
  return change;
}

void
lx_registry_submit_live_reserve_change (LxRegistry *registry,
                                        LxInstance *instance,
                                        double live_reserve)
{
  struct json_object *change = build_live_reserve_change (registry, live_reserve);

  lx_instance_submit_config_change (instance, change);
  json_object_put (change);
}

static void
on_live_reserve_change_due (void *owner, void *argument)
{
  LxRegistry *registry = owner;
  LxWorld *world = registry->world;
  uint64_t draw = gsl_rng_uniform_int (world->random, 1000);
  struct json_object *change
      = build_live_reserve_change (registry, 0.2 + (double)(draw % 20) / 100);
  LxInstance *instance = lx_world_choose_serving_instance (world, draw % world->n_instances);
  LxInstance *other = lx_world_choose_serving_instance (world, (draw + 1) % world->n_instances);

  (void)argument;
  if (instance)
    lx_instance_submit_config_change (instance, change);
  /* Submits one change in three at a second instance as well, so that the two submissions
   * conflict. */
  if (other && draw % 3 == 0)
    lx_instance_submit_config_change (other, change);
  json_object_put (change);
  /* Some changes come in bursts, so that messages about a change arrive after the next change. */
  lx_world_schedule (world,
                     draw % 5 < 2 ? BURST_CHANGE_INTERVAL
                                  : (LbTime)((0.5 + (double)draw / 1000)
                                             * (double)world->options.mean_change_interval),
                     on_live_reserve_change_due, registry, NULL, NULL);
}

void
lx_registry_start (LxRegistry *registry)
{
  LxWorld *world = registry->world;

  lx_world_schedule (world, REVISION_CHECK_INTERVAL, on_revision_check_due, registry, NULL, NULL);
  if (world->options.mean_change_interval > 0)
    lx_world_schedule (world, world->options.mean_change_interval, on_live_reserve_change_due,
                       registry, NULL, NULL);
}

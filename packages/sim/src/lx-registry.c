#include "lx-registry.h"

#include "lx-world.h"

#include "lc-change.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* An accepted revision must be in force within this time on every instance that could know. */
#define IN_FORCE_BOUND (10 * LB_SEC)
/* An instance or store that was away less long ago than this is still catching up. */
#define CATCH_UP (20 * LB_SEC)
#define CHECK_EVERY LB_SEC
#define BURST_PAUSE (400 * LB_MSEC)

void
lx_registry_init (LxRegistry *registry, LxWorld *world, LcResourceSet *set)
{
  memset (registry, 0, sizeof *registry);
  registry->world = world;
  registry->set = set;
}

void
lx_registry_clear (LxRegistry *registry)
{
  lc_resource_set_free (registry->set);
}

LcResourceSet *
lx_registry_commit (LxRegistry *registry, int64_t revision, struct json_object *change)
{
  LbError error = { 0 };

  if (registry->set->revision != revision || revision + 1 >= LX_MAX_REVISIONS)
    {
      registry->n_conflicts++;
      return NULL;
    }

  LcResourceSet *next = lc_change_apply (registry->set, change, "operator", &error);
  if (!next)
    return NULL;
  lc_resource_set_free (registry->set);
  registry->set = next;
  registry->accepted_at[next->revision] = lx_world_now (registry->world);
  registry->n_accepted++;
  lx_world_record_decision (registry->world, "revision %" PRId64 " accepted", next->revision);
  return lc_resource_set_copy (next);
}

int64_t
lx_registry_due_revision (const LxRegistry *registry, LbTime now)
{
  int64_t revision = registry->set->revision;

  while (revision > 0 && registry->accepted_at[revision] + IN_FORCE_BOUND > now)
    revision--;
  return revision;
}

/* The newest revision that some instance has had in force for long. One whose commit's reply was
 * lost is not among them before somebody reads it: its operator was told that the outcome is
 * unknown. */
static int64_t
newest_known (const LxRegistry *registry, LbTime now)
{
  int64_t revision = lx_registry_due_revision (registry, now);

  while (
      revision > 0
      && (registry->known_at[revision] == 0 || registry->known_at[revision] + IN_FORCE_BOUND > now))
    revision--;
  return revision;
}

static bool
could_know (const LxInstance *instance, LbTime now)
{
  return instance->alive && instance->started_at + CATCH_UP < now
         && instance->paused_until + CATCH_UP < now
         && instance->world->store.away_until + CATCH_UP < now;
}

static void
check_instance (LxRegistry *registry, LxInstance *instance, LbTime now)
{
  LxWorld *world = registry->world;
  int64_t revision = lc_config_revision (instance->config);
  int64_t due = lx_registry_due_revision (registry, now);

  if (revision < instance->revision_seen)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_REVERTED, now,
                               lx_world_event_number (world),
                               "%s went from revision %" PRId64 " to %" PRId64, instance->name,
                               instance->revision_seen, revision);
  instance->revision_seen = revision;
  if (registry->known_at[revision] == 0)
    registry->known_at[revision] = now;
  if (could_know (instance, now) && revision < due)
    lx_audit_report_violation (&world->audit, LX_VIOLATION_NOT_IN_FORCE, now,
                               lx_world_event_number (world),
                               "%s has revision %" PRId64 ", %" PRId64 " was accepted %.1f s ago",
                               instance->name, revision, due,
                               (double)(now - registry->accepted_at[due]) / LB_SEC);
  /* A new process that serves must have what any process before it had had in force in time. */
  if (!instance->was_ready && lc_config_is_ready (instance->config)
      && revision < newest_known (registry, now))
    lx_audit_report_violation (&world->audit, LX_VIOLATION_REVERTED, now,
                               lx_world_event_number (world),
                               "%s serves with revision %" PRId64 " after %" PRId64, instance->name,
                               revision, newest_known (registry, now));
  instance->was_ready = lc_config_is_ready (instance->config);
}

static void
on_check (void *owner, void *argument)
{
  LxRegistry *registry = owner;
  LxWorld *world = registry->world;
  LbTime now = lx_world_now (world);

  (void)argument;
  for (size_t i = 0; i < world->n_instances; i++)
    if (world->instances[i].alive && world->instances[i].paused_until <= now)
      check_instance (registry, &world->instances[i], now);
  lx_world_schedule (world, CHECK_EVERY, on_check, registry, NULL, NULL);
}

/* {"apply": [the pool with another reserve for live calls]} */
static struct json_object *
make_change (const LxRegistry *registry, double live_reserve)
{
  struct json_object *change = json_object_new_object ();
  struct json_object *apply = json_object_new_array ();
  struct json_object *pool = json_object_new_object ();
  const LcPool *before = &registry->set->pools[0];

  json_object_object_add (pool, "kind", json_object_new_string ("pool"));
  json_object_object_add (pool, "name", json_object_new_string (before->name));
  json_object_object_add (pool, "model", json_object_new_string (before->model));
  json_object_object_add (pool, "live_reserve", json_object_new_double (live_reserve));
  json_object_array_add (apply, pool);
  json_object_object_add (change, "apply", apply);
  return change;
}

void
lx_registry_request_change (LxRegistry *registry, LxInstance *instance, double live_reserve)
{
  struct json_object *change = make_change (registry, live_reserve);

  lx_instance_submit_change (instance, change);
  json_object_put (change);
}

static void
on_operator (void *owner, void *argument)
{
  LxRegistry *registry = owner;
  LxWorld *world = registry->world;
  uint64_t n = gsl_rng_uniform_int (world->random, 1000);
  struct json_object *change = make_change (registry, 0.2 + (double)(n % 20) / 100);
  LxInstance *instance = lx_world_choose_instance (world, n % world->n_instances);
  LxInstance *other = lx_world_choose_instance (world, (n + 1) % world->n_instances);

  (void)argument;
  if (instance)
    lx_instance_submit_change (instance, change);
  /* Every third time another operator is at it too, at another instance. */
  if (other && n % 3 == 0)
    lx_instance_submit_change (other, change);
  json_object_put (change);
  /* Some changes come in bursts, so that old messages about one meet the next. */
  lx_world_schedule (world,
                     n % 5 < 2
                         ? BURST_PAUSE
                         : (LbTime)((0.5 + (double)n / 1000) * (double)world->options.change_every),
                     on_operator, registry, NULL, NULL);
}

void
lx_registry_start (LxRegistry *registry)
{
  LxWorld *world = registry->world;

  lx_world_schedule (world, CHECK_EVERY, on_check, registry, NULL, NULL);
  if (world->options.change_every > 0)
    lx_world_schedule (world, world->options.change_every, on_operator, registry, NULL, NULL);
}

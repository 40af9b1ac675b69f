#include "sk-faults.h"

#include "lb-clock.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Time between two faults, short enough that most faults overlap the previous one. */
#define MIN_FAULT_INTERVAL_MS 50
#define MAX_FAULT_INTERVAL_MS 900
#define SLOW_EVENT_INTERVAL (125 * LB_MSEC) /* five times the normal interval */
#define MIN_ENGINES 2
#define MAX_ADDED_ROUTES 60

static SkInstance *
choose_instance (SkWorld *world)
{
  return &world->instances[sk_random_int (world, 0, (int64_t)world->n_instances - 1)];
}

static SkEndpoint *
choose_endpoint (SkWorld *world)
{
  SkEndpoint *endpoint
      = &world->endpoints[sk_random_int (world, 0, (int64_t)world->n_endpoints - 1)];

  return endpoint->is_down ? NULL : endpoint;
}

static size_t
count_engines (const SkWorld *world)
{
  size_t n = 0;

  for (size_t i = 0; i < world->n_endpoints; i++)
    n += world->endpoints[i].standin.model[0] && !world->endpoints[i].is_down
         && world->endpoints[i].draining_since == 0;
  return n;
}

/* Returns NULL if the random endpoint is no engine, is down or draining, or too few engines would
 * be left. */
static SkEndpoint *
choose_spare_engine (SkWorld *world)
{
  SkEndpoint *endpoint = choose_endpoint (world);

  return endpoint && endpoint->standin.model[0] && endpoint->draining_since == 0
                 && count_engines (world) > MIN_ENGINES
             ? endpoint
             : NULL;
}

static LbTime
random_ms (SkWorld *world, int64_t low, int64_t high)
{
  return sk_random_int (world, low, high) * LB_MSEC;
}

static PtRelayFault
random_relay_fault (SkWorld *world)
{
  switch (sk_random_int (world, 0, 3))
    {
    case 0:
      return (PtRelayFault){ .drops_to_target = true, .drops_from_target = true };
    case 1:
      return (PtRelayFault){ .drops_from_target = true };
    case 2:
      return (PtRelayFault){ .drops_to_target = true };
    default:
      return (PtRelayFault){ .delay = random_ms (world, 20, 600) };
    }
}

/* --- instances --- */

static void
kill_instance (SkWorld *world)
{
  sk_instance_kill (choose_instance (world), random_ms (world, 100, 2500));
}

/* Simulates a power loss of all machines. */
static void
kill_all_instances (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    sk_instance_kill (&world->instances[i], random_ms (world, 300, 700));
}

static void
pause_instance (SkWorld *world)
{
  sk_instance_pause (choose_instance (world), random_ms (world, 100, 4000));
}

/* The pause is long enough for another instance to take the batch over, which the paused one does
 * not know when it resumes. */
static void
pause_owner (SkWorld *world)
{
  SkInstance *owner = sk_find_batch_owner (world);

  if (owner)
    sk_instance_pause (owner, random_ms (world, 1500, 4500));
}

static void
kill_owner (SkWorld *world)
{
  SkInstance *owner = sk_find_batch_owner (world);

  if (owner)
    sk_instance_kill (owner, random_ms (world, 100, 2500));
}

static void
stop_instance (SkWorld *world)
{
  sk_instance_stop (choose_instance (world));
}

static void
reload_instance (SkWorld *world)
{
  SkInstance *instance = choose_instance (world);

  if (sk_instance_is_running (instance))
    pt_process_signal (&instance->process, SIGHUP);
}

/* --- the store --- */

static void
impair_store_link (SkWorld *world)
{
  SkInstance *instance = choose_instance (world);

  sk_log (world, "%s: store connection is impaired", instance->name);
  instance->last_disturbed_at = lb_clock_monotonic ();
  world->last_disturbed_at = instance->last_disturbed_at;
  instance->store_relay.fault = random_relay_fault (world);
  instance->heal_at = instance->last_disturbed_at + random_ms (world, 300, 6000);
}

static void
reset_store_connections (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    if (sk_random_int (world, 0, 1))
      {
        world->instances[i].last_disturbed_at = lb_clock_monotonic ();
        pt_relay_reset_connections (&world->instances[i].store_relay);
      }
}

/* Simulates a middlebox that loses its connection table: open connections carry no more data, new
 * ones work. */
static void
silence_store_connections (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    {
      world->instances[i].last_disturbed_at = lb_clock_monotonic ();
      pt_relay_blackhole_connections (&world->instances[i].store_relay);
    }
}

static void
break_store (SkWorld *world)
{
  static const SiRowStoreMode modes[]
      = { SI_ROW_STORE_UNAVAILABLE, SI_ROW_STORE_SILENT, SI_ROW_STORE_LOSES_REPLY };

  world->store.mode = modes[sk_random_int (world, 0, 2)];
  world->store_heal_at = lb_clock_monotonic () + random_ms (world, 200, 4000);
  sk_log (world, "store: fault mode %d", world->store.mode);
}

static void
discard_watch_history (SkWorld *world)
{
  world->store.oldest_watchable_version = world->store.version;
  world->store_last_disturbed_at = lb_clock_monotonic ();
}

/* --- endpoints --- */

static void
impair_endpoint_link (SkWorld *world)
{
  SkEndpoint *endpoint = choose_endpoint (world);

  if (!endpoint)
    return;
  sk_log (world, "%s: connections are impaired", endpoint->standin.name);
  world->last_disturbed_at = lb_clock_monotonic ();
  endpoint->relay.fault = random_relay_fault (world);
  endpoint->heal_at = world->last_disturbed_at + random_ms (world, 200, 3000);
}

static void
break_endpoint_connections (SkWorld *world)
{
  SkEndpoint *endpoint = choose_endpoint (world);

  if (!endpoint)
    return;
  world->last_disturbed_at = lb_clock_monotonic ();
  if (sk_random_int (world, 0, 1))
    pt_relay_reset_connections (&endpoint->relay);
  else
    pt_relay_blackhole_connections (&endpoint->relay);
}

static void
crash_spare_engine (SkWorld *world)
{
  SkEndpoint *endpoint = choose_spare_engine (world);

  if (!endpoint)
    return;
  world->last_disturbed_at = lb_clock_monotonic ();
  sk_endpoint_crash (endpoint, random_ms (world, 300, 4000));
}

static void
slow_spare_engine (SkWorld *world)
{
  SkEndpoint *endpoint = choose_spare_engine (world);

  if (!endpoint)
    return;
  sk_log (world, "%s streams slowly", endpoint->standin.name);
  endpoint->standin.event_interval = SLOW_EVENT_INTERVAL;
  endpoint->heal_at = lb_clock_monotonic () + random_ms (world, 500, 4000);
}

static void
replace_spare_engine (SkWorld *world)
{
  SkEndpoint *endpoint = choose_spare_engine (world);

  if (endpoint && sk_engine_add (world))
    sk_endpoint_drain (endpoint);
}

/* --- configuration --- */

static void
change_config (SkWorld *world)
{
  if (world->n_added_routes < MAX_ADDED_ROUTES)
    world->n_added_routes++;
  sk_config_put (world);
  sk_log (world, "configuration version %lld", (long long)world->config_version);
}

const SkFault sk_faults[] = { { "kill", kill_instance },
                              { "kill-all", kill_all_instances },
                              { "pause", pause_instance },
                              { "pause-owner", pause_owner },
                              { "kill-owner", kill_owner },
                              { "stop", stop_instance },
                              { "reload", reload_instance },
                              { "cut-store", impair_store_link },
                              { "reset-store", reset_store_connections },
                              { "silence-store", silence_store_connections },
                              { "break-store", break_store },
                              { "forget-history", discard_watch_history },
                              { "harm-endpoint", impair_endpoint_link },
                              { "reset-endpoint", break_endpoint_connections },
                              { "crash-engine", crash_spare_engine },
                              { "slow-engine", slow_spare_engine },
                              { "replace-engine", replace_spare_engine },
                              { "config", change_config },
                              { NULL, NULL } };

static const SkFault *
choose_fault (SkWorld *world, const char *only_fault)
{
  unsigned long n = 0;

  while (sk_faults[n].name)
    n++;
  const SkFault *chosen = &sk_faults[gsl_rng_uniform_int (world->fault_rng, n)];
  for (const SkFault *fault = sk_faults; only_fault && fault->name; fault++)
    if (strcmp (fault->name, only_fault) == 0)
      return fault;
  return chosen;
}

/* Traffic and the details of a fault share rng, and the amount of traffic depends on the machine's
 * speed. So rng is seeded from fault_rng before each fault, which keeps the details reproducible.
 */
void
sk_faults_tick (SkWorld *world, const char *only_fault, LbTime *next_at, LbTime now)
{
  const SkFault *fault = NULL;

  if (now < *next_at)
    return;
  *next_at += (MIN_FAULT_INTERVAL_MS
               + (LbTime)gsl_rng_uniform_int (world->fault_rng,
                                              MAX_FAULT_INTERVAL_MS - MIN_FAULT_INTERVAL_MS + 1))
              * LB_MSEC;
  fault = choose_fault (world, only_fault);
  gsl_rng_set (world->rng, gsl_rng_get (world->fault_rng));
  world->n_faults++;
  fault->inject (world);
}

void
sk_faults_end_all (SkWorld *world)
{
  LbTime now = lb_clock_monotonic ();

  for (size_t i = 0; i < world->n_instances; i++)
    {
      SkInstance *instance = &world->instances[i];
      if (instance->restart_at != LB_TIME_NEVER)
        instance->restart_at = now;
      if (instance->resume_at != LB_TIME_NEVER)
        instance->resume_at = now;
      if (instance->heal_at != LB_TIME_NEVER)
        instance->heal_at = now;
    }
  for (size_t i = 0; i < world->n_endpoints; i++)
    {
      SkEndpoint *endpoint = &world->endpoints[i];
      if (endpoint->heal_at != LB_TIME_NEVER)
        endpoint->heal_at = now;
      if (endpoint->return_at != LB_TIME_NEVER)
        endpoint->return_at = now;
    }
  if (world->store_heal_at != LB_TIME_NEVER)
    world->store_heal_at = now;
}

#include "sk-faults.h"

#include "sk-odd-endpoint.h"

#include "sk-handover.h"

#include "lb-clock.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* range of the random time between two faults, short enough that most faults overlap */
#define MIN_FAULT_INTERVAL_MS 50
#define MAX_FAULT_INTERVAL_MS 900
/* time between two events of a slow stream, five times the normal interval */
#define SLOW_EVENT_INTERVAL (125 * LB_MSEC)
#define MIN_AVAILABLE_ENGINES 2
#define MAX_ADDED_ROUTES 60

static SkInstance *
choose_random_instance (SkWorld *world)
{
  return &world->instances[sk_random_int (world, 0, (int64_t)world->n_instances - 1)];
}

static SkEndpoint *
choose_random_running_endpoint (SkWorld *world)
{
  SkEndpoint *endpoint
      = &world->endpoints[sk_random_int (world, 0, (int64_t)world->n_endpoints - 1)];

  return endpoint->is_down ? NULL : endpoint;
}

static size_t
count_available_engines (const SkWorld *world)
{
  size_t n = 0;

  for (size_t i = 0; i < world->n_endpoints; i++)
    n += world->endpoints[i].standin.model[0] && !world->endpoints[i].is_down
         && world->endpoints[i].draining_since == 0;
  return n;
}

/* Chooses a random endpoint. Returns NULL if it is not an engine, is down or draining, or if fewer
 * than MIN_AVAILABLE_ENGINES other engines would be available. */
static SkEndpoint *
choose_random_spare_engine (SkWorld *world)
{
  SkEndpoint *endpoint = choose_random_running_endpoint (world);

  return endpoint && endpoint->standin.model[0] && endpoint->draining_since == 0
                 && count_available_engines (world) > MIN_AVAILABLE_ENGINES
             ? endpoint
             : NULL;
}

static LbTime
draw_random_duration (SkWorld *world, int64_t low_ms, int64_t high_ms)
{
  return sk_random_int (world, low_ms, high_ms) * LB_MSEC;
}

static PtRelayFault
draw_random_relay_fault (SkWorld *world)
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
      return (PtRelayFault){ .delay = draw_random_duration (world, 20, 600) };
    }
}

/* --- faults of instances --- */

static void
kill_random_instance (SkWorld *world)
{
  sk_instance_kill (choose_random_instance (world), draw_random_duration (world, 100, 2500));
}

/* Simulates a power failure of the machines of all instances. */
static void
kill_all_instances (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    sk_instance_kill (&world->instances[i], draw_random_duration (world, 300, 700));
}

static void
pause_random_instance (SkWorld *world)
{
  sk_instance_pause (choose_random_instance (world), draw_random_duration (world, 100, 4000));
}

/* Pauses the instance that runs the trainer's batch, long enough that another instance can take the
 * batch over. The paused instance does not know of the takeover when it resumes. */
static void
pause_batch_owner (SkWorld *world)
{
  SkInstance *owner = sk_handovers_find_owner (world);

  if (owner)
    sk_instance_pause (owner, draw_random_duration (world, 1500, 4500));
}

static void
kill_batch_owner (SkWorld *world)
{
  SkInstance *owner = sk_handovers_find_owner (world);

  if (owner)
    sk_instance_kill (owner, draw_random_duration (world, 100, 2500));
}

static void
stop_random_instance (SkWorld *world)
{
  sk_instance_stop (choose_random_instance (world));
}

static void
stop_batch_owner (SkWorld *world)
{
  SkInstance *owner = sk_handovers_find_owner (world);

  if (owner)
    sk_instance_stop (owner);
}

/* Begins to stop all instances in turn, as an operator does who replaces the program. */
static void
begin_rolling_stop (SkWorld *world)
{
  if (world->next_rolling_stop < world->n_instances)
    return;
  sk_log (world, "rolling stop begins");
  world->next_rolling_stop = 0;
}

static void
reload_settings_of_random_instance (SkWorld *world)
{
  SkInstance *instance = choose_random_instance (world);

  if (sk_instance_is_running (instance))
    pt_process_signal (&instance->process, SIGHUP);
}

/* --- faults of the store and of connections to the store --- */

static void
impair_random_store_link (SkWorld *world)
{
  SkInstance *instance = choose_random_instance (world);

  sk_log (world, "%s: store connection is impaired", instance->name);
  instance->last_disturbed_at = lb_clock_monotonic ();
  world->last_disturbed_at = instance->last_disturbed_at;
  instance->store_relay.fault = draw_random_relay_fault (world);
  instance->heal_at = instance->last_disturbed_at + draw_random_duration (world, 300, 6000);
}

static void
reset_random_store_connections (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    if (sk_random_int (world, 0, 1))
      {
        world->instances[i].last_disturbed_at = lb_clock_monotonic ();
        pt_relay_reset_connections (&world->instances[i].store_relay);
      }
}

/* Simulates a firewall that loses its connection table: data on open connections to the store is
 * dropped, and new connections work. */
static void
blackhole_store_connections (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    {
      world->instances[i].last_disturbed_at = lb_clock_monotonic ();
      pt_relay_blackhole_connections (&world->instances[i].store_relay);
    }
}

static void
inject_random_store_fault (SkWorld *world)
{
  static const SiRowStoreMode modes[]
      = { SI_ROW_STORE_UNAVAILABLE, SI_ROW_STORE_SILENT, SI_ROW_STORE_LOSES_REPLY };

  world->store.mode = modes[sk_random_int (world, 0, 2)];
  world->store_heal_at = lb_clock_monotonic () + draw_random_duration (world, 200, 4000);
  sk_log (world, "store: fault mode %d", world->store.mode);
}

/* The store serves a fifth of the requests that it has got in the mean, and refuses the others. */
static void
overload_store (SkWorld *world)
{
  LbTime now = lb_clock_monotonic ();
  int64_t usual = world->store.requests * LB_SEC / (now - world->started_at);

  world->store.max_requests_per_second = (int)(usual / 5) + 1;
  world->store_heal_at = now + draw_random_duration (world, 1000, 5000);
  sk_log (world, "store: serves %d requests a second", world->store.max_requests_per_second);
}

static void
discard_store_watch_history (SkWorld *world)
{
  world->store.oldest_watchable_version = world->store.version;
  world->store_last_disturbed_at = lb_clock_monotonic ();
}

/* --- faults of engines and services --- */

static void
impair_random_endpoint_link (SkWorld *world)
{
  SkEndpoint *endpoint = choose_random_running_endpoint (world);

  if (!endpoint)
    return;
  sk_log (world, "%s: connections are impaired", endpoint->standin.name);
  world->last_disturbed_at = lb_clock_monotonic ();
  endpoint->relay.fault = draw_random_relay_fault (world);
  endpoint->heal_at = world->last_disturbed_at + draw_random_duration (world, 200, 3000);
}

static void
break_random_endpoint_connections (SkWorld *world)
{
  SkEndpoint *endpoint = choose_random_running_endpoint (world);

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
  SkEndpoint *endpoint = choose_random_spare_engine (world);

  if (!endpoint)
    return;
  world->last_disturbed_at = lb_clock_monotonic ();
  sk_endpoint_crash (endpoint, draw_random_duration (world, 300, 4000));
}

static void
slow_down_spare_engine (SkWorld *world)
{
  SkEndpoint *endpoint = choose_random_spare_engine (world);

  if (!endpoint)
    return;
  sk_log (world, "%s streams slowly", endpoint->standin.name);
  endpoint->standin.event_interval = SLOW_EVENT_INTERVAL;
  endpoint->heal_at = lb_clock_monotonic () + draw_random_duration (world, 500, 4000);
}

/* Makes an engine lastingly slower than the others. */
static void
make_engine_uneven (SkWorld *world)
{
  SkEndpoint *endpoint = choose_random_spare_engine (world);

  if (!endpoint)
    return;
  endpoint->usual_event_interval = draw_random_duration (world, 35, 75);
  endpoint->standin.event_interval = endpoint->usual_event_interval;
  sk_log (world, "%s is lastingly slow", endpoint->standin.name);
}

static void
replace_spare_engine (SkWorld *world)
{
  SkEndpoint *endpoint = choose_random_spare_engine (world);

  if (endpoint && sk_engine_add (world))
    sk_endpoint_drain (endpoint);
}

static void
start_odd_endpoint (SkWorld *world)
{
  sk_odd_endpoint_start (world->odd_endpoint);
}

/* --- configuration changes --- */

static void
write_config_with_new_route (SkWorld *world)
{
  if (world->n_added_routes < MAX_ADDED_ROUTES)
    world->n_added_routes++;
  sk_store_put_config (world);
  sk_log (world, "configuration version %lld", (long long)world->config_version);
}

const SkFault sk_faults[] = { { "kill", kill_random_instance },
                              { "kill-all", kill_all_instances },
                              { "pause", pause_random_instance },
                              { "pause-owner", pause_batch_owner },
                              { "kill-owner", kill_batch_owner },
                              { "stop", stop_random_instance },
                              { "reload", reload_settings_of_random_instance },
                              { "cut-store", impair_random_store_link },
                              { "reset-store", reset_random_store_connections },
                              { "silence-store", blackhole_store_connections },
                              { "break-store", inject_random_store_fault },
                              { "forget-history", discard_store_watch_history },
                              { "harm-endpoint", impair_random_endpoint_link },
                              { "reset-endpoint", break_random_endpoint_connections },
                              { "crash-engine", crash_spare_engine },
                              { "slow-engine", slow_down_spare_engine },
                              { "replace-engine", replace_spare_engine },
                              { "config", write_config_with_new_route },
                              { "overload-store", overload_store },
                              { "stop-owner", stop_batch_owner },
                              { "rolling-stop", begin_rolling_stop },
                              { "uneven-engine", make_engine_uneven },
                              { "odd-endpoint", start_odd_endpoint },
                              { NULL, NULL } };

size_t
sk_faults_count_kinds (void)
{
  return sizeof sk_faults / sizeof sk_faults[0] - 1;
}

static const SkFault *
choose_fault_kind (SkWorld *world, const char *only_fault_kind)
{
  const SkFault *chosen = &sk_faults[gsl_rng_uniform_int (world->fault_rng, world->n_fault_kinds)];

  for (const SkFault *fault = sk_faults; only_fault_kind && fault->name; fault++)
    if (strcmp (fault->name, only_fault_kind) == 0)
      return fault;
  return chosen;
}

/* Before each fault, seeds the generator world->rng from world->fault_rng, so that the details of
 * the fault are reproducible. Otherwise they would depend on the speed of the machine, because
 * traffic draws a varying amount of numbers from world->rng. */
void
sk_faults_inject_next_if_due (SkWorld *world,
                              const char *only_fault_kind,
                              LbTime *next_at,
                              LbTime now)
{
  const SkFault *fault = NULL;

  if (now < *next_at)
    return;
  *next_at += (MIN_FAULT_INTERVAL_MS
               + (LbTime)gsl_rng_uniform_int (world->fault_rng,
                                              MAX_FAULT_INTERVAL_MS - MIN_FAULT_INTERVAL_MS + 1))
              * LB_MSEC;
  fault = choose_fault_kind (world, only_fault_kind);
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
  world->next_rolling_stop = world->n_instances;
}

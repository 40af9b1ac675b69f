#include "sk-faults.h"

#include "lb-clock.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Between two strikes: short enough that most overlap with the one before. */
#define MIN_GAP 50
#define MAX_GAP 900
#define SLOW_EVENT (125 * LB_MSEC) /* five times the usual */
#define MIN_ENGINES 2
#define MAX_ROUTES 60

static SkInstance *
pick_instance (SkWorld *world)
{
  return &world->instances[sk_draw (world, 0, (int64_t)world->n_instances - 1)];
}

static SkEndpoint *
pick_endpoint (SkWorld *world)
{
  SkEndpoint *endpoint = &world->endpoints[sk_draw (world, 0, (int64_t)world->n_endpoints - 1)];

  return endpoint->is_gone ? NULL : endpoint;
}

static size_t
count_engines (const SkWorld *world)
{
  size_t n = 0;

  for (size_t i = 0; i < world->n_endpoints; i++)
    n += world->endpoints[i].sampler.model[0] && !world->endpoints[i].is_gone
         && world->endpoints[i].leaving_since == 0;
  return n;
}

/* NULL: none can be spared. */
static SkEndpoint *
pick_engine (SkWorld *world)
{
  SkEndpoint *endpoint = pick_endpoint (world);

  return endpoint && endpoint->sampler.model[0] && endpoint->leaving_since == 0
                 && count_engines (world) > MIN_ENGINES
             ? endpoint
             : NULL;
}

static LbTime
draw_ms (SkWorld *world, int64_t low, int64_t high)
{
  return sk_draw (world, low, high) * LB_MSEC;
}

static PtRelayFault
draw_way_fault (SkWorld *world)
{
  switch (sk_draw (world, 0, 3))
    {
    case 0:
      return (PtRelayFault){ .drops_to_target = true, .drops_from_target = true };
    case 1:
      return (PtRelayFault){ .drops_from_target = true };
    case 2:
      return (PtRelayFault){ .drops_to_target = true };
    default:
      return (PtRelayFault){ .delay = draw_ms (world, 20, 600) };
    }
}

/* --- instances --- */

static void
kill_instance (SkWorld *world)
{
  sk_instance_kill (pick_instance (world), draw_ms (world, 100, 2500));
}

/* As when all machines lose power. */
static void
kill_all (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    sk_instance_kill (&world->instances[i], draw_ms (world, 300, 700));
}

static void
pause_instance (SkWorld *world)
{
  sk_instance_pause (pick_instance (world), draw_ms (world, 100, 4000));
}

/* Long enough that the batch is taken from it; it wakes up and does not know. */
static void
pause_owner (SkWorld *world)
{
  SkInstance *owner = sk_batch_owner (world);

  if (owner)
    sk_instance_pause (owner, draw_ms (world, 1500, 4500));
}

static void
kill_owner (SkWorld *world)
{
  SkInstance *owner = sk_batch_owner (world);

  if (owner)
    sk_instance_kill (owner, draw_ms (world, 100, 2500));
}

static void
stop_instance (SkWorld *world)
{
  sk_instance_stop (pick_instance (world));
}

static void
reload_instance (SkWorld *world)
{
  SkInstance *instance = pick_instance (world);

  if (sk_instance_runs (instance))
    pt_process_signal (&instance->process, SIGHUP);
}

/* --- the store --- */

static void
cut_from_store (SkWorld *world)
{
  SkInstance *instance = pick_instance (world);

  sk_tell (world, "%s has trouble to reach the store", instance->name);
  instance->disturbed_at = lb_clock_monotonic ();
  world->disturbed_at = instance->disturbed_at;
  instance->to_store.fault = draw_way_fault (world);
  instance->heal_at = instance->disturbed_at + draw_ms (world, 300, 6000);
}

static void
reset_ways_to_store (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    if (sk_draw (world, 0, 1))
      {
        world->instances[i].disturbed_at = lb_clock_monotonic ();
        pt_relay_reset_connections (&world->instances[i].to_store);
      }
}

/* Something between loses track of all open connections to the store; new ones work. */
static void
silence_ways_to_store (SkWorld *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    {
      world->instances[i].disturbed_at = lb_clock_monotonic ();
      pt_relay_blackhole_connections (&world->instances[i].to_store);
    }
}

static void
break_store (SkWorld *world)
{
  static const SiRowStoreMode modes[]
      = { SI_ROW_STORE_UNAVAILABLE, SI_ROW_STORE_SILENT, SI_ROW_STORE_LOSES_REPLY };

  world->rows.mode = modes[sk_draw (world, 0, 2)];
  world->store_heal_at = lb_clock_monotonic () + draw_ms (world, 200, 4000);
  sk_tell (world, "the store is in mode %d", world->rows.mode);
}

static void
forget_history (SkWorld *world)
{
  world->rows.oldest_watchable_version = world->rows.version;
  world->store_disturbed_at = lb_clock_monotonic ();
}

/* --- endpoints --- */

static void
harm_way_to_endpoint (SkWorld *world)
{
  SkEndpoint *endpoint = pick_endpoint (world);

  if (!endpoint)
    return;
  sk_tell (world, "the way to %s is harmed", endpoint->sampler.name);
  world->disturbed_at = lb_clock_monotonic ();
  endpoint->way.fault = draw_way_fault (world);
  endpoint->heal_at = world->disturbed_at + draw_ms (world, 200, 3000);
}

static void
reset_way_to_endpoint (SkWorld *world)
{
  SkEndpoint *endpoint = pick_endpoint (world);

  if (!endpoint)
    return;
  world->disturbed_at = lb_clock_monotonic ();
  if (sk_draw (world, 0, 1))
    pt_relay_reset_connections (&endpoint->way);
  else
    pt_relay_blackhole_connections (&endpoint->way);
}

static void
crash_engine (SkWorld *world)
{
  SkEndpoint *endpoint = pick_engine (world);

  if (!endpoint)
    return;
  world->disturbed_at = lb_clock_monotonic ();
  sk_endpoint_crash (endpoint, draw_ms (world, 300, 4000));
}

static void
slow_engine (SkWorld *world)
{
  SkEndpoint *endpoint = pick_engine (world);

  if (!endpoint)
    return;
  sk_tell (world, "%s is slow", endpoint->sampler.name);
  endpoint->sampler.event_interval = SLOW_EVENT;
  endpoint->heal_at = lb_clock_monotonic () + draw_ms (world, 500, 4000);
}

static void
replace_engine (SkWorld *world)
{
  SkEndpoint *endpoint = pick_engine (world);

  if (endpoint && sk_engine_add (world))
    sk_endpoint_leave (endpoint);
}

/* --- the operator --- */

static void
change_config (SkWorld *world)
{
  if (world->n_routes < MAX_ROUTES)
    world->n_routes++;
  sk_config_put (world);
  sk_tell (world, "desired state %lld", (long long)world->config_version);
}

const SkFault sk_faults[] = { { "kill", kill_instance },
                              { "kill-all", kill_all },
                              { "pause", pause_instance },
                              { "pause-owner", pause_owner },
                              { "kill-owner", kill_owner },
                              { "stop", stop_instance },
                              { "reload", reload_instance },
                              { "cut-store", cut_from_store },
                              { "reset-store", reset_ways_to_store },
                              { "silence-store", silence_ways_to_store },
                              { "break-store", break_store },
                              { "forget-history", forget_history },
                              { "harm-endpoint", harm_way_to_endpoint },
                              { "reset-endpoint", reset_way_to_endpoint },
                              { "crash-engine", crash_engine },
                              { "slow-engine", slow_engine },
                              { "replace-engine", replace_engine },
                              { "config", change_config },
                              { NULL, NULL } };

static const SkFault *
draw_fault (SkWorld *world, const char *only)
{
  unsigned long n = 0;

  while (sk_faults[n].name)
    n++;
  const SkFault *drawn = &sk_faults[gsl_rng_uniform_int (world->plan, n)];
  for (const SkFault *fault = sk_faults; only && fault->name; fault++)
    if (strcmp (fault->name, only) == 0)
      return fault;
  return drawn;
}

/* Traffic draws from the same numbers as the details of a strike, and how much there is depends on
 * the machine. So each strike begins anew from the plan. */
void
sk_faults_tick (SkWorld *world, const char *only, LbTime *next, LbTime now)
{
  const SkFault *fault = NULL;

  if (now < *next)
    return;
  *next += (MIN_GAP + (LbTime)gsl_rng_uniform_int (world->plan, MAX_GAP - MIN_GAP + 1)) * LB_MSEC;
  fault = draw_fault (world, only);
  gsl_rng_set (world->rng, gsl_rng_get (world->plan));
  world->n_faults++;
  fault->strike (world);
}

void
sk_faults_end (SkWorld *world)
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

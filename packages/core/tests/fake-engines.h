/* Simulates, in virtual time, the engines of one pool and the node that orders them to load weight
 * versions and polls their reports. */
#ifndef FAKE_ENGINES_H
#define FAKE_ENGINES_H

#include "lb-alloc.h"
#include "lc-weights.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FAKE_TICK_PERIOD (50 * LB_MSEC)

typedef struct
{
  LbName name;
  LcVersion version; /* weight version that is served; 0: none */
  LcVersion loading; /* weight version that is being loaded; 0: none */
  LcVersion failed;  /* weight version whose load failed last; 0: none */
  LbTime loaded_at;  /* when the latest load of weights ends */
  LbTime next_report;
  int incarnation;
  int fail_loads; /* number of the coming weight loads that fail */
  bool dead;
  bool ignores_orders; /* accepts load orders without executing them */
} FakeEngine;

typedef struct
{
  LcWeights *weights;
  LcResourceSet *set;
  FakeEngine *engines;
  size_t n;
  LbTime now;
  LbTime load_time;
  LbTime load_jitter;            /* engine i of n needs i/n of this time in addition to load_time */
  LbTime swapping_report_period; /* time between two reports of an engine that swaps its weights */
  LbTime period;                 /* time between two reports of any other engine */
  LbTime first_report_limit;     /* first_report_timeout of the next lease holder; 0: the default */
  bool can_order_fenced;
  bool can_order_unfenced;
  size_t orders;           /* number of load orders sent to engines */
  size_t most_unavailable; /* largest number of engines that were unavailable at the same time */
  size_t most_loading;     /* largest number of engines that were loading at the same time */
} FakePool;

static inline void
fake_pool_init (FakePool *pool,
                size_t n_engines,
                int64_t roll_out_percent,
                double live_reserve,
                LcVersion version)
{
  LcWeightsSettings settings;

  *pool = (FakePool){ .n = n_engines,
                      .now = 1000 * LB_SEC,
                      .load_time = 2 * LB_SEC,
                      .swapping_report_period = LB_SEC / 4,
                      .period = LB_SEC,
                      .can_order_fenced = true,
                      .can_order_unfenced = true };
  pool->engines = LB_NEW_ARRAY (FakeEngine, n_engines);
  pool->set = LB_NEW (LcResourceSet);
  pool->set->pools = LB_NEW (LcPool);
  pool->set->n_pools = 1;
  *pool->set->pools = (LcPool){ .name = "reader",
                                .live_reserve = live_reserve,
                                .roll_out_percent = roll_out_percent };
  pool->set->endpoints = LB_NEW_ARRAY (LcEndpointMember, n_engines);
  pool->set->n_endpoints = n_engines;
  for (size_t i = 0; i < n_engines; i++)
    {
      LcEndpointMember *member = &pool->set->endpoints[i];
      *member = (LcEndpointMember){ .pool = "reader", .checks_fence = true, .concurrency = 32 };
      snprintf (member->name, sizeof member->name, "engine-%04zu", i);
      LB_COPY (pool->engines[i].name, member->name);
      pool->engines[i].version = version;
      pool->engines[i].next_report = pool->now + (LbTime)(i % 20) * FAKE_TICK_PERIOD;
    }
  lc_weights_settings_init (&settings, "reader");
  pool->weights = lc_weights_new (&settings);
  lc_weights_configure (pool->weights, pool->set, pool->now);
  lc_weights_lease_changed (pool->weights, pool->now);
}

static inline void
fake_pool_clear (FakePool *pool)
{
  lc_weights_free (pool->weights);
  lc_resource_set_free (pool->set);
  free (pool->engines);
}

/* Makes another instance the lease holder. The new holder knows the newest version, but learns the
 * state of the engines only from their reports. */
static inline void
fake_pool_replace_lease_holder (FakePool *pool, LcVersion newest_version)
{
  LcWeightsSettings settings;

  lc_weights_settings_init (&settings, "reader");
  if (pool->first_report_limit > 0)
    settings.first_report_timeout = pool->first_report_limit;
  lc_weights_free (pool->weights);
  pool->weights = lc_weights_new (&settings);
  lc_weights_configure (pool->weights, pool->set, pool->now);
  lc_weights_lease_changed (pool->weights, pool->now);
  lc_weights_set_newest_version (pool->weights, newest_version, pool->now);
}

static inline void
fake_engine_start_load (FakePool *pool, size_t engine_index, LcVersion version)
{
  FakeEngine *engine = &pool->engines[engine_index];

  engine->loading = version;
  engine->version = 0;
  engine->failed = 0;
  engine->loaded_at
      = pool->now + pool->load_time + pool->load_jitter * (LbTime)engine_index / (LbTime)pool->n;
}

static inline void
fake_pool_free_weights_actions (LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    free (LB_CONTAINER (link, LcWeightsAction, link));
}

/* Ticks the lease holder's LcWeights and executes the load orders that it sends. */
static inline void
fake_pool_execute_load_orders (FakePool *pool)
{
  LbList actions;

  lb_list_init (&actions);
  lc_weights_tick (pool->weights, pool->can_order_fenced, pool->can_order_unfenced, pool->now,
                   &actions);
  LB_LIST_FOREACH (&actions, LcWeightsAction, link, action)
  {
    size_t i = (size_t)atoi (action->endpoint + strlen ("engine-"));
    if (action->type != LC_WEIGHTS_ORDER_LOAD)
      continue;
    pool->orders++;
    pool->engines[i].next_report = pool->now + pool->swapping_report_period;
    if (pool->engines[i].dead)
      lc_weights_order_answered (pool->weights, action->endpoint, LB_ERROR_CLOSED, pool->now);
    else if (!pool->engines[i].ignores_orders)
      fake_engine_start_load (pool, i, action->version);
  }
  fake_pool_free_weights_actions (&actions);
}

static inline void
fake_engine_finish_load_and_report (FakePool *pool, FakeEngine *engine)
{
  LbList actions;
  LcWeightReport report = { .requested_at = pool->now };

  if (engine->loading && pool->now >= engine->loaded_at)
    {
      bool failed = engine->fail_loads > 0 && engine->fail_loads--;
      engine->version = failed ? 0 : engine->loading;
      engine->failed = failed ? engine->loading : 0;
      engine->loading = 0;
    }
  if (engine->dead || pool->now < engine->next_report)
    return;
  bool swapping = lc_weights_is_engine_swapping (pool->weights, engine->name);
  engine->next_report = pool->now + (swapping ? pool->swapping_report_period : pool->period);
  report.version = engine->version;
  report.loading = engine->loading != 0;
  report.failed_version = engine->failed;
  snprintf (report.incarnation, sizeof report.incarnation, "%d", engine->incarnation);
  lb_list_init (&actions);
  lc_weights_report_received (pool->weights, engine->name, &report, pool->now, &actions);
  fake_pool_free_weights_actions (&actions);
}

static inline void
fake_pool_record_peak_engine_counts (FakePool *pool)
{
  size_t out = 0, swapping = 0;

  for (size_t i = 0; i < pool->n; i++)
    {
      out += pool->engines[i].version == 0 || pool->engines[i].dead;
      swapping += pool->engines[i].loading != 0;
    }
  pool->most_unavailable = out > pool->most_unavailable ? out : pool->most_unavailable;
  pool->most_loading = swapping > pool->most_loading ? swapping : pool->most_loading;
}

static inline void
fake_pool_run_for (FakePool *pool, LbTime duration)
{
  for (LbTime until = pool->now + duration; pool->now < until; pool->now += FAKE_TICK_PERIOD)
    {
      for (size_t i = 0; i < pool->n; i++)
        fake_engine_finish_load_and_report (pool, &pool->engines[i]);
      fake_pool_execute_load_orders (pool);
      fake_pool_record_peak_engine_counts (pool);
    }
}

static inline size_t
fake_pool_count_engines_serving (const FakePool *pool, LcVersion version)
{
  size_t n = 0;

  for (size_t i = 0; i < pool->n; i++)
    n += pool->engines[i].version == version && !pool->engines[i].dead;
  return n;
}

/* Runs until all engines that are not dead serve the version, for at most `timeout`. Returns the
 * elapsed virtual time. */
static inline LbTime
fake_pool_run_until_rolled_out (FakePool *pool, LcVersion version, LbTime timeout)
{
  LbTime start = pool->now;
  size_t dead = 0;

  for (size_t i = 0; i < pool->n; i++)
    dead += pool->engines[i].dead;
  while (fake_pool_count_engines_serving (pool, version) < pool->n - dead
         && pool->now - start < timeout)
    fake_pool_run_for (pool, FAKE_TICK_PERIOD);
  return pool->now - start;
}

#endif

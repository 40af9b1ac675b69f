#include "lc-weights.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* Maximum time from an accepted order until the engine's reports show the load. */
#define LOAD_START_TIMEOUT LB_SEC
#define INITIAL_RETRY_BACKOFF (2 * LB_SEC)
#define MAX_RETRY_BACKOFF (60 * LB_SEC)
#define MOVING_AVERAGE_WEIGHT 0.3      /* weight of the latest sample in a moving average */
#define INITIAL_LOAD_TIME (5 * LB_SEC) /* load time assumed until the first load has ended */
#define MIN_FAILED_ENGINES_TO_HALT 2
#define MAX_FAILED_ENGINES_TO_HALT 5

typedef enum
{
  /* state not known, because of a missing recent report, a failed order or a load that hangs */
  ENGINE_UNKNOWN,
  ENGINE_EMPTY, /* no complete version is loaded, and no load is in progress */
  ENGINE_SERVING,
  ENGINE_SWAPPING
} EngineState;

typedef struct
{
  LbName name; /* key in LcWeights.engines */
  LcEndpointMember member;
  EngineState state;
  LcWeightReport report;
  LbTime last_report_at;
  LbTime not_serving_since;  /* time at which the engine stopped serving; 0: the engine serves */
  LbTime loading_since;      /* time of the first report of the load in progress; 0: none */
  LcVersion ordered_version; /* version of the pending load order; 0: none */
  LbTime ordered_at;
  int failures;       /* number of consecutive failed loads of the target */
  bool target_failed; /* the engine reported that its load of the target failed */
  LbTime retry_at;
  bool swap_pending; /* the router was told that a swap is pending */
  bool is_configured;
  UT_hash_handle hh;
} Engine;

struct LcWeights
{
  LcWeightsSettings settings;
  Engine *engines;
  LcVersion newest;
  /* weight_version of the pool's configuration; 0: none is set, so the newest version is the
   * target */
  LcVersion pinned_version;
  LcVersion target;
  double live_reserve;
  int64_t roll_out_percent;
  int64_t swap_limit; /* maximum concurrent swaps; -1: roll_out_percent applies */
  LbTime newest_at;
  LbTime version_interval;
  LbTime mean_load_time; /* mean time from a load order to the report that the load has ended */
  double order_tokens;   /* tokens left in the token bucket that limits the rate of load orders */
  LbTime order_tokens_updated_at;
  LbTime lease_changed_at;
  LcWeightsWaitReason wait_reason;
};

static LbMetric metric_orders = LB_COUNTER_INIT ("lentilspindle_weight_orders_total",
                                                 NULL,
                                                 "Orders given to engines to load weights");
static LbMetric metric_failures = LB_COUNTER_INIT ("lentilspindle_weight_load_failures_total",
                                                   NULL,
                                                   "Weight loads that failed or timed out");
static LbMetric metric_unexpected_versions = LB_COUNTER_INIT (
    "lentilspindle_weight_strays_total",
    NULL,
    "Loads after which the engine reported another version than it was ordered to load");

static const char *const wait_reason_names[]
    = { [LC_WEIGHTS_IDLE] = "idle",         [LC_WEIGHTS_IN_PROGRESS] = "going",
        [LC_WEIGHTS_NO_LEASE] = "no_lease", [LC_WEIGHTS_RATE_LIMITED] = "rate",
        [LC_WEIGHTS_CAPACITY] = "capacity", [LC_WEIGHTS_STATE_UNKNOWN] = "unknown",
        [LC_WEIGHTS_BACKOFF] = "backoff",   [LC_WEIGHTS_HALTED] = "halted" };

void
lc_weights_settings_init (LcWeightsSettings *settings, const char *pool)
{
  *settings = (LcWeightsSettings){ .orders_per_second = 60,
                                   .burst = 60,
                                   .load_timeout = 120 * LB_SEC,
                                   .report_timeout = 10 * LB_SEC,
                                   .first_report_timeout = 10 * LB_SEC,
                                   .lost_engine_timeout = 30 * LB_SEC };
  LB_COPY (settings->pool, pool);
}

LcWeights *
lc_weights_new (const LcWeightsSettings *settings)
{
  LcWeights *weights = LB_NEW (LcWeights);

  weights->settings = *settings;
  weights->order_tokens = (double)settings->burst;
  weights->mean_load_time = INITIAL_LOAD_TIME;
  weights->swap_limit = -1;
  return weights;
}

static void
remove_engine (LcWeights *weights, Engine *engine)
{
  if (!weights->engines)
    return;
  HASH_DEL (weights->engines, engine);
  free (engine);
}

void
lc_weights_free (LcWeights *weights)
{
  Engine *engine, *next;

  if (!weights)
    return;
  HASH_ITER (hh, weights->engines, engine, next)
  {
    remove_engine (weights, engine);
  }
  free (weights);
}

static Engine *
find_engine (const LcWeights *weights, const char *name)
{
  Engine *engine;

  HASH_FIND_STR (weights->engines, name, engine);
  return engine;
}

static Engine *
get_or_add_engine (LcWeights *weights, const char *name, LbTime now)
{
  Engine *engine = find_engine (weights, name);

  if (engine)
    return engine;
  engine = LB_NEW (Engine);
  LB_COPY (engine->name, name);
  engine->not_serving_since = now;
  HASH_ADD_STR (weights->engines, name, engine);
  return engine;
}

/* Sets the target version. Failed loads of the previous target do not count for a new one. */
static void
update_target_version (LcWeights *weights)
{
  LcVersion target = weights->pinned_version > 0 ? weights->pinned_version : weights->newest;

  if (target == weights->target)
    return;
  weights->target = target;
  for (Engine *engine = weights->engines; engine; engine = engine->hh.next)
    {
      engine->failures = 0;
      engine->retry_at = 0;
    }
}

void
lc_weights_configure (LcWeights *weights, const LcResourceSet *set, LbTime now)
{
  Engine *engine, *next;
  const LcPool *pool = lc_resource_set_find_pool (set, weights->settings.pool);

  for (engine = weights->engines; engine; engine = engine->hh.next)
    engine->is_configured = false;
  for (size_t i = 0; pool && i < set->n_endpoints; i++)
    {
      const LcEndpointMember *member = &set->endpoints[i];
      if (member->kind != LC_ENDPOINT_ENGINE || member->leaving
          || strcmp (member->pool, weights->settings.pool) != 0)
        continue;
      engine = get_or_add_engine (weights, member->name, now);
      engine->member = *member;
      engine->is_configured = true;
    }
  HASH_ITER (hh, weights->engines, engine, next)
  {
    if (!engine->is_configured)
      remove_engine (weights, engine);
  }
  weights->pinned_version = pool ? pool->weight_version : 0;
  weights->live_reserve = pool ? pool->live_reserve : 0;
  weights->roll_out_percent = pool ? pool->roll_out_percent : 0;
  update_target_version (weights);
}

static LbTime
compute_next_moving_average (LbTime previous, LbTime latest)
{
  return (LbTime)(MOVING_AVERAGE_WEIGHT * latest + (1 - MOVING_AVERAGE_WEIGHT) * previous);
}

void
lc_weights_set_newest_version (LcWeights *weights, LcVersion version, LbTime now)
{
  /* An older version comes from a delayed answer or from a lagging replica of the weight store. */
  if (version <= weights->newest)
    return;
  if (weights->newest > 0)
    {
      LbTime interval = (now - weights->newest_at) / (version - weights->newest);
      weights->version_interval
          = weights->version_interval == 0
                ? interval
                : compute_next_moving_average (weights->version_interval, interval);
    }
  weights->newest = version;
  weights->newest_at = now;
  update_target_version (weights);
}

/* Guards against a lease holder that relies on engine states from an earlier lease, or that starts
 * without any after its predecessor crashed during a roll-out: too many engines would swap at once,
 * and callers would find none. Each engine counts as not serving until it reports its state. An
 * engine that reports a load counts as swapping, whoever ordered the load. */
void
lc_weights_lease_changed (LcWeights *weights, LbTime now)
{
  weights->lease_changed_at = now;
  for (Engine *engine = weights->engines; engine; engine = engine->hh.next)
    {
      engine->state = ENGINE_UNKNOWN;
      engine->not_serving_since = now;
      engine->loading_since = 0;
      engine->ordered_version = 0;
      engine->failures = 0;
      engine->retry_at = 0;
    }
}

static void
append_routing_update (Engine *engine, bool pending, LbTime expected_at, LbList *actions)
{
  LcWeightsAction *action = LB_NEW (LcWeightsAction);

  engine->swap_pending = pending;
  action->type = LC_WEIGHTS_UPDATE_ROUTING;
  LB_COPY (action->endpoint, engine->name);
  action->pending = pending;
  action->expected_at = expected_at;
  lb_list_append (actions, &action->link);
}

static void
record_engine_load_failure (Engine *engine, LbTime now)
{
  LbTime backoff = INITIAL_RETRY_BACKOFF;

  for (int i = 0; i < engine->failures && backoff < MAX_RETRY_BACKOFF; i++)
    backoff *= 2;
  engine->failures++;
  engine->ordered_version = 0;
  engine->retry_at = now + (backoff < MAX_RETRY_BACKOFF ? backoff : MAX_RETRY_BACKOFF);
  lb_metric_add (&metric_failures, 1);
}

static void
set_engine_state (Engine *engine, EngineState state, LbTime now)
{
  if (state == ENGINE_SERVING)
    engine->not_serving_since = 0;
  else if (engine->state == ENGINE_SERVING || engine->not_serving_since == 0)
    engine->not_serving_since = now;
  engine->state = state;
}

/* Ends the pending order after a report that no load is in progress. An order without effect (the
 * engine ignored it, restarted, or accepted another order) also counts as a failure. Without a
 * backoff, such an order would be repeated at once and keep all other engines from being
 * ordered. */
static void
finish_pending_load_order (LcWeights *weights, Engine *engine, LbTime now)
{
  if (engine->ordered_version == 0)
    return;
  if (engine->report.version == engine->ordered_version)
    weights->mean_load_time
        = compute_next_moving_average (weights->mean_load_time, now - engine->ordered_at);
  else
    {
      /* Version 0 means that no version is loaded; it does not count as an unexpected version. */
      lb_metric_add (&metric_unexpected_versions, engine->report.version > 0);
      record_engine_load_failure (engine, now);
    }
  engine->ordered_version = 0;
}

/* Handles a report of a load in progress. A load that hangs must not count against the limit of
 * concurrent swaps forever. */
static void
record_reported_load_in_progress (const LcWeights *weights, Engine *engine, LbTime now)
{
  if (engine->loading_since == 0)
    engine->loading_since = now;
  if (now - engine->loading_since <= weights->settings.load_timeout)
    {
      set_engine_state (engine, ENGINE_SWAPPING, now);
      return;
    }
  if (engine->ordered_version != 0)
    record_engine_load_failure (engine, now);
  set_engine_state (engine, ENGINE_UNKNOWN, now);
}

/* Returns true if the report was requested before the pending load order, or so soon after it that
 * the report may not show the load yet. */
static bool
is_report_too_old_to_show_order (const Engine *engine, const LcWeightReport *report)
{
  return engine->ordered_version != 0 && !report->loading
         && report->version != engine->ordered_version
         && report->failed_version != engine->ordered_version
         && report->requested_at < engine->ordered_at + LOAD_START_TIMEOUT;
}

void
lc_weights_report_received (
    LcWeights *weights, const char *name, const LcWeightReport *report, LbTime now, LbList *actions)
{
  Engine *engine = find_engine (weights, name);

  if (!engine || report->requested_at < weights->lease_changed_at
      || report->requested_at < engine->report.requested_at)
    return;
  engine->last_report_at = now;
  if (is_report_too_old_to_show_order (engine, report))
    return;
  engine->report = *report;
  if (report->loading)
    {
      record_reported_load_in_progress (weights, engine, now);
      return;
    }
  engine->loading_since = 0;
  finish_pending_load_order (weights, engine, now);
  if (report->version == weights->target)
    engine->failures = 0;
  engine->target_failed = report->failed_version > 0 && report->failed_version == weights->target;
  set_engine_state (engine, report->version > 0 ? ENGINE_SERVING : ENGINE_EMPTY, now);
  if (engine->swap_pending && report->version > 0)
    append_routing_update (engine, false, now, actions);
}

/* After an error, it is unknown whether the engine accepted the order. The engine's state stays
 * unknown until a report that is requested from now on, since earlier reports may not show the
 * order yet. */
void
lc_weights_order_answered (LcWeights *weights, const char *name, LbErrorCode error, LbTime now)
{
  Engine *engine = find_engine (weights, name);

  if (!engine || error == LB_OK || engine->ordered_version == 0)
    return;
  record_engine_load_failure (engine, now);
  set_engine_state (engine, ENGINE_UNKNOWN, now);
  engine->report.requested_at = now;
}

static void
set_engine_unknown_if_report_is_old (const LcWeights *weights, Engine *engine, LbTime now)
{
  if (now - engine->last_report_at > weights->settings.report_timeout)
    set_engine_state (engine, ENGINE_UNKNOWN, now);
}

/* Summary of the engines of the pool. Capacity is the number of requests that the engines can
 * process concurrently. */
typedef struct
{
  int64_t capacity;
  int64_t serving_capacity;
  size_t engines;
  size_t serving;
  size_t swapping;
  size_t failed;          /* number of engines whose last load of the target failed or timed out */
  size_t reported_failed; /* number of engines that reported a failed load of the target */
  size_t on_target;
  /* number of engines that serve the target or the version before, which a trainer's next step
   * accepts */
  size_t usable;
  size_t unknown;
  bool has_recently_lost_engine; /* some engine stopped serving less than lost_engine_timeout ago */
} PoolState;

/* Returns true if an earlier lease holder may have ordered the engine to load, because the engine
 * has not reported since the lease was gained. Ends after first_report_timeout: engines that load
 * do report, and those that never answer would otherwise keep all others from loading. */
static bool
may_be_swapping_for_earlier_lease_holder (const LcWeights *weights,
                                          const Engine *engine,
                                          LbTime now)
{
  return engine->state == ENGINE_UNKNOWN && engine->last_report_at < weights->lease_changed_at
         && now - weights->lease_changed_at < weights->settings.first_report_timeout;
}

static void
compute_pool_state (const LcWeights *weights, LbTime now, PoolState *pool)
{
  memset (pool, 0, sizeof *pool);
  for (const Engine *engine = weights->engines; engine; engine = engine->hh.next)
    {
      pool->engines++;
      pool->capacity += engine->member.concurrency;
      pool->failed += engine->failures > 0;
      pool->reported_failed += engine->target_failed;
      pool->swapping += engine->state == ENGINE_SWAPPING
                        || may_be_swapping_for_earlier_lease_holder (weights, engine, now);
      pool->unknown += engine->state == ENGINE_UNKNOWN;
      if (engine->state == ENGINE_SERVING)
        {
          pool->serving++;
          pool->serving_capacity += engine->member.concurrency;
          pool->on_target += engine->report.version == weights->target;
          pool->usable += engine->report.version >= weights->target - 1;
        }
      else
        pool->has_recently_lost_engine
            |= now - engine->not_serving_since < weights->settings.lost_engine_timeout;
    }
}

static size_t
max_concurrent_swaps (const LcWeights *weights, const PoolState *pool)
{
  size_t limit = pool->engines * (size_t)weights->roll_out_percent / 100;

  if (weights->swap_limit >= 0)
    return (size_t)weights->swap_limit;
  return limit > 0 ? limit : 1;
}

/* Guards against a version that no engine can load, which would take one engine after the other out
 * of service until none is left. Once some engines have reported a failed load and none serves the
 * version, only the failed ones are retried, one at a time. */
static bool
is_roll_out_halted (const LcWeights *weights, const PoolState *pool)
{
  size_t limit = max_concurrent_swaps (weights, pool);

  if (limit < MIN_FAILED_ENGINES_TO_HALT)
    limit = MIN_FAILED_ENGINES_TO_HALT;
  if (limit > MAX_FAILED_ENGINES_TO_HALT)
    limit = MAX_FAILED_ENGINES_TO_HALT;
  return pool->on_target == 0 && pool->reported_failed >= limit;
}

/* Returns true if the engine may stop serving for a swap. Guards against live callers that find no
 * engine while many swap: without this engine, the others must still cover the live reserve, and at
 * least one must serve. A permanently lost engine would block all swaps forever, so after
 * lost_engine_timeout they run one at a time. */
static bool
swap_leaves_enough_capacity (const LcWeights *weights, const PoolState *pool, const Engine *engine)
{
  if (engine->state != ENGINE_SERVING)
    return true;
  int64_t remaining_capacity = pool->serving_capacity - engine->member.concurrency;
  if (pool->serving > 1
      && (double)remaining_capacity >= weights->live_reserve * (double)pool->capacity)
    return true;
  return pool->swapping == 0 && !pool->has_recently_lost_engine;
}

static bool
needs_load_of_target_version (const LcWeights *weights, const Engine *engine)
{
  return engine->report.version != weights->target && !engine->report.leaving
         && (engine->state == ENGINE_SERVING || engine->state == ENGINE_EMPTY);
}

/* Returns true if engine a should load before engine b. Engines without weights come first, since
 * they serve no one; then those with the oldest version, so that none starves if versions come
 * faster than a roll-out takes; then the least busy. */
static bool
should_engine_load_before (const LcWeights *weights, const Engine *a, const Engine *b)
{
  if (!b)
    return true;
  if ((a->state == ENGINE_EMPTY) != (b->state == ENGINE_EMPTY))
    return a->state == ENGINE_EMPTY;
  int64_t lag_a = llabs (weights->target - a->report.version);
  int64_t lag_b = llabs (weights->target - b->report.version);
  if (lag_a != lag_b)
    return lag_a > lag_b;
  return a->report.running < b->report.running;
}

/* Returns the next engine to order; NULL, with the reason, if no engine can be ordered.
 * can_order_fenced, can_order_unfenced: orders may be given now to engines that check the fencing
 * token, and to those that do not. */
static Engine *
choose_engine_to_load (const LcWeights *weights,
                       const PoolState *pool,
                       bool can_order_fenced,
                       bool can_order_unfenced,
                       LbTime now,
                       LcWeightsWaitReason *reason)
{
  Engine *best = NULL;
  bool halted = is_roll_out_halted (weights, pool);

  *reason = pool->swapping > 0 ? LC_WEIGHTS_IN_PROGRESS
                               : (pool->unknown > 0 ? LC_WEIGHTS_STATE_UNKNOWN : LC_WEIGHTS_IDLE);
  for (Engine *engine = weights->engines; engine; engine = engine->hh.next)
    {
      if (!needs_load_of_target_version (weights, engine))
        continue;
      if (halted && !engine->target_failed)
        {
          *reason = LC_WEIGHTS_HALTED;
          continue;
        }
      if (engine->member.checks_fence ? !can_order_fenced : !can_order_unfenced)
        *reason = LC_WEIGHTS_NO_LEASE;
      else if (now < engine->retry_at)
        *reason = halted ? LC_WEIGHTS_HALTED : LC_WEIGHTS_BACKOFF;
      else if (!swap_leaves_enough_capacity (weights, pool, engine))
        *reason = LC_WEIGHTS_CAPACITY;
      else if (should_engine_load_before (weights, engine, best))
        best = engine;
    }
  return best;
}

static void
order_engine_load (LcWeights *weights, Engine *engine, LbTime now, LbList *actions)
{
  LcWeightsAction *action = LB_NEW (LcWeightsAction);

  append_routing_update (engine, true, now + weights->mean_load_time, actions);
  set_engine_state (engine, ENGINE_SWAPPING, now);
  engine->ordered_version = weights->target;
  engine->ordered_at = now;
  weights->order_tokens -= 1;
  lb_metric_add (&metric_orders, 1);
  action->type = LC_WEIGHTS_ORDER_LOAD;
  LB_COPY (action->endpoint, engine->name);
  LB_COPY (action->address, engine->member.address);
  action->version = weights->target;
  lb_list_append (actions, &action->link);
}

static void
refill_order_rate_limit_tokens (LcWeights *weights, LbTime now)
{
  double elapsed = (double)(now - weights->order_tokens_updated_at) / LB_SEC;

  weights->order_tokens += elapsed * weights->settings.orders_per_second;
  if (weights->order_tokens > (double)weights->settings.burst)
    weights->order_tokens = (double)weights->settings.burst;
  weights->order_tokens_updated_at = now;
}

void
lc_weights_set_swap_limit (LcWeights *weights, int64_t limit)
{
  weights->swap_limit = limit;
}

void
lc_weights_tick (
    LcWeights *weights, bool can_order_fenced, bool can_order_unfenced, LbTime now, LbList *actions)
{
  PoolState pool;
  Engine *engine;

  refill_order_rate_limit_tokens (weights, now);
  for (engine = weights->engines; engine; engine = engine->hh.next)
    set_engine_unknown_if_report_is_old (weights, engine, now);
  weights->wait_reason = LC_WEIGHTS_IDLE;
  if (weights->target <= 0)
    return;
  for (;;)
    {
      compute_pool_state (weights, now, &pool);
      engine = choose_engine_to_load (weights, &pool, can_order_fenced, can_order_unfenced, now,
                                      &weights->wait_reason);
      if (!engine)
        return;
      bool halted = is_roll_out_halted (weights, &pool);
      if (pool.swapping >= (halted ? 1 : max_concurrent_swaps (weights, &pool)))
        {
          weights->wait_reason = halted ? LC_WEIGHTS_HALTED : LC_WEIGHTS_IN_PROGRESS;
          return;
        }
      if (weights->order_tokens < 1)
        {
          weights->wait_reason = LC_WEIGHTS_RATE_LIMITED;
          return;
        }
      order_engine_load (weights, engine, now, actions);
    }
}

void
lc_weights_get_status (const LcWeights *weights, LbTime now, LcWeightsStatus *status)
{
  PoolState pool;

  compute_pool_state (weights, now, &pool);
  *status = (LcWeightsStatus){ .target = weights->target,
                               .version_interval = weights->version_interval,
                               .engines = pool.engines,
                               .on_target = pool.on_target,
                               .usable = pool.usable,
                               .swapping = pool.swapping,
                               .unknown = pool.unknown,
                               .failed = pool.failed,
                               .wait_reason = weights->wait_reason };
}

const char *
lc_weights_wait_reason_name (LcWeightsWaitReason reason)
{
  return wait_reason_names[reason];
}

bool
lc_weights_is_engine_swapping (const LcWeights *weights, const char *endpoint)
{
  const Engine *engine = find_engine (weights, endpoint);

  return engine && engine->state == ENGINE_SWAPPING;
}

#include "lc-weights.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define ACCEPT_GRACE LB_SEC /* from an accepted order until a report must show the load */
#define FIRST_BACKOFF (2 * LB_SEC)
#define MAX_BACKOFF (60 * LB_SEC)
#define EWMA_WEIGHT 0.3
#define FIRST_LOAD_TIME (5 * LB_SEC) /* expected until one was seen */
#define MIN_FAILED_TO_HALT 2
#define MAX_FAILED_TO_HALT 5

typedef enum
{
  ENGINE_UNKNOWN, /* has not told its state lately */
  ENGINE_EMPTY,   /* no whole version, nothing loading */
  ENGINE_SERVING,
  ENGINE_SWAPPING
} EngineState;

typedef struct
{
  LbName name; /* key */
  LcEndpointMember member;
  EngineState state;
  LcWeightReport report;
  LbTime reported_at;
  LbTime out_since;     /* when it stopped to serve; 0: serves */
  LbTime loading_since; /* first report of the load in progress; 0: none */
  LcVersion ordered;
  LbTime ordered_at;
  int failures;         /* in a row, of the target */
  bool refused_version; /* it stated that it failed to load the target */
  LbTime retry_at;
  bool pending; /* routing was told that a swap is pending */
  bool configured;
  UT_hash_handle hh;
} Engine;

struct LcWeights
{
  LcWeightsSettings settings;
  Engine *engines;
  LcVersion newest;
  LcVersion pinned; /* weight_version of the pool; 0: the newest */
  LcVersion target;
  double live_reserve;
  int64_t percent;
  int64_t limit; /* -1: percent counts */
  LbTime newest_at;
  LbTime version_interval;
  LbTime load_time; /* mean, from order to report */
  double tokens;    /* of the rate's bucket */
  LbTime tokens_at;
  LbTime restarted_at;
  LcWeightsWaitReason wait_reason;
};

static LbMetric metric_orders
    = LB_COUNTER_INIT ("lentilspindle_weight_orders_total", NULL, "Orders to load weights");
static LbMetric metric_failures = LB_COUNTER_INIT ("lentilspindle_weight_load_failures_total",
                                                   NULL,
                                                   "Loads that failed or took too long");
static LbMetric metric_strays = LB_COUNTER_INIT (
    "lentilspindle_weight_strays_total",
    NULL,
    "Engines that stated another version after a load than they were ordered to");

static const char *const wait_names[]
    = { "idle", "going", "no_lease", "rate", "capacity", "unknown", "backoff", "halted" };

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
  weights->tokens = (double)settings->burst;
  weights->load_time = FIRST_LOAD_TIME;
  weights->limit = -1;
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
ensure_engine (LcWeights *weights, const char *name, LbTime now)
{
  Engine *engine = find_engine (weights, name);

  if (engine)
    return engine;
  engine = LB_NEW (Engine);
  LB_COPY (engine->name, name);
  engine->out_since = now;
  HASH_ADD_STR (weights->engines, name, engine);
  return engine;
}

/* A new target: failures of the one before say nothing of it. */
static void
update_target (LcWeights *weights)
{
  LcVersion target = weights->pinned > 0 ? weights->pinned : weights->newest;

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
    engine->configured = false;
  for (size_t i = 0; pool && i < set->n_endpoints; i++)
    {
      const LcEndpointMember *member = &set->endpoints[i];
      if (member->kind != LC_ENDPOINT_ENGINE || member->leaving
          || strcmp (member->pool, weights->settings.pool) != 0)
        continue;
      engine = ensure_engine (weights, member->name, now);
      engine->member = *member;
      engine->configured = true;
    }
  HASH_ITER (hh, weights->engines, engine, next)
  {
    if (!engine->configured)
      remove_engine (weights, engine);
  }
  weights->pinned = pool ? pool->weight_version : 0;
  weights->live_reserve = pool ? pool->live_reserve : 0;
  weights->percent = pool ? pool->roll_out_percent : 0;
  update_target (weights);
}

static LbTime
mean (LbTime before, LbTime latest)
{
  return (LbTime)(EWMA_WEIGHT * latest + (1 - EWMA_WEIGHT) * before);
}

void
lc_weights_set_newest (LcWeights *weights, LcVersion version, LbTime now)
{
  /* An answer that was late on the wire, or a replica that lags. */
  if (version <= weights->newest)
    return;
  if (weights->newest > 0)
    {
      LbTime interval = (now - weights->newest_at) / (version - weights->newest);
      weights->version_interval
          = weights->version_interval == 0 ? interval : mean (weights->version_interval, interval);
    }
  weights->newest = version;
  weights->newest_at = now;
  update_target (weights);
}

/* Guards against a holder that relies on what it knew when it held the lease before, or that starts
 * with nothing while its predecessor crashed in the middle: too many engines would be in a swap at
 * once, and callers would find none. Each engine counts as out until it has told its state, and one
 * that is loading by anyone's order counts as a swap. */
void
lc_weights_lease_changed (LcWeights *weights, LbTime now)
{
  weights->restarted_at = now;
  for (Engine *engine = weights->engines; engine; engine = engine->hh.next)
    {
      engine->state = ENGINE_UNKNOWN;
      engine->out_since = now;
      engine->loading_since = 0;
      engine->ordered = 0;
      engine->failures = 0;
      engine->retry_at = 0;
    }
}

static void
add_swap (Engine *engine, bool pending, LbTime expected_at, LbList *actions)
{
  LcWeightsAction *action = LB_NEW (LcWeightsAction);

  engine->pending = pending;
  action->type = LC_WEIGHTS_UPDATE_ROUTING;
  LB_COPY (action->endpoint, engine->name);
  action->pending = pending;
  action->expected_at = expected_at;
  lb_list_append (actions, &action->link);
}

static void
note_failure (Engine *engine, LbTime now)
{
  LbTime backoff = FIRST_BACKOFF;

  for (int i = 0; i < engine->failures && backoff < MAX_BACKOFF; i++)
    backoff *= 2;
  engine->failures++;
  engine->ordered = 0;
  engine->retry_at = now + (backoff < MAX_BACKOFF ? backoff : MAX_BACKOFF);
  lb_metric_add (&metric_failures, 1);
}

static void
set_state (Engine *engine, EngineState state, LbTime now)
{
  if (state == ENGINE_SERVING)
    engine->out_since = 0;
  else if (engine->state == ENGINE_SERVING || engine->out_since == 0)
    engine->out_since = now;
  engine->state = state;
}

/* The order we gave has come to an end, as the engine states itself. One that had no effect (it did
 * nothing, was started anew, or took another order in between) counts as failed too: without a
 * pause it would be given again at once, and such engines would use up the places of all others. */
static void
end_order (LcWeights *weights, Engine *engine, LbTime now)
{
  if (engine->ordered == 0)
    return;
  if (engine->report.version == engine->ordered)
    weights->load_time = mean (weights->load_time, now - engine->ordered_at);
  else
    {
      lb_metric_add (&metric_strays, engine->report.version > 0);
      note_failure (engine, now);
    }
  engine->ordered = 0;
}

/* A load that never ends must not keep its place in the roll-out for good. */
static void
note_loading (const LcWeights *weights, Engine *engine, LbTime now)
{
  if (engine->loading_since == 0)
    engine->loading_since = now;
  if (now - engine->loading_since <= weights->settings.load_timeout)
    {
      set_state (engine, ENGINE_SWAPPING, now);
      return;
    }
  if (engine->ordered != 0)
    note_failure (engine, now);
  set_state (engine, ENGINE_UNKNOWN, now);
}

/* A report that was asked for before the order, or before it can have begun, says nothing of it. */
static bool
is_before_order (const Engine *engine, const LcWeightReport *report)
{
  return engine->ordered != 0 && !report->loading && report->version != engine->ordered
         && report->failed_version != engine->ordered
         && report->requested_at < engine->ordered_at + ACCEPT_GRACE;
}

void
lc_weights_report_received (
    LcWeights *weights, const char *name, const LcWeightReport *report, LbTime now, LbList *actions)
{
  Engine *engine = find_engine (weights, name);

  if (!engine || report->requested_at < weights->restarted_at
      || report->requested_at < engine->report.requested_at)
    return;
  engine->reported_at = now;
  if (is_before_order (engine, report))
    return;
  engine->report = *report;
  if (report->loading)
    {
      note_loading (weights, engine, now);
      return;
    }
  engine->loading_since = 0;
  end_order (weights, engine, now);
  if (report->version == weights->target)
    engine->failures = 0;
  engine->refused_version = report->failed_version > 0 && report->failed_version == weights->target;
  set_state (engine, report->version > 0 ? ENGINE_SERVING : ENGINE_EMPTY, now);
  if (engine->pending && report->version > 0)
    add_swap (engine, false, now, actions);
}

/* After a failure the order may have been taken or not: reports tell, and until then the engine
 * counts as in a swap. */
void
lc_weights_order_answered (LcWeights *weights, const char *name, LbErrorCode error, LbTime now)
{
  Engine *engine = find_engine (weights, name);

  if (!engine || error == LB_OK || engine->ordered == 0)
    return;
  note_failure (engine, now);
  set_state (engine, ENGINE_UNKNOWN, now);
  engine->report.requested_at = now;
}

static void
note_silence (const LcWeights *weights, Engine *engine, LbTime now)
{
  if (now - engine->reported_at > weights->settings.report_timeout)
    set_state (engine, ENGINE_UNKNOWN, now);
}

/* What the pool looks like now. Capacity is in requests at once. */
typedef struct
{
  int64_t capacity;
  int64_t serving_capacity;
  size_t engines;
  size_t serving;
  size_t swapping;
  size_t failed;
  size_t refused; /* the target */
  size_t on_target;
  size_t usable;
  size_t unknown;
  bool waits_for_lost; /* an engine that does not serve has been out for less than the
                          lost_engine_timeout */
} View;

/* Not asked yet since the lease became ours, so that a holder before may have ordered it. For a
 * while only: engines that load answer like others, and those that do not answer at all took the
 * places of loads from those that do. */
static bool
may_be_swapping (const LcWeights *weights, const Engine *engine, LbTime now)
{
  return engine->state == ENGINE_UNKNOWN && engine->reported_at < weights->restarted_at
         && now - weights->restarted_at < weights->settings.first_report_timeout;
}

static void
look (const LcWeights *weights, LbTime now, View *view)
{
  memset (view, 0, sizeof *view);
  for (const Engine *engine = weights->engines; engine; engine = engine->hh.next)
    {
      view->engines++;
      view->capacity += engine->member.concurrency;
      view->failed += engine->failures > 0;
      view->refused += engine->refused_version;
      view->swapping += engine->state == ENGINE_SWAPPING || may_be_swapping (weights, engine, now);
      view->unknown += engine->state == ENGINE_UNKNOWN;
      if (engine->state == ENGINE_SERVING)
        {
          view->serving++;
          view->serving_capacity += engine->member.concurrency;
          view->on_target += engine->report.version == weights->target;
          view->usable += engine->report.version >= weights->target - 1;
        }
      else
        view->waits_for_lost |= now - engine->out_since < weights->settings.lost_engine_timeout;
    }
}

static size_t
swap_limit (const LcWeights *weights, const View *view)
{
  size_t limit = view->engines * (size_t)weights->percent / 100;

  if (weights->limit >= 0)
    return (size_t)weights->limit;
  return limit > 0 ? limit : 1;
}

/* Guards against a version that no engine can load: one after the other would be taken out of
 * service for nothing until none is left. Once a few have stated that they failed and none has the
 * version, only those are tried again, one at a time. */
static bool
is_halted (const LcWeights *weights, const View *view)
{
  size_t limit = swap_limit (weights, view);

  if (limit < MIN_FAILED_TO_HALT)
    limit = MIN_FAILED_TO_HALT;
  if (limit > MAX_FAILED_TO_HALT)
    limit = MAX_FAILED_TO_HALT;
  return view->on_target == 0 && view->refused >= limit;
}

/* Guards against live callers that find no engine while many are in a swap. What serves after this
 * one stops must still cover the live reserve, and one engine at least must serve. An engine that
 * is lost for good would hold up all others for ever; after the lost_engine_timeout they go one at
 * a time. */
static bool
leaves_capacity (const LcWeights *weights, const View *view, const Engine *engine)
{
  if (engine->state != ENGINE_SERVING)
    return true;
  int64_t left = view->serving_capacity - engine->member.concurrency;
  if (view->serving > 1 && (double)left >= weights->live_reserve * (double)view->capacity)
    return true;
  return view->swapping == 0 && !view->waits_for_lost;
}

static bool
is_wanted (const LcWeights *weights, const Engine *engine)
{
  return engine->report.version != weights->target && !engine->report.leaving
         && (engine->state == ENGINE_SERVING || engine->state == ENGINE_EMPTY);
}

/* Those without weights first, since they serve nobody; then the oldest, so that each engine gets
 * its turn when versions come faster than a roll-out takes; then the least busy. */
static bool
is_before (const LcWeights *weights, const Engine *a, const Engine *b)
{
  if (!b)
    return true;
  if ((a->state == ENGINE_EMPTY) != (b->state == ENGINE_EMPTY))
    return a->state == ENGINE_EMPTY;
  int64_t behind_a = llabs (weights->target - a->report.version);
  int64_t behind_b = llabs (weights->target - b->report.version);
  if (behind_a != behind_b)
    return behind_a > behind_b;
  return a->report.running < b->report.running;
}

/* The next engine to order, or NULL and why none. */
static Engine *
choose (const LcWeights *weights,
        const View *view,
        bool fenced,
        bool unfenced,
        LbTime now,
        LcWeightsWaitReason *wait)
{
  Engine *best = NULL;
  bool halted = is_halted (weights, view);

  *wait = view->swapping > 0 ? LC_WEIGHTS_IN_PROGRESS
                             : (view->unknown > 0 ? LC_WEIGHTS_STATE_UNKNOWN : LC_WEIGHTS_IDLE);
  for (Engine *engine = weights->engines; engine; engine = engine->hh.next)
    {
      if (!is_wanted (weights, engine))
        continue;
      if (halted && !engine->refused_version)
        {
          *wait = LC_WEIGHTS_HALTED;
          continue;
        }
      if (engine->member.checks_fence ? !fenced : !unfenced)
        *wait = LC_WEIGHTS_NO_LEASE;
      else if (now < engine->retry_at)
        *wait = halted ? LC_WEIGHTS_HALTED : LC_WEIGHTS_BACKOFF;
      else if (!leaves_capacity (weights, view, engine))
        *wait = LC_WEIGHTS_CAPACITY;
      else if (is_before (weights, engine, best))
        best = engine;
    }
  return best;
}

static void
order (LcWeights *weights, Engine *engine, LbTime now, LbList *actions)
{
  LcWeightsAction *action = LB_NEW (LcWeightsAction);

  add_swap (engine, true, now + weights->load_time, actions);
  set_state (engine, ENGINE_SWAPPING, now);
  engine->ordered = weights->target;
  engine->ordered_at = now;
  weights->tokens -= 1;
  lb_metric_add (&metric_orders, 1);
  action->type = LC_WEIGHTS_ORDER_LOAD;
  LB_COPY (action->endpoint, engine->name);
  LB_COPY (action->address, engine->member.address);
  action->version = weights->target;
  lb_list_append (actions, &action->link);
}

static void
refill (LcWeights *weights, LbTime now)
{
  double elapsed = (double)(now - weights->tokens_at) / LB_SEC;

  weights->tokens += elapsed * weights->settings.orders_per_second;
  if (weights->tokens > (double)weights->settings.burst)
    weights->tokens = (double)weights->settings.burst;
  weights->tokens_at = now;
}

void
lc_weights_set_swap_limit (LcWeights *weights, int64_t limit)
{
  weights->limit = limit;
}

void
lc_weights_tick (LcWeights *weights, bool fenced, bool unfenced, LbTime now, LbList *actions)
{
  View view;
  Engine *engine;

  refill (weights, now);
  for (engine = weights->engines; engine; engine = engine->hh.next)
    note_silence (weights, engine, now);
  weights->wait_reason = LC_WEIGHTS_IDLE;
  if (weights->target <= 0)
    return;
  for (;;)
    {
      look (weights, now, &view);
      engine = choose (weights, &view, fenced, unfenced, now, &weights->wait_reason);
      if (!engine)
        return;
      bool halted = is_halted (weights, &view);
      if (view.swapping >= (halted ? 1 : swap_limit (weights, &view)))
        {
          weights->wait_reason = halted ? LC_WEIGHTS_HALTED : LC_WEIGHTS_IN_PROGRESS;
          return;
        }
      if (weights->tokens < 1)
        {
          weights->wait_reason = LC_WEIGHTS_RATE_LIMITED;
          return;
        }
      order (weights, engine, now, actions);
    }
}

void
lc_weights_status (const LcWeights *weights, LbTime now, LcWeightsStatus *status)
{
  View view;

  look (weights, now, &view);
  *status = (LcWeightsStatus){ .target = weights->target,
                               .version_interval = weights->version_interval,
                               .engines = view.engines,
                               .on_target = view.on_target,
                               .usable = view.usable,
                               .swapping = view.swapping,
                               .unknown = view.unknown,
                               .failed = view.failed,
                               .wait_reason = weights->wait_reason };
}

const char *
lc_weights_wait_reason_name (LcWeightsWaitReason wait)
{
  return wait_names[wait];
}

bool
lc_weights_is_swapping (const LcWeights *weights, const char *endpoint)
{
  const Engine *engine = find_engine (weights, endpoint);

  return engine && engine->state == ENGINE_SWAPPING;
}

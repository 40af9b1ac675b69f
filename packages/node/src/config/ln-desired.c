#include "ln-catalog.h"
#include "ln-context.h"

#include "ln-dialect.h"
#include "ln-endpoint-list.h"
#include "ln-engine-plans.h"
#include "ln-messages.h"
#include "ln-stall.h"
#include "ln-ticker.h"
#include "ln-weight-orders.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lp-follow.h"

#include <stdlib.h>
#include <string.h>

#define TICK (50 * LB_MSEC)
/* A change must be in force within 2 s also when the connection of the watch has gone silent: the
 * silence is found after this wait and the store client's slack, and one more watch brings it. */
#define WATCH_WAIT (700 * LB_MSEC)
#define WATCH_RETRY (100 * LB_MSEC)
/* Of an instance outside the directory, which orders no weights and runs no batches: the silence of
 * a connection is found later, within the time for a change all the same. */
#define LEFT_OUT_WATCH_WAIT (1500 * LB_MSEC)
/* After it an engine is taken to have loaded, or failed to, unless it is said to be loading still.
 */
#define MAX_LOAD (1500 * LB_MSEC)
/* A tick that comes so late tells that this process stood still: what it believes of endpoints is
 * not confirmed again before the store has been asked. */
#define MAX_PAUSE LB_SEC

/* What the operators, the trainers and the endpoints wrote into the shared platform's store: the
 * routes in force, the endpoints listed, the versions named. Runs as the task "config". */
typedef struct
{
  LnTask task; /* first */
  LnContext *context;
  LnPeriodicCall tick;
  LcDesired *desired;
  LcRoster *roster;
  LnEndpointList *list;
  LnCatalog *catalog;
  LnWeightOrders *orders;
  LnEnginePlans *plans;
  int64_t revision;    /* of the resource set made from the roster */
  LpFollow *rows;      /* of the operators and trainers */
  LbTime confirmed_at; /* as the others were told */
  bool listed;         /* at least once */
  LbTime next_list;
  LbTime last_tick;
  bool ready;
  bool orders_weights;    /* as the others were told */
  bool owns_batches;      /* this instance runs some */
  bool fleet_is_followed; /* as the peers task was told */
  bool draining;
} Desired;

static LbMetric desired_version = LB_GAUGE_INIT ("lentilspindle_desired_version",
                                                 NULL,
                                                 "Version of the routes in force in this instance");

static void
clear_desired (LnMessage *message)
{
  lc_desired_unref (((LnDesiredMessage *)message)->desired);
}

static void
tell_ready (Desired *task)
{
  LnReadyMessage message = { .base = LN_MESSAGE (LN_READY), .ready = true };

  if (task->ready || !task->desired || !task->listed)
    return;
  task->ready = true;
  lb_log (LB_LOG_INFO, "ready", LB_INT ("desired", task->desired->version),
          LB_INT ("endpoints", lc_roster_count (task->roster)));
  LN_POST (task->task.hub, NULL, message);
}

/* An older version never replaces a newer one: a store that answers from a moment ago, or an answer
 * that was held up on its way, would otherwise bring back what was changed. */
static void
take_desired (Desired *task, const char *text)
{
  LnDesiredMessage message = { .base = LN_MESSAGE (LN_DESIRED) };
  LbError error = { 0 };
  LcDesired *desired = task->context->dialect->read_desired (text, &error);

  if (!desired)
    {
      lb_log_error (LB_LOG_ERROR, "desired_unreadable", &error);
      return;
    }
  if (task->desired && desired->version <= task->desired->version)
    {
      lc_desired_unref (desired);
      return;
    }
  lb_log (LB_LOG_INFO, "desired_in_force", LB_INT ("version", desired->version),
          LB_INT ("before", task->desired ? task->desired->version : 0),
          LB_INT ("routes", desired->n_routes));
  lc_desired_unref (task->desired);
  task->desired = desired;
  /* Which endpoints are used depends on the services that it names. */
  ln_endpoint_list_set_desired (task->list, desired);
  ln_catalog_invalidate_list (task->catalog);
  lb_metric_set (&desired_version, desired->version);
  message.desired = lc_desired_ref (desired);
  message.base.clear = clear_desired;
  LN_POST (task->task.hub, NULL, message);
  tell_ready (task);
}

static void
take_version (Desired *task, const char *text)
{
  LnPoolVersionMessage message = { .base = LN_MESSAGE (LN_POOL_VERSION) };
  LbError error = { 0 };
  LnTask *rollouts = ln_hub_find_task (task->task.hub, "rollouts");

  if (!task->context->dialect->read_version (text, message.pool, &message.newest, &error))
    {
      lb_log_error (LB_LOG_ERROR, "version_unreadable", &error);
      return;
    }
  lb_log (LB_LOG_INFO, "version_named", LB_TEXT ("model", message.pool),
          LB_INT ("version", message.newest));
  ln_weight_orders_set_newest_version (task->orders, message.pool, message.newest,
                                       lb_clock_monotonic ());
  if (rollouts)
    LN_POST (task->task.hub, rollouts, message);
}

static void
on_operator_rows (const LpRow *rows, size_t n_rows, void *user)
{
  Desired *task = user;

  for (size_t i = 0; i < n_rows; i++)
    {
      LnOperatorRowKind kind = task->context->dialect->classify_operator_row (rows[i].key);
      if (kind == LN_ROW_DESIRED && rows[i].value)
        take_desired (task, rows[i].value);
      else if (kind == LN_ROW_VERSION && rows[i].value)
        take_version (task, rows[i].value);
    }
}

/* --- endpoints --- */

static void
clear_config (LnMessage *message)
{
  lc_resource_set_free (((LnConfigMessage *)message)->set);
}

static void
publish_endpoints (Desired *task)
{
  LnConfigMessage message = { .base = LN_MESSAGE (LN_CONFIG) };

  message.set = lc_roster_to_resources (task->roster, ++task->revision,
                                        task->context->settings->weights.endpoints_check_fence);
  message.base.clear = clear_config;
  ln_weight_orders_configure (task->orders, message.set);
  LN_POST (task->task.hub, NULL, message);
}

/* An engine that loads weights refuses what is new; its requests would be sent and come back. */
static void
tell_swap (Desired *task, const LcPlanEntry *entry)
{
  LnTask *calls = ln_hub_find_task (task->task.hub, "calls");
  LnEndpointSwapMessage message = { .base = LN_MESSAGE (LN_ENDPOINT_SWAP),
                                    .pending = entry->loading,
                                    .until = lb_clock_monotonic () + MAX_LOAD };

  LB_COPY (message.endpoint, entry->engine);
  if (calls)
    LN_POST (task->task.hub, calls, message);
}

static void confirm_endpoints (Desired *task);

static void
on_plan (const LcEnginePlan *plan, void *user)
{
  Desired *task = user;

  if (lc_roster_set_plan (task->roster, plan))
    {
      lb_log (LB_LOG_INFO, "engines_divided", LB_INT ("engines", plan->n_entries));
      publish_endpoints (task);
    }
  for (size_t i = 0; i < plan->n_entries; i++)
    tell_swap (task, &plan->entries[i]);
  confirm_endpoints (task);
}

static void
on_engine (const LcPlanEntry *entry, void *user)
{
  Desired *task = user;

  ln_engine_plans_update_engine (task->plans, entry);
}

static void
confirm_endpoints (Desired *task)
{
  LnTask *calls = ln_hub_find_task (task->task.hub, "calls");

  for (size_t i = 0; calls && i < lc_roster_count (task->roster); i++)
    {
      LnEndpointListedMessage message = { .base = LN_MESSAGE (LN_ENDPOINT_LISTED),
                                          .version = lc_roster_latest_version (task->roster, i) };
      LB_COPY (message.endpoint, lc_roster_registration (task->roster, i)->name);
      LN_POST (task->task.hub, calls, message);
    }
}

static void
tell_list (Desired *task, const char *lister, LbTime asked_at)
{
  LnTask *calls = ln_hub_find_task (task->task.hub, "calls");
  LnEndpointListAppliedMessage message
      = { .base = LN_MESSAGE (LN_ENDPOINT_LIST_APPLIED), .requested_at = asked_at };

  LB_COPY (message.listed_by, lister);
  if (calls)
    LN_POST (task->task.hub, calls, message);
}

static bool wants_list (const Desired *task, LbTime now);

/* An instance that lists the endpoints itself knows more of them. */
static bool
on_catalog_endpoints (const LcRegistration *list, size_t n_list, LbTime asked_at, void *user)
{
  Desired *task = user;
  LbTime now = lb_clock_monotonic ();

  if (wants_list (task, now))
    return false;
  LcRegistration *known = LB_NEW_ARRAY (LcRegistration, n_list + 1);
  size_t n_known = 0;

  for (size_t i = 0; i < n_list; i++)
    if (!task->desired || lc_desired_find_service (task->desired, list[i].service))
      known[n_known++] = list[i];
  tell_list (task, ln_catalog_publisher_name (task->catalog), asked_at);
  if (lc_roster_update (task->roster, known, n_known, asked_at, now))
    publish_endpoints (task);
  confirm_endpoints (task);
  free (known);
  return true;
}

static void
on_same_endpoints (LbTime asked_at, void *user)
{
  Desired *task = user;
  LbTime now = lb_clock_monotonic ();

  if (wants_list (task, now))
    {
      ln_catalog_invalidate_list (task->catalog);
      return;
    }
  tell_list (task, ln_catalog_publisher_name (task->catalog), asked_at);
  if (lc_roster_confirm_list (task->roster, asked_at, now))
    publish_endpoints (task);
  confirm_endpoints (task);
}

static void
clear_fleet (LnMessage *message)
{
  free (((LnFleetMessage *)message)->members);
}

static void
on_catalog_fleet (const LcFleetMember *members, size_t n_members, void *user)
{
  Desired *task = user;
  LnTask *peers = ln_hub_find_task (task->task.hub, "peers");
  LnFleetMessage message = { .base = LN_MESSAGE (LN_CATALOG_MEMBERS), .n_members = n_members };

  if (!peers)
    return;
  message.members = lb_memdup (members, n_members * sizeof *members);
  message.base.clear = clear_fleet;
  LN_POST (task->task.hub, peers, message);
}

static void
note_followed (Desired *task, LbTime now)
{
  LnTask *peers = ln_hub_find_task (task->task.hub, "peers");
  bool followed = !ln_catalog_needs_member_list (task->catalog, now);
  LnCatalogFollowedMessage message
      = { .base = LN_MESSAGE (LN_CATALOG_FOLLOWED), .followed = followed };

  if (!peers || followed == task->fleet_is_followed)
    return;
  task->fleet_is_followed = followed;
  LN_POST (task->task.hub, peers, message);
}

static void
on_listed (const LcRegistration *list, size_t n_list, LbTime asked_at, void *user)
{
  Desired *task = user;
  LbTime now = lb_clock_monotonic ();

  task->listed = true;
  ln_catalog_set_subset_bounds (task->catalog, ln_endpoint_list_subset (task->list));
  ln_catalog_set_endpoint_list (task->catalog, list, n_list, asked_at, now);
  tell_list (task, task->context->instance, asked_at);
  if (lc_roster_update (task->roster, list, n_list, asked_at, now))
    publish_endpoints (task);
  ln_weight_orders_apply_list (task->orders, task->roster, asked_at, now);
  confirm_endpoints (task);
  tell_ready (task);
}

static void
on_not_listed (void *user)
{
  confirm_endpoints (user);
}

/* Others go by the publisher's lists, and by nothing when it is silent. */
static LbTime
list_period (const Desired *task)
{
  return ln_catalog_is_publisher (task->catalog) ? ln_catalog_publish_period (task->catalog)
                                                 : lc_roster_list_period (task->roster);
}

/* Instances that send to engines or order their weights need to know the weights as the engines
 * state them, which the catalog does not tell. */
static bool
wants_list (const Desired *task, LbTime now)
{
  return task->owns_batches || ln_weight_orders_has_lease (task->orders)
         || ln_catalog_needs_endpoint_list (task->catalog, now);
}

static void
grow (const char *service, void *user)
{
  Desired *task = user;

  lc_subset_grow (ln_endpoint_list_subset (task->list), service, lb_clock_monotonic ());
}

static void
list_endpoints (Desired *task, LbTime now)
{
  task->next_list = now + list_period (task);
  if (ln_catalog_is_publisher (task->catalog))
    ln_catalog_foreach_overloaded_service (task->catalog, grow, task);
  else
    ln_catalog_apply_subset_bounds (task->catalog, ln_endpoint_list_subset (task->list));
  ln_endpoint_list_request (task->list, now);
}

/* Others need to know for how long they may go by the desired state. */
static void
note_confirmed (Desired *task)
{
  LnDesiredConfirmedMessage message
      = { .base = LN_MESSAGE (LN_DESIRED_CONFIRMED), .at = lp_follow_last_answer_at (task->rows) };

  if (message.at == task->confirmed_at || !task->desired)
    return;
  task->confirmed_at = message.at;
  LN_POST (task->task.hub, NULL, message);
}

static void
note_orders (Desired *task)
{
  bool held = ln_weight_orders_has_lease (task->orders);
  LnDutyMessage message
      = { .base = LN_MESSAGE (LN_DUTY), .duty = LN_DUTY_WEIGHT_ORDERS, .held = held };

  if (held == task->orders_weights)
    return;
  task->orders_weights = held;
  LN_POST (task->task.hub, NULL, message);
}

static void
on_tick (void *user)
{
  Desired *task = user;
  LbTime now = lb_clock_monotonic ();
  LbTime period = list_period (task);

  ln_stall_set_activity ("tick of config");
  lp_follow_tick (task->rows, now);
  note_confirmed (task);
  ln_catalog_tick (task->catalog, lc_roster_count (task->roster), now);
  note_followed (task, now);
  bool listing = ln_endpoint_list_is_in_progress (task->list);
  if (!listing && now >= task->next_list && wants_list (task, now))
    list_endpoints (task, now);
  else if (listing && now - ln_endpoint_list_requested_at (task->list) > period
           && now >= task->next_list && now - task->last_tick < MAX_PAUSE)
    {
      /* The store does not answer: the endpoints are believed to be as they were. */
      task->next_list = now + period;
      confirm_endpoints (task);
    }
  task->last_tick = now;
  ln_weight_orders_tick (task->orders, now);
  note_orders (task);
  ln_engine_plans_set_needed (task->plans,
                              task->owns_batches || ln_weight_orders_has_lease (task->orders)
                                  || ln_weight_orders_is_lease_candidate (task->orders),
                              now);
  ln_engine_plans_tick (task->plans, task->roster, ln_weight_orders_has_lease (task->orders), now);
}

static void
note_duty (Desired *task, const LnDutyMessage *message)
{
  if (message->duty == LN_DUTY_BATCHES)
    task->owns_batches = message->held;
}

static void
note_demand (Desired *task, const LnDemandMessage *demand, LbTime now)
{
  ln_engine_plans_add_demand (task->plans, demand->model, demand->tokens, now);
  lc_subset_set_demand (ln_endpoint_list_subset (task->list), demand->model, demand->texts);
}

static void
take_members (Desired *task, const LnMembersMessage *message)
{
  lp_follow_set_watch_timeout (task->rows, message->is_left_out ? LEFT_OUT_WATCH_WAIT : WATCH_WAIT);
  if (!task->draining)
    ln_weight_orders_set_members (task->orders, message);
}

static void
receive (LnTask *base, const LnMessage *message)
{
  Desired *task = (Desired *)base;

  const LnDemandMessage *demand = (const LnDemandMessage *)message;

  const LnFleetMessage *fleet = (const LnFleetMessage *)message;

  if (message->type == LN_MEMBERS)
    take_members (task, (const LnMembersMessage *)message);
  else if (message->type == LN_FLEET)
    ln_catalog_set_members (task->catalog, fleet->members, fleet->n_members);
  else if (message->type == LN_DUTY)
    note_duty (task, (const LnDutyMessage *)message);
  else if (message->type == LN_DEMAND)
    note_demand (task, demand, lb_clock_monotonic ());
}

static void
drain (LnTask *base)
{
  Desired *task = (Desired *)base;

  task->draining = true;
  ln_catalog_drain (task->catalog);
  ln_weight_orders_release_lease (task->orders, lb_clock_monotonic ());
}

static bool
is_idle (const LnTask *base)
{
  const Desired *task = (const Desired *)base;

  return !task->draining
         || ln_weight_orders_is_lease_released (task->orders, lb_clock_monotonic ());
}

static void
free_task (LnTask *base)
{
  Desired *task = (Desired *)base;

  ln_ticker_remove (ln_context_ticker (task->context), &task->tick);
  ln_weight_orders_free (task->orders);
  ln_engine_plans_free (task->plans);
  lc_roster_free (task->roster);
  ln_endpoint_list_free (task->list);
  ln_catalog_free (task->catalog);
  lp_follow_free (task->rows);
  lc_desired_unref (task->desired);
  free (task);
}

static const LnTaskClass desired_class = {
  .name = "config", .receive = receive, .drain = drain, .is_idle = is_idle, .free = free_task
};

LnTask *
ln_desired_new (LnContext *context)
{
  static const LnCatalogHandlers catalog_handlers = { .on_endpoints = on_catalog_endpoints,
                                                      .on_endpoints_confirmed = on_same_endpoints,
                                                      .on_members = on_catalog_fleet };
  static const LnEndpointListHandlers list_handlers
      = { .on_listed = on_listed, .on_failed = on_not_listed };
  const LpFollowSettings rows = { .table = context->dialect->operator_table,
                                  .prefixes = &context->dialect->operator_key_prefix,
                                  .n_prefixes = 1,
                                  .watch_timeout = WATCH_WAIT,
                                  .retry_delay = WATCH_RETRY };
  Desired *task = LB_NEW (Desired);

  task->task.klass = &desired_class;
  task->task.hub = context->hub;
  task->context = context;
  task->roster = lc_roster_new ();
  task->list = ln_endpoint_list_new (context, &list_handlers, task);
  task->catalog = ln_catalog_new (context, &catalog_handlers, task);
  task->orders = ln_weight_orders_new (context, on_engine, task);
  task->plans = ln_engine_plans_new (context, on_plan, task);
  task->rows = lp_follow_new (context->platform, &rows, on_operator_rows, task);
  task->last_tick = lb_clock_monotonic ();
  task->tick = (LnPeriodicCall){ .period = TICK, .callback = on_tick, .user = task };
  ln_ticker_add (ln_context_ticker (context), &task->tick);
  return &task->task;
}

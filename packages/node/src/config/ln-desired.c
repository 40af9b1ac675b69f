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

#define DESIRED_TICK_PERIOD (50 * LB_MSEC)
/* Timeout of one watch call. A change must take effect within 2 s even if the watch's connection is
 * lost silently. The loss is detected after this timeout plus the store client's margin, and the
 * next watch returns the change. */
#define WATCH_TIMEOUT (700 * LB_MSEC)
#define WATCH_RETRY_DELAY (100 * LB_MSEC)
/* Watch timeout of an instance that is omitted from the full directory of instances; such an
 * instance orders no weights and runs no batches. A lost connection is detected later, but a change
 * still takes effect within 2 s. */
#define OMITTED_WATCH_TIMEOUT (1500 * LB_MSEC)
/* Longest assumed time of a weight load. Afterwards the load counts as ended, unless the engine is
 * reported as still loading. */
#define MAX_LOAD_DURATION (1500 * LB_MSEC)
/* A longer time between two ticks means that this process was suspended. The last list of endpoints
 * may then be outdated and is not confirmed until the store has been read again. */
#define MAX_TICK_GAP LB_SEC

/* The task "config" of an instance on a shared platform. Reads the desired state (routes and
 * services, written by operators), the newest weight versions and the list of endpoints from the
 * platform's store, and posts them to the other tasks. Has the name of the task of ln-config.c,
 * which it replaces, since both post the configuration. */
typedef struct
{
  LnTask task; /* must be the first member */
  LnContext *context;
  LnPeriodicCall tick;
  LcDesired *desired; /* desired state; NULL: not read yet */
  LcRoster *roster;   /* endpoints in use */
  LnEndpointList *endpoint_list;
  LnCatalog *catalog;
  LnWeightOrders *weight_orders;
  LnEnginePlans *engine_plans;
  int64_t revision;           /* revision of the last resource set made from the roster */
  LpFollow *operator_rows;    /* watches the rows that operators and trainers write */
  LbTime posted_confirmed_at; /* confirmation time that was last posted as LN_DESIRED_CONFIRMED */
  bool has_listed_endpoints;  /* this instance has read a list of endpoints from the store */
  LbTime next_list_at;
  LbTime last_tick_at;
  bool posted_ready;            /* LN_READY was posted */
  bool posted_has_orders_lease; /* last posted LN_DUTY: this instance has the weight-orders lease */
  bool runs_batches;            /* this instance runs trainers' batches */
  bool posted_is_catalog_followed; /* last posted LN_CATALOG_FOLLOWED: the catalog is watched */
  bool draining;
} DesiredTask;

static LbMetric metric_desired_version
    = LB_GAUGE_INIT ("lentilspindle_desired_version",
                     NULL,
                     "Version of the routes in force in this instance");

static void
clear_desired_message (LnMessage *message)
{
  lc_desired_unref (((LnDesiredMessage *)message)->desired);
}

static void
post_ready_if_state_is_loaded (DesiredTask *task)
{
  LnReadyMessage message = { .base = LN_MESSAGE (LN_READY), .ready = true };

  if (task->posted_ready || !task->desired || !task->has_listed_endpoints)
    return;
  task->posted_ready = true;
  lb_log (LB_LOG_INFO, "ready", LB_INT ("desired", task->desired->version),
          LB_INT ("endpoints", lc_roster_count_endpoints (task->roster)));
  LN_POST (task->task.hub, NULL, message);
}

/* Ignores a version that is not newer than the active one. Otherwise a stale or delayed answer of
 * the store would revert a change. */
static void
apply_desired_state (DesiredTask *task, const char *text)
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
  /* Only endpoints of services in the desired state are used: both lists must be filtered again. */
  ln_endpoint_list_set_desired_state (task->endpoint_list, desired);
  ln_catalog_invalidate_endpoint_list (task->catalog);
  lb_metric_set (&metric_desired_version, desired->version);
  message.desired = lc_desired_ref (desired);
  message.base.clear = clear_desired_message;
  LN_POST (task->task.hub, NULL, message);
  post_ready_if_state_is_loaded (task);
}

static void
apply_newest_weight_version (DesiredTask *task, const char *text)
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
  ln_weight_orders_set_newest_version (task->weight_orders, message.pool, message.newest,
                                       lb_clock_monotonic ());
  if (rollouts)
    LN_POST (task->task.hub, rollouts, message);
}

static void
on_operator_rows_changed (const LpRow *rows, size_t n_rows, void *user)
{
  DesiredTask *task = user;

  for (size_t i = 0; i < n_rows; i++)
    {
      LnOperatorRowKind kind = task->context->dialect->classify_operator_row (rows[i].key);
      if (kind == LN_ROW_DESIRED && rows[i].value)
        apply_desired_state (task, rows[i].value);
      else if (kind == LN_ROW_VERSION && rows[i].value)
        apply_newest_weight_version (task, rows[i].value);
    }
}

/* --- endpoints and engines --- */

static void
clear_config_message (LnMessage *message)
{
  lc_resource_set_free (((LnConfigMessage *)message)->set);
}

static void
post_endpoint_resources (DesiredTask *task)
{
  LnConfigMessage message = { .base = LN_MESSAGE (LN_CONFIG) };

  message.set = lc_roster_to_resources (task->roster, ++task->revision,
                                        task->context->settings->weights.endpoints_check_fence);
  message.base.clear = clear_config_message;
  ln_weight_orders_configure_engines (task->weight_orders, message.set);
  LN_POST (task->task.hub, NULL, message);
}

/* Notifies the task "calls" that an engine begins or ends loading other weights (a swap). During a
 * swap the engine refuses new requests, so the task sends none to the engine. */
static void
notify_calls_task_of_swap (DesiredTask *task, const LcPlanEntry *entry)
{
  LnTask *calls = ln_hub_find_task (task->task.hub, "calls");
  LnEndpointSwapMessage message = { .base = LN_MESSAGE (LN_ENDPOINT_SWAP),
                                    .pending = entry->loading,
                                    .until = lb_clock_monotonic () + MAX_LOAD_DURATION };

  LB_COPY (message.endpoint, entry->engine);
  if (calls)
    LN_POST (task->task.hub, calls, message);
}

static void post_weight_version_of_each_endpoint (DesiredTask *task);

static void
on_engine_plan_changed (const LcEnginePlan *plan, void *user)
{
  DesiredTask *task = user;

  if (lc_roster_set_engine_plan (task->roster, plan))
    {
      lb_log (LB_LOG_INFO, "engines_divided", LB_INT ("engines", plan->n_entries));
      post_endpoint_resources (task);
    }
  for (size_t i = 0; i < plan->n_entries; i++)
    notify_calls_task_of_swap (task, &plan->entries[i]);
  post_weight_version_of_each_endpoint (task);
}

static void
on_engine_state_changed (const LcPlanEntry *entry, void *user)
{
  DesiredTask *task = user;

  ln_engine_plans_record_engine_state (task->engine_plans, entry);
}

static void
post_weight_version_of_each_endpoint (DesiredTask *task)
{
  LnTask *calls = ln_hub_find_task (task->task.hub, "calls");

  for (size_t i = 0; calls && i < lc_roster_count_endpoints (task->roster); i++)
    {
      LnEndpointListedMessage message
          = { .base = LN_MESSAGE (LN_ENDPOINT_LISTED),
              .version = lc_roster_latest_weight_version (task->roster, i) };
      LB_COPY (message.endpoint, lc_roster_registration (task->roster, i)->name);
      LN_POST (task->task.hub, calls, message);
    }
}

static void
notify_calls_task_of_endpoint_list (DesiredTask *task, const char *listed_by, LbTime requested_at)
{
  LnTask *calls = ln_hub_find_task (task->task.hub, "calls");
  LnEndpointListAppliedMessage message
      = { .base = LN_MESSAGE (LN_ENDPOINT_LIST_APPLIED), .requested_at = requested_at };

  LB_COPY (message.listed_by, listed_by);
  if (calls)
    LN_POST (task->task.hub, calls, message);
}

static bool must_this_instance_list_endpoints (const DesiredTask *task, LbTime now);

/* Ignores the endpoint list of the store's table "catalog" if this instance reads the endpoints'
 * rows itself, because only these rows have the weight versions that the engines registered. */
static bool
on_catalog_endpoint_list (const LcRegistration *list, size_t n_list, LbTime valid_at, void *user)
{
  DesiredTask *task = user;
  LbTime now = lb_clock_monotonic ();

  if (must_this_instance_list_endpoints (task, now))
    return false;
  LcRegistration *used = LB_NEW_ARRAY (LcRegistration, n_list + 1);
  size_t n_used = 0;

  for (size_t i = 0; i < n_list; i++)
    if (!task->desired || lc_desired_find_service (task->desired, list[i].service))
      used[n_used++] = list[i];
  notify_calls_task_of_endpoint_list (task, ln_catalog_get_publisher_name (task->catalog),
                                      valid_at);
  if (lc_roster_apply_list (task->roster, used, n_used, valid_at, now))
    post_endpoint_resources (task);
  post_weight_version_of_each_endpoint (task);
  free (used);
  return true;
}

static void
on_catalog_endpoints_confirmed (LbTime valid_at, void *user)
{
  DesiredTask *task = user;
  LbTime now = lb_clock_monotonic ();

  if (must_this_instance_list_endpoints (task, now))
    {
      ln_catalog_invalidate_endpoint_list (task->catalog);
      return;
    }
  notify_calls_task_of_endpoint_list (task, ln_catalog_get_publisher_name (task->catalog),
                                      valid_at);
  if (lc_roster_record_unchanged_list (task->roster, valid_at, now))
    post_endpoint_resources (task);
  post_weight_version_of_each_endpoint (task);
}

static void
clear_fleet_message (LnMessage *message)
{
  free (((LnFleetMessage *)message)->members);
}

static void
on_catalog_member_list (const LcFleetMember *members, size_t n_members, void *user)
{
  DesiredTask *task = user;
  LnTask *peers = ln_hub_find_task (task->task.hub, "peers");
  LnFleetMessage message = { .base = LN_MESSAGE (LN_CATALOG_MEMBERS), .n_members = n_members };

  if (!peers)
    return;
  message.members = lb_memdup (members, n_members * sizeof *members);
  message.base.clear = clear_fleet_message;
  LN_POST (task->task.hub, peers, message);
}

static void
notify_peers_task_of_catalog_following (DesiredTask *task, LbTime now)
{
  LnTask *peers = ln_hub_find_task (task->task.hub, "peers");
  bool is_followed = !ln_catalog_needs_member_list (task->catalog, now);
  LnCatalogFollowedMessage message
      = { .base = LN_MESSAGE (LN_CATALOG_FOLLOWED), .followed = is_followed };

  if (!peers || is_followed == task->posted_is_catalog_followed)
    return;
  task->posted_is_catalog_followed = is_followed;
  LN_POST (task->task.hub, peers, message);
}

static void
on_endpoints_listed (const LcRegistration *list, size_t n_list, LbTime requested_at, void *user)
{
  DesiredTask *task = user;
  LbTime now = lb_clock_monotonic ();

  task->has_listed_endpoints = true;
  ln_catalog_set_subset_bounds (task->catalog, ln_endpoint_list_get_subset (task->endpoint_list));
  ln_catalog_set_endpoint_list (task->catalog, list, n_list, requested_at, now);
  notify_calls_task_of_endpoint_list (task, task->context->instance, requested_at);
  if (lc_roster_apply_list (task->roster, list, n_list, requested_at, now))
    post_endpoint_resources (task);
  ln_weight_orders_apply_endpoint_list (task->weight_orders, task->roster, requested_at, now);
  post_weight_version_of_each_endpoint (task);
  post_ready_if_state_is_loaded (task);
}

static void
on_endpoint_listing_failed (void *user)
{
  post_weight_version_of_each_endpoint (user);
}

/* One instance, the publisher, writes the list of endpoints to the store's table "catalog". The
 * publisher reads the endpoints at the period of its publications, because most instances get their
 * list of endpoints only from that table. */
static LbTime
get_endpoint_list_period (const DesiredTask *task)
{
  return ln_catalog_is_publisher (task->catalog) ? ln_catalog_get_publish_period (task->catalog)
                                                 : lc_roster_list_period (task->roster);
}

/* An instance that runs batches or orders weights must list the endpoints itself, because it needs
 * the weight versions that the engines registered, and the catalog does not contain them. */
static bool
must_this_instance_list_endpoints (const DesiredTask *task, LbTime now)
{
  return task->runs_batches || ln_weight_orders_has_lease (task->weight_orders)
         || ln_catalog_needs_endpoint_list (task->catalog, now);
}

static void
grow_endpoint_subset_of_service (const char *service, void *user)
{
  DesiredTask *task = user;

  lc_subset_grow_for_service (ln_endpoint_list_get_subset (task->endpoint_list), service,
                              lb_clock_monotonic ());
}

static void
request_endpoint_list (DesiredTask *task, LbTime now)
{
  task->next_list_at = now + get_endpoint_list_period (task);
  if (ln_catalog_is_publisher (task->catalog))
    ln_catalog_foreach_overloaded_service (task->catalog, grow_endpoint_subset_of_service, task);
  else
    ln_catalog_apply_subset_bounds (task->catalog,
                                    ln_endpoint_list_get_subset (task->endpoint_list));
  ln_endpoint_list_request (task->endpoint_list, now);
}

/* Posts the time at which the store last confirmed the desired state, if that time has changed. */
static void
post_desired_state_confirmation_time (DesiredTask *task)
{
  LnDesiredConfirmedMessage message
      = { .base = LN_MESSAGE (LN_DESIRED_CONFIRMED),
          .at = lp_follow_get_last_answer_time (task->operator_rows) };

  if (message.at == task->posted_confirmed_at || !task->desired)
    return;
  task->posted_confirmed_at = message.at;
  LN_POST (task->task.hub, NULL, message);
}

static void
post_weight_orders_duty_if_changed (DesiredTask *task)
{
  bool has_lease = ln_weight_orders_has_lease (task->weight_orders);
  LnDutyMessage message
      = { .base = LN_MESSAGE (LN_DUTY), .duty = LN_DUTY_WEIGHT_ORDERS, .held = has_lease };

  if (has_lease == task->posted_has_orders_lease)
    return;
  task->posted_has_orders_lease = has_lease;
  LN_POST (task->task.hub, NULL, message);
}

static void
on_desired_task_tick (void *user)
{
  DesiredTask *task = user;
  LbTime now = lb_clock_monotonic ();
  LbTime period = get_endpoint_list_period (task);

  ln_stall_set_activity ("tick of config");
  lp_follow_start_call_if_due (task->operator_rows, now);
  post_desired_state_confirmation_time (task);
  ln_catalog_tick (task->catalog, lc_roster_count_endpoints (task->roster), now);
  notify_peers_task_of_catalog_following (task, now);
  bool is_listing = ln_endpoint_list_is_in_progress (task->endpoint_list);
  if (!is_listing && now >= task->next_list_at && must_this_instance_list_endpoints (task, now))
    request_endpoint_list (task, now);
  else if (is_listing && now - ln_endpoint_list_get_request_time (task->endpoint_list) > period
           && now >= task->next_list_at && now - task->last_tick_at < MAX_TICK_GAP)
    {
      /* The last list of endpoints stays in use, because the store does not answer the request for
       * a new one. */
      task->next_list_at = now + period;
      post_weight_version_of_each_endpoint (task);
    }
  task->last_tick_at = now;
  ln_weight_orders_tick (task->weight_orders, now);
  post_weight_orders_duty_if_changed (task);
  ln_engine_plans_set_watched (task->engine_plans,
                               task->runs_batches
                                   || ln_weight_orders_has_lease (task->weight_orders)
                                   || ln_weight_orders_is_lease_candidate (task->weight_orders),
                               now);
  ln_engine_plans_tick (task->engine_plans, task->roster,
                        ln_weight_orders_has_lease (task->weight_orders), now);
}

static void
update_runs_batches_from_duty_message (DesiredTask *task, const LnDutyMessage *message)
{
  if (message->duty == LN_DUTY_BATCHES)
    task->runs_batches = message->held;
}

static void
add_model_demand (DesiredTask *task, const LnDemandMessage *demand, LbTime now)
{
  ln_engine_plans_add_demand (task->engine_plans, demand->model, demand->tokens, now);
  lc_subset_set_demand (ln_endpoint_list_get_subset (task->endpoint_list), demand->model,
                        demand->n_items);
}

static void
apply_members_message (DesiredTask *task, const LnMembersMessage *message)
{
  lp_follow_set_watch_timeout (task->operator_rows,
                               message->is_omitted ? OMITTED_WATCH_TIMEOUT : WATCH_TIMEOUT);
  if (!task->draining)
    ln_weight_orders_set_members (task->weight_orders, message);
}

static void
receive_message_for_desired_task (LnTask *base, const LnMessage *message)
{
  DesiredTask *task = (DesiredTask *)base;

  const LnDemandMessage *demand = (const LnDemandMessage *)message;

  const LnFleetMessage *fleet = (const LnFleetMessage *)message;

  if (message->type == LN_MEMBERS)
    apply_members_message (task, (const LnMembersMessage *)message);
  else if (message->type == LN_FLEET)
    ln_catalog_set_members (task->catalog, fleet->members, fleet->n_members);
  else if (message->type == LN_DUTY)
    update_runs_batches_from_duty_message (task, (const LnDutyMessage *)message);
  else if (message->type == LN_DEMAND)
    add_model_demand (task, demand, lb_clock_monotonic ());
  else if (message->type == LN_TRAINER_STEP)
    ln_engine_plans_record_trainer_step (task->engine_plans, (const LnTrainerStepMessage *)message,
                                         lb_clock_monotonic ());
}

static void
drain_desired_task (LnTask *base)
{
  DesiredTask *task = (DesiredTask *)base;

  task->draining = true;
  ln_catalog_stop_publishing (task->catalog);
  ln_weight_orders_release_lease (task->weight_orders, lb_clock_monotonic ());
}

static bool
is_desired_task_idle (const LnTask *base)
{
  const DesiredTask *task = (const DesiredTask *)base;

  return !task->draining
         || ln_weight_orders_is_lease_released (task->weight_orders, lb_clock_monotonic ());
}

static void
free_desired_task (LnTask *base)
{
  DesiredTask *task = (DesiredTask *)base;

  ln_ticker_remove (ln_context_get_ticker (task->context), &task->tick);
  ln_weight_orders_free (task->weight_orders);
  ln_engine_plans_free (task->engine_plans);
  lc_roster_free (task->roster);
  ln_endpoint_list_free (task->endpoint_list);
  ln_catalog_free (task->catalog);
  lp_follow_free (task->operator_rows);
  lc_desired_unref (task->desired);
  free (task);
}

static const LnTaskClass desired_class = { .name = "config",
                                           .receive = receive_message_for_desired_task,
                                           .drain = drain_desired_task,
                                           .is_idle = is_desired_task_idle,
                                           .free = free_desired_task };

LnTask *
ln_desired_task_new (LnContext *context)
{
  static const LnCatalogHandlers catalog_handlers
      = { .on_endpoints = on_catalog_endpoint_list,
          .on_endpoints_confirmed = on_catalog_endpoints_confirmed,
          .on_members = on_catalog_member_list };
  static const LnEndpointListHandlers list_handlers
      = { .on_listed = on_endpoints_listed, .on_failed = on_endpoint_listing_failed };
  const LpFollowSettings follow_settings = { .table = context->dialect->operator_table,
                                             .prefixes = &context->dialect->operator_key_prefix,
                                             .n_prefixes = 1,
                                             .watch_timeout = WATCH_TIMEOUT,
                                             .retry_delay = WATCH_RETRY_DELAY };
  DesiredTask *task = LB_NEW (DesiredTask);

  task->task.klass = &desired_class;
  task->task.hub = context->hub;
  task->context = context;
  task->roster = lc_roster_new ();
  task->endpoint_list = ln_endpoint_list_new (context, &list_handlers, task);
  task->catalog = ln_catalog_new (context, &catalog_handlers, task);
  task->weight_orders = ln_weight_orders_new (context, on_engine_state_changed, task);
  task->engine_plans = ln_engine_plans_new (context, on_engine_plan_changed, task);
  task->operator_rows
      = lp_follow_new (context->platform, &follow_settings, on_operator_rows_changed, task);
  task->last_tick_at = lb_clock_monotonic ();
  task->tick = (LnPeriodicCall){ .period = DESIRED_TICK_PERIOD,
                                 .callback = on_desired_task_tick,
                                 .user = task };
  ln_ticker_add (ln_context_get_ticker (context), &task->tick);
  return &task->task;
}

#include "ln-pool-controller.h"

#include "ln-lease.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-json.h"
#include "lb-log.h"
#include "lb-settings.h"
#include "lh-fetch.h"
#include "lp-platform.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define NEWEST_VERSION_QUERY_INTERVAL LB_SEC
#define NEWEST_VERSION_ANNOUNCEMENT_INTERVAL (10 * LB_SEC)
#define LOAD_REPORT_INTERVAL LB_SEC
#define MAX_LOAD_REPORT_REQUESTS_PER_SECOND 200
#define LOAD_REPORT_INTERVAL_DURING_SWAP (LB_SEC / 4)
#define ENGINE_REQUEST_IDLE_TIMEOUT (2 * LB_SEC)
#define LEASE_KEY_SIZE 96 /* buffer size in bytes for the key of a lease row */

/* An engine of the pool, and the requests in flight to the engine. */
typedef struct LnPoolEngine
{
  LbName name; /* key of LnPoolController.engines */
  LnPoolController *controller;
  LbName address;
  LhFetch *load_request;  /* GET /load in flight; NULL if there is none */
  LhFetch *order_request; /* POST /orders in flight; NULL if there is none */
  LbTime load_requested_at;
  LbTime next_load_request_at;
  bool is_configured;
  UT_hash_handle hh;
} Engine;

static void
engine_free (Engine *engine)
{
  if (engine->load_request)
    lh_fetch_cancel (engine->load_request);
  if (engine->order_request)
    lh_fetch_cancel (engine->order_request);
  HASH_DEL (engine->controller->engines, engine);
  free (engine);
}

static LnPoolOperation *
pool_operation_new (const LnPoolController *controller)
{
  LnPoolOperation *operation = LB_NEW (LnPoolOperation);

  operation->task = controller->task;
  operation->controller_serial = controller->serial;
  lb_list_append (&controller->task->pool_operations, &operation->link);
  return operation;
}

static LnPoolController *
pool_operation_end (LnPoolOperation *operation)
{
  LnPoolController *controller
      = ln_pool_controllers_find_by_serial (operation->task, operation->controller_serial);

  lb_list_remove (&operation->task->pool_operations, &operation->link);
  free (operation);
  return controller;
}

LnPoolController *
ln_pool_controller_new (LnConfigTask *task, const char *pool, uint64_t serial)
{
  LnPoolController *controller = LB_NEW (LnPoolController);
  LcLeaseSettings lease;
  LcWeightsSettings weights;

  lc_lease_settings_init (&lease);
  LB_COPY (lease.instance, task->context->instance);
  LB_COPY (lease.incarnation, task->context->incarnation);
  lc_weights_settings_init (&weights, pool);
  controller->task = task;
  controller->serial = serial;
  LB_COPY (controller->pool, pool);
  controller->lease = lc_lease_new (&lease, lb_clock_monotonic (), lb_clock_wall_ms () * LB_MSEC);
  controller->weights = lc_weights_new (&weights);
  return controller;
}

void
ln_pool_controller_free (LnPoolController *controller)
{
  Engine *engine, *next;

  HASH_ITER (hh, controller->engines, engine, next)
  {
    engine_free (engine);
  }
  lc_lease_free (controller->lease);
  lc_weights_free (controller->weights);
  free (controller);
}

static Engine *
find_engine (LnPoolController *controller, const char *name)
{
  Engine *engine;

  HASH_FIND_STR (controller->engines, name, engine);
  return engine;
}

static void
add_or_update_engine (LnPoolController *controller, const LcEndpointMember *member)
{
  Engine *engine = find_engine (controller, member->name);

  if (!engine)
    {
      engine = LB_NEW (Engine);
      engine->controller = controller;
      LB_COPY (engine->name, member->name);
      HASH_ADD_STR (controller->engines, name, engine);
    }
  LB_COPY (engine->address, member->address);
  engine->is_configured = true;
}

void
ln_pool_controller_configure (LnPoolController *controller, const LcResourceSet *set)
{
  Engine *engine, *next;

  for (engine = controller->engines; engine; engine = engine->hh.next)
    engine->is_configured = false;
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (set->endpoints[i].kind == LC_ENDPOINT_ENGINE && !set->endpoints[i].leaving
        && strcmp (set->endpoints[i].pool, controller->pool) == 0)
      add_or_update_engine (controller, &set->endpoints[i]);
  HASH_ITER (hh, controller->engines, engine, next)
  {
    if (!engine->is_configured)
      engine_free (engine);
  }
  lc_weights_configure (controller->weights, set, lb_clock_monotonic ());
}

/* --- lease of the pool --- */

static void execute_lease_actions (LnPoolController *controller, LbList *actions);

static void
on_pool_lease_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnPoolController *controller = pool_operation_end (user);
  LbList actions;

  if (!controller)
    return;
  lb_list_init (&actions);
  ln_lease_handle_read_result (controller->lease, error, rows, n_rows, lb_clock_monotonic (),
                               &actions);
  execute_lease_actions (controller, &actions);
}

static void
read_pool_lease (LnPoolController *controller)
{
  char key[LEASE_KEY_SIZE];
  LpPlatform *platform = controller->task->context->platform;

  snprintf (key, sizeof key, "lease/%s", controller->pool);
  platform->klass->get (platform, key, on_pool_lease_read, pool_operation_new (controller));
}

static void
on_pool_lease_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnPoolController *controller = pool_operation_end (user);
  LbTime now = lb_clock_monotonic ();
  LbList actions;

  if (!controller)
    return;
  lb_list_init (&actions);
  lc_lease_write_completed (controller->lease, error, now, &actions);
  execute_lease_actions (controller, &actions);
  if (error == LB_OK && lc_lease_row (controller->lease)->released)
    ln_pool_controllers_announce_lease_release (controller->task, controller->pool);
}

static void
write_pool_lease (LnPoolController *controller, const LcLeaseAction *action)
{
  char key[LEASE_KEY_SIZE], token[LEASE_KEY_SIZE * 2];

  snprintf (key, sizeof key, "lease/%s", controller->pool);
  snprintf (token, sizeof token, "lease-%s-%s-%llu-%lld", controller->pool, action->row.incarnation,
            (unsigned long long)controller->serial, (long long)action->row.renewal);
  ln_lease_write_row (controller->task->context->platform, key, token, action,
                      on_pool_lease_written, pool_operation_new (controller));
}

static void
reset_roll_out_after_lease_change (LnPoolController *controller, const LcLeaseAction *action)
{
  bool is_gained = action->type == LC_LEASE_GAINED;
  LbTime now = lb_clock_monotonic ();

  lb_log (LB_LOG_INFO, is_gained ? "lease_gained" : "lease_lost",
          LB_TEXT ("pool", controller->pool), LB_INT ("fence", action->row.fence),
          LB_TEXT ("holder", action->row.holder));
  lc_weights_lease_changed (controller->weights, now);
  controller->next_announcement_at = now;
  for (Engine *engine = controller->engines; engine; engine = engine->hh.next)
    engine->next_load_request_at = now;
}

static void
execute_lease_actions (LnPoolController *controller, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      switch (action->type)
        {
        case LC_LEASE_READ:
          read_pool_lease (controller);
          break;
        case LC_LEASE_WRITE:
          write_pool_lease (controller, action);
          break;
        case LC_LEASE_GAINED:
        case LC_LEASE_LOST:
          reset_roll_out_after_lease_change (controller, action);
          break;
        }
      free (action);
    }
}

void
ln_pool_controller_release_lease (LnPoolController *controller, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_lease_release (controller->lease, now, &actions);
  execute_lease_actions (controller, &actions);
}

/* --- engines: load reports and orders --- */

static struct json_object *
parse_engine_reply (const LhResult *result)
{
  LbError error;

  if (result->failure != LB_OK || result->body_length == 0)
    return NULL;
  return lb_settings_parse (result->body, result->body_length, "reply", &error);
}

static void
announce_weight_swaps (LnPoolController *controller, LbList *actions, LbTime now)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcWeightsAction *action = LB_CONTAINER (link, LcWeightsAction, link);
      ln_pool_controllers_announce_weight_swap (controller->task, action, now);
      free (action);
    }
}

static void
on_load_report_received (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Engine *engine = user;
  LnPoolController *controller = engine->controller;
  LbTime now = lb_clock_monotonic ();
  LcWeightReport report = { .requested_at = engine->load_requested_at };
  LbList actions;
  struct json_object *object = result->status == 200 ? parse_engine_reply (result) : NULL;

  engine->load_request = NULL;
  if (!object)
    return;
  LB_COPY (report.incarnation, lb_json_text (object, "incarnation", ""));
  report.version = json_object_get_int64 (lb_json_member (object, "weight_version"));
  report.loading = json_object_get_boolean (lb_json_member (object, "loading"));
  report.failed_version = json_object_get_int64 (lb_json_member (object, "failed_version"));
  report.leaving = strcmp (lb_json_text (object, "state", ""), "leaving") == 0;
  report.running = json_object_get_int64 (lb_json_member (object, "running"));
  json_object_put (object);
  lb_list_init (&actions);
  lc_weights_report_received (controller->weights, engine->name, &report, now, &actions);
  announce_weight_swaps (controller, &actions, now);
}

static void
request_load_report (Engine *engine, LbTime now)
{
  const LhHandlers handlers = { .on_done = on_load_report_received };
  const LhRequest request = { .method = "GET",
                              .address = engine->address,
                              .path = "/load",
                              .idle_timeout = ENGINE_REQUEST_IDLE_TIMEOUT,
                              .max_duration = ENGINE_REQUEST_IDLE_TIMEOUT };
  LbTime period = (LbTime)HASH_COUNT (engine->controller->engines) * LB_SEC
                  / MAX_LOAD_REPORT_REQUESTS_PER_SECOND;

  if (period < LOAD_REPORT_INTERVAL)
    period = LOAD_REPORT_INTERVAL;
  if (lc_weights_is_engine_swapping (engine->controller->weights, engine->name))
    period = LOAD_REPORT_INTERVAL_DURING_SWAP;
  engine->next_load_request_at = now + period;
  engine->load_requested_at = now;
  engine->load_request = lh_fetch_start (engine->controller->task->context->http_pool, &request,
                                         &handlers, engine, NULL);
}

static LbErrorCode
get_order_reply_error (const LhResult *result)
{
  LbErrorCode error = LB_ERROR_ENDPOINT_FAILED;
  struct json_object *object = NULL;

  if (result->failure != LB_OK)
    return result->failure;
  if (result->status / 100 == 2)
    return LB_OK;
  object = parse_engine_reply (result);
  if (strcmp (lb_json_text (lb_json_member (object, "error"), "type", ""), "stale_fence") == 0)
    error = LB_ERROR_STALE_FENCE;
  json_object_put (object);
  return error;
}

static void
on_order_answered (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Engine *engine = user;
  LnPoolController *controller = engine->controller;
  LbTime now = lb_clock_monotonic ();
  LbErrorCode error = get_order_reply_error (result);

  engine->order_request = NULL;
  engine->next_load_request_at = now;
  lc_weights_order_answered (controller->weights, engine->name, error, now);
  if (error == LB_OK)
    return;
  lb_metric_count_error (error);
  lb_log (LB_LOG_WARNING, "weights_order_failed", LB_TEXT ("endpoint", engine->name),
          LB_TEXT ("error", lb_error_name (error)), LB_INT ("status", result->status));
  if (error == LB_ERROR_STALE_FENCE)
    lc_lease_request_read (controller->lease, now);
}

static void
send_load_weights_order (LnPoolController *controller, const LcWeightsAction *action)
{
  Engine *engine = find_engine (controller, action->endpoint);
  const LhHandlers handlers = { .on_done = on_order_answered };
  LhRequest request = { .method = "POST",
                        .address = action->address,
                        .path = "/orders",
                        .idle_timeout = ENGINE_REQUEST_IDLE_TIMEOUT,
                        .max_duration = ENGINE_REQUEST_IDLE_TIMEOUT,
                        .fresh_connection = true };
  char *body = lb_asprintf ("{\"order\": \"load_weights\", \"pool\": \"%s\", \"version\": %lld, "
                            "\"fence\": %lld}",
                            controller->pool, (long long)action->version,
                            (long long)lc_lease_fencing_token (controller->lease));

  lb_log (LB_LOG_INFO, "weights_order", LB_TEXT ("pool", controller->pool),
          LB_TEXT ("endpoint", action->endpoint), LB_INT ("version", action->version),
          LB_INT ("fence", lc_lease_fencing_token (controller->lease)));
  request.body = body;
  request.body_length = strlen (body);
  if (engine->order_request)
    lh_fetch_cancel (engine->order_request);
  engine->order_request
      = lh_fetch_start (controller->task->context->http_pool, &request, &handlers, engine, NULL);
  free (body);
}

static void
tick_weight_roll_out_of_pool (LnPoolController *controller, LbTime now)
{
  LbLink *link;
  LbList actions;
  bool ready = lc_config_is_ready_for_new_work (controller->task->config);

  lb_list_init (&actions);
  lc_weights_tick (controller->weights,
                   ready && lc_lease_allows_order (controller->lease, false, now),
                   ready && lc_lease_allows_order (controller->lease, true, now), now, &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcWeightsAction *action = LB_CONTAINER (link, LcWeightsAction, link);
      if (action->type == LC_WEIGHTS_UPDATE_ROUTING)
        ln_pool_controllers_announce_weight_swap (controller->task, action, now);
      else
        send_load_weights_order (controller, action);
      free (action);
    }
}

/* --- newest weight version --- */

static void
on_newest_version_queried (LbErrorCode error, int64_t version, void *user)
{
  LnPoolController *controller = pool_operation_end (user);

  if (!controller)
    return;
  controller->is_querying_newest = false;
  if (error == LB_OK)
    lc_weights_set_newest_version (controller->weights, version, lb_clock_monotonic ());
  else if (error != LB_ERROR_NOT_FOUND)
    lb_metric_count_error (error);
}

static void
query_newest_version (LnPoolController *controller, LbTime now)
{
  LpPlatform *platform = controller->task->context->platform;

  if (controller->is_querying_newest || now < controller->next_newest_query_at)
    return;
  controller->is_querying_newest = true;
  controller->next_newest_query_at = now + NEWEST_VERSION_QUERY_INTERVAL;
  platform->klass->get_weights (platform, controller->pool, on_newest_version_queried,
                                pool_operation_new (controller));
}

static void
announce_newest_version (LnPoolController *controller, LbTime now)
{
  LcWeightsStatus status;

  lc_weights_get_status (controller->weights, now, &status);
  if (status.target == 0
      || (status.target == controller->announced_version && now < controller->next_announcement_at))
    return;
  controller->announced_version = status.target;
  controller->next_announcement_at = now + NEWEST_VERSION_ANNOUNCEMENT_INTERVAL;
  ln_pool_controllers_announce_newest_version (controller, &status);
}

void
ln_pool_controller_tick (LnPoolController *controller, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_lease_tick (controller->lease, now, lb_clock_wall_ms () * LB_MSEC, &actions);
  execute_lease_actions (controller, &actions);
  if (!lc_lease_is_held (controller->lease))
    return;
  query_newest_version (controller, now);
  announce_newest_version (controller, now);
  for (Engine *engine = controller->engines; engine; engine = engine->hh.next)
    if (!engine->load_request && now >= engine->next_load_request_at)
      request_load_report (engine, now);
  tick_weight_roll_out_of_pool (controller, now);
}

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

#define NEWEST_PERIOD LB_SEC
#define TELL_PERIOD (10 * LB_SEC)
#define LOOK_PERIOD LB_SEC
#define LOOKS_PER_SECOND 200
#define SWAP_LOOK_PERIOD (LB_SEC / 4)
#define LOOK_SILENCE (2 * LB_SEC)
#define KEY_MAX 96

/* An engine of the pool as the holder orders it and reads it back. */
typedef struct LnPoolEngine
{
  LbName name; /* key */
  LnPoolController *holder;
  LbName address;
  LhFetch *look;
  LhFetch *order;
  LbTime look_at; /* when the look on its way was asked */
  LbTime next_look;
  bool configured;
  UT_hash_handle hh;
} Engine;

static void
engine_free (Engine *engine)
{
  if (engine->look)
    lh_fetch_cancel (engine->look);
  if (engine->order)
    lh_fetch_cancel (engine->order);
  HASH_DEL (engine->holder->engines, engine);
  free (engine);
}

static LnPoolOperation *
question_new (const LnPoolController *holder)
{
  LnPoolOperation *question = LB_NEW (LnPoolOperation);

  question->task = holder->task;
  question->serial = holder->serial;
  lb_list_append (&holder->task->pool_operations, &question->link);
  return question;
}

static LnPoolController *
question_end (LnPoolOperation *question)
{
  LnPoolController *holder = ln_pool_controllers_find (question->task, question->serial);

  lb_list_remove (&question->task->pool_operations, &question->link);
  free (question);
  return holder;
}

LnPoolController *
ln_pool_controller_new (LnConfigTask *task, const char *pool, uint64_t serial)
{
  LnPoolController *holder = LB_NEW (LnPoolController);
  LcLeaseSettings lease;
  LcWeightsSettings weights;

  lc_lease_settings_init (&lease);
  LB_COPY (lease.instance, task->context->instance);
  LB_COPY (lease.incarnation, task->context->incarnation);
  lc_weights_settings_init (&weights, pool);
  holder->task = task;
  holder->serial = serial;
  LB_COPY (holder->pool, pool);
  holder->lease = lc_lease_new (&lease, lb_clock_monotonic (), lb_clock_wall_ms () * LB_MSEC);
  holder->weights = lc_weights_new (&weights);
  return holder;
}

void
ln_pool_controller_free (LnPoolController *holder)
{
  Engine *engine, *next;

  HASH_ITER (hh, holder->engines, engine, next)
  {
    engine_free (engine);
  }
  lc_lease_free (holder->lease);
  lc_weights_free (holder->weights);
  free (holder);
}

static Engine *
find_engine (LnPoolController *holder, const char *name)
{
  Engine *engine;

  HASH_FIND_STR (holder->engines, name, engine);
  return engine;
}

static void
configure_engine (LnPoolController *holder, const LcEndpointMember *member)
{
  Engine *engine = find_engine (holder, member->name);

  if (!engine)
    {
      engine = LB_NEW (Engine);
      engine->holder = holder;
      LB_COPY (engine->name, member->name);
      HASH_ADD_STR (holder->engines, name, engine);
    }
  LB_COPY (engine->address, member->address);
  engine->configured = true;
}

void
ln_pool_controller_configure (LnPoolController *holder, const LcResourceSet *set)
{
  Engine *engine, *next;

  for (engine = holder->engines; engine; engine = engine->hh.next)
    engine->configured = false;
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (set->endpoints[i].kind == LC_ENDPOINT_ENGINE && !set->endpoints[i].leaving
        && strcmp (set->endpoints[i].pool, holder->pool) == 0)
      configure_engine (holder, &set->endpoints[i]);
  HASH_ITER (hh, holder->engines, engine, next)
  {
    if (!engine->configured)
      engine_free (engine);
  }
  lc_weights_configure (holder->weights, set, lb_clock_monotonic ());
}

/* --- the lease --- */

static void carry_out_lease (LnPoolController *holder, LbList *actions);

static void
on_lease_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnPoolController *holder = question_end (user);
  LbList actions;

  if (!holder)
    return;
  lb_list_init (&actions);
  ln_lease_was_read (holder->lease, error, rows, n_rows, lb_clock_monotonic (), &actions);
  carry_out_lease (holder, &actions);
}

static void
read_lease (LnPoolController *holder)
{
  char key[KEY_MAX];
  LpPlatform *platform = holder->task->context->platform;

  snprintf (key, sizeof key, "lease/%s", holder->pool);
  platform->klass->get (platform, key, on_lease_read, question_new (holder));
}

static void
on_lease_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnPoolController *holder = question_end (user);
  LbTime now = lb_clock_monotonic ();
  LbList actions;

  if (!holder)
    return;
  lb_list_init (&actions);
  lc_lease_write_completed (holder->lease, error, now, &actions);
  carry_out_lease (holder, &actions);
  if (error == LB_OK && lc_lease_row (holder->lease)->released)
    ln_pool_controllers_announce_release (holder->task, holder->pool);
}

static void
write_lease (LnPoolController *holder, const LcLeaseAction *action)
{
  char key[KEY_MAX], token[KEY_MAX * 2];

  snprintf (key, sizeof key, "lease/%s", holder->pool);
  snprintf (token, sizeof token, "lease-%s-%s-%llu-%lld", holder->pool, action->row.incarnation,
            (unsigned long long)holder->serial, (long long)action->row.renewal);
  ln_lease_write (holder->task->context->platform, key, token, action, on_lease_written,
                  question_new (holder));
}

static void
note_lease (LnPoolController *holder, const LcLeaseAction *action)
{
  bool gained = action->type == LC_LEASE_GAINED;
  LbTime now = lb_clock_monotonic ();

  lb_log (LB_LOG_INFO, gained ? "lease_gained" : "lease_lost", LB_TEXT ("pool", holder->pool),
          LB_INT ("fence", action->row.fence), LB_TEXT ("holder", action->row.holder));
  lc_weights_lease_changed (holder->weights, now);
  holder->next_told = now;
  for (Engine *engine = holder->engines; engine; engine = engine->hh.next)
    engine->next_look = now;
}

static void
carry_out_lease (LnPoolController *holder, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcLeaseAction *action = LB_CONTAINER (link, LcLeaseAction, link);
      switch (action->type)
        {
        case LC_LEASE_READ:
          read_lease (holder);
          break;
        case LC_LEASE_WRITE:
          write_lease (holder, action);
          break;
        case LC_LEASE_GAINED:
        case LC_LEASE_LOST:
          note_lease (holder, action);
          break;
        }
      free (action);
    }
}

void
ln_pool_controller_release (LnPoolController *holder, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_lease_release (holder->lease, now, &actions);
  carry_out_lease (holder, &actions);
}

/* --- engines: orders and what they state --- */

static struct json_object *
parse_reply (const LhResult *result)
{
  LbError error;

  if (result->failure != LB_OK || result->body_length == 0)
    return NULL;
  return lb_settings_parse (result->body, result->body_length, "reply", &error);
}

static void
carry_out_swaps (LnPoolController *holder, LbList *actions, LbTime now)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcWeightsAction *action = LB_CONTAINER (link, LcWeightsAction, link);
      ln_pool_controllers_announce_swap (holder->task, action, now);
      free (action);
    }
}

static void
on_looked (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Engine *engine = user;
  LnPoolController *holder = engine->holder;
  LbTime now = lb_clock_monotonic ();
  LcWeightReport report = { .requested_at = engine->look_at };
  LbList actions;
  struct json_object *object = result->status == 200 ? parse_reply (result) : NULL;

  engine->look = NULL;
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
  lc_weights_report_received (holder->weights, engine->name, &report, now, &actions);
  carry_out_swaps (holder, &actions, now);
}

static void
look (Engine *engine, LbTime now)
{
  const LhHandlers handlers = { .on_done = on_looked };
  const LhRequest request
      = { .method = "GET", .address = engine->address, .path = "/load", .silence = LOOK_SILENCE };
  LbTime period = (LbTime)HASH_COUNT (engine->holder->engines) * LB_SEC / LOOKS_PER_SECOND;

  if (period < LOOK_PERIOD)
    period = LOOK_PERIOD;
  if (lc_weights_is_swapping (engine->holder->weights, engine->name))
    period = SWAP_LOOK_PERIOD;
  engine->next_look = now + period;
  engine->look_at = now;
  engine->look = lh_fetch_start (engine->holder->task->context->http_pool, &request, &handlers,
                                 engine, NULL);
}

static LbErrorCode
outcome_of_order (const LhResult *result)
{
  LbErrorCode code = LB_ERROR_ENDPOINT_FAILED;
  struct json_object *object = NULL;

  if (result->failure != LB_OK)
    return result->failure;
  if (result->status / 100 == 2)
    return LB_OK;
  object = parse_reply (result);
  if (strcmp (lb_json_text (lb_json_member (object, "error"), "type", ""), "stale_fence") == 0)
    code = LB_ERROR_STALE_FENCE;
  json_object_put (object);
  return code;
}

static void
on_ordered (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Engine *engine = user;
  LnPoolController *holder = engine->holder;
  LbTime now = lb_clock_monotonic ();
  LbErrorCode code = outcome_of_order (result);

  engine->order = NULL;
  engine->next_look = now;
  lc_weights_order_answered (holder->weights, engine->name, code, now);
  if (code == LB_OK)
    return;
  lb_metric_count_error (code);
  lb_log (LB_LOG_WARNING, "weights_order_failed", LB_TEXT ("endpoint", engine->name),
          LB_TEXT ("error", lb_error_name (code)), LB_INT ("status", result->status));
  if (code == LB_ERROR_STALE_FENCE)
    lc_lease_read_soon (holder->lease, now);
}

static void
send_order (LnPoolController *holder, const LcWeightsAction *action)
{
  Engine *engine = find_engine (holder, action->endpoint);
  const LhHandlers handlers = { .on_done = on_ordered };
  LhRequest request = { .method = "POST",
                        .address = action->address,
                        .path = "/orders",
                        .silence = LOOK_SILENCE,
                        .fresh_connection = true };
  char *body = lb_asprintf ("{\"order\": \"load_weights\", \"pool\": \"%s\", \"version\": %lld, "
                            "\"fence\": %lld}",
                            holder->pool, (long long)action->version,
                            (long long)lc_lease_fence (holder->lease));

  lb_log (LB_LOG_INFO, "weights_order", LB_TEXT ("pool", holder->pool),
          LB_TEXT ("endpoint", action->endpoint), LB_INT ("version", action->version),
          LB_INT ("fence", lc_lease_fence (holder->lease)));
  request.body = body;
  request.body_length = strlen (body);
  if (engine->order)
    lh_fetch_cancel (engine->order);
  engine->order
      = lh_fetch_start (holder->task->context->http_pool, &request, &handlers, engine, NULL);
  free (body);
}

static void
tick_weights (LnPoolController *holder, LbTime now)
{
  LbLink *link;
  LbList actions;
  bool ready = lc_config_is_ready (holder->task->config);

  lb_list_init (&actions);
  lc_weights_tick (holder->weights, ready && lc_lease_can_order (holder->lease, false, now),
                   ready && lc_lease_can_order (holder->lease, true, now), now, &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcWeightsAction *action = LB_CONTAINER (link, LcWeightsAction, link);
      if (action->type == LC_WEIGHTS_UPDATE_ROUTING)
        ln_pool_controllers_announce_swap (holder->task, action, now);
      else
        send_order (holder, action);
      free (action);
    }
}

/* --- the newest version --- */

static void
on_newest (LbErrorCode error, int64_t version, void *user)
{
  LnPoolController *holder = question_end (user);

  if (!holder)
    return;
  holder->asking_newest = false;
  if (error == LB_OK)
    lc_weights_set_newest (holder->weights, version, lb_clock_monotonic ());
  else if (error != LB_ERROR_NOT_FOUND)
    lb_metric_count_error (error);
}

static void
ask_newest (LnPoolController *holder, LbTime now)
{
  LpPlatform *platform = holder->task->context->platform;

  if (holder->asking_newest || now < holder->next_newest)
    return;
  holder->asking_newest = true;
  holder->next_newest = now + NEWEST_PERIOD;
  platform->klass->weights (platform, holder->pool, on_newest, question_new (holder));
}

static void
tell_newest (LnPoolController *holder, LbTime now)
{
  LcWeightsStatus status;

  lc_weights_status (holder->weights, now, &status);
  if (status.target == 0 || (status.target == holder->told && now < holder->next_told))
    return;
  holder->told = status.target;
  holder->next_told = now + TELL_PERIOD;
  ln_pool_controllers_announce_newest (holder, &status);
}

void
ln_pool_controller_tick (LnPoolController *holder, LbTime now)
{
  LbList actions;

  lb_list_init (&actions);
  lc_lease_tick (holder->lease, now, lb_clock_wall_ms () * LB_MSEC, &actions);
  carry_out_lease (holder, &actions);
  if (!lc_lease_is_held (holder->lease))
    return;
  ask_newest (holder, now);
  tell_newest (holder, now);
  for (Engine *engine = holder->engines; engine; engine = engine->hh.next)
    if (!engine->look && now >= engine->next_look)
      look (engine, now);
  tick_weights (holder, now);
}

#include "ln-weight-orders.h"

#include "ln-dialect.h"
#include "ln-duty-lease.h"
#include "ln-fetch-outgoing.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lc-load-time.h"
#include "lc-swap-turns.h"
#include "lc-weights.h"
#include "lh-fetch.h"
#include "lp-platform.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define LEASE_DUTY_NAME "weights"
/* Timeout of an engine's answer to an order or to a query of its state. */
#define RESPONSE_TIMEOUT (1200 * LB_MSEC)
/* Time after which a weight load counts as failed; several times the time that a single engine
 * takes to load weights. */
#define LOAD_TIMEOUT (6 * LB_SEC)
/* Delay before an engine's state is queried after a failed query or order. */
#define QUERY_RETRY_DELAY (120 * LB_MSEC)
/* Time after which an engine without an answer no longer counts as loading by an order of the
 * previous lease holder. A new holder queries all engines at once, and they answer within some 10
 * ms, whether they are loading or not. */
#define FIRST_STATE_TIMEOUT (400 * LB_MSEC)

typedef struct Engine Engine;

/* State of the roll-out of one model's weights. */
typedef struct
{
  LbLink link;
  LnWeightOrders *orders;
  LbName name;
  LcWeights *weights;
  bool is_configured;
} Model;

struct Engine
{
  LbName name; /* key in LnWeightOrders.engines */
  LnWeightOrders *orders;
  LbName address;
  LbName model;
  /* Number of orders that the engine accepted since its start; -1: unknown, must be queried before
   * the next order. */
  int64_t orders_accepted;
  LcVersion version;         /* version of the loaded weights, as last reported; 0: unknown */
  LcVersion ordered_version; /* version that the order in progress tells the engine to load; 0: no
                                order */
  LbTime ordered_at;
  LbTime next_query_at;
  LbTime query_sent_at; /* when the query in progress was sent */
  LhFetch *order_fetch; /* order without an answer yet; NULL: none */
  LhFetch *query_fetch; /* query without an answer yet; NULL: none */
  bool is_configured;
  UT_hash_handle hh;
};

struct LnWeightOrders
{
  LnContext *context;
  void (*on_engine) (const LcPlanEntry *entry, void *user);
  void *user;
  LnDutyLease *lease;
  LcLoadTime load_time;
  bool all_check_fences; /* all engines reject an order with an old fencing token */
  LbList models;         /* list of Model */
  Engine *engines;       /* hash table by name */
};

/* Called when this instance gained or lost the lease for ordering weights. Discards the engines'
 * states, since this instance does not know the orders of the previous lease holder. */
static void
discard_engine_states (LbTime now, void *user)
{
  LnWeightOrders *orders = user;

  for (Engine *engine = orders->engines; engine; engine = engine->hh.next)
    {
      engine->ordered_version = 0;
      engine->orders_accepted = -1;
      engine->next_query_at = now;
    }
  LB_LIST_FOREACH (&orders->models, Model, link, model)
  {
    lc_weights_lease_changed (model->weights, now);
  }
}

LnWeightOrders *
ln_weight_orders_new (LnContext *context,
                      void (*on_engine) (const LcPlanEntry *entry, void *user),
                      void *user)
{
  LnWeightOrders *orders = LB_NEW (LnWeightOrders);

  orders->context = context;
  orders->on_engine = on_engine;
  orders->user = user;
  orders->lease = ln_duty_lease_new (context, LEASE_DUTY_NAME,
                                     context->settings->weights.endpoints_check_fence,
                                     discard_engine_states, orders);
  lb_list_init (&orders->models);
  return orders;
}

static void
engine_free (Engine *engine)
{
  if (engine->order_fetch)
    lh_fetch_cancel (engine->order_fetch);
  if (engine->query_fetch)
    lh_fetch_cancel (engine->query_fetch);
  HASH_DEL (engine->orders->engines, engine);
  free (engine);
}

void
ln_weight_orders_free (LnWeightOrders *orders)
{
  Engine *engine, *next;

  HASH_ITER (hh, orders->engines, engine, next)
  {
    engine_free (engine);
  }
  LB_LIST_FOREACH (&orders->models, Model, link, model)
  {
    lc_weights_free (model->weights);
    free (model);
  }
  ln_duty_lease_free (orders->lease);
  free (orders);
}

static Model *
find_model (const LnWeightOrders *orders, const char *name)
{
  LB_LIST_FOREACH (&orders->models, Model, link, model)
  {
    if (strcmp (model->name, name) == 0)
      return model;
  }
  return NULL;
}

static Model *
find_or_add_model (LnWeightOrders *orders, const char *name)
{
  Model *model = find_model (orders, name);
  LcWeightsSettings settings;

  if (model)
    return model;
  model = LB_NEW (Model);
  lc_weights_settings_init (&settings, name);
  settings.load_timeout = LOAD_TIMEOUT;
  settings.first_report_timeout = FIRST_STATE_TIMEOUT;
  model->orders = orders;
  model->weights = lc_weights_new (&settings);
  LB_COPY (model->name, name);
  lb_list_append (&orders->models, &model->link);
  return model;
}

static Engine *
find_engine (const LnWeightOrders *orders, const char *name)
{
  Engine *engine = NULL;

  HASH_FIND_STR (orders->engines, name, engine);
  return engine;
}

static void
add_or_update_engine (LnWeightOrders *orders, const LcEndpointMember *member)
{
  Engine *engine = find_engine (orders, member->name);

  if (!engine)
    {
      engine = LB_NEW (Engine);
      engine->orders = orders;
      engine->orders_accepted = -1;
      LB_COPY (engine->name, member->name);
      HASH_ADD_STR (orders->engines, name, engine);
    }
  engine->is_configured = true;
  LB_COPY (engine->address, member->address);
  /* The engine's version belongs to the previous model's weights. If it were kept, requests for
   * that version of the new model, which the engine does not have, would be sent to the engine, and
   * the generated texts discarded as stale. */
  if (strcmp (engine->model, member->pool) != 0)
    {
      engine->ordered_version = 0;
      engine->version = 0;
    }
  LB_COPY (engine->model, member->pool);
}

void
ln_weight_orders_configure_engines (LnWeightOrders *orders, const LcResourceSet *set)
{
  Engine *engine, *next;

  for (engine = orders->engines; engine; engine = engine->hh.next)
    engine->is_configured = false;
  orders->all_check_fences = true;
  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      const LcEndpointMember *member = &set->endpoints[i];
      if (member->kind != LC_ENDPOINT_ENGINE || member->leaving)
        continue;
      orders->all_check_fences &= member->checks_fence;
      add_or_update_engine (orders, member);
    }
  HASH_ITER (hh, orders->engines, engine, next)
  {
    if (!engine->is_configured)
      engine_free (engine);
  }
  for (size_t i = 0; i < set->n_pools; i++)
    find_or_add_model (orders, set->pools[i].name);
  LB_LIST_FOREACH (&orders->models, Model, link, model)
  {
    lc_weights_configure (model->weights, set, lb_clock_monotonic ());
  }
}

void
ln_weight_orders_set_newest_version (LnWeightOrders *orders,
                                     const char *model,
                                     LcVersion version,
                                     LbTime now)
{
  lc_weights_set_newest_version (find_or_add_model (orders, model)->weights, version, now);
}

/* --- states of engines --- */

static void
pass_engine_state_to_owner (const Engine *engine)
{
  LcPlanEntry entry = { .version = engine->version, .loading = engine->ordered_version != 0 };

  LB_COPY (entry.engine, engine->name);
  LB_COPY (entry.model, engine->model);
  engine->orders->on_engine (&entry, engine->orders->user);
}

/* Records the version that the engine reported when asked at requested_at. An order counts as in
 * progress until the engine has the ordered version, or until LOAD_TIMEOUT, after which it must
 * have failed. */
static void
record_engine_version (Engine *engine, LcVersion version, LbTime requested_at, LbTime now)
{
  Model *model = find_model (engine->orders, engine->model);
  LcWeightReport report = { .version = version, .requested_at = requested_at };
  LbLink *link;
  LbList actions;

  if (!model)
    return;
  engine->version = version;
  if (engine->ordered_version != 0
      && (version >= engine->ordered_version || now - engine->ordered_at > LOAD_TIMEOUT))
    engine->ordered_version = 0;
  pass_engine_state_to_owner (engine);
  report.loading = engine->ordered_version != 0;
  LB_COPY (report.incarnation, engine->name);
  lb_list_init (&actions);
  lc_weights_report_received (model->weights, engine->name, &report, now, &actions);
  while ((link = lb_list_pop (&actions)))
    free (LB_CONTAINER (link, LcWeightsAction, link));
}

void
ln_weight_orders_apply_endpoint_list (LnWeightOrders *orders,
                                      const LcRoster *roster,
                                      LbTime requested_at,
                                      LbTime now)
{
  for (size_t i = 0; i < lc_roster_count_endpoints (roster); i++)
    {
      const LcRegistration *registration = lc_roster_registration (roster, i);
      Engine *engine = find_engine (orders, registration->name);
      LcVersion version = lc_roster_registered_weight_version (roster, i);
      /* The endpoint list lags behind the version that the engine itself reported. */
      if (engine && engine->orders_accepted >= 0)
        record_engine_version (engine, version > engine->version ? version : engine->version,
                               requested_at, now);
    }
}

static void order_weight_loads (LnWeightOrders *orders, LbTime now);

/* Records the version read from the engine. When a load has ended, orders the next load at once:
 * the next tick may be 25 ms away. */
static void
record_version_from_state_query (Engine *engine, LcVersion version, LbTime now)
{
  LnWeightOrders *orders = engine->orders;
  LcVersion ordered_version = engine->ordered_version;

  record_engine_version (engine, version, engine->query_sent_at, now);
  if (engine->ordered_version != 0)
    {
      engine->next_query_at = now + lc_load_time_poll_interval (&orders->load_time);
      return;
    }
  if (ordered_version == 0 || version < ordered_version)
    return;
  lc_load_time_add_sample (&orders->load_time, now - engine->ordered_at);
  order_weight_loads (orders, now);
}

static void
on_engine_state_query_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Engine *engine = user;
  LbTime now = lb_clock_monotonic ();
  LnEngineState state;
  LbError error = { 0 };

  engine->query_fetch = NULL;
  engine->next_query_at = now + QUERY_RETRY_DELAY;
  if (result->failure != LB_OK || result->status != 200)
    {
      /* The query is repeated, and a load in progress fails at its timeout. */
      lb_log (LB_LOG_INFO, "engine_state_not_read", LB_TEXT ("endpoint", engine->name),
              LB_TEXT ("error", lb_error_name (result->failure)),
              LB_INT ("status", result->status));
      return;
    }
  const LnEngineStateQuery query = { .endpoint = engine->name, .model = engine->model };
  if (!engine->orders->context->dialect->read_engine_state (&query, result->body,
                                                            result->body_length, &state, &error))
    {
      lb_log_error (LB_LOG_WARNING, "engine_state_unreadable", &error);
      return;
    }
  engine->orders_accepted = state.orders_accepted;
  record_version_from_state_query (engine, state.version, now);
}

static void
query_engine_state (Engine *engine, LbTime now)
{
  const LhHandlers handlers = { .on_done = on_engine_state_query_done };
  const LhRequest request = { .method = "GET",
                              .address = engine->address,
                              .path = engine->orders->context->dialect->engine_state_path,
                              .idle_timeout = RESPONSE_TIMEOUT,
                              .max_duration = RESPONSE_TIMEOUT };

  engine->query_sent_at = now;
  engine->query_fetch
      = lh_fetch_start (engine->orders->context->http_pool, &request, &handlers, engine, NULL);
}

/* --- orders --- */

static LbErrorCode
order_outcome_to_error (LnOrderOutcome outcome)
{
  switch (outcome)
    {
    case LN_ORDER_ACCEPTED:
    case LN_ORDER_ALREADY_DONE:
      return LB_OK;
    case LN_ORDER_STALE_FENCE:
      return LB_ERROR_STALE_FENCE;
    case LN_ORDER_BUSY:
      return LB_ERROR_CONFLICT;
    case LN_ORDER_REFUSED:
      break;
    }
  return LB_ERROR_ENDPOINT_FAILED;
}

static void
on_weights_order_answered (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  Engine *engine = user;
  LnWeightOrders *orders = engine->orders;
  Model *model = find_model (orders, engine->model);
  LbTime now = lb_clock_monotonic ();
  LbErrorCode error = result->failure != LB_OK
                          ? result->failure
                          : order_outcome_to_error (
                              orders->context->dialect->classify_order_reply (result->status));

  engine->order_fetch = NULL;
  lb_log (error == LB_OK ? LB_LOG_INFO : LB_LOG_WARNING, "weights_ordered",
          LB_TEXT ("endpoint", engine->name), LB_TEXT ("outcome", lb_error_name (error)),
          LB_INT ("status", result->status), LB_INT ("version", engine->ordered_version));
  if (error == LB_OK)
    {
      engine->orders_accepted += result->status == 202;
      return;
    }
  /* The order may have been accepted and may take effect later, so the engine is queried. */
  engine->ordered_version = 0;
  engine->orders_accepted = -1;
  engine->next_query_at = now + QUERY_RETRY_DELAY;
  if (model)
    lc_weights_order_answered (model->weights, engine->name, error, now);
  if (error == LB_ERROR_STALE_FENCE)
    ln_duty_lease_request_read (orders->lease, now);
}

static void
send_weights_order (LnWeightOrders *orders, const LcWeightsAction *action, LbTime now)
{
  Engine *engine = find_engine (orders, action->endpoint);
  const LhHandlers handlers = { .on_done = on_weights_order_answered };
  LhRequest request = { .idle_timeout = RESPONSE_TIMEOUT, .max_duration = RESPONSE_TIMEOUT };
  LcOutgoingRequest outgoing;
  LnWeightsOrder order = { .endpoint = action->endpoint,
                           .version = action->version,
                           .holder = orders->context->instance,
                           .fence = ln_duty_lease_begin_call (orders->lease, now),
                           .mode = LN_SWAP_KEEP_STREAMS };

  if (!engine)
    return;
  request.address = engine->address;
  order.model = engine->model;
  order.orders_before = engine->orders_accepted;
  engine->ordered_version = action->version;
  engine->ordered_at = now;
  engine->next_query_at = now + lc_load_time_first_poll_delay (&orders->load_time);
  orders->context->dialect->write_order (&order, &outgoing);
  if (engine->order_fetch)
    lh_fetch_cancel (engine->order_fetch);
  pass_engine_state_to_owner (engine);
  lb_log (LB_LOG_INFO, "weights_order", LB_TEXT ("endpoint", engine->name),
          LB_TEXT ("model", engine->model), LB_INT ("version", order.version),
          LB_INT ("fence", order.fence), LB_INT ("orders_before", order.orders_before));
  engine->order_fetch
      = ln_fetch_start_outgoing (orders->context, &outgoing, &request, &handlers, engine, NULL);
  lc_outgoing_request_clear (&outgoing);
}

/* Sends the orders that LcWeights decides for the model. Returns true if a load was ordered. */
static bool
order_weight_loads_of_model (Model *model, LbTime now)
{
  const LnDutyLease *lease = model->orders->lease;
  LbLink *link;
  LbList actions;
  bool has_ordered = false;

  lb_list_init (&actions);
  lc_weights_tick (model->weights, ln_duty_lease_allows_call (lease, false, now),
                   ln_duty_lease_allows_call (lease, true, now), now, &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcWeightsAction *action = LB_CONTAINER (link, LcWeightsAction, link);
      if (action->type == LC_WEIGHTS_ORDER_LOAD)
        send_weights_order (model->orders, action, now);
      has_ordered |= action->type == LC_WEIGHTS_ORDER_LOAD;
      free (action);
    }
  return has_ordered;
}

/* Orders loads one by one, each for the model that needs a load most, up to the limit of concurrent
 * loads. */
static void
order_weight_loads (LnWeightOrders *orders, LbTime now)
{
  size_t n = orders->models.length;
  LcSwapCandidate *candidates = LB_NEW_ARRAY (LcSwapCandidate, n + 1);
  Model **models = LB_NEW_ARRAY (Model *, n + 1);
  size_t max_swapping = lc_swap_turns_max_concurrent_loads (HASH_COUNT (orders->engines));
  size_t swapping = 0;
  size_t next = 0;

  LB_LIST_FOREACH (&orders->models, Model, link, model)
  {
    models[next] = model;
    lc_weights_get_status (model->weights, now, &candidates[next].status);
    swapping += candidates[next++].status.swapping;
  }
  while (swapping < max_swapping && (next = lc_swap_turns_choose_model (candidates, n)) < n)
    {
      LcWeightsStatus *status = &candidates[next].status;
      lc_weights_set_swap_limit (models[next]->weights, (int64_t)status->swapping + 1);
      candidates[next].blocked = !order_weight_loads_of_model (models[next], now);
      swapping += !candidates[next].blocked;
      lc_weights_get_status (models[next]->weights, now, status);
    }
  free (models);
  free (candidates);
}

/* Returns true if the engine itself must be queried. The endpoint list lags by a second or more, so
 * an engine in a swap (one that loads other weights) is queried. An engine whose count of accepted
 * orders is not known is queried too, since each order states the count before it. */
static bool
needs_engine_state_query (const Engine *engine)
{
  return engine->ordered_version != 0 || engine->orders_accepted < 0;
}

/* Renews or claims the lease if due, and sends orders and queries to the engines while this
 * instance holds the lease. Other instances skip the engines, because there may be hundreds of such
 * instances, and this function runs 40 times per second. */
void
ln_weight_orders_tick (LnWeightOrders *orders, LbTime now)
{
  ln_duty_lease_tick (orders->lease, orders->all_check_fences, now);
  if (!ln_duty_lease_is_held (orders->lease))
    return;
  order_weight_loads (orders, now);
  for (Engine *engine = orders->engines; engine; engine = engine->hh.next)
    if (needs_engine_state_query (engine) && !engine->order_fetch && !engine->query_fetch
        && now >= engine->next_query_at)
      query_engine_state (engine, now);
}

void
ln_weight_orders_set_members (LnWeightOrders *orders, const LnMembersMessage *members)
{
  ln_duty_lease_set_members (orders->lease, members);
}

void
ln_weight_orders_release_lease (LnWeightOrders *orders, LbTime now)
{
  ln_duty_lease_release (orders->lease, now);
}

bool
ln_weight_orders_has_lease (const LnWeightOrders *orders)
{
  return ln_duty_lease_is_held (orders->lease);
}

bool
ln_weight_orders_is_lease_candidate (const LnWeightOrders *orders)
{
  return ln_duty_lease_is_candidate (orders->lease);
}

bool
ln_weight_orders_is_lease_released (const LnWeightOrders *orders, LbTime now)
{
  return ln_duty_lease_is_released (orders->lease, now);
}

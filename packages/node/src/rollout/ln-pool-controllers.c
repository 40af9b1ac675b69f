#include "ln-pool-controller.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"
#include "ln-messages.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_LEASE_CANDIDATES_PER_POOL 3

LnPoolController *
ln_pool_controllers_find_by_serial (LnConfigTask *task, uint64_t serial)
{
  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    if (controller->serial == serial)
      return controller;
  }
  return NULL;
}

static LnPoolController *
find_controller_of_pool (LnConfigTask *task, const char *pool)
{
  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    if (strcmp (controller->pool, pool) == 0)
      return controller;
  }
  return NULL;
}

/* --- candidates for the leases --- */

static uint64_t
compute_rendezvous_weight (const char *pool, const char *instance)
{
  return XXH64 (instance, strlen (instance), XXH64 (pool, strlen (pool), 0));
}

typedef struct
{
  const char *pool;
  const char *own_name;
  int n_preferred; /* number of candidates with a higher rendezvous weight than this instance */
} LeaseRankSearch;

static void
count_instance_if_preferred_for_lease (
    const char *instance, int64_t revision, bool alive, bool draining, void *user)
{
  (void)revision;
  LeaseRankSearch *search = user;

  if (alive && !draining && strcmp (instance, search->own_name) != 0
      && compute_rendezvous_weight (search->pool, instance)
             > compute_rendezvous_weight (search->pool, search->own_name))
    search->n_preferred++;
}

/* Returns how many instances may claim the pool's lease before this instance, or -1 if this
 * instance may not claim it. Rendezvous hashing spreads the pools over the instances, so that only
 * a few instances poll each lease row. */
static int
compute_lease_rank (const LnConfigTask *task, const char *pool)
{
  LeaseRankSearch search = { .pool = pool, .own_name = task->context->instance };

  if (task->draining)
    return -1;
  lc_config_visit_instances (task->config, count_instance_if_preferred_for_lease, &search);
  return search.n_preferred < MAX_LEASE_CANDIDATES_PER_POOL ? search.n_preferred : -1;
}

static void
update_lease_ranks (LnConfigTask *task)
{
  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    lc_lease_set_claim_rank (controller->lease, compute_lease_rank (task, controller->pool));
  }
}

void
ln_pool_controllers_update_lease_ranks (LnConfigTask *task)
{
  update_lease_ranks (task);
}

static bool
pool_has_engines (const LcResourceSet *set, const char *pool)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (set->endpoints[i].kind == LC_ENDPOINT_ENGINE && strcmp (set->endpoints[i].pool, pool) == 0)
      return true;
  return false;
}

/* Creates a controller for each new pool with engines. Removes the controller of a pool without
 * engines, which needs no orders; the pool's lease then expires. */
void
ln_pool_controllers_configure (LnConfigTask *task, const LcResourceSet *set)
{
  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    if (pool_has_engines (set, controller->pool))
      continue;
    lb_list_remove (&task->pool_controllers, &controller->link);
    ln_pool_controller_free (controller);
  }
  for (size_t i = 0; i < set->n_pools; i++)
    {
      LnPoolController *controller = find_controller_of_pool (task, set->pools[i].name);
      if (!pool_has_engines (set, set->pools[i].name))
        continue;
      if (!controller)
        {
          controller
              = ln_pool_controller_new (task, set->pools[i].name, ++task->last_controller_serial);
          lb_list_append (&task->pool_controllers, &controller->link);
        }
      ln_pool_controller_configure (controller, set);
    }
  update_lease_ranks (task);
}

void
ln_pool_controllers_tick (LnConfigTask *task, LbTime now)
{
  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    ln_pool_controller_tick (controller, now);
  }
  if (task->unsent_swaps)
    {
      struct json_object *message = json_object_new_object ();
      json_object_object_add (message, "type", json_object_new_string ("swaps"));
      json_object_object_add (message, "swaps", task->unsent_swaps);
      task->unsent_swaps = NULL;
      ln_config_send_peer_message (task, "", message);
    }
}

void
ln_pool_controllers_release_leases (LnConfigTask *task)
{
  LbTime now = lb_clock_monotonic ();

  update_lease_ranks (task);
  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    ln_pool_controller_release_lease (controller, now);
  }
}

bool
ln_pool_controllers_have_released_leases (const LnConfigTask *task)
{
  LbTime now = lb_clock_monotonic ();

  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    if (!lc_lease_is_released (controller->lease, now))
      return false;
  }
  return true;
}

void
ln_pool_controllers_free_all (LnConfigTask *task)
{
  LbLink *link;

  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    lb_list_remove (&task->pool_controllers, &controller->link);
    ln_pool_controller_free (controller);
  }
  while ((link = lb_list_pop (&task->pool_operations)))
    free (LB_CONTAINER (link, LnPoolOperation, link));
  json_object_put (task->unsent_swaps);
}

/* --- announcements to other tasks and instances --- */

/* Tells the task "calls" whether a swap of weights is pending on an endpoint. During a pending
 * swap, the router adds the time left until the swap's expected end, `until`, to the estimated
 * finish time of calls on the endpoint. */
static void
post_weight_swap_to_calls (LnConfigTask *task, const char *endpoint, bool is_pending, LbTime until)
{
  LnTask *calls = ln_hub_find_task (task->task.hub, "calls");
  LnEndpointSwapMessage message
      = { .base = LN_MESSAGE (LN_ENDPOINT_SWAP), .pending = is_pending, .until = until };

  if (!calls)
    return;
  LB_COPY (message.endpoint, endpoint);
  LN_POST (task->task.hub, calls, message);
}

/* Notifies the task "calls" at once. Other instances get all swaps of a tick in one message. */
void
ln_pool_controllers_announce_weight_swap (LnConfigTask *task,
                                          const LcWeightsAction *action,
                                          LbTime now)
{
  struct json_object *swap = json_object_new_object ();

  post_weight_swap_to_calls (task, action->endpoint, action->pending, action->expected_at);
  json_object_object_add (swap, "endpoint", json_object_new_string (action->endpoint));
  json_object_object_add (swap, "pending", json_object_new_boolean (action->pending));
  json_object_object_add (swap, "for_ms",
                          json_object_new_int64 ((action->expected_at - now) / LB_MSEC));
  if (!task->unsent_swaps)
    task->unsent_swaps = json_object_new_array ();
  json_object_array_add (task->unsent_swaps, swap);
}

static void
post_newest_version_to_rollouts (LnConfigTask *task,
                                 const char *pool,
                                 LcVersion newest_version,
                                 LbTime cadence)
{
  LnTask *rollouts = ln_hub_find_task (task->task.hub, "rollouts");
  LnPoolVersionMessage message
      = { .base = LN_MESSAGE (LN_POOL_VERSION), .newest = newest_version, .cadence = cadence };

  if (!rollouts)
    return;
  LB_COPY (message.pool, pool);
  LN_POST (task->task.hub, rollouts, message);
}

void
ln_pool_controllers_announce_newest_version (LnPoolController *controller,
                                             const LcWeightsStatus *status)
{
  struct json_object *message = json_object_new_object ();

  controller->highest_fence = lc_lease_fencing_token (controller->lease);
  post_newest_version_to_rollouts (controller->task, controller->pool, status->target,
                                   status->version_interval);
  json_object_object_add (message, "type", json_object_new_string ("newest"));
  json_object_object_add (message, "pool", json_object_new_string (controller->pool));
  json_object_object_add (message, "fence", json_object_new_int64 (controller->highest_fence));
  json_object_object_add (message, "version", json_object_new_int64 (status->target));
  json_object_object_add (message, "cadence_ms",
                          json_object_new_int64 (status->version_interval / LB_MSEC));
  ln_config_send_peer_message (controller->task, "", message);
}

void
ln_pool_controllers_announce_lease_release (LnConfigTask *task, const char *pool)
{
  struct json_object *message = json_object_new_object ();

  json_object_object_add (message, "type", json_object_new_string ("lease_free"));
  json_object_object_add (message, "pool", json_object_new_string (pool));
  ln_config_send_peer_message (task, "", message);
}

static void
receive_weight_swaps (LnConfigTask *task, struct json_object *message, LbTime now)
{
  struct json_object *swaps = NULL;

  if (!json_object_object_get_ex (message, "swaps", &swaps)
      || !json_object_is_type (swaps, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (swaps); i++)
    {
      struct json_object *swap = json_object_array_get_idx (swaps, i);
      post_weight_swap_to_calls (task, lb_json_text (swap, "endpoint", ""),
                                 lb_json_bool (swap, "pending", false),
                                 now + lb_json_int (swap, "for_ms", 0) * LB_MSEC);
    }
}

/* Handles the newest weight version that the lease holder announced. Ignores an announcement with
 * an old fencing token, because an earlier lease holder may have been paused while sending it. */
static void
receive_newest_version (LnConfigTask *task, struct json_object *message)
{
  LnPoolController *controller = find_controller_of_pool (task, lb_json_text (message, "pool", ""));
  int64_t fence = lb_json_int (message, "fence", 0);

  if (!controller || fence < controller->highest_fence)
    return;
  controller->highest_fence = fence;
  post_newest_version_to_rollouts (task, controller->pool, lb_json_int (message, "version", 0),
                                   lb_json_int (message, "cadence_ms", 0) * LB_MSEC);
}

/* Handles an announcement from another instance. Returns false if the message is of a type that the
 * pool controllers do not handle. */
bool
ln_pool_controllers_receive_announcement (LnConfigTask *task, struct json_object *message)
{
  const char *type = lb_json_text (message, "type", "");
  LbTime now = lb_clock_monotonic ();

  if (strcmp (type, "swaps") == 0)
    receive_weight_swaps (task, message, now);
  else if (strcmp (type, "newest") == 0)
    receive_newest_version (task, message);
  else if (strcmp (type, "lease_free") == 0)
    {
      LnPoolController *controller
          = find_controller_of_pool (task, lb_json_text (message, "pool", ""));
      if (controller)
        lc_lease_request_read (controller->lease, now);
    }
  else
    return false;
  return true;
}

/* --- status of leases and roll-outs --- */

static struct json_object *
lease_status_to_json (const LnPoolController *controller)
{
  struct json_object *object = json_object_new_object ();
  const LcLeaseRow *row = lc_lease_row (controller->lease);

  json_object_object_add (object, "pool", json_object_new_string (controller->pool));
  json_object_object_add (object, "holder",
                          json_object_new_string (row->released ? "" : row->holder));
  json_object_object_add (object, "fence", json_object_new_int64 (row->fence));
  json_object_object_add (object, "held_here",
                          json_object_new_boolean (lc_lease_is_held (controller->lease)));
  return object;
}

static struct json_object *
roll_out_status_to_json (const LnPoolController *controller)
{
  LcWeightsStatus status;
  struct json_object *object = json_object_new_object ();

  lc_weights_get_status (controller->weights, lb_clock_monotonic (), &status);
  json_object_object_add (object, "pool", json_object_new_string (controller->pool));
  json_object_object_add (object, "version", json_object_new_int64 (status.target));
  json_object_object_add (object, "engines", json_object_new_int64 ((int64_t)status.engines));
  json_object_object_add (object, "done", json_object_new_int64 ((int64_t)status.on_target));
  json_object_object_add (object, "swapping", json_object_new_int64 ((int64_t)status.swapping));
  json_object_object_add (object, "failed", json_object_new_int64 ((int64_t)status.failed));
  json_object_object_add (object, "unknown", json_object_new_int64 ((int64_t)status.unknown));
  json_object_object_add (object, "cadence_ms",
                          json_object_new_int64 (status.version_interval / LB_MSEC));
  json_object_object_add (object, "waits",
                          json_object_new_string (
                              lc_weights_wait_reason_name (status.wait_reason)));
  return object;
}

/* Adds "leases", the leases of all pools, and "roll_outs", the weight roll-outs of the pools whose
 * lease this instance holds. */
void
ln_pool_controllers_add_status_to_json (LnConfigTask *task, struct json_object *status)
{
  struct json_object *leases = json_object_new_array ();
  struct json_object *roll_outs = json_object_new_array ();

  LB_LIST_FOREACH (&task->pool_controllers, LnPoolController, link, controller)
  {
    json_object_array_add (leases, lease_status_to_json (controller));
    if (lc_lease_is_held (controller->lease))
      json_object_array_add (roll_outs, roll_out_status_to_json (controller));
  }
  json_object_object_add (status, "leases", leases);
  json_object_object_add (status, "roll_outs", roll_outs);
}

#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Exceeds the 8 s for which an instance accepts new work without a confirmation of its
 * configuration by the store or by other instances. */
#define STORE_OUTAGE_DURATION (10 * LB_SEC)
#define SET_QUEUE_LIMIT_JSON(n)                                                                    \
  "{\"apply\": [{\"kind\": \"pool\", \"name\": \"reader\", \"queue_limit\": " #n "}]}"

static PtCluster test_cluster;

static void
start_test_platform (void)
{
  pt_cluster_init (&test_cluster);
  pt_start_platform (&test_cluster);
}

static void
clear_test_cluster (void)
{
  pt_cluster_clear (&test_cluster);
}

TestSuite (config, .init = start_test_platform, .fini = clear_test_cluster);

static struct json_object *
read_instance_status (const PtProgram *instance)
{
  const LhHeader headers[] = { { "authorization", "Bearer " PT_OPERATOR_TOKEN } };
  const SiCall call = { .method = "GET",
                        .address = instance->address,
                        .path = "/v1/status",
                        .headers = headers,
                        .n_headers = 1,
                        .idle_timeout = LB_SEC };
  SiResponse response;

  si_client_call (&test_cluster.client, &call, &response);
  struct json_object *object
      = si_response_is_ok (&response) ? json_tokener_parse (response.body) : NULL;
  si_response_clear (&response);
  return object;
}

static int64_t
read_instance_metric (const PtProgram *instance, const char *name)
{
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/metrics" };
  SiResponse response;

  si_client_call (&test_cluster.client, &call, &response);
  cr_assert (si_response_is_ok (&response));
  const char *line = strstr (response.body, name);
  while (line && line > response.body && line[-1] != '\n')
    line = strstr (line + 1, name);
  int64_t value = line ? strtoll (line + strlen (name), NULL, 10) : 0;
  si_response_clear (&response);
  return value;
}

static bool
is_instance_ready (PtCluster *cluster, void *user)
{
  const PtProgram *instance = user;
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/readyz" };
  SiResponse response;

  si_client_call (&cluster->client, &call, &response);
  bool ready = si_response_is_ok (&response);
  si_response_clear (&response);
  return ready;
}

static bool
is_instance_not_ready (PtCluster *cluster, void *user)
{
  return !is_instance_ready (cluster, user);
}

static bool
does_instance_report_all_alive (PtCluster *cluster, void *user)
{
  struct json_object *status = read_instance_status (user);
  struct json_object *instances = json_object_object_get (status, "instances");
  size_t alive = 0;

  for (size_t i = 0; instances && i < json_object_array_length (instances); i++)
    {
      struct json_object *member = json_object_array_get_idx (instances, i);
      alive += json_object_get_boolean (json_object_object_get (member, "alive"));
    }
  json_object_put (status);
  return alive == cluster->n_instances;
}

static void
start_instances_and_wait_until_ready (size_t n)
{
  static const char *const names[] = { "i1", "i2", "i3", "i4" };

  for (size_t i = 0; i < n; i++)
    pt_start_instance (&test_cluster, names[i], "hall-a");
  for (size_t i = 0; i < n; i++)
    {
      pt_wait_until_instance_ready (&test_cluster, &test_cluster.instances[i]);
      pt_wait_until (&test_cluster, "the instance reports all instances as alive",
                     does_instance_report_all_alive, &test_cluster.instances[i]);
    }
}

static int
post_resource_changes_and_get_status (PtProgram *instance,
                                      const char *changes,
                                      const char *if_match,
                                      LbName error)
{
  SiResponse response;

  pt_post_resource_changes (&test_cluster, instance, changes, if_match, &response);
  int status_code = response.status;
  lb_strlcpy (error, si_response_get_error_type (&response), LB_NAME_MAX);
  si_response_clear (&response);
  return status_code;
}

static int64_t
read_active_config_revision (const PtProgram *instance)
{
  struct json_object *status = read_instance_status (instance);
  int64_t revision = status ? si_json_get_int (status, "revision", -1) : -1;

  json_object_put (status);
  return revision;
}

static bool
is_config_revision_2_active (PtCluster *cluster, void *user)
{
  (void)cluster;
  return read_active_config_revision (user) == 2;
}

/* Two operators read revision 1 and change the same pool at two instances. The second change must
 * be rejected as a conflict, or it would silently undo the first one, which made revision 2. A
 * request without the operator token is rejected. */
Test (config, change_on_old_revision_is_a_conflict)
{
  LbName error;

  start_instances_and_wait_until_ready (2);
  PtProgram *first = &test_cluster.instances[0], *second = &test_cluster.instances[1];
  cr_assert_eq (post_resource_changes_and_get_status (first, SET_QUEUE_LIMIT_JSON (1), "\"0\"",
                                                      error),
                200, "change rejected with error %s", error);
  cr_assert_eq (post_resource_changes_and_get_status (first, SET_QUEUE_LIMIT_JSON (2), "\"1\"",
                                                      error),
                200, "change rejected with error %s", error);
  cr_assert_eq (post_resource_changes_and_get_status (second, SET_QUEUE_LIMIT_JSON (3), "\"1\"",
                                                      error),
                409);
  cr_assert_str_eq (error, "conflict");
  cr_assert_eq (post_resource_changes_and_get_status (second, SET_QUEUE_LIMIT_JSON (3), NULL,
                                                      error),
                400);
  pt_wait_until (&test_cluster, "revision 2 is active on the other instance",
                 is_config_revision_2_active, second);

  const SiCall call
      = { .method = "POST", .address = first->address, .path = "/v1/resources", .body = "{}" };
  SiResponse response;
  si_client_call (&test_cluster.client, &call, &response);
  cr_assert_eq (response.status, 401);
  si_response_clear (&response);
  cr_assert_eq (read_instance_metric (first, "lentilspindle_operator_refused_total "), 1);
}

/* The store commits a change, but the responses to the commit and to each retry are lost. The
 * instance must find out that the change is committed: the operator must get neither a failure nor
 * a conflict caused by the retry. */
Test (config, lost_commit_response_is_not_reported_as_failure)
{
  LbName error;

  start_instances_and_wait_until_ready (2);
  PtProgram *first = &test_cluster.instances[0];
  cr_assert_eq (post_resource_changes_and_get_status (first, SET_QUEUE_LIMIT_JSON (1), "\"0\"",
                                                      error),
                200, "change rejected with error %s", error);
  pt_inject_fault (&test_cluster, &test_cluster.platform,
                   "{\"mode\": \"lose_reply\", \"path\": \"/table/transact\"}");
  cr_assert_eq (post_resource_changes_and_get_status (first, SET_QUEUE_LIMIT_JSON (2), "\"1\"",
                                                      error),
                200, "change rejected with error %s", error);
  pt_wait_until (&test_cluster, "revision 2 is active on the other instance",
                 is_config_revision_2_active, &test_cluster.instances[1]);
  cr_assert_eq (read_active_config_revision (first), 2);
}

/* The store is down for 10 s and an instance is replaced meanwhile. Callers must not notice: the
 * instances stay ready, and the replacement gets the configuration from its peers. Configuration
 * changes are rejected with 503. */
Test (config, long_store_outage_does_not_affect_callers)
{
  LbName error;

  start_instances_and_wait_until_ready (3);
  cr_assert_eq (post_resource_changes_and_get_status (&test_cluster.instances[0],
                                                      SET_QUEUE_LIMIT_JSON (1), "\"0\"", error),
                200, "change rejected with error %s", error);
  cr_assert_eq (post_resource_changes_and_get_status (&test_cluster.instances[0],
                                                      SET_QUEUE_LIMIT_JSON (2), "\"1\"", error),
                200, "change rejected with error %s", error);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"down\"}");
  cr_assert_eq (post_resource_changes_and_get_status (&test_cluster.instances[0],
                                                      SET_QUEUE_LIMIT_JSON (3), "\"2\"", error),
                503);
  cr_assert_str_eq (error, "store_away");
  si_client_pause (&test_cluster.client, STORE_OUTAGE_DURATION);
  for (size_t i = 0; i < 3; i++)
    cr_assert (is_instance_ready (&test_cluster, &test_cluster.instances[i]), "%s",
               test_cluster.instances[i].name);

  pt_restart_instance (&test_cluster, &test_cluster.instances[2]);
  pt_wait_until_instance_ready (&test_cluster, &test_cluster.instances[2]);
  cr_assert_eq (read_active_config_revision (&test_cluster.instances[2]), 2);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"none\"}");
}

/* Two of three instances are killed during a store outage. The last instance has no majority to
 * confirm that its configuration is current. It must reject new work as not run until the store is
 * back and confirms the configuration. */
Test (config, last_instance_without_store_rejects_new_work)
{
  start_instances_and_wait_until_ready (3);
  PtProgram *engine = pt_start_engine (&test_cluster, "engine-1", NULL);
  PtProgram *last = &test_cluster.instances[2];
  const SiCheckedCallSpec spec
      = { .address = last->address, .model = "reader", .prompt = "an envelope", .max_tokens = 4 };
  pt_configure_cluster (&test_cluster, &test_cluster.instances[0]);
  pt_wait_until_instances_have_same_revision (&test_cluster);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"down\"}");
  pt_process_clear (&test_cluster.instances[0].process);
  pt_process_clear (&test_cluster.instances[1].process);
  pt_wait_until (&test_cluster, "the last instance stops being ready", is_instance_not_ready, last);
  cr_assert_eq (pt_run_checked_call (&test_cluster, &spec).outcome, SI_CALL_NOT_RUN);
  cr_assert_eq (pt_count_call_runs (&test_cluster, engine, spec.prompt), 0);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"none\"}");
  pt_wait_until_instance_ready (&test_cluster, last);
  cr_assert_eq (pt_run_checked_call (&test_cluster, &spec).outcome, SI_CALL_COMPLETE);
}

/* --- Lease for weight rollouts --- */

typedef struct
{
  PtProgram *excluded; /* instance that the search skips; NULL: none */
  PtProgram *found;    /* lease holder; NULL: no instance reports that it holds the lease */
  int64_t fence;       /* fencing token of the found holder */
} LeaseHolderSearch;

static bool
find_lease_holder (PtCluster *cluster, void *user)
{
  LeaseHolderSearch *search = user;

  search->found = NULL;
  for (size_t i = 0; i < cluster->n_instances && !search->found; i++)
    {
      PtProgram *instance = &cluster->instances[i];
      if (instance == search->excluded || instance->process.ended)
        continue;
      struct json_object *status = read_instance_status (instance);
      struct json_object *leases = json_object_object_get (status, "leases");
      struct json_object *lease = leases && json_object_array_length (leases) > 0
                                      ? json_object_array_get_idx (leases, 0)
                                      : NULL;
      if (lease && json_object_get_boolean (json_object_object_get (lease, "held_here")))
        {
          search->found = instance;
          search->fence = si_json_get_int (lease, "fence", 0);
        }
      json_object_put (status);
    }
  return search->found != NULL;
}

static bool
have_all_engines_weight_version (PtCluster *cluster, void *user)
{
  const int64_t *version = user;

  for (size_t i = 0; i < cluster->n_endpoints; i++)
    {
      struct json_object *load
          = si_client_call_json (&cluster->client, cluster->endpoints[i].address, "/load", NULL);
      int64_t reported = load ? si_json_get_int (load, "weight_version", 0) : 0;
      json_object_put (load);
      if (reported != *version)
        return false;
    }
  return true;
}

static bool
is_any_engine_loading_weights (PtCluster *cluster, void *user)
{
  (void)user;
  for (size_t i = 0; i < cluster->n_endpoints; i++)
    {
      struct json_object *load
          = si_client_call_json (&cluster->client, cluster->endpoints[i].address, "/load", NULL);
      bool loading = load && json_object_get_boolean (json_object_object_get (load, "loading"));
      json_object_put (load);
      if (loading)
        return true;
    }
  return false;
}

static void
publish_weight_version (int64_t version)
{
  char order[96];

  snprintf (order, sizeof order, "{\"weights\": {\"pool\": \"reader\", \"version\": %lld}}",
            (long long)version);
  json_object_put (
      si_client_call_json (&test_cluster.client, test_cluster.platform.address, "/control", order));
}

/* Starts three instances and four engines with weight version 40, then returns the instance that
 * holds the lease for weight rollouts. One engine does not check the fencing token. */
static PtProgram *
start_instances_and_engines (LeaseHolderSearch *search)
{
  static const char *const fenced_options[] = { "--version", "40", "--load-ms", "300", NULL };
  static const char *const unfenced_options[]
      = { "--version", "40", "--load-ms", "300", "--not-checking-fence", NULL };

  start_instances_and_wait_until_ready (3);
  pt_start_engine (&test_cluster, "engine-1", fenced_options);
  pt_start_engine (&test_cluster, "engine-2", fenced_options);
  pt_start_engine (&test_cluster, "engine-3", fenced_options);
  pt_start_engine (&test_cluster, "engine-4", unfenced_options);
  pt_configure_cluster (&test_cluster, &test_cluster.instances[0]);
  *search = (LeaseHolderSearch){ .excluded = NULL };
  pt_wait_until (&test_cluster, "an instance holds the lease", find_lease_holder, search);
  return search->found;
}

/* The lease holder is suspended during the rollout of weight version 41 until its lease expires.
 * The next holder brings all engines to 42. When the old holder continues, it must not send its
 * remaining orders for 41: the engine that does not check the fencing token would load the older
 * weights. */
Test (config, suspended_lease_holder_sends_no_stale_orders)
{
  LeaseHolderSearch search;
  int64_t version = 42;

  PtProgram *paused = start_instances_and_engines (&search);
  int64_t fence = search.fence;
  publish_weight_version (41);
  pt_wait_until (&test_cluster, "an engine loads weights", is_any_engine_loading_weights, NULL);
  int64_t orders = read_instance_metric (paused, "lentilspindle_weight_orders_total ");
  pt_process_signal (&paused->process, SIGSTOP);
  publish_weight_version (version);
  search.excluded = paused;
  pt_wait_until (&test_cluster, "another instance holds the lease", find_lease_holder, &search);
  cr_assert_gt (search.fence, fence);
  pt_wait_until (&test_cluster, "all engines have weight version 42",
                 have_all_engines_weight_version, &version);

  pt_process_signal (&paused->process, SIGCONT);
  pt_wait_until_instance_ready (&test_cluster, paused);
  si_client_pause (&test_cluster.client, LB_SEC);
  cr_assert_eq (read_instance_metric (paused, "lentilspindle_weight_orders_total "), orders);
  cr_assert (have_all_engines_weight_version (&test_cluster, &version));
}

/* The lease holder is killed while an engine loads weights. The next holder must continue the
 * rollout from the versions that the engines report. Otherwise half of the engines keep the old
 * version until an operator intervenes. */
Test (config, rollout_continues_after_holder_is_killed)
{
  LeaseHolderSearch search;
  int64_t version = 41;

  PtProgram *holder = start_instances_and_engines (&search);
  publish_weight_version (version);
  pt_wait_until (&test_cluster, "an engine loads weights", is_any_engine_loading_weights, NULL);
  pt_process_clear (&holder->process);
  holder->process.ended = true;
  pt_wait_until (&test_cluster, "all engines have weight version 41",
                 have_all_engines_weight_version, &version);
}

/* One engine fails to load weight version 41, and later the operator sets the pool back to 40. All
 * engines must reach 41 and then 40: none may stay without weights or with the wrong version. */
Test (config, failed_load_is_retried_and_rollback_reaches_all_engines)
{
  LeaseHolderSearch search;
  int64_t version = 41;
  LbName error;

  start_instances_and_engines (&search);
  pt_inject_fault (&test_cluster, &test_cluster.endpoints[1],
                   "{\"mode\": \"fail_swap\", \"count\": 1}");
  publish_weight_version (version);
  pt_wait_until (&test_cluster, "all engines have weight version 41",
                 have_all_engines_weight_version, &version);

  version = 40;
  cr_assert_eq (post_resource_changes_and_get_status (
                    &test_cluster.instances[1],
                    "{\"apply\": [{\"kind\": \"pool\", \"name\": \"reader\", "
                    "\"weight_version\": 40}]}",
                    "\"1\"", error),
                200, "change rejected with error %s", error);
  pt_wait_until (&test_cluster, "all engines have weight version 40",
                 have_all_engines_weight_version, &version);
}

/* An instance that drains must release its lease. The next holder gets the next fencing token. */
Test (config, draining_holder_hands_lease_over)
{
  LeaseHolderSearch search;

  PtProgram *holder = start_instances_and_engines (&search);
  int64_t fence = search.fence;
  pt_process_signal (&holder->process, SIGTERM);
  pt_wait_for_exit_with_code (&test_cluster, &holder->process, 0);
  search.excluded = holder;
  pt_wait_until (&test_cluster, "another instance holds the lease", find_lease_holder, &search);
  cr_assert_eq (search.fence, fence + 1);
}

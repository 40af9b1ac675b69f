#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longer than an instance takes new work with no confirmation by the store or by others. */
#define OVER_THE_BOUND (10 * LB_SEC)
#define QUEUE_LIMIT(n)                                                                             \
  "{\"apply\": [{\"kind\": \"pool\", \"name\": \"reader\", \"queue_limit\": " #n "}]}"

static PtCluster test_cluster;

static void
setup (void)
{
  pt_cluster_init (&test_cluster);
  pt_start_platform (&test_cluster);
}

static void
teardown (void)
{
  pt_cluster_clear (&test_cluster);
}

TestSuite (config, .init = setup, .fini = teardown);

static struct json_object *
status_of (const PtProgram *instance)
{
  const LhHeader headers[] = { { "authorization", "Bearer " PT_OPERATOR_TOKEN } };
  const SiCall call = { .method = "GET",
                        .address = instance->address,
                        .path = "/v1/status",
                        .headers = headers,
                        .n_headers = 1,
                        .idle_timeout = LB_SEC };
  SiResponse answer;

  si_client_call (&test_cluster.client, &call, &answer);
  struct json_object *object
      = si_response_is_ok (&answer) ? json_tokener_parse (answer.body) : NULL;
  si_response_clear (&answer);
  return object;
}

static int64_t
metric_of (const PtProgram *instance, const char *name)
{
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/metrics" };
  SiResponse answer;

  si_client_call (&test_cluster.client, &call, &answer);
  cr_assert (si_response_is_ok (&answer));
  const char *line = strstr (answer.body, name);
  while (line && line > answer.body && line[-1] != '\n')
    line = strstr (line + 1, name);
  int64_t value = line ? strtoll (line + strlen (name), NULL, 10) : 0;
  si_response_clear (&answer);
  return value;
}

static bool
is_ready (PtCluster *cluster, void *user)
{
  const PtProgram *instance = user;
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/readyz" };
  SiResponse answer;

  si_client_call (&cluster->client, &call, &answer);
  bool ready = si_response_is_ok (&answer);
  si_response_clear (&answer);
  return ready;
}

static bool
is_not_ready (PtCluster *cluster, void *user)
{
  return !is_ready (cluster, user);
}

static bool
sees_all (PtCluster *cluster, void *user)
{
  struct json_object *status = status_of (user);
  struct json_object *instances = json_object_object_get (status, "instances");
  size_t alive = 0;

  for (size_t i = 0; instances && i < json_object_array_length (instances); i++)
    {
      struct json_object *item = json_object_array_get_idx (instances, i);
      alive += json_object_get_boolean (json_object_object_get (item, "alive"));
    }
  json_object_put (status);
  return alive == cluster->n_instances;
}

static void
start_instances (size_t n)
{
  static const char *const names[] = { "i1", "i2", "i3", "i4" };

  for (size_t i = 0; i < n; i++)
    pt_start_instance (&test_cluster, names[i], "hall-a");
  for (size_t i = 0; i < n; i++)
    {
      pt_wait_ready (&test_cluster, &test_cluster.instances[i]);
      pt_wait (&test_cluster, "an instance sees all others", sees_all, &test_cluster.instances[i]);
    }
}

static int
change (PtProgram *instance, const char *changes, const char *if_match, LbName error)
{
  SiResponse answer;

  pt_apply_change (&test_cluster, instance, changes, if_match, &answer);
  int result = answer.status;
  lb_strlcpy (error, si_response_error (&answer), LB_NAME_MAX);
  si_response_clear (&answer);
  return result;
}

static int64_t
revision_of (const PtProgram *instance)
{
  struct json_object *status = status_of (instance);
  int64_t revision = status ? si_json_int (status, "revision", -1) : -1;

  json_object_put (status);
  return revision;
}

static bool
has_revision_2 (PtCluster *cluster, void *user)
{
  (void)cluster;
  return revision_of (user) == 2;
}

/* Two operators look at revision 1 and change the same pool at two instances. The second would undo
 * the first without knowing: it is told of revision 2 instead. Without a token nobody is heard. */
Test (config, racing_operators)
{
  LbName error;

  start_instances (2);
  PtProgram *first = &test_cluster.instances[0], *second = &test_cluster.instances[1];
  cr_assert_eq (change (first, QUEUE_LIMIT (1), "\"0\"", error), 200, "%s", error);
  cr_assert_eq (change (first, QUEUE_LIMIT (2), "\"1\"", error), 200, "%s", error);
  cr_assert_eq (change (second, QUEUE_LIMIT (3), "\"1\"", error), 409);
  cr_assert_str_eq (error, "conflict");
  cr_assert_eq (change (second, QUEUE_LIMIT (3), NULL, error), 400);
  pt_wait (&test_cluster, "revision 2 at the other", has_revision_2, second);

  const SiCall call
      = { .method = "POST", .address = first->address, .path = "/v1/resources", .body = "{}" };
  SiResponse answer;
  si_client_call (&test_cluster.client, &call, &answer);
  cr_assert_eq (answer.status, 401);
  si_response_clear (&answer);
  cr_assert_eq (metric_of (first, "lentilspindle_operator_refused_total "), 1);
}

/* The store commits an operator's change and the reply is lost, and that of each try after it. The
 * operator would be told that it failed, or of a conflict with itself, while it is in force. */
Test (config, lost_reply_after_the_commit)
{
  LbName error;

  start_instances (2);
  PtProgram *first = &test_cluster.instances[0];
  cr_assert_eq (change (first, QUEUE_LIMIT (1), "\"0\"", error), 200, "%s", error);
  pt_inject_fault (&test_cluster, &test_cluster.platform,
                   "{\"mode\": \"lose_reply\", \"path\": \"/table/transact\"}");
  cr_assert_eq (change (first, QUEUE_LIMIT (2), "\"1\"", error), 200, "%s", error);
  pt_wait (&test_cluster, "revision 2 at the other", has_revision_2, &test_cluster.instances[1]);
  cr_assert_eq (revision_of (first), 2);
}

/* The store is away for long, and an instance is replaced meanwhile. Callers must not notice: the
 * others go on, the new one serves what they have in force, and an operator is told to wait. */
Test (config, store_away_for_long)
{
  LbName error;

  start_instances (3);
  cr_assert_eq (change (&test_cluster.instances[0], QUEUE_LIMIT (1), "\"0\"", error), 200, "%s",
                error);
  cr_assert_eq (change (&test_cluster.instances[0], QUEUE_LIMIT (2), "\"1\"", error), 200, "%s",
                error);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"down\"}");
  cr_assert_eq (change (&test_cluster.instances[0], QUEUE_LIMIT (3), "\"2\"", error), 503);
  cr_assert_str_eq (error, "store_away");
  si_client_pause (&test_cluster.client, OVER_THE_BOUND);
  for (size_t i = 0; i < 3; i++)
    cr_assert (is_ready (&test_cluster, &test_cluster.instances[i]), "%s",
               test_cluster.instances[i].name);

  pt_restart_instance (&test_cluster, &test_cluster.instances[2]);
  pt_wait_ready (&test_cluster, &test_cluster.instances[2]);
  cr_assert_eq (revision_of (&test_cluster.instances[2]), 2);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"none\"}");
}

/* Two of three instances die while the store is away. What is left can't tell whether it is alone
 * with something old: it takes no new work and says "not run", and goes on as soon as the store
 * confirms. */
Test (config, left_alone_with_the_store_away)
{
  start_instances (3);
  PtProgram *engine = pt_start_engine (&test_cluster, "engine-1", NULL);
  PtProgram *last = &test_cluster.instances[2];
  const SiCheckedCallSpec spec
      = { .address = last->address, .model = "reader", .prompt = "an envelope", .max_tokens = 4 };
  pt_apply_resources (&test_cluster, &test_cluster.instances[0]);
  pt_wait_revision_in_force (&test_cluster);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"down\"}");
  pt_process_clear (&test_cluster.instances[0].process);
  pt_process_clear (&test_cluster.instances[1].process);
  pt_wait (&test_cluster, "the last one stops new work", is_not_ready, last);
  cr_assert_eq (pt_checked_call (&test_cluster, &spec).outcome, SI_CALL_NOT_RUN);
  cr_assert_eq (pt_count_runs (&test_cluster, engine, spec.prompt), 0);
  pt_inject_fault (&test_cluster, &test_cluster.platform, "{\"mode\": \"none\"}");
  pt_wait_ready (&test_cluster, last);
  cr_assert_eq (pt_checked_call (&test_cluster, &spec).outcome, SI_CALL_COMPLETE);
}

/* --- leases and weights --- */

typedef struct
{
  PtProgram *but; /* not this one */
  PtProgram *found;
  int64_t fence;
} HolderSearch;

static bool
find_holder (PtCluster *cluster, void *user)
{
  HolderSearch *search = user;

  search->found = NULL;
  for (size_t i = 0; i < cluster->n_instances && !search->found; i++)
    {
      PtProgram *instance = &cluster->instances[i];
      if (instance == search->but || instance->process.ended)
        continue;
      struct json_object *status = status_of (instance);
      struct json_object *leases = json_object_object_get (status, "leases");
      struct json_object *lease = leases && json_object_array_length (leases) > 0
                                      ? json_object_array_get_idx (leases, 0)
                                      : NULL;
      if (lease && json_object_get_boolean (json_object_object_get (lease, "held_here")))
        {
          search->found = instance;
          search->fence = si_json_int (lease, "fence", 0);
        }
      json_object_put (status);
    }
  return search->found != NULL;
}

static bool
all_engines_have (PtCluster *cluster, void *user)
{
  const int64_t *version = user;

  for (size_t i = 0; i < cluster->n_endpoints; i++)
    {
      struct json_object *load
          = si_client_call_json (&cluster->client, cluster->endpoints[i].address, "/load", NULL);
      int64_t stated = load ? si_json_int (load, "weight_version", 0) : 0;
      json_object_put (load);
      if (stated != *version)
        return false;
    }
  return true;
}

static bool
some_engine_loads (PtCluster *cluster, void *user)
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
publish_weights (int64_t version)
{
  char order[96];

  snprintf (order, sizeof order, "{\"weights\": {\"pool\": \"reader\", \"version\": %lld}}",
            (long long)version);
  json_object_put (
      si_client_call_json (&test_cluster.client, test_cluster.platform.address, "/control", order));
}

/* Three instances and four engines at version 40, one of which takes any order; the holder of the
 * lease is found. */
static PtProgram *
start_pool (HolderSearch *search)
{
  static const char *const checking[] = { "--version", "40", "--load-ms", "300", NULL };
  static const char *const careless[]
      = { "--version", "40", "--load-ms", "300", "--not-checking-fence", NULL };

  start_instances (3);
  pt_start_engine (&test_cluster, "engine-1", checking);
  pt_start_engine (&test_cluster, "engine-2", checking);
  pt_start_engine (&test_cluster, "engine-3", checking);
  pt_start_engine (&test_cluster, "engine-4", careless);
  pt_apply_resources (&test_cluster, &test_cluster.instances[0]);
  *search = (HolderSearch){ .but = NULL };
  pt_wait (&test_cluster, "an instance holds the lease", find_holder, search);
  return search->found;
}

/* The holder of the lease is paused in the middle of the roll-out of 41, past its lease. Another
 * one takes over and brings all engines to 42. The first wakes and goes on where it was: it would
 * order 41 to engines that have 42, and the one that takes any order would go back. */
Test (config, paused_lease_holder)
{
  HolderSearch search;
  int64_t version = 42;

  PtProgram *paused = start_pool (&search);
  int64_t fence = search.fence;
  publish_weights (41);
  pt_wait (&test_cluster, "an engine loads", some_engine_loads, NULL);
  int64_t orders = metric_of (paused, "lentilspindle_weight_orders_total ");
  pt_process_signal (&paused->process, SIGSTOP);
  publish_weights (version);
  search.but = paused;
  pt_wait (&test_cluster, "another holds the lease", find_holder, &search);
  cr_assert_gt (search.fence, fence);
  pt_wait (&test_cluster, "all engines have 42", all_engines_have, &version);

  pt_process_signal (&paused->process, SIGCONT);
  pt_wait_ready (&test_cluster, paused);
  si_client_pause (&test_cluster.client, LB_SEC);
  cr_assert_eq (metric_of (paused, "lentilspindle_weight_orders_total "), orders);
  cr_assert (all_engines_have (&test_cluster, &version));
}

/* The holder is killed while an engine loads. The roll-out must go on from what the engines state,
 * or half of them would keep the old version until an operator comes. */
Test (config, holder_killed_mid_roll_out)
{
  HolderSearch search;
  int64_t version = 41;

  PtProgram *holder = start_pool (&search);
  publish_weights (version);
  pt_wait (&test_cluster, "an engine loads", some_engine_loads, NULL);
  pt_process_clear (&holder->process);
  holder->process.ended = true;
  pt_wait (&test_cluster, "all engines have 41", all_engines_have, &version);
}

/* A load fails on one engine; later the operator finds the version bad and rolls back, as a new
 * revision. No engine may be left without weights or with the bad ones. */
Test (config, failed_load_and_roll_back)
{
  HolderSearch search;
  int64_t version = 41;
  LbName error;

  start_pool (&search);
  pt_inject_fault (&test_cluster, &test_cluster.endpoints[1],
                   "{\"mode\": \"fail_swap\", \"count\": 1}");
  publish_weights (version);
  pt_wait (&test_cluster, "all engines have 41", all_engines_have, &version);

  version = 40;
  cr_assert_eq (change (&test_cluster.instances[1],
                        "{\"apply\": [{\"kind\": \"pool\", \"name\": \"reader\", "
                        "\"weight_version\": 40}]}",
                        "\"1\"", error),
                200, "%s", error);
  pt_wait (&test_cluster, "all engines have 40", all_engines_have, &version);
}

/* The holder drains: another instance holds the lease long before it would lapse. */
Test (config, lease_is_handed_over_at_drain)
{
  HolderSearch search;

  PtProgram *holder = start_pool (&search);
  int64_t fence = search.fence;
  pt_process_signal (&holder->process, SIGTERM);
  pt_wait_exit (&test_cluster, &holder->process, 0);
  search.but = holder;
  pt_wait (&test_cluster, "another holds the lease", find_holder, &search);
  cr_assert_eq (search.fence, fence + 1);
}

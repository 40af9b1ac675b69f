#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

Test (shared, call_and_batch_complete_at_a_single_instance)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  size_t instance = ps_start_instance (&cluster);
  ps_call_and_wait (&cluster, instance, "POST", "/lookup/1?q=2", "c1", "hello");
  cr_assert_eq (cluster.response_status, 200);
  cr_assert_str_eq (cluster.response_body, "answer to c1");
  cr_assert_str_eq (cluster.server_stamp, "stamp-c1");
  ps_call_and_wait (&cluster, instance, "GET", "/nowhere/", "c2", "");
  cr_assert_eq (cluster.response_status, 404);
  ps_submit_batch (&cluster, instance, "b1", 12);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, instance, "b1") == 12);
  ps_assert_each_item_has_one_result (&cluster, instance, "b1", 12);
  ps_call_and_wait (&cluster, instance, "GET", "/-/items/b1?id=item3", "", "");
  cr_assert_eq (cluster.response_status, 200);
  cr_assert_str_eq (cluster.response_body, "ABC");
  ps_call_and_wait (&cluster, instance, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.response_status, 200);
  ps_call_and_wait (&cluster, instance, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.response_status, 200,
                "expected status 200 for the second DELETE of a batch");
  ps_call_and_wait (&cluster, instance, "GET", "/-/lots/unknown?after=0", "", "");
  cr_assert_eq (cluster.response_status, 404);
  ps_call_and_wait (&cluster, instance, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert (strstr (cluster.response_body, cluster.instances[instance].address));
  ps_cluster_clear (&cluster);
}

/* A new weight version is published. Each engine must accept exactly one order to load it, and a
 * sample generated after that must report the version. */
Test (shared, published_weights_reach_every_engine)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  size_t instance = ps_start_instance (&cluster);
  si_row_store_put (&cluster.store, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  PS_WAIT_UNTIL (&cluster, cluster.engines[0].version == 2 && cluster.engines[1].version == 2
                               && cluster.engines[2].version == 2);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cr_assert_eq (cluster.engines[i].accepted_orders, 1);
  ps_submit_batch (&cluster, instance, "b1", 1);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, instance, "b1") == 1);
  struct json_object *page = ps_read_first_results_page (&cluster, instance, "b1");
  struct json_object *result = json_object_array_get_idx (lb_json_member (page, "results"), 0);
  cr_assert_str_eq (json_object_to_json_string_ext (lb_json_member (result, "versions"),
                                                    JSON_C_TO_STRING_PLAIN),
                    "[2]");
  json_object_put (page);
  ps_cluster_clear (&cluster);
}

/* An engine counts the orders to load weights that it accepts, and restarts with the same id and
 * a count of zero between two weight versions. An order numbered by the count before the restart
 * would be rejected: the engine would keep its old weights, and its samples would be discarded
 * as stale. */
Test (shared, restarted_engine_accepts_the_next_weights)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  for (int version = 2; version <= 6; version++)
    {
      char row[64];
      snprintf (row, sizeof row, "{\"model\": \"m\", \"version\": %d}", version);
      si_row_store_put (&cluster.store, "op", "", "version/m", row);
      PS_WAIT_UNTIL (&cluster, cluster.engines[0].version == version
                                   && cluster.engines[1].version == version
                                   && cluster.engines[2].version == version);
      si_endpoint_restart (&cluster.engines[version % PS_N_ENGINES]);
    }
  cr_assert_eq (cluster.engines[0].misdirected_requests, 0);
  ps_cluster_clear (&cluster);
}

static double
read_endpoint_list_call_count (PsCluster *cluster, size_t instance)
{
  return ps_read_metric (cluster, instance,
                         "lentilspindle_store_table_calls_total{table=\"servers\"}");
}

static double
read_catalog_update_count (PsCluster *cluster, size_t instance)
{
  return ps_read_metric (cluster, instance, "lentilspindle_catalog_beliefs_total");
}

static void
put_endpoint_row (PsCluster *cluster, int index, const char *state)
{
  char key[16];
  char *text = lb_asprintf ("{\"service\": \"others\", \"address\": \"127.0.0.1:%d\", \"zone\": "
                            "\"hall-a\", \"version\": \"v1\", \"slots\": 8, \"state\": \"%s\","
                            " \"coldLeftMs\": 0, \"seq\": 1}",
                            20000 + index, state);

  snprintf (key, sizeof key, "i-other-%02d", index);
  si_row_store_put (&cluster->store, "servers", "", key, text);
  free (text);
}

/* Returns whether the instance gets three endpoint lists that another instance publishes (the
 * catalog) while it sends no list call for endpoints to the store. */
static bool
gets_endpoints_from_catalog_only (PsCluster *cluster, size_t instance)
{
  double list_calls_before = read_endpoint_list_call_count (cluster, instance);
  double updates_before = read_catalog_update_count (cluster, instance);

  PS_WAIT_UNTIL (cluster,
                 read_catalog_update_count (cluster, instance) >= updates_before + 3
                     || read_endpoint_list_call_count (cluster, instance) > list_calls_before);
  return read_endpoint_list_call_count (cluster, instance) <= list_calls_before;
}

/* Returns whether any instance gets its endpoint lists only from the catalog, the list that one
 * instance publishes for all. The instance that sends weight orders does not, because it lists the
 * endpoints itself. */
static bool
is_any_instance_using_catalog_only (PsCluster *cluster)
{
  bool is_found = false;

  for (size_t i = 0; i < cluster->n_instances; i++)
    is_found |= gets_endpoints_from_catalog_only (cluster, i);
  return is_found;
}

/* Returns the index of the instance that publishes the catalog (the endpoint list for all
 * instances); n_instances: none. Skips the instance `excluded`, which was killed. */
static size_t
find_catalog_publisher (PsCluster *cluster, size_t excluded)
{
  for (size_t i = 0; i < cluster->n_instances; i++)
    if (i != excluded && ps_read_metric (cluster, i, "lentilspindle_catalog_writes_total") > 0)
      return i;
  return cluster->n_instances;
}

/* Sends a call to each instance and returns whether any instance but the publisher has logged a
 * dispatch decision based on the publisher's endpoint list (log field "lister"). One such instance
 * is enough, because the instance that sends weight orders lists the endpoints itself. */
static bool
has_decision_from_published_list (PsCluster *cluster, size_t publisher)
{
  char *text = lb_asprintf ("\"lister\":\"%s\"", cluster->instances[publisher].name);
  int n_found = 0;

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      ps_call_and_wait (cluster, i, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (cluster->response_status, 200);
      if (i != publisher)
        n_found += ps_count_text_in_log (cluster, i, text);
    }
  free (text);
  return n_found > 0;
}

/* One of three instances, the publisher, lists 50 endpoints for all. The other two must notice
 * when an endpoint drains. After the publisher is killed, another instance must publish the
 * list. */
Test (shared, one_instance_lists_endpoints_for_all_instances)
{
  PsCluster cluster;
  size_t publisher;

  ps_cluster_init (&cluster);
  for (int i = 0; i < 50; i++)
    put_endpoint_row (&cluster, i, "ready");
  for (int i = 0; i < 3; i++)
    ps_start_instance (&cluster);
  PS_WAIT_UNTIL (&cluster,
                 (publisher = find_catalog_publisher (&cluster, 3)) < cluster.n_instances);
  PS_WAIT_UNTIL (&cluster, is_any_instance_using_catalog_only (&cluster));
  PS_WAIT_UNTIL (&cluster, has_decision_from_published_list (&cluster, publisher));
  put_endpoint_row (&cluster, 7, "draining");
  for (size_t i = 0; i < 3; i++)
    PS_WAIT_UNTIL (&cluster, ps_count_text_in_log (&cluster, i, "endpoint_lists_leaving") == 1);
  pt_process_signal (&cluster.instances[publisher].process, SIGKILL);
  PS_WAIT_UNTIL (&cluster, find_catalog_publisher (&cluster, publisher) < cluster.n_instances);
  put_endpoint_row (&cluster, 8, "draining");
  for (size_t i = 0; i < 3; i++)
    if (i != publisher)
      PS_WAIT_UNTIL (&cluster, ps_count_text_in_log (&cluster, i, "endpoint_lists_leaving") == 2);
  ps_cluster_clear (&cluster);
}

/* The endpoints' table contains a row of an unknown service and two invalid rows. They must not
 * affect calls or get weight orders, and each must be logged once. */
Test (shared, unknown_and_invalid_endpoint_rows_are_ignored)
{
  static const char stray_row[]
      = "{\"service\": \"strangers\", \"address\": \"127.0.0.1:1\", \"zone\": \"hall-a\","
        " \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"coldLeftMs\": 0, \"seq\": 1,"
        " \"models\": [{\"name\": \"m\", \"version\": 1}]}";
  LbTime wait_end;
  PsCluster cluster;

  ps_cluster_init (&cluster);
  si_row_store_put (&cluster.store, "servers", "", "i-stray", stray_row);
  si_row_store_put (&cluster.store, "servers", "", "i-half",
                    "{\"service\": \"lookups\", \"slots\": \"many\"}");
  si_row_store_put (&cluster.store, "servers", "", "i-bytes", "\x01\x02");
  size_t instance = ps_start_instance (&cluster);
  si_row_store_put (&cluster.store, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  PS_WAIT_UNTIL (&cluster, cluster.engines[0].version == 2 && cluster.engines[1].version == 2
                               && cluster.engines[2].version == 2);
  for (int i = 0; i < 10; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "c%d", i);
      ps_call_and_wait (&cluster, instance, "GET", "/lookup/x", id, "");
      cr_assert_eq (cluster.response_status, 200);
    }
  wait_end = lb_clock_monotonic () + 2 * LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () > wait_end);
  cr_assert_eq (ps_count_text_in_log (&cluster, instance, "endpoint_unreadable"), 3);
  cr_assert_eq (ps_count_text_in_log (&cluster, instance, "weights_order\",\"endpoint\":\"i-stray"),
                0);
  ps_cluster_clear (&cluster);
}

/* An instance starts while the store is slow, and has the routes but not the endpoints yet. It must
 * respond with 503 and a retry time: callers do not retry after a 404. */
Test (shared, route_with_unknown_endpoints_is_unavailable_not_missing)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  cluster.store.unavailable_table = "servers";
  ps_spawn_instance (&cluster);
  LbTime end = lb_clock_monotonic () + LB_SEC;
  while (lb_clock_monotonic () < end)
    {
      ps_call_and_wait (&cluster, 1, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (cluster.response_status, 503, "expected status 503, got body: %s",
                    cluster.response_body);
      cr_assert_neq (cluster.retry_after[0], '\0');
    }
  cluster.store.unavailable_table = NULL;
  PS_WAIT_UNTIL (&cluster, ps_is_instance_ready (&cluster, 1));
  ps_call_and_wait (&cluster, 1, "POST", "/lookup/1", "c2", "hello");
  cr_assert_eq (cluster.response_status, 200);
  ps_cluster_clear (&cluster);
}

/* The desired state allows request bodies of 12 MiB. An instance must accept a body of 9 MiB,
 * although the limit in its own settings is 8 MiB. */
Test (shared, body_limit_comes_from_the_desired_state)
{
  PsCluster cluster;
  size_t length = (size_t)9 << 20;
  char *body = lb_malloc (length + 1);

  memset (body, 'x', length);
  body[length] = '\0';
  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_call_and_wait (&cluster, 0, "GET", "/lookup/1", "c1", body);
  cr_assert_eq (cluster.response_status, 200, "expected status 200, got %d: %s",
                cluster.response_status, cluster.response_body);
  free (body);
  ps_cluster_clear (&cluster);
}

/* A service has its own path /metrics. Calls to that path must reach the service: if the instance
 * handles the path before its routes, callers get the metrics of the instance instead. */
Test (shared, metrics_are_served_on_their_own_address)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_put_desired_state (
      &cluster, 1,
      ", {\"name\": \"counts\", \"host\": \"h.example\", \"prefix\": \"/metrics\","
      " \"kind\": \"safe\", \"timeoutMs\": 20000, \"service\": \"lookups\","
      " \"attempts\": 3}");
  ps_start_instance (&cluster);
  ps_call_and_wait (&cluster, 0, "GET", "/metrics", "c1", "");
  cr_assert_eq (cluster.response_status, 200);
  cr_assert_null (strstr (cluster.response_body, "lentilspindle_requests_total"),
                  "expected the service's response, got: %s", cluster.response_body);
  cr_assert_eq (cluster.lookup.n_calls, 1);
  ps_fetch_metrics (&cluster, 0);
  cr_assert_eq (cluster.response_status, 200);
  cr_assert (strstr (cluster.response_body, "lentilspindle_requests_total"));
  cr_assert (strstr (cluster.response_body, "lentilspindle_request_seconds_bucket"));
  ps_cluster_clear (&cluster);
}

/* The instance that runs a batch is killed, and the trainer reads on at the other instance. Each
 * sample must be listed exactly once, and each result that was already listed must keep its
 * position. */
Test (shared, batch_survives_its_killed_owner)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 40 * LB_MSEC;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 40);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") >= 5);
  struct json_object *page_before = ps_read_first_results_page (&cluster, 1, "b1");
  /* The row of the batch must be in one of the 16 partitions of table "head". */
  const char *batch_row = NULL;
  for (int part = 0; part < 16 && !batch_row; part++)
    {
      char name[8];
      snprintf (name, sizeof name, "%02x", part);
      batch_row = si_row_store_get_value (&cluster.store, "head", name, "b1");
    }
  cr_assert (batch_row);
  size_t survivor = 0;
  for (size_t i = 0; i < 2; i++)
    {
      ps_fetch_metrics (&cluster, i);
      if (strstr (cluster.response_body, "lentilspindle_batches_owned 1"))
        survivor = 1 - i;
    }
  pt_process_signal (&cluster.instances[1 - survivor].process, SIGKILL);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, survivor, "b1") == 40);
  ps_assert_each_item_has_one_result (&cluster, survivor, "b1", 40);
  struct json_object *page_after = ps_read_first_results_page (&cluster, survivor, "b1");
  struct json_object *results_before = lb_json_member (page_before, "results");
  for (size_t i = 0; i < json_object_array_length (results_before); i++)
    cr_assert_str_eq (json_object_to_json_string (json_object_array_get_idx (results_before, i)),
                      json_object_to_json_string (
                          json_object_array_get_idx (lb_json_member (page_after, "results"), i)));
  json_object_put (page_before);
  json_object_put (page_after);
  ps_cluster_clear (&cluster);
}

/* A trainer sends the same batch to two instances at once. The batch must be accepted once, with
 * one row in the store, and each item must run once. */
Test (shared, same_batch_at_two_instances_is_accepted_once)
{
  PsCluster cluster;
  char *body = ps_make_batch_json (6);

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  int responses_before = cluster.n_responses;
  ps_start_call (&cluster, 0, "POST", "/steps/1", "b1", body);
  ps_start_call (&cluster, 1, "POST", "/steps/1", "b1", body);
  PS_WAIT_UNTIL (&cluster, cluster.n_responses == responses_before + 2);
  cr_assert_eq (cluster.response_status, 202);
  cr_assert_eq (si_row_store_count_rows (&cluster.store, "head"), 1);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 6);
  ps_assert_each_item_has_one_result (&cluster, 1, "b1", 6);
  cr_assert_eq (ps_count_started_sample_streams (&cluster), 6);
  free (body);
  ps_cluster_clear (&cluster);
}

/* An instance accepts a batch and offers it to a peer, which takes it. The instance learns this
 * late, because its watch on the store is delayed, and must not start a second run: the engines
 * would generate each sample twice, and the results of the second run cannot be listed. */
Test (shared, batch_taken_by_another_instance_is_run_once)
{
  PsCluster cluster;
  size_t owner;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 100 * LB_MSEC;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 4);
  PS_WAIT_UNTIL (&cluster, (owner = ps_find_batch_owner (&cluster)) < 2);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 4);
  cluster.store.delayed_server = ps_get_store_server (&cluster, 1 - owner);
  /* Waits until the watches that started before the delay was set have ended. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () >= end);
  size_t runs_before = ps_count_started_sample_streams (&cluster);
  ps_submit_batch (&cluster, 1 - owner, "b2", 6);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, owner, "b2") == 6);
  cr_assert_eq (ps_count_started_sample_streams (&cluster) - runs_before, 6);
  ps_cluster_clear (&cluster);
}

/* An instance offers a batch to a peer, which gets the offer two seconds late because its watch is
 * delayed. The instance already runs the batch itself, so the peer must ignore the offer. Otherwise
 * the samples in progress are generated a second time, on engines that other batches wait for. */
Test (shared, late_batch_offer_is_ignored)
{
  PsCluster cluster;
  size_t preferred;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 150 * LB_MSEC;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 2);
  PS_WAIT_UNTIL (&cluster, (preferred = ps_find_batch_owner (&cluster)) < 2);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 2);
  cluster.store.delayed_server = ps_get_store_server (&cluster, preferred);
  /* Waits until the watches that started before the delay was set have ended. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () >= end);
  size_t runs_before = ps_count_started_sample_streams (&cluster);
  ps_submit_batch (&cluster, 1 - preferred, "b2", 6);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 1 - preferred, "b2") == 6);
  ps_assert_each_item_has_one_result (&cluster, 1 - preferred, "b2", 6);
  cr_assert_eq (ps_count_started_sample_streams (&cluster) - runs_before, 6);
  ps_cluster_clear (&cluster);
}

/* A store partition accepts 200 writes a second, and partition "" has the heartbeats of all
 * endpoints. If 84 instances write renewals, lease and plan to it too, renewals fail, and one
 * instance after the other is declared dead with its batches. Instances must write no row to
 * partition "". */
Test (shared, instances_do_not_write_to_the_endpoints_partition)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  /* One row of each instance and the duty row of the instance that has the lease. */
  PS_WAIT_UNTIL (&cluster, si_row_store_count_rows (&cluster.store, "instance") >= 3);
  PS_WAIT_UNTIL (&cluster, si_row_store_count_rows (&cluster.store, "lease") >= 1);
  cr_assert_eq (si_row_store_count_rows_in_partition (&cluster.store, "instance", ""), 0);
  cr_assert_eq (si_row_store_count_rows_in_partition (&cluster.store, "lease", ""), 0);
  ps_cluster_clear (&cluster);
}

/* No row in the store expires. If the rows of ended batches stay, the store is full after some
 * hours, and every new batch is rejected. The rows and objects of an ended batch must be removed;
 * those of an open batch must stay. */
Test (shared, rows_of_an_ended_batch_are_removed)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 6);
  ps_submit_batch (&cluster, 1, "b2", 3);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 6);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b2") == 3);
  ps_call_and_wait (&cluster, 1, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.response_status, 200);
  PS_WAIT_UNTIL (&cluster, si_row_store_count_rows (&cluster.store, "head") == 1);
  cr_assert_eq (si_row_store_count_rows (&cluster.store, "result"), 3);
  cr_assert_eq (si_row_store_count_objects (&cluster.store), 1);
  PS_WAIT_UNTIL (&cluster, (ps_call_and_wait (&cluster, 0, "GET", "/-/lots/b1", "", ""),
                            cluster.response_status == 404));
  PS_WAIT_UNTIL (&cluster, (ps_call_and_wait (&cluster, 1, "GET", "/-/lots/b1", "", ""),
                            cluster.response_status == 404));
  ps_assert_each_item_has_one_result (&cluster, 0, "b2", 3);
  ps_cluster_clear (&cluster);
}

/* Returns whether the results of batch b1 include one at this position. If so, asserts that the
 * result is completed and that its text is longer than `length`. */
static bool
is_result_listed_and_longer_than (PsCluster *cluster, size_t instance, int position, size_t length)
{
  char path[64];

  snprintf (path, sizeof path, "/-/lots/b1?after=%d", position);
  ps_call_and_wait (cluster, instance, "GET", path, "", "");
  struct json_object *page = json_tokener_parse (cluster->response_body);
  struct json_object *results = lb_json_member (page, "results");
  bool is_listed
      = json_object_is_type (results, json_type_array) && json_object_array_length (results) > 0;
  if (is_listed)
    {
      struct json_object *result = json_object_array_get_idx (results, 0);
      cr_assert_str_eq (lb_json_text (result, "state", ""), "completed");
      cr_assert_gt (strlen (lb_json_text (result, "text", "")), length);
      cr_assert_eq (lb_json_int (page, "next", 0), position + 1);
    }
  json_object_put (page);
  return is_listed;
}

/* A store row holds at most 64 KiB. If the result of a 120 KB sample is written as one row, the
 * store rejects it at every retry, all later results wait, and the trainer never gets its step. */
Test (shared, sample_longer_than_a_row_is_listed)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_padding_size = 40000;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 4);
  for (int i = 0; i < 4; i++)
    PS_WAIT_UNTIL (&cluster,
                   is_result_listed_and_longer_than (&cluster, (size_t)i % 2, i,
                                                     (size_t)cluster.engines[0].n_events * 40000));
  ps_call_and_wait (&cluster, 0, "DELETE", "/-/lots/b1", "", "");
  PS_WAIT_UNTIL (&cluster, si_row_store_count_rows (&cluster.store, "head") == 0);
  cr_assert_eq (si_row_store_count_rows (&cluster.store, "result")
                    + si_row_store_count_rows (&cluster.store, "more"),
                0);
  ps_cluster_clear (&cluster);
}

/* The store writes the row of a batch, but its response is lost. The batch will run, so it must not
 * be reported as rejected: the instance must retry the write and find the row. */
Test (shared, lost_store_response_is_not_a_rejection)
{
  PsCluster cluster;
  char *body = ps_make_batch_json (3);

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  int responses_before = cluster.n_responses;
  cluster.store.mode = SI_ROW_STORE_LOSES_REPLY;
  ps_start_call (&cluster, 0, "POST", "/steps/1", "b1", body);
  PS_WAIT_UNTIL (&cluster, si_row_store_count_rows (&cluster.store, "head") == 1);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&cluster, cluster.n_responses > responses_before);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 3);
  ps_assert_each_item_has_one_result (&cluster, 0, "b1", 3);
  free (body);
  ps_cluster_clear (&cluster);
}

/* The response to the write of a batch's row is lost, and the write is retried through another
 * instance. A watch of the store delivers the row before the retry is answered. The instance
 * must check the row again after that answer; otherwise the batch is accepted, but none of its
 * items starts. */
Test (shared, batch_runs_if_its_row_is_seen_before_the_write_response)
{
  PsCluster cluster;
  size_t owner;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 2);
  PS_WAIT_UNTIL (&cluster, (owner = ps_find_batch_owner (&cluster)) < 2);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 2);
  /* Gives the instances time to discover each other. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () >= end);
  cluster.instances[1 - owner].store_relay.fault = (PtRelayFault){ .delay = 150 * LB_MSEC };
  cluster.store.lost_replies = 1;
  ps_submit_batch (&cluster, owner, "b2", 3);
  cr_assert_eq (cluster.response_status, 202);
  cluster.instances[1 - owner].store_relay.fault = (PtRelayFault){ 0 };
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, owner, "b2") == 3);
  ps_assert_each_item_has_one_result (&cluster, owner, "b2", 3);
  ps_cluster_clear (&cluster);
}

/* The store writes the row of a batch, loses the response, and then rejects all calls. The instance
 * must answer with 502. If it reported the batch as not run, the trainer would submit the step
 * again, and both batches would run once the store is back. */
Test (shared, batch_with_a_possibly_stored_row_is_not_reported_as_not_run)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  cluster.store.lost_replies = 1;
  cluster.store.unavailable_after_lost_replies = true;
  ps_submit_batch (&cluster, 0, "b1", 3);
  cr_assert_eq (cluster.response_status, 502);
  cr_assert_eq (si_row_store_count_rows (&cluster.store, "head"), 1);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 3);
  ps_assert_each_item_has_one_result (&cluster, 0, "b1", 3);
  ps_cluster_clear (&cluster);
}

/* During a store outage batches must be rejected at once with 503 and a retry time. Calls to plain
 * services must be served. */
Test (shared, store_outage_rejects_batches_and_serves_calls)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  ps_submit_batch (&cluster, 0, "b1", 3);
  cr_assert_eq (cluster.response_status, 503);
  cr_assert_neq (cluster.retry_after[0], '\0');
  ps_call_and_wait (&cluster, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (cluster.response_status, 200);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&cluster,
                 (ps_submit_batch (&cluster, 0, "b1", 3), cluster.response_status == 202));
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 3);
  ps_cluster_clear (&cluster);
}

/* The store returns an older desired state, as in a delayed response, and then an invalid one. The
 * instance must ignore both and keep the newer routes. */
Test (shared, older_desired_state_is_ignored)
{
  static const char added_route[]
      = ", {\"name\": \"new\", \"host\": \"h.example\", \"prefix\": \"/new/\","
        " \"kind\": \"safe\", \"service\": \"lookups\", \"attempts\": 2}";
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_put_desired_state (&cluster, 5, added_route);
  PS_WAIT_UNTIL (&cluster, (ps_call_and_wait (&cluster, 0, "GET", "/new/x", "c1", ""),
                            cluster.response_status == 200));
  ps_put_desired_state (&cluster, 4, "");
  for (int i = 0; i < 20; i++)
    {
      ps_call_and_wait (&cluster, 0, "GET", "/new/x", "c2", "");
      cr_assert_eq (cluster.response_status, 200);
      usleep (50000);
    }
  si_row_store_put (&cluster.store, "op", "", "config", "{\"version\": 9, \"routes\": \"none\"}");
  for (int i = 0; i < 20; i++)
    {
      ps_call_and_wait (&cluster, 0, "GET", "/new/x", "c3", "");
      cr_assert_eq (cluster.response_status, 200,
                    "expected status 200 after an invalid desired state");
      usleep (50000);
    }
  ps_cluster_clear (&cluster);
}

/* An instance gets SIGTERM while it runs a batch. It must report that it is not ready, hand the
 * batch and the results that it has to the other instance, serve callers that still use its
 * address, and exit with 0. */
Test (shared, stopped_instance_hands_its_batch_over_and_serves_calls)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_two_instances_with_batch (&cluster);
  pt_process_signal (&cluster.instances[0].process, SIGTERM);
  PS_WAIT_UNTIL (&cluster, !ps_is_instance_ready (&cluster, 0));
  ps_call_and_wait (&cluster, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (cluster.response_status, 200);
  PS_WAIT_UNTIL (&cluster, pt_process_has_exited (&cluster.instances[0].process, 0));
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 1, "b1") == 30);
  ps_assert_each_item_has_one_result (&cluster, 1, "b1", 30);
  ps_call_and_wait (&cluster, 1, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert_null (strstr (cluster.response_body, cluster.instances[0].address));
  ps_cluster_clear (&cluster);
}

/* SIGHUP reloads the settings file. The reload must not interrupt calls or batches, and an invalid
 * file must be ignored. */
Test (shared, settings_reload_interrupts_no_call_or_batch)
{
  PsCluster cluster;
  char path[128];

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 10);
  pt_process_signal (&cluster.instances[0].process, SIGHUP);
  ps_call_and_wait (&cluster, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (cluster.response_status, 200);
  snprintf (path, sizeof path, "%s/%s.json", cluster.folder, cluster.instances[0].name);
  FILE *out = fopen (path, "w");
  fputs ("{ nonsense", out);
  fclose (out);
  pt_process_signal (&cluster.instances[0].process, SIGHUP);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 10);
  cr_assert_not (cluster.instances[0].process.ended);
  ps_cluster_clear (&cluster);
}

/* The trainer deletes a batch while its items run. The engines must stop working on them within
 * about a second, and no item may start again. */
Test (shared, deleted_batch_is_cancelled_at_the_engines)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      cluster.engines[i].n_events = 1000;
      cluster.engines[i].event_interval = 50 * LB_MSEC;
    }
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 6);
  PS_WAIT_UNTIL (&cluster, ps_count_started_sample_streams (&cluster) >= 6);
  ps_call_and_wait (&cluster, 0, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.response_status, 200);
  PS_WAIT_UNTIL (&cluster, cluster.engines[0].cancelled_streams
                                   + cluster.engines[1].cancelled_streams
                                   + cluster.engines[2].cancelled_streams
                               == 6);
  size_t runs = ps_count_started_sample_streams (&cluster);
  for (int i = 0; i < 100; i++)
    ps_run_event_loop_once (&cluster);
  cr_assert_eq (ps_count_started_sample_streams (&cluster), runs);
  ps_cluster_clear (&cluster);
}

/* An engine announces that it drains. Two seconds later it must get no items of a new batch. Items
 * that it already runs must complete. */
Test (shared, leaving_engine_gets_no_new_work)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b1", 9);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 9);
  cluster.engines[0].draining = true;
  si_endpoint_register (&cluster.engines[0]);
  LbTime end = lb_clock_monotonic () + 2 * LB_SEC;
  while (lb_clock_monotonic () < end)
    ps_run_event_loop_once (&cluster);
  size_t runs = cluster.engines[0].n_stream_records;
  ps_submit_batch (&cluster, 0, "b2", 12);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b2") == 12);
  cr_assert_eq (cluster.engines[0].n_stream_records, runs);
  ps_cluster_clear (&cluster);
}

/* The row of a removed instance stays in the store. A newly started instance must not list the
 * removed instance to callers; otherwise it does so until three renewals are missed. */
Test (shared, started_instance_does_not_list_a_removed_machine)
{
  static const char gone_row[]
      = "{\"name\": \"gone\", \"incarnation\": \"1\", \"data_centre\": \"hall-a\","
        " \"callers\": \"127.0.0.9:9\", \"peers\": \"\", \"ready\": true, \"renewed_ms\": 1,"
        " \"renewals\": 7, \"period_ms\": 20000}";
  PsCluster cluster;

  ps_cluster_init (&cluster);
  si_row_store_put (&cluster.store, "instance", "0", "gone", gone_row);
  size_t instance = ps_start_instance (&cluster);
  PS_WAIT_UNTIL (&cluster, ps_count_text_in_log (&cluster, instance, "instances_listed") > 0);
  for (int i = 0; i < 50; i++)
    {
      ps_call_and_wait (&cluster, instance, "GET", "/-/resolve?name=h.example", "", "");
      cr_assert (strstr (cluster.response_body, cluster.instances[instance].address));
      cr_assert_not (strstr (cluster.response_body, "127.0.0.9:9"),
                     "the address of a removed instance is listed");
    }
  ps_cluster_clear (&cluster);
}

/* An endpoint that reports an invalid load must still serve, and must not fill the log. */
Test (shared, invalid_load_is_counted_and_logged_once)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  size_t instance = ps_start_instance (&cluster);
  cluster.lookup.load_header = "many,0,8,0";
  for (int i = 0; i < 3; i++)
    {
      ps_call_and_wait (&cluster, instance, "POST", "/lookup/1?q=2", "c1", "hello");
      cr_assert_eq (cluster.response_status, 200);
    }
  cr_assert_eq (ps_read_metric (&cluster, instance, "lentilspindle_invalid_load_figures_total"), 6,
                "expected two invalid figures in each of 3 replies");
  PS_WAIT_UNTIL (&cluster, ps_count_text_in_log (&cluster, instance, "endpoint_load_invalid") > 0);
  for (int i = 0; i < 100; i++)
    ps_run_event_loop_once (&cluster);
  cr_assert_eq (ps_count_text_in_log (&cluster, instance, "endpoint_load_invalid"), 1);
  ps_cluster_clear (&cluster);
}

/* An engine sees only a few texts of a step, after which its lasting pace must be known: the next
 * step's texts would otherwise be placed as if all engines were equally fast. */
Test (shared, lasting_pace_is_known_after_a_few_texts)
{
  PsCluster cluster;
  double lowest = 0;
  double highest = 0;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      cluster.engines[i].n_events = 100;
      cluster.engines[i].event_interval = i == 0 ? 60 * LB_MSEC : 20 * LB_MSEC;
      cluster.engines[i].reports_work_time = true;
    }
  size_t instance = ps_start_instance (&cluster);
  ps_submit_batch (&cluster, instance, "b1", 12);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, instance, "b1") == 12);
  cr_assert_eq (ps_read_metric (&cluster, instance, "lentilspindle_engines_with_known_pace"), 3);
  lowest = ps_read_metric (&cluster, instance,
                           "lentilspindle_engine_token_microseconds{value=\"lowest\"}");
  highest = ps_read_metric (&cluster, instance,
                            "lentilspindle_engine_token_microseconds{value=\"highest\"}");
  cr_assert_gt (lowest, 15000);
  cr_assert_gt (highest, 2 * lowest, "lowest %.0f, highest %.0f", lowest, highest);
}

#define TRAINER_PERIOD (2 * LB_SEC)

static void
wait_until_time (PsCluster *cluster, LbTime at)
{
  while (lb_clock_monotonic () < at)
    ps_run_event_loop_once (cluster);
}

static double
read_trainer_lag_ms (PsCluster *cluster, size_t instance)
{
  return ps_read_metric (cluster, instance, "lentilspindle_trainer_lag_ms{model=\"m\"}");
}

/* Ends the step by deleting its batch, "b" followed by the number. */
static void
end_step (PsCluster *cluster, size_t instance, int step)
{
  char path[24];

  snprintf (path, sizeof path, "/-/lots/b%d", step);
  ps_call_and_wait (cluster, instance, "DELETE", path, "", "");
}

static size_t
start_instance_that_keeps_ended_batches (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  cluster->keep_ended_s = 60;
  return ps_start_instance (cluster);
}

/* Waits until the trainer's lag is min_ms or more, restarts the instance, and waits until it has
 * found such a lag again from the rows. */
static void
wait_for_lag_before_and_after_restart (PsCluster *cluster, size_t instance, double min_ms)
{
  PS_WAIT_UNTIL (cluster, read_trainer_lag_ms (cluster, instance) >= min_ms);
  ps_restart_instance (cluster, instance);
  PS_WAIT_UNTIL (cluster, read_trainer_lag_ms (cluster, instance) >= min_ms);
}

/* A trainer submits four batches on schedule, then one that stays open. The instance restarts and
 * must find the trainer's lag from the rows; if it counted the batches as submitted when it read
 * them, the trainer would seem to be on schedule, and engines would move to other models. */
Test (shared, restarted_instance_finds_a_trainers_lag)
{
  PsCluster cluster;
  char id[8];
  size_t instance = start_instance_that_keeps_ended_batches (&cluster);
  LbTime start = lb_clock_monotonic ();

  for (int i = 0; i < 5; i++)
    {
      wait_until_time (&cluster, start + i * TRAINER_PERIOD);
      snprintf (id, sizeof id, "b%d", i);
      ps_submit_batch (&cluster, instance, id, 2);
      wait_until_time (&cluster, start + i * TRAINER_PERIOD + LB_SEC);
      if (i < 4)
        end_step (&cluster, instance, i);
    }
  cr_assert_leq (read_trainer_lag_ms (&cluster, instance), 300);
  wait_for_lag_before_and_after_restart (&cluster, instance, 1000);
  ps_cluster_clear (&cluster);
}

static void
submit_numbered_step (PsCluster *cluster, size_t instance, int step)
{
  struct json_object *object;
  char *body = ps_make_batch_json (2);
  char id[8];

  object = json_tokener_parse (body);
  json_object_object_add (object, "step", json_object_new_int (step));
  snprintf (id, sizeof id, "b%d", step);
  ps_call_and_wait (cluster, instance, "POST", "/steps/1", id, json_object_to_json_string (object));
  json_object_put (object);
  free (body);
}

/* A trainer submits each step before the previous one has ended, and the last one a second late.
 * Its overlapping steps were taken for those of several trainers, so its lag was unknown. After a
 * restart, the numbers of the steps must be in the rows. */
Test (shared, lag_of_a_trainer_with_overlapping_steps_is_known)
{
  PsCluster cluster;
  size_t instance = start_instance_that_keeps_ended_batches (&cluster);
  LbTime start = lb_clock_monotonic ();

  for (int i = 0; i < 4; i++)
    {
      wait_until_time (&cluster, start + i * TRAINER_PERIOD);
      submit_numbered_step (&cluster, instance, i);
      if (i == 0)
        continue;
      wait_until_time (&cluster, start + i * TRAINER_PERIOD + LB_SEC);
      end_step (&cluster, instance, i - 1);
    }
  wait_until_time (&cluster, start + 4 * TRAINER_PERIOD - LB_SEC / 2);
  cr_assert_leq (read_trainer_lag_ms (&cluster, instance), 300);
  wait_until_time (&cluster, start + 4 * TRAINER_PERIOD + LB_SEC);
  end_step (&cluster, instance, 3);
  submit_numbered_step (&cluster, instance, 4);
  wait_for_lag_before_and_after_restart (&cluster, instance, 800);
  ps_cluster_clear (&cluster);
}

/* One item of a batch expects a weight version that no engine has, so each engine refuses it with
 * the status of a request that is meant for another endpoint. All other items must run, and those
 * of the next batch. */
Test (shared, an_item_with_a_refused_version_takes_no_engine_out_of_service)
{
  PsCluster cluster;
  char *batch = ps_make_batch_json (24);
  struct json_object *object = json_tokener_parse (batch);
  struct json_object *item = json_object_array_get_idx (lb_json_member (object, "requests"), 0);

  json_object_object_add (lb_json_member (item, "headers"), "Expect-Version",
                          json_object_new_string ("2"));
  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_call_and_wait (&cluster, 0, "POST", "/steps/1", "b1", json_object_to_json_string (object));
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 23);
  ps_submit_batch (&cluster, 0, "b2", 24);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b2") == 24);
  json_object_put (object);
  free (batch);
  ps_cluster_clear (&cluster);
}

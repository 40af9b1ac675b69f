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

Test (shared, a_step_and_a_call_go_the_whole_way)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  size_t a = ps_start_instance (&cluster);
  ps_call (&cluster, a, "POST", "/lookup/1?q=2", "c1", "hello");
  cr_assert_eq (cluster.status, 200);
  cr_assert_str_eq (cluster.body, "answer to c1");
  cr_assert_str_eq (cluster.server_stamp, "stamp-c1");
  ps_call (&cluster, a, "GET", "/nowhere/", "c2", "");
  cr_assert_eq (cluster.status, 404);
  ps_submit (&cluster, a, "b1", 12);
  cr_assert_eq (cluster.status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, a, "b1") == 12);
  ps_assert_all_listed (&cluster, a, "b1", 12);
  ps_call (&cluster, a, "GET", "/-/items/b1?id=item3", "", "");
  cr_assert_eq (cluster.status, 200);
  cr_assert_str_eq (cluster.body, "ABC");
  ps_call (&cluster, a, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.status, 200);
  ps_call (&cluster, a, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.status, 200, "ending it again changes nothing");
  ps_call (&cluster, a, "GET", "/-/lots/unknown?after=0", "", "");
  cr_assert_eq (cluster.status, 404);
  ps_call (&cluster, a, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert (strstr (cluster.body, cluster.instances[a].address));
  ps_cluster_clear (&cluster);
}

/* A trainer names new weights. Every engine is ordered to load them, each order once, and a sample
 * made afterwards names them. */
Test (shared, named_weights_reach_every_engine)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  size_t a = ps_start_instance (&cluster);
  si_row_store_put (&cluster.store, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  PS_WAIT_UNTIL (&cluster, cluster.engines[0].version == 2 && cluster.engines[1].version == 2
                               && cluster.engines[2].version == 2);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cr_assert_eq (cluster.engines[i].accepted_orders, 1);
  ps_submit (&cluster, a, "b1", 1);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, a, "b1") == 1);
  struct json_object *page = ps_read_results (&cluster, a, "b1");
  struct json_object *result = json_object_array_get_idx (lb_json_member (page, "results"), 0);
  cr_assert_str_eq (json_object_to_json_string_ext (lb_json_member (result, "versions"),
                                                    JSON_C_TO_STRING_PLAIN),
                    "[2]");
  json_object_put (page);
  ps_cluster_clear (&cluster);
}

/* An engine is killed and starts again under its id at once, between two of a trainer's versions.
 * Its count of orders is zero again. Were the count of its start before kept, it would refuse each
 * order for its count, keep its old weights, and the trainer's texts would be thrown away for their
 * age. */
Test (shared, an_engine_that_started_again_under_its_id_takes_the_next_weights)
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
  cr_assert_eq (cluster.engines[0].misdirected, 0);
  ps_cluster_clear (&cluster);
}

static double
lists_of_endpoints (PsCluster *cluster, size_t instance)
{
  return ps_read_metric (cluster, instance,
                         "lentilspindle_store_table_calls_total{table=\"servers\"}");
}

static double
beliefs (PsCluster *cluster, size_t instance)
{
  return ps_read_metric (cluster, instance, "lentilspindle_catalog_beliefs_total");
}

static void
put_other (PsCluster *cluster, int index, const char *state)
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

/* The instance lists no endpoints while it hears of three new lists through the catalog. */
static bool
only_follows (PsCluster *cluster, size_t instance)
{
  double lists = lists_of_endpoints (cluster, instance);
  double heard = beliefs (cluster, instance);

  PS_WAIT_UNTIL (cluster, beliefs (cluster, instance) >= heard + 3
                              || lists_of_endpoints (cluster, instance) > lists);
  return lists_of_endpoints (cluster, instance) <= lists;
}

/* The instance that orders the weights lists the endpoints as well. */
static bool
some_only_follows (PsCluster *cluster)
{
  bool found = false;

  for (size_t i = 0; i < cluster->n_instances; i++)
    found |= only_follows (cluster, i);
  return found;
}

/* Among all but one, which was killed. */
static size_t
find_publisher (PsCluster *cluster, size_t killed)
{
  for (size_t i = 0; i < cluster->n_instances; i++)
    if (i != killed && ps_read_metric (cluster, i, "lentilspindle_catalog_writes_total") > 0)
      return i;
  return cluster->n_instances;
}

/* A decision's line tells whose list it used. An instance with a duty at the engines lists for
 * itself, so it is looked for among all but the publisher. */
static bool
some_decision_names (PsCluster *cluster, size_t publisher)
{
  char *text = lb_asprintf ("\"lister\":\"%s\"", cluster->instances[publisher].name);
  int found = 0;

  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      ps_call (cluster, i, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (cluster->status, 200);
      if (i != publisher)
        found += ps_count_logged (cluster, i, text);
    }
  free (text);
  return found > 0;
}

/* A site with many endpoints. One of three instances lists them for all; an endpoint that leaves is
 * heard of by the two others all the same. That one is killed, and another one goes on. */
Test (shared, one_instance_lists_the_endpoints_for_all)
{
  PsCluster cluster;
  size_t publisher;

  ps_cluster_init (&cluster);
  for (int i = 0; i < 50; i++)
    put_other (&cluster, i, "ready");
  for (int i = 0; i < 3; i++)
    ps_start_instance (&cluster);
  PS_WAIT_UNTIL (&cluster, (publisher = find_publisher (&cluster, 3)) < cluster.n_instances);
  PS_WAIT_UNTIL (&cluster, some_only_follows (&cluster));
  PS_WAIT_UNTIL (&cluster, some_decision_names (&cluster, publisher));
  put_other (&cluster, 7, "draining");
  for (size_t i = 0; i < 3; i++)
    PS_WAIT_UNTIL (&cluster, ps_count_logged (&cluster, i, "endpoint_lists_leaving") == 1);
  pt_process_signal (&cluster.instances[publisher].process, SIGKILL);
  PS_WAIT_UNTIL (&cluster, find_publisher (&cluster, publisher) < cluster.n_instances);
  put_other (&cluster, 8, "draining");
  for (size_t i = 0; i < 3; i++)
    if (i != publisher)
      PS_WAIT_UNTIL (&cluster, ps_count_logged (&cluster, i, "endpoint_lists_leaving") == 2);
  ps_cluster_clear (&cluster);
}

/* Other writers leave rows in the endpoints' table. Calls go to the endpoints that are there, no
 * engine that nobody named is given weights, and the log tells each such row once. */
Test (shared, rows_of_other_writers_name_no_endpoint)
{
  static const char stray[]
      = "{\"service\": \"strangers\", \"address\": \"127.0.0.1:1\", \"zone\": \"hall-a\","
        " \"version\": \"v1\", \"slots\": 8, \"state\": \"ready\", \"coldLeftMs\": 0, \"seq\": 1,"
        " \"models\": [{\"name\": \"m\", \"version\": 1}]}";
  LbTime enough;
  PsCluster cluster;

  ps_cluster_init (&cluster);
  si_row_store_put (&cluster.store, "servers", "", "i-stray", stray);
  si_row_store_put (&cluster.store, "servers", "", "i-half",
                    "{\"service\": \"lookups\", \"slots\": \"many\"}");
  si_row_store_put (&cluster.store, "servers", "", "i-bytes", "\x01\x02");
  size_t a = ps_start_instance (&cluster);
  si_row_store_put (&cluster.store, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  PS_WAIT_UNTIL (&cluster, cluster.engines[0].version == 2 && cluster.engines[1].version == 2
                               && cluster.engines[2].version == 2);
  for (int i = 0; i < 10; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "c%d", i);
      ps_call (&cluster, a, "GET", "/lookup/x", id, "");
      cr_assert_eq (cluster.status, 200);
    }
  enough = lb_clock_monotonic () + 2 * LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () > enough);
  cr_assert_eq (ps_count_logged (&cluster, a, "endpoint_unreadable"), 3);
  cr_assert_eq (ps_count_logged (&cluster, a, "weights_order\",\"endpoint\":\"i-stray"), 0);
  ps_cluster_clear (&cluster);
}

/* An instance starts while the store is slow: it has the routes and not yet the endpoints. Its
 * first callers were told that there is no such route (404), and did not come back. */
Test (shared, a_route_whose_endpoints_are_not_known_yet_is_not_missing)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  cluster.store.unavailable_table = "servers";
  ps_spawn_instance (&cluster);
  LbTime end = lb_clock_monotonic () + LB_SEC;
  while (lb_clock_monotonic () < end)
    {
      ps_call (&cluster, 1, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (cluster.status, 503, "%s", cluster.body);
      cr_assert_neq (cluster.retry_after[0], '\0');
    }
  cluster.store.unavailable_table = NULL;
  PS_WAIT_UNTIL (&cluster, ps_is_ready (&cluster, 1));
  ps_call (&cluster, 1, "POST", "/lookup/1", "c2", "hello");
  cr_assert_eq (cluster.status, 200);
  ps_cluster_clear (&cluster);
}

/* The operators allow bodies of 12 MiB. A caller's body of 9 MiB was refused as too large, since
 * the instance went by the bound of its own settings, 8 MiB. */
Test (shared, the_desired_state_says_how_much_callers_may_send)
{
  PsCluster cluster;
  size_t length = (size_t)9 << 20;
  char *body = lb_malloc (length + 1);

  memset (body, 'x', length);
  body[length] = '\0';
  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_call (&cluster, 0, "GET", "/lookup/1", "c1", body);
  cr_assert_eq (cluster.status, 200, "%d %s", cluster.status, cluster.body);
  free (body);
  ps_cluster_clear (&cluster);
}

/* A service of the platform has a path /metrics of its own. Its callers got the counters of the
 * instance instead, since the front answered that path before it looked at the routes. */
Test (shared, metrics_have_an_address_of_their_own)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_put_config (&cluster, 1,
                 ", {\"name\": \"counts\", \"host\": \"h.example\", \"prefix\": \"/metrics\","
                 " \"kind\": \"safe\", \"timeoutMs\": 20000, \"service\": \"lookups\","
                 " \"attempts\": 3}");
  ps_start_instance (&cluster);
  ps_call (&cluster, 0, "GET", "/metrics", "c1", "");
  cr_assert_eq (cluster.status, 200);
  cr_assert_null (strstr (cluster.body, "lentilspindle_requests_total"), "%s", cluster.body);
  cr_assert_eq (cluster.lookup.n_calls, 1);
  ps_read_metrics (&cluster, 0);
  cr_assert_eq (cluster.status, 200);
  cr_assert (strstr (cluster.body, "lentilspindle_requests_total"));
  cr_assert (strstr (cluster.body, "lentilspindle_request_seconds_bucket"));
  ps_cluster_clear (&cluster);
}

/* The instance that runs a batch is killed in the middle. The trainer reads on at the other one:
 * every sample comes, none twice, and what stood at a position before still stands there. */
Test (shared, a_batch_outlives_its_owner)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 40 * LB_MSEC;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 40);
  cr_assert_eq (cluster.status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") >= 5);
  struct json_object *before = ps_read_results (&cluster, 1, "b1");
  /* The batch runs at one of the two; the row says which. */
  const char *encoded = NULL;
  for (int part = 0; part < 16 && !encoded; part++)
    {
      char name[8];
      snprintf (name, sizeof name, "%02x", part);
      encoded = si_row_store_get (&cluster.store, "head", name, "b1");
    }
  cr_assert (encoded);
  size_t survivor = 0;
  for (size_t i = 0; i < 2; i++)
    {
      ps_read_metrics (&cluster, i);
      if (strstr (cluster.body, "lentilspindle_batches_owned 1"))
        survivor = 1 - i;
    }
  pt_process_signal (&cluster.instances[1 - survivor].process, SIGKILL);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, survivor, "b1") == 40);
  ps_assert_all_listed (&cluster, survivor, "b1", 40);
  struct json_object *after = ps_read_results (&cluster, survivor, "b1");
  struct json_object *old = lb_json_member (before, "results");
  for (size_t i = 0; i < json_object_array_length (old); i++)
    cr_assert_str_eq (json_object_to_json_string (json_object_array_get_idx (old, i)),
                      json_object_to_json_string (
                          json_object_array_get_idx (lb_json_member (after, "results"), i)));
  json_object_put (before);
  json_object_put (after);
  ps_cluster_clear (&cluster);
}

/* A trainer does not hear the answer to its submission and sends the same batch to another instance
 * at once. It is accepted once: one row, and each item run once. */
Test (shared, the_same_batch_at_two_instances_is_accepted_once)
{
  PsCluster cluster;
  char *body = ps_make_batch (6);

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  int before = cluster.n_responses;
  ps_start_call (&cluster, 0, "POST", "/steps/1", "b1", body);
  ps_start_call (&cluster, 1, "POST", "/steps/1", "b1", body);
  PS_WAIT_UNTIL (&cluster, cluster.n_responses == before + 2);
  cr_assert_eq (cluster.status, 202);
  cr_assert_eq (si_row_store_count (&cluster.store, "head"), 1);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 6);
  ps_assert_all_listed (&cluster, 1, "b1", 6);
  cr_assert_eq (ps_count_engine_runs (&cluster), 6);
  free (body);
  ps_cluster_clear (&cluster);
}

/* Each text of a step is generated twice, and the engines are busy for twice as long. The instance
 * that accepted the batch hears late that another one took it, so it thinks that its offer was not
 * taken and begins a run of its own, which can list nothing. */
Test (shared, an_offer_that_was_taken_is_not_run_twice)
{
  PsCluster cluster;
  size_t owner;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 100 * LB_MSEC;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 4);
  PS_WAIT_UNTIL (&cluster, (owner = ps_find_owner (&cluster)) < 2);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 4);
  cluster.store.delayed_server = ps_store_server (&cluster, 1 - owner);
  /* A watch that began before is over. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () >= end);
  size_t before = ps_count_engine_runs (&cluster);
  ps_submit (&cluster, 1 - owner, "b2", 6);
  cr_assert_eq (cluster.status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, owner, "b2") == 6);
  cr_assert_eq (ps_count_engine_runs (&cluster) - before, 6);
  ps_cluster_clear (&cluster);
}

/* The instance that a batch is offered to is cut off and hears of it two seconds late. The acceptor
 * runs the batch by then; the other took it away in the middle, and what its texts had got was made
 * again, at engines that others waited for. */
Test (shared, an_offer_that_is_heard_late_is_not_taken)
{
  PsCluster cluster;
  size_t preferred;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 150 * LB_MSEC;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 2);
  PS_WAIT_UNTIL (&cluster, (preferred = ps_find_owner (&cluster)) < 2);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 2);
  cluster.store.delayed_server = ps_store_server (&cluster, preferred);
  /* A watch that began before is over. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () >= end);
  size_t before = ps_count_engine_runs (&cluster);
  ps_submit (&cluster, 1 - preferred, "b2", 6);
  cr_assert_eq (cluster.status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 1 - preferred, "b2") == 6);
  ps_assert_all_listed (&cluster, 1 - preferred, "b2", 6);
  cr_assert_eq (ps_count_engine_runs (&cluster) - before, 6);
  ps_cluster_clear (&cluster);
}

/* With 84 instances the store is busy and instances are taken for dead in turn, with their batches:
 * a part of the store takes 200 writes a second, and renewals, lease and plan lay in the unnamed
 * part with the heartbeats of all endpoints. None of ours lies there. */
Test (shared, nothing_of_ours_lies_where_endpoints_write)
{
  static const char *const names[] = { "n0", "n1" };
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  PS_WAIT_UNTIL (&cluster, si_row_store_count (&cluster.store, "instance") == 2);
  PS_WAIT_UNTIL (&cluster, si_row_store_count (&cluster.store, "lease") == 1);
  for (size_t i = 0; i < 2; i++)
    cr_assert_null (si_row_store_get (&cluster.store, "instance", "", names[i]));
  cr_assert_null (si_row_store_get (&cluster.store, "lease", "", "weights"));
  ps_cluster_clear (&cluster);
}

/* After some hours every batch is refused: the store is full of batches that ended long ago, since
 * nothing in it expires. What an ended batch left is removed; one that is open stays. */
Test (shared, what_an_ended_batch_left_is_removed)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 6);
  ps_submit (&cluster, 1, "b2", 3);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 6);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b2") == 3);
  ps_call (&cluster, 1, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.status, 200);
  PS_WAIT_UNTIL (&cluster, si_row_store_count (&cluster.store, "head") == 1);
  cr_assert_eq (si_row_store_count (&cluster.store, "result"), 3);
  cr_assert_eq (si_row_store_count_objects (&cluster.store), 1);
  PS_WAIT_UNTIL (&cluster,
                 (ps_call (&cluster, 0, "GET", "/-/lots/b1", "", ""), cluster.status == 404));
  PS_WAIT_UNTIL (&cluster,
                 (ps_call (&cluster, 1, "GET", "/-/lots/b1", "", ""), cluster.status == 404));
  ps_assert_all_listed (&cluster, 0, "b2", 3);
  ps_cluster_clear (&cluster);
}

static bool
is_long_text_listed (PsCluster *cluster, size_t instance, int position, size_t length)
{
  char path[64];

  snprintf (path, sizeof path, "/-/lots/b1?after=%d", position);
  ps_call (cluster, instance, "GET", path, "", "");
  struct json_object *page = json_tokener_parse (cluster->body);
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

/* A trainer waits in vain for a step with one text of 120 KB: a row of the store holds 64 KiB, the
 * write of that result was refused again and again, and all results behind it waited. */
Test (shared, a_text_longer_than_a_row_is_listed)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].padding = 40000;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 4);
  for (int i = 0; i < 4; i++)
    PS_WAIT_UNTIL (&cluster, is_long_text_listed (&cluster, (size_t)i % 2, i,
                                                  (size_t)cluster.engines[0].n_events * 40000));
  ps_call (&cluster, 0, "DELETE", "/-/lots/b1", "", "");
  PS_WAIT_UNTIL (&cluster, si_row_store_count (&cluster.store, "head") == 0);
  cr_assert_eq (si_row_store_count (&cluster.store, "result")
                    + si_row_store_count (&cluster.store, "more"),
                0);
  ps_cluster_clear (&cluster);
}

/* The store takes the row of a batch and its answer is lost. "Refused" would be a lie: the batch
 * runs. The instance asks again, and the row tells it. */
Test (shared, a_lost_answer_of_the_store_is_no_refusal)
{
  PsCluster cluster;
  char *body = ps_make_batch (3);

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  int before = cluster.n_responses;
  cluster.store.mode = SI_ROW_STORE_LOSES_REPLY;
  ps_start_call (&cluster, 0, "POST", "/steps/1", "b1", body);
  PS_WAIT_UNTIL (&cluster, si_row_store_count (&cluster.store, "head") == 1);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&cluster, cluster.n_responses > before);
  cr_assert_eq (cluster.status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 3);
  ps_assert_all_listed (&cluster, 0, "b1", 3);
  free (body);
  ps_cluster_clear (&cluster);
}

/* A trainer's step is accepted and no item of it ever begins. The answer to the write of its row
 * was lost, the second try went through another instance, and the watch showed the row before that
 * try was answered: the instance took note of its own row while it still waited, and never looked
 * again. */
Test (shared, a_batch_whose_row_shows_before_its_answer_is_run)
{
  PsCluster cluster;
  size_t owner;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 2);
  PS_WAIT_UNTIL (&cluster, (owner = ps_find_owner (&cluster)) < 2);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 2);
  /* Each knows the other by then. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&cluster, lb_clock_monotonic () >= end);
  cluster.instances[1 - owner].store_relay.fault = (PtRelayFault){ .delay = 150 * LB_MSEC };
  cluster.store.lost_replies = 1;
  ps_submit (&cluster, owner, "b2", 3);
  cr_assert_eq (cluster.status, 202);
  cluster.instances[1 - owner].store_relay.fault = (PtRelayFault){ 0 };
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, owner, "b2") == 3);
  ps_assert_all_listed (&cluster, owner, "b2", 3);
  ps_cluster_clear (&cluster);
}

/* The store takes the row of a batch, its answer is lost, and it refuses all calls after that. Told
 * "not run" the trainer would submit its step anew, and the batch that was taken would run beside
 * it as soon as the store is back. */
Test (shared, a_batch_whose_row_may_stand_is_not_called_refused)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  cluster.store.lost_replies = 1;
  cluster.store.unavailable_after_lost_replies = true;
  ps_submit (&cluster, 0, "b1", 3);
  cr_assert_eq (cluster.status, 502);
  cr_assert_eq (si_row_store_count (&cluster.store, "head"), 1);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 3);
  ps_assert_all_listed (&cluster, 0, "b1", 3);
  ps_cluster_clear (&cluster);
}

/* Without the store nothing can be accepted. The trainer hears so at once, with a time to come
 * back, and nothing of the batch runs; calls of plain services go on. */
Test (shared, without_the_store_batches_are_refused_and_calls_served)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  ps_submit (&cluster, 0, "b1", 3);
  cr_assert_eq (cluster.status, 503);
  cr_assert_neq (cluster.retry_after[0], '\0');
  ps_call (&cluster, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (cluster.status, 200);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&cluster, (ps_submit (&cluster, 0, "b1", 3), cluster.status == 202));
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 3);
  ps_cluster_clear (&cluster);
}

/* An answer of the store that was held up brings back an older state. Routes that were added since
 * must not vanish. */
Test (shared, an_older_desired_state_does_not_come_back)
{
  static const char more[] = ", {\"name\": \"new\", \"host\": \"h.example\", \"prefix\": \"/new/\","
                             " \"kind\": \"safe\", \"service\": \"lookups\", \"attempts\": 2}";
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_put_config (&cluster, 5, more);
  PS_WAIT_UNTIL (&cluster,
                 (ps_call (&cluster, 0, "GET", "/new/x", "c1", ""), cluster.status == 200));
  ps_put_config (&cluster, 4, "");
  for (int i = 0; i < 20; i++)
    {
      ps_call (&cluster, 0, "GET", "/new/x", "c2", "");
      cr_assert_eq (cluster.status, 200);
      usleep (50000);
    }
  si_row_store_put (&cluster.store, "op", "", "config", "{\"version\": 9, \"routes\": \"none\"}");
  for (int i = 0; i < 20; i++)
    {
      ps_call (&cluster, 0, "GET", "/new/x", "c3", "");
      cr_assert_eq (cluster.status, 200, "one that can't be read changes nothing either");
      usleep (50000);
    }
  ps_cluster_clear (&cluster);
}

/* The operator stops an instance. It is not ready from then on, gives its batch away with what has
 * come of it, serves callers that still hold its address, and exits with 0. */
Test (shared, a_stopped_instance_gives_its_batch_away_and_cuts_nothing)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 40 * LB_MSEC;
  ps_start_instance (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 30);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") >= 3);
  pt_process_signal (&cluster.instances[0].process, SIGTERM);
  PS_WAIT_UNTIL (&cluster, !ps_is_ready (&cluster, 0));
  ps_call (&cluster, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (cluster.status, 200);
  PS_WAIT_UNTIL (&cluster, pt_process_has_exited (&cluster.instances[0].process, 0));
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 1, "b1") == 30);
  ps_assert_all_listed (&cluster, 1, "b1", 30);
  ps_call (&cluster, 1, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert_null (strstr (cluster.body, cluster.instances[0].address));
  ps_cluster_clear (&cluster);
}

/* A reload cuts nothing, and a file that can't be read changes nothing. */
Test (shared, a_reload_cuts_nothing)
{
  PsCluster cluster;
  char path[128];

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 10);
  pt_process_signal (&cluster.instances[0].process, SIGHUP);
  ps_call (&cluster, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (cluster.status, 200);
  snprintf (path, sizeof path, "%s/%s.json", cluster.folder, cluster.instances[0].name);
  FILE *out = fopen (path, "w");
  fputs ("{ nonsense", out);
  fclose (out);
  pt_process_signal (&cluster.instances[0].process, SIGHUP);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 10);
  cr_assert_not (cluster.instances[0].process.ended);
  ps_cluster_clear (&cluster);
}

/* The trainer ends a step while its items run: engines stop working on them within a second or so.
 */
Test (shared, an_ended_batch_stops_at_the_engines)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      cluster.engines[i].n_events = 1000;
      cluster.engines[i].event_interval = 50 * LB_MSEC;
    }
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 6);
  PS_WAIT_UNTIL (&cluster, ps_count_engine_runs (&cluster) >= 6);
  ps_call (&cluster, 0, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (cluster.status, 200);
  PS_WAIT_UNTIL (&cluster, cluster.engines[0].cancelled + cluster.engines[1].cancelled
                                   + cluster.engines[2].cancelled
                               == 6);
  size_t runs = ps_count_engine_runs (&cluster);
  for (int i = 0; i < 100; i++)
    ps_run_loop_once (&cluster);
  cr_assert_eq (ps_count_engine_runs (&cluster), runs);
  ps_cluster_clear (&cluster);
}

/* An engine says that it leaves: nothing new goes there, and what runs there goes on to its end. */
Test (shared, an_engine_that_leaves_gets_nothing_new)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_submit (&cluster, 0, "b1", 9);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b1") == 9);
  cluster.engines[0].draining = true;
  si_endpoint_register (&cluster.engines[0]);
  LbTime end = lb_clock_monotonic () + 2 * LB_SEC;
  while (lb_clock_monotonic () < end)
    ps_run_loop_once (&cluster);
  size_t runs = cluster.engines[0].n_stream_records;
  ps_submit (&cluster, 0, "b2", 12);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, 0, "b2") == 12);
  cr_assert_eq (cluster.engines[0].n_stream_records, runs);
  ps_cluster_clear (&cluster);
}

/* A machine was taken away; its row stays in the store. An instance that starts afterwards saw that
 * row for the first time and named the machine to its callers until three renewals were missed. */
Test (shared, a_started_instance_names_nobody_who_is_long_gone)
{
  static const char gone[]
      = "{\"name\": \"gone\", \"incarnation\": \"1\", \"data_centre\": \"hall-a\","
        " \"callers\": \"127.0.0.9:9\", \"peers\": \"\", \"ready\": true, \"renewed_ms\": 1,"
        " \"renewals\": 7, \"period_ms\": 20000}";
  PsCluster cluster;

  ps_cluster_init (&cluster);
  si_row_store_put (&cluster.store, "instance", "0", "gone", gone);
  size_t a = ps_start_instance (&cluster);
  PS_WAIT_UNTIL (&cluster, ps_count_logged (&cluster, a, "instances_listed") > 0);
  for (int i = 0; i < 50; i++)
    {
      ps_call (&cluster, a, "GET", "/-/resolve?name=h.example", "", "");
      cr_assert (strstr (cluster.body, cluster.instances[a].address));
      cr_assert_not (strstr (cluster.body, "127.0.0.9:9"), "it names a machine that is gone");
    }
  ps_cluster_clear (&cluster);
}

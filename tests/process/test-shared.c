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
  PsCluster w;

  ps_cluster_init (&w);
  size_t a = ps_start_instance (&w);
  ps_call (&w, a, "POST", "/lookup/1?q=2", "c1", "hello");
  cr_assert_eq (w.status, 200);
  cr_assert_str_eq (w.body, "answer to c1");
  cr_assert_str_eq (w.stamp, "stamp-c1");
  ps_call (&w, a, "GET", "/nowhere/", "c2", "");
  cr_assert_eq (w.status, 404);
  ps_submit (&w, a, "b1", 12);
  cr_assert_eq (w.status, 202);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, a, "b1") == 12);
  ps_assert_all_listed (&w, a, "b1", 12);
  ps_call (&w, a, "GET", "/-/items/b1?id=item3", "", "");
  cr_assert_eq (w.status, 200);
  cr_assert_str_eq (w.body, "ABC");
  ps_call (&w, a, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200);
  ps_call (&w, a, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200, "ending it again changes nothing");
  ps_call (&w, a, "GET", "/-/lots/unknown?after=0", "", "");
  cr_assert_eq (w.status, 404);
  ps_call (&w, a, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert (strstr (w.body, w.instances[a].address));
  ps_cluster_clear (&w);
}

/* A trainer names new weights. Every engine is ordered to load them, each order once, and a sample
 * made afterwards names them. */
Test (shared, named_weights_reach_every_engine)
{
  PsCluster w;

  ps_cluster_init (&w);
  size_t a = ps_start_instance (&w);
  si_row_store_put (&w.rows, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  PS_WAIT_UNTIL (&w, w.engines[0].version == 2 && w.engines[1].version == 2
                         && w.engines[2].version == 2);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cr_assert_eq (w.engines[i].accepted_orders, 1);
  ps_submit (&w, a, "b1", 1);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, a, "b1") == 1);
  struct json_object *page = ps_read_results (&w, a, "b1");
  struct json_object *result = json_object_array_get_idx (lb_json_member (page, "results"), 0);
  cr_assert_str_eq (json_object_to_json_string_ext (lb_json_member (result, "versions"),
                                                    JSON_C_TO_STRING_PLAIN),
                    "[2]");
  json_object_put (page);
  ps_cluster_clear (&w);
}

/* An engine is killed and starts again under its id at once, between two of a trainer's versions.
 * Its count of orders is zero again. Were the count of its start before kept, it would refuse each
 * order for its count, keep its old weights, and the trainer's texts would be thrown away for their
 * age. */
Test (shared, an_engine_that_started_again_under_its_id_takes_the_next_weights)
{
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  for (int version = 2; version <= 6; version++)
    {
      char row[64];
      snprintf (row, sizeof row, "{\"model\": \"m\", \"version\": %d}", version);
      si_row_store_put (&w.rows, "op", "", "version/m", row);
      PS_WAIT_UNTIL (&w, w.engines[0].version == version && w.engines[1].version == version
                             && w.engines[2].version == version);
      si_endpoint_restart (&w.engines[version % PS_N_ENGINES]);
    }
  cr_assert_eq (w.engines[0].misdirected, 0);
  ps_cluster_clear (&w);
}

static double
lists_of_endpoints (PsCluster *w, size_t instance)
{
  return ps_read_metric (w, instance, "lentilspindle_store_table_calls_total{table=\"servers\"}");
}

static double
beliefs (PsCluster *w, size_t instance)
{
  return ps_read_metric (w, instance, "lentilspindle_catalog_beliefs_total");
}

static void
put_other (PsCluster *w, int index, const char *state)
{
  char key[16];
  char *text = lb_asprintf ("{\"service\": \"others\", \"address\": \"127.0.0.1:%d\", \"zone\": "
                            "\"hall-a\", \"version\": \"v1\", \"slots\": 8, \"state\": \"%s\","
                            " \"coldLeftMs\": 0, \"seq\": 1}",
                            20000 + index, state);

  snprintf (key, sizeof key, "i-other-%02d", index);
  si_row_store_put (&w->rows, "servers", "", key, text);
  free (text);
}

/* The instance lists no endpoints while it hears of three new lists through the catalog. */
static bool
only_follows (PsCluster *w, size_t instance)
{
  double lists = lists_of_endpoints (w, instance);
  double heard = beliefs (w, instance);

  PS_WAIT_UNTIL (w, beliefs (w, instance) >= heard + 3 || lists_of_endpoints (w, instance) > lists);
  return lists_of_endpoints (w, instance) <= lists;
}

/* The instance that orders the weights lists the endpoints as well. */
static bool
some_only_follows (PsCluster *w)
{
  bool found = false;

  for (size_t i = 0; i < w->n_instances; i++)
    found |= only_follows (w, i);
  return found;
}

/* Among all but one, which was killed. */
static size_t
find_publisher (PsCluster *w, size_t killed)
{
  for (size_t i = 0; i < w->n_instances; i++)
    if (i != killed && ps_read_metric (w, i, "lentilspindle_catalog_writes_total") > 0)
      return i;
  return w->n_instances;
}

/* A decision's line tells whose list it used. An instance with a duty at the engines lists for
 * itself, so it is looked for among all but the publisher. */
static bool
some_decision_names (PsCluster *w, size_t publisher)
{
  char *text = lb_asprintf ("\"lister\":\"%s\"", w->instances[publisher].name);
  int found = 0;

  for (size_t i = 0; i < w->n_instances; i++)
    {
      ps_call (w, i, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (w->status, 200);
      if (i != publisher)
        found += ps_count_logged (w, i, text);
    }
  free (text);
  return found > 0;
}

/* A site with many endpoints. One of three instances lists them for all; an endpoint that leaves is
 * heard of by the two others all the same. That one is killed, and another one goes on. */
Test (shared, one_instance_lists_the_endpoints_for_all)
{
  PsCluster w;
  size_t publisher;

  ps_cluster_init (&w);
  for (int i = 0; i < 50; i++)
    put_other (&w, i, "ready");
  for (int i = 0; i < 3; i++)
    ps_start_instance (&w);
  PS_WAIT_UNTIL (&w, (publisher = find_publisher (&w, 3)) < w.n_instances);
  PS_WAIT_UNTIL (&w, some_only_follows (&w));
  PS_WAIT_UNTIL (&w, some_decision_names (&w, publisher));
  put_other (&w, 7, "draining");
  for (size_t i = 0; i < 3; i++)
    PS_WAIT_UNTIL (&w, ps_count_logged (&w, i, "endpoint_lists_leaving") == 1);
  pt_process_signal (&w.instances[publisher].process, SIGKILL);
  PS_WAIT_UNTIL (&w, find_publisher (&w, publisher) < w.n_instances);
  put_other (&w, 8, "draining");
  for (size_t i = 0; i < 3; i++)
    if (i != publisher)
      PS_WAIT_UNTIL (&w, ps_count_logged (&w, i, "endpoint_lists_leaving") == 2);
  ps_cluster_clear (&w);
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
  PsCluster w;

  ps_cluster_init (&w);
  si_row_store_put (&w.rows, "servers", "", "i-stray", stray);
  si_row_store_put (&w.rows, "servers", "", "i-half",
                    "{\"service\": \"lookups\", \"slots\": \"many\"}");
  si_row_store_put (&w.rows, "servers", "", "i-bytes", "\x01\x02");
  size_t a = ps_start_instance (&w);
  si_row_store_put (&w.rows, "op", "", "version/m", "{\"model\": \"m\", \"version\": 2}");
  PS_WAIT_UNTIL (&w, w.engines[0].version == 2 && w.engines[1].version == 2
                         && w.engines[2].version == 2);
  for (int i = 0; i < 10; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "c%d", i);
      ps_call (&w, a, "GET", "/lookup/x", id, "");
      cr_assert_eq (w.status, 200);
    }
  enough = lb_clock_monotonic () + 2 * LB_SEC;
  PS_WAIT_UNTIL (&w, lb_clock_monotonic () > enough);
  cr_assert_eq (ps_count_logged (&w, a, "endpoint_unreadable"), 3);
  cr_assert_eq (ps_count_logged (&w, a, "weights_order\",\"endpoint\":\"i-stray"), 0);
  ps_cluster_clear (&w);
}

/* An instance starts while the store is slow: it has the routes and not yet the endpoints. Its
 * first callers were told that there is no such route (404), and did not come back. */
Test (shared, a_route_whose_endpoints_are_not_known_yet_is_not_missing)
{
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  w.rows.unavailable_table = "servers";
  ps_spawn_instance (&w);
  LbTime end = lb_clock_monotonic () + LB_SEC;
  while (lb_clock_monotonic () < end)
    {
      ps_call (&w, 1, "POST", "/lookup/1", "c1", "hello");
      cr_assert_eq (w.status, 503, "%s", w.body);
      cr_assert_neq (w.retry_after[0], '\0');
    }
  w.rows.unavailable_table = NULL;
  PS_WAIT_UNTIL (&w, ps_is_ready (&w, 1));
  ps_call (&w, 1, "POST", "/lookup/1", "c2", "hello");
  cr_assert_eq (w.status, 200);
  ps_cluster_clear (&w);
}

/* The operators allow bodies of 12 MiB. A caller's body of 9 MiB was refused as too large, since
 * the instance went by the bound of its own settings, 8 MiB. */
Test (shared, the_desired_state_says_how_much_callers_may_send)
{
  PsCluster w;
  size_t length = (size_t)9 << 20;
  char *body = lb_malloc (length + 1);

  memset (body, 'x', length);
  body[length] = '\0';
  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_call (&w, 0, "GET", "/lookup/1", "c1", body);
  cr_assert_eq (w.status, 200, "%d %s", w.status, w.body);
  free (body);
  ps_cluster_clear (&w);
}

/* A service of the platform has a path /metrics of its own. Its callers got the counters of the
 * instance instead, since the front answered that path before it looked at the routes. */
Test (shared, metrics_have_an_address_of_their_own)
{
  PsCluster w;

  ps_cluster_init (&w);
  ps_put_config (&w, 1,
                 ", {\"name\": \"counts\", \"host\": \"h.example\", \"prefix\": \"/metrics\","
                 " \"kind\": \"safe\", \"timeoutMs\": 20000, \"service\": \"lookups\","
                 " \"attempts\": 3}");
  ps_start_instance (&w);
  ps_call (&w, 0, "GET", "/metrics", "c1", "");
  cr_assert_eq (w.status, 200);
  cr_assert_null (strstr (w.body, "lentilspindle_requests_total"), "%s", w.body);
  cr_assert_eq (w.lookup.n_calls, 1);
  ps_read_metrics (&w, 0);
  cr_assert_eq (w.status, 200);
  cr_assert (strstr (w.body, "lentilspindle_requests_total"));
  cr_assert (strstr (w.body, "lentilspindle_request_seconds_bucket"));
  ps_cluster_clear (&w);
}

/* The instance that runs a batch is killed in the middle. The trainer reads on at the other one:
 * every sample comes, none twice, and what stood at a position before still stands there. */
Test (shared, a_batch_outlives_its_owner)
{
  PsCluster w;

  ps_cluster_init (&w);
  for (int i = 0; i < PS_N_ENGINES; i++)
    w.engines[i].event_interval = 40 * LB_MSEC;
  ps_start_instance (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 40);
  cr_assert_eq (w.status, 202);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") >= 5);
  struct json_object *before = ps_read_results (&w, 1, "b1");
  /* The batch runs at one of the two; the row says which. */
  const char *encoded = NULL;
  for (int part = 0; part < 16 && !encoded; part++)
    {
      char name[8];
      snprintf (name, sizeof name, "%02x", part);
      encoded = si_row_store_get (&w.rows, "head", name, "b1");
    }
  cr_assert (encoded);
  size_t survivor = 0;
  for (size_t i = 0; i < 2; i++)
    {
      ps_read_metrics (&w, i);
      if (strstr (w.body, "lentilspindle_batches_owned 1"))
        survivor = 1 - i;
    }
  pt_process_signal (&w.instances[1 - survivor].process, SIGKILL);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, survivor, "b1") == 40);
  ps_assert_all_listed (&w, survivor, "b1", 40);
  struct json_object *after = ps_read_results (&w, survivor, "b1");
  struct json_object *old = lb_json_member (before, "results");
  for (size_t i = 0; i < json_object_array_length (old); i++)
    cr_assert_str_eq (json_object_to_json_string (json_object_array_get_idx (old, i)),
                      json_object_to_json_string (
                          json_object_array_get_idx (lb_json_member (after, "results"), i)));
  json_object_put (before);
  json_object_put (after);
  ps_cluster_clear (&w);
}

/* A trainer does not hear the answer to its submission and sends the same batch to another instance
 * at once. It is accepted once: one row, and each item run once. */
Test (shared, the_same_batch_at_two_instances_is_accepted_once)
{
  PsCluster w;
  char *body = ps_make_batch (6);

  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_start_instance (&w);
  int before = w.answers;
  ps_start_call (&w, 0, "POST", "/steps/1", "b1", body);
  ps_start_call (&w, 1, "POST", "/steps/1", "b1", body);
  PS_WAIT_UNTIL (&w, w.answers == before + 2);
  cr_assert_eq (w.status, 202);
  cr_assert_eq (si_row_store_count (&w.rows, "head"), 1);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 6);
  ps_assert_all_listed (&w, 1, "b1", 6);
  cr_assert_eq (ps_count_engine_runs (&w), 6);
  free (body);
  ps_cluster_clear (&w);
}

/* Each text of a step is generated twice, and the engines are busy for twice as long. The instance
 * that accepted the batch hears late that another one took it, so it thinks that its offer was not
 * taken and begins a run of its own, which can list nothing. */
Test (shared, an_offer_that_was_taken_is_not_run_twice)
{
  PsCluster w;
  size_t owner;

  ps_cluster_init (&w);
  for (int i = 0; i < PS_N_ENGINES; i++)
    w.engines[i].event_interval = 100 * LB_MSEC;
  ps_start_instance (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 4);
  PS_WAIT_UNTIL (&w, (owner = ps_find_owner (&w)) < 2);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 4);
  w.rows.delayed_server = ps_store_server (&w, 1 - owner);
  /* A watch that began before is over. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&w, lb_clock_monotonic () >= end);
  size_t before = ps_count_engine_runs (&w);
  ps_submit (&w, 1 - owner, "b2", 6);
  cr_assert_eq (w.status, 202);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, owner, "b2") == 6);
  cr_assert_eq (ps_count_engine_runs (&w) - before, 6);
  ps_cluster_clear (&w);
}

/* The instance that a batch is offered to is cut off and hears of it two seconds late. The acceptor
 * runs the batch by then; the other took it away in the middle, and what its texts had got was made
 * again, at engines that others waited for. */
Test (shared, an_offer_that_is_heard_late_is_not_taken)
{
  PsCluster w;
  size_t preferred;

  ps_cluster_init (&w);
  for (int i = 0; i < PS_N_ENGINES; i++)
    w.engines[i].event_interval = 150 * LB_MSEC;
  ps_start_instance (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 2);
  PS_WAIT_UNTIL (&w, (preferred = ps_find_owner (&w)) < 2);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 2);
  w.rows.delayed_server = ps_store_server (&w, preferred);
  /* A watch that began before is over. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&w, lb_clock_monotonic () >= end);
  size_t before = ps_count_engine_runs (&w);
  ps_submit (&w, 1 - preferred, "b2", 6);
  cr_assert_eq (w.status, 202);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 1 - preferred, "b2") == 6);
  ps_assert_all_listed (&w, 1 - preferred, "b2", 6);
  cr_assert_eq (ps_count_engine_runs (&w) - before, 6);
  ps_cluster_clear (&w);
}

/* With 84 instances the store is busy and instances are taken for dead in turn, with their batches:
 * a part of the store takes 200 writes a second, and renewals, lease and plan lay in the unnamed
 * part with the heartbeats of all endpoints. None of ours lies there. */
Test (shared, nothing_of_ours_lies_where_endpoints_write)
{
  static const char *const names[] = { "n0", "n1" };
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_start_instance (&w);
  PS_WAIT_UNTIL (&w, si_row_store_count (&w.rows, "instance") == 2);
  PS_WAIT_UNTIL (&w, si_row_store_count (&w.rows, "lease") == 1);
  for (size_t i = 0; i < 2; i++)
    cr_assert_null (si_row_store_get (&w.rows, "instance", "", names[i]));
  cr_assert_null (si_row_store_get (&w.rows, "lease", "", "weights"));
  ps_cluster_clear (&w);
}

/* After some hours every batch is refused: the store is full of batches that ended long ago, since
 * nothing in it expires. What an ended batch left is removed; one that is open stays. */
Test (shared, what_an_ended_batch_left_is_removed)
{
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 6);
  ps_submit (&w, 1, "b2", 3);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 6);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b2") == 3);
  ps_call (&w, 1, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200);
  PS_WAIT_UNTIL (&w, si_row_store_count (&w.rows, "head") == 1);
  cr_assert_eq (si_row_store_count (&w.rows, "result"), 3);
  cr_assert_eq (si_row_store_count_objects (&w.rows), 1);
  PS_WAIT_UNTIL (&w, (ps_call (&w, 0, "GET", "/-/lots/b1", "", ""), w.status == 404));
  PS_WAIT_UNTIL (&w, (ps_call (&w, 1, "GET", "/-/lots/b1", "", ""), w.status == 404));
  ps_assert_all_listed (&w, 0, "b2", 3);
  ps_cluster_clear (&w);
}

static bool
is_long_text_listed (PsCluster *w, size_t instance, int position, size_t length)
{
  char path[64];

  snprintf (path, sizeof path, "/-/lots/b1?after=%d", position);
  ps_call (w, instance, "GET", path, "", "");
  struct json_object *page = json_tokener_parse (w->body);
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
  PsCluster w;

  ps_cluster_init (&w);
  for (int i = 0; i < PS_N_ENGINES; i++)
    w.engines[i].padding = 40000;
  ps_start_instance (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 4);
  for (int i = 0; i < 4; i++)
    PS_WAIT_UNTIL (&w, is_long_text_listed (&w, (size_t)i % 2, i,
                                            (size_t)w.engines[0].n_events * 40000));
  ps_call (&w, 0, "DELETE", "/-/lots/b1", "", "");
  PS_WAIT_UNTIL (&w, si_row_store_count (&w.rows, "head") == 0);
  cr_assert_eq (si_row_store_count (&w.rows, "result") + si_row_store_count (&w.rows, "more"), 0);
  ps_cluster_clear (&w);
}

/* The store takes the row of a batch and its answer is lost. "Refused" would be a lie: the batch
 * runs. The instance asks again, and the row tells it. */
Test (shared, a_lost_answer_of_the_store_is_no_refusal)
{
  PsCluster w;
  char *body = ps_make_batch (3);

  ps_cluster_init (&w);
  ps_start_instance (&w);
  int before = w.answers;
  w.rows.mode = SI_ROW_STORE_LOSES_REPLY;
  ps_start_call (&w, 0, "POST", "/steps/1", "b1", body);
  PS_WAIT_UNTIL (&w, si_row_store_count (&w.rows, "head") == 1);
  w.rows.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&w, w.answers > before);
  cr_assert_eq (w.status, 202);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 3);
  ps_assert_all_listed (&w, 0, "b1", 3);
  free (body);
  ps_cluster_clear (&w);
}

/* A trainer's step is accepted and no item of it ever begins. The answer to the write of its row
 * was lost, the second try went through another instance, and the watch showed the row before that
 * try was answered: the instance took note of its own row while it still waited, and never looked
 * again. */
Test (shared, a_batch_whose_row_shows_before_its_answer_is_run)
{
  PsCluster w;
  size_t owner;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 2);
  PS_WAIT_UNTIL (&w, (owner = ps_find_owner (&w)) < 2);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 2);
  /* Each knows the other by then. */
  LbTime end = lb_clock_monotonic () + LB_SEC;
  PS_WAIT_UNTIL (&w, lb_clock_monotonic () >= end);
  w.instances[1 - owner].to_store.fault = (PtRelayFault){ .delay = 150 * LB_MSEC };
  w.rows.lost_replies = 1;
  ps_submit (&w, owner, "b2", 3);
  cr_assert_eq (w.status, 202);
  w.instances[1 - owner].to_store.fault = (PtRelayFault){ 0 };
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, owner, "b2") == 3);
  ps_assert_all_listed (&w, owner, "b2", 3);
  ps_cluster_clear (&w);
}

/* The store takes the row of a batch, its answer is lost, and it refuses all calls after that. Told
 * "not run" the trainer would submit its step anew, and the batch that was taken would run beside
 * it as soon as the store is back. */
Test (shared, a_batch_whose_row_may_stand_is_not_called_refused)
{
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  w.rows.lost_replies = 1;
  w.rows.unavailable_after_lost_replies = true;
  ps_submit (&w, 0, "b1", 3);
  cr_assert_eq (w.status, 502);
  cr_assert_eq (si_row_store_count (&w.rows, "head"), 1);
  w.rows.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 3);
  ps_assert_all_listed (&w, 0, "b1", 3);
  ps_cluster_clear (&w);
}

/* Without the store nothing can be accepted. The trainer hears so at once, with a time to come
 * back, and nothing of the batch runs; calls of plain services go on. */
Test (shared, without_the_store_batches_are_refused_and_calls_served)
{
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  w.rows.mode = SI_ROW_STORE_UNAVAILABLE;
  ps_submit (&w, 0, "b1", 3);
  cr_assert_eq (w.status, 503);
  cr_assert_neq (w.retry_after[0], '\0');
  ps_call (&w, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (w.status, 200);
  w.rows.mode = SI_ROW_STORE_NORMAL;
  PS_WAIT_UNTIL (&w, (ps_submit (&w, 0, "b1", 3), w.status == 202));
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 3);
  ps_cluster_clear (&w);
}

/* An answer of the store that was held up brings back an older state. Routes that were added since
 * must not vanish. */
Test (shared, an_older_desired_state_does_not_come_back)
{
  static const char more[] = ", {\"name\": \"new\", \"host\": \"h.example\", \"prefix\": \"/new/\","
                             " \"kind\": \"safe\", \"service\": \"lookups\", \"attempts\": 2}";
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_put_config (&w, 5, more);
  PS_WAIT_UNTIL (&w, (ps_call (&w, 0, "GET", "/new/x", "c1", ""), w.status == 200));
  ps_put_config (&w, 4, "");
  for (int i = 0; i < 20; i++)
    {
      ps_call (&w, 0, "GET", "/new/x", "c2", "");
      cr_assert_eq (w.status, 200);
      usleep (50000);
    }
  si_row_store_put (&w.rows, "op", "", "config", "{\"version\": 9, \"routes\": \"none\"}");
  for (int i = 0; i < 20; i++)
    {
      ps_call (&w, 0, "GET", "/new/x", "c3", "");
      cr_assert_eq (w.status, 200, "one that can't be read changes nothing either");
      usleep (50000);
    }
  ps_cluster_clear (&w);
}

/* The operator stops an instance. It is not ready from then on, gives its batch away with what has
 * come of it, serves callers that still hold its address, and exits with 0. */
Test (shared, a_stopped_instance_gives_its_batch_away_and_cuts_nothing)
{
  PsCluster w;

  ps_cluster_init (&w);
  for (int i = 0; i < PS_N_ENGINES; i++)
    w.engines[i].event_interval = 40 * LB_MSEC;
  ps_start_instance (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 30);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") >= 3);
  pt_process_signal (&w.instances[0].process, SIGTERM);
  PS_WAIT_UNTIL (&w, !ps_is_ready (&w, 0));
  ps_call (&w, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (w.status, 200);
  PS_WAIT_UNTIL (&w, pt_process_has_exited (&w.instances[0].process, 0));
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 1, "b1") == 30);
  ps_assert_all_listed (&w, 1, "b1", 30);
  ps_call (&w, 1, "GET", "/-/resolve?name=h.example", "", "");
  cr_assert_null (strstr (w.body, w.instances[0].address));
  ps_cluster_clear (&w);
}

/* A reload cuts nothing, and a file that can't be read changes nothing. */
Test (shared, a_reload_cuts_nothing)
{
  PsCluster w;
  char path[128];

  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 10);
  pt_process_signal (&w.instances[0].process, SIGHUP);
  ps_call (&w, 0, "POST", "/lookup/1", "c1", "hello");
  cr_assert_eq (w.status, 200);
  snprintf (path, sizeof path, "%s/%s.json", w.folder, w.instances[0].name);
  FILE *out = fopen (path, "w");
  fputs ("{ nonsense", out);
  fclose (out);
  pt_process_signal (&w.instances[0].process, SIGHUP);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 10);
  cr_assert_not (w.instances[0].process.ended);
  ps_cluster_clear (&w);
}

/* The trainer ends a step while its items run: engines stop working on them within a second or so.
 */
Test (shared, an_ended_batch_stops_at_the_engines)
{
  PsCluster w;

  ps_cluster_init (&w);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      w.engines[i].n_events = 1000;
      w.engines[i].event_interval = 50 * LB_MSEC;
    }
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 6);
  PS_WAIT_UNTIL (&w, ps_count_engine_runs (&w) >= 6);
  ps_call (&w, 0, "DELETE", "/-/lots/b1", "", "");
  cr_assert_eq (w.status, 200);
  PS_WAIT_UNTIL (&w, w.engines[0].cancelled + w.engines[1].cancelled + w.engines[2].cancelled == 6);
  size_t runs = ps_count_engine_runs (&w);
  for (int i = 0; i < 100; i++)
    ps_run_loop_once (&w);
  cr_assert_eq (ps_count_engine_runs (&w), runs);
  ps_cluster_clear (&w);
}

/* An engine says that it leaves: nothing new goes there, and what runs there goes on to its end. */
Test (shared, an_engine_that_leaves_gets_nothing_new)
{
  PsCluster w;

  ps_cluster_init (&w);
  ps_start_instance (&w);
  ps_submit (&w, 0, "b1", 9);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b1") == 9);
  w.engines[0].draining = true;
  si_endpoint_register (&w.engines[0]);
  LbTime end = lb_clock_monotonic () + 2 * LB_SEC;
  while (lb_clock_monotonic () < end)
    ps_run_loop_once (&w);
  size_t runs = w.engines[0].n_stream_records;
  ps_submit (&w, 0, "b2", 12);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, 0, "b2") == 12);
  cr_assert_eq (w.engines[0].n_stream_records, runs);
  ps_cluster_clear (&w);
}

/* A machine was taken away; its row stays in the store. An instance that starts afterwards saw that
 * row for the first time and named the machine to its callers until three renewals were missed. */
Test (shared, a_started_instance_names_nobody_who_is_long_gone)
{
  static const char gone[]
      = "{\"name\": \"gone\", \"incarnation\": \"1\", \"data_centre\": \"hall-a\","
        " \"callers\": \"127.0.0.9:9\", \"peers\": \"\", \"ready\": true, \"renewed_ms\": 1,"
        " \"renewals\": 7, \"period_ms\": 20000}";
  PsCluster w;

  ps_cluster_init (&w);
  si_row_store_put (&w.rows, "instance", "0", "gone", gone);
  size_t a = ps_start_instance (&w);
  PS_WAIT_UNTIL (&w, ps_count_logged (&w, a, "instances_listed") > 0);
  for (int i = 0; i < 50; i++)
    {
      ps_call (&w, a, "GET", "/-/resolve?name=h.example", "", "");
      cr_assert (strstr (w.body, w.instances[a].address));
      cr_assert_not (strstr (w.body, "127.0.0.9:9"), "it names a machine that is gone");
    }
  ps_cluster_clear (&w);
}

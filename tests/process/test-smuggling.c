#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HIDDEN_REQUEST                                                                             \
  "POST /hidden HTTP/1.1\\r\\nHost: h.example\\r\\nAttempt-Id: hidden\\r\\nContent-Length: 0"      \
  "\\r\\n\\r\\n"

/* Returns the JSON of a batch of one item. item: members of the item besides id and body. */
static char *
make_batch_with_item (const char *item)
{
  return lb_asprintf ("{\"step\": 1, \"model\": \"m\", \"minVersion\": 1, \"targetGroups\": 1,"
                      " \"requests\": [{\"id\": \"item0\", \"group\": \"g\", %s}]}",
                      item);
}

/* Asserts that the engines have started no stream but those of the item "item0". */
static void
assert_only_the_item_ran (const PsCluster *cluster)
{
  for (int i = 0; i < PS_N_ENGINES; i++)
    for (size_t j = 0; j < cluster->engines[i].n_stream_records; j++)
      cr_assert_str_eq (cluster->engines[i].stream_records[j].attempt_id, "item0");
}

/* A path, host, id or header of an item hides a second request behind a line break. The batch must
 * be refused with a typed error, and nothing of it may reach an endpoint. */
Test (smuggling, a_batch_whose_items_hide_requests_is_refused)
{
  static const char *const items[] = {
    "\"body\": \"QUJD\", \"path\": \"/steps/1 HTTP/1.1\\r\\n\\r\\n" HIDDEN_REQUEST "GET /steps/1\"",
    "\"body\": \"QUJD\", \"path\": \"/steps/ 1\"",
    "\"body\": \"QUJD\", \"path\": \"/steps/1\\u0000/2\"",
    "\"body\": \"QUJD\", \"path\": \"/steps/1\", \"headers\": {\"X\": "
    "\"1\\r\\n\\r\\n" HIDDEN_REQUEST "\"}",
    "\"body\": \"QUJD\", \"path\": \"/steps/1\", \"headers\": {\"Transfer-Encoding \": "
    "\"chunked\"}",
    "\"body\": \"QUJD\", \"path\": \"/steps/1\", \"headers\": {\"X\\r\\nY\": \"1\"}",
    "\"body\": \"QUJD\", \"path\": \"/steps/1\", \"scorer\": {\"id\": \"s\", \"host\": "
    "\"h.example\","
    " \"body\": \"QUJD\", \"path\": \"/lookup/s HTTP/1.1\\r\\n\\r\\n" HIDDEN_REQUEST
    "GET /lookup\"}",
    "\"body\": \"QUJD\", \"path\": \"/steps/1\", \"scorer\": {\"id\": \"s\","
    " \"host\": \"h.example\\r\\n\\r\\n" HIDDEN_REQUEST "\", \"body\": \"QUJD\","
    " \"path\": \"/lookup/s\"}",
    "\"body\": \"QUJD\", \"path\": \"/steps/1\", \"scorer\": {\"id\": \"s\\r\\nX: 1\","
    " \"host\": \"h.example\", \"body\": \"QUJD\", \"path\": \"/lookup/s\"}",
  };
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  for (size_t i = 0; i < sizeof items / sizeof items[0]; i++)
    {
      char *batch = make_batch_with_item (items[i]);
      char id[16];
      snprintf (id, sizeof id, "b%zu", i);
      ps_call_and_wait (&cluster, 0, "POST", "/steps/1", id, batch);
      cr_expect_eq (cluster.response_status, 400, "batch %zu got status %d: %s", i,
                    cluster.response_status, cluster.response_body);
      cr_expect (strstr (cluster.response_body, "bad_value"), "expected the error bad_value: %s",
                 cluster.response_body);
      free (batch);
    }
  cr_assert_eq (ps_count_started_sample_streams (&cluster), 0);
  cr_assert_eq (cluster.lookup.n_calls, 0);
  ps_cluster_clear (&cluster);
}

/* Headers of an item state another end of its body, another host or another id. The item must run
 * with its own body and id, and the end of its body must be unambiguous. */
Test (smuggling, headers_of_an_item_do_not_change_its_framing)
{
  /* The body is an empty last chunk and a whole request, base64-encoded. */
  static const char item[]
      = "\"path\": \"/steps/1\", \"body\": \"MA0KDQpQT1NUIC9oaWRkZW4gSFRUUC8xLjENCkhvc3Q6IGgNCkF0dG"
        "VtcHQtSWQ6IGhpZGRlbg0KQ29udGVudC1MZW5ndGg6IDANCg0K\", \"headers\": {\"Token-Counts\":"
        " \"5,20\", \"Transfer-Encoding\": \"chunked\", \"content-length\": \"3\", \"Host\": \"x\","
        " \"Connection\": \"close\", \"attempt-id\": \"other\", \"Expect-Instance\": \"other\","
        " \"Last-Event-Id\": \"5\"}";
  PsCluster cluster;
  char *batch = make_batch_with_item (item);

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_call_and_wait (&cluster, 0, "POST", "/steps/1", "b1", batch);
  cr_assert_eq (cluster.response_status, 202, "%s", cluster.response_body);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 1);
  assert_only_the_item_ran (&cluster);
  cr_assert_eq (ps_count_started_sample_streams (&cluster), 1);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cr_assert_eq (cluster.engines[i].misdirected_requests, 0);
  struct json_object *page = ps_read_first_results_page (&cluster, 0, "b1");
  struct json_object *result = json_object_array_get_idx (lb_json_member (page, "results"), 0);
  cr_assert_str_eq (lb_json_text (result, "state", ""), "completed");
  json_object_put (page);
  free (batch);
  ps_cluster_clear (&cluster);
}

/* A batch's id has a space and a question mark, which end the path in a request to the store. The
 * batch must be stored and found under its whole id. */
Test (smuggling, a_batch_id_does_not_change_requests_to_the_store)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_start_instance (&cluster);
  ps_submit_batch (&cluster, 0, "b HTTP?x", 1);
  cr_assert_eq (cluster.response_status, 202, "%s", cluster.response_body);
  PS_WAIT_UNTIL (&cluster, ps_count_started_sample_streams (&cluster) == 1);
  ps_cluster_clear (&cluster);
}

#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MILL_ORGANISATION_JSON "{\"name\": \"mill\", \"apiKeys\": [\"mill-1\"], \"priority\": 1}"
#define TWO_ORGANISATIONS_JSON                                                                     \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-1\", \"post-2\"], \"priority\": "     \
  "0}, " MILL_ORGANISATION_JSON "]"
#define TWO_ORGANISATIONS_WITHOUT_KEY_POST_1_JSON                                                  \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-2\"], \"priority\": "                 \
  "0}, " MILL_ORGANISATION_JSON "]"
/* Public route for the scorer calls of batches: calls on it need no API key. */
#define PUBLIC_ROUTE_JSON                                                                          \
  ", {\"name\": \"open\", \"host\": \"h.example\", \"prefix\": \"/lookup/s\", \"kind\": \"safe\"," \
  " \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3, \"public\": true}"

static size_t
start_cluster_with_two_organisations (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  cluster->organisations_json = TWO_ORGANISATIONS_JSON;
  ps_put_desired_state (cluster, 2, PUBLIC_ROUTE_JSON);
  size_t instance = ps_start_instance (cluster);
  cluster->api_key = "post-1";
  return instance;
}

static void
revoke_api_key_post_1 (PsCluster *cluster)
{
  cluster->organisations_json = TWO_ORGANISATIONS_WITHOUT_KEY_POST_1_JSON;
  ps_put_desired_state (cluster, 3, PUBLIC_ROUTE_JSON);
}

static int
send_call_and_get_status (
    PsCluster *cluster, size_t instance, const char *method, const char *path, const char *id)
{
  ps_call_and_wait (cluster, instance, method, path, id, "");
  return cluster->response_status;
}

/* A call must reach its endpoint with the name of the organisation that owns the API key, even if
 * the caller sends another name in a header. The endpoint and the log must never get the key. */
Test (organisations, endpoint_gets_the_organisation_and_not_the_key)
{
  PsCluster cluster;
  size_t instance = start_cluster_with_two_organisations (&cluster);

  cluster.claimed_organisation = "mill";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c1"), 200);
  cr_assert_str_eq (cluster.lookup.organisation, "post");
  cluster.api_key = "mill-1";
  cluster.claimed_organisation = "post";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c2"), 200);
  cr_assert_str_eq (cluster.lookup.organisation, "mill");
  cluster.api_key = NULL;
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/s", "c3"), 200,
                "expected status 200 without a key on a public route");
  cr_assert_str_eq (cluster.lookup.organisation, "", "expected no organisation on a public route");
  cr_assert_eq (cluster.lookup.leaked_keys, 0);
  cr_assert_eq (ps_count_text_in_log (&cluster, instance, "post-1"), 0,
                "the log contains an API key");
  ps_cluster_clear (&cluster);
}

Test (organisations, calls_without_a_valid_key_are_rejected_and_do_not_run)
{
  PsCluster cluster;
  size_t instance = start_cluster_with_two_organisations (&cluster);
  int calls = cluster.lookup.n_calls;

  cluster.api_key = NULL;
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c1"), 401);
  cluster.api_key = "";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c2"), 401);
  cluster.api_key = "post-3";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c3"), 401);
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/nowhere/", "c4"), 404,
                "expected status 404 for an unknown route, also without a valid key");
  cluster.api_key = "post-1";
  cluster.second_api_key = "mill-1";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c5"), 400);
  cr_assert_eq (cluster.lookup.n_calls, calls);
  ps_cluster_clear (&cluster);
}

/* An operator revokes one of two API keys of an organisation. Calls with the revoked key must be
 * rejected within seconds; calls with the other key must be served. */
Test (organisations, revoked_key_is_rejected)
{
  PsCluster cluster;
  size_t instance = start_cluster_with_two_organisations (&cluster);

  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c1"), 200);
  revoke_api_key_post_1 (&cluster);
  PS_WAIT_UNTIL (&cluster,
                 send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c2") == 401);
  cluster.api_key = "post-2";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "POST", "/lookup/1", "c3"), 200);
  ps_cluster_clear (&cluster);
}

/* Sixty calls wait for an endpoint that runs eight calls at a time for 3 s each, when their API key
 * is revoked. The queued calls must be rejected at once and never run. */
Test (organisations, queued_calls_of_a_revoked_key_do_not_run)
{
  enum
  {
    N_CALLS = 60
  };
  PsCluster cluster;
  size_t instance = start_cluster_with_two_organisations (&cluster);
  int responses_before = cluster.n_responses;
  char id[16];

  cluster.lookup.call_duration = 3 * LB_SEC;
  for (int i = 0; i < N_CALLS; i++)
    {
      snprintf (id, sizeof id, "w%d", i);
      ps_start_call (&cluster, instance, "POST", "/lookup/1", id, "");
    }
  PS_WAIT_UNTIL (&cluster, cluster.lookup.n_calls >= 8);
  revoke_api_key_post_1 (&cluster);
  PS_WAIT_UNTIL (&cluster, cluster.n_responses > responses_before);
  cr_assert_eq (cluster.response_status, 401,
                "expected status 401 for a queued call as the first response");
  int calls_sent = cluster.lookup.n_calls;
  PS_WAIT_UNTIL (&cluster, cluster.n_responses == responses_before + N_CALLS);
  cr_assert_eq (cluster.lookup.n_calls, calls_sent);
  ps_cluster_clear (&cluster);
}

static int
send_get_with_api_key_and_get_status (PsCluster *cluster,
                                      size_t instance,
                                      const char *key,
                                      const char *path)
{
  cluster->api_key = key;
  return send_call_and_get_status (cluster, instance, "GET", path, "");
}

/* Only the organisation that submitted a batch can access it, with any of its API keys. For another
 * organisation the batch does not exist (404); a caller without a valid key gets 401. */
Test (organisations, batch_is_accessible_to_its_organisation_only)
{
  PsCluster cluster;
  size_t instance = start_cluster_with_two_organisations (&cluster);

  ps_submit_batch (&cluster, instance, "b1", 4);
  cr_assert_eq (cluster.response_status, 202);
  cr_assert_eq (send_get_with_api_key_and_get_status (&cluster, instance, "mill-1",
                                                      "/-/lots/b1?after=0"),
                404);
  cr_assert_eq (send_get_with_api_key_and_get_status (&cluster, instance, "mill-1",
                                                      "/-/items/b1?id=item1"),
                404);
  cr_assert_eq (send_get_with_api_key_and_get_status (&cluster, instance, "mill-1",
                                                      "/-/lots/unknown?after=0"),
                404);
  cr_assert_eq (send_get_with_api_key_and_get_status (&cluster, instance, "nobody",
                                                      "/-/lots/b1?after=0"),
                401);
  cr_assert_eq (send_get_with_api_key_and_get_status (&cluster, instance, NULL,
                                                      "/-/lots/unknown?after=0"),
                401);
  cr_assert_eq (send_get_with_api_key_and_get_status (&cluster, instance, "post-2",
                                                      "/-/items/b1?id=item1"),
                200);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, instance, "b1") == 4);
  ps_assert_each_item_has_one_result (&cluster, instance, "b1", 4);
  cluster.api_key = "mill-1";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "DELETE", "/-/lots/b1", ""), 404);
  cluster.api_key = "post-2";
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "DELETE", "/-/lots/b1", ""), 200);
  cr_assert_eq (send_call_and_get_status (&cluster, instance, "DELETE", "/-/lots/b1", ""), 200);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      cr_assert_eq (cluster.engines[i].leaked_keys, 0);
      cr_assert (cluster.engines[i].n_stream_records == 0
                 || strcmp (cluster.engines[i].organisation, "post") == 0);
    }
  ps_cluster_clear (&cluster);
}

/* Two organisations submit batches with the same id. Both batches must run. Treated as one batch,
 * the second would be accepted but not run, and its owner would read the results of the first. */
Test (organisations, same_batch_id_of_two_organisations_names_two_batches)
{
  PsCluster cluster;
  size_t instance = start_cluster_with_two_organisations (&cluster);

  ps_submit_batch (&cluster, instance, "same", 2);
  cr_assert_eq (cluster.response_status, 202);
  cluster.api_key = "mill-1";
  ps_submit_batch (&cluster, instance, "same", 3);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, instance, "same") == 3);
  cluster.api_key = "post-1";
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, instance, "same") == 2);
  ps_assert_each_item_has_one_result (&cluster, instance, "same", 2);
  ps_cluster_clear (&cluster);
}

/* The API key that submitted a batch is revoked, and the instance that runs the batch is killed.
 * The other instance must continue it for the same organisation, whose second key can read the
 * results. */
Test (organisations, batch_survives_its_revoked_key_and_its_killed_owner)
{
  PsCluster cluster;
  size_t instance = start_cluster_with_two_organisations (&cluster);
  size_t owner;
  int n_identified = 0;

  ps_start_instance (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 60 * LB_MSEC;
  ps_submit_batch (&cluster, instance, "b1", 6);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, (owner = ps_find_batch_owner (&cluster)) < cluster.n_instances);
  PS_WAIT_UNTIL (&cluster, ps_count_started_sample_streams (&cluster) > 0);
  revoke_api_key_post_1 (&cluster);
  pt_process_signal (&cluster.instances[owner].process, SIGKILL);
  for (int i = 0; i < PS_N_ENGINES; i++)
    LB_COPY (cluster.engines[i].organisation, "");
  size_t survivor = 1 - owner;
  cluster.api_key = "post-2";
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, survivor, "b1") == 6);
  ps_assert_each_item_has_one_result (&cluster, survivor, "b1", 6);
  for (int i = 0; i < PS_N_ENGINES; i++)
    n_identified += strcmp (cluster.engines[i].organisation, "post") == 0;
  cr_assert_gt (n_identified, 0);
  cr_assert_eq (send_get_with_api_key_and_get_status (&cluster, survivor, "post-1",
                                                      "/-/lots/b1?after=0"),
                401);
  ps_cluster_clear (&cluster);
}

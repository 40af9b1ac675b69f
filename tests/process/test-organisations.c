#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MILL "{\"name\": \"mill\", \"apiKeys\": [\"mill-1\"], \"priority\": 1}"
#define TWO_ORGANISATIONS                                                                          \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-1\", \"post-2\"], \"priority\": "     \
  "0}, " MILL "]"
#define TWO_ORGANISATIONS_WITHOUT_POST_1                                                           \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-2\"], \"priority\": 0}, " MILL "]"
/* The route of the scorer calls is public: it needs no key. */
#define PUBLIC_ROUTE                                                                               \
  ", {\"name\": \"open\", \"host\": \"h.example\", \"prefix\": \"/lookup/s\", \"kind\": \"safe\"," \
  " \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3, \"public\": true}"

static size_t
start_instance (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  cluster->organisations_json = TWO_ORGANISATIONS;
  ps_put_desired_state (cluster, 2, PUBLIC_ROUTE);
  size_t instance = ps_start_instance (cluster);
  cluster->api_key = "post-1";
  return instance;
}

static void
revoke_api_key_post_1 (PsCluster *cluster)
{
  cluster->organisations_json = TWO_ORGANISATIONS_WITHOUT_POST_1;
  ps_put_desired_state (cluster, 3, PUBLIC_ROUTE);
}

static int
call_for_status (
    PsCluster *cluster, size_t instance, const char *method, const char *path, const char *id)
{
  ps_call (cluster, instance, method, path, id, "");
  return cluster->response_status;
}

/* An endpoint gets the name of the key's organisation, whatever the caller claims to be, and never
 * the key itself. */
Test (organisations, endpoint_gets_the_organisation_and_not_the_key)
{
  PsCluster cluster;
  size_t instance = start_instance (&cluster);

  cluster.claimed_organisation = "mill";
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c1"), 200);
  cr_assert_str_eq (cluster.lookup.organisation, "post");
  cluster.api_key = "mill-1";
  cluster.claimed_organisation = "post";
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c2"), 200);
  cr_assert_str_eq (cluster.lookup.organisation, "mill");
  cluster.api_key = NULL;
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/s", "c3"), 200,
                "a public route needs no key");
  cr_assert_str_eq (cluster.lookup.organisation, "", "a public route names no organisation");
  cr_assert_eq (cluster.lookup.leaked_keys, 0);
  cr_assert_eq (ps_count_in_log (&cluster, instance, "post-1"), 0,
                "the log must not contain a key");
  ps_cluster_clear (&cluster);
}

Test (organisations, calls_without_a_valid_key_are_rejected_and_do_not_run)
{
  PsCluster cluster;
  size_t instance = start_instance (&cluster);
  int calls = cluster.lookup.n_calls;

  cluster.api_key = NULL;
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c1"), 401);
  cluster.api_key = "";
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c2"), 401);
  cluster.api_key = "post-3";
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c3"), 401);
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/nowhere/", "c4"), 404,
                "an unknown route is checked before the key");
  cluster.api_key = "post-1";
  cluster.second_api_key = "mill-1";
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c5"), 400);
  cr_assert_eq (cluster.lookup.n_calls, calls);
  ps_cluster_clear (&cluster);
}

/* An operator revokes a key. Calls with it must be rejected within seconds; the other key of the
 * organisation stays valid. */
Test (organisations, revoked_key_is_rejected)
{
  PsCluster cluster;
  size_t instance = start_instance (&cluster);

  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c1"), 200);
  revoke_api_key_post_1 (&cluster);
  PS_WAIT_UNTIL (&cluster, call_for_status (&cluster, instance, "POST", "/lookup/1", "c2") == 401);
  cluster.api_key = "post-2";
  cr_assert_eq (call_for_status (&cluster, instance, "POST", "/lookup/1", "c3"), 200);
  ps_cluster_clear (&cluster);
}

/* Sixty calls are sent to an endpoint that runs eight at a time for three seconds each, and their
 * key is revoked meanwhile. The queued calls must be rejected at once and never run. */
Test (organisations, queued_calls_of_a_revoked_key_do_not_run)
{
  enum
  {
    N_CALLS = 60
  };
  PsCluster cluster;
  size_t instance = start_instance (&cluster);
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
  cr_assert_eq (cluster.response_status, 401, "the first response goes to a queued call");
  int calls_sent = cluster.lookup.n_calls;
  PS_WAIT_UNTIL (&cluster, cluster.n_responses == responses_before + N_CALLS);
  cr_assert_eq (cluster.lookup.n_calls, calls_sent);
  ps_cluster_clear (&cluster);
}

static int
read_as (PsCluster *cluster, size_t instance, const char *key, const char *path)
{
  cluster->api_key = key;
  return call_for_status (cluster, instance, "GET", path, "");
}

/* A batch belongs to the organisation that submitted it. Another organisation gets the response for
 * an unknown id, a caller without a valid key gets 401, and every key of the organisation has full
 * access. */
Test (organisations, batch_is_accessible_to_its_organisation_only)
{
  PsCluster cluster;
  size_t instance = start_instance (&cluster);

  ps_submit_batch (&cluster, instance, "b1", 4);
  cr_assert_eq (cluster.response_status, 202);
  cr_assert_eq (read_as (&cluster, instance, "mill-1", "/-/lots/b1?after=0"), 404);
  cr_assert_eq (read_as (&cluster, instance, "mill-1", "/-/items/b1?id=item1"), 404);
  cr_assert_eq (read_as (&cluster, instance, "mill-1", "/-/lots/unknown?after=0"), 404);
  cr_assert_eq (read_as (&cluster, instance, "nobody", "/-/lots/b1?after=0"), 401);
  cr_assert_eq (read_as (&cluster, instance, NULL, "/-/lots/unknown?after=0"), 401);
  cr_assert_eq (read_as (&cluster, instance, "post-2", "/-/items/b1?id=item1"), 200);
  PS_WAIT_UNTIL (&cluster, ps_count_listed_results (&cluster, instance, "b1") == 4);
  ps_assert_all_results_listed (&cluster, instance, "b1", 4);
  cluster.api_key = "mill-1";
  cr_assert_eq (call_for_status (&cluster, instance, "DELETE", "/-/lots/b1", ""), 404);
  cluster.api_key = "post-2";
  cr_assert_eq (call_for_status (&cluster, instance, "DELETE", "/-/lots/b1", ""), 200);
  cr_assert_eq (call_for_status (&cluster, instance, "DELETE", "/-/lots/b1", ""), 200);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      cr_assert_eq (cluster.engines[i].leaked_keys, 0);
      cr_assert (cluster.engines[i].n_stream_records == 0
                 || strcmp (cluster.engines[i].organisation, "post") == 0);
    }
  ps_cluster_clear (&cluster);
}

/* Two organisations submit a batch with the same id. Treated as one batch, the second would be
 * reported as accepted, none of it would run, and the second organisation would read the results of
 * the first. */
Test (organisations, same_batch_id_of_two_organisations_names_two_batches)
{
  PsCluster cluster;
  size_t instance = start_instance (&cluster);

  ps_submit_batch (&cluster, instance, "same", 2);
  cr_assert_eq (cluster.response_status, 202);
  cluster.api_key = "mill-1";
  ps_submit_batch (&cluster, instance, "same", 3);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_listed_results (&cluster, instance, "same") == 3);
  cluster.api_key = "post-1";
  PS_WAIT_UNTIL (&cluster, ps_count_listed_results (&cluster, instance, "same") == 2);
  ps_assert_all_results_listed (&cluster, instance, "same", 2);
  ps_cluster_clear (&cluster);
}

/* The key that submitted a batch is revoked, and the instance that runs it is killed. Another
 * instance must continue the batch under the name of the organisation, whose other key can read
 * it. */
Test (organisations, batch_survives_its_revoked_key_and_its_killed_owner)
{
  PsCluster cluster;
  size_t instance = start_instance (&cluster);
  size_t owner;
  int n_identified = 0;

  ps_start_instance (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 60 * LB_MSEC;
  ps_submit_batch (&cluster, instance, "b1", 6);
  cr_assert_eq (cluster.response_status, 202);
  PS_WAIT_UNTIL (&cluster, (owner = ps_find_batch_owner (&cluster)) < cluster.n_instances);
  PS_WAIT_UNTIL (&cluster, ps_count_engine_runs (&cluster) > 0);
  revoke_api_key_post_1 (&cluster);
  pt_process_signal (&cluster.instances[owner].process, SIGKILL);
  for (int i = 0; i < PS_N_ENGINES; i++)
    LB_COPY (cluster.engines[i].organisation, "");
  size_t survivor = 1 - owner;
  cluster.api_key = "post-2";
  PS_WAIT_UNTIL (&cluster, ps_count_listed_results (&cluster, survivor, "b1") == 6);
  ps_assert_all_results_listed (&cluster, survivor, "b1", 6);
  for (int i = 0; i < PS_N_ENGINES; i++)
    n_identified += strcmp (cluster.engines[i].organisation, "post") == 0;
  cr_assert_gt (n_identified, 0);
  cr_assert_eq (read_as (&cluster, survivor, "post-1", "/-/lots/b1?after=0"), 401);
  ps_cluster_clear (&cluster);
}

#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MILL "{\"name\": \"mill\", \"apiKeys\": [\"mill-1\"], \"priority\": 1}"
#define BOTH                                                                                       \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-1\", \"post-2\"], \"priority\": "     \
  "0}, " MILL "]"
#define WITHOUT_POST_1                                                                             \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-2\"], \"priority\": 0}, " MILL "]"
/* What scorers call needs no key. */
#define OPEN_ROUTE                                                                                 \
  ", {\"name\": \"open\", \"host\": \"h.example\", \"prefix\": \"/lookup/s\", \"kind\": \"safe\"," \
  " \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3, \"public\": true}"

static size_t
begin (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  cluster->organisations_config = BOTH;
  ps_put_config (cluster, 2, OPEN_ROUTE);
  size_t a = ps_start_instance (cluster);
  cluster->api_key = "post-1";
  return a;
}

static void
take_post_1_away (PsCluster *cluster)
{
  cluster->organisations_config = WITHOUT_POST_1;
  ps_put_config (cluster, 3, OPEN_ROUTE);
}

static int
status_of (
    PsCluster *cluster, size_t instance, const char *method, const char *path, const char *id)
{
  ps_call (cluster, instance, method, path, id, "");
  return cluster->status;
}

/* An endpoint learns from this system alone whose a request is, and never the key: it hears the
 * name of the key's holder whatever the caller calls itself. */
Test (organisations, an_endpoint_hears_the_holder_of_the_key_and_not_the_key)
{
  PsCluster cluster;
  size_t a = begin (&cluster);

  cluster.claimed_organisation = "mill";
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c1"), 200);
  cr_assert_str_eq (cluster.lookup.organisation, "post");
  cluster.api_key = "mill-1";
  cluster.claimed_organisation = "post";
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c2"), 200);
  cr_assert_str_eq (cluster.lookup.organisation, "mill");
  cluster.api_key = NULL;
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/s", "c3"), 200,
                "an open route needs no key");
  cr_assert_str_eq (cluster.lookup.organisation, "", "and nobody is named on it");
  cr_assert_eq (cluster.lookup.leaked_keys, 0);
  cr_assert_eq (ps_count_logged (&cluster, a, "post-1"), 0, "no log gives a key away");
  ps_cluster_clear (&cluster);
}

Test (organisations, calls_without_a_good_key_are_refused_and_do_not_run)
{
  PsCluster cluster;
  size_t a = begin (&cluster);
  int calls = cluster.lookup.n_calls;

  cluster.api_key = NULL;
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c1"), 401);
  cluster.api_key = "";
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c2"), 401);
  cluster.api_key = "post-3";
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c3"), 401);
  cr_assert_eq (status_of (&cluster, a, "POST", "/nowhere/", "c4"), 404, "no route goes first");
  cluster.api_key = "post-1";
  cluster.second_api_key = "mill-1";
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c5"), 400);
  cr_assert_eq (cluster.lookup.n_calls, calls);
  ps_cluster_clear (&cluster);
}

/* An operator takes a key away. Callers that go on with it are refused within seconds; the other
 * key of the organisation works on. */
Test (organisations, a_key_that_is_taken_away_works_no_more)
{
  PsCluster cluster;
  size_t a = begin (&cluster);

  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c1"), 200);
  take_post_1_away (&cluster);
  PS_WAIT_UNTIL (&cluster, status_of (&cluster, a, "POST", "/lookup/1", "c2") == 401);
  cluster.api_key = "post-2";
  cr_assert_eq (status_of (&cluster, a, "POST", "/lookup/1", "c3"), 200);
  ps_cluster_clear (&cluster);
}

/* Sixty calls come at once for an endpoint that takes eight and works for three seconds. Meanwhile
 * their key is taken away. Those that wait are told so at once, and never run. */
Test (organisations, what_waits_under_a_key_that_is_taken_away_does_not_run)
{
  enum
  {
    N_CALLS = 60
  };
  PsCluster cluster;
  size_t a = begin (&cluster);
  int before = cluster.n_responses;
  char id[16];

  cluster.lookup.call_duration = 3 * LB_SEC;
  for (int i = 0; i < N_CALLS; i++)
    {
      snprintf (id, sizeof id, "w%d", i);
      ps_start_call (&cluster, a, "POST", "/lookup/1", id, "");
    }
  PS_WAIT_UNTIL (&cluster, cluster.lookup.n_calls >= 8);
  take_post_1_away (&cluster);
  PS_WAIT_UNTIL (&cluster, cluster.n_responses > before);
  cr_assert_eq (cluster.status, 401, "the first answer is to one that waited");
  int sent = cluster.lookup.n_calls;
  PS_WAIT_UNTIL (&cluster, cluster.n_responses == before + N_CALLS);
  cr_assert_eq (cluster.lookup.n_calls, sent);
  ps_cluster_clear (&cluster);
}

static int
read_status (PsCluster *cluster, size_t instance, const char *key, const char *path)
{
  cluster->api_key = key;
  return status_of (cluster, instance, "GET", path, "");
}

/* A batch belongs to the organisation that brought it. Another one gets what an unknown id gets,
 * a caller without a key learns nothing, and its own other keys may do with it what the first one
 * may.
 */
Test (organisations, a_batch_is_its_organisations_alone)
{
  PsCluster cluster;
  size_t a = begin (&cluster);

  ps_submit (&cluster, a, "b1", 4);
  cr_assert_eq (cluster.status, 202);
  cr_assert_eq (read_status (&cluster, a, "mill-1", "/-/lots/b1?after=0"), 404);
  cr_assert_eq (read_status (&cluster, a, "mill-1", "/-/items/b1?id=item1"), 404);
  cr_assert_eq (read_status (&cluster, a, "mill-1", "/-/lots/unknown?after=0"), 404);
  cr_assert_eq (read_status (&cluster, a, "nobody", "/-/lots/b1?after=0"), 401);
  cr_assert_eq (read_status (&cluster, a, NULL, "/-/lots/unknown?after=0"), 401);
  cr_assert_eq (read_status (&cluster, a, "post-2", "/-/items/b1?id=item1"), 200);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, a, "b1") == 4);
  ps_assert_all_listed (&cluster, a, "b1", 4);
  cluster.api_key = "mill-1";
  cr_assert_eq (status_of (&cluster, a, "DELETE", "/-/lots/b1", ""), 404);
  cluster.api_key = "post-2";
  cr_assert_eq (status_of (&cluster, a, "DELETE", "/-/lots/b1", ""), 200);
  cr_assert_eq (status_of (&cluster, a, "DELETE", "/-/lots/b1", ""), 200);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      cr_assert_eq (cluster.engines[i].leaked_keys, 0);
      cr_assert (cluster.engines[i].n_stream_records == 0
                 || strcmp (cluster.engines[i].organisation, "post") == 0);
    }
  ps_cluster_clear (&cluster);
}

/* Two organisations choose the same id. Were it one batch, the second would be told that it is
 * accepted, nothing of it would run, and it would find the first one's results. */
Test (organisations, two_organisations_with_one_id_have_two_batches)
{
  PsCluster cluster;
  size_t a = begin (&cluster);

  ps_submit (&cluster, a, "same", 2);
  cr_assert_eq (cluster.status, 202);
  cluster.api_key = "mill-1";
  ps_submit (&cluster, a, "same", 3);
  cr_assert_eq (cluster.status, 202);
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, a, "same") == 3);
  cluster.api_key = "post-1";
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, a, "same") == 2);
  ps_assert_all_listed (&cluster, a, "same", 2);
  ps_cluster_clear (&cluster);
}

/* The key that brought a batch is taken away, and the instance that runs it is killed. The batch
 * goes on at another one, under its organisation's name, and its other key reads it. */
Test (organisations, a_batch_outlives_its_key_and_its_owner)
{
  PsCluster cluster;
  size_t a = begin (&cluster);
  size_t owner;
  int named = 0;

  ps_start_instance (&cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 60 * LB_MSEC;
  ps_submit (&cluster, a, "b1", 6);
  cr_assert_eq (cluster.status, 202);
  PS_WAIT_UNTIL (&cluster, (owner = ps_find_owner (&cluster)) < cluster.n_instances);
  PS_WAIT_UNTIL (&cluster, ps_count_engine_runs (&cluster) > 0);
  take_post_1_away (&cluster);
  pt_process_signal (&cluster.instances[owner].process, SIGKILL);
  for (int i = 0; i < PS_N_ENGINES; i++)
    LB_COPY (cluster.engines[i].organisation, "");
  size_t other = 1 - owner;
  cluster.api_key = "post-2";
  PS_WAIT_UNTIL (&cluster, ps_count_listed (&cluster, other, "b1") == 6);
  ps_assert_all_listed (&cluster, other, "b1", 6);
  for (int i = 0; i < PS_N_ENGINES; i++)
    named += strcmp (cluster.engines[i].organisation, "post") == 0;
  cr_assert_gt (named, 0);
  cr_assert_eq (read_status (&cluster, other, "post-1", "/-/lots/b1?after=0"), 401);
  ps_cluster_clear (&cluster);
}

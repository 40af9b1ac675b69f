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
begin (PsCluster *w)
{
  ps_cluster_init (w);
  w->organisations = BOTH;
  ps_put_config (w, 2, OPEN_ROUTE);
  size_t a = ps_start_instance (w);
  w->key = "post-1";
  return a;
}

static void
take_post_1_away (PsCluster *w)
{
  w->organisations = WITHOUT_POST_1;
  ps_put_config (w, 3, OPEN_ROUTE);
}

static int
status_of (PsCluster *w, size_t instance, const char *method, const char *path, const char *id)
{
  ps_call (w, instance, method, path, id, "");
  return w->status;
}

/* An endpoint learns from this system alone whose a request is, and never the key: it hears the
 * name of the key's holder whatever the caller calls itself. */
Test (organisations, an_endpoint_hears_the_holder_of_the_key_and_not_the_key)
{
  PsCluster w;
  size_t a = begin (&w);

  w.claims = "mill";
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c1"), 200);
  cr_assert_str_eq (w.lookup.organisation, "post");
  w.key = "mill-1";
  w.claims = "post";
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c2"), 200);
  cr_assert_str_eq (w.lookup.organisation, "mill");
  w.key = NULL;
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/s", "c3"), 200, "an open route needs no key");
  cr_assert_str_eq (w.lookup.organisation, "", "and nobody is named on it");
  cr_assert_eq (w.lookup.leaked_keys, 0);
  cr_assert_eq (ps_count_logged (&w, a, "post-1"), 0, "no log gives a key away");
  ps_cluster_clear (&w);
}

Test (organisations, calls_without_a_good_key_are_refused_and_do_not_run)
{
  PsCluster w;
  size_t a = begin (&w);
  int calls = w.lookup.n_calls;

  w.key = NULL;
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c1"), 401);
  w.key = "";
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c2"), 401);
  w.key = "post-3";
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c3"), 401);
  cr_assert_eq (status_of (&w, a, "POST", "/nowhere/", "c4"), 404, "no route goes first");
  w.key = "post-1";
  w.more_key = "mill-1";
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c5"), 400);
  cr_assert_eq (w.lookup.n_calls, calls);
  ps_cluster_clear (&w);
}

/* An operator takes a key away. Callers that go on with it are refused within seconds; the other
 * key of the organisation works on. */
Test (organisations, a_key_that_is_taken_away_works_no_more)
{
  PsCluster w;
  size_t a = begin (&w);

  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c1"), 200);
  take_post_1_away (&w);
  PS_WAIT_UNTIL (&w, status_of (&w, a, "POST", "/lookup/1", "c2") == 401);
  w.key = "post-2";
  cr_assert_eq (status_of (&w, a, "POST", "/lookup/1", "c3"), 200);
  ps_cluster_clear (&w);
}

/* Sixty calls come at once for an endpoint that takes eight and works for three seconds. Meanwhile
 * their key is taken away. Those that wait are told so at once, and never run. */
Test (organisations, what_waits_under_a_key_that_is_taken_away_does_not_run)
{
  enum
  {
    N_CALLS = 60
  };
  PsCluster w;
  size_t a = begin (&w);
  int before = w.answers;
  char id[16];

  w.lookup.call_duration = 3 * LB_SEC;
  for (int i = 0; i < N_CALLS; i++)
    {
      snprintf (id, sizeof id, "w%d", i);
      ps_start_call (&w, a, "POST", "/lookup/1", id, "");
    }
  PS_WAIT_UNTIL (&w, w.lookup.n_calls >= 8);
  take_post_1_away (&w);
  PS_WAIT_UNTIL (&w, w.answers > before);
  cr_assert_eq (w.status, 401, "the first answer is to one that waited");
  int sent = w.lookup.n_calls;
  PS_WAIT_UNTIL (&w, w.answers == before + N_CALLS);
  cr_assert_eq (w.lookup.n_calls, sent);
  ps_cluster_clear (&w);
}

static int
read_status (PsCluster *w, size_t instance, const char *key, const char *path)
{
  w->key = key;
  return status_of (w, instance, "GET", path, "");
}

/* A batch belongs to the organisation that brought it. Another one gets what an unknown id gets,
 * a caller without a key learns nothing, and its own other keys may do with it what the first one
 * may.
 */
Test (organisations, a_batch_is_its_organisations_alone)
{
  PsCluster w;
  size_t a = begin (&w);

  ps_submit (&w, a, "b1", 4);
  cr_assert_eq (w.status, 202);
  cr_assert_eq (read_status (&w, a, "mill-1", "/-/lots/b1?after=0"), 404);
  cr_assert_eq (read_status (&w, a, "mill-1", "/-/items/b1?id=item1"), 404);
  cr_assert_eq (read_status (&w, a, "mill-1", "/-/lots/unknown?after=0"), 404);
  cr_assert_eq (read_status (&w, a, "nobody", "/-/lots/b1?after=0"), 401);
  cr_assert_eq (read_status (&w, a, NULL, "/-/lots/unknown?after=0"), 401);
  cr_assert_eq (read_status (&w, a, "post-2", "/-/items/b1?id=item1"), 200);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, a, "b1") == 4);
  ps_assert_all_listed (&w, a, "b1", 4);
  w.key = "mill-1";
  cr_assert_eq (status_of (&w, a, "DELETE", "/-/lots/b1", ""), 404);
  w.key = "post-2";
  cr_assert_eq (status_of (&w, a, "DELETE", "/-/lots/b1", ""), 200);
  cr_assert_eq (status_of (&w, a, "DELETE", "/-/lots/b1", ""), 200);
  for (int i = 0; i < PS_N_ENGINES; i++)
    {
      cr_assert_eq (w.engines[i].leaked_keys, 0);
      cr_assert (w.engines[i].n_stream_records == 0
                 || strcmp (w.engines[i].organisation, "post") == 0);
    }
  ps_cluster_clear (&w);
}

/* Two organisations choose the same id. Were it one batch, the second would be told that it is
 * accepted, nothing of it would run, and it would find the first one's results. */
Test (organisations, two_organisations_with_one_id_have_two_batches)
{
  PsCluster w;
  size_t a = begin (&w);

  ps_submit (&w, a, "same", 2);
  cr_assert_eq (w.status, 202);
  w.key = "mill-1";
  ps_submit (&w, a, "same", 3);
  cr_assert_eq (w.status, 202);
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, a, "same") == 3);
  w.key = "post-1";
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, a, "same") == 2);
  ps_assert_all_listed (&w, a, "same", 2);
  ps_cluster_clear (&w);
}

/* The key that brought a batch is taken away, and the instance that runs it is killed. The batch
 * goes on at another one, under its organisation's name, and its other key reads it. */
Test (organisations, a_batch_outlives_its_key_and_its_owner)
{
  PsCluster w;
  size_t a = begin (&w);
  size_t owner;
  int named = 0;

  ps_start_instance (&w);
  for (int i = 0; i < PS_N_ENGINES; i++)
    w.engines[i].event_interval = 60 * LB_MSEC;
  ps_submit (&w, a, "b1", 6);
  cr_assert_eq (w.status, 202);
  PS_WAIT_UNTIL (&w, (owner = ps_find_owner (&w)) < w.n_instances);
  PS_WAIT_UNTIL (&w, ps_count_engine_runs (&w) > 0);
  take_post_1_away (&w);
  pt_process_signal (&w.instances[owner].process, SIGKILL);
  for (int i = 0; i < PS_N_ENGINES; i++)
    LB_COPY (w.engines[i].organisation, "");
  size_t other = 1 - owner;
  w.key = "post-2";
  PS_WAIT_UNTIL (&w, ps_count_listed (&w, other, "b1") == 6);
  ps_assert_all_listed (&w, other, "b1", 6);
  for (int i = 0; i < PS_N_ENGINES; i++)
    named += strcmp (w.engines[i].organisation, "post") == 0;
  cr_assert_gt (named, 0);
  cr_assert_eq (read_status (&w, other, "post-1", "/-/lots/b1?after=0"), 401);
  ps_cluster_clear (&w);
}

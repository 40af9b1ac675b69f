#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller sends a request that crashes every endpoint that starts it, and retries it under a new
 * id at any instance. Each instance counted the crashes by a request only while that request lived
 * and shared the count with no other, so the request reached the endpoints again as soon as they
 * had restarted: a service lost nine starts of its three endpoints within twelve seconds, and the
 * requests of all other callers failed. The instances' logs of that run:
 *
 *   n0 attempt_ended id=c0 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c outcome=broken
 *   n0 endpoint_checked endpoint=i-lookup-c connections=refused broken=[777f26cc65beacb0]
 *   n1 attempt_ended id=c4 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c.1 outcome=broken
 *   n2 attempt_ended id=c322 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c.2
 *   outcome=broken */

#define N_LOOKUPS 3
#define FATAL_BODY "BAD"
#define FATAL_BODY_BASE64 "QkFE"
#define PROPAGATION_TIME (3 * LB_SEC) /* from the third crash until every instance knows of it */
#define MAX_RUNS_AFTER 3              /* runs of the request that are allowed after that */
#define N_REPEATS 12
#define BATCH_ITEMS 6
#define BATCH_WATCH_TIME (8 * LB_SEC) /* without quarantine: more than MAX_RUNS_AFTER runs */

typedef struct
{
  PsCluster cluster;
  SiEndpoint extra_lookups[N_LOOKUPS - 1];
  SiEndpoint *lookups[N_LOOKUPS];
  int n_sent;
} Scene;

static const char once_route[]
    = ", {\"name\": \"once\", \"host\": \"h.example\", \"prefix\": \"/once/\", \"kind\":"
      " \"unsafe\", \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3}";

static void
scene_init (Scene *scene)
{
  static const char *const names[] = { "i-lookup-b", "i-lookup-c" };

  scene->n_sent = 0;
  ps_cluster_init (&scene->cluster);
  ps_put_desired_state (&scene->cluster, 1, once_route);
  scene->lookups[0] = &scene->cluster.lookup;
  for (int i = 0; i < N_LOOKUPS - 1; i++)
    {
      cr_assert (si_endpoint_init (&scene->extra_lookups[i], scene->cluster.base,
                                   &scene->cluster.store, names[i], "lookups", ""));
      scene->lookups[i + 1] = &scene->extra_lookups[i];
    }
  for (int i = 0; i < N_LOOKUPS; i++)
    scene->lookups[i]->fatal_body = FATAL_BODY;
  for (int i = 0; i < PS_N_ENGINES; i++)
    scene->cluster.engines[i].fatal_body = FATAL_BODY;
  for (int i = 0; i < PS_MAX_INSTANCES; i++)
    ps_start_instance (&scene->cluster);
}

static void
scene_clear (Scene *scene)
{
  for (int i = 0; i < N_LOOKUPS - 1; i++)
    si_endpoint_clear (&scene->extra_lookups[i]);
  ps_cluster_clear (&scene->cluster);
}

static void
run_loop_for (Scene *scene, LbTime duration)
{
  LbTime end = lb_clock_monotonic () + duration;

  while (lb_clock_monotonic () < end)
    ps_run_loop_once (&scene->cluster);
}

/* Each call has a new id. */
static void
send_call (Scene *scene, size_t instance, const char *path, const char *body)
{
  char id[32];

  snprintf (id, sizeof id, "c%d", scene->n_sent++);
  ps_call (&scene->cluster, instance, "POST", path, id, body);
}

static bool
is_call_served (Scene *scene, size_t instance, const char *path, const char *body)
{
  send_call (scene, instance, path, body);
  return scene->cluster.response_status == 200;
}

static int
count_lookup_crashes (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < N_LOOKUPS; i++)
    n += scene->lookups[i]->crashes;
  return n;
}

static int
count_lookup_runs (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < N_LOOKUPS; i++)
    n += scene->lookups[i]->fatal_requests;
  return n;
}

static int
count_engine_crashes (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += scene->cluster.engines[i].crashes;
  return n;
}

static int
count_engine_runs (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += scene->cluster.engines[i].fatal_requests;
  return n;
}

/* Sends the fatal call to the instances in turn until three lookup endpoints have crashed. */
static void
crash_three_lookups (Scene *scene, const char *path)
{
  for (size_t i = 0; count_lookup_crashes (scene) < 3; i++)
    {
      send_call (scene, i % PS_MAX_INSTANCES, path, FATAL_BODY);
      run_loop_for (scene, 10 * LB_MSEC);
    }
}

/* Sends the fatal call repeatedly to the instances in turn, each time after that instance has
 * served another request and thus reaches endpoints. */
static void
repeat_call (Scene *scene, const char *path)
{
  for (size_t i = 0; i < N_REPEATS; i++)
    {
      size_t instance = i % PS_MAX_INSTANCES;
      PS_WAIT_UNTIL (&scene->cluster, is_call_served (scene, instance, "/lookup/8", "GOOD"));
      send_call (scene, instance, path, FATAL_BODY);
    }
}

static void
assert_rejected (const Scene *scene)
{
  cr_assert_eq (scene->cluster.response_status, 503, "%d %s", scene->cluster.response_status,
                scene->cluster.response_body);
  cr_assert_neq (scene->cluster.retry_after[0], '\0');
}

/* The call is rejected as not run with a retry time. Other calls are served meanwhile, also with
 * the same path or a similar body. */
Test (crashing, repeated_fatal_call_is_quarantined)
{
  Scene scene;

  scene_init (&scene);
  crash_three_lookups (&scene, "/lookup/7");
  run_loop_for (&scene, PROPAGATION_TIME);
  int runs_before = count_lookup_runs (&scene);
  repeat_call (&scene, "/lookup/7");
  cr_assert_leq (count_lookup_runs (&scene) - runs_before, MAX_RUNS_AFTER);
  assert_rejected (&scene);
  cr_assert (is_call_served (&scene, 0, "/lookup/7", "GOOD"));
  cr_assert (is_call_served (&scene, 1, "/lookup/9", "BAD?"));
  scene_clear (&scene);
}

/* The same for a call that may run only once: each repetition is a new request. */
Test (crashing, repeated_unsafe_fatal_call_is_quarantined)
{
  Scene scene;

  scene_init (&scene);
  crash_three_lookups (&scene, "/once/7");
  run_loop_for (&scene, PROPAGATION_TIME);
  int runs_before = count_lookup_runs (&scene);
  repeat_call (&scene, "/once/7");
  cr_assert_leq (count_lookup_runs (&scene) - runs_before, MAX_RUNS_AFTER);
  assert_rejected (&scene);
  scene_clear (&scene);
}

/* All instances are killed and restarted, so that they know only what is stored. */
Test (crashing, quarantine_survives_restart_of_all_instances)
{
  Scene scene;

  scene_init (&scene);
  crash_three_lookups (&scene, "/lookup/7");
  run_loop_for (&scene, PROPAGATION_TIME);
  int runs_before = count_lookup_runs (&scene);
  for (size_t i = 0; i < PS_MAX_INSTANCES; i++)
    pt_process_clear (&scene.cluster.instances[i].process);
  for (size_t i = 0; i < PS_MAX_INSTANCES; i++)
    ps_restart_instance (&scene.cluster, i);
  repeat_call (&scene, "/lookup/7");
  cr_assert_leq (count_lookup_runs (&scene) - runs_before, MAX_RUNS_AFTER);
  assert_rejected (&scene);
  scene_clear (&scene);
}

/* The endpoints crash under requests of one instance during a store outage. Its reports must reach
 * the other instances once the store is back. */
Test (crashing, crashes_during_store_outage_are_reported_afterwards)
{
  Scene scene;

  scene_init (&scene);
  scene.cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  PS_WAIT_UNTIL (&scene.cluster, (ps_call (&scene.cluster, 0, "POST", "/lookup/7", "c", FATAL_BODY),
                                  count_lookup_crashes (&scene) >= 3));
  scene.cluster.store.mode = SI_ROW_STORE_NORMAL;
  run_loop_for (&scene, PROPAGATION_TIME);
  int runs_before = count_lookup_runs (&scene);
  repeat_call (&scene, "/lookup/7");
  cr_assert_leq (count_lookup_runs (&scene) - runs_before, MAX_RUNS_AFTER);
  scene_clear (&scene);
}

/* --- batches --- */

/* Submits a step of which one item, or the scorer of one item, crashes every endpoint that starts
 * it. */
static void
submit_fatal_batch (Scene *scene, bool is_scorer_fatal)
{
  char *text = ps_make_batch_json (BATCH_ITEMS);
  struct json_object *batch = json_tokener_parse (text);
  struct json_object *items = lb_json_member (batch, "requests");
  struct json_object *item = json_object_array_get_idx (items, 2);
  struct json_object *fatal = is_scorer_fatal ? lb_json_member (item, "scorer") : item;

  json_object_object_add (fatal, "body", json_object_new_string (FATAL_BODY_BASE64));
  ps_call (&scene->cluster, 0, "POST", "/steps/1", "b1", json_object_to_json_string (batch));
  cr_assert_eq (scene->cluster.response_status, 202);
  json_object_put (batch);
  free (text);
}

/* The other samples of the step are delivered, and the engines survive. */
Test (crashing, fatal_sample_is_quarantined)
{
  Scene scene;

  scene_init (&scene);
  submit_fatal_batch (&scene, false);
  PS_WAIT_UNTIL (&scene.cluster, count_engine_crashes (&scene) >= 3);
  run_loop_for (&scene, PROPAGATION_TIME);
  int runs_before = count_engine_runs (&scene);
  run_loop_for (&scene, BATCH_WATCH_TIME);
  cr_assert_leq (count_engine_runs (&scene) - runs_before, MAX_RUNS_AFTER);
  PS_WAIT_UNTIL (&scene.cluster,
                 ps_count_listed_results (&scene.cluster, 1, "b1") == BATCH_ITEMS - 1);
  ps_submit_batch (&scene.cluster, 1, "b2", BATCH_ITEMS);
  PS_WAIT_UNTIL (&scene.cluster, ps_count_listed_results (&scene.cluster, 2, "b2") == BATCH_ITEMS);
  scene_clear (&scene);
}

/* The same for the scorer call, which the instance itself makes. */
Test (crashing, fatal_scorer_call_is_quarantined)
{
  Scene scene;

  scene_init (&scene);
  submit_fatal_batch (&scene, true);
  PS_WAIT_UNTIL (&scene.cluster, count_lookup_crashes (&scene) >= 3);
  run_loop_for (&scene, PROPAGATION_TIME);
  int runs_before = count_lookup_runs (&scene);
  run_loop_for (&scene, BATCH_WATCH_TIME);
  cr_assert_leq (count_lookup_runs (&scene) - runs_before, MAX_RUNS_AFTER);
  PS_WAIT_UNTIL (&scene.cluster,
                 ps_count_listed_results (&scene.cluster, 1, "b1") == BATCH_ITEMS - 1);
  scene_clear (&scene);
}

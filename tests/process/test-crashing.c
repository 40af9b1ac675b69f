#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-json.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A caller sends a request that ends every endpoint which begins it, and sends it again, under a
 * new id, at whatever instance it is told of. Each instance counted what one request had broken
 * only as long as that request lived, and told nobody, so it went to the endpoints again as soon as
 * they were back: a service lost nine starts of its three endpoints within twelve seconds, and the
 * requests of everybody else failed with them. What settled it, from the instances' logs:
 *
 *   n0 attempt_ended id=c0 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c outcome=broken
 *   n0 endpoint_checked endpoint=i-lookup-c connections=refused broken=[777f26cc65beacb0]
 *   n1 attempt_ended id=c4 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c.1 outcome=broken
 *   n2 attempt_ended id=c322 content=777f26cc65beacb0 attempt=1 endpoint=i-lookup-c.2
 * outcome=broken
 */

#define N_LOOKUPS 3
#define BAD "BAD"
#define BAD_ENCODED "QkFE" /* base64 */
/* From the third endpoint's end until every instance has to know. */
#define LEARN_TIME (3 * LB_SEC)
#define MAX_AFTER 3 /* times that the request may reach endpoints after that */
#define REPEATS 12
#define BATCH_ITEMS 6
#define BATCH_TIME (8 * LB_SEC) /* in which an item was tried again more than MAX_AFTER times */

typedef struct
{
  PsCluster cluster;
  SiEndpoint more[N_LOOKUPS - 1];
  SiEndpoint *lookups[N_LOOKUPS];
  int sent;
} Scene;

static const char once_route[]
    = ", {\"name\": \"once\", \"host\": \"h.example\", \"prefix\": \"/once/\", \"kind\":"
      " \"unsafe\", \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3}";

static void
scene_init (Scene *scene)
{
  static const char *const names[] = { "i-lookup-b", "i-lookup-c" };

  scene->sent = 0;
  ps_cluster_init (&scene->cluster);
  ps_put_config (&scene->cluster, 1, once_route);
  scene->lookups[0] = &scene->cluster.lookup;
  for (int i = 0; i < N_LOOKUPS - 1; i++)
    {
      cr_assert (si_endpoint_init (&scene->more[i], scene->cluster.base, &scene->cluster.store,
                                   names[i], "lookups", ""));
      scene->lookups[i + 1] = &scene->more[i];
    }
  for (int i = 0; i < N_LOOKUPS; i++)
    scene->lookups[i]->fatal_body = BAD;
  for (int i = 0; i < PS_N_ENGINES; i++)
    scene->cluster.engines[i].fatal_body = BAD;
  for (int i = 0; i < PS_MAX_INSTANCES; i++)
    ps_start_instance (&scene->cluster);
}

static void
scene_clear (Scene *scene)
{
  for (int i = 0; i < N_LOOKUPS - 1; i++)
    si_endpoint_clear (&scene->more[i]);
  ps_cluster_clear (&scene->cluster);
}

static void
pause_for (Scene *scene, LbTime time)
{
  LbTime end = lb_clock_monotonic () + time;

  while (lb_clock_monotonic () < end)
    ps_run_loop_once (&scene->cluster);
}

/* Each time under another id. */
static void
send_to (Scene *scene, size_t instance, const char *path, const char *body)
{
  char id[32];

  snprintf (id, sizeof id, "c%d", scene->sent++);
  ps_call (&scene->cluster, instance, "POST", path, id, body);
}

static bool
is_served (Scene *scene, size_t instance, const char *path, const char *body)
{
  send_to (scene, instance, path, body);
  return scene->cluster.status == 200;
}

static int
lookup_crashes (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < N_LOOKUPS; i++)
    n += scene->lookups[i]->crashes;
  return n;
}

static int
lookup_runs (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < N_LOOKUPS; i++)
    n += scene->lookups[i]->fatal_requests;
  return n;
}

static int
engine_crashes (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += scene->cluster.engines[i].crashes;
  return n;
}

static int
engine_runs (const Scene *scene)
{
  int n = 0;

  for (int i = 0; i < PS_N_ENGINES; i++)
    n += scene->cluster.engines[i].fatal_requests;
  return n;
}

/* Sent at one instance after the other. */
static void
crash_three (Scene *scene, const char *path)
{
  for (size_t i = 0; lookup_crashes (scene) < 3; i++)
    {
      send_to (scene, i % PS_MAX_INSTANCES, path, BAD);
      pause_for (scene, 10 * LB_MSEC);
    }
}

/* Sends it again and again, at one instance after the other, each time once that instance reaches
 * endpoints: it serves another request. */
static void
repeat (Scene *scene, const char *path)
{
  for (size_t i = 0; i < REPEATS; i++)
    {
      size_t instance = i % PS_MAX_INSTANCES;
      PS_WAIT_UNTIL (&scene->cluster, is_served (scene, instance, "/lookup/8", "GOOD"));
      send_to (scene, instance, path, BAD);
    }
}

static void
assert_refused (const Scene *scene)
{
  cr_assert_eq (scene->cluster.status, 503, "%d %s", scene->cluster.status, scene->cluster.body);
  cr_assert_neq (scene->cluster.retry_after[0], '\0');
}

/* The caller learns that it was not run and when to come back, and others are served meanwhile,
 * also with the same path or the same body. */
Test (crashing, a_call_that_comes_again_stops_going_round)
{
  Scene scene;

  scene_init (&scene);
  crash_three (&scene, "/lookup/7");
  pause_for (&scene, LEARN_TIME);
  int before = lookup_runs (&scene);
  repeat (&scene, "/lookup/7");
  cr_assert_leq (lookup_runs (&scene) - before, MAX_AFTER);
  assert_refused (&scene);
  cr_assert (is_served (&scene, 0, "/lookup/7", "GOOD"));
  cr_assert (is_served (&scene, 1, "/lookup/9", "BAD?"));
  scene_clear (&scene);
}

/* The same for a call that may run once only: each repeat is a request of its own. */
Test (crashing, a_call_that_runs_once_stops_going_round)
{
  Scene scene;

  scene_init (&scene);
  crash_three (&scene, "/once/7");
  pause_for (&scene, LEARN_TIME);
  int before = lookup_runs (&scene);
  repeat (&scene, "/once/7");
  cr_assert_leq (lookup_runs (&scene) - before, MAX_AFTER);
  assert_refused (&scene);
  scene_clear (&scene);
}

/* All instances are killed and start again, and know nothing of what they saw. */
Test (crashing, a_restart_of_all_instances_forgets_nothing)
{
  Scene scene;

  scene_init (&scene);
  crash_three (&scene, "/lookup/7");
  pause_for (&scene, LEARN_TIME);
  int before = lookup_runs (&scene);
  for (size_t i = 0; i < PS_MAX_INSTANCES; i++)
    pt_process_clear (&scene.cluster.instances[i].process);
  for (size_t i = 0; i < PS_MAX_INSTANCES; i++)
    ps_restart_instance (&scene.cluster, i);
  repeat (&scene, "/lookup/7");
  cr_assert_leq (lookup_runs (&scene) - before, MAX_AFTER);
  assert_refused (&scene);
  scene_clear (&scene);
}

/* The store is away while the endpoints end under requests of one instance. What it has seen has to
 * reach the others once the store is back. */
Test (crashing, what_is_seen_without_the_store_is_told_when_it_is_back)
{
  Scene scene;

  scene_init (&scene);
  scene.cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  PS_WAIT_UNTIL (&scene.cluster, (ps_call (&scene.cluster, 0, "POST", "/lookup/7", "c", BAD),
                                  lookup_crashes (&scene) >= 3));
  scene.cluster.store.mode = SI_ROW_STORE_NORMAL;
  pause_for (&scene, LEARN_TIME);
  int before = lookup_runs (&scene);
  repeat (&scene, "/lookup/7");
  cr_assert_leq (lookup_runs (&scene) - before, MAX_AFTER);
  scene_clear (&scene);
}

/* --- batches --- */

/* A step of which one item, or the scorer of one, ends whatever begins it. */
static void
submit_bad (Scene *scene, bool bad_scorer)
{
  char *text = ps_make_batch (BATCH_ITEMS);
  struct json_object *batch = json_tokener_parse (text);
  struct json_object *items = lb_json_member (batch, "requests");
  struct json_object *item = json_object_array_get_idx (items, 2);
  struct json_object *bad = bad_scorer ? lb_json_member (item, "scorer") : item;

  json_object_object_add (bad, "body", json_object_new_string (BAD_ENCODED));
  ps_call (&scene->cluster, 0, "POST", "/steps/1", "b1", json_object_to_json_string (batch));
  cr_assert_eq (scene->cluster.status, 202);
  json_object_put (batch);
  free (text);
}

/* The trainer's other samples come, and the engines stay. */
Test (crashing, a_sample_stops_going_round)
{
  Scene scene;

  scene_init (&scene);
  submit_bad (&scene, false);
  PS_WAIT_UNTIL (&scene.cluster, engine_crashes (&scene) >= 3);
  pause_for (&scene, LEARN_TIME);
  int before = engine_runs (&scene);
  pause_for (&scene, BATCH_TIME);
  cr_assert_leq (engine_runs (&scene) - before, MAX_AFTER);
  PS_WAIT_UNTIL (&scene.cluster, ps_count_listed (&scene.cluster, 1, "b1") == BATCH_ITEMS - 1);
  ps_submit (&scene.cluster, 1, "b2", BATCH_ITEMS);
  PS_WAIT_UNTIL (&scene.cluster, ps_count_listed (&scene.cluster, 2, "b2") == BATCH_ITEMS);
  scene_clear (&scene);
}

/* The same for the call that scores a sample, which the instance makes on its own. */
Test (crashing, a_scorer_call_stops_going_round)
{
  Scene scene;

  scene_init (&scene);
  submit_bad (&scene, true);
  PS_WAIT_UNTIL (&scene.cluster, lookup_crashes (&scene) >= 3);
  pause_for (&scene, LEARN_TIME);
  int before = lookup_runs (&scene);
  pause_for (&scene, BATCH_TIME);
  cr_assert_leq (lookup_runs (&scene) - before, MAX_AFTER);
  PS_WAIT_UNTIL (&scene.cluster, ps_count_listed (&scene.cluster, 1, "b1") == BATCH_ITEMS - 1);
  scene_clear (&scene);
}

#include "pt-relay.h"
#include "pt-cluster.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  SiCheckedCallResult result;
  bool is_done;
} PendingCall;

static void
on_call_done (const SiCheckedCallResult *result, void *user)
{
  PendingCall *pending_call = user;

  pending_call->result = *result;
  pending_call->is_done = true;
}

static bool
is_call_done (PtCluster *cluster, void *user)
{
  (void)cluster;
  return ((PendingCall *)user)->is_done;
}

typedef struct
{
  PtProgram *endpoint;
  const char *key;
} RunQuery;

static bool
has_run (PtCluster *cluster, void *user)
{
  RunQuery *run_query = user;

  return pt_count_call_runs (cluster, run_query->endpoint, run_query->key) > 0;
}

typedef struct
{
  PtCluster cluster;
  PtRelay relay;
  PtProgram *instance;
  PtProgram *endpoint; /* the instance reaches it through the relay only */
} Scene;

static void
scene_init (Scene *scene,
            PtProgram *(*start_endpoint) (PtCluster *, const char *, const char *const *),
            const char *name,
            const char *const *options)
{
  LbName direct_address;

  pt_cluster_init (&scene->cluster);
  scene->cluster.has_memory_platform = true;
  scene->endpoint = start_endpoint (&scene->cluster, name, options);
  pt_relay_init (&scene->relay, scene->cluster.client.base, scene->endpoint->address);
  scene->instance = pt_start_instance (&scene->cluster, "i1", "hall-a");
  strcpy (direct_address, scene->endpoint->address);
  strcpy (scene->endpoint->address, scene->relay.address);
  pt_apply_resources (&scene->cluster, scene->instance);
  strcpy (scene->endpoint->address, direct_address);
  pt_wait_until_ready (&scene->cluster, scene->instance);
}

static void
scene_clear (Scene *scene)
{
  pt_relay_clear (&scene->relay);
  pt_drain_instances (&scene->cluster);
  pt_cluster_clear (&scene->cluster);
}

/* A caller reads a stream when a device between the instance and its engine loses its connection
 * state: the open connection delivers no data and no error, while new connections work. Without a
 * bound on silence the caller waits for ever. The stream must resume over a new connection after
 * the last token and be complete, and so must later calls, which would otherwise get the same
 * pooled connections. */
Test (silence, stream_resumes_over_a_new_connection)
{
  static const char *const slow_options[] = { "--tokens-per-second", "60", NULL };
  Scene scene;
  PendingCall pending_call = { .is_done = false };

  scene_init (&scene, pt_start_engine, "engine-1", slow_options);
  SiCheckedCallSpec spec = { .address = scene.instance->address,
                             .model = "reader",
                             .prompt = "a reply",
                             .max_tokens = 90,
                             .stream = true };
  cr_assert_eq (pt_run_checked_call (&scene.cluster, &spec).outcome, SI_CALL_COMPLETE);
  spec.prompt = "another reply";
  RunQuery run_query = { scene.endpoint, spec.prompt };
  si_checked_call_start (scene.cluster.client.pool, &spec, on_call_done, &pending_call);
  pt_wait_until (&scene.cluster, "the engine has started the call", has_run, &run_query);
  si_client_pause (&scene.cluster.client, 300 * LB_MSEC);
  pt_relay_blackhole_connections (&scene.relay);

  pt_wait_until (&scene.cluster, "the call is done", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_COMPLETE, "%d %s", pending_call.result.outcome,
                pending_call.result.error);
  cr_assert_eq (pt_read_log_counter (&scene.cluster, scene.endpoint, "resume_mismatches"), 0);
  spec.prompt = "a third";
  cr_assert_eq (pt_run_checked_call (&scene.cluster, &spec).outcome, SI_CALL_COMPLETE);
  scene_clear (&scene);
}

/* An unsafe call is in progress when its connection goes silent. Whether it ran cannot be known, so
 * it must neither be retried, which could run it twice, nor be reported as not run, after which the
 * caller would send it again. */
Test (silence, call_that_may_have_run_is_not_retried_nor_reported_as_not_run)
{
  static const char *const slow_options[] = { "--latency-ms", "400", NULL };
  Scene scene;
  PendingCall pending_call = { .is_done = false };

  scene_init (&scene, pt_start_service, "lookup-1", slow_options);
  SiCheckedCallSpec spec = { .kind = SI_CHECKED_CALL_SERVICE,
                             .address = scene.instance->address,
                             .model = "/services/lookup/order",
                             .prompt = "send order 7",
                             .order = "order-7",
                             .deadline_ms = "2000",
                             .idle_timeout = PT_WAIT_TIMEOUT };
  RunQuery run_query = { scene.endpoint, "order-7" };
  si_checked_call_start (scene.cluster.client.pool, &spec, on_call_done, &pending_call);
  pt_wait_until (&scene.cluster, "the service has started the call", has_run, &run_query);
  pt_relay_blackhole_connections (&scene.relay);

  pt_wait_until (&scene.cluster, "the call is done", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_FAILED, "%d %s", pending_call.result.outcome,
                pending_call.result.error);
  cr_assert (strcmp (pending_call.result.error, "deadline") == 0
                 || strcmp (pending_call.result.error, "outcome_unknown") == 0,
             "%s", pending_call.result.error);
  cr_assert_eq (pt_count_call_runs (&scene.cluster, scene.endpoint, "order-7"), 1);
  spec.order = "order-8";
  spec.deadline_ms = NULL;
  cr_assert_eq (pt_run_checked_call (&scene.cluster, &spec).outcome, SI_CALL_COMPLETE);
  scene_clear (&scene);
}

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
  bool done;
} Answer;

static void
on_answer (const SiCheckedCallResult *result, void *user)
{
  Answer *answer = user;

  answer->result = *result;
  answer->done = true;
}

static bool
is_answered (PtCluster *cluster, void *user)
{
  (void)cluster;
  return ((Answer *)user)->done;
}

typedef struct
{
  PtProgram *endpoint;
  const char *key;
} Run;

static bool
has_run (PtCluster *cluster, void *user)
{
  Run *run = user;

  return pt_count_runs (cluster, run->endpoint, run->key) > 0;
}

typedef struct
{
  PtCluster cluster;
  PtRelay relay;
  PtProgram *instance;
  PtProgram *endpoint; /* reached through the relay only */
} Scene;

static void
scene_open (Scene *scene,
            PtProgram *(*start) (PtCluster *, const char *, const char *const *),
            const char *name,
            const char *const *options)
{
  LbName direct;

  pt_cluster_init (&scene->cluster);
  scene->cluster.has_memory_platform = true;
  scene->endpoint = start (&scene->cluster, name, options);
  pt_relay_init (&scene->relay, scene->cluster.client.base, scene->endpoint->address);
  scene->instance = pt_start_instance (&scene->cluster, "i1", "hall-a");
  strcpy (direct, scene->endpoint->address);
  strcpy (scene->endpoint->address, scene->relay.address);
  pt_apply_resources (&scene->cluster, scene->instance);
  strcpy (scene->endpoint->address, direct);
  pt_wait_ready (&scene->cluster, scene->instance);
}

static void
scene_close (Scene *scene)
{
  pt_relay_clear (&scene->relay);
  pt_cluster_drain (&scene->cluster);
  pt_cluster_clear (&scene->cluster);
}

/* A shopper reads a reply as it is written. Something between an instance and its engine loses
 * track of the open connection: no byte comes any more and none is refused, while new connections
 * work. Without a bound on silence the shopper waits for ever; the answer must go on over a new
 * connection from the last word, and be whole. The answers of the next callers, who would be given
 * the same kept connections, must be whole too. */
Test (silence, stream_goes_on_over_a_new_connection)
{
  static const char *const slow[] = { "--tokens-per-second", "60", NULL };
  Scene scene;
  Answer answer = { .done = false };

  scene_open (&scene, pt_start_engine, "engine-1", slow);
  SiCheckedCallSpec spec = { .address = scene.instance->address,
                             .model = "reader",
                             .prompt = "a reply",
                             .max_tokens = 90,
                             .stream = true };
  cr_assert_eq (pt_checked_call (&scene.cluster, &spec).outcome, SI_CALL_COMPLETE);
  spec.prompt = "another reply";
  Run run = { scene.endpoint, spec.prompt };
  si_checked_call_start (scene.cluster.client.pool, &spec, on_answer, &answer);
  pt_wait (&scene.cluster, "the engine has the call", has_run, &run);
  si_client_pause (&scene.cluster.client, 300 * LB_MSEC);
  pt_relay_blackhole_connections (&scene.relay);

  pt_wait (&scene.cluster, "the answer ends", is_answered, &answer);
  cr_assert_eq (answer.result.outcome, SI_CALL_COMPLETE, "%d %s", answer.result.outcome,
                answer.result.error);
  cr_assert_eq (pt_read_log_counter (&scene.cluster, scene.endpoint, "resume_mismatches"), 0);
  spec.prompt = "a third";
  cr_assert_eq (pt_checked_call (&scene.cluster, &spec).outcome, SI_CALL_COMPLETE);
  scene_close (&scene);
}

/* An order message is on its way to the chat service when the connection is lost track of. Whether
 * it ran can't be known, so it may neither be sent again, or the shopper gets it twice, nor be
 * called "not run", or the merchant sends it again himself. */
Test (silence, order_that_may_have_run_is_not_repeated_nor_called_not_run)
{
  static const char *const slow[] = { "--latency-ms", "400", NULL };
  Scene scene;
  Answer answer = { .done = false };

  scene_open (&scene, pt_start_service, "lookup-1", slow);
  SiCheckedCallSpec spec = { .kind = SI_CHECKED_CALL_SERVICE,
                             .address = scene.instance->address,
                             .model = "/services/lookup/order",
                             .prompt = "send order 7",
                             .order = "order-7",
                             .deadline_ms = "2000",
                             .idle_timeout = PT_WAIT_TIMEOUT };
  Run run = { scene.endpoint, "order-7" };
  si_checked_call_start (scene.cluster.client.pool, &spec, on_answer, &answer);
  pt_wait (&scene.cluster, "the service has the call", has_run, &run);
  pt_relay_blackhole_connections (&scene.relay);

  pt_wait (&scene.cluster, "the answer ends", is_answered, &answer);
  cr_assert_eq (answer.result.outcome, SI_CALL_FAILED, "%d %s", answer.result.outcome,
                answer.result.error);
  cr_assert (strcmp (answer.result.error, "deadline") == 0
                 || strcmp (answer.result.error, "outcome_unknown") == 0,
             "%s", answer.result.error);
  cr_assert_eq (pt_count_runs (&scene.cluster, scene.endpoint, "order-7"), 1);
  spec.order = "order-8";
  spec.deadline_ms = NULL;
  cr_assert_eq (pt_checked_call (&scene.cluster, &spec).outcome, SI_CALL_COMPLETE);
  scene_close (&scene);
}

#include "pt-cluster.h"

#include <criterion/criterion.h>
#include <signal.h>
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

static bool
has_engine_started_a_call (PtCluster *cluster, void *user)
{
  return pt_read_standin_log_counter (cluster, user, "started") > 0;
}

static bool
has_engine_started_long_stream (PtCluster *cluster, void *user)
{
  return pt_count_call_runs (cluster, user, "a long envelope") > 0;
}

/* An instance gets SIGTERM while a caller reads a long stream. A process that exits at SIGTERM, or
 * at the end of its drain time, truncates the stream. The instance must complete the stream, reject
 * new calls as not run, and then exit with 0. */
Test (drain, stream_in_progress_is_completed_before_exit)
{
  static const char *const slow_options[] = { "--tokens-per-second", "40", NULL };
  PtCluster cluster;
  PendingCall pending_call = { .is_done = false };

  pt_cluster_init (&cluster);
  cluster.has_memory_platform = true;
  PtProgram *engine = pt_start_engine (&cluster, "engine-1", slow_options);
  PtProgram *instance = pt_start_instance (&cluster, "i1", "hall-a");
  pt_configure_cluster (&cluster, instance);
  pt_wait_until_instance_ready (&cluster, instance);
  SiCheckedCallSpec spec = { .address = instance->address,
                             .model = "reader",
                             .prompt = "a long envelope",
                             .max_tokens = 120,
                             .stream = true };
  si_checked_call_start (cluster.client.pool, &spec, on_call_done, &pending_call);
  pt_wait_until (&cluster, "the engine has started the call", has_engine_started_a_call, engine);

  pt_process_signal (&instance->process, SIGTERM);
  pt_process_signal (&instance->process, SIGTERM);
  si_client_pause (&cluster.client, 100 * LB_MSEC);
  spec.prompt = "another";
  SiCheckedCallResult rejected = pt_run_checked_call (&cluster, &spec);
  cr_assert_eq (rejected.outcome, SI_CALL_NOT_RUN, "expected SI_CALL_NOT_RUN, got outcome %d: %s",
                rejected.outcome, rejected.error);
  cr_assert_eq (pt_count_call_runs (&cluster, engine, "another"), 0);

  pt_wait_until (&cluster, "the stream ends", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_COMPLETE, "stream ended with outcome %d: %s",
                pending_call.result.outcome, pending_call.result.error);
  pt_wait_for_exit_with_code (&cluster, &instance->process, 0);
  pt_cluster_clear (&cluster);
}

/* The listener is closed after the drain time, so a new connection is refused (LB_ERROR_IO). A
 * request on an open connection gets the error "draining". */
static bool
is_pull_rejected (PtCluster *cluster, void *user)
{
  const PtProgram *instance = user;
  const SiCall call = { .method = "POST",
                        .address = instance->address,
                        .path = "/v1/subscriptions/reader-trainer/pull",
                        .body = "{\"step\": 1, \"cursor\": \"\", \"weight_version\": 1, "
                                "\"max_samples\": 1, \"wait_ms\": 10}",
                        .idle_timeout = LB_SEC };
  SiResponse response;

  si_client_call (&cluster->client, &call, &response);
  bool is_rejected = strcmp (si_response_get_error_type (&response), "draining") == 0
                     || response.failure == LB_ERROR_IO;
  si_response_clear (&response);
  return is_rejected;
}

/* An instance gets SIGTERM while a trainer pulls samples through it from the owner of the step. A
 * pull is nearly always in progress and would keep the process running for 15 s, so the instance
 * must reject pulls after its drain time. In this test a long stream keeps the process alive to
 * respond. */
Test (drain, pulls_are_rejected_after_the_drain_time)
{
  static const char *const slow_options[] = { "--tokens-per-second", "20", NULL };
  PtCluster cluster;
  PendingCall pending_call = { .is_done = false };

  pt_cluster_init (&cluster);
  pt_start_platform (&cluster);
  PtProgram *engine = pt_start_engine (&cluster, "engine-1", slow_options);
  PtProgram *draining = pt_start_instance (&cluster, "i1", "hall-a");
  PtProgram *owner = pt_start_instance (&cluster, "i2", "hall-b");
  pt_configure_cluster (&cluster, draining);
  pt_wait_until_instance_ready (&cluster, draining);
  pt_wait_until_instance_ready (&cluster, owner);
  json_object_put (si_client_call_json (
      &cluster.client, owner->address, "/v1/subscriptions/reader-trainer/steps",
      "{\"step\": 1, \"weight_version\": 1, \"groups\": [{\"id\": \"g0\", \"prompt\": \"p\", "
      "\"samples\": 1, \"max_tokens\": 120}]}"));
  pt_wait_until (&cluster, "the engine has started the step", has_engine_started_a_call, engine);
  const SiCheckedCallSpec spec = { .address = draining->address,
                                   .model = "reader",
                                   .prompt = "a long envelope",
                                   .max_tokens = 120,
                                   .stream = true };
  si_checked_call_start (cluster.client.pool, &spec, on_call_done, &pending_call);
  pt_wait_until (&cluster, "the engine has started the long stream", has_engine_started_long_stream,
                 engine);

  pt_process_signal (&draining->process, SIGTERM);
  pt_wait_until (&cluster, "the draining instance rejects the pull", is_pull_rejected, draining);
  cr_assert_not (pending_call.is_done);
  cr_assert_not (draining->process.ended);
  pt_wait_until (&cluster, "the stream ends", is_call_done, &pending_call);
  cr_assert_eq (pending_call.result.outcome, SI_CALL_COMPLETE);
  pt_wait_for_exit_with_code (&cluster, &draining->process, 0);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

/* Both instances get SIGTERM while the store does not respond, and drop the requests that wait for
 * the store. In a sanitizer build a leak or a use after free of such a request makes the exit code
 * non-zero. */
Test (drain, instances_exit_with_0_while_the_store_hangs)
{
  static const char *const engine_options[] = { "--version", "1", NULL };
  PtCluster cluster;

  pt_cluster_init (&cluster);
  pt_start_platform (&cluster);
  pt_start_engine (&cluster, "engine-1", engine_options);
  pt_start_instance (&cluster, "i1", "hall-a");
  pt_start_instance (&cluster, "i2", "hall-b");
  pt_configure_cluster (&cluster, &cluster.instances[0]);
  pt_wait_until_instance_ready (&cluster, &cluster.instances[0]);
  pt_wait_until_instance_ready (&cluster, &cluster.instances[1]);
  pt_inject_fault (&cluster, &cluster.platform, "{\"mode\": \"hang\"}");
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

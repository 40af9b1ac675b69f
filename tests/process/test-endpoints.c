#include "pt-cluster.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A leaving engine must get no new calls after this time. */
#define LEAVE_PROPAGATION_TIME (3 * LB_SEC)

static bool
has_engine_generated_tokens (PtCluster *cluster, void *user)
{
  return pt_read_standin_log_counter (cluster, user, "tokens") > 0;
}

/* Returns the number of calls that the endpoint received, accepted or refused. */
static int64_t
count_received_calls (PtCluster *cluster, PtProgram *endpoint)
{
  return pt_read_standin_log_counter (cluster, endpoint, "started")
         + pt_read_standin_log_counter (cluster, endpoint, "refused");
}

/* Sends calls to two engines, and start_leaving makes one of them leave. That engine must get no
 * call later than LEAVE_PROPAGATION_TIME, and no call may be lost or cancelled. */
static void
check_leaving_engine_gets_no_new_calls (PtCluster *cluster,
                                        void (*start_leaving) (PtCluster *cluster,
                                                               PtProgram *engine))
{
  static const char *const load_options[]
      = { "--rate",    "60", "--concurrency", "40", "--count",  "100000",
          "--seconds", "8",  "--max-tokens",  "40", "--stream", "--expect-all",
          NULL };
  static const char *const slow_options[] = { "--tokens-per-second", "100", NULL };
  PtProcess load;

  cluster->has_memory_platform = true;
  PtProgram *leaving = pt_start_engine (cluster, "engine-1", slow_options);
  pt_start_engine (cluster, "engine-2", slow_options);
  PtProgram *instance = pt_start_instance (cluster, "i1", "hall-a");
  pt_configure_cluster (cluster, instance);
  pt_wait_until_instance_ready (cluster, instance);
  pt_start_load_generator (cluster, &load, load_options);
  pt_wait_until (cluster, "the leaving engine has generated tokens", has_engine_generated_tokens,
                 leaving);

  start_leaving (cluster, leaving);
  si_client_pause (&cluster->client, LEAVE_PROPAGATION_TIME);
  int64_t calls_after_timeout = count_received_calls (cluster, leaving);
  struct json_object *summary = pt_wait_for_client_summary (cluster, &load);
  cr_assert_eq (count_received_calls (cluster, leaving), calls_after_timeout);
  cr_assert_eq (pt_read_standin_log_counter (cluster, leaving, "cancelled"), 0);
  cr_assert (pt_process_has_exited (&load, 0), "load generator failed: %s",
             json_object_to_json_string (summary));
  cr_assert_gt (si_json_get_int (summary, "whole", 0), 100);
  json_object_put (summary);
  pt_process_clear (&load);
}

static void
make_engine_announce_leaving (PtCluster *cluster, PtProgram *engine)
{
  pt_inject_fault (cluster, engine, "{\"mode\": \"leaving\"}");
}

static void
mark_engine_as_leaving (PtCluster *cluster, PtProgram *engine)
{
  char changes[512];
  SiResponse response;

  snprintf (changes, sizeof changes,
            "{\"apply\": [{\"kind\": \"endpoint\", \"name\": \"%s\", \"type\": \"engine\","
            " \"pool\": \"reader\", \"address\": \"%s\", \"data_centre\": \"hall-a\","
            " \"concurrency\": 32, \"checks_fence\": true, \"leaving\": true}]}",
            engine->name, engine->address);
  pt_post_resource_changes (cluster, &cluster->instances[0], changes, "*", &response);
  cr_assert (si_response_is_ok (&response), "change rejected: %s", response.body);
  si_response_clear (&response);
}

/* An engine announces that it leaves, as it does shortly before it is shut down. Calls that it
 * still gets from a retry, a stale load report or the queue would be lost. After 3 s it must get no
 * new calls, and the calls that it has must complete. */
Test (leaving, engine_that_announces_leaving_gets_no_new_work_after_3_s)
{
  PtCluster cluster;

  pt_cluster_init (&cluster);
  check_leaving_engine_gets_no_new_calls (&cluster, make_engine_announce_leaving);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

/* An operator marks the endpoint resource of an engine as leaving, and the engine itself does not
 * know. After 3 s it must get no new calls, and the calls that it has must complete. */
Test (leaving, engine_that_the_operator_marks_leaving_gets_no_new_work_after_3_s)
{
  PtCluster cluster;

  pt_cluster_init (&cluster);
  check_leaving_engine_gets_no_new_calls (&cluster, mark_engine_as_leaving);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

/* Asserts that no call that the load generator counts as not run was started at either engine.
 * `second` is NULL if there is only one engine. */
static void
assert_not_run_calls_never_started (PtCluster *cluster,
                                    struct json_object *summary,
                                    PtProgram *first,
                                    PtProgram *second)
{
  struct json_object *not_run = NULL;

  json_object_object_get_ex (summary, "not_run_keys", &not_run);
  for (size_t i = 0; i < json_object_array_length (not_run); i++)
    {
      const char *key = json_object_get_string (json_object_array_get_idx (not_run, i));
      cr_assert_eq (pt_count_call_runs (cluster, first, key), 0,
                    "call reported as not run was started: %s", key);
      cr_assert (!second || pt_count_call_runs (cluster, second, key) == 0,
                 "call reported as not run was started: %s", key);
    }
}

/* An engine is killed while callers read streams from it. The streams must resume at another engine
 * without repeated or missing tokens. A caller whose stream cannot resume must get a typed error;
 * the error may be "not run" only if no engine started the call. */
Test (crash, streams_of_a_killed_engine_resume_on_another_engine)
{
  static const char *const load_options[]
      = { "--concurrency", "8",  "--count",  "40", "--callers", "40",
          "--max-tokens",  "60", "--stream", NULL };
  static const char *const slow_options[] = { "--tokens-per-second", "100", NULL };
  PtCluster cluster;
  PtProcess load;

  pt_cluster_init (&cluster);
  cluster.has_memory_platform = true;
  PtProgram *crashing = pt_start_engine (&cluster, "engine-1", slow_options);
  PtProgram *healthy = pt_start_engine (&cluster, "engine-2", slow_options);
  PtProgram *instance = pt_start_instance (&cluster, "i1", "hall-a");
  pt_configure_cluster (&cluster, instance);
  pt_wait_until_instance_ready (&cluster, instance);
  pt_start_load_generator (&cluster, &load, load_options);
  pt_wait_until (&cluster, "the crashing engine has generated tokens", has_engine_generated_tokens,
                 crashing);
  pt_process_signal (&crashing->process, SIGKILL);

  struct json_object *summary = pt_wait_for_client_summary (&cluster, &load);
  cr_assert (pt_process_has_exited (&load, 0), "load generator failed: %s",
             json_object_to_json_string (summary));
  cr_assert_gt (si_json_get_int (summary, "whole", 0), 20);
  assert_not_run_calls_never_started (&cluster, summary, healthy, NULL);
  cr_assert_gt (pt_read_standin_log_counter (&cluster, healthy, "resumed"), 0);
  cr_assert_eq (pt_read_standin_log_counter (&cluster, healthy, "resume_mismatches"), 0);
  json_object_put (summary);
  pt_process_clear (&load);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

/* One engine breaks six streams after five tokens each, and the other one refuses four calls.
 * Callers must get complete responses or typed errors, and calls reported as not run must not have
 * run. */
Test (faults, broken_streams_and_rejections_give_complete_responses_or_typed_errors)
{
  static const char *const load_options[]
      = { "--concurrency", "8", "--count", "60", "--max-tokens", "30", "--stream", NULL };
  static const char *const fast_options[] = { "--tokens-per-second", "500", NULL };
  PtCluster cluster;
  PtProcess load;

  pt_cluster_init (&cluster);
  cluster.has_memory_platform = true;
  PtProgram *breaking = pt_start_engine (&cluster, "engine-1", fast_options);
  PtProgram *refusing = pt_start_engine (&cluster, "engine-2", fast_options);
  PtProgram *instance = pt_start_instance (&cluster, "i1", "hall-a");
  pt_configure_cluster (&cluster, instance);
  pt_wait_until_instance_ready (&cluster, instance);
  pt_inject_fault (&cluster, breaking, "{\"mode\": \"break\", \"count\": 6, \"tokens\": 5}");
  pt_inject_fault (&cluster, refusing, "{\"mode\": \"refuse\", \"count\": 4}");
  pt_start_load_generator (&cluster, &load, load_options);

  struct json_object *summary = pt_wait_for_client_summary (&cluster, &load);
  cr_assert (pt_process_has_exited (&load, 0), "load generator failed: %s",
             json_object_to_json_string (summary));
  cr_assert_gt (si_json_get_int (summary, "whole", 0), 30);
  assert_not_run_calls_never_started (&cluster, summary, breaking, refusing);
  json_object_put (summary);
  pt_process_clear (&load);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

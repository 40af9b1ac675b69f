#include "pt-cluster.h"

#include <criterion/criterion.h>
#include <signal.h>

#define N_CALLS "450" /* calls that the load generator makes */

static bool
have_engines_finished_min_calls (PtCluster *cluster, void *user)
{
  const int64_t *min_finished = user;

  return pt_read_standin_log_counter (cluster, &cluster->endpoints[0], "finished")
             + pt_read_standin_log_counter (cluster, &cluster->endpoints[1], "finished")
         >= *min_finished;
}

/* Replaces one instance after the other while callers read streams and refresh their entry
 * addresses. No stream may be truncated, each failed call must succeed when retried at another
 * address, and each replaced process must exit with 0. */
Test (rolling, rolling_restart_loses_and_truncates_no_response)
{
  static const char *const engine_options[] = { "--tokens-per-second", "100", NULL };
  static const char *const load_options[] = { "--rate",
                                              "30",
                                              "--concurrency",
                                              "60",
                                              "--count",
                                              N_CALLS,
                                              "--max-tokens",
                                              "110",
                                              "--stream",
                                              "--callers",
                                              "30",
                                              "--retries",
                                              "8",
                                              "--entry-ms",
                                              "300",
                                              "--expect-all",
                                              NULL };
  PtCluster cluster;
  PtProcess load;

  pt_cluster_init (&cluster);
  /* Shorter than a response, so that streams are in progress at the end of the drain time. */
  cluster.drain_ms = 500;
  pt_start_platform (&cluster);
  pt_start_engine (&cluster, "engine-1", engine_options);
  pt_start_engine (&cluster, "engine-2", engine_options);
  pt_start_instance (&cluster, "i1", "hall-a");
  pt_start_instance (&cluster, "i2", "hall-b");
  pt_start_instance (&cluster, "i3", "hall-c");
  pt_configure_cluster (&cluster, &cluster.instances[0]);
  for (size_t i = 0; i < cluster.n_instances; i++)
    pt_wait_until_instance_ready (&cluster, &cluster.instances[i]);
  pt_start_load_generator (&cluster, &load, load_options);
  for (size_t i = 0; i < cluster.n_instances; i++)
    {
      int64_t min_finished = 30 * (int64_t)(i + 1);
      pt_wait_until (&cluster, "the engines have finished enough calls for the next restart",
                     have_engines_finished_min_calls, &min_finished);
      pt_process_signal (&cluster.instances[i].process, SIGTERM);
      pt_wait_for_exit_with_code (&cluster, &cluster.instances[i].process, 0);
      pt_restart_instance (&cluster, &cluster.instances[i]);
      pt_wait_until_instance_ready (&cluster, &cluster.instances[i]);
    }

  struct json_object *summary = pt_wait_for_client_summary (&cluster, &load);
  cr_assert (pt_process_has_exited (&load, 0), "load generator failed: %s (logs in %s)",
             json_object_to_json_string (summary), cluster.folder);
  cr_assert_eq (pt_read_standin_log_counter (&cluster, &cluster.endpoints[0], "cancelled")
                    + pt_read_standin_log_counter (&cluster, &cluster.endpoints[1], "cancelled"),
                0);
  json_object_put (summary);
  pt_process_clear (&load);
  pt_drain_instances_and_wait_for_exit (&cluster);
  pt_cluster_clear (&cluster);
}

#include "pt-cluster.h"

#include <criterion/criterion.h>
#include <signal.h>

#define CALLS "450"

static bool
has_finished_some (PtCluster *cluster, void *user)
{
  const int64_t *wanted = user;

  return pt_read_log_counter (cluster, &cluster->endpoints[0], "finished")
             + pt_read_log_counter (cluster, &cluster->endpoints[1], "finished")
         >= *wanted;
}

/* Every instance is replaced, one after the other, while clerks read streamed answers and ask for
 * entry addresses as they should. A clerk must never see half an answer, nor be told of a failure
 * that a call at his next address would not mend. Every old process must end by itself, with 0. */
Test (rolling, restart_of_three_instances_loses_and_cuts_nothing)
{
  static const char *const engine_options[] = { "--tokens-per-second", "100", NULL };
  static const char *const load_options[] = { "--rate",
                                              "30",
                                              "--concurrency",
                                              "60",
                                              "--count",
                                              CALLS,
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
  /* Shorter than an answer takes. */
  cluster.drain_ms = 500;
  pt_start_platform (&cluster);
  pt_start_engine (&cluster, "engine-1", engine_options);
  pt_start_engine (&cluster, "engine-2", engine_options);
  pt_start_instance (&cluster, "i1", "hall-a");
  pt_start_instance (&cluster, "i2", "hall-b");
  pt_start_instance (&cluster, "i3", "hall-c");
  pt_apply_resources (&cluster, &cluster.instances[0]);
  for (size_t i = 0; i < cluster.n_instances; i++)
    pt_wait_ready (&cluster, &cluster.instances[i]);
  pt_start_load (&cluster, &load, load_options);
  for (size_t i = 0; i < cluster.n_instances; i++)
    {
      int64_t wanted = 30 * (int64_t)(i + 1);
      pt_wait (&cluster, "calls are answered", has_finished_some, &wanted);
      pt_process_signal (&cluster.instances[i].process, SIGTERM);
      pt_wait_exit (&cluster, &cluster.instances[i].process, 0);
      pt_restart_instance (&cluster, &cluster.instances[i]);
      pt_wait_ready (&cluster, &cluster.instances[i]);
    }

  struct json_object *summary = pt_wait_summary (&cluster, &load);
  cr_assert (pt_process_has_exited (&load, 0), "%s (logs in %s)",
             json_object_to_json_string (summary), cluster.folder);
  cr_assert_eq (pt_read_log_counter (&cluster, &cluster.endpoints[0], "cancelled")
                    + pt_read_log_counter (&cluster, &cluster.endpoints[1], "cancelled"),
                0);
  json_object_put (summary);
  pt_process_clear (&load);
  pt_cluster_drain (&cluster);
  pt_cluster_clear (&cluster);
}

#include "pt-shared.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <stdlib.h>

/* Writes a desired state whose batch route leads to the targets: JSON of the route's service or
 * services. */
static void
put_batch_route (PsCluster *cluster, int version, const char *targets)
{
  char *text = lb_asprintf (
      "{\"version\": %d, \"routes\": ["
      "{\"name\": \"lookup\", \"host\": \"h.example\", \"prefix\": \"/lookup/\", \"kind\": "
      "\"safe\","
      " \"timeoutMs\": 20000, \"service\": \"lookups\", \"attempts\": 3},"
      "{\"name\": \"steps\", \"host\": \"h.example\", \"prefix\": \"/steps/\","
      " \"kind\": \"weight_rollout\", %s, \"attempts\": 3}],"
      " \"services\": [{\"name\": \"engines\", \"engine\": {\"stride\": 1}},"
      " {\"name\": \"moved\", \"engine\": {\"stride\": 1}}, {\"name\": \"lookups\"}]}",
      version, targets);

  si_row_store_put (&cluster->store, "op", "", "config", text);
  free (text);
}

/* Starts an instance with three engines of service "engines" and one of service "moved", which hold
 * the same model. The route leads to "engines". */
static void
start_cluster_with_two_services (PsCluster *cluster, SiEndpoint *moved)
{
  ps_cluster_init (cluster);
  cr_assert (si_endpoint_init (moved, cluster->base, &cluster->store, "i-moved", "moved", "m"));
  moved->slots = 24;
  put_batch_route (cluster, 1, "\"service\": \"engines\"");
  ps_start_instance (cluster);
}

static void
clear_cluster_with_two_services (PsCluster *cluster, SiEndpoint *moved)
{
  si_endpoint_clear (moved);
  ps_cluster_clear (cluster);
}

static void
run_batch (PsCluster *cluster, const char *id, int n_items)
{
  ps_submit_batch (cluster, 0, id, n_items);
  cr_assert_eq (cluster->response_status, 202);
  PS_WAIT_UNTIL (cluster, ps_count_results_on_first_page (cluster, 0, id) == n_items);
  ps_assert_each_item_has_one_result (cluster, 0, id, n_items);
}

/* Two services hold the same model. Items must run only at the service of their route, also after
 * the route has moved to the other service. */
Test (routes, items_run_only_at_the_service_of_their_route)
{
  PsCluster cluster;
  SiEndpoint moved;

  start_cluster_with_two_services (&cluster, &moved);
  run_batch (&cluster, "b1", 24);
  cr_assert_eq (moved.n_stream_records, 0);
  size_t n_before = ps_count_started_sample_streams (&cluster);
  put_batch_route (&cluster, 2, "\"service\": \"moved\"");
  PS_WAIT_UNTIL (&cluster,
                 ps_count_text_in_log (&cluster, 0, "\"event\":\"desired_in_force\"") >= 2);
  run_batch (&cluster, "b2", 24);
  cr_assert_eq (ps_count_started_sample_streams (&cluster), n_before,
                "items ran at the service that the route has left");
  clear_cluster_with_two_services (&cluster, &moved);
}

/* The route moves while most items of a batch wait for a full service. The waiting items must run
 * at the new service, and no text may start at the old one afterwards. */
Test (routes, waiting_items_follow_a_route_that_moves)
{
  PsCluster cluster;
  SiEndpoint moved;

  start_cluster_with_two_services (&cluster, &moved);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 100 * LB_MSEC;
  ps_submit_batch (&cluster, 0, "b1", 60);
  PS_WAIT_UNTIL (&cluster, ps_count_started_sample_streams (&cluster) >= 24);
  put_batch_route (&cluster, 2, "\"service\": \"moved\"");
  PS_WAIT_UNTIL (&cluster, moved.n_stream_records > 0);
  size_t n_before = ps_count_started_sample_streams (&cluster);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b1") == 60);
  ps_assert_each_item_has_one_result (&cluster, 0, "b1", 60);
  cr_assert_eq (ps_count_started_sample_streams (&cluster), n_before,
                "texts started at the service that the route has left");
  clear_cluster_with_two_services (&cluster, &moved);
}

/* A route is split between two services of one model, and one of them is full. Its waiting items
 * must not keep those of the other service from running. */
Test (routes, a_full_service_does_not_block_another_service_of_the_model)
{
  PsCluster cluster;
  SiEndpoint moved;

  start_cluster_with_two_services (&cluster, &moved);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 60 * LB_SEC;
  ps_submit_batch (&cluster, 0, "b1", 60);
  PS_WAIT_UNTIL (&cluster, ps_count_started_sample_streams (&cluster) >= 24);
  put_batch_route (&cluster, 2,
                   "\"split\": [{\"service\": \"engines\", \"weight\": 1},"
                   " {\"service\": \"moved\", \"weight\": 9}]");
  PS_WAIT_UNTIL (&cluster,
                 ps_count_text_in_log (&cluster, 0, "\"event\":\"desired_in_force\"") >= 2);
  ps_submit_batch (&cluster, 0, "b2", 20);
  PS_WAIT_UNTIL (&cluster, ps_count_results_on_first_page (&cluster, 0, "b2") >= 10);
  clear_cluster_with_two_services (&cluster, &moved);
}

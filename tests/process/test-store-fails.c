#include "pt-shared.h"

#include <criterion/criterion.h>

#define N_INSTANCES 3
#define FAULT_TIME (4 * LB_SEC)
/* Attempts of an instance while the store refuses all: 20 tokens, one token each 200 ms, and those
 * on their way when the fault begins, among them a watch of each of the store's ten tables. */
#define MAX_ATTEMPTS_IN_FAULT (20 + FAULT_TIME / (200 * LB_MSEC) + 20)

static void
run_for (PsCluster *cluster, LbTime duration)
{
  LbTime end = lb_clock_monotonic () + duration;

  while (lb_clock_monotonic () < end)
    ps_run_event_loop_once (cluster);
}

static bool
serves_calls (PsCluster *cluster, size_t instance)
{
  ps_call_and_wait (cluster, instance, "POST", "/lookup/1", "c1", "");
  return cluster->response_status == 200;
}

/* Returns the number of requests that the store has got, and of those that instances have sent
 * through each other. */
static int64_t
count_attempts (PsCluster *cluster)
{
  int64_t n = cluster->store.requests;

  for (size_t i = 0; i < cluster->n_instances; i++)
    n += (int64_t)ps_read_metric (cluster, i, "lentilspindle_store_calls_through_peers_total");
  return n;
}

/* Guards against idle instances that send a failing store more calls than a working one, directly
 * and through each other. */
Test (store_fails, instances_send_a_failing_store_bounded_attempts)
{
  static PsCluster cluster;
  int64_t before;

  ps_cluster_init (&cluster);
  for (int i = 0; i < N_INSTANCES; i++)
    ps_start_instance (&cluster);
  run_for (&cluster, LB_SEC);
  before = count_attempts (&cluster);
  cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  run_for (&cluster, FAULT_TIME);
  cr_assert_leq (count_attempts (&cluster) - before, N_INSTANCES * MAX_ATTEMPTS_IN_FAULT);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  for (size_t i = 0; i < N_INSTANCES; i++)
    {
      PS_WAIT_UNTIL (&cluster,
                     ps_read_metric (&cluster, i, "lentilspindle_store_budget_waiting_calls") == 0);
      PS_WAIT_UNTIL (&cluster, serves_calls (&cluster, i));
    }
  ps_cluster_clear (&cluster);
}

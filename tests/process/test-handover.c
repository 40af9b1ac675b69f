#include "pt-shared.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Three instances share a platform. The instance that runs a batch gets SIGTERM, while the store or
 * the instance that should continue the batch fails. In each case one other instance must complete
 * the batch, with each result exactly once. */

#define N_INSTANCES 3
#define N_ITEMS 30
/* Bound on the time from the release, or from the store's return, to the next run: the required
 * 1.5 s, and a margin for a busy machine. */
#define MAX_HANDOVER_TIME (2 * LB_SEC)

static void
run_event_loop_for (PsCluster *cluster, LbTime duration)
{
  for (LbTime end = lb_clock_monotonic () + duration; lb_clock_monotonic () < end;)
    ps_run_event_loop_once (cluster);
}

/* Returns the index of the instance that runs batch "b1". */
static size_t
start_cluster_with_running_batch (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster->engines[i].event_interval = 150 * LB_MSEC;
  for (int i = 0; i < N_INSTANCES; i++)
    ps_start_instance (cluster);
  /* A next owner can be named only once the instances know each other. */
  for (size_t i = 0; i < N_INSTANCES; i++)
    PS_WAIT_UNTIL (cluster, ps_count_text_in_log (cluster, i, "\"known\":3") > 0);
  run_event_loop_for (cluster, LB_SEC);
  ps_submit_batch (cluster, 0, "b1", N_ITEMS);
  cr_assert_eq (cluster->response_status, 202);
  PS_WAIT_UNTIL (cluster, ps_find_batch_owner (cluster) < N_INSTANCES);
  PS_WAIT_UNTIL (cluster, ps_count_started_sample_streams (cluster) > 0);
  return ps_find_batch_owner (cluster);
}

/* Returns the value of a field in the last line of the instance's log that contains the event; NULL
 * if there is none. The caller frees it. */
static char *
read_log_field (const PsCluster *cluster, size_t instance, const char *event, const char *field)
{
  const char *line = NULL;
  char *pattern = lb_asprintf ("\"%s\"", event);

  for (const char *at = cluster->instances[instance].process.output;
       at && (at = strstr (at, pattern)); at++)
    line = at;
  free (pattern);
  if (!line)
    return NULL;
  pattern = lb_asprintf ("\"%s\":\"", field);
  const char *value = strstr (line, pattern);
  char *copy = value
                   ? lb_strndup (value + strlen (pattern), strcspn (value + strlen (pattern), "\""))
                   : NULL;
  free (pattern);
  return copy;
}

static size_t
find_instance (const PsCluster *cluster, const char *name)
{
  size_t i = 0;

  while (i < cluster->n_instances && strcmp (cluster->instances[i].name, name) != 0)
    i++;
  return i;
}

/* Returns the instance other than the stopped one that has begun to run the batch; n_instances:
 * none has. */
static size_t
find_new_owner (const PsCluster *cluster, size_t stopped)
{
  for (size_t i = 0; i < cluster->n_instances; i++)
    if (i != stopped && ps_count_text_in_log (cluster, i, "\"batch_running\"") > 0)
      return i;
  return cluster->n_instances;
}

static LbTime
wait_for_new_owner (PsCluster *cluster, size_t stopped)
{
  LbTime start = lb_clock_monotonic ();

  PS_WAIT_UNTIL (cluster, find_new_owner (cluster, stopped) < N_INSTANCES);
  return lb_clock_monotonic () - start;
}

static void
check_results_and_clear_cluster (PsCluster *cluster, size_t stopped)
{
  size_t owner = find_new_owner (cluster, stopped);
  int n_runs = 0;

  PS_WAIT_UNTIL (cluster, ps_count_results_on_first_page (cluster, owner, "b1") == N_ITEMS);
  ps_assert_each_item_has_one_result (cluster, owner, "b1", N_ITEMS);
  for (size_t i = 0; i < cluster->n_instances; i++)
    n_runs += i != stopped ? ps_count_text_in_log (cluster, i, "\"batch_running\"") : 0;
  cr_assert_eq (n_runs, 1, "the batch ran %d times after the release", n_runs);
  ps_cluster_clear (cluster);
}

static void
check_exit_results_and_clear_cluster (PsCluster *cluster, size_t stopped)
{
  PS_WAIT_UNTIL (cluster, pt_process_has_exited (&cluster->instances[stopped].process, 0));
  check_results_and_clear_cluster (cluster, stopped);
}

/* With a healthy store the next owner that the row names must continue the batch. Before, each
 * released batch was idle for 2.5 s. */
Test (handover, named_next_owner_continues_the_batch)
{
  PsCluster cluster;
  size_t stopped = start_cluster_with_running_batch (&cluster);

  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  LbTime time = wait_for_new_owner (&cluster, stopped);
  size_t owner = find_new_owner (&cluster, stopped);
  double seconds = ps_read_metric (&cluster, owner, "lentilspindle_batch_handover_seconds_sum");
  PS_WAIT_UNTIL (&cluster, ps_count_text_in_log (&cluster, stopped, "\"batch_released\"") > 0);
  char *named = read_log_field (&cluster, stopped, "batch_released", "next_owner");
  char *reason = read_log_field (&cluster, owner, "batch_taken_over", "reason");
  cr_log_info ("hand-over in %.3f s", seconds);
  cr_assert_str_eq (named, cluster.instances[owner].name);
  cr_assert_str_eq (reason, "offered");
  cr_assert_lt (time, LB_SEC);
  cr_assert (seconds > 0 && seconds < 1, "the hand-over took %.3f s", seconds);
  free (named);
  free (reason);
  check_exit_results_and_clear_cluster (&cluster, stopped);
}

/* Stops the instance in an outage of the store, which ends after the duration, and waits until
 * another instance runs the batch. */
static void
stop_instance_in_store_outage (PsCluster *cluster, size_t instance, LbTime duration)
{
  pt_process_signal (&cluster->instances[instance].process, SIGTERM);
  run_event_loop_for (cluster, duration);
  cluster->store.mode = SI_ROW_STORE_NORMAL;
  cr_assert_lt (wait_for_new_owner (cluster, instance), MAX_HANDOVER_TIME);
}

/* The store applies the release, but its answer is lost, and the store is unavailable for a second.
 * The release is written again, and must not take the batch from the instance that has claimed it
 * meanwhile. */
Test (handover, lost_answer_to_the_release_takes_the_batch_from_nobody)
{
  PsCluster cluster;
  size_t stopped = start_cluster_with_running_batch (&cluster);

  cluster.store.lost_replies = 1;
  cluster.store.unavailable_after_lost_replies = true;
  stop_instance_in_store_outage (&cluster, stopped, LB_SEC);
  check_exit_results_and_clear_cluster (&cluster, stopped);
}

/* The store is unavailable when the instance is stopped. If the release were not retried, the other
 * instances would have to detect that the instance is gone, which takes longer after an outage. */
Test (handover, release_is_retried_until_the_store_answers)
{
  PsCluster cluster;
  size_t stopped = start_cluster_with_running_batch (&cluster);

  cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  stop_instance_in_store_outage (&cluster, stopped, 2 * LB_SEC);
  char *reason
      = read_log_field (&cluster, find_new_owner (&cluster, stopped), "batch_taken_over", "reason");
  cr_assert_str_eq (reason, "offered");
  free (reason);
  check_exit_results_and_clear_cluster (&cluster, stopped);
}

/* Each round trip to the store takes 0.24 s, so the others may claim the batch before they see the
 * next owner's claim. Only one may run the batch. */
Test (handover, slow_store_gives_the_batch_one_owner)
{
  PsCluster cluster;
  size_t stopped = start_cluster_with_running_batch (&cluster);

  for (size_t i = 0; i < N_INSTANCES; i++)
    cluster.instances[i].store_relay.fault.delay = 120 * LB_MSEC;
  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  wait_for_new_owner (&cluster, stopped);
  check_results_and_clear_cluster (&cluster, stopped);
}

/* The next owner is killed before it sees the release. The others are suspended meanwhile, so that
 * it has not claimed the batch yet. The third instance must take the batch over by rank. */
Test (handover, batch_is_taken_over_by_rank_if_the_next_owner_is_killed)
{
  PsCluster cluster;
  size_t stopped = start_cluster_with_running_batch (&cluster);

  for (size_t i = 0; i < N_INSTANCES; i++)
    if (i != stopped)
      pt_process_signal (&cluster.instances[i].process, SIGSTOP);
  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  PS_WAIT_UNTIL (&cluster, ps_count_text_in_log (&cluster, stopped, "\"batch_released\"") > 0);
  char *named = read_log_field (&cluster, stopped, "batch_released", "next_owner");
  size_t killed = find_instance (&cluster, named);
  cr_assert (killed < N_INSTANCES && killed != stopped, "the next owner is %s", named);
  pt_process_signal (&cluster.instances[killed].process, SIGKILL);
  pt_process_signal (&cluster.instances[3 - killed - stopped].process, SIGCONT);
  cr_assert_lt (wait_for_new_owner (&cluster, stopped), MAX_HANDOVER_TIME);
  cr_assert_eq (find_new_owner (&cluster, stopped), 3 - killed - stopped);
  free (named);
  check_results_and_clear_cluster (&cluster, stopped);
}

/* Two of three instances are stopped at the same moment, the owner last. If it names the other one,
 * whose draining state it does not know yet, that instance must not claim the batch. */
Test (handover, next_owner_that_drains_too_leaves_the_batch_to_the_third)
{
  PsCluster cluster;
  size_t stopped = start_cluster_with_running_batch (&cluster);
  size_t draining = (stopped + 1) % N_INSTANCES;

  pt_process_signal (&cluster.instances[draining].process, SIGTERM);
  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  cr_assert_lt (wait_for_new_owner (&cluster, stopped), MAX_HANDOVER_TIME);
  cr_assert_eq (find_new_owner (&cluster, stopped), 3 - draining - stopped);
  check_results_and_clear_cluster (&cluster, stopped);
}

/* The store fails when the owner is stopped, and another instance, possibly the next owner, is
 * killed before the store returns. The third instance must take the batch over. */
Test (handover, batch_survives_a_store_outage_and_the_loss_of_an_instance)
{
  PsCluster cluster;
  size_t stopped = start_cluster_with_running_batch (&cluster);
  size_t killed = (stopped + 1) % N_INSTANCES;

  cluster.store.mode = SI_ROW_STORE_UNAVAILABLE;
  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  run_event_loop_for (&cluster, LB_SEC);
  pt_process_signal (&cluster.instances[killed].process, SIGKILL);
  cluster.store.mode = SI_ROW_STORE_NORMAL;
  cr_assert_lt (wait_for_new_owner (&cluster, stopped), MAX_HANDOVER_TIME);
  cr_assert_eq (find_new_owner (&cluster, stopped), 3 - killed - stopped);
  check_results_and_clear_cluster (&cluster, stopped);
}

#define LATE_ROUTE_JSON                                                                            \
  ", {\"name\": \"late\", \"host\": \"h.example\", \"prefix\": \"/late/\","                        \
  " \"kind\": \"weight_rollout\", \"service\": \"engines\", \"attempts\": 3, \"dueMs\": 30000}"

static void
submit_batch_at_path (PsCluster *cluster, const char *path, const char *id)
{
  char *body = ps_make_batch_json (4);

  ps_call_and_wait (cluster, 0, "POST", path, id, body);
  cr_assert_eq (cluster->response_status, 202);
  free (body);
}

/* Returns the offset in the log of instance 0 of the start of the batch's run there; fails if there
 * is none. */
static long
find_start_in_log (const PsCluster *cluster, const char *id)
{
  const char *output = cluster->instances[0].process.output;
  char *line = lb_asprintf ("\"batch_running\",\"batch\":\"%s\"", id);
  const char *at = strstr (output, line);

  cr_assert (at, "batch %s does not run", id);
  free (line);
  return at - output;
}

/* All processes lose power while batches run. The instance that takes them over must run those
 * first that are due first, in whatever order the store answers its claims and reads. */
Test (handover, batches_run_by_due_time_after_a_loss_of_power)
{
  PsCluster cluster;

  ps_cluster_init (&cluster);
  ps_put_desired_state (&cluster, 2, LATE_ROUTE_JSON);
  for (int i = 0; i < PS_N_ENGINES; i++)
    cluster.engines[i].event_interval = 500 * LB_MSEC;
  ps_start_instance (&cluster);
  submit_batch_at_path (&cluster, "/late/1", "late1");
  submit_batch_at_path (&cluster, "/late/1", "late2");
  run_event_loop_for (&cluster, 5 * LB_MSEC);
  submit_batch_at_path (&cluster, "/steps/1", "early1");
  run_event_loop_for (&cluster, 5 * LB_MSEC);
  submit_batch_at_path (&cluster, "/steps/1", "early2");
  ps_restart_instance (&cluster, 0);
  PS_WAIT_UNTIL (&cluster, ps_count_text_in_log (&cluster, 0, "\"batch_running\"") == 4);
  cr_assert_lt (find_start_in_log (&cluster, "early1"), find_start_in_log (&cluster, "early2"));
  cr_assert_lt (find_start_in_log (&cluster, "early2"), find_start_in_log (&cluster, "late1"));
  cr_assert_lt (find_start_in_log (&cluster, "early2"), find_start_in_log (&cluster, "late2"));
  ps_cluster_clear (&cluster);
}

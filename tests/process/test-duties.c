#include "pt-shared.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Two instances serve calls of two organisations. The instance that holds the lease for usage
 * reports tells the platform how many calls each organisation made. */

#define TWO_ORGANISATIONS_JSON                                                                     \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-1\"], \"priority\": 0},"              \
  " {\"name\": \"mill\", \"apiKeys\": [\"mill-1\"], \"priority\": 1}]"
#define N_INSTANCES 2

static void
start_cluster_with_usage_reports (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  cluster->organisations_json = TWO_ORGANISATIONS_JSON;
  cluster->has_duties = true;
  ps_put_desired_state (cluster, 2, "");
  for (int i = 0; i < N_INSTANCES; i++)
    ps_start_instance (cluster);
  PS_WAIT_UNTIL (cluster, cluster->control_plane.calls > 0);
}

static void
send_calls_with_api_key (PsCluster *cluster, size_t instance, const char *key, int n)
{
  static int n_sent;
  char id[16];

  cluster->api_key = key;
  for (int i = 0; i < n; i++)
    {
      snprintf (id, sizeof id, "c%d", ++n_sent);
      ps_call_and_wait (cluster, instance, "POST", "/lookup/1", id, "");
      cr_assert_eq (cluster->response_status, 200);
    }
}

/* Returns whether the usage reports count this number of calls for each of the organisations "post"
 * and "mill". */
static bool
is_reported_usage_equal (const PsCluster *cluster, int64_t post, int64_t mill)
{
  return si_control_plane_count_reported_requests (&cluster->control_plane, "post") == post
         && si_control_plane_count_reported_requests (&cluster->control_plane, "mill") == mill;
}

/* Returns the index of the instance that sent the latest usage report; n_instances: none did. */
static size_t
find_usage_reporter (PsCluster *cluster)
{
  for (size_t i = 0; i < cluster->n_instances; i++)
    if (cluster->control_plane.n_reports > 0
        && strcmp (cluster->control_plane.reports[cluster->control_plane.n_reports - 1].duty_holder,
                   cluster->instances[i].name)
               == 0)
      return i;
  return cluster->n_instances;
}

static void
check_usage_reports_and_clear_cluster (PsCluster *cluster)
{
  cr_assert_eq (cluster->control_plane.conflicting_reports, 0);
  cr_assert_eq (cluster->control_plane.unidentified_calls, 0);
  ps_cluster_clear (cluster);
}

Test (duties, one_instance_reports_usage_of_all_instances)
{
  PsCluster cluster;

  start_cluster_with_usage_reports (&cluster);
  send_calls_with_api_key (&cluster, 0, "post-1", 5);
  send_calls_with_api_key (&cluster, 1, "post-1", 2);
  send_calls_with_api_key (&cluster, 1, "mill-1", 3);
  PS_WAIT_UNTIL (&cluster, is_reported_usage_equal (&cluster, 7, 3));
  cr_assert_eq (cluster.control_plane.stale_calls, 0);
  check_usage_reports_and_clear_cluster (&cluster);
}

/* A call takes 8 s, longer than its usage window stays open. It must be reported in the window in
 * which it started, before it ends. */
Test (duties, long_call_is_reported_in_the_window_of_its_start)
{
  PsCluster cluster;

  start_cluster_with_usage_reports (&cluster);
  cluster.lookup.call_duration = 8 * LB_SEC;
  cluster.api_key = "post-1";
  int responses_before = cluster.n_responses;
  ps_start_call (&cluster, 0, "POST", "/lookup/1", "long", "");
  PS_WAIT_UNTIL (&cluster, is_reported_usage_equal (&cluster, 1, 0));
  cr_assert_eq (cluster.n_responses, responses_before, "the call ended before it was reported");
  PS_WAIT_UNTIL (&cluster, cluster.n_responses > responses_before);
  cr_assert_eq (cluster.response_status, 200);
  check_usage_reports_and_clear_cluster (&cluster);
}

/* The instance that served the calls and reports usage is killed 300 ms after its first usage row
 * is stored. The other instance must report the stored counts. No window may be reported twice with
 * different counts. */
Test (duties, stored_usage_is_reported_after_its_instance_is_killed)
{
  PsCluster cluster;

  start_cluster_with_usage_reports (&cluster);
  PS_WAIT_UNTIL (&cluster, find_usage_reporter (&cluster) < cluster.n_instances);
  size_t killed = find_usage_reporter (&cluster);
  send_calls_with_api_key (&cluster, killed, "post-1", 4);
  PS_WAIT_UNTIL (&cluster, si_row_store_count_rows (&cluster.store, "usage") > 0);
  for (LbTime wait_end = lb_clock_monotonic () + 300 * LB_MSEC; lb_clock_monotonic () < wait_end;)
    ps_run_event_loop_once (&cluster);
  pt_process_signal (&cluster.instances[killed].process, SIGKILL);
  send_calls_with_api_key (&cluster, 1 - killed, "mill-1", 2);
  PS_WAIT_UNTIL (&cluster, is_reported_usage_equal (&cluster, 4, 2));
  check_usage_reports_and_clear_cluster (&cluster);
}

/* The platform applies usage reports but its responses are lost; later it rejects all calls with
 * 429. The instance must repeat each report unchanged until the platform acknowledges it. */
Test (duties, usage_reports_are_repeated_unchanged_until_acknowledged)
{
  PsCluster cluster;

  start_cluster_with_usage_reports (&cluster);
  cluster.control_plane.mode = SI_CONTROL_PLANE_LOSES_REPLY;
  send_calls_with_api_key (&cluster, 0, "post-1", 3);
  int calls_before = cluster.control_plane.calls;
  PS_WAIT_UNTIL (&cluster, cluster.control_plane.calls >= calls_before + 4);
  cluster.control_plane.mode = SI_CONTROL_PLANE_BUSY;
  calls_before = cluster.control_plane.calls;
  PS_WAIT_UNTIL (&cluster, cluster.control_plane.calls >= calls_before + 4);
  cluster.control_plane.mode = SI_CONTROL_PLANE_NORMAL;
  send_calls_with_api_key (&cluster, 1, "post-1", 1);
  PS_WAIT_UNTIL (&cluster, is_reported_usage_equal (&cluster, 4, 0));
  check_usage_reports_and_clear_cluster (&cluster);
}

/* The instance that reports usage gets SIGTERM. The other instance must take over the reports, and
 * must also report the calls that the stopped instance served until its exit. */
Test (duties, stopped_instance_hands_usage_reports_over)
{
  PsCluster cluster;

  start_cluster_with_usage_reports (&cluster);
  PS_WAIT_UNTIL (&cluster, find_usage_reporter (&cluster) < cluster.n_instances);
  size_t stopped = find_usage_reporter (&cluster);
  send_calls_with_api_key (&cluster, stopped, "post-1", 2);
  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  send_calls_with_api_key (&cluster, stopped, "post-1", 1);
  PS_WAIT_UNTIL (&cluster, cluster.instances[stopped].process.ended);
  PS_WAIT_UNTIL (&cluster, is_reported_usage_equal (&cluster, 3, 0));
  PS_WAIT_UNTIL (&cluster, find_usage_reporter (&cluster) == 1 - stopped);
  check_usage_reports_and_clear_cluster (&cluster);
}

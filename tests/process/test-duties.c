#include "pt-shared.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Two organisations send calls to two instances; one instance reports the usage of each
 * organisation to the platform. */

#define ORGANISATIONS                                                                              \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-1\"], \"priority\": 0},"              \
  " {\"name\": \"mill\", \"apiKeys\": [\"mill-1\"], \"priority\": 1}]"
#define N_INSTANCES 2

static void
start_instances (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  cluster->organisations_json = ORGANISATIONS;
  cluster->has_duties = true;
  ps_put_desired_state (cluster, 2, "");
  for (int i = 0; i < N_INSTANCES; i++)
    ps_start_instance (cluster);
  PS_WAIT_UNTIL (cluster, cluster->control_plane.calls > 0);
}

static void
send_calls (PsCluster *cluster, size_t instance, const char *key, int n)
{
  static int n_sent;
  char id[16];

  cluster->api_key = key;
  for (int i = 0; i < n; i++)
    {
      snprintf (id, sizeof id, "c%d", ++n_sent);
      ps_call (cluster, instance, "POST", "/lookup/1", id, "");
      cr_assert_eq (cluster->response_status, 200);
    }
}

static bool
is_usage_reported (const PsCluster *cluster, int64_t post, int64_t mill)
{
  return si_control_plane_count_requests (&cluster->control_plane, "post") == post
         && si_control_plane_count_requests (&cluster->control_plane, "mill") == mill;
}

static size_t
find_reporter (PsCluster *cluster)
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
check_and_clear (PsCluster *cluster)
{
  cr_assert_eq (cluster->control_plane.conflicting_reports, 0);
  cr_assert_eq (cluster->control_plane.unidentified_calls, 0);
  ps_cluster_clear (cluster);
}

Test (duties, one_instance_reports_usage_of_all)
{
  PsCluster cluster;

  start_instances (&cluster);
  send_calls (&cluster, 0, "post-1", 5);
  send_calls (&cluster, 1, "post-1", 2);
  send_calls (&cluster, 1, "mill-1", 3);
  PS_WAIT_UNTIL (&cluster, is_usage_reported (&cluster, 7, 3));
  cr_assert_eq (cluster.control_plane.stale_calls, 0);
  check_and_clear (&cluster);
}

/* A call takes eight seconds, longer than its usage window stays open. It must be reported in the
 * window in which it began, while it still runs. */
Test (duties, long_call_is_reported_in_the_window_of_its_start)
{
  PsCluster cluster;

  start_instances (&cluster);
  cluster.lookup.call_duration = 8 * LB_SEC;
  cluster.api_key = "post-1";
  int responses_before = cluster.n_responses;
  ps_start_call (&cluster, 0, "POST", "/lookup/1", "long", "");
  PS_WAIT_UNTIL (&cluster, is_usage_reported (&cluster, 1, 0));
  cr_assert_eq (cluster.n_responses, responses_before, "the call was reported only after its end");
  PS_WAIT_UNTIL (&cluster, cluster.n_responses > responses_before);
  cr_assert_eq (cluster.response_status, 200);
  check_and_clear (&cluster);
}

/* The instance that served the calls and reports usage is killed 300 ms later. Its counts are
 * stored by then, and the other instance must report them; no window may be reported twice with
 * different figures. */
Test (duties, usage_survives_a_killed_instance)
{
  PsCluster cluster;

  start_instances (&cluster);
  PS_WAIT_UNTIL (&cluster, find_reporter (&cluster) < cluster.n_instances);
  size_t killed = find_reporter (&cluster);
  send_calls (&cluster, killed, "post-1", 4);
  PS_WAIT_UNTIL (&cluster, si_row_store_count (&cluster.store, "usage") > 0);
  for (LbTime wait_end = lb_clock_monotonic () + 300 * LB_MSEC; lb_clock_monotonic () < wait_end;)
    ps_run_loop_once (&cluster);
  pt_process_signal (&cluster.instances[killed].process, SIGKILL);
  send_calls (&cluster, 1 - killed, "mill-1", 2);
  PS_WAIT_UNTIL (&cluster, is_usage_reported (&cluster, 4, 2));
  check_and_clear (&cluster);
}

/* The platform accepts reports and its responses are lost, then it rejects calls. Reports must be
 * repeated unchanged until they are acknowledged. */
Test (duties, reports_are_repeated_unchanged_until_acknowledged)
{
  PsCluster cluster;

  start_instances (&cluster);
  cluster.control_plane.mode = SI_CONTROL_PLANE_LOSES_REPLY;
  send_calls (&cluster, 0, "post-1", 3);
  int calls_before = cluster.control_plane.calls;
  PS_WAIT_UNTIL (&cluster, cluster.control_plane.calls >= calls_before + 4);
  cluster.control_plane.mode = SI_CONTROL_PLANE_BUSY;
  calls_before = cluster.control_plane.calls;
  PS_WAIT_UNTIL (&cluster, cluster.control_plane.calls >= calls_before + 4);
  cluster.control_plane.mode = SI_CONTROL_PLANE_NORMAL;
  send_calls (&cluster, 1, "post-1", 1);
  PS_WAIT_UNTIL (&cluster, is_usage_reported (&cluster, 4, 0));
  check_and_clear (&cluster);
}

/* The lease holder is stopped gracefully: it releases the lease, so that the next holder continues
 * at once. The usage of the calls that the stopped instance served until its exit is reported as
 * well. */
Test (duties, graceful_stop_hands_the_duty_over)
{
  PsCluster cluster;

  start_instances (&cluster);
  PS_WAIT_UNTIL (&cluster, find_reporter (&cluster) < cluster.n_instances);
  size_t stopped = find_reporter (&cluster);
  send_calls (&cluster, stopped, "post-1", 2);
  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  send_calls (&cluster, stopped, "post-1", 1);
  PS_WAIT_UNTIL (&cluster, cluster.instances[stopped].process.ended);
  PS_WAIT_UNTIL (&cluster, is_usage_reported (&cluster, 3, 0));
  PS_WAIT_UNTIL (&cluster, find_reporter (&cluster) == 1 - stopped);
  check_and_clear (&cluster);
}

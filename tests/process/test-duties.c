#include "pt-shared.h"

#include "lb-alloc.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Two organisations call at two instances; one of these reports to the platform how much each of
 * them used. */

#define ORGANISATIONS                                                                              \
  ", \"tenants\": [{\"name\": \"post\", \"apiKeys\": [\"post-1\"], \"priority\": 0},"              \
  " {\"name\": \"mill\", \"apiKeys\": [\"mill-1\"], \"priority\": 1}]"
#define N_INSTANCES 2

static void
begin (PsCluster *cluster)
{
  ps_cluster_init (cluster);
  cluster->organisations_config = ORGANISATIONS;
  cluster->has_duties = true;
  ps_put_config (cluster, 2, "");
  for (int i = 0; i < N_INSTANCES; i++)
    ps_start_instance (cluster);
  PS_WAIT_UNTIL (cluster, cluster->control_plane.calls > 0);
}

static void
call (PsCluster *cluster, size_t instance, const char *key, int n)
{
  static int number;
  char id[16];

  cluster->api_key = key;
  for (int i = 0; i < n; i++)
    {
      snprintf (id, sizeof id, "c%d", ++number);
      ps_call (cluster, instance, "POST", "/lookup/1", id, "");
      cr_assert_eq (cluster->status, 200);
    }
}

static bool
is_reported (const PsCluster *cluster, int64_t post, int64_t mill)
{
  return si_control_plane_count_requests (&cluster->control_plane, "post") == post
         && si_control_plane_count_requests (&cluster->control_plane, "mill") == mill;
}

static size_t
holder (PsCluster *cluster)
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
end (PsCluster *cluster)
{
  cr_assert_eq (cluster->control_plane.conflicting_reports, 0);
  cr_assert_eq (cluster->control_plane.unidentified_calls, 0);
  ps_cluster_clear (cluster);
}

Test (duties, all_instances_usage_is_reported_by_one)
{
  PsCluster cluster;

  begin (&cluster);
  call (&cluster, 0, "post-1", 5);
  call (&cluster, 1, "post-1", 2);
  call (&cluster, 1, "mill-1", 3);
  PS_WAIT_UNTIL (&cluster, is_reported (&cluster, 7, 3));
  cr_assert_eq (cluster.control_plane.stale_calls, 0);
  end (&cluster);
}

/* A call works for eight seconds, longer than its window is waited for. It is reported where it
 * began, while it still runs. */
Test (duties, a_long_call_is_reported_where_it_began)
{
  PsCluster cluster;

  begin (&cluster);
  cluster.lookup.call_duration = 8 * LB_SEC;
  cluster.api_key = "post-1";
  int before = cluster.n_responses;
  ps_start_call (&cluster, 0, "POST", "/lookup/1", "long", "");
  PS_WAIT_UNTIL (&cluster, is_reported (&cluster, 1, 0));
  cr_assert_eq (cluster.n_responses, before, "it was counted only when it had ended");
  PS_WAIT_UNTIL (&cluster, cluster.n_responses > before);
  cr_assert_eq (cluster.status, 200);
  end (&cluster);
}

/* The instance that served the calls and the one that reports are killed a moment later. What they
 * counted is in the store by then, and another one reports it; no window is reported twice with
 * other figures. */
Test (duties, usage_outlives_its_instances)
{
  PsCluster cluster;

  begin (&cluster);
  PS_WAIT_UNTIL (&cluster, holder (&cluster) < cluster.n_instances);
  size_t killed = holder (&cluster);
  call (&cluster, killed, "post-1", 4);
  PS_WAIT_UNTIL (&cluster, si_row_store_count (&cluster.store, "usage") > 0);
  for (LbTime until = lb_clock_monotonic () + 300 * LB_MSEC; lb_clock_monotonic () < until;)
    ps_run_loop_once (&cluster);
  pt_process_signal (&cluster.instances[killed].process, SIGKILL);
  call (&cluster, 1 - killed, "mill-1", 2);
  PS_WAIT_UNTIL (&cluster, is_reported (&cluster, 4, 2));
  end (&cluster);
}

/* The platform carries reports out and its answers are lost, then it refuses calls. Reports are
 * repeated as they were until they are taken. */
Test (duties, a_platform_that_is_not_well_gets_each_report_once)
{
  PsCluster cluster;

  begin (&cluster);
  cluster.control_plane.mode = SI_CONTROL_PLANE_LOSES_REPLY;
  call (&cluster, 0, "post-1", 3);
  int calls = cluster.control_plane.calls;
  PS_WAIT_UNTIL (&cluster, cluster.control_plane.calls >= calls + 4);
  cluster.control_plane.mode = SI_CONTROL_PLANE_BUSY;
  calls = cluster.control_plane.calls;
  PS_WAIT_UNTIL (&cluster, cluster.control_plane.calls >= calls + 4);
  cluster.control_plane.mode = SI_CONTROL_PLANE_NORMAL;
  call (&cluster, 1, "post-1", 1);
  PS_WAIT_UNTIL (&cluster, is_reported (&cluster, 4, 0));
  end (&cluster);
}

/* The holder is stopped as planned: it gives the lease up, and the next one goes on at once. What
 * the stopped one served until its end is reported as well. */
Test (duties, a_planned_stop_hands_the_duty_over)
{
  PsCluster cluster;

  begin (&cluster);
  PS_WAIT_UNTIL (&cluster, holder (&cluster) < cluster.n_instances);
  size_t stopped = holder (&cluster);
  call (&cluster, stopped, "post-1", 2);
  pt_process_signal (&cluster.instances[stopped].process, SIGTERM);
  call (&cluster, stopped, "post-1", 1);
  PS_WAIT_UNTIL (&cluster, cluster.instances[stopped].process.ended);
  PS_WAIT_UNTIL (&cluster, is_reported (&cluster, 3, 0));
  PS_WAIT_UNTIL (&cluster, holder (&cluster) == 1 - stopped);
  end (&cluster);
}

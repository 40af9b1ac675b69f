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
begin (PsCluster *w)
{
  ps_cluster_init (w);
  w->organisations = ORGANISATIONS;
  w->has_duties = true;
  ps_put_config (w, 2, "");
  for (int i = 0; i < N_INSTANCES; i++)
    ps_start_instance (w);
  PS_WAIT_UNTIL (w, w->cloud.calls > 0);
}

static void
call (PsCluster *w, size_t instance, const char *key, int n)
{
  static int number;
  char id[16];

  w->key = key;
  for (int i = 0; i < n; i++)
    {
      snprintf (id, sizeof id, "c%d", ++number);
      ps_call (w, instance, "POST", "/lookup/1", id, "");
      cr_assert_eq (w->status, 200);
    }
}

static bool
is_reported (const PsCluster *w, int64_t post, int64_t mill)
{
  return si_control_plane_count_requests (&w->cloud, "post") == post
         && si_control_plane_count_requests (&w->cloud, "mill") == mill;
}

static size_t
holder (PsCluster *w)
{
  for (size_t i = 0; i < w->n_instances; i++)
    if (w->cloud.n_reports > 0
        && strcmp (w->cloud.reports[w->cloud.n_reports - 1].duty_holder, w->instances[i].name) == 0)
      return i;
  return w->n_instances;
}

static void
end (PsCluster *w)
{
  cr_assert_eq (w->cloud.conflicting_reports, 0);
  cr_assert_eq (w->cloud.unidentified_calls, 0);
  ps_cluster_clear (w);
}

Test (duties, all_instances_usage_is_reported_by_one)
{
  PsCluster w;

  begin (&w);
  call (&w, 0, "post-1", 5);
  call (&w, 1, "post-1", 2);
  call (&w, 1, "mill-1", 3);
  PS_WAIT_UNTIL (&w, is_reported (&w, 7, 3));
  cr_assert_eq (w.cloud.stale_calls, 0);
  end (&w);
}

/* A call works for eight seconds, longer than its window is waited for. It is reported where it
 * began, while it still runs. */
Test (duties, a_long_call_is_reported_where_it_began)
{
  PsCluster w;

  begin (&w);
  w.lookup.call_duration = 8 * LB_SEC;
  w.key = "post-1";
  int before = w.answers;
  ps_start_call (&w, 0, "POST", "/lookup/1", "long", "");
  PS_WAIT_UNTIL (&w, is_reported (&w, 1, 0));
  cr_assert_eq (w.answers, before, "it was counted only when it had ended");
  PS_WAIT_UNTIL (&w, w.answers > before);
  cr_assert_eq (w.status, 200);
  end (&w);
}

/* The instance that served the calls and the one that reports are killed a moment later. What they
 * counted is in the store by then, and another one reports it; no window is reported twice with
 * other figures. */
Test (duties, usage_outlives_its_instances)
{
  PsCluster w;

  begin (&w);
  PS_WAIT_UNTIL (&w, holder (&w) < w.n_instances);
  size_t killed = holder (&w);
  call (&w, killed, "post-1", 4);
  PS_WAIT_UNTIL (&w, si_row_store_count (&w.rows, "usage") > 0);
  for (LbTime until = lb_clock_monotonic () + 300 * LB_MSEC; lb_clock_monotonic () < until;)
    ps_run_loop_once (&w);
  pt_process_signal (&w.instances[killed].process, SIGKILL);
  call (&w, 1 - killed, "mill-1", 2);
  PS_WAIT_UNTIL (&w, is_reported (&w, 4, 2));
  end (&w);
}

/* The platform carries reports out and its answers are lost, then it refuses calls. Reports are
 * repeated as they were until they are taken. */
Test (duties, a_platform_that_is_not_well_gets_each_report_once)
{
  PsCluster w;

  begin (&w);
  w.cloud.mode = SI_CONTROL_PLANE_LOSES_REPLY;
  call (&w, 0, "post-1", 3);
  int calls = w.cloud.calls;
  PS_WAIT_UNTIL (&w, w.cloud.calls >= calls + 4);
  w.cloud.mode = SI_CONTROL_PLANE_BUSY;
  calls = w.cloud.calls;
  PS_WAIT_UNTIL (&w, w.cloud.calls >= calls + 4);
  w.cloud.mode = SI_CONTROL_PLANE_NORMAL;
  call (&w, 1, "post-1", 1);
  PS_WAIT_UNTIL (&w, is_reported (&w, 4, 0));
  end (&w);
}

/* The holder is stopped as planned: it gives the lease up, and the next one goes on at once. What
 * the stopped one served until its end is reported as well. */
Test (duties, a_planned_stop_hands_the_duty_over)
{
  PsCluster w;

  begin (&w);
  PS_WAIT_UNTIL (&w, holder (&w) < w.n_instances);
  size_t stopped = holder (&w);
  call (&w, stopped, "post-1", 2);
  pt_process_signal (&w.instances[stopped].process, SIGTERM);
  call (&w, stopped, "post-1", 1);
  PS_WAIT_UNTIL (&w, w.instances[stopped].process.ended);
  PS_WAIT_UNTIL (&w, is_reported (&w, 3, 0));
  PS_WAIT_UNTIL (&w, holder (&w) == 1 - stopped);
  end (&w);
}

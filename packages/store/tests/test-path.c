#include "lp-path.h"

#include <criterion/criterion.h>

static const LbName peers[] = { "10.0.0.2:7660", "10.0.0.3:7660", "10.0.0.4:7660" };

static void
mark_direct_path_down (LpPath *path, LbTime now)
{
  lp_path_record_direct_call_result (path, false, now);
  lp_path_record_direct_call_result (path, false, now);
}

/* One instance can't reach the store for seven seconds, while other instances can. Its batches
 * would be taken over and their unfinished work lost, so its calls must go through a peer. */
Test (path, uses_a_peer_while_the_direct_path_is_down)
{
  LpPath path = { 0 };
  LbTime now = LB_SEC;

  lp_path_set_peers (&path, peers, 3);
  cr_assert_null (lp_path_choose_peer (&path));
  lp_path_record_direct_call_result (&path, false, now);
  cr_assert_null (lp_path_choose_peer (&path),
                  "a single lost answer must not take the direct path down");
  lp_path_record_direct_call_result (&path, false, now);
  cr_assert_not_null (lp_path_choose_peer (&path));
}

/* A third of the instances, including a lease holder, could not reach the store for twelve seconds.
 * Each call used the next peer and lost a second at each disconnected one, so the holder learned of
 * new weights four seconds late. A peer that answers must be kept, and one that fails replaced. */
Test (path, answering_peer_is_kept_and_a_failed_one_is_replaced)
{
  LpPath path = { 0 };

  lp_path_set_peers (&path, peers, 3);
  mark_direct_path_down (&path, LB_SEC);
  const char *first = lp_path_choose_peer (&path);
  cr_assert_str_eq (first, lp_path_choose_peer (&path));
  lp_path_record_peer_failure (&path, first);
  const char *second = lp_path_choose_peer (&path);
  cr_assert_str_neq (second, first);
  lp_path_record_peer_failure (&path, first);
  cr_assert_str_eq (lp_path_choose_peer (&path), second,
                    "an earlier call through the first peer must not replace the second");
}

/* The list of peers changes when an instance starts or stops. Calls must keep the peer in use. */
Test (path, peer_in_use_is_kept_when_the_peer_list_changes)
{
  static const LbName fewer[] = { "10.0.0.9:7660", "10.0.0.3:7660" };
  LpPath path = { .seed = 1 };

  lp_path_set_peers (&path, peers, 3);
  mark_direct_path_down (&path, LB_SEC);
  cr_assert_str_eq (lp_path_choose_peer (&path), peers[1]);
  lp_path_set_peers (&path, fewer, 2);
  cr_assert_str_eq (lp_path_choose_peer (&path), peers[1]);
}

/* When twenty instances lost the store at once, all of them called the first peer of the list. The
 * seed must make them use different peers. */
Test (path, instances_start_with_different_peers)
{
  LpPath one = { .seed = 4 };
  LpPath other = { .seed = 5 };

  lp_path_set_peers (&one, peers, 3);
  lp_path_set_peers (&other, peers, 3);
  cr_assert_str_neq (lp_path_get_current_peer (&one), lp_path_get_current_peer (&other));
}

/* While the direct path is down, only a periodic probe uses it; calls go through a peer. */
Test (path, periodic_probe_detects_the_recovered_direct_path)
{
  LpPath path = { 0 };
  LbTime now = LB_SEC;

  lp_path_set_peers (&path, peers, 3);
  cr_assert_not (lp_path_schedule_next_probe_if_due (&path, false, now),
                 "expected no probe while the direct path is up");
  mark_direct_path_down (&path, now);
  cr_assert_not (lp_path_schedule_next_probe_if_due (&path, false, now));
  now += LB_SEC;
  cr_assert (lp_path_schedule_next_probe_if_due (&path, false, now));
  cr_assert_not (lp_path_schedule_next_probe_if_due (&path, false, now),
                 "expected no second probe within the probe period");
  lp_path_record_direct_call_result (&path, false, now);
  cr_assert_not_null (lp_path_choose_peer (&path));
  lp_path_record_direct_call_result (&path, true, now);
  cr_assert_null (lp_path_choose_peer (&path),
                  "expected direct calls after the direct path has recovered");
}

Test (path, without_peers_calls_stay_on_the_direct_path)
{
  LpPath path = { 0 };

  mark_direct_path_down (&path, LB_SEC);
  cr_assert_null (lp_path_choose_peer (&path));
  cr_assert_null (lp_path_get_current_peer (&path));
  cr_assert_not (lp_path_schedule_next_probe_if_due (&path, false, 9 * LB_SEC),
                 "expected no probe, since calls use the direct path");
}

/* Guards against probes that take all attempts that a failing store leaves an instance, while the
 * path through a peer works. */
Test (path, limited_probes_leave_attempts_to_calls)
{
  LpPath path = { 0 };
  LbTime now = LB_SEC;
  int n_probes = 0;

  lp_path_set_peers (&path, peers, 3);
  mark_direct_path_down (&path, now);
  for (int i = 0; i < 10; i++)
    n_probes += lp_path_schedule_next_probe_if_due (&path, true, now += LB_SEC);
  cr_assert_eq (n_probes, 2);
  lp_path_record_call (&path);
  cr_assert (lp_path_schedule_next_probe_if_due (&path, true, now + LB_SEC));
}

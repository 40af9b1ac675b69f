#include "lp-path.h"

#include <criterion/criterion.h>

static const LbName peers[] = { "10.0.0.2:7660", "10.0.0.3:7660", "10.0.0.4:7660" };

static void
cut (LpPath *path, LbTime now)
{
  lp_path_record_direct_result (path, false, now);
  lp_path_record_direct_result (path, false, now);
}

/* One machine is cut off from the store for seven seconds; the others reach it. The batches that it
 * runs would be taken from it, with all that it has half made. It goes through a peer instead. */
Test (path, goes_through_a_peer_while_the_direct_way_is_cut)
{
  LpPath path = { 0 };
  LbTime now = LB_SEC;

  lp_path_set_peers (&path, peers, 3);
  cr_assert_null (lp_path_choose_peer (&path));
  lp_path_record_direct_result (&path, false, now);
  cr_assert_null (lp_path_choose_peer (&path), "one lost answer proves nothing");
  lp_path_record_direct_result (&path, false, now);
  cr_assert_not_null (lp_path_choose_peer (&path));
}

/* A third of the machines is cut off for twelve seconds. The holder of the lease is among them and
 * hears nothing of new weights for four seconds: each call went to the next peer, and each that met
 * another cut one was lost for a second. The peer that answers is kept, the one that does not is
 * left. */
Test (path, a_peer_that_answers_is_kept_and_one_that_does_not_is_left)
{
  LpPath path = { 0 };

  lp_path_set_peers (&path, peers, 3);
  cut (&path, LB_SEC);
  const char *first = lp_path_choose_peer (&path);
  cr_assert_str_eq (first, lp_path_choose_peer (&path));
  lp_path_peer_failed (&path, first);
  const char *second = lp_path_choose_peer (&path);
  cr_assert_str_neq (second, first);
  lp_path_peer_failed (&path, first);
  cr_assert_str_eq (lp_path_choose_peer (&path), second,
                    "a call that was sent before says no more");
}

/* An instance that starts or ends changes the list of peers; calls go on through the same one. */
Test (path, the_peer_in_use_outlives_a_change_of_the_list)
{
  static const LbName fewer[] = { "10.0.0.9:7660", "10.0.0.3:7660" };
  LpPath path = { .seed = 1 };

  lp_path_set_peers (&path, peers, 3);
  cut (&path, LB_SEC);
  cr_assert_str_eq (lp_path_choose_peer (&path), peers[1]);
  lp_path_set_peers (&path, fewer, 2);
  cr_assert_str_eq (lp_path_choose_peer (&path), peers[1]);
}

/* Twenty machines are cut off at once; all of them asked the first peer of the list. */
Test (path, instances_begin_with_different_peers)
{
  LpPath one = { .seed = 4 };
  LpPath other = { .seed = 5 };

  lp_path_set_peers (&one, peers, 3);
  lp_path_set_peers (&other, peers, 3);
  cr_assert_str_neq (lp_path_current_peer (&one), lp_path_current_peer (&other));
}

/* While it is cut no call is spent on the direct way, a probe asks for it. */
Test (path, a_probe_in_a_while_finds_the_direct_way_again)
{
  LpPath path = { 0 };
  LbTime now = LB_SEC;

  lp_path_set_peers (&path, peers, 3);
  cr_assert_not (lp_path_start_probe_if_due (&path, now), "nothing is cut");
  cut (&path, now);
  cr_assert_not (lp_path_start_probe_if_due (&path, now));
  now += LB_SEC;
  cr_assert (lp_path_start_probe_if_due (&path, now));
  cr_assert_not (lp_path_start_probe_if_due (&path, now), "and only one");
  lp_path_record_direct_result (&path, false, now);
  cr_assert_not_null (lp_path_choose_peer (&path));
  lp_path_record_direct_result (&path, true, now);
  cr_assert_null (lp_path_choose_peer (&path), "it is well again");
}

Test (path, without_peers_there_is_only_the_direct_way)
{
  LpPath path = { 0 };

  cut (&path, LB_SEC);
  cr_assert_null (lp_path_choose_peer (&path));
  cr_assert_null (lp_path_current_peer (&path));
  cr_assert_not (lp_path_start_probe_if_due (&path, 9 * LB_SEC), "calls themselves try it");
}

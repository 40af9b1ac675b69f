#include "lp-path.h"

#include <criterion/criterion.h>

static const LbName peers[] = { "10.0.0.2:7660", "10.0.0.3:7660" };

/* One machine is cut off from the store for seven seconds; the others reach it. The batches that it
 * runs would be taken from it, with all that it has half made. It goes through a peer instead. */
Test (path, goes_through_peers_while_the_direct_way_is_cut)
{
  LpPath path = { 0 };
  LbTime now = LB_SEC;

  lp_path_set_peers (&path, peers, 2);
  cr_assert_null (lp_path_choose (&path, now));
  lp_path_direct_ended (&path, false, now);
  cr_assert_null (lp_path_choose (&path, now), "one lost answer proves nothing");
  lp_path_direct_ended (&path, false, now);
  const char *first = lp_path_choose (&path, now);
  cr_assert_not_null (first);
  cr_assert_str_neq (first, lp_path_choose (&path, now), "peers take turns");
}

Test (path, one_call_in_a_while_tries_the_direct_way)
{
  LpPath path = { 0 };
  LbTime now = LB_SEC;

  lp_path_set_peers (&path, peers, 2);
  lp_path_direct_ended (&path, false, now);
  lp_path_direct_ended (&path, false, now);
  now += 2 * LB_SEC;
  cr_assert_null (lp_path_choose (&path, now));
  cr_assert_not_null (lp_path_choose (&path, now), "and only one");
  lp_path_direct_ended (&path, true, now);
  cr_assert_null (lp_path_choose (&path, now), "it is well again");
}

Test (path, without_peers_there_is_only_the_direct_way)
{
  LpPath path = { 0 };

  lp_path_direct_ended (&path, false, LB_SEC);
  lp_path_direct_ended (&path, false, LB_SEC);
  cr_assert_null (lp_path_choose (&path, LB_SEC));
  cr_assert_null (lp_path_next_peer (&path));
}

#include "fake-peers.h"

#include "lb-alloc.h"
#include "lc-detector.h"

#include <criterion/criterion.h>

#define COUNT 40

static FakePeers *
cluster_new (size_t count)
{
  LcMembershipSettings settings = lc_membership_settings_default ();
  FakePeers *peers = fake_peers_new (count, &settings, 7);

  for (size_t i = 0; i < count; i++)
    fake_peers_start (peers, i);
  fake_peers_run (peers, fake_peers_now (peers) + 20 * LB_SEC);
  cr_assert_eq (fake_peers_agreeing (peers), count);
  return peers;
}

static void
run_for (FakePeers *peers, LbTime duration)
{
  fake_peers_run (peers, fake_peers_now (peers) + duration);
}

static LcMembershipTotals
totals_of_all (const FakePeers *peers, size_t count)
{
  LcMembershipTotals sum = { 0 };

  for (size_t i = 0; i < count; i++)
    {
      LcMembershipTotals one = lc_membership_totals (fake_peers_membership (peers, i));
      sum.connection_timeouts += one.connection_timeouts;
      sum.suspected += one.suspected;
      sum.declared_dead += one.declared_dead;
    }
  return sum;
}

/* Callers that hold the address of a dead instance wait for their timeouts. The instance is killed
 * (its connections end) or its machine vanishes (nothing ends); within 3 s no other may name it. */
Test (membership, a_dead_instance_is_named_by_nobody_within_three_seconds)
{
  FakePeers *peers = cluster_new (COUNT);

  fake_peers_set_state (peers, 5, FAKE_KILLED);
  fake_peers_set_state (peers, 9, FAKE_VANISHED);
  run_for (peers, 3 * LB_SEC);
  cr_assert_eq (fake_peers_naming (peers, 5), 0);
  cr_assert_eq (fake_peers_naming (peers, 9), 0);
  run_for (peers, 5 * LB_SEC);
  cr_assert_eq (fake_peers_state_of (peers, 0, 9), LC_INSTANCE_DEAD);
  cr_assert_eq (fake_peers_agreeing (peers), COUNT - 2);
  fake_peers_free (peers);
}

/* Something between two instances forgets their connections: what is written to them vanishes, but
 * new connections work. Callers of a healthy instance would be sent elsewhere, and its tickets
 * called lost. The silence must be found within 3 s, the connections replaced, and nobody
 * suspected. */
Test (membership, a_silent_connection_is_replaced_and_nobody_condemned)
{
  FakePeers *peers = cluster_new (COUNT);

  for (size_t i = 1; i < COUNT; i++)
    fake_peers_silence (peers, 0, i);
  run_for (peers, 3 * LB_SEC);
  LcMembershipTotals totals = totals_of_all (peers, COUNT);
  cr_assert_geq (totals.connection_timeouts, 3);
  cr_assert_eq (totals.suspected, 0);
  cr_assert_eq (fake_peers_agreeing (peers), COUNT);
  run_for (peers, 60 * LB_SEC);
  totals = totals_of_all (peers, COUNT);
  run_for (peers, 120 * LB_SEC);
  cr_assert_eq (totals_of_all (peers, COUNT).connection_timeouts, totals.connection_timeouts);
  cr_assert_eq (totals.suspected, 0);
  fake_peers_free (peers);
}

/* An instance speaks with all others now and then, as when it asks them for their revision. Were
 * each of these connections watched like the few that are meant for it, heartbeats of all pairs
 * would come back by the back door and use up what a node has for control at 350 instances. */
Test (membership, connections_for_single_frames_carry_no_heartbeats)
{
  FakePeers *peers = cluster_new (COUNT);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbList actions;

  lb_list_init (&actions);
  fake_peers_reset_bytes (peers);
  run_for (peers, 20 * LB_SEC);
  int64_t before = fake_peers_bytes (peers, 0);
  for (size_t i = 1; i < COUNT; i++)
    cr_assert (lc_membership_keep_connected (
        first, lc_membership_self (fake_peers_membership (peers, i))->name,
        fake_peers_now (peers) + 60 * LB_SEC, fake_peers_now (peers), &actions));
  fake_peers_carry_out (peers, 0, &actions);
  run_for (peers, 5 * LB_SEC);
  fake_peers_reset_bytes (peers);
  run_for (peers, 20 * LB_SEC);
  for (size_t i = 1; i < COUNT; i++)
    cr_assert_neq (lc_membership_find_link (
                       first, lc_membership_self (fake_peers_membership (peers, i))->name),
                   0);
  cr_assert_lt (fake_peers_bytes (peers, 0), before * 3 / 2);
  fake_peers_free (peers);
}

/* Such a connection is forgotten by something between the ends while nothing is said on it. The
 * next frame goes nowhere. That must be found within 3 s of the frame, and a new connection be
 * there. */
Test (membership, a_frame_on_a_silent_connection_finds_it)
{
  FakePeers *peers = cluster_new (COUNT);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbList actions;

  lb_list_init (&actions);
  for (size_t i = 1; i < COUNT; i++)
    {
      const char *name = lc_membership_self (fake_peers_membership (peers, i))->name;
      if (lc_membership_find_link (first, name) != 0)
        continue;
      lc_membership_keep_connected (first, name, fake_peers_now (peers) + 60 * LB_SEC,
                                    fake_peers_now (peers), &actions);
      fake_peers_carry_out (peers, 0, &actions);
      run_for (peers, 10 * LB_SEC);
      LcLinkId silent = lc_membership_find_link (first, name);
      lc_membership_frame_sent (first, silent, fake_peers_now (peers));
      run_for (peers, 5 * LB_SEC);
      cr_assert_eq (lc_membership_find_link (first, name), silent, "it was well and was dropped");
      fake_peers_silence (peers, 0, i);
      lc_membership_frame_sent (first, silent, fake_peers_now (peers));
      run_for (peers, 3 * LB_SEC);
      cr_assert_neq (lc_membership_find_link (first, name), silent);
      cr_assert_neq (lc_membership_find_link (first, name), 0);
      break;
    }
  cr_assert_geq (lc_membership_totals (first).connection_timeouts, 1);
  cr_assert_eq (fake_peers_agreeing (peers), COUNT);
  fake_peers_free (peers);
}

/* An instance dies, and the one that is watched in its place has a connection that was quiet by
 * right for long. Judged by its last word, it would be dropped as silent and a healthy instance not
 * named. */
Test (membership, a_quiet_connection_is_not_silent_when_it_becomes_watched)
{
  const size_t count = 6;
  FakePeers *peers = cluster_new (count);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbTime until = fake_peers_now (peers) + 100 * LB_SEC;
  LbList actions;

  lb_list_init (&actions);
  for (size_t i = 1; i < count; i++)
    lc_membership_keep_connected (first,
                                  lc_membership_self (fake_peers_membership (peers, i))->name,
                                  until, fake_peers_now (peers), &actions);
  fake_peers_carry_out (peers, 0, &actions);
  run_for (peers, 20 * LB_SEC);
  for (size_t i = 1; i < count - 1; i++)
    {
      fake_peers_set_state (peers, i, FAKE_KILLED);
      run_for (peers, 5 * LB_SEC);
      cr_assert_eq (lc_membership_totals (first).connection_timeouts, 0);
    }
  fake_peers_free (peers);
}

/* An operator's debugger stops an instance for ten seconds. The others rightly stop naming it. When
 * it goes on, every peer looks silent to it, since it read nothing for so long: it would condemn
 * all of them and tell everybody so. It must condemn nobody, and be named again within 3 s. */
Test (membership, a_paused_instance_condemns_nobody_on_its_return)
{
  FakePeers *peers = cluster_new (COUNT);

  fake_peers_set_state (peers, 3, FAKE_PAUSED);
  run_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_naming (peers, 3), 0);
  cr_assert_eq (fake_peers_state_of (peers, 0, 3), LC_INSTANCE_DEAD);
  fake_peers_set_state (peers, 3, FAKE_RUNNING);
  run_for (peers, 3 * LB_SEC);
  cr_assert_eq (fake_peers_agreeing (peers), COUNT);
  LcMembershipTotals own = lc_membership_totals (fake_peers_membership (peers, 3));
  cr_assert_eq (own.own_pauses, 1);
  cr_assert_eq (own.suspected, 0);
  cr_assert_eq (own.declared_dead, 0);
  fake_peers_free (peers);
}

/* A line between data centres is cut for an hour. Each side condemns the other and goes on with its
 * own. When the line is back, nobody has a connection to the other side or a reason to open one,
 * and the service stays in two halves. Both must find one another again within seconds. */
Test (membership, regions_apart_for_an_hour_find_one_another_again)
{
  const size_t count = 13;
  FakePeers *peers = cluster_new (count);

  fake_peers_set_state (peers, 0, FAKE_KILLED); /* the only seed: it must not be needed */
  run_for (peers, 10 * LB_SEC);
  for (size_t i = 1; i < count; i += 3)
    fake_peers_set_group (peers, i, 1);
  run_for (peers, 3600 * LB_SEC);
  cr_assert_eq (fake_peers_naming (peers, 1), 3);
  cr_assert_eq (fake_peers_naming (peers, 2), 7);
  for (size_t i = 1; i < count; i++)
    fake_peers_set_group (peers, i, 0);
  run_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_agreeing (peers), count - 1);
  fake_peers_free (peers);
}

/* Only the path between two instances is cut; all others reach both. The watcher suspects, the
 * suspected hears of it and refutes, and this goes on for ever: a frame to everybody each second,
 * and a healthy instance named by nobody half of the time. */
Test (membership, a_cut_between_two_does_not_make_others_waver)
{
  FakePeers *peers = cluster_new (COUNT);
  size_t gaps = 0;

  for (size_t i = 1; i < COUNT; i++)
    if (lc_membership_find_link (fake_peers_membership (peers, 0),
                                 lc_membership_self (fake_peers_membership (peers, i))->name)
        != 0)
      {
        fake_peers_cut_pair (peers, 0, i);
        break;
      }
  for (int second = 0; second < 120; second++)
    {
      run_for (peers, LB_SEC);
      gaps += fake_peers_agreeing (peers) < COUNT - 2;
    }
  cr_assert_leq (gaps, 1);
  cr_assert_leq (totals_of_all (peers, COUNT).suspected, 16);
  cr_assert_eq (totals_of_all (peers, COUNT).declared_dead, 0);
  fake_peers_free (peers);
}

/* An instance that shuts down refuses new work, but callers are still sent to it by others that
 * have not heard. They must have heard well before the first callers' answers run out. */
Test (membership, a_draining_instance_is_named_by_nobody_at_once)
{
  FakePeers *peers = cluster_new (COUNT);
  LbList actions;

  lb_list_init (&actions);
  lc_membership_set_draining (fake_peers_membership (peers, 4), fake_peers_now (peers), &actions);
  fake_peers_carry_out (peers, 4, &actions);
  run_for (peers, LB_SEC);
  cr_assert_eq (fake_peers_naming (peers, 4), 0);
  cr_assert_eq (fake_peers_state_of (peers, 0, 4), LC_INSTANCE_ALIVE);
  fake_peers_free (peers);
}

/* An instance is replaced under its old name. Late news of the earlier incarnation (that it is
 * dead) reach instances that already know the new one; they must not make it unnamed. */
Test (membership, news_of_an_earlier_incarnation_change_nothing)
{
  FakePeers *peers = cluster_new (COUNT);
  LcMemberView before, after;
  LbList actions;

  lc_membership_find (fake_peers_membership (peers, 0), "instance-6", &before);
  fake_peers_set_state (peers, 6, FAKE_KILLED);
  run_for (peers, LB_SEC);
  fake_peers_start (peers, 6);
  run_for (peers, 5 * LB_SEC);
  cr_assert_eq (fake_peers_agreeing (peers), COUNT);

  lb_list_init (&actions);
  before.instance.state = LC_INSTANCE_DEAD;
  before.instance.version += 100;
  lc_membership_updates_received (fake_peers_membership (peers, 0), 0, &before.instance, 1,
                                  fake_peers_now (peers), &actions);
  cr_assert (lb_list_is_empty (&actions));
  lc_membership_find (fake_peers_membership (peers, 0), "instance-6", &after);
  cr_assert (after.alive);
  cr_assert_gt (after.instance.epoch, before.instance.epoch);
  fake_peers_free (peers);
}

/* Two live processes get the same name by mistake. Each outbids the other's epoch whenever it hears
 * of it, and all instances pass that on: a storm of frames out of one wrong line of settings. The
 * first answer must come at once (it may be an honest replacement whose clock is behind), the next
 * ones seldom, and the conflict be counted. */
Test (membership, two_of_one_name_make_no_storm)
{
  FakePeers *peers = cluster_new (6);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbList actions;

  lb_list_init (&actions);
  for (int i = 0; i < 300; i++)
    {
      LcInstance rival = *lc_membership_self (first);
      LB_COPY (rival.incarnation, "rival");
      rival.epoch++;
      lc_membership_updates_received (first, 0, &rival, 1, fake_peers_now (peers), &actions);
      run_for (peers, 10 * LB_MSEC);
      if (i == 50)
        cr_assert_eq (lc_membership_totals (first).name_conflicts, 1);
    }
  cr_assert_eq (lc_membership_totals (first).name_conflicts, 1);
  run_for (peers, 10 * LB_SEC);
  cr_assert_eq (lc_membership_totals (first).name_conflicts, 2);
  cr_assert_eq (fake_peers_agreeing (peers), 6);
  fake_peers_free (peers);
}

/* Instances whose seeds are all gone start at the same time, each alone. Each serves callers with
 * itself as the only address. The platform's list, late as it is, must bring them together. */
Test (membership, the_platform_list_brings_lone_instances_together)
{
  LcMembershipSettings settings = lc_membership_settings_default ();
  FakePeers *peers = fake_peers_new (4, &settings, 3);
  LcListedInstance listed[] = { { .name = "instance-1", .peer_address = "1.peer.address" },
                                { .name = "instance-2", .peer_address = "2.peer.address" },
                                { .name = "instance-3", .peer_address = "3.peer.address" } };
  LbList actions;

  lb_list_init (&actions);
  for (size_t i = 1; i < 4; i++)
    fake_peers_start (peers, i);
  run_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_agreeing (peers), 0);
  for (size_t i = 1; i < 4; i++)
    lc_membership_apply_platform_list (fake_peers_membership (peers, i), listed, 3,
                                       fake_peers_now (peers), &actions);
  run_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_agreeing (peers), 3);

  listed[1].leaving = true;
  lc_membership_apply_platform_list (fake_peers_membership (peers, 1), listed, 3,
                                     fake_peers_now (peers), &actions);
  fake_peers_carry_out (peers, 1, &actions);
  cr_assert_not (fake_peers_names (peers, 1, 2));
  fake_peers_free (peers);
}

/* News are lost with a connection, and nothing later repeats them: one instance goes on naming a
 * draining one for ever. The heartbeats' digests differ, and the views must be compared. */
Test (membership, lost_news_are_found_by_the_digest)
{
  FakePeers *peers = cluster_new (COUNT);
  LbList actions;

  lb_list_init (&actions);
  lc_membership_set_draining (fake_peers_membership (peers, 4), fake_peers_now (peers), &actions);
  LB_LIST_FOREACH (&actions, LcMembershipAction, link_in_list, action)
  {
    lb_list_remove (&actions, &action->link_in_list);
    lc_membership_action_free (action);
  }
  run_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_naming (peers, 4), 0);
  fake_peers_free (peers);
}

/* A busy or far peer answers late at times. A fixed limit of two periods would give up its
 * connection again and again; the limit must follow the gaps seen, yet never beyond the ceiling
 * that the three seconds allow. */
Test (detector, the_limit_follows_the_history_between_its_bounds)
{
  LcDetector steady, wavering, erratic;
  LbTime now = 0;

  lc_detector_init (&steady, 500 * LB_MSEC, now);
  lc_detector_init (&wavering, 500 * LB_MSEC, now);
  lc_detector_init (&erratic, 500 * LB_MSEC, now);
  for (int i = 1; i <= 100; i++)
    {
      lc_detector_record_arrival (&steady, i * 500 * LB_MSEC);
      lc_detector_record_arrival (&wavering, i * 500 * LB_MSEC + (i % 2) * 250 * LB_MSEC);
      lc_detector_record_arrival (&erratic, i * 950 * LB_MSEC + (i % 2) * 450 * LB_MSEC);
    }
  now = 100 * 500 * LB_MSEC;
  cr_assert_eq (lc_detector_deadline (&steady), now + LB_SEC);
  cr_assert_gt (lc_detector_deadline (&wavering), now + LB_SEC);
  cr_assert_eq (lc_detector_deadline (&erratic) - 100 * 950 * LB_MSEC, 1500 * LB_MSEC);
}

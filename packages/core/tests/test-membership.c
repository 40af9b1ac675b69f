#include "fake-peers.h"

#include "lb-alloc.h"
#include "lc-detector.h"

#include <criterion/criterion.h>

#define N_INSTANCES 40

static FakePeers *
start_converged_cluster (size_t count)
{
  LcMembershipSettings settings = lc_membership_settings_default ();
  FakePeers *peers = fake_peers_new (count, &settings, 7);

  for (size_t i = 0; i < count; i++)
    fake_peers_start_instance (peers, i);
  fake_peers_run_until (peers, fake_peers_now (peers) + 20 * LB_SEC);
  cr_assert_eq (fake_peers_count_converged_instances (peers), count);
  return peers;
}

static void
run_fake_peers_for (FakePeers *peers, LbTime duration)
{
  fake_peers_run_until (peers, fake_peers_now (peers) + duration);
}

static LcMembershipTotals
sum_membership_totals (const FakePeers *peers, size_t count)
{
  LcMembershipTotals sum = { 0 };

  for (size_t i = 0; i < count; i++)
    {
      LcMembershipTotals totals = lc_membership_totals (fake_peers_membership (peers, i));
      sum.connection_timeouts += totals.connection_timeouts;
      sum.suspected += totals.suspected;
      sum.declared_dead += totals.declared_dead;
    }
  return sum;
}

/* Callers that are given the address of a dead instance wait for their timeouts. One instance is
 * killed, which closes its connections, and one machine becomes unreachable, which closes none.
 * Within 3 s no other instance may give their addresses to callers. */
Test (membership, a_dead_instance_is_not_given_to_callers_after_three_seconds)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);

  fake_peers_set_instance_state (peers, 5, FAKE_KILLED);
  fake_peers_set_instance_state (peers, 9, FAKE_UNREACHABLE);
  run_fake_peers_for (peers, 3 * LB_SEC);
  cr_assert_eq (fake_peers_count_observers_listing (peers, 5), 0);
  cr_assert_eq (fake_peers_count_observers_listing (peers, 9), 0);
  run_fake_peers_for (peers, 5 * LB_SEC);
  cr_assert_eq (fake_peers_observed_state (peers, 0, 9), LC_INSTANCE_DEAD);
  cr_assert_eq (fake_peers_count_converged_instances (peers), N_INSTANCES - 2);
  fake_peers_free (peers);
}

/* A middlebox drops the state of connections: frames on them are lost, but new connections work.
 * The silent connections must be detected within 3 s and replaced. No instance may be suspected:
 * callers are sent away from a suspected instance, and its tickets are reported as lost. */
Test (membership, a_silent_connection_is_replaced_without_suspicion)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);

  for (size_t i = 1; i < N_INSTANCES; i++)
    fake_peers_drop_messages_on_open_links (peers, 0, i);
  run_fake_peers_for (peers, 3 * LB_SEC);
  LcMembershipTotals totals = sum_membership_totals (peers, N_INSTANCES);
  cr_assert_geq (totals.connection_timeouts, 3);
  cr_assert_eq (totals.suspected, 0);
  cr_assert_eq (fake_peers_count_converged_instances (peers), N_INSTANCES);
  run_fake_peers_for (peers, 60 * LB_SEC);
  totals = sum_membership_totals (peers, N_INSTANCES);
  run_fake_peers_for (peers, 120 * LB_SEC);
  cr_assert_eq (sum_membership_totals (peers, N_INSTANCES).connection_timeouts,
                totals.connection_timeouts);
  cr_assert_eq (totals.suspected, 0);
  fake_peers_free (peers);
}

/* An instance occasionally talks to all others, for example to ask for their revision. If
 * heartbeats were sent on each of these connections, all pairs of instances would exchange
 * heartbeats, and 350 instances would use up the budget for control traffic. */
Test (membership, connections_for_single_frames_carry_no_heartbeats)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbList actions;

  lb_list_init (&actions);
  fake_peers_reset_traffic_bytes (peers);
  run_fake_peers_for (peers, 20 * LB_SEC);
  int64_t before = fake_peers_traffic_bytes (peers, 0);
  for (size_t i = 1; i < N_INSTANCES; i++)
    cr_assert (lc_membership_keep_connected (
        first, lc_membership_self (fake_peers_membership (peers, i))->name,
        fake_peers_now (peers) + 60 * LB_SEC, fake_peers_now (peers), &actions));
  fake_peers_execute_membership_actions (peers, 0, &actions);
  run_fake_peers_for (peers, 5 * LB_SEC);
  fake_peers_reset_traffic_bytes (peers);
  run_fake_peers_for (peers, 20 * LB_SEC);
  for (size_t i = 1; i < N_INSTANCES; i++)
    cr_assert_neq (lc_membership_find_link (
                       first, lc_membership_self (fake_peers_membership (peers, i))->name),
                   0);
  cr_assert_lt (fake_peers_traffic_bytes (peers, 0), before * 3 / 2);
  fake_peers_free (peers);
}

/* A middlebox drops the state of an idle connection, and the next frame on it is lost. Within 3 s
 * of that frame the loss must be detected and a new connection be open. */
Test (membership, an_unanswered_frame_reveals_a_silent_connection)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbList actions;

  lb_list_init (&actions);
  for (size_t i = 1; i < N_INSTANCES; i++)
    {
      const char *name = lc_membership_self (fake_peers_membership (peers, i))->name;
      if (lc_membership_find_link (first, name) != 0)
        continue;
      lc_membership_keep_connected (first, name, fake_peers_now (peers) + 60 * LB_SEC,
                                    fake_peers_now (peers), &actions);
      fake_peers_execute_membership_actions (peers, 0, &actions);
      run_fake_peers_for (peers, 10 * LB_SEC);
      LcLinkId silent = lc_membership_find_link (first, name);
      lc_membership_frame_sent (first, silent, fake_peers_now (peers));
      run_fake_peers_for (peers, 5 * LB_SEC);
      cr_assert_eq (lc_membership_find_link (first, name), silent,
                    "a healthy connection was closed");
      fake_peers_drop_messages_on_open_links (peers, 0, i);
      lc_membership_frame_sent (first, silent, fake_peers_now (peers));
      run_fake_peers_for (peers, 3 * LB_SEC);
      cr_assert_neq (lc_membership_find_link (first, name), silent);
      cr_assert_neq (lc_membership_find_link (first, name), 0);
      break;
    }
  cr_assert_geq (lc_membership_totals (first).connection_timeouts, 1);
  cr_assert_eq (fake_peers_count_converged_instances (peers), N_INSTANCES);
  fake_peers_free (peers);
}

/* An instance dies, and another member is monitored instead, over a healthy connection that
 * was idle. If the silence were counted from the last frame on the connection, the connection would
 * be closed as silent, and callers would not be sent to a healthy instance. */
Test (membership, an_idle_connection_is_not_silent_when_it_becomes_watched)
{
  const size_t count = 6;
  FakePeers *peers = start_converged_cluster (count);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbTime until = fake_peers_now (peers) + 100 * LB_SEC;
  LbList actions;

  lb_list_init (&actions);
  for (size_t i = 1; i < count; i++)
    lc_membership_keep_connected (first,
                                  lc_membership_self (fake_peers_membership (peers, i))->name,
                                  until, fake_peers_now (peers), &actions);
  fake_peers_execute_membership_actions (peers, 0, &actions);
  run_fake_peers_for (peers, 20 * LB_SEC);
  for (size_t i = 1; i < count - 1; i++)
    {
      fake_peers_set_instance_state (peers, i, FAKE_KILLED);
      run_fake_peers_for (peers, 5 * LB_SEC);
      cr_assert_eq (lc_membership_totals (first).connection_timeouts, 0);
    }
  fake_peers_free (peers);
}

/* A debugger stops an instance for ten seconds, and the others rightly declare it dead. When it
 * resumes, every peer looks silent, since it read nothing during the pause. It must not suspect any
 * peer, and within 3 s callers must be sent to it again. */
Test (membership, a_paused_instance_declares_no_one_dead_on_resume)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);

  fake_peers_set_instance_state (peers, 3, FAKE_PAUSED);
  run_fake_peers_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_count_observers_listing (peers, 3), 0);
  cr_assert_eq (fake_peers_observed_state (peers, 0, 3), LC_INSTANCE_DEAD);
  fake_peers_set_instance_state (peers, 3, FAKE_RUNNING);
  run_fake_peers_for (peers, 3 * LB_SEC);
  cr_assert_eq (fake_peers_count_converged_instances (peers), N_INSTANCES);
  LcMembershipTotals own = lc_membership_totals (fake_peers_membership (peers, 3));
  cr_assert_eq (own.own_pauses, 1);
  cr_assert_eq (own.suspected, 0);
  cr_assert_eq (own.declared_dead, 0);
  fake_peers_free (peers);
}

/* A membership that has a connection to one other instance. */
typedef struct
{
  LcMembership *membership;
  LcInstance peer;
  LcLinkId link;
  LbTime now;
} PairedMembership;

/* Executes nothing; returns the connection that the last DIAL action opens, 0: none. */
static LcLinkId
free_actions_and_get_dialled_link (LbList *actions)
{
  LcLinkId dialled = 0;
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcMembershipAction *action = LB_CONTAINER (link, LcMembershipAction, link_in_list);
      if (action->type == LC_MEMBERSHIP_DIAL)
        dialled = action->link;
      lc_membership_action_free (action);
    }
  return dialled;
}

static void
paired_membership_init (PairedMembership *pair)
{
  LcMembershipSettings settings = lc_membership_settings_default ();
  LbList actions;

  lb_list_init (&actions);
  *pair = (PairedMembership){ .peer = { .epoch = 1, .version = 1 }, .now = LB_SEC };
  LB_COPY (settings.self.name, "a");
  settings.self.epoch = 1;
  LB_COPY (pair->peer.name, "b");
  LB_COPY (pair->peer.peer_address, "10.0.0.2:1");
  pair->membership = lc_membership_new (&settings, pair->now);
  lc_membership_add_seed (pair->membership, pair->peer.peer_address, pair->now);
  lc_membership_tick (pair->membership, pair->now, &actions);
  pair->link = free_actions_and_get_dialled_link (&actions);
  cr_assert_neq (pair->link, 0);
  lc_membership_link_dialled (pair->membership, pair->link, &pair->peer, pair->now, &actions);
  free_actions_and_get_dialled_link (&actions);
}

/* The connection was closed by the peer. Returns the connection that is dialled instead. */
static LcLinkId
close_link_and_get_redial (PairedMembership *pair, LcLinkId link)
{
  LbList actions;

  lb_list_init (&actions);
  lc_membership_link_closed (pair->membership, link, pair->now, &actions);
  return free_actions_and_get_dialled_link (&actions);
}

static bool
is_peer_available (const PairedMembership *pair)
{
  LcMemberView view;

  return lc_membership_find_instance (pair->membership, "b", &view) && view.alive;
}

static void
run_dial_across_pause (bool is_tick_first)
{
  PairedMembership pair;
  LbList actions;

  lb_list_init (&actions);
  paired_membership_init (&pair);
  LcLinkId dial = close_link_and_get_redial (&pair, pair.link);
  cr_assert_neq (dial, 0);
  pair.now += 6 * LB_SEC;
  if (is_tick_first)
    lc_membership_tick (pair.membership, pair.now, &actions);
  LcLinkId redial = close_link_and_get_redial (&pair, dial);
  LcMembershipTotals totals = lc_membership_totals (pair.membership);
  cr_assert_eq (totals.suspected, 0, "the peer is suspected, tick first: %d", is_tick_first);
  cr_assert_eq (totals.own_pauses, 1);
  cr_assert_neq (redial, 0, "the peer is not dialled again");
  close_link_and_get_redial (&pair, redial);
  cr_assert_eq (lc_membership_totals (pair.membership).suspected, 1,
                "a dial that fails after the pause counts");
  free_actions_and_get_dialled_link (&actions);
  lc_membership_free (pair.membership);
}

/* An instance is paused while it opens a connection. The peer closes the connection, since the
 * handshake is not done in time. The paused instance reads the close before or after its next tick.
 * It must not suspect the peer, but dial again; only a failure of that dial counts. */
Test (membership, a_dial_in_progress_across_a_pause_does_not_count)
{
  run_dial_across_pause (false);
  run_dial_across_pause (true);
}

/* An instance is paused for so long that its peer closes the connection. On resume it reads the
 * close first. Callers must be sent to the peer all the time, and a frame that arrives after the
 * pause ends this protection. */
Test (membership, a_connection_lost_in_a_pause_does_not_make_the_peer_unavailable)
{
  PairedMembership pair;
  LbList actions;

  lb_list_init (&actions);
  paired_membership_init (&pair);
  cr_assert (is_peer_available (&pair));
  pair.now += 6 * LB_SEC;
  LcLinkId dial = close_link_and_get_redial (&pair, pair.link);
  cr_assert_neq (dial, 0);
  cr_assert (is_peer_available (&pair));
  lc_membership_link_dialled (pair.membership, dial, &pair.peer, pair.now, &actions);
  free_actions_and_get_dialled_link (&actions);
  pair.now += 6 * LB_SEC;
  lc_membership_frame_received (pair.membership, dial, pair.now);
  close_link_and_get_redial (&pair, dial);
  cr_assert_not (is_peer_available (&pair));
  lc_membership_free (pair.membership);
}

/* Two data centres are partitioned for an hour, and each side declares the other dead. Afterwards
 * nobody has a connection to the other side, and the cluster would stay split. Both sides must
 * rejoin within 10 s. */
Test (membership, data_centres_rejoin_after_an_hour_of_partition)
{
  const size_t count = 13;
  FakePeers *peers = start_converged_cluster (count);

  fake_peers_set_instance_state (peers, 0, FAKE_KILLED); /* instance 0 is the only seed */
  run_fake_peers_for (peers, 10 * LB_SEC);
  for (size_t i = 1; i < count; i += 3)
    fake_peers_set_partition_group (peers, i, 1);
  run_fake_peers_for (peers, 3600 * LB_SEC);
  cr_assert_eq (fake_peers_count_observers_listing (peers, 1), 3);
  cr_assert_eq (fake_peers_count_observers_listing (peers, 2), 7);
  for (size_t i = 1; i < count; i++)
    fake_peers_set_partition_group (peers, i, 0);
  run_fake_peers_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_count_converged_instances (peers), count - 1);
  fake_peers_free (peers);
}

/* Only the path between two instances is cut; all others reach both. Guards against a cycle in
 * which one of the two suspects the other, which refutes the suspicion through other instances:
 * updates are broadcast each second, and half of the time callers do not get the address of a
 * healthy instance. */
Test (membership, a_cut_between_two_instances_does_not_flap_the_view)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);
  size_t n_disagreements = 0;

  for (size_t i = 1; i < N_INSTANCES; i++)
    if (lc_membership_find_link (fake_peers_membership (peers, 0),
                                 lc_membership_self (fake_peers_membership (peers, i))->name)
        != 0)
      {
        fake_peers_partition_pair (peers, 0, i);
        break;
      }
  for (int second = 0; second < 120; second++)
    {
      run_fake_peers_for (peers, LB_SEC);
      n_disagreements += fake_peers_count_converged_instances (peers) < N_INSTANCES - 2;
    }
  cr_assert_leq (n_disagreements, 1);
  cr_assert_leq (sum_membership_totals (peers, N_INSTANCES).suspected, 16);
  cr_assert_eq (sum_membership_totals (peers, N_INSTANCES).declared_dead, 0);
  fake_peers_free (peers);
}

/* A draining instance refuses new work, but instances that do not know that it is draining still
 * send callers to it. All must know within a second. */
Test (membership, a_draining_instance_is_not_given_to_callers)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);
  LbList actions;

  lb_list_init (&actions);
  lc_membership_mark_self_draining (fake_peers_membership (peers, 4), fake_peers_now (peers),
                                    &actions);
  fake_peers_execute_membership_actions (peers, 4, &actions);
  run_fake_peers_for (peers, LB_SEC);
  cr_assert_eq (fake_peers_count_observers_listing (peers, 4), 0);
  cr_assert_eq (fake_peers_observed_state (peers, 0, 4), LC_INSTANCE_ALIVE);
  fake_peers_free (peers);
}

/* An instance is replaced under its old name. A late update that the earlier incarnation is dead
 * reaches an instance that already knows the new incarnation. The late update must not change its
 * view. */
Test (membership, updates_of_an_earlier_incarnation_are_ignored)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);
  LcMemberView before, after;
  LbList actions;

  lc_membership_find_instance (fake_peers_membership (peers, 0), "instance-6", &before);
  fake_peers_set_instance_state (peers, 6, FAKE_KILLED);
  run_fake_peers_for (peers, LB_SEC);
  fake_peers_start_instance (peers, 6);
  run_fake_peers_for (peers, 5 * LB_SEC);
  cr_assert_eq (fake_peers_count_converged_instances (peers), N_INSTANCES);

  lb_list_init (&actions);
  before.instance.state = LC_INSTANCE_DEAD;
  before.instance.version += 100;
  lc_membership_updates_received (fake_peers_membership (peers, 0), 0, &before.instance, 1,
                                  fake_peers_now (peers), &actions);
  cr_assert (lb_list_is_empty (&actions));
  lc_membership_find_instance (fake_peers_membership (peers, 0), "instance-6", &after);
  cr_assert (after.alive);
  cr_assert_gt (after.instance.epoch, before.instance.epoch);
  fake_peers_free (peers);
}

/* Two live processes get the same name by mistake. Each would answer every update of the other with
 * a higher epoch, and all instances would broadcast each answer. The first answer must be
 * immediate, since a regular replacement with a slow clock starts with too low an epoch. Later
 * answers must be rare, and conflicts must be counted. */
Test (membership, a_name_conflict_is_answered_at_a_limited_rate)
{
  FakePeers *peers = start_converged_cluster (6);
  LcMembership *first = fake_peers_membership (peers, 0);
  LbList actions;

  lb_list_init (&actions);
  for (int i = 0; i < 300; i++)
    {
      LcInstance rival = *lc_membership_self (first);
      LB_COPY (rival.incarnation, "rival");
      rival.epoch++;
      lc_membership_updates_received (first, 0, &rival, 1, fake_peers_now (peers), &actions);
      run_fake_peers_for (peers, 10 * LB_MSEC);
      if (i == 50)
        cr_assert_eq (lc_membership_totals (first).name_conflicts, 1);
    }
  cr_assert_eq (lc_membership_totals (first).name_conflicts, 1);
  run_fake_peers_for (peers, 10 * LB_SEC);
  cr_assert_eq (lc_membership_totals (first).name_conflicts, 2);
  cr_assert_eq (fake_peers_count_converged_instances (peers), 6);
  fake_peers_free (peers);
}

/* Instances whose seeds are all gone start at the same time. Each knows only itself and gives
 * callers only its own address. The platform's list must connect them, although it lags behind. */
Test (membership, the_platform_list_connects_isolated_instances)
{
  LcMembershipSettings settings = lc_membership_settings_default ();
  FakePeers *peers = fake_peers_new (4, &settings, 3);
  LcListedInstance listed[] = { { .name = "instance-1", .peer_address = "1.peer.address" },
                                { .name = "instance-2", .peer_address = "2.peer.address" },
                                { .name = "instance-3", .peer_address = "3.peer.address" } };
  LbList actions;

  lb_list_init (&actions);
  for (size_t i = 1; i < 4; i++)
    fake_peers_start_instance (peers, i);
  run_fake_peers_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_count_converged_instances (peers), 0);
  for (size_t i = 1; i < 4; i++)
    lc_membership_apply_platform_list (fake_peers_membership (peers, i), listed, 3,
                                       fake_peers_now (peers), &actions);
  run_fake_peers_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_count_converged_instances (peers), 3);

  listed[1].leaving = true;
  lc_membership_apply_platform_list (fake_peers_membership (peers, 1), listed, 3,
                                     fake_peers_now (peers), &actions);
  fake_peers_execute_membership_actions (peers, 1, &actions);
  cr_assert_not (fake_peers_is_listed (peers, 1, 2));
  fake_peers_free (peers);
}

/* An update is lost with a connection and is not repeated, so other instances would go on giving
 * callers the address of a draining instance. The heartbeats' digests differ, so the peers must
 * compare their views. */
Test (membership, a_lost_update_is_found_by_the_digest)
{
  FakePeers *peers = start_converged_cluster (N_INSTANCES);
  LbList actions;

  lb_list_init (&actions);
  lc_membership_mark_self_draining (fake_peers_membership (peers, 4), fake_peers_now (peers),
                                    &actions);
  LB_LIST_FOREACH (&actions, LcMembershipAction, link_in_list, action)
  {
    lb_list_remove (&actions, &action->link_in_list);
    lc_membership_action_free (action);
  }
  run_fake_peers_for (peers, 10 * LB_SEC);
  cr_assert_eq (fake_peers_count_observers_listing (peers, 4), 0);
  fake_peers_free (peers);
}

/* A busy or distant peer sometimes answers late. With a fixed timeout of two heartbeat periods its
 * connection would be closed again and again. The timeout must follow the measured times between
 * frames, but never exceed three periods. */
Test (detector, the_timeout_follows_frame_intervals_within_bounds)
{
  LcDetector steady, jittery, irregular;
  LbTime now = 0;

  lc_detector_init (&steady, 500 * LB_MSEC, now);
  lc_detector_init (&jittery, 500 * LB_MSEC, now);
  lc_detector_init (&irregular, 500 * LB_MSEC, now);
  for (int i = 1; i <= 100; i++)
    {
      lc_detector_record_arrival (&steady, i * 500 * LB_MSEC);
      lc_detector_record_arrival (&jittery, i * 500 * LB_MSEC + (i % 2) * 250 * LB_MSEC);
      lc_detector_record_arrival (&irregular, i * 950 * LB_MSEC + (i % 2) * 450 * LB_MSEC);
    }
  now = 100 * 500 * LB_MSEC;
  cr_assert_eq (lc_detector_deadline (&steady), now + LB_SEC);
  cr_assert_gt (lc_detector_deadline (&jittery), now + LB_SEC);
  cr_assert_eq (lc_detector_deadline (&irregular) - 100 * 950 * LB_MSEC, 1500 * LB_MSEC);
}

#include "lb-alloc.h"
#include "lc-config.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define MAX_CONFIRMATION_AGE (8 * LB_SEC)
#define START_TIME (100 * LB_SEC)

static LcConfig *config;
static LbList actions;
static LbTime now;

static void
create_config (void)
{
  const LcConfigSettings settings = { .instance = "i1",
                                      .max_confirmation_age = MAX_CONFIRMATION_AGE,
                                      .min_poll_period = LB_SEC,
                                      .seed = 7 };

  now = START_TIME;
  lb_list_init (&actions);
  config = lc_config_new (&settings, now);
}

static void
free_pending_config_actions (void)
{
  LbLink *link;

  while ((link = lb_list_pop (&actions)))
    lc_config_action_free (LB_CONTAINER (link, LcConfigAction, link));
}

static void
free_config (void)
{
  free_pending_config_actions ();
  lc_config_free (config);
}

TestSuite (config, .init = create_config, .fini = free_config);

static LcResourceSet *
make_empty_resource_set (int64_t revision)
{
  LcResourceSet *set = LB_NEW (LcResourceSet);

  set->revision = revision;
  return set;
}

/* Reports n peers i2, i3, ... as members. Peers with an index below first_dead are alive, the
 * others dead. */
static void
report_peers_as_members (int n, int first_dead)
{
  static const char *const names[] = { "i2", "i3", "i4", "i5" };
  LcConfigMember members[4];

  for (int i = 0; i < n; i++)
    members[i] = (LcConfigMember){ .name = names[i], .incarnation = "a", .alive = i < first_dead };
  lc_config_update_members (config, members, (size_t)n, now, &actions);
}

static void
receive_message_from_peer (const char *from, LcConfigMessage message)
{
  lc_config_message_received (config, from, &message, now, &actions);
}

static void
receive_status_from_peer (const char *from, int64_t revision, LbTime asked_at)
{
  receive_message_from_peer (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                                      .revision = revision,
                                                      .asked_at = asked_at,
                                                      .age = -1,
                                                      .confirmed = true });
}

static void
receive_snapshot_from_peer (const char *from, int64_t revision)
{
  LcResourceSet *set = make_empty_resource_set (revision);

  receive_message_from_peer (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_SNAPSHOT,
                                                      .revision = revision,
                                                      .body = lc_resource_set_to_json (set) });
  lc_resource_set_free (set);
}

static void
complete_store_read_with_revision (int64_t revision)
{
  bool newer = revision > lc_config_active_revision (config);

  lc_config_store_read_completed (config, revision,
                                  newer ? make_empty_resource_set (revision) : NULL, now, now,
                                  &actions);
}

static void
advance_time_and_tick_config (LbTime duration)
{
  now += duration;
  lc_config_tick (config, now, &actions);
}

static size_t
count_messages_sent_to_peer (const char *to, LcConfigMessageType type)
{
  size_t n = 0;

  LB_LIST_FOREACH (&actions, LcConfigAction, link, action)
  {
    n += action->type == LC_CONFIG_SEND && action->message.type == type
         && strcmp (action->to, to) == 0;
  }
  return n;
}

static void
make_config_ready_at_revision (int64_t revision)
{
  complete_store_read_with_revision (revision);
  now += LB_SEC;
  complete_store_read_with_revision (revision);
  cr_assert (lc_config_is_ready_for_new_work (config));
}

Test (config, pushed_change_is_applied_and_acknowledged)
{
  make_config_ready_at_revision (4);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive_message_from_peer ("i2", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE,
                                                      .revision = 5,
                                                      .body = change });

  cr_assert_eq (lc_config_active_revision (config), 5);
  cr_assert_eq (count_messages_sent_to_peer ("i2", LC_CONFIG_MESSAGE_STATUS), 1);
  json_object_put (change);
}

/* Guards against a push of revision 5 that is delayed and arrives after that of 6: calls would be
 * routed by revision 5 again after operators saw 6 active. */
Test (config, delayed_push_of_an_old_revision_is_ignored)
{
  make_config_ready_at_revision (4);
  receive_snapshot_from_peer ("i2", 6);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive_message_from_peer ("i2", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE,
                                                      .revision = 5,
                                                      .body = change });
  receive_snapshot_from_peer ("i3", 5);

  cr_assert_eq (lc_config_active_revision (config), 6);
  json_object_put (change);
}

/* A lagging replica of the store returns revision 5 as the newest one, although 6 is active. The
 * read must neither activate revision 5 nor count as a confirmation that the active revision is
 * current. */
Test (config, stale_store_read_neither_reverts_nor_confirms)
{
  report_peers_as_members (2, 2);
  make_config_ready_at_revision (6);
  for (int i = 0; i < 10; i++)
    {
      advance_time_and_tick_config (LB_SEC);
      lc_config_store_read_completed (config, 5, make_empty_resource_set (5), now, now, &actions);
    }

  cr_assert_eq (lc_config_active_revision (config), 6);
  cr_assert_not (lc_config_is_ready_for_new_work (config));
}

/* A peer's push of a configuration change is lost, so the next change can't be applied: the
 * instance fetches the whole resource set from the sender of the next change. */
Test (config, lost_push_makes_instance_fetch_the_whole_set)
{
  make_config_ready_at_revision (4);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive_message_from_peer ("i2", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE,
                                                      .revision = 6,
                                                      .body = change });
  cr_assert_eq (lc_config_active_revision (config), 4);
  cr_assert_eq (count_messages_sent_to_peer ("i2", LC_CONFIG_MESSAGE_FETCH), 1);
  receive_snapshot_from_peer ("i2", 6);

  cr_assert_eq (lc_config_active_revision (config), 6);
  json_object_put (change);
}

/* Guards against an instance that has replaced another one and routes callers by an empty or old
 * configuration while the store is unavailable. The new instance may serve only once a majority of
 * its peers has reported their revisions. */
Test (config, new_instance_without_store_waits_for_a_majority_of_peers)
{
  lc_config_store_read_failed (config, now, &actions);
  advance_time_and_tick_config (LB_SEC);
  cr_assert_not (lc_config_is_ready_for_new_work (config));
  report_peers_as_members (3, 3);
  cr_assert_eq (count_messages_sent_to_peer ("i2", LC_CONFIG_MESSAGE_QUERY), 1);
  LbTime asked_at = now;
  now += LB_MSEC;
  receive_status_from_peer ("i2", 4, asked_at);
  receive_snapshot_from_peer ("i2", 4);
  cr_assert_not (lc_config_is_ready_for_new_work (config));
  receive_status_from_peer ("i3", 5, asked_at);
  cr_assert_not (lc_config_is_ready_for_new_work (config),
                 "must not be ready before the newer revision 5 of i3 is active");
  receive_snapshot_from_peer ("i3", 5);

  cr_assert (lc_config_is_ready_for_new_work (config));
  cr_assert_eq (lc_config_active_revision (config), 5);
}

/* An instance has just replaced another one. Its first store read returns the outdated revision 4,
 * while callers already saw 5. The instance must not accept calls before its peers have reported 5
 * and it has activated 5. */
Test (config, new_instance_with_a_stale_read_waits_for_its_peers)
{
  report_peers_as_members (2, 2);
  complete_store_read_with_revision (4);
  receive_status_from_peer ("i2", 5, now);
  now += LB_SEC;
  complete_store_read_with_revision (4);
  cr_assert_not (lc_config_is_ready_for_new_work (config));
  receive_snapshot_from_peer ("i2", 5);
  complete_store_read_with_revision (5);

  cr_assert (lc_config_is_ready_for_new_work (config));
}

/* An instance is partitioned from the store and all others while a change is accepted elsewhere. It
 * must stop accepting work instead of using the old revision for as long as the partition lasts. */
Test (config, isolated_instance_stops_accepting_work)
{
  report_peers_as_members (2, 2);
  make_config_ready_at_revision (4);
  report_peers_as_members (0, 0);
  for (int i = 0; i < 18; i++)
    advance_time_and_tick_config (LB_SEC / 2);
  cr_assert_not (lc_config_is_ready_for_new_work (config));
  complete_store_read_with_revision (5);

  cr_assert (lc_config_is_ready_for_new_work (config));
}

/* The store is down for longer than max_confirmation_age, so no change can be accepted. Instances
 * that reach a majority must keep serving. */
Test (config, store_outage_does_not_stop_a_majority)
{
  report_peers_as_members (4, 4);
  make_config_ready_at_revision (4);
  for (int i = 0; i < 120; i++)
    {
      advance_time_and_tick_config (LB_SEC / 2);
      LbTime asked_at = now;
      now += LB_MSEC;
      receive_status_from_peer ("i2", 4, asked_at);
      receive_status_from_peer ("i3", 4, asked_at);
      cr_assert (lc_config_is_ready_for_new_work (config),
                 "must stay ready with a majority, but was not after %d s", i / 2);
    }
}

/* Two of five instances are partitioned from the others and the store. The membership drops the
 * other three, but the two must not count as a majority. */
Test (config, unreachable_instances_still_count_for_the_majority)
{
  report_peers_as_members (4, 4);
  make_config_ready_at_revision (4);
  report_peers_as_members (1, 1);
  for (int i = 0; i < 20; i++)
    {
      advance_time_and_tick_config (LB_SEC / 2);
      receive_status_from_peer ("i2", 4, now);
    }
  cr_assert_not (lc_config_is_ready_for_new_work (config));
  lc_config_remove_instance (config, "i4");
  lc_config_remove_instance (config, "i5");
  advance_time_and_tick_config (LB_SEC / 2);

  cr_assert (lc_config_is_ready_for_new_work (config),
             "must be ready as a majority of the three instances that remain");
}

static void
receive_query_with_announced_change (const char *from, int64_t announced_change)
{
  receive_message_from_peer (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_QUERY,
                                                      .revision = 4,
                                                      .asked_at = now,
                                                      .age = -1,
                                                      .announced_change = announced_change });
}

/* Runs for a number of seconds without the store. Peers i2 and i3 answer the queries for their
 * revision; i4 answers only if i4_answers. */
static void
run_without_store_for_seconds (int seconds, bool i4_answers)
{
  for (int i = 0; i < 2 * seconds; i++)
    {
      advance_time_and_tick_config (LB_SEC / 2);
      receive_status_from_peer ("i2", lc_config_active_revision (config), now);
      receive_status_from_peer ("i3", lc_config_active_revision (config), now);
      if (i4_answers)
        receive_status_from_peer ("i4", lc_config_active_revision (config), now);
    }
}

/* i4 announces a change and a majority answers. While i4 commits the change, a partition separates
 * i4 and the store from the other instances. These would use revision 4 for as long as the
 * partition lasts, while the operator at i4 sees 5 accepted: without the store they must stop
 * accepting work. */
Test (config, partition_during_a_commit_stops_new_work)
{
  report_peers_as_members (3, 3);
  make_config_ready_at_revision (4);
  receive_query_with_announced_change ("i4", 1);
  run_without_store_for_seconds (5, false);
  cr_assert (lc_config_is_ready_for_new_work (config));
  run_without_store_for_seconds (20, false);
  cr_assert_not (lc_config_is_ready_for_new_work (config));
  free_pending_config_actions ();
  receive_query_with_announced_change ("i2", 0);
  LcConfigAction *answer = LB_LIST_FIRST (&actions, LcConfigAction, link);
  cr_assert_not (answer->message.confirmed,
                 "STATUS must not confirm a revision while the change of i4 is in doubt");
  complete_store_read_with_revision (5);
  run_without_store_for_seconds (60, false);

  cr_assert (lc_config_is_ready_for_new_work (config),
             "must be ready, since the store read settles the outcome");
}

/* The store fails while i4 commits a change. As long as i4 answers with the old revision, no
 * instance has a newer one active, so work must continue. */
Test (config, pending_change_does_not_stop_work_while_its_announcer_answers)
{
  report_peers_as_members (3, 3);
  make_config_ready_at_revision (4);
  receive_query_with_announced_change ("i4", 1);
  run_without_store_for_seconds (60, true);

  cr_assert (lc_config_is_ready_for_new_work (config));
}

/* The store rejected the announced change of i4, and i4 reported this. New work must continue when
 * the store and i4 become unreachable later. */
Test (config, abandoned_change_does_not_stop_work)
{
  report_peers_as_members (3, 3);
  make_config_ready_at_revision (4);
  receive_query_with_announced_change ("i4", 1);
  receive_message_from_peer ("i4", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                                      .revision = 4,
                                                      .age = -1,
                                                      .confirmed = true,
                                                      .announced_change = 1 });
  run_without_store_for_seconds (60, false);

  cr_assert (lc_config_is_ready_for_new_work (config));
}

/* i4 announces a change and crashes. The outcome is settled by a newer revision, or by a store read
 * that starts when the change can no longer take effect. */
Test (config, newer_revision_or_store_read_settles_an_announced_change)
{
  report_peers_as_members (3, 3);
  make_config_ready_at_revision (4);
  receive_query_with_announced_change ("i4", 1);
  receive_snapshot_from_peer ("i2", 5);
  run_without_store_for_seconds (60, false);
  cr_assert (lc_config_is_ready_for_new_work (config),
             "must be ready: revision 5 settles the announced change");

  receive_message_from_peer ("i4", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_QUERY,
                                                      .revision = 5,
                                                      .age = -1,
                                                      .announced_change = 2 });
  now += 12 * LB_SEC;
  complete_store_read_with_revision (5);
  run_without_store_for_seconds (60, false);
  cr_assert (lc_config_is_ready_for_new_work (config),
             "must be ready: the store read settles the announced change");
}

/* While an instance is paused for a minute, a peer's answer that confirms its revision waits in its
 * socket. The age of the confirmation must be counted from the query: counted from the arrival of
 * the answer, the confirmation would look recent. */
Test (config, confirmation_age_counts_from_the_query)
{
  report_peers_as_members (1, 1);
  make_config_ready_at_revision (4);
  advance_time_and_tick_config (LB_SEC);
  LbTime asked_at = now;
  now += 60 * LB_SEC;
  receive_message_from_peer ("i2", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                                      .revision = 4,
                                                      .asked_at = asked_at,
                                                      .age = 0,
                                                      .confirmed = true });

  cr_assert_not (lc_config_is_ready_for_new_work (config));
  cr_assert_geq (lc_config_confirmation_age (config, now), 60 * LB_SEC);
}

Test (config, restarted_peer_is_not_counted_at_its_old_revision)
{
  report_peers_as_members (2, 2);
  make_config_ready_at_revision (4);
  receive_status_from_peer ("i2", 4, now);
  cr_assert_eq (lc_config_count_instances_at_revision (config, 4).active, 2);
  cr_assert_eq (lc_config_count_instances_at_revision (config, 4).known, 3);
  const LcConfigMember restarted = { .name = "i2", .incarnation = "b", .alive = true };
  lc_config_update_members (config, &restarted, 1, now, &actions);

  cr_assert_eq (lc_config_count_instances_at_revision (config, 4).active, 1);
}

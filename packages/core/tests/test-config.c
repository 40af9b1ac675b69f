#include "lb-alloc.h"
#include "lc-config.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define MAX_AGE (8 * LB_SEC)
#define START (100 * LB_SEC)

static LcConfig *config;
static LbList actions;
static LbTime now;

static void
setup (void)
{
  const LcConfigSettings settings
      = { .instance = "i1", .max_confirmation_age = MAX_AGE, .min_poll_period = LB_SEC, .seed = 7 };

  now = START;
  lb_list_init (&actions);
  config = lc_config_new (&settings, now);
}

static void
drop_actions (void)
{
  LbLink *link;

  while ((link = lb_list_pop (&actions)))
    lc_config_action_free (LB_CONTAINER (link, LcConfigAction, link));
}

static void
teardown (void)
{
  drop_actions ();
  lc_config_free (config);
}

TestSuite (config, .init = setup, .fini = teardown);

static LcResourceSet *
make_set (int64_t revision)
{
  LcResourceSet *set = LB_NEW (LcResourceSet);

  set->revision = revision;
  return set;
}

/* n peers i2, i3, ..., alive except those from index first_dead on. */
static void
update_members (int n, int first_dead)
{
  static const char *const names[] = { "i2", "i3", "i4", "i5" };
  LcConfigMember members[4];

  for (int i = 0; i < n; i++)
    members[i] = (LcConfigMember){ .name = names[i], .incarnation = "a", .alive = i < first_dead };
  lc_config_update_members (config, members, (size_t)n, now, &actions);
}

static void
receive (const char *from, LcConfigMessage message)
{
  lc_config_message_received (config, from, &message, now, &actions);
}

static void
receive_status (const char *from, int64_t revision, LbTime asked_at)
{
  receive (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                    .revision = revision,
                                    .asked_at = asked_at,
                                    .age = -1,
                                    .confirmed = true });
}

static void
receive_snapshot (const char *from, int64_t revision)
{
  LcResourceSet *set = make_set (revision);

  receive (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_SNAPSHOT,
                                    .revision = revision,
                                    .body = lc_resource_set_to_json (set) });
  lc_resource_set_free (set);
}

static void
read_store (int64_t revision)
{
  bool newer = revision > lc_config_active_revision (config);

  lc_config_store_read_completed (config, revision, newer ? make_set (revision) : NULL, now, now,
                                  &actions);
}

static void
tick_after (LbTime duration)
{
  now += duration;
  lc_config_tick (config, now, &actions);
}

static size_t
count_sent (const char *to, LcConfigMessageType type)
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
make_ready (int64_t revision)
{
  read_store (revision);
  now += LB_SEC;
  read_store (revision);
  cr_assert (lc_config_is_ready (config));
}

Test (config, pushed_change_is_applied_and_acknowledged)
{
  make_ready (4);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive ("i2",
           (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE, .revision = 5, .body = change });

  cr_assert_eq (lc_config_active_revision (config), 5);
  cr_assert_eq (count_sent ("i2", LC_CONFIG_MESSAGE_STATUS), 1);
  json_object_put (change);
}

/* The push of revision 5 is delayed and arrives after that of 6: calls would be routed by revision
 * 5 again after operators saw 6 active. */
Test (config, late_old_push_does_not_revert)
{
  make_ready (4);
  receive_snapshot ("i2", 6);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive ("i2",
           (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE, .revision = 5, .body = change });
  receive_snapshot ("i3", 5);

  cr_assert_eq (lc_config_active_revision (config), 6);
  json_object_put (change);
}

/* A lagging replica answers the read of the head row with revision 5 although 6 is active. The read
 * must neither activate 5 nor count as a confirmation. */
Test (config, stale_read_does_not_revert_and_does_not_confirm)
{
  update_members (2, 2);
  make_ready (6);
  for (int i = 0; i < 10; i++)
    {
      tick_after (LB_SEC);
      lc_config_store_read_completed (config, 5, make_set (5), now, now, &actions);
    }

  cr_assert_eq (lc_config_active_revision (config), 6);
  cr_assert_not (lc_config_is_ready (config));
}

/* A push is lost, so the next change can't be applied: the instance fetches the whole set from the
 * sender. */
Test (config, lost_push_is_recovered_by_fetching_the_set)
{
  make_ready (4);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive ("i2",
           (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE, .revision = 6, .body = change });
  cr_assert_eq (lc_config_active_revision (config), 4);
  cr_assert_eq (count_sent ("i2", LC_CONFIG_MESSAGE_FETCH), 1);
  receive_snapshot ("i2", 6);

  cr_assert_eq (lc_config_active_revision (config), 6);
  json_object_put (change);
}

/* An instance is replaced while the store is unavailable. Serving at once would route callers by an
 * empty or old configuration; it serves once a majority of its peers has reported theirs. */
Test (config, new_instance_without_store_waits_for_a_majority_of_peers)
{
  lc_config_store_read_failed (config, now, &actions);
  tick_after (LB_SEC);
  cr_assert_not (lc_config_is_ready (config));
  update_members (3, 3);
  cr_assert_eq (count_sent ("i2", LC_CONFIG_MESSAGE_QUERY), 1);
  LbTime asked_at = now;
  now += LB_MSEC;
  receive_status ("i2", 4, asked_at);
  receive_snapshot ("i2", 4);
  cr_assert_not (lc_config_is_ready (config));
  receive_status ("i3", 5, asked_at);
  cr_assert_not (lc_config_is_ready (config), "i3 reported a newer revision");
  receive_snapshot ("i3", 5);

  cr_assert (lc_config_is_ready (config));
  cr_assert_eq (lc_config_active_revision (config), 5);
}

/* The first store read of a replaced instance is stale: callers that saw revision 5 would be served
 * by 4. Its peers must report 5 before it accepts the first call. */
Test (config, new_instance_with_a_stale_read_waits_for_its_peers)
{
  update_members (2, 2);
  read_store (4);
  receive_status ("i2", 5, now);
  now += LB_SEC;
  read_store (4);
  cr_assert_not (lc_config_is_ready (config));
  receive_snapshot ("i2", 5);
  read_store (5);

  cr_assert (lc_config_is_ready (config));
}

/* An instance is partitioned from the store and all others while a change is accepted elsewhere. It
 * must stop accepting work instead of using the old revision for as long as the partition lasts. */
Test (config, isolated_instance_stops_accepting_work)
{
  update_members (2, 2);
  make_ready (4);
  update_members (0, 0);
  for (int i = 0; i < 18; i++)
    tick_after (LB_SEC / 2);
  cr_assert_not (lc_config_is_ready (config));
  read_store (5);

  cr_assert (lc_config_is_ready (config));
}

/* The store is down for longer than max_confirmation_age, so no change can be accepted. Instances
 * that reach a majority must keep serving. */
Test (config, store_outage_does_not_stop_a_majority)
{
  update_members (4, 4);
  make_ready (4);
  for (int i = 0; i < 120; i++)
    {
      tick_after (LB_SEC / 2);
      LbTime asked_at = now;
      now += LB_MSEC;
      receive_status ("i2", 4, asked_at);
      receive_status ("i3", 4, asked_at);
      cr_assert (lc_config_is_ready (config), "second %d", i / 2);
    }
}

/* Two of five instances are partitioned from the others and the store. The membership drops the
 * other three, but the two must not count as a majority. */
Test (config, unreachable_instances_still_count_for_the_majority)
{
  update_members (4, 4);
  make_ready (4);
  update_members (1, 1);
  for (int i = 0; i < 20; i++)
    {
      tick_after (LB_SEC / 2);
      receive_status ("i2", 4, now);
    }
  cr_assert_not (lc_config_is_ready (config));
  lc_config_remove_instance (config, "i4");
  lc_config_remove_instance (config, "i5");
  tick_after (LB_SEC / 2);

  cr_assert (lc_config_is_ready (config), "the platform removed two instances");
}

static void
receive_announced_change (const char *from, int64_t announced_change)
{
  receive (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_QUERY,
                                    .revision = 4,
                                    .asked_at = now,
                                    .age = -1,
                                    .announced_change = announced_change });
}

/* Runs for some seconds without the store; i2 and i3 answer, i4 only if i4_answers. */
static void
run_without_store (int seconds, bool i4_answers)
{
  for (int i = 0; i < 2 * seconds; i++)
    {
      tick_after (LB_SEC / 2);
      receive_status ("i2", lc_config_active_revision (config), now);
      receive_status ("i3", lc_config_active_revision (config), now);
      if (i4_answers)
        receive_status ("i4", lc_config_active_revision (config), now);
    }
}

/* i4 announces a change, a majority answers, and a partition separates i4 and the store from the
 * others as i4 commits it. The others would use revision 4 for as long as the partition lasts,
 * while the operator at i4 sees 5 accepted: without the store they must stop. */
Test (config, partition_during_a_commit_stops_new_work)
{
  update_members (3, 3);
  make_ready (4);
  receive_announced_change ("i4", 1);
  run_without_store (5, false);
  cr_assert (lc_config_is_ready (config));
  run_without_store (20, false);
  cr_assert_not (lc_config_is_ready (config));
  drop_actions ();
  receive_announced_change ("i2", 0);
  LcConfigAction *answer = LB_LIST_FIRST (&actions, LcConfigAction, link);
  cr_assert_not (answer->message.confirmed, "a revision in doubt must not confirm others");
  read_store (5);
  run_without_store (60, false);

  cr_assert (lc_config_is_ready (config), "the store answered, so the outcome is known");
}

/* The store fails while i4 commits. As long as i4 answers with the old revision, no instance has a
 * newer one active, and work continues. */
Test (config, pending_change_does_not_stop_work_while_its_announcer_answers)
{
  update_members (3, 3);
  make_ready (4);
  receive_announced_change ("i4", 1);
  run_without_store (60, true);

  cr_assert (lc_config_is_ready (config));
}

/* The store rejected the announced change; later the store and i4 become unreachable. */
Test (config, abandoned_change_does_not_stop_work)
{
  update_members (3, 3);
  make_ready (4);
  receive_announced_change ("i4", 1);
  receive ("i4", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                    .revision = 4,
                                    .age = -1,
                                    .confirmed = true,
                                    .announced_change = 1 });
  run_without_store (60, false);

  cr_assert (lc_config_is_ready (config));
}

/* i4 announces a change and crashes. The outcome is settled by a newer revision, or by a store read
 * from the time when the change can no longer take effect. */
Test (config, newer_revision_or_store_read_settles_an_announced_change)
{
  update_members (3, 3);
  make_ready (4);
  receive_announced_change ("i4", 1);
  receive_snapshot ("i2", 5);
  run_without_store (60, false);
  cr_assert (lc_config_is_ready (config), "settled by a newer revision");

  receive ("i4",
           (LcConfigMessage){
               .type = LC_CONFIG_MESSAGE_QUERY, .revision = 5, .age = -1, .announced_change = 2 });
  now += 12 * LB_SEC;
  read_store (5);
  run_without_store (60, false);
  cr_assert (lc_config_is_ready (config), "settled by the store");
}

/* While an instance is paused for a minute, an answer with a recent confirmation waits in its
 * socket. Counted from the arrival, an old confirmation would look recent. */
Test (config, confirmation_age_counts_from_the_query)
{
  update_members (1, 1);
  make_ready (4);
  tick_after (LB_SEC);
  LbTime asked_at = now;
  now += 60 * LB_SEC;
  receive ("i2", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                    .revision = 4,
                                    .asked_at = asked_at,
                                    .age = 0,
                                    .confirmed = true });

  cr_assert_not (lc_config_is_ready (config));
  cr_assert_geq (lc_config_confirmation_age (config, now), 60 * LB_SEC);
}

Test (config, active_count_forgets_the_revision_of_a_restarted_peer)
{
  update_members (2, 2);
  make_ready (4);
  receive_status ("i2", 4, now);
  cr_assert_eq (lc_config_count_instances_at_revision (config, 4).active, 2);
  cr_assert_eq (lc_config_count_instances_at_revision (config, 4).known, 3);
  const LcConfigMember restarted = { .name = "i2", .incarnation = "b", .alive = true };
  lc_config_update_members (config, &restarted, 1, now, &actions);

  cr_assert_eq (lc_config_count_instances_at_revision (config, 4).active, 1);
}

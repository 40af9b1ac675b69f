#include "lb-alloc.h"
#include "lc-config.h"

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <string.h>

#define BOUND (8 * LB_SEC)
#define START (100 * LB_SEC)

static LcConfig *config;
static LbList actions;
static LbTime now;

static void
setup (void)
{
  const LcConfigSettings settings
      = { .instance = "i1", .max_confirmation_age = BOUND, .min_poll_period = LB_SEC, .seed = 7 };

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

/* Members i2 .. i(n), all alive but those from first_lost on. */
static void
see_members (int n, int first_lost)
{
  static const char *const names[] = { "i2", "i3", "i4", "i5" };
  LcConfigMember members[4];

  for (int i = 0; i < n; i++)
    members[i] = (LcConfigMember){ .name = names[i], .incarnation = "a", .alive = i < first_lost };
  lc_config_update_members (config, members, (size_t)n, now, &actions);
}

static void
receive (const char *from, LcConfigMessage message)
{
  lc_config_message_received (config, from, &message, now, &actions);
}

static void
have (const char *from, int64_t revision, LbTime asked_at)
{
  receive (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                    .revision = revision,
                                    .asked_at = asked_at,
                                    .age = -1,
                                    .confirmed = true });
}

static void
give_set (const char *from, int64_t revision)
{
  LcResourceSet *set = make_set (revision);

  receive (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_SNAPSHOT,
                                    .revision = revision,
                                    .body = lc_resource_set_to_json (set) });
  lc_resource_set_free (set);
}

static void
store_says (int64_t revision)
{
  bool newer = revision > lc_config_revision (config);

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
become_ready (int64_t revision)
{
  store_says (revision);
  now += LB_SEC;
  store_says (revision);
  cr_assert (lc_config_is_ready (config));
}

Test (config, news_carry_the_change_and_are_confirmed)
{
  become_ready (4);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive ("i2",
           (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE, .revision = 5, .body = change });

  cr_assert_eq (lc_config_revision (config), 5);
  cr_assert_eq (count_sent ("i2", LC_CONFIG_MESSAGE_STATUS), 1);
  json_object_put (change);
}

/* An operator sees revision 6 in force, then calls are routed as in revision 5 again: the push of
 * 5 was late on the wire and came after that of 6. */
Test (config, late_old_push_does_not_revert)
{
  become_ready (4);
  give_set ("i2", 6);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive ("i2",
           (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE, .revision = 5, .body = change });
  give_set ("i3", 5);

  cr_assert_eq (lc_config_revision (config), 6);
  json_object_put (change);
}

/* An operator sees revision 6 in force, then 5 again after a poll: the read of the head row was
 * answered by a replica that lags. Such a read is no confirmation either. */
Test (config, stale_read_does_not_revert_and_does_not_confirm)
{
  see_members (2, 2);
  become_ready (6);
  for (int i = 0; i < 10; i++)
    {
      tick_after (LB_SEC);
      lc_config_store_read_completed (config, 5, make_set (5), now, now, &actions);
    }

  cr_assert_eq (lc_config_revision (config), 6);
  cr_assert_not (lc_config_is_ready (config));
}

/* A push is lost. The next one can't be applied to what this instance has; it asks the sender for
 * the whole set rather than guess. */
Test (config, gap_in_the_news_is_filled_by_the_whole_set)
{
  become_ready (4);
  struct json_object *change = json_tokener_parse ("{\"apply\": []}");
  receive ("i2",
           (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_CHANGE, .revision = 6, .body = change });
  cr_assert_eq (lc_config_revision (config), 4);
  cr_assert_eq (count_sent ("i2", LC_CONFIG_MESSAGE_FETCH), 1);
  give_set ("i2", 6);

  cr_assert_eq (lc_config_revision (config), 6);
  json_object_put (change);
}

/* An instance is replaced while the store is away. Callers would be routed by an empty or old
 * configuration if it served at once: it serves when most of its peers have told theirs. */
Test (config, new_instance_with_the_store_away_waits_for_a_majority_of_peers)
{
  lc_config_store_read_failed (config, now, &actions);
  tick_after (LB_SEC);
  cr_assert_not (lc_config_is_ready (config));
  see_members (3, 3);
  cr_assert_eq (count_sent ("i2", LC_CONFIG_MESSAGE_QUERY), 1);
  LbTime asked_at = now;
  now += LB_MSEC;
  have ("i2", 4, asked_at);
  give_set ("i2", 4);
  cr_assert_not (lc_config_is_ready (config));
  have ("i3", 5, asked_at);
  cr_assert_not (lc_config_is_ready (config), "i3 has a newer one");
  give_set ("i3", 5);

  cr_assert (lc_config_is_ready (config));
  cr_assert_eq (lc_config_revision (config), 5);
}

/* An instance is replaced, and its first read of the store is stale: callers that saw revision 5
 * would be served by 4. The peers name 5 before the first call is taken. */
Test (config, new_instance_with_a_stale_read_waits_for_its_peers)
{
  see_members (2, 2);
  store_says (4);
  have ("i2", 5, now);
  now += LB_SEC;
  store_says (4);
  cr_assert_not (lc_config_is_ready (config));
  give_set ("i2", 5);
  store_says (5);

  cr_assert (lc_config_is_ready (config));
}

/* An instance is cut off from the store and all others for minutes; a change is accepted
 * elsewhere. It would go on with the old one for all that time: it stops taking new work. */
Test (config, instance_that_is_cut_off_alone_stops_new_work)
{
  see_members (2, 2);
  become_ready (4);
  see_members (0, 0);
  for (int i = 0; i < 18; i++)
    tick_after (LB_SEC / 2);
  cr_assert_not (lc_config_is_ready (config));
  store_says (5);

  cr_assert (lc_config_is_ready (config));
}

/* The store is down for an hour. All instances see each other, nothing can be accepted: callers
 * must not notice. */
Test (config, long_outage_of_the_store_does_not_stop_a_majority)
{
  see_members (4, 4);
  become_ready (4);
  for (int i = 0; i < 120; i++)
    {
      tick_after (LB_SEC / 2);
      LbTime asked_at = now;
      now += LB_MSEC;
      have ("i2", 4, asked_at);
      have ("i3", 4, asked_at);
      cr_assert (lc_config_is_ready (config), "second %d", i / 2);
    }
}

/* Two of five instances are cut off with the store away. The membership forgets the other three;
 * the two must not take themselves for all there is. */
Test (config, lost_instances_still_count_for_the_majority)
{
  see_members (4, 4);
  become_ready (4);
  see_members (1, 1);
  for (int i = 0; i < 20; i++)
    {
      tick_after (LB_SEC / 2);
      have ("i2", 4, now);
    }
  cr_assert_not (lc_config_is_ready (config));
  lc_config_remove_instance (config, "i4");
  lc_config_remove_instance (config, "i5");
  tick_after (LB_SEC / 2);

  cr_assert (lc_config_is_ready (config), "the platform says that two are gone");
}

static void
announce (const char *from, int64_t intent)
{
  receive (from, (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_QUERY,
                                    .revision = 4,
                                    .asked_at = now,
                                    .age = -1,
                                    .intent = intent });
}

/* Passes seconds in which the store is away, i2 and i3 answer, and i4 only if it may. */
static void
pass_without_store (int seconds, bool i4_answers)
{
  for (int i = 0; i < 2 * seconds; i++)
    {
      tick_after (LB_SEC / 2);
      have ("i2", lc_config_revision (config), now);
      have ("i3", lc_config_revision (config), now);
      if (i4_answers)
        have ("i4", lc_config_revision (config), now);
    }
}

/* i4 announces a change, a majority answers, i4 commits it and is cut off from the others in that
 * moment, with the store. The others would go on with revision 4 for the hour of the parting while
 * the operator at i4 sees 5 accepted: without the store they must stop. */
Test (config, cut_in_the_moment_of_acceptance_leaves_a_doubt)
{
  see_members (3, 3);
  become_ready (4);
  announce ("i4", 1);
  pass_without_store (5, false);
  cr_assert (lc_config_is_ready (config));
  pass_without_store (20, false);
  cr_assert_not (lc_config_is_ready (config));
  drop_actions ();
  announce ("i2", 0);
  LcConfigAction *answer = LB_LIST_FIRST (&actions, LcConfigAction, link);
  cr_assert_not (answer->message.confirmed, "a doubtful one is no help to others");
  store_says (5);
  pass_without_store (60, false);

  cr_assert (lc_config_is_ready (config), "the outcome is known");
}

/* The store goes away while i4 commits. As long as i4 answers that it knows of nothing newer,
 * nobody has anything newer in force, and the service goes on. */
Test (config, no_doubt_while_the_announcer_answers)
{
  see_members (3, 3);
  become_ready (4);
  announce ("i4", 1);
  pass_without_store (60, true);

  cr_assert (lc_config_is_ready (config));
}

/* The announced change was refused by the store, which goes away later, and i4 with it. */
Test (config, settled_change_leaves_no_doubt)
{
  see_members (3, 3);
  become_ready (4);
  announce ("i4", 1);
  receive ("i4", (LcConfigMessage){ .type = LC_CONFIG_MESSAGE_STATUS,
                                    .revision = 4,
                                    .age = -1,
                                    .confirmed = true,
                                    .intent = 1 });
  pass_without_store (60, false);

  cr_assert (lc_config_is_ready (config));
}

/* i4 announces a change and crashes. What others learn afterwards settles it: a newer revision, or
 * the store's word from when the change can't take effect any more. */
Test (config, later_news_settle_an_announced_change)
{
  see_members (3, 3);
  become_ready (4);
  announce ("i4", 1);
  give_set ("i2", 5);
  pass_without_store (60, false);
  cr_assert (lc_config_is_ready (config), "by a newer revision");

  receive ("i4", (LcConfigMessage){
                     .type = LC_CONFIG_MESSAGE_QUERY, .revision = 5, .age = -1, .intent = 2 });
  now += 12 * LB_SEC;
  store_says (5);
  pass_without_store (60, false);
  cr_assert (lc_config_is_ready (config), "by the store");
}

/* An instance is paused for a minute; an answer with a young confirmation waits in its socket.
 * Counted from its arrival it would make an old confirmation young. */
Test (config, age_counts_from_the_question)
{
  see_members (1, 1);
  become_ready (4);
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

Test (config, watch_counts_and_a_restarted_peer_starts_from_nothing)
{
  see_members (2, 2);
  become_ready (4);
  have ("i2", 4, now);
  cr_assert_eq (lc_config_count_active (config, 4).active, 2);
  cr_assert_eq (lc_config_count_active (config, 4).known, 3);
  const LcConfigMember restarted = { .name = "i2", .incarnation = "b", .alive = true };
  lc_config_update_members (config, &restarted, 1, now, &actions);

  cr_assert_eq (lc_config_count_active (config, 4).active, 1);
}

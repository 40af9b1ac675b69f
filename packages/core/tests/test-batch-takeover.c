#include "lc-batch-takeover.h"

#include <criterion/criterion.h>

#define ROW_VERSION 50

static const LcBatchHead owned = { .owner = "a", .incarnation = "a1", .epoch = 2 };
static const LcBatchHead released = { .released_by = "a", .epoch = 2 };

static LcBatchOwnerState
get_state_if_listed (const char *incarnation, int64_t version, bool alive)
{
  const LcBatchMember member = { "a", incarnation, version, alive };

  return lc_batch_get_owner_state (&owned, ROW_VERSION, &member);
}

/* Guards against a batch that is idle for 2.5 s after a planned stop: its row names no owner, no
 * such owner is in the list of members, and so it was treated as an owner that has just started. */
Test (batch_takeover, released_batch_has_no_owner_at_once)
{
  LcBatchOwnerState state = lc_batch_get_owner_state (&released, ROW_VERSION, NULL);

  cr_assert_eq (state, LC_BATCH_OWNER_NONE);
  cr_assert (lc_batch_owner_is_missing (state, 0));
}

/* An instance that has just started may own a batch before its member row is listed. A row may also
 * name an owner that never existed; its batch must be taken over after the grace period. */
Test (batch_takeover, unlisted_owner_is_missing_only_after_the_grace_period)
{
  LcBatchOwnerState state = lc_batch_get_owner_state (&owned, ROW_VERSION, NULL);

  cr_assert_eq (state, LC_BATCH_OWNER_UNKNOWN);
  cr_assert_not (lc_batch_owner_is_missing (state, 0));
  cr_assert_not (lc_batch_owner_is_missing (state, 2499 * LB_MSEC));
  cr_assert (lc_batch_owner_is_missing (state, 2500 * LB_MSEC));
}

/* A batch must not be taken from its live owner because the list of members is outdated and still
 * shows the owner's previous incarnation. */
Test (batch_takeover, owner_is_alive_if_the_member_list_is_older_than_the_row)
{
  cr_assert_eq (get_state_if_listed ("a1", ROW_VERSION + 1, true), LC_BATCH_OWNER_ALIVE);
  cr_assert_eq (get_state_if_listed ("a0", ROW_VERSION - 1, true), LC_BATCH_OWNER_ALIVE);
  cr_assert_not (lc_batch_owner_is_missing (LC_BATCH_OWNER_ALIVE, LB_TIME_NEVER));
}

Test (batch_takeover, dead_or_restarted_owner_is_gone)
{
  cr_assert_eq (get_state_if_listed ("a1", ROW_VERSION + 1, false), LC_BATCH_OWNER_GONE);
  cr_assert_eq (get_state_if_listed ("a2", ROW_VERSION + 1, true), LC_BATCH_OWNER_GONE);
  cr_assert (lc_batch_owner_is_missing (LC_BATCH_OWNER_GONE, 0));
}

/* Other instances may see the draining state of the instance that stops later than its released
 * batch. If that instance kept its rank, it would delay the takeover by one rank. Its next
 * incarnation, whose member row is newer, may own the batch again. */
Test (batch_takeover, releasing_instance_is_recognised_until_its_member_row_is_newer)
{
  const LcBatchMember stopping = { "a", "a1", ROW_VERSION - 1, true };
  const LcBatchMember restarted = { "a", "a2", ROW_VERSION + 1, true };
  const LcBatchMember other = { "b", "b1", ROW_VERSION - 1, true };
  const LcBatchMember nameless = { "", "", ROW_VERSION - 1, true };

  cr_assert (lc_batch_was_released_by (&released, ROW_VERSION, &stopping));
  cr_assert_not (lc_batch_was_released_by (&released, ROW_VERSION, &restarted));
  cr_assert_not (lc_batch_was_released_by (&released, ROW_VERSION, &other));
  cr_assert_not (lc_batch_was_released_by (&owned, ROW_VERSION, &nameless));
}

static LbTime
get_takeover_delay (const char *self, bool is_next_owner_available, size_t rank)
{
  const LcBatchHead head = { .released_by = "a", .preferred_instance = "b", .epoch = 2 };

  return lc_batch_plan_takeover (&head, LC_BATCH_OWNER_NONE, self, is_next_owner_available, rank)
      .delay;
}

/* If all instances claimed a released batch at once, the claims of a rank order that differs from
 * instance to instance would collide, and each would cost a store write. */
Test (batch_takeover, next_owner_claims_at_once_and_others_wait_for_it)
{
  cr_assert_eq (get_takeover_delay ("b", true, 3), 0);
  cr_assert_eq (get_takeover_delay ("c", true, 0), 300 * LB_MSEC);
  cr_assert_eq (get_takeover_delay ("d", true, 1), 700 * LB_MSEC);
}

/* If the next owner died or drains too, no instance may wait for it. */
Test (batch_takeover, others_do_not_wait_for_a_next_owner_that_is_not_available)
{
  cr_assert_eq (get_takeover_delay ("c", false, 0), 0);
  cr_assert_eq (get_takeover_delay ("d", false, 2), 800 * LB_MSEC);
}

Test (batch_takeover, owner_that_died_is_replaced_by_rank)
{
  LcTakeover takeover = lc_batch_plan_takeover (&owned, LC_BATCH_OWNER_GONE, "b", true, 1);

  cr_assert_eq (takeover.delay, 400 * LB_MSEC);
  cr_assert_eq (takeover.reason, LC_TAKEOVER_OWNER_GONE);
}

Test (batch_takeover, batch_is_offered_in_its_first_epoch_and_when_released)
{
  LcBatchHead head = { .owner = "a", .preferred_instance = "b", .epoch = 1 };

  cr_assert (lc_batch_is_offered_to (&head, "b"));
  cr_assert_not (lc_batch_is_offered_to (&head, "c"));
  head.epoch = 2;
  cr_assert_not (lc_batch_is_offered_to (&head, "b"));
  head.owner[0] = '\0';
  cr_assert (lc_batch_is_offered_to (&head, "b"));
  head.ended = true;
  cr_assert_not (lc_batch_is_offered_to (&head, "b"));
}

/* The answer to a release is lost. If the row shows meanwhile that the release took effect, and
 * that the next owner claimed the batch, a second release would take the batch from its new owner.
 */
Test (batch_takeover, release_is_repeated_only_while_the_row_shows_the_old_owner)
{
  const LcBatchHead claimed = { .owner = "b", .incarnation = "b1", .epoch = 3 };
  const LcBatchHead reclaimed = { .owner = "a", .incarnation = "a1", .epoch = 3 };
  const LcBatchHead ended = { .owner = "a", .incarnation = "a1", .epoch = 2, .ended = true };

  cr_assert (lc_batch_can_repeat_release (&owned, &released));
  cr_assert_not (lc_batch_can_repeat_release (&released, &released));
  cr_assert_not (lc_batch_can_repeat_release (&claimed, &released));
  cr_assert_not (lc_batch_can_repeat_release (&reclaimed, &released));
  cr_assert_not (lc_batch_can_repeat_release (&ended, &released));
}

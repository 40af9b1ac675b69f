#include "lc-batch-takeover.h"

#include <string.h>

/* An owner that is missing from the list of members is presumed alive for this time, because the
 * owner may just have started its first batch. Its row reaches all instances within this time. */
#define UNKNOWN_OWNER_GRACE_PERIOD (2500 * LB_MSEC)
/* An instance waits this long for each instance that ranks before it, so that the instances do not
 * all write at once. */
#define TAKEOVER_DELAY_PER_RANK (400 * LB_MSEC)
/* Time for the named next owner to claim a released batch: several round trips to the store, so
 * that the other instances do not race it. */
#define NEXT_OWNER_CLAIM_TIMEOUT (300 * LB_MSEC)

/* If the owner is listed with another incarnation and its member row is newer than the batch's row,
 * the owner has restarted and lost the batch. If its member row is older, the list is outdated, and
 * the owner counts as alive. An empty owner is in no list either, but it is no unknown instance: a
 * released batch must not be idle for the grace period. */
LcBatchOwnerState
lc_batch_get_owner_state (const LcBatchHead *head, int64_t row_version, const LcBatchMember *member)
{
  if (!head->owner[0])
    return LC_BATCH_OWNER_NONE;
  if (!member)
    return LC_BATCH_OWNER_UNKNOWN;
  if (!member->alive)
    return LC_BATCH_OWNER_GONE;
  return strcmp (member->incarnation, head->incarnation) == 0 || member->version < row_version
             ? LC_BATCH_OWNER_ALIVE
             : LC_BATCH_OWNER_GONE;
}

bool
lc_batch_owner_is_missing (LcBatchOwnerState state, LbTime row_age)
{
  if (state == LC_BATCH_OWNER_UNKNOWN)
    return row_age >= UNKNOWN_OWNER_GRACE_PERIOD;
  return state != LC_BATCH_OWNER_ALIVE;
}

bool
lc_batch_was_released_by (const LcBatchHead *head, int64_t row_version, const LcBatchMember *member)
{
  return !head->owner[0] && strcmp (head->released_by, member->name) == 0
         && member->version < row_version;
}

const char *
lc_takeover_reason_name (LcTakeoverReason reason)
{
  static const char *const names[] = { [LC_TAKEOVER_OFFERED] = "offered",
                                       [LC_TAKEOVER_OFFER_EXPIRED] = "offer_expired",
                                       [LC_TAKEOVER_RELEASED] = "released",
                                       [LC_TAKEOVER_OWNER_GONE] = "owner_gone",
                                       [LC_TAKEOVER_OWNER_NOT_LISTED] = "owner_not_listed" };

  return names[reason];
}

LcTakeover
lc_batch_plan_takeover (const LcBatchHead *head,
                        LcBatchOwnerState state,
                        const char *self,
                        bool is_next_owner_available,
                        size_t rank)
{
  LcTakeover takeover
      = { .reason = LC_TAKEOVER_OWNER_GONE, .delay = (LbTime)rank * TAKEOVER_DELAY_PER_RANK };

  if (state == LC_BATCH_OWNER_UNKNOWN)
    takeover.reason = LC_TAKEOVER_OWNER_NOT_LISTED;
  if (state != LC_BATCH_OWNER_NONE)
    return takeover;
  if (lc_batch_is_offered_to (head, self))
    return (LcTakeover){ .reason = LC_TAKEOVER_OFFERED };
  takeover.reason = LC_TAKEOVER_RELEASED;
  if (is_next_owner_available)
    takeover.delay += NEXT_OWNER_CLAIM_TIMEOUT;
  return takeover;
}

bool
lc_batch_is_offered_to (const LcBatchHead *head, const char *self)
{
  return (head->epoch == 1 || !head->owner[0]) && !head->ended
         && strcmp (head->preferred_instance, self) == 0;
}

bool
lc_batch_can_repeat_release (const LcBatchHead *row, const LcBatchHead *release)
{
  return !row->ended && row->epoch == release->epoch
         && strcmp (row->owner, release->released_by) == 0;
}

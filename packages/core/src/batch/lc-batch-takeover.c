#include "lc-batch-takeover.h"

#include <string.h>

/* An owner that is missing from the list of members is presumed alive for this time, because the
 * owner may just have started its first batch. Its row reaches all instances within this time. */
#define UNKNOWN_OWNER_GRACE_PERIOD (2500 * LB_MSEC)

/* If the owner is listed with another incarnation and its member row is newer than the batch's row,
 * the owner has restarted and lost the batch. If its member row is older, the list is outdated, and
 * the owner counts as alive. An empty owner is in no list, but it is not an unknown instance: with
 * the grace period, each released batch was idle for 2.5 s. */
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

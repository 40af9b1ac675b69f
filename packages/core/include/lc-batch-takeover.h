#ifndef LC_BATCH_TAKEOVER_H
#define LC_BATCH_TAKEOVER_H

#include "lc-batch-head.h"

/* This header declares when an instance may take over a batch, judging by the batch's row and the
 * member row of the batch's owner. No I/O. */

typedef enum
{
  LC_BATCH_OWNER_UNKNOWN, /* the owner is not in the list of members */
  LC_BATCH_OWNER_ALIVE,
  LC_BATCH_OWNER_GONE, /* the owner is not alive, or has restarted since it wrote the row */
  LC_BATCH_OWNER_NONE  /* the owner has released the batch */
} LcBatchOwnerState;

/* What the list of members tells about one instance. */
typedef struct
{
  const char *name;
  const char *incarnation;
  int64_t version; /* store version of the instance's member row */
  bool alive;
} LcBatchMember;

/* member: entry of the batch's owner in the list of members; NULL if it has none. */
LcBatchOwnerState lc_batch_get_owner_state (const LcBatchHead *head,
                                            int64_t row_version,
                                            const LcBatchMember *member);

/* Whether the batch needs another owner. row_age: time since this instance first saw the row. */
bool lc_batch_owner_is_missing (LcBatchOwnerState state, LbTime row_age);

/* Whether the member released the batch when it shut down, and its member row is older than the
 * release. Such a row may not show yet that the member is draining. */
bool lc_batch_was_released_by (const LcBatchHead *head,
                               int64_t row_version,
                               const LcBatchMember *member);

typedef enum
{
  LC_TAKEOVER_OFFERED,       /* the row names this instance as the next owner */
  LC_TAKEOVER_OFFER_EXPIRED, /* the instance to which this one offered the batch did not claim it */
  LC_TAKEOVER_RELEASED,      /* the batch was released, and no next owner has claimed it */
  LC_TAKEOVER_OWNER_GONE,    /* the owner died or restarted */
  LC_TAKEOVER_OWNER_NOT_LISTED /* no instance with the owner's name is known */
} LcTakeoverReason;

const char *lc_takeover_reason_name (LcTakeoverReason reason);

typedef struct
{
  LcTakeoverReason reason;
  LbTime delay; /* from when the owner was found missing to the claim by this instance */
} LcTakeover;

/* Decides when this instance claims a batch whose owner is missing. is_next_owner_available: the
 * next owner that the row names is alive and not draining. rank: position of this instance among
 * those that may take the batch over, without the next owner. */
LcTakeover lc_batch_plan_takeover (const LcBatchHead *head,
                                   LcBatchOwnerState state,
                                   const char *self,
                                   bool is_next_owner_available,
                                   size_t rank);

/* Whether the row asks this instance to claim the batch at once: as the next owner of a released
 * batch, or as the instance to which the batch's first owner, in epoch 1, offers it. */
bool lc_batch_is_offered_to (const LcBatchHead *head, const char *self);

/* Whether a release whose outcome is unknown may be written again. row: the latest known row of the
 * batch. The row may show that the release took effect, or that another instance has claimed the
 * batch since; a second release would then take the batch from that instance. */
bool lc_batch_can_repeat_release (const LcBatchHead *row, const LcBatchHead *release);

#endif

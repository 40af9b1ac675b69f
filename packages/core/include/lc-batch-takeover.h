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

#endif

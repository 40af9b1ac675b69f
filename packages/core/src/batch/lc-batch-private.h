#ifndef LC_BATCH_PRIVATE_H
#define LC_BATCH_PRIVATE_H

#include "lc-batch-item.h"
#include "lc-straggler.h"

/* Shared by the files of LcBatch: lc-batch.c runs the items, lc-batch-write.c writes their results,
 * lc-batch-review.c moves items whose streams are slow and restarts those whose text is
 * unusable. */

/* A transaction of the store takes at most 100 entries. */
#define LC_BATCH_MAX_RESULTS_PER_WRITE 40
/* Limit for the texts of one write; a transaction of the store takes 1 MB, encoded. */
#define LC_BATCH_MAX_WRITE_BYTES (400 << 10)
/* With fewer intervals between events the measured pace of a stream is mostly noise. */
#define LC_BATCH_MIN_PACE_INTERVALS 4

struct LcBatchHistory
{
  LcLengthHistogram lengths;
  LcPace pace;
};

struct LcBatch
{
  LcBatchSpec spec;
  LcBatchSettings settings;
  LcBatchItem *items;
  LbList ready; /* LcBatchItem.ready; results to write */
  int64_t n_listed;
  size_t retained_bytes; /* of the texts of listed items that are still in memory */
  const LcBatchResult **results_in_write;
  size_t n_results_in_write; /* first entries of ready */
  bool is_writing;
  LbTime next_review_at;
  LbTime last_tick_at;
  LbTime next_checkpoint_at;
  bool is_checkpointing;
  LbTime retry_write_at; /* retry of a failed write */
  bool is_started;
  bool is_stopped;
};

/* lc-batch.c */
LcBatchAction *lc_batch_add_action (LbList *actions, LcBatchActionType type);
size_t lc_batch_find_item_index (const LcBatch *batch, const LcBatchItem *item);
/* Tokens in so many events, by the route's number of tokens per event. */
int64_t lc_batch_events_to_tokens (const LcBatch *batch, int64_t events);
/* Cancels the item's generation or scoring request, if there is one. */
void lc_batch_cancel_request (LcBatchItem *item, LbList *actions);

/* lc-batch-write.c */
/* Queues the result of a finished item for the next write. */
void lc_batch_queue_result (LcBatch *batch, LcBatchItem *item, bool completed, LbList *actions);
/* Starts a write of the queued results, unless one is in progress. */
void lc_batch_start_write (LcBatch *batch, LbList *actions);

/* lc-batch-review.c */
void lc_batch_review_items (LcBatch *batch, LbTime now, LbList *actions);
/* Called at the beginning of each tick. */
void lc_batch_detect_own_pause (LcBatch *batch, LbTime now);

#endif

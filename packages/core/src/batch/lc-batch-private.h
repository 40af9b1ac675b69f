#ifndef LC_BATCH_PRIVATE_H
#define LC_BATCH_PRIVATE_H

#include "lc-batch-item.h"
#include "lc-straggler.h"

/* Shared by the files of LcBatch: lc-batch.c runs the items, lc-batch-write.c lists their results,
 * lc-batch-review.c looks for texts that come too slowly or can't be used. */

/* The store takes at most 100 entries in a transaction. */
#define LC_BATCH_MAX_RESULTS_PER_WRITE 40
/* Of text; the store takes 1 MB, encoded. */
#define LC_BATCH_MAX_BYTES_PER_WRITE (400 << 10)
/* The pace of a stream with fewer intervals between events is mostly noise. */
#define LC_BATCH_INTERVALS_TO_LEARN 4

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
  LbList ready;
  int64_t n_listed;
  size_t listed_bytes; /* of their texts that are still held */
  const LcBatchResult **writing;
  size_t n_writing; /* first ones of ready */
  bool is_writing;
  LbTime next_review;
  LbTime last_tick;
  LbTime next_keep;
  bool is_keeping;
  LbTime write_at; /* a failed write is asked again */
  bool is_started;
  bool is_stopped;
};

/* lc-batch.c */
LcBatchAction *lc_batch_add_action (LbList *actions, LcBatchActionType type);
size_t lc_batch_index_of (const LcBatch *batch, const LcBatchItem *item);
/* Of so many events. */
int64_t lc_batch_tokens_of (const LcBatch *batch, int64_t events);
/* Cancels the item's run or its score, if there is one. */
void lc_batch_stop_request (LcBatchItem *item, LbList *actions);

/* lc-batch-write.c */
/* The item is done; its result is listed with the next write. */
void lc_batch_make_ready (LcBatch *batch, LcBatchItem *item, bool completed, LbList *actions);
/* Asks for a write of what is ready, if none is on its way. */
void lc_batch_write_ready (LcBatch *batch, LbList *actions);

/* lc-batch-review.c */
void lc_batch_review (LcBatch *batch, LbTime now, LbList *actions);
/* Called each time that the batch is looked at, before anything else. */
void lc_batch_note_own_pause (LcBatch *batch, LbTime now);

#endif

#ifndef LC_BATCH_PRIVATE_H
#define LC_BATCH_PRIVATE_H

#include "lc-batch-item.h"
#include "lc-straggler.h"

/* This header is shared by the source files of LcBatch: lc-batch.c runs the items, lc-batch-write.c
 * writes their results, lc-batch-review.c moves items whose streams are slow and restarts those
 * whose text is unusable. */

/* A store transaction takes at most 100 entries; each result needs two, a row and a condition. */
#define LC_BATCH_MAX_RESULTS_PER_WRITE 40
/* Maximum text size of one write; a store transaction takes 1 MB of encoded data. */
#define LC_BATCH_MAX_WRITE_BYTES (400 << 10)
/* Minimum number of intervals between events to measure the pace of a stream; fewer intervals give
 * mostly noise. */
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
  LbList ready_items; /* items whose results wait to be written, linked by ready_link */
  int64_t n_listed;
  size_t n_abandoned;    /* number of items that were abandoned */
  size_t retained_bytes; /* total size of the texts that stay in memory after their results were
                            stored */
  const LcBatchResult **results_in_write;
  /* number of results in results_in_write, which belong to the first items in ready_items */
  size_t n_results_in_write;
  bool is_writing;
  size_t n_groups;
  double *group_seconds;        /* expected time until each group is complete; scratch memory */
  double *sorted_group_seconds; /* the same, in ascending order */
  int64_t refused_moves[LC_N_MOVE_REASONS];
  LbTime next_review_at;
  LbTime last_tick_at;
  LbTime next_checkpoint_at;
  bool is_checkpointing;
  LbTime retry_write_at; /* time to retry a failed write; LB_TIME_NEVER: none to retry */
  bool is_started;
  bool is_stopped;
};

/* Defined in lc-batch.c. */

LcBatchAction *lc_batch_add_action (LbList *actions, LcBatchActionType type);
size_t lc_batch_find_item_index (const LcBatch *batch, const LcBatchItem *item);
/* Converts a number of events to tokens with the tokens per event of the settings. */
int64_t lc_batch_events_to_tokens (const LcBatch *batch, int64_t events);
/* Cancels the item's generation or scoring request, if there is one. */
void lc_batch_cancel_item_request (LcBatchItem *item, LbList *actions);

/* Defined in lc-batch-write.c. */

/* Queues the result of a finished item for the next write. */
void lc_batch_queue_result_for_write (LcBatch *batch,
                                      LcBatchItem *item,
                                      bool completed,
                                      LbList *actions);
/* Starts a write of the queued results, unless one is in progress. */
void lc_batch_start_result_write (LcBatch *batch, LbList *actions);

/* Defined in lc-batch-critical.c, which finds the texts that decide when the step ends. */

/* Assigns the items to groups. Call once. */
void lc_batch_number_groups (LcBatch *batch);
/* Expected number of further tokens of the item's text. */
double lc_batch_estimate_remaining_tokens (const LcBatch *batch, const LcBatchItem *item);
/* Expected time until the text of the item is complete; 0: it is. */
double lc_batch_estimate_item_seconds (const LcBatch *batch, const LcBatchItem *item, LbTime now);
/* Estimates when each group is complete if no engine is slow. Call before
 * lc_batch_does_item_decide_step. */
void lc_batch_estimate_group_ends (LcBatch *batch, LbTime now);
bool lc_batch_does_item_decide_step (const LcBatch *batch, const LcBatchItem *item, LbTime now);

/* Defined in lc-batch-review.c. */

void lc_batch_restart_or_move_items (LcBatch *batch, LbTime now, LbList *actions);
/* Records the endpoints and the reason of a move that was decided, and logs it. */
void lc_batch_record_item_move (LcBatch *batch, LcBatchItem *item, const LcMoveDecision *move);
/* Logs the number of refused moves by reason, unless none was refused. */
void lc_batch_log_refused_moves (const LcBatch *batch);
/* Postpones the next check for slow items if this instance was paused since the last tick. Call at
 * the start of each tick. */
void lc_batch_postpone_item_review_after_pause (LcBatch *batch, LbTime now);

#endif

#ifndef LC_BATCH_ITEM_H
#define LC_BATCH_ITEM_H

#include "lc-batch.h"
#include "lc-stream-pace.h"

/* This header declares the state and the text of one item of a batch. Private to LcBatch. */

typedef enum
{
  ITEM_WAITING,
  ITEM_GENERATING,
  ITEM_GENERATED, /* text is complete and waits for scoring */
  ITEM_SCORING,
  ITEM_READY, /* result waits to be written to the store */
  ITEM_LISTED /* result is in the store */
} LcBatchItemState;

typedef struct
{
  LbLink ready_link; /* entry in LcBatch.ready_items */
  LcBatchItemState state;
  LcRequestId request; /* current generation or scoring request; 0: none */
  LbTime retry_at;
  int64_t failures; /* number of generations that ended with LB_ERROR_ENDPOINT_FAILED */
  int64_t score_failures;
  int retries;      /* number of retries since the last progress; sets the retry delay */
  int64_t n_events; /* number of events in the text */
  size_t text_length;
  size_t text_capacity;
  int64_t restarts;              /* number of times that the text was discarded and restarted */
  int64_t max_restored_restarts; /* largest `restarts` of the restored checkpoint parts */
  /* the restored checkpoint parts are not contiguous, so the parts after the gap are ignored */
  bool has_gap;
  int64_t saved_events; /* number of events in the stored checkpoint */
  size_t saved_length;  /* bytes of text in the stored checkpoint */
  /* number of events that the checkpoint has once the checkpoint write in progress succeeds; 0: no
   * write is in progress */
  int64_t saving_events;
  /* bytes of text that the checkpoint has once the checkpoint write in progress succeeds */
  size_t saving_length;
  /* number of events of the item's text in an earlier batch, from the text cache; 0: not known */
  int64_t cached_events;
  bool cached_is_complete; /* an earlier batch completed the text that cached_events counts */
  LbTime started_at;       /* start time of the current request */
  LbTime first_piece_at;   /* time of the current request's first piece; 0: none yet */
  LbTime last_piece_at;    /* time of the current request's last piece */
  LbTime listed_at;
  LcStreamPace pace;         /* recent token rate of the current request's stream */
  int64_t request_events;    /* number of events that the current request has generated */
  LbName last_endpoint;      /* endpoint that sent the last piece */
  LbName avoid_endpoint;     /* endpoint that the item was last moved away from; empty: none */
  LbName preferred_endpoint; /* endpoint to which the item was last moved; empty: any */
  int n_moves;
  /* the current request is being cancelled to move the item, or its move awaits a decision */
  bool is_preempted;
  bool decides_step;   /* whether the step waited for the text when its move was proposed */
  LbTime next_move_at; /* no move is proposed before this time, because one was refused */
  size_t group;        /* index of the item's group, less than LcBatch.n_groups */
  bool is_abandoned;   /* the result is "not completed", so the group can't be complete */
  /* the text must restart: its weight versions are too many, or one is unknown or too old */
  bool is_unusable;
  LcBatchResult result;
} LcBatchItem;

void lc_batch_item_append_event (LcBatchItem *item, const char *text);
/* Sets the text of an item that has none to a text from an earlier batch. */
void lc_batch_item_set_reused_text (LcBatchItem *item,
                                    const char *text,
                                    int64_t n_events,
                                    const LcVersion *versions,
                                    size_t n_versions);
/* Adds the weight version of an event to the versions of the text. Marks the text as unusable if
 * the version is not allowed. */
void lc_batch_item_record_weight_version (LcBatchItem *item,
                                          LcVersion version,
                                          LcVersion min_version,
                                          bool single_version);
/* Appends a part of an earlier owner's checkpoint to the text; the first part of a later restart
 * replaces the text. Sets has_gap if the part does not continue the text. */
void lc_batch_item_restore_checkpointed_text (LcBatchItem *item, const LcBatchTextPart *part);
/* Call after the last lc_batch_item_restore_checkpointed_text. */
void lc_batch_item_finish_text_restore (LcBatchItem *item);
/* Discards the text, so that the next request generates the text from its first event. */
void lc_batch_item_restart_text (LcBatchItem *item);
/* Returns the events that are not in the stored checkpoint, to be written to the checkpoint. */
LcBatchTextPart lc_batch_item_begin_checkpoint (LcBatchItem *item);
void lc_batch_item_finish_checkpoint (LcBatchItem *item, bool ok);
/* Sets the item's state and schedules a retry with exponential backoff. */
void lc_batch_item_schedule_retry (LcBatchItem *item, LcBatchItemState state, LbTime now);

/* Estimated number of events still to be generated. */
int64_t lc_batch_item_estimate_remaining_events (const LcBatchItem *item,
                                                 const LcBatchItemSpec *spec,
                                                 int64_t tokens_per_event);
/* Recent seconds per token of the current stream; 0: not known yet. */
double lc_batch_item_estimate_seconds_per_token (const LcBatchItem *item, LbTime now);
bool lc_batch_item_needs_checkpoint (const LcBatchItem *item);
size_t lc_batch_item_count_unsaved_bytes (const LcBatchItem *item);

#endif

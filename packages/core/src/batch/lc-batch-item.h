#ifndef LC_BATCH_ITEM_H
#define LC_BATCH_ITEM_H

#include "lc-batch.h"
#include "lc-stream-pace.h"

/* State and text of one item of a batch. Private to LcBatch. */

typedef enum
{
  ITEM_WAITING,
  ITEM_GENERATING,
  ITEM_GENERATED, /* waits to be scored */
  ITEM_SCORING,
  ITEM_READY, /* its result waits to be written */
  ITEM_LISTED
} LcBatchItemState;

typedef struct
{
  LbLink ready; /* in LcBatch.ready */
  LcBatchItemState state;
  LcRequestId request; /* current generation or scoring; 0: none */
  LbTime retry_at;
  int64_t failures; /* generation requests that ended with LB_ERROR_ENDPOINT_FAILED */
  int64_t score_failures;
  int retries;      /* since the last progress */
  int64_t n_events; /* events of the text so far */
  size_t text_length;
  size_t text_capacity;
  int64_t restarts;        /* one more each time that the text restarts from its first event */
  int64_t newest_restarts; /* largest number of restarts among the restored parts */
  bool has_gap;            /* the restored parts are not contiguous */
  int64_t saved_events;    /* number of events that the checkpoint in the store holds */
  size_t saved_length;     /* length of their text */
  int64_t saving_events;   /* saved_events once the pending checkpoint succeeds; 0: none pending */
  size_t saving_length;
  int64_t known_events;   /* events that the text had in an earlier batch; 0: not known */
  bool known_is_complete; /* the text of the earlier batch was complete */
  LbTime started_at;      /* start of the current request */
  LbTime first_piece_at;  /* first piece of the current request; 0: none yet */
  LbTime last_piece_at;   /* last piece of the current request */
  LbTime listed_at;
  LcStreamPace pace;      /* pace of the current request's stream */
  int64_t request_events; /* events that the current request has produced */
  LbName last_endpoint;   /* sent the last piece */
  LbName avoid_endpoint;  /* the item was last moved away from it; empty: none */
  int n_moves;
  bool is_preempted; /* the current request must stop: the item moves to another endpoint */
  bool is_unusable;  /* a version is unknown or too old, or there are too many: the text restarts */
  LcBatchResult result;
} LcBatchItem;

/* commands */
void lc_batch_item_append_event (LcBatchItem *item, const char *text);
/* Gives an item that has no text yet the one that an earlier batch generated. */
void lc_batch_item_set_text (LcBatchItem *item,
                             const char *text,
                             int64_t n_events,
                             const LcVersion *versions,
                             size_t n_versions);
/* Adds the version of an event to the label; marks the text unusable if that version must not be
 * part of it. */
void lc_batch_item_record_version (LcBatchItem *item,
                                   LcVersion version,
                                   LcVersion min_version,
                                   bool single_version);
/* Appends the next part of an earlier owner's checkpoint. A part that does not continue the text
 * leaves a gap. */
void lc_batch_item_restore_part (LcBatchItem *item, const LcBatchTextPart *part);
/* Must follow the last part. */
void lc_batch_item_finish_restore (LcBatchItem *item);
/* Discards the text. */
void lc_batch_item_restart_text (LcBatchItem *item);
/* Returns the events that the checkpoint in the store lacks. */
LcBatchTextPart lc_batch_item_begin_checkpoint (LcBatchItem *item);
void lc_batch_item_finish_checkpoint (LcBatchItem *item, bool ok);
/* Waits in this state for a delay that doubles with each failure in a row. */
void lc_batch_item_schedule_retry (LcBatchItem *item, LcBatchItemState state, LbTime now);

/* queries */
/* Estimate of the events still to come. */
int64_t lc_batch_item_expect_remaining_events (const LcBatchItem *item,
                                               const LcBatchItemSpec *spec,
                                               int64_t tokens_per_event);
/* Recent pace of the stream; 0: not known yet. */
double lc_batch_item_estimate_seconds_per_token (const LcBatchItem *item, LbTime now);
bool lc_batch_item_has_enough_to_checkpoint (const LcBatchItem *item);
size_t lc_batch_item_count_unsaved_bytes (const LcBatchItem *item);

#endif

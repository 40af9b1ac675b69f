#ifndef LC_BATCH_ITEM_H
#define LC_BATCH_ITEM_H

#include "lc-batch.h"
#include "lc-stream-pace.h"

/* One item of a batch: how far it is, and its text so far. Private to LcBatch. */

typedef enum
{
  ITEM_WAITING,
  ITEM_RUNNING,
  ITEM_GENERATED, /* waits to be scored */
  ITEM_SCORING,
  ITEM_READY, /* its result waits to be written */
  ITEM_LISTED
} LcBatchItemState;

typedef struct
{
  LbLink ready; /* in LcBatch.ready */
  LcBatchItemState state;
  LcRequestId request;
  LbTime retry_at;
  int64_t failures; /* answers that said that the endpoint failed */
  int64_t score_failures;
  int retries; /* since the last progress */
  int64_t events;
  size_t length; /* of the text so far */
  size_t capacity;
  int64_t run;        /* of its texts: one more each time that it is begun anew */
  int64_t newest_run; /* among the parts that were restored */
  bool has_gap;       /* some of these do not join */
  int64_t kept;       /* events of it that the store holds */
  size_t kept_length; /* of the text up to there */
  int64_t keeping;    /* events with the KEEP on its way; 0: none */
  size_t keeping_length;
  int64_t least;      /* events that the whole text has, as an earlier batch saw; 0: not known */
  bool least_is_all;  /* it was whole then */
  LbTime started;     /* of the present run */
  LbTime first_piece; /* of the present run; 0: none yet */
  LbTime last_piece;  /* of the present run */
  LbTime listed_at;
  LcStreamPace pace;  /* of the present run */
  int64_t run_events; /* of the present run */
  LbName endpoint;    /* of the last piece */
  LbName avoid;       /* endpoint that it was moved away from */
  int moves;
  bool recalled;
  bool unusable; /* its text mixes what may not be mixed: made again from the start */
  LcBatchResult result;
} LcBatchItem;

/* commands */
/* One event of the text. */
void lc_batch_item_append (LcBatchItem *item, const char *text);
/* Begins with a text that an earlier batch made, for an item that has none. */
void lc_batch_item_begin_with (LcBatchItem *item,
                               const char *text,
                               int64_t events,
                               const LcVersion *versions,
                               size_t n_versions);
/* Notes which weights made an event; the text can't be used when they may not have. */
void lc_batch_item_note_version (LcBatchItem *item,
                                 LcVersion version,
                                 LcVersion min_version,
                                 bool single_version);
/* Takes the next part of what an earlier owner of the batch kept. */
void lc_batch_item_restore (LcBatchItem *item, const LcBatchTextPart *part);
/* There are no more parts. */
void lc_batch_item_end_restore (LcBatchItem *item);
/* The text is made again from its first event. */
void lc_batch_item_restart (LcBatchItem *item);
/* Takes what the text has more than is kept, as a part to keep. */
LcBatchTextPart lc_batch_item_keep (LcBatchItem *item);
/* How keeping it ended. */
void lc_batch_item_kept (LcBatchItem *item, bool ok);
/* After a failure: it waits in this state, longer after each one in a row. */
void lc_batch_item_try_later (LcBatchItem *item, LcBatchItemState state, LbTime now);

/* queries */
/* Events that are still to come. */
int64_t lc_batch_item_expected_events (const LcBatchItem *item,
                                       const LcBatchItemSpec *spec,
                                       int64_t per_event);
/* Of late; 0: not known yet. */
double lc_batch_item_token_seconds (const LcBatchItem *item, LbTime now);
/* Enough has come since the text was kept last. */
bool lc_batch_item_is_worth_keeping (const LcBatchItem *item);
/* Bytes that the next part to keep has. */
size_t lc_batch_item_keep_bytes (const LcBatchItem *item);

#endif

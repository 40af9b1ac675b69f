#ifndef LC_BATCH_H
#define LC_BATCH_H

#include "lc-text-cache.h"
#include "lc-dispatch.h"
#include "lc-outgoing.h"

/* State machine of a batch of samples at the instance that owns it: runs and retries the items,
 * assigns a position to each result and abandons items that fail for good. No I/O: commands append
 * actions. */

typedef struct
{
  LbName group; /* the items of a group share their prompt */
  LcOutgoingRequest request;
  int64_t prompt_tokens;
  int64_t max_tokens;
  int64_t expected_tokens; /* trainer's estimate for the whole text; 0: not known */
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  bool has_scorer;
  LcOutgoingRequest scorer;
} LcBatchItemSpec;

typedef struct
{
  LbName id;
  LbName model;
  LbName organisation; /* the batch belongs to it; empty: none */
  int64_t step;
  LcVersion min_version; /* oldest weights that may generate any part of a text */
  int64_t target_groups; /* complete groups that the trainer waits for */
  LcBatchItemSpec *items;
  size_t n_items;
} LcBatchSpec;

void lc_batch_spec_clear (LcBatchSpec *spec);

#define LC_MAX_RESULT_VERSIONS 16

/* Result of an item, which is listed at a position that never changes. Owns its texts. */
typedef struct
{
  LbName item;
  bool completed; /* false: the item was abandoned */
  char *text;
  char *score;
  LcVersion versions[LC_MAX_RESULT_VERSIONS]; /* weight versions that generated the text */
  size_t n_versions;
} LcBatchResult;

void lc_batch_result_clear (LcBatchResult *result);

/* Consecutive events of the incomplete text of an item. Does not own its texts. */
typedef struct
{
  const char *item;
  int64_t restarts;    /* number of times that the text had restarted from its first event */
  int64_t first_event; /* number of events of the text before these */
  int64_t n_events;    /* events in `text`, which are separated by line feeds */
  const char *text;
  const LcVersion *versions; /* weight versions of the text up to the end of this part */
  size_t n_versions;
} LcBatchTextPart;

typedef enum
{
  LC_BATCH_GENERATE, /* submit the item to the dispatch as `request` */
  LC_BATCH_SCORE,    /* submit the item's scorer as `request` */
  LC_BATCH_CANCEL,   /* cancel `request` */
  /* Cancel `request`; answer with lc_batch_finish_generation and LB_ERROR_CLOSED. No piece may
   * follow: the text is continued at another endpoint after exactly the pieces that were added. */
  LC_BATCH_PREEMPT,
  LC_BATCH_WRITE_RESULTS, /* write `results`; answer with lc_batch_finish_write */
  /* Save the events that are new since the last checkpoint, for the next owner; answer with
   * lc_batch_finish_checkpoint. */
  LC_BATCH_CHECKPOINT
} LcBatchActionType;

typedef struct
{
  LbLink link;
  LcBatchActionType type;
  LcRequestId request;
  size_t item_index; /* index into LcBatchSpec.items */
  /* LC_BATCH_GENERATE */
  int64_t resume_at;          /* number of events that the text already has */
  const char *avoid_endpoint; /* was too slow for the item; "": none; until the next command */
  int64_t remaining_events;   /* estimate of the events still to come */
  LbTime due_at;              /* when the trainer wants the batch */
  LbTime latest_start;        /* latest start with which the text is complete at due_at */
  /* LC_BATCH_CHECKPOINT; valid until the next command */
  LcBatchTextPart *parts;
  size_t n_parts;
  /* LC_BATCH_WRITE_RESULTS; valid until lc_batch_finish_write */
  int64_t first_position;
  const LcBatchResult *const *results;
  size_t n_results;
} LcBatchAction;

void lc_batch_action_free (LcBatchAction *action);

/* Text lengths and stream speed of earlier batches of a model; outlives the batches. */
typedef struct LcBatchHistory LcBatchHistory;

LcBatchHistory *lc_batch_history_new (void);
void lc_batch_history_free (LcBatchHistory *history);

typedef struct
{
  LcBatchHistory *history;    /* not owned */
  LcTextCache *text_cache;    /* not owned; NULL: texts of earlier batches are not reused */
  int64_t tokens_per_event;   /* 0: not known */
  int64_t max_failures;       /* failures at engines after which an item is abandoned */
  int64_t max_score_failures; /* the same for failures of the scorer */
  bool resumable;             /* another endpoint can continue a text */
  bool single_version;        /* one version must generate the whole text */
  LbTime due_at;              /* when the trainer wants the batch */
  LbTime deadline;            /* unfinished items are abandoned then; LB_TIME_NEVER: never */
  LcRequestId (*next_request_id) (void *user);
  void *user;
} LcBatchSettings;

typedef struct LcBatch LcBatch;

/* Takes ownership of the content of the spec. */
LcBatch *lc_batch_new (LcBatchSpec *spec, const LcBatchSettings *settings);
void lc_batch_free (LcBatch *batch);

/* commands */
/* Marks the item as listed by an earlier owner; before lc_batch_start. */
void lc_batch_mark_item_listed (LcBatch *batch, const char *item);
void lc_batch_start (LcBatch *batch, LbTime now, LbList *actions);
/* Restores a part from the checkpoint of an earlier owner; before lc_batch_start. The parts of an
 * item must be ordered by restarts and first_event. */
void lc_batch_restore_text_part (LcBatch *batch, const LcBatchTextPart *part);
/* Adds one event to the text that the request generates. */
void lc_batch_add_piece (LcBatch *batch,
                         LcRequestId request,
                         LcVersion version,
                         const char *endpoint,
                         const char *text,
                         LbTime now);
/* Handles the end of a generation request. */
void lc_batch_finish_generation (
    LcBatch *batch, LcRequestId request, LbErrorCode error, LbTime now, LbList *actions);
void lc_batch_finish_scoring (LcBatch *batch,
                              LcRequestId request,
                              LbErrorCode error,
                              const char *score,
                              LbTime now,
                              LbList *actions);
/* A failed write is repeated with the same results at the same positions. */
void lc_batch_finish_write (LcBatch *batch, bool ok, LbTime now, LbList *actions);
void lc_batch_tick (LcBatch *batch, LbTime now, LbList *actions);
/* Appends LC_BATCH_CHECKPOINT, unless there are only few new events. */
void lc_batch_checkpoint (LcBatch *batch, LbTime now, LbList *actions);
void lc_batch_finish_checkpoint (LcBatch *batch, bool ok);
/* Cancels all requests; nothing is written any more. Texts of incomplete groups go into the text
 * cache, for a batch that asks for them again. */
void lc_batch_stop (LcBatch *batch, LbTime now, LbList *actions);

/* queries */
const LcBatchSpec *lc_batch_get_spec (const LcBatch *batch);
int64_t lc_batch_count_listed_results (const LcBatch *batch);
bool lc_batch_is_done (const LcBatch *batch);
LbTime lc_batch_next_tick_at (const LcBatch *batch);

#endif

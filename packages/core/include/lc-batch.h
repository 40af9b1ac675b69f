#ifndef LC_BATCH_H
#define LC_BATCH_H

#include "lc-text-cache.h"
#include "lc-dispatch.h"
#include "lc-outgoing.h"

/* This header declares the state machine of a batch of samples at the instance that owns (runs) the
 * batch. LcBatch generates, scores and retries the items, assigns a position to each result and
 * abandons items that fail permanently. No I/O: commands append actions that the caller carries
 * out. */

typedef struct
{
  LbName group; /* name of the item's group; the items of a group share a prompt */
  LcOutgoingRequest request;
  int64_t prompt_tokens;
  int64_t max_tokens;
  int64_t expected_tokens; /* trainer's estimate of the text length; 0: not known */
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  bool has_scorer;
  LcOutgoingRequest scorer;
} LcBatchItemSpec;

typedef struct
{
  LbName id;
  LbName model;
  LbName organisation; /* organisation that the batch belongs to; empty: none */
  bool has_step;       /* the trainer numbers its steps; `step` is then the number, from 0 */
  int64_t step;
  LcVersion min_version; /* oldest weight version that may generate part of a text */
  int64_t target_groups; /* number of complete groups that the trainer waits for */
  LcBatchItemSpec *items;
  size_t n_items;
} LcBatchSpec;

void lc_batch_spec_clear (LcBatchSpec *spec);

#define LC_MAX_RESULT_VERSIONS 16

/* Result of an item, stored at a fixed position among the batch's results. Owns its strings. */
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

/* Consecutive events of an item's incomplete text, as a checkpoint saves them. Does not own its
 * strings. */
typedef struct
{
  const char *item;
  int64_t restarts; /* number of times that the text had been discarded and restarted */
  /* index in the whole text of the part's first event; 0: the part begins the text */
  int64_t first_event;
  int64_t n_events; /* number of events in `text`, separated by line feeds */
  const char *text;
  const LcVersion *versions; /* weight versions that generated the text up to this part's end */
  size_t n_versions;
} LcBatchTextPart;

typedef enum
{
  LC_BATCH_GENERATE, /* submit the item's generation request under the id `request` */
  LC_BATCH_SCORE,    /* submit the item's scoring request under the id `request` */
  LC_BATCH_CANCEL,   /* cancel the request with the id `request` */
  /* If needs_move_decision is set, decide first whether the text moves to another endpoint, and
   * call lc_batch_accept_move or lc_batch_refuse_move; the text of a refused move stays as it is.
   * Otherwise cancel the request with the id `request`, then call lc_batch_finish_generation with
   * LB_ERROR_CLOSED. Add no piece of the request after that call, because another endpoint
   * continues the text after the last added piece. */
  LC_BATCH_PREEMPT,
  LC_BATCH_WRITE_RESULTS, /* write `results`, then call lc_batch_finish_result_write */
  /* Save `parts`, the events added since the last checkpoint, for the next owner of the batch; then
   * call lc_batch_finish_checkpoint. */
  LC_BATCH_CHECKPOINT
} LcBatchActionType;

typedef struct
{
  LbLink link;
  LcBatchActionType type;
  LcRequestId request;
  size_t item_index; /* index into LcBatchSpec.items */
  /* Members set for LC_BATCH_GENERATE. */
  int64_t resume_at; /* number of events that the text already has; generation continues after */
  /* endpoint that was too slow for the item and should not get this request, or ""; valid until the
   * batch is next changed */
  const char *avoid_endpoint;
  /* endpoint to which the item moves, or "": any; valid until the batch is next changed */
  const char *preferred_endpoint;
  int64_t remaining_events; /* estimated number of events still to be generated */
  LbTime due_at;            /* time by which the trainer needs the whole batch */
  LbTime latest_start;      /* latest start that completes the text by due_at */
  /* an item of the same group was abandoned: the text must run after those of other groups */
  bool is_group_incomplete;
  /* Members set for LC_BATCH_PREEMPT. */
  bool needs_move_decision;
  LcMoveProposal move; /* the unit of its tokens is an event */
  /* Members set for LC_BATCH_CHECKPOINT; valid until the batch is next changed. */
  LcBatchTextPart *parts;
  size_t n_parts;
  /* Members set for LC_BATCH_WRITE_RESULTS; valid until lc_batch_finish_result_write. */
  int64_t first_position; /* position of results[0] among the batch's results */
  const LcBatchResult *const *results;
  size_t n_results;
} LcBatchAction;

void lc_batch_action_free (LcBatchAction *action);

/* Text lengths and stream speed measured in the batches of a model; must outlive the batches. */
typedef struct LcBatchHistory LcBatchHistory;

LcBatchHistory *lc_batch_history_new (void);
void lc_batch_history_free (LcBatchHistory *history);

typedef struct
{
  /* measurements from the model's batches; not owned; NULL: no history */
  LcBatchHistory *history;
  LcTextCache *text_cache;    /* not owned; NULL: texts of earlier batches are not reused */
  int64_t tokens_per_event;   /* tokens in one stream event; 0: not known, 1 is assumed */
  int64_t max_failures;       /* number of failed generations after which an item is abandoned */
  int64_t max_score_failures; /* number of failed scorings after which an item is abandoned */
  bool resumable;             /* another endpoint can continue a partial text */
  bool single_version;        /* one weight version must generate the whole text */
  LbTime due_at;              /* time by which the trainer needs the whole batch */
  /* time at which unfinished items are abandoned; LB_TIME_NEVER: never */
  LbTime deadline;
  LcRequestId (*next_request_id) (void *user);
  void *user;
} LcBatchSettings;

typedef struct LcBatch LcBatch;

/* Takes the content of *spec, which is zeroed, and copies *settings. */
LcBatch *lc_batch_new (LcBatchSpec *spec, const LcBatchSettings *settings);
void lc_batch_free (LcBatch *batch);

/* Functions that change an LcBatch. They append the actions that the caller must carry out. */

/* Marks an item whose result is already in the store, written by an earlier owner of the batch.
 * completed: false if that owner abandoned the item. Call before lc_batch_start. */
void lc_batch_mark_item_result_stored (LcBatch *batch, const char *item_id, bool completed);
void lc_batch_start (LcBatch *batch, LbTime now, LbList *actions);
/* Restores part of an item's text from the checkpoint of an earlier owner of the batch. Call before
 * lc_batch_start, with the parts of an item ordered by `restarts`, then `first_event`. */
void lc_batch_restore_checkpointed_text (LcBatch *batch, const LcBatchTextPart *part);
/* Adds one event to the text that the request generates. */
void lc_batch_add_streamed_event (LcBatch *batch,
                                  LcRequestId request,
                                  LcVersion version,
                                  const char *endpoint,
                                  const char *text,
                                  LbTime now);
/* Handles the end of a generation request; LB_OK: the text is complete. */
void lc_batch_finish_generation (
    LcBatch *batch, LcRequestId request, LbErrorCode error, LbTime now, LbList *actions);
/* Handles the decision that the text of the request moves. Call before lc_batch_finish_generation
 * with LB_ERROR_CLOSED. */
void lc_batch_accept_move (LcBatch *batch, LcRequestId request, const LcMoveDecision *move);
/* Handles the decision that the text of the request stays. Its move is proposed again after a
 * second, or sooner if the step waits for the text. */
void lc_batch_refuse_move (LcBatch *batch, LcRequestId request, LcMoveReason reason, LbTime now);
void lc_batch_finish_scoring (LcBatch *batch,
                              LcRequestId request,
                              LbErrorCode error,
                              const char *score,
                              LbTime now,
                              LbList *actions);
/* Handles the outcome of the result write in progress. A failed write is retried with the same
 * results at the same positions. */
void lc_batch_finish_result_write (LcBatch *batch, bool ok, LbTime now, LbList *actions);
void lc_batch_tick (LcBatch *batch, LbTime now, LbList *actions);
/* Appends LC_BATCH_CHECKPOINT if any text has enough new events to be worth saving. */
void lc_batch_begin_checkpoint (LcBatch *batch, LbTime now, LbList *actions);
void lc_batch_finish_checkpoint (LcBatch *batch, bool ok);
/* Cancels all requests of the batch; afterwards no results are written. Stores the texts of
 * incomplete groups in the text cache for a later batch that requests the groups again. */
void lc_batch_stop (LcBatch *batch, LbTime now, LbList *actions);

/* Functions that only read an LcBatch. */

const LcBatchSpec *lc_batch_get_spec (const LcBatch *batch);
int64_t lc_batch_count_items_with_stored_result (const LcBatch *batch);
bool lc_batch_has_stored_all_results (const LcBatch *batch);
LbTime lc_batch_next_tick_at (const LcBatch *batch);

#endif

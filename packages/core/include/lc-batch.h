#ifndef LC_BATCH_H
#define LC_BATCH_H

#include "lc-text-cache.h"
#include "lc-dispatch.h"
#include "lc-outgoing.h"

/* A batch of samples at the instance that owns it: which item runs, which result comes at which
 * position, what is tried again and what is given up. No I/O: commands append actions. */

typedef struct
{
  LbName group; /* items of one group share their prompt */
  LcOutgoing request;
  int64_t prompt_tokens;
  int64_t max_tokens;
  int64_t expected_tokens; /* of the whole text, by its trainer's estimate; 0: not known */
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  bool has_scorer;
  LcOutgoing scorer;
} LcBatchItemSpec;

typedef struct
{
  LbName id;
  LbName model;
  LbName organisation; /* that it belongs to; empty: to nobody in particular */
  int64_t step;
  LcVersion min_version; /* older weights may not make any of its text */
  int64_t target_groups; /* whole groups that the trainer waits for */
  LcBatchItemSpec *items;
  size_t n_items;
} LcBatchSpec;

void lc_batch_spec_clear (LcBatchSpec *spec);

#define LC_MAX_RESULT_VERSIONS 16

/* What is listed of an item, at a position that never changes. Owned texts. */
typedef struct
{
  LbName item;
  bool completed; /* else it was given up */
  char *text;
  char *score;
  LcVersion versions[LC_MAX_RESULT_VERSIONS];
  size_t n_versions;
} LcBatchResult;

void lc_batch_result_clear (LcBatchResult *result);

/* Some events of the text so far of an item that is not done. Not owned texts. */
typedef struct
{
  const char *item;
  int64_t restarts;    /* of the item's texts: one more each time that it was begun anew */
  int64_t first_event; /* events of the text before these */
  int64_t n_events;    /* in `text`, with a line feed between two */
  const char *text;
  const LcVersion *versions; /* of the text up to here */
  size_t n_versions;
} LcBatchTextPart;

typedef enum
{
  LC_BATCH_GENERATE, /* submit the item to the dispatch under the id `request` */
  LC_BATCH_SCORE,    /* the same for the item's scorer */
  LC_BATCH_CANCEL,   /* cancel `request` */
  /* Stop `request` and report it with lc_batch_finish_generation and LB_ERROR_CLOSED, with the text
   * of exactly the pieces that were reported: it goes on elsewhere from there. */
  LC_BATCH_PREEMPT,
  LC_BATCH_WRITE_RESULTS, /* write results from `position` on; answer with lc_batch_finish_write */
  /* Write what the texts have more than at the last KEEP, for the next owner; answer with
   * lc_batch_finish_checkpoint. */
  LC_BATCH_CHECKPOINT
} LcBatchActionType;

typedef struct
{
  LbLink link;
  LcBatchActionType type;
  LcRequestId request;
  size_t item_index; /* index into the spec's items */
  /* RUN */
  int64_t resume_at; /* events that the text so far holds */
  const char
      *avoid_endpoint;      /* endpoint that was too slow; "": none; valid until the next command */
  int64_t remaining_events; /* still to come */
  LbTime due_at;            /* by the trainer */
  LbTime latest_start;      /* so that it is whole when the trainer wants it */
  /* KEEP: valid until the next command */
  LcBatchTextPart *parts;
  size_t n_parts;
  /* WRITE: valid until lc_batch_finish_write */
  int64_t first_position;
  const LcBatchResult *const *results;
  size_t n_results;
} LcBatchAction;

void lc_batch_action_free (LcBatchAction *action);

/* What earlier batches of the same model taught of lengths and pace; outlives the batches. */
typedef struct LcBatchHistory LcBatchHistory;

LcBatchHistory *lc_batch_history_new (void);
void lc_batch_history_free (LcBatchHistory *history);

typedef struct
{
  LcBatchHistory *history;    /* not owned */
  LcTextCache *text_cache;    /* not owned; NULL: every text is made anew */
  int64_t tokens_per_event;   /* 0: not known */
  int64_t max_failures;       /* failures of an item at engines after which it is given up */
  int64_t max_score_failures; /* the same for its scorer */
  bool resumable;
  bool single_version;
  LbTime due_at;   /* when the trainer wants all of it */
  LbTime deadline; /* what is not done by then is given up; LB_TIME_NEVER: never */
  LcRequestId (*next_request_id) (void *user);
  void *user;
} LcBatchSettings;

typedef struct LcBatch LcBatch;

/* Takes over the spec's content. */
LcBatch *lc_batch_new (LcBatchSpec *spec, const LcBatchSettings *settings);
void lc_batch_free (LcBatch *batch);

/* commands */
/* An earlier owner listed the item; before lc_batch_start. */
void lc_batch_mark_listed (LcBatch *batch, const char *item);
void lc_batch_start (LcBatch *batch, LbTime now, LbList *actions);
/* An earlier owner has kept this of the item; before lc_batch_start. The parts of an item come in
 * the order of their run and first event. */
void lc_batch_restore_text_part (LcBatch *batch, const LcBatchTextPart *part);
/* One event of a running item's text. */
void lc_batch_add_piece (LcBatch *batch,
                         LcRequestId request,
                         LcVersion version,
                         const char *endpoint,
                         const char *text,
                         LbTime now);
/* The end of a run. */
void lc_batch_finish_generation (
    LcBatch *batch, LcRequestId request, LbErrorCode error, LbTime now, LbList *actions);
void lc_batch_finish_scoring (LcBatch *batch,
                              LcRequestId request,
                              LbErrorCode error,
                              const char *score,
                              LbTime now,
                              LbList *actions);
/* How the last WRITE ended; a failed one is asked again with the same results at the same
 * positions. */
void lc_batch_finish_write (LcBatch *batch, bool ok, LbTime now, LbList *actions);
void lc_batch_tick (LcBatch *batch, LbTime now, LbList *actions);
/* Appends a KEEP with what has come since the last one that was kept; none when there is little. */
void lc_batch_checkpoint (LcBatch *batch, LbTime now, LbList *actions);
/* How the last KEEP ended. */
void lc_batch_finish_checkpoint (LcBatch *batch, bool ok);
/* Ends all work; nothing is written any more. Texts of groups that are not whole are left for the
 * batch that asks for them again. */
void lc_batch_stop (LcBatch *batch, LbTime now, LbList *actions);

/* queries */
const LcBatchSpec *lc_batch_get_spec (const LcBatch *batch);
int64_t lc_batch_count_listed (const LcBatch *batch);
bool lc_batch_is_done (const LcBatch *batch);
LbTime lc_batch_next_tick_at (const LcBatch *batch);

#endif

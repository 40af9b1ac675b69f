#ifndef LN_BATCHES_PRIVATE_H
#define LN_BATCHES_PRIVATE_H

#include "ln-admission.h"

#include "lc-batch-head.h"
#include "lc-batch.h"
#include "lc-duty.h"
#include "ln-context.h"
#include "ln-dialect.h"
#include "ln-messages.h"
#include "ln-ticker.h"

#include "lp-follow.h"

#include <event2/util.h>
#include <uthash.h>

#define LN_BATCH_KEY_SIZE 160
#define LN_BATCH_ROW_BYTES ((size_t)(60 << 10)) /* the store takes 64 KiB */
/* Parts of texts in a transaction, which takes 100 entries, with the batch's row as its condition
 * and as one of its writes. */
#define LN_BATCH_MAX_PARTS 90
/* When to come back after a refusal because the store does not answer: its short outages last some
 * seconds, and a batch is worth little when it comes much later. */
#define LN_BATCH_STORE_RETRY (400 * LB_MSEC)

typedef struct LnBatches LnBatches;

typedef enum
{
  LN_HELD_NOT,     /* another instance owns it, or nobody does */
  LN_HELD_TAKING,  /* the row that makes it ours is being written */
  LN_HELD_OFFERED, /* ours, until the instance that shall run it takes it */
  LN_HELD_LOADING, /* ours; its content and what is listed are being read */
  LN_HELD_RUNNING,
  LN_HELD_RELEASING
} LnHeld;

typedef enum
{
  LN_OWNER_UNKNOWN, /* no list of instances shows it */
  LN_OWNER_ALIVE,
  LN_OWNER_GONE
} LnOwnerState;

/* What of an ended batch is removed next. */
typedef enum
{
  LN_CLEAN_RESULTS,
  LN_CLEAN_TEXTS, /* in rows of their own */
  LN_CLEAN_PARTS,
  LN_CLEAN_OBJECT
} LnCleanStep;

/* A batch as the store's row tells, and the work on it while this instance owns it. */
typedef struct
{
  LbName id; /* key */
  LnBatches *batches;
  LcBatchHead head;
  int64_t version;     /* of the row */
  LcBatchHead written; /* TAKING, RELEASING: what is being written */
  LnHeld held;
  LcBatch *run; /* RUNNING */
  LbTime first_seen;
  LnOwnerState owner_state; /* by these members and this version of the row: */
  int64_t owner_members;
  int64_t owner_version;
  LbTime version_at;   /* when this version was first seen */
  LbTime orphan_since; /* when its owner was first missed; 0: it has one */
  LbTime retry_at;     /* LOADING: after a failure */
  LbTime offered_until;
  LbTime ended_at; /* when this instance saw that it is ended; 0: it is not */
  LbTime clean_at; /* not before, after a failure */
  LnCleanStep clean_step;
  UT_hash_handle hh;
} LnBatch;

/* What earlier owners of a batch left. */
typedef struct
{
  LbName *listed; /* items, by position */
  size_t n_listed;
  LcBatchTextPart *parts;
  size_t n_parts;
} LnBatchPast;

/* A request of the dispatch on behalf of an item. */
typedef struct
{
  LcRequestId request; /* key */
  LnBatch *batch;
  bool is_score;
  UT_hash_handle hh;
} LnBatchRequest;

struct LnBatches
{
  LnTask task; /* first */
  LnContext *context;
  LnPeriodicCall tick;
  LnAdmissionState belief; /* desired state */
  LnMember *members;
  size_t n_members;
  int64_t members_change; /* counts the lists of members that came; 0: none is known */
  LnBatch *by_id;
  LnBatch *cleaned; /* whose rows are being removed; NULL: none */
  struct LnModelHistory *histories;
  LnBatchRequest *requests;
  LbList exchanges; /* LnBatchExchange that are being answered */
  LpFollow *rows;   /* of all batches */
  bool owns;        /* as the peers task was told */
  bool draining;
};

/* ln-batches.c */
/* This instance has a batch, or has none any more. */
void ln_batches_note_owned (LnBatches *batches, bool owns);
LnBatch *ln_batches_find (LnBatches *batches, const char *id);
LcBatchHistory *ln_batches_history (LnBatches *batches, const char *model);
LcTextCache *ln_batches_carried (LnBatches *batches, const char *model);
LnBatch *ln_batches_ensure (LnBatches *batches, const char *id);
void ln_batches_forget (LnBatch *batch);

/* ln-batch-heads.c: the rows of batches, whose owner is gone, and taking them over */
void ln_batch_head_key (const char *id, char *key);
void ln_batch_object_key (const char *id, char *key);
void ln_batch_result_prefix (const char *id, char *key);
void ln_batch_part_prefix (const char *id, char *key);
/* Of the pieces of all long texts, and of the one at a position. */
void ln_batch_texts_prefix (const char *id, char *key);
void ln_batch_text_prefix (const char *id, int64_t position, char *key);
/* The place of this instance among those that may do the duty for the batch; 0: the first. */
size_t ln_batch_heads_rank (const LnBatch *batch, const char *duty);
/* Writes rows under the condition that the batch's own row is as this instance knows it. */
void ln_batch_heads_transact (const LnBatch *batch,
                              const LpPut *puts,
                              size_t n_puts,
                              LpPriority priority,
                              LpTransactDone done,
                              void *user);
/* A trainer brought the batch: engines are divided, and ordered, by what is asked for. */
void ln_batch_heads_tell_demand (LnBatches *batches, const LcBatchHead *head);
/* Takes a row that was read or written; false when it can't be read. */
bool ln_batch_heads_take (LnBatches *batches, const LpRow *row);
/* Begins to run the batch if its row says that it is ours and nothing runs. */
void ln_batch_heads_review (LnBatch *batch);
void ln_batch_heads_follow (LnBatches *batches);
void ln_batch_heads_tick (LnBatches *batches, LbTime now);
void ln_batch_heads_release (LnBatch *batch);
/* Accepted here: offers it to the instance that shall run it. False: there is none but this one. */
bool ln_batch_heads_offer (LnBatch *batch, LbTime now);
/* Models whose open batches the instance runs, or shall. */
size_t ln_batches_count_models (const LnBatches *batches, const char *instance);
/* Alive instances that take new work; the caller frees. */
LcDutyCandidate *ln_batches_candidates (const LnBatches *batches, size_t *n);

/* ln-batch-rows.c: what the rows of a batch hold. Texts are the caller's to free; false: a row that
 * can't be read, whose result still has to be cleared. */
char *ln_batch_result_to_text (const LcBatchResult *result);
/* The same for a result whose text lies in n_pieces rows of its own, since one row can't hold it.
 */
char *ln_batch_result_without_text (const LcBatchResult *result, size_t n_pieces);
/* *n_pieces is 0 when the text is in this row. */
bool ln_batch_result_from_row (const LpRow *row, LcBatchResult *result, size_t *n_pieces);
char *ln_batch_part_to_text (const LcBatchTextPart *part);
bool ln_batch_part_from_row (const LpRow *row, LcBatchTextPart *part);

/* ln-batch-load.c: reads what a batch that was taken over consists of, then runs it */
void ln_batch_load (LnBatch *batch);

/* ln-batch-owner.c: running what is owned */
void ln_batch_owner_run (LnBatch *batch, LcBatchSpec *spec, const LnBatchPast *past);
/* Rows for the parts of a KEEP; returns how many. A part too long for a row is left out: the next
 * owner goes on from what stands before it. Cleared by ln_batch_owner_clear_puts. */
size_t
ln_batch_owner_puts (const LnBatch *batch, const LcBatchAction *action, LpPut *puts, size_t max);
void ln_batch_owner_clear_puts (LpPut *puts, size_t n);
void ln_batch_owner_stop (LnBatch *batch);
void ln_batch_owner_tick (LnBatch *batch, LbTime now);
void ln_batch_owner_piece (LnBatches *batches, const LnSamplePieceMessage *message);
void ln_batch_owner_done (LnBatches *batches, const LnSampleDoneMessage *message);

/* ln-batch-cleanup.c: what ended batches left in the store */
void ln_batch_cleanup_tick (LnBatches *batches, LbTime now);

/* ln-batch-calls.c: callers' requests about batches */
void ln_batch_calls_take (LnBatches *batches, LnExchange *exchange);
void ln_batch_calls_gone (LnBatches *batches, LnExchange *exchange);
void ln_batch_calls_tick (LnBatches *batches, LbTime now);
void ln_batch_calls_clear (LnBatches *batches);

#endif

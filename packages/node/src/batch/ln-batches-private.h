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
#define LN_BATCH_MAX_ROW_BYTES ((size_t)(60 << 10)) /* the store accepts rows of 64 KiB */
/* Checkpoint parts in one transaction. The store accepts 100 entries, among them the batch's row as
 * the condition and as one of the writes. */
#define LN_BATCH_MAX_CHECKPOINT_PARTS 90
/* When a caller may retry after a failure because the store is unavailable: short outages last some
 * seconds, and a batch that arrives much later is worth little. */
#define LN_BATCH_STORE_RETRY_AFTER (400 * LB_MSEC)

typedef struct LnBatches LnBatches;

typedef enum
{
  LN_BATCH_NOT_OWNED, /* owned by another instance, or by none */
  LN_BATCH_CLAIMING,  /* the row that names this instance as owner is being written */
  LN_BATCH_OFFERED,   /* owned here until the preferred instance takes it over */
  LN_BATCH_LOADING,   /* owned here; its content and saved progress are being read */
  LN_BATCH_RUNNING,
  LN_BATCH_RELEASING /* the row without an owner is being written */
} LnBatchState;

typedef enum
{
  LN_OWNER_UNKNOWN, /* not in the list of members */
  LN_OWNER_ALIVE,
  LN_OWNER_GONE
} LnOwnerState;

/* What the cleanup of an ended batch removes next, in this order; the batch's row comes last. */
typedef enum
{
  LN_CLEANUP_RESULTS,
  LN_CLEANUP_TEXT_CHUNKS, /* of texts that do not fit into the row of their result */
  LN_CLEANUP_CHECKPOINTS,
  LN_CLEANUP_CONTENT
} LnCleanupStep;

/* A batch as its row in the store describes it, and its state here while this instance owns it. */
typedef struct
{
  LbName id; /* key */
  LnBatches *batches;
  LcBatchHead head;
  int64_t version;          /* of the row; 0: the row is not known */
  LcBatchHead pending_head; /* CLAIMING, RELEASING: the row that is being written */
  LnBatchState state;
  LcBatch *run; /* RUNNING; else NULL */
  LbTime first_seen_at;
  LnOwnerState owner_state;     /* cached; valid while the next two members have not changed */
  int64_t owner_members_change; /* LnBatches.members_change_count that owner_state is based on */
  int64_t owner_row_version;    /* version of the row that owner_state is based on */
  LbTime version_seen_at;       /* when this version of the row was first seen */
  LbTime owner_gone_since;      /* since when its owner has not been alive; 0: it is alive */
  LbTime load_retry_at;         /* LOADING: when to read again after a failure */
  LbTime offer_expires_at;      /* OFFERED: when this instance claims the batch itself */
  LbTime ended_at;              /* when this instance learned of the end; 0: not ended */
  LbTime cleanup_retry_at;      /* when to continue the cleanup after a failure */
  LnCleanupStep cleanup_step;   /* what the cleanup removes next */
  UT_hash_handle hh;
} LnBatch;

/* Progress of a batch as its earlier owners stored it. */
typedef struct
{
  LbName *listed; /* names of the items that have a result, by position */
  size_t n_listed;
  LcBatchTextPart *parts; /* checkpoints of incomplete texts */
  size_t n_parts;
} LnBatchSavedProgress;

/* A request, sent to the task "calls", that generates or scores an item. */
typedef struct
{
  LcRequestId request; /* key */
  LnBatch *batch;
  bool is_score; /* scores the item; false: generates its text */
  UT_hash_handle hh;
} LnBatchRequest;

struct LnBatches
{
  LnTask task; /* must be first */
  LnContext *context;
  LnPeriodicCall tick;
  LnAdmissionState admission_state; /* routes and organisations */
  LnMember *members;
  size_t n_members;
  int64_t members_change_count; /* number of member lists received; 0: members are not known */
  LnBatch *by_id;               /* hash table */
  LnBatch *cleanup_batch;       /* ended batch whose rows are being removed; NULL: none */
  struct LnModelHistory *model_histories; /* hash table by model */
  LnBatchRequest *requests;               /* hash table of the requests in progress */
  LbList calls;                           /* LnBatchCall in progress */
  LpFollow *row_watch;                    /* follows the rows of all batches */
  bool owns_any;                          /* owns a batch, as last published to the other tasks */
  bool draining;                          /* this instance is shutting down */
};

/* ln-batches.c */
/* Notifies the other tasks when this instance gets its first batch or no longer owns any. */
void ln_batches_publish_ownership (LnBatches *batches, bool owns_any);
LnBatch *ln_batches_find (LnBatches *batches, const char *id);
LcBatchHistory *ln_batches_get_history (LnBatches *batches, const char *model);
LcTextCache *ln_batches_get_text_cache (LnBatches *batches, const char *model);
LnBatch *ln_batches_ensure (LnBatches *batches, const char *id);
void ln_batches_remove (LnBatch *batch);

/* ln-batch-heads.c: the rows of batches; takes over batches that have lost their owner */
void ln_batch_head_key (const char *id, char *key);
void ln_batch_content_key (const char *id, char *key);
void ln_batch_result_prefix (const char *id, char *key);
void ln_batch_checkpoint_prefix (const char *id, char *key);
/* Prefixes of the keys of text chunks: of all texts of the batch that do not fit into one row, and
 * of the text at one position. */
void ln_batch_all_chunks_prefix (const char *id, char *key);
void ln_batch_chunks_prefix (const char *id, int64_t position, char *key);
/* Rank of this instance among the candidates for the duty; 0 is the first. */
size_t ln_batch_heads_get_rank (const LnBatch *batch, const char *duty);
/* Writes rows on the condition that the batch's own row still has the version known here. */
void ln_batch_heads_write_if_unchanged (const LnBatch *batch,
                                        const LpPut *puts,
                                        size_t n_puts,
                                        LpPriority priority,
                                        LpTransactDone done,
                                        void *user);
/* Reports the demand of a new batch to the tasks that divide the engines among the models and scale
 * the services. */
void ln_batch_heads_publish_demand (LnBatches *batches, const LcBatchHead *head);
/* Applies a row that was read or written, unless a newer one is known; false when it cannot be
 * parsed. */
bool ln_batch_heads_apply_row (LnBatches *batches, const LpRow *row);
/* Loads and then runs the batch if its row names this process as owner and it does not run yet. */
void ln_batch_heads_start_if_owned (LnBatch *batch);
void ln_batch_heads_start_watch (LnBatches *batches);
void ln_batch_heads_tick (LnBatches *batches, LbTime now);
void ln_batch_heads_release (LnBatch *batch);
/* Offers a batch that was accepted here to its preferred instance. False: this instance runs it. */
bool ln_batch_heads_offer (LnBatch *batch, LbTime now);
/* Number of models with open batches that are assigned to the instance. */
size_t ln_batches_count_assigned_models (const LnBatches *batches, const char *instance);
/* Live instances that accept new batches; the caller frees. */
LcDutyCandidate *ln_batches_list_candidates (const LnBatches *batches, size_t *n);

/* ln-batch-rows.c: encoding of the rows of a batch. The caller frees the texts; false: the row
 * cannot be parsed, and the result still has to be cleared. */
char *ln_batch_result_to_json (const LcBatchResult *result);
/* The same for a result whose text is too long for one row and is stored in n_chunks other rows. */
char *ln_batch_result_to_json_without_text (const LcBatchResult *result, size_t n_chunks);
/* *n_chunks is 0 when the text is in this row. */
bool ln_batch_result_from_row (const LpRow *row, LcBatchResult *result, size_t *n_chunks);
char *ln_batch_part_to_json (const LcBatchTextPart *part);
bool ln_batch_part_from_row (const LpRow *row, LcBatchTextPart *part);

/* ln-batch-load.c: reads the content and the saved progress of a batch, then runs it */
void ln_batch_load (LnBatch *batch);

/* ln-batch-owner.c: runs the batches that this instance owns */
void ln_batch_owner_start (LnBatch *batch, LcBatchSpec *spec, const LnBatchSavedProgress *saved);
/* Builds the rows of an LC_BATCH_CHECKPOINT and returns their number; they are freed by
 * ln_batch_owner_clear_puts. A part that is too long for a row is left out: the next owner
 * continues the text after the parts before it. */
size_t ln_batch_owner_build_checkpoint_puts (const LnBatch *batch,
                                             const LcBatchAction *action,
                                             LpPut *puts,
                                             size_t max);
void ln_batch_owner_clear_puts (LpPut *puts, size_t n);
void ln_batch_owner_stop (LnBatch *batch);
void ln_batch_owner_tick (LnBatch *batch, LbTime now);
void ln_batch_owner_receive_piece (LnBatches *batches, const LnSamplePieceMessage *message);
void ln_batch_owner_finish_request (LnBatches *batches, const LnSampleDoneMessage *message);

/* ln-batch-cleanup.c: removes ended batches from the store */
void ln_batch_cleanup_tick (LnBatches *batches, LbTime now);

/* ln-batch-calls.c: callers' requests about batches */
void ln_batch_calls_receive (LnBatches *batches, LnExchange *exchange);
void ln_batch_calls_caller_disconnected (LnBatches *batches, LnExchange *exchange);
void ln_batch_calls_tick (LnBatches *batches, LbTime now);
void ln_batch_calls_free_all (LnBatches *batches);

#endif

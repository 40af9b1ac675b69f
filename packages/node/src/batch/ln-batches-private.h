#ifndef LN_BATCHES_PRIVATE_H
#define LN_BATCHES_PRIVATE_H

#include "ln-admission.h"

#include "lc-batch-head.h"
#include "lc-batch-takeover.h"
#include "lc-batch.h"
#include "lc-duty.h"
#include "lc-succession.h"
#include "ln-context.h"
#include "ln-dialect.h"
#include "ln-messages.h"
#include "ln-ticker.h"

#include "lp-follow.h"

#include <event2/util.h>
#include <uthash.h>

#define LN_BATCH_KEY_SIZE 160 /* buffer size in bytes for a key of a row or an object */
#define LN_BATCH_MAX_ROW_BYTES ((size_t)(60 << 10)) /* the store's limit is 64 KiB per row */
/* Maximum number of checkpoint parts in one transaction. The store accepts 100 entries, two of
 * which are the batch's row: once as the condition, once as a write. */
#define LN_BATCH_MAX_CHECKPOINT_PARTS 90
/* Delay that a caller is told to wait before it retries while the store is unavailable. Short
 * outages last a few seconds, and a batch that arrives much later is of little use to its trainer.
 */
#define LN_BATCH_STORE_RETRY_AFTER (400 * LB_MSEC)

typedef struct LnBatches LnBatches;

typedef enum
{
  LN_BATCH_NOT_OWNED, /* another instance or no instance owns the batch */
  LN_BATCH_CLAIMING,  /* this instance is writing the row with itself as the owner */
  LN_BATCH_OFFERED,   /* this instance owns the batch until the preferred instance claims it */
  LN_BATCH_LOADING,   /* this instance owns the batch and reads its content and saved progress */
  LN_BATCH_RUNNING,   /* this instance owns the batch and generates its texts */
  LN_BATCH_RELEASING  /* this instance is writing the row without an owner */
} LnBatchState;

/* Steps of the cleanup of an ended batch, in order. Each enum value names the rows or the object
 * that the step removes. The batch's own row is removed after the last step. */
typedef enum
{
  LN_CLEANUP_RESULTS,
  LN_CLEANUP_TEXT_CHUNKS, /* chunks of texts that do not fit into the row of their result */
  LN_CLEANUP_CHECKPOINTS,
  LN_CLEANUP_CONTENT
} LnCleanupStep;

/* The content and the saved progress of a batch that this instance reads from the store. */
typedef struct LnBatchLoad LnBatchLoad;

/* A batch: its row in the store, and its state on this instance. */
typedef struct
{
  LbName id; /* key of LnBatches.by_id */
  LnBatches *batches;
  LcBatchHead head;
  int64_t version;          /* version of the row; 0 if the row is not known */
  LcBatchHead pending_head; /* the row that is being written while CLAIMING or RELEASING */
  bool is_offer_new; /* the row offers the batch to this instance, which has not claimed it yet */
  LcTakeoverReason claim_reason; /* reason of the claim, for the log; used while CLAIMING */
  LnBatchState state;
  LcBatch *run;   /* state machine of the batch while RUNNING; else NULL */
  LbName service; /* service that was last chosen for a text of the batch; "": none yet */
  LbTime first_seen_at;
  /* Cached state of the batch's owner. It is valid for the member list and the row version that the
   * next two members identify. */
  LcBatchOwnerState owner_state;
  int64_t owner_members_change; /* members_change_count when owner_state was computed */
  int64_t owner_row_version;    /* version of the batch's row when owner_state was computed */
  LbTime version_seen_at;       /* when this instance first saw the current version of the row */
  LbTime owner_gone_since;      /* when the owner was first found not alive; 0 if it is alive */
  LbTime load_retry_at;         /* when to retry a failed load; used while LOADING */
  LnBatchLoad *finished_load;   /* waits for batches that are due earlier; NULL: none */
  LbTime start_at;              /* when finished_load stops waiting */
  LbTime offer_expires_at;      /* when this instance claims the batch itself; used while OFFERED */
  LbTime ended_at;              /* when this instance learned that the batch ended; 0: not ended */
  LbTime cleanup_retry_at;      /* when to retry a failed cleanup */
  LnCleanupStep cleanup_step;   /* current step of the cleanup */
  /* Members used while RELEASING. */
  LpPut *release_puts; /* checkpoints that the release writes; owned */
  size_t n_release_puts;
  LcSuccessionReason release_reason; /* rule that selected the next owner */
  LbTime release_started_at;
  LbTime release_retry_at;
  bool is_release_in_progress; /* the store has not answered the release yet */
  /* store's clock at the release of the batch that this instance took over, until it runs; 0: not
   * taken over from an instance that released it */
  int64_t taken_over_release_ms;
  UT_hash_handle hh;
} LnBatch;

/* An item whose result is in the store. */
typedef struct
{
  LbName id;
  bool completed; /* false: the item was abandoned */
} LnFinishedItem;

/* Progress of a batch that its earlier owners saved in the store. */
typedef struct
{
  LnFinishedItem *finished_items; /* items that have a result, ordered by result position */
  size_t n_finished_items;
  LcBatchTextPart *parts; /* checkpointed parts of incomplete texts */
  size_t n_parts;
} LnBatchSavedProgress;

/* A request in flight that generates or scores an item of a batch. The task "calls" runs it. */
typedef struct
{
  LcRequestId request; /* key of LnBatches.requests */
  LnBatch *batch;
  bool is_score;  /* true if the request scores the item, false if it generates the item's text */
  LbName service; /* service whose engines generate the text; not used if is_score is set */
  UT_hash_handle hh;
} LnBatchRequest;

struct LnBatches
{
  LnTask task; /* must be the first member */
  LnContext *context;
  LnPeriodicCall tick;
  LnAdmissionState admission_state; /* routes and organisations for the admission of callers */
  LcEnginePaces engine_paces;       /* lasting paces of engines, from the task "calls" */
  LnMember *members;
  size_t n_members;
  int64_t members_change_count; /* number of instance lists received; 0: no instances known */
  LnBatch *by_id;               /* hash table of all known batches */
  LnBatch *cleanup_batch; /* ended batch whose rows are being removed; NULL if there is none */
  struct LnModelHistory *model_histories; /* hash table with the model as key */
  LnBatchRequest *requests;               /* hash table of the requests in flight */
  LbList calls;                           /* list of the LnBatchCall in progress */
  LpFollow *row_watch;                    /* watch of the rows of all batches */
  bool owns_any;            /* last posted LN_DUTY_BATCHES: this instance owns a batch */
  bool has_new_offer;       /* a batch has is_offer_new set; claim it without waiting for a tick */
  bool draining;            /* set while this instance shuts down */
  LcRollingRestart restart; /* when instances were seen draining */
};

/* Defined in ln-batches.c, which holds the batches that this instance knows. */
/* Tells the other tasks whether this instance owns any batch, if the value has changed. */
void ln_batches_publish_ownership (LnBatches *batches, bool owns_any);
LnBatch *ln_batches_find (LnBatches *batches, const char *id);
LcBatchHistory *ln_batches_get_model_history (LnBatches *batches, const char *model);
LcTextCache *ln_batches_get_model_text_cache (LnBatches *batches, const char *model);
LnBatch *ln_batches_find_or_create (LnBatches *batches, const char *id);
void ln_batches_remove (LnBatch *batch);

/* Defined in ln-batch-heads.c, which reads and writes the rows of batches and takes over batches
 * whose owner is gone. */
/* The ln_batch_format_* functions write a key, or a prefix of keys, to a buffer of
 * LN_BATCH_KEY_SIZE bytes. */
void ln_batch_format_row_key (const char *id, char *key);
void ln_batch_format_content_key (const char *id, char *key);
void ln_batch_format_result_prefix (const char *id, char *key);
void ln_batch_format_checkpoint_prefix (const char *id, char *key);
/* Prefix of the keys of all text chunks of a batch; a chunk is a part of a text that does not fit
 * into one row. */
void ln_batch_format_all_text_chunks_prefix (const char *id, char *key);
/* Prefix of the keys of the chunks of the text at one result position. */
void ln_batch_format_text_chunks_prefix (const char *id, int64_t position, char *key);
/* Returns the rank of this instance among the live instances that may do the work `duty` for the
 * batch. The instance of rank 0 does the work first. */
size_t ln_batch_get_rank_of_this_instance (const LnBatch *batch, const char *duty);
/* Writes rows on the condition that the batch's row still has the version batch->version. */
void ln_batch_write_rows_if_batch_row_unchanged (const LnBatch *batch,
                                                 const LpPut *puts,
                                                 size_t n_puts,
                                                 LpPriority priority,
                                                 LpTransactDone done,
                                                 void *user);
/* Posts the expected tokens of a new batch to the task "config", which assigns engines to models,
 * and to the task "duties", which scales services. */
void ln_batches_publish_token_demand (LnBatches *batches, const LcBatchHead *head);
/* Posts to the task "config" that a trainer submitted the batch or that the batch ended, and the
 * paces in the batch's row. */
void ln_batches_publish_trainer_step (LnBatches *batches, const LnBatch *batch);
/* Updates a batch from its row in the store, unless a newer version of the row is known. Returns
 * false if the row cannot be parsed. */
bool ln_batches_update_batch_from_row (LnBatches *batches, const LpRow *row);
/* Loads and then runs the batch if its row names this process as the owner and the batch does not
 * run yet. */
void ln_batch_load_and_run_if_owned (LnBatch *batch);
void ln_batches_start_row_watch (LnBatches *batches);
void ln_batches_claim_unowned_and_tick_watch (LnBatches *batches, LbTime now);
/* Returns the batch's row, or the row that this instance is about to write instead. */
const LcBatchHead *ln_batch_get_latest_head (const LnBatch *batch);
/* Writes head as the batch's row, and more_puts, on the condition that the batch's row is
 * unchanged. */
void ln_batch_write_row (LnBatch *batch,
                         const LcBatchHead *head,
                         const LpPut *more_puts,
                         size_t n_more_puts,
                         LpTransactDone done);
/* Applies the batch's row that was written, unless the watch has already shown that version of the
 * row or a newer one. */
void ln_batch_apply_written_row (LnBatch *batch, int64_t version);
/* Offers a batch that this instance accepted to the preferred instance. Returns false if offers
 * are disabled or no other instance is preferred; this instance then runs the batch. */
bool ln_batch_offer_to_preferred_instance (LnBatch *batch, LbTime now);
/* Returns the number of models that have an open batch assigned to the instance. */
size_t ln_batches_count_assigned_models (const LnBatches *batches, const char *instance);
/* Returns the live instances that may own batches, and their number in *n. The caller frees the
 * array. */
LcDutyCandidate *ln_batches_list_duty_candidates (const LnBatches *batches, size_t *n);

/* Defined in ln-batch-handover.c, which chooses owners and hands batches over on shutdown. */
/* Saves the incomplete texts of a batch that this instance owns, and names the next owner in its
 * row. */
void ln_batch_release_ownership (LnBatch *batch);
void ln_batch_retry_release_if_due (LnBatch *batch, LbTime now);
/* Records whether an instance is draining, which shows that a rolling restart is in progress. */
void ln_batches_observe_rolling_restart (LnBatches *batches, LbTime now);
/* Copies the name of the instance that should own the model's next batch to next_owner, a buffer of
 * LB_NAME_MAX bytes; "": there is none. */
LcSuccessionReason
ln_batches_choose_next_owner (LnBatches *batches, const char *model, char *next_owner);
/* Returns the time since the release. released_ms: store's clock at the release. Returns 0 if one
 * of the times is unknown. */
LbTime ln_batch_get_time_since_release (const LnBatch *batch, int64_t released_ms, LbTime now);
/* Adds the time since the release to the metric of hand-overs. Called when the batch runs again;
 * does nothing if the batch was not released. */
void ln_batch_record_handover_duration (LnBatch *batch, LbTime now);

/* Defined in ln-batch-rows.c, which encodes the rows of a batch as JSON. The caller frees a
 * returned text. The *_from_row functions return false if the row cannot be parsed; the caller must
 * clear the output in either case. */
char *ln_batch_result_to_json (const LcBatchResult *result);
/* Encodes a result whose text is too long for one row and is stored in n_chunks separate rows. */
char *ln_batch_result_to_json_without_text (const LcBatchResult *result, size_t n_chunks);
/* Sets *n_chunks to the number of rows that hold the text, or to 0 if the text is in this row. */
bool ln_batch_result_from_row (const LpRow *row, LcBatchResult *result, size_t *n_chunks);
char *ln_batch_text_part_to_json (const LcBatchTextPart *part);
bool ln_batch_text_part_from_row (const LpRow *row, LcBatchTextPart *part);

/* Defined in ln-batch-load.c: reads the content and the saved progress of a batch, then runs it. */
void ln_batch_load_and_run (LnBatch *batch);
/* Runs the loaded batches that wait for no other batch, in the order of their due times. */
void ln_batches_start_loaded (LnBatches *batches, LbTime now);
void ln_batch_discard_load (LnBatch *batch);

/* Defined in ln-batch-owner.c, which runs the batches that this instance owns. */
void
ln_batch_owner_start_run (LnBatch *batch, LcBatchSpec *spec, const LnBatchSavedProgress *saved);
/* Builds at most max rows from the parts of an LC_BATCH_CHECKPOINT action and returns their number.
 * ln_batch_owner_free_put_strings frees the rows. A part that is too long for a row is left out;
 * the next owner then resumes the text after the preceding part. */
size_t ln_batch_owner_build_checkpoint_puts (const LnBatch *batch,
                                             const LcBatchAction *action,
                                             LpPut *puts,
                                             size_t max);
/* Frees the keys and values of n puts, but not the array. */
void ln_batch_owner_free_put_strings (LpPut *puts, size_t n);
void ln_batch_owner_stop_run (LnBatch *batch);
/* Returns the route of the batch's host and path; NULL if there is none. */
const LcRoute *ln_batches_find_route (const LnBatches *batches, const LcBatchHead *head);
void ln_batch_owner_run_due_actions (LnBatch *batch, LbTime now);
void ln_batch_owner_reroute_waiting_texts (LnBatches *batches);
void ln_batch_owner_receive_text_piece (LnBatches *batches, const LnSamplePieceMessage *message);
void ln_batch_owner_refuse_move (LnBatches *batches, const LnSampleMoveRefusedMessage *message);
void ln_batch_owner_finish_request (LnBatches *batches, const LnSampleDoneMessage *message);

/* Defined in ln-batch-cleanup.c: removes ended batches from the store. */
void ln_batch_cleanup_start_if_due (LnBatches *batches, LbTime now);

/* Defined in ln-batch-calls.c, which serves callers' HTTP requests about batches. */
void ln_batch_calls_receive_request (LnBatches *batches, LnExchange *exchange);
void ln_batch_calls_on_caller_disconnected (LnBatches *batches, LnExchange *exchange);
void ln_batch_calls_retry_due_calls (LnBatches *batches, LbTime now);
void ln_batch_calls_free_all (LnBatches *batches);

#endif

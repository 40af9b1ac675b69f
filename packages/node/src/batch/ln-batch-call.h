#ifndef LN_BATCH_CALL_H
#define LN_BATCH_CALL_H

#include "ln-batches-private.h"

#include "ln-exchange-private.h"

typedef enum
{
  LN_BATCH_CALL_SUBMIT,
  LN_BATCH_CALL_RESULTS,
  LN_BATCH_CALL_ITEM,
  LN_BATCH_CALL_END
} LnBatchCallKind;

/* A caller's HTTP request about a batch. Its reply depends only on the store, so any instance can
 * serve the request. */
typedef struct
{
  LbLink link; /* entry in LnBatches.calls */
  LnBatches *batches;
  LnExchange *exchange; /* NULL if the caller has disconnected */
  LnBatchCallKind kind;
  bool waits_for_store; /* an operation of the store is in progress */
  LbName id;            /* name under which the batch is stored, see ln-batch-name.h */
  /* Name that the batch has if it belongs to no organisation, tried if no batch is stored as `id`;
   * "" if there is no second name to try. */
  LbName public_id;
  /* Outcome of the admission check. If it is an error, the caller may access only batches without
   * an organisation. */
  LcAdmission admission;
  LbName item;       /* set for ITEM calls: id of the item to return */
  int64_t position;  /* set for RESULTS calls: index of the first result to return */
  LbTime wait_until; /* set for RESULTS calls: time to reply even if no result is available */
  LbTime retry_at;   /* time of the next attempt; LB_TIME_NEVER if no attempt is scheduled */
  int failed_attempts;
  /* Set for RESULTS calls: a result whose text is being read from n_chunks rows. */
  LcBatchResult split_result;
  size_t n_chunks;
  /* Set for SUBMIT calls: the body of the request, the batch parsed from the body, and the row to
   * write for the batch. */
  char *body;
  size_t body_length;
  LcBatchSpec spec;
  LcBatchHead head;
  bool is_content_stored; /* the body is in the object store; the batch's row is written next */
  /* The store did not confirm a write of the batch's row, so the batch may have been accepted.
   * Stays true when a later attempt fails. */
  bool may_be_accepted;
} LnBatchCall;

void ln_batch_call_free (LnBatchCall *call);
LpPlatform *ln_batch_call_get_platform (const LnBatchCall *call);
const LnDialect *ln_batch_call_get_dialect (const LnBatchCall *call);

/* The functions ln_batch_call_reply and ln_batch_call_fail* reply to the caller and free the call.
 */
void ln_batch_call_reply (
    LnBatchCall *call, int status, const char *text, size_t length, const char *type);
void
ln_batch_call_fail (LnBatchCall *call, LbErrorCode code, const char *detail, LbTime retry_after);
void ln_batch_call_fail_store_unavailable (LnBatchCall *call);
/* Replies "not found" if the caller was admitted, else the error of its admission check. */
void ln_batch_call_fail_not_found (LnBatchCall *call, const char *detail);

/* Schedules another attempt. Returns false if no attempt is left or the caller has disconnected. */
bool ln_batch_call_schedule_retry (LnBatchCall *call);
/* Schedules another attempt; if that is not possible, fails and frees the call. */
void ln_batch_call_retry_or_fail (LnBatchCall *call);

/* Defined in ln-batch-submit.c, which accepts new batches. */
void ln_batch_submit_new_batch (LnBatchCall *call, const LnInbound *in);
void ln_batch_submit_retry_store_writes (LnBatchCall *call);

#endif

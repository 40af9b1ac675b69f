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

/* A caller's request about a batch. The reply depends on the store alone, so any instance can give
 * it. */
typedef struct
{
  LbLink link; /* in LnBatches.calls */
  LnBatches *batches;
  LnExchange *exchange; /* NULL: the caller has disconnected */
  LnBatchCallKind kind;
  bool waits_for_store; /* a call of the store is in progress */
  LbName id;            /* the batch's name, see ln-batch-name.h */
  /* Name of the batch without an organisation, tried when none has the name `id`; "": not tried. */
  LbName public_id;
  /* With an error: the caller may access only batches without an organisation. */
  LcAdmission admission;
  LbName item;       /* ITEM: id of the item */
  int64_t position;  /* RESULTS: index of the first result to return */
  LbTime wait_until; /* RESULTS: when to reply even without a result */
  LbTime retry_at;   /* time of the next attempt; LB_TIME_NEVER: none is scheduled */
  int failed_attempts;
  LcBatchResult split_result; /* RESULTS: a result whose text is being read from n_chunks rows */
  size_t n_chunks;
  /* SUBMIT: the request's body, and the batch and the row made from it */
  char *body;
  size_t body_length;
  LcBatchSpec spec;
  LcBatchHead head;
  bool is_content_stored; /* the content is stored; the batch's row is written next */
  /* The outcome of a write of the row is unknown; no later failed attempt changes that. */
  bool may_be_accepted;
} LnBatchCall;

void ln_batch_call_free (LnBatchCall *call);
LpPlatform *ln_batch_call_platform (const LnBatchCall *call);
const LnDialect *ln_batch_call_dialect (const LnBatchCall *call);

/* Each of these replies to the caller and frees the call. */
void ln_batch_call_reply (
    LnBatchCall *call, int status, const char *text, size_t length, const char *type);
void
ln_batch_call_fail (LnBatchCall *call, LbErrorCode code, const char *detail, LbTime retry_after);
void ln_batch_call_fail_store_unavailable (LnBatchCall *call);
/* Replies "not found" to an admitted caller, and the admission error to any other. */
void ln_batch_call_fail_not_found (LnBatchCall *call, const char *what);

/* Schedules another attempt; false after the last attempt, or when the caller has disconnected. */
bool ln_batch_call_schedule_retry (LnBatchCall *call);
/* Fails the call, which frees it, when there is no other attempt. */
void ln_batch_call_retry_or_fail (LnBatchCall *call);

/* ln-batch-submit.c: accepts batches */
void ln_batch_submit (LnBatchCall *call, const LnInbound *in);
void ln_batch_submit_retry (LnBatchCall *call);

#endif

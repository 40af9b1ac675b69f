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

/* A caller's request about a batch, answered from the store alone: any instance can answer, and
 * none can say what is not kept. */
typedef struct
{
  LbLink link; /* in LnBatches.exchanges */
  LnBatches *batches;
  LnExchange *exchange; /* NULL: the caller is gone */
  LnBatchCallKind kind;
  bool waits_for_store;
  LbName id; /* name of the batch, see ln-batch-name.h */
  /* Its name if it belongs to nobody in particular, where that is looked for as well; "": no more.
   */
  LbName open_id;
  LcAdmission
      admission; /* of the caller; without an error unless it may find an open batch alone */
  LbName item;
  int64_t position;
  LbTime give_up_at; /* RESULTS: when to answer although there is none */
  LbTime retry_at;   /* LB_TIME_NEVER: not waiting */
  int tries;
  LcBatchResult long_result; /* RESULTS: whose text is being read, from so many rows */
  size_t n_pieces;
  /* SUBMIT */
  char *body;
  size_t body_length;
  LcBatchSpec spec;
  LcBatchHead head;
  bool stored;         /* the content is */
  bool maybe_accepted; /* a write of the row got no answer; no later refusal takes that back */
} LnBatchCall;

void ln_batch_call_free (LnBatchCall *call);
LpPlatform *ln_batch_call_platform (const LnBatchCall *call);
const LnDialect *ln_batch_call_dialect (const LnBatchCall *call);

/* Each of these answers the caller and frees the call. */
void ln_batch_call_reply (
    LnBatchCall *call, int status, const char *text, size_t length, const char *type);
void
ln_batch_call_fail (LnBatchCall *call, LbErrorCode code, const char *detail, LbTime retry_after);
void ln_batch_call_fail_store_away (LnBatchCall *call);
/* Nothing is there that this caller may see. */
void ln_batch_call_fail_not_found (LnBatchCall *call, const char *what);

/* Carries the call on in a moment; false when it was the last of its few tries, or its caller is
 * gone. */
bool ln_batch_call_schedule_retry (LnBatchCall *call);
/* Frees the call when that was its last try. */
void ln_batch_call_try_again_or_fail (LnBatchCall *call);

/* ln-batch-submit.c: a batch is accepted */
void ln_batch_submit (LnBatchCall *call, const LnInbound *in);
void ln_batch_submit_again (LnBatchCall *call);

#endif

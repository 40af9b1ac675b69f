#include "lp-platform.h"

#include "ln-batch-call.h"

#include "lb-clock.h"
#include "lb-log.h"

#include <stdlib.h>

#define MAX_CALL_ATTEMPTS 4
/* Delay before an attempt that failed at the store is repeated. A healthy store answers within a
 * few tens of milliseconds, so the delay is longer than that. */
#define CALL_RETRY_DELAY (80 * LB_MSEC)

static const char *const call_kind_names[] = {
  [LN_BATCH_CALL_SUBMIT] = "submit",
  [LN_BATCH_CALL_RESULTS] = "results",
  [LN_BATCH_CALL_ITEM] = "item",
  [LN_BATCH_CALL_END] = "end",
};

void
ln_batch_call_free (LnBatchCall *call)
{
  lb_list_remove (&call->batches->calls, &call->link);
  lc_batch_spec_clear (&call->spec);
  lc_batch_result_clear (&call->split_result);
  free (call->body);
  free (call);
}

LpPlatform *
ln_batch_call_get_platform (const LnBatchCall *call)
{
  return call->batches->context->platform;
}

const LnDialect *
ln_batch_call_get_dialect (const LnBatchCall *call)
{
  return call->batches->context->dialect;
}

void
ln_batch_call_reply (
    LnBatchCall *call, int status, const char *text, size_t length, const char *type)
{
  if (call->exchange)
    ln_exchange_reply_text (call->exchange, status, type, text, length);
  ln_batch_call_free (call);
}

void
ln_batch_call_fail (LnBatchCall *call, LbErrorCode code, const char *detail, LbTime retry_after)
{
  LbError error = { 0 };

  lb_log (LB_LOG_INFO, "batch_call_failed", LB_TEXT ("batch", call->id),
          LB_TEXT ("call", call_kind_names[call->kind]), LB_TEXT ("error", lb_error_name (code)),
          LB_INT ("tries", call->failed_attempts));
  lb_error_set (&error, code, call->id, "%s", detail);
  if (call->exchange)
    ln_exchange_reply_error (call->exchange, &error, retry_after);
  ln_batch_call_free (call);
}

void
ln_batch_call_fail_store_unavailable (LnBatchCall *call)
{
  ln_batch_call_fail (call, LB_ERROR_STORE_AWAY, "the store is not responding",
                      LN_BATCH_STORE_RETRY_AFTER);
}

/* Replies the admission error to a caller without a valid key, so that the caller cannot find out
 * which batches exist. */
void
ln_batch_call_fail_not_found (LnBatchCall *call, const char *detail)
{
  const LcAdmission *admission = &call->admission;

  if (admission->error == LB_OK)
    ln_batch_call_fail (call, LB_ERROR_NOT_FOUND, detail, 0);
  else
    ln_batch_call_fail (call, admission->error, admission->reason, admission->retry_after);
}

bool
ln_batch_call_schedule_retry (LnBatchCall *call)
{
  if (++call->failed_attempts >= MAX_CALL_ATTEMPTS || !call->exchange)
    return false;
  call->retry_at = lb_clock_monotonic () + CALL_RETRY_DELAY;
  return true;
}

void
ln_batch_call_retry_or_fail (LnBatchCall *call)
{
  if (!ln_batch_call_schedule_retry (call))
    ln_batch_call_fail_store_unavailable (call);
}

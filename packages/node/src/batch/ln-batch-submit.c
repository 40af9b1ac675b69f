#include "lp-platform.h"

#include "ln-batch-call.h"
#include "ln-fetch-outgoing.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

static LbMetric batches_accepted = LB_COUNTER_INIT ("lentilspindle_batches_accepted_total",
                                                    NULL,
                                                    "Batches that this instance accepted");

static void
reply_batch_accepted (LnBatchCall *call)
{
  ln_batch_call_reply (call, 202, "{}", 2, "application/json");
}

static void
offer_or_run_accepted_batch (LnBatchCall *call, int64_t version)
{
  LnBatches *batches = call->batches;
  LnBatch *batch = ln_batches_find_or_create (batches, call->id);
  const LnBatchSavedProgress no_progress = { 0 };

  lb_metric_add (&batches_accepted, 1);
  lb_log (LB_LOG_INFO, "batch_accepted", LB_TEXT ("batch", call->id),
          LB_INT ("items", call->spec.n_items), LB_INT ("tries", call->failed_attempts));
  bool is_new = batch->version == 0;
  if (is_new)
    ln_batches_publish_token_demand (batches, &call->head);
  if (version > batch->version)
    {
      batch->head = call->head;
      batch->version = version;
    }
  if (is_new)
    ln_batches_publish_trainer_step (batches, batch);
  if (batch->state != LN_BATCH_NOT_OWNED || batch->version != version)
    return;
  if (batches->draining)
    {
      ln_batch_release_ownership (batch);
      return;
    }
  if (ln_batch_offer_to_preferred_instance (batch, lb_clock_monotonic ()))
    return;
  ln_batch_owner_start_run (batch, &call->spec, &no_progress);
}

/* Reports OUTCOME_UNKNOWN if a write of the batch's row got no answer, because that write may still
 * take effect seconds later. Otherwise the row does not exist, and the batch will not run. */
static void
fail_submission_call (LnBatchCall *call)
{
  if (call->may_be_accepted)
    ln_batch_call_fail (call, LB_ERROR_OUTCOME_UNKNOWN,
                        "the store did not confirm whether the batch was written", 0);
  else
    ln_batch_call_fail_store_unavailable (call);
}

static void
on_batch_row_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatchCall *call = user;
  LnBatch *batch = ln_batches_find_or_create (call->batches, call->id);

  call->waits_for_store = false;
  if (batch->state == LN_BATCH_CLAIMING)
    batch->state = LN_BATCH_NOT_OWNED;
  if (error == LB_OK)
    {
      offer_or_run_accepted_batch (call, row->version);
      reply_batch_accepted (call);
    }
  else if (error == LB_ERROR_CONDITION_FAILED)
    {
      /* This instance or another one has already accepted the batch. */
      if (row->value)
        ln_batches_update_batch_from_row (call->batches, row);
      /* Starts the batch if this instance owns it: an earlier attempt of the write may have taken
       * effect, and the watch may have shown the row while the last attempt was in progress. */
      ln_batch_load_and_run_if_owned (batch);
      reply_batch_accepted (call);
    }
  else
    {
      call->may_be_accepted |= error == LB_ERROR_STORE_UNKNOWN;
      if (!ln_batch_call_schedule_retry (call))
        {
          ln_batch_load_and_run_if_owned (batch);
          fail_submission_call (call);
        }
    }
}

static void
create_batch_row (LnBatchCall *call)
{
  LnBatch *batch = ln_batches_find_or_create (call->batches, call->id);
  struct json_object *object = lc_batch_head_to_json (&call->head);
  char key[LN_BATCH_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = 0 };
  const LpPut put = { .key = key, .value = json_object_to_json_string (object) };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  /* Prevents the watch from starting the batch if it shows the row before the write is answered. */
  if (batch->state == LN_BATCH_NOT_OWNED)
    batch->state = LN_BATCH_CLAIMING;
  ln_batch_format_row_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_get_platform (call)->klass->transact (ln_batch_call_get_platform (call),
                                                      &transaction, LP_PRIORITY_LEDGER,
                                                      on_batch_row_written, call);
  json_object_put (object);
}

static void
on_batch_content_stored (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  (void)bytes;
  (void)length;
  LnBatchCall *call = user;

  call->waits_for_store = false;
  if (error == LB_OK)
    {
      call->is_content_stored = true;
      create_batch_row (call);
    }
  else
    ln_batch_call_retry_or_fail (call);
}

/* Stores the content before the batch's row is written: a batch without content could not be run.
 */
static void
store_batch_content (LnBatchCall *call)
{
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_format_content_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_get_platform (call)->klass->put_object (ln_batch_call_get_platform (call), key,
                                                        call->body, call->body_length,
                                                        on_batch_content_stored, call);
}

void
ln_batch_submit_retry_store_writes (LnBatchCall *call)
{
  if (call->is_content_stored)
    create_batch_row (call);
  else
    store_batch_content (call);
}

static int64_t
sum_expected_tokens (const LcBatchSpec *spec)
{
  int64_t tokens = 0;

  for (size_t i = 0; i < spec->n_items; i++)
    tokens += spec->items[i].expected_tokens > 0 ? spec->items[i].expected_tokens
                                                 : spec->items[i].max_tokens;
  return tokens;
}

/* Returns the store's clock by which the trainer needs the batch; 0 if the clock is not known. */
static int64_t
compute_due_ms (const LnBatchCall *call)
{
  const LcRoute *route = ln_batches_find_route (call->batches, &call->head);
  LbTime due_after = route ? route->due_after : 0;

  return lp_platform_get_store_clock_ms_at (call->batches->context->platform,
                                            lb_clock_monotonic () + due_after);
}

/* Checks that each request of the batch can be sent as exactly one request. */
static bool
check_batch_requests (const LcBatchSpec *spec, LbError *error)
{
  for (size_t i = 0; i < spec->n_items; i++)
    {
      const LcBatchItemSpec *item = &spec->items[i];

      if (!ln_outgoing_request_check (&item->request, error)
          || (item->has_scorer && !ln_outgoing_request_check (&item->scorer, error)))
        return false;
    }
  return true;
}

void
ln_batch_submit_new_batch (LnBatchCall *call, const LnInbound *in)
{
  const LnContext *context = call->batches->context;
  const LnBatch *known = ln_batches_find (call->batches, call->id);
  size_t length;
  const char *body = ln_exchange_body (call->exchange, &length);
  LbError error = { 0 };

  if (known && known->version > 0)
    {
      reply_batch_accepted (call);
      return;
    }
  if (!ln_batch_call_get_dialect (call)->read_batch (body, length, call->id, &call->spec, &error)
      || !check_batch_requests (&call->spec, &error))
    {
      ln_batch_call_fail (call, error.code, error.detail, 0);
      return;
    }
  call->body = lb_memdup (body, length + 1);
  call->body_length = length;
  LB_COPY (call->head.batch, call->id);
  LB_COPY (call->head.owner, context->instance);
  LB_COPY (call->head.incarnation, context->incarnation);
  LB_COPY (call->head.organisation, call->admission.organisation.name);
  call->head.organisation_priority = call->admission.organisation.priority;
  LB_COPY (call->head.host, in->host);
  LB_COPY (call->head.path, ln_exchange_path (call->exchange));
  LB_COPY (call->head.model, call->spec.model);
  call->head.has_step = call->spec.has_step;
  call->head.step = call->spec.step;
  call->head.expected_tokens = sum_expected_tokens (&call->spec);
  call->head.due_ms = compute_due_ms (call);
  ln_batches_choose_next_owner (call->batches, call->spec.model, call->head.preferred_instance);
  call->head.epoch = 1;
  call->head.paces = call->batches->engine_paces;
  call->head.accepted_ms
      = lp_platform_get_store_clock_ms_at (context->platform, lb_clock_monotonic ());
  call->head.n_items = (int64_t)call->spec.n_items;
  store_batch_content (call);
}

#include "lp-platform.h"

#include "ln-batch-call.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

static LbMetric accepted
    = LB_COUNTER_INIT ("lentilspindle_batches_accepted_total", NULL, "Batches accepted here");

static void
reply_accepted (LnBatchCall *call)
{
  ln_batch_call_reply (call, 202, "{}", 2, "application/json");
}

static void
own_and_run (LnBatchCall *call, int64_t version)
{
  LnBatches *batches = call->batches;
  LnBatch *batch = ln_batches_ensure (batches, call->id);
  const LnBatchPast nothing = { 0 };

  lb_metric_add (&accepted, 1);
  lb_log (LB_LOG_INFO, "batch_accepted", LB_TEXT ("batch", call->id),
          LB_INT ("items", call->spec.n_items), LB_INT ("tries", call->tries));
  if (batch->version == 0)
    ln_batch_heads_tell_demand (batches, &call->head);
  if (version > batch->version)
    {
      batch->head = call->head;
      batch->version = version;
    }
  if (batch->held != LN_HELD_NOT || batch->version != version
      || ln_batch_heads_offer (batch, lb_clock_monotonic ()))
    return;
  ln_batch_owner_run (batch, &call->spec, &nothing);
  if (batches->draining)
    ln_batch_heads_release (batch);
}

/* "Not run" may only be said when the row is known not to be there: a write without an answer may
 * be carried out seconds later, and its batch would run. */
static void
give_up_submission (LnBatchCall *call)
{
  if (call->maybe_accepted)
    ln_batch_call_fail (call, LB_ERROR_OUTCOME_UNKNOWN,
                        "the store did not say whether it took the batch", 0);
  else
    ln_batch_call_fail_store_away (call);
}

static void
on_head_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatchCall *call = user;
  LnBatch *batch = ln_batches_ensure (call->batches, call->id);

  call->waits_for_store = false;
  if (batch->held == LN_HELD_TAKING)
    batch->held = LN_HELD_NOT;
  if (error == LB_OK)
    {
      own_and_run (call, row->version);
      reply_accepted (call);
    }
  else if (error == LB_ERROR_CONDITION_FAILED)
    {
      /* It was accepted before, here or elsewhere. */
      if (row->value)
        ln_batch_heads_take (call->batches, row);
      /* Guards against a batch that is ours and that nobody runs: an earlier try of this write was
       * carried out, and the watch showed its row while this one was still on its way. */
      ln_batch_heads_review (batch);
      reply_accepted (call);
    }
  else
    {
      call->maybe_accepted |= error == LB_ERROR_STORE_UNKNOWN;
      if (!ln_batch_call_schedule_retry (call))
        {
          ln_batch_heads_review (batch);
          give_up_submission (call);
        }
    }
}

static void
write_head (LnBatchCall *call)
{
  LnBatch *batch = ln_batches_ensure (call->batches, call->id);
  struct json_object *object = lc_batch_head_to_json (&call->head);
  char key[LN_BATCH_KEY_SIZE];
  const LpCondition condition = { .key = key, .version = 0 };
  const LpPut put = { .key = key, .value = json_object_to_json_string (object) };
  const LpTransaction transaction
      = { .token = "", .conditions = &condition, .n_conditions = 1, .puts = &put, .n_puts = 1 };

  /* The watch may show the row before the write is answered. */
  if (batch->held == LN_HELD_NOT)
    batch->held = LN_HELD_TAKING;
  ln_batch_head_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_platform (call)->klass->transact (ln_batch_call_platform (call), &transaction,
                                                  LP_PRIORITY_LEDGER, on_head_written, call);
  json_object_put (object);
}

static void
on_content_stored (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  (void)bytes;
  (void)length;
  LnBatchCall *call = user;

  call->waits_for_store = false;
  if (error == LB_OK)
    {
      call->stored = true;
      write_head (call);
    }
  else
    ln_batch_call_try_again_or_fail (call);
}

/* The content first: a row without it would be a batch that nobody can run. */
static void
store_content (LnBatchCall *call)
{
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_object_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_platform (call)->klass->put_object (ln_batch_call_platform (call), key, call->body,
                                                    call->body_length, on_content_stored, call);
}

void
ln_batch_submit_again (LnBatchCall *call)
{
  if (call->stored)
    write_head (call);
  else
    store_content (call);
}

static int64_t
expected_tokens (const LcBatchSpec *spec)
{
  int64_t tokens = 0;

  for (size_t i = 0; i < spec->n_items; i++)
    tokens += spec->items[i].expected_tokens > 0 ? spec->items[i].expected_tokens
                                                 : spec->items[i].max_tokens;
  return tokens;
}

/* Where the model's latest batch went; "" when none is known. */
static const char *
last_runner (const LnBatches *batches, const char *model)
{
  const LnBatch *last = NULL;

  for (const LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    {
      if (strcmp (batch->head.model, model) != 0)
        continue;
      if (!last
          || lc_batch_head_is_preferred_over (&batch->head, batch->version, &last->head,
                                              last->version))
        last = batch;
    }
  return last ? lc_batch_head_assigned_instance (&last->head) : "";
}

/* Guards against one strong machine beside weak ones that gets the batches of all models: each duty
 * that a machine has leaves it so much less for the next. */
static void
weigh_duties (const LnBatches *batches, LcDutyCandidate *candidates, size_t n)
{
  for (size_t i = 0; i < n; i++)
    candidates[i].strength /= 1 + (int64_t)ln_batches_count_models (batches, candidates[i].name);
}

static void
choose_owner (LnBatchCall *call)
{
  size_t n;
  LcDutyCandidate *candidates = ln_batches_candidates (call->batches, &n);
  const char *last = last_runner (call->batches, call->spec.model);

  weigh_duties (call->batches, candidates, n);
  LB_COPY (call->head.preferred_instance,
           lc_duty_choose_holder (call->spec.model, last, candidates, n));
  free (candidates);
}

void
ln_batch_submit (LnBatchCall *call, const LnInbound *in)
{
  const LnContext *context = call->batches->context;
  const LnBatch *known = ln_batches_find (call->batches, call->id);
  size_t length;
  const char *body = ln_exchange_body (call->exchange, &length);
  LbError error = { 0 };

  if (known && known->version > 0)
    {
      reply_accepted (call);
      return;
    }
  if (!ln_batch_call_dialect (call)->read_batch (body, length, call->id, &call->spec, &error))
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
  call->head.expected_tokens = expected_tokens (&call->spec);
  choose_owner (call);
  call->head.epoch = 1;
  call->head.n_items = (int64_t)call->spec.n_items;
  store_content (call);
}

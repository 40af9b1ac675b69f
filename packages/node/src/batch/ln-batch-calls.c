#include "lp-platform.h"

#include "ln-batch-call.h"

#include "ln-batch-name.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Interval between reads of the store while a caller waits for a result. */
#define RESULT_POLL_INTERVAL (150 * LB_MSEC)
#define MAX_WAIT_FOR_RESULT LB_SEC
#define MAX_RESULTS_PER_REPLY 200

static void find_batch_row_and_dispatch_call (LnBatchCall *call);

/* Called if the caller's organisation has no batch with the id. Looks for a batch with the same id
 * and no organisation. */
static void
retry_call_without_organisation (LnBatchCall *call)
{
  if (call->public_id[0] == '\0')
    {
      ln_batch_call_fail_not_found (call, "no such batch");
      return;
    }
  LB_COPY (call->id, call->public_id);
  call->public_id[0] = '\0';
  find_batch_row_and_dispatch_call (call);
}

/* Returns the batch of the call, or replies "not found" and returns NULL if the batch was removed
 * while the call waited for the store, as happens to an ended batch. */
static LnBatch *
find_batch_or_fail_call (LnBatchCall *call)
{
  LnBatch *batch = ln_batches_find (call->batches, call->id);

  if (!batch)
    ln_batch_call_fail_not_found (call, "no such batch");
  return batch;
}

/* --- reading results --- */

static void
reply_with_batch_results (LnBatchCall *call, const LcBatchResult *results, size_t n_results)
{
  const LnBatch *batch = find_batch_or_fail_call (call);
  size_t length;

  if (!batch)
    return;
  char *text = ln_batch_call_get_dialect (call)->write_results (batch->head.n_items, call->position,
                                                                results, n_results, &length);
  ln_batch_call_reply (call, 200, text, length, "application/json");
  free (text);
}

static void
on_text_chunks_read (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatchCall *call = user;
  size_t length = 0;

  call->waits_for_store = false;
  if (error != LB_OK || n_rows < call->n_chunks)
    {
      ln_batch_call_retry_or_fail (call);
      return;
    }
  for (size_t i = 0; i < n_rows; i++)
    length += strlen (rows[i].value);
  char *text = lb_malloc (length + 1);
  text[0] = '\0';
  char *end = text;
  for (size_t i = 0; i < n_rows; i++)
    end = stpcpy (end, rows[i].value);
  free (call->split_result.text);
  call->split_result.text = text;
  reply_with_batch_results (call, &call->split_result, 1);
}

/* Reads the chunks of a result's text, then replies with only this result. */
static void
read_text_chunks (LnBatchCall *call, LcBatchResult *result, size_t n_chunks)
{
  char prefix[LN_BATCH_KEY_SIZE];

  lc_batch_result_clear (&call->split_result);
  call->split_result = *result;
  memset (result, 0, sizeof *result);
  call->n_chunks = n_chunks;
  ln_batch_format_text_chunks_prefix (call->id, call->position, prefix);
  call->waits_for_store = true;
  ln_batch_call_get_platform (call)->klass->list (ln_batch_call_get_platform (call), prefix, NULL,
                                                  0, on_text_chunks_read, call);
}

/* Replies with the results before the first one whose text is stored in chunks. If that is the
 * first result of the list, reads its chunks instead. */
static void
reply_result_rows (LnBatchCall *call, const LpRow *rows, size_t n_rows)
{
  LcBatchResult *results = LB_NEW_ARRAY (LcBatchResult, n_rows + 1);
  size_t n_chunks = 0;
  size_t n = 0;

  while (n < n_rows && ln_batch_result_from_row (&rows[n], &results[n], &n_chunks) && n_chunks == 0)
    n++;
  if (n == 0 && n_chunks > 0)
    read_text_chunks (call, &results[0], n_chunks);
  else
    reply_with_batch_results (call, results, n);
  for (size_t i = 0; i <= n; i++)
    lc_batch_result_clear (&results[i]);
  free (results);
}

static void
on_result_rows_read (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatchCall *call = user;
  LbTime now = lb_clock_monotonic ();

  call->waits_for_store = false;
  if (error != LB_OK)
    {
      ln_batch_call_retry_or_fail (call);
      return;
    }
  if (n_rows == 0 && now < call->wait_until && call->exchange)
    call->retry_at = now + RESULT_POLL_INTERVAL;
  else
    reply_result_rows (call, rows, n_rows);
}

static void
read_result_rows (LnBatchCall *call)
{
  char prefix[LN_BATCH_KEY_SIZE];
  char first_key[16];

  ln_batch_format_result_prefix (call->id, prefix);
  snprintf (first_key, sizeof first_key, "%06lld", (long long)call->position);
  call->waits_for_store = true;
  ln_batch_call_get_platform (call)->klass->list (ln_batch_call_get_platform (call), prefix,
                                                  first_key, MAX_RESULTS_PER_REPLY,
                                                  on_result_rows_read, call);
}

/* --- reading the body of an item --- */

static void
on_batch_content_read (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  LnBatchCall *call = user;
  LbError parse_error = { 0 };

  call->waits_for_store = false;
  if (error == LB_ERROR_NOT_FOUND)
    {
      retry_call_without_organisation (call);
      return;
    }
  if (error == LB_OK
      && !ln_batch_call_get_dialect (call)->read_batch (bytes, length, call->id, &call->spec,
                                                        &parse_error))
    error = parse_error.code;
  if (error != LB_OK)
    {
      ln_batch_call_retry_or_fail (call);
      return;
    }
  for (size_t i = 0; i < call->spec.n_items; i++)
    {
      const LcOutgoingRequest *request = &call->spec.items[i].request;
      if (strcmp (request->id, call->item) != 0)
        continue;
      ln_batch_call_reply (call, 200, request->body, request->body_length,
                           "application/octet-stream");
      return;
    }
  ln_batch_call_fail_not_found (call, "no such item");
}

static void
read_item_body (LnBatchCall *call)
{
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_format_content_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_get_platform (call)->klass->get_object (ln_batch_call_get_platform (call), key,
                                                        on_batch_content_read, call);
}

/* --- ending a batch --- */

static void
reply_batch_ended (LnBatchCall *call)
{
  ln_batch_call_reply (call, 200, "{}", 2, "application/json");
}

static void
on_ended_row_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatchCall *call = user;
  LpRow ended = { 0 };

  call->waits_for_store = false;
  if (error == LB_OK)
    {
      struct json_object *object = lc_batch_head_to_json (&call->head);
      ended = (LpRow){ .key = row->key,
                       .value = json_object_to_json_string (object),
                       .version = row->version };
      ln_batches_update_batch_from_row (call->batches, &ended);
      json_object_put (object);
      reply_batch_ended (call);
      return;
    }
  if (error == LB_ERROR_CONDITION_FAILED && row->value)
    ln_batches_update_batch_from_row (call->batches, row);
  ln_batch_call_retry_or_fail (call);
}

static void
end_batch_of_call (LnBatchCall *call)
{
  const LnBatch *batch = find_batch_or_fail_call (call);
  char key[LN_BATCH_KEY_SIZE];

  if (!batch)
    return;
  LcBatchHead head = batch->head;
  if (batch->head.ended)
    {
      reply_batch_ended (call);
      return;
    }
  head.ended = true;
  head.ended_ms
      = lp_platform_get_store_clock_ms_at (call->batches->context->platform, lb_clock_monotonic ());
  call->head = head;
  struct json_object *object = lc_batch_head_to_json (&head);
  const LpPut put = { .key = key, .value = json_object_to_json_string (object) };
  ln_batch_format_row_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_write_rows_if_batch_row_unchanged (batch, &put, 1, LP_PRIORITY_LEDGER,
                                              on_ended_row_written, call);
  json_object_put (object);
}

/* --- starting and retrying calls --- */

static void
dispatch_call_by_kind (LnBatchCall *call)
{
  switch (call->kind)
    {
    case LN_BATCH_CALL_SUBMIT:
      ln_batch_submit_retry_store_writes (call);
      break;
    case LN_BATCH_CALL_RESULTS:
      read_result_rows (call);
      break;
    case LN_BATCH_CALL_ITEM:
      read_item_body (call);
      break;
    case LN_BATCH_CALL_END:
      end_batch_of_call (call);
      break;
    }
}

/* Handles the row of a batch that this instance does not know yet. Another instance may have
 * accepted the batch a moment ago. */
static void
on_batch_row_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnBatchCall *call = user;

  call->waits_for_store = false;
  if (error == LB_ERROR_NOT_FOUND)
    {
      retry_call_without_organisation (call);
      return;
    }
  if (error == LB_OK && n_rows > 0 && ln_batches_update_batch_from_row (call->batches, &rows[0]))
    {
      dispatch_call_by_kind (call);
      return;
    }
  ln_batch_call_retry_or_fail (call);
}

static void
find_batch_row_and_dispatch_call (LnBatchCall *call)
{
  const LnBatch *batch = ln_batches_find (call->batches, call->id);
  char key[LN_BATCH_KEY_SIZE];

  call->retry_at = LB_TIME_NEVER;
  if (call->kind == LN_BATCH_CALL_SUBMIT || call->kind == LN_BATCH_CALL_ITEM
      || (batch && batch->version > 0))
    {
      dispatch_call_by_kind (call);
      return;
    }
  ln_batch_format_row_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_get_platform (call)->klass->get (ln_batch_call_get_platform (call), key,
                                                 on_batch_row_read, call);
}

static LnBatchCallKind
call_kind_from_inbound (LnInboundKind kind)
{
  switch (kind)
    {
    case LN_INBOUND_RESULTS:
      return LN_BATCH_CALL_RESULTS;
    case LN_INBOUND_ITEM:
      return LN_BATCH_CALL_ITEM;
    case LN_INBOUND_DELETE_BATCH:
      return LN_BATCH_CALL_END;
    default:
      return LN_BATCH_CALL_SUBMIT;
    }
}

/* Rejects a request with NOT_READY: without the list of organisations, the caller's organisation
 * cannot be determined. */
static void
reject_until_organisations_known (LnExchange *exchange)
{
  LbError error = { 0 };

  lb_error_set (&error, LB_ERROR_NOT_READY, "",
                "this instance has not received the list of organisations yet");
  ln_exchange_reply_error (exchange, &error, LN_BATCH_STORE_RETRY_AFTER);
}

/* Whether the request submits a batch on a public route, which requires no API key. Requests about
 * an existing batch have no route; they require no key if the batch has no organisation. */
static bool
is_public_submission (const LnBatches *batches, const LnExchange *exchange, const LnInbound *in)
{
  const LcRoute *route = NULL;

  if (call_kind_from_inbound (in->kind) == LN_BATCH_CALL_SUBMIT)
    route = lc_desired_match_route (batches->admission_state.desired, in->host,
                                    ln_exchange_path (exchange));
  return route && route->is_public;
}

/* Returns false after rejecting the request. Requests about an existing batch pass without a valid
 * API key, because the batch may have no organisation. */
static bool
admit_or_reject_call (const LnBatches *batches,
                      LnExchange *exchange,
                      const LnInbound *in,
                      LcAdmission *admission)
{
  const LnAdmissionState *admission_state = &batches->admission_state;

  if (!admission_state->desired)
    {
      reject_until_organisations_known (exchange);
      return false;
    }
  ln_admission_check_request (batches->context, admission_state,
                              is_public_submission (batches, exchange, in), in, admission);
  if (admission->error == LB_OK || call_kind_from_inbound (in->kind) != LN_BATCH_CALL_SUBMIT)
    return true;
  ln_admission_refuse_request (exchange, admission_state, in, admission);
  return false;
}

static bool
set_call_batch_names (LnBatchCall *call, const LnInbound *in)
{
  bool is_submission = call->kind == LN_BATCH_CALL_SUBMIT;
  const char *organisation = call->admission.organisation.name;
  const char *id = is_submission ? (in->id ? in->id : "") : in->batch;

  if (organisation[0] && !is_submission && !ln_batch_build_name ("", id, call->public_id))
    return false;
  return ln_batch_build_name (organisation, id, call->id);
}

void
ln_batch_calls_receive_request (LnBatches *batches, LnExchange *exchange)
{
  LnBatchCall *call = NULL;
  LcAdmission admission;
  LnInbound in;
  LbTime now = lb_clock_monotonic ();

  batches->context->dialect->read_inbound (exchange, &in);
  if (!admit_or_reject_call (batches, exchange, &in, &admission))
    return;
  call = LB_NEW (LnBatchCall);
  call->admission = admission;
  call->batches = batches;
  call->exchange = exchange;
  call->kind = call_kind_from_inbound (in.kind);
  call->position = in.position;
  call->wait_until = now + (in.wait < MAX_WAIT_FOR_RESULT ? in.wait : MAX_WAIT_FOR_RESULT);
  call->retry_at = LB_TIME_NEVER;
  LB_COPY (call->item, in.item ? in.item : "");
  ln_exchange_set_user_data (exchange, call);
  lb_list_append (&batches->calls, &call->link);
  if (!set_call_batch_names (call, &in))
    ln_batch_call_fail (
        call, LB_ERROR_BAD_VALUE,
        "invalid batch id: it is empty or too long, contains '/' or ends in '~' and a hash", 0);
  else if (call->kind == LN_BATCH_CALL_SUBMIT)
    ln_batch_submit_new_batch (call, &in);
  else
    find_batch_row_and_dispatch_call (call);
}

/* Frees the call of a disconnected caller, unless the call waits for the store. A waiting
 * submission continues, because its write of the batch's row may already be in progress. */
void
ln_batch_calls_on_caller_disconnected (LnBatches *batches, LnExchange *exchange)
{
  (void)batches;
  LnBatchCall *call = ln_exchange_user_data (exchange);

  if (!call)
    return;
  ln_exchange_end (exchange);
  call->exchange = NULL;
  if (!call->waits_for_store)
    ln_batch_call_free (call);
}

void
ln_batch_calls_retry_due_calls (LnBatches *batches, LbTime now)
{
  LB_LIST_FOREACH (&batches->calls, LnBatchCall, link, call)
  {
    if (!call->waits_for_store && now >= call->retry_at)
      find_batch_row_and_dispatch_call (call);
  }
}

void
ln_batch_calls_free_all (LnBatches *batches)
{
  LB_LIST_FOREACH (&batches->calls, LnBatchCall, link, call)
  {
    ln_batch_call_free (call);
  }
}

#include "lp-platform.h"

#include "ln-batch-call.h"

#include "ln-batch-name.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define POLL (150 * LB_MSEC) /* between looks for a result that somebody waits for */
#define MAX_WAIT LB_SEC
#define PAGE_ROWS 200

static void begin (LnBatchCall *call);

/* There is none under the name; perhaps there is one that belongs to nobody in particular. */
static void
look_further (LnBatchCall *call)
{
  if (call->open_id[0] == '\0')
    {
      ln_batch_call_fail_not_found (call, "no such batch");
      return;
    }
  LB_COPY (call->id, call->open_id);
  call->open_id[0] = '\0';
  begin (call);
}

/* The batch, or NULL after a reply that there is none: what an ended batch left may be removed
 * while a call about it waits for the store. */
static LnBatch *
find_batch_or_reply (LnBatchCall *call)
{
  LnBatch *batch = ln_batches_find (call->batches, call->id);

  if (!batch)
    ln_batch_call_fail_not_found (call, "no such batch");
  return batch;
}

/* --- results are read --- */

static void
reply_results (LnBatchCall *call, const LcBatchResult *results, size_t n_results)
{
  const LnBatch *batch = find_batch_or_reply (call);
  size_t length;

  if (!batch)
    return;
  char *text = ln_batch_call_dialect (call)->write_results (batch->head.n_items, call->position,
                                                            results, n_results, &length);
  ln_batch_call_reply (call, 200, text, length, "application/json");
  free (text);
}

static void
on_pieces (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatchCall *call = user;
  size_t length = 0;

  call->waits_for_store = false;
  if (error != LB_OK || n_rows < call->n_pieces)
    {
      ln_batch_call_try_again_or_fail (call);
      return;
    }
  for (size_t i = 0; i < n_rows; i++)
    length += strlen (rows[i].value);
  char *text = lb_malloc (length + 1);
  text[0] = '\0';
  char *end = text;
  for (size_t i = 0; i < n_rows; i++)
    end = stpcpy (end, rows[i].value);
  free (call->long_result.text);
  call->long_result.text = text;
  reply_results (call, &call->long_result, 1);
}

/* The result is answered by itself; its text lies in further rows. */
static void
read_pieces (LnBatchCall *call, LcBatchResult *result, size_t n_pieces)
{
  char prefix[LN_BATCH_KEY_SIZE];

  lc_batch_result_clear (&call->long_result);
  call->long_result = *result;
  memset (result, 0, sizeof *result);
  call->n_pieces = n_pieces;
  ln_batch_text_prefix (call->id, call->position, prefix);
  call->waits_for_store = true;
  ln_batch_call_platform (call)->klass->list (ln_batch_call_platform (call), prefix, NULL, 0,
                                              on_pieces, call);
}

/* Up to the first whose text lies elsewhere. */
static void
answer_rows (LnBatchCall *call, const LpRow *rows, size_t n_rows)
{
  LcBatchResult *results = LB_NEW_ARRAY (LcBatchResult, n_rows + 1);
  size_t n_pieces = 0;
  size_t n = 0;

  while (n < n_rows && ln_batch_result_from_row (&rows[n], &results[n], &n_pieces) && n_pieces == 0)
    n++;
  if (n == 0 && n_pieces > 0)
    read_pieces (call, &results[0], n_pieces);
  else
    reply_results (call, results, n);
  for (size_t i = 0; i <= n; i++)
    lc_batch_result_clear (&results[i]);
  free (results);
}

static void
on_results (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatchCall *call = user;
  LbTime now = lb_clock_monotonic ();

  call->waits_for_store = false;
  if (error != LB_OK)
    {
      ln_batch_call_try_again_or_fail (call);
      return;
    }
  if (n_rows == 0 && now < call->give_up_at && call->exchange)
    call->retry_at = now + POLL;
  else
    answer_rows (call, rows, n_rows);
}

static void
read_results (LnBatchCall *call)
{
  char prefix[LN_BATCH_KEY_SIZE];
  char from[16];

  ln_batch_result_prefix (call->id, prefix);
  snprintf (from, sizeof from, "%06lld", (long long)call->position);
  call->waits_for_store = true;
  ln_batch_call_platform (call)->klass->list (ln_batch_call_platform (call), prefix, from,
                                              PAGE_ROWS, on_results, call);
}

/* --- an item's body is read --- */

static void
on_content (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  LnBatchCall *call = user;
  LbError problem = { 0 };

  call->waits_for_store = false;
  if (error == LB_ERROR_NOT_FOUND)
    {
      look_further (call);
      return;
    }
  if (error == LB_OK
      && !ln_batch_call_dialect (call)->read_batch (bytes, length, call->id, &call->spec, &problem))
    error = problem.code;
  if (error != LB_OK)
    {
      ln_batch_call_try_again_or_fail (call);
      return;
    }
  for (size_t i = 0; i < call->spec.n_items; i++)
    {
      const LcOutgoing *request = &call->spec.items[i].request;
      if (strcmp (request->id, call->item) != 0)
        continue;
      ln_batch_call_reply (call, 200, request->body, request->body_length,
                           "application/octet-stream");
      return;
    }
  ln_batch_call_fail_not_found (call, "no such item");
}

static void
read_item (LnBatchCall *call)
{
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_object_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_platform (call)->klass->get_object (ln_batch_call_platform (call), key, on_content,
                                                    call);
}

/* --- a batch is ended --- */

static void
reply_ended (LnBatchCall *call)
{
  ln_batch_call_reply (call, 200, "{}", 2, "application/json");
}

static void
on_ended (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatchCall *call = user;
  LnBatch *batch = ln_batches_find (call->batches, call->id);
  LpRow ended = { 0 };

  call->waits_for_store = false;
  if (error == LB_OK)
    {
      LcBatchHead head = batch->head;
      head.ended = true;
      struct json_object *object = lc_batch_head_to_json (&head);
      ended = (LpRow){ .key = row->key,
                       .value = json_object_to_json_string (object),
                       .version = row->version };
      ln_batch_heads_take (call->batches, &ended);
      json_object_put (object);
      reply_ended (call);
      return;
    }
  if (error == LB_ERROR_CONDITION_FAILED && row->value)
    ln_batch_heads_take (call->batches, row);
  ln_batch_call_try_again_or_fail (call);
}

static void
end_batch (LnBatchCall *call)
{
  const LnBatch *batch = find_batch_or_reply (call);
  char key[LN_BATCH_KEY_SIZE];

  if (!batch)
    return;
  LcBatchHead head = batch->head;
  if (batch->head.ended)
    {
      reply_ended (call);
      return;
    }
  head.ended = true;
  struct json_object *object = lc_batch_head_to_json (&head);
  const LpPut put = { .key = key, .value = json_object_to_json_string (object) };
  ln_batch_head_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_heads_transact (batch, &put, 1, LP_PRIORITY_LEDGER, on_ended, call);
  json_object_put (object);
}

/* --- all calls --- */

static void
go_on (LnBatchCall *call)
{
  switch (call->kind)
    {
    case LN_BATCH_CALL_SUBMIT:
      ln_batch_submit_again (call);
      break;
    case LN_BATCH_CALL_RESULTS:
      read_results (call);
      break;
    case LN_BATCH_CALL_ITEM:
      read_item (call);
      break;
    case LN_BATCH_CALL_END:
      end_batch (call);
      break;
    }
}

/* Whether there is such a batch. Another instance may have accepted it a moment ago, so only the
 * store can say no. */
static void
on_head (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  LnBatchCall *call = user;

  call->waits_for_store = false;
  if (error == LB_ERROR_NOT_FOUND)
    {
      look_further (call);
      return;
    }
  if (error == LB_OK && n_rows > 0 && ln_batch_heads_take (call->batches, &rows[0]))
    {
      go_on (call);
      return;
    }
  ln_batch_call_try_again_or_fail (call);
}

static void
begin (LnBatchCall *call)
{
  const LnBatch *batch = ln_batches_find (call->batches, call->id);
  char key[LN_BATCH_KEY_SIZE];

  call->retry_at = LB_TIME_NEVER;
  if (call->kind == LN_BATCH_CALL_SUBMIT || call->kind == LN_BATCH_CALL_ITEM
      || (batch && batch->version > 0))
    {
      go_on (call);
      return;
    }
  ln_batch_head_key (call->id, key);
  call->waits_for_store = true;
  ln_batch_call_platform (call)->klass->get (ln_batch_call_platform (call), key, on_head, call);
}

static LnBatchCallKind
kind_of (LnInboundKind kind)
{
  switch (kind)
    {
    case LN_INBOUND_RESULTS:
      return LN_BATCH_CALL_RESULTS;
    case LN_INBOUND_ITEM:
      return LN_BATCH_CALL_ITEM;
    case LN_INBOUND_END:
      return LN_BATCH_CALL_END;
    default:
      return LN_BATCH_CALL_SUBMIT;
    }
}

/* An instance that does not know yet which organisations there are can't tell whose a batch is. */
static void
refuse_not_ready (LnExchange *exchange)
{
  LbError error = { 0 };

  lb_error_set (&error, LB_ERROR_NOT_READY, "", "no organisations are known here yet");
  ln_exchange_reply_error (exchange, &error, LN_BATCH_STORE_RETRY);
}

/* Only a submission has a route that may be open; of all other calls the batch itself tells. */
static bool
is_public (const LnBatches *batches, const LnExchange *exchange, const LnInbound *in)
{
  const LcRoute *route = NULL;

  if (kind_of (in->kind) == LN_BATCH_CALL_SUBMIT)
    route = lc_desired_match_route (batches->belief.desired, in->host, ln_exchange_path (exchange));
  return route && route->is_public;
}

/* False after a refusal. A caller without a good key still finds batches that belong to nobody in
 * particular. */
static bool
check_admission (const LnBatches *batches,
                 LnExchange *exchange,
                 const LnInbound *in,
                 LcAdmission *admission)
{
  const LnAdmissionState *belief = &batches->belief;

  if (!belief->desired)
    {
      refuse_not_ready (exchange);
      return false;
    }
  ln_admission_check (batches->context, belief, is_public (batches, exchange, in), in, admission);
  if (admission->error == LB_OK || kind_of (in->kind) != LN_BATCH_CALL_SUBMIT)
    return true;
  ln_admission_refuse (exchange, belief, in, admission);
  return false;
}

static bool
name_batch (LnBatchCall *call, const LnInbound *in)
{
  bool is_submission = call->kind == LN_BATCH_CALL_SUBMIT;
  const char *organisation = call->admission.organisation.name;
  const char *id = is_submission ? (in->id ? in->id : "") : in->batch;

  if (organisation[0] && !is_submission && !ln_batch_name ("", id, call->open_id))
    return false;
  return ln_batch_name (organisation, id, call->id);
}

void
ln_batch_calls_take (LnBatches *batches, LnExchange *exchange)
{
  LnBatchCall *call = NULL;
  LcAdmission admission;
  LnInbound in;
  LbTime now = lb_clock_monotonic ();

  batches->context->dialect->read_inbound (exchange, &in);
  if (!check_admission (batches, exchange, &in, &admission))
    return;
  call = LB_NEW (LnBatchCall);
  call->admission = admission;
  call->batches = batches;
  call->exchange = exchange;
  call->kind = kind_of (in.kind);
  call->position = in.position;
  call->give_up_at = now + (in.wait < MAX_WAIT ? in.wait : MAX_WAIT);
  call->retry_at = LB_TIME_NEVER;
  LB_COPY (call->item, in.item ? in.item : "");
  ln_exchange_set_user_data (exchange, call);
  lb_list_append (&batches->exchanges, &call->link);
  if (!name_batch (call, &in))
    ln_batch_call_fail (call, LB_ERROR_BAD_VALUE, "expected the id of a batch", 0);
  else if (call->kind == LN_BATCH_CALL_SUBMIT)
    ln_batch_submit (call, &in);
  else
    begin (call);
}

/* A submission goes on without its caller: the row may be on its way already. */
void
ln_batch_calls_gone (LnBatches *batches, LnExchange *exchange)
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
ln_batch_calls_tick (LnBatches *batches, LbTime now)
{
  LB_LIST_FOREACH (&batches->exchanges, LnBatchCall, link, call)
  {
    if (!call->waits_for_store && now >= call->retry_at)
      begin (call);
  }
}

void
ln_batch_calls_clear (LnBatches *batches)
{
  LB_LIST_FOREACH (&batches->exchanges, LnBatchCall, link, call)
  {
    ln_batch_call_free (call);
  }
}

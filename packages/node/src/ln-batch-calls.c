#include "lp-platform.h"

#include "ln-batches-private.h"

#include "ln-exchange-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TRIES 4
#define RETRY_PERIOD                                                                               \
  (80 * LB_MSEC) /* the store takes a few tens of milliseconds at most when it is well */
#define POLL (150 * LB_MSEC) /* between looks for a result that somebody waits for */
#define LONGEST_WAIT LB_SEC
#define PAGE_ROWS 200

static LbMetric accepted
    = LB_COUNTER_INIT ("lentilspindle_batches_accepted_total", NULL, "Batches accepted here");

typedef enum
{
  CALL_SUBMIT,
  CALL_RESULTS,
  CALL_ITEM,
  CALL_END
} CallKind;

static const char *const kind_names[] = {
  [CALL_SUBMIT] = "submit",
  [CALL_RESULTS] = "results",
  [CALL_ITEM] = "item",
  [CALL_END] = "end",
};

/* A caller's request about a batch, answered from the store alone: any instance can answer, and
 * none can say what is not kept. */
typedef struct
{
  LbLink link; /* in LnBatches.exchanges */
  LnBatches *batches;
  LnExchange *exchange; /* NULL: the caller is gone */
  CallKind kind;
  bool waits_for_store;
  LbName id;
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
} Call;

static void
call_free (Call *call)
{
  lb_list_remove (&call->batches->exchanges, &call->link);
  lc_batch_spec_clear (&call->spec);
  lc_batch_result_clear (&call->long_result);
  free (call->body);
  free (call);
}

static LpPlatform *
platform_of (const Call *call)
{
  return call->batches->context->platform;
}

static const LnDialect *
dialect_of (const Call *call)
{
  return call->batches->context->dialect;
}

static void
reply_status (Call *call, int status, const char *text, size_t length, const char *type)
{
  if (call->exchange)
    ln_exchange_reply_text (call->exchange, status, type, text, length);
  call_free (call);
}

static void
reply_error (Call *call, LbErrorCode code, const char *detail, LbTime retry_after)
{
  LbError error = { 0 };

  lb_log (LB_LOG_INFO, "batch_call_failed", LB_TEXT ("batch", call->id),
          LB_TEXT ("call", kind_names[call->kind]), LB_TEXT ("error", lb_error_name (code)),
          LB_INT ("tries", call->tries));
  lb_error_set (&error, code, call->id, "%s", detail);
  if (call->exchange)
    ln_exchange_reply_error (call->exchange, &error, retry_after);
  call_free (call);
}

static void
reply_store_away (Call *call)
{
  reply_error (call, LB_ERROR_STORE_AWAY, "the store does not answer", LN_BATCH_STORE_RETRY);
}

static bool
may_try_again (Call *call)
{
  if (++call->tries >= MAX_TRIES || !call->exchange)
    return false;
  call->retry_at = lb_clock_monotonic () + RETRY_PERIOD;
  return true;
}

static void
try_again_or_refuse (Call *call)
{
  if (!may_try_again (call))
    reply_store_away (call);
}

/* --- a batch is submitted --- */

static void
reply_accepted (Call *call)
{
  reply_status (call, 202, "{}", 2, "application/json");
}

static void
own_and_run (Call *call, int64_t version)
{
  LnBatches *batches = call->batches;
  LnBatch *batch = ln_batches_ensure (batches, call->id);
  const LnBatchPast nothing = { 0 };

  lb_metric_add (&accepted, 1);
  lb_log (LB_LOG_INFO, "batch_accepted", LB_TEXT ("batch", call->id),
          LB_INT ("items", call->spec.n_items), LB_INT ("tries", call->tries));
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
give_up_submission (Call *call)
{
  if (call->maybe_accepted)
    reply_error (call, LB_ERROR_OUTCOME_UNKNOWN, "the store did not say whether it took the batch",
                 0);
  else
    reply_store_away (call);
}

static void
on_head_written (LbErrorCode error, const LpRow *row, void *user)
{
  Call *call = user;
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
      if (!may_try_again (call))
        {
          ln_batch_heads_review (batch);
          give_up_submission (call);
        }
    }
}

static void
write_head (Call *call)
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
  platform_of (call)->klass->transact (platform_of (call), &transaction, LP_PRIORITY_LEDGER,
                                       on_head_written, call);
  json_object_put (object);
}

static void
on_content_stored (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  (void)bytes;
  (void)length;
  Call *call = user;

  call->waits_for_store = false;
  if (error == LB_OK)
    {
      call->stored = true;
      write_head (call);
    }
  else
    try_again_or_refuse (call);
}

/* The content first: a row without it would be a batch that nobody can run. */
static void
store_content (Call *call)
{
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_object_key (call->id, key);
  call->waits_for_store = true;
  platform_of (call)->klass->put_object (platform_of (call), key, call->body, call->body_length,
                                         on_content_stored, call);
}

static void
continue_submission (Call *call)
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

/* Where the model's youngest batch went; "" when none is known. */
static const char *
last_runner (const LnBatches *batches, const char *model)
{
  const LnBatch *last = NULL;

  for (const LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (strcmp (batch->head.model, model) == 0 && (!last || batch->version > last->version))
      last = batch;
  return last ? lc_batch_head_runner (&last->head) : "";
}

static void
choose_owner (Call *call)
{
  size_t n;
  LbName *names = ln_batches_candidates (call->batches, &n);
  const char *last = last_runner (call->batches, call->spec.model);

  LB_COPY (call->head.preferred, lc_batch_head_choose (call->spec.model, last, names, n));
  free (names);
}

static void
begin_submission (Call *call, const LnInbound *in)
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
  if (!dialect_of (call)->read_batch (body, length, call->id, &call->spec, &error))
    {
      reply_error (call, error.code, error.detail, 0);
      return;
    }
  call->body = lb_memdup (body, length + 1);
  call->body_length = length;
  LB_COPY (call->head.batch, call->id);
  LB_COPY (call->head.owner, context->instance);
  LB_COPY (call->head.incarnation, context->incarnation);
  LB_COPY (call->head.host, in->host);
  LB_COPY (call->head.path, ln_exchange_path (call->exchange));
  LB_COPY (call->head.model, call->spec.model);
  call->head.tokens = expected_tokens (&call->spec);
  choose_owner (call);
  call->head.epoch = 1;
  call->head.total = (int64_t)call->spec.n_items;
  store_content (call);
}

/* The batch, or NULL after a reply that there is none: what an ended batch left may be removed
 * while a call about it waits for the store. */
static LnBatch *
find_batch_or_reply (Call *call)
{
  LnBatch *batch = ln_batches_find (call->batches, call->id);

  if (!batch)
    reply_error (call, LB_ERROR_NOT_FOUND, "no such batch", 0);
  return batch;
}

/* --- results are read --- */

static void
reply_results (Call *call, const LcBatchResult *results, size_t n_results)
{
  const LnBatch *batch = find_batch_or_reply (call);
  size_t length;

  if (!batch)
    return;
  char *text = dialect_of (call)->write_results (batch->head.total, call->position, results,
                                                 n_results, &length);
  reply_status (call, 200, text, length, "application/json");
  free (text);
}

static void
on_pieces (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Call *call = user;
  size_t length = 0;

  call->waits_for_store = false;
  if (error != LB_OK || n_rows < call->n_pieces)
    {
      try_again_or_refuse (call);
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
read_pieces (Call *call, LcBatchResult *result, size_t n_pieces)
{
  char prefix[LN_BATCH_KEY_SIZE];

  lc_batch_result_clear (&call->long_result);
  call->long_result = *result;
  memset (result, 0, sizeof *result);
  call->n_pieces = n_pieces;
  ln_batch_text_prefix (call->id, call->position, prefix);
  call->waits_for_store = true;
  platform_of (call)->klass->list (platform_of (call), prefix, NULL, 0, on_pieces, call);
}

/* Up to the first whose text lies elsewhere. */
static void
answer_rows (Call *call, const LpRow *rows, size_t n_rows)
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
  Call *call = user;
  LbTime now = lb_clock_monotonic ();

  call->waits_for_store = false;
  if (error != LB_OK)
    {
      try_again_or_refuse (call);
      return;
    }
  if (n_rows == 0 && now < call->give_up_at && call->exchange)
    call->retry_at = now + POLL;
  else
    answer_rows (call, rows, n_rows);
}

static void
read_results (Call *call)
{
  char prefix[LN_BATCH_KEY_SIZE];
  char from[16];

  ln_batch_result_prefix (call->id, prefix);
  snprintf (from, sizeof from, "%06lld", (long long)call->position);
  call->waits_for_store = true;
  platform_of (call)->klass->list (platform_of (call), prefix, from, PAGE_ROWS, on_results, call);
}

/* --- an item's body is read --- */

static void
on_content (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Call *call = user;
  LbError problem = { 0 };

  call->waits_for_store = false;
  if (error == LB_ERROR_NOT_FOUND)
    {
      reply_error (call, LB_ERROR_NOT_FOUND, "no such batch", 0);
      return;
    }
  if (error == LB_OK
      && !dialect_of (call)->read_batch (bytes, length, call->id, &call->spec, &problem))
    error = problem.code;
  if (error != LB_OK)
    {
      try_again_or_refuse (call);
      return;
    }
  for (size_t i = 0; i < call->spec.n_items; i++)
    {
      const LcOutgoing *request = &call->spec.items[i].request;
      if (strcmp (request->id, call->item) != 0)
        continue;
      reply_status (call, 200, request->body, request->body_length, "application/octet-stream");
      return;
    }
  reply_error (call, LB_ERROR_NOT_FOUND, "no such item", 0);
}

static void
read_item (Call *call)
{
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_object_key (call->id, key);
  call->waits_for_store = true;
  platform_of (call)->klass->get_object (platform_of (call), key, on_content, call);
}

/* --- a batch is ended --- */

static void
reply_ended (Call *call)
{
  reply_status (call, 200, "{}", 2, "application/json");
}

static void
on_ended (LbErrorCode error, const LpRow *row, void *user)
{
  Call *call = user;
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
  try_again_or_refuse (call);
}

static void
end_batch (Call *call)
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
go_on (Call *call)
{
  switch (call->kind)
    {
    case CALL_SUBMIT:
      continue_submission (call);
      break;
    case CALL_RESULTS:
      read_results (call);
      break;
    case CALL_ITEM:
      read_item (call);
      break;
    case CALL_END:
      end_batch (call);
      break;
    }
}

/* Whether there is such a batch. Another instance may have accepted it a moment ago, so only the
 * store can say no. */
static void
on_head (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Call *call = user;

  call->waits_for_store = false;
  if (error == LB_ERROR_NOT_FOUND)
    {
      reply_error (call, LB_ERROR_NOT_FOUND, "no such batch", 0);
      return;
    }
  if (error == LB_OK && n_rows > 0 && ln_batch_heads_take (call->batches, &rows[0]))
    {
      go_on (call);
      return;
    }
  try_again_or_refuse (call);
}

static void
begin (Call *call)
{
  const LnBatch *batch = ln_batches_find (call->batches, call->id);
  char key[LN_BATCH_KEY_SIZE];

  call->retry_at = LB_TIME_NEVER;
  if (call->kind == CALL_SUBMIT || call->kind == CALL_ITEM || (batch && batch->version > 0))
    {
      go_on (call);
      return;
    }
  ln_batch_head_key (call->id, key);
  call->waits_for_store = true;
  platform_of (call)->klass->get (platform_of (call), key, on_head, call);
}

static CallKind
kind_of (LnInboundKind kind)
{
  switch (kind)
    {
    case LN_INBOUND_RESULTS:
      return CALL_RESULTS;
    case LN_INBOUND_ITEM:
      return CALL_ITEM;
    case LN_INBOUND_END:
      return CALL_END;
    default:
      return CALL_SUBMIT;
    }
}

void
ln_batch_calls_take (LnBatches *batches, LnExchange *exchange)
{
  Call *call = LB_NEW (Call);
  LnInbound in;
  LbTime now = lb_clock_monotonic ();

  batches->context->dialect->read_inbound (exchange, &in);
  call->batches = batches;
  call->exchange = exchange;
  call->kind = kind_of (in.kind);
  call->position = in.position;
  call->give_up_at = now + (in.wait < LONGEST_WAIT ? in.wait : LONGEST_WAIT);
  call->retry_at = LB_TIME_NEVER;
  LB_COPY (call->id, call->kind == CALL_SUBMIT ? (in.id ? in.id : "") : in.batch);
  LB_COPY (call->item, in.item ? in.item : "");
  ln_exchange_set_user (exchange, call);
  lb_list_append (&batches->exchanges, &call->link);
  if (call->id[0] == '\0' || strchr (call->id, '/'))
    reply_error (call, LB_ERROR_BAD_VALUE, "expected the id of a batch", 0);
  else if (call->kind == CALL_SUBMIT)
    begin_submission (call, &in);
  else
    begin (call);
}

/* A submission goes on without its caller: the row may be on its way already. */
void
ln_batch_calls_gone (LnBatches *batches, LnExchange *exchange)
{
  (void)batches;
  Call *call = ln_exchange_user (exchange);

  if (!call)
    return;
  ln_exchange_end (exchange);
  call->exchange = NULL;
  if (!call->waits_for_store)
    call_free (call);
}

void
ln_batch_calls_tick (LnBatches *batches, LbTime now)
{
  LB_LIST_FOREACH (&batches->exchanges, Call, link, call)
  {
    if (!call->waits_for_store && now >= call->retry_at)
      begin (call);
  }
}

void
ln_batch_calls_clear (LnBatches *batches)
{
  LB_LIST_FOREACH (&batches->exchanges, Call, link, call)
  {
    call_free (call);
  }
}

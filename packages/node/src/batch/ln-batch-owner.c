#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lb-switch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_ATTEMPTS 3
/* A text without its first event goes to a second engine: several times the usual 0.15 s. An engine
 * that has gone dark would hold it until its stream counts as broken, 2 s of a step's 8. */
#define TEXT_HEDGE (600 * LB_MSEC)
#define SCORE_TIME (2 * LB_SEC) /* for a scorer whose route states no time */
/* Of one transaction, by the store. LcBatch gives at most 40 results at once, and 400 KiB of text
 * or a single one: 81 rows and conditions and at most 13 pieces. */
#define MAX_ENTRIES 100
/* What one transaction can carry: 1 MB, of which encoding takes a quarter. */
#define MAX_TEXT_BYTES ((size_t)(700 << 10))

static LbMetric listed = LB_COUNTER_INIT ("lentilspindle_batch_results_total",
                                          NULL,
                                          "Results of items that were written to the store");

/* --- requests --- */

static void
remember (LnBatch *batch, LcRequestId id, bool is_score)
{
  LnBatchRequest *request = LB_NEW (LnBatchRequest);

  request->request = id;
  request->batch = batch;
  request->is_score = is_score;
  HASH_ADD (hh, batch->batches->requests, request, sizeof request->request, request);
}

static LnBatchRequest *
find_request (LnBatches *batches, LcRequestId id)
{
  LnBatchRequest *request = NULL;

  HASH_FIND (hh, batches->requests, &id, sizeof id, request);
  return request;
}

static void
forget (LnBatches *batches, LnBatchRequest *request)
{
  HASH_DEL (batches->requests, request);
  free (request);
}

static const LcRoute *
route_of (const LnBatch *batch)
{
  const LcDesired *desired = batch->batches->belief.desired;

  return desired ? lc_desired_match_route (desired, batch->head.host, batch->head.path) : NULL;
}

static int64_t
tokens_per_event (const LnBatch *batch)
{
  const LcRoute *route = route_of (batch);
  const LcService *service = route ? lc_desired_find_service (batch->batches->belief.desired,
                                                              lc_route_choose_service (route, 0))
                                   : NULL;

  return service && service->tokens_per_event > 0 ? service->tokens_per_event : 1;
}

static void
clear_sample (LnMessage *base)
{
  LnSampleMessage *message = (LnSampleMessage *)base;

  if (message->outgoing)
    lc_outgoing_clear (message->outgoing);
  free (message->outgoing);
}

/* organisation: whose name the endpoint is told; "": none. */
static void
submit (LnBatch *batch,
        const LcRequestSpec *spec,
        const LcOutgoing *outgoing,
        const char *organisation)
{
  LnSampleMessage message = { .base = LN_MESSAGE (LN_SAMPLE), .spec = *spec };
  LnTask *calls = ln_hub_find_task (batch->batches->task.hub, "calls");

  message.outgoing = LB_NEW (LcOutgoing);
  lc_outgoing_copy (message.outgoing, outgoing);
  if (!message.outgoing->host)
    message.outgoing->host = lb_strdup (batch->head.host);
  LB_COPY (message.organisation, organisation);
  message.base.clear = clear_sample;
  LN_POST (batch->batches->task.hub, calls, message);
}

/* All steps of a trainer share as one, so that the order is by what is wanted first. Lengths count
 * in events, the pieces in which engines hand out a text. */
static void
run_item (LnBatch *batch, const LcBatchAction *action)
{
  const LcBatchSpec *spec = lc_batch_get_spec (batch->run);
  const LcBatchItemSpec *item = &spec->items[action->item_index];
  LcRequestSpec request = { .id = action->request,
                            .kind = LC_KIND_SAMPLE,
                            .delivery = LC_DELIVER_STREAM,
                            .repeatable = true,
                            .resumable = true,
                            .failure_is_final = true,
                            .hedge_after = lb_switch_is_on (LB_SWITCH_HEDGING) ? TEXT_HEDGE : 0,
                            .organisation_priority = (int)batch->head.organisation_priority,
                            .latest_start = action->latest_start,
                            .soft_deadline = action->due_at,
                            .prompt_tokens = item->prompt_tokens,
                            .expected_tokens = action->remaining_events,
                            .min_version = spec->min_version,
                            .deadline = LB_TIME_NEVER,
                            .resume_at = action->resume_at,
                            .n_avoid = action->avoid_endpoint[0] ? 1 : 0,
                            .n_prefix_hashes = item->n_prefix_hashes };

  LB_COPY (request.pool, spec->model);
  LB_COPY (request.caller, batch->id);
  LB_COPY (request.flow, spec->model);
  LB_COPY (request.avoid[0], action->avoid_endpoint);
  memcpy (request.prefix_hashes, item->prefix_hashes, sizeof request.prefix_hashes);
  remember (batch, action->request, false);
  submit (batch, &request, &item->request, batch->head.organisation);
}

static void
fail_request (LnBatch *batch, LcRequestId id, LbErrorCode code)
{
  LnSampleDoneMessage message
      = { .base = LN_MESSAGE (LN_SAMPLE_DONE), .request = id, .error = code };

  LN_POST (batch->batches->task.hub, &batch->batches->task, message);
}

static void
score_item (LnBatch *batch, const LcBatchAction *action)
{
  const LcBatchItemSpec *item = &lc_batch_get_spec (batch->run)->items[action->item_index];
  const LcDesired *desired = batch->batches->belief.desired;
  const LcRoute *route
      = desired ? lc_desired_match_route (desired, item->scorer.host, item->scorer.path) : NULL;
  LcRequestSpec request = { .id = action->request,
                            .kind = LC_KIND_SERVICE,
                            .delivery = LC_DELIVER_BUFFERED,
                            .repeatable = true,
                            .expected_tokens = 1 };

  remember (batch, action->request, true);
  if (!route)
    {
      fail_request (batch, action->request, LB_ERROR_UNKNOWN_PATH);
      return;
    }
  request.priority = route->priority;
  request.max_attempts = route->max_attempts;
  request.hedge_after = lc_route_hedge_delay (route);
  request.deadline = lb_clock_monotonic () + (route->timeout > 0 ? route->timeout : SCORE_TIME);
  LB_COPY (request.caller, route->name);
  LB_COPY (request.pool,
           lc_route_choose_service (route, ln_context_random_uniform (batch->batches->context)));
  submit (batch, &request, &item->scorer, "");
}

/* The text so far comes back with the answer. */
static void
recall_request (LnBatch *batch, LcRequestId id)
{
  LnSampleCancelMessage message
      = { .base = LN_MESSAGE (LN_SAMPLE_CANCEL), .request = id, .return_partial = true };

  LN_POST (batch->batches->task.hub, ln_hub_find_task (batch->batches->task.hub, "calls"), message);
}

static void
stop_request (LnBatch *batch, LcRequestId id)
{
  LnSampleCancelMessage message = { .base = LN_MESSAGE (LN_SAMPLE_CANCEL), .request = id };
  LnBatchRequest *request = find_request (batch->batches, id);

  if (!request)
    return;
  forget (batch->batches, request);
  LN_POST (batch->batches->task.hub, ln_hub_find_task (batch->batches->task.hub, "calls"), message);
}

/* --- writing results --- */

static void carry_out (LnBatch *batch, LbList *actions);

/* A write on its way. The batch may be lost, and even be owned again, before it is answered: then
 * the answer is about another run's results. */
typedef struct
{
  LnBatch *batch;
  const LcBatch *run;
  int64_t epoch;
} Write;

static Write *
write_new (LnBatch *batch)
{
  Write *write = LB_NEW (Write);

  *write = (Write){ .batch = batch, .run = batch->run, .epoch = batch->head.epoch };
  return write;
}

/* Whether its answer is about what runs now. */
static bool
is_current (const Write *write)
{
  const LnBatch *batch = write->batch;

  return batch->run && batch->run == write->run && batch->head.epoch == write->epoch;
}

static void
finish_write (Write *write, bool ok)
{
  LnBatch *batch = write->batch;
  LbList actions;

  if (is_current (write))
    {
      lb_list_init (&actions);
      lc_batch_finish_write (batch->run, ok, lb_clock_monotonic (), &actions);
      carry_out (batch, &actions);
    }
  free (write);
}

/* The row of the batch is as it was, so the condition that failed is that the positions are free:
 * an earlier try of this very write was carried out. Nobody else can have written there. */
static void
on_head_read (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  Write *write = user;
  LnBatch *batch = write->batch;
  bool unchanged = error == LB_OK && n_rows > 0 && rows[0].version == batch->version;

  if (error == LB_OK && n_rows > 0 && !unchanged)
    ln_batch_heads_take (batch->batches, &rows[0]);
  finish_write (write, unchanged);
}

static void
on_results_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Write *write = user;
  LnBatch *batch = write->batch;
  LpPlatform *platform = batch->batches->context->platform;
  char key[LN_BATCH_KEY_SIZE];

  if (error == LB_ERROR_CONDITION_FAILED)
    {
      ln_batch_head_key (batch->id, key);
      platform->klass->get (platform, key, on_head_read, write);
      return;
    }
  if (error != LB_OK)
    lb_log (LB_LOG_WARNING, "results_not_written", LB_TEXT ("batch", batch->id),
            LB_TEXT ("error", lb_error_name (error)));
  finish_write (write, error == LB_OK);
}

typedef struct
{
  LpPut puts[MAX_ENTRIES];
  size_t n_puts;
  LpCondition conditions[MAX_ENTRIES];
  size_t n_conditions;
} Entries;

static void
entries_clear (Entries *entries)
{
  ln_batch_owner_clear_puts (entries->puts, entries->n_puts);
}

/* A text that one row can't hold goes in pieces beside its result's row, in the same transaction.
 */
static size_t
add_pieces (Entries *entries, const LnBatch *batch, int64_t position, const char *text)
{
  size_t length = strlen (text);
  size_t n = 0;
  char prefix[LN_BATCH_KEY_SIZE];

  ln_batch_text_prefix (batch->id, position, prefix);
  for (size_t start = 0; start < length; start += LN_BATCH_ROW_BYTES, n++)
    entries->puts[entries->n_puts++]
        = (LpPut){ .key = lb_asprintf ("%s%02zu", prefix, n),
                   .value = lb_strndup (text + start, LN_BATCH_ROW_BYTES) };
  return n;
}

/* Without a place for it the batch would never be whole, and nothing behind it would be listed. */
static char *
give_up_text (const LnBatch *batch, const LcBatchResult *result)
{
  LcBatchResult failed = *result;

  lb_log (LB_LOG_ERROR, "item_given_up", LB_TEXT ("batch", batch->id),
          LB_TEXT ("item", result->item), LB_TEXT ("error", "text_too_long"),
          LB_INT ("bytes", strlen (result->text)));
  failed.completed = false;
  failed.text = NULL;
  return ln_batch_result_to_text (&failed);
}

static void
add_result (Entries *entries, const LnBatch *batch, int64_t position, const LcBatchResult *result)
{
  char prefix[LN_BATCH_KEY_SIZE];
  char *value = ln_batch_result_to_text (result);

  if (strlen (value) > LN_BATCH_ROW_BYTES)
    {
      free (value);
      value = strlen (result->text) > MAX_TEXT_BYTES
                  ? give_up_text (batch, result)
                  : ln_batch_result_without_text (result, add_pieces (entries, batch, position,
                                                                      result->text));
    }
  ln_batch_result_prefix (batch->id, prefix);
  char *key = lb_asprintf ("%s%06lld", prefix, (long long)position);
  entries->puts[entries->n_puts++] = (LpPut){ .key = key, .value = value };
  entries->conditions[entries->n_conditions++] = (LpCondition){ .key = key, .version = 0 };
}

static void
write_results (LnBatch *batch, const LcBatchAction *action)
{
  LpPlatform *platform = batch->batches->context->platform;
  char head[LN_BATCH_KEY_SIZE];
  Write *write = write_new (batch);
  Entries entries = { .n_conditions = 1 };

  ln_batch_head_key (batch->id, head);
  entries.conditions[0] = (LpCondition){ .key = head, .version = batch->version };
  for (size_t i = 0; i < action->n_results; i++)
    add_result (&entries, batch, action->first_position + (int64_t)i, action->results[i]);
  const LpTransaction transaction = { .token = "",
                                      .conditions = entries.conditions,
                                      .n_conditions = entries.n_conditions,
                                      .puts = entries.puts,
                                      .n_puts = entries.n_puts };
  lb_metric_add (&listed, (int64_t)action->n_results);
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_results_written, write);
  entries_clear (&entries);
}

size_t
ln_batch_owner_puts (const LnBatch *batch, const LcBatchAction *action, LpPut *puts, size_t max)
{
  char prefix[LN_BATCH_KEY_SIZE];
  size_t n = 0;

  ln_batch_part_prefix (batch->id, prefix);
  for (size_t i = 0; i < action->n_parts && n < max; i++)
    {
      char *value = ln_batch_part_to_text (&action->parts[i]);
      if (strlen (value) > LN_BATCH_ROW_BYTES)
        {
          free (value);
          continue;
        }
      puts[n].key = lb_asprintf ("%s%s:%04lld:%06lld", prefix, action->parts[i].item,
                                 (long long)action->parts[i].restarts,
                                 (long long)action->parts[i].first_event);
      puts[n++].value = value;
    }
  return n;
}

void
ln_batch_owner_clear_puts (LpPut *puts, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      free ((char *)puts[i].key);
      free ((char *)puts[i].value);
    }
}

/* The texts so far are a convenience: a write that fails is made good by the next. */
static void
on_kept (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  Write *write = user;

  if (error != LB_OK)
    lb_log (LB_LOG_DEBUG, "texts_not_kept", LB_TEXT ("error", lb_error_name (error)));
  if (is_current (write))
    lc_batch_finish_checkpoint (write->batch->run, error == LB_OK);
  free (write);
}

static void
keep_parts (LnBatch *batch, const LcBatchAction *action)
{
  LpPut puts[LN_BATCH_MAX_PARTS];
  size_t n = ln_batch_owner_puts (batch, action, puts, LN_BATCH_MAX_PARTS);

  if (n > 0)
    ln_batch_heads_transact (batch, puts, n, LP_PRIORITY_STATUS, on_kept, write_new (batch));
  else
    lc_batch_finish_checkpoint (batch->run, true);
  ln_batch_owner_clear_puts (puts, n);
}

static void
carry_out (LnBatch *batch, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      switch (action->type)
        {
        case LC_BATCH_GENERATE:
          run_item (batch, action);
          break;
        case LC_BATCH_SCORE:
          score_item (batch, action);
          break;
        case LC_BATCH_CANCEL:
          stop_request (batch, action->request);
          break;
        case LC_BATCH_PREEMPT:
          recall_request (batch, action->request);
          break;
        case LC_BATCH_CHECKPOINT:
          keep_parts (batch, action);
          break;
        case LC_BATCH_WRITE_RESULTS:
          write_results (batch, action);
          break;
        }
      lc_batch_action_free (action);
    }
}

/* --- from owning to running --- */

static LcRequestId
next_id (void *user)
{
  return ln_context_next_request_id (user);
}

void
ln_batch_owner_run (LnBatch *batch, LcBatchSpec *spec, const LnBatchPast *past)
{
  const LcRoute *route = route_of (batch);
  LcBatchSettings settings = { .history = ln_batches_history (batch->batches, spec->model),
                               .text_cache = lb_switch_is_on (LB_SWITCH_CARRIED_TEXTS)
                                                 ? ln_batches_carried (batch->batches, spec->model)
                                                 : NULL,
                               .tokens_per_event = tokens_per_event (batch),
                               .max_failures = route ? route->max_attempts : DEFAULT_ATTEMPTS,
                               .max_score_failures = DEFAULT_ATTEMPTS + 1,
                               .resumable = !route || route->resumable,
                               .single_version = route && route->single_version,
                               .due_at = batch->first_seen + (route ? route->due_after : 0),
                               .deadline = LB_TIME_NEVER,
                               .next_request_id = next_id,
                               .user = batch->batches->context };
  LbList actions;

  if (route && route->item_expiry > 0)
    settings.deadline = batch->first_seen + route->item_expiry;
  lb_log (LB_LOG_INFO, "batch_running", LB_TEXT ("batch", batch->id),
          LB_TEXT ("model", spec->model), LB_INT ("step", spec->step),
          LB_INT ("min_version", spec->min_version), LB_INT ("items", spec->n_items),
          LB_INT ("listed", past->n_listed), LB_INT ("begun", past->n_parts),
          LB_INT ("epoch", batch->head.epoch));
  LB_COPY (spec->organisation, batch->head.organisation);
  batch->held = LN_HELD_RUNNING;
  ln_batches_note_owned (batch->batches, true);
  batch->run = lc_batch_new (spec, &settings);
  for (size_t i = 0; i < past->n_listed; i++)
    lc_batch_mark_listed (batch->run, past->listed[i]);
  for (size_t i = 0; i < past->n_parts; i++)
    lc_batch_restore_text_part (batch->run, &past->parts[i]);
  lb_list_init (&actions);
  lc_batch_start (batch->run, lb_clock_monotonic (), &actions);
  carry_out (batch, &actions);
}

void
ln_batch_owner_stop (LnBatch *batch)
{
  LnBatchRequest *request, *next;
  LbList actions;

  batch->held = LN_HELD_NOT;
  if (!batch->run)
    return;
  lb_log (LB_LOG_INFO, "batch_stopped", LB_TEXT ("batch", batch->id),
          LB_INT ("listed", lc_batch_count_listed (batch->run)),
          LB_BOOL ("ended", batch->head.ended));
  lb_list_init (&actions);
  lc_batch_stop (batch->run, lb_clock_monotonic (), &actions);
  carry_out (batch, &actions);
  HASH_ITER (hh, batch->batches->requests, request, next)
  {
    if (request->batch == batch)
      forget (batch->batches, request);
  }
  lc_batch_free (batch->run);
  batch->run = NULL;
}

void
ln_batch_owner_tick (LnBatch *batch, LbTime now)
{
  LbList actions;

  if (batch->held == LN_HELD_LOADING && now >= batch->retry_at)
    ln_batch_load (batch);
  if (batch->held != LN_HELD_RUNNING || now < lc_batch_next_tick_at (batch->run))
    return;
  lb_list_init (&actions);
  lc_batch_tick (batch->run, now, &actions);
  carry_out (batch, &actions);
}

void
ln_batch_owner_piece (LnBatches *batches, const LnSamplePieceMessage *message)
{
  const LnBatchRequest *request = find_request (batches, message->request);

  if (request && request->batch->run)
    lc_batch_add_piece (request->batch->run, message->request, message->piece.version,
                        message->endpoint, message->text ? message->text : "",
                        lb_clock_monotonic ());
}

void
ln_batch_owner_done (LnBatches *batches, const LnSampleDoneMessage *message)
{
  LnBatchRequest *request = find_request (batches, message->request);
  LnBatch *batch = request ? request->batch : NULL;
  bool is_score = request && request->is_score;
  LbTime now = lb_clock_monotonic ();
  LbList actions;

  if (!request)
    return;
  forget (batches, request);
  if (!batch->run)
    return;
  lb_list_init (&actions);
  if (is_score)
    lc_batch_finish_scoring (batch->run, message->request, message->error,
                             message->text ? message->text : "", now, &actions);
  else
    lc_batch_finish_generation (batch->run, message->request, message->error, now, &actions);
  carry_out (batch, &actions);
}

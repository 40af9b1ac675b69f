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
#include <xxhash.h>

/* Priority of texts of groups that can't be completed; other texts have 0. */
#define INCOMPLETE_GROUP_PRIORITY (-1)
#define DEFAULT_MAX_ITEM_ATTEMPTS 3
/* A text that has no first event after this time is hedged on a second engine. The first event
 * usually takes 0.15 s. Without the hedge, an unresponsive engine delays the text until its stream
 * is considered broken, which takes 2 s of the 8 s of a training step. */
#define TEXT_HEDGE_DELAY (600 * LB_MSEC)
#define DEFAULT_SCORE_TIMEOUT (2 * LB_SEC) /* used if the scorer's route has no timeout */
/* Maximum number of entries that the store accepts in one transaction. LcBatch writes at most 40
 * results at once, with at most 400 KiB of text unless it writes a single result: 81 rows and
 * conditions, and up to 13 chunks of text. */
#define MAX_TRANSACTION_ENTRIES 100
/* Maximum size of a text that is stored in chunks. The store accepts 1 MB per transaction, of which
 * the encoding takes a quarter. */
#define MAX_STORED_TEXT_BYTES ((size_t)(700 << 10))

static LbMetric results_written
    = LB_COUNTER_INIT ("lentilspindle_batch_results_total",
                       NULL,
                       "Results of items that were written to the store");

/* --- generation and scoring requests --- */

/* service: service whose engines generate the text; NULL: the request scores a text. */
static void
add_batch_request (LnBatch *batch, LcRequestId id, const char *service)
{
  LnBatchRequest *request = LB_NEW (LnBatchRequest);
  bool is_score = service == NULL;

  LB_COPY (request->service, is_score ? "" : service);

  request->request = id;
  request->batch = batch;
  request->is_score = is_score;
  HASH_ADD (hh, batch->batches->requests, request, sizeof request->request, request);
}

static LnBatchRequest *
find_batch_request (LnBatches *batches, LcRequestId id)
{
  LnBatchRequest *request = NULL;

  HASH_FIND (hh, batches->requests, &id, sizeof id, request);
  return request;
}

static void
remove_batch_request (LnBatches *batches, LnBatchRequest *request)
{
  HASH_DEL (batches->requests, request);
  free (request);
}

const LcRoute *
ln_batches_find_route (const LnBatches *batches, const LcBatchHead *head)
{
  const LcDesired *desired = batches->admission_state.desired;

  return desired ? lc_desired_match_route (desired, head->host, head->path) : NULL;
}

static const LcRoute *
find_batch_route (const LnBatch *batch)
{
  return ln_batches_find_route (batch->batches, &batch->head);
}

/* Returns the service whose engines generate the item's text. Engines of other services may hold
 * the same model, but the route does not lead to them. The choice among the services of a split
 * route depends only on the item, so that a text is continued at the service where it began. A
 * batch whose route was removed goes on at the last service of the route. Returns "" if no route
 * was known yet: no engine belongs to that service, so the request fails and is retried. */
static const char *
choose_generation_service (LnBatch *batch, const LcBatchItemSpec *item)
{
  const LcRoute *route = find_batch_route (batch);
  uint64_t hash = XXH3_64bits (item->request.id, strlen (item->request.id));

  if (route)
    LB_COPY (batch->service, lc_route_choose_service (route, (double)hash / (double)UINT64_MAX));
  return batch->service;
}

static int64_t
get_service_tokens_per_event (const LnBatch *batch)
{
  const LcRoute *route = find_batch_route (batch);
  const LcService *service = route
                                 ? lc_desired_find_service (batch->batches->admission_state.desired,
                                                            lc_route_choose_service (route, 0))
                                 : NULL;

  return service && service->tokens_per_event > 0 ? service->tokens_per_event : 1;
}

static void
clear_sample_message (LnMessage *base)
{
  LnSampleMessage *message = (LnSampleMessage *)base;

  if (message->outgoing)
    lc_outgoing_request_clear (message->outgoing);
  free (message->outgoing);
}

/* Posts a request to the task "calls". organisation is the name to send to the endpoint; "" if
 * there is none. */
static void
post_request_to_calls (LnBatch *batch,
                       const LcRequestSpec *spec,
                       const LcOutgoingRequest *outgoing,
                       const char *organisation)
{
  LnSampleMessage message = { .base = LN_MESSAGE (LN_SAMPLE), .spec = *spec };
  LnTask *calls = ln_hub_find_task (batch->batches->task.hub, "calls");

  message.outgoing = LB_NEW (LcOutgoingRequest);
  lc_outgoing_request_copy (message.outgoing, outgoing);
  if (!message.outgoing->host)
    message.outgoing->host = lb_strdup (batch->head.host);
  LB_COPY (message.organisation, organisation);
  message.base.clear = clear_sample_message;
  LN_POST (batch->batches->task.hub, calls, message);
}

/* Requests a text from an engine. Fair queueing treats all batches of a model as one flow, which is
 * ordered by due time. expected_tokens and resume_at count events, the pieces of text that an
 * engine streams. */
static void
request_text_generation (LnBatch *batch, const LcBatchAction *action)
{
  const LcBatchSpec *spec = lc_batch_get_spec (batch->run);
  const LcBatchItemSpec *item = &spec->items[action->item_index];
  LcRequestSpec request
      = { .id = action->request,
          .kind = LC_KIND_SAMPLE,
          .delivery = LC_DELIVER_STREAM,
          .repeatable = true,
          .resumable = true,
          .failure_is_final = true,
          .hedge_after = lb_switch_is_on (LB_SWITCH_HEDGING) ? TEXT_HEDGE_DELAY : 0,
          .organisation_priority = (int)batch->head.organisation_priority,
          .priority = action->is_group_incomplete ? INCOMPLETE_GROUP_PRIORITY : 0,
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
  LB_COPY (request.service, choose_generation_service (batch, item));
  LB_COPY (request.caller, batch->id);
  LB_COPY (request.flow, spec->model);
  LB_COPY (request.avoid[0], action->avoid_endpoint);
  LB_COPY (request.preferred_endpoint, action->preferred_endpoint);
  memcpy (request.prefix_hashes, item->prefix_hashes, sizeof request.prefix_hashes);
  add_batch_request (batch, action->request, request.service);
  post_request_to_calls (batch, &request, &item->request, batch->head.organisation);
}

static void
post_request_failure (LnBatch *batch, LcRequestId id, LbErrorCode code)
{
  LnSampleDoneMessage message
      = { .base = LN_MESSAGE (LN_SAMPLE_DONE), .request = id, .error = code };

  LN_POST (batch->batches->task.hub, &batch->batches->task, message);
}

static void
request_text_scoring (LnBatch *batch, const LcBatchAction *action)
{
  const LcBatchItemSpec *item = &lc_batch_get_spec (batch->run)->items[action->item_index];
  const LcDesired *desired = batch->batches->admission_state.desired;
  const LcRoute *route
      = desired ? lc_desired_match_route (desired, item->scorer.host, item->scorer.path) : NULL;
  LcRequestSpec request = { .id = action->request,
                            .kind = LC_KIND_SERVICE,
                            .delivery = LC_DELIVER_BUFFERED,
                            .repeatable = true,
                            .expected_tokens = 1 };

  add_batch_request (batch, action->request, NULL);
  if (!route)
    {
      post_request_failure (batch, action->request, LB_ERROR_UNKNOWN_PATH);
      return;
    }
  request.priority = route->priority;
  request.max_attempts = route->max_attempts;
  request.hedge_after = lc_route_hedge_delay (route);
  request.deadline
      = lb_clock_monotonic () + (route->timeout > 0 ? route->timeout : DEFAULT_SCORE_TIMEOUT);
  LB_COPY (request.caller, route->name);
  LB_COPY (request.pool,
           lc_route_choose_service (route, ln_context_random_uniform (batch->batches->context)));
  post_request_to_calls (batch, &request, &item->scorer, "");
}

/* Cancels a request and asks for its partial text: the task "calls" first posts all received pieces
 * of the text, then the end of the request. If a move decision is needed, the task "calls"
 * may refuse the move and let the request run on. */
static void
preempt_request (LnBatch *batch, const LcBatchAction *action)
{
  LnSampleCancelMessage message = { .base = LN_MESSAGE (LN_SAMPLE_CANCEL),
                                    .request = action->request,
                                    .return_partial = true,
                                    .needs_move_decision = action->needs_move_decision,
                                    .move = action->move };

  LN_POST (batch->batches->task.hub, ln_hub_find_task (batch->batches->task.hub, "calls"), message);
}

static bool
route_leads_to_service (const LcRoute *route, const char *service)
{
  for (size_t i = 0; i < route->n_targets; i++)
    if (route->targets[i].weight > 0 && strcmp (route->targets[i].service, service) == 0)
      return true;
  return false;
}

/* Takes back the texts that wait for a service to which their route no longer leads, so that they
 * are requested again at a service of the route. Texts that an engine has begun run on there. */
void
ln_batch_owner_reroute_waiting_texts (LnBatches *batches)
{
  LnTask *calls = ln_hub_find_task (batches->task.hub, "calls");

  for (const LnBatchRequest *request = batches->requests; request; request = request->hh.next)
    {
      const LcRoute *route = find_batch_route (request->batch);
      LnSampleCancelMessage message = { .base = LN_MESSAGE (LN_SAMPLE_CANCEL),
                                        .request = request->request,
                                        .return_partial = true,
                                        .only_if_waiting = true };

      if (!request->is_score && route && !route_leads_to_service (route, request->service))
        LN_POST (batches->task.hub, calls, message);
    }
}

static void
cancel_request (LnBatch *batch, LcRequestId id)
{
  LnSampleCancelMessage message = { .base = LN_MESSAGE (LN_SAMPLE_CANCEL), .request = id };
  LnBatchRequest *request = find_batch_request (batch->batches, id);

  if (!request)
    return;
  remove_batch_request (batch->batches, request);
  LN_POST (batch->batches->task.hub, ln_hub_find_task (batch->batches->task.hub, "calls"), message);
}

/* --- writing results --- */

static void execute_batch_actions (LnBatch *batch, LbList *actions);

/* A write of results or of a checkpoint in progress. Before its answer arrives, another instance
 * may take the batch over, and this instance may even take it back. The answer then belongs to an
 * earlier run and is ignored. */
typedef struct
{
  LnBatch *batch;
  const LcBatch *run; /* the batch's run when the write was sent */
  int64_t epoch;      /* the batch's epoch when the write was sent */
} BatchWrite;

static BatchWrite *
batch_write_new (LnBatch *batch)
{
  BatchWrite *write = LB_NEW (BatchWrite);

  *write = (BatchWrite){ .batch = batch, .run = batch->run, .epoch = batch->head.epoch };
  return write;
}

/* Whether the run that sent the write is still the batch's current run. */
static bool
is_write_of_current_run (const BatchWrite *write)
{
  const LnBatch *batch = write->batch;

  return batch->run && batch->run == write->run && batch->head.epoch == write->epoch;
}

static void
finish_results_write (BatchWrite *write, bool ok)
{
  LnBatch *batch = write->batch;
  LbList actions;

  if (is_write_of_current_run (write))
    {
      lb_list_init (&actions);
      lc_batch_finish_result_write (batch->run, ok, lb_clock_monotonic (), &actions);
      execute_batch_actions (batch, &actions);
    }
  free (write);
}

/* Decides whether a write of results with a failed condition took effect. If the batch's row is
 * unchanged, a result row already existed. Only an earlier attempt of the same write can have
 * created it, since no other instance can write results under this version of the batch's row. */
static void
on_batch_row_read_after_conflict (LbErrorCode error, const LpRow *rows, size_t n_rows, void *user)
{
  BatchWrite *write = user;
  LnBatch *batch = write->batch;
  bool unchanged = error == LB_OK && n_rows > 0 && rows[0].version == batch->version;

  if (error == LB_OK && n_rows > 0 && !unchanged)
    ln_batches_update_batch_from_row (batch->batches, &rows[0]);
  finish_results_write (write, unchanged);
}

static void
on_results_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  BatchWrite *write = user;
  LnBatch *batch = write->batch;
  LpPlatform *platform = batch->batches->context->platform;
  char key[LN_BATCH_KEY_SIZE];

  if (error == LB_ERROR_CONDITION_FAILED)
    {
      ln_batch_format_row_key (batch->id, key);
      platform->klass->get (platform, key, on_batch_row_read_after_conflict, write);
      return;
    }
  if (error != LB_OK)
    lb_log (LB_LOG_WARNING, "results_not_written", LB_TEXT ("batch", batch->id),
            LB_TEXT ("error", lb_error_name (error)));
  finish_results_write (write, error == LB_OK);
}

typedef struct
{
  LpPut puts[MAX_TRANSACTION_ENTRIES];
  size_t n_puts;
  LpCondition conditions[MAX_TRANSACTION_ENTRIES];
  size_t n_conditions;
} TransactionEntries;

static void
transaction_entries_clear (TransactionEntries *entries)
{
  ln_batch_owner_free_put_strings (entries->puts, entries->n_puts);
}

/* Splits a text that is too long for one row into chunk rows, which the transaction writes together
 * with the result's row. Returns the number of chunks. */
static size_t
add_text_chunks (TransactionEntries *entries,
                 const LnBatch *batch,
                 int64_t position,
                 const char *text)
{
  size_t length = strlen (text);
  size_t n = 0;
  char prefix[LN_BATCH_KEY_SIZE];

  ln_batch_format_text_chunks_prefix (batch->id, position, prefix);
  for (size_t start = 0; start < length; start += LN_BATCH_MAX_ROW_BYTES, n++)
    entries->puts[entries->n_puts++]
        = (LpPut){ .key = lb_asprintf ("%s%02zu", prefix, n),
                   .value = lb_strndup (text + start, LN_BATCH_MAX_ROW_BYTES) };
  return n;
}

/* Returns the result as that of an abandoned item, because the text is too long to be stored.
 * Otherwise the batch would never be complete, and no later result could be recorded. */
static char *
build_abandoned_result_json (const LnBatch *batch, const LcBatchResult *result)
{
  LcBatchResult failed = *result;

  lb_log (LB_LOG_ERROR, "item_given_up", LB_TEXT ("batch", batch->id),
          LB_TEXT ("item", result->item), LB_TEXT ("error", "text_too_long"),
          LB_INT ("bytes", strlen (result->text)));
  failed.completed = false;
  failed.text = NULL;
  return ln_batch_result_to_json (&failed);
}

static void
add_result_row (TransactionEntries *entries,
                const LnBatch *batch,
                int64_t position,
                const LcBatchResult *result)
{
  char prefix[LN_BATCH_KEY_SIZE];
  char *value = ln_batch_result_to_json (result);

  if (strlen (value) > LN_BATCH_MAX_ROW_BYTES)
    {
      free (value);
      value = strlen (result->text) > MAX_STORED_TEXT_BYTES
                  ? build_abandoned_result_json (batch, result)
                  : ln_batch_result_to_json_without_text (result,
                                                          add_text_chunks (entries, batch, position,
                                                                           result->text));
    }
  ln_batch_format_result_prefix (batch->id, prefix);
  char *key = lb_asprintf ("%s%06lld", prefix, (long long)position);
  entries->puts[entries->n_puts++] = (LpPut){ .key = key, .value = value };
  entries->conditions[entries->n_conditions++] = (LpCondition){ .key = key, .version = 0 };
}

static void
write_results (LnBatch *batch, const LcBatchAction *action)
{
  LpPlatform *platform = batch->batches->context->platform;
  char head_key[LN_BATCH_KEY_SIZE];
  BatchWrite *write = batch_write_new (batch);
  TransactionEntries entries = { .n_conditions = 1 };

  ln_batch_format_row_key (batch->id, head_key);
  entries.conditions[0] = (LpCondition){ .key = head_key, .version = batch->version };
  for (size_t i = 0; i < action->n_results; i++)
    add_result_row (&entries, batch, action->first_position + (int64_t)i, action->results[i]);
  const LpTransaction transaction = { .token = "",
                                      .conditions = entries.conditions,
                                      .n_conditions = entries.n_conditions,
                                      .puts = entries.puts,
                                      .n_puts = entries.n_puts };
  lb_metric_add (&results_written, (int64_t)action->n_results);
  platform->klass->transact (platform, &transaction, LP_PRIORITY_LEDGER, on_results_written, write);
  transaction_entries_clear (&entries);
}

size_t
ln_batch_owner_build_checkpoint_puts (const LnBatch *batch,
                                      const LcBatchAction *action,
                                      LpPut *puts,
                                      size_t max)
{
  char prefix[LN_BATCH_KEY_SIZE];
  size_t n = 0;

  ln_batch_format_checkpoint_prefix (batch->id, prefix);
  for (size_t i = 0; i < action->n_parts && n < max; i++)
    {
      char *value = ln_batch_text_part_to_json (&action->parts[i]);
      if (strlen (value) > LN_BATCH_MAX_ROW_BYTES)
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
ln_batch_owner_free_put_strings (LpPut *puts, size_t n)
{
  for (size_t i = 0; i < n; i++)
    {
      free ((char *)puts[i].key);
      free ((char *)puts[i].value);
    }
}

/* A failed write of a checkpoint is not retried: checkpoints only avoid repeated generation after a
 * takeover, and the next checkpoint saves the same texts. */
static void
on_checkpoint_written (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  BatchWrite *write = user;

  if (error != LB_OK)
    lb_log (LB_LOG_DEBUG, "texts_not_kept", LB_TEXT ("error", lb_error_name (error)));
  if (is_write_of_current_run (write))
    lc_batch_finish_checkpoint (write->batch->run, error == LB_OK);
  free (write);
}

static void
write_checkpoint (LnBatch *batch, const LcBatchAction *action)
{
  LpPut puts[LN_BATCH_MAX_CHECKPOINT_PARTS];
  size_t n
      = ln_batch_owner_build_checkpoint_puts (batch, action, puts, LN_BATCH_MAX_CHECKPOINT_PARTS);

  if (n > 0)
    ln_batch_write_rows_if_batch_row_unchanged (batch, puts, n, LP_PRIORITY_STATUS,
                                                on_checkpoint_written, batch_write_new (batch));
  else
    lc_batch_finish_checkpoint (batch->run, true);
  ln_batch_owner_free_put_strings (puts, n);
}

static void
execute_batch_actions (LnBatch *batch, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      switch (action->type)
        {
        case LC_BATCH_GENERATE:
          request_text_generation (batch, action);
          break;
        case LC_BATCH_SCORE:
          request_text_scoring (batch, action);
          break;
        case LC_BATCH_CANCEL:
          cancel_request (batch, action->request);
          break;
        case LC_BATCH_PREEMPT:
          preempt_request (batch, action);
          break;
        case LC_BATCH_CHECKPOINT:
          write_checkpoint (batch, action);
          break;
        case LC_BATCH_WRITE_RESULTS:
          write_results (batch, action);
          break;
        }
      lc_batch_action_free (action);
    }
}

/* --- running a batch --- */

static LcRequestId
next_request_id (void *user)
{
  return ln_context_next_request_id (user);
}

/* Returns the number of failed scorings after which an item is abandoned: the largest number of
 * attempts that the routes of the batch's scoring requests allow. */
static int64_t
find_max_score_failures (const LnBatch *batch, const LcBatchSpec *spec)
{
  const LcDesired *desired = batch->batches->admission_state.desired;
  int64_t max = DEFAULT_MAX_ITEM_ATTEMPTS + 1;

  for (size_t i = 0; desired && i < spec->n_items; i++)
    {
      const LcBatchItemSpec *item = &spec->items[i];
      const LcRoute *route = item->has_scorer ? lc_desired_match_route (desired, item->scorer.host,
                                                                        item->scorer.path)
                                              : NULL;
      if (route && route->max_attempts > max)
        max = route->max_attempts;
    }
  return max;
}

void
ln_batch_owner_start_run (LnBatch *batch, LcBatchSpec *spec, const LnBatchSavedProgress *saved)
{
  const LcRoute *route = find_batch_route (batch);
  LcBatchSettings settings
      = { .history = ln_batches_get_model_history (batch->batches, spec->model),
          .text_cache = lb_switch_is_on (LB_SWITCH_CARRIED_TEXTS)
                            ? ln_batches_get_model_text_cache (batch->batches, spec->model)
                            : NULL,
          .tokens_per_event = get_service_tokens_per_event (batch),
          .max_failures = route ? route->max_attempts : DEFAULT_MAX_ITEM_ATTEMPTS,
          .max_score_failures = find_max_score_failures (batch, spec),
          .resumable = !route || route->resumable,
          .single_version = route && route->single_version,
          .due_at = batch->first_seen_at + (route ? route->due_after : 0),
          .deadline = LB_TIME_NEVER,
          .next_request_id = next_request_id,
          .user = batch->batches->context };
  LbList actions;

  if (route && route->item_expiry > 0)
    settings.deadline = batch->first_seen_at + route->item_expiry;
  lb_log (LB_LOG_INFO, "batch_running", LB_TEXT ("batch", batch->id),
          LB_TEXT ("model", spec->model), LB_INT ("step", spec->step),
          LB_INT ("min_version", spec->min_version), LB_INT ("items", spec->n_items),
          LB_INT ("listed", saved->n_finished_items), LB_INT ("begun", saved->n_parts),
          LB_INT ("epoch", batch->head.epoch));
  LB_COPY (spec->organisation, batch->head.organisation);
  batch->state = LN_BATCH_RUNNING;
  ln_batch_record_handover_duration (batch, lb_clock_monotonic ());
  ln_batches_publish_ownership (batch->batches, true);
  batch->run = lc_batch_new (spec, &settings);
  for (size_t i = 0; i < saved->n_finished_items; i++)
    lc_batch_mark_item_result_stored (batch->run, saved->finished_items[i].id,
                                      saved->finished_items[i].completed);
  for (size_t i = 0; i < saved->n_parts; i++)
    lc_batch_restore_checkpointed_text (batch->run, &saved->parts[i]);
  lb_list_init (&actions);
  lc_batch_start (batch->run, lb_clock_monotonic (), &actions);
  execute_batch_actions (batch, &actions);
}

void
ln_batch_owner_stop_run (LnBatch *batch)
{
  LnBatchRequest *request, *next;
  LbList actions;

  batch->state = LN_BATCH_NOT_OWNED;
  if (!batch->run)
    return;
  lb_log (LB_LOG_INFO, "batch_stopped", LB_TEXT ("batch", batch->id),
          LB_INT ("listed", lc_batch_count_items_with_stored_result (batch->run)),
          LB_BOOL ("ended", batch->head.ended));
  lb_list_init (&actions);
  lc_batch_stop (batch->run, lb_clock_monotonic (), &actions);
  execute_batch_actions (batch, &actions);
  HASH_ITER (hh, batch->batches->requests, request, next)
  {
    if (request->batch == batch)
      remove_batch_request (batch->batches, request);
  }
  lc_batch_free (batch->run);
  batch->run = NULL;
}

void
ln_batch_owner_run_due_actions (LnBatch *batch, LbTime now)
{
  LbList actions;

  if (batch->state == LN_BATCH_LOADING && now >= batch->load_retry_at)
    ln_batch_load_and_run (batch);
  if (batch->state != LN_BATCH_RUNNING || now < lc_batch_next_tick_at (batch->run))
    return;
  lb_list_init (&actions);
  lc_batch_tick (batch->run, now, &actions);
  execute_batch_actions (batch, &actions);
}

void
ln_batch_owner_receive_text_piece (LnBatches *batches, const LnSamplePieceMessage *message)
{
  const LnBatchRequest *request = find_batch_request (batches, message->request);

  if (request && request->batch->run)
    lc_batch_add_streamed_event (request->batch->run, message->request, message->piece.version,
                                 message->endpoint, message->text ? message->text : "",
                                 lb_clock_monotonic ());
}

void
ln_batch_owner_refuse_move (LnBatches *batches, const LnSampleMoveRefusedMessage *message)
{
  const LnBatchRequest *request = find_batch_request (batches, message->request);

  if (request && request->batch->run)
    lc_batch_refuse_move (request->batch->run, message->request, message->reason,
                          lb_clock_monotonic ());
}

void
ln_batch_owner_finish_request (LnBatches *batches, const LnSampleDoneMessage *message)
{
  LnBatchRequest *request = find_batch_request (batches, message->request);
  LnBatch *batch = request ? request->batch : NULL;
  bool is_score = request && request->is_score;
  LbTime now = lb_clock_monotonic ();
  LbList actions;

  if (!request)
    return;
  remove_batch_request (batches, request);
  if (!batch->run)
    return;
  lb_list_init (&actions);
  if (message->has_move)
    lc_batch_accept_move (batch->run, message->request, &message->move);
  if (is_score)
    lc_batch_finish_scoring (batch->run, message->request, message->error,
                             message->text ? message->text : "", now, &actions);
  else
    lc_batch_finish_generation (batch->run, message->request, message->error, now, &actions);
  execute_batch_actions (batch, &actions);
}

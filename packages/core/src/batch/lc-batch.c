#include "lc-batch.h"

#include "lc-batch-reuse.h"
#include "lc-batch-item.h"
#include "lc-batch-private.h"
#include "lc-straggler.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lb-time.h"

#include <stdlib.h>
#include <string.h>

/* Time that an engine takes for one event, assumed until the model's speed has been measured. */
#define DEFAULT_SECONDS_PER_EVENT 0.05
/* Time between checkpoints. A takeover loses at most the events of one period and of a checkpoint
 * write in progress. Each running step costs four writes a second. */
#define CHECKPOINT_PERIOD (250 * LB_MSEC)
/* Delay after a refused move until a move of the same text is proposed again. */
#define MOVE_RETRY_DELAY LB_SEC
#define DECISIVE_MOVE_RETRY_DELAY (100 * LB_MSEC) /* if the step waits for the text */
/* A store transaction takes at most 100 entries, of which two may be for the batch's row in the
 * store. */
#define MAX_PARTS_PER_CHECKPOINT 90

void
lc_batch_spec_clear (LcBatchSpec *spec)
{
  for (size_t i = 0; i < spec->n_items; i++)
    {
      lc_outgoing_request_clear (&spec->items[i].request);
      lc_outgoing_request_clear (&spec->items[i].scorer);
    }
  free (spec->items);
  memset (spec, 0, sizeof *spec);
}

void
lc_batch_result_clear (LcBatchResult *result)
{
  free (result->text);
  free (result->score);
  memset (result, 0, sizeof *result);
}

void
lc_batch_action_free (LcBatchAction *action)
{
  free (action->parts);
  free (action);
}

LcBatchHistory *
lc_batch_history_new (void)
{
  return LB_NEW (LcBatchHistory);
}

void
lc_batch_history_free (LcBatchHistory *history)
{
  free (history);
}

LcBatch *
lc_batch_new (LcBatchSpec *spec, const LcBatchSettings *settings)
{
  LcBatch *batch = LB_NEW (LcBatch);

  batch->spec = *spec;
  memset (spec, 0, sizeof *spec);
  batch->settings = *settings;
  batch->items = LB_NEW_ARRAY (LcBatchItem, batch->spec.n_items);
  batch->retry_write_at = LB_TIME_NEVER;
  lb_list_init (&batch->ready_items);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    LB_COPY (batch->items[i].result.item, batch->spec.items[i].request.id);
  lc_batch_number_groups (batch);
  return batch;
}

void
lc_batch_free (LcBatch *batch)
{
  if (!batch)
    return;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    lc_batch_result_clear (&batch->items[i].result);
  lc_batch_spec_clear (&batch->spec);
  free (batch->items);
  free (batch->results_in_write);
  free (batch->group_seconds);
  free (batch->sorted_group_seconds);
  free (batch);
}

LcBatchAction *
lc_batch_add_action (LbList *actions, LcBatchActionType type)
{
  LcBatchAction *action = LB_NEW (LcBatchAction);

  action->type = type;
  lb_list_append (actions, &action->link);
  return action;
}

size_t
lc_batch_find_item_index (const LcBatch *batch, const LcBatchItem *item)
{
  return (size_t)(item - batch->items);
}

static LcBatchItem *
find_item_by_request (const LcBatch *batch, LcRequestId request)
{
  for (size_t i = 0; request != 0 && i < batch->spec.n_items; i++)
    if (batch->items[i].request == request)
      return &batch->items[i];
  return NULL;
}

void
lc_batch_mark_item_result_stored (LcBatch *batch, const char *item_id, bool completed)
{
  batch->n_listed++;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    if (strcmp (batch->spec.items[i].request.id, item_id) == 0)
      {
        batch->items[i].state = ITEM_LISTED;
        batch->items[i].is_abandoned = !completed;
        batch->n_abandoned += !completed;
      }
}

static bool
are_items_in_same_group (const LcBatch *batch, const LcBatchItem *a, const LcBatchItem *b)
{
  const char *group = batch->spec.items[lc_batch_find_item_index (batch, a)].group;

  return group[0]
         && strcmp (group, batch->spec.items[lc_batch_find_item_index (batch, b)].group) == 0;
}

/* Whether the item's group can't be completed, because one of its items was abandoned. */
static bool
is_group_incomplete (const LcBatch *batch, const LcBatchItem *item)
{
  if (batch->n_abandoned == 0 || !lb_switch_is_on (LB_SWITCH_GROUP_ORDER))
    return false;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    if (batch->items[i].is_abandoned && are_items_in_same_group (batch, item, &batch->items[i]))
      return true;
  return false;
}

/* --- generation and scoring --- */

int64_t
lc_batch_events_to_tokens (const LcBatch *batch, int64_t events)
{
  int64_t tokens_per_event = batch->settings.tokens_per_event;

  return events * (tokens_per_event > 0 ? tokens_per_event : 1);
}

/* Returns the latest start that completes a text of `events` events by due_at. Requests are ordered
 * by this time, so that the longest text of a step does not start last and delay the step. If a
 * trainer has two open steps, the long texts of the second start before the short texts of the
 * first, which have time left. */
static LbTime
compute_latest_generation_start (const LcBatch *batch, int64_t events)
{
  const LcBatchHistory *history = batch->settings.history;
  double rate = history ? history->pace.tokens_per_second : 0;
  if (!lb_switch_is_on (LB_SWITCH_LATEST_START))
    return 0;
  double seconds = rate > 0 ? (double)lc_batch_events_to_tokens (batch, events) / rate
                            : (double)events * DEFAULT_SECONDS_PER_EVENT;

  return batch->settings.due_at - (LbTime)(seconds * LB_SEC);
}

static void
start_item_generation (LcBatch *batch, LcBatchItem *item, LbTime now, LbList *actions)
{
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_GENERATE);
  bool is_move = item->is_preempted;

  item->state = ITEM_GENERATING;
  item->started_at = now;
  item->first_piece_at = 0;
  item->request_events = 0;
  item->pace = (LcStreamPace){ 0 };
  item->is_preempted = false;
  item->request = batch->settings.next_request_id (batch->settings.user);
  action->request = item->request;
  action->item_index = lc_batch_find_item_index (batch, item);
  action->resume_at = item->n_events;
  action->avoid_endpoint = item->avoid_endpoint;
  action->preferred_endpoint = is_move ? item->preferred_endpoint : "";
  action->remaining_events = lc_batch_item_estimate_remaining_events (
      item, &batch->spec.items[lc_batch_find_item_index (batch, item)],
      lc_batch_events_to_tokens (batch, 1));
  action->due_at = batch->settings.due_at;
  action->latest_start = compute_latest_generation_start (batch, action->remaining_events);
  action->is_group_incomplete = is_group_incomplete (batch, item);
}

/* Requests the texts of the item's group again, so that they run after those of other groups. Texts
 * that have begun are left alone. */
static void
postpone_texts_of_incomplete_group (LcBatch *batch,
                                    const LcBatchItem *abandoned,
                                    LbTime now,
                                    LbList *actions)
{
  int64_t n_postponed = 0;

  if (!lb_switch_is_on (LB_SWITCH_GROUP_ORDER))
    return;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (item->state != ITEM_GENERATING || item->first_piece_at != 0 || item->is_preempted
          || !are_items_in_same_group (batch, abandoned, item))
        continue;
      lc_batch_cancel_item_request (item, actions);
      start_item_generation (batch, item, now, actions);
      n_postponed++;
    }
  lb_log (LB_LOG_INFO, "group_incomplete", LB_TEXT ("batch", batch->spec.id),
          LB_TEXT ("group", batch->spec.items[lc_batch_find_item_index (batch, abandoned)].group),
          LB_TEXT ("item", abandoned->result.item), LB_INT ("postponed", n_postponed));
}

static void
abandon_item (LcBatch *batch, LcBatchItem *item, LbTime now, LbList *actions)
{
  batch->n_abandoned++;
  lc_batch_queue_result_for_write (batch, item, false, actions);
  postpone_texts_of_incomplete_group (batch, item, now, actions);
}

static void
start_item_scoring (LcBatch *batch, LcBatchItem *item, LbList *actions)
{
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_SCORE);

  item->state = ITEM_SCORING;
  item->request = batch->settings.next_request_id (batch->settings.user);
  action->request = item->request;
  action->item_index = lc_batch_find_item_index (batch, item);
}

static void
score_text_or_queue_result (LcBatch *batch, LcBatchItem *item, LbList *actions)
{
  if (batch->spec.items[lc_batch_find_item_index (batch, item)].has_scorer && !item->result.score)
    start_item_scoring (batch, item, actions);
  else
    lc_batch_queue_result_for_write (batch, item, true, actions);
}

void
lc_batch_restore_checkpointed_text (LcBatch *batch, const LcBatchTextPart *part)
{
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (item->state == ITEM_WAITING && strcmp (batch->spec.items[i].request.id, part->item) == 0
          && part->n_versions <= LC_MAX_RESULT_VERSIONS)
        lc_batch_item_restore_checkpointed_text (item, part);
    }
}

/* Saves the new events of running texts, so that the next owner can continue the texts if this
 * owner is killed or cut off. Otherwise the longest text, for which the step waits, would restart.
 * Only new events are saved: many long texts did not fit into one transaction as a whole, and the
 * texts of the last items were never saved. */
void
lc_batch_begin_checkpoint (LcBatch *batch, LbTime now, LbList *actions)
{
  LcBatchTextPart *parts = NULL;
  size_t bytes = 0;
  size_t n = 0;

  batch->next_checkpoint_at = now + CHECKPOINT_PERIOD;
  if (!lb_switch_is_on (LB_SWITCH_KEPT_TEXTS))
    return;
  parts = LB_NEW_ARRAY (LcBatchTextPart, MAX_PARTS_PER_CHECKPOINT);
  for (size_t i = 0; i < batch->spec.n_items && n < MAX_PARTS_PER_CHECKPOINT; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (!lc_batch_item_needs_checkpoint (item)
          || bytes + lc_batch_item_count_unsaved_bytes (item) > LC_BATCH_MAX_WRITE_BYTES)
        continue;
      bytes += lc_batch_item_count_unsaved_bytes (item);
      parts[n++] = lc_batch_item_begin_checkpoint (item);
    }
  if (n == 0)
    {
      free (parts);
      return;
    }
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_CHECKPOINT);
  action->parts = parts;
  action->n_parts = n;
  batch->is_checkpointing = true;
}

void
lc_batch_finish_checkpoint (LcBatch *batch, bool ok)
{
  batch->is_checkpointing = false;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    lc_batch_item_finish_checkpoint (&batch->items[i], ok);
}

/* Reuses cached texts of groups that an earlier batch did not complete. */
static void
reuse_cached_texts (LcBatch *batch, LbList *actions)
{
  size_t n_complete = 0;
  size_t n_partial = 0;

  for (size_t i = 0; batch->settings.text_cache && i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (!lc_batch_reuse_cached_item_text (&batch->spec, i, item, &batch->settings))
        continue;
      n_complete += item->state == ITEM_GENERATED;
      n_partial += item->state == ITEM_WAITING;
      if (item->state == ITEM_GENERATED)
        score_text_or_queue_result (batch, item, actions);
    }
  if (n_complete + n_partial > 0)
    lb_log (LB_LOG_INFO, "texts_carried_on", LB_TEXT ("batch", batch->spec.id),
            LB_INT ("whole", n_complete), LB_INT ("begun", n_partial));
}

void
lc_batch_start (LcBatch *batch, LbTime now, LbList *actions)
{
  batch->is_started = true;
  batch->next_checkpoint_at = now + CHECKPOINT_PERIOD;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    lc_batch_item_finish_text_restore (&batch->items[i]);
  reuse_cached_texts (batch, actions);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    if (batch->items[i].state == ITEM_WAITING && batch->items[i].retry_at <= now)
      start_item_generation (batch, &batch->items[i], now, actions);
}

void
lc_batch_add_streamed_event (LcBatch *batch,
                             LcRequestId request,
                             LcVersion version,
                             const char *endpoint,
                             const char *text,
                             LbTime now)
{
  LcBatchItem *item = find_item_by_request (batch, request);

  if (!item || item->state != ITEM_GENERATING)
    return;
  lc_batch_item_append_event (item, text);
  item->request_events++;
  item->retries = 0;
  if (item->first_piece_at == 0)
    item->first_piece_at = now;
  else
    lc_stream_pace_add_tokens (&item->pace, lc_batch_events_to_tokens (batch, 1),
                               now - item->last_piece_at);
  item->last_piece_at = now;
  LB_COPY (item->last_endpoint, endpoint);
  lc_batch_item_record_weight_version (item, version, batch->spec.min_version,
                                       batch->settings.single_version);
}

static void
record_text_length_and_pace (LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  LcBatchHistory *history = batch->settings.history;

  if (!history || item->first_piece_at == 0)
    return;
  lc_length_histogram_add_sample_length (&history->lengths,
                                         lc_batch_events_to_tokens (batch, item->n_events));
  /* The measured time begins with the first event, so the first event is not counted. */
  if (item->request_events > LC_BATCH_MIN_PACE_INTERVALS)
    lc_pace_add_sample (&history->pace, lc_batch_events_to_tokens (batch, item->request_events - 1),
                        item->first_piece_at - item->started_at, now - item->first_piece_at);
}

static void
score_or_restart_complete_text (LcBatch *batch, LcBatchItem *item, LbTime now, LbList *actions)
{
  if (item->is_unusable || item->n_events == 0)
    {
      lc_batch_item_restart_text (item);
      lc_batch_item_schedule_retry (item, ITEM_WAITING, now);
      return;
    }
  item->retries = 0;
  record_text_length_and_pace (batch, item, now);
  score_text_or_queue_result (batch, item, actions);
}

/* Whether the request of the item can never succeed. */
static bool
is_permanent_error (LbErrorCode error)
{
  return error == LB_ERROR_REJECTED || error == LB_ERROR_BAD_VALUE;
}

void
lc_batch_finish_generation (
    LcBatch *batch, LcRequestId request, LbErrorCode error, LbTime now, LbList *actions)
{
  LcBatchItem *item = find_item_by_request (batch, request);

  if (!item || item->state != ITEM_GENERATING)
    return;
  if (error == LB_OK)
    {
      score_or_restart_complete_text (batch, item, now, actions);
      return;
    }
  if (error == LB_ERROR_CLOSED && item->is_preempted)
    {
      start_item_generation (batch, item, now, actions);
      return;
    }
  item->failures += error == LB_ERROR_ENDPOINT_FAILED;
  if (is_permanent_error (error) || item->failures >= batch->settings.max_failures)
    {
      lb_log (LB_LOG_INFO, "item_given_up", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_TEXT ("error", lb_error_name (error)),
              LB_INT ("failures", item->failures));
      abandon_item (batch, item, now, actions);
      return;
    }
  if (item->is_unusable || !batch->settings.resumable)
    lc_batch_item_restart_text (item);
  lc_batch_item_schedule_retry (item, ITEM_WAITING, now);
}

void
lc_batch_accept_move (LcBatch *batch, LcRequestId request, const LcMoveDecision *move)
{
  LcBatchItem *item = find_item_by_request (batch, request);

  if (item && item->state == ITEM_GENERATING && item->is_preempted)
    lc_batch_record_item_move (batch, item, move);
}

void
lc_batch_refuse_move (LcBatch *batch, LcRequestId request, LcMoveReason reason, LbTime now)
{
  LcBatchItem *item = find_item_by_request (batch, request);

  if (!item || item->state != ITEM_GENERATING)
    return;
  batch->refused_moves[reason]++;
  item->is_preempted = false;
  item->next_move_at = now + (item->decides_step ? DECISIVE_MOVE_RETRY_DELAY : MOVE_RETRY_DELAY);
}

void
lc_batch_finish_scoring (LcBatch *batch,
                         LcRequestId request,
                         LbErrorCode error,
                         const char *score,
                         LbTime now,
                         LbList *actions)
{
  LcBatchItem *item = find_item_by_request (batch, request);

  if (!item || item->state != ITEM_SCORING)
    return;
  if (error == LB_OK)
    {
      item->result.score = lb_strdup (score);
      lc_batch_queue_result_for_write (batch, item, true, actions);
      return;
    }
  item->score_failures += error == LB_ERROR_ENDPOINT_FAILED;
  if (is_permanent_error (error) || item->score_failures >= batch->settings.max_score_failures)
    {
      lb_log (LB_LOG_INFO, "item_not_scored", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_INT ("failures", item->score_failures));
      abandon_item (batch, item, now, actions);
      return;
    }
  lc_batch_item_schedule_retry (item, ITEM_GENERATED, now);
}

static bool
is_item_unfinished (const LcBatchItem *item)
{
  return item->state != ITEM_READY && item->state != ITEM_LISTED;
}

void
lc_batch_cancel_item_request (LcBatchItem *item, LbList *actions)
{
  if (item->request == 0)
    return;
  lc_batch_add_action (actions, LC_BATCH_CANCEL)->request = item->request;
  item->request = 0;
}

/* Stores a result "not completed" for each unfinished item after the batch's deadline, which the
 * operator sets, so that the trainer does not wait for the items forever. */
static void
abandon_unfinished_items (LcBatch *batch, LbList *actions)
{
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (!is_item_unfinished (item))
        continue;
      lc_batch_cancel_item_request (item, actions);
      lc_batch_queue_result_for_write (batch, item, false, actions);
    }
}

void
lc_batch_tick (LcBatch *batch, LbTime now, LbList *actions)
{
  lc_batch_postpone_item_review_after_pause (batch, now);
  if (batch->is_stopped || !batch->is_started)
    return;
  if (now >= batch->settings.deadline)
    abandon_unfinished_items (batch, actions);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (now < item->retry_at)
        continue;
      if (item->state == ITEM_WAITING)
        start_item_generation (batch, item, now, actions);
      else if (item->state == ITEM_GENERATED)
        start_item_scoring (batch, item, actions);
    }
  if (now >= batch->next_review_at)
    lc_batch_restart_or_move_items (batch, now, actions);
  if (now >= batch->next_checkpoint_at && !batch->is_checkpointing)
    lc_batch_begin_checkpoint (batch, now, actions);
  if (now >= batch->retry_write_at)
    lc_batch_start_result_write (batch, actions);
}

void
lc_batch_stop (LcBatch *batch, LbTime now, LbList *actions)
{
  if (!batch->is_stopped)
    lc_batch_log_refused_moves (batch);
  batch->is_stopped = true;
  if (batch->settings.text_cache)
    lc_batch_cache_texts_of_incomplete_groups (&batch->spec, batch->items,
                                               batch->settings.text_cache, now);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    lc_batch_cancel_item_request (&batch->items[i], actions);
}

const LcBatchSpec *
lc_batch_get_spec (const LcBatch *batch)
{
  return &batch->spec;
}

int64_t
lc_batch_count_items_with_stored_result (const LcBatch *batch)
{
  return batch->n_listed;
}

bool
lc_batch_has_stored_all_results (const LcBatch *batch)
{
  return batch->n_listed >= (int64_t)batch->spec.n_items;
}

LbTime
lc_batch_next_tick_at (const LcBatch *batch)
{
  LbTime next = batch->retry_write_at;
  bool any_unfinished = false;

  if (batch->is_stopped || !batch->is_started)
    return LB_TIME_NEVER;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      const LcBatchItem *item = &batch->items[i];
      any_unfinished |= is_item_unfinished (item);
      if (item->state == ITEM_WAITING || item->state == ITEM_GENERATED)
        next = lb_time_earlier (next, item->retry_at);
    }
  return any_unfinished ? lb_time_earlier (lb_time_earlier (next, batch->next_review_at),
                                           batch->settings.deadline)
                        : next;
}

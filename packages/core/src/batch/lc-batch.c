#include "lc-batch.h"

#include "lc-batch-carry.h"
#include "lc-batch-item.h"
#include "lc-batch-private.h"
#include "lc-straggler.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lb-time.h"

#include <stdlib.h>
#include <string.h>

/* Until the pace of a model is known: that of a usual engine. */
#define DEFAULT_EVENT_SECONDS 0.05
/* Between two writes of the texts so far: what an owner that ends loses at most, beside the write
 * itself. Four writes a second for each open step. */
#define KEEP_PERIOD (250 * LB_MSEC)
/* The store takes 100 entries in a transaction, of which two may stand for the batch's own row. */
#define MAX_PARTS_PER_KEEP 90

void
lc_batch_spec_clear (LcBatchSpec *spec)
{
  for (size_t i = 0; i < spec->n_items; i++)
    {
      lc_outgoing_clear (&spec->items[i].request);
      lc_outgoing_clear (&spec->items[i].scorer);
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
  batch->write_at = LB_TIME_NEVER;
  lb_list_init (&batch->ready);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    LB_COPY (batch->items[i].result.item, batch->spec.items[i].request.id);
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
  free (batch->writing);
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
lc_batch_index_of (const LcBatch *batch, const LcBatchItem *item)
{
  return (size_t)(item - batch->items);
}

static LcBatchItem *
find_request (const LcBatch *batch, LcRequestId request)
{
  for (size_t i = 0; request != 0 && i < batch->spec.n_items; i++)
    if (batch->items[i].request == request)
      return &batch->items[i];
  return NULL;
}

void
lc_batch_mark_listed (LcBatch *batch, const char *name)
{
  batch->n_listed++;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    if (strcmp (batch->spec.items[i].request.id, name) == 0)
      batch->items[i].state = ITEM_LISTED;
}

/* --- running --- */

int64_t
lc_batch_tokens_of (const LcBatch *batch, int64_t events)
{
  int64_t per_event = batch->settings.tokens_per_event;

  return events * (per_event > 0 ? per_event : 1);
}

/* Guards against a text that begins last and decides when its step is whole. The longest of a step
 * begins first, and with two steps of a trainer open the long texts of the second go before the
 * short ones of the first, which have time. */
static LbTime
latest_start (const LcBatch *batch, int64_t events)
{
  const LcBatchHistory *history = batch->settings.history;
  double rate = history ? history->pace.tokens_per_second : 0;
  if (!lb_switch_is_on (LB_SWITCH_LATEST_START))
    return 0;
  double seconds = rate > 0 ? (double)lc_batch_tokens_of (batch, events) / rate
                            : (double)events * DEFAULT_EVENT_SECONDS;

  return batch->settings.due_at - (LbTime)(seconds * LB_SEC);
}

static void
run (LcBatch *batch, LcBatchItem *item, LbTime now, LbList *actions)
{
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_GENERATE);

  item->state = ITEM_RUNNING;
  item->started = now;
  item->first_piece = 0;
  item->run_events = 0;
  item->pace = (LcStreamPace){ 0 };
  item->recalled = false;
  item->request = batch->settings.next_request_id (batch->settings.user);
  action->request = item->request;
  action->item_index = lc_batch_index_of (batch, item);
  action->resume_at = item->events;
  action->avoid_endpoint = item->avoid;
  action->remaining_events
      = lc_batch_item_expected_events (item, &batch->spec.items[lc_batch_index_of (batch, item)],
                                       lc_batch_tokens_of (batch, 1));
  action->due_at = batch->settings.due_at;
  action->latest_start = latest_start (batch, action->remaining_events);
}

static void
score (LcBatch *batch, LcBatchItem *item, LbList *actions)
{
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_SCORE);

  item->state = ITEM_SCORING;
  item->request = batch->settings.next_request_id (batch->settings.user);
  action->request = item->request;
  action->item_index = lc_batch_index_of (batch, item);
}

/* The text is whole. */
static void
after_text (LcBatch *batch, LcBatchItem *item, LbList *actions)
{
  if (batch->spec.items[lc_batch_index_of (batch, item)].has_scorer && !item->result.score)
    score (batch, item, actions);
  else
    lc_batch_make_ready (batch, item, true, actions);
}

void
lc_batch_restore_text_part (LcBatch *batch, const LcBatchTextPart *part)
{
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (item->state == ITEM_WAITING && strcmp (batch->spec.items[i].request.id, part->item) == 0
          && part->n_versions <= LC_MAX_RESULT_VERSIONS)
        lc_batch_item_restore (item, part);
    }
}

/* An owner that is killed or cut off would take all running texts with it, and the longest, on
 * which the step waits, would begin again. The next owner goes on from what was kept. Only what is
 * new is written: many long texts that are written whole do not fit in one transaction, and those
 * of the last items were never kept. */
void
lc_batch_checkpoint (LcBatch *batch, LbTime now, LbList *actions)
{
  LcBatchTextPart *parts = NULL;
  size_t bytes = 0;
  size_t n = 0;

  batch->next_keep = now + KEEP_PERIOD;
  if (!lb_switch_is_on (LB_SWITCH_KEPT_TEXTS))
    return;
  parts = LB_NEW_ARRAY (LcBatchTextPart, MAX_PARTS_PER_KEEP);
  for (size_t i = 0; i < batch->spec.n_items && n < MAX_PARTS_PER_KEEP; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (!lc_batch_item_is_worth_keeping (item)
          || bytes + lc_batch_item_keep_bytes (item) > LC_BATCH_MAX_BYTES_PER_WRITE)
        continue;
      bytes += lc_batch_item_keep_bytes (item);
      parts[n++] = lc_batch_item_keep (item);
    }
  if (n == 0)
    {
      free (parts);
      return;
    }
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_CHECKPOINT);
  action->parts = parts;
  action->n_parts = n;
  batch->is_keeping = true;
}

void
lc_batch_finish_checkpoint (LcBatch *batch, bool ok)
{
  batch->is_keeping = false;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    lc_batch_item_kept (&batch->items[i], ok);
}

/* Of groups that an earlier batch did not get whole. */
static void
take_carried (LcBatch *batch, LbList *actions)
{
  size_t n_whole = 0;
  size_t n_begun = 0;

  for (size_t i = 0; batch->settings.text_cache && i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (!lc_batch_carry_take (&batch->spec, i, item, &batch->settings))
        continue;
      n_whole += item->state == ITEM_GENERATED;
      n_begun += item->state == ITEM_WAITING;
      if (item->state == ITEM_GENERATED)
        after_text (batch, item, actions);
    }
  if (n_whole + n_begun > 0)
    lb_log (LB_LOG_INFO, "texts_carried_on", LB_TEXT ("batch", batch->spec.id),
            LB_INT ("whole", n_whole), LB_INT ("begun", n_begun));
}

void
lc_batch_start (LcBatch *batch, LbTime now, LbList *actions)
{
  batch->is_started = true;
  batch->next_keep = now + KEEP_PERIOD;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    lc_batch_item_end_restore (&batch->items[i]);
  take_carried (batch, actions);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    if (batch->items[i].state == ITEM_WAITING && batch->items[i].retry_at <= now)
      run (batch, &batch->items[i], now, actions);
}

void
lc_batch_add_piece (LcBatch *batch,
                    LcRequestId request,
                    LcVersion version,
                    const char *endpoint,
                    const char *text,
                    LbTime now)
{
  LcBatchItem *item = find_request (batch, request);

  if (!item || item->state != ITEM_RUNNING)
    return;
  lc_batch_item_append (item, text);
  item->run_events++;
  item->retries = 0;
  if (item->first_piece == 0)
    item->first_piece = now;
  else
    lc_stream_pace_add (&item->pace, lc_batch_tokens_of (batch, 1), now - item->last_piece);
  item->last_piece = now;
  LB_COPY (item->endpoint, endpoint);
  lc_batch_item_note_version (item, version, batch->spec.min_version,
                              batch->settings.single_version);
}

static void
learn (LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  LcBatchHistory *history = batch->settings.history;

  if (!history || item->first_piece == 0)
    return;
  lc_length_histogram_add (&history->lengths, lc_batch_tokens_of (batch, item->events));
  /* The first event comes at the beginning of the time that is measured. */
  if (item->run_events > LC_BATCH_INTERVALS_TO_LEARN)
    lc_pace_add (&history->pace, lc_batch_tokens_of (batch, item->run_events - 1),
                 item->first_piece - item->started, now - item->first_piece);
}

static void
finish_text (LcBatch *batch, LcBatchItem *item, LbTime now, LbList *actions)
{
  if (item->unusable || item->events == 0)
    {
      lc_batch_item_restart (item);
      lc_batch_item_try_later (item, ITEM_WAITING, now);
      return;
    }
  item->retries = 0;
  learn (batch, item, now);
  after_text (batch, item, actions);
}

void
lc_batch_finish_generation (
    LcBatch *batch, LcRequestId request, LbErrorCode error, LbTime now, LbList *actions)
{
  LcBatchItem *item = find_request (batch, request);

  if (!item || item->state != ITEM_RUNNING)
    return;
  if (error == LB_OK)
    {
      finish_text (batch, item, now, actions);
      return;
    }
  if (error == LB_ERROR_CLOSED && item->recalled)
    {
      run (batch, item, now, actions);
      return;
    }
  item->failures += error == LB_ERROR_ENDPOINT_FAILED;
  if (error == LB_ERROR_REJECTED || item->failures >= batch->settings.max_failures)
    {
      lb_log (LB_LOG_INFO, "item_given_up", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_TEXT ("error", lb_error_name (error)),
              LB_INT ("failures", item->failures));
      lc_batch_make_ready (batch, item, false, actions);
      return;
    }
  if (item->unusable || !batch->settings.resumable)
    lc_batch_item_restart (item);
  lc_batch_item_try_later (item, ITEM_WAITING, now);
}

void
lc_batch_finish_scoring (LcBatch *batch,
                         LcRequestId request,
                         LbErrorCode error,
                         const char *value,
                         LbTime now,
                         LbList *actions)
{
  LcBatchItem *item = find_request (batch, request);

  if (!item || item->state != ITEM_SCORING)
    return;
  if (error == LB_OK)
    {
      item->result.score = lb_strdup (value);
      lc_batch_make_ready (batch, item, true, actions);
      return;
    }
  item->score_failures += error == LB_ERROR_ENDPOINT_FAILED;
  if (item->score_failures >= batch->settings.max_score_failures)
    {
      lb_log (LB_LOG_INFO, "item_not_scored", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_INT ("failures", item->score_failures));
      lc_batch_make_ready (batch, item, false, actions);
      return;
    }
  lc_batch_item_try_later (item, ITEM_GENERATED, now);
}

static bool
is_open (const LcBatchItem *item)
{
  return item->state != ITEM_READY && item->state != ITEM_LISTED;
}

void
lc_batch_stop_request (LcBatchItem *item, LbList *actions)
{
  if (item->request == 0)
    return;
  lc_batch_add_action (actions, LC_BATCH_CANCEL)->request = item->request;
  item->request = 0;
}

/* What has not come by the time that the operator sets is given up, so that the trainer does not
 * wait for it for ever. */
static void
give_up_all (LcBatch *batch, LbList *actions)
{
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (!is_open (item))
        continue;
      lc_batch_stop_request (item, actions);
      lc_batch_make_ready (batch, item, false, actions);
    }
}

void
lc_batch_tick (LcBatch *batch, LbTime now, LbList *actions)
{
  lc_batch_note_own_pause (batch, now);
  if (batch->is_stopped || !batch->is_started)
    return;
  if (now >= batch->settings.deadline)
    give_up_all (batch, actions);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (now < item->retry_at)
        continue;
      if (item->state == ITEM_WAITING)
        run (batch, item, now, actions);
      else if (item->state == ITEM_GENERATED)
        score (batch, item, actions);
    }
  if (now >= batch->next_review)
    lc_batch_review (batch, now, actions);
  if (now >= batch->next_keep && !batch->is_keeping)
    lc_batch_checkpoint (batch, now, actions);
  if (now >= batch->write_at)
    lc_batch_write_ready (batch, actions);
}

void
lc_batch_stop (LcBatch *batch, LbTime now, LbList *actions)
{
  batch->is_stopped = true;
  if (batch->settings.text_cache)
    lc_batch_carry_leave (&batch->spec, batch->items, batch->settings.text_cache, now);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    lc_batch_stop_request (&batch->items[i], actions);
}

const LcBatchSpec *
lc_batch_get_spec (const LcBatch *batch)
{
  return &batch->spec;
}

int64_t
lc_batch_count_listed (const LcBatch *batch)
{
  return batch->n_listed;
}

bool
lc_batch_is_done (const LcBatch *batch)
{
  return batch->n_listed >= (int64_t)batch->spec.n_items;
}

LbTime
lc_batch_next_tick_at (const LcBatch *batch)
{
  LbTime next = batch->write_at;
  bool any_open = false;

  if (batch->is_stopped || !batch->is_started)
    return LB_TIME_NEVER;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      const LcBatchItem *item = &batch->items[i];
      any_open |= is_open (item);
      if (item->state == ITEM_WAITING || item->state == ITEM_GENERATED)
        next = lb_time_earlier (next, item->retry_at);
    }
  return any_open ? lb_time_earlier (lb_time_earlier (next, batch->next_review),
                                     batch->settings.deadline)
                  : next;
}

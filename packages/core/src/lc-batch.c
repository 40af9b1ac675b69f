#include "lc-batch.h"

#include "lc-batch-carry.h"
#include "lc-batch-item.h"
#include "lc-straggler.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"
#include "lb-time.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_DELAY (50 * LB_MSEC) /* before a failed run is tried again; doubles each time */
#define LONGEST_DELAY (800 * LB_MSEC)
#define WRITE_RETRY (100 * LB_MSEC)
#define MAX_RESULTS_PER_WRITE 40        /* the store takes at most 100 entries in a transaction */
#define MAX_BYTES_PER_WRITE (400 << 10) /* of text; the store takes 1 MB, encoded */

/* Until the pace of a model is known: that of a usual engine. */
#define DEFAULT_EVENT_SECONDS 0.05
/* Between looks for texts that come too slowly. */
#define REVIEW_PERIOD (100 * LB_MSEC)
/* Between two writes of the texts so far: what an owner that ends loses at most. An engine that
 * sends twenty events a second brings enough in it to be worth a write. */
#define KEEP_PERIOD (400 * LB_MSEC)
/* An item that was moved so often stays where it is. */
#define MOST_MOVES 3
/* The pace of a stream with fewer intervals between events is mostly noise. */
#define INTERVALS_TO_LEARN 4
/* Looks for slow texts come this late only when this instance itself stood still. */
#define OWN_PAUSE (300 * LB_MSEC)
/* Only the time counts by which the trainer waits longer. */
#define IDLE_WEIGHT 1.0

struct LcBatchHistory
{
  LcLengths lengths;
  LcPace pace;
};

/* Of texts that are listed and kept for a later batch that asks for their groups again: four times
 * the texts of a step of 2,048 samples of 2 KB. */
#define MOST_LISTED_BYTES ((size_t)(16 << 20))

struct LcBatch
{
  LcBatchSpec spec;
  LcBatchSettings settings;
  LcBatchItem *items;
  LbList ready;
  int64_t n_listed;
  size_t listed_bytes; /* of their texts that are still held */
  const LcBatchResult **writing;
  size_t n_writing; /* first ones of ready */
  bool is_writing;
  LbTime next_review;
  LbTime last_tick;
  LbTime next_keep;
  LbTime write_at; /* a failed write is asked again */
  bool is_started;
  bool is_stopped;
};

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

static LcBatchAction *
add_action (LbList *actions, LcBatchActionType type)
{
  LcBatchAction *action = LB_NEW (LcBatchAction);

  action->type = type;
  lb_list_append (actions, &action->link);
  return action;
}

static size_t
index_of (const LcBatch *batch, const LcBatchItem *item)
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
lc_batch_was_listed (LcBatch *batch, const char *name)
{
  batch->n_listed++;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    if (strcmp (batch->spec.items[i].request.id, name) == 0)
      batch->items[i].state = ITEM_LISTED;
}

/* --- writing --- */

/* One write is on its way at a time, with all that got ready meanwhile: the position of a result is
 * fixed by the first write that names it, and a write whose answer was lost is repeated with the
 * same content, since it may still be carried out. */
static void
write_ready (LcBatch *batch, LbList *actions)
{
  size_t bytes = 0;

  if (batch->is_writing || batch->is_stopped || lb_list_is_empty (&batch->ready))
    return;
  if (batch->n_writing == 0)
    {
      batch->writing = lb_realloc (batch->writing, MAX_RESULTS_PER_WRITE * sizeof *batch->writing);
      LB_LIST_FOREACH (&batch->ready, LcBatchItem, ready, item)
      {
        bytes += item->result.text ? strlen (item->result.text) : 0;
        if (batch->n_writing == MAX_RESULTS_PER_WRITE
            || (batch->n_writing > 0 && bytes > MAX_BYTES_PER_WRITE))
          break;
        batch->writing[batch->n_writing++] = &item->result;
      }
    }
  LcBatchAction *action = add_action (actions, LC_BATCH_WRITE);
  batch->is_writing = true;
  batch->write_at = LB_TIME_NEVER;
  action->position = batch->n_listed;
  action->results = batch->writing;
  action->n_results = batch->n_writing;
}

/* The text is asked for again if its group does not get whole. */
static void
hold_listed (LcBatch *batch, LcBatchItem *item)
{
  batch->listed_bytes += item->length;
  if (batch->listed_bytes <= MOST_LISTED_BYTES)
    return;
  batch->listed_bytes -= item->length;
  lc_batch_result_clear (&item->result);
}

void
lc_batch_written (LcBatch *batch, bool ok, LbTime now, LbList *actions)
{
  batch->is_writing = false;
  if (!ok)
    {
      batch->write_at = now + WRITE_RETRY;
      return;
    }
  for (; batch->n_writing > 0; batch->n_writing--)
    {
      LcBatchItem *item = LB_CONTAINER (lb_list_pop (&batch->ready), LcBatchItem, ready);
      item->state = ITEM_LISTED;
      item->listed_at = now;
      hold_listed (batch, item);
      batch->n_listed++;
    }
  write_ready (batch, actions);
}

static void
make_ready (LcBatch *batch, LcBatchItem *item, bool completed, LbList *actions)
{
  item->state = ITEM_READY;
  item->request = 0;
  item->result.completed = completed;
  if (!completed)
    {
      free (item->result.text);
      item->result.text = NULL;
      item->result.n_versions = 0;
    }
  lb_list_append (&batch->ready, &item->ready);
  write_ready (batch, actions);
}

/* --- running --- */

static int64_t
tokens_of (const LcBatch *batch, int64_t events)
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
  double seconds = rate > 0 ? (double)tokens_of (batch, events) / rate
                            : (double)events * DEFAULT_EVENT_SECONDS;

  return batch->settings.due_at - (LbTime)(seconds * LB_SEC);
}

static void
run (LcBatch *batch, LcBatchItem *item, LbTime now, LbList *actions)
{
  LcBatchAction *action = add_action (actions, LC_BATCH_RUN);

  item->state = ITEM_RUNNING;
  item->started = now;
  item->first_piece = 0;
  item->run_events = 0;
  item->pace = (LcStreamPace){ 0 };
  item->recalled = false;
  item->request = batch->settings.next_id (batch->settings.user);
  action->request = item->request;
  action->item = index_of (batch, item);
  action->resume_at = item->events;
  action->avoid = item->avoid;
  action->expected_events
      = lc_batch_item_expected_events (item, &batch->spec.items[index_of (batch, item)],
                                       tokens_of (batch, 1));
  action->wanted_by = batch->settings.due_at;
  action->latest_start = latest_start (batch, action->expected_events);
}

static void
score (LcBatch *batch, LcBatchItem *item, LbList *actions)
{
  LcBatchAction *action = add_action (actions, LC_BATCH_SCORE);

  item->state = ITEM_SCORING;
  item->request = batch->settings.next_id (batch->settings.user);
  action->request = item->request;
  action->item = index_of (batch, item);
}

/* The text is whole. */
static void
after_text (LcBatch *batch, LcBatchItem *item, LbList *actions)
{
  if (batch->spec.items[index_of (batch, item)].has_scorer && !item->result.score)
    score (batch, item, actions);
  else
    make_ready (batch, item, true, actions);
}

void
lc_batch_restore (LcBatch *batch, const LcBatchPart *part)
{
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (item->state != ITEM_WAITING || strcmp (batch->spec.items[i].request.id, part->item) != 0
          || part->n_versions > LC_MAX_RESULT_VERSIONS)
        continue;
      lc_batch_item_begin_with (item, part->text, part->events, part->versions, part->n_versions);
    }
}

/* An owner that is killed or cut off would take all running texts with it, and the longest, on
 * which the step waits, would begin again. The next owner goes on from what was kept. */
void
lc_batch_keep (LcBatch *batch, LbTime now, LbList *actions)
{
  LcBatchPart *parts = NULL;
  size_t bytes = 0;
  size_t n = 0;

  batch->next_keep = now + KEEP_PERIOD;
  if (!lb_switch_is_on (LB_SWITCH_KEPT_TEXTS))
    return;
  parts = LB_NEW_ARRAY (LcBatchPart, MAX_RESULTS_PER_WRITE);
  for (size_t i = 0; i < batch->spec.n_items && n < MAX_RESULTS_PER_WRITE; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (!lc_batch_item_is_worth_keeping (item) || bytes + item->length > MAX_BYTES_PER_WRITE)
        continue;
      bytes += item->length;
      item->kept = item->events;
      parts[n++] = (LcBatchPart){ .item = batch->spec.items[i].request.id,
                                  .events = item->events,
                                  .text = item->result.text,
                                  .versions = item->result.versions,
                                  .n_versions = item->result.n_versions };
    }
  if (n == 0)
    {
      free (parts);
      return;
    }
  LcBatchAction *action = add_action (actions, LC_BATCH_KEEP);
  action->parts = parts;
  action->n_parts = n;
}

/* Of groups that an earlier batch did not get whole. */
static void
take_carried (LcBatch *batch, LbList *actions)
{
  size_t n_whole = 0;
  size_t n_begun = 0;

  for (size_t i = 0; batch->settings.carried && i < batch->spec.n_items; i++)
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
  take_carried (batch, actions);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    if (batch->items[i].state == ITEM_WAITING && batch->items[i].retry_at <= now)
      run (batch, &batch->items[i], now, actions);
}

static void
try_later (LcBatchItem *item, LcBatchItemState state, LbTime now)
{
  LbTime delay = FIRST_DELAY;

  for (int i = 0; i < item->retries && delay < LONGEST_DELAY; i++)
    delay *= 2;
  item->retries++;
  item->state = state;
  item->request = 0;
  item->retry_at = now + (delay < LONGEST_DELAY ? delay : LONGEST_DELAY);
}

void
lc_batch_piece (LcBatch *batch,
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
  item->events++;
  item->run_events++;
  item->retries = 0;
  if (item->first_piece == 0)
    item->first_piece = now;
  else
    lc_stream_pace_add (&item->pace, tokens_of (batch, 1), now - item->last_piece);
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
  lc_lengths_add (&history->lengths, tokens_of (batch, item->events));
  /* The first event comes at the beginning of the time that is measured. */
  if (item->run_events > INTERVALS_TO_LEARN)
    lc_pace_add (&history->pace, tokens_of (batch, item->run_events - 1),
                 item->first_piece - item->started, now - item->first_piece);
}

static void
finish_text (LcBatch *batch, LcBatchItem *item, LbTime now, LbList *actions)
{
  if (item->unusable || item->events == 0)
    {
      lc_batch_item_restart (item);
      try_later (item, ITEM_WAITING, now);
      return;
    }
  item->retries = 0;
  learn (batch, item, now);
  after_text (batch, item, actions);
}

void
lc_batch_ran (LcBatch *batch, LcRequestId request, LbErrorCode error, LbTime now, LbList *actions)
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
  if (error == LB_ERROR_REJECTED || item->failures >= batch->settings.attempts)
    {
      lb_log (LB_LOG_INFO, "item_given_up", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_TEXT ("error", lb_error_name (error)),
              LB_INT ("failures", item->failures));
      make_ready (batch, item, false, actions);
      return;
    }
  if (item->unusable || !batch->settings.resumable)
    lc_batch_item_restart (item);
  try_later (item, ITEM_WAITING, now);
}

void
lc_batch_scored (LcBatch *batch,
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
      make_ready (batch, item, true, actions);
      return;
    }
  item->score_failures += error == LB_ERROR_ENDPOINT_FAILED;
  if (item->score_failures >= batch->settings.score_attempts)
    {
      lb_log (LB_LOG_INFO, "item_not_scored", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_INT ("failures", item->score_failures));
      make_ready (batch, item, false, actions);
      return;
    }
  try_later (item, ITEM_GENERATED, now);
}

static bool
is_open (const LcBatchItem *item)
{
  return item->state != ITEM_READY && item->state != ITEM_LISTED;
}

static void
stop_request (LcBatchItem *item, LbList *actions)
{
  if (item->request == 0)
    return;
  add_action (actions, LC_BATCH_STOP)->request = item->request;
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
      stop_request (item, actions);
      make_ready (batch, item, false, actions);
    }
}

/* Seconds that are won if the running item goes on at another endpoint. */
static double
move_gain (const LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  const LcBatchHistory *history = batch->settings.history;
  const LcProgress progress = { .tokens = tokens_of (batch, item->run_events),
                                .max_tokens = batch->spec.items[index_of (batch, item)].max_tokens,
                                .started = item->started,
                                .first_piece = item->first_piece,
                                .token_seconds = lc_batch_item_token_seconds (item, now) };

  if (item->state != ITEM_RUNNING || item->recalled || item->moves >= MOST_MOVES || item->unusable
      || item->run_events <= INTERVALS_TO_LEARN)
    return 0;
  return lc_straggler_move_gain (&history->lengths, &history->pace, &progress, IDLE_WEIGHT, now);
}

/* A text that can't be used is not awaited: it is made again at once. */
static void
restart_unusable (LcBatch *batch, LbTime now, LbList *actions)
{
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (item->state != ITEM_RUNNING || !item->unusable || item->recalled)
        continue;
      lb_log (LB_LOG_WARNING, "text_unusable", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_TEXT ("endpoint", item->endpoint),
              LB_INT ("version", item->result.n_versions > 0 ? item->result.versions[0] : 0),
              LB_INT ("min_version", batch->spec.min_version));
      stop_request (item, actions);
      lc_batch_item_restart (item);
      try_later (item, ITEM_WAITING, now);
    }
}

/* The step is whole only when its slowest texts are. An engine that turned slow makes its streams
 * take several times as long, so the trainer waits for them although other engines have room: such
 * an item goes on elsewhere from what it has. */
static void
move_slow_ones (LcBatch *batch, LbTime now, LbList *actions)
{
  batch->next_review = now + REVIEW_PERIOD;
  if (!batch->settings.history || !batch->settings.resumable || !lb_switch_is_on (LB_SWITCH_MOVES))
    return;
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      double gain = move_gain (batch, item, now);
      if (gain <= 0)
        continue;
      item->recalled = true;
      item->moves++;
      LB_COPY (item->avoid, item->endpoint);
      add_action (actions, LC_BATCH_RECALL)->request = item->request;
      lb_log (LB_LOG_INFO, "item_moved", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_TEXT ("from", item->endpoint),
              LB_INT ("events", item->events), LB_REAL ("gain_seconds", gain));
    }
}

/* Guards against an instance that stood still itself: all its streams look silent before it has
 * read what came meanwhile, and it would move every text. */
static void
note_own_pause (LcBatch *batch, LbTime now)
{
  if (batch->last_tick > 0 && now - batch->last_tick > REVIEW_PERIOD + OWN_PAUSE)
    batch->next_review = now + OWN_PAUSE;
  batch->last_tick = now;
}

void
lc_batch_tick (LcBatch *batch, LbTime now, LbList *actions)
{
  note_own_pause (batch, now);
  if (batch->is_stopped || !batch->is_started)
    return;
  if (now >= batch->settings.give_up_at)
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
    {
      restart_unusable (batch, now, actions);
      move_slow_ones (batch, now, actions);
    }
  if (now >= batch->next_keep)
    lc_batch_keep (batch, now, actions);
  if (now >= batch->write_at)
    write_ready (batch, actions);
}

void
lc_batch_stop (LcBatch *batch, LbTime now, LbList *actions)
{
  batch->is_stopped = true;
  if (batch->settings.carried)
    lc_batch_carry_leave (&batch->spec, batch->items, batch->settings.carried, now);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    stop_request (&batch->items[i], actions);
}

const LcBatchSpec *
lc_batch_spec (const LcBatch *batch)
{
  return &batch->spec;
}

int64_t
lc_batch_listed (const LcBatch *batch)
{
  return batch->n_listed;
}

bool
lc_batch_is_done (const LcBatch *batch)
{
  return batch->n_listed >= (int64_t)batch->spec.n_items;
}

LbTime
lc_batch_next_tick (const LcBatch *batch)
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
                                     batch->settings.give_up_at)
                  : next;
}

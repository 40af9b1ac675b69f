#include "lc-batch-private.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"

#include <stdlib.h>

#define ITEM_REVIEW_PERIOD (100 * LB_MSEC)
#define MAX_MOVES_PER_ITEM 3
/* A tick that is late by more than this time means that this instance itself was paused. The next
 * check for slow items is then postponed by the same time. */
#define MIN_INSTANCE_PAUSE (300 * LB_MSEC)
/* Weight of the trainer's idle time against the extra work of a move; 1: only idle time counts. */
#define TRAINER_IDLE_WEIGHT 1.0

/* Expected seconds saved if the item moves to another endpoint now; 0 or less: do not move it. */
static double
estimate_move_gain_seconds (const LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  const LcBatchHistory *history = batch->settings.history;
  const LcSampleProgress progress
      = { .tokens = lc_batch_events_to_tokens (batch, item->request_events),
          .max_tokens = batch->spec.items[lc_batch_find_item_index (batch, item)].max_tokens,
          .started_at = item->started_at,
          .first_piece_at = item->first_piece_at,
          .recent_seconds_per_token = lc_batch_item_estimate_seconds_per_token (item, now) };

  if (item->state != ITEM_GENERATING || item->is_preempted || item->n_moves >= MAX_MOVES_PER_ITEM
      || item->is_unusable || item->request_events <= LC_BATCH_MIN_PACE_INTERVALS)
    return 0;
  return lc_straggler_move_gain_seconds (&history->lengths, &history->pace, &progress,
                                         TRAINER_IDLE_WEIGHT, now);
}

/* Restarts unusable texts at once, without waiting until the texts are complete. */
static void
restart_unusable_texts (LcBatch *batch, LbTime now, LbList *actions)
{
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      if (item->state != ITEM_GENERATING || !item->is_unusable || item->is_preempted)
        continue;
      lb_log (LB_LOG_WARNING, "text_unusable", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_TEXT ("endpoint", item->last_endpoint),
              LB_INT ("version", item->result.n_versions > 0 ? item->result.versions[0] : 0),
              LB_INT ("min_version", batch->spec.min_version));
      lc_batch_cancel_item_request (item, actions);
      lc_batch_item_restart_text (item);
      lc_batch_item_schedule_retry (item, ITEM_WAITING, now);
    }
}

void
lc_batch_record_item_move (LcBatch *batch, LcBatchItem *item, const LcMoveDecision *move)
{
  item->n_moves++;
  LB_COPY (item->avoid_endpoint, item->last_endpoint);
  LB_COPY (item->preferred_endpoint, move->endpoint);
  lb_log (LB_LOG_INFO, "item_moved", LB_TEXT ("batch", batch->spec.id),
          LB_TEXT ("item", item->result.item), LB_TEXT ("from", item->last_endpoint),
          LB_TEXT ("to", move->endpoint), LB_TEXT ("reason", lc_move_reason_name (move->reason)),
          LB_INT ("events", item->n_events), LB_BOOL ("decides_step", item->decides_step),
          LB_REAL ("gain_seconds", move->gain_seconds));
}

void
lc_batch_log_refused_moves (const LcBatch *batch)
{
  const int64_t *refused = batch->refused_moves;
  int64_t n = 0;

  for (int i = 0; i < LC_N_MOVE_REASONS; i++)
    n += refused[i];
  if (n == 0)
    return;
  lb_log (LB_LOG_INFO, "moves_refused", LB_TEXT ("batch", batch->spec.id),
          LB_INT ("no_free_slot", refused[LC_MOVE_NO_FREE_SLOT]),
          LB_INT ("requests_wait", refused[LC_MOVE_REQUESTS_WAIT]),
          LB_INT ("gain_too_small", refused[LC_MOVE_GAIN_TOO_SMALL]),
          LB_INT ("step_does_not_wait", refused[LC_MOVE_STEP_DOES_NOT_WAIT]),
          LB_INT ("momentary", refused[LC_MOVE_MOMENTARY]),
          LB_INT ("not_running", refused[LC_MOVE_NOT_RUNNING]));
}

/* Moves the item to any endpoint but its own. */
static void
preempt_item_without_decision (LcBatch *batch, LcBatchItem *item, double gain, LbList *actions)
{
  const LcMoveDecision move = { .reason = LC_MOVE_UNKNOWN_PACE, .gain_seconds = gain };

  lc_batch_add_action (actions, LC_BATCH_PREEMPT)->request = item->request;
  lc_batch_record_item_move (batch, item, &move);
}

/* Asks the caller for a decision on the item's move. */
static void
propose_move (LcBatch *batch, LcBatchItem *item, double gain, LbTime now, LbList *actions)
{
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_PREEMPT);
  double tokens_per_event = (double)lc_batch_events_to_tokens (batch, 1);
  double pace = batch->settings.history->pace.tokens_per_second;

  item->preferred_endpoint[0] = '\0';
  item->decides_step = lc_batch_does_item_decide_step (batch, item, now);
  action->request = item->request;
  action->needs_move_decision = true;
  action->move = (LcMoveProposal){
    .remaining_tokens = lc_batch_estimate_remaining_tokens (batch, item) / tokens_per_event,
    .recent_token_seconds = lc_batch_item_estimate_seconds_per_token (item, now) * tokens_per_event,
    .usual_token_seconds = tokens_per_event / pace,
    .gain_seconds = gain,
    .decides_step = item->decides_step,
  };
}

/* An item whose move would save time. */
typedef struct
{
  LcBatchItem *item;
  double gain_seconds;
  double remaining_seconds; /* expected time until the text is complete if it stays */
} SlowItem;

static int
compare_slow_items (const void *a, const void *b)
{
  double x = ((const SlowItem *)a)->remaining_seconds;
  double y = ((const SlowItem *)b)->remaining_seconds;

  return (x < y) - (x > y);
}

/* Sets `slow` to the items whose move would save time. Returns their number. */
static size_t
find_slow_items (LcBatch *batch, LbTime now, SlowItem *slow)
{
  size_t n = 0;

  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      LcBatchItem *item = &batch->items[i];
      double gain_seconds
          = now < item->next_move_at ? 0 : estimate_move_gain_seconds (batch, item, now);
      if (gain_seconds <= 0)
        continue;
      slow[n++] = (SlowItem){
        .item = item,
        .gain_seconds = gain_seconds,
        .remaining_seconds = lc_batch_estimate_item_seconds (batch, item, now),
      };
    }
  return n;
}

/* Proposes moves of items from slow engines to other endpoints, which continue the texts. A step is
 * complete only when its slowest text is, so an engine that becomes several times slower would
 * delay the trainer although other engines have free capacity. The item that is expected to end
 * last is proposed first, because free slots are scarce. */
static void
move_slow_items (LcBatch *batch, LbTime now, LbList *actions)
{
  SlowItem *slow = NULL;
  size_t n = 0;

  if (!batch->settings.history || !batch->settings.resumable || !lb_switch_is_on (LB_SWITCH_MOVES))
    return;
  slow = LB_NEW_ARRAY (SlowItem, batch->spec.n_items);
  n = find_slow_items (batch, now, slow);
  if (n > 0 && lb_switch_is_on (LB_SWITCH_MOVE_DECISIONS))
    {
      qsort (slow, n, sizeof *slow, compare_slow_items);
      lc_batch_estimate_group_ends (batch, now);
    }
  for (size_t i = 0; i < n; i++)
    {
      slow[i].item->is_preempted = true;
      if (lb_switch_is_on (LB_SWITCH_MOVE_DECISIONS))
        propose_move (batch, slow[i].item, slow[i].gain_seconds, now, actions);
      else
        preempt_item_without_decision (batch, slow[i].item, slow[i].gain_seconds, actions);
    }
  free (slow);
}

/* After a pause of this instance, all streams look stalled until the events that arrived during the
 * pause are read. A check for slow items before that would move every item. */
void
lc_batch_postpone_item_review_after_pause (LcBatch *batch, LbTime now)
{
  if (batch->last_tick_at > 0
      && now - batch->last_tick_at > ITEM_REVIEW_PERIOD + MIN_INSTANCE_PAUSE)
    batch->next_review_at = now + MIN_INSTANCE_PAUSE;
  batch->last_tick_at = now;
}

void
lc_batch_restart_or_move_items (LcBatch *batch, LbTime now, LbList *actions)
{
  batch->next_review_at = now + ITEM_REVIEW_PERIOD;
  restart_unusable_texts (batch, now, actions);
  move_slow_items (batch, now, actions);
}

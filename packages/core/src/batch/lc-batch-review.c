#include "lc-batch-private.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lb-switch.h"

/* Between looks for texts that come too slowly. */
#define REVIEW_PERIOD (100 * LB_MSEC)
/* An item that was moved so often stays where it is. */
#define MAX_MOVES 3
/* Looks for slow texts come this late only when this instance itself stood still. */
#define OWN_PAUSE (300 * LB_MSEC)
/* Only the time counts by which the trainer waits longer. */
#define IDLE_WEIGHT 1.0

/* Seconds that are won if the running item goes on at another endpoint. */
static double
move_gain (const LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  const LcBatchHistory *history = batch->settings.history;
  const LcSampleProgress progress
      = { .tokens = lc_batch_tokens_of (batch, item->run_events),
          .max_tokens = batch->spec.items[lc_batch_index_of (batch, item)].max_tokens,
          .started_at = item->started,
          .first_piece_at = item->first_piece,
          .recent_seconds_per_token = lc_batch_item_token_seconds (item, now) };

  if (item->state != ITEM_RUNNING || item->recalled || item->moves >= MAX_MOVES || item->unusable
      || item->run_events <= LC_BATCH_INTERVALS_TO_LEARN)
    return 0;
  return lc_straggler_move_gain_seconds (&history->lengths, &history->pace, &progress, IDLE_WEIGHT,
                                         now);
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
      lc_batch_stop_request (item, actions);
      lc_batch_item_restart (item);
      lc_batch_item_try_later (item, ITEM_WAITING, now);
    }
}

/* The step is whole only when its slowest texts are. An engine that turned slow makes its streams
 * take several times as long, so the trainer waits for them although other engines have room: such
 * an item goes on elsewhere from what it has. */
static void
move_slow_ones (LcBatch *batch, LbTime now, LbList *actions)
{
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
      lc_batch_add_action (actions, LC_BATCH_PREEMPT)->request = item->request;
      lb_log (LB_LOG_INFO, "item_moved", LB_TEXT ("batch", batch->spec.id),
              LB_TEXT ("item", item->result.item), LB_TEXT ("from", item->endpoint),
              LB_INT ("events", item->events), LB_REAL ("gain_seconds", gain));
    }
}

/* Guards against an instance that stood still itself: all its streams look silent before it has
 * read what came meanwhile, and it would move every text. */
void
lc_batch_note_own_pause (LcBatch *batch, LbTime now)
{
  if (batch->last_tick > 0 && now - batch->last_tick > REVIEW_PERIOD + OWN_PAUSE)
    batch->next_review = now + OWN_PAUSE;
  batch->last_tick = now;
}

void
lc_batch_review (LcBatch *batch, LbTime now, LbList *actions)
{
  batch->next_review = now + REVIEW_PERIOD;
  restart_unusable (batch, now, actions);
  move_slow_ones (batch, now, actions);
}

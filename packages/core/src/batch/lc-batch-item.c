#include "lc-batch-item.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_RETRY_DELAY (50 * LB_MSEC) /* delay of the first retry; doubles with each retry */
#define MAX_RETRY_DELAY (800 * LB_MSEC)
/* Assumed length of a text whose expected and maximum lengths are unknown. */
#define DEFAULT_TEXT_EVENTS 8
/* Divisor of the estimated length: at least a quarter of this length is assumed to remain, since
 * the estimates are right at the median but often far off. */
#define MIN_REMAINING_DIVISOR 4
/* Minimum number of new events of a text to save it. Fewer events cost more to write and to read
 * than to generate again, which takes a quarter of a second at twelve events a second. */
#define MIN_CHECKPOINT_EVENTS 3
/* A stream without an event for this time counts as stalled. This is at least eight times the usual
 * interval between events. */
#define STALL_TIMEOUT (400 * LB_MSEC)

/* Events are separated by line feeds. */
void
lc_batch_item_append_event (LcBatchItem *item, const char *text)
{
  size_t event_length = strlen (text);
  size_t needed = item->text_length + event_length + 2;

  if (needed > item->text_capacity)
    {
      item->text_capacity = 2 * needed;
      item->result.text = lb_realloc (item->result.text, item->text_capacity);
    }
  if (item->n_events > 0)
    item->result.text[item->text_length++] = '\n';
  memcpy (item->result.text + item->text_length, text, event_length + 1);
  item->text_length += event_length;
  item->n_events++;
}

void
lc_batch_item_set_reused_text (LcBatchItem *item,
                               const char *text,
                               int64_t n_events,
                               const LcVersion *versions,
                               size_t n_versions)
{
  item->result.text = lb_strdup (text);
  item->text_length = strlen (text);
  item->text_capacity = item->text_length + 1;
  item->n_events = n_events;
  memcpy (item->result.versions, versions, n_versions * sizeof *versions);
  item->result.n_versions = n_versions;
}

static bool
continues_item_text (const LcBatchItem *item, const LcBatchTextPart *part)
{
  return part->restarts == item->restarts && part->first_event == item->n_events;
}

void
lc_batch_item_restore_checkpointed_text (LcBatchItem *item, const LcBatchTextPart *part)
{
  if (part->restarts > item->max_restored_restarts)
    item->max_restored_restarts = part->restarts;
  if (part->restarts > item->restarts && part->first_event == 0)
    {
      lc_batch_item_restart_text (item);
      item->restarts = part->restarts;
      item->has_gap = false;
    }
  if (!continues_item_text (item, part))
    {
      item->has_gap = true;
      return;
    }
  lc_batch_item_append_event (item, part->text);
  item->n_events = part->first_event + part->n_events;
  item->saved_events = item->n_events;
  item->saved_length = item->text_length;
  memcpy (item->result.versions, part->versions, part->n_versions * sizeof *part->versions);
  item->result.n_versions = part->n_versions;
}

void
lc_batch_item_record_weight_version (LcBatchItem *item,
                                     LcVersion version,
                                     LcVersion min_version,
                                     bool single_version)
{
  LcBatchResult *result = &item->result;

  /* Reached for weights that the text must not contain: a text of unknown weights cannot be
   * labelled, and weights older than min_version are stale. */
  if (version <= 0 || version < min_version)
    item->is_unusable = true;
  for (size_t i = 0; i < result->n_versions; i++)
    if (result->versions[i] == version)
      return;
  if (result->n_versions == LC_MAX_RESULT_VERSIONS || (single_version && result->n_versions > 0))
    {
      item->is_unusable = true;
      return;
    }
  result->versions[result->n_versions++] = version;
}

void
lc_batch_item_restart_text (LcBatchItem *item)
{
  free (item->result.text);
  item->result.text = NULL;
  item->result.n_versions = 0;
  item->text_length = 0;
  item->text_capacity = 0;
  item->restarts++;
  item->saved_events = 0;
  item->saved_length = 0;
  item->saving_events = 0;
  item->n_events = 0;
  item->is_unusable = false;
}

/* Prevents joining the parts of two different texts. A checkpoint write whose answer was lost may
 * take effect late and shorten a row that a later write had extended, which leaves a gap. Parts
 * after the gap are ignored. The text continues with a new restart number, which invalidates all
 * older parts. */
void
lc_batch_item_finish_text_restore (LcBatchItem *item)
{
  if (!item->has_gap)
    return;
  item->has_gap = false;
  item->restarts = item->max_restored_restarts + 1;
  item->saved_events = 0;
  item->saved_length = 0;
}

/* Returns the estimated length minus the existing events, but at least a fraction of the estimate.
 * The length of the text in an earlier batch replaces the estimate if that text was complete or
 * longer. */
int64_t
lc_batch_item_estimate_remaining_events (const LcBatchItem *item,
                                         const LcBatchItemSpec *spec,
                                         int64_t tokens_per_event)
{
  int64_t tokens = spec->expected_tokens > 0 ? spec->expected_tokens : spec->max_tokens;
  int64_t events
      = tokens > 0 ? (tokens + tokens_per_event - 1) / tokens_per_event : DEFAULT_TEXT_EVENTS;
  int64_t remaining = 0;

  if (item->cached_is_complete || item->cached_events > events)
    events = item->cached_events;
  remaining = events - item->n_events;
  return remaining > events / MIN_REMAINING_DIVISOR ? remaining
                                                    : events / MIN_REMAINING_DIVISOR + 1;
}

/* Counts the time since the last event of a stalled stream as an interval, so that the estimate
 * rises without waiting for the next event. */
double
lc_batch_item_estimate_seconds_per_token (const LcBatchItem *item, LbTime now)
{
  LcStreamPace pace = item->pace;

  if (now - item->last_piece_at > STALL_TIMEOUT)
    lc_stream_pace_add_tokens (&pace, 0, now - item->last_piece_at);
  return lc_stream_pace_token_seconds (&pace);
}

bool
lc_batch_item_needs_checkpoint (const LcBatchItem *item)
{
  return item->state == ITEM_GENERATING && !item->is_unusable
         && item->n_events - item->saved_events >= MIN_CHECKPOINT_EVENTS;
}

/* Returns the offset of the first unsaved event, after the line feed that precedes the event. */
static size_t
get_offset_of_unsaved_text (const LcBatchItem *item)
{
  return item->saved_events > 0 ? item->saved_length + 1 : 0;
}

size_t
lc_batch_item_count_unsaved_bytes (const LcBatchItem *item)
{
  return item->text_length - get_offset_of_unsaved_text (item);
}

LcBatchTextPart
lc_batch_item_begin_checkpoint (LcBatchItem *item)
{
  item->saving_events = item->n_events;
  item->saving_length = item->text_length;
  return (LcBatchTextPart){ .item = item->result.item,
                            .restarts = item->restarts,
                            .first_event = item->saved_events,
                            .n_events = item->n_events - item->saved_events,
                            .text = item->result.text + get_offset_of_unsaved_text (item),
                            .versions = item->result.versions,
                            .n_versions = item->result.n_versions };
}

void
lc_batch_item_finish_checkpoint (LcBatchItem *item, bool ok)
{
  if (ok && item->saving_events > 0)
    {
      item->saved_events = item->saving_events;
      item->saved_length = item->saving_length;
    }
  item->saving_events = 0;
}

void
lc_batch_item_schedule_retry (LcBatchItem *item, LcBatchItemState state, LbTime now)
{
  LbTime delay = FIRST_RETRY_DELAY;

  for (int i = 0; i < item->retries && delay < MAX_RETRY_DELAY; i++)
    delay *= 2;
  item->retries++;
  item->state = state;
  item->request = 0;
  item->retry_at = now + (delay < MAX_RETRY_DELAY ? delay : MAX_RETRY_DELAY);
}

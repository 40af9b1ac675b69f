#include "lc-batch-item.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_DELAY (50 * LB_MSEC) /* before a failed run is tried again; doubles each time */
#define MAX_DELAY (800 * LB_MSEC)
/* Of a text whose length nobody estimated. */
#define DEFAULT_EVENTS 8
/* Estimates are right at the median and often far off: a text that got longer than its own is taken
 * to go on for this part of it. */
#define MIN_PART_LEFT 4
/* Of an addition to what is kept of a text: fewer cost more to write and to read than to make
 * again, a quarter of a second at an engine that makes twelve events a second. */
#define EVENTS_TO_KEEP 3
/* A stream that is silent for longer has stopped, for eight times the usual interval at least. */
#define STOPPED (400 * LB_MSEC)

/* Each event is a line. */
void
lc_batch_item_append (LcBatchItem *item, const char *text)
{
  size_t length = strlen (text);
  size_t needed = item->length + length + 2;

  if (needed > item->capacity)
    {
      item->capacity = 2 * needed;
      item->result.text = lb_realloc (item->result.text, item->capacity);
    }
  if (item->events > 0)
    item->result.text[item->length++] = '\n';
  memcpy (item->result.text + item->length, text, length + 1);
  item->length += length;
  item->events++;
}

void
lc_batch_item_begin_with (LcBatchItem *item,
                          const char *text,
                          int64_t events,
                          const LcVersion *versions,
                          size_t n_versions)
{
  item->result.text = lb_strdup (text);
  item->length = strlen (text);
  item->capacity = item->length + 1;
  item->events = events;
  memcpy (item->result.versions, versions, n_versions * sizeof *versions);
  item->result.n_versions = n_versions;
}

static bool
follows (const LcBatchItem *item, const LcBatchTextPart *part)
{
  return part->restarts == item->run && part->first_event == item->events;
}

void
lc_batch_item_restore (LcBatchItem *item, const LcBatchTextPart *part)
{
  if (part->restarts > item->newest_run)
    item->newest_run = part->restarts;
  if (part->restarts > item->run && part->first_event == 0)
    {
      lc_batch_item_restart (item);
      item->run = part->restarts;
      item->has_gap = false;
    }
  if (!follows (item, part))
    {
      item->has_gap = true;
      return;
    }
  lc_batch_item_append (item, part->text);
  item->events = part->first_event + part->n_events;
  item->kept = item->events;
  item->kept_length = item->length;
  memcpy (item->result.versions, part->versions, part->n_versions * sizeof *part->versions);
  item->result.n_versions = part->n_versions;
}

void
lc_batch_item_note_version (LcBatchItem *item,
                            LcVersion version,
                            LcVersion min_version,
                            bool single_version)
{
  LcBatchResult *result = &item->result;

  /* A text that names no version, or one that is too old, could not be labelled honestly. */
  if (version <= 0 || version < min_version)
    item->unusable = true;
  for (size_t i = 0; i < result->n_versions; i++)
    if (result->versions[i] == version)
      return;
  if (result->n_versions == LC_MAX_RESULT_VERSIONS || (single_version && result->n_versions > 0))
    {
      item->unusable = true;
      return;
    }
  result->versions[result->n_versions++] = version;
}

void
lc_batch_item_restart (LcBatchItem *item)
{
  free (item->result.text);
  item->result.text = NULL;
  item->result.n_versions = 0;
  item->length = 0;
  item->capacity = 0;
  item->run++;
  item->kept = 0;
  item->kept_length = 0;
  item->keeping = 0;
  item->events = 0;
  item->unusable = false;
}

/* Guards against parts of two texts in one: a write whose answer was lost may have shortened what
 * another one kept, and behind the gap stand events of a text that nobody goes on with. What
 * follows a gap is not taken, and the text goes on under a new number, beside which all older parts
 * count no more. */
void
lc_batch_item_end_restore (LcBatchItem *item)
{
  if (!item->has_gap)
    return;
  item->has_gap = false;
  item->run = item->newest_run + 1;
  item->kept = 0;
  item->kept_length = 0;
}

/* What is left of the estimated length, and a part of it at least; of a text that an earlier batch
 * saw, its own length goes before the estimate. */
int64_t
lc_batch_item_expected_events (const LcBatchItem *item,
                               const LcBatchItemSpec *spec,
                               int64_t per_event)
{
  int64_t tokens = spec->expected_tokens > 0 ? spec->expected_tokens : spec->max_tokens;
  int64_t events = tokens > 0 ? (tokens + per_event - 1) / per_event : DEFAULT_EVENTS;
  int64_t left = 0;

  if (item->least_is_all || item->least > events)
    events = item->least;
  left = events - item->events;
  return left > events / MIN_PART_LEFT ? left : events / MIN_PART_LEFT + 1;
}

/* A silence counts as it goes on, so that a stream which stopped is not waited for. */
double
lc_batch_item_token_seconds (const LcBatchItem *item, LbTime now)
{
  LcStreamPace pace = item->pace;

  if (now - item->last_piece > STOPPED)
    lc_stream_pace_add (&pace, 0, now - item->last_piece);
  return lc_stream_pace_token_seconds (&pace);
}

bool
lc_batch_item_is_worth_keeping (const LcBatchItem *item)
{
  return item->state == ITEM_RUNNING && !item->unusable
         && item->events - item->kept >= EVENTS_TO_KEEP;
}

/* The line feed before the first of the new events is not part of them. */
static size_t
keep_from (const LcBatchItem *item)
{
  return item->kept > 0 ? item->kept_length + 1 : 0;
}

size_t
lc_batch_item_keep_bytes (const LcBatchItem *item)
{
  return item->length - keep_from (item);
}

LcBatchTextPart
lc_batch_item_keep (LcBatchItem *item)
{
  item->keeping = item->events;
  item->keeping_length = item->length;
  return (LcBatchTextPart){ .item = item->result.item,
                            .restarts = item->run,
                            .first_event = item->kept,
                            .n_events = item->events - item->kept,
                            .text = item->result.text + keep_from (item),
                            .versions = item->result.versions,
                            .n_versions = item->result.n_versions };
}

void
lc_batch_item_kept (LcBatchItem *item, bool ok)
{
  if (ok && item->keeping > 0)
    {
      item->kept = item->keeping;
      item->kept_length = item->keeping_length;
    }
  item->keeping = 0;
}

void
lc_batch_item_try_later (LcBatchItem *item, LcBatchItemState state, LbTime now)
{
  LbTime delay = FIRST_DELAY;

  for (int i = 0; i < item->retries && delay < MAX_DELAY; i++)
    delay *= 2;
  item->retries++;
  item->state = state;
  item->request = 0;
  item->retry_at = now + (delay < MAX_DELAY ? delay : MAX_DELAY);
}

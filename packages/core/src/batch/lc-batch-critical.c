#include "lc-batch-private.h"

#include "lb-alloc.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

/* A group that is expected to be complete at most this much after the target number of groups may
 * be one of them, since the lengths of texts are predicted only roughly. */
#define GROUP_TOLERANCE_SECONDS 0.5
/* A text decides when the step ends if it is expected to end at least this much later than the step
 * would if no text were slow. */
#define MIN_EXCESS_SECONDS 0.8

typedef struct
{
  UT_hash_handle hh;
  const char *name;
  size_t index;
} NumberedGroup;

/* An item without a group is a group of its own. */
void
lc_batch_number_groups (LcBatch *batch)
{
  NumberedGroup *groups = LB_NEW_ARRAY (NumberedGroup, batch->spec.n_items);
  NumberedGroup *by_name = NULL;

  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      const char *name = batch->spec.items[i].group;
      NumberedGroup *group = NULL;
      if (name[0])
        HASH_FIND_STR (by_name, name, group);
      if (!group)
        {
          group = &groups[batch->n_groups];
          group->name = name;
          group->index = batch->n_groups++;
          if (name[0])
            HASH_ADD_KEYPTR (hh, by_name, name, strlen (name), group);
        }
      batch->items[i].group = group->index;
    }
  HASH_CLEAR (hh, by_name);
  free (groups);
  batch->group_seconds = LB_NEW_ARRAY (double, batch->n_groups);
  batch->sorted_group_seconds = LB_NEW_ARRAY (double, batch->n_groups);
}

/* Uses the expected length that the trainer sent with the item, if any; otherwise the lengths of
 * complete texts. */
double
lc_batch_estimate_remaining_tokens (const LcBatch *batch, const LcBatchItem *item)
{
  const LcBatchItemSpec *spec = &batch->spec.items[lc_batch_find_item_index (batch, item)];
  int64_t events = 0;

  if (spec->expected_tokens == 0)
    return lc_length_histogram_estimate_remaining_tokens (
        &batch->settings.history->lengths, lc_batch_events_to_tokens (batch, item->n_events),
        spec->max_tokens);
  events
      = lc_batch_item_estimate_remaining_events (item, spec, lc_batch_events_to_tokens (batch, 1));
  return (double)lc_batch_events_to_tokens (batch, events);
}

/* Returns the expected time until the item's text is complete; 0: it is. */
double
lc_batch_estimate_item_seconds (const LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  const LcPace *pace = &batch->settings.history->pace;
  double recent = lc_batch_item_estimate_seconds_per_token (item, now);

  if (item->is_abandoned)
    return HUGE_VAL;
  if (item->state != ITEM_WAITING && item->state != ITEM_GENERATING)
    return 0;
  if (item->state == ITEM_GENERATING && item->first_piece_at > 0 && recent > 0)
    return lc_batch_estimate_remaining_tokens (batch, item) * recent;
  return lc_pace_expected_generation_seconds (pace,
                                              lc_batch_estimate_remaining_tokens (batch, item));
}

static int
compare_seconds (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Returns the expected time until the item's text is complete if no engine is slow. */
static double
estimate_item_seconds_at_usual_pace (const LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  double seconds = lc_batch_estimate_item_seconds (batch, item, now);
  double rate = batch->settings.history->pace.tokens_per_second;

  if (seconds <= 0 || isinf (seconds) || rate <= 0)
    return seconds;
  return fmin (seconds, lc_batch_estimate_remaining_tokens (batch, item) / rate);
}

void
lc_batch_estimate_group_ends (LcBatch *batch, LbTime now)
{
  memset (batch->group_seconds, 0, batch->n_groups * sizeof *batch->group_seconds);
  for (size_t i = 0; i < batch->spec.n_items; i++)
    {
      double *group = &batch->group_seconds[batch->items[i].group];
      *group = fmax (*group, estimate_item_seconds_at_usual_pace (batch, &batch->items[i], now));
    }
  memcpy (batch->sorted_group_seconds, batch->group_seconds,
          batch->n_groups * sizeof *batch->group_seconds);
  qsort (batch->sorted_group_seconds, batch->n_groups, sizeof *batch->sorted_group_seconds,
         compare_seconds);
}

/* Returns the expected time until the target number of groups is complete. Groups that can no
 * longer be complete are not waited for. */
static double
get_step_seconds (const LcBatch *batch)
{
  size_t n = batch->n_groups;
  size_t target = batch->spec.target_groups > 0 && (size_t)batch->spec.target_groups < n
                      ? (size_t)batch->spec.target_groups
                      : n;

  while (target > 1 && isinf (batch->sorted_group_seconds[target - 1]))
    target--;
  return batch->sorted_group_seconds[target - 1];
}

/* The step ends when the target number of groups is complete. A text decides this if its group can
 * be one of them, and the text would end later than the others at their usual pace. */
bool
lc_batch_does_item_decide_step (const LcBatch *batch, const LcBatchItem *item, LbTime now)
{
  double step_seconds = get_step_seconds (batch);

  return batch->group_seconds[item->group] <= step_seconds + GROUP_TOLERANCE_SECONDS
         && lc_batch_estimate_item_seconds (batch, item, now) >= step_seconds + MIN_EXCESS_SECONDS;
}

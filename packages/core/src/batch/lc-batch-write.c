#include "lc-batch-private.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <stdlib.h>
#include <string.h>

#define WRITE_RETRY (100 * LB_MSEC)
/* Of texts that are listed and kept for a later batch that asks for their groups again: four times
 * the texts of a step of 2,048 samples of 2 KB. */
#define MAX_LISTED_BYTES ((size_t)(16 << 20))

/* One write is on its way at a time, with all that got ready meanwhile: the position of a result is
 * fixed by the first write that names it, and a write whose answer was lost is repeated with the
 * same content, since it may still be carried out. */
void
lc_batch_write_ready (LcBatch *batch, LbList *actions)
{
  size_t bytes = 0;

  if (batch->is_writing || batch->is_stopped || lb_list_is_empty (&batch->ready))
    return;
  if (batch->n_writing == 0)
    {
      batch->writing
          = lb_realloc (batch->writing, LC_BATCH_MAX_RESULTS_PER_WRITE * sizeof *batch->writing);
      LB_LIST_FOREACH (&batch->ready, LcBatchItem, ready, item)
      {
        bytes += item->result.text ? strlen (item->result.text) : 0;
        if (batch->n_writing == LC_BATCH_MAX_RESULTS_PER_WRITE
            || (batch->n_writing > 0 && bytes > LC_BATCH_MAX_BYTES_PER_WRITE))
          break;
        batch->writing[batch->n_writing++] = &item->result;
      }
    }
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_WRITE_RESULTS);
  batch->is_writing = true;
  batch->write_at = LB_TIME_NEVER;
  action->first_position = batch->n_listed;
  action->results = batch->writing;
  action->n_results = batch->n_writing;
}

/* The text is asked for again if its group does not get whole. */
static void
hold_listed (LcBatch *batch, LcBatchItem *item)
{
  batch->listed_bytes += item->length;
  if (batch->listed_bytes <= MAX_LISTED_BYTES)
    return;
  batch->listed_bytes -= item->length;
  lc_batch_result_clear (&item->result);
}

void
lc_batch_finish_write (LcBatch *batch, bool ok, LbTime now, LbList *actions)
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
  lc_batch_write_ready (batch, actions);
}

void
lc_batch_make_ready (LcBatch *batch, LcBatchItem *item, bool completed, LbList *actions)
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
  lc_batch_write_ready (batch, actions);
}

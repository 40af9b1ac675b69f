#include "lc-batch-private.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <stdlib.h>
#include <string.h>

#define WRITE_RETRY_DELAY (100 * LB_MSEC)
/* Maximum total size of the texts that stay in memory after their results were stored, for a later
 * batch that requests their groups again: the texts of four steps of 2,048 samples of 2 KB. */
#define MAX_RETAINED_BYTES ((size_t)(16 << 20))

/* Only one write is in progress at a time; results that become ready during a write go into the
 * next one. The first write that includes a result fixes the result's position. A write whose
 * answer was lost is retried with the same results, since the store may still apply the first
 * attempt. */
void
lc_batch_start_result_write (LcBatch *batch, LbList *actions)
{
  size_t bytes = 0;

  if (batch->is_writing || batch->is_stopped || lb_list_is_empty (&batch->ready_items))
    return;
  if (batch->n_results_in_write == 0)
    {
      batch->results_in_write
          = lb_realloc (batch->results_in_write,
                        LC_BATCH_MAX_RESULTS_PER_WRITE * sizeof *batch->results_in_write);
      LB_LIST_FOREACH (&batch->ready_items, LcBatchItem, ready_link, item)
      {
        bytes += item->result.text ? strlen (item->result.text) : 0;
        if (batch->n_results_in_write == LC_BATCH_MAX_RESULTS_PER_WRITE
            || (batch->n_results_in_write > 0 && bytes > LC_BATCH_MAX_WRITE_BYTES))
          break;
        batch->results_in_write[batch->n_results_in_write++] = &item->result;
      }
    }
  LcBatchAction *action = lc_batch_add_action (actions, LC_BATCH_WRITE_RESULTS);
  batch->is_writing = true;
  batch->retry_write_at = LB_TIME_NEVER;
  action->first_position = batch->n_listed;
  action->results = batch->results_in_write;
  action->n_results = batch->n_results_in_write;
}

/* Keeps the item's text in memory unless the kept texts then exceed MAX_RETAINED_BYTES: a later
 * batch requests the text again if its group stays incomplete. */
static void
retain_text_of_stored_result (LcBatch *batch, LcBatchItem *item)
{
  batch->retained_bytes += item->text_length;
  if (batch->retained_bytes <= MAX_RETAINED_BYTES)
    return;
  batch->retained_bytes -= item->text_length;
  lc_batch_result_clear (&item->result);
}

void
lc_batch_finish_result_write (LcBatch *batch, bool ok, LbTime now, LbList *actions)
{
  batch->is_writing = false;
  if (!ok)
    {
      batch->retry_write_at = now + WRITE_RETRY_DELAY;
      return;
    }
  for (; batch->n_results_in_write > 0; batch->n_results_in_write--)
    {
      LcBatchItem *item = LB_CONTAINER (lb_list_pop (&batch->ready_items), LcBatchItem, ready_link);
      item->state = ITEM_LISTED;
      item->listed_at = now;
      retain_text_of_stored_result (batch, item);
      batch->n_listed++;
    }
  lc_batch_start_result_write (batch, actions);
}

void
lc_batch_queue_result_for_write (LcBatch *batch, LcBatchItem *item, bool completed, LbList *actions)
{
  item->state = ITEM_READY;
  item->request = 0;
  item->result.completed = completed;
  item->is_abandoned = !completed;
  if (!completed)
    {
      free (item->result.text);
      item->result.text = NULL;
      item->result.n_versions = 0;
    }
  lb_list_append (&batch->ready_items, &item->ready_link);
  lc_batch_start_result_write (batch, actions);
}

#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <stdio.h>
#include <stdlib.h>

/* Maximum number of rows to remove in one transaction. The store accepts 100 entries per
 * transaction, and the condition on the batch's row is one of them. */
#define MAX_ROWS_PER_REMOVE_TRANSACTION 90
/* Delay before a failed cleanup is retried. The delay is long because no batch waits for the space
 * in the store. */
#define CLEANUP_RETRY_DELAY (10 * LB_SEC)
/* The live instances are ranked for each batch, and the instance of rank 0 cleans up the batch. An
 * instance of a higher rank waits this long per rank and cleans up only if the batch still exists.
 */
#define CLEANUP_DELAY_PER_RANK (20 * LB_SEC)

static LbMetric batches_removed
    = LB_COUNTER_INIT ("lentilspindle_batches_removed_total",
                       NULL,
                       "Ended batches whose rows were removed from the store");

static LpPlatform *
get_platform (const LnBatch *batch)
{
  return batch->batches->context->platform;
}

static void remove_next_rows_or_content (LnBatch *batch);

static void
finish_cleanup (LnBatch *batch)
{
  batch->batches->cleanup_batch = NULL;
}

static void
postpone_batch_cleanup (LnBatch *batch, LbErrorCode error)
{
  lb_log (LB_LOG_INFO, "batch_not_removed", LB_TEXT ("batch", batch->id),
          LB_TEXT ("error", lb_error_name (error)));
  batch->cleanup_retry_at = lb_clock_monotonic () + CLEANUP_RETRY_DELAY;
  finish_cleanup (batch);
}

/* Counts a failed removal as success if the row is absent: an earlier attempt removed the row,
 * but the answer to that attempt was lost. */
static void
on_batch_row_removed (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (error != LB_OK && !(error == LB_ERROR_CONDITION_FAILED && row->version == 0))
    {
      postpone_batch_cleanup (batch, error);
      return;
    }
  lb_metric_add (&batches_removed, 1);
  lb_log (LB_LOG_INFO, "batch_removed", LB_TEXT ("batch", batch->id));
  finish_cleanup (batch);
  ln_batches_remove (batch);
}

/* Removes the batch's own row. It is the last row to be removed, because any instance can restart
 * the cleanup while it exists. */
static void
remove_batch_row (LnBatch *batch)
{
  char key[LN_BATCH_KEY_SIZE];
  const LpPut put = { .key = key };

  ln_batch_format_row_key (batch->id, key);
  ln_batch_write_rows_if_batch_row_unchanged (batch, &put, 1, LP_PRIORITY_STATUS,
                                              on_batch_row_removed, batch);
}

static void
on_content_removed (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  (void)bytes;
  (void)length;
  LnBatch *batch = user;

  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    postpone_batch_cleanup (batch, error);
  else
    remove_batch_row (batch);
}

static void
remove_batch_content (LnBatch *batch)
{
  LpPlatform *platform = get_platform (batch);
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_format_content_key (batch->id, key);
  platform->klass->remove_object (platform, key, on_content_removed, batch);
}

static void
on_batch_data_rows_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnBatch *batch = user;

  if (error != LB_OK)
    postpone_batch_cleanup (batch, error);
  else
    remove_next_rows_or_content (batch);
}

static void
remove_rows_of_batch (LnBatch *batch, const LpRow *rows, size_t n_rows)
{
  LpPut puts[MAX_ROWS_PER_REMOVE_TRANSACTION];

  for (size_t i = 0; i < n_rows; i++)
    puts[i] = (LpPut){ .key = rows[i].key };
  ln_batch_write_rows_if_batch_row_unchanged (batch, puts, n_rows, LP_PRIORITY_STATUS,
                                              on_batch_data_rows_removed, batch);
}

static void
on_batch_data_rows_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatch *batch = user;

  if (error != LB_OK)
    {
      postpone_batch_cleanup (batch, error);
      return;
    }
  if (n_rows > 0)
    {
      remove_rows_of_batch (batch, rows,
                            n_rows < MAX_ROWS_PER_REMOVE_TRANSACTION
                                ? n_rows
                                : MAX_ROWS_PER_REMOVE_TRANSACTION);
      return;
    }
  batch->cleanup_step++;
  remove_next_rows_or_content (batch);
}

static void
remove_next_rows_or_content (LnBatch *batch)
{
  LpPlatform *platform = get_platform (batch);
  char prefix[LN_BATCH_KEY_SIZE];

  switch (batch->cleanup_step)
    {
    case LN_CLEANUP_RESULTS:
      ln_batch_format_result_prefix (batch->id, prefix);
      break;
    case LN_CLEANUP_TEXT_CHUNKS:
      ln_batch_format_all_text_chunks_prefix (batch->id, prefix);
      break;
    case LN_CLEANUP_CHECKPOINTS:
      ln_batch_format_checkpoint_prefix (batch->id, prefix);
      break;
    case LN_CLEANUP_CONTENT:
      remove_batch_content (batch);
      return;
    }
  platform->klass->list (platform, prefix, NULL, MAX_ROWS_PER_REMOVE_TRANSACTION,
                         on_batch_data_rows_listed, batch);
}

static bool
is_cleanup_due (const LnBatch *batch, LbTime now)
{
  const LnBatches *batches = batch->batches;
  LbTime retention = batches->context->settings->batches.keep_ended_s * LB_SEC;

  if (!batch->head.ended || batch->state != LN_BATCH_NOT_OWNED || batch->ended_at == 0
      || now < batch->cleanup_retry_at || now < batch->ended_at + retention)
    return false;
  LbTime rank_delay
      = (LbTime)ln_batch_get_rank_of_this_instance (batch, batch->id) * CLEANUP_DELAY_PER_RANK;
  return now >= batch->ended_at + retention + rank_delay;
}

/* Starts to remove an ended batch whose retention time is over. The store has no expiry and rejects
 * writes when it is full, so without the cleanup it would reject new batches after some hours. */
void
ln_batch_cleanup_start_if_due (LnBatches *batches, LbTime now)
{
  if (batches->cleanup_batch || batches->draining || batches->members_change_count == 0
      || !batches->context->platform->klass->remove_object)
    return;
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (is_cleanup_due (batch, now))
      {
        batches->cleanup_batch = batch;
        batch->cleanup_step = LN_CLEANUP_RESULTS;
        remove_next_rows_or_content (batch);
        return;
      }
}

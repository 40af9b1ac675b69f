#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <stdio.h>
#include <stdlib.h>

/* Rows removed in one transaction; the store accepts 100 entries, one of which is the condition. */
#define MAX_ROWS_PER_WRITE 90
/* Delay after a failure; long, since no batch waits for the space. */
#define RETRY_DELAY (10 * LB_SEC)
/* The candidate of rank 0 cleans up; each next one starts this much later, if still needed. */
#define DELAY_PER_RANK (20 * LB_SEC)

static LbMetric batches_removed
    = LB_COUNTER_INIT ("lentilspindle_batches_removed_total",
                       NULL,
                       "Ended batches whose rows were removed from the store");

static LpPlatform *
get_platform (const LnBatch *batch)
{
  return batch->batches->context->platform;
}

static void remove_next (LnBatch *batch);

static void
finish_cleanup (LnBatch *batch)
{
  batch->batches->cleanup_batch = NULL;
}

static void
postpone_cleanup (LnBatch *batch, LbErrorCode error)
{
  lb_log (LB_LOG_INFO, "batch_not_removed", LB_TEXT ("batch", batch->id),
          LB_TEXT ("error", lb_error_name (error)));
  batch->cleanup_retry_at = lb_clock_monotonic () + RETRY_DELAY;
  finish_cleanup (batch);
}

/* A failed condition without a row: an earlier write, whose answer was lost, has removed it. */
static void
on_head_removed (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (error != LB_OK && !(error == LB_ERROR_CONDITION_FAILED && row->version == 0))
    {
      postpone_cleanup (batch, error);
      return;
    }
  lb_metric_add (&batches_removed, 1);
  lb_log (LB_LOG_INFO, "batch_removed", LB_TEXT ("batch", batch->id));
  finish_cleanup (batch);
  ln_batches_remove (batch);
}

/* The batch's own row is removed last: while it exists, any instance can restart the cleanup. */
static void
remove_head (LnBatch *batch)
{
  char key[LN_BATCH_KEY_SIZE];
  const LpPut put = { .key = key };

  ln_batch_head_key (batch->id, key);
  ln_batch_heads_write_if_unchanged (batch, &put, 1, LP_PRIORITY_STATUS, on_head_removed, batch);
}

static void
on_content_removed (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  (void)bytes;
  (void)length;
  LnBatch *batch = user;

  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    postpone_cleanup (batch, error);
  else
    remove_head (batch);
}

static void
remove_content (LnBatch *batch)
{
  LpPlatform *platform = get_platform (batch);
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_content_key (batch->id, key);
  platform->klass->remove_object (platform, key, on_content_removed, batch);
}

static void
on_rows_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnBatch *batch = user;

  if (error != LB_OK)
    postpone_cleanup (batch, error);
  else
    remove_next (batch);
}

static void
remove_rows (LnBatch *batch, const LpRow *rows, size_t n_rows)
{
  LpPut puts[MAX_ROWS_PER_WRITE];

  for (size_t i = 0; i < n_rows; i++)
    puts[i] = (LpPut){ .key = rows[i].key };
  ln_batch_heads_write_if_unchanged (batch, puts, n_rows, LP_PRIORITY_STATUS, on_rows_removed,
                                     batch);
}

static void
on_rows_listed (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatch *batch = user;

  if (error != LB_OK)
    {
      postpone_cleanup (batch, error);
      return;
    }
  if (n_rows > 0)
    {
      remove_rows (batch, rows, n_rows < MAX_ROWS_PER_WRITE ? n_rows : MAX_ROWS_PER_WRITE);
      return;
    }
  batch->cleanup_step++;
  remove_next (batch);
}

static void
remove_next (LnBatch *batch)
{
  LpPlatform *platform = get_platform (batch);
  char prefix[LN_BATCH_KEY_SIZE];

  switch (batch->cleanup_step)
    {
    case LN_CLEANUP_RESULTS:
      ln_batch_result_prefix (batch->id, prefix);
      break;
    case LN_CLEANUP_TEXT_CHUNKS:
      ln_batch_all_chunks_prefix (batch->id, prefix);
      break;
    case LN_CLEANUP_CHECKPOINTS:
      ln_batch_checkpoint_prefix (batch->id, prefix);
      break;
    case LN_CLEANUP_CONTENT:
      remove_content (batch);
      return;
    }
  platform->klass->list (platform, prefix, NULL, MAX_ROWS_PER_WRITE, on_rows_listed, batch);
}

static bool
is_cleanup_due (const LnBatch *batch, LbTime now)
{
  const LnBatches *batches = batch->batches;
  LbTime retention = batches->context->settings->batches.keep_ended_s * LB_SEC;

  if (!batch->head.ended || batch->state != LN_BATCH_NOT_OWNED || batch->ended_at == 0
      || now < batch->cleanup_retry_at || now < batch->ended_at + retention)
    return false;
  LbTime rank_delay = (LbTime)ln_batch_heads_get_rank (batch, batch->id) * DELAY_PER_RANK;
  return now >= batch->ended_at + retention + rank_delay;
}

/* Removes ended batches at the end of their retention time. Nothing in the store expires, and a
 * full store rejects writes: without the cleanup, batches would be rejected after some hours. */
void
ln_batch_cleanup_tick (LnBatches *batches, LbTime now)
{
  if (batches->cleanup_batch || batches->draining || batches->members_change_count == 0
      || !batches->context->platform->klass->remove_object)
    return;
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (is_cleanup_due (batch, now))
      {
        batches->cleanup_batch = batch;
        batch->cleanup_step = LN_CLEANUP_RESULTS;
        remove_next (batch);
        return;
      }
}

#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <stdio.h>
#include <stdlib.h>

/* Rows that go in one transaction; the store takes 100 entries, one of which is the condition. */
#define ROWS_AT_ONCE 90
/* After a failure. Nothing waits for the space, so the store is given time. */
#define RETRY (10 * LB_SEC)
/* One instance does the work; another one begins so much later if that one does not. */
#define RANK_DELAY (20 * LB_SEC)

static LbMetric removed = LB_COUNTER_INIT ("lentilspindle_batches_removed_total",
                                           NULL,
                                           "Ended batches whose rows were removed from the store");

static LpPlatform *
platform_of (const LnBatch *batch)
{
  return batch->batches->context->platform;
}

static void remove_next (LnBatch *batch);

static void
stop (LnBatch *batch)
{
  batch->batches->cleaned = NULL;
}

static void
fail (LnBatch *batch, LbErrorCode error)
{
  lb_log (LB_LOG_INFO, "batch_not_removed", LB_TEXT ("batch", batch->id),
          LB_TEXT ("error", lb_error_name (error)));
  batch->clean_at = lb_clock_monotonic () + RETRY;
  stop (batch);
}

/* The row is gone, by this write or by an earlier one whose answer was lost. */
static void
on_head_removed (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;

  if (error != LB_OK && !(error == LB_ERROR_CONDITION_FAILED && row->version == 0))
    {
      fail (batch, error);
      return;
    }
  lb_metric_add (&removed, 1);
  lb_log (LB_LOG_INFO, "batch_removed", LB_TEXT ("batch", batch->id));
  stop (batch);
  ln_batches_forget (batch);
}

/* The batch's own row goes last: as long as it stands, any instance can begin the work anew. */
static void
remove_head (LnBatch *batch)
{
  char key[LN_BATCH_KEY_SIZE];
  const LpPut put = { .key = key };

  ln_batch_head_key (batch->id, key);
  ln_batch_heads_transact (batch, &put, 1, LP_PRIORITY_STATUS, on_head_removed, batch);
}

static void
on_object_removed (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  (void)bytes;
  (void)length;
  LnBatch *batch = user;

  if (error != LB_OK && error != LB_ERROR_NOT_FOUND)
    fail (batch, error);
  else
    remove_head (batch);
}

static void
remove_object (LnBatch *batch)
{
  LpPlatform *platform = platform_of (batch);
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_object_key (batch->id, key);
  platform->klass->remove_object (platform, key, on_object_removed, batch);
}

static void
on_rows_removed (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  LnBatch *batch = user;

  if (error != LB_OK)
    fail (batch, error);
  else
    remove_next (batch);
}

static void
remove_rows (LnBatch *batch, const LpRow *rows, size_t n_rows)
{
  LpPut puts[ROWS_AT_ONCE];

  for (size_t i = 0; i < n_rows; i++)
    puts[i] = (LpPut){ .key = rows[i].key };
  ln_batch_heads_transact (batch, puts, n_rows, LP_PRIORITY_STATUS, on_rows_removed, batch);
}

static void
on_rows (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatch *batch = user;

  if (error != LB_OK)
    {
      fail (batch, error);
      return;
    }
  if (n_rows > 0)
    {
      remove_rows (batch, rows, n_rows < ROWS_AT_ONCE ? n_rows : ROWS_AT_ONCE);
      return;
    }
  batch->clean_step++;
  remove_next (batch);
}

static void
remove_next (LnBatch *batch)
{
  LpPlatform *platform = platform_of (batch);
  char prefix[LN_BATCH_KEY_SIZE];

  switch (batch->clean_step)
    {
    case LN_CLEAN_RESULTS:
      ln_batch_result_prefix (batch->id, prefix);
      break;
    case LN_CLEAN_TEXTS:
      ln_batch_texts_prefix (batch->id, prefix);
      break;
    case LN_CLEAN_PARTS:
      ln_batch_part_prefix (batch->id, prefix);
      break;
    case LN_CLEAN_OBJECT:
      remove_object (batch);
      return;
    }
  platform->klass->list (platform, prefix, NULL, ROWS_AT_ONCE, on_rows, batch);
}

static bool
is_due (const LnBatch *batch, LbTime now)
{
  const LnBatches *batches = batch->batches;
  LbTime keep = batches->context->settings->batches.keep_ended_s * LB_SEC;

  if (!batch->head.ended || batch->held != LN_HELD_NOT || batch->ended_at == 0
      || now < batch->clean_at || now < batch->ended_at + keep)
    return false;
  LbTime turn = (LbTime)ln_batch_heads_rank (batch, batch->id) * RANK_DELAY;
  return now >= batch->ended_at + keep + turn;
}

/* Nothing in the store expires, and it takes no more writes when it is full: batches would be
 * refused after some hours. What an ended batch left is removed when it need not be readable any
 * longer. */
void
ln_batch_cleanup_tick (LnBatches *batches, LbTime now)
{
  if (batches->cleaned || batches->draining || batches->members_change == 0
      || !batches->context->platform->klass->remove_object)
    return;
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (is_due (batch, now))
      {
        batches->cleaned = batch;
        batch->clean_step = LN_CLEAN_RESULTS;
        remove_next (batch);
        return;
      }
}

#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <stdlib.h>

#define BATCH_LOAD_RETRY_DELAY (200 * LB_MSEC) /* delay before a failed load is retried */

/* A load in progress of a batch that this instance has taken over. Reads first the batch's content,
 * then the recorded results, then the checkpoints of incomplete texts. */
typedef struct
{
  LnBatch *batch;
  int64_t epoch; /* epoch of the batch when the load began */
  LcBatchSpec spec;
  LnBatchSavedProgress saved;
} BatchLoad;

static void
saved_progress_clear (LnBatchSavedProgress *saved)
{
  for (size_t i = 0; i < saved->n_parts; i++)
    {
      free ((char *)saved->parts[i].item);
      free ((char *)saved->parts[i].text);
      free ((LcVersion *)saved->parts[i].versions);
    }
  free (saved->parts);
  free (saved->finished_items);
}

static void
batch_load_free (BatchLoad *load)
{
  lc_batch_spec_clear (&load->spec);
  saved_progress_clear (&load->saved);
  free (load);
}

static bool
is_load_outdated (const BatchLoad *load)
{
  return load->batch->state != LN_BATCH_LOADING || load->batch->head.epoch != load->epoch;
}

static void
schedule_load_retry (BatchLoad *load, LbErrorCode error)
{
  lb_log (LB_LOG_WARNING, "batch_not_loaded", LB_TEXT ("batch", load->batch->id),
          LB_TEXT ("error", lb_error_name (error)));
  load->batch->load_retry_at = lb_clock_monotonic () + BATCH_LOAD_RETRY_DELAY;
  batch_load_free (load);
}

/* Returns true if the read succeeded and this instance still owns the batch in the epoch of the
 * load. Otherwise ends the load and returns false. */
static bool
end_load_unless_read_succeeded (BatchLoad *load, LbErrorCode error)
{
  if (is_load_outdated (load))
    {
      batch_load_free (load);
      return false;
    }
  if (error == LB_OK)
    return true;
  schedule_load_retry (load, error);
  return false;
}

static void
on_batch_checkpoints_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  BatchLoad *load = user;
  LnBatchSavedProgress *saved = &load->saved;

  if (!end_load_unless_read_succeeded (load, error))
    return;
  saved->parts = LB_NEW_ARRAY (LcBatchTextPart, n_rows + 1);
  for (size_t i = 0; i < n_rows; i++)
    if (!ln_batch_text_part_from_row (&rows[i], &saved->parts[saved->n_parts++]))
      lb_log (LB_LOG_WARNING, "text_so_far_unreadable", LB_TEXT ("key", rows[i].key));
  ln_batch_owner_start_run (load->batch, &load->spec, saved);
  batch_load_free (load);
}

static void
on_batch_results_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  BatchLoad *load = user;
  LpPlatform *platform = load->batch->batches->context->platform;
  LnBatchSavedProgress *saved = &load->saved;
  char prefix[LN_BATCH_KEY_SIZE];

  if (!end_load_unless_read_succeeded (load, error))
    return;
  saved->finished_items = LB_NEW_ARRAY (LnFinishedItem, n_rows + 1);
  for (size_t i = 0; i < n_rows; i++)
    {
      LnFinishedItem *item = &saved->finished_items[saved->n_finished_items++];
      LcBatchResult result;
      size_t n_chunks;
      ln_batch_result_from_row (&rows[i], &result, &n_chunks);
      LB_COPY (item->id, result.item);
      item->completed = result.completed;
      lc_batch_result_clear (&result);
    }
  ln_batch_format_checkpoint_prefix (load->batch->id, prefix);
  platform->klass->list (platform, prefix, NULL, 0, on_batch_checkpoints_listed, load);
}

static void
on_batch_content_read (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  BatchLoad *load = user;
  LnBatch *batch = load->batch;
  LpPlatform *platform = batch->batches->context->platform;
  char prefix[LN_BATCH_KEY_SIZE];
  LbError parse_error = { 0 };

  if (!end_load_unless_read_succeeded (load, error))
    return;
  if (!batch->batches->context->dialect->read_batch (bytes, length, batch->id, &load->spec,
                                                     &parse_error))
    {
      schedule_load_retry (load, parse_error.code);
      return;
    }
  ln_batch_format_result_prefix (batch->id, prefix);
  platform->klass->list (platform, prefix, NULL, 0, on_batch_results_listed, load);
}

void
ln_batch_load_and_run (LnBatch *batch)
{
  LpPlatform *platform = batch->batches->context->platform;
  BatchLoad *load = LB_NEW (BatchLoad);
  char key[LN_BATCH_KEY_SIZE];

  batch->state = LN_BATCH_LOADING;
  batch->load_retry_at = LB_TIME_NEVER;
  load->batch = batch;
  load->epoch = batch->head.epoch;
  ln_batch_format_content_key (batch->id, key);
  platform->klass->get_object (platform, key, on_batch_content_read, load);
}

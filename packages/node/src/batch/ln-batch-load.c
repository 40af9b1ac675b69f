#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <stdlib.h>

#define BATCH_LOAD_RETRY_DELAY (200 * LB_MSEC) /* delay before a failed load is retried */
/* Longest time that a loaded batch waits for the claims and loads of batches that are due earlier.
 */
#define MAX_WAIT_FOR_EARLIER_BATCHES (250 * LB_MSEC)

/* A load in progress of a batch that this instance has taken over. Reads first the batch's content,
 * then the recorded results, then the checkpoints of incomplete texts. */
struct LnBatchLoad
{
  LnBatch *batch;
  int64_t epoch; /* epoch of the batch when the load began */
  LcBatchSpec spec;
  LnBatchSavedProgress saved;
};

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
batch_load_free (LnBatchLoad *load)
{
  lc_batch_spec_clear (&load->spec);
  saved_progress_clear (&load->saved);
  free (load);
}

static bool
is_load_outdated (const LnBatchLoad *load)
{
  return load->batch->state != LN_BATCH_LOADING || load->batch->head.epoch != load->epoch;
}

static void
schedule_load_retry (LnBatchLoad *load, LbErrorCode error)
{
  lb_log (LB_LOG_WARNING, "batch_not_loaded", LB_TEXT ("batch", load->batch->id),
          LB_TEXT ("error", lb_error_name (error)));
  load->batch->load_retry_at = lb_clock_monotonic () + BATCH_LOAD_RETRY_DELAY;
  batch_load_free (load);
}

/* Returns true if the read succeeded and this instance still owns the batch in the epoch of the
 * load. Otherwise ends the load and returns false. */
static bool
end_load_unless_read_succeeded (LnBatchLoad *load, LbErrorCode error)
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

/* Whether the other batch is about to run, needs the same engines and is due earlier. The answers
 * of the store may come in any order. */
static bool
must_start_before (const LnBatch *other, const LnBatch *batch)
{
  bool is_starting = other->state == LN_BATCH_CLAIMING
                     || (other->state == LN_BATCH_LOADING && other->load_retry_at == LB_TIME_NEVER);

  return is_starting && strcmp (other->head.model, batch->head.model) == 0
         && lc_batch_head_compare_by_due_time (&other->head, &batch->head) < 0;
}

static bool
can_start_run (const LnBatch *batch, LbTime now)
{
  if (now >= batch->start_at || is_load_outdated (batch->finished_load))
    return true;
  for (const LnBatch *other = batch->batches->by_id; other; other = other->hh.next)
    if (must_start_before (other, batch))
      return false;
  return true;
}

static LnBatch *
find_next_batch_to_start (const LnBatches *batches, LbTime now)
{
  LnBatch *next = NULL;

  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (batch->finished_load && can_start_run (batch, now)
        && (!next || lc_batch_head_compare_by_due_time (&batch->head, &next->head) < 0))
      next = batch;
  return next;
}

void
ln_batches_start_loaded (LnBatches *batches, LbTime now)
{
  LnBatch *batch = NULL;

  while ((batch = find_next_batch_to_start (batches, now)))
    {
      LnBatchLoad *load = batch->finished_load;
      batch->finished_load = NULL;
      if (!is_load_outdated (load))
        ln_batch_owner_start_run (batch, &load->spec, &load->saved);
      batch_load_free (load);
    }
}

void
ln_batch_discard_load (LnBatch *batch)
{
  if (batch->finished_load)
    batch_load_free (batch->finished_load);
  batch->finished_load = NULL;
}

static void
on_batch_checkpoints_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatchLoad *load = user;
  LnBatchSavedProgress *saved = &load->saved;
  LbTime now = lb_clock_monotonic ();

  if (!end_load_unless_read_succeeded (load, error))
    return;
  saved->parts = LB_NEW_ARRAY (LcBatchTextPart, n_rows + 1);
  for (size_t i = 0; i < n_rows; i++)
    if (!ln_batch_text_part_from_row (&rows[i], &saved->parts[saved->n_parts++]))
      lb_log (LB_LOG_WARNING, "text_so_far_unreadable", LB_TEXT ("key", rows[i].key));
  ln_batch_discard_load (load->batch);
  load->batch->finished_load = load;
  load->batch->start_at = now + MAX_WAIT_FOR_EARLIER_BATCHES;
  ln_batches_start_loaded (load->batch->batches, now);
}

static void
on_batch_results_listed (
    LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  LnBatchLoad *load = user;
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
  LnBatchLoad *load = user;
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
  LnBatchLoad *load = LB_NEW (LnBatchLoad);
  char key[LN_BATCH_KEY_SIZE];

  ln_batch_discard_load (batch);
  batch->state = LN_BATCH_LOADING;
  batch->load_retry_at = LB_TIME_NEVER;
  load->batch = batch;
  load->epoch = batch->head.epoch;
  ln_batch_format_content_key (batch->id, key);
  platform->klass->get_object (platform, key, on_batch_content_read, load);
}

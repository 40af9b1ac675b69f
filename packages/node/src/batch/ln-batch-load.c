#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"

#include <stdlib.h>

#define LOAD_RETRY                                                                                 \
  (200 * LB_MSEC) /* a read that failed is tried again about as often as others                    \
                   */

/* What is read of a batch that was taken over: its content, then what is listed, then the texts
 * that the owner before had begun. */
typedef struct
{
  LnBatch *batch;
  int64_t epoch;
  LcBatchSpec spec;
  LnBatchPast past;
} Loading;

static void
past_clear (LnBatchPast *past)
{
  for (size_t i = 0; i < past->n_parts; i++)
    {
      free ((char *)past->parts[i].item);
      free ((char *)past->parts[i].text);
      free ((LcVersion *)past->parts[i].versions);
    }
  free (past->parts);
  free (past->listed);
}

static void
loading_free (Loading *loading)
{
  lc_batch_spec_clear (&loading->spec);
  past_clear (&loading->past);
  free (loading);
}

static bool
is_outdated (const Loading *loading)
{
  return loading->batch->held != LN_HELD_LOADING || loading->batch->head.epoch != loading->epoch;
}

static void
load_again (Loading *loading, LbErrorCode error)
{
  lb_log (LB_LOG_WARNING, "batch_not_loaded", LB_TEXT ("batch", loading->batch->id),
          LB_TEXT ("error", lb_error_name (error)));
  loading->batch->retry_at = lb_clock_monotonic () + LOAD_RETRY;
  loading_free (loading);
}

/* False: this read is of no use any more, or failed, and ends here. */
static bool
goes_on (Loading *loading, LbErrorCode error)
{
  if (is_outdated (loading))
    {
      loading_free (loading);
      return false;
    }
  if (error == LB_OK)
    return true;
  load_again (loading, error);
  return false;
}

static void
on_parts (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Loading *loading = user;
  LnBatchPast *past = &loading->past;

  if (!goes_on (loading, error))
    return;
  past->parts = LB_NEW_ARRAY (LcBatchTextPart, n_rows + 1);
  for (size_t i = 0; i < n_rows; i++)
    if (!ln_batch_part_from_row (&rows[i], &past->parts[past->n_parts++]))
      lb_log (LB_LOG_WARNING, "text_so_far_unreadable", LB_TEXT ("key", rows[i].key));
  ln_batch_owner_run (loading->batch, &loading->spec, past);
  loading_free (loading);
}

static void
on_results_listed (LbErrorCode error, const LpRow *rows, size_t n_rows, int64_t version, void *user)
{
  (void)version;
  Loading *loading = user;
  LpPlatform *platform = loading->batch->batches->context->platform;
  LnBatchPast *past = &loading->past;
  char prefix[LN_BATCH_KEY_SIZE];

  if (!goes_on (loading, error))
    return;
  past->listed = LB_NEW_ARRAY (LbName, n_rows + 1);
  for (size_t i = 0; i < n_rows; i++)
    {
      LcBatchResult result;
      size_t n_pieces;
      ln_batch_result_from_row (&rows[i], &result, &n_pieces);
      lb_strlcpy (past->listed[past->n_listed++], result.item, LB_NAME_MAX);
      lc_batch_result_clear (&result);
    }
  ln_batch_part_prefix (loading->batch->id, prefix);
  platform->klass->list (platform, prefix, NULL, 0, on_parts, loading);
}

static void
on_content (LbErrorCode error, const char *bytes, size_t length, void *user)
{
  Loading *loading = user;
  LnBatch *batch = loading->batch;
  LpPlatform *platform = batch->batches->context->platform;
  char prefix[LN_BATCH_KEY_SIZE];
  LbError problem = { 0 };

  if (!goes_on (loading, error))
    return;
  if (!batch->batches->context->dialect->read_batch (bytes, length, batch->id, &loading->spec,
                                                     &problem))
    {
      load_again (loading, problem.code);
      return;
    }
  ln_batch_result_prefix (batch->id, prefix);
  platform->klass->list (platform, prefix, NULL, 0, on_results_listed, loading);
}

void
ln_batch_load (LnBatch *batch)
{
  LpPlatform *platform = batch->batches->context->platform;
  Loading *loading = LB_NEW (Loading);
  char key[LN_BATCH_KEY_SIZE];

  batch->held = LN_HELD_LOADING;
  batch->retry_at = LB_TIME_NEVER;
  loading->batch = batch;
  loading->epoch = batch->head.epoch;
  ln_batch_object_key (batch->id, key);
  platform->klass->get_object (platform, key, on_content, loading);
}

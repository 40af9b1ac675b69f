#include "lp-platform.h"

#include "ln-batches-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-histogram.h"
#include "lb-log.h"
#include "lb-switch.h"

#include <stdlib.h>
#include <string.h>

/* Delay before a release that the store did not confirm is written again. */
#define RELEASE_RETRY_DELAY (100 * LB_MSEC)
/* Time after which a release is no longer retried, so that the process can exit. The other
 * instances then detect that this instance is gone. */
#define MAX_RELEASE_TIME (7 * LB_SEC)

static LbHistogram handover_seconds
    = LB_HISTOGRAM_INIT ("lentilspindle_batch_handover_seconds",
                         "Time from the release of a batch to its next run on another instance");

/* --- choice of the next owner --- */

static int64_t
get_store_clock_ms (const LnBatches *batches, LbTime now)
{
  return lp_platform_get_store_clock_ms_at (batches->context->platform, now);
}

void
ln_batches_observe_rolling_restart (LnBatches *batches, LbTime now)
{
  bool is_any_draining = false;

  for (size_t i = 0; i < batches->n_members; i++)
    is_any_draining |= batches->members[i].alive && batches->members[i].draining;
  lc_rolling_restart_observe (&batches->restart, is_any_draining, get_store_clock_ms (batches, now),
                              now);
}

/* Returns the instances that may become owners of batches; the caller frees the array. This
 * instance is left out once it shuts down, even if the list of members does not show yet that it
 * drains. */
static LcSuccessor *
list_successors (const LnBatches *batches, size_t *n_successors)
{
  size_t n;
  LcDutyCandidate *candidates = ln_batches_list_duty_candidates (batches, &n);
  LcSuccessor *successors = LB_NEW_ARRAY (LcSuccessor, n + 1);
  const LnMember *member = batches->members; /* candidates are in the order of members */

  *n_successors = 0;
  for (size_t i = 0; i < n; i++)
    {
      LcSuccessor *successor = &successors[*n_successors];
      while (strcmp (member->name, candidates[i].name) != 0)
        member++;
      if (batches->draining && member->is_self)
        continue;
      LB_COPY (successor->name, member->name);
      successor->strength = member->strength;
      successor->started_ms = member->started_ms;
      successor->n_models = (int64_t)ln_batches_count_assigned_models (batches, member->name);
      ++*n_successors;
    }
  free (candidates);
  return successors;
}

static int64_t
get_own_start_ms (const LnBatches *batches)
{
  for (size_t i = 0; i < batches->n_members; i++)
    if (batches->members[i].is_self)
      return batches->members[i].started_ms;
  return 0;
}

/* Returns the instance to which the latest batch of the model is assigned, or "" if no batch of the
 * model is known. An instance that shuts down skips its own batches: those that it has already
 * released show where its other batches of the model go. */
static const char *
find_last_assigned_instance (const LnBatches *batches, const char *model)
{
  const LnBatch *last = NULL;

  for (const LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    {
      const char *owner = lc_batch_head_assigned_instance (ln_batch_get_latest_head (batch));
      if (strcmp (batch->head.model, model) != 0
          || (batches->draining && strcmp (owner, batches->context->instance) == 0))
        continue;
      if (!last
          || lc_batch_head_has_next_batch_priority_over (ln_batch_get_latest_head (batch),
                                                         batch->version,
                                                         ln_batch_get_latest_head (last),
                                                         last->version))
        last = batch;
    }
  return last ? lc_batch_head_assigned_instance (ln_batch_get_latest_head (last)) : "";
}

static void
log_owner_choice (const LcSuccessionQuery *query,
                  const char *next_owner,
                  LcSuccessionReason reason,
                  size_t n_candidates)
{
  lb_log (LB_LOG_INFO, "batch_owner_chosen", LB_TEXT ("model", query->model),
          LB_TEXT ("next_owner", next_owner),
          LB_TEXT ("reason", lc_succession_reason_name (reason)),
          LB_TEXT ("current", query->current), LB_INT ("candidates", n_candidates),
          LB_INT ("restart_began_ms", query->restart_began_ms),
          LB_BOOL ("restart_continues", query->is_restart_continuing));
}

LcSuccessionReason
ln_batches_choose_next_owner (LnBatches *batches, const char *model, char *next_owner)
{
  LbTime now = lb_clock_monotonic ();
  LcSuccessionQuery query
      = { .model = model, .current = find_last_assigned_instance (batches, model) };
  LcSuccessionReason reason;
  size_t n;
  LcSuccessor *successors = list_successors (batches, &n);

  if (lb_switch_is_on (LB_SWITCH_SUCCESSORS))
    {
      ln_batches_observe_rolling_restart (batches, now);
      query.restart_began_ms
          = lc_rolling_restart_get_beginning (&batches->restart, get_own_start_ms (batches),
                                              successors, n, now);
      query.is_restart_continuing = lc_rolling_restart_is_continuing (&batches->restart, now);
    }
  size_t chosen = lc_succession_choose (&query, successors, n, &reason);
  lb_strlcpy (next_owner, chosen < n ? successors[chosen].name : "", LB_NAME_MAX);
  log_owner_choice (&query, next_owner, reason, n);
  free (successors);
  return reason;
}

/* --- release on shutdown --- */

static void
log_release (const LnBatch *batch, LbErrorCode error)
{
  lb_log (error == LB_OK ? LB_LOG_INFO : LB_LOG_WARNING, "batch_released",
          LB_TEXT ("batch", batch->id), LB_TEXT ("outcome", lb_error_name (error)),
          LB_TEXT ("next_owner", batch->pending_head.preferred_instance),
          LB_TEXT ("reason", lc_succession_reason_name (batch->release_reason)),
          LB_INT ("epoch", batch->pending_head.epoch),
          LB_INT ("duration_ms", (lb_clock_monotonic () - batch->release_started_at) / LB_MSEC));
}

static void
free_release_puts (LnBatch *batch)
{
  ln_batch_owner_free_put_strings (batch->release_puts, batch->n_release_puts);
  free (batch->release_puts);
  batch->release_puts = NULL;
  batch->n_release_puts = 0;
}

/* Whether the row shows this instance's release. If so, the release took effect although its answer
 * was lost. */
static bool
is_own_release (const LnBatch *batch)
{
  return !batch->head.owner[0] && batch->head.epoch == batch->pending_head.epoch
         && strcmp (batch->head.released_by, batch->batches->context->instance) == 0;
}

/* Ends the release, successful or not. If the row names this process again, an earlier claim took
 * effect late; then the batch is released once more. */
static void
end_release (LnBatch *batch, LbErrorCode error)
{
  free_release_puts (batch);
  batch->state = LN_BATCH_NOT_OWNED;
  log_release (batch, is_own_release (batch) ? LB_OK : error);
  if (error == LB_ERROR_CONDITION_FAILED)
    ln_batch_load_and_run_if_owned (batch);
}

static void
on_batch_release_written (LbErrorCode error, const LpRow *row, void *user)
{
  LnBatch *batch = user;
  LbTime now = lb_clock_monotonic ();

  batch->is_release_in_progress = false;
  if (error == LB_OK)
    ln_batch_apply_written_row (batch, row->version);
  else if (error == LB_ERROR_CONDITION_FAILED && row->value)
    ln_batches_update_batch_from_row (batch->batches, row);
  else if (error != LB_ERROR_CONDITION_FAILED && now < batch->release_started_at + MAX_RELEASE_TIME)
    {
      batch->release_retry_at = now + RELEASE_RETRY_DELAY;
      return;
    }
  end_release (batch, error);
}

static void
write_release (LnBatch *batch)
{
  batch->is_release_in_progress = true;
  ln_batch_write_row (batch, &batch->pending_head, batch->release_puts, batch->n_release_puts,
                      on_batch_release_written);
}

/* Writes the release again if its outcome is unknown. */
void
ln_batch_retry_release_if_due (LnBatch *batch, LbTime now)
{
  if (batch->state != LN_BATCH_RELEASING || batch->is_release_in_progress
      || now < batch->release_retry_at)
    return;
  if (lc_batch_can_repeat_release (&batch->head, &batch->pending_head))
    write_release (batch);
  else
    end_release (batch, LB_ERROR_CONDITION_FAILED);
}

/* Builds the writes that checkpoint the running texts together with the release. */
static void
build_release_puts (LnBatch *batch)
{
  LbList actions;
  LbLink *link;

  lb_list_init (&actions);
  batch->release_puts = LB_NEW_ARRAY (LpPut, LN_BATCH_MAX_CHECKPOINT_PARTS);
  if (batch->run)
    lc_batch_begin_checkpoint (batch->run, lb_clock_monotonic (), &actions);
  while ((link = lb_list_pop (&actions)))
    {
      LcBatchAction *action = LB_CONTAINER (link, LcBatchAction, link);
      batch->n_release_puts
          = ln_batch_owner_build_checkpoint_puts (batch, action, batch->release_puts,
                                                  LN_BATCH_MAX_CHECKPOINT_PARTS);
      lc_batch_action_free (action);
    }
}

/* Clears the owner from the row and names the next one, so that another instance continues the
 * batch without first detecting that this instance is gone. */
void
ln_batch_release_ownership (LnBatch *batch)
{
  LnBatches *batches = batch->batches;
  LbTime now = lb_clock_monotonic ();
  LcBatchHead head = batch->head;

  build_release_puts (batch);
  ln_batch_owner_stop_run (batch);
  LB_COPY (head.released_by, head.owner);
  head.released_ms = get_store_clock_ms (batches, now);
  LB_COPY (head.owner, "");
  LB_COPY (head.incarnation, "");
  LB_COPY (head.preferred_instance, "");
  batch->release_reason = LC_SUCCESSION_NONE;
  if (lb_switch_is_on (LB_SWITCH_SUCCESSORS))
    batch->release_reason
        = ln_batches_choose_next_owner (batches, head.model, head.preferred_instance);
  batch->release_started_at = now;
  batch->pending_head = head;
  batch->state = LN_BATCH_RELEASING;
  write_release (batch);
}

/* --- takeover of a released batch --- */

LbTime
ln_batch_get_time_since_release (const LnBatch *batch, int64_t released_ms, LbTime now)
{
  int64_t store_ms = get_store_clock_ms (batch->batches, now);

  return released_ms > 0 && store_ms > released_ms ? (store_ms - released_ms) * LB_MSEC : 0;
}

void
ln_batch_record_handover_duration (LnBatch *batch, LbTime now)
{
  if (batch->taken_over_release_ms > 0)
    lb_histogram_add (&handover_seconds,
                      ln_batch_get_time_since_release (batch, batch->taken_over_release_ms, now));
  batch->taken_over_release_ms = 0;
}

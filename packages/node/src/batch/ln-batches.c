#include "lp-platform.h"

#include "ln-batches-private.h"
#include "ln-stall.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"

#include <stdlib.h>
#include <string.h>

#define BATCHES_TICK_INTERVAL (50 * LB_MSEC)
/* Delay between watch requests for the rows of batches, on an instance that is missing from the
 * directory, the size-limited list of instances in the store. */
#define OMITTED_INSTANCE_WATCH_DELAY (2 * LB_SEC)

static LbMetric batches_owned
    = LB_GAUGE_INIT ("lentilspindle_batches_owned", NULL, "Batches that this instance runs");

/* Size of the cache for the texts of incomplete groups. Holds a few steps of 2,048 samples of 2 KB
 * each; a later batch may request less than half of the texts again. */
#define MAX_TEXT_CACHE_BYTES_PER_MODEL ((size_t)(16 << 20))

/* Statistics and cached texts of the batches of one model. */
typedef struct LnModelHistory
{
  LbName model; /* key of LnBatches.model_histories */
  LcBatchHistory *history;
  LcTextCache *text_cache;
  UT_hash_handle hh;
} LnModelHistory;

static LnModelHistory *
find_or_create_model_history (LnBatches *batches, const char *model)
{
  LnModelHistory *entry = NULL;

  HASH_FIND_STR (batches->model_histories, model, entry);
  if (!entry)
    {
      entry = LB_NEW (LnModelHistory);
      entry->history = lc_batch_history_new ();
      entry->text_cache = lc_text_cache_new (MAX_TEXT_CACHE_BYTES_PER_MODEL);
      LB_COPY (entry->model, model);
      HASH_ADD_STR (batches->model_histories, model, entry);
    }
  return entry;
}

LcBatchHistory *
ln_batches_get_model_history (LnBatches *batches, const char *model)
{
  return find_or_create_model_history (batches, model)->history;
}

LcTextCache *
ln_batches_get_model_text_cache (LnBatches *batches, const char *model)
{
  return find_or_create_model_history (batches, model)->text_cache;
}

LnBatch *
ln_batches_find (LnBatches *batches, const char *id)
{
  LnBatch *batch = NULL;

  HASH_FIND_STR (batches->by_id, id, batch);
  return batch;
}

LnBatch *
ln_batches_find_or_create (LnBatches *batches, const char *id)
{
  LnBatch *batch = ln_batches_find (batches, id);

  if (batch)
    return batch;
  batch = LB_NEW (LnBatch);
  batch->batches = batches;
  batch->first_seen_at = lb_clock_monotonic ();
  LB_COPY (batch->id, id);
  HASH_ADD_STR (batches->by_id, id, batch);
  return batch;
}

void
ln_batches_remove (LnBatch *batch)
{
  HASH_DEL (batch->batches->by_id, batch);
  ln_batch_discard_load (batch);
  free (batch);
}

static void
update_member_list (LnBatches *batches, const LnMembersMessage *message)
{
  free (batches->members);
  batches->members = lb_memdup (message->members, message->n_members * sizeof (LnMember));
  batches->n_members = message->n_members;
  batches->members_change_count++;
  ln_batches_observe_rolling_restart (batches, lb_clock_monotonic ());
  /* An instance that is missing from the directory of instances gets no offers of batches, and
   * reads the store for a call about an unknown batch. So the instance may learn late of a batch,
   * and it watches the rows of batches less often. */
  lp_follow_set_watch_delay (batches->row_watch, message->is_omitted && !batches->owns_any
                                                     ? OMITTED_INSTANCE_WATCH_DELAY
                                                     : 0);
}

static void
receive_message_for_batches_task (LnTask *base, const LnMessage *message)
{
  LnBatches *batches = (LnBatches *)base;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      ln_ticker_report_work (ln_context_get_ticker (batches->context), lb_clock_monotonic ());
      ln_batch_calls_receive_request (batches, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CALLER_DISCONNECTED:
      ln_batch_calls_on_caller_disconnected (batches,
                                             ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_DESIRED:
      ln_admission_state_update (&batches->admission_state, (const LnDesiredMessage *)message);
      ln_batch_owner_reroute_waiting_texts (batches);
      break;
    case LN_DESIRED_CONFIRMED:
      batches->admission_state.confirmed_at = ((const LnDesiredConfirmedMessage *)message)->at;
      break;
    case LN_MEMBERS:
      update_member_list (batches, (const LnMembersMessage *)message);
      break;
    case LN_ENGINE_PACES:
      batches->engine_paces = ((const LnEnginePacesMessage *)message)->paces;
      break;
    case LN_SAMPLE_PIECE:
      ln_batch_owner_receive_text_piece (batches, (const LnSamplePieceMessage *)message);
      break;
    case LN_SAMPLE_MOVE_REFUSED:
      ln_batch_owner_refuse_move (batches, (const LnSampleMoveRefusedMessage *)message);
      break;
    case LN_SAMPLE_DONE:
      ln_batch_owner_finish_request (batches, (const LnSampleDoneMessage *)message);
      break;
    default:
      break;
    }
}

void
ln_batches_publish_ownership (LnBatches *batches, bool owns_any)
{
  LnDutyMessage message
      = { .base = LN_MESSAGE (LN_DUTY), .duty = LN_DUTY_BATCHES, .held = owns_any };

  if (owns_any == batches->owns_any)
    return;
  batches->owns_any = owns_any;
  LN_POST (batches->task.hub, NULL, message);
}

static void
on_batches_task_tick (void *user)
{
  LnBatches *batches = user;
  LbTime now = lb_clock_monotonic ();
  int64_t n_owned = 0;
  bool owns_any = false;

  ln_stall_set_activity ("tick of rollouts");
  ln_batches_claim_unowned_and_tick_watch (batches, now);
  ln_batches_start_loaded (batches, now);
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    {
      ln_batch_owner_run_due_actions (batch, now);
      n_owned += batch->state == LN_BATCH_RUNNING;
      owns_any |= batch->state != LN_BATCH_NOT_OWNED && batch->state != LN_BATCH_RELEASING;
    }
  ln_batch_calls_retry_due_calls (batches, now);
  ln_batch_cleanup_start_if_due (batches, now);
  for (LnModelHistory *model = batches->model_histories; model; model = model->hh.next)
    lc_text_cache_evict_old_texts (model->text_cache, now);
  lb_metric_set (&batches_owned, n_owned);
  ln_batches_publish_ownership (batches, owns_any);
}

static void
drain_batches_task (LnTask *base)
{
  LnBatches *batches = (LnBatches *)base;

  batches->draining = true;
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (batch->state == LN_BATCH_RUNNING || batch->state == LN_BATCH_LOADING
        || batch->state == LN_BATCH_OFFERED)
      ln_batch_release_ownership (batch);
}

static bool
is_batches_task_idle (const LnTask *base)
{
  const LnBatches *batches = (const LnBatches *)base;

  for (const LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (batch->state != LN_BATCH_NOT_OWNED)
      return false;
  return lb_list_is_empty (&batches->calls);
}

static void
free_batches_task (LnTask *base)
{
  LnBatches *batches = (LnBatches *)base;
  LnBatch *batch, *next;
  LnBatchRequest *request, *next_request;
  LnModelHistory *history, *next_history;

  ln_batch_calls_free_all (batches);
  HASH_ITER (hh, batches->requests, request, next_request)
  {
    HASH_DEL (batches->requests, request);
    free (request);
  }
  HASH_ITER (hh, batches->by_id, batch, next)
  {
    HASH_DEL (batches->by_id, batch);
    lc_batch_free (batch->run);
    ln_batch_discard_load (batch);
    ln_batch_owner_free_put_strings (batch->release_puts, batch->n_release_puts);
    free (batch->release_puts);
    free (batch);
  }
  HASH_ITER (hh, batches->model_histories, history, next_history)
  {
    HASH_DEL (batches->model_histories, history);
    lc_batch_history_free (history->history);
    lc_text_cache_free (history->text_cache);
    free (history);
  }
  lp_follow_free (batches->row_watch);
  lc_desired_unref (batches->admission_state.desired);
  free (batches->members);
  ln_ticker_remove (ln_context_get_ticker (batches->context), &batches->tick);
  free (batches);
}

static const LnTaskClass batches_class = { .name = "rollouts",
                                           .receive = receive_message_for_batches_task,
                                           .drain = drain_batches_task,
                                           .is_idle = is_batches_task_idle,
                                           .free = free_batches_task };

/* Creates the task "rollouts" for a shared platform, where it runs batches of samples. */
LnTask *
ln_batches_task_new (LnContext *context)
{
  LnBatches *batches = LB_NEW (LnBatches);

  batches->task.klass = &batches_class;
  batches->task.hub = context->hub;
  batches->context = context;
  lb_list_init (&batches->calls);
  ln_batches_start_row_watch (batches);
  batches->tick = (LnPeriodicCall){ .period = BATCHES_TICK_INTERVAL,
                                    .callback = on_batches_task_tick,
                                    .user = batches };
  ln_ticker_add (ln_context_get_ticker (context), &batches->tick);
  return &batches->task;
}

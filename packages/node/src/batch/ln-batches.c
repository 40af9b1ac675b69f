#include "lp-platform.h"

#include "ln-batches-private.h"
#include "ln-stall.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"

#include <stdlib.h>
#include <string.h>

#define TICK (50 * LB_MSEC)
/* Between two reads of the batches' rows by an instance outside the directory. */
#define IDLE_GAP (2 * LB_SEC)

static LbMetric owned
    = LB_GAUGE_INIT ("lentilspindle_batches_owned", NULL, "Batches that this instance runs");

/* Texts of a model's groups that were not whole, held for the next steps: a few steps of 2,048
 * samples of 2 KB, of which less than half may come again. */
#define MAX_CARRIED_BYTES ((size_t)(16 << 20))

/* What the batches of one model taught and left. */
typedef struct LnModelHistory
{
  LbName model; /* key */
  LcBatchHistory *history;
  LcTextCache *carried;
  UT_hash_handle hh;
} LnModelHistory;

static LnModelHistory *
ensure_model (LnBatches *batches, const char *model)
{
  LnModelHistory *entry = NULL;

  HASH_FIND_STR (batches->histories, model, entry);
  if (!entry)
    {
      entry = LB_NEW (LnModelHistory);
      entry->history = lc_batch_history_new ();
      entry->carried = lc_text_cache_new (MAX_CARRIED_BYTES);
      LB_COPY (entry->model, model);
      HASH_ADD_STR (batches->histories, model, entry);
    }
  return entry;
}

LcBatchHistory *
ln_batches_history (LnBatches *batches, const char *model)
{
  return ensure_model (batches, model)->history;
}

LcTextCache *
ln_batches_carried (LnBatches *batches, const char *model)
{
  return ensure_model (batches, model)->carried;
}

LnBatch *
ln_batches_find (LnBatches *batches, const char *id)
{
  LnBatch *batch = NULL;

  HASH_FIND_STR (batches->by_id, id, batch);
  return batch;
}

LnBatch *
ln_batches_ensure (LnBatches *batches, const char *id)
{
  LnBatch *batch = ln_batches_find (batches, id);

  if (batch)
    return batch;
  batch = LB_NEW (LnBatch);
  batch->batches = batches;
  batch->first_seen = lb_clock_monotonic ();
  LB_COPY (batch->id, id);
  HASH_ADD_STR (batches->by_id, id, batch);
  return batch;
}

void
ln_batches_forget (LnBatch *batch)
{
  HASH_DEL (batch->batches->by_id, batch);
  free (batch);
}

static void
take_members (LnBatches *batches, const LnMembersMessage *message)
{
  free (batches->members);
  batches->members = lb_memdup (message->members, message->n_members * sizeof (LnMember));
  batches->n_members = message->n_members;
  batches->members_change++;
  /* Nobody offers it batches; a call about one that it does not know asks the store. */
  lp_follow_set_gap (batches->rows, message->is_left_out && !batches->owns ? IDLE_GAP : 0);
}

static void
receive (LnTask *base, const LnMessage *message)
{
  LnBatches *batches = (LnBatches *)base;

  switch ((LnMessageType)message->type)
    {
    case LN_EXCHANGE:
      ln_ticker_report_work (ln_context_ticker (batches->context), lb_clock_monotonic ());
      ln_batch_calls_take (batches, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_CALLER_DISCONNECTED:
      ln_batch_calls_gone (batches, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_DESIRED:
      ln_admission_state_update (&batches->belief, (const LnDesiredMessage *)message);
      break;
    case LN_DESIRED_CONFIRMED:
      batches->belief.confirmed_at = ((const LnDesiredConfirmedMessage *)message)->at;
      break;
    case LN_MEMBERS:
      take_members (batches, (const LnMembersMessage *)message);
      break;
    case LN_SAMPLE_PIECE:
      ln_batch_owner_piece (batches, (const LnSamplePieceMessage *)message);
      break;
    case LN_SAMPLE_DONE:
      ln_batch_owner_done (batches, (const LnSampleDoneMessage *)message);
      break;
    default:
      break;
    }
}

void
ln_batches_note_owned (LnBatches *batches, bool owns)
{
  LnDutyMessage message = { .base = LN_MESSAGE (LN_DUTY), .duty = LN_DUTY_BATCHES, .held = owns };

  if (owns == batches->owns)
    return;
  batches->owns = owns;
  LN_POST (batches->task.hub, NULL, message);
}

static void
on_tick (void *user)
{
  LnBatches *batches = user;
  LbTime now = lb_clock_monotonic ();
  int64_t n_owned = 0;
  bool owns = false;

  ln_stall_set_activity ("tick of rollouts");
  ln_batch_heads_tick (batches, now);
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    {
      ln_batch_owner_tick (batch, now);
      n_owned += batch->held == LN_HELD_RUNNING;
      owns |= batch->held != LN_HELD_NOT && batch->held != LN_HELD_RELEASING;
    }
  ln_batch_calls_tick (batches, now);
  ln_batch_cleanup_tick (batches, now);
  for (LnModelHistory *model = batches->histories; model; model = model->hh.next)
    lc_text_cache_expire (model->carried, now);
  lb_metric_set (&owned, n_owned);
  ln_batches_note_owned (batches, owns);
}

static void
drain (LnTask *base)
{
  LnBatches *batches = (LnBatches *)base;

  batches->draining = true;
  for (LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    ln_batch_heads_release (batch);
}

static bool
is_idle (const LnTask *base)
{
  const LnBatches *batches = (const LnBatches *)base;

  for (const LnBatch *batch = batches->by_id; batch; batch = batch->hh.next)
    if (batch->held != LN_HELD_NOT)
      return false;
  return lb_list_is_empty (&batches->exchanges);
}

static void
free_task (LnTask *base)
{
  LnBatches *batches = (LnBatches *)base;
  LnBatch *batch, *next;
  LnBatchRequest *request, *next_request;
  LnModelHistory *history, *next_history;

  ln_batch_calls_clear (batches);
  HASH_ITER (hh, batches->requests, request, next_request)
  {
    HASH_DEL (batches->requests, request);
    free (request);
  }
  HASH_ITER (hh, batches->by_id, batch, next)
  {
    HASH_DEL (batches->by_id, batch);
    lc_batch_free (batch->run);
    free (batch);
  }
  HASH_ITER (hh, batches->histories, history, next_history)
  {
    HASH_DEL (batches->histories, history);
    lc_batch_history_free (history->history);
    lc_text_cache_free (history->carried);
    free (history);
  }
  lp_follow_free (batches->rows);
  lc_desired_unref (batches->belief.desired);
  free (batches->members);
  ln_ticker_remove (ln_context_ticker (batches->context), &batches->tick);
  free (batches);
}

static const LnTaskClass batches_class = {
  .name = "rollouts", .receive = receive, .drain = drain, .is_idle = is_idle, .free = free_task
};

/* Batches of samples on a shared platform. Runs as the task "rollouts". */
LnTask *
ln_batches_new (LnContext *context)
{
  LnBatches *batches = LB_NEW (LnBatches);

  batches->task.klass = &batches_class;
  batches->task.hub = context->hub;
  batches->context = context;
  lb_list_init (&batches->exchanges);
  ln_batch_heads_follow (batches);
  batches->tick = (LnPeriodicCall){ .period = TICK, .callback = on_tick, .user = batches };
  ln_ticker_add (ln_context_ticker (context), &batches->tick);
  return &batches->task;
}

#include "lc-deliver.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-job.h"
#include "lc-label.h"
#include "lc-result.h"

#include <stdlib.h>
#include <string.h>

#define RETRY_AFTER LB_SEC

typedef enum
{
  INVARIANT_LABEL,
  INVARIANT_STALENESS,
  INVARIANT_ONCE,
  N_INVARIANTS
} Invariant;

static const char *const invariant_names[N_INVARIANTS] = { "label", "staleness", "once" };

#define INVARIANT_METRIC(name)                                                                     \
  LB_COUNTER_INIT ("lentilspindle_rollout_invariant_failures_total", "invariant=\"" name "\"",     \
                   "Deliveries refused because they would have broken a promise")

static LbMetric invariant_metrics[N_INVARIANTS]
    = { INVARIANT_METRIC ("label"), INVARIANT_METRIC ("staleness"), INVARIANT_METRIC ("once") };
static LbMetric delivered_metric = LB_COUNTER_INIT ("lentilspindle_rollout_delivered_total",
                                                    NULL,
                                                    "Samples put into chunks for trainers");
static LbMetric repeated_metric = LB_COUNTER_INIT ("lentilspindle_rollout_repeated_chunks_total",
                                                   NULL,
                                                   "Chunks that were given again");

static const LcTrainer *
trainer_of (const LcRollouts *rollouts, const LcStep *step)
{
  return lc_rollouts_trainer (rollouts, step->spec.subscription);
}

static bool
is_strict (const LcRollouts *rollouts, const LcStep *step)
{
  return trainer_of (rollouts, step)->resource.strict;
}

/* Replies. */

static LcRolloutAction *
reply_error (
    uint64_t pull, LbErrorCode code, const char *detail, LbTime retry_after, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);

  action->pull_id = pull;
  action->retry_after = retry_after;
  lb_error_set (&action->error, code, "", "%s", detail);
  return action;
}

static void
drop_pull (LcStep *step, LcWaitingPull *pull)
{
  lb_list_remove (&step->pulls, &pull->link);
  free (pull);
}

void
lc_deliver_fail_pulls (LcStep *step, LbErrorCode error, LbTime retry_after, LbList *actions)
{
  LB_LIST_FOREACH (&step->pulls, LcWaitingPull, link, pull)
  {
    reply_error (pull->id, error, "", retry_after, actions);
    drop_pull (step, pull);
  }
}

static void
reply_chunk (const LcRollouts *rollouts, LcStep *step, const LcWaitingPull *pull, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);
  const LcChunk *chunk = &step->chunk;

  action->pull_id = pull->id;
  action->n_samples = chunk->n_slots;
  action->samples = LB_NEW_ARRAY (LcReadySample, chunk->n_slots);
  for (size_t i = 0; i < chunk->n_slots; i++)
    action->samples[i] = lc_step_delivered (step, &step->slots[chunk->slots[i]]);
  action->cursor = is_strict (rollouts, step) ? lb_strdup ("")
                                              : lc_cursor_to_text (&chunk->cursor, step->hash);
  action->remaining = (int64_t)lc_step_unsent (step);
}

static void
reply_nothing (const LcRollouts *rollouts, LcStep *step, const LcWaitingPull *pull, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);
  LcCursor *cursor = &step->acked;

  cursor->session = step->session;
  action->pull_id = pull->id;
  action->cursor
      = is_strict (rollouts, step) ? lb_strdup ("") : lc_cursor_to_text (cursor, step->hash);
  action->remaining = (int64_t)lc_step_unsent (step);
}

/* Chunks. */

/* Promises 1 to 3, checked again where they are kept, whatever led here. The one sample is refused
 * and made again; the failure shows in the log and in the counter. */
static bool
keeps_promises (LcRollouts *rollouts, LcStep *step, size_t at, LcVersion version)
{
  LcSlot *slot = &step->slots[at];
  Invariant broken = N_INVARIANTS;

  if (!slot->text || !slot->label || !lc_label_is_complete (slot->label, slot->label->tokens))
    broken = INVARIANT_LABEL;
  else if (lc_staleness_is_too_old (slot->label, version, trainer_of (rollouts, step)->max_lag))
    broken = INVARIANT_STALENESS;
  else if (slot->state != LC_SLOT_READY || lc_cursor_has (&step->acked, at))
    broken = INVARIANT_ONCE;
  if (broken == N_INVARIANTS)
    return true;

  rollouts->invariant_failures++;
  lb_metric_add (&invariant_metrics[broken], 1);
  lb_log (LB_LOG_ERROR, "invariant-failed", LB_TEXT ("invariant", invariant_names[broken]),
          LB_TEXT ("subscription", step->spec.subscription), LB_INT ("step", step->spec.step),
          LB_TEXT ("group", lc_step_group_spec (step, slot)->id), LB_INT ("index", slot->index));
  if (broken != INVARIANT_ONCE)
    lc_step_reset_slot (step, slot);
  return false;
}

/* A group goes out once it is whole: a trainer can not learn from a part of it. */
static bool
is_released (const LcRollouts *rollouts, const LcStep *step, size_t group)
{
  if (rollouts->settings.group_release)
    return lc_step_group_is_whole (step, group);
  return step->n_in_state[LC_SLOT_WAITING] + step->n_in_state[LC_SLOT_RUNNING]
             + step->n_in_state[LC_SLOT_SCORING]
         == 0;
}

static void
count_delivery (LcStep *step, const LcSlot *slot, LcVersion version)
{
  int64_t staleness = lc_label_staleness (slot->label, version);

  if (!slot->was_sent)
    step->status.staleness_sum += (double)staleness;
  if (staleness > step->status.staleness_max)
    step->status.staleness_max = staleness;
  lb_metric_add (&delivered_metric, 1);
}

static void
add_to_chunk (LcStep *step, size_t at, LcVersion version)
{
  LcChunk *chunk = &step->chunk;
  LcSlot *slot = &step->slots[at];

  chunk->slots[chunk->n_slots++] = at;
  lc_cursor_add (&chunk->cursor, at);
  count_delivery (step, slot, version);
  slot->was_sent = true;
  lc_step_set_state (step, slot, LC_SLOT_SENT);
}

static void
begin_chunk (LcStep *step, int64_t max_samples, LcVersion version)
{
  LcChunk *chunk = &step->chunk;

  chunk->slots = LB_NEW_ARRAY (size_t, (size_t)max_samples);
  lc_cursor_copy (&chunk->cursor, &step->acked);
  chunk->cursor.session = step->session;
  chunk->cursor.chunk++;
  chunk->version = version;
}

static void
log_chunk (const LcStep *step, LbTime now)
{
  lb_log (LB_LOG_INFO, "chunk-made", LB_TEXT ("subscription", step->spec.subscription),
          LB_INT ("step", step->spec.step), LB_INT ("session", step->session),
          LB_INT ("chunk", step->chunk.cursor.chunk), LB_INT ("samples", step->chunk.n_slots),
          LB_INT ("remaining", lc_step_unsent (step)),
          LB_INT ("after_ms", (now - step->status.opened_at) / LB_MSEC));
}

/* Makes a chunk of what is released and fresh for this pull; false when nothing is. */
static bool
make_chunk (LcRollouts *rollouts, LcStep *step, const LcWaitingPull *pull, LbTime now)
{
  int64_t room = (int64_t)step->n_in_state[LC_SLOT_READY];

  if (room == 0)
    return false;
  if (room > pull->max_samples)
    room = pull->max_samples;
  begin_chunk (step, room, pull->version);
  for (size_t g = 0; g < step->spec.n_groups && (int64_t)step->chunk.n_slots < room; g++)
    {
      const LcGroup *group = &step->groups[g];
      if (!is_released (rollouts, step, g))
        continue;
      for (size_t i = group->first; i < group->first + group->count; i++)
        if (step->slots[i].state == LC_SLOT_READY && (int64_t)step->chunk.n_slots < room
            && keeps_promises (rollouts, step, i, pull->version))
          add_to_chunk (step, i, pull->version);
    }
  if (step->chunk.n_slots == 0)
    {
      lc_chunk_clear (&step->chunk);
      return false;
    }
  if (lc_step_unsent (step) == 0 && step->status.completed_at == 0)
    step->status.completed_at = now;
  if (is_strict (rollouts, step))
    step->chunk.change = lc_ledger_want (&step->ledger, true);
  log_chunk (step, now);
  return true;
}

/* Samples of the chunk that the trainer turned out not to have are ready again. */
static void
take_back_chunk (LcStep *step)
{
  for (size_t i = 0; i < step->chunk.n_slots; i++)
    {
      LcSlot *slot = &step->slots[step->chunk.slots[i]];
      if (slot->state == LC_SLOT_SENT)
        lc_step_set_state (step, slot, LC_SLOT_READY);
    }
  lc_chunk_clear (&step->chunk);
  step->status.completed_at = 0;
}

/* Serving. */

static void
acknowledge_slot (LcRollouts *rollouts, LcStep *step, size_t at, LbList *actions)
{
  LcSlot *slot = &step->slots[at];

  lc_slot_abandon (rollouts, slot, actions);
  lc_step_forget_text (step, slot);
  lc_step_set_state (step, slot, LC_SLOT_ACKED);
}

/* Strict: the ledger names the chunk, so it counts as given from here on. */
static void
spend_chunk (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  lc_cursor_copy (&step->acked, &step->chunk.cursor);
  for (size_t i = 0; i < step->chunk.n_slots; i++)
    acknowledge_slot (rollouts, step, step->chunk.slots[i], actions);
  lc_chunk_clear (&step->chunk);
  if (step->n_in_state[LC_SLOT_ACKED] == step->n_slots)
    step->closed = now;
}

/* A sample that was fresh when its chunk was made may be too old for the trainer that asks for the
 * chunk again: it would be delivered beyond its bound. The chunk is made anew for this pull; should
 * the trainer have the first one after all, its cursor will say so. */
static void
refresh_chunk (LcRollouts *rollouts, LcStep *step, const LcWaitingPull *pull, LbList *actions)
{
  const LcTrainer *trainer = trainer_of (rollouts, step);
  bool stale = false;

  if (!step->chunk.slots || pull->version <= step->chunk.version)
    return;
  for (size_t i = 0; i < step->chunk.n_slots && !stale; i++)
    stale = lc_staleness_is_too_old (step->slots[step->chunk.slots[i]].label, pull->version,
                                     trainer->max_lag);
  if (!stale)
    return;
  take_back_chunk (step);
  lc_result_discard_stale (rollouts, step, pull->version, trainer->max_lag, actions);
}

static bool
is_confirmed (const LcRollouts *rollouts, const LcStep *step)
{
  if (!lc_ledger_is_confirmed (&step->ledger, step->must_be_confirmed))
    return false;
  return !is_strict (rollouts, step) || lc_ledger_is_confirmed (&step->ledger, step->chunk.change);
}

/* True when the pull was answered. */
static bool
serve_pull (LcRollouts *rollouts, LcStep *step, LcWaitingPull *pull, LbTime now, LbList *actions)
{
  bool all_given = lc_step_unsent (step) == 0 && !step->chunk.slots;

  refresh_chunk (rollouts, step, pull, actions);
  if (!step->chunk.slots && !all_given)
    {
      /* Fresh when it was dispatched is not enough: the trainer has gone on since, and shows in
       * this very pull how far. */
      lc_result_discard_stale (rollouts, step, pull->version, trainer_of (rollouts, step)->max_lag,
                               actions);
      make_chunk (rollouts, step, pull, now);
    }
  if (!is_confirmed (rollouts, step))
    {
      if (pull->wait_until > now)
        return false;
      reply_error (pull->id, LB_ERROR_STORE_AWAY, "the ledger can not be written now", RETRY_AFTER,
                   actions);
      return true;
    }
  if (step->chunk.slots)
    {
      reply_chunk (rollouts, step, pull, actions);
      if (is_strict (rollouts, step))
        spend_chunk (rollouts, step, now, actions);
      return true;
    }
  if (!all_given && pull->wait_until > now)
    return false;
  reply_nothing (rollouts, step, pull, actions);
  return true;
}

void
lc_deliver_serve (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  LB_LIST_FOREACH (&step->pulls, LcWaitingPull, link, pull)
  {
    if (serve_pull (rollouts, step, pull, now, actions))
      drop_pull (step, pull);
  }
}

/* Acknowledgement. */

/* Later sessions are claimed in the store and belong to one owner each. The first may have had
 * another owner, which opened the step while the store was away and died or lost it: were the
 * cursors that it gave refused, the trainer could never go on with the step. */
#define FIRST_SESSION 1

static bool
may_acknowledge (const LcStep *step, const LcCursor *cursor, LbError *error)
{
  if (!lc_cursor_includes (cursor, &step->acked))
    return lb_error_set (error, LB_ERROR_BAD_CURSOR, "cursor",
                         "a later cursor of this step was already used");
  if (cursor->session != step->session || step->session == FIRST_SESSION)
    return true;
  for (size_t i = 0; i < step->n_slots; i++)
    if (lc_cursor_has (cursor, i) && !lc_cursor_has (&step->acked, i) && !step->slots[i].was_sent)
      return lb_error_set (error, LB_ERROR_BAD_CURSOR, "cursor",
                           "names samples that were not given");
  return true;
}

/* The trainer has what its cursor names, whichever owner gave it. */
static void
acknowledge (
    LcRollouts *rollouts, LcStep *step, const LcCursor *cursor, LbTime now, LbList *actions)
{
  if (lc_cursor_count (cursor) == step->n_in_state[LC_SLOT_ACKED])
    return;
  lc_deliver_fail_pulls (step, LB_ERROR_BAD_CURSOR, 0, actions);
  for (size_t i = 0; i < step->n_slots; i++)
    if (lc_cursor_has (cursor, i) && step->slots[i].state != LC_SLOT_ACKED)
      acknowledge_slot (rollouts, step, i, actions);
  take_back_chunk (step);
  lc_cursor_copy (&step->acked, cursor);
  step->acked.session = step->session;
  if (lc_step_unsent (step) == 0)
    step->closed = now;
  if (lc_step_unsent (step) == 0 && step->status.completed_at == 0)
    step->status.completed_at = now;
  lc_ledger_want (&step->ledger, step->closed != 0);
}

/* A cursor of a later session: another instance owns the step, and this one was replaced while it
 * was paused or cut off. What it would deliver the trainer may have from the other one. */
static bool
was_replaced (const LcStep *step, const LcCursor *cursor)
{
  return cursor->session > step->session;
}

static void
await (LcStep *step, const LcPull *pull)
{
  LcWaitingPull *waiting = LB_NEW (LcWaitingPull);

  waiting->id = pull->id;
  waiting->max_samples = pull->max_samples > 0 ? pull->max_samples : 1;
  waiting->version = pull->trainer_version;
  waiting->wait_until = pull->wait_until;
  lb_list_append (&step->pulls, &waiting->link);
}

bool
lc_deliver_pull (
    LcRollouts *rollouts, LcStep *step, const LcPull *pull, LbTime now, LbList *actions)
{
  LcCursor cursor;
  LbError error = { .code = LB_OK };
  bool strict = is_strict (rollouts, step);
  bool ok = lc_cursor_from_text (&cursor, pull->cursor, step->n_slots, step->hash, &error);
  bool replaced = ok && was_replaced (step, &cursor);

  if (ok && strict && pull->cursor[0])
    ok = lb_error_set (&error, LB_ERROR_BAD_CURSOR, "cursor", "expected \"\": strict subscription");
  if (ok && !strict && !replaced)
    ok = may_acknowledge (step, &cursor, &error);
  if (!ok || replaced)
    {
      reply_error (pull->id, replaced ? LB_ERROR_STALE_SESSION : error.code, error.detail, 0,
                   actions);
      goto out;
    }
  if (!strict)
    acknowledge (rollouts, step, &cursor, now, actions);
  if (step->chunk.slots && !strict)
    lb_metric_add (&repeated_metric, 1);
  if (pull->trainer_version > step->trainer_version)
    step->trainer_version = pull->trainer_version;
  await (step, pull);
out:
  lc_cursor_clear (&cursor);
  if (replaced)
    lc_rollouts_end_step (rollouts, step, LB_ERROR_STALE_SESSION, actions);
  return !replaced;
}

/* The ledger. */

void
lc_deliver_write_ledger (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  if (lc_ledger_due (&step->ledger) > now
      || (step->closed && step->ledger.confirmed == step->ledger.wanted))
    return;

  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_WRITE_LEDGER);
  const LcCursor *cursor = step->chunk.change ? &step->chunk.cursor : &step->acked;

  action->write_id = ++rollouts->last_write;
  action->session = step->session;
  action->row_key
      = lb_asprintf ("ledger/%s/%lld", step->spec.subscription, (long long)step->spec.step);
  action->row_value = lc_cursor_to_text (cursor, step->hash);
  lc_ledger_start (&step->ledger, action->write_id, now);
}

/* While this process was paused another instance may have taken the step over and delivered. The
 * ledger write is conditional on the session, so it tells. */
void
lc_deliver_confirm_session (LcStep *step)
{
  if (!step->closed)
    step->must_be_confirmed = lc_ledger_want (&step->ledger, true);
}

void
lc_deliver_recover (LcStep *step, const LcCursor *ledger)
{
  for (size_t i = 0; i < step->n_slots; i++)
    if (lc_cursor_has (ledger, i))
      lc_step_set_state (step, &step->slots[i], LC_SLOT_ACKED);
  lc_cursor_copy (&step->acked, ledger);
  step->acked.session = step->session;
}

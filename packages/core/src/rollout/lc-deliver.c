#include "lc-deliver.h"

#include "lb-alloc.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lc-job.h"
#include "lc-label.h"
#include "lc-result.h"
#include "lc-strict.h"

#include <stdlib.h>
#include <string.h>

#define STORE_RETRY_DELAY LB_SEC

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
                   "Samples not delivered because the delivery would have violated an invariant")

static LbMetric invariant_metrics[N_INVARIANTS]
    = { INVARIANT_METRIC ("label"), INVARIANT_METRIC ("staleness"), INVARIANT_METRIC ("once") };
static LbMetric delivered_metric = LB_COUNTER_INIT ("lentilspindle_rollout_delivered_total",
                                                    NULL,
                                                    "Samples put into chunks for trainers");
static LbMetric repeated_metric = LB_COUNTER_INIT ("lentilspindle_rollout_repeated_chunks_total",
                                                   NULL,
                                                   "Chunks that were sent again");

static const LcTrainer *
find_trainer_of_step (const LcRollouts *rollouts, const LcStep *step)
{
  return lc_rollouts_find_trainer (rollouts, step->spec.subscription);
}

static bool
has_strict_subscription (const LcRollouts *rollouts, const LcStep *step)
{
  return find_trainer_of_step (rollouts, step)->subscription.strict;
}

/* Functions that reply to pulls. */

static LcRolloutAction *
reply_to_pull_with_error (
    uint64_t pull_id, LbErrorCode code, const char *detail, LbTime retry_after, LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);

  action->pull_id = pull_id;
  action->retry_after = retry_after;
  lb_error_set (&action->error, code, "", "%s", detail);
  return action;
}

static void
remove_waiting_pull (LcStep *step, LcWaitingPull *pull)
{
  lb_list_remove (&step->waiting_pulls, &pull->link);
  free (pull);
}

void
lc_deliver_fail_waiting_pulls (LcStep *step, LbErrorCode error, LbTime retry_after, LbList *actions)
{
  LB_LIST_FOREACH (&step->waiting_pulls, LcWaitingPull, link, pull)
  {
    reply_to_pull_with_error (pull->id, error, "", retry_after, actions);
    remove_waiting_pull (step, pull);
  }
}

static void
reply_to_pull_with_chunk (const LcRollouts *rollouts,
                          LcStep *step,
                          const LcWaitingPull *pull,
                          LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);
  const LcChunk *chunk = &step->chunk;

  action->pull_id = pull->id;
  action->n_samples = chunk->n_slots;
  action->samples = LB_NEW_ARRAY (LcReadySample, chunk->n_slots);
  for (size_t i = 0; i < chunk->n_slots; i++)
    action->samples[i] = lc_step_make_ready_sample (step, &step->slots[chunk->slots[i]]);
  action->cursor = has_strict_subscription (rollouts, step)
                       ? lb_strdup ("")
                       : lc_cursor_encode (&chunk->cursor, step->spec_hash);
  action->chunk_id = lc_cursor_get_chunk_id (&chunk->cursor);
  action->remaining = (int64_t)lc_step_count_unsent_slots (step);
}

static void
reply_to_pull_without_samples (const LcRollouts *rollouts,
                               LcStep *step,
                               const LcWaitingPull *pull,
                               LbList *actions)
{
  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_REPLY);
  LcCursor *cursor = &step->acked;

  cursor->session = step->session;
  action->pull_id = pull->id;
  action->cursor = has_strict_subscription (rollouts, step)
                       ? lb_strdup ("")
                       : lc_cursor_encode (cursor, step->spec_hash);
  action->chunk_id = step->acked_chunk_id;
  action->remaining = (int64_t)lc_step_count_unsent_slots (step);
}

/* Building and revoking chunks of samples. */

/* Checks a sample independently of the code that chose the sample: its label must be complete (the
 * weight version of each token is known), it must be within the staleness bound, and it must not
 * have been delivered before. Logs and counts a violation; the caller must not deliver the sample
 * then. An unlabelled or stale sample is generated again. */
static bool
check_sample_delivery_invariants (LcRollouts *rollouts,
                                  LcStep *step,
                                  size_t slot_index,
                                  LcVersion trainer_version)
{
  LcSlot *slot = &step->slots[slot_index];
  Invariant violated = N_INVARIANTS;

  if (!slot->text || !slot->label || !lc_label_is_complete (slot->label, slot->label->tokens))
    violated = INVARIANT_LABEL;
  else if (lc_staleness_is_label_too_old (slot->label, trainer_version,
                                          find_trainer_of_step (rollouts, step)->max_lag))
    violated = INVARIANT_STALENESS;
  else if (slot->state != LC_SLOT_READY || lc_cursor_has_slot (&step->acked, slot_index))
    violated = INVARIANT_ONCE;
  if (violated == N_INVARIANTS)
    return true;

  rollouts->invariant_failures++;
  lb_metric_add (&invariant_metrics[violated], 1);
  lb_log (LB_LOG_ERROR, "invariant-failed", LB_TEXT ("invariant", invariant_names[violated]),
          LB_TEXT ("subscription", step->spec.subscription), LB_INT ("step", step->spec.step),
          LB_TEXT ("group", lc_step_group_spec (step, slot)->id), LB_INT ("index", slot->index));
  if (violated != INVARIANT_ONCE)
    lc_step_reset_slot (step, slot);
  return false;
}

/* A group is delivered only once all its samples are complete, since a trainer can't learn from a
 * part of a group. Unless the setting group_release is on, the whole step must be complete. */
static bool
can_deliver_group (const LcRollouts *rollouts, const LcStep *step, size_t group_index)
{
  if (rollouts->settings.group_release)
    return lc_step_is_group_complete (step, group_index);
  return step->n_in_state[LC_SLOT_WAITING] + step->n_in_state[LC_SLOT_RUNNING]
             + step->n_in_state[LC_SLOT_SCORING]
         == 0;
}

static void
record_staleness_of_delivered_sample (LcStep *step, const LcSlot *slot, LcVersion trainer_version)
{
  int64_t staleness = lc_label_staleness (slot->label, trainer_version);

  if (!slot->was_sent)
    step->status.staleness_sum += (double)staleness;
  if (staleness > step->status.staleness_max)
    step->status.staleness_max = staleness;
  lb_metric_add (&delivered_metric, 1);
}

static void
add_slot_to_chunk (LcStep *step, size_t slot_index, LcVersion trainer_version)
{
  LcChunk *chunk = &step->chunk;
  LcSlot *slot = &step->slots[slot_index];

  chunk->slots[chunk->n_slots++] = slot_index;
  lc_cursor_add_slot (&chunk->cursor, slot_index);
  record_staleness_of_delivered_sample (step, slot, trainer_version);
  slot->was_sent = true;
  lc_step_set_slot_state (step, slot, LC_SLOT_SENT);
}

static void
begin_empty_chunk (LcStep *step, int64_t max_samples, LcVersion trainer_version)
{
  LcChunk *chunk = &step->chunk;

  chunk->slots = LB_NEW_ARRAY (size_t, (size_t)max_samples);
  lc_cursor_copy (&chunk->cursor, &step->acked);
  chunk->cursor.session = step->session;
  /* The id of a revoked chunk is not used again. */
  if (chunk->cursor.chunk_number < step->last_chunk_number)
    chunk->cursor.chunk_number = step->last_chunk_number;
  step->last_chunk_number = ++chunk->cursor.chunk_number;
  chunk->trainer_version = trainer_version;
}

static void
log_new_chunk (const LcStep *step, LbTime now)
{
  lb_log (LB_LOG_INFO, "chunk-made", LB_TEXT ("subscription", step->spec.subscription),
          LB_INT ("step", step->spec.step), LB_INT ("session", step->session),
          LB_INT ("chunk", step->chunk.cursor.chunk_number),
          LB_INT ("samples", step->chunk.n_slots),
          LB_INT ("remaining", lc_step_count_unsent_slots (step)),
          LB_INT ("after_ms", (now - step->status.opened_at) / LB_MSEC));
}

/* Builds a chunk of ready samples of deliverable groups; returns false if there are none. */
static bool
build_chunk (LcRollouts *rollouts, LcStep *step, const LcWaitingPull *pull, LbTime now)
{
  int64_t capacity = (int64_t)step->n_in_state[LC_SLOT_READY];

  if (capacity == 0)
    return false;
  if (capacity > pull->max_samples)
    capacity = pull->max_samples;
  begin_empty_chunk (step, capacity, pull->trainer_version);
  for (size_t g = 0; g < step->spec.n_groups && (int64_t)step->chunk.n_slots < capacity; g++)
    {
      const LcGroup *group = &step->groups[g];
      if (!can_deliver_group (rollouts, step, g))
        continue;
      for (size_t i = group->first_slot; i < group->first_slot + group->n_slots; i++)
        if (step->slots[i].state == LC_SLOT_READY && (int64_t)step->chunk.n_slots < capacity
            && check_sample_delivery_invariants (rollouts, step, i, pull->trainer_version))
          add_slot_to_chunk (step, i, pull->trainer_version);
    }
  if (step->chunk.n_slots == 0)
    {
      lc_chunk_clear (&step->chunk);
      return false;
    }
  if (lc_step_count_unsent_slots (step) == 0 && step->status.completed_at == 0)
    step->status.completed_at = now;
  if (has_strict_subscription (rollouts, step))
    {
      step->chunk.is_numbered = pull->is_numbered;
      step->chunk.ledger_change = lc_ledger_add_change (&step->ledger, true);
    }
  log_new_chunk (step, now);
  return true;
}

/* Removes the current chunk and returns its unacknowledged samples to state READY. */
static void
revoke_chunk (LcStep *step)
{
  for (size_t i = 0; i < step->chunk.n_slots; i++)
    {
      LcSlot *slot = &step->slots[step->chunk.slots[i]];
      if (slot->state == LC_SLOT_SENT)
        lc_step_set_slot_state (step, slot, LC_SLOT_READY);
    }
  lc_chunk_clear (&step->chunk);
  step->status.completed_at = 0;
}

/* Answering waiting pulls. */

static void
acknowledge_slot (LcRollouts *rollouts, LcStep *step, size_t slot_index, LbList *actions)
{
  LcSlot *slot = &step->slots[slot_index];

  lc_slot_cancel_jobs (rollouts, slot, actions);
  lc_step_clear_sample (step, slot);
  lc_step_set_slot_state (step, slot, LC_SLOT_ACKED);
}

void
lc_deliver_acknowledge_chunk (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  lc_cursor_copy (&step->acked, &step->chunk.cursor);
  step->acked_chunk_id = lc_cursor_get_chunk_id (&step->acked);
  step->is_last_chunk_unconfirmed = false;
  for (size_t i = 0; i < step->chunk.n_slots; i++)
    acknowledge_slot (rollouts, step, step->chunk.slots[i], actions);
  lc_chunk_clear (&step->chunk);
  if (step->n_in_state[LC_SLOT_ACKED] == step->n_slots)
    step->closed_at = now;
}

/* Revokes the current chunk if the trainer repeats its pull at a newer version, for which a sample
 * of the chunk exceeds the staleness bound. The caller then builds a new chunk. If the trainer did
 * receive the revoked chunk, the cursor of that chunk still acknowledges its samples. */
static void
revoke_stale_chunk (LcRollouts *rollouts, LcStep *step, const LcWaitingPull *pull, LbList *actions)
{
  const LcTrainer *trainer = find_trainer_of_step (rollouts, step);
  bool stale = false;

  if (!step->chunk.slots || pull->trainer_version <= step->chunk.trainer_version)
    return;
  for (size_t i = 0; i < step->chunk.n_slots && !stale; i++)
    stale = lc_staleness_is_label_too_old (step->slots[step->chunk.slots[i]].label,
                                           pull->trainer_version, trainer->max_lag);
  if (!stale)
    return;
  revoke_chunk (step);
  lc_result_discard_stale_samples (rollouts, step, pull->trainer_version, trainer->max_lag,
                                   actions);
}

static bool
has_stored_required_ledger_changes (const LcRollouts *rollouts, const LcStep *step)
{
  if (!lc_ledger_has_stored_change (&step->ledger, step->required_ledger_change))
    return false;
  return !has_strict_subscription (rollouts, step)
         || lc_ledger_has_stored_change (&step->ledger, step->chunk.ledger_change);
}

/* Returns whether the pull was answered; if not, the pull keeps waiting. */
static bool
try_answer_pull (
    LcRollouts *rollouts, LcStep *step, LcWaitingPull *pull, LbTime now, LbList *actions)
{
  bool all_delivered = lc_step_count_unsent_slots (step) == 0 && !step->chunk.slots;

  revoke_stale_chunk (rollouts, step, pull, actions);
  if (!step->chunk.slots && !all_delivered)
    {
      /* The staleness checks at dispatch and at the end of a generation are not enough: the trainer
       * may have advanced since, and the pull states the trainer's current version. */
      lc_result_discard_stale_samples (rollouts, step, pull->trainer_version,
                                       find_trainer_of_step (rollouts, step)->max_lag, actions);
      build_chunk (rollouts, step, pull, now);
    }
  if (!has_stored_required_ledger_changes (rollouts, step))
    {
      if (pull->wait_until > now)
        return false;
      reply_to_pull_with_error (pull->id, LB_ERROR_STORE_AWAY,
                                "the ledger can't be written at present", STORE_RETRY_DELAY,
                                actions);
      return true;
    }
  if (step->chunk.slots)
    {
      reply_to_pull_with_chunk (rollouts, step, pull, actions);
      /* Without a chunk id in its pulls, the trainer never tells what it has. The ledger already
       * records the chunk as delivered. */
      if (has_strict_subscription (rollouts, step) && !pull->is_numbered)
        lc_deliver_acknowledge_chunk (rollouts, step, now, actions);
      return true;
    }
  if (!all_delivered && pull->wait_until > now)
    return false;
  reply_to_pull_without_samples (rollouts, step, pull, actions);
  return true;
}

void
lc_deliver_answer_waiting_pulls (LcRollouts *rollouts, LcStep *step, LbTime now, LbList *actions)
{
  LB_LIST_FOREACH (&step->waiting_pulls, LcWaitingPull, link, pull)
  {
    if (try_answer_pull (rollouts, step, pull, now, actions))
      remove_waiting_pull (step, pull);
  }
}

/* Acknowledging samples by the cursors of pulls. */

/* Number of a step's first session. Later sessions are claimed in the store by one owner each. In
 * the first session, another instance may have opened the step while the store was unavailable,
 * delivered samples, and then died or lost the step. Rejecting its cursors would block the trainer
 * on this step forever. */
#define FIRST_SESSION 1

static bool
can_acknowledge_cursor (const LcStep *step, const LcCursor *cursor, LbError *error)
{
  if (!lc_cursor_contains (cursor, &step->acked))
    return lb_error_set (
        error, LB_ERROR_BAD_CURSOR, "cursor",
        "lacks samples that were already acknowledged; a later cursor of this step was used");
  if (cursor->session != step->session || step->session == FIRST_SESSION)
    return true;
  for (size_t i = 0; i < step->n_slots; i++)
    if (lc_cursor_has_slot (cursor, i) && !lc_cursor_has_slot (&step->acked, i)
        && !step->slots[i].was_sent)
      return lb_error_set (error, LB_ERROR_BAD_CURSOR, "cursor",
                           "names samples that were not delivered");
  return true;
}

/* Acknowledges all samples in the trainer's cursor, whichever owner of the step issued the cursor.
 * Pulls that still wait with an older cursor fail. */
static void
acknowledge_cursor (
    LcRollouts *rollouts, LcStep *step, const LcCursor *cursor, LbTime now, LbList *actions)
{
  if (lc_cursor_count_slots (cursor) == step->n_in_state[LC_SLOT_ACKED])
    return;
  lc_deliver_fail_waiting_pulls (step, LB_ERROR_BAD_CURSOR, 0, actions);
  for (size_t i = 0; i < step->n_slots; i++)
    if (lc_cursor_has_slot (cursor, i) && step->slots[i].state != LC_SLOT_ACKED)
      acknowledge_slot (rollouts, step, i, actions);
  revoke_chunk (step);
  lc_cursor_copy (&step->acked, cursor);
  step->acked.session = step->session;
  if (lc_step_count_unsent_slots (step) == 0)
    step->closed_at = now;
  if (lc_step_count_unsent_slots (step) == 0 && step->status.completed_at == 0)
    step->status.completed_at = now;
  lc_ledger_add_change (&step->ledger, step->closed_at != 0);
}

/* A cursor of a later session means that another instance took over the step while this instance
 * was paused or partitioned. If this instance continued the step, it could repeat samples that the
 * new owner has delivered. */
static bool
is_cursor_from_later_owner (const LcStep *step, const LcCursor *cursor)
{
  return cursor->session > step->session;
}

static void
add_waiting_pull (LcStep *step, const LcPull *pull)
{
  LcWaitingPull *waiting = LB_NEW (LcWaitingPull);

  waiting->id = pull->id;
  waiting->max_samples = pull->max_samples > 0 ? pull->max_samples : 1;
  waiting->trainer_version = pull->trainer_version;
  waiting->wait_until = pull->wait_until;
  waiting->is_numbered = pull->names_chunk;
  lb_list_append (&step->waiting_pulls, &waiting->link);
}

bool
lc_deliver_accept_pull (
    LcRollouts *rollouts, LcStep *step, const LcPull *pull, LbTime now, LbList *actions)
{
  LcCursor cursor;
  LbError error = { .code = LB_OK };
  bool strict = has_strict_subscription (rollouts, step);
  bool ok = lc_cursor_decode (&cursor, pull->cursor, step->n_slots, step->spec_hash, &error);
  bool has_later_owner = ok && is_cursor_from_later_owner (step, &cursor);

  if (ok && strict && pull->cursor[0])
    ok = lb_error_set (&error, LB_ERROR_BAD_CURSOR, "cursor",
                       "expected an empty cursor: the subscription is strict");
  if (ok && !strict && pull->names_chunk)
    ok = lb_error_set (&error, LB_ERROR_BAD_CURSOR, "received",
                       "expected a cursor in its place: the subscription is not strict");
  if (ok && strict && pull->names_chunk)
    ok = lc_strict_accept_chunk_id (rollouts, step, pull->received_chunk_id, now, actions, &error);
  if (ok && !strict && !has_later_owner)
    ok = can_acknowledge_cursor (step, &cursor, &error);
  if (!ok || has_later_owner)
    {
      reply_to_pull_with_error (pull->id, has_later_owner ? LB_ERROR_STALE_SESSION : error.code,
                                error.detail, 0, actions);
      goto out;
    }
  if (!strict)
    acknowledge_cursor (rollouts, step, &cursor, now, actions);
  if (step->chunk.slots && !strict)
    lb_metric_add (&repeated_metric, 1);
  if (pull->trainer_version > step->trainer_version)
    step->trainer_version = pull->trainer_version;
  add_waiting_pull (step, pull);
out:
  lc_cursor_clear (&cursor);
  if (has_later_owner)
    lc_rollouts_remove_step (rollouts, step, LB_ERROR_STALE_SESSION, actions);
  return !has_later_owner;
}

/* Writing and restoring the ledger row. */

void
lc_deliver_add_ledger_write_if_needed (LcRollouts *rollouts,
                                       LcStep *step,
                                       LbTime now,
                                       LbList *actions)
{
  if (lc_ledger_next_write_at (&step->ledger) > now
      || (step->closed_at && step->ledger.stored_change == step->ledger.latest_change))
    return;

  LcRolloutAction *action = lc_rollouts_add_action (actions, LC_ROLLOUT_WRITE_LEDGER);

  action->write_id = ++rollouts->last_write_id;
  action->session = step->session;
  action->row_key
      = lb_asprintf ("ledger/%s/%lld", step->spec.subscription, (long long)step->spec.step);
  action->row_value = has_strict_subscription (rollouts, step)
                          ? lc_strict_encode_ledger (step)
                          : lc_cursor_encode (&step->acked, step->spec_hash);
  lc_ledger_begin_write (&step->ledger, action->write_id, now);
}

/* Requires a ledger write before the next delivery. If another instance took over the step while
 * this process was paused, that write fails, since it is conditional on the session number. */
void
lc_deliver_require_session_check (LcStep *step)
{
  if (!step->closed_at)
    step->required_ledger_change = lc_ledger_add_change (&step->ledger, true);
}

void
lc_deliver_restore_acknowledged_slots (LcStep *step, const LcCursor *ledger_cursor)
{
  for (size_t i = 0; i < step->n_slots; i++)
    if (lc_cursor_has_slot (ledger_cursor, i))
      lc_step_set_slot_state (step, &step->slots[i], LC_SLOT_ACKED);
  lc_cursor_copy (&step->acked, ledger_cursor);
  step->acked.session = step->session;
}

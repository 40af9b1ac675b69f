#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 1, .hedge_budget = 0.5 };
static const LcSubscription strict = { .share = 1, .idle_weight = 1, .strict = true };

/* Creates the next owner of the first owner's step. The next owner gets the first owner's ledger
 * row, which records the samples that were delivered. */
static Owner *
new_owner_from_ledger (const Owner *first, const LcSubscription *subscription, uint64_t session)
{
  Owner *owner = owner_new (subscription, 5);

  free (owner->ledger_row);
  owner->ledger_row = lb_strdup (first->ledger_row);
  owner_open_step (owner, 4, 2, session);
  return owner;
}

static Owner *
new_owner_from_ledger_of_first (const Owner *first, uint64_t session)
{
  return new_owner_from_ledger (first, &plain, session);
}

/* A trainer's pull times out, and the trainer repeats the pull twice in parallel. All three replies
 * must contain the same chunk of samples, not three different chunks. */
Test (rollouts_once, parallel_identical_pulls_get_the_same_chunk)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_start_pull (owner, 1, "", 40, 10 * LB_SEC);
  owner_start_pull (owner, 2, "", 40, 10 * LB_SEC);
  cr_assert_eq (owner->n_replies, 0);
  owner_finish_all_generations (owner, 40);
  cr_assert_eq (owner->n_replies, 2);
  char *cursor = lb_strdup (owner->cursor);
  char *sample = lb_strdup (owner->samples[0]);
  size_t n_samples = owner->n_samples;
  owner_start_pull (owner, 3, "", 40, 0);
  cr_assert_str_eq (owner->cursor, cursor);
  cr_assert_str_eq (owner->samples[0], sample);
  cr_assert_eq (owner->n_samples, n_samples);
  owner_pull_without_waiting (owner, cursor, 40);
  cr_assert_eq (owner->n_samples, 8 - n_samples);
  cr_assert_str_neq (owner->samples[0], sample);
  free (cursor);
  free (sample);
  owner_free (owner);
}

/* A step is opened while the store is unavailable, and its owner dies after it delivered a chunk,
 * before the store knows of the step. The trainer opens the step again at a new owner and pulls
 * with the cursor of the first owner. Both owners use session number 1. If the new owner rejected
 * the cursor, the trainer would wait for ever; if it ignored the cursor, the trainer would get the
 * chunk's samples twice. */
Test (rollouts_once, cursor_of_an_owner_unknown_to_the_store_is_accepted)
{
  Owner *first = owner_new (&plain, 5);
  Owner *second = owner_new (&plain, 5);

  owner_open_step (first, 4, 2, 1);
  owner_start_pull (first, 1, "", 40, 10 * LB_SEC);
  owner_finish_all_generations (first, 40);
  cr_assert_gt (first->n_samples, 0);
  cr_assert_gt (first->remaining, 0);
  owner_open_step (second, 4, 2, 1);
  owner_finish_all_generations (second, 40);
  owner_pull_without_waiting (second, first->cursor, 40);
  cr_assert_eq (second->reply_error, LB_OK);
  cr_assert_eq (first->n_samples + second->n_samples, 8);
  for (size_t i = 0; i < second->n_samples; i++)
    for (size_t j = 0; j < first->n_samples; j++)
      cr_assert_str_neq (second->samples[i], first->samples[j]);
  owner_free (first);
  owner_free (second);
}

/* A pull delayed by the network arrives after later ones. An answer would deliver samples that
 * the trainer already has. */
Test (rollouts_once, delayed_pull_with_an_older_cursor_is_rejected)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner_pull_without_waiting (owner, "", 40);
  owner_pull_without_waiting (owner, owner->cursor, 40);
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->reply_error, LB_ERROR_BAD_CURSOR);
  owner_free (owner);
}

/* Creates an owner with ten samples. Nine finish at the usual pace; the first stalls after 10
 * tokens. */
static Owner *
new_owner_with_straggler (const LcRolloutSettings *settings)
{
  Owner *owner = owner_new_with_rollout_settings (settings, &plain, 5);

  owner_open_step (owner, 10, 1, 1);
  owner_advance_time_with_ticks (owner, LB_SEC);
  for (size_t i = 1; i < 10; i++)
    owner_receive_generated_piece (owner, owner->requests[i].id, 0, 1, 40);
  owner_advance_time_with_ticks (owner, LB_SEC);
  for (size_t i = 1; i < 10; i++)
    {
      owner_receive_generated_piece (owner, owner->requests[i].id, 1, 99, 40);
      owner_finish_generation (owner, owner->requests[i].id, LB_OK, "short");
    }
  owner_receive_generated_piece (owner, owner->requests[0].id, 0, 10, 40);
  owner_advance_time_with_ticks (owner, 10 * LB_SEC);
  return owner;
}

/* Both requests of a hedged pair complete. Only the first result may be delivered. */
Test (rollouts_once, second_result_of_a_hedged_pair_is_ignored)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();

  settings.migrate = false;
  Owner *owner = new_owner_with_straggler (&settings);
  cr_assert_eq (owner->n_requests, 11);
  cr_assert_eq (owner_get_step_status (owner).hedges, 1);
  cr_assert_str_eq (owner->requests[10].avoid[0], "e1");
  LcRequestId original = owner->requests[0].id;
  owner_receive_generated_piece (owner, owner->requests[10].id, 0, 20, 40);
  owner_finish_generation (owner, owner->requests[10].id, LB_OK, "hedge");
  cr_assert_eq (owner->last_cancelled, original);
  owner_receive_generated_piece (owner, original, 10, 5, 40);
  owner_finish_generation (owner, original, LB_OK, "late");
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 10);
  cr_assert_str_eq (owner->samples[0], "g0/0 hedge");
  owner_pull_without_waiting (owner, owner->cursor, 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (lc_rollouts_count_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* One sample on a slow endpoint delays the step. The sample resumes on another endpoint after its
 * existing tokens, which are not generated again. Later pieces of the slow endpoint are ignored. */
Test (rollouts_once, sample_of_a_slow_endpoint_is_migrated)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();
  Owner *owner = new_owner_with_straggler (&settings);
  LcRequestId original = owner->requests[0].id;

  cr_assert_eq (owner->last_preempted, original);
  cr_assert_eq (owner->n_requests, 10);
  owner_finish_generation (owner, original, LB_ERROR_CLOSED, "begun ");
  cr_assert_eq (owner->n_requests, 11);
  cr_assert_str_eq (owner->requests[10].avoid[0], "e1");
  cr_assert_eq (owner->requests[10].resume_at, 10);
  owner_receive_generated_piece (owner, original, 10, 5, 40);
  owner_receive_generated_piece (owner, owner->requests[10].id, 10, 20, 41);
  owner_finish_generation (owner, owner->requests[10].id, LB_OK, "ended");
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_eq (owner->n_samples, 10);
  cr_assert_str_eq (owner->samples[0], "g0/0 begun ended");
  cr_assert_eq (owner->labels[0].n_spans, 2);
  cr_assert_eq (owner->labels[0].tokens, 30);
  cr_assert_eq (owner_get_step_status (owner).wasted_tokens, 0);
  owner_free (owner);
}

/* A sample completes before its preemption takes effect. It must be delivered, not resumed. */
Test (rollouts_once, preemption_after_completion_has_no_effect)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();
  Owner *owner = new_owner_with_straggler (&settings);

  owner_receive_generated_piece (owner, owner->requests[0].id, 10, 5, 40);
  owner_finish_generation (owner, owner->requests[0].id, LB_OK, "whole");
  cr_assert_eq (owner->n_requests, 10);
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_str_eq (owner->samples[0], "g0/0 whole");
  owner_free (owner);
}

/* The owner dies after it sent a chunk and before the ledger row recorded the chunk in the store.
 * The trainer's cursor then lists samples that the ledger row lacks; if the next owner ignored the
 * cursor, it would send these samples again. */
Test (rollouts_once, new_owner_continues_from_the_trainers_cursor)
{
  Owner *first = owner_new (&plain, 5);

  first->ledger_is_unresponsive = true;
  owner_open_step (first, 4, 2, 1);
  for (size_t i = 0; i < 4; i++)
    {
      owner_receive_generated_piece (first, first->requests[i].id, 0, 10, 40);
      owner_finish_generation (first, first->requests[i].id, LB_OK, "text");
    }
  owner_finish_all_generations (first, 40);
  owner_pull_without_waiting (first, "", 40);
  cr_assert_eq (first->n_samples, 8);
  char *cursor = lb_strdup (first->cursor);
  Owner *second = new_owner_from_ledger_of_first (first, 2);
  owner_pull_without_waiting (second, cursor, 40);
  cr_assert_eq (second->reply_error, LB_OK);
  cr_assert_eq (second->n_samples, 0);
  cr_assert_eq (second->remaining, 0);
  cr_assert_eq (owner_count_running_requests (second), 0);
  free (cursor);
  owner_free (first);
  owner_free (second);
}

/* The owner drains while it has samples that the trainer has not acknowledged. The next owner must
 * not generate these samples again, and must not deliver acknowledged samples twice. */
Test (rollouts_once, new_owner_takes_over_ready_samples)
{
  Owner *first = owner_new (&plain, 5);
  Owner *second = owner_new (&plain, 5);

  owner_open_step (first, 4, 2, 1);
  for (size_t i = 0; i < 5; i++)
    {
      owner_receive_generated_piece (first, first->requests[i].id, 0, 10, 40);
      owner_finish_generation (first, first->requests[i].id, LB_OK, "first");
    }
  OWNER_EXECUTE_ACTIONS_OF (first, lc_rollouts_drain (first->rollouts, first->now, &actions));
  owner_pull_without_waiting (first, "", 40);
  cr_assert_eq (first->n_samples, 2);
  second->n_handed_over
      = lc_rollouts_list_unacknowledged_samples (first->rollouts, "t", 1, &second->handed_over);
  cr_assert_eq (second->n_handed_over, 5);
  owner_open_step (second, 4, 2, 2);
  cr_assert_eq (owner_count_running_requests (second), 3);
  owner_pull_without_waiting (second, first->cursor, 40);
  cr_assert_eq (second->remaining, 6);
  owner_finish_all_generations (second, 40);
  owner_pull_without_waiting (second, second->cursor, 40);
  cr_assert_eq (second->n_samples, 6);
  cr_assert_str_eq (second->samples[0], "g1/0 first");
  free (second->handed_over);
  owner_free (first);
  owner_free (second);
}

/* The owner's process is paused, another instance takes over the step, and the old owner then gets
 * a pull. A delivery could repeat samples of the new owner's chunks, so the old owner must deliver
 * only after a ledger write, which fails because its session is older. */
Test (rollouts_once, replaced_owner_does_not_deliver_after_a_pause)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner->now += 30 * LB_SEC;
  owner->ledger_error = LB_ERROR_CONDITION_FAILED;
  owner_start_pull (owner, 1, "", 40, 5 * LB_SEC);
  cr_assert_eq (owner->n_replies, 1);
  cr_assert_eq (owner->reply_error, LB_ERROR_STALE_SESSION);
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->reply_error, LB_ERROR_UNKNOWN_STEP);
  owner_free (owner);
}

/* The owner's process is paused, and the store is unavailable afterwards. The owner can't tell
 * whether it was replaced, so it delivers only after a ledger write succeeds. */
Test (rollouts_once, paused_owner_waits_for_the_store_before_delivery)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner->now += 30 * LB_SEC;
  owner->ledger_error = LB_ERROR_STORE_AWAY;
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->reply_error, LB_ERROR_STORE_AWAY);
  owner->ledger_error = LB_OK;
  owner_advance_time_with_ticks (owner, 10 * LB_SEC);
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 8);
  owner_free (owner);
}

/* An owner does not know that another instance has replaced it, and gets a pull whose cursor has
 * the later session number of the new owner. The old owner must stop delivering the step. */
Test (rollouts_once, cursor_of_a_later_session_stops_the_owner)
{
  Owner *first = owner_new (&plain, 5);

  owner_open_step (first, 4, 2, 1);
  owner_finish_all_generations (first, 40);
  Owner *second = new_owner_from_ledger_of_first (first, 2);
  owner_pull_without_waiting (second, "", 40);
  owner_pull_without_waiting (first, second->cursor, 40);
  cr_assert_eq (first->reply_error, LB_ERROR_STALE_SESSION);
  cr_assert_not (lc_rollouts_get_step_status (first->rollouts, "t", 1, &(LcStepStatus){ 0 }));
  owner_free (first);
  owner_free (second);
}

/* The store is unavailable for minutes during a step. Delivery to a trainer with a cursor
 * continues, since the cursor holds the same state as the ledger. */
Test (rollouts_once, step_continues_while_the_store_is_unavailable)
{
  Owner *owner = owner_new (&plain, 5);
  size_t got = 0;

  owner_open_step (owner, 4, 2, 1);
  owner->ledger_error = LB_ERROR_STORE_AWAY;
  for (size_t i = 0; i < 8; i++)
    {
      owner_receive_generated_piece (owner, owner->requests[i].id, 0, 10, 40);
      owner_finish_generation (owner, owner->requests[i].id, LB_OK, "text");
      owner_pull_without_waiting (owner, owner->cursor, 40);
      cr_assert_eq (owner->reply_error, LB_OK);
      got += owner->n_samples;
      owner_advance_time_with_ticks (owner, 30 * LB_SEC);
    }
  owner_pull_without_waiting (owner, owner->cursor, 40);
  cr_assert_eq (got, 8);
  owner->ledger_error = LB_OK;
  owner_advance_time_with_ticks (owner, 10 * LB_SEC);
  Owner *second = new_owner_from_ledger_of_first (owner, 2);
  cr_assert_eq (owner_count_running_requests (second), 0);
  owner_free (owner);
  owner_free (second);
}

/* Pulls of a strict subscription have no cursor, so only the ledger row in the store records what
 * was delivered. No chunk may be sent before the write of the ledger row that records the chunk has
 * succeeded. */
Test (rollouts_once, strict_chunk_is_sent_only_after_its_ledger_write)
{
  Owner *owner = owner_new (&strict, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner->ledger_is_unresponsive = true;
  owner_start_pull (owner, 1, "", 40, 5 * LB_SEC);
  cr_assert_eq (owner->n_replies, 0);
  owner->ledger_is_unresponsive = false;
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_finish_ledger_write (owner->rollouts, owner->last_write_id,
                                                             LB_OK, owner->now, &actions));
  cr_assert_eq (owner->n_replies, 1);
  cr_assert_eq (owner->n_samples, 8);
  cr_assert_str_eq (owner->cursor, "");
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner->remaining, 0);
  owner_free (owner);
}

/* Two connections of a strict trainer send the same pull. Only one of them may get
 * each sample. */
Test (rollouts_once, strict_chunk_is_sent_to_one_of_two_pulls)
{
  Owner *owner = owner_new (&strict, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_start_pull (owner, 1, "", 40, 60 * LB_SEC);
  owner_start_pull (owner, 2, "", 40, 60 * LB_SEC);
  owner_finish_all_generations (owner, 40);
  cr_assert_eq (owner->n_replies, 2);
  cr_assert_eq (owner->n_delivered, owner_get_step_status (owner).delivered);
  cr_assert_eq (lc_rollouts_count_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* A strict trainer disconnects while its chunk waits for the ledger write. The chunk must not count
 * as delivered. */
Test (rollouts_once, strict_chunk_is_kept_when_the_pull_is_cancelled)
{
  Owner *owner = owner_new (&strict, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner->ledger_is_unresponsive = true;
  owner_start_pull (owner, 1, "", 40, 5 * LB_SEC);
  lc_rollouts_cancel_pull (owner->rollouts, 1);
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_finish_ledger_write (owner->rollouts, owner->last_write_id,
                                                             LB_OK, owner->now, &actions));
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 8);
  owner_free (owner);
}

#define WAIT (5 * LB_SEC) /* longer than a ledger write takes */

/* Guards against a strict trainer that misses a chunk whose reply was lost on its way. */
Test (rollouts_once, numbered_strict_chunk_is_sent_again_until_it_is_named)
{
  Owner *owner = owner_new (&strict, 5);
  int64_t chunk_id;

  owner_open_step (owner, 4, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner_pull_after_chunk (owner, 0, WAIT);
  cr_assert_eq (owner->n_samples, 8);
  chunk_id = owner->chunk_id;
  cr_assert_gt (chunk_id, 0);
  owner_pull_after_chunk (owner, 0, WAIT);
  cr_assert_eq (owner->n_samples, 8);
  cr_assert_eq (owner->chunk_id, chunk_id);
  owner_pull_after_chunk (owner, chunk_id, WAIT);
  cr_assert_eq (owner->reply_error, LB_OK);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner->remaining, 0);
  cr_assert_eq (owner->chunk_id, chunk_id);
  owner_free (owner);
}

/* Guards against a strict trainer that misses a chunk whose owner was killed after it had written
 * the ledger and before the reply left. */
Test (rollouts_once, lost_numbered_chunk_of_a_killed_owner_is_generated_again)
{
  Owner *first = owner_new (&strict, 5);

  owner_open_step (first, 4, 2, 1);
  owner_finish_all_generations (first, 40);
  owner_pull_after_chunk (first, 0, WAIT);
  cr_assert_eq (first->n_samples, 8);
  Owner *second = new_owner_from_ledger (first, &strict, 2);
  cr_assert_eq (
      owner_count_running_requests (second), 0,
      "the samples must not be generated again before the trainer tells that it lacks them");
  owner_pull_after_chunk (second, 0, 0);
  cr_assert_eq (second->n_samples, 0);
  cr_assert_eq (second->remaining, 8);
  owner_finish_all_generations (second, 40);
  owner_pull_after_chunk (second, 0, WAIT);
  cr_assert_eq (second->n_samples, 8);
  cr_assert_neq (second->chunk_id, first->chunk_id);
  owner_pull_after_chunk (second, second->chunk_id, WAIT);
  cr_assert_eq (second->remaining, 0);
  cr_assert_eq (lc_rollouts_count_invariant_failures (second->rollouts), 0);
  owner_free (first);
  owner_free (second);
}

/* Guards against a strict trainer that gets a chunk twice from the next owner. */
Test (rollouts_once, received_numbered_chunk_of_a_killed_owner_is_not_sent_again)
{
  Owner *first = owner_new (&strict, 5);

  owner_open_step (first, 4, 2, 1);
  owner_finish_all_generations (first, 40);
  owner_pull_after_chunk (first, 0, WAIT);
  Owner *second = new_owner_from_ledger (first, &strict, 2);
  Owner *third = NULL;
  owner_pull_after_chunk (second, first->chunk_id, WAIT);
  cr_assert_eq (second->reply_error, LB_OK);
  cr_assert_eq (second->n_samples, 0);
  cr_assert_eq (second->remaining, 0);
  cr_assert_eq (owner_count_running_requests (second), 0);
  third = new_owner_from_ledger (first, &strict, 3);
  owner_pull_after_chunk (third, first->chunk_id, WAIT);
  cr_assert_eq (third->reply_error, LB_OK);
  cr_assert_eq (third->remaining, 0);
  owner_free (first);
  owner_free (second);
  owner_free (third);
}

/* Guards against two contents under one number: an owner that was replaced while it was paused must
 * not send its last chunk again. */
Test (rollouts_once, repeated_numbered_chunk_waits_for_a_ledger_write)
{
  Owner *owner = owner_new (&strict, 5);
  int n_replies;

  owner_open_step (owner, 4, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner_pull_after_chunk (owner, 0, WAIT);
  n_replies = owner->n_replies;
  owner->ledger_is_unresponsive = true;
  owner_pull_after_chunk (owner, 0, WAIT);
  cr_assert_eq (owner->n_replies, n_replies);
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_finish_ledger_write (owner->rollouts, owner->last_write_id,
                                                             LB_OK, owner->now, &actions));
  cr_assert_eq (owner->n_replies, n_replies + 1);
  cr_assert_eq (owner->n_samples, 8);
  owner_free (owner);
}

/* A number that is neither that of the last chunk nor of the one before is an error, as is one of a
 * subscription that is not strict. */
Test (rollouts_once, unknown_chunk_number_is_rejected)
{
  Owner *owner = owner_new (&strict, 5);
  Owner *other = owner_new (&plain, 5);

  owner_open_step (owner, 4, 2, 1);
  owner_pull_after_chunk (owner, 7, WAIT);
  cr_assert_eq (owner->reply_error, LB_ERROR_BAD_CURSOR);
  owner_open_step (other, 4, 2, 1);
  owner_pull_after_chunk (other, 0, 0);
  cr_assert_eq (other->reply_error, LB_ERROR_BAD_CURSOR);
  owner_free (owner);
  owner_free (other);
}

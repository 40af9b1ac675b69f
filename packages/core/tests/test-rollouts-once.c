#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 1, .hedge_budget = 0.5 };
static const LcSubscription strict = { .share = 1, .idle_weight = 1, .strict = true };

/* A second instance with the ledger of the first, as one that takes the step over. */
static Owner *
successor (const Owner *first, uint64_t session)
{
  Owner *owner = owner_new (&plain, 5);

  free (owner->ledger);
  owner->ledger = lb_strdup (first->ledger);
  owner_open (owner, 4, 2, session);
  return owner;
}

/* The trainer's request times out and it sends the same pull again, twice in parallel. It must get
 * one chunk three times, not three chunks. */
Test (rollouts_once, parallel_identical_pulls_get_one_chunk)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open (owner, 4, 2, 1);
  owner_pull_id (owner, 1, "", 40, 10 * LB_SEC);
  owner_pull_id (owner, 2, "", 40, 10 * LB_SEC);
  cr_assert_eq (owner->n_replies, 0);
  owner_finish_all (owner, 40);
  cr_assert_eq (owner->n_replies, 2);
  char *cursor = lb_strdup (owner->cursor);
  char *sample = lb_strdup (owner->samples[0]);
  size_t n_samples = owner->n_samples;
  owner_pull_id (owner, 3, "", 40, 0);
  cr_assert_str_eq (owner->cursor, cursor);
  cr_assert_str_eq (owner->samples[0], sample);
  cr_assert_eq (owner->n_samples, n_samples);
  owner_pull (owner, cursor, 40);
  cr_assert_eq (owner->n_samples, 8 - n_samples);
  cr_assert_str_neq (owner->samples[0], sample);
  free (cursor);
  free (sample);
  owner_free (owner);
}

/* A step begins while the store is away, the trainer takes a chunk of it, and its owner dies before
 * the store knows of the step. The trainer posts it again and pulls with the cursor that it has. If
 * the new owner, whose session is the first one too, refuses this cursor the trainer waits for
 * ever; if it ignores the cursor the trainer gets the chunk's samples twice. */
Test (rollouts_once, a_cursor_of_an_owner_that_the_store_never_knew_counts)
{
  Owner *first = owner_new (&plain, 5);
  Owner *second = owner_new (&plain, 5);

  owner_open (first, 4, 2, 1);
  owner_pull_id (first, 1, "", 40, 10 * LB_SEC);
  owner_finish_all (first, 40);
  cr_assert_gt (first->n_samples, 0);
  cr_assert_gt (first->remaining, 0);
  owner_open (second, 4, 2, 1);
  owner_finish_all (second, 40);
  owner_pull (second, first->cursor, 40);
  cr_assert_eq (second->reply_error, LB_OK);
  cr_assert_eq (first->n_samples + second->n_samples, 8);
  for (size_t i = 0; i < second->n_samples; i++)
    for (size_t j = 0; j < first->n_samples; j++)
      cr_assert_str_neq (second->samples[i], first->samples[j]);
  owner_free (first);
  owner_free (second);
}

/* A pull that was held up in the network arrives after later ones. Answered from the present state
 * it would give samples that the trainer already has. */
Test (rollouts_once, a_late_pull_with_an_older_cursor_is_refused)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open (owner, 4, 2, 1);
  owner_finish_all (owner, 40);
  owner_pull (owner, "", 40);
  owner_pull (owner, owner->cursor, 40);
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->reply_error, LB_ERROR_BAD_CURSOR);
  owner_free (owner);
}

/* Ten samples run, nine of them end at a usual pace; the first has a few tokens and then stalls. */
static Owner *
with_a_straggler (const LcRolloutSettings *settings)
{
  Owner *owner = owner_new_with (settings, &plain, 5);

  owner_open (owner, 10, 1, 1);
  owner_wait (owner, LB_SEC);
  for (size_t i = 1; i < 10; i++)
    owner_piece (owner, owner->requests[i].id, 0, 1, 40);
  owner_wait (owner, LB_SEC);
  for (size_t i = 1; i < 10; i++)
    {
      owner_piece (owner, owner->requests[i].id, 1, 99, 40);
      owner_finish (owner, owner->requests[i].id, LB_OK, "short");
    }
  owner_piece (owner, owner->requests[0].id, 0, 10, 40);
  owner_wait (owner, 10 * LB_SEC);
  return owner;
}

/* Both of a hedged pair complete: the second one must not be delivered beside the first. */
Test (rollouts_once, the_second_of_a_hedged_pair_is_dropped)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();

  settings.migrate = false;
  Owner *owner = with_a_straggler (&settings);
  cr_assert_eq (owner->n_requests, 11);
  cr_assert_eq (owner_status (owner).hedges, 1);
  cr_assert_str_eq (owner->requests[10].avoid[0], "e1");
  LcRequestId original = owner->requests[0].id;
  owner_piece (owner, owner->requests[10].id, 0, 20, 40);
  owner_finish (owner, owner->requests[10].id, LB_OK, "hedge");
  cr_assert_eq (owner->last_abandoned, original);
  owner_piece (owner, original, 10, 5, 40);
  owner_finish (owner, original, LB_OK, "late");
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 10);
  cr_assert_str_eq (owner->samples[0], "g0/0 hedge");
  owner_pull (owner, owner->cursor, 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (lc_rollouts_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* A slow endpoint holds the step up with one sample. The sample goes on elsewhere from the tokens
 * that it has, none of them is made twice; what the slow endpoint says later is nobody's. */
Test (rollouts_once, a_sample_of_a_slow_endpoint_goes_on_elsewhere)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();
  Owner *owner = with_a_straggler (&settings);
  LcRequestId original = owner->requests[0].id;

  cr_assert_eq (owner->last_recalled, original);
  cr_assert_eq (owner->n_requests, 10);
  owner_finish (owner, original, LB_ERROR_CLOSED, "begun ");
  cr_assert_eq (owner->n_requests, 11);
  cr_assert_str_eq (owner->requests[10].avoid[0], "e1");
  cr_assert_eq (owner->requests[10].resume_at, 10);
  owner_piece (owner, original, 10, 5, 40);
  owner_piece (owner, owner->requests[10].id, 10, 20, 41);
  owner_finish (owner, owner->requests[10].id, LB_OK, "ended");
  owner_pull (owner, "", 41);
  cr_assert_eq (owner->n_samples, 10);
  cr_assert_str_eq (owner->samples[0], "g0/0 begun ended");
  cr_assert_eq (owner->labels[0].n_spans, 2);
  cr_assert_eq (owner->labels[0].tokens, 30);
  cr_assert_eq (owner_status (owner).wasted_tokens, 0);
  owner_free (owner);
}

/* The recalled sample was whole before the recall came through: it counts as it is. */
Test (rollouts_once, a_recall_that_comes_too_late_changes_nothing)
{
  LcRolloutSettings settings = lc_rollout_settings_default ();
  Owner *owner = with_a_straggler (&settings);

  owner_piece (owner, owner->requests[0].id, 10, 5, 40);
  owner_finish (owner, owner->requests[0].id, LB_OK, "whole");
  cr_assert_eq (owner->n_requests, 10);
  owner_pull (owner, "", 41);
  cr_assert_str_eq (owner->samples[0], "g0/0 whole");
  owner_free (owner);
}

/* The owner dies between a chunk and the ledger write about it. The new owner knows less from the
 * ledger than the trainer does; the trainer's cursor must decide, or samples come twice. */
Test (rollouts_once, a_new_owner_goes_on_from_the_trainers_cursor)
{
  Owner *first = owner_new (&plain, 5);

  first->ledger_silent = true;
  owner_open (first, 4, 2, 1);
  for (size_t i = 0; i < 4; i++)
    {
      owner_piece (first, first->requests[i].id, 0, 10, 40);
      owner_finish (first, first->requests[i].id, LB_OK, "text");
    }
  owner_finish_all (first, 40);
  owner_pull (first, "", 40);
  cr_assert_eq (first->n_samples, 8);
  char *cursor = lb_strdup (first->cursor);
  Owner *second = successor (first, 2);
  owner_pull (second, cursor, 40);
  cr_assert_eq (second->reply_error, LB_OK);
  cr_assert_eq (second->n_samples, 0);
  cr_assert_eq (second->remaining, 0);
  cr_assert_eq (owner_running (second), 0);
  free (cursor);
  owner_free (first);
  owner_free (second);
}

/* The owner shuts down in order with samples that its trainer has not got: they must not be lost to
 * the work that made them, nor come twice beside those that were acknowledged. */
Test (rollouts_once, a_new_owner_takes_over_ready_samples)
{
  Owner *first = owner_new (&plain, 5);
  Owner *second = owner_new (&plain, 5);

  owner_open (first, 4, 2, 1);
  for (size_t i = 0; i < 5; i++)
    {
      owner_piece (first, first->requests[i].id, 0, 10, 40);
      owner_finish (first, first->requests[i].id, LB_OK, "first");
    }
  OWNER_DO (first, lc_rollouts_drain (first->rollouts, first->now, &actions));
  owner_pull (first, "", 40);
  cr_assert_eq (first->n_samples, 2);
  second->n_left = lc_rollouts_list_unacknowledged (first->rollouts, "t", 1, &second->left);
  cr_assert_eq (second->n_left, 5);
  owner_open (second, 4, 2, 2);
  cr_assert_eq (owner_running (second), 3);
  owner_pull (second, first->cursor, 40);
  cr_assert_eq (second->remaining, 6);
  owner_finish_all (second, 40);
  owner_pull (second, second->cursor, 40);
  cr_assert_eq (second->n_samples, 6);
  cr_assert_str_eq (second->samples[0], "g1/0 first");
  free (second->left);
  owner_free (first);
  owner_free (second);
}

/* The owner is stopped for a while and another takes the step over; then it wakes and a pull comes
 * to it. It must not deliver: the trainer has newer chunks from the other. Its ledger write fails
 * on the session, and only after that write would it deliver. */
Test (rollouts_once, an_owner_that_was_paused_asks_the_ledger_first)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open (owner, 4, 2, 1);
  owner_finish_all (owner, 40);
  owner->now += 30 * LB_SEC;
  owner->ledger_error = LB_ERROR_CONDITION_FAILED;
  owner_pull_id (owner, 1, "", 40, 5 * LB_SEC);
  cr_assert_eq (owner->n_replies, 1);
  cr_assert_eq (owner->reply_error, LB_ERROR_STALE_SESSION);
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->reply_error, LB_ERROR_UNKNOWN_STEP);
  owner_free (owner);
}

/* The same with the store away: the owner can not know, so it waits, and goes on when it knows. */
Test (rollouts_once, an_owner_that_was_paused_waits_for_the_store)
{
  Owner *owner = owner_new (&plain, 5);

  owner_open (owner, 4, 2, 1);
  owner_finish_all (owner, 40);
  owner->now += 30 * LB_SEC;
  owner->ledger_error = LB_ERROR_STORE_AWAY;
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->reply_error, LB_ERROR_STORE_AWAY);
  owner->ledger_error = LB_OK;
  owner_wait (owner, 10 * LB_SEC);
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 8);
  owner_free (owner);
}

/* The trainer shows a cursor of a later session to an owner that missed its own replacement. */
Test (rollouts_once, a_cursor_of_a_later_session_stops_the_owner)
{
  Owner *first = owner_new (&plain, 5);

  owner_open (first, 4, 2, 1);
  owner_finish_all (first, 40);
  Owner *second = successor (first, 2);
  owner_pull (second, "", 40);
  owner_pull (first, second->cursor, 40);
  cr_assert_eq (first->reply_error, LB_ERROR_STALE_SESSION);
  cr_assert_not (lc_rollouts_get_step_status (first->rollouts, "t", 1, &(LcStepStatus){ 0 }));
  owner_free (first);
  owner_free (second);
}

/* The store goes away for minutes in mid-step and comes back. A trainer with a cursor loses no
 * time: its cursor holds what the ledger would. */
Test (rollouts_once, a_step_goes_on_while_the_store_is_away)
{
  Owner *owner = owner_new (&plain, 5);
  size_t got = 0;

  owner_open (owner, 4, 2, 1);
  owner->ledger_error = LB_ERROR_STORE_AWAY;
  for (size_t i = 0; i < 8; i++)
    {
      owner_piece (owner, owner->requests[i].id, 0, 10, 40);
      owner_finish (owner, owner->requests[i].id, LB_OK, "text");
      owner_pull (owner, owner->cursor, 40);
      cr_assert_eq (owner->reply_error, LB_OK);
      got += owner->n_samples;
      owner_wait (owner, 30 * LB_SEC);
    }
  owner_pull (owner, owner->cursor, 40);
  cr_assert_eq (got, 8);
  owner->ledger_error = LB_OK;
  owner_wait (owner, 10 * LB_SEC);
  Owner *second = successor (owner, 2);
  cr_assert_eq (owner_running (second), 0);
  owner_free (owner);
  owner_free (second);
}

/* A strict trainer sends no cursor, so the ledger alone says what it has: no chunk may leave before
 * the write that names it is known to be done. */
Test (rollouts_once, strict_waits_for_the_ledger_before_each_chunk)
{
  Owner *owner = owner_new (&strict, 5);

  owner_open (owner, 4, 2, 1);
  owner_finish_all (owner, 40);
  owner->ledger_silent = true;
  owner_pull_id (owner, 1, "", 40, 5 * LB_SEC);
  cr_assert_eq (owner->n_replies, 0);
  owner->ledger_silent = false;
  OWNER_DO (owner, lc_rollouts_finish_ledger_write (owner->rollouts, owner->write, LB_OK,
                                                    owner->now, &actions));
  cr_assert_eq (owner->n_replies, 1);
  cr_assert_eq (owner->n_samples, 8);
  cr_assert_str_eq (owner->cursor, "");
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner->remaining, 0);
  owner_free (owner);
}

/* The same pull at two connections of a strict trainer: each sample goes to one of them. */
Test (rollouts_once, strict_gives_a_chunk_once)
{
  Owner *owner = owner_new (&strict, 5);

  owner_open (owner, 4, 2, 1);
  owner_pull_id (owner, 1, "", 40, 60 * LB_SEC);
  owner_pull_id (owner, 2, "", 40, 60 * LB_SEC);
  owner_finish_all (owner, 40);
  cr_assert_eq (owner->n_replies, 2);
  cr_assert_eq (owner->n_given, owner_status (owner).delivered);
  cr_assert_eq (lc_rollouts_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* A strict trainer goes away while its chunk waits for the ledger: the chunk is not spent. */
Test (rollouts_once, strict_keeps_the_chunk_of_a_trainer_that_went_away)
{
  Owner *owner = owner_new (&strict, 5);

  owner_open (owner, 4, 2, 1);
  owner_finish_all (owner, 40);
  owner->ledger_silent = true;
  owner_pull_id (owner, 1, "", 40, 5 * LB_SEC);
  lc_rollouts_cancel_pull (owner->rollouts, 1);
  OWNER_DO (owner, lc_rollouts_finish_ledger_write (owner->rollouts, owner->write, LB_OK,
                                                    owner->now, &actions));
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 8);
  owner_free (owner);
}

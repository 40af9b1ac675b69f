#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 0.5 };

/* Opens a step with one sample and returns the request that generates it. */
static LcRequestId
open_step_with_one_sample (Owner *owner)
{
  owner_open_step (owner, 1, 1, 1);
  cr_assert_eq (owner->n_requests, 1);
  return owner->requests[0].id;
}

/* Expects that the sample of the request `old` is generated again, and returns the new request. */
static LcRequestId
expect_regenerated_sample (Owner *owner, LcRequestId old)
{
  owner_advance_time_with_ticks (owner, 6 * LB_SEC);
  LcRequestId next_request = owner->requests[owner->n_requests - 1].id;
  cr_assert_neq (next_request, 0);
  cr_assert_neq (next_request, old);
  return next_request;
}

/* The engine's weights change while it streams. Neither the weight version at dispatch nor the
 * final version is that of all tokens, so the delivered sample must list two spans of tokens, each
 * with its version. */
Test (rollouts_labels, weight_swap_during_sample_is_delivered_as_two_spans)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = open_step_with_one_sample (owner);

  owner_receive_generated_piece (owner, request, 0, 10, 40);
  owner_receive_generated_piece (owner, request, 10, 5, 41);
  owner_finish_generation (owner, request, LB_OK, "text");
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_eq (owner->n_samples, 1);
  cr_assert_eq (owner->labels[0].n_spans, 2);
  cr_assert_eq (owner->labels[0].spans[1].version, 41);
  cr_assert_eq (owner_get_step_status (owner).staleness_max, 1);
  owner_free (owner);
}

/* After a failed weight swap the engine streams on without stating a weight version. The version of
 * these tokens would be a guess, so the sample must be generated again. */
Test (rollouts_labels, sample_with_missing_version_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = open_step_with_one_sample (owner);

  owner_receive_generated_piece (owner, request, 0, 10, 40);
  owner_receive_generated_piece (owner, request, 10, 5, 0);
  cr_assert_eq (owner->last_cancelled, request);
  owner_finish_generation (owner, request, LB_OK, "text");
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  request = expect_regenerated_sample (owner, request);
  owner_receive_generated_piece (owner, request, 0, 12, 40);
  owner_finish_generation (owner, request, LB_OK, "again");
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_str_eq (owner->samples[0], "g0/0 again");
  cr_assert_eq (owner_get_step_status (owner).discarded_unlabelled, 1);
  cr_assert_eq (owner_get_step_status (owner).wasted_tokens, 10);
  cr_assert_eq (lc_rollouts_count_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* A stream repeats tokens with another weight version, so the text may mix tokens of both versions:
 * the sample must be generated again. */
Test (rollouts_labels, sample_with_contradictory_versions_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = open_step_with_one_sample (owner);

  owner_receive_generated_piece (owner, request, 0, 10, 40);
  owner_receive_generated_piece (owner, request, 0, 10, 41);
  owner_finish_generation (owner, request, LB_OK, "texttext");
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_eq (owner->n_samples, 0);
  expect_regenerated_sample (owner, request);
  cr_assert_eq (owner_get_step_status (owner).discarded_unlabelled, 1);
  owner_free (owner);
}

/* The engine's answer ends without any streamed piece, so the weight version of its text is
 * unknown: the sample must be generated again. */
Test (rollouts_labels, answer_without_pieces_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = open_step_with_one_sample (owner);

  owner_finish_generation (owner, request, LB_OK, "text");
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (lc_rollouts_count_invariant_failures (owner->rollouts), 0);
  cr_assert_eq (owner_get_step_status (owner).discarded_unlabelled, 1);
  expect_regenerated_sample (owner, request);
  owner_free (owner);
}

/* The engine dies during a sample, which resumes on another engine with newer weights. The trainer
 * must get both versions, and the text joined without a gap. */
Test (rollouts_labels, resume_with_other_weights_adds_a_span)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = open_step_with_one_sample (owner);

  owner_receive_generated_piece (owner, request, 0, 10, 40);
  owner_finish_generation (owner, request, LB_ERROR_STREAM_BROKEN, "first ");
  LcRequestId next_request = expect_regenerated_sample (owner, request);
  cr_assert_eq (owner->requests[1].resume_at, 10);
  cr_assert_str_eq (owner->resume_texts[1], "first ");
  owner_receive_generated_piece (owner, next_request, 10, 5, 41);
  owner_finish_generation (owner, next_request, LB_OK, "second");
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_str_eq (owner->samples[0], "g0/0 first second");
  cr_assert_eq (owner->labels[0].n_spans, 2);
  cr_assert_eq (owner->labels[0].tokens, 15);
  cr_assert_eq (owner_get_step_status (owner).wasted_tokens, 0);
  owner_free (owner);
}

/* The resumed stream starts at another offset than requested, so the text would mix two
 * generations: the sample must be generated again. */
Test (rollouts_labels, resume_at_wrong_offset_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = open_step_with_one_sample (owner);

  owner_receive_generated_piece (owner, request, 0, 10, 40);
  owner_finish_generation (owner, request, LB_ERROR_STREAM_BROKEN, "first ");
  LcRequestId next_request = expect_regenerated_sample (owner, request);
  owner_receive_generated_piece (owner, next_request, 9, 5, 41);
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_eq (owner->n_samples, 0);
  expect_regenerated_sample (owner, next_request);
  cr_assert_eq (owner->requests[owner->n_requests - 1].resume_at, 0);
  owner_free (owner);
}

/* A partial sample that can't be resumed, for whatever reason, must not be retried for ever. */
Test (rollouts_labels, repeatedly_failing_resume_restarts_from_the_beginning)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = open_step_with_one_sample (owner);

  owner_receive_generated_piece (owner, request, 0, 10, 40);
  for (int i = 0; i < 4; i++)
    {
      owner_finish_generation (owner, request, LB_ERROR_ENDPOINT_FAILED, "first ");
      request = expect_regenerated_sample (owner, request);
    }
  cr_assert_eq (owner->requests[owner->n_requests - 1].resume_at, 0);
  owner_free (owner);
}

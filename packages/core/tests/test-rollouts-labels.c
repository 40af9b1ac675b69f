#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 0.5 };

/* One sample of one group is running; its request is returned. */
static LcRequestId
one_running (Owner *owner)
{
  owner_open (owner, 1, 1, 1);
  cr_assert_eq (owner->n_requests, 1);
  return owner->requests[0].id;
}

/* A new generation of the slot is running under another request. */
static LcRequestId
expect_regenerated (Owner *owner, LcRequestId old)
{
  owner_wait (owner, 6 * LB_SEC);
  LcRequestId again = owner->requests[owner->n_requests - 1].id;
  cr_assert_neq (again, 0);
  cr_assert_neq (again, old);
  return again;
}

/* The trainer gets a sample of two weights labelled with one. The engine's weights changed while it
 * streamed; the version at dispatch or at the end is not the version of every token. */
Test (rollouts_labels, a_swap_in_mid_sample_is_delivered_as_two_spans)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = one_running (owner);

  owner_piece (owner, request, 0, 10, 40);
  owner_piece (owner, request, 10, 5, 41);
  owner_finish (owner, request, LB_OK, "text");
  owner_pull (owner, "", 41);
  cr_assert_eq (owner->n_samples, 1);
  cr_assert_eq (owner->labels[0].n_spans, 2);
  cr_assert_eq (owner->labels[0].spans[1].version, 41);
  cr_assert_eq (owner_status (owner).staleness_max, 1);
  owner_free (owner);
}

/* The trainer gets a sample whose label is a guess: after a failed swap the engine streams on
 * without stating a version. The sample must be made again instead. */
Test (rollouts_labels, a_missing_version_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = one_running (owner);

  owner_piece (owner, request, 0, 10, 40);
  owner_piece (owner, request, 10, 5, 0);
  cr_assert_eq (owner->last_abandoned, request);
  owner_finish (owner, request, LB_OK, "text");
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  request = expect_regenerated (owner, request);
  owner_piece (owner, request, 0, 12, 40);
  owner_finish (owner, request, LB_OK, "again");
  owner_pull (owner, "", 40);
  cr_assert_str_eq (owner->samples[0], "g0/0 again");
  cr_assert_eq (owner_status (owner).discarded_unlabelled, 1);
  cr_assert_eq (owner_status (owner).wasted_tokens, 10);
  cr_assert_eq (lc_rollouts_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* The same with a stream that says two things of one token: it repeats itself under another
 * version, so the text holds tokens of both. */
Test (rollouts_labels, a_contradictory_version_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = one_running (owner);

  owner_piece (owner, request, 0, 10, 40);
  owner_piece (owner, request, 0, 10, 41);
  owner_finish (owner, request, LB_OK, "texttext");
  owner_pull (owner, "", 41);
  cr_assert_eq (owner->n_samples, 0);
  expect_regenerated (owner, request);
  cr_assert_eq (owner_status (owner).discarded_unlabelled, 1);
  owner_free (owner);
}

/* An answer without any piece, or whole without a text, is nothing that a label could be of. */
Test (rollouts_labels, an_answer_without_pieces_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = one_running (owner);

  owner_finish (owner, request, LB_OK, "text");
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (lc_rollouts_invariant_failures (owner->rollouts), 0);
  cr_assert_eq (owner_status (owner).discarded_unlabelled, 1);
  expect_regenerated (owner, request);
  owner_free (owner);
}

/* The engine dies in mid-sample and the sample goes on at another one, with newer weights. The
 * trainer must see both versions, and the text joined without a gap. */
Test (rollouts_labels, a_resume_elsewhere_adds_a_span)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = one_running (owner);

  owner_piece (owner, request, 0, 10, 40);
  owner_finish (owner, request, LB_ERROR_STREAM_BROKEN, "first ");
  LcRequestId again = expect_regenerated (owner, request);
  cr_assert_eq (owner->requests[1].resume_at, 10);
  cr_assert_str_eq (owner->resume_texts[1], "first ");
  owner_piece (owner, again, 10, 5, 41);
  owner_finish (owner, again, LB_OK, "second");
  owner_pull (owner, "", 41);
  cr_assert_str_eq (owner->samples[0], "g0/0 first second");
  cr_assert_eq (owner->labels[0].n_spans, 2);
  cr_assert_eq (owner->labels[0].tokens, 15);
  cr_assert_eq (owner_status (owner).wasted_tokens, 0);
  owner_free (owner);
}

/* The resumed stream begins at another token than it was asked for: two generations spliced. */
Test (rollouts_labels, a_resume_at_another_offset_is_regenerated)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = one_running (owner);

  owner_piece (owner, request, 0, 10, 40);
  owner_finish (owner, request, LB_ERROR_STREAM_BROKEN, "first ");
  LcRequestId again = expect_regenerated (owner, request);
  owner_piece (owner, again, 9, 5, 41);
  owner_pull (owner, "", 41);
  cr_assert_eq (owner->n_samples, 0);
  expect_regenerated (owner, again);
  cr_assert_eq (owner->requests[owner->n_requests - 1].resume_at, 0);
  owner_free (owner);
}

/* A part that can not be gone on from, for whatever reason, must not be tried for ever. */
Test (rollouts_labels, resuming_is_given_up_after_some_failures)
{
  Owner *owner = owner_new (&plain, 5);
  LcRequestId request = one_running (owner);

  owner_piece (owner, request, 0, 10, 40);
  for (int i = 0; i < 4; i++)
    {
      owner_finish (owner, request, LB_ERROR_ENDPOINT_FAILED, "first ");
      request = expect_regenerated (owner, request);
    }
  cr_assert_eq (owner->requests[owner->n_requests - 1].resume_at, 0);
  owner_free (owner);
}

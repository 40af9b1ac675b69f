#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 1 };

/* Samples are within the staleness bound when they are dispatched and when they end, but the
 * trainer's version advances before it pulls. It must not get samples beyond the bound. */
Test (rollouts_fresh, sample_that_became_stale_before_the_pull_is_regenerated)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open_step (owner, 2, 2, 1);
  owner_finish_all_generations (owner, 40);
  owner_pull_without_waiting (owner, "", 42);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner_get_step_status (owner).discarded_stale, 4);
  cr_assert_eq (owner_count_running_requests (owner), 4);
  owner_finish_all_generations (owner, 41);
  owner_pull_without_waiting (owner, "", 42);
  cr_assert_eq (owner->n_samples, 4);
  cr_assert_eq (owner_get_step_status (owner).staleness_max, 1);
  cr_assert_eq (lc_rollouts_count_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* A sample starts with old weights and ends with new ones: its staleness is that of the oldest
 * version. */
Test (rollouts_fresh, oldest_span_decides_staleness)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open_step (owner, 1, 1, 1);
  owner_receive_generated_piece (owner, owner->requests[0].id, 0, 1, 40);
  owner_receive_generated_piece (owner, owner->requests[0].id, 1, 99, 42);
  owner_finish_generation (owner, owner->requests[0].id, LB_OK, "text");
  owner_pull_without_waiting (owner, "", 42);
  cr_assert_eq (owner->n_samples, 0);
  owner_free (owner);
}

/* The reply with a chunk is lost and the trainer repeats its pull a version later, when one sample
 * of the chunk exceeds the staleness bound. The other sample must be delivered, and the stale one
 * generated again. */
Test (rollouts_fresh, repeated_pull_at_newer_version_gets_no_stale_sample)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open_step (owner, 2, 1, 1);
  owner_receive_generated_piece (owner, owner->requests[0].id, 0, 10, 40);
  owner_finish_generation (owner, owner->requests[0].id, LB_OK, "old");
  owner_receive_generated_piece (owner, owner->requests[1].id, 0, 10, 41);
  owner_finish_generation (owner, owner->requests[1].id, LB_OK, "young");
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_eq (owner->n_samples, 2);
  char *first = lb_strdup (owner->cursor);
  owner_pull_without_waiting (owner, "", 42);
  cr_assert_eq (owner->n_samples, 1);
  cr_assert_str_eq (owner->samples[0], "g1/0 young");
  cr_assert_eq (lc_rollouts_count_invariant_failures (owner->rollouts), 0);
  /* The trainer received the first reply after all, and pulls with the cursor of that reply. The
   * cursor must be accepted, and no sample be repeated. */
  owner_pull_without_waiting (owner, first, 42);
  cr_assert_eq (owner->reply_error, LB_OK);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner->remaining, 0);
  cr_assert_eq (owner_count_running_requests (owner), 0);
  free (first);
  owner_free (owner);
}

/* A running sample that already exceeds the staleness bound must be stopped at once; finishing it
 * would waste tokens. */
Test (rollouts_fresh, running_stale_sample_is_restarted)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open_step (owner, 1, 1, 1);
  LcRequestId request = owner->requests[0].id;
  owner_receive_generated_piece (owner, request, 0, 10, 40);
  owner_pull_without_waiting (owner, "", 42);
  cr_assert_eq (owner->last_cancelled, request);
  cr_assert_eq (owner_count_running_requests (owner), 1);
  cr_assert_eq (owner->requests[1].resume_at, 0);
  owner_free (owner);
}

/* Engines with old weights get no generation whose result would be stale when it ends. */
Test (rollouts_fresh, min_version_accounts_for_versions_until_the_end)
{
  Owner *owner = owner_new (&plain, 1);

  OWNER_EXECUTE_ACTIONS_OF (owner, lc_rollouts_set_newest_pool_version (owner->rollouts, "reader",
                                                                        42, 90 * LB_SEC, owner->now,
                                                                        &actions));
  owner_open_step (owner, 1, 1, 1);
  cr_assert_eq (owner->requests[0].min_version, 39);
  owner_receive_generated_piece (owner, owner->requests[0].id, 0, 10, 40);
  owner_pull_without_waiting (owner, "", 42);
  cr_assert_eq (owner->requests[1].min_version, 41);
  owner_free (owner);
}

/* A trainer can't use a part of a group, so the other samples of the group wait until the stale
 * sample is generated again. */
Test (rollouts_fresh, group_with_a_stale_sample_is_held_back)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open_step (owner, 2, 2, 1);
  for (size_t i = 0; i < 4; i++)
    {
      /* The second request is the first of group g1. */
      LcRequestId request = owner->requests[i].id;
      owner_receive_generated_piece (owner, request, 0, 10, i == 1 ? 39 : 40);
      owner_finish_generation (owner, request, LB_OK, "text");
    }
  owner_pull_without_waiting (owner, "", 41);
  cr_assert_eq (owner->n_samples, 2);
  cr_assert_str_eq (owner->samples[0], "g0/0 text");
  cr_assert_eq (owner->remaining, 2);
  owner_free (owner);
}

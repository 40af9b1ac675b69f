#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 1 };

/* The trainer learns from samples that are older than it allows. They were fresh when they were
 * dispatched, and when they ended; but the trainer had gone on before it pulled. */
Test (rollouts_fresh, stale_at_delivery_though_fresh_at_dispatch)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open (owner, 2, 2, 1);
  owner_finish_all (owner, 40);
  owner_pull (owner, "", 42);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner_status (owner).discarded_stale, 4);
  cr_assert_eq (owner_running (owner), 4);
  owner_finish_all (owner, 41);
  owner_pull (owner, "", 42);
  cr_assert_eq (owner->n_samples, 4);
  cr_assert_eq (owner_status (owner).staleness_max, 1);
  cr_assert_eq (lc_rollouts_invariant_failures (owner->rollouts), 0);
  owner_free (owner);
}

/* The oldest span counts, not the newest: a sample that was begun long ago and ended fresh. */
Test (rollouts_fresh, the_oldest_span_decides)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open (owner, 1, 1, 1);
  owner_piece (owner, owner->requests[0].id, 0, 1, 40);
  owner_piece (owner, owner->requests[0].id, 1, 99, 42);
  owner_finish (owner, owner->requests[0].id, LB_OK, "text");
  owner_pull (owner, "", 42);
  cr_assert_eq (owner->n_samples, 0);
  owner_free (owner);
}

/* The reply with a chunk is lost and the trainer repeats its pull a version later: the same chunk
 * would now be too old. What it still may have is given, the rest is made again. */
Test (rollouts_fresh, a_repeated_chunk_is_judged_by_the_repeated_pull)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open (owner, 2, 1, 1);
  owner_piece (owner, owner->requests[0].id, 0, 10, 40);
  owner_finish (owner, owner->requests[0].id, LB_OK, "old");
  owner_piece (owner, owner->requests[1].id, 0, 10, 41);
  owner_finish (owner, owner->requests[1].id, LB_OK, "young");
  owner_pull (owner, "", 41);
  cr_assert_eq (owner->n_samples, 2);
  char *first = lb_strdup (owner->cursor);
  owner_pull (owner, "", 42);
  cr_assert_eq (owner->n_samples, 1);
  cr_assert_str_eq (owner->samples[0], "g1/0 young");
  cr_assert_eq (lc_rollouts_invariant_failures (owner->rollouts), 0);
  /* It had the first reply after all: that one counts, and nothing of it comes again. */
  owner_pull (owner, first, 42);
  cr_assert_eq (owner->reply_error, LB_OK);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner->remaining, 0);
  cr_assert_eq (owner_running (owner), 0);
  free (first);
  owner_free (owner);
}

/* A running sample that can only end too old is stopped at once: its tokens would be thrown away.
 */
Test (rollouts_fresh, a_running_sample_that_is_already_too_old_is_begun_again)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open (owner, 1, 1, 1);
  LcRequestId request = owner->requests[0].id;
  owner_piece (owner, request, 0, 10, 40);
  owner_pull (owner, "", 42);
  cr_assert_eq (owner->last_abandoned, request);
  cr_assert_eq (owner_running (owner), 1);
  cr_assert_eq (owner->requests[1].resume_at, 0);
  owner_free (owner);
}

/* Engines that lag behind get no work whose result the trainer would refuse on arrival. */
Test (rollouts_fresh, dispatch_asks_for_weights_that_will_be_fresh_enough)
{
  Owner *owner = owner_new (&plain, 1);

  OWNER_DO (owner, lc_rollouts_set_versions (owner->rollouts, "reader", 42, 90 * LB_SEC, owner->now,
                                             &actions));
  owner_open (owner, 1, 1, 1);
  cr_assert_eq (owner->requests[0].min_version, 39);
  owner_piece (owner, owner->requests[0].id, 0, 10, 40);
  owner_pull (owner, "", 42);
  cr_assert_eq (owner->requests[1].min_version, 41);
  owner_free (owner);
}

/* A group is of no use in part, so one stale sample holds its siblings back until it is made again.
 */
Test (rollouts_fresh, a_group_with_a_stale_sample_waits_for_it)
{
  Owner *owner = owner_new (&plain, 1);

  owner_open (owner, 2, 2, 1);
  for (size_t i = 0; i < 4; i++)
    {
      /* The second request is the first of group g1. */
      LcRequestId request = owner->requests[i].id;
      owner_piece (owner, request, 0, 10, i == 1 ? 39 : 40);
      owner_finish (owner, request, LB_OK, "text");
    }
  owner_pull (owner, "", 41);
  cr_assert_eq (owner->n_samples, 2);
  cr_assert_str_eq (owner->samples[0], "g0/0 text");
  cr_assert_eq (owner->remaining, 2);
  owner_free (owner);
}

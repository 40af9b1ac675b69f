#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 0.5, .hedge_budget = 0.1 };

Test (rollouts, a_step_from_open_to_done)
{
  Owner *owner = owner_new (&plain, 2);

  owner_open (owner, 2, 4, 1);
  cr_assert_eq (owner->n_requests, 8);
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner->remaining, 8);
  owner_finish_all (owner, 40);
  owner_pull (owner, owner->cursor, 40);
  cr_assert_eq (owner->n_samples, 8);
  cr_assert_eq (owner->remaining, 0);
  cr_assert_str_eq (owner->samples[5], "g1/1 text");
  owner_pull (owner, owner->cursor, 40);
  cr_assert_eq (owner->reply_error, LB_OK);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner_status (owner).delivered, 8);
  cr_assert_eq (lc_rollouts_count_in_progress (owner->rollouts), 0);
  owner_free (owner);
}

/* The table takes several hundred writes a second for everything. Many small chunks of one step
 * must not each cost one. */
Test (rollouts, acknowledgements_are_gathered_into_few_writes)
{
  Owner *owner = owner_new (&plain, 2);

  owner_open (owner, 200, 1, 1);
  for (size_t i = 0; i < 200; i++)
    {
      owner_piece (owner, owner->requests[i].id, 0, 10, 40);
      owner_finish (owner, owner->requests[i].id, LB_OK, "text");
      owner_pull (owner, owner->cursor, 40);
      cr_assert_eq (owner->n_samples, 1);
      owner_wait (owner, 100 * LB_MSEC);
    }
  owner_pull (owner, owner->cursor, 40);
  cr_assert_leq (owner->n_writes, 11);
  cr_assert_geq (owner->n_writes, 9);
  owner_free (owner);
}

/* The scorer fails and comes back: the sample waits for its score and is not made again. */
Test (rollouts, scoring_is_retried)
{
  LcSubscription scored = plain;

  LB_COPY (scored.scorer, "judge");
  Owner *owner = owner_new (&scored, 2);
  owner_open (owner, 1, 1, 1);
  owner_finish_all (owner, 40);
  cr_assert_eq (owner->n_scores, 1);
  cr_assert_str_eq (owner->requests[1].pool, "judge");
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  OWNER_DO (owner, lc_rollouts_finish_scoring (owner->rollouts, owner->requests[1].id,
                                               LB_ERROR_ENDPOINT_FAILED, 0, owner->now, &actions));
  owner_wait (owner, LB_SEC);
  cr_assert_eq (owner->n_scores, 2);
  OWNER_DO (owner, lc_rollouts_finish_scoring (owner->rollouts, owner->requests[2].id, LB_OK, 0.5,
                                               owner->now, &actions));
  owner_pull (owner, "", 40);
  cr_assert_eq (owner->n_samples, 1);
  cr_assert_eq (owner->n_requests, 3);
  owner_free (owner);
}

/* Two trainers with one pool: the burst of the first leaves the second its share. */
Test (rollouts, a_second_trainer_gets_its_share)
{
  Owner *owner = owner_new (&plain, 2);
  LcSubscription both[2] = { plain, plain };
  LcPool pool = { .name = "reader" };
  LcEndpointMember engine = { .name = "e1", .pool = "reader", .concurrency = 20 };
  LcResourceSet set = { .pools = &pool,
                        .n_pools = 1,
                        .subscriptions = both,
                        .n_subscriptions = 2,
                        .endpoints = &engine,
                        .n_endpoints = 1 };
  LcGroupSpec group = { .id = "g", .samples = 50, .max_tokens = 10 };
  LcStepSpec spec = { .subscription = "u", .step = 1, .trainer_version = 40, .n_groups = 1 };
  size_t of_second = 0;

  LB_COPY (both[0].name, "t");
  LB_COPY (both[1].name, "u");
  LB_COPY (both[0].pool, "reader");
  LB_COPY (both[1].pool, "reader");
  OWNER_DO (owner, lc_rollouts_configure (owner->rollouts, &set, owner->now, &actions));
  owner_open (owner, 100, 1, 1);
  cr_assert_eq (owner_running (owner), 22);
  group.prompt = lb_strdup ("p");
  spec.groups = lb_memdup (&group, sizeof group);
  OWNER_DO (owner, lc_rollouts_open_step (owner->rollouts, &spec, 1, owner->now, &actions, NULL));
  for (size_t i = 0; i < 22; i++)
    {
      owner_piece (owner, owner->requests[i].id, 0, 10, 40);
      owner_finish (owner, owner->requests[i].id, LB_OK, "text");
    }
  for (size_t i = 22; i < owner->n_requests; i++)
    of_second += strcmp (owner->requests[i].caller, "u") == 0;
  cr_assert_eq (owner->n_requests, 44);
  cr_assert_geq (of_second, 11);
  owner_free (owner);
}

/* A shutdown never ends: samples that no engine takes were waited for. They are left to the next
 * owner; those that have begun are finished. */
Test (rollouts, a_drain_waits_only_for_what_has_begun)
{
  Owner *owner = owner_new (&plain, 2);

  owner_open (owner, 2, 1, 1);
  owner_piece (owner, owner->requests[0].id, 0, 10, 40);
  OWNER_DO (owner, lc_rollouts_drain (owner->rollouts, owner->now, &actions));
  cr_assert_eq (owner_running (owner), 1);
  cr_assert_eq (lc_rollouts_count_in_progress (owner->rollouts), 1);
  owner_free (owner);
}

/* A step never begins: the bound allows the weights that serve, but staleness weighs so much that
 * newer ones were asked for than any engine is known to have. */
Test (rollouts, unknown_versions_are_not_asked_for)
{
  LcSubscription fresh = plain;

  fresh.idle_weight = 0;
  Owner *owner = owner_new (&fresh, 2);
  owner_open (owner, 1, 1, 1);
  cr_assert_eq (owner->requests[0].min_version, 38);
  owner_free (owner);
}

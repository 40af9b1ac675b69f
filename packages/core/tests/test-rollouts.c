#include "rollouts-fixture.h"

static const LcSubscription plain = { .share = 1, .idle_weight = 0.5, .hedge_budget = 0.1 };

Test (rollouts, step_is_delivered_and_acknowledged)
{
  Owner *owner = owner_new (&plain, 2);

  owner_open_step (owner, 2, 4, 1);
  cr_assert_eq (owner->n_requests, 8);
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner->remaining, 8);
  owner_finish_all_generations (owner, 40);
  owner_pull_without_waiting (owner, owner->cursor, 40);
  cr_assert_eq (owner->n_samples, 8);
  cr_assert_eq (owner->remaining, 0);
  cr_assert_str_eq (owner->samples[5], "g1/1 text");
  owner_pull_without_waiting (owner, owner->cursor, 40);
  cr_assert_eq (owner->reply_error, LB_OK);
  cr_assert_eq (owner->n_samples, 0);
  cr_assert_eq (owner_get_step_status (owner).delivered, 8);
  cr_assert_eq (lc_rollouts_count_requests_and_waiting_pulls (owner->rollouts), 0);
  owner_free (owner);
}

/* The store's table takes several hundred writes a second in total, so small chunks must not cost
 * one write each. */
Test (rollouts, acknowledgements_are_combined_into_few_writes)
{
  Owner *owner = owner_new (&plain, 2);

  owner_open_step (owner, 200, 1, 1);
  for (size_t i = 0; i < 200; i++)
    {
      owner_receive_generated_piece (owner, owner->requests[i].id, 0, 10, 40);
      owner_finish_generation (owner, owner->requests[i].id, LB_OK, "text");
      owner_pull_without_waiting (owner, owner->cursor, 40);
      cr_assert_eq (owner->n_samples, 1);
      owner_advance_time_with_ticks (owner, 100 * LB_MSEC);
    }
  owner_pull_without_waiting (owner, owner->cursor, 40);
  cr_assert_leq (owner->n_ledger_writes, 11);
  cr_assert_geq (owner->n_ledger_writes, 9);
  owner_free (owner);
}

/* The scorer fails once. The sample must wait for its score and not be generated again. */
Test (rollouts, failed_scoring_is_retried)
{
  LcSubscription scored = plain;

  LB_COPY (scored.scorer, "judge");
  Owner *owner = owner_new (&scored, 2);
  owner_open_step (owner, 1, 1, 1);
  owner_finish_all_generations (owner, 40);
  cr_assert_eq (owner->n_scores, 1);
  cr_assert_str_eq (owner->requests[1].pool, "judge");
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 0);
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_finish_scoring (owner->rollouts, owner->requests[1].id,
                                                        LB_ERROR_ENDPOINT_FAILED, 0, owner->now,
                                                        &actions));
  owner_advance_time_with_ticks (owner, LB_SEC);
  cr_assert_eq (owner->n_scores, 2);
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_finish_scoring (owner->rollouts, owner->requests[2].id,
                                                        LB_OK, 0.5, owner->now, &actions));
  owner_pull_without_waiting (owner, "", 40);
  cr_assert_eq (owner->n_samples, 1);
  cr_assert_eq (owner->n_requests, 3);
  owner_free (owner);
}

/* Two trainers use one pool. A burst of samples of the first trainer must leave the second its
 * share. */
Test (rollouts, second_trainer_gets_its_share)
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
  OWNER_EXECUTE_ACTIONS_OF (owner,
                            lc_rollouts_configure (owner->rollouts, &set, owner->now, &actions));
  owner_open_step (owner, 100, 1, 1);
  cr_assert_eq (owner_count_running_requests (owner), 22);
  group.prompt = lb_strdup ("p");
  spec.groups = lb_memdup (&group, sizeof group);
  OWNER_EXECUTE_ACTIONS_OF (owner, lc_rollouts_open_step (owner->rollouts, &spec, 1, owner->now,
                                                          &actions, NULL));
  for (size_t i = 0; i < 22; i++)
    {
      owner_receive_generated_piece (owner, owner->requests[i].id, 0, 10, 40);
      owner_finish_generation (owner, owner->requests[i].id, LB_OK, "text");
    }
  for (size_t i = 22; i < owner->n_requests; i++)
    of_second += strcmp (owner->requests[i].caller, "u") == 0;
  cr_assert_eq (owner->n_requests, 44);
  cr_assert_geq (of_second, 11);
  owner_free (owner);
}

/* A drain that waited for generations that no engine has started would never end. These generations
 * must be cancelled and left to the next owner; generations with a first piece are finished. */
Test (rollouts, drain_waits_only_for_started_generations)
{
  Owner *owner = owner_new (&plain, 2);

  owner_open_step (owner, 2, 1, 1);
  owner_receive_generated_piece (owner, owner->requests[0].id, 0, 10, 40);
  OWNER_EXECUTE_ACTIONS_OF (owner, lc_rollouts_drain (owner->rollouts, owner->now, &actions));
  cr_assert_eq (owner_count_running_requests (owner), 1);
  cr_assert_eq (lc_rollouts_count_requests_and_waiting_pulls (owner->rollouts), 1);
  owner_free (owner);
}

/* With idle_weight 0 only staleness counts, so a step asks for engines with the newest weights.
 * While the versions of the engines are unknown, a minimum version above the one that the trainer's
 * staleness bound allows could leave the step without any engine. */
Test (rollouts, min_version_is_the_staleness_bound_while_versions_are_unknown)
{
  LcSubscription fresh = plain;

  fresh.idle_weight = 0;
  Owner *owner = owner_new (&fresh, 2);
  owner_open_step (owner, 1, 1, 1);
  cr_assert_eq (owner->requests[0].min_version, 38);
  owner_free (owner);
}

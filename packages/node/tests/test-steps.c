#include "steps-fixture.h"

#include "ln-step-store.h"

/* A trainer may call any instance, also one that does not own its step. */
Test (steps, pull_at_an_instance_that_is_not_the_owner_is_relayed)
{
  Cluster *cluster = cluster_new (false);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "%s", cluster->reply);
  cr_assert (strstr (cluster->reply, "\"session\":1"));
  cr_assert (strstr (cluster->reply, "\"durable\":true"));
  cr_assert_eq (cluster_pull (cluster, 1, 2), 2);
  cr_assert_eq (cluster_pull (cluster, 0, 2), 2);
  cluster_send (cluster, 1, "steps/1", NULL);
  CLUSTER_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert (strstr (cluster->reply, "\"delivered\":4"), "%s", cluster->reply);
  cluster_expect_each_sample_once (cluster);
  cr_assert_eq (cluster->instances[1].calls.n_samples, 0);
  cr_assert_eq (cluster->instances[0].calls.n_prefix_hashes, 1);
  cluster_free (cluster);
}

Test (steps, unknown_step_and_invalid_input_return_their_error_types)
{
  Cluster *cluster = cluster_new (false);
  const struct
  {
    const char *subpath, *body, *type;
  } bad[] = { { "pull", "{\"step\":9,\"cursor\":\"\",\"weight_version\":1}", "unknown_step" },
              { "pull", "{\"cursor\":\"\",\"weight_version\":1}", "missing_key" },
              { "pull", "[", "bad_json" },
              { "steps", "{\"step\":1,\"weight_version\":1,\"groups\":[]}", "bad_value" },
              { "steps/x", NULL, "bad_value" },
              { "other", NULL, "unknown_path" } };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      cluster_send (cluster, 0, bad[i].subpath, bad[i].body);
      CLUSTER_UNTIL (cluster, cluster->n_pending == 0);
      cr_assert (strstr (cluster->reply, bad[i].type), "%s: %s", bad[i].type, cluster->reply);
    }
  cr_assert_eq (cluster->store.writes, 0);
  cluster_free (cluster);
}

/* A trainer with a misspelt subscription would post its step again and again if the error said that
 * the step is unknown. */
Test (steps, unknown_subscription_is_not_reported_as_unknown_step)
{
  Cluster *cluster = cluster_new (false);

  cluster_send_to (cluster, 0, "tt", "pull", "{\"step\":9,\"cursor\":\"\",\"weight_version\":1}");
  CLUSTER_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert (strstr (cluster->reply, "unknown_subscription"), "%s", cluster->reply);
  cluster_free (cluster);
}

/* The owner dies after it delivered half of the step. The next owner must continue right after the
 * samples that the trainer has, although the ledger has no record of them yet. */
Test (steps, step_continues_at_another_instance_after_its_owner_died)
{
  Cluster *cluster = cluster_new (false);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster_pull (cluster, 0, 2), 2);
  cluster->instances[0].alive = false;
  cluster_send_members (cluster);
  cr_assert_eq (cluster_pull (cluster, 1, 4), 2);
  cluster_expect_each_sample_once (cluster);
  cluster_send (cluster, 1, "steps/1", NULL);
  CLUSTER_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert (strstr (cluster->reply, "\"session\":2"), "%s", cluster->reply);
  cluster_free (cluster);
}

/* The owner was wrongly taken for dead and replaced. Then it gets the trainer's next pull. It must
 * not deliver from its own state: the cursor names a later session, so the call is relayed to
 * the owner of that session. */
Test (steps, owner_that_was_replaced_does_not_deliver)
{
  Cluster *cluster = cluster_new (false);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster_pull (cluster, 0, 1), 1);
  cluster->instances[0].alive = false;
  cluster_send_members (cluster);
  cr_assert_eq (cluster_pull (cluster, 1, 1), 1);
  cluster->instances[0].alive = true;
  cluster_send_members (cluster);
  cr_assert_eq (cluster_pull (cluster, 0, 4), 2);
  cluster_expect_each_sample_once (cluster);
  cluster_free (cluster);
}

/* The owner of a strict subscription's step was replaced, and the trainer's pull does not reveal
 * the new owner. The write of the ledger must fail by its condition on the owner's row, before a
 * chunk is sent. */
Test (steps, replaced_owner_of_a_strict_step_fails_to_write_the_ledger)
{
  Cluster *cluster = cluster_new (true);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster_pull (cluster, 0, 1), 1);
  cluster->instances[0].alive = false;
  cluster_send_members (cluster);
  cr_assert_eq (cluster_pull (cluster, 1, 1), 1);
  cluster->instances[0].alive = true;
  cluster_send_members (cluster);
  cr_assert_eq (cluster_pull (cluster, 0, 4), 2);
  cluster_expect_each_sample_once (cluster);
  cluster_free (cluster);
}

/* The store's replies are lost after the writes took effect. If these counted as failures, the step
 * would never open or a strict chunk would be delivered twice; so each outcome is read back. */
Test (steps, writes_with_lost_replies_are_read_back)
{
  Cluster *cluster = cluster_new (true);

  cluster->store.mode = STORE_LOSES_REPLY;
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "%s", cluster->reply);
  cr_assert (strstr (cluster->reply, "\"durable\":true"), "%s", cluster->reply);
  cr_assert_eq (cluster_pull (cluster, 0, 2), 2);
  cr_assert_eq (cluster_pull (cluster, 0, 2), 2);
  cluster_expect_each_sample_once (cluster);
  cr_assert_eq (cluster->store.writes, 3);
  cluster_free (cluster);
}

/* The store is unavailable when the step opens. The trainer need not wait: the row is written when
 * the store is back, and then another instance can take over. */
Test (steps, step_opens_while_the_store_is_unavailable)
{
  Cluster *cluster = cluster_new (false);

  cluster->store.mode = STORE_UNAVAILABLE;
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "%s", cluster->reply);
  cr_assert (strstr (cluster->reply, "\"durable\":false"), "%s", cluster->reply);
  cr_assert_eq (cluster_pull (cluster, 0, 2), 2);
  int writes = cluster->store.writes;
  cluster->store.mode = STORE_WORKS;
  CLUSTER_UNTIL (cluster, cluster->store.writes > writes);
  cr_assert_eq (cluster_pull (cluster, 1, 4), 2);
  cluster_expect_each_sample_once (cluster);
  cluster_free (cluster);
}

/* Two instances get the request to open the same step at the same time, as from a trainer that
 * timed out and tried again. One becomes the owner, and both serve the step's calls. */
Test (steps, concurrent_opens_have_one_owner)
{
  Cluster *cluster = cluster_new (false);

  cluster_send_open (cluster, 1);
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "%s", cluster->reply);
  cr_assert_eq (cluster_pull (cluster, 0, 2), 2);
  cr_assert_eq (cluster_pull (cluster, 1, 2), 2);
  cluster_expect_each_sample_once (cluster);
  cr_assert (cluster->instances[0].calls.n_samples == 0
             || cluster->instances[1].calls.n_samples == 0);
  cluster_free (cluster);
}

typedef struct
{
  int n_replies;
  LbErrorCode error;
  LnStepOwner owner;
} OwnerResult;

static void
on_owner_result (LbErrorCode error, const LnStepOwner *owner, void *user)
{
  *(OwnerResult *)user = (OwnerResult){ .n_replies = 1, .error = error, .owner = *owner };
}

/* Two instances saw the same owner die, and the claim of the slower one arrives after the faster
 * one has begun to deliver. It must fail because of the row version that it read, or both would
 * deliver under the same session. */
Test (steps, claim_with_an_outdated_row_version_fails)
{
  Cluster *cluster = cluster_new (false);
  const LnStepKey key = { .subscription = "t", .step = 1 };
  const LnStepOwner nobody = { 0 };
  LnStepStore *stores[2];
  OwnerResult result = { 0 };

  for (size_t i = 0; i < 2; i++)
    {
      stores[i] = ln_step_store_new (&cluster->instances[i].context);
      result.n_replies = 0;
      ln_step_store_claim (stores[i], &key, &nobody, "{}", on_owner_result, &result);
      CLUSTER_UNTIL (cluster, result.n_replies == 1);
      cr_assert_eq (result.error, i == 0 ? LB_OK : LB_ERROR_CONDITION_FAILED);
    }
  ln_step_store_free (stores[0]);
  ln_step_store_free (stores[1]);
  cluster_free (cluster);
}

static void
on_put (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  cr_assert_eq (error, LB_OK);
  *(bool *)user = true;
}

/* A step's row was damaged by hand and has nulls and numbers in place of strings. A call for the
 * step crashed the instance, as a null was copied like a string. */
Test (steps, damaged_row_names_no_owner)
{
  Cluster *cluster = cluster_new (false);
  const LnStepKey key = { .subscription = "t", .step = 1 };
  const LpPut put = { .key = "step/t/1",
                      .value = "{\"instance\":null,\"incarnation\":7,\"address\":null,"
                               "\"content\":null,\"session\":3}" };
  const LpTransaction transaction = { .token = "damage", .puts = &put, .n_puts = 1 };
  LnStepStore *store = ln_step_store_new (&cluster->instances[0].context);
  OwnerResult result = { 0 };
  bool done = false;

  store_transact (&cluster->store.platform, &transaction, LP_PRIORITY_LEDGER, on_put, &done);
  CLUSTER_UNTIL (cluster, done);
  ln_step_store_read_owner (store, &key, on_owner_result, &result);
  CLUSTER_UNTIL (cluster, result.n_replies == 1);
  cr_assert_eq (result.error, LB_OK);
  cr_assert_str_empty (result.owner.instance);
  cr_assert_str_empty (result.owner.incarnation);
  cr_assert_str_empty (result.owner.address);
  cr_assert_str_empty (result.owner.content_hash);
  cr_assert_eq (result.owner.session, 3);
  cr_assert (result.owner.row_version > 0);
  ln_step_store_free (store);
  cluster_free (cluster);
}

/* The owner drains while some samples are ready and others are running. It must finish the running
 * ones and hand all over to the next owner, so that no sample is generated twice. */
Test (steps, draining_owner_hands_its_samples_over)
{
  Cluster *cluster = cluster_new (false);
  Instance *first = &cluster->instances[0];

  first->calls.holds_samples = true;
  cluster_open_step (cluster, 0);
  CLUSTER_UNTIL (cluster, first->calls.n_held == 4);
  for (size_t i = 0; i < 4; i++)
    calls_post_piece (&first->calls, first->calls.held[i]);
  calls_post_done (&first->calls, first->calls.held[0]);
  for (int i = 0; i < 10; i++)
    cluster_run_once (cluster);
  first->draining = true;
  cluster_send_members (cluster);
  ln_hub_drain (first->context.hub);
  cluster_send_pull (cluster, 0, 4, 5000);
  /* Several drain ticks pass, in which the step must not be released. */
  LbTime until = lb_clock_monotonic () + 300 * LB_MSEC;
  CLUSTER_UNTIL (cluster, lb_clock_monotonic () > until);
  cr_assert_not (ln_hub_is_idle (first->context.hub));
  for (size_t i = 1; i < 4; i++)
    calls_post_done (&first->calls, first->calls.held[i]);
  CLUSTER_UNTIL (cluster, cluster->n_pending == 0);
  cluster_accept_reply (cluster);
  CLUSTER_UNTIL (cluster, ln_hub_is_idle (first->context.hub));
  cluster_pull (cluster, 1, 4);
  cluster_expect_each_sample_once (cluster);
  cr_assert_eq (cluster->instances[1].calls.n_samples, 0);
  cluster_free (cluster);
}

/* A draining instance relays the request to open a step to one that is not draining. */
Test (steps, draining_instance_relays_the_open_of_a_step)
{
  Cluster *cluster = cluster_new (false);

  cluster->instances[0].draining = true;
  cluster_send_members (cluster);
  ln_hub_drain (cluster->instances[0].context.hub);
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "%s", cluster->reply);
  cr_assert_eq (cluster_pull (cluster, 0, 4), 4);
  cluster_expect_each_sample_once (cluster);
  cr_assert_eq (cluster->instances[0].calls.n_samples, 0);
  CLUSTER_UNTIL (cluster, ln_hub_is_idle (cluster->instances[0].context.hub));
  cluster_free (cluster);
}

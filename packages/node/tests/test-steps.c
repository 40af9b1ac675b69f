#include "steps-fixture.h"

#include "ln-step-store.h"

/* A trainer may call any instance, including one that does not own the trainer's step. */
Test (steps, pull_at_an_instance_that_is_not_the_owner_is_relayed)
{
  Cluster *cluster = cluster_new (false);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "expected status 202, got the reply: %s", cluster->reply);
  cr_assert (strstr (cluster->reply, "\"session\":1"));
  cr_assert (strstr (cluster->reply, "\"durable\":true"));
  cr_assert_eq (cluster_pull_samples (cluster, 1, 2), 2);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 2), 2);
  cluster_send_step_call (cluster, 1, "steps/1", NULL);
  CLUSTER_WAIT_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert (strstr (cluster->reply, "\"delivered\":4"), "expected 4 delivered, got %s",
             cluster->reply);
  cluster_expect_each_sample_delivered_once (cluster);
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
      cluster_send_step_call (cluster, 0, bad[i].subpath, bad[i].body);
      CLUSTER_WAIT_UNTIL (cluster, cluster->n_pending == 0);
      cr_assert (strstr (cluster->reply, bad[i].type), "expected the error %s, got: %s",
                 bad[i].type, cluster->reply);
    }
  cr_assert_eq (cluster->store.n_writes, 0);
  cluster_free (cluster);
}

/* A pull names a subscription that does not exist. If the error said that the step is unknown, the
 * trainer would open the step again and again. */
Test (steps, unknown_subscription_is_not_reported_as_unknown_step)
{
  Cluster *cluster = cluster_new (false);

  cluster_send_subscription_call (cluster, 0, "tt", "pull",
                                  "{\"step\":9,\"cursor\":\"\",\"weight_version\":1}");
  CLUSTER_WAIT_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert (strstr (cluster->reply, "unknown_subscription"),
             "expected unknown_subscription, got %s", cluster->reply);
  cluster_free (cluster);
}

/* The owner dies after delivering half of the step. The next owner must deliver only the samples
 * that the trainer does not have, although the store does not record the delivered samples yet. */
Test (steps, step_continues_at_another_instance_after_its_owner_died)
{
  Cluster *cluster = cluster_new (false);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 2), 2);
  cluster->instances[0].alive = false;
  cluster_send_member_lists (cluster);
  cr_assert_eq (cluster_pull_samples (cluster, 1, 4), 2);
  cluster_expect_each_sample_delivered_once (cluster);
  cluster_send_step_call (cluster, 1, "steps/1", NULL);
  CLUSTER_WAIT_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert (strstr (cluster->reply, "\"session\":2"), "expected session 2, got %s",
             cluster->reply);
  cluster_free (cluster);
}

/* The owner of a step was wrongly considered dead and replaced, and receives the trainer's next
 * pull. The cursor of the pull contains a later session (number of claims of the step) than that of
 * the replaced owner, which must relay the pull to the owner of the later session. */
Test (steps, replaced_owner_relays_a_pull_with_a_later_session)
{
  Cluster *cluster = cluster_new (false);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 1), 1);
  cluster->instances[0].alive = false;
  cluster_send_member_lists (cluster);
  cr_assert_eq (cluster_pull_samples (cluster, 1, 1), 1);
  cluster->instances[0].alive = true;
  cluster_send_member_lists (cluster);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 4), 2);
  cluster_expect_each_sample_delivered_once (cluster);
  cluster_free (cluster);
}

/* Pulls of a strict subscription have an empty cursor, which does not tell a replaced owner that
 * the step has a new owner. Before it delivers samples, an owner records them in the store (the
 * ledger). This write of the replaced owner must fail, because the owner row has changed. */
Test (steps, replaced_owner_of_a_strict_step_fails_to_write_the_ledger)
{
  Cluster *cluster = cluster_new (true);

  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 1), 1);
  cluster->instances[0].alive = false;
  cluster_send_member_lists (cluster);
  cr_assert_eq (cluster_pull_samples (cluster, 1, 1), 1);
  cluster->instances[0].alive = true;
  cluster_send_member_lists (cluster);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 4), 2);
  cluster_expect_each_sample_delivered_once (cluster);
  cluster_free (cluster);
}

/* The store's replies are lost although the writes take effect, so each outcome must be read back.
 * If the writes counted as failed, the step would never open, or samples of a strict subscription
 * would be delivered twice. */
Test (steps, writes_with_lost_replies_are_read_back)
{
  Cluster *cluster = cluster_new (true);

  cluster->store.mode = STORE_LOSES_REPLY;
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "expected status 202, got the reply: %s", cluster->reply);
  cr_assert (strstr (cluster->reply, "\"durable\":true"), "expected durable true, got %s",
             cluster->reply);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 2), 2);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 2), 2);
  cluster_expect_each_sample_delivered_once (cluster);
  cr_assert_eq (cluster->store.n_writes, 3);
  cluster_free (cluster);
}

/* A step can be opened while the store is unavailable, so that the trainer need not wait. Its row
 * is written when the store is available again; after that, another instance can serve the step. */
Test (steps, step_opens_while_the_store_is_unavailable)
{
  Cluster *cluster = cluster_new (false);

  cluster->store.mode = STORE_UNAVAILABLE;
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "expected status 202, got the reply: %s", cluster->reply);
  cr_assert (strstr (cluster->reply, "\"durable\":false"), "expected durable false, got %s",
             cluster->reply);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 2), 2);
  int n_writes = cluster->store.n_writes;
  cluster->store.mode = STORE_WORKS;
  CLUSTER_WAIT_UNTIL (cluster, cluster->store.n_writes > n_writes);
  cr_assert_eq (cluster_pull_samples (cluster, 1, 4), 2);
  cluster_expect_each_sample_delivered_once (cluster);
  cluster_free (cluster);
}

/* Two instances receive the request to open the same step at the same time, as from a trainer that
 * timed out and retried. One instance becomes the owner, and both accept calls for the step. */
Test (steps, concurrent_opens_of_a_step_have_one_owner)
{
  Cluster *cluster = cluster_new (false);

  cluster_send_open_step_call (cluster, 1);
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "expected status 202, got the reply: %s", cluster->reply);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 2), 2);
  cr_assert_eq (cluster_pull_samples (cluster, 1, 2), 2);
  cluster_expect_each_sample_delivered_once (cluster);
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
on_step_owner_received (LbErrorCode error, const LnStepOwner *owner, void *user)
{
  *(OwnerResult *)user = (OwnerResult){ .n_replies = 1, .error = error, .owner = *owner };
}

/* Two instances claim a step for which they have read the same version of the owner row. The second
 * claim must fail because that version is outdated; otherwise both instances would deliver samples
 * under the same session. */
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
      ln_step_store_claim_step (stores[i], &key, &nobody, "{}", on_step_owner_received, &result);
      CLUSTER_WAIT_UNTIL (cluster, result.n_replies == 1);
      cr_assert_eq (result.error, i == 0 ? LB_OK : LB_ERROR_CONDITION_FAILED);
    }
  ln_step_store_free (stores[0]);
  ln_step_store_free (stores[1]);
  cluster_free (cluster);
}

static void
expect_row_write_succeeded (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  cr_assert_eq (error, LB_OK);
  *(bool *)user = true;
}

/* An owner row that was edited by hand has nulls and numbers in place of strings. A call for the
 * step crashed the instance, because a null was copied like a string. */
Test (steps, owner_row_with_wrong_types_is_read_as_no_owner)
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

  faulty_store_transact (&cluster->store.platform, &transaction, LP_PRIORITY_LEDGER,
                         expect_row_write_succeeded, &done);
  CLUSTER_WAIT_UNTIL (cluster, done);
  ln_step_store_read_owner (store, &key, on_step_owner_received, &result);
  CLUSTER_WAIT_UNTIL (cluster, result.n_replies == 1);
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

/* The owner drains while one sample is ready and three are being generated. It must finish the
 * three samples and hand all samples over to the next owner, so that no sample is generated twice.
 */
Test (steps, draining_owner_finishes_its_samples_and_hands_them_over)
{
  Cluster *cluster = cluster_new (false);
  Instance *first = &cluster->instances[0];

  first->calls.holds_samples = true;
  cluster_open_step (cluster, 0);
  CLUSTER_WAIT_UNTIL (cluster, first->calls.n_held == 4);
  for (size_t i = 0; i < 4; i++)
    fake_calls_post_ten_tokens (&first->calls, first->calls.held[i]);
  fake_calls_post_sample_done (&first->calls, first->calls.held[0]);
  for (int i = 0; i < 10; i++)
    cluster_run_event_loop_once (cluster);
  first->draining = true;
  cluster_send_member_lists (cluster);
  ln_hub_drain_tasks (first->context.hub);
  cluster_send_pull_call (cluster, 0, 4, 5000);
  /* Waits while the drain is checked several times; no check may release the step while samples are
   * generated. */
  LbTime until = lb_clock_monotonic () + 300 * LB_MSEC;
  CLUSTER_WAIT_UNTIL (cluster, lb_clock_monotonic () > until);
  cr_assert_not (ln_hub_is_idle (first->context.hub));
  for (size_t i = 1; i < 4; i++)
    fake_calls_post_sample_done (&first->calls, first->calls.held[i]);
  CLUSTER_WAIT_UNTIL (cluster, cluster->n_pending == 0);
  cluster_record_samples_of_reply (cluster);
  CLUSTER_WAIT_UNTIL (cluster, ln_hub_is_idle (first->context.hub));
  cluster_pull_samples (cluster, 1, 4);
  cluster_expect_each_sample_delivered_once (cluster);
  cr_assert_eq (cluster->instances[1].calls.n_samples, 0);
  cluster_free (cluster);
}

/* A draining instance claims no steps, so it relays the request to open a step to another instance.
 */
Test (steps, draining_instance_relays_the_open_of_a_step)
{
  Cluster *cluster = cluster_new (false);

  cluster->instances[0].draining = true;
  cluster_send_member_lists (cluster);
  ln_hub_drain_tasks (cluster->instances[0].context.hub);
  cluster_open_step (cluster, 0);
  cr_assert_eq (cluster->status, 202, "expected status 202, got the reply: %s", cluster->reply);
  cr_assert_eq (cluster_pull_samples (cluster, 0, 4), 4);
  cluster_expect_each_sample_delivered_once (cluster);
  cr_assert_eq (cluster->instances[0].calls.n_samples, 0);
  CLUSTER_WAIT_UNTIL (cluster, ln_hub_is_idle (cluster->instances[0].context.hub));
  cluster_free (cluster);
}

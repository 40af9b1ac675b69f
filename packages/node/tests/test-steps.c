#include "steps-fixture.h"

#include "ln-step-store.h"

/* The trainer asks an instance that does not own its step, as it may. */
Test (steps, a_pull_at_another_instance_is_passed_on)
{
  World *world = world_new (false);

  world_open (world, 0);
  cr_assert_eq (world->status, 202, "%s", world->reply);
  cr_assert (strstr (world->reply, "\"session\":1"));
  cr_assert (strstr (world->reply, "\"durable\":true"));
  cr_assert_eq (world_pull (world, 1, 2), 2);
  cr_assert_eq (world_pull (world, 0, 2), 2);
  world_send (world, 1, "steps/1", NULL);
  WORLD_UNTIL (world, world->pending == 0);
  cr_assert (strstr (world->reply, "\"delivered\":4"), "%s", world->reply);
  world_expect_each_once (world);
  cr_assert_eq (world->instances[1].calls.samples, 0);
  cr_assert_eq (world->instances[0].calls.n_prefix_hashes, 1);
  world_free (world);
}

Test (steps, an_unknown_step_and_bad_input_have_their_types)
{
  World *world = world_new (false);
  const struct
  {
    const char *what, *body, *type;
  } bad[] = { { "pull", "{\"step\":9,\"cursor\":\"\",\"weight_version\":1}", "unknown_step" },
              { "pull", "{\"cursor\":\"\",\"weight_version\":1}", "missing_key" },
              { "pull", "[", "bad_json" },
              { "steps", "{\"step\":1,\"weight_version\":1,\"groups\":[]}", "bad_value" },
              { "steps/x", NULL, "bad_value" },
              { "other", NULL, "unknown_path" } };

  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      world_send (world, 0, bad[i].what, bad[i].body);
      WORLD_UNTIL (world, world->pending == 0);
      cr_assert (strstr (world->reply, bad[i].type), "%s: %s", bad[i].type, world->reply);
    }
  cr_assert_eq (world->store.writes, 0);
  world_free (world);
}

/* A trainer misspells its subscription. Told that its step is unknown, it would post the step again
 * and again; told that the subscription is, it knows what to mend. */
Test (steps, an_unknown_subscription_is_not_called_an_unknown_step)
{
  World *world = world_new (false);

  world_send_to (world, 0, "tt", "pull", "{\"step\":9,\"cursor\":\"\",\"weight_version\":1}");
  WORLD_UNTIL (world, world->pending == 0);
  cr_assert (strstr (world->reply, "unknown_subscription"), "%s", world->reply);
  world_free (world);
}

/* The owner dies with half of the step given. The trainer asks another instance, which must go on
 * exactly behind what the trainer has, although the ledger knows nothing of it yet. */
Test (steps, the_owner_dies_and_another_goes_on)
{
  World *world = world_new (false);

  world_open (world, 0);
  cr_assert_eq (world_pull (world, 0, 2), 2);
  world->instances[0].alive = false;
  world_tell_members (world);
  cr_assert_eq (world_pull (world, 1, 4), 2);
  world_expect_each_once (world);
  world_send (world, 1, "steps/1", NULL);
  WORLD_UNTIL (world, world->pending == 0);
  cr_assert (strstr (world->reply, "\"session\":2"), "%s", world->reply);
  world_free (world);
}

/* The owner was only thought dead: it comes back and gets the trainer's next pull. It must not go
 * on from its own state; the trainer's cursor names a later session, and the call follows it. */
Test (steps, an_owner_that_comes_back_does_not_deliver)
{
  World *world = world_new (false);

  world_open (world, 0);
  cr_assert_eq (world_pull (world, 0, 1), 1);
  world->instances[0].alive = false;
  world_tell_members (world);
  cr_assert_eq (world_pull (world, 1, 1), 1);
  world->instances[0].alive = true;
  world_tell_members (world);
  cr_assert_eq (world_pull (world, 0, 4), 2);
  world_expect_each_once (world);
  world_free (world);
}

/* The same for a strict trainer, whose pull does not tell: the condition on the owner's row does,
 * before a chunk leaves. */
Test (steps, a_strict_owner_that_comes_back_fails_at_the_ledger)
{
  World *world = world_new (true);

  world_open (world, 0);
  cr_assert_eq (world_pull (world, 0, 1), 1);
  world->instances[0].alive = false;
  world_tell_members (world);
  cr_assert_eq (world_pull (world, 1, 1), 1);
  world->instances[0].alive = true;
  world_tell_members (world);
  cr_assert_eq (world_pull (world, 0, 4), 2);
  world_expect_each_once (world);
  world_free (world);
}

/* The store's replies are lost after the writes took effect. Taken for failures, the step would
 * never open, or a strict chunk would be given twice; each outcome is read back instead. */
Test (steps, lost_replies_of_the_store_are_read_back)
{
  World *world = world_new (true);

  world->store.mode = STORE_LOSES_REPLY;
  world_open (world, 0);
  cr_assert_eq (world->status, 202, "%s", world->reply);
  cr_assert (strstr (world->reply, "\"durable\":true"), "%s", world->reply);
  cr_assert_eq (world_pull (world, 0, 2), 2);
  cr_assert_eq (world_pull (world, 0, 2), 2);
  world_expect_each_once (world);
  cr_assert_eq (world->store.writes, 3);
  world_free (world);
}

/* The store is away when the step opens. The trainer need not wait; the row follows when the store
 * is back, and then another instance can take over. */
Test (steps, a_step_opens_while_the_store_is_away)
{
  World *world = world_new (false);

  world->store.mode = STORE_AWAY;
  world_open (world, 0);
  cr_assert_eq (world->status, 202, "%s", world->reply);
  cr_assert (strstr (world->reply, "\"durable\":false"), "%s", world->reply);
  cr_assert_eq (world_pull (world, 0, 2), 2);
  int writes = world->store.writes;
  world->store.mode = STORE_WORKS;
  WORLD_UNTIL (world, world->store.writes > writes);
  cr_assert_eq (world_pull (world, 1, 4), 2);
  world_expect_each_once (world);
  world_free (world);
}

/* Two instances are asked to open the same step at the same moment, as by a trainer that lost its
 * patience. One owns it, both answer as one. */
Test (steps, a_race_to_open_has_one_winner)
{
  World *world = world_new (false);

  world_send_open (world, 1);
  world_open (world, 0);
  cr_assert_eq (world->status, 202, "%s", world->reply);
  cr_assert_eq (world_pull (world, 0, 2), 2);
  cr_assert_eq (world_pull (world, 1, 2), 2);
  world_expect_each_once (world);
  cr_assert (world->instances[0].calls.samples == 0 || world->instances[1].calls.samples == 0);
  world_free (world);
}

typedef struct
{
  int answers;
  LbErrorCode error;
  LnStepOwner owner;
} Claimed;

static void
on_claimed (LbErrorCode error, const LnStepOwner *owner, void *user)
{
  *(Claimed *)user = (Claimed){ .answers = 1, .error = error, .owner = *owner };
}

/* Two instances saw the same owner die. The slower one's claim arrives after the faster one has
 * begun to deliver: it must fail on what it saw, or both would go on under one session. */
Test (steps, a_claim_on_an_old_view_fails)
{
  World *world = world_new (false);
  const LnStepKey key = { .subscription = "t", .step = 1 };
  const LnStepOwner nobody = { 0 };
  LnStepStore *stores[2];
  Claimed claimed = { 0 };

  for (size_t i = 0; i < 2; i++)
    {
      stores[i] = ln_step_store_new (&world->instances[i].context);
      claimed.answers = 0;
      ln_step_store_claim (stores[i], &key, &nobody, "{}", on_claimed, &claimed);
      WORLD_UNTIL (world, claimed.answers == 1);
      cr_assert_eq (claimed.error, i == 0 ? LB_OK : LB_ERROR_CONDITION_FAILED);
    }
  ln_step_store_free (stores[0]);
  ln_step_store_free (stores[1]);
  world_free (world);
}

static void
on_put (LbErrorCode error, const LpRow *row, void *user)
{
  (void)row;
  cr_assert_eq (error, LB_OK);
  *(bool *)user = true;
}

/* A step's row was damaged by hand: nulls and numbers stand where names belong. Asking for the step
 * took the instance down with all its callers, as a null was copied as if it were a text. */
Test (steps, a_damaged_row_names_no_owner)
{
  World *world = world_new (false);
  const LnStepKey key = { .subscription = "t", .step = 1 };
  const LpPut put = { .key = "step/t/1",
                      .value = "{\"instance\":null,\"incarnation\":7,\"address\":null,"
                               "\"content\":null,\"session\":3}" };
  const LpTransaction transaction = { .token = "damage", .puts = &put, .n_puts = 1 };
  LnStepStore *store = ln_step_store_new (&world->instances[0].context);
  Claimed found = { 0 };
  bool done = false;

  store_transact (&world->store.platform, &transaction, LP_PRIORITY_LEDGER, on_put, &done);
  WORLD_UNTIL (world, done);
  ln_step_store_find (store, &key, on_claimed, &found);
  WORLD_UNTIL (world, found.answers == 1);
  cr_assert_eq (found.error, LB_OK);
  cr_assert_str_empty (found.owner.instance);
  cr_assert_str_empty (found.owner.incarnation);
  cr_assert_str_empty (found.owner.address);
  cr_assert_str_empty (found.owner.content);
  cr_assert_eq (found.owner.session, 3);
  cr_assert (found.owner.version > 0);
  ln_step_store_free (store);
  world_free (world);
}

/* The owner is shut down in order, with samples ready and others running. It must finish those that
 * run and leave all of them to the next owner: nothing is made twice. */
Test (steps, a_draining_owner_hands_its_samples_over)
{
  World *world = world_new (false);
  Instance *first = &world->instances[0];

  first->calls.keeps = true;
  world_open (world, 0);
  WORLD_UNTIL (world, first->calls.n_kept == 4);
  for (size_t i = 0; i < 4; i++)
    calls_begin (&first->calls, first->calls.kept[i]);
  calls_end (&first->calls, first->calls.kept[0]);
  for (int i = 0; i < 10; i++)
    world_pump (world);
  first->draining = true;
  world_tell_members (world);
  ln_hub_drain (first->context.hub);
  world_send_pull (world, 0, 4, 5000);
  /* Time enough for several ticks, in which it must not leave the step. */
  LbTime until = lb_clock_monotonic () + 300 * LB_MSEC;
  WORLD_UNTIL (world, lb_clock_monotonic () > until);
  cr_assert_not (ln_hub_is_idle (first->context.hub));
  for (size_t i = 1; i < 4; i++)
    calls_end (&first->calls, first->calls.kept[i]);
  WORLD_UNTIL (world, world->pending == 0);
  world_take (world);
  WORLD_UNTIL (world, ln_hub_is_idle (first->context.hub));
  world_pull (world, 1, 4);
  world_expect_each_once (world);
  cr_assert_eq (world->instances[1].calls.samples, 0);
  world_free (world);
}

/* A step opened at an instance that shuts down goes to one that does not. */
Test (steps, a_draining_instance_passes_a_new_step_on)
{
  World *world = world_new (false);

  world->instances[0].draining = true;
  world_tell_members (world);
  ln_hub_drain (world->instances[0].context.hub);
  world_open (world, 0);
  cr_assert_eq (world->status, 202, "%s", world->reply);
  cr_assert_eq (world_pull (world, 0, 4), 4);
  world_expect_each_once (world);
  cr_assert_eq (world->instances[0].calls.samples, 0);
  WORLD_UNTIL (world, ln_hub_is_idle (world->instances[0].context.hub));
  world_free (world);
}

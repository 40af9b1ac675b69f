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
  cr_assert_eq (lc_rollouts_in_progress (owner->rollouts), 0);
  owner_free (owner);
}

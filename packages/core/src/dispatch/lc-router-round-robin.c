#include "lc-policies.h"

/* Baseline policy: chooses the endpoints in turn. Each instance starts at a random position, as if
 * the instances had been started at different times. */
static size_t
pick_next_in_turn (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  (void)endpoints;
  (void)query;
  (void)now;
  if (policy->next_turn == 0)
    policy->next_turn = gsl_rng_get (policy->rng);
  return policy->next_turn++ % policy->candidates.n_items;
}

static LcRouter *
create_round_robin_policy (uint64_t seed)
{
  return lc_policy_new (&lc_policy_round_robin, seed);
}

const LcPolicyClass lc_policy_round_robin = {
  .base = { .name = "round-robin",
            .create = create_round_robin_policy,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose_endpoint },
  .reason = "next-in-turn",
  .pick = pick_next_in_turn,
};

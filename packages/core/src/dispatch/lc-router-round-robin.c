#include "lc-policies.h"

/* Baseline: round-robin. Instances start at random positions, as if they had been started at
 * different times. */
static size_t
pick (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  (void)endpoints;
  (void)query;
  (void)now;
  if (policy->next_turn == 0)
    policy->next_turn = gsl_rng_get (policy->rng);
  return policy->next_turn++ % policy->candidates.n_items;
}

static LcRouter *
create (uint64_t seed)
{
  return lc_policy_new (&lc_policy_round_robin, seed);
}

const LcPolicyClass lc_policy_round_robin = {
  .base = { .name = "round-robin",
            .create = create,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose },
  .reason = "next-in-turn",
  .pick = pick,
};

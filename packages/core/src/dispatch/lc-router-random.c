#include "lc-policies.h"

/* Baseline policy: chooses an endpoint uniformly at random. */
static size_t
pick_random (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  (void)endpoints;
  (void)query;
  (void)now;
  return gsl_rng_uniform_int (policy->rng, policy->candidates.n_items);
}

static LcRouter *
create_random_policy (uint64_t seed)
{
  return lc_policy_new (&lc_policy_random, seed);
}

const LcPolicyClass lc_policy_random = {
  .base = { .name = "random",
            .create = create_random_policy,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose_endpoint },
  .reason = "random",
  .pick = pick_random,
};

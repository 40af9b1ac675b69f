#include "lc-policies.h"

/* Baseline policy: chooses the endpoint with the fewest requests of this instance in flight, as a
 * common load balancer does. */
static size_t
pick_least_outstanding (LcPolicy *policy,
                        LcEndpoints *endpoints,
                        const LcRouteQuery *query,
                        LbTime now)
{
  LcCandidates *candidates = &policy->candidates;

  (void)endpoints;
  (void)query;
  (void)now;
  for (size_t i = 0; i < candidates->n_items; i++)
    candidates->items[i].score = (double)candidates->items[i].endpoint->in_flight;
  return lc_policy_pick_lowest_score (policy);
}

static LcRouter *
create_least_outstanding_policy (uint64_t seed)
{
  return lc_policy_new (&lc_policy_least_outstanding, seed);
}

const LcPolicyClass lc_policy_least_outstanding = {
  .base = { .name = "least-outstanding",
            .create = create_least_outstanding_policy,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose_endpoint },
  .reason = "least-outstanding",
  .pick = pick_least_outstanding,
};

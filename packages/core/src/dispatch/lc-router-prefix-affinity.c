#include "lc-policies.h"

/* Baseline: the endpoint expected to have cached most of the prompt, regardless of load. If none
 * has any of it, rendezvous hashing of the prompt's first block makes all instances agree. */
static size_t
pick (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  LcCandidates *candidates = &policy->candidates;

  if (query->n_prefix_hashes == 0)
    return gsl_rng_uniform_int (policy->rng, candidates->n_items);

  const double *cached_shares = lc_policy_compute_cached_shares (policy, endpoints, query, now);
  size_t best = 0;

  for (size_t i = 0; i < candidates->n_items; i++)
    {
      const LcEndpointEntry *entry = lc_endpoint_to_entry (candidates->items[i].endpoint);
      double rank = lc_policy_rendezvous_rank (entry, query->prefix_hashes[0]);

      candidates->items[i].score = -cached_shares[entry->endpoint.slot] - rank * 1e-6;
      if (candidates->items[i].score < candidates->items[best].score)
        best = i;
    }
  lc_policy_clear_cached_shares (policy);
  return best;
}

static LcRouter *
create (uint64_t seed)
{
  return lc_policy_new (&lc_policy_prefix_affinity, seed);
}

const LcPolicyClass lc_policy_prefix_affinity = {
  .base = { .name = "prefix-affinity",
            .create = create,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose },
  .reason = "most-cached",
  .pick = pick,
};

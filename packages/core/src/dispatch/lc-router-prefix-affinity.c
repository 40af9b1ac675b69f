#include "lc-policies.h"

/* Baseline policy: chooses the endpoint that is expected to have cached most of the prompt,
 * regardless of load. Ties are broken by rendezvous hashing of the prompt's first block, so that
 * all instances choose the same endpoint for a prompt that is cached nowhere. */
static size_t
pick_most_cached (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  LcCandidates *candidates = &policy->candidates;

  if (query->n_prefix_hashes == 0)
    return gsl_rng_uniform_int (policy->rng, candidates->n_items);

  const double *cached_shares
      = lc_policy_compute_cached_prompt_shares (policy, endpoints, query, now);
  size_t best = 0;

  for (size_t i = 0; i < candidates->n_items; i++)
    {
      const LcEndpointEntry *entry = lc_endpoint_to_entry (candidates->items[i].endpoint);
      double rank = lc_policy_rendezvous_rank (entry, query->prefix_hashes[0]);

      candidates->items[i].score = -cached_shares[entry->endpoint.slot] - rank * 1e-6;
      if (candidates->items[i].score < candidates->items[best].score)
        best = i;
    }
  lc_policy_clear_cached_prompt_shares (policy);
  return best;
}

static LcRouter *
create_prefix_affinity_policy (uint64_t seed)
{
  return lc_policy_new (&lc_policy_prefix_affinity, seed);
}

const LcPolicyClass lc_policy_prefix_affinity = {
  .base = { .name = "prefix-affinity",
            .create = create_prefix_affinity_policy,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose_endpoint },
  .reason = "most-cached",
  .pick = pick_most_cached,
};

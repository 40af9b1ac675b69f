#include "lc-policies.h"

#include "lb-alloc.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#define MAX_CACHED_PROMPT_SHARES 128

LcRouter *
lc_policy_new (const LcPolicyClass *klass, uint64_t seed)
{
  LcPolicy *policy = LB_NEW (LcPolicy);

  policy->base.klass = &klass->base;
  policy->level_ratio = 1;
  policy->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (policy->rng, seed);
  return &policy->base;
}

void
lc_policy_free (LcRouter *router)
{
  LcPolicy *policy = (LcPolicy *)router;

  lc_candidates_clear (&policy->candidates);
  gsl_rng_free (policy->rng);
  free (policy->cached_shares);
  free (policy->load_costs);
  free (policy);
}

LcRouteDecision
lc_policy_choose_endpoint (LcRouter *router,
                           LcEndpoints *endpoints,
                           const LcRouteQuery *query,
                           LbTime now)
{
  LcPolicy *policy = (LcPolicy *)router;
  const LcPolicyClass *klass = (const LcPolicyClass *)router->klass;
  LcCandidates *candidates = &policy->candidates;

  lc_candidates_gather (candidates, endpoints, query, now);
  if (candidates->reason)
    return lc_candidates_make_empty_decision (candidates);

  size_t chosen = klass->pick (policy, endpoints, query, now);
  return lc_candidates_make_decision (candidates, chosen, klass->reason);
}

size_t
lc_policy_pick_lowest_score (LcPolicy *policy)
{
  const LcCandidates *candidates = &policy->candidates;
  size_t best = 0;
  size_t ties = 1;

  for (size_t i = 1; i < candidates->n_items; i++)
    {
      double score = candidates->items[i].score;

      if (score > candidates->items[best].score)
        continue;
      ties = score < candidates->items[best].score ? 1 : ties + 1;
      if (ties == 1 || gsl_rng_uniform_int (policy->rng, ties) == 0)
        best = i;
    }
  return best;
}

static void
ensure_cached_prompt_shares_size (LcPolicy *policy, size_t n_slots)
{
  if (policy->n_cached_shares >= n_slots)
    return;
  policy->cached_shares
      = lb_realloc (policy->cached_shares, n_slots * sizeof *policy->cached_shares);
  memset (policy->cached_shares + policy->n_cached_shares, 0,
          (n_slots - policy->n_cached_shares) * sizeof *policy->cached_shares);
  policy->n_cached_shares = n_slots;
}

const double *
lc_policy_compute_cached_prompt_shares (LcPolicy *policy,
                                        const LcEndpoints *endpoints,
                                        const LcRouteQuery *query,
                                        LbTime now)
{
  LcCachedShare shares[MAX_CACHED_PROMPT_SHARES];
  size_t n = lc_prefix_index_find_cached_shares (endpoints->prefix_index, query->prefix_hashes,
                                                 query->n_prefix_hashes, endpoints->caches,
                                                 endpoints->n_slots, now, shares,
                                                 MAX_CACHED_PROMPT_SHARES);

  ensure_cached_prompt_shares_size (policy, endpoints->n_slots);
  for (size_t i = 0; i < n; i++)
    policy->cached_shares[shares[i].slot]
        = fmax (policy->cached_shares[shares[i].slot], shares[i].share);
  return policy->cached_shares;
}

void
lc_policy_clear_cached_prompt_shares (LcPolicy *policy)
{
  memset (policy->cached_shares, 0, policy->n_cached_shares * sizeof *policy->cached_shares);
}

double
lc_policy_rendezvous_rank (const LcEndpointEntry *entry, uint64_t key)
{
  uint64_t pair[2] = { entry->name_hash, key };
  uint64_t hash = XXH3_64bits (pair, sizeof pair);

  return ((double)(hash >> 11) + 1) / (double)(UINT64_C (1) << 53);
}

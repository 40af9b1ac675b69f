#include "lc-policies.h"

static double
estimate_current_load (const LcEndpoint *endpoint)
{
  return (double)(endpoint->report.running + endpoint->report.waiting
                  + endpoint->sent_since_report);
}

/* Baseline policy: draws two endpoints at random and chooses the one with the lower load, which is
 * the last reported load plus the requests that this instance has sent since the report. */
static size_t
pick_less_loaded_of_two (LcPolicy *policy,
                         LcEndpoints *endpoints,
                         const LcRouteQuery *query,
                         LbTime now)
{
  LcCandidate *items = policy->candidates.items;
  size_t a = gsl_rng_uniform_int (policy->rng, policy->candidates.n_items);
  size_t b = gsl_rng_uniform_int (policy->rng, policy->candidates.n_items);

  (void)endpoints;
  (void)query;
  (void)now;
  items[a].score = estimate_current_load (items[a].endpoint);
  items[b].score = estimate_current_load (items[b].endpoint);
  return items[b].score < items[a].score ? b : a;
}

static LcRouter *
create_power_of_two_policy (uint64_t seed)
{
  return lc_policy_new (&lc_policy_power_of_two, seed);
}

const LcPolicyClass lc_policy_power_of_two = {
  .base = { .name = "power-of-two",
            .create = create_power_of_two_policy,
            .destroy = lc_policy_free,
            .choose = lc_policy_choose_endpoint },
  .reason = "shorter-of-two",
  .pick = pick_less_loaded_of_two,
};

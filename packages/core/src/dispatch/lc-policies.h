#ifndef LC_POLICIES_H
#define LC_POLICIES_H

#include "lc-candidates.h"
#include "lc-endpoint-table.h"

#include <gsl/gsl_rng.h>

typedef struct LcPolicy LcPolicy;

/* A routing policy. Policies differ only in how they choose among the candidates;
 * lc_candidates_gather finds the candidates for all of them. */
typedef struct
{
  LcRouterClass base;
  const char *reason; /* LcRouteDecision.reason if an endpoint is chosen */
  /* Sets the candidates' scores and returns the index of the chosen candidate. Called only if there
   * is a candidate. */
  size_t (*pick) (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now);
} LcPolicyClass;

/* Time that a request takes at a candidate under the candidate's load. */
typedef struct
{
  double seconds; /* time for waiting and decoding, plus the delay caused to other requests */
  double capacity_per_second; /* number of added requests that raise seconds by 1 */
} LcLoadCost;

struct LcPolicy
{
  LcRouter base;
  LcCandidates candidates;
  gsl_rng *rng;
  uint64_t next_turn; /* round-robin policy: random start position plus number of decisions; 0: no
                         decision yet */
  double *cached_shares; /* cached share of the prompt by LcEndpoint.slot; reset to 0 after a
                            decision */
  size_t n_cached_shares;
  LcLoadCost *load_costs; /* load cost of each candidate */
  size_t n_load_costs;
  /* Finish time policy: fill level of the last decision, divided by the level if all candidates
   * were filled. The search for the next fill level starts from this ratio. */
  double level_ratio;
};

extern const LcPolicyClass lc_policy_random;
extern const LcPolicyClass lc_policy_round_robin;
extern const LcPolicyClass lc_policy_least_outstanding;
extern const LcPolicyClass lc_policy_power_of_two;
extern const LcPolicyClass lc_policy_prefix_affinity;
extern const LcPolicyClass lc_policy_finish_time;

/* Functions of LcRouterClass that all policies share. */
LcRouter *lc_policy_new (const LcPolicyClass *klass, uint64_t seed);
void lc_policy_free (LcRouter *router);
LcRouteDecision lc_policy_choose_endpoint (LcRouter *router,
                                           LcEndpoints *endpoints,
                                           const LcRouteQuery *query,
                                           LbTime now);

/* Returns the index of the candidate with the lowest score; breaks ties at random. */
size_t lc_policy_pick_lowest_score (LcPolicy *policy);
/* Returns for each endpoint the share of the query's prompt that is expected in its prefix cache,
 * by LcEndpoint.slot. Valid until lc_policy_clear_cached_prompt_shares. */
const double *lc_policy_compute_cached_prompt_shares (LcPolicy *policy,
                                                      const LcEndpoints *endpoints,
                                                      const LcRouteQuery *query,
                                                      LbTime now);
void lc_policy_clear_cached_prompt_shares (LcPolicy *policy);
/* Rendezvous hashing: returns the rank (0 < rank <= 1) of the endpoint for the key, which is the
 * same on all instances. */
double lc_policy_rendezvous_rank (const LcEndpointEntry *entry, uint64_t key);

#endif

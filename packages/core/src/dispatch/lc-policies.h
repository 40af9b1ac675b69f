#ifndef LC_POLICIES_H
#define LC_POLICIES_H

#include "lc-candidates.h"
#include "lc-endpoint-table.h"

#include <gsl/gsl_rng.h>

typedef struct LcPolicy LcPolicy;

/* Policies differ only in how they choose among the candidates; which endpoints are candidates is
 * decided the same way for all of them. */
typedef struct
{
  LcRouterClass base;
  const char *reason;
  /* Sets the candidates' scores and returns the index of the chosen one; there is at least one. */
  size_t (*pick) (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now);
} LcPolicyClass;

/* Cost that the load of a candidate adds to a request. */
typedef struct
{
  double seconds;
  double capacity_per_second; /* further requests that raise it by one second */
} LcLoadCost;

struct LcPolicy
{
  LcRouter base;
  LcCandidates candidates;
  gsl_rng *rng;
  uint64_t next_turn;    /* round-robin: number of the next decision */
  double *cached_shares; /* indexed by LcEndpoint.slot; reset to 0 after each decision */
  size_t n_cached_shares;
  LcLoadCost *load_costs; /* parallel to candidates.items */
  size_t n_load_costs;
  /* Finish time: level of the last decision / level if all candidates are filled; the next decision
   * starts its iteration there. */
  double level_ratio;
};

extern const LcPolicyClass lc_policy_random;
extern const LcPolicyClass lc_policy_round_robin;
extern const LcPolicyClass lc_policy_least_outstanding;
extern const LcPolicyClass lc_policy_power_of_two;
extern const LcPolicyClass lc_policy_prefix_affinity;
extern const LcPolicyClass lc_policy_finish_time;

/* Implementations of LcRouterClass that all policies share. */
LcRouter *lc_policy_new (const LcPolicyClass *klass, uint64_t seed);
void lc_policy_free (LcRouter *router);
LcRouteDecision
lc_policy_choose (LcRouter *router, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now);

/* Returns the candidate with the lowest score; ties are broken uniformly at random. */
size_t lc_policy_pick_lowest_score (LcPolicy *policy);
/* Returns the share of the query's prompt that is expected to be cached at each endpoint, indexed
 * by LcEndpoint.slot; valid until lc_policy_clear_cached_shares. */
const double *lc_policy_compute_cached_shares (LcPolicy *policy,
                                               const LcEndpoints *endpoints,
                                               const LcRouteQuery *query,
                                               LbTime now);
void lc_policy_clear_cached_shares (LcPolicy *policy);
/* Rendezvous hashing: the same pair has the same rank (0 < rank <= 1) on all instances. */
double lc_policy_rendezvous_rank (const LcEndpointEntry *entry, uint64_t key);

#endif

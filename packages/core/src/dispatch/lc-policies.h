#ifndef LC_POLICIES_H
#define LC_POLICIES_H

#include "lc-candidates.h"
#include "lc-endpoint-table.h"

#include <gsl/gsl_rng.h>

typedef struct LcPolicy LcPolicy;

/* A policy differs from others only in how it picks among the candidates; who may take the request
 * at all is decided once for all of them. */
typedef struct
{
  LcRouterClass base;
  const char *reason;
  /* Sets the candidates' scores and returns the index of the chosen one; there is at least one. */
  size_t (*pick) (LcPolicy *policy, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now);
} LcPolicyClass;

/* What the load of a candidate costs a request, in seconds. */
typedef struct
{
  double seconds;
  double per_second; /* further requests that make it one second more */
} LcLoadPrice;

struct LcPolicy
{
  LcRouter base;
  LcCandidates candidates;
  gsl_rng *rng;
  uint64_t turn;  /* round-robin */
  double *shares; /* by slot, all 0 between decisions */
  size_t n_shares;
  LcLoadPrice *loads; /* by candidate */
  size_t n_loads;
  double level_ratio; /* of the last decision; only saves steps */
};

extern const LcPolicyClass lc_policy_random;
extern const LcPolicyClass lc_policy_round_robin;
extern const LcPolicyClass lc_policy_least_outstanding;
extern const LcPolicyClass lc_policy_power_of_two;
extern const LcPolicyClass lc_policy_prefix_affinity;
extern const LcPolicyClass lc_policy_finish_time;

/* The parts of LcRouterClass that all policies share. */
LcRouter *lc_policy_new (const LcPolicyClass *klass, uint64_t seed);
void lc_policy_free (LcRouter *router);
LcRouteDecision
lc_policy_choose (LcRouter *router, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now);

/* The candidate with the least score, and among equals each with the same chance. */
size_t lc_policy_pick_least (LcPolicy *policy);
/* Believed shares of the query's prompt, by slot; valid until lc_policy_clear_shares. */
const double *lc_policy_fill_shares (LcPolicy *policy,
                                     const LcEndpoints *endpoints,
                                     const LcRouteQuery *query,
                                     LbTime now);
void lc_policy_clear_shares (LcPolicy *policy);
/* The same pair has the same rank (0 < rank <= 1) on all instances: rendezvous hashing. */
double lc_policy_rank (const LcEndpointEntry *entry, uint64_t key);

#endif

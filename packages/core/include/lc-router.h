#ifndef LC_ROUTER_H
#define LC_ROUTER_H

#include "lc-endpoints.h"

#define LC_MAX_AVOIDED_ENDPOINTS 8

/* What a policy needs to know of a request to place it. */
typedef struct
{
  LcRequestKind kind;
  const char *pool;              /* pool, or service name */
  const char *data_centre;       /* of this instance */
  const uint64_t *prefix_hashes; /* of the prompt's blocks, longest last */
  size_t n_prefix_hashes;
  int64_t prompt_tokens;
  int64_t expected_tokens;
  LbTime soft_deadline;  /* when the answer is wanted whole; 0: no such time */
  LbTime submitted;      /* since when it waits */
  LcVersion min_version; /* weights older than this are of no use; 0: any */
  LbTime reported_since; /* endpoints whose last report is older take nothing; 0: any do */
  double live_reserve;
  LbName avoid[LC_MAX_AVOIDED_ENDPOINTS]; /* tried before */
  size_t n_avoid;
} LcRouteQuery;

typedef struct
{
  LcEndpoint *endpoint;
  double score; /* smaller is better; seconds for the product's own policy */
} LcCandidate;

#define LC_MAX_SHOWN_CANDIDATES 8

/* The decision as a value: whom, among which, why. Goes to the log as it is. */
typedef struct
{
  LcEndpoint *endpoint; /* NULL: nobody may take it now */
  const char *reason;   /* a constant such as "least-finish-time", "no-capacity", "all-leaving" */
  LcCandidate shown[LC_MAX_SHOWN_CANDIDATES]; /* the best few */
  size_t n_shown;
  size_t n_candidates;
} LcRouteDecision;

typedef struct LcRouter LcRouter;

typedef struct
{
  const char *name; /* "lentilspindle", "random", "round-robin", "least-outstanding", ... */
  LcRouter *(*create) (uint64_t seed);
  void (*destroy) (LcRouter *router);
  LcRouteDecision (*choose) (LcRouter *router,
                             LcEndpoints *endpoints,
                             const LcRouteQuery *query,
                             LbTime now);
} LcRouterClass;

struct LcRouter
{
  const LcRouterClass *klass;
};

/* NULL when no policy of this name exists. */
LcRouter *lc_router_new (const char *policy, uint64_t seed);
void lc_router_free (LcRouter *router);
LcRouteDecision
lc_router_choose (LcRouter *router, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now);
/* Names of all policies, ended by NULL. */
const char *const *lc_router_policy_names (void);

#endif

#ifndef LC_ROUTER_H
#define LC_ROUTER_H

#include "lc-endpoints.h"

#define LC_MAX_AVOIDED_ENDPOINTS 8

/* The properties of a request by which a policy chooses its endpoint. */
typedef struct
{
  LcRequestKind kind;
  const char *pool;              /* pool or service name */
  const char *service;           /* service of the engine; NULL or "": it belongs to none */
  const char *data_centre;       /* data centre of this instance */
  const uint64_t *prefix_hashes; /* hashes of the prompt's prefixes, longest last */
  size_t n_prefix_hashes;
  int64_t prompt_tokens;
  int64_t expected_tokens;
  LbTime soft_deadline;  /* desired completion time of the whole answer; 0: none */
  LbTime submitted;      /* when the request was admitted */
  LcVersion min_version; /* oldest acceptable weight version; 0: any */
  /* endpoints whose last load report is older than this time are excluded; 0: none is excluded */
  LbTime reported_since;
  /* the request already runs at another endpoint, and does not wait for a faster one */
  bool is_hedge;
  /* number of requests ahead in the queue that wait for a faster endpoint to become free */
  size_t n_waiting_ahead;
  /* when the request first waited for a faster endpoint; LB_TIME_NEVER: it has not; 0: not known,
   * the time since it was submitted counts */
  LbTime awaits_faster_since;
  double live_reserve; /* share of each engine's concurrency kept for live calls, 0..0.9 */
  LbName avoid[LC_MAX_AVOIDED_ENDPOINTS]; /* endpoints to exclude */
  size_t n_avoid;
} LcRouteQuery;

typedef struct
{
  LcEndpoint *endpoint;
  /* lower is better; for the default policy, the expected number of seconds until the request is
   * finished */
  double score;
} LcCandidate;

#define LC_MAX_SHOWN_CANDIDATES 8

/* LcRouteDecision.reason of a request that waits although a slower endpoint could take it. */
#define LC_ROUTE_AWAITS_FASTER "awaits-faster"

/* A routing decision, as it is logged: the endpoint, the candidates and the reason. */
typedef struct
{
  /* endpoint to send the request to; NULL: no endpoint can take the request now */
  LcEndpoint *endpoint;
  /* why this endpoint or none was chosen: static string such as "least-finish-time",
   * "no-capacity", "all-leaving" */
  const char *reason;
  /* the candidates with the lowest (best) scores, for the log */
  LcCandidate shown[LC_MAX_SHOWN_CANDIDATES];
  size_t n_shown;
  size_t n_candidates; /* number of endpoints that can take the request */
  /* how long the request waited for a faster endpoint although a slower one could take it */
  LbTime waited_for_faster;
} LcRouteDecision;

/* A routing policy with the policy's state. */
typedef struct LcRouter LcRouter;

typedef struct
{
  const char *name; /* name in the settings: "lentilspindle", "random", "round-robin", ... */
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

/* Returns NULL if no policy has this name. */
LcRouter *lc_router_new (const char *policy, uint64_t seed);
void lc_router_free (LcRouter *router);
LcRouteDecision lc_router_choose_endpoint (LcRouter *router,
                                           LcEndpoints *endpoints,
                                           const LcRouteQuery *query,
                                           LbTime now);
/* Names of all policies, terminated by NULL. */
const char *const *lc_router_policy_names (void);

#endif

#include "lc-policies.h"

#include "lc-candidates.h"

#include "lb-alloc.h"

#include <gsl/gsl_rng.h>

typedef struct
{
  LcRouter base;
  LcCandidates candidates;
  gsl_rng *rng;
} RandomRouter;

static LcRouter *
create (uint64_t seed)
{
  RandomRouter *router = LB_NEW (RandomRouter);

  router->base.klass = &lc_router_random;
  router->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (router->rng, seed);
  return &router->base;
}

static void
destroy (LcRouter *base)
{
  RandomRouter *router = (RandomRouter *)base;

  lc_candidates_clear (&router->candidates);
  gsl_rng_free (router->rng);
  free (router);
}

static LcRouteDecision
choose (LcRouter *base, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  RandomRouter *router = (RandomRouter *)base;
  LcCandidates *candidates = &router->candidates;

  lc_candidates_gather (candidates, endpoints, query, now);
  if (candidates->reason)
    return lc_candidates_decide_nobody (candidates);
  return lc_candidates_decide (candidates, gsl_rng_uniform_int (router->rng, candidates->n_items),
                               "random");
}

const LcRouterClass lc_router_random
    = { .name = "random", .create = create, .destroy = destroy, .choose = choose };

#include "lc-policies.h"

#include "lc-candidates.h"

#include "lb-alloc.h"

#include <gsl/gsl_rng.h>

typedef struct
{
  LcRouter base;
  LcCandidates candidates;
  gsl_rng *rng;
} FinishTimeRouter;

static LcRouter *
create (uint64_t seed)
{
  FinishTimeRouter *router = LB_NEW (FinishTimeRouter);

  router->base.klass = &lc_router_finish_time;
  router->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (router->rng, seed);
  return &router->base;
}

static void
destroy (LcRouter *base)
{
  FinishTimeRouter *router = (FinishTimeRouter *)base;

  lc_candidates_clear (&router->candidates);
  gsl_rng_free (router->rng);
  free (router);
}

/* The least, and among equals each with the same chance. */
static size_t
pick_least (FinishTimeRouter *router)
{
  LcCandidates *candidates = &router->candidates;
  size_t best = 0;
  size_t ties = 1;

  for (size_t i = 1; i < candidates->n_items; i++)
    {
      double score = candidates->items[i].score;

      if (score > candidates->items[best].score)
        continue;
      ties = score < candidates->items[best].score ? 1 : ties + 1;
      if (gsl_rng_uniform_int (router->rng, ties) == 0)
        best = i;
    }
  return best;
}

static double
expected_seconds (const LcEndpoint *endpoint, const LcRouteQuery *query)
{
  const LcLoadReport *report = &endpoint->report;
  int64_t load = report->running + report->waiting + endpoint->sent_since_report;
  double rate = report->tokens_per_second > 0 ? report->tokens_per_second : 50;
  double fill = (double)load / (double)endpoint->member.concurrency;

  return (double)(query->expected_tokens + 1) / rate * (1 + fill);
}

static LcRouteDecision
choose (LcRouter *base, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  FinishTimeRouter *router = (FinishTimeRouter *)base;
  LcCandidates *candidates = &router->candidates;

  lc_candidates_gather (candidates, endpoints, query, now);
  if (candidates->reason)
    return lc_candidates_decide_nobody (candidates);
  for (size_t i = 0; i < candidates->n_items; i++)
    candidates->items[i].score = expected_seconds (candidates->items[i].endpoint, query);
  return lc_candidates_decide (candidates, pick_least (router), "least-finish-time");
}

const LcRouterClass lc_router_finish_time
    = { .name = "lentilspindle", .create = create, .destroy = destroy, .choose = choose };

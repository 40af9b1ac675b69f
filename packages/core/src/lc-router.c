#include "lc-router.h"

#include "lc-policies.h"

#include <string.h>

static const LcRouterClass *const classes[] = {
  &lc_router_finish_time,
  &lc_router_random,
  &lc_router_least_outstanding,
};

#define N_CLASSES (sizeof classes / sizeof classes[0])

/* An empty name means the product's own policy. */
LcRouter *
lc_router_new (const char *policy, uint64_t seed)
{
  if (policy[0] == '\0')
    return classes[0]->create (seed);
  for (size_t i = 0; i < N_CLASSES; i++)
    if (strcmp (classes[i]->name, policy) == 0)
      return classes[i]->create (seed);
  return NULL;
}

void
lc_router_free (LcRouter *router)
{
  if (router)
    router->klass->destroy (router);
}

LcRouteDecision
lc_router_choose (LcRouter *router, LcEndpoints *endpoints, const LcRouteQuery *query, LbTime now)
{
  return router->klass->choose (router, endpoints, query, now);
}

const char *const *
lc_router_policies (void)
{
  static const char *const names[] = { "lentilspindle", "random", "least-outstanding", NULL };

  return names;
}

#include "lc-router.h"

#include "lc-policies.h"

#include <string.h>

static const LcPolicyClass *const policy_classes[] = {
  &lc_policy_finish_time,       &lc_policy_random,       &lc_policy_round_robin,
  &lc_policy_least_outstanding, &lc_policy_power_of_two, &lc_policy_prefix_affinity,
};

#define N_POLICIES (sizeof policy_classes / sizeof policy_classes[0])

static const char *const policy_names[] = {
  "lentilspindle", "random",          "round-robin", "least-outstanding",
  "power-of-two",  "prefix-affinity", NULL,
};

_Static_assert(sizeof policy_names / sizeof policy_names[0] == N_POLICIES + 1,
               "a name for each policy");

/* Creates the named policy; an empty name selects the default policy. */
LcRouter *
lc_router_new (const char *policy, uint64_t seed)
{
  if (policy[0] == '\0')
    return policy_classes[0]->base.create (seed);
  for (size_t i = 0; i < N_POLICIES; i++)
    if (strcmp (policy_classes[i]->base.name, policy) == 0)
      return policy_classes[i]->base.create (seed);
  return NULL;
}

void
lc_router_free (LcRouter *router)
{
  if (router)
    router->klass->destroy (router);
}

LcRouteDecision
lc_router_choose_endpoint (LcRouter *router,
                           LcEndpoints *endpoints,
                           const LcRouteQuery *query,
                           LbTime now)
{
  return router->klass->choose (router, endpoints, query, now);
}

const char *const *
lc_router_policy_names (void)
{
  return policy_names;
}

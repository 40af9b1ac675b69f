#include "lc-resources-private.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>

static bool
set_resource_reference_error (
    const char *file, LcResourceKind kind, const char *name, const char *text, LbError *error)
{
  char where[192];

  lc_resource_format_location (where, sizeof where, file, 0, lc_resource_kind_name (kind), name);
  return lb_error_set (error, LB_ERROR_BAD_REFERENCE, where, "%s", text);
}

static bool
has_service_endpoint (const LcResourceSet *set, const char *service)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (set->endpoints[i].kind == LC_ENDPOINT_SERVICE
        && strcmp (set->endpoints[i].pool, service) == 0)
      return true;
  return false;
}

static bool
check_subscription_references (const LcResourceSet *set, const char *file, LbError *error)
{
  for (size_t i = 0; i < set->n_subscriptions; i++)
    {
      const LcSubscription *subscription = &set->subscriptions[i];
      if (!lc_resource_set_find_pool (set, subscription->pool))
        return set_resource_reference_error (file, LC_RESOURCE_SUBSCRIPTION, subscription->name,
                                             "pool: expected the name of an existing pool", error);
      if (subscription->scorer[0] && !has_service_endpoint (set, subscription->scorer))
        return set_resource_reference_error (
            file, LC_RESOURCE_SUBSCRIPTION, subscription->name,
            "scorer: no endpoint of type service has this name as its pool", error);
    }
  for (size_t i = 0; i < set->n_bounds; i++)
    if (!lc_resource_set_find_subscription (set, set->bounds[i].subscription))
      return set_resource_reference_error (
          file, LC_RESOURCE_VERSION_BOUND, set->bounds[i].name,
          "subscription: expected the name of an existing subscription", error);
  return true;
}

static int
compare_endpoint_addresses (const void *a, const void *b)
{
  const LcEndpointMember *const *first = a, *const *second = b;

  return strcmp ((*first)->address, (*second)->address);
}

/* Rejects two endpoints with the same address, since the capacity of the process at this address
 * would count twice. */
static bool
check_addresses_are_unique (const LcResourceSet *set, const char *file, LbError *error)
{
  bool ok = true;
  const LcEndpointMember **sorted = LB_NEW_ARRAY (const LcEndpointMember *, set->n_endpoints);

  for (size_t i = 0; i < set->n_endpoints; i++)
    sorted[i] = &set->endpoints[i];
  qsort (sorted, set->n_endpoints, sizeof *sorted, compare_endpoint_addresses);
  for (size_t i = 1; ok && i < set->n_endpoints; i++)
    if (strcmp (sorted[i - 1]->address, sorted[i]->address) == 0)
      ok = set_resource_reference_error (file, LC_RESOURCE_ENDPOINT, sorted[i]->name,
                                         "address: already used by another endpoint", error);
  free (sorted);
  return ok;
}

/* Rejects endpoints of type service in a pool that has engines, since the router treats all
 * endpoints of a pool alike. */
static bool
check_pools_have_one_endpoint_kind (const LcResourceSet *set, const char *file, LbError *error)
{
  bool *has_engine = LB_NEW_ARRAY (bool, set->n_pools);
  bool ok = true;

  for (size_t i = 0; i < set->n_endpoints; i++)
    if (set->endpoints[i].kind == LC_ENDPOINT_ENGINE)
      has_engine[lc_resource_set_find_pool (set, set->endpoints[i].pool) - set->pools] = true;
  for (size_t i = 0; ok && i < set->n_endpoints; i++)
    {
      const LcEndpointMember *endpoint = &set->endpoints[i];
      const LcPool *pool = lc_resource_set_find_pool (set, endpoint->pool);
      if (endpoint->kind == LC_ENDPOINT_SERVICE && pool && has_engine[pool - set->pools])
        ok = set_resource_reference_error (
            file, LC_RESOURCE_ENDPOINT, endpoint->name,
            "pool: has engines, so it can't have endpoints of type service", error);
    }
  free (has_engine);
  return ok;
}

static bool
check_endpoint_pools_and_addresses (const LcResourceSet *set, const char *file, LbError *error)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      const LcEndpointMember *endpoint = &set->endpoints[i];
      if (endpoint->kind == LC_ENDPOINT_ENGINE && !lc_resource_set_find_pool (set, endpoint->pool))
        return set_resource_reference_error (file, LC_RESOURCE_ENDPOINT, endpoint->name,
                                             "pool: expected the name of an existing pool", error);
    }
  return check_pools_have_one_endpoint_kind (set, file, error)
         && check_addresses_are_unique (set, file, error);
}

bool
lc_resource_set_check_references (const LcResourceSet *set, const char *file, LbError *error)
{
  return check_subscription_references (set, file, error)
         && check_endpoint_pools_and_addresses (set, file, error);
}

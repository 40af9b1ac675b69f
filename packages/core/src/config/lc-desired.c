#include "lc-desired.h"

#include "lb-alloc.h"
#include "lb-switch.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEDGE_DELAY_PERCENT 70 /* delay before a hedge, in percent of the route's latency goal */

LcDesired *
lc_desired_new (int64_t version)
{
  LcDesired *desired = LB_NEW (LcDesired);

  desired->references = 1;
  desired->version = version;
  return desired;
}

LcDesired *
lc_desired_ref (LcDesired *desired)
{
  if (desired)
    desired->references++;
  return desired;
}

void
lc_desired_unref (LcDesired *desired)
{
  if (!desired || --desired->references > 0)
    return;
  free (desired->routes);
  free (desired->services);
  lc_organisations_free (desired->organisations);
  free (desired);
}

void
lc_desired_add_route (LcDesired *desired, const LcRoute *route)
{
  desired->routes = lb_realloc (desired->routes, (desired->n_routes + 1) * sizeof *route);
  desired->routes[desired->n_routes++] = *route;
}

void
lc_desired_add_service (LcDesired *desired, const LcService *service)
{
  desired->services = lb_realloc (desired->services, (desired->n_services + 1) * sizeof *service);
  desired->services[desired->n_services++] = *service;
}

static int
compare_prefix_lengths_descending (const void *a, const void *b)
{
  size_t first = strlen (((const LcRoute *)a)->prefix);
  size_t second = strlen (((const LcRoute *)b)->prefix);

  return first < second ? 1 : first > second ? -1 : 0;
}

void
lc_desired_sort_routes (LcDesired *desired)
{
  if (desired->n_routes > 0)
    qsort (desired->routes, desired->n_routes, sizeof *desired->routes,
           compare_prefix_lengths_descending);
}

/* Returns true if the Host header names the route's host; a port in the header is ignored. */
static bool
route_matches_host (const LcRoute *route, const char *host)
{
  size_t length = strlen (route->host);

  return strncasecmp (route->host, host, length) == 0
         && (host[length] == '\0' || host[length] == ':');
}

const LcRoute *
lc_desired_match_route (const LcDesired *desired, const char *host, const char *path)
{
  for (size_t i = 0; i < desired->n_routes; i++)
    {
      const LcRoute *route = &desired->routes[i];
      if (route_matches_host (route, host)
          && strncmp (path, route->prefix, strlen (route->prefix)) == 0)
        return route;
    }
  return NULL;
}

const LcService *
lc_desired_find_service (const LcDesired *desired, const char *name)
{
  for (size_t i = 0; i < desired->n_services; i++)
    if (strcmp (desired->services[i].name, name) == 0)
      return &desired->services[i];
  return NULL;
}

/* Without a hedge, an endpoint that does not answer or has become slow keeps the caller waiting
 * until the deadline. A second attempt after HEDGE_DELAY_PERCENT of the latency goal usually still
 * answers within the goal, and few ordinary calls take that long. */
LbTime
lc_route_hedge_delay (const LcRoute *route)
{
  if (!lb_switch_is_on (LB_SWITCH_HEDGING))
    return 0;
  return route->kind == LC_ROUTE_IDEMPOTENT ? route->latency_goal * HEDGE_DELAY_PERCENT / 100 : 0;
}

const char *
lc_route_choose_service (const LcRoute *route, double random)
{
  int64_t total = 0;

  for (size_t i = 0; i < route->n_targets; i++)
    total += route->targets[i].weight;
  double remaining = random * (double)total;
  for (size_t i = 0; i < route->n_targets; i++)
    {
      remaining -= (double)route->targets[i].weight;
      if (remaining < 0)
        return route->targets[i].service;
    }
  return route->n_targets > 0 ? route->targets[route->n_targets - 1].service : "";
}

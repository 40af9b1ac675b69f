#include "lc-scaling.h"

#include "lb-alloc.h"
#include "lb-list.h"

#include <stdlib.h>
#include <string.h>

/* A model without a batch for this time is treated as no longer trained. The time is several times
 * the interval between two training steps. */
#define DEMAND_LIFETIME (20 * LB_SEC)
/* Minimum time between two orders of spot endpoints for one location. An order without an answer
 * may still be executed seconds later; the next order corrects the number of endpoints. */
#define MIN_ORDER_INTERVAL (4 * LB_SEC)
/* A location without capacity is skipped for this time, in favour of others. */
#define REFUSAL_BACKOFF (5 * LB_SEC)
/* The number of endpoints is lowered only after fewer have been sufficient for this time: there is
 * a short excess while endpoints are replaced, and stopping an endpoint interrupts its
 * generations. */
#define SCALE_DOWN_DELAY (10 * LB_SEC)

typedef struct
{
  LbLink link;
  LbName service; /* service whose engines generate; "": not known */
  LbName model;
  int64_t n_generations; /* number of generations in the largest batch within DEMAND_LIFETIME */
  LbTime updated_at;
} Demand;

/* The spot endpoints of a service in one data centre. */
typedef struct
{
  LbLink link;
  LbName service;
  LbName data_centre;
  int64_t n_wanted;
  LbTime excess_since; /* when fewer endpoints than ordered became sufficient; 0: no excess */
  LbTime refused_until;
  int64_t n_ordered;     /* number of endpoints in the latest accepted order; -1: not known */
  bool is_order_pending; /* an order was sent and its outcome is not known yet */
  LbTime next_order_at;
} Location;

struct LcScaling
{
  LbList demands;
  LbList locations;
};

LcScaling *
lc_scaling_new (void)
{
  LcScaling *scaling = LB_NEW (LcScaling);

  lb_list_init (&scaling->demands);
  lb_list_init (&scaling->locations);
  return scaling;
}

void
lc_scaling_free (LcScaling *scaling)
{
  if (!scaling)
    return;
  LB_LIST_FOREACH (&scaling->demands, Demand, link, demand)
  {
    free (demand);
  }
  LB_LIST_FOREACH (&scaling->locations, Location, link, location)
  {
    free (location);
  }
  free (scaling);
}

static Demand *
find_or_add_demand (LcScaling *scaling, const char *service, const char *model)
{
  Demand *found = NULL;

  LB_LIST_FOREACH (&scaling->demands, Demand, link, demand)
  {
    if (strcmp (demand->model, model) == 0 && strcmp (demand->service, service) == 0)
      return demand;
  }
  found = LB_NEW (Demand);
  LB_COPY (found->service, service);
  LB_COPY (found->model, model);
  lb_list_append (&scaling->demands, &found->link);
  return found;
}

void
lc_scaling_add_demand (
    LcScaling *scaling, const char *service, const char *model, int64_t n_generations, LbTime now)
{
  Demand *demand = find_or_add_demand (scaling, service, model);

  if (n_generations >= demand->n_generations || now - demand->updated_at >= DEMAND_LIFETIME)
    demand->n_generations = n_generations;
  demand->updated_at = now;
}

void
lc_scaling_forget_orders (LcScaling *scaling)
{
  LB_LIST_FOREACH (&scaling->locations, Location, link, location)
  {
    location->n_ordered = -1;
    location->is_order_pending = false;
    location->next_order_at = 0;
    location->refused_until = 0;
    location->excess_since = 0;
  }
}

static Location *
find_or_add_location (LcScaling *scaling, const char *service, const char *data_centre)
{
  Location *found = NULL;

  LB_LIST_FOREACH (&scaling->locations, Location, link, location)
  {
    if (strcmp (location->service, service) == 0
        && strcmp (location->data_centre, data_centre) == 0)
      return location;
  }
  found = LB_NEW (Location);
  found->n_ordered = -1;
  LB_COPY (found->service, service);
  LB_COPY (found->data_centre, data_centre);
  lb_list_append (&scaling->locations, &found->link);
  return found;
}

static const char *
find_service_of_model (const LcResourceSet *set, const char *model)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (strcmp (set->endpoints[i].pool, model) == 0)
      return set->endpoints[i].service;
  return "";
}

static bool
is_demand_of_service (const Demand *demand, const LcResourceSet *set, const char *service)
{
  const char *own
      = demand->service[0] ? demand->service : find_service_of_model (set, demand->model);

  return strcmp (own, service) == 0;
}

/* Returns the number of generations in one training step, added up over the models that the
 * service's engines serve. Only one step of each model counts, because a step starts when most
 * generations of the previous step have ended. */
static int64_t
count_generations_per_step (const LcScaling *scaling,
                            const LcResourceSet *set,
                            const char *service,
                            LbTime now)
{
  int64_t n_generations = 0;

  LB_LIST_FOREACH (&scaling->demands, Demand, link, demand)
  {
    if (now - demand->updated_at < DEMAND_LIFETIME && is_demand_of_service (demand, set, service))
      n_generations += demand->n_generations;
  }
  return n_generations;
}

static int64_t
count_service_endpoints (const LcResourceSet *set,
                         const char *service,
                         const char *data_centre,
                         bool is_spot)
{
  int64_t n = 0;

  for (size_t i = 0; i < set->n_endpoints; i++)
    {
      const LcEndpointMember *member = &set->endpoints[i];
      n += !member->leaving && member->is_spot == is_spot && strcmp (member->service, service) == 0
           && strcmp (member->data_centre, data_centre) == 0;
    }
  return n;
}

static int64_t
find_slots_per_endpoint (const LcResourceSet *set, const char *service)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (strcmp (set->endpoints[i].service, service) == 0 && set->endpoints[i].concurrency > 0)
      return set->endpoints[i].concurrency;
  return 0;
}

/* Returns the number of spot endpoints needed in addition to the on-demand ones; 0 if the number of
 * slots per endpoint is not known. */
static int64_t
count_wanted_spot_endpoints (const LcScaling *scaling,
                             const LcService *service,
                             const LcResourceSet *set,
                             LbTime now)
{
  int64_t slots = find_slots_per_endpoint (set, service->name);
  int64_t n_wanted = 0;

  if (slots == 0)
    return 0;
  n_wanted = (count_generations_per_step (scaling, set, service->name, now) + slots - 1) / slots;
  for (size_t i = 0; i < service->scaling.n_prices; i++)
    n_wanted -= count_service_endpoints (set, service->name, service->scaling.prices[i].data_centre,
                                         false);
  return n_wanted > 0 ? n_wanted : 0;
}

static int
compare_prices (const void *a, const void *b)
{
  double first = ((const LcDataCentrePrice *)a)->price;
  double second = ((const LcDataCentrePrice *)b)->price;

  return first < second ? -1 : first > second;
}

static int64_t
compute_spot_endpoint_limit (const Location *location,
                             const LcService *service,
                             const LcResourceSet *set,
                             LbTime now)
{
  int64_t max_endpoints
      = service->scaling.max
        - count_service_endpoints (set, location->service, location->data_centre, false);

  /* After a refused order no more endpoints are ordered for the location, but the existing ones are
   * kept. */
  if (now < location->refused_until)
    max_endpoints = count_service_endpoints (set, location->service, location->data_centre, true);
  return max_endpoints > 0 ? max_endpoints : 0;
}

static void
set_wanted_endpoints (Location *location, int64_t n_wanted, LbTime now)
{
  bool has_excess = n_wanted < location->n_ordered;

  if (!has_excess)
    location->excess_since = 0;
  else if (location->excess_since == 0)
    location->excess_since = now;
  if (!has_excess || now - location->excess_since >= SCALE_DOWN_DELAY)
    location->n_wanted = n_wanted;
  else
    location->n_wanted = location->n_ordered;
}

/* Assigns spot endpoints to the cheapest data centres first, each up to its limit, which includes
 * on-demand endpoints. */
static void
distribute_spot_endpoints (LcScaling *scaling,
                           const LcService *service,
                           const LcResourceSet *set,
                           LbTime now)
{
  LcDataCentrePrice prices[LC_MAX_DATA_CENTRES];
  size_t n = service->scaling.n_prices;
  int64_t n_remaining = count_wanted_spot_endpoints (scaling, service, set, now);

  memcpy (prices, service->scaling.prices, n * sizeof *prices);
  qsort (prices, n, sizeof *prices, compare_prices);
  for (size_t i = 0; i < n; i++)
    {
      Location *location = find_or_add_location (scaling, service->name, prices[i].data_centre);
      int64_t max_endpoints = compute_spot_endpoint_limit (location, service, set, now);
      int64_t n_wanted = n_remaining < max_endpoints ? n_remaining : max_endpoints;
      n_remaining -= n_wanted;
      set_wanted_endpoints (location, n_wanted, now);
    }
}

static bool
can_use_spot_endpoints (const LcService *service)
{
  const LcScalingLimits *limits = &service->scaling;

  return limits->max > 0 && limits->spot_price > 0 && limits->spot_price < 1;
}

/* Whether the location has fewer spot endpoints than ordered, because some were preempted or never
 * became available. Called MIN_ORDER_INTERVAL after the order or later, when the ordered endpoints
 * have had time to start. */
static bool
has_fewer_endpoints_than_ordered (const Location *location, const LcResourceSet *set)
{
  return count_service_endpoints (set, location->service, location->data_centre, true)
         < location->n_ordered;
}

static bool
is_location_order_due (const Location *location, const LcResourceSet *set, LbTime now)
{
  if (location->is_order_pending || now < location->next_order_at)
    return false;
  if (location->n_ordered < 0)
    return location->n_wanted > 0 && now >= location->refused_until;
  return location->n_wanted != location->n_ordered
         || has_fewer_endpoints_than_ordered (location, set);
}

bool
lc_scaling_next_order (LcScaling *scaling,
                       const LcDesired *desired,
                       const LcResourceSet *set,
                       LbTime now,
                       LcScalingOrder *order)
{
  for (size_t i = 0; i < desired->n_services; i++)
    if (can_use_spot_endpoints (&desired->services[i]))
      distribute_spot_endpoints (scaling, &desired->services[i], set, now);
  LB_LIST_FOREACH (&scaling->locations, Location, link, location)
  {
    if (!is_location_order_due (location, set, now))
      continue;
    location->is_order_pending = true;
    *order = (LcScalingOrder){ .endpoints = location->n_wanted };
    LB_COPY (order->service, location->service);
    LB_COPY (order->data_centre, location->data_centre);
    return true;
  }
  return false;
}

void
lc_scaling_record_order_outcome (LcScaling *scaling,
                                 const LcScalingOrder *order,
                                 LcScalingOutcome outcome,
                                 LbTime now)
{
  Location *location = find_or_add_location (scaling, order->service, order->data_centre);

  location->is_order_pending = false;
  location->next_order_at = now + MIN_ORDER_INTERVAL;
  location->n_ordered = outcome == LC_SCALING_ACCEPTED ? order->endpoints : -1;
  if (outcome == LC_SCALING_REFUSED)
    location->refused_until = now + REFUSAL_BACKOFF;
}

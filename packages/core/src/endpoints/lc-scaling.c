#include "lc-scaling.h"

#include "lb-alloc.h"
#include "lb-list.h"

#include <stdlib.h>
#include <string.h>

/* A model that brought no batch for so long has stopped: several of its steps' periods. */
#define DEMAND_MEMORY (20 * LB_SEC)
/* Between two orders for one place. An order without an answer may be carried out seconds later;
 * the next one puts it right. */
#define ORDER_PERIOD (4 * LB_SEC)
/* Where none could be had they are looked for elsewhere, and there again after this time. */
#define REFUSED_PERIOD (5 * LB_SEC)
/* Fewer are ordered only after they were enough for so long: while endpoints are replaced there are
 * some more for a moment, and one that leaves breaks its texts off. */
#define LOWER_AFTER (10 * LB_SEC)

typedef struct
{
  LbLink link;
  LbName model;
  int64_t texts; /* of the largest batch that is remembered */
  LbTime at;
} Demand;

/* A service in a data centre. */
typedef struct
{
  LbLink link;
  LbName service;
  LbName data_centre;
  int64_t wanted;
  LbTime lower_since; /* that fewer than were ordered would do; 0: they would not */
  LbTime refused_until;
  int64_t ordered; /* by the last order that was taken; -1: not known */
  bool busy;       /* an order is on its way */
  LbTime next_order;
} Place;

struct LcScaling
{
  LbList demands;
  LbList places;
};

LcScaling *
lc_scaling_new (void)
{
  LcScaling *scaling = LB_NEW (LcScaling);

  lb_list_init (&scaling->demands);
  lb_list_init (&scaling->places);
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
  LB_LIST_FOREACH (&scaling->places, Place, link, place)
  {
    free (place);
  }
  free (scaling);
}

static Demand *
ensure_demand (LcScaling *scaling, const char *model)
{
  Demand *found = NULL;

  LB_LIST_FOREACH (&scaling->demands, Demand, link, demand)
  {
    if (strcmp (demand->model, model) == 0)
      return demand;
  }
  found = LB_NEW (Demand);
  LB_COPY (found->model, model);
  lb_list_append (&scaling->demands, &found->link);
  return found;
}

void
lc_scaling_add_demand (LcScaling *scaling, const char *model, int64_t texts, LbTime now)
{
  Demand *demand = ensure_demand (scaling, model);

  if (texts >= demand->texts || now - demand->at >= DEMAND_MEMORY)
    demand->texts = texts;
  demand->at = now;
}

void
lc_scaling_forget_orders (LcScaling *scaling)
{
  LB_LIST_FOREACH (&scaling->places, Place, link, place)
  {
    place->ordered = -1;
    place->busy = false;
    place->next_order = 0;
    place->refused_until = 0;
    place->lower_since = 0;
  }
}

static Place *
ensure_place (LcScaling *scaling, const char *service, const char *data_centre)
{
  Place *found = NULL;

  LB_LIST_FOREACH (&scaling->places, Place, link, place)
  {
    if (strcmp (place->service, service) == 0 && strcmp (place->data_centre, data_centre) == 0)
      return place;
  }
  found = LB_NEW (Place);
  found->ordered = -1;
  LB_COPY (found->service, service);
  LB_COPY (found->data_centre, data_centre);
  lb_list_append (&scaling->places, &found->link);
  return found;
}

static const char *
service_of (const LcResourceSet *set, const char *model)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (strcmp (set->endpoints[i].pool, model) == 0)
      return set->endpoints[i].service;
  return "";
}

/* Texts of one step of each model that the service's engines serve: the next step of a model comes
 * when most texts of the one before have ended. */
static int64_t
texts_wanted (const LcScaling *scaling, const LcResourceSet *set, const char *service, LbTime now)
{
  int64_t texts = 0;

  LB_LIST_FOREACH (&scaling->demands, Demand, link, demand)
  {
    if (now - demand->at < DEMAND_MEMORY && strcmp (service_of (set, demand->model), service) == 0)
      texts += demand->texts;
  }
  return texts;
}

static int64_t
count (const LcResourceSet *set, const char *service, const char *data_centre, bool is_spot)
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
slots_of_one (const LcResourceSet *set, const char *service)
{
  for (size_t i = 0; i < set->n_endpoints; i++)
    if (strcmp (set->endpoints[i].service, service) == 0 && set->endpoints[i].concurrency > 0)
      return set->endpoints[i].concurrency;
  return 0;
}

/* Endpoints that the texts need beside those of the full price; 0 where there is no telling. */
static int64_t
cheap_wanted (const LcScaling *scaling,
              const LcService *service,
              const LcResourceSet *set,
              LbTime now)
{
  int64_t slots = slots_of_one (set, service->name);
  int64_t wanted = 0;

  if (slots == 0)
    return 0;
  wanted = (texts_wanted (scaling, set, service->name, now) + slots - 1) / slots;
  for (size_t i = 0; i < service->scaling.n_prices; i++)
    wanted -= count (set, service->name, service->scaling.prices[i].data_centre, false);
  return wanted > 0 ? wanted : 0;
}

static int
by_price (const void *a, const void *b)
{
  double first = ((const LcDataCentrePrice *)a)->price;
  double second = ((const LcDataCentrePrice *)b)->price;

  return first < second ? -1 : first > second;
}

static int64_t
room_of (const Place *place, const LcService *service, const LcResourceSet *set, LbTime now)
{
  int64_t room = service->scaling.max - count (set, place->service, place->data_centre, false);

  /* Those that are there can be kept all the same. */
  if (now < place->refused_until)
    room = count (set, place->service, place->data_centre, true);
  return room > 0 ? room : 0;
}

static void
set_wanted (Place *place, int64_t wanted, LbTime now)
{
  bool is_lower = wanted < place->ordered;

  if (!is_lower)
    place->lower_since = 0;
  else if (place->lower_since == 0)
    place->lower_since = now;
  if (!is_lower || now - place->lower_since >= LOWER_AFTER)
    place->wanted = wanted;
  else
    place->wanted = place->ordered;
}

/* The cheapest data centres first, each up to its limit, which holds for both kinds together. */
static void
share_out (LcScaling *scaling, const LcService *service, const LcResourceSet *set, LbTime now)
{
  LcDataCentrePrice prices[LC_MAX_DATA_CENTRES];
  size_t n = service->scaling.n_prices;
  int64_t left = cheap_wanted (scaling, service, set, now);

  memcpy (prices, service->scaling.prices, n * sizeof *prices);
  qsort (prices, n, sizeof *prices, by_price);
  for (size_t i = 0; i < n; i++)
    {
      Place *place = ensure_place (scaling, service->name, prices[i].data_centre);
      int64_t room = room_of (place, service, set, now);
      int64_t wanted = left < room ? left : room;
      left -= wanted;
      set_wanted (place, wanted, now);
    }
}

static bool
wants_cheap (const LcService *service)
{
  const LcScalingLimits *limits = &service->scaling;

  return limits->max > 0 && limits->spot_price > 0 && limits->spot_price < 1;
}

/* Fewer than were ordered, long enough after the order for them to have come: some were taken away,
 * or never were to be had. */
static bool
has_lost_some (const Place *place, const LcResourceSet *set)
{
  return count (set, place->service, place->data_centre, true) < place->ordered;
}

static bool
is_due (const Place *place, const LcResourceSet *set, LbTime now)
{
  if (place->busy || now < place->next_order)
    return false;
  if (place->ordered < 0)
    return place->wanted > 0 && now >= place->refused_until;
  return place->wanted != place->ordered || has_lost_some (place, set);
}

bool
lc_scaling_next_order (LcScaling *scaling,
                       const LcDesired *desired,
                       const LcResourceSet *set,
                       LbTime now,
                       LcScalingOrder *order)
{
  for (size_t i = 0; i < desired->n_services; i++)
    if (wants_cheap (&desired->services[i]))
      share_out (scaling, &desired->services[i], set, now);
  LB_LIST_FOREACH (&scaling->places, Place, link, place)
  {
    if (!is_due (place, set, now))
      continue;
    place->busy = true;
    *order = (LcScalingOrder){ .endpoints = place->wanted };
    LB_COPY (order->service, place->service);
    LB_COPY (order->data_centre, place->data_centre);
    return true;
  }
  return false;
}

void
lc_scaling_finish_order (LcScaling *scaling,
                         const LcScalingOrder *order,
                         LcScalingOutcome outcome,
                         LbTime now)
{
  Place *place = ensure_place (scaling, order->service, order->data_centre);

  place->busy = false;
  place->next_order = now + ORDER_PERIOD;
  place->ordered = outcome == LC_SCALING_ACCEPTED ? order->endpoints : -1;
  if (outcome == LC_SCALING_REFUSED)
    place->refused_until = now + REFUSED_PERIOD;
}

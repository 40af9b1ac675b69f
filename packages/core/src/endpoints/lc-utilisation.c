#include "lc-utilisation.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <uthash.h>

#define NEW_REPLY_WEIGHT 0.05 /* weight of a new reply in the mean */
/* Above this mean utilisation, requests start to queue at some endpoints. */
#define OVERLOAD_THRESHOLD 0.6

typedef struct
{
  LbName name;             /* hash table key */
  double mean_utilisation; /* exponentially weighted mean of requests per slot */
  UT_hash_handle hh;
} Service;

struct LcUtilisation
{
  Service *services;
};

LcUtilisation *
lc_utilisation_new (void)
{
  return LB_NEW (LcUtilisation);
}

void
lc_utilisation_free (LcUtilisation *utilisation)
{
  Service *service, *next;

  if (!utilisation)
    return;
  HASH_ITER (hh, utilisation->services, service, next)
  {
    HASH_DEL (utilisation->services, service);
    free (service);
  }
  free (utilisation);
}

void
lc_utilisation_add_report (LcUtilisation *utilisation,
                           const char *name,
                           int64_t requests,
                           int64_t slots)
{
  Service *service = NULL;

  if (slots <= 0)
    return;
  HASH_FIND_STR (utilisation->services, name, service);
  if (!service)
    {
      service = LB_NEW (Service);
      LB_COPY (service->name, name);
      HASH_ADD_STR (utilisation->services, name, service);
    }
  service->mean_utilisation
      += ((double)requests / (double)slots - service->mean_utilisation) * NEW_REPLY_WEIGHT;
}

const char *
lc_utilisation_find_overloaded_service (const LcUtilisation *utilisation)
{
  const Service *busiest = NULL;

  for (const Service *service = utilisation->services; service; service = service->hh.next)
    if (service->mean_utilisation > OVERLOAD_THRESHOLD
        && (!busiest || service->mean_utilisation > busiest->mean_utilisation))
      busiest = service;
  return busiest ? busiest->name : "";
}

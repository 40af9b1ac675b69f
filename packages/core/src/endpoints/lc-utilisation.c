#include "lc-utilisation.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <uthash.h>

#define WEIGHT 0.05 /* of a new reply in the mean */
/* Share of the places that is taken, from which on requests begin to wait at some endpoints. */
#define LIMIT 0.6

typedef struct
{
  LbName name; /* key */
  double busy; /* mean share of the places that is taken */
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
lc_utilisation_free (LcUtilisation *crowding)
{
  Service *service, *next;

  if (!crowding)
    return;
  HASH_ITER (hh, crowding->services, service, next)
  {
    HASH_DEL (crowding->services, service);
    free (service);
  }
  free (crowding);
}

void
lc_utilisation_add_report (LcUtilisation *crowding,
                           const char *name,
                           int64_t requests,
                           int64_t slots)
{
  Service *service = NULL;

  if (slots <= 0)
    return;
  HASH_FIND_STR (crowding->services, name, service);
  if (!service)
    {
      service = LB_NEW (Service);
      LB_COPY (service->name, name);
      HASH_ADD_STR (crowding->services, name, service);
    }
  service->busy += ((double)requests / (double)slots - service->busy) * WEIGHT;
}

const char *
lc_utilisation_find_overloaded_service (const LcUtilisation *crowding)
{
  const Service *busiest = NULL;

  for (const Service *service = crowding->services; service; service = service->hh.next)
    if (service->busy > LIMIT && (!busiest || service->busy > busiest->busy))
      busiest = service;
  return busiest ? busiest->name : "";
}

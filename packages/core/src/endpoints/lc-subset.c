#include "lc-subset.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define MAX_PAGE_ROWS 500
/* Rows asked for beyond those of the last list: a few rows come and go between two lists. */
#define SPARE_ROWS 32
/* A subset is extended when it holds less than this part of what is needed. */
#define LOW_PERCENT 75
/* It is cut when it holds more than this part: endpoints of a deployment that starts come one after
 * the other, and the bound of the first ones takes in all that come later. */
#define HIGH_PERCENT 200
/* Places for each request that runs at once: a request takes one while the next step's begin. */
#define SLOTS_PER_REQUEST 2
/* Between two lists of the whole table for a service without any endpoint. */
#define ABSENT_PERIOD (10 * LB_SEC)
/* Between two extensions by load: the calls go to the new endpoints, and replies tell of it. */
#define GROW_PERIOD (3 * LB_SEC)
#define GROW_FACTOR 1.5

typedef struct
{
  LbName name;   /* key */
  LbName bound;  /* the last key of the subset; "": all belong to it */
  size_t ready;  /* in service, in the list being read */
  size_t models; /* that its engines hold, at the most; 0: a plain service */
  int64_t slots; /* of one endpoint, as the last row told */
  double growth; /* of what is needed, by load; 0: none */
  LbTime grown_at;
  bool is_expected;
  bool is_listed;   /* a row of the list being read is of it */
  bool is_absent;   /* the last list of the whole table had no row of it */
  bool is_extended; /* in the list being read */
  LbName enough_at; /* key in the list being read at which there were enough; "": not yet */
  UT_hash_handle hh;
} Service;

typedef struct
{
  LbName name; /* key */
  int64_t requests;
  UT_hash_handle hh;
} Model;

struct LcSubset
{
  Service *services;
  Model *models;
  int64_t max_requests; /* of all models */
  size_t n_rows;        /* of the list being read, up to the last one that was needed */
  size_t n_read;
  int64_t page_size;
  LbTime begun_at;
  LbTime whole_at; /* when the last list of the whole table began */
  bool is_small;   /* the whole table is one page: there are no bounds */
};

LcSubset *
lc_subset_new (void)
{
  LcSubset *subset = LB_NEW (LcSubset);

  subset->page_size = MAX_PAGE_ROWS;
  subset->is_small = true;
  return subset;
}

void
lc_subset_free (LcSubset *subset)
{
  Service *service, *next_service;
  Model *model, *next_model;

  if (!subset)
    return;
  HASH_ITER (hh, subset->services, service, next_service)
  {
    HASH_DEL (subset->services, service);
    free (service);
  }
  HASH_ITER (hh, subset->models, model, next_model)
  {
    HASH_DEL (subset->models, model);
    free (model);
  }
  free (subset);
}

static Service *
ensure_service (LcSubset *subset, const char *name)
{
  Service *service = NULL;

  HASH_FIND_STR (subset->services, name, service);
  if (service)
    return service;
  service = LB_NEW (Service);
  LB_COPY (service->name, name);
  HASH_ADD_STR (subset->services, name, service);
  return service;
}

/* Endpoints of the service that the subset shall hold. */
static size_t
needed (const LcSubset *subset, const Service *service)
{
  int64_t slots = service->slots > 0 ? service->slots : 1;
  size_t of_model = (size_t)((subset->max_requests * SLOTS_PER_REQUEST + slots - 1) / slots);

  if (of_model < LC_SUBSET_MIN_ENDPOINTS || service->models == 0)
    of_model = LC_SUBSET_MIN_ENDPOINTS;
  return (size_t)((double)(of_model * (service->models > 0 ? service->models : 1))
                  * (1 + service->growth));
}

static bool
is_low (const LcSubset *subset, const Service *service)
{
  return service->ready * 100 < needed (subset, service) * LOW_PERCENT;
}

void
lc_subset_begin_list (LcSubset *subset, LbTime now)
{
  bool looks_again = now - subset->whole_at >= ABSENT_PERIOD;

  subset->begun_at = now;
  for (Service *service = subset->services; service; service = service->hh.next)
    {
      service->ready = 0;
      service->is_listed = false;
      service->is_absent &= !looks_again;
      service->is_extended = false;
      service->enough_at[0] = '\0';
    }
  subset->n_rows = 0;
  subset->n_read = 0;
}

/* Rows come in order, so the endpoints up to the bound are counted when the first one behind it
 * comes. */
static bool
is_within (const LcSubset *subset, Service *service, const char *key)
{
  if (subset->is_small)
    return true;
  if (service->ready * 100 >= needed (subset, service) * HIGH_PERCENT)
    {
      LB_COPY (service->bound, service->enough_at);
      return false;
    }
  if (service->bound[0] == '\0' || strcmp (key, service->bound) <= 0)
    return true;
  service->is_extended |= is_low (subset, service);
  if (!service->is_extended || service->ready >= needed (subset, service))
    return false;
  LB_COPY (service->bound, key);
  return true;
}

bool
lc_subset_add_row (LcSubset *subset, const char *key, const LcSubsetRow *endpoint)
{
  Service *service = ensure_service (subset, endpoint->service);

  subset->n_read++;
  service->is_listed = true;
  if (endpoint->n_models > service->models)
    service->models = endpoint->n_models;
  if (endpoint->slots > 0)
    service->slots = endpoint->slots;
  if (!is_within (subset, service, key))
    return false;
  subset->n_rows = subset->n_read;
  service->ready += !endpoint->leaving;
  if (service->enough_at[0] == '\0' && service->ready >= needed (subset, service))
    LB_COPY (service->enough_at, key);
  if (service->bound[0] == '\0' && !subset->is_small)
    LB_COPY (service->bound, service->enough_at);
  return true;
}

static bool
wants_more (const LcSubset *subset, const Service *service, const char *last_key)
{
  if (!service->is_expected || service->is_absent)
    return false;
  if (service->bound[0] == '\0')
    return true;
  return strcmp (last_key, service->bound) < 0
         || (service->is_extended && service->ready < needed (subset, service))
         || is_low (subset, service);
}

static int64_t
next_page_size (const LcSubset *subset, bool is_whole)
{
  size_t rows = subset->n_rows + SPARE_ROWS;

  return is_whole || rows > MAX_PAGE_ROWS ? MAX_PAGE_ROWS : (int64_t)rows;
}

static void
note_whole (LcSubset *subset)
{
  subset->whole_at = subset->begun_at;
  subset->is_small = subset->n_read < MAX_PAGE_ROWS;
  for (Service *service = subset->services; service; service = service->hh.next)
    {
      service->is_absent = !service->is_listed;
      if (subset->is_small)
        service->bound[0] = '\0';
    }
}

static void
note_large (LcSubset *subset)
{
  if (!subset->is_small)
    return;
  subset->is_small = false;
  for (Service *service = subset->services; service; service = service->hh.next)
    if (service->bound[0] == '\0')
      LB_COPY (service->bound, service->enough_at);
}

bool
lc_subset_end_page (LcSubset *subset, const char *last_key, bool is_last)
{
  if (is_last)
    {
      note_whole (subset);
      subset->page_size = next_page_size (subset, subset->n_rows == subset->n_read);
      return false;
    }
  note_large (subset);
  for (const Service *service = subset->services; service; service = service->hh.next)
    if (wants_more (subset, service, last_key))
      return true;
  subset->page_size = next_page_size (subset, false);
  return false;
}

void
lc_subset_clear_expected (LcSubset *subset)
{
  for (Service *service = subset->services; service; service = service->hh.next)
    {
      service->is_expected = false;
      service->is_absent = false;
    }
}

void
lc_subset_expect_service (LcSubset *subset, const char *service)
{
  ensure_service (subset, service)->is_expected = true;
}

void
lc_subset_set_bound (LcSubset *subset, const char *service, const char *bound)
{
  Service *known = ensure_service (subset, service);

  LB_COPY (known->bound, bound);
}

void
lc_subset_set_demand (LcSubset *subset, const char *model, int64_t requests)
{
  Model *known = NULL;

  HASH_FIND_STR (subset->models, model, known);
  if (!known)
    {
      known = LB_NEW (Model);
      LB_COPY (known->name, model);
      HASH_ADD_STR (subset->models, name, known);
    }
  known->requests = requests;
  subset->max_requests = 0;
  for (known = subset->models; known; known = known->hh.next)
    if (known->requests > subset->max_requests)
      subset->max_requests = known->requests;
}

void
lc_subset_grow (LcSubset *subset, const char *name, LbTime now)
{
  Service *service = ensure_service (subset, name);

  /* There are no more, or those that were asked for last have not been listed yet. */
  if (service->bound[0] == '\0' || service->ready < needed (subset, service))
    return;
  if (service->grown_at > 0 && now - service->grown_at < GROW_PERIOD)
    return;
  service->grown_at = now;
  service->growth = (1 + service->growth) * GROW_FACTOR - 1;
}

int64_t
lc_subset_page_size (const LcSubset *subset)
{
  return subset->page_size;
}

void
lc_subset_foreach_bound (const LcSubset *subset,
                         void (*take) (const char *service, const char *bound, void *user),
                         void *user)
{
  for (const Service *service = subset->services; service; service = service->hh.next)
    if (service->bound[0])
      take (service->name, service->bound, user);
}

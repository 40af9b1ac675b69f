#include "lc-subset.h"

#include "lb-alloc.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define MAX_PAGE_ROWS 500
/* Number of rows requested in addition to those that the previous list needed, since a few
 * endpoints register between two lists. */
#define EXTRA_PAGE_ROWS 32
/* A subset with less than this percentage of the wanted number of endpoints is extended. */
#define EXTEND_BELOW_PERCENT 75
/* A subset with more than this percentage of the wanted number of endpoints is cut. While a
 * deployment starts, endpoints register one after the other, and a bound set for the first ones
 * also includes endpoints that register later. */
#define CUT_ABOVE_PERCENT 200
/* Slots wanted for each concurrent request: a request may still hold its slot when the requests of
 * the next step start. */
#define SLOTS_PER_REQUEST 2
/* Minimum time between two lists of the whole table that search for a service without endpoints. */
#define ABSENT_SERVICE_RETRY_INTERVAL (10 * LB_SEC)
/* Minimum time between two extensions of a subset due to load: calls must first reach the new
 * endpoints, and replies must show the effect. */
#define MIN_GROWTH_INTERVAL (3 * LB_SEC)
#define GROWTH_FACTOR 1.5

typedef struct
{
  LbName name;     /* hash table key */
  LbName bound;    /* largest row key in the service's subset of endpoints; "": the subset has all
                      endpoints */
  size_t n_ready;  /* number of endpoints of the current list in the subset, without leaving ones */
  size_t n_models; /* maximum number of models that one engine holds; 0: a plain service */
  int64_t slots;   /* number of slots of one endpoint, from the latest row of the service */
  double growth;   /* relative increase of the wanted number of endpoints due to load */
  LbTime grown_at;
  bool is_required;      /* pages are read until the subset has enough endpoints of the service */
  bool is_listed;        /* the current list has a row of the service */
  bool is_absent;        /* the last list of the whole table had no row of the service */
  bool is_extended;      /* the current list adds endpoints to the service's subset */
  LbName sufficient_key; /* row key up to which the current list has enough endpoints of the
                            service; "": not reached yet */
  UT_hash_handle hh;
} Service;

typedef struct
{
  LbName name; /* hash table key */
  int64_t requests;
  UT_hash_handle hh;
} Model;

struct LcSubset
{
  Service *services;
  Model *models;
  int64_t max_requests; /* largest number of concurrent requests for any model */
  size_t n_rows_needed; /* number of rows of the current list up to the last one in the subset */
  size_t n_rows_read;
  int64_t page_size;
  LbTime list_started_at;
  LbTime full_list_at; /* time when the last list of the whole table started */
  bool fits_one_page;  /* the table fits one page, so the subset of each service has no bound */
};

LcSubset *
lc_subset_new (void)
{
  LcSubset *subset = LB_NEW (LcSubset);

  subset->page_size = MAX_PAGE_ROWS;
  subset->fits_one_page = true;
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
find_or_add_service (LcSubset *subset, const char *name)
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

/* Returns the number of endpoints of the service, leaving ones excluded, that the subset should
 * contain. */
static size_t
count_wanted_endpoints (const LcSubset *subset, const Service *service)
{
  int64_t slots = service->slots > 0 ? service->slots : 1;
  size_t n_wanted = (size_t)((subset->max_requests * SLOTS_PER_REQUEST + slots - 1) / slots);

  if (n_wanted < LC_SUBSET_MIN_ENDPOINTS || service->n_models == 0)
    n_wanted = LC_SUBSET_MIN_ENDPOINTS;
  return (size_t)((double)(n_wanted * (service->n_models > 0 ? service->n_models : 1))
                  * (1 + service->growth));
}

static bool
is_subset_too_small (const LcSubset *subset, const Service *service)
{
  return service->n_ready * 100 < count_wanted_endpoints (subset, service) * EXTEND_BELOW_PERCENT;
}

void
lc_subset_begin_list (LcSubset *subset, LbTime now)
{
  bool retry_absent = now - subset->full_list_at >= ABSENT_SERVICE_RETRY_INTERVAL;

  subset->list_started_at = now;
  for (Service *service = subset->services; service; service = service->hh.next)
    {
      service->n_ready = 0;
      service->is_listed = false;
      service->is_absent &= !retry_absent;
      service->is_extended = false;
      service->sufficient_key[0] = '\0';
    }
  subset->n_rows_needed = 0;
  subset->n_rows_read = 0;
}

/* Decides whether the next row in key order belongs to the subset, and moves the bound of its
 * service. Rows are sorted, so all endpoints up to the bound have been counted at the first row
 * after the bound. */
static bool
admit_row_to_subset (const LcSubset *subset, Service *service, const char *key)
{
  if (subset->fits_one_page)
    return true;
  if (service->n_ready * 100 >= count_wanted_endpoints (subset, service) * CUT_ABOVE_PERCENT)
    {
      LB_COPY (service->bound, service->sufficient_key);
      return false;
    }
  if (service->bound[0] == '\0' || strcmp (key, service->bound) <= 0)
    return true;
  service->is_extended |= is_subset_too_small (subset, service);
  if (!service->is_extended || service->n_ready >= count_wanted_endpoints (subset, service))
    return false;
  LB_COPY (service->bound, key);
  return true;
}

bool
lc_subset_add_row (LcSubset *subset, const char *key, const LcSubsetRow *row)
{
  Service *service = find_or_add_service (subset, row->service);

  subset->n_rows_read++;
  service->is_listed = true;
  if (row->n_models > service->n_models)
    service->n_models = row->n_models;
  if (row->slots > 0)
    service->slots = row->slots;
  if (!admit_row_to_subset (subset, service, key))
    return false;
  subset->n_rows_needed = subset->n_rows_read;
  service->n_ready += !row->leaving;
  if (service->sufficient_key[0] == '\0'
      && service->n_ready >= count_wanted_endpoints (subset, service))
    LB_COPY (service->sufficient_key, key);
  if (service->bound[0] == '\0' && !subset->fits_one_page)
    LB_COPY (service->bound, service->sufficient_key);
  return true;
}

static bool
does_service_need_next_page (const LcSubset *subset, const Service *service, const char *last_key)
{
  if (!service->is_required || service->is_absent)
    return false;
  if (service->bound[0] == '\0')
    return true;
  return strcmp (last_key, service->bound) < 0
         || (service->is_extended && service->n_ready < count_wanted_endpoints (subset, service))
         || is_subset_too_small (subset, service);
}

static int64_t
compute_next_page_size (const LcSubset *subset, bool is_whole_table)
{
  size_t rows = subset->n_rows_needed + EXTRA_PAGE_ROWS;

  return is_whole_table || rows > MAX_PAGE_ROWS ? MAX_PAGE_ROWS : (int64_t)rows;
}

static void
finish_list_of_whole_table (LcSubset *subset)
{
  subset->full_list_at = subset->list_started_at;
  subset->fits_one_page = subset->n_rows_read < MAX_PAGE_ROWS;
  for (Service *service = subset->services; service; service = service->hh.next)
    {
      service->is_absent = !service->is_listed;
      if (subset->fits_one_page)
        service->bound[0] = '\0';
    }
}

static void
set_initial_subset_bounds (LcSubset *subset)
{
  if (!subset->fits_one_page)
    return;
  subset->fits_one_page = false;
  for (Service *service = subset->services; service; service = service->hh.next)
    if (service->bound[0] == '\0')
      LB_COPY (service->bound, service->sufficient_key);
}

bool
lc_subset_end_page (LcSubset *subset, const char *last_key, bool is_last)
{
  if (is_last)
    {
      finish_list_of_whole_table (subset);
      subset->page_size
          = compute_next_page_size (subset, subset->n_rows_needed == subset->n_rows_read);
      return false;
    }
  set_initial_subset_bounds (subset);
  for (const Service *service = subset->services; service; service = service->hh.next)
    if (does_service_need_next_page (subset, service, last_key))
      return true;
  subset->page_size = compute_next_page_size (subset, false);
  return false;
}

void
lc_subset_clear_required_services (LcSubset *subset)
{
  for (Service *service = subset->services; service; service = service->hh.next)
    {
      service->is_required = false;
      service->is_absent = false;
    }
}

void
lc_subset_add_required_service (LcSubset *subset, const char *service)
{
  find_or_add_service (subset, service)->is_required = true;
}

void
lc_subset_set_bound (LcSubset *subset, const char *service, const char *bound)
{
  Service *found = find_or_add_service (subset, service);

  LB_COPY (found->bound, bound);
}

void
lc_subset_set_demand (LcSubset *subset, const char *model, int64_t requests)
{
  Model *found = NULL;

  HASH_FIND_STR (subset->models, model, found);
  if (!found)
    {
      found = LB_NEW (Model);
      LB_COPY (found->name, model);
      HASH_ADD_STR (subset->models, name, found);
    }
  found->requests = requests;
  subset->max_requests = 0;
  for (found = subset->models; found; found = found->hh.next)
    if (found->requests > subset->max_requests)
      subset->max_requests = found->requests;
}

void
lc_subset_grow_for_service (LcSubset *subset, const char *name, LbTime now)
{
  Service *service = find_or_add_service (subset, name);

  /* Does nothing if the subset already contains all endpoints of the service, or if the endpoints
   * of the last extension are not listed yet. */
  if (service->bound[0] == '\0' || service->n_ready < count_wanted_endpoints (subset, service))
    return;
  if (service->grown_at > 0 && now - service->grown_at < MIN_GROWTH_INTERVAL)
    return;
  service->grown_at = now;
  service->growth = (1 + service->growth) * GROWTH_FACTOR - 1;
}

int64_t
lc_subset_page_size (const LcSubset *subset)
{
  return subset->page_size;
}

void
lc_subset_foreach_bound (const LcSubset *subset,
                         void (*callback) (const char *service, const char *bound, void *user),
                         void *user)
{
  for (const Service *service = subset->services; service; service = service->hh.next)
    if (service->bound[0])
      callback (service->name, service->bound, user);
}

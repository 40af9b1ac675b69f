#ifndef LC_SUBSET_H
#define LC_SUBSET_H

#include "lb-types.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* This header declares the deterministic choice of a subset of the endpoint table. Rows are read in
 * key order, and the keys are random names, so the first rows are a sample of all data centres and
 * services. For each service, the subset contains the endpoints whose keys are up to a bound, or
 * all endpoints if the service has few. If the whole table fits one page, the subset is the whole
 * table. No I/O. */

/* Minimum number of endpoints, leaving ones excluded, in the subset of a service that has at least
 * that many; for engines, the minimum for each model. */
#define LC_SUBSET_MIN_ENDPOINTS 48

typedef struct LcSubset LcSubset;

/* The columns of an endpoint's table row that the choice of the subset needs. */
typedef struct
{
  const char *service;
  size_t n_models; /* number of models that the endpoint holds; 0: a plain service */
  int64_t slots;   /* number of requests that the endpoint can process concurrently; 0: unknown */
  bool leaving;
} LcSubsetRow;

LcSubset *lc_subset_new (void);
void lc_subset_free (LcSubset *subset);

/* Functions that read the endpoint table page by page and choose the subset. */

void lc_subset_begin_list (LcSubset *subset, LbTime now);
/* Adds the next row in key order. Returns true if the endpoint belongs to the subset. */
bool lc_subset_add_row (LcSubset *subset, const char *key, const LcSubsetRow *row);
/* Ends a page whose last row has last_key. is_last: the table ends with this page. Returns true if
 * the next page must be read. */
bool lc_subset_end_page (LcSubset *subset, const char *last_key, bool is_last);

/* Functions that configure the choice of the subset. */

/* Clears the set of required services. Pages are read until the subset has enough endpoints of each
 * required service. */
void lc_subset_clear_required_services (LcSubset *subset);
void lc_subset_add_required_service (LcSubset *subset, const char *service);
/* Sets the last key of the service's subset, as chosen by the instance that publishes the bounds;
 * "": the subset contains all endpoints of the service. */
void lc_subset_set_bound (LcSubset *subset, const char *service, const char *bound);
/* requests: maximum number of concurrent requests for the model. */
void lc_subset_set_demand (LcSubset *subset, const char *model, int64_t requests);

/* Enlarges the subset of a service whose endpoints are nearly full, at most once every few
 * seconds. */
void lc_subset_grow_for_service (LcSubset *subset, const char *service, LbTime now);

/* Functions that only read an LcSubset. */

/* Number of rows to request per page: as many as the previous list needed. */
int64_t lc_subset_page_size (const LcSubset *subset);
void lc_subset_foreach_bound (const LcSubset *subset,
                              void (*callback) (const char *service, const char *bound, void *user),
                              void *user);

#endif

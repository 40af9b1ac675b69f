#ifndef LC_SUBSET_H
#define LC_SUBSET_H

#include "lb-types.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Deterministic subsetting of the table of endpoints. Rows are read in the order of their keys,
 * which are random names, so the first rows are a sample of all data centres and services. An
 * instance knows the endpoints of a service with keys up to a bound; it knows all endpoints of a
 * service that has few, and the whole table if that fits one page. No I/O. */

/* Minimum of endpoints in service in the subset of a service, if there are as many; for engines,
 * per model. */
#define LC_SUBSET_MIN_ENDPOINTS 48

typedef struct LcSubset LcSubset;

/* The columns of an endpoint's row that subsetting needs. */
typedef struct
{
  const char *service;
  size_t n_models; /* 0: a plain service */
  int64_t slots;   /* concurrent requests that it can process; 0: not known */
  bool leaving;
} LcSubsetRow;

LcSubset *lc_subset_new (void);
void lc_subset_free (LcSubset *subset);

/* commands: a list, read page by page */
void lc_subset_begin_list (LcSubset *subset, LbTime now);
/* Adds a row, in the order of the keys; true: the endpoint belongs to the subset. */
bool lc_subset_add_row (LcSubset *subset, const char *key, const LcSubsetRow *row);
/* Ends a page whose last row has last_key; true: the next page must be read. is_last: end of
 * table. */
bool lc_subset_end_page (LcSubset *subset, const char *last_key, bool is_last);

/* commands */
/* Pages are read until the subset has enough endpoints of each expected service. */
void lc_subset_clear_expected_services (LcSubset *subset);
void lc_subset_expect_service (LcSubset *subset, const char *service);
/* Sets the bound that the publisher chose; "": all endpoints of the service are known. */
void lc_subset_set_bound (LcSubset *subset, const char *service, const char *bound);
/* requests: maximum of concurrent requests for the model. */
void lc_subset_set_demand (LcSubset *subset, const char *model, int64_t requests);

/* Enlarges the subset of a service whose endpoints are nearly full, at most once in a few
 * seconds. */
void lc_subset_grow (LcSubset *subset, const char *service, LbTime now);

/* queries */
/* Rows to request per page: as many as the previous list needed. */
int64_t lc_subset_page_size (const LcSubset *subset);
void lc_subset_foreach_bound (const LcSubset *subset,
                              void (*callback) (const char *service, const char *bound, void *user),
                              void *user);

#endif

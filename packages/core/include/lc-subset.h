#ifndef LC_SUBSET_H
#define LC_SUBSET_H

#include "lb-types.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Deterministic subsetting of the endpoints' table. Rows come in the order of their keys, which are
 * random names, so the first rows are a sample of all data centres and services. Of each service an
 * instance knows those up to a bound; a service with few endpoints is known whole, and so is a
 * table of one page. No I/O. */

/* Endpoints in service that the subset of a service holds, if there are so many: for each model
 * where they are engines. */
#define LC_SUBSET_MIN_ENDPOINTS 48

typedef struct LcSubset LcSubset;

/* What a row tells of an endpoint. */
typedef struct
{
  const char *service;
  size_t n_models; /* 0: a plain service */
  int64_t slots;   /* requests that it works on at once; 0: not known */
  bool leaving;
} LcSubsetRow;

LcSubset *lc_subset_new (void);
void lc_subset_free (LcSubset *subset);

/* commands: a list, page by page */
void lc_subset_begin_list (LcSubset *subset, LbTime now);
/* A row, in the order of the keys; true: the endpoint belongs to the subset. */
bool lc_subset_add_row (LcSubset *subset, const char *key, const LcSubsetRow *endpoint);
/* A page ends with this key; true: the next one has to be read. is_last: there is none. */
bool lc_subset_end_page (LcSubset *subset, const char *last_key, bool is_last);

/* commands */
/* Pages are read until the subset has enough of each service that is expected. */
void lc_subset_clear_expected (LcSubset *subset);
void lc_subset_expect_service (LcSubset *subset, const char *service);
/* The bound as the publisher chose it; "": the service is known whole. */
void lc_subset_set_bound (LcSubset *subset, const char *service, const char *bound);
/* Requests that run at once for one model, at the most. */
void lc_subset_set_demand (LcSubset *subset, const char *model, int64_t requests);

/* Its endpoints are nearly full: the subset gets more of them, at most once in a few seconds. */
void lc_subset_grow (LcSubset *subset, const char *service, LbTime now);

/* queries */
/* Rows to ask for at first: as many as the last list needed. */
int64_t lc_subset_page_size (const LcSubset *subset);
void lc_subset_foreach_bound (const LcSubset *subset,
                              void (*take) (const char *service, const char *bound, void *user),
                              void *user);

#endif

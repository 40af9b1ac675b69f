#ifndef LN_CATALOG_H
#define LN_CATALOG_H

#include "lc-catalog.h"
#include "lc-fleet.h"
#include "lc-roster.h"
#include "lc-subset.h"
#include "ln-context.h"
#include "ln-messages.h"

/* The catalog is a table of the store in which one instance, the publisher, writes the lists of
 * endpoints and instances, so that the others need not list them themselves (lc-catalog.h). An
 * LnCatalog watches the table, and writes it while this instance is the publisher. Sites with few
 * endpoints have no catalog: each of their instances lists all rows itself. */

typedef struct LnCatalog LnCatalog;

/* Callbacks for the contents of the catalog. */
typedef struct
{
  /* Called with a list of the endpoints that is more recent than the last list that this instance
   * read itself. Returns false if the list was not used: the next snapshot is then delivered in
   * full even if it has not changed. valid_at: time as of which the list reflects the store. */
  bool (*on_endpoints) (const LcRegistration *endpoints,
                        size_t n_endpoints,
                        LbTime valid_at,
                        void *user);
  /* Called when the endpoint list that on_endpoints last used is still correct as of valid_at. */
  void (*on_endpoints_confirmed) (LbTime valid_at, void *user);
  /* Called when the instances or their states have changed. */
  void (*on_members) (const LcFleetMember *members, size_t n_members, void *user);
} LnCatalogHandlers;

LnCatalog *ln_catalog_new (LnContext *context, const LnCatalogHandlers *handlers, void *user);
void ln_catalog_free (LnCatalog *catalog);

/* --- functions that change the catalog --- */
/* Watches the catalog, and writes to it if this instance publishes. n_endpoints: number of
 * endpoints that this instance knows. */
void ln_catalog_tick (LnCatalog *catalog, size_t n_endpoints, LbTime now);
/* Sets the state of all instances, including this one, as this instance knows it. */
void ln_catalog_set_members (LnCatalog *catalog, const LcFleetMember *members, size_t n_members);
/* Causes the next snapshot of the endpoints to be delivered in full, even if it has not changed. */
void ln_catalog_invalidate_endpoint_list (LnCatalog *catalog);
/* Stops publishing, because this instance is shutting down. */
void ln_catalog_stop_publishing (LnCatalog *catalog);
/* Sets the list of endpoints that this instance read itself. requested_at: by the local clock. */
void ln_catalog_set_endpoint_list (LnCatalog *catalog,
                                   const LcRegistration *endpoints,
                                   size_t n_endpoints,
                                   LbTime requested_at,
                                   LbTime now);
/* Sets the bounds to publish for the instances that list endpoints themselves. A service's bound is
 * the last endpoint key that an instance lists for the service. */
void ln_catalog_set_subset_bounds (LnCatalog *catalog, const LcSubset *subset);

/* --- functions that only read the catalog --- */
/* Calls `callback` with the overloaded service of each live instance that reports one. */
void ln_catalog_foreach_overloaded_service (const LnCatalog *catalog,
                                            void (*callback) (const char *service, void *user),
                                            void *user);
/* Copies the published bounds to the subset: for each service the last endpoint key to list. */
void ln_catalog_apply_subset_bounds (const LnCatalog *catalog, LcSubset *subset);
/* Returns true if this instance has to list the endpoints itself. */
bool ln_catalog_needs_endpoint_list (const LnCatalog *catalog, LbTime now);
/* Returns true if this instance has to list the instances itself. Candidates for publishing always
 * do, so that they detect at once an instance that failed together with the publisher. */
bool ln_catalog_needs_member_list (const LnCatalog *catalog, LbTime now);
/* Returns the time between two lists of endpoints or instances that the publisher writes. */
LbTime ln_catalog_get_publish_period (const LnCatalog *catalog);
/* Returns true if the other instances rely on the listings of this instance. */
bool ln_catalog_is_publisher (const LnCatalog *catalog);
/* Returns the name of the instance that published last; "": no instance has published yet. */
const char *ln_catalog_get_publisher_name (const LnCatalog *catalog);

#endif

#ifndef LN_CATALOG_H
#define LN_CATALOG_H

#include "lc-catalog.h"
#include "lc-fleet.h"
#include "lc-roster.h"
#include "lc-subset.h"
#include "ln-context.h"
#include "ln-messages.h"

/* The catalog is a table of the store in which one instance, the publisher, writes the lists of
 * endpoints and instances, so that the others need not list them themselves (lc-catalog.h). This
 * follows the catalog, and publishes it while this instance is the publisher. Sites with few
 * endpoints have no catalog: there each instance lists all rows itself. */

typedef struct LnCatalog LnCatalog;

/* Callbacks for the contents of the catalog. */
typedef struct
{
  /* A list of the endpoints that is more recent than this instance's own last one. The handler
   * returns false if it did not use the list: the next snapshot is then delivered in full even if
   * it is unchanged. valid_at: time as of which the list reflects the store. */
  bool (*on_endpoints) (const LcRegistration *endpoints,
                        size_t n_endpoints,
                        LbTime valid_at,
                        void *user);
  /* The last list that was used is still correct as of valid_at. */
  void (*on_endpoints_confirmed) (LbTime valid_at, void *user);
  /* The instances or their states have changed. */
  void (*on_members) (const LcFleetMember *members, size_t n_members, void *user);
} LnCatalogHandlers;

LnCatalog *ln_catalog_new (LnContext *context, const LnCatalogHandlers *handlers, void *user);
void ln_catalog_free (LnCatalog *catalog);

/* commands */
/* n_endpoints: number of endpoints that this instance knows. */
void ln_catalog_tick (LnCatalog *catalog, size_t n_endpoints, LbTime now);
/* Sets the state of all instances, including this one, as this instance knows it. */
void ln_catalog_set_members (LnCatalog *catalog, const LcFleetMember *members, size_t n_members);
/* The next snapshot of the endpoints is delivered in full, even if it is unchanged. */
void ln_catalog_invalidate_endpoint_list (LnCatalog *catalog);
/* This instance is shutting down: it stops publishing. */
void ln_catalog_drain (LnCatalog *catalog);
/* Sets the list of endpoints that this instance read itself; requested_at: by its own clock. */
void ln_catalog_set_endpoint_list (LnCatalog *catalog,
                                   const LcRegistration *endpoints,
                                   size_t n_endpoints,
                                   LbTime requested_at,
                                   LbTime now);
/* This instance lists only part of each service's endpoints, up to a last key (the bound). Sets
 * these keys, which are then published for the instances that list endpoints themselves. */
void ln_catalog_set_subset_bounds (LnCatalog *catalog, const LcSubset *subset);

/* queries */
/* Calls back for each service that a live instance reports as overloaded. */
void ln_catalog_foreach_overloaded_service (const LnCatalog *catalog,
                                            void (*callback) (const char *service, void *user),
                                            void *user);
/* Copies the published bounds, each the last endpoint key to list of a service, to the subset. */
void ln_catalog_apply_subset_bounds (const LnCatalog *catalog, LcSubset *subset);
/* This instance has to list the endpoints itself. */
bool ln_catalog_needs_endpoint_list (const LnCatalog *catalog, LbTime now);
/* This instance has to list the instances itself. The candidates for publishing always do, so that
 * they notice at once an instance that failed together with the publisher. */
bool ln_catalog_needs_member_list (const LnCatalog *catalog, LbTime now);
/* Time between two listings by the publisher. */
LbTime ln_catalog_publish_period (const LnCatalog *catalog);
/* The other instances rely on this instance's listings. */
bool ln_catalog_is_publisher (const LnCatalog *catalog);
/* Name of the instance that published last; "": none has. */
const char *ln_catalog_publisher_name (const LnCatalog *catalog);

#endif

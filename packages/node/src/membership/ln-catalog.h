#ifndef LN_CATALOG_H
#define LN_CATALOG_H

#include "lc-catalog.h"
#include "lc-fleet.h"
#include "lc-roster.h"
#include "lc-subset.h"
#include "ln-context.h"
#include "ln-messages.h"

/* The catalog of endpoints and instances in a shared store: follows it, and publishes it when it is
 * this instance's turn. On sites with few endpoints there is none, and each instance lists all
 * itself. */

typedef struct LnCatalog LnCatalog;

/* What is heard of through the catalog. */
typedef struct
{
  /* A list of the endpoints, younger than this instance's own last one. False: it was not used,
   * and the next one is passed on whole, whether it says anything new or not. */
  bool (*on_endpoints) (const LcRegistration *list, size_t n_list, LbTime asked_at, void *user);
  /* The list that was last used was true at asked_at as well. */
  void (*on_endpoints_confirmed) (LbTime asked_at, void *user);
  /* What is known of the instances has changed. */
  void (*on_members) (const LcFleetMember *members, size_t n_members, void *user);
} LnCatalogHandlers;

LnCatalog *ln_catalog_new (LnContext *context, const LnCatalogHandlers *handlers, void *user);
void ln_catalog_free (LnCatalog *catalog);

/* commands */
/* n_endpoints: that this instance knows. */
void ln_catalog_tick (LnCatalog *catalog, size_t n_endpoints, LbTime now);
/* What this instance knows of all instances, itself included. */
void ln_catalog_set_members (LnCatalog *catalog, const LcFleetMember *members, size_t n_members);
/* The next list is passed on whole. */
void ln_catalog_invalidate_list (LnCatalog *catalog);
/* This instance ends: it publishes nothing more. */
void ln_catalog_drain (LnCatalog *catalog);
/* This instance has listed the endpoints itself; asked_at: on its own clock. */
void ln_catalog_set_endpoint_list (
    LnCatalog *catalog, const LcRegistration *list, size_t n_list, LbTime asked_at, LbTime now);
/* The bounds of the subset that this instance has listed, for those who list it next. */
void ln_catalog_set_subset_bounds (LnCatalog *catalog, const LcSubset *subset);

/* queries */
/* Calls back for each service that an instance tells to be crowded. */
void ln_catalog_foreach_overloaded_service (const LnCatalog *catalog,
                                            void (*take) (const char *service, void *user),
                                            void *user);
/* Sets the bounds that the publisher has told. */
void ln_catalog_apply_subset_bounds (const LnCatalog *catalog, LcSubset *subset);
/* The endpoints have to be listed here. */
bool ln_catalog_needs_endpoint_list (const LnCatalog *catalog, LbTime now);
/* The instances have to be listed here: also by those who publish next, so that they know at once
 * of one that died together with the publisher. */
bool ln_catalog_needs_member_list (const LnCatalog *catalog, LbTime now);
/* Between two lists of the publisher. */
LbTime ln_catalog_publish_period (const LnCatalog *catalog);
/* Others wait for this instance's lists. */
bool ln_catalog_is_publisher (const LnCatalog *catalog);
/* The instance that publishes; "": none has. */
const char *ln_catalog_publisher_name (const LnCatalog *catalog);

#endif

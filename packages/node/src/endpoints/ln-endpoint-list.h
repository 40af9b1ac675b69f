#ifndef LN_ENDPOINT_LIST_H
#define LN_ENDPOINT_LIST_H

#include "lc-desired.h"
#include "lc-roster.h"
#include "lc-subset.h"
#include "ln-context.h"

/* Lists the endpoints from the shared platform's store, page by page, up to what the subset needs.
 */
typedef struct LnEndpointList LnEndpointList;

typedef struct
{
  void (*on_listed) (const LcRegistration *list, size_t n_list, LbTime asked_at, void *user);
  void (*on_failed) (void *user);
} LnEndpointListHandlers;

LnEndpointList *
ln_endpoint_list_new (LnContext *context, const LnEndpointListHandlers *handlers, void *user);
void ln_endpoint_list_free (LnEndpointList *list);

/* commands */
/* Endpoints of services that it does not name are left out. Keeps a reference. */
void ln_endpoint_list_set_desired (LnEndpointList *list, LcDesired *desired);
/* Only while no list is asked for. */
void ln_endpoint_list_request (LnEndpointList *list, LbTime now);

/* queries */
bool ln_endpoint_list_is_in_progress (const LnEndpointList *list);
LbTime ln_endpoint_list_requested_at (const LnEndpointList *list);
LcSubset *ln_endpoint_list_subset (LnEndpointList *list);

#endif

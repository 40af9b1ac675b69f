#ifndef LN_ENDPOINT_LIST_H
#define LN_ENDPOINT_LIST_H

#include "lc-desired.h"
#include "lc-roster.h"
#include "lc-subset.h"
#include "ln-context.h"

/* Lists endpoints from the shared platform's store, page by page. Ends before the last page when
 * the subset of the endpoints that this instance uses is complete. */
typedef struct LnEndpointList LnEndpointList;

typedef struct
{
  void (*on_listed) (const LcRegistration *endpoints,
                     size_t n_endpoints,
                     LbTime requested_at,
                     void *user);
  void (*on_failed) (void *user);
} LnEndpointListHandlers;

LnEndpointList *
ln_endpoint_list_new (LnContext *context, const LnEndpointListHandlers *handlers, void *user);
void ln_endpoint_list_free (LnEndpointList *list);

/* --- functions that change the list of endpoints --- */
/* Sets the desired state and keeps a reference to it. Endpoints of services that it does not
 * contain are omitted from the list. */
void ln_endpoint_list_set_desired_state (LnEndpointList *list, LcDesired *desired);
/* Requests a new list. Must not be called while a list is in progress. */
void ln_endpoint_list_request (LnEndpointList *list, LbTime now);

/* --- functions that only read the list of endpoints --- */
bool ln_endpoint_list_is_in_progress (const LnEndpointList *list);
LbTime ln_endpoint_list_get_request_time (const LnEndpointList *list);
LcSubset *ln_endpoint_list_get_subset (LnEndpointList *list);

#endif

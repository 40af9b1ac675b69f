#ifndef LN_FETCH_OUTGOING_H
#define LN_FETCH_OUTGOING_H

#include "lc-outgoing.h"
#include "lh-fetch.h"
#include "ln-context.h"

/* Sends a request that the dialect composed. Takes method, path, headers and body from outgoing and
 * everything else from request. Returns NULL on error. */
LhFetch *ln_fetch_start_outgoing (const LnContext *context,
                                  const LcOutgoingRequest *outgoing,
                                  const LhRequest *request,
                                  const LhHandlers *handlers,
                                  void *user,
                                  LbError *error);

#endif

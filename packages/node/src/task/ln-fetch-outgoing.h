#ifndef LN_FETCH_OUTGOING_H
#define LN_FETCH_OUTGOING_H

#include "lc-outgoing.h"
#include "lh-fetch.h"
#include "ln-context.h"

/* Sends an HTTP request that the dialect composed: method, path, headers and body are those of
 * outgoing, the address and timeouts those of request. Returns NULL and sets error on failure. */
LhFetch *ln_fetch_start_outgoing (const LnContext *context,
                                  const LcOutgoingRequest *outgoing,
                                  const LhRequest *request,
                                  const LhHandlers *handlers,
                                  void *user,
                                  LbError *error);

#endif

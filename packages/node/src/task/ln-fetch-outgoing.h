#ifndef LN_FETCH_OUTGOING_H
#define LN_FETCH_OUTGOING_H

#include "lc-outgoing.h"
#include "lh-fetch.h"
#include "ln-context.h"

/* Returns false and sets *error if the request can't be sent as exactly one request. A path, host
 * or header from the text of a batch has not passed the checks of the HTTP parser. */
bool ln_outgoing_request_check (const LcOutgoingRequest *outgoing, LbError *error);

/* Sends an HTTP request that the dialect composed: method, path, headers and body are those of
 * outgoing, the address and timeouts those of request. Returns NULL and sets error on failure. */
LhFetch *ln_fetch_start_outgoing (const LnContext *context,
                                  const LcOutgoingRequest *outgoing,
                                  const LhRequest *request,
                                  const LhHandlers *handlers,
                                  void *user,
                                  LbError *error);

#endif

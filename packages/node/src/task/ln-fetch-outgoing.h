#ifndef LN_FETCH_OUTGOING_H
#define LN_FETCH_OUTGOING_H

#include "lc-outgoing.h"
#include "lh-fetch.h"
#include "ln-context.h"

/* Sends a request that the dialect wrote. Its method, path, headers and body stand in outgoing, all
 * else in request. NULL after an error. */
LhFetch *ln_fetch_start_outgoing (const LnContext *context,
                                  const LcOutgoing *outgoing,
                                  const LhRequest *request,
                                  const LhHandlers *handlers,
                                  void *user,
                                  LbError *error);

#endif

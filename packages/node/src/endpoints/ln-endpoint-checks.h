#ifndef LN_ENDPOINT_CHECKS_H
#define LN_ENDPOINT_CHECKS_H

#include "lc-quarantine.h"
#include "ln-context.h"

/* Distinguishes a crashed endpoint from one that aborted a single answer. Both close the request's
 * connection, but only a crashed endpoint refuses new connections right afterwards. */
typedef struct LnEndpointChecks LnEndpointChecks;

/* Called when a check has found that the endpoint crashed. fingerprints: of the requests that
 * failed in the crash. */
typedef void (*LnEndpointCrashed) (const char *endpoint,
                                   LbTime failed_at,
                                   const LcFingerprint *fingerprints,
                                   size_t n_fingerprints,
                                   void *user);

LnEndpointChecks *
ln_endpoint_checks_new (LnContext *context, LnEndpointCrashed on_crashed, void *user);
void ln_endpoint_checks_free (LnEndpointChecks *checks);

/* Starts a check of the endpoint after a request failed there before any byte of its answer
 * arrived. Requests that fail at the endpoint during the check share its outcome. */
void ln_endpoint_checks_on_request_failed (LnEndpointChecks *checks,
                                           const char *endpoint,
                                           const char *address,
                                           LcFingerprint fingerprint);

#endif

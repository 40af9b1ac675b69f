#ifndef LN_ENDPOINT_CHECKS_H
#define LN_ENDPOINT_CHECKS_H

#include "lc-quarantine.h"
#include "ln-context.h"

/* Distinguishes a crashed endpoint from one that aborted a single answer. Both close the connection
 * of the request, but only a crashed one refuses new connections right afterwards. */
typedef struct LnEndpointChecks LnEndpointChecks;

/* The endpoint crashed, and the requests with these fingerprints failed with it. */
typedef void (*LnEndpointCrashed) (const char *endpoint,
                                   LbTime failed_at,
                                   const LcFingerprint *fingerprints,
                                   size_t n_fingerprints,
                                   void *user);

LnEndpointChecks *
ln_endpoint_checks_new (LnContext *context, LnEndpointCrashed on_crashed, void *user);
void ln_endpoint_checks_free (LnEndpointChecks *checks);

/* A request failed at the endpoint before any byte of an answer arrived. Requests that fail there
 * while the check runs share its outcome. */
void ln_endpoint_checks_request_failed (LnEndpointChecks *checks,
                                        const char *endpoint,
                                        const char *address,
                                        LcFingerprint fingerprint);

#endif

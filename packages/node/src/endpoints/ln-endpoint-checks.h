#ifndef LN_ENDPOINT_CHECKS_H
#define LN_ENDPOINT_CHECKS_H

#include "lc-quarantine.h"
#include "ln-context.h"

/* Tells an endpoint that has ended from one that cut a single answer: both close the connection of
 * a request, but only the first one takes no new connection right after. */
typedef struct LnEndpointChecks LnEndpointChecks;

/* The endpoint has ended, and these broke with it. */
typedef void (*LnEndpointCrashed) (const char *endpoint,
                                   LbTime broken_at,
                                   const LcFingerprint *contents,
                                   size_t n_contents,
                                   void *user);

LnEndpointChecks *
ln_endpoint_checks_new (LnContext *context, LnEndpointCrashed on_crashed, void *user);
void ln_endpoint_checks_free (LnEndpointChecks *checks);

/* A request broke at the endpoint before it brought anything. Requests that break there while the
 * check runs share its outcome. */
void ln_endpoint_checks_request_failed (LnEndpointChecks *checks,
                                        const char *endpoint,
                                        const char *address,
                                        LcFingerprint content);

#endif

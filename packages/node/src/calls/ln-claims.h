#ifndef LN_CLAIMS_H
#define LN_CLAIMS_H

#include "lb-error.h"

struct LpPlatform;
struct event_base;

/* Idempotency keys chosen by callers. The first instance that receives a key writes a row in the
 * platform's store on condition that it is absent. The row names the ticket under which the call
 * runs, so that a retry with the key uses the same ticket on every instance. */
typedef struct LnClaims LnClaims;

/* ticket: the one bound to the key, not always the one offered; NULL if error is set. Called once,
 * never from inside ln_claims_claim_key. */
typedef void (*LnClaimHandler) (const char *ticket, const LbError *error, void *user);

LnClaims *
ln_claims_new (struct event_base *base, struct LpPlatform *platform, const char *incarnation);
void ln_claims_free (LnClaims *claims);
/* Claims the key for the ticket unless it is bound to another one. expires_at: when the ticket
 * becomes useless; the row is deleted some time after. */
void ln_claims_claim_key (LnClaims *claims,
                          const char *caller,
                          const char *key,
                          const char *ticket,
                          LbTime expires_at,
                          LnClaimHandler on_done,
                          void *user);
bool ln_claims_is_idle (const LnClaims *claims);

#endif

#ifndef LN_CLAIMS_H
#define LN_CLAIMS_H

#include "lb-error.h"

struct LpPlatform;
struct event_base;

/* Claims of idempotency keys, which callers choose. The first instance that receives a key writes
 * the key's row to the platform's store, on condition that the row does not exist. The row names
 * the ticket under which the call runs, so that a retry with the key uses that ticket on every
 * instance. */
typedef struct LnClaims LnClaims;

/* Called once per claim, never from inside ln_claims_claim_idempotency_key. ticket: the ticket
 * bound to the key, which may differ from the ticket passed to ln_claims_claim_idempotency_key;
 * NULL if error is set. */
typedef void (*LnClaimHandler) (const char *ticket, const LbError *error, void *user);

LnClaims *
ln_claims_new (struct event_base *base, struct LpPlatform *platform, const char *incarnation);
void ln_claims_free (LnClaims *claims);
/* Binds the caller's key to the ticket, unless the key is already bound to another ticket.
 * expires_at: when the ticket expires; the key's row is deleted after that. */
void ln_claims_claim_idempotency_key (LnClaims *claims,
                                      const char *caller,
                                      const char *key,
                                      const char *ticket,
                                      LbTime expires_at,
                                      LnClaimHandler on_done,
                                      void *user);
bool ln_claims_is_idle (const LnClaims *claims);

#endif

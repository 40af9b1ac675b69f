#ifndef LN_CLAIMS_H
#define LN_CLAIMS_H

#include "lb-error.h"

struct LpPlatform;
struct event_base;

/* Callers' own idempotency keys. The first instance that gets a key writes a row of the platform's
 * table under the condition that the row is absent; the row names the ticket under which the call
 * runs, so that every instance that gets the key again comes to the same one. */
typedef struct LnClaims LnClaims;

/* ticket: the one that holds the key, not always the one offered; NULL with a typed error. Called
 * once, never from inside ln_claims_take. */
typedef void (*LnClaimDone) (const char *ticket, const LbError *error, void *user);

LnClaims *
ln_claims_new (struct event_base *base, struct LpPlatform *platform, const char *incarnation);
void ln_claims_free (LnClaims *claims);
/* until: when the ticket can be of no use any more; the row is deleted some time after. */
void ln_claims_take (LnClaims *claims,
                     const char *caller,
                     const char *key,
                     const char *ticket,
                     LbTime until,
                     LnClaimDone done,
                     void *user);
bool ln_claims_is_idle (const LnClaims *claims);

#endif

#ifndef LN_RELAY_H
#define LN_RELAY_H

#include "ln-context.h"
#include "ln-messages.h"

/* Passes a call on to the one instance that may run it. */
typedef struct LnRelays LnRelays;

typedef struct
{
  const char *instance;
  const char *incarnation;
  const char *ticket;
  const char *caller; /* the name under which the ticket was given out */
  LbTime deadline;
} LnRelayTarget;

LnRelays *ln_relays_new (LnContext *context);
void ln_relays_free (LnRelays *relays);
void ln_relays_set_members (LnRelays *relays, const LnMembersMessage *message);
bool ln_relays_is_idle (const LnRelays *relays);
/* Takes the exchange over and answers it, whatever happens. */
void ln_relays_pass (LnRelays *relays, LnExchange *exchange, const LnRelayTarget *target);
/* Addresses of other instances for a caller that is turned away, "A,B"; empty when none is known.
 */
void ln_relays_hint (const LnRelays *relays, char *text, size_t size);

#endif

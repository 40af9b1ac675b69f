#ifndef LN_RELAY_H
#define LN_RELAY_H

#include "ln-context.h"
#include "ln-messages.h"

/* Forwards a call to the instance that issued its ticket, the only one that may run the call. */
typedef struct LnRelays LnRelays;

typedef struct
{
  const char *instance;
  const char *incarnation;
  const char *ticket;
  const char *caller; /* name of the caller that uses the ticket */
  LbTime deadline;
} LnRelayTarget;

LnRelays *ln_relays_new (LnContext *context);
void ln_relays_free (LnRelays *relays);
void ln_relays_set_members (LnRelays *relays, const LnMembersMessage *message);
bool ln_relays_is_idle (const LnRelays *relays);
/* Takes ownership of the exchange and always replies to it. */
void
ln_relays_forward_request (LnRelays *relays, LnExchange *exchange, const LnRelayTarget *target);
/* Writes the addresses of other live instances, separated by commas, for a caller that this
 * instance refuses; "" if none is known. */
void ln_relays_list_other_instance_addresses (const LnRelays *relays, char *text, size_t size);

#endif

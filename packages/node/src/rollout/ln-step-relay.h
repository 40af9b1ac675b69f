#ifndef LN_STEP_RELAY_H
#define LN_STEP_RELAY_H

#include "ln-step-call.h"

/* Called when the relay of a trainer's call to the step's owner has ended. failure: LB_OK if the
 * owner's reply was passed to the trainer. */
typedef void (*LnStepRelayDone) (LnStepCall *call, LbErrorCode failure, void *user);

/* Sends the call to the owner. Unless the relay is cancelled, calls done once: with LB_OK after
 * passing the owner's reply to the trainer, or with the failure if the call still needs a reply.
 * Returns false without ever calling done if the request cannot be sent. */
bool ln_step_relay_start (LnContext *context,
                          LnStepCall *call,
                          const LnStepOwner *owner,
                          LnStepRelayDone done,
                          void *user);
void ln_step_relay_cancel (LnStepCall *call);

#endif

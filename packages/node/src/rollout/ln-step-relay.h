#ifndef LN_STEP_RELAY_H
#define LN_STEP_RELAY_H

#include "ln-step-call.h"

/* Relays a trainer's call to the instance that owns its step. */

typedef void (*LnStepRelayDone) (LnStepCall *call, LbErrorCode failure, void *user);

/* done is called once unless the relay is cancelled: with LB_OK after the owner's reply was passed
 * to the trainer, else with a failure, and the call still needs a reply. Returns false, and never
 * calls done, if the request could not be sent. */
bool ln_step_relay_start (LnContext *context,
                          LnStepCall *call,
                          const LnStepOwner *owner,
                          LnStepRelayDone done,
                          void *user);
void ln_step_relay_cancel (LnStepCall *call);

#endif

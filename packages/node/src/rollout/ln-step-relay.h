#ifndef LN_STEP_RELAY_H
#define LN_STEP_RELAY_H

#include "ln-step-call.h"

/* Passes a trainer's call on to the instance that owns its step. */

typedef void (*LnStepRelayDone) (LnStepCall *call, LbErrorCode failure, void *user);

/* done is called once unless cancelled: with LB_OK when the trainer has been answered with what the
 * owner said, else the call is still to be answered. False when nothing could be sent. */
bool ln_step_relay_start (LnContext *context,
                          LnStepCall *call,
                          const LnStepOwner *owner,
                          LnStepRelayDone done,
                          void *user);
void ln_step_relay_cancel (LnStepCall *call);

#endif

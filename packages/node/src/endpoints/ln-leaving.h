#ifndef LN_LEAVING_H
#define LN_LEAVING_H

#include "lc-endpoints.h"
#include "ln-messages.h"

/* Notifies the other instances of leaving endpoints, and reads such notifications from them. */
typedef struct LnLeaving LnLeaving;

LnLeaving *ln_leaving_new (LnTask *task);
void ln_leaving_free (LnLeaving *leaving);

/* Notifies all instances, once per incarnation, that the endpoint is leaving; does nothing if it is
 * not. */
void ln_leaving_announce (LnLeaving *leaving, const LcEndpoint *endpoint);

/* Reads a frame of ln_leaving_announce; false if it is malformed. The endpoint is then not
 * announced again by this instance. */
bool ln_leaving_receive_frame (LnLeaving *leaving,
                               const LnPeerMessage *frame,
                               LnEndpointLeavingMessage *message);

#endif

#ifndef LN_LEAVING_H
#define LN_LEAVING_H

#include "lc-endpoints.h"
#include "ln-messages.h"

/* Notifies the other instances of endpoints that are leaving (and get no new work), and reads such
 * notifications. */
typedef struct LnLeaving LnLeaving;

LnLeaving *ln_leaving_new (LnTask *task);
void ln_leaving_free (LnLeaving *leaving);

/* If the endpoint is leaving, notifies all instances, once per incarnation of the endpoint. */
void ln_leaving_announce_endpoint (LnLeaving *leaving, const LcEndpoint *endpoint);

/* Reads a notification that another instance sent with ln_leaving_announce_endpoint; returns false
 * if it is malformed. This instance then does not announce the same incarnation of the endpoint
 * again. */
bool ln_leaving_receive_frame (LnLeaving *leaving,
                               const LnPeerMessage *frame,
                               LnEndpointLeavingMessage *message);

#endif

#ifndef LN_LEAVING_H
#define LN_LEAVING_H

#include "lc-endpoints.h"
#include "ln-messages.h"

/* What this instance tells the others of endpoints that leave, and hears from them. */
typedef struct LnLeaving LnLeaving;

LnLeaving *ln_leaving_new (LnTask *task);
void ln_leaving_free (LnLeaving *leaving);

/* Tells all instances, once for each incarnation, that the endpoint leaves; nothing when it stays.
 */
void ln_leaving_announce (LnLeaving *leaving, const LcEndpoint *endpoint);

/* Reads a frame of ln_leaving_announce; false when it is not one. What was heard is not told again.
 */
bool ln_leaving_receive_frame (LnLeaving *leaving,
                               const LnPeerMessage *frame,
                               LnEndpointLeavingMessage *heard);

#endif

#ifndef FZ_SENDER_H
#define FZ_SENDER_H

#include "lh-fetch.h"

/* Sends the request to an endpoint of its own, whose address replaces the request's. Returns false
 * if the request is refused. Aborts unless the endpoint receives exactly this request. */
bool fz_send_request (const LhRequest *request);

#endif

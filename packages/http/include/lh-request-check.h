#ifndef LH_REQUEST_CHECK_H
#define LH_REQUEST_CHECK_H

#include "lh-fetch.h"

/* Checks that a request, once written, is read by every server as exactly this one request (RFC
 * 9112, 11.2). A line break in the path or a header that contradicts the length of the body would
 * smuggle a second request past all checks of the first. */

/* Whether a header's name is a valid token. A name that ends in a space is not: some servers ignore
 * a space before the colon, others do not. */
bool lh_is_header_name (const char *name, size_t length);
/* Whether a header's value has no CR, LF or NUL. Some servers end the header at a bare CR or LF. */
bool lh_is_header_value (const char *value, size_t length);
/* Whether the header concerns a single connection or is set by the sender of each connection, so
 * that it must not be forwarded. */
bool lh_is_hop_by_hop_header (const char *name);
/* Returns false and sets *error if the method, path, host or a header can't be sent safely. Ignores
 * the address and the body. */
bool lh_request_check (const LhRequest *request, LbError *error);

#endif

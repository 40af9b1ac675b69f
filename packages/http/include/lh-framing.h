#ifndef LH_FRAMING_H
#define LH_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

/* Detects headers that make the end of a message or the host of a request ambiguous. If two servers
 * interpret these headers differently, a caller can smuggle a second request in the body of the
 * first, past the checks of the first server (RFC 9112, 6.3 and 11.2), and a response may be cut.
 * The caller of these functions must refuse an ambiguous message and close the connection. */
typedef struct
{
  bool has_content_length;
  bool has_transfer_encoding;
  bool has_host;
  bool is_ambiguous;
} LhFraming;

/* Checks a header of the message. Headers can be added in any order; name and value need not be
 * NUL-terminated. */
void lh_framing_add_header (
    LhFraming *framing, const char *name, size_t name_length, const char *value, size_t length);
/* Whether the headers added are ambiguous. Call after adding the last header. */
bool lh_framing_is_ambiguous (const LhFraming *framing);

#endif

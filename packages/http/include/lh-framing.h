#ifndef LN_FRAMING_H
#define LN_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

/* Detects headers that make the end or the host of a request ambiguous. If two servers interpret
 * these headers differently, a caller can smuggle a second request in the body of the first, past
 * the checks of the first server (RFC 9112, 6.3 and 11.2). The caller of these functions must
 * refuse an ambiguous request and close the connection. */
typedef struct
{
  bool has_content_length;
  bool has_transfer_encoding;
  bool has_host;
  bool is_ambiguous;
} LnFraming;

/* Checks a header of the request. Headers can be added in any order; name and value need not be
 * NUL-terminated. */
void ln_framing_add_header (
    LnFraming *framing, const char *name, size_t name_length, const char *value, size_t length);
/* Whether the headers added are ambiguous. Call after adding the last header. */
bool ln_framing_is_ambiguous (const LnFraming *framing);

#endif

#ifndef LN_FRAMING_H
#define LN_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

/* Detects headers that leave the end or the host of a request ambiguous. Where two servers resolve
 * such headers differently, a caller can smuggle a second request past the first server's checks in
 * the body of the first request (RFC 9112, 6.3 and 11.2). Such a request is refused and its
 * connection closed. */
typedef struct
{
  bool has_content_length;
  bool has_transfer_encoding;
  bool has_host;
  bool is_ambiguous;
} LnFraming;

/* Adds one header; the order does not matter. Name and value need not be NUL-terminated. */
void ln_framing_add_header (
    LnFraming *framing, const char *name, size_t name_length, const char *value, size_t length);
/* To be called after the last header was added. */
bool ln_framing_is_ambiguous (const LnFraming *framing);

#endif

#ifndef LN_FRAMING_H
#define LN_FRAMING_H

#include <stdbool.h>
#include <stddef.h>

/* Where a caller's request ends, and for whom it is, as its headers say. Two readers that take
 * contradicting headers differently see two requests in the bytes of one: a caller can hide a
 * second request in the body of the first and have it passed on unchecked (RFC 9112, 6.3 and 11.2).
 * Such a request is refused and its connection closed. */
typedef struct
{
  bool has_length;
  bool has_coding;
  bool has_host;
  bool is_ambiguous;
} LnFraming;

/* Takes one header, in any order. Name and value need not be ended by NUL. */
void ln_framing_add (
    LnFraming *framing, const char *name, size_t name_length, const char *value, size_t length);
/* After the last header. */
bool ln_framing_is_ambiguous (const LnFraming *framing);

#endif

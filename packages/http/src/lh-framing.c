#include "lh-framing.h"

#include "lh-request-check.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

static bool
equals_ignoring_case (const char *name, size_t length, const char *expected)
{
  return length == strlen (expected) && strncasecmp (name, expected, length) == 0;
}

static bool
is_decimal_number (const char *value, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!isdigit ((unsigned char)value[i]))
      return false;
  return length > 0;
}

/* Whether the transfer coding is "chunked". This daemon decodes no other coding, so with another
 * coding the end of the body is unknown. */
static bool
is_chunked_coding (const char *value, size_t length)
{
  return equals_ignoring_case (value, length, "chunked");
}

/* Marks the request as ambiguous when the header was already present or is invalid. */
static void
require_unique_valid_header (bool *is_present, bool is_valid, LhFraming *framing)
{
  framing->is_ambiguous |= *is_present || !is_valid;
  *is_present = true;
}

void
lh_framing_add_header (
    LhFraming *framing, const char *name, size_t name_length, const char *value, size_t length)
{
  framing->is_ambiguous
      |= !lh_is_header_name (name, name_length) || !lh_is_header_value (value, length);
  if (equals_ignoring_case (name, name_length, "Content-Length"))
    require_unique_valid_header (&framing->has_content_length, is_decimal_number (value, length),
                                 framing);
  else if (equals_ignoring_case (name, name_length, "Transfer-Encoding"))
    require_unique_valid_header (&framing->has_transfer_encoding, is_chunked_coding (value, length),
                                 framing);
  else if (equals_ignoring_case (name, name_length, "Host"))
    require_unique_valid_header (&framing->has_host, true, framing);
}

bool
lh_framing_is_ambiguous (const LhFraming *framing)
{
  return framing->is_ambiguous || (framing->has_content_length && framing->has_transfer_encoding);
}

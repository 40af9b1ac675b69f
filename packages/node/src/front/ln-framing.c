#include "ln-framing.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

static bool
equals_ignoring_case (const char *name, size_t length, const char *expected)
{
  return length == strlen (expected) && strncasecmp (name, expected, length) == 0;
}

/* Whether a header's name is a valid token. A name that ends in a space is not: some servers ignore
 * a space before the colon, others do not. */
static bool
is_header_name_token (const char *name, size_t length)
{
  static const char symbols[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)name[i]) && (name[i] == '\0' || !strchr (symbols, name[i])))
      return false;
  return length > 0;
}

/* Whether a header's value has no CR, LF or NUL. Some servers end the header at a bare CR or LF. */
static bool
is_single_line_header_value (const char *value, size_t length)
{
  return !memchr (value, '\r', length) && !memchr (value, '\n', length)
         && !memchr (value, '\0', length);
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
require_unique_valid_header (bool *is_present, bool is_valid, LnFraming *framing)
{
  framing->is_ambiguous |= *is_present || !is_valid;
  *is_present = true;
}

void
ln_framing_add_header (
    LnFraming *framing, const char *name, size_t name_length, const char *value, size_t length)
{
  framing->is_ambiguous
      |= !is_header_name_token (name, name_length) || !is_single_line_header_value (value, length);
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
ln_framing_is_ambiguous (const LnFraming *framing)
{
  return framing->is_ambiguous || (framing->has_content_length && framing->has_transfer_encoding);
}

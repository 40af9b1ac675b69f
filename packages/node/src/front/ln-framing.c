#include "ln-framing.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

static bool
is_named (const char *name, size_t length, const char *wanted)
{
  return length == strlen (wanted) && strncasecmp (name, wanted, length) == 0;
}

/* A name with a space before its colon is another header for one reader and the same for the next.
 */
static bool
is_token (const char *name, size_t length)
{
  static const char marks[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)name[i]) && (name[i] == '\0' || !strchr (marks, name[i])))
      return false;
  return length > 0;
}

/* A bare CR or LF in a value ends the header for some readers. */
static bool
is_one_line (const char *value, size_t length)
{
  return !memchr (value, '\r', length) && !memchr (value, '\n', length)
         && !memchr (value, '\0', length);
}

static bool
is_number (const char *value, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!isdigit ((unsigned char)value[i]))
      return false;
  return length > 0;
}

/* The only coding that is read here; with another one the body would be taken to end elsewhere. */
static bool
is_chunked (const char *value, size_t length)
{
  return is_named (value, length, "chunked");
}

static void
note (bool *seen, bool is_good, LnFraming *framing)
{
  framing->is_ambiguous |= *seen || !is_good;
  *seen = true;
}

void
ln_framing_add (
    LnFraming *framing, const char *name, size_t name_length, const char *value, size_t length)
{
  framing->is_ambiguous |= !is_token (name, name_length) || !is_one_line (value, length);
  if (is_named (name, name_length, "Content-Length"))
    note (&framing->has_length, is_number (value, length), framing);
  else if (is_named (name, name_length, "Transfer-Encoding"))
    note (&framing->has_coding, is_chunked (value, length), framing);
  else if (is_named (name, name_length, "Host"))
    note (&framing->has_host, true, framing);
}

bool
ln_framing_is_ambiguous (const LnFraming *framing)
{
  return framing->is_ambiguous || (framing->has_length && framing->has_coding);
}

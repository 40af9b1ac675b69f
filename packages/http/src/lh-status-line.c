#include "lh-status-line.h"

#include <ctype.h>
#include <string.h>

#define STATUS_OFFSET 9 /* offset of the status in "HTTP/1.1 200" */

/* Whether the character may be at this offset of a status line. */
static bool
is_valid_at (size_t offset, char c)
{
  static const char version[] = "HTTP/1.";

  if (offset < sizeof version - 1)
    return c == version[offset];
  if (offset == STATUS_OFFSET - 2 || (offset >= STATUS_OFFSET && offset < STATUS_OFFSET + 3))
    return isdigit ((unsigned char)c);
  return c == ' ' || (offset == STATUS_OFFSET + 3 && (c == '\r' || c == '\n'));
}

/* Interprets the status of a complete prefix: RFC 9110, 15, knows the classes 1 to 5, and a
 * response of class 1 is no final one. */
static void
finish_prefix (LhStatusLine *line)
{
  const char *status = line->prefix + STATUS_OFFSET;

  if (memcmp (status, "100", 3) == 0)
    {
      line->is_skipping = true;
      line->n_newlines = line->prefix[STATUS_OFFSET + 3] == '\n';
      return;
    }
  line->is_complete = status[0] >= '2' && status[0] <= '5';
  line->is_invalid = !line->is_complete;
}

/* Skips a byte of an interim response, up to the empty line at its end. */
static void
skip_interim_byte (LhStatusLine *line, char c)
{
  if (c == '\r')
    return;
  line->n_newlines = c == '\n' ? line->n_newlines + 1 : 0;
  if (line->n_newlines == 2)
    *line = (LhStatusLine){ 0 };
}

bool
lh_status_line_feed (LhStatusLine *line, const char *bytes, size_t length)
{
  for (size_t i = 0; i < length && !line->is_complete && !line->is_invalid; i++)
    {
      if (line->is_skipping)
        {
          skip_interim_byte (line, bytes[i]);
          continue;
        }
      line->is_invalid = !is_valid_at (line->length, bytes[i]);
      line->prefix[line->length++] = bytes[i];
      if (line->length == sizeof line->prefix && !line->is_invalid)
        finish_prefix (line);
    }
  return !line->is_invalid;
}

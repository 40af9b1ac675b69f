#include "ln-request-bytes.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Digits of a chunk's size: 64 bits are more than any body may have. */
#define MAX_SIZE_DIGITS 15

enum
{
  REQUEST_LINE,
  HEADER_LINE,
  BODY,
  CHUNK_SIZE,
  CHUNK,
  CHUNK_END,
  TRAILER_LINE
};

/* What is kept of the line is ended by NUL. */
static void
keep (LnRequestBytes *bytes, char c)
{
  if (bytes->length + 1 < sizeof bytes->line)
    {
      bytes->line[bytes->length] = c;
      bytes->line[bytes->length + 1] = '\0';
    }
  bytes->length++;
}

static void
begin_line (LnRequestBytes *bytes, int state)
{
  bytes->state = state;
  bytes->length = 0;
  bytes->line_bytes = 0;
  bytes->line[0] = '\0';
}

static void
begin_request (LnRequestBytes *bytes)
{
  begin_line (bytes, REQUEST_LINE);
  bytes->has_host = false;
  bytes->is_old = false;
  bytes->is_chunked = false;
  bytes->left = 0;
}

/* The value of a header of this name; NULL when the line is another one. */
static const char *
value_of (const LnRequestBytes *bytes, const char *name)
{
  size_t length = strlen (name);
  const char *value = bytes->line + length + 1;

  if (strncasecmp (bytes->line, name, length) != 0 || bytes->line[length] != ':')
    return NULL;
  while (*value == ' ' || *value == '\t')
    value++;
  return value;
}

static bool
is_blank (const char *text)
{
  return text[strspn (text, " \t")] == '\0';
}

/* Lengths and codings that contradict one another are refused elsewhere: here they only tell how
 * far the body goes. */
static void
note_header (LnRequestBytes *bytes)
{
  static const char chunked[] = "chunked";
  const char *length = value_of (bytes, "Content-Length");
  const char *coding = value_of (bytes, "Transfer-Encoding");

  bytes->has_host |= value_of (bytes, "Host") != NULL;
  if (length)
    bytes->left = strtoull (length, NULL, 10);
  if (coding)
    bytes->is_chunked = strncasecmp (coding, chunked, sizeof chunked - 1) == 0
                        && is_blank (coding + sizeof chunked - 1);
}

static bool
end_headers (LnRequestBytes *bytes)
{
  if (!bytes->has_host && !bytes->is_old)
    return false;
  bytes->heads++;
  if (bytes->is_chunked)
    begin_line (bytes, CHUNK_SIZE);
  else if (bytes->left > 0)
    bytes->state = BODY;
  else
    begin_request (bytes);
  return true;
}

/* Spaces before what may follow the size are old practice. */
static bool
read_chunk_size (LnRequestBytes *bytes)
{
  size_t digits = strspn (bytes->line, "0123456789abcdefABCDEF");
  const char *behind = bytes->line + digits;

  while (*behind == ' ' || *behind == '\t')
    behind++;
  if (digits == 0 || digits > MAX_SIZE_DIGITS || (*behind != '\0' && *behind != ';'))
    return false;
  bytes->left = strtoull (bytes->line, NULL, 16);
  if (bytes->left > 0)
    bytes->state = CHUNK;
  else
    begin_line (bytes, TRAILER_LINE);
  return true;
}

static bool
end_request_line (LnRequestBytes *bytes)
{
  /* Empty lines before a request do no harm. */
  begin_line (bytes, bytes->length == 0 ? REQUEST_LINE : HEADER_LINE);
  return true;
}

static bool
end_line (LnRequestBytes *bytes)
{
  bool is_empty = bytes->length == 0;

  switch (bytes->state)
    {
    case REQUEST_LINE:
      return end_request_line (bytes);
    case HEADER_LINE:
      if (is_empty)
        return end_headers (bytes);
      note_header (bytes);
      begin_line (bytes, HEADER_LINE);
      return true;
    case CHUNK_SIZE:
      return read_chunk_size (bytes);
    case CHUNK_END:
      begin_line (bytes, CHUNK_SIZE);
      return is_empty;
    default:
      if (is_empty)
        begin_request (bytes);
      else
        begin_line (bytes, TRAILER_LINE);
      return true;
    }
}

/* "... HTTP/1.0" at the end of a line of any length: the last bytes are looked at as they come. */
static void
note_version (LnRequestBytes *bytes, char c)
{
  static const char old[] = "HTTP/1.0";
  size_t seen = bytes->left; /* of these; the body has not begun */

  bytes->left = c == old[seen] ? seen + 1 : (size_t)(c == old[0]);
  if (bytes->left == sizeof old - 1)
    {
      bytes->is_old = true;
      bytes->left = 0;
    }
}

static bool
take_of_line (LnRequestBytes *bytes, char c)
{
  bool is_header = bytes->state == HEADER_LINE || bytes->state == TRAILER_LINE;

  bytes->line_bytes++;
  if (c == '\n')
    {
      if (bytes->state == REQUEST_LINE)
        bytes->left = 0;
      return end_line (bytes);
    }
  if (c == '\r')
    return true;
  if (c == '\0' || (is_header && bytes->length == 0 && (c == ' ' || c == '\t')))
    return false;
  if (bytes->state == REQUEST_LINE)
    note_version (bytes, c);
  keep (bytes, c);
  return true;
}

/* Returns how many bytes were of the body. */
static size_t
take_of_body (LnRequestBytes *bytes, size_t length)
{
  size_t n = bytes->left < length ? (size_t)bytes->left : length;

  bytes->left -= n;
  if (bytes->left > 0)
    return n;
  if (bytes->state == CHUNK)
    begin_line (bytes, CHUNK_END);
  else
    begin_request (bytes);
  return n;
}

size_t
ln_request_bytes_half_line (const LnRequestBytes *bytes)
{
  return bytes->state == REQUEST_LINE ? bytes->line_bytes : 0;
}

bool
ln_request_bytes_take (LnRequestBytes *bytes, const char *data, size_t length)
{
  for (size_t i = 0; i < length && !bytes->is_bad;)
    {
      if (bytes->state == BODY || bytes->state == CHUNK)
        i += take_of_body (bytes, length - i);
      else
        bytes->is_bad = !take_of_line (bytes, data[i++]);
    }
  return !bytes->is_bad;
}

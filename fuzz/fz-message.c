#include "fz-message.h"

#include "lb-alloc.h"

#include <ctype.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* The bytes of a message that are not read yet. */
typedef struct
{
  const char *bytes;
  size_t length;
  size_t at;
  bool accepts_lf; /* a line may end with LF alone */
} Reader;

/* Reads a line without its line end. */
static FzResult
read_line (Reader *reader, const char **line, size_t *length)
{
  const char *start = reader->bytes + reader->at;
  const char *end = memchr (start, '\n', reader->length - reader->at);

  if (!end)
    return FZ_INCOMPLETE;
  reader->at += (size_t)(end - start) + 1;
  *line = start;
  *length = (size_t)(end - start);
  if (*length > 0 && start[*length - 1] == '\r')
    (*length)--;
  else if (!reader->accepts_lf)
    return FZ_INVALID;
  return memchr (start, '\r', *length) || memchr (start, '\0', *length) ? FZ_INVALID : FZ_COMPLETE;
}

static bool
is_token (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    if (!isalnum ((unsigned char)text[i])
        && (text[i] == '\0' || !strchr ("!#$%&'*+-.^_`|~", text[i])))
      return false;
  return length > 0;
}

/* Splits the start line at its first two spaces. */
static FzResult
read_start_line (Reader *reader, FzMessage *message)
{
  const char *line, *second, *third;
  size_t length;
  FzResult result = read_line (reader, &line, &length);

  if (result != FZ_COMPLETE)
    return result;
  second = memchr (line, ' ', length);
  if (!second)
    return FZ_INVALID;
  second++;
  third = memchr (second, ' ', length - (size_t)(second - line));
  if (!third)
    third = line + length;
  message->words[0] = lb_strndup (line, (size_t)(second - line) - 1);
  message->words[1] = lb_strndup (second, (size_t)(third - second));
  third += third < line + length;
  message->words[2] = lb_strndup (third, length - (size_t)(third - line));
  return FZ_COMPLETE;
}

static bool
add_header (FzMessage *message, const char *line, size_t length)
{
  const char *colon = memchr (line, ':', length);
  const char *end = line + length;

  if (!colon || !is_token (line, (size_t)(colon - line)))
    return false;
  message->names = lb_realloc (message->names, (message->n_headers + 1) * sizeof (char *));
  message->values = lb_realloc (message->values, (message->n_headers + 1) * sizeof (char *));
  message->names[message->n_headers] = lb_strndup (line, (size_t)(colon - line));
  for (colon++; colon < end && (*colon == ' ' || *colon == '\t');)
    colon++;
  while (end > colon && (end[-1] == ' ' || end[-1] == '\t'))
    end--;
  message->values[message->n_headers++] = lb_strndup (colon, (size_t)(end - colon));
  return true;
}

static FzResult
read_headers (Reader *reader, FzMessage *message)
{
  const char *line;
  size_t length;
  FzResult result;

  while ((result = read_line (reader, &line, &length)) == FZ_COMPLETE && length > 0)
    if (!add_header (message, line, length))
      return FZ_INVALID;
  return result;
}

static FzResult
read_body_bytes (Reader *reader, FzMessage *message, uint64_t length)
{
  if (length > reader->length - reader->at)
    return FZ_INCOMPLETE;
  message->body = lb_realloc (message->body, message->body_length + length + 1);
  memcpy (message->body + message->body_length, reader->bytes + reader->at, length);
  message->body_length += length;
  reader->at += length;
  return FZ_COMPLETE;
}

/* Reads a number up to the end of the line, for a chunk size up to its extension. */
static bool
parse_size (const char *text, size_t length, int base, uint64_t *size)
{
  size_t n_digits = 0;

  *size = 0;
  while (n_digits < length
         && (base == 16 ? isxdigit ((unsigned char)text[n_digits])
                        : isdigit ((unsigned char)text[n_digits])))
    {
      char digit[2] = { text[n_digits++], '\0' };
      if (*size > UINT32_MAX)
        return false;
      *size = *size * (uint64_t)base + strtoull (digit, NULL, base);
    }
  if (base == 10)
    return n_digits > 0 && n_digits == length;
  return n_digits > 0 && (n_digits == length || strchr (" \t;", text[n_digits]));
}

static FzResult
read_chunks (Reader *reader, FzMessage *message)
{
  const char *line;
  size_t length;
  uint64_t size;
  FzResult result;

  for (;;)
    {
      if ((result = read_line (reader, &line, &length)) != FZ_COMPLETE)
        return result;
      if (!parse_size (line, length, 16, &size))
        return FZ_INVALID;
      if (size == 0)
        break;
      if ((result = read_body_bytes (reader, message, size)) != FZ_COMPLETE
          || (result = read_line (reader, &line, &length)) != FZ_COMPLETE)
        return result;
      if (length > 0)
        return FZ_INVALID;
    }
  FzMessage trailer = { 0 };
  result = read_headers (reader, &trailer);
  fz_message_clear (&trailer);
  return result;
}

static FzResult
read_body (Reader *reader, FzMessage *message, bool ends_with_connection)
{
  const char *length = fz_message_find_header (message, "Content-Length");
  const char *coding = fz_message_find_header (message, "Transfer-Encoding");
  uint64_t size = 0;

  message->is_chunked = coding != NULL;
  if (coding)
    return strcasecmp (coding, "chunked") == 0 && !length ? read_chunks (reader, message)
                                                          : FZ_INVALID;
  if (length && !parse_size (length, strlen (length), 10, &size))
    return FZ_INVALID;
  if (!length && ends_with_connection)
    size = reader->length - reader->at;
  return read_body_bytes (reader, message, size);
}

static size_t
count_headers (const FzMessage *message, const char *name)
{
  size_t n = 0;

  for (size_t i = 0; i < message->n_headers; i++)
    n += strcasecmp (message->names[i], name) == 0;
  return n;
}

static bool
is_version (const char *text)
{
  return strncmp (text, "HTTP/1.", 7) == 0 && isdigit ((unsigned char)text[7]) && text[8] == '\0';
}

static FzResult
read_head (Reader *reader, FzMessage *message)
{
  FzResult result;

  memset (message, 0, sizeof *message);
  if ((result = read_start_line (reader, message)) != FZ_COMPLETE
      || (result = read_headers (reader, message)) != FZ_COMPLETE)
    return result;
  return count_headers (message, "Content-Length") > 1
                 || count_headers (message, "Transfer-Encoding") > 1
             ? FZ_INVALID
             : FZ_COMPLETE;
}

FzResult
fz_message_read_request (FzMessage *message, const char *bytes, size_t length)
{
  Reader reader = { .bytes = bytes, .length = length };
  FzResult result;

  /* A server ignores empty lines before a request line. */
  while (reader.at < length && (bytes[reader.at] == '\r' || bytes[reader.at] == '\n'))
    reader.at++;
  result = read_head (&reader, message);
  if (result != FZ_COMPLETE)
    return result;
  if (!is_token (message->words[0], strlen (message->words[0])) || message->words[1][0] == '\0'
      || count_headers (message, "Host") > 1 || !is_version (message->words[2]))
    return FZ_INVALID;
  result = read_body (&reader, message, false);
  message->length = reader.at;
  return result;
}

FzResult
fz_message_read_response (FzMessage *message, const char *bytes, size_t length, bool is_head)
{
  Reader reader = { .bytes = bytes, .length = length, .accepts_lf = true };
  FzResult result;
  int status = 0;

  do
    {
      if (status != 0)
        fz_message_clear (message);
      if ((result = read_head (&reader, message)) != FZ_COMPLETE)
        return result;
      if (!is_version (message->words[0]) || strlen (message->words[1]) != 3)
        return FZ_INVALID;
      status = atoi (message->words[1]);
    }
  while (status == 100);
  if (is_head || status == 204 || status == 304)
    return FZ_COMPLETE;
  result = read_body (&reader, message, true);
  message->length = reader.at;
  return result;
}

const char *
fz_message_find_header (const FzMessage *message, const char *name)
{
  for (size_t i = 0; i < message->n_headers; i++)
    if (strcasecmp (message->names[i], name) == 0)
      return message->values[i];
  return NULL;
}

void
fz_message_clear (FzMessage *message)
{
  for (size_t i = 0; i < 3; i++)
    free (message->words[i]);
  for (size_t i = 0; i < message->n_headers; i++)
    {
      free (message->names[i]);
      free (message->values[i]);
    }
  free (message->names);
  free (message->values);
  free (message->body);
  memset (message, 0, sizeof *message);
}

#include "ln-request-scanner.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Maximum number of hexadecimal digits in a chunk size: the size is then below 2^60 and fits into
 * 64 bits, and no allowed body needs more digits. */
#define MAX_CHUNK_SIZE_DIGITS 15

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

/* Counts a character of the current line and stores the character if line has room. The stored text
 * stays NUL-terminated. */
static void
append_char_to_line (LnRequestScanner *scanner, char c)
{
  if (scanner->length + 1 < sizeof scanner->line)
    {
      scanner->line[scanner->length] = c;
      scanner->line[scanner->length + 1] = '\0';
    }
  scanner->length++;
}

static void
begin_scanning_line (LnRequestScanner *scanner, int state)
{
  scanner->state = state;
  scanner->length = 0;
  scanner->line_bytes = 0;
  scanner->line[0] = '\0';
}

static void
begin_scanning_request (LnRequestScanner *scanner)
{
  begin_scanning_line (scanner, REQUEST_LINE);
  scanner->has_host = false;
  scanner->is_http_1_0 = false;
  scanner->is_chunked = false;
  scanner->remaining = 0;
}

static void
finish_request (LnRequestScanner *scanner)
{
  scanner->n_complete++;
  begin_scanning_request (scanner);
}

/* Returns the value of the current header line, or NULL if the header has another name. */
static const char *
find_header_value (const LnRequestScanner *scanner, const char *name)
{
  size_t length = strlen (name);
  const char *value = scanner->line + length + 1;

  if (strncasecmp (scanner->line, name, length) != 0 || scanner->line[length] != ':')
    return NULL;
  while (*value == ' ' || *value == '\t')
    value++;
  return value;
}

static bool
is_blank_text (const char *text)
{
  return text[strspn (text, " \t")] == '\0';
}

/* Reads from the current header line whether Host is present and how long the body is. ln-framing.c
 * refuses contradictory lengths and codings. */
static void
parse_header_line (LnRequestScanner *scanner)
{
  static const char chunked[] = "chunked";
  const char *content_length = find_header_value (scanner, "Content-Length");
  const char *transfer_coding = find_header_value (scanner, "Transfer-Encoding");

  scanner->has_host |= find_header_value (scanner, "Host") != NULL;
  if (content_length)
    scanner->remaining = strtoull (content_length, NULL, 10);
  if (transfer_coding)
    scanner->is_chunked = strncasecmp (transfer_coding, chunked, sizeof chunked - 1) == 0
                          && is_blank_text (transfer_coding + sizeof chunked - 1);
}

/* Returns false when a required Host header is missing. */
static bool
finish_headers (LnRequestScanner *scanner)
{
  if (!scanner->has_host && !scanner->is_http_1_0)
    return false;
  scanner->n_headers_complete++;
  if (scanner->is_chunked)
    begin_scanning_line (scanner, CHUNK_SIZE);
  else if (scanner->remaining > 0)
    scanner->state = BODY;
  else
    finish_request (scanner);
  return true;
}

static void
rewrite_chunk_line (LnRequestScanner *scanner, uint64_t chunk_size)
{
  const LnRequestRewrite rewrite
      = { .start = scanner->chunk_line_at,
          .length = (size_t)(scanner->n_scanned - scanner->chunk_line_at),
          .chunk_size = chunk_size };

  if (scanner->on_rewrite)
    scanner->on_rewrite (&rewrite, scanner->user);
}

/* Reads a chunk's size. Accepts spaces between the size and a chunk extension, since some older
 * senders write them. Returns false when the size is invalid. */
static bool
parse_chunk_size (LnRequestScanner *scanner)
{
  size_t digits = strspn (scanner->line, "0123456789abcdefABCDEF");
  const char *rest = scanner->line + digits;

  while (*rest == ' ' || *rest == '\t')
    rest++;
  if (digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS || (*rest != '\0' && *rest != ';'))
    return false;
  scanner->remaining = strtoull (scanner->line, NULL, 16);
  if (scanner->remaining == 0)
    {
      scanner->needs_rewrite = scanner->length > digits;
      begin_scanning_line (scanner, TRAILER_LINE);
      return true;
    }
  scanner->state = CHUNK;
  if (scanner->length > digits)
    rewrite_chunk_line (scanner, scanner->remaining);
  return true;
}

static bool
finish_request_line (LnRequestScanner *scanner)
{
  /* RFC 9112, 2.2: empty lines before a request line are ignored. */
  begin_scanning_line (scanner, scanner->length == 0 ? REQUEST_LINE : HEADER_LINE);
  return true;
}

static void
finish_trailer_line (LnRequestScanner *scanner)
{
  if (scanner->length > 0)
    {
      scanner->needs_rewrite = true;
      begin_scanning_line (scanner, TRAILER_LINE);
      return;
    }
  if (scanner->needs_rewrite)
    rewrite_chunk_line (scanner, 0);
  finish_request (scanner);
}

static bool
finish_scanned_line (LnRequestScanner *scanner)
{
  bool is_empty = scanner->length == 0;

  switch (scanner->state)
    {
    case REQUEST_LINE:
      return finish_request_line (scanner);
    case HEADER_LINE:
      if (is_empty)
        return finish_headers (scanner);
      parse_header_line (scanner);
      begin_scanning_line (scanner, HEADER_LINE);
      return true;
    case CHUNK_SIZE:
      return parse_chunk_size (scanner);
    case CHUNK_END:
      begin_scanning_line (scanner, CHUNK_SIZE);
      return is_empty;
    default:
      finish_trailer_line (scanner);
      return true;
    }
}

/* Detects "HTTP/1.0" at the end of a request line of any length, one character at a time. */
static void
match_http_1_0_version (LnRequestScanner *scanner, char c)
{
  static const char version[] = "HTTP/1.0";
  size_t n_matched = scanner->remaining;

  scanner->remaining = c == version[n_matched] ? n_matched + 1 : (size_t)(c == version[0]);
  if (scanner->remaining == sizeof version - 1)
    {
      scanner->is_http_1_0 = true;
      scanner->remaining = 0;
    }
}

static bool
scan_line_char (LnRequestScanner *scanner, char c)
{
  bool is_header = scanner->state == HEADER_LINE || scanner->state == TRAILER_LINE;

  if (scanner->state == CHUNK_SIZE && scanner->line_bytes == 0)
    scanner->chunk_line_at = scanner->n_scanned;
  scanner->line_bytes++;
  scanner->n_scanned++;
  if (c == '\n')
    {
      if (scanner->state == REQUEST_LINE)
        scanner->remaining = 0;
      return finish_scanned_line (scanner);
    }
  if (c == '\r')
    return true;
  if (c == '\0' || (is_header && scanner->length == 0 && (c == ' ' || c == '\t')))
    return false;
  if (scanner->state == REQUEST_LINE)
    match_http_1_0_version (scanner, c);
  append_char_to_line (scanner, c);
  return true;
}

/* Skips the bytes of the current body or chunk. Returns the number of bytes skipped, at most
 * length. */
static size_t
skip_body_or_chunk_bytes (LnRequestScanner *scanner, size_t length)
{
  size_t n_body = scanner->remaining < length ? (size_t)scanner->remaining : length;

  scanner->remaining -= n_body;
  scanner->n_scanned += n_body;
  if (scanner->remaining > 0)
    return n_body;
  if (scanner->state == CHUNK)
    begin_scanning_line (scanner, CHUNK_END);
  else
    finish_request (scanner);
  return n_body;
}

size_t
ln_request_scanner_get_partial_line_length (const LnRequestScanner *scanner)
{
  return scanner->state == REQUEST_LINE ? scanner->line_bytes : 0;
}

size_t
ln_request_scanner_get_partial_chunk_length (const LnRequestScanner *scanner)
{
  bool is_partial
      = scanner->state == TRAILER_LINE || (scanner->state == CHUNK_SIZE && scanner->line_bytes > 0);

  return is_partial ? (size_t)(scanner->n_scanned - scanner->chunk_line_at) : 0;
}

bool
ln_request_scanner_feed (LnRequestScanner *scanner, const char *data, size_t length)
{
  for (size_t i = 0; i < length && !scanner->is_malformed;)
    {
      if (scanner->state == BODY || scanner->state == CHUNK)
        i += skip_body_or_chunk_bytes (scanner, length - i);
      else
        scanner->is_malformed = !scan_line_char (scanner, data[i++]);
    }
  return !scanner->is_malformed;
}

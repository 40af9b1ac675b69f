#include "lh-message-scanner.h"

#include "lh-request-check.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Maximum number of hexadecimal digits in a chunk size: the size is then below 2^60 and fits into
 * 64 bits, and no allowed body needs more digits. */
#define MAX_CHUNK_SIZE_DIGITS 15

/* A version that this daemon reads is this text and a digit. */
static const char version_prefix[] = "HTTP/1.";
#define VERSION_LENGTH sizeof version_prefix

enum
{
  REQUEST_LINE,
  HEADER_LINE,
  BODY,
  CHUNK_SIZE,
  CHUNK,
  CHUNK_END,
  TRAILER_LINE,
  STATUS_LINE,
  UNTIL_CLOSE, /* body of a response without a length */
  RESPONSE_END
};

/* Counts a character of the current line and stores the character if line has room. The stored text
 * stays NUL-terminated. */
static void
append_char_to_line (LhMessageScanner *scanner, char c)
{
  if (scanner->length + 1 < sizeof scanner->line)
    {
      scanner->line[scanner->length] = c;
      scanner->line[scanner->length + 1] = '\0';
    }
  scanner->length++;
  if (scanner->length > scanner->longest_line)
    scanner->longest_line = scanner->length;
}

static void
begin_scanning_line (LhMessageScanner *scanner, int state)
{
  scanner->state = state;
  scanner->length = 0;
  scanner->line_bytes = 0;
  scanner->line[0] = '\0';
  scanner->has_name = false;
}

static void
begin_scanning_request (LhMessageScanner *scanner)
{
  begin_scanning_line (scanner, REQUEST_LINE);
  scanner->has_host = false;
  scanner->is_http_1_0 = false;
  scanner->n_spaces = 0;
  scanner->is_chunked = false;
  scanner->remaining = 0;
}

static void
finish_message (LhMessageScanner *scanner)
{
  scanner->n_complete++;
  if (scanner->is_response)
    scanner->state = RESPONSE_END;
  else
    begin_scanning_request (scanner);
}

/* Returns the value of the current header line, or NULL if the header has another name. */
static const char *
find_header_value (const LhMessageScanner *scanner, const char *name)
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

/* Reads from the current header line whether Host is present and how long the body is. lh-framing.c
 * refuses contradictory lengths and codings. */
static void
parse_header_line (LhMessageScanner *scanner)
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

/* Returns false when the end of the message is not known with the current header line. */
static bool
add_response_header (LhMessageScanner *scanner)
{
  const char *value = strchr (scanner->line, ':');
  size_t length = 0;
  bool is_cut = scanner->length >= sizeof scanner->line;

  if (is_cut
      && (find_header_value (scanner, "Content-Length")
          || find_header_value (scanner, "Transfer-Encoding")))
    return false;
  if (!value)
    return true;
  value += 1 + strspn (value + 1, " \t");
  for (length = strlen (value); length > 0 && is_blank_text (value + length - 1);)
    length--;
  lh_framing_add_header (&scanner->framing, scanner->line, strcspn (scanner->line, ":"), value,
                         length);
  return true;
}

/* Returns false when the headers of a response do not say where it ends, or say it twice. */
static bool
finish_response_headers (LhMessageScanner *scanner)
{
  if (scanner->status / 100 == 1)
    {
      begin_scanning_line (scanner, STATUS_LINE);
      scanner->framing = (LhFraming){ 0 };
      return true;
    }
  if (lh_framing_is_ambiguous (&scanner->framing))
    return false;
  scanner->n_headers_complete++;
  if (scanner->is_bodiless || scanner->status == 204 || scanner->status == 304)
    finish_message (scanner);
  else if (scanner->framing.has_transfer_encoding)
    begin_scanning_line (scanner, CHUNK_SIZE);
  else if (!scanner->framing.has_content_length)
    scanner->state = UNTIL_CLOSE;
  else if (scanner->remaining > 0)
    scanner->state = BODY;
  else
    finish_message (scanner);
  return true;
}

/* Returns false when a required Host header is missing. */
static bool
finish_headers (LhMessageScanner *scanner)
{
  if (scanner->is_response)
    return finish_response_headers (scanner);
  if (!scanner->has_host && !scanner->is_http_1_0)
    return false;
  scanner->n_headers_complete++;
  if (scanner->is_chunked)
    begin_scanning_line (scanner, CHUNK_SIZE);
  else if (scanner->remaining > 0)
    scanner->state = BODY;
  else
    finish_message (scanner);
  return true;
}

static void
report_rewrite (LhMessageScanner *scanner, uint64_t start, const char *text)
{
  const LhRewrite rewrite
      = { .start = start, .length = (size_t)(scanner->n_scanned - start), .text = text };

  if (scanner->on_rewrite)
    scanner->on_rewrite (&rewrite, scanner->user);
}

/* Replaces a chunk size line by the size alone, and after size 0 of a request also the trailer
 * fields by the empty line that ends the request. */
static void
rewrite_chunk_line (LhMessageScanner *scanner, uint64_t chunk_size)
{
  bool has_empty_line = chunk_size == 0 && !scanner->is_response;
  char text[24];

  snprintf (text, sizeof text, "%llx\r\n%s", (unsigned long long)chunk_size,
            has_empty_line ? "\r\n" : "");
  report_rewrite (scanner, scanner->chunk_line_at, text);
}

/* Replaces a capital letter that was just scanned in the name of a transfer coding. */
static void
rewrite_letter_of_coding (LhMessageScanner *scanner, char c)
{
  const char text[] = { (char)tolower ((unsigned char)c), '\0' };

  if (isupper ((unsigned char)c) && find_header_value (scanner, "Transfer-Encoding"))
    report_rewrite (scanner, scanner->n_scanned - 1, text);
}

/* Reads a chunk's size. Accepts spaces between the size and a chunk extension, since some older
 * senders write them. Returns false when the size is invalid. */
static bool
parse_chunk_size (LhMessageScanner *scanner)
{
  size_t digits = strspn (scanner->line, "0123456789abcdefABCDEF");
  const char *rest = scanner->line + digits;

  while (*rest == ' ' || *rest == '\t')
    rest++;
  if (digits == 0 || digits > MAX_CHUNK_SIZE_DIGITS || (*rest != '\0' && *rest != ';'))
    return false;
  scanner->remaining = strtoull (scanner->line, NULL, 16);
  if (scanner->is_response && scanner->length > digits)
    rewrite_chunk_line (scanner, scanner->remaining);
  if (scanner->remaining == 0)
    {
      scanner->needs_rewrite = scanner->length > digits;
      begin_scanning_line (scanner, TRAILER_LINE);
      return true;
    }
  scanner->state = CHUNK;
  if (scanner->length > digits && !scanner->is_response)
    rewrite_chunk_line (scanner, scanner->remaining);
  return true;
}

static bool
finish_request_line (LhMessageScanner *scanner)
{
  if (scanner->length > 0 && scanner->remaining != VERSION_LENGTH)
    return false;
  scanner->remaining = 0;
  /* RFC 9112, 2.2: empty lines before a request line are ignored. */
  begin_scanning_line (scanner, scanner->length == 0 ? REQUEST_LINE : HEADER_LINE);
  return true;
}

static void
finish_trailer_line (LhMessageScanner *scanner)
{
  if (scanner->length > 0)
    {
      scanner->needs_rewrite = true;
      begin_scanning_line (scanner, TRAILER_LINE);
      return;
    }
  if (scanner->needs_rewrite && !scanner->is_response)
    rewrite_chunk_line (scanner, 0);
  finish_message (scanner);
}

static bool
is_header_line (const LhMessageScanner *scanner)
{
  return scanner->state == HEADER_LINE || scanner->state == TRAILER_LINE;
}

static bool
finish_scanned_line (LhMessageScanner *scanner)
{
  bool is_empty = scanner->length == 0;

  if (is_header_line (scanner) && !is_empty && !scanner->has_name)
    return false;
  switch (scanner->state)
    {
    case REQUEST_LINE:
      return finish_request_line (scanner);
    case HEADER_LINE:
      if (is_empty)
        return finish_headers (scanner);
      if (scanner->is_response && !add_response_header (scanner))
        return false;
      parse_header_line (scanner);
      begin_scanning_line (scanner, HEADER_LINE);
      return true;
    case STATUS_LINE:
      scanner->status = atoi (scanner->line + strcspn (scanner->line, " "));
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

/* Whether the next character of the third word continues "HTTP/1." and a digit. */
static bool
scan_version_char (LhMessageScanner *scanner, char c)
{
  size_t n_matched = scanner->remaining++;

  scanner->is_http_1_0 = n_matched == VERSION_LENGTH - 1 && c == '0';
  if (n_matched < VERSION_LENGTH - 1)
    return c == version_prefix[n_matched];
  return n_matched == VERSION_LENGTH - 1 && isdigit ((unsigned char)c);
}

/* Returns false unless the line may still become three words with one space between them and a
 * known version, as RFC 9112, 3, has it. evhtp reads more as a request, of which other servers find
 * another path. */
static bool
scan_request_line_char (LhMessageScanner *scanner, char last, char c)
{
  if (c == ' ')
    return scanner->length > 0 && last != ' ' && ++scanner->n_spaces <= 2;
  if ((unsigned char)c < ' ' || c == '\x7f' || c == '#')
    return false;
  return scanner->n_spaces < 2 || scan_version_char (scanner, c);
}

/* Returns false unless the line may still become a header field, whose name ends at a colon. */
static bool
scan_header_name_char (LhMessageScanner *scanner, char c)
{
  if (scanner->has_name)
    return true;
  scanner->has_name = c == ':' && scanner->length > 0;
  return scanner->has_name || lh_is_header_name (&c, 1);
}

static bool
scan_line_char (LhMessageScanner *scanner, char c)
{
  char last = scanner->last;

  if (scanner->state == CHUNK_SIZE && scanner->line_bytes == 0)
    scanner->chunk_line_at = scanner->n_scanned;
  scanner->line_bytes++;
  scanner->n_scanned++;
  /* RFC 9112, 2.2: a CR without LF is invalid, and a recipient need not accept an LF without CR. At
   * some of the latter evhtp reads on where other servers find the end of the headers. */
  if ((last == '\r' && c != '\n') || (c == '\n' && last != '\r' && !scanner->is_response))
    return false;
  scanner->last = c;
  if (c == '\n')
    return finish_scanned_line (scanner);
  if (c == '\r')
    return true;
  if (c == '\0' || (scanner->state == REQUEST_LINE && !scan_request_line_char (scanner, last, c))
      || (is_header_line (scanner) && !scan_header_name_char (scanner, c)))
    return false;
  append_char_to_line (scanner, c);
  if (scanner->state == HEADER_LINE)
    rewrite_letter_of_coding (scanner, c);
  return true;
}

/* Skips the bytes of the current body or chunk. Returns the number of bytes skipped, at most
 * length. */
static size_t
skip_body_or_chunk_bytes (LhMessageScanner *scanner, size_t length)
{
  size_t n_body = scanner->remaining < length ? (size_t)scanner->remaining : length;

  scanner->remaining -= n_body;
  scanner->n_scanned += n_body;
  if (scanner->remaining > 0)
    return n_body;
  if (scanner->state == CHUNK)
    begin_scanning_line (scanner, CHUNK_END);
  else
    finish_message (scanner);
  return n_body;
}

size_t
lh_message_scanner_get_partial_line_length (const LhMessageScanner *scanner)
{
  return scanner->state == REQUEST_LINE ? scanner->line_bytes : 0;
}

size_t
lh_message_scanner_get_partial_chunk_length (const LhMessageScanner *scanner)
{
  bool is_partial
      = scanner->state == TRAILER_LINE || (scanner->state == CHUNK_SIZE && scanner->line_bytes > 0);

  return is_partial ? (size_t)(scanner->n_scanned - scanner->chunk_line_at) : 0;
}

bool
lh_message_scanner_ends_with_connection (const LhMessageScanner *scanner)
{
  return scanner->state == UNTIL_CLOSE;
}

bool
lh_message_scanner_feed (LhMessageScanner *scanner, const char *data, size_t length)
{
  if (scanner->is_response && scanner->n_scanned == 0 && scanner->state == REQUEST_LINE)
    scanner->state = STATUS_LINE;
  for (size_t i = 0; i < length && !scanner->is_malformed;)
    {
      if (scanner->state == UNTIL_CLOSE || scanner->state == RESPONSE_END)
        break;
      if (scanner->state == BODY || scanner->state == CHUNK)
        i += skip_body_or_chunk_bytes (scanner, length - i);
      else
        scanner->is_malformed = !scan_line_char (scanner, data[i++]);
    }
  return !scanner->is_malformed;
}

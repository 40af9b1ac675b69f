#ifndef LH_MESSAGE_SCANNER_H
#define LH_MESSAGE_SCANNER_H

#include "lh-framing.h"

#include <stdint.h>

/* Bytes that the HTTP library misreads although they are valid, and what to replace them by: the
 * same number of bytes with the same meaning. */
typedef struct
{
  uint64_t start; /* offset in all bytes scanned of the first byte to replace */
  size_t length;
  const char *text; /* replaces the last bytes; those before are replaced by zeros ('0') */
} LhRewrite;

typedef void (*LhRewriter) (const LhRewrite *rewrite, void *user);

/* Scans the bytes of requests, or of the response to one request, before the HTTP library parses
 * them, to find what RFC 9112 (2.2, 3, 5, 6.3, 7.1) forbids and where each message ends. The
 * library misreads some forbidden messages: in evhtp, a NUL ends the request target, and after a
 * folded header line or an overlong chunk size it waits for ever; evhttp takes any text for a
 * transfer coding and the first of two lengths. Another server may parse the same bytes
 * differently, so forbidden messages are refused.
 *
 * evhtp also misreads chunk extensions, for whose end it waits for ever, and trailer fields, of
 * which it takes the second one for the next request. Recipients may ignore both (RFC 9112, 7.1),
 * so the scanner has them rewritten. It reads no body at all if "chunked" has a capital letter,
 * which is allowed (RFC 9110, 10.1.4) and rewritten too. evhttp refuses chunk extensions. */
typedef struct
{
  bool is_response;      /* scans one response instead of requests */
  bool is_bodiless;      /* the response is one to HEAD, which has no body */
  LhRewriter on_rewrite; /* NULL: nothing is rewritten */
  void *user;
  uint64_t n_scanned;     /* number of bytes scanned */
  uint64_t chunk_line_at; /* offset of the current or last line with a chunk size */
  bool needs_rewrite;     /* the last chunk has an extension or trailer fields */
  int state;           /* part of the message being scanned: enum value of lh-message-scanner.c */
  char line[96];       /* first bytes of the current line; longer than any text searched for */
  size_t length;       /* length of the whole current line, without the line end */
  size_t longest_line; /* length of the longest line so far */
  size_t line_bytes;   /* bytes received of the current line, including the line end */
  char last;           /* last character scanned of the lines; LF at the start of a line */
  bool has_name;       /* the current header line has a name and a colon */
  int n_spaces;        /* spaces of the current request line */
  int status;          /* of the response */
  LhFraming framing;   /* headers of the response */
  bool has_host;
  bool is_http_1_0; /* an HTTP/1.0 request, which needs no Host header */
  bool is_chunked;
  /* Number of bytes of the body or chunk not yet received. Within a request line, the number of
   * characters of the version received. */
  uint64_t remaining;
  uint64_t n_headers_complete; /* number of valid messages with complete headers */
  uint64_t n_complete;         /* number of valid messages that are complete */
  bool is_malformed;
} LhMessageScanner;

/* Returns the number of bytes received of an incomplete request line; 0: none. */
size_t lh_message_scanner_get_partial_line_length (const LhMessageScanner *scanner);
/* Returns the number of bytes of a chunk size line, or of a last chunk and its trailer fields, that
 * is incomplete; 0: none. The parser must not get these bytes before they are complete. */
size_t lh_message_scanner_get_partial_chunk_length (const LhMessageScanner *scanner);
/* Whether the response has no end but that of its connection. */
bool lh_message_scanner_ends_with_connection (const LhMessageScanner *scanner);
/* Scans the next bytes received. Returns false when these or earlier bytes contain a malformed
 * message. Bytes after the response are ignored. */
bool lh_message_scanner_feed (LhMessageScanner *scanner, const char *data, size_t length);

#endif

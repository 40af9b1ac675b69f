#ifndef LN_REQUEST_SCANNER_H
#define LN_REQUEST_SCANNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes that evhtp's parser misreads although they are valid, and what to replace them by: the same
 * number of bytes with the same meaning. */
typedef struct
{
  uint64_t start; /* offset in all bytes scanned of the first byte to replace */
  size_t length;
  const char *text; /* replaces the last bytes; those before are replaced by zeros ('0') */
} LnRequestRewrite;

typedef void (*LnRequestRewriter) (const LnRequestRewrite *rewrite, void *user);

/* Scans the bytes of a caller's requests before evhtp parses them, to find requests that RFC 9112
 * (2.2, 3.2, 5.2, 7.1) forbids. evhtp misreads some of these requests: a NUL ends the request
 * target, and after a folded header line or an overlong chunk size evhtp waits for ever. A server
 * behind this daemon may parse the same bytes differently, so forbidden requests are refused.
 *
 * evhtp also misreads chunk extensions, for whose end it waits for ever, and trailer fields, of
 * which it takes the second one for the next request. Recipients may ignore both (RFC 9112, 7.1),
 * so the scanner has them rewritten. It reads no body at all if "chunked" has a capital letter,
 * which is allowed (RFC 9110, 10.1.4) and rewritten too. */
typedef struct
{
  LnRequestRewriter on_rewrite; /* NULL: nothing is rewritten */
  void *user;
  uint64_t n_scanned;     /* number of bytes scanned */
  uint64_t chunk_line_at; /* offset of the current or last line with a chunk size */
  bool needs_rewrite;     /* the last chunk has an extension or trailer fields */
  int state;         /* part of the request being scanned: enum value of ln-request-scanner.c */
  char line[96];     /* first bytes of the current line; longer than any text searched for */
  size_t length;     /* length of the whole current line, without the line end */
  size_t line_bytes; /* bytes received of the current line, including the line end */
  char last;         /* last character of the current line; LF: none yet */
  int n_spaces;      /* spaces of the current request line */
  bool has_host;
  bool is_http_1_0; /* an HTTP/1.0 request, which needs no Host header */
  bool is_chunked;
  /* Number of bytes of the body or chunk not yet received. Within a request line, the number of
   * characters of the version received. */
  uint64_t remaining;
  uint64_t n_headers_complete; /* number of valid requests with complete headers */
  uint64_t n_complete;         /* number of valid requests that are complete */
  bool is_malformed;
} LnRequestScanner;

/* Returns the number of bytes received of an incomplete request line; 0: none. */
size_t ln_request_scanner_get_partial_line_length (const LnRequestScanner *scanner);
/* Returns the number of bytes of a chunk size line, or of a last chunk and its trailer fields, that
 * is incomplete; 0: none. The parser must not get these bytes before they are complete. */
size_t ln_request_scanner_get_partial_chunk_length (const LnRequestScanner *scanner);
/* Scans the next bytes received. Returns false when these or earlier bytes contain a malformed
 * request. */
bool ln_request_scanner_feed (LnRequestScanner *scanner, const char *data, size_t length);

#endif

#ifndef LN_REQUEST_SCANNER_H
#define LN_REQUEST_SCANNER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Scans the bytes of a caller's requests before the HTTP library parses them, to find requests that
 * RFC 9112 (2.2, 3.2, 5.2, 7.1) forbids. The library misreads some of these: a NUL ends the request
 * target, and it waits for ever after a folded header line or an overlong chunk size. A server
 * behind this daemon may parse the same bytes differently, so such requests are refused. */
typedef struct
{
  int state;         /* see the enum in ln-request-scanner.c */
  char line[96];     /* start of the current line; long enough for all that is searched */
  size_t length;     /* of the whole line, without its line end */
  size_t line_bytes; /* including the received part of its line end */
  bool has_host;
  bool is_http_1_0; /* does not require Host */
  bool is_chunked;
  /* Bytes of the body or chunk still to come; within a request line, the number of characters of
   * "HTTP/1.0" that its end matches. */
  uint64_t remaining;
  uint64_t n_headers_complete; /* valid requests whose header section has ended */
  bool is_malformed;
} LnRequestScanner;

/* Bytes received of an incomplete request line; 0: there is none. */
size_t ln_request_scanner_partial_line_length (const LnRequestScanner *scanner);
/* Scans the next bytes; false once a malformed request was found. */
bool ln_request_scanner_feed (LnRequestScanner *scanner, const char *data, size_t length);

#endif

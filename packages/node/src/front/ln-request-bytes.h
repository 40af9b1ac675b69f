#ifndef LN_REQUEST_BYTES_H
#define LN_REQUEST_BYTES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The bytes of a caller's requests as they come, before the HTTP library reads them. It takes some
 * of what the standard forbids for something else: a NUL ends the target for it, a folded header
 * line and a chunk size that is too large make it wait for ever. A server behind this daemon may
 * read the same bytes in another way, so such a request is refused (RFC 9112, 2.2, 3.2, 5.2, 7.1).
 */
typedef struct
{
  int state;
  char line[96];     /* its beginning; what is looked for is shorter */
  size_t length;     /* of the line, all of it but its end */
  size_t line_bytes; /* the same with what its end has so far */
  bool has_host;
  bool is_old; /* HTTP/1.0, which needs no host */
  bool is_chunked;
  uint64_t left;  /* bytes of the body or of the chunk */
  uint64_t heads; /* requests whose headers were read to their end and are none of these */
  bool is_bad;
} LnRequestBytes;

/* How many bytes of a request line have come whose end has not; 0: none waits. */
size_t ln_request_bytes_half_line (const LnRequestBytes *bytes);
/* Takes the next bytes; false once something was found that is no request. */
bool ln_request_bytes_take (LnRequestBytes *bytes, const char *data, size_t length);

#endif

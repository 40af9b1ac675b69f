#ifndef LH_STATUS_LINE_H
#define LH_STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>

#define LH_STATUS_LINE_PREFIX_SIZE 13 /* "HTTP/1.1 200" and the character behind it */

/* Checks the status line of a response, "HTTP/1.x NNN ", of which evhttp accepts any number with
 * any text behind it. Interim responses with status 100, which evhttp skips, may come before. */
typedef struct
{
  char prefix[LH_STATUS_LINE_PREFIX_SIZE];
  size_t length;     /* number of bytes in prefix */
  size_t n_newlines; /* newlines at the end of the interim response that is being skipped */
  bool is_skipping;  /* an interim response is being skipped */
  bool is_complete;  /* the status line of the final response is valid */
  bool is_invalid;
} LhStatusLine;

/* Scans the next bytes of the response. Returns false once the bytes are no response. */
bool lh_status_line_feed (LhStatusLine *line, const char *bytes, size_t length);

#endif

#include "lh-status-line.h"

#include <criterion/criterion.h>
#include <string.h>

static LhStatusLine
scan_in_segments (const char *text, size_t segment_length)
{
  LhStatusLine line = { 0 };

  for (size_t offset = 0; offset < strlen (text); offset += segment_length)
    {
      size_t n_left = strlen (text) - offset;
      lh_status_line_feed (&line, text + offset, n_left < segment_length ? n_left : segment_length);
    }
  return line;
}

Test (status_line, responses_are_accepted)
{
  static const char *const texts[]
      = { "HTTP/1.1 200 OK\r\n",
          "HTTP/1.0 404 \r\n",
          "HTTP/1.1 503\r\n",
          "HTTP/1.1 599\n",
          "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n",
          "HTTP/1.1 100\r\nX: 1\r\n\r\nHTTP/1.1 100 C\n\nHTTP/1.1 200 OK\r\n" };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    for (size_t length = 1; length < 40; length++)
      {
        const LhStatusLine line = scan_in_segments (texts[i], length);
        cr_assert (line.is_complete && !line.is_invalid, "text %zu in segments of %zu", i, length);
      }
}

/* An endpoint in trouble sends a status that is none, or bytes that are no response at all. */
Test (status_line, other_bytes_are_no_response)
{
  static const char *const texts[] = { "HTTP/1.1 000 OK\r\n",
                                       "HTTP/1.1 12 OK\r\n",
                                       "HTTP/1.1 0200 OK\r\n",
                                       "HTTP/1.1 200x OK\r\n",
                                       "HTTP/1.1 101 Switching\r\n",
                                       "HTTP/1.1 600 OK\r\n",
                                       "HTTP/1.1  200 OK\r\n",
                                       "HTTP/2.0 200 OK\r\n",
                                       "http/1.1 200 OK\r\n",
                                       "\r\nHTTP/1.1 200 OK\r\n",
                                       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 20 OK\r\n",
                                       "garbage" };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    for (size_t length = 1; length < 40; length++)
      cr_assert (scan_in_segments (texts[i], length).is_invalid, "text %zu in segments of %zu", i,
                 length);
}

#include "lh-message-scanner.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct
{
  const char *text;
  size_t length; /* length of the text in bytes; 0: the text ends at its first NUL */
} RequestSample;

static size_t
get_request_sample_length (const RequestSample *sample)
{
  return sample->length > 0 ? sample->length : strlen (sample->text);
}

/* Scans the request in segments of the given length. The result must not depend on the length. */
static bool
is_accepted_in_segments (const RequestSample *sample, size_t segment_length)
{
  LhMessageScanner scanner = { 0 };
  bool is_valid = true;

  for (size_t offset = 0; offset < get_request_sample_length (sample); offset += segment_length)
    {
      size_t n_left = get_request_sample_length (sample) - offset;
      is_valid = lh_message_scanner_feed (&scanner, sample->text + offset,
                                          n_left < segment_length ? n_left : segment_length);
    }
  return is_valid;
}

#define POST_HEAD "POST /a HTTP/1.1\r\nHost: h\r\n"

Test (request_bytes, well_formed_requests_are_accepted)
{
  static const RequestSample samples[] = {
    { "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
    { "\r\nGET /a HTTP/1.1\r\nhost:h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
    { "GET /a HTTP/1.0\r\n\r\n", 0 },
    { POST_HEAD "Content-Length: 5\r\n\r\n \0\n\n GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      sizeof POST_HEAD "Content-Length: 5\r\n\r\n \0\n\n GET / HTTP/1.1\r\nHost: h\r\n\r\n" - 1 },
    { POST_HEAD
      "Transfer-Encoding: chunked\r\n\r\n5\r\n \0\n\n \r\na;x=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n"
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      sizeof POST_HEAD
          "Transfer-Encoding: chunked\r\n\r\n5\r\n \0\n\n \r\na;x=1\r\n0123456789\r\n0\r\nT: "
          "1\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"
          - 1 }
  };

  for (size_t i = 0; i < sizeof samples / sizeof samples[0]; i++)
    for (size_t segment_length = 1; segment_length < 40; segment_length++)
      cr_assert (is_accepted_in_segments (&samples[i], segment_length),
                 "valid request %zu was rejected in segments of %zu bytes", i, segment_length);
}

/* The HTTP library misread each of these requests, or waited for more bytes without limit. */
Test (request_bytes, malformed_requests_are_detected)
{
  static const RequestSample samples[]
      = { { "GET /a HTTP/1.1\r\n\r\n", 0 },
          { "GET /a\0b HTTP/1.1\r\nHost: h\r\n\r\n", 33 },
          { POST_HEAD "X: a\r\n b\r\n\r\n", 0 },
          { POST_HEAD " X: a\r\n\r\n", 0 },
          { POST_HEAD "X: a\0b\r\n\r\n", sizeof POST_HEAD "X: a\0b\r\n\r\n" - 1 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n", 0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n\r\n", 0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nT: 1\r\n folded\r\n\r\n", 0 },
          { "GET /a  HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
          { "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
          { "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
          { " GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
          { "GET /a\r\nHost: h\r\n\r\n", 0 },
          { "GET /a HTTP/1.0\r\n\nX: b\r\n\r\n", 0 },
          { "GET /a HTTP/1.1\nHost: h\n\n", 0 },
          { "GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
          { POST_HEAD "X\r\n\r\n", 0 },
          { "GET /a HTTP/7.1\r\nHost: h\r\n\r\n", 0 },
          { "GET /a HTTP/1.10\r\nHost: h\r\n\r\n", 0 },
          { "GET /a HTTP/1.\r\nHost: h\r\n\r\n", 0 },
          { "GET /a http/1.1\r\nHost: h\r\n\r\n", 0 },
          { "GET /a\r HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
          { POST_HEAD "X: a\rb\r\n\r\n", 0 },
          { POST_HEAD "X: a\r\r\n\r\n", 0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n1\r0\r\n0123456789abcdef\r\n0\r\n\r\n",
            0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nT: 1\r2\r\n\r\n", 0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nno field\r\n\r\n", 0 },
          { POST_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nT : 1\r\n\r\n", 0 } };

  for (size_t i = 0; i < sizeof samples / sizeof samples[0]; i++)
    for (size_t segment_length = 1; segment_length < 40; segment_length++)
      cr_assert_not (is_accepted_in_segments (&samples[i], segment_length),
                     "malformed request %zu was accepted in segments of %zu bytes", i,
                     segment_length);
}

#include "ln-request-bytes.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct
{
  const char *text;
  size_t length; /* 0: to the NUL */
} Sample;

static size_t
length_of (const Sample *sample)
{
  return sample->length > 0 ? sample->length : strlen (sample->text);
}

/* In pieces of every size: a decision may not depend on where a packet ends. */
static bool
is_good (const Sample *sample, size_t piece)
{
  LnRequestBytes bytes = { 0 };
  bool good = true;

  for (size_t at = 0; at < length_of (sample); at += piece)
    {
      size_t left = length_of (sample) - at;
      good = ln_request_bytes_take (&bytes, sample->text + at, left < piece ? left : piece);
    }
  return good;
}

#define HEAD "POST /a HTTP/1.1\r\nHost: h\r\n"

Test (request_bytes, proper_requests_pass)
{
  static const Sample samples[] = {
    { "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
    { "\r\nGET /a HTTP/1.1\r\nhost:h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", 0 },
    { "GET /a HTTP/1.0\r\n\r\n", 0 },
    { HEAD "Content-Length: 5\r\n\r\n \0\n\n GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      sizeof HEAD "Content-Length: 5\r\n\r\n \0\n\n GET / HTTP/1.1\r\nHost: h\r\n\r\n" - 1 },
    { HEAD
      "Transfer-Encoding: chunked\r\n\r\n5\r\n \0\n\n \r\na;x=1\r\n0123456789\r\n0\r\nT: 1\r\n\r\n"
      "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
      sizeof HEAD
          "Transfer-Encoding: chunked\r\n\r\n5\r\n \0\n\n \r\na;x=1\r\n0123456789\r\n0\r\nT: "
          "1\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"
          - 1 }
  };

  for (size_t i = 0; i < sizeof samples / sizeof samples[0]; i++)
    for (size_t piece = 1; piece < 40; piece++)
      cr_assert (is_good (&samples[i], piece), "%zu in pieces of %zu", i, piece);
}

/* The HTTP library took each of these for something else, or waited for ever. */
Test (request_bytes, what_is_no_request_is_found)
{
  static const Sample samples[]
      = { { "GET /a HTTP/1.1\r\n\r\n", 0 },
          { "GET /a\0b HTTP/1.1\r\nHost: h\r\n\r\n", 33 },
          { HEAD "X: a\r\n b\r\n\r\n", 0 },
          { HEAD " X: a\r\n\r\n", 0 },
          { HEAD "X: a\0b\r\n\r\n", sizeof HEAD "X: a\0b\r\n\r\n" - 1 },
          { HEAD "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n", 0 },
          { HEAD "Transfer-Encoding: chunked\r\n\r\n-1\r\n", 0 },
          { HEAD "Transfer-Encoding: chunked\r\n\r\n\r\n", 0 },
          { HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", 0 },
          { HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\nT: 1\r\n folded\r\n\r\n", 0 } };

  for (size_t i = 0; i < sizeof samples / sizeof samples[0]; i++)
    for (size_t piece = 1; piece < 40; piece++)
      cr_assert_not (is_good (&samples[i], piece), "%zu in pieces of %zu", i, piece);
}

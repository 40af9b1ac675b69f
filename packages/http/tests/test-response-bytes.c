#include "lh-message-scanner.h"

#include <criterion/criterion.h>
#include <string.h>

typedef enum
{
  ENDED,           /* the response is complete */
  ENDS_WITH_CLOSE, /* the response is complete when its connection is closed */
  UNFINISHED,
  REFUSED
} Outcome;

typedef struct
{
  const char *text;
  Outcome outcome;
  bool is_bodiless; /* the response is one to HEAD */
} ResponseSample;

/* Scans the response in segments of the given length. The result must not depend on the length. */
static Outcome
scan_in_segments (const ResponseSample *sample, size_t segment_length)
{
  LhMessageScanner scanner = { .is_response = true, .is_bodiless = sample->is_bodiless };
  size_t length = strlen (sample->text);

  for (size_t offset = 0; offset < length; offset += segment_length)
    {
      size_t n_left = length - offset;
      lh_message_scanner_feed (&scanner, sample->text + offset,
                               n_left < segment_length ? n_left : segment_length);
    }
  if (scanner.is_malformed)
    return REFUSED;
  if (lh_message_scanner_ends_with_connection (&scanner))
    return ENDS_WITH_CLOSE;
  return scanner.n_complete > 0 ? ENDED : UNFINISHED;
}

static void
expect_outcomes (const ResponseSample *samples, size_t n_samples)
{
  for (size_t i = 0; i < n_samples; i++)
    for (size_t segment_length = 1; segment_length < 60; segment_length++)
      cr_assert_eq (scan_in_segments (&samples[i], segment_length), samples[i].outcome,
                    "response %zu in segments of %zu bytes", i, segment_length);
}

#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define LONG_NAME                                                                                  \
  "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" \
  "aaaa"
#define CHUNKED OK_LINE "Transfer-Encoding: Chunked\r\n\r\n"

/* Where a response ends must be known, or half of one is passed on as whole. */
Test (response_bytes, ends_of_responses_are_found)
{
  static const ResponseSample samples[]
      = { { OK_LINE "Content-Length: 3\r\n\r\nabc", ENDED, false },
          { OK_LINE "Content-Length: 3 \r\n\r\nab", UNFINISHED, false },
          { OK_LINE "content-length:0\n\n", ENDED, false },
          { "HTTP/1.1 200\r\nX:\r\n\r\nabc", ENDS_WITH_CLOSE, false },
          { "HTTP/1.1 100 Continue\r\n\r\n" OK_LINE "Content-Length: 0\r\n\r\n", ENDED, false },
          { "HTTP/1.1 204 No\r\n\r\n", ENDED, false },
          { OK_LINE "Content-Length: 3\r\n\r\n", ENDED, true },
          { CHUNKED "3;x=1\r\nabc\r\n0 \r\nT: 1\r\n\r\n", ENDED, false },
          { CHUNKED "3\r\nabc\r\n0\r\nT: 1\r\n", UNFINISHED, false },
          { CHUNKED "3\r\nabc\r\n", UNFINISHED, false } };

  expect_outcomes (samples, sizeof samples / sizeof samples[0]);
}

/* The HTTP library took each of these responses, by the first length or up to the end of the
 * connection. */
Test (response_bytes, malformed_responses_are_refused)
{
  static const ResponseSample samples[]
      = { { OK_LINE "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", REFUSED, false },
          { OK_LINE "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", REFUSED, false },
          { OK_LINE "Content-Length: +3\r\n\r\nabc", REFUSED, false },
          { OK_LINE "Transfer-Encoding: gzip\r\n\r\nabc", REFUSED, false },
          { OK_LINE "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", REFUSED,
            false },
          { OK_LINE "X: 1\r2\r\n\r\n", REFUSED, false },
          { OK_LINE "X: 1\r\n 2\r\n\r\n", REFUSED, false },
          { OK_LINE "X 1\r\n\r\n", REFUSED, false },
          { OK_LINE "X : 1\r\n\r\n", REFUSED, false },
          { OK_LINE LONG_NAME " x: 1\r\n\r\n", REFUSED, false },
          { CHUNKED "0x3\r\nabc\r\n", REFUSED, false },
          { CHUNKED "+3\r\nabc\r\n", REFUSED, false },
          { CHUNKED "3\r\nabcd\r\n", REFUSED, false } };

  expect_outcomes (samples, sizeof samples / sizeof samples[0]);
}

#include "lh-request-check.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <string.h>

static LhRequest
make_request (const char *path, const LhHeader *header)
{
  return (LhRequest){ .method = "POST",
                      .address = "127.0.0.1:1",
                      .path = path,
                      .host = "h.example",
                      .headers = header,
                      .n_headers = header ? 1 : 0 };
}

Test (request_check, proper_requests_are_accepted)
{
  static const LhHeader headers[]
      = { { "X-Prefix", "9c:300, 5d:240" }, { "x!#$%&'*+-.^_`|~9", "" }, { "X", "\tb\xc3\xa4" } };
  LbError error = { 0 };

  for (size_t i = 0; i < sizeof headers / sizeof headers[0]; i++)
    {
      const LhRequest request = make_request ("/a%20b/?q=\xc3\xa4&r=%0d%0a", &headers[i]);
      cr_assert (lh_request_check (&request, &error), "%s: %s", headers[i].name, error.detail);
    }
}

/* A line break or a space in the path or host ends the request line or the header early, and the
 * rest is read as a second request. */
Test (request_check, paths_and_hosts_that_end_early_are_refused)
{
  static const char *const texts[]
      = { "/a\r\n\r\nGET /b", "/a\n", "/a\rb", "/a b", "/a\tb", "/\x7f" };
  LbError error = { 0 };

  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      LhRequest request = make_request (texts[i], NULL);
      cr_assert_not (lh_request_check (&request, &error), "path %zu was accepted", i);
      cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
      cr_assert_str_eq (error.where, "path");
      request = make_request ("/a", NULL);
      request.host = texts[i];
      cr_assert_not (lh_request_check (&request, &error), "host %zu was accepted", i);
    }
  const LhRequest empty = make_request ("", NULL);
  cr_assert_not (lh_request_check (&empty, &error));
}

/* A second length or coding of the body makes servers disagree about where the request ends, and a
 * line break in a header starts another header or request. */
Test (request_check, headers_that_hide_a_request_are_refused)
{
  static const LhHeader headers[] = { { "Transfer-Encoding", "chunked" },
                                      { "transfer-encoding", "identity" },
                                      { "Content-Length", "0" },
                                      { "Host", "other.example" },
                                      { "Connection", "close" },
                                      { "Transfer-Encoding ", "chunked" },
                                      { "X:Y", "1" },
                                      { "X\r\nY", "1" },
                                      { "", "1" },
                                      { "X", "1\r\n\r\nGET /b HTTP/1.1" },
                                      { "X", "1\r\n folded" },
                                      { "X", "1\nY: 2" },
                                      { "X", NULL } };
  LbError error = { 0 };

  for (size_t i = 0; i < sizeof headers / sizeof headers[0]; i++)
    {
      const LhRequest request = make_request ("/a", &headers[i]);
      cr_assert_not (lh_request_check (&request, &error), "header %zu was accepted", i);
      cr_assert_eq (error.code, LB_ERROR_BAD_VALUE);
    }
}

/* Whatever part of the program sends a request, one that hides another is never written. */
Test (request_check, no_fetch_starts_for_a_request_that_hides_another)
{
  static const LhHeader coding = { "Transfer-Encoding", "chunked" };
  const LhRequest requests[]
      = { make_request ("/a HTTP/1.1\r\n\r\nGET /b", NULL), make_request ("/a", &coding) };
  const LhHandlers handlers = { 0 };
  struct event_base *base = event_base_new ();
  LhPool *pool = lh_pool_new (base);
  LbError error = { 0 };

  for (size_t i = 0; i < sizeof requests / sizeof requests[0]; i++)
    cr_assert_null (lh_fetch_start (pool, &requests[i], &handlers, NULL, &error));
  lh_pool_free (pool);
  event_base_free (base);
}

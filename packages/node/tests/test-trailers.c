#include "node-fixture.h"

/* A daemon with one endpoint of service "s", which the test plays. */
typedef struct
{
  Fixture f;
  int listener;
} Setup;

static void
setup_init (Setup *s)
{
  LbName address;
  const char *services[] = { address, NULL };

  fixture_init_settings_and_event_base (&s->f);
  s->listener = fixture_open_listener (address);
  fixture_start_front_and_calls (&s->f);
  fixture_apply_engines_and_services (&s->f, NULL, services);
}

static void
setup_clear (Setup *s)
{
  close (s->listener);
  fixture_clear (&s->f);
}

/* Sends a request whose body, "abc", is followed by the trailer fields. */
static void
send_chunked_request (TestConnection *caller, const char *path, const char *trailer)
{
  char *text = lb_asprintf ("POST %s HTTP/1.1\r\nHost: h\r\nX-First: 1\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n%s\r\n",
                            path, trailer);

  connection_send_text (caller, text);
  free (text);
}

/* Accepts the call at the endpoint, asserts that it has no trailer field, and answers it. */
static void
answer_call_without_trailer (Setup *s, TestConnection *caller, const char *trailer)
{
  TestConnection endpoint;

  endpoint_accept_call (&s->f, s->listener, &endpoint);
  FIXTURE_WAIT_UNTIL (&s->f, connection_has_received (&endpoint, "\r\n\r\nabc"));
  cr_assert (strstr (endpoint.text, "X-First: 1\r\n"), "header lost beside %s", trailer);
  cr_assert_not (strstr (endpoint.text, "trailing"), "trailer was forwarded: %s", endpoint.text);
  connection_send_text (&endpoint, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                   "Connection: close\r\n\r\nok");
  FIXTURE_WAIT_UNTIL (&s->f, connection_has_received (caller, "\r\n\r\nok"));
  cr_assert (strstr (caller->text, "HTTP/1.1 200"), "%s got %s", trailer, caller->text);
  connection_close (&endpoint);
}

/* A proper request ends with trailer fields. The process must forward the request without them,
 * instead of crashing, and must read the next request of the connection where it begins. */
Test (trailers, fields_after_the_last_chunk_are_dropped)
{
  static const char *const trailers[] = { "trailing: 1\r\n",
                                          "trailing:\r\n",
                                          "trailing: 1\r\nx-trailing: 2\r\n",
                                          "Content-Length: 5\r\nx-trailing: 1\r\n",
                                          "Transfer-Encoding: chunked\r\n",
                                          "Host: trailing\r\n",
                                          "x-ticket: trailing\r\n",
                                          "Connection: close\r\n" };
  Setup s;
  TestConnection caller;

  setup_init (&s);
  for (size_t i = 0; i < sizeof trailers / sizeof trailers[0]; i++)
    {
      caller_connect (&s.f, &caller);
      for (int n = 0; n < 2; n++)
        {
          send_chunked_request (&caller, "/services/s/a", trailers[i]);
          answer_call_without_trailer (&s, &caller, trailers[i]);
          connection_clear_received_text (&caller);
        }
      connection_close (&caller);
    }
  setup_clear (&s);
}

#define CHUNKED_HEAD                                                                               \
  "POST /services/s/a HTTP/1.1\r\nHost: h\r\nX-First: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
#define NEXT_REQUEST                                                                               \
  "POST /services/s/b HTTP/1.1\r\nHost: h\r\nX-First: 1\r\nContent-Length: 3\r\n\r\nabc"

/* Sends the request and the next one in two segments, the first with first_length bytes, and
 * asserts that the endpoint gets both with the body "abc". */
static void
expect_both_requests_run (Setup *s, const char *chunks, size_t first_length)
{
  char *text = lb_asprintf (CHUNKED_HEAD "%s" NEXT_REQUEST, chunks);
  char *first = lb_strndup (text, first_length);
  TestConnection caller;

  caller_connect (&s->f, &caller);
  connection_send_text (&caller, first);
  for (int i = 0; i < 3; i++)
    fixture_run_event_loop_once (&s->f);
  connection_send_text (&caller, text + first_length);
  for (int n = 0; n < 2; n++)
    {
      answer_call_without_trailer (s, &caller, chunks);
      connection_clear_received_text (&caller);
    }
  connection_close (&caller);
  free (first);
  free (text);
}

/* Chunk extensions, spaces behind a chunk size and trailer fields arrive in one segment or cut at
 * any byte. The HTTP library waits for ever after an extension and takes a second trailer field for
 * a request; the caller must get its answer at once, and the next request must run unchanged. */
Test (trailers, extensions_and_trailers_are_read_wherever_they_are_cut)
{
  static const char *const chunks[]
      = { "3;x=\"trailing\"\r\nabc\r\n0\r\n\r\n", "3 \r\nabc\r\n0 \r\n\r\n",
          "1;a\r\na\r\n2\t;trailing=1\r\nbc\r\n0;trailing\r\nx: 1\r\n\r\n",
          "3\r\nabc\r\n0\r\ntrailing: 1\r\nx-trailing: 2\r\n\r\n",
          "0003\r\nabc\r\n000\r\nt:\r\n\r\n" };
  Setup s;

  setup_init (&s);
  for (size_t i = 0; i < sizeof chunks / sizeof chunks[0]; i++)
    for (size_t length = strlen (CHUNKED_HEAD);
         length <= strlen (CHUNKED_HEAD) + strlen (chunks[i]) + 4; length++)
      expect_both_requests_run (&s, chunks[i], length);
  setup_clear (&s);
}

/* The HTTP library reads "Chunked" as a request without a body, and the service ran it so. */
Test (trailers, name_of_the_coding_may_have_capitals)
{
  Setup s;
  TestConnection caller;

  setup_init (&s);
  caller_connect (&s.f, &caller);
  for (int n = 0; n < 2; n++)
    {
      connection_send_text (&caller, "POST /services/s/a HTTP/1.1\r\nHost: h\r\nX-First: 1\r\n"
                                     "TRANSFER-ENCODING: ChunkeD\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
      answer_call_without_trailer (&s, &caller, "ChunkeD");
      connection_clear_received_text (&caller);
    }
  connection_close (&caller);
  setup_clear (&s);
}

/* The trailer of a request hides another request, or is malformed. Neither the request nor what its
 * trailer holds may reach an endpoint. */
Test (trailers, malformed_trailers_are_refused)
{
  static const char *const trailers[] = { "t: 1\r\n folded\r\n\r\n", "t: 1\r\n\tfolded\r\n\r\n" };
  Setup s;
  TestConnection caller, endpoint = { 0 };

  setup_init (&s);
  for (size_t i = 0; i < sizeof trailers / sizeof trailers[0]; i++)
    {
      caller_connect (&s.f, &caller);
      send_chunked_request (&caller, "/services/s/a", trailers[i]);
      FIXTURE_WAIT_UNTIL (&s.f, connection_has_received (&caller, "not_run"));
      cr_assert (strstr (caller.text, "HTTP/1.1 400"), "expected status 400, got %s", caller.text);
      FIXTURE_WAIT_UNTIL (&s.f, connection_is_closed_by_daemon (&caller));
      connection_close (&caller);
    }
  cr_assert_not (endpoint_try_accept_call (s.listener, &endpoint), "got %s", endpoint.text);
  setup_clear (&s);
}

/* A header without a value is no trailer and reaches the endpoint. */
Test (trailers, an_empty_header_is_forwarded)
{
  Setup s;
  TestConnection caller, endpoint;

  setup_init (&s);
  caller_connect (&s.f, &caller);
  caller_send_post (&caller, "/services/s/a", "X-Empty:\r\nX-Space: \r\n", "abc");
  endpoint_accept_call (&s.f, s.listener, &endpoint);
  cr_assert (strstr (endpoint.text, "X-Empty:"), "got %s", endpoint.text);
  cr_assert (strstr (endpoint.text, "X-Space:"), "got %s", endpoint.text);
  connection_close (&endpoint);
  connection_close (&caller);
  setup_clear (&s);
}

/* A caller sends trailer fields without end. They count towards the limit of headers, or the
 * connection would fill the memory of the process. */
Test (trailers, endless_trailer_fields_are_refused)
{
  Setup s;
  TestConnection caller;
  char value[1001] = "";

  setup_init (&s);
  caller_connect (&s.f, &caller);
  memset (value, 'x', sizeof value - 1);
  char *field = lb_asprintf ("trailing: %s\r\n", value);
  connection_send_text (&caller, "POST /services/s/a HTTP/1.1\r\nHost: h\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n0\r\n");
  LbTime end = lb_clock_monotonic () + FIXTURE_WAIT_TIMEOUT;
  while (!connection_has_received (&caller, "not_run") && lb_clock_monotonic () < end)
    {
      send (caller.fd, field, strlen (field), 0);
      fixture_run_event_loop_once (&s.f);
    }
  cr_assert (strstr (caller.text, "HTTP/1.1 431"), "expected status 431, got %s", caller.text);
  free (field);
  connection_close (&caller);
  setup_clear (&s);
}

#include "node-fixture.h"

#define LARGE_BODY_BYTES 1572864

/* A daemon with memory for bodies of 2 MiB and one endpoint of service "s", which the test plays.
 */
typedef struct
{
  Fixture f;
  int listener;
  TestConnection first, second, endpoint;
} Setup;

static void
setup_init (Setup *s)
{
  LbName address;
  const char *services[] = { address, NULL };

  memset (s, 0, sizeof *s);
  fixture_init_settings_and_event_base (&s->f);
  s->f.settings.instance.memory_mb = 16;
  s->listener = fixture_open_listener (address);
  fixture_start_front_and_calls (&s->f);
  fixture_apply_engines_and_services (&s->f, NULL, services);
  caller_connect (&s->f, &s->first);
  caller_connect (&s->f, &s->second);
}

static void
setup_clear (Setup *s)
{
  connection_close (&s->first);
  connection_close (&s->second);
  close (s->listener);
  fixture_clear (&s->f);
}

static void
send_all (Setup *s, TestConnection *connection, const char *bytes, size_t length)
{
  LbTime end = lb_clock_monotonic () + FIXTURE_WAIT_TIMEOUT;

  while (length > 0 && lb_clock_monotonic () < end)
    {
      ssize_t n = send (connection->fd, bytes, length, MSG_NOSIGNAL);
      if (n > 0)
        {
          bytes += n;
          length -= (size_t)n;
        }
      fixture_run_event_loop_once (&s->f);
    }
  cr_assert_eq (length, 0, "the body is not read");
}

static void
send_head (TestConnection *caller, const char *framing)
{
  char *text = lb_asprintf ("POST /services/s/a HTTP/1.1\r\nHost: h\r\n%s\r\n", framing);

  connection_send_text (caller, text);
  free (text);
}

static void
send_body (Setup *s, TestConnection *caller, size_t length)
{
  char *body = lb_malloc (length);

  memset (body, 'x', length);
  send_all (s, caller, body, length);
  free (body);
}

/* Sends a request with a body of 1.5 MiB, which the endpoint gets and does not answer. */
static void
start_large_request (Setup *s)
{
  send_head (&s->first, "Content-Length: 1572864\r\n");
  send_body (s, &s->first, LARGE_BODY_BYTES);
  endpoint_accept_call (&s->f, s->listener, &s->endpoint);
}

static void
answer_large_request (Setup *s)
{
  LbTime end = lb_clock_monotonic () + 100 * LB_MSEC;

  while (lb_clock_monotonic () < end)
    {
      connection_receive_available (&s->endpoint);
      connection_clear_received_text (&s->endpoint);
      fixture_run_event_loop_once (&s->f);
    }
  connection_send_text (&s->endpoint, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                                      "Connection: close\r\n\r\nok");
  FIXTURE_WAIT_UNTIL (&s->f, connection_has_received (&s->first, "\r\n\r\nok"));
  connection_close (&s->endpoint);
}

static void
expect_refusal (Setup *s)
{
  FIXTURE_WAIT_UNTIL (&s->f, connection_has_received (&s->second, "not_run"));
  cr_assert (strstr (s->second.text, "HTTP/1.1 503"), "got %s", s->second.text);
  cr_assert (strstr (s->second.text, "\"overloaded\""), "got %s", s->second.text);
  cr_assert (strstr (s->second.text, "x-not-run: 1"), "got %s", s->second.text);
}

/* Large bodies at once take more memory than the machine has, and the process ends with all it
 * holds. A body beyond the bound must be refused before it is read, and pass once others ended. */
Test (body_memory, body_beyond_the_bound_is_refused_before_it_is_read)
{
  Setup s;

  setup_init (&s);
  start_large_request (&s);
  send_head (&s.second, "Content-Length: 1048576\r\n");
  expect_refusal (&s);
  answer_large_request (&s);
  connection_close (&s.second);
  caller_connect (&s.f, &s.second);
  send_head (&s.second, "Content-Length: 1048576\r\n");
  send_body (&s, &s.second, 1048576);
  endpoint_accept_call (&s.f, s.listener, &s.endpoint);
  connection_close (&s.endpoint);
  setup_clear (&s);
}

/* A chunked body does not say how long it is. It must be refused when it reaches the bound. */
Test (body_memory, chunked_body_is_refused_at_the_bound)
{
  Setup s;

  setup_init (&s);
  start_large_request (&s);
  send_head (&s.second, "Transfer-Encoding: chunked\r\n");
  connection_send_text (&s.second, "100000\r\n");
  send_body (&s, &s.second, 600000);
  expect_refusal (&s);
  setup_clear (&s);
}

/* Small requests beside a large one need no memory that is not there. */
Test (body_memory, small_body_passes_beside_a_large_one)
{
  Setup s;
  TestConnection endpoint;

  setup_init (&s);
  start_large_request (&s);
  caller_send_post (&s.second, "/services/s/b", "", "abc");
  endpoint_accept_call (&s.f, s.listener, &endpoint);
  connection_close (&endpoint);
  answer_large_request (&s);
  setup_clear (&s);
}

/* A body that is larger than the bound passes alone, as max_body_bytes allows it, and does not keep
 * small requests out. */
Test (body_memory, single_body_larger_than_the_bound_passes)
{
  Setup s;
  TestConnection endpoint;

  setup_init (&s);
  send_head (&s.first, "Content-Length: 4194304\r\n");
  send_body (&s, &s.first, 4194304);
  endpoint_accept_call (&s.f, s.listener, &s.endpoint);
  caller_send_post (&s.second, "/services/s/b", "", "abc");
  endpoint_accept_call (&s.f, s.listener, &endpoint);
  connection_close (&endpoint);
  answer_large_request (&s);
  setup_clear (&s);
}

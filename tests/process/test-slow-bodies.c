#include "pt-shared.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HALF_OF_BODY "Content-Length: 6\r\n\r\nabc"
#define SHORT_ROUTE_JSON                                                                           \
  ", {\"name\": \"short\", \"host\": \"h.example\", \"prefix\": \"/short/\", \"kind\": \"safe\","  \
  " \"timeoutMs\": 1000, \"service\": \"lookups\", \"attempts\": 3}"

/* A caller that sends its body in two halves. */
typedef struct
{
  PsCluster cluster;
  int fd;
  LbTime started_at;
  char reply[4096];
  size_t length;
} SlowCaller;

static void
run_for (SlowCaller *caller, LbTime duration)
{
  LbTime end = lb_clock_monotonic () + duration;

  PS_WAIT_UNTIL (&caller->cluster, lb_clock_monotonic () >= end);
}

static void
send_text (SlowCaller *caller, const char *text)
{
  cr_assert_eq (send (caller->fd, text, strlen (text), MSG_NOSIGNAL), (ssize_t)strlen (text));
}

/* Starts an instance that allows 500 ms for reading the headers, and sends a request to it. */
static void
start_request (SlowCaller *caller, const char *path, const char *framing_and_body)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  char *text = lb_asprintf ("POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: slow\r\n"
                            "Deadline-Ms: 20000\r\n%s",
                            path, framing_and_body);

  memset (caller, 0, sizeof *caller);
  ps_cluster_init (&caller->cluster);
  ps_put_desired_state (&caller->cluster, 2, SHORT_ROUTE_JSON);
  caller->cluster.request_read_ms = 500;
  ps_start_instance (&caller->cluster);
  to.sin_port = htons ((uint16_t)atoi (strrchr (caller->cluster.instances[0].address, ':') + 1));
  caller->fd = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (connect (caller->fd, (struct sockaddr *)&to, sizeof to), 0);
  fcntl (caller->fd, F_SETFL, O_NONBLOCK);
  caller->started_at = lb_clock_monotonic ();
  send_text (caller, text);
  free (text);
}

static bool
has_reply (SlowCaller *caller)
{
  ssize_t n = recv (caller->fd, caller->reply + caller->length,
                    sizeof caller->reply - 1 - caller->length, 0);

  caller->length += n > 0 ? (size_t)n : 0;
  return strstr (caller->reply, "\r\n\r\n") != NULL;
}

static void
end_request (SlowCaller *caller)
{
  close (caller->fd);
  ps_cluster_clear (&caller->cluster);
}

/* A caller with a slow link needs longer for its body than the limit for reading headers. Its route
 * allows that, and the request must run. */
Test (slow_bodies, body_may_take_as_long_as_its_route_allows)
{
  SlowCaller caller;

  start_request (&caller, "/lookup/a", HALF_OF_BODY);
  run_for (&caller, 1500 * LB_MSEC);
  send_text (&caller, "def");
  PS_WAIT_UNTIL (&caller.cluster, has_reply (&caller));
  cr_assert (strstr (caller.reply, "HTTP/1.1 200"), "got %s", caller.reply);
  end_request (&caller);
}

/* A body stops half-way. The caller must not wait for an answer longer than its route allows, and
 * the answer must say that nothing ran. */
Test (slow_bodies, body_that_stops_is_refused_at_the_time_limit_of_its_route)
{
  SlowCaller caller;

  start_request (&caller, "/short/a", HALF_OF_BODY);
  PS_WAIT_UNTIL (&caller.cluster, has_reply (&caller));
  cr_assert (strstr (caller.reply, "HTTP/1.1 408"), "got %s", caller.reply);
  cr_assert_geq (lb_clock_monotonic () - caller.started_at, 900 * LB_MSEC);
  cr_assert_lt (lb_clock_monotonic () - caller.started_at, 1500 * LB_MSEC);
  end_request (&caller);
}

/* A malformed body is refused at once, and not when the time of its route is over: the HTTP library
 * waits for more bytes of some of them. */
Test (slow_bodies, malformed_body_is_refused_at_once)
{
  static const char *const bodies[] = { "FFFFFFFFFFFFFFFFF\r\n",
                                        "0\r\nT: 1\r\n folded\r\n",
                                        "0\r\nT: 1\r\nno field\r\n",
                                        "1\r0\r\nabc",
                                        "1 x\r\na",
                                        "0\r\n\r",
                                        "3\nabc\n" };

  for (size_t i = 0; i < sizeof bodies / sizeof bodies[0]; i++)
    {
      SlowCaller caller;
      char *text = lb_asprintf ("Transfer-Encoding: chunked\r\n\r\n%s%s", bodies[i], "x");
      start_request (&caller, "/lookup/a", text);
      PS_WAIT_UNTIL (&caller.cluster, has_reply (&caller));
      cr_assert (strstr (caller.reply, "HTTP/1.1 400"), "body %zu got %s", i, caller.reply);
      cr_assert_lt (lb_clock_monotonic () - caller.started_at, 500 * LB_MSEC, "body %zu", i);
      end_request (&caller);
      free (text);
    }
}

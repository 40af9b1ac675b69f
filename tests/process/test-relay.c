#include "pt-relay.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static struct sockaddr_in
parse_address (const char *address)
{
  struct sockaddr_in parsed;
  int length = sizeof parsed;

  cr_assert_eq (evutil_parse_sockaddr_port (address, (struct sockaddr *)&parsed, &length), 0);
  return parsed;
}

/* Binds a socket to the address as another program would; returns 0 or errno. */
static int
try_bind (const char *address, bool reuses_address)
{
  const struct sockaddr_in parsed = parse_address (address);
  const int on = reuses_address;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  int error = bind (fd, (const struct sockaddr *)&parsed, sizeof parsed) == 0 ? 0 : errno;
  close (fd);
  return error;
}

/* Connects to the address; returns 0 or errno. */
static int
try_connect (const char *address)
{
  const struct sockaddr_in parsed = parse_address (address);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int error = connect (fd, (const struct sockaddr *)&parsed, sizeof parsed) == 0 ? 0 : errno;

  close (fd);
  return error;
}

/* Guards against a relay that gives up its port while it refuses connections: when another
 * program bound the port, the relay could not listen again, and the test was aborted. */
Test (relay, port_stays_reserved_while_connections_are_refused)
{
  struct event_base *base = event_base_new ();
  PtRelay relay;

  pt_relay_init (&relay, base, "127.0.0.1:1");
  cr_assert_eq (try_connect (relay.address), 0);
  for (int i = 0; i < 3; i++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      pt_relay_refuse_connections (&relay);
      cr_assert_eq (try_connect (relay.address), ECONNREFUSED);
      cr_assert_eq (try_bind (relay.address, false), EADDRINUSE);
      cr_assert_eq (try_bind (relay.address, true), EADDRINUSE);
      pt_relay_accept_connections (&relay);
      cr_assert_eq (try_connect (relay.address), 0);
    }
  pt_relay_clear (&relay);
  event_base_free (base);
}

/* A cleared relay releases its port. */
Test (relay, port_is_free_after_the_relay_is_cleared)
{
  struct event_base *base = event_base_new ();
  PtRelay relay;

  pt_relay_init (&relay, base, "127.0.0.1:1");
  pt_relay_refuse_connections (&relay);
  pt_relay_clear (&relay);
  cr_assert_eq (try_bind (relay.address, false), 0);
  event_base_free (base);
}

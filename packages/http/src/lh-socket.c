#include "lh-socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A middlebox may drop its state of an open connection, and all later packets of the connection are
 * lost without an error at either end. The kernel detects this by keep-alive probes if the
 * connection is idle and by unacknowledged data if it is busy, and then fails the connection. */
void
lh_socket_enable_keepalive (int fd)
{
  const int on = 1;
  const int idle_seconds = 3;
  const int probe_interval_seconds = 1;
  const int n_probes = 3;
  const unsigned max_unacked_ms = 6000;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof idle_seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_interval_seconds,
              sizeof probe_interval_seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &n_probes, sizeof n_probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &max_unacked_ms, sizeof max_unacked_ms);
}

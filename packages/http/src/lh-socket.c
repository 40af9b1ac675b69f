#include "lh-socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* A middlebox may lose track of an open connection, which then stays silent for good without either
 * end learning that the other is gone. The kernel detects this by probes on an idle connection and
 * by unacknowledged data on a busy one, and ends the connection with an error. */
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

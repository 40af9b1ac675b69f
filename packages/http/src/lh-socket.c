#include "lh-socket.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Something between the two ends may lose track of an open connection: it stays silent for good,
 * and nobody learns that the other end is gone. The kernel finds out by probes on an idle
 * connection, and by what it sent and nobody confirmed on a busy one; the connection then ends with
 * an error. */
void
lh_socket_enable_keepalive (int fd)
{
  const int on = 1;
  const int idle_seconds = 3;
  const int probe_seconds = 1;
  const int probes = 3;
  const unsigned unconfirmed_ms = 6000;

  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_seconds, sizeof idle_seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &probe_seconds, sizeof probe_seconds);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unconfirmed_ms, sizeof unconfirmed_ms);
}

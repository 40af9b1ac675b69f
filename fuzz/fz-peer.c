#include "fz-peer.h"

#include "lb-alloc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CONNECT_RETRIES 500
#define CONNECT_RETRY_US 10000

void
fz_peer_init (FzPeer *peer)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  memset (peer, 0, sizeof *peer);
  peer->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (bind (peer->listener, (struct sockaddr *)&at, sizeof at) != 0
      || listen (peer->listener, FZ_MAX_CONNECTIONS) != 0)
    abort ();
  getsockname (peer->listener, (struct sockaddr *)&at, &length);
  snprintf (peer->address, sizeof peer->address, "127.0.0.1:%d", ntohs (at.sin_port));
  for (size_t i = 0; i < FZ_MAX_CONNECTIONS; i++)
    peer->connections[i].fd = -1;
}

static FzConnection *
find_free_connection (FzPeer *peer)
{
  for (size_t i = 0; i < FZ_MAX_CONNECTIONS; i++)
    if (peer->connections[i].fd < 0)
      return &peer->connections[i];
  abort ();
}

bool
fz_peer_accept (FzPeer *peer)
{
  int fd = accept4 (peer->listener, NULL, NULL, SOCK_NONBLOCK);

  if (fd < 0)
    return false;
  *find_free_connection (peer) = (FzConnection){ .fd = fd };
  return true;
}

void
fz_connection_open (FzConnection *connection, const char *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                            .sin_port = htons ((uint16_t)atoi (strrchr (address, ':') + 1)) };

  *connection = (FzConnection){ .fd = socket (AF_INET, SOCK_STREAM, 0) };
  /* At thousands of connections a second the kernel may have no port for a moment. */
  for (int i = 0; connect (connection->fd, (struct sockaddr *)&to, sizeof to) != 0; i++)
    if (errno != EADDRNOTAVAIL || i == MAX_CONNECT_RETRIES)
      abort ();
    else
      usleep (CONNECT_RETRY_US);
  fcntl (connection->fd, F_SETFL, O_NONBLOCK);
}

/* Resets the connection, since a million closed ones would use up all ports. */
void
fz_connection_close (FzConnection *connection)
{
  const struct linger reset = { .l_onoff = 1 };

  if (connection->fd >= 0)
    {
      setsockopt (connection->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (connection->fd);
    }
  free (connection->bytes);
  *connection = (FzConnection){ .fd = -1 };
}

bool
fz_connection_receive (FzConnection *connection)
{
  char buffer[16384];
  ssize_t n = recv (connection->fd, buffer, sizeof buffer, 0);

  connection->is_closed |= n == 0;
  if (n <= 0)
    return false;
  connection->bytes = lb_realloc (connection->bytes, connection->length + (size_t)n);
  memcpy (connection->bytes + connection->length, buffer, (size_t)n);
  connection->length += (size_t)n;
  return true;
}

void
fz_connection_drop (FzConnection *connection, size_t n_bytes)
{
  connection->length -= n_bytes;
  memmove (connection->bytes, connection->bytes + n_bytes, connection->length);
}

void
fz_connection_send (FzConnection *connection, const char *bytes, size_t length)
{
  if (length > 0)
    send (connection->fd, bytes, length, MSG_NOSIGNAL);
}

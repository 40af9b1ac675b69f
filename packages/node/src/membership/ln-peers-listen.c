#include "ln-peers-private.h"

#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* An accepted connection has to finish the handshake within this time. */
#define HANDSHAKE_TIMEOUT (2 * LB_SEC)
/* Handshakes are checked every 100 ms; a gap longer than this counts as a pause of this process. */
#define PAUSE_THRESHOLD (300 * LB_MSEC)
/* Maximum number of accepted connections whose handshake is not done. */
#define MAX_UNAUTHENTICATED_CONNECTIONS 256

static size_t
count_unauthenticated_connections (const LnPeers *peers)
{
  size_t count = 0;

  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    count += connection->id == 0;
  }
  return count;
}

static void
on_peer_connection_accepted (struct evconnlistener *listener,
                             evutil_socket_t fd,
                             struct sockaddr *address,
                             int length,
                             void *user)
{
  (void)listener;
  (void)address;
  (void)length;
  LnPeers *peers = user;

  if (!peers->membership
      || count_unauthenticated_connections (peers) >= MAX_UNAUTHENTICATED_CONNECTIONS)
    {
      evutil_closesocket (fd);
      return;
    }
  LnPeerConnection *connection
      = ln_peer_connection_accept (peers->context->base, fd, peers->context->settings->cluster.key,
                                   lc_membership_self (peers->membership), &ln_peers_handlers,
                                   peers);
  if (!connection)
    return;
  connection->handshake_deadline = lb_clock_monotonic () + HANDSHAKE_TIMEOUT;
  ln_peers_add_connection (peers, connection, 0);
}

/* Returns the length of a pause of this process since the last check; 0: none. After a pause,
 * peers' frames wait unread, and closing their connections would look to the peers like failed
 * dials. */
static LbTime
detect_process_pause (LnPeers *peers, LbTime now)
{
  LbTime gap = peers->last_handshake_check_at ? now - peers->last_handshake_check_at : 0;

  peers->last_handshake_check_at = now;
  return gap > PAUSE_THRESHOLD ? gap : 0;
}

/* Without the deadline, a client that connects and sends nothing would hold a socket forever. */
void
ln_peers_close_expired_handshakes (LnPeers *peers, LbTime now)
{
  LbTime pause = detect_process_pause (peers, now);

  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    connection->handshake_deadline += pause;
    if (connection->id != 0 || now < connection->handshake_deadline)
      continue;
    lb_metric_count_error (LB_ERROR_TIMEOUT);
    ln_peers_close_connection (peers, connection);
  }
}

static void
store_bound_peer_address (LnPeers *peers)
{
  struct sockaddr_in bound = { 0 };
  socklen_t length = sizeof bound;
  char ip[INET_ADDRSTRLEN] = "";

  getsockname (evconnlistener_get_fd (peers->listener), (struct sockaddr *)&bound, &length);
  evutil_inet_ntop (AF_INET, &bound.sin_addr, ip, sizeof ip);
  snprintf (peers->context->peer_address, sizeof peers->context->peer_address, "%s:%d", ip,
            ntohs (bound.sin_port));
}

/* evutil_parse_sockaddr_port rejects port 0, with which the kernel chooses a free port. */
static bool
parse_listen_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  char ip[INET_ADDRSTRLEN] = "";

  if (!colon || (size_t)(colon - text) >= sizeof ip)
    return false;
  memcpy (ip, text, (size_t)(colon - text));
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

static bool
log_listen_error (const char *address)
{
  LbError error;

  lb_error_set (&error, LB_ERROR_IO, "instance.peer_address", "cannot listen at %s: %s", address,
                strerror (errno));
  lb_log_error (LB_LOG_ERROR, "start_failed", &error);
  return false;
}

bool
ln_peers_start_listening (LnPeers *peers)
{
  const char *address = peers->context->settings->instance.peer_address;
  struct sockaddr_in listen_address = { 0 };

  if (!parse_listen_address (address, &listen_address))
    return log_listen_error (address);
  peers->listener
      = evconnlistener_new_bind (peers->context->base, on_peer_connection_accepted, peers,
                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                 (struct sockaddr *)&listen_address, sizeof listen_address);
  if (!peers->listener)
    return log_listen_error (address);
  store_bound_peer_address (peers);
  return true;
}

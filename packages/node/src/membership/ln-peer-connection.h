#ifndef LN_PEER_CONNECTION_H
#define LN_PEER_CONNECTION_H

#include "lw-handshake.h"

#include "lb-list.h"

struct event_base;
typedef struct LnPeerConnection LnPeerConnection;

/* Callbacks to the owner of a connection, which may close the connection inside any of them. */
typedef struct
{
  /* The handshake is done: both ends have proved that they know the key. */
  void (*opened) (LnPeerConnection *connection, const LcInstance *peer, void *user);
  void (*received) (LnPeerConnection *connection, const LwMessage *message, void *user);
  /* The peer closed the connection, or the connection failed; the owner has to close it. */
  void (*failed) (LnPeerConnection *connection, const LbError *error, void *user);
} LnPeerHandlers;

/* TCP connection to another instance, which carries frames. */
struct LnPeerConnection
{
  LbLink link;               /* link in the owner's list of connections */
  uint64_t id;               /* set by the owner to identify the connection */
  LbTime handshake_deadline; /* set by the owner, which closes the connection if the handshake takes
                                longer */

  const LnPeerHandlers *handlers;
  void *user;
  struct bufferevent *stream;
  LwHandshake handshake;
  bool is_closed;
};

/* Connects to another instance; returns NULL if the address is invalid or no socket can be created.
 */
LnPeerConnection *ln_peer_connection_dial (struct event_base *base,
                                           const char *address,
                                           const char *key,
                                           const LcInstance *self,
                                           const LnPeerHandlers *handlers,
                                           void *user);
LnPeerConnection *ln_peer_connection_accept (struct event_base *base,
                                             int fd,
                                             const char *key,
                                             const LcInstance *self,
                                             const LnPeerHandlers *handlers,
                                             void *user);
/* Closes the socket; no handler is called afterwards. ln_peer_connection_free frees the memory. */
void ln_peer_connection_close (LnPeerConnection *connection);
void ln_peer_connection_free (LnPeerConnection *connection);

/* Sends a frame made by lw_message_encode. Returns false if the write fails, or if too many bytes
 * are unsent because the other end does not read. */
bool ln_peer_connection_send (LnPeerConnection *connection, const uint8_t *frame, size_t length);

#endif

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
  /* The other end closed the connection, or it failed; the owner has to close it. */
  void (*failed) (LnPeerConnection *connection, const LbError *error, void *user);
} LnPeerHandlers;

/* TCP connection to another instance, which carries frames. */
struct LnPeerConnection
{
  LbLink link;               /* used by the owner */
  uint64_t id;               /* used by the owner */
  LbTime handshake_deadline; /* used by the owner */

  const LnPeerHandlers *handlers;
  void *user;
  struct bufferevent *stream;
  LwHandshake handshake;
  bool is_closed;
};

/* NULL if the address is invalid or no socket can be created. */
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
/* Closes the socket; no handler is called from then on. The memory is released by _free. */
void ln_peer_connection_close (LnPeerConnection *connection);
void ln_peer_connection_free (LnPeerConnection *connection);

/* frame: made by lw_message_encode. False if too many bytes are unsent, because the other end does
 * not read, or if the write fails. */
bool ln_peer_connection_send (LnPeerConnection *connection, const uint8_t *frame, size_t length);

#endif

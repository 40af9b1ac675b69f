#ifndef LN_PEER_CONNECTION_H
#define LN_PEER_CONNECTION_H

#include "lw-handshake.h"

#include "lb-list.h"

struct event_base;
typedef struct LnPeerConnection LnPeerConnection;

/* What the owner of a connection is told. It may close the connection inside any of these. */
typedef struct
{
  /* The key is proved in both directions. */
  void (*opened) (LnPeerConnection *connection, const LcInstance *peer, void *user);
  void (*received) (LnPeerConnection *connection, const LwMessage *message, void *user);
  /* Closed by the other end or by a fault; the connection is to be closed by the owner. */
  void (*failed) (LnPeerConnection *connection, const LbError *error, void *user);
} LnPeerHandlers;

/* A TCP connection to another instance that speaks in frames. */
struct LnPeerConnection
{
  LbLink link;      /* the owner's */
  uint64_t id;      /* the owner's */
  LbTime opened_by; /* the owner's */
  const LnPeerHandlers *handlers;
  void *user;
  struct bufferevent *stream;
  LwHandshake handshake;
  bool closed;
};

/* NULL when the address is not one or no socket can be had. */
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
/* Closes the socket; no handler is called any more. The memory stays until _free. */
void ln_peer_connection_close (LnPeerConnection *connection);
void ln_peer_connection_free (LnPeerConnection *connection);

/* frame: of lw_message_encode. False when too much waits unsent: the other end does not read. */
bool ln_peer_connection_send (LnPeerConnection *connection, const uint8_t *frame, size_t length);

#endif

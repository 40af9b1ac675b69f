#ifndef FZ_PEER_H
#define FZ_PEER_H

#include "lb-types.h"

#include <stdbool.h>
#include <stddef.h>

#define FZ_MAX_CONNECTIONS 16

/* One end of a connection, not blocking, with the bytes received. */
typedef struct
{
  int fd; /* -1: not connected */
  char *bytes;
  size_t length;
  bool is_closed; /* the other end has closed the connection */
} FzConnection;

/* A server on the loopback interface that the fuzz target plays. */
typedef struct
{
  int listener;
  LbName address;
  FzConnection connections[FZ_MAX_CONNECTIONS];
} FzPeer;

void fz_peer_init (FzPeer *peer);
/* Accepts a connection that waits. Returns whether there was one. */
bool fz_peer_accept (FzPeer *peer);

void fz_connection_open (FzConnection *connection, const char *address);
void fz_connection_close (FzConnection *connection);
/* Receives what has arrived. Returns whether that was anything. */
bool fz_connection_receive (FzConnection *connection);
void fz_connection_drop (FzConnection *connection, size_t n_bytes);
void fz_connection_send (FzConnection *connection, const char *bytes, size_t length);

#endif

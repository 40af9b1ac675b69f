#ifndef LN_LINGER_H
#define LN_LINGER_H

#include "lb-list.h"

struct bufferevent;

/* Lingering close: closes a connection only after sending pending output, for example an error
 * reply. Closing at once would reset the connection if the caller is still sending, and the
 * caller's operating system would discard the unread reply. */
typedef struct LnLinger LnLinger;

/* Starts the lingering close of bev and takes ownership of bev. The LnLinger in lingers frees
 * itself when the connection is closed. */
void ln_linger_start (LbList *lingers, struct bufferevent *bev);
/* Closes all connections at once, without waiting for pending output. */
void ln_linger_free_all (LbList *lingers);

#endif

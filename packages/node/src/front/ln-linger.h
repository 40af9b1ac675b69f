#ifndef LN_LINGER_H
#define LN_LINGER_H

#include "lb-list.h"

struct bufferevent;

/* Lingering close: closes a connection only after sending pending output, for example an error
 * reply. Closing at once would reset the connection if the caller is still sending, and the
 * caller's operating system would discard the unread reply. */
typedef struct LnLinger LnLinger;

/* Starts the lingering close of the connection bev and takes ownership of bev. Adds an LnLinger to
 * the list `lingers`, which is removed and freed when the connection is closed. */
void ln_linger_start (LbList *lingers, struct bufferevent *bev);
/* Closes all connections at once, without waiting for pending output. */
void ln_linger_free_all (LbList *lingers);

#endif

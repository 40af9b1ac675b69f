#ifndef LN_LINGER_H
#define LN_LINGER_H

#include "lb-list.h"

struct bufferevent;

/* Lingering close: closes a connection only after its pending output, such as a final error reply,
 * was sent. Closing at once would reset the connection while the caller is still sending, and the
 * caller's system would discard the reply unread. */
typedef struct LnLinger LnLinger;

/* Takes ownership of bev. The linger frees itself, unless ln_linger_free_all does. */
void ln_linger_start (LbList *lingers, struct bufferevent *bev);
void ln_linger_free_all (LbList *lingers);

#endif

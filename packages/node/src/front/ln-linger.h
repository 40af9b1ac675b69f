#ifndef LN_LINGER_H
#define LN_LINGER_H

#include "lb-list.h"

struct bufferevent;

/* Closes a connection only after what was written to it has left: the last reply of a connection
 * that is given up. Closing at once would reset the connection while the caller still sends, and
 * the caller's system would throw the reply away unread. */
typedef struct LnLinger LnLinger;

/* Takes over the bufferevent. The linger frees itself, or is freed by ln_linger_free_all. */
void ln_linger_start (LbList *lingers, struct bufferevent *bev);
void ln_linger_free_all (LbList *lingers);

#endif

#ifndef LN_PEERS_PRIVATE_H
#define LN_PEERS_PRIVATE_H

#include "lc-membership.h"
#include "ln-context.h"
#include "ln-frame-window.h"
#include "ln-messages.h"
#include "ln-outbox.h"
#include "ln-peer-connection.h"

#include <event2/event.h>
#include <event2/listener.h>

/* The connections to other instances: carries out what the membership decides and passes frames
 * between the tasks of two instances. The files ln-peers-*.c share this state. */
typedef struct
{
  LnTask base; /* first */
  LnContext *context;
  struct evconnlistener *listener;
  LbName *leaving; /* endpoints, by the last list of the platform */
  size_t n_leaving;
  struct event *timer;
  LcMembership *membership; /* NULL until the loop runs and all addresses are known */
  LbList connections;
  LbList closed; /* freed at the next timer: a handler of theirs may be running */
  LbList actions;
  LnFrameWindow *window;
  LnOutbox outbox;
  uint64_t sequence;
  bool listing; /* a call for the list is in progress */
  LbTime next_list;
  LbTime next_load;
  LbTime used_processor;
  LcMembershipTotals counted;
} LnPeers;

/* ln-peers-connections.c */

/* NULL for id 0, which connections have that are accepted and have not proved the key. */
LnPeerConnection *ln_peers_find_connection (const LnPeers *peers, LcLinkId id);
/* Takes ownership. id: 0 until the membership has given one to an accepted connection. */
void ln_peers_add_connection (LnPeers *peers, LnPeerConnection *connection, LcLinkId id);
/* Does not tell the membership. The memory stays until the next timer. */
void ln_peers_close_connection (LnPeers *peers, LnPeerConnection *connection);
void ln_peers_free_connections (LbList *connections);
/* Tells the membership that an answer is awaited on the connection from now on. */
void ln_peers_record_sent (const LnPeers *peers, const LnPeerConnection *connection);

/* ln-peers-frames.c: those that send may close the connection and add actions; the caller carries
 * them out. */

void ln_peers_send_message (LnPeers *peers, LnPeerConnection *connection, const LwMessage *message);
/* One frame to each instance to which a connection is open, but not to the one at the other end of
 * except (0: to all). */
void ln_peers_broadcast (LnPeers *peers, const LwMessage *message, LcLinkId except);
/* Sends what waited in the outbox for the instance at the other end. */
void ln_peers_flush_outbox (LnPeers *peers, LnPeerConnection *connection, const char *name);
/* Gives up the frames that have waited in the outbox for too long. */
void ln_peers_expire_outbox (LnPeers *peers, LbTime now);
/* A frame of another instance for one of our tasks, and to pass on when it is to all. */
void ln_peers_handle_data (LnPeers *peers, LcLinkId from, const LwMessage *message);
/* A frame of one of our tasks for one instance or for all. */
void ln_peers_send_data (LnPeers *peers, const LnPeerMessage *message);

/* ln-peers-handlers.c: for every connection, dialled or accepted; their user is the LnPeers. */
extern const LnPeerHandlers ln_peers_handlers;

/* ln-peers-actions.c */

/* Does all that the membership has ordered and sets the timer for its next tick: the last step of
 * every handler that changes the membership. */
void ln_peers_run_actions (LnPeers *peers);

/* ln-peers-listen.c */

/* Binds the peer address of the settings and writes the bound one into the context. False, and
 * logged, when it cannot be bound. */
bool ln_peers_start_listening (LnPeers *peers);
/* Closes the accepted connections that have not proved the key in time. */
void ln_peers_close_unauthenticated (LnPeers *peers, LbTime now);

/* ln-peers-list.c: reads the platform's list of instances when that is due. */
void ln_peers_request_list (LnPeers *peers, LbTime now);

/* ln-peers-load.c: tells the membership the load of this instance when that is due. */
void ln_peers_measure_load (LnPeers *peers, LbTime now);

#endif

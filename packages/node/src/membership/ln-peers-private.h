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

/* State of the task "peers", shared by the files ln-peers-*.c. The task runs the actions of the
 * membership protocol on connections to other instances, and carries frames between tasks of
 * different instances. */
typedef struct
{
  LnTask base; /* must be the first member */
  LnContext *context;
  struct evconnlistener *listener;
  LbName *leaving_endpoints; /* endpoints that the platform's last list marks as leaving */
  size_t n_leaving_endpoints;
  struct event *timer; /* timer of the next call of lc_membership_tick */
  LbTime last_handshake_check_at;
  LcMembership *membership;  /* NULL until the event loop runs and all addresses are known */
  LbList connections;        /* list of LnPeerConnection */
  LbList closed_connections; /* closed inside a handler; freed at the next timer event */
  LbList actions;            /* list of LcMembershipAction that are not executed yet */
  LnFrameWindow *seen_frames;
  LnOutbox outbox;
  uint64_t sequence;    /* sequence number of the last broadcast frame sent */
  bool is_list_pending; /* a request for the platform's list of instances is in progress */
  LbTime next_list_at;
  LbTime next_load_at;
  LbTime cpu_time_used;              /* CPU time of the process at the last load measurement */
  LcMembershipTotals counted_totals; /* counts that are already added to the metrics */
} LnPeers;

/* --- ln-peers-connections.c: the list of connections --- */

/* Returns NULL for id 0, which all accepted connections have until their handshake is done. */
LnPeerConnection *ln_peers_find_connection (const LnPeers *peers, LcLinkId id);
/* Takes ownership of the connection. id: 0 for an accepted connection, to which the membership
 * assigns an id after the handshake. */
void ln_peers_add_connection (LnPeers *peers, LnPeerConnection *connection, LcLinkId id);
/* Closes the connection without notifying the membership. Its memory is freed at the next timer
 * event. */
void ln_peers_close_connection (LnPeers *peers, LnPeerConnection *connection);
void ln_peers_free_connections (LbList *connections);
/* Reports to the membership that a frame was sent on the connection, so that the membership expects
 * an answer. */
void ln_peers_record_sent_frame (const LnPeers *peers, const LnPeerConnection *connection);

/* ln-peers-frames.c: functions that send may close the connection and add actions of the
 * membership, so the caller has to call ln_peers_run_membership_actions afterwards. */

void ln_peers_send_message (LnPeers *peers, LnPeerConnection *connection, const LwMessage *message);
/* Sends one frame to each instance to which a connection is open, except to the peer of the link
 * `except` (0: to all). */
void ln_peers_broadcast (LnPeers *peers, const LwMessage *message, LcLinkId except);
/* Sends the frames queued in the outbox for the instance `name`, which is the connection's peer. */
void ln_peers_flush_outbox (LnPeers *peers, LnPeerConnection *connection, const char *name);
/* Drops the frames that were queued in the outbox for too long. */
void ln_peers_drop_expired_frames (LnPeers *peers, LbTime now);
/* Delivers a frame from another instance to a local task, and forwards it if it is a broadcast. */
void ln_peers_deliver_task_message (LnPeers *peers, LcLinkId from, const LwMessage *message);
/* Sends a local task's frame to one instance or to all. */
void ln_peers_send_task_message (LnPeers *peers, const LnPeerMessage *message);

/* ln-peers-handlers.c: callbacks of all connections, dialled or accepted; `user` is the LnPeers. */
extern const LnPeerHandlers ln_peers_handlers;

/* --- ln-peers-actions.c: actions of the membership --- */

/* Runs the pending actions of the membership and sets the timer for its next tick. Must be the last
 * step of every handler that changes the membership. */
void ln_peers_run_membership_actions (LnPeers *peers);

/* --- ln-peers-listen.c: accepted connections --- */

/* Binds the configured peer address and stores the bound address in the context. Logs the error and
 * returns false if it cannot be bound. */
bool ln_peers_start_listening (LnPeers *peers);
/* Closes accepted connections whose handshake is not done at its deadline. Called at least every
 * 100 ms; a pause of this process does not count towards the deadline. */
void ln_peers_close_expired_handshakes (LnPeers *peers, LbTime now);

/* ln-peers-list.c: requests the platform's list of instances when it is due. */
void ln_peers_request_platform_list (LnPeers *peers, LbTime now);

/* ln-peers-load.c: measures this instance's load when it is due, and passes it to the membership.
 */
void ln_peers_measure_load (LnPeers *peers, LbTime now);

#endif

#include "ln-peers-private.h"

#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

static void
on_connection_opened (LnPeerConnection *connection, const LcInstance *peer, void *user)
{
  LnPeers *peers = user;
  LbTime now = lb_clock_monotonic ();

  if (connection->id != 0)
    lc_membership_link_dialled (peers->membership, connection->id, peer, now, &peers->actions);
  else
    connection->id = lc_membership_link_accepted (peers->membership, peer, now, &peers->actions);
  if (connection->id == 0)
    ln_peers_close_connection (peers, connection);
  else
    ln_peers_flush_outbox (peers, connection, peer->name);
  ln_peers_run_membership_actions (peers);
}

static void
on_connection_failed (LnPeerConnection *connection, const LbError *error, void *user)
{
  LnPeers *peers = user;
  LcLinkId id = connection->id;

  lb_metric_count_error ((int)error->code);
  lb_log_error (error->code == LB_ERROR_CLOSED ? LB_LOG_DEBUG : LB_LOG_WARNING,
                "peer_connection_failed", error);
  ln_peers_close_connection (peers, connection);
  lc_membership_link_closed (peers->membership, id, lb_clock_monotonic (), &peers->actions);
  ln_peers_run_membership_actions (peers);
}

static void
answer_ping (LnPeers *peers, LnPeerConnection *connection)
{
  LwMessage pong = { .type = LW_PONG, .digest = lc_membership_digest (peers->membership) };

  ln_peers_send_message (peers, connection, &pong);
}

static void
reject_handshake_message (LnPeers *peers, LnPeerConnection *connection)
{
  LbError error;

  lb_error_set (&error, LB_ERROR_FRAME_GARBLED, "peer",
                "unexpected handshake message after the handshake");
  on_connection_failed (connection, &error, peers);
}

static void
on_message_received (LnPeerConnection *connection, const LwMessage *message, void *user)
{
  LnPeers *peers = user;
  LcLinkId id = connection->id;
  LbTime now = lb_clock_monotonic ();

  lc_membership_frame_received (peers->membership, id, now);
  switch (message->type)
    {
    case LW_PING:
      answer_ping (peers, connection);
      break;
    case LW_PONG:
      lc_membership_digest_received (peers->membership, id, message->digest, now);
      break;
    case LW_INSTANCES:
      lc_membership_updates_received (peers->membership, id, message->instances,
                                      message->n_instances, now, &peers->actions);
      break;
    case LW_COMPARE:
      lc_membership_summary_received (peers->membership, id, message->instances,
                                      message->n_instances, message->is_reply, now,
                                      &peers->actions);
      break;
    case LW_DATA:
      ln_peers_deliver_task_message (peers, id, message);
      break;
    case LW_HELLO:
    case LW_CHALLENGE:
    case LW_PROOF:
    case LW_N_MESSAGES:
      reject_handshake_message (peers, connection);
      return;
    }
  ln_peers_run_membership_actions (peers);
}

const LnPeerHandlers ln_peers_handlers = { .opened = on_connection_opened,
                                           .received = on_message_received,
                                           .failed = on_connection_failed };

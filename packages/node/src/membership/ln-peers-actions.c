#include "ln-peers-private.h"

#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lb-time.h"
#include "ln-members.h"

#define MIN_MEMBERSHIP_TICK_DELAY LB_MSEC

static void
dial_peer (LnPeers *peers, const LcMembershipAction *action)
{
  LnPeerConnection *connection
      = ln_peer_connection_dial (peers->context->base, action->address,
                                 peers->context->settings->cluster.key,
                                 lc_membership_self (peers->membership), &ln_peers_handlers, peers);

  if (connection)
    ln_peers_add_connection (peers, connection, action->link);
  else
    lc_membership_link_closed (peers->membership, action->link, lb_clock_monotonic (),
                               &peers->actions);
}

static void
close_peer_link (LnPeers *peers, const LcMembershipAction *action)
{
  LnPeerConnection *connection = ln_peers_find_connection (peers, action->link);

  if (!connection)
    return;
  if (action->reason != LB_OK)
    {
      lb_metric_count_error ((int)action->reason);
      lb_log (LB_LOG_INFO, "peer_connection_closed",
              LB_TEXT ("peer", connection->handshake.peer.name),
              LB_TEXT ("error", lb_error_name (action->reason)));
    }
  ln_peers_close_connection (peers, connection);
}

static void
send_membership_message (LnPeers *peers, const LcMembershipAction *action)
{
  static const LwMessageType message_types[] = { [LC_MEMBERSHIP_PING] = LW_PING,
                                                 [LC_MEMBERSHIP_BROADCAST] = LW_INSTANCES,
                                                 [LC_MEMBERSHIP_SEND] = LW_INSTANCES,
                                                 [LC_MEMBERSHIP_COMPARE] = LW_COMPARE };
  LwMessage message = { .type = message_types[action->type],
                        .digest = action->digest,
                        .instances = action->instances,
                        .n_instances = action->n_instances,
                        .is_reply = action->is_reply };

  LnPeerConnection *connection = ln_peers_find_connection (peers, action->link);
  if (action->type == LC_MEMBERSHIP_BROADCAST)
    ln_peers_broadcast (peers, &message, action->link);
  else if (connection)
    ln_peers_send_message (peers, connection, &message);
}

static void
execute_membership_action (LnPeers *peers, const LcMembershipAction *action)
{
  switch (action->type)
    {
    case LC_MEMBERSHIP_DIAL:
      dial_peer (peers, action);
      break;
    case LC_MEMBERSHIP_CLOSE:
      close_peer_link (peers, action);
      break;
    case LC_MEMBERSHIP_PING:
    case LC_MEMBERSHIP_BROADCAST:
    case LC_MEMBERSHIP_SEND:
    case LC_MEMBERSHIP_COMPARE:
      send_membership_message (peers, action);
      break;
    case LC_MEMBERSHIP_CHANGED:
      ln_members_publish (peers->membership, peers->base.hub);
      break;
    }
}

static void
schedule_next_membership_tick (LnPeers *peers)
{
  LbTime wait = lc_membership_next_tick (peers->membership) - lb_clock_monotonic ();

  if (wait < MIN_MEMBERSHIP_TICK_DELAY)
    wait = MIN_MEMBERSHIP_TICK_DELAY;
  struct timeval delay = lb_time_to_timeval (wait);
  event_add (peers->timer, &delay);
}

void
ln_peers_run_membership_actions (LnPeers *peers)
{
  LbLink *link;

  while ((link = lb_list_pop (&peers->actions)))
    {
      LcMembershipAction *action = LB_CONTAINER (link, LcMembershipAction, link_in_list);
      execute_membership_action (peers, action);
      lc_membership_action_free (action);
    }
  ln_members_update_counters (peers->membership, &peers->counted_totals);
  schedule_next_membership_tick (peers);
}

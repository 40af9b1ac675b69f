#include "ln-peers-private.h"

#include "lb-clock.h"
#include "lb-counter.h"

static LbMetric open_connections = LB_GAUGE_INIT ("lentilspindle_peer_connections",
                                                  NULL,
                                                  "Open connections to and from other instances");

LnPeerConnection *
ln_peers_find_connection (const LnPeers *peers, LcLinkId id)
{
  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    if (connection->id == id && id != 0)
      return connection;
  }
  return NULL;
}

static void
update_connection_gauge (const LnPeers *peers)
{
  lb_metric_set (&open_connections, (int64_t)peers->connections.length);
}

void
ln_peers_add_connection (LnPeers *peers, LnPeerConnection *connection, LcLinkId id)
{
  connection->id = id;
  lb_list_append (&peers->connections, &connection->link);
  update_connection_gauge (peers);
}

void
ln_peers_close_connection (LnPeers *peers, LnPeerConnection *connection)
{
  ln_peer_connection_close (connection);
  lb_list_remove (&peers->connections, &connection->link);
  lb_list_append (&peers->closed_connections, &connection->link);
  update_connection_gauge (peers);
}

void
ln_peers_free_connections (LbList *connections)
{
  LbLink *link;

  while ((link = lb_list_pop (connections)))
    ln_peer_connection_free (LB_CONTAINER (link, LnPeerConnection, link));
}

void
ln_peers_record_sent_frame (const LnPeers *peers, const LnPeerConnection *connection)
{
  lc_membership_frame_sent (peers->membership, connection->id, lb_clock_monotonic ());
}

#include "fake-peers.h"

#include "lb-alloc.h"
#include "lw-message.h"

#include <gsl/gsl_rng.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* TCP and IPv4 headers of a segment with TCP timestamps */
#define HEADER_BYTES 52
/* Headers of a new connection: SYN and SYN-ACK of 60 bytes each (8 more than other segments), ACK,
 * and the four segments that follow the handshake. */
#define CONNECT_HEADER_BYTES (60 + 60 + HEADER_BYTES + 4 * HEADER_BYTES)

typedef enum
{
  EVENT_TICK,
  EVENT_CONNECT,
  EVENT_REFUSED,
  EVENT_CLOSED,
  EVENT_MESSAGE
} EventType;

typedef struct
{
  LbTime at;
  uint64_t sequence; /* order number; events at the same time are handled in this order */
  EventType type;
  size_t node; /* index of the instance that handles the event */
  size_t connection;
  LcLinkId link; /* link that was refused or closed; unused for other events */
  LwMessage message;
} Event;

typedef struct
{
  size_t nodes[2];   /* indexes of the dialling and the accepting instance */
  LcLinkId links[2]; /* link ids at these two instances; 0: not accepted yet */
  bool drops_messages;
  bool closed;
  LbTime closed_at;
} Connection;

typedef struct
{
  LcMembership *membership; /* membership state of the instance; NULL: it was never started */
  FakeState state;
  int partition_group;
  int64_t bytes;
  LbTime tick_at;
  LbName name;
} Node;

struct FakePeers
{
  LcMembershipSettings settings;
  Node *nodes;
  size_t n_nodes;
  Connection *connections;
  size_t n_connections;
  size_t connection_capacity;
  Event *event_heap;
  size_t n_events;
  size_t heap_capacity;
  uint64_t sequence;
  LbTime now;
  size_t partitioned_pair[2];
  bool has_partitioned_pair;
  gsl_rng *rng;
};

static bool
is_event_earlier (const Event *a, const Event *b)
{
  return a->at != b->at ? a->at < b->at : a->sequence < b->sequence;
}

static void
swap_heap_events (FakePeers *peers, size_t a, size_t b)
{
  Event kept = peers->event_heap[a];

  peers->event_heap[a] = peers->event_heap[b];
  peers->event_heap[b] = kept;
}

static void
push_event_to_heap (FakePeers *peers, Event event)
{
  size_t i = peers->n_events++;

  if (i == peers->heap_capacity)
    {
      peers->heap_capacity = 2 * peers->heap_capacity + 64;
      peers->event_heap
          = lb_realloc (peers->event_heap, peers->heap_capacity * sizeof *peers->event_heap);
    }
  event.sequence = peers->sequence++;
  peers->event_heap[i] = event;
  for (; i > 0 && is_event_earlier (&peers->event_heap[i], &peers->event_heap[(i - 1) / 2]);
       i = (i - 1) / 2)
    swap_heap_events (peers, i, (i - 1) / 2);
}

static Event
pop_earliest_event (FakePeers *peers)
{
  Event first = peers->event_heap[0];
  size_t i = 0;

  peers->event_heap[0] = peers->event_heap[--peers->n_events];
  for (;;)
    {
      size_t least = i;
      for (size_t child = 2 * i + 1; child <= 2 * i + 2 && child < peers->n_events; child++)
        if (is_event_earlier (&peers->event_heap[child], &peers->event_heap[least]))
          least = child;
      if (least == i)
        return first;
      swap_heap_events (peers, i, least);
      i = least;
    }
}

/* Returns a random network delay of 0.5 to 1.5 ms. */
static LbTime
draw_one_way_network_delay (FakePeers *peers)
{
  return (LbTime)(500 + gsl_rng_uniform_int (peers->rng, 1000));
}

static void
add_traffic_bytes_to_nodes (FakePeers *peers, size_t a, size_t b, int64_t bytes)
{
  peers->nodes[a].bytes += bytes;
  peers->nodes[b].bytes += bytes;
}

static bool
can_nodes_communicate (const FakePeers *peers, size_t a, size_t b)
{
  bool is_partitioned
      = peers->has_partitioned_pair
        && ((peers->partitioned_pair[0] == a && peers->partitioned_pair[1] == b)
            || (peers->partitioned_pair[0] == b && peers->partitioned_pair[1] == a));

  return !is_partitioned && peers->nodes[a].partition_group == peers->nodes[b].partition_group
         && peers->nodes[a].state != FAKE_UNREACHABLE && peers->nodes[b].state != FAKE_UNREACHABLE;
}

static size_t
find_node_by_address (const FakePeers *peers, const char *address)
{
  size_t index = (size_t)strtoul (address, NULL, 10);

  return index < peers->n_nodes ? index : 0;
}

/* Returns the index of a connection that was closed more than 60 s ago, so that no pending event
 * refers to it; SIZE_MAX if there is none. */
static size_t
find_reusable_connection (const FakePeers *peers)
{
  for (size_t i = 0; i < peers->n_connections; i++)
    if (peers->connections[i].closed && peers->now - peers->connections[i].closed_at > 60 * LB_SEC)
      return i;
  return SIZE_MAX;
}

static size_t
add_connection (FakePeers *peers, size_t dialler, size_t acceptor, LcLinkId link)
{
  Connection connection = { .nodes = { dialler, acceptor }, .links = { link, 0 } };
  size_t free_slot = find_reusable_connection (peers);

  if (free_slot != SIZE_MAX)
    {
      peers->connections[free_slot] = connection;
      return free_slot;
    }
  if (peers->n_connections == peers->connection_capacity)
    {
      peers->connection_capacity = 2 * peers->connection_capacity + 64;
      peers->connections = lb_realloc (peers->connections,
                                       peers->connection_capacity * sizeof *peers->connections);
    }
  peers->connections[peers->n_connections] = connection;
  return peers->n_connections++;
}

static size_t
find_connection (const FakePeers *peers, size_t node, LcLinkId link)
{
  for (size_t i = peers->n_connections; i-- > 0;)
    for (int side = 0; side < 2; side++)
      if (peers->connections[i].nodes[side] == node && peers->connections[i].links[side] == link
          && !peers->connections[i].closed)
        return i;
  return SIZE_MAX;
}

static int
get_connection_side_of_node (const Connection *connection, size_t node)
{
  return connection->nodes[0] == node ? 0 : 1;
}

static void
dial_address (FakePeers *peers, size_t node, const LcMembershipAction *action)
{
  size_t target = find_node_by_address (peers, action->address);
  size_t connection = add_connection (peers, node, target, action->link);
  LbTime at = peers->now + 3 * draw_one_way_network_delay (peers);

  if (!can_nodes_communicate (peers, node, target))
    return;
  if (!peers->nodes[target].membership || peers->nodes[target].state == FAKE_KILLED)
    push_event_to_heap (peers,
                        (Event){
                            .at = at, .type = EVENT_REFUSED, .node = node, .link = action->link });
  else
    push_event_to_heap (peers, (Event){ .at = at,
                                        .type = EVENT_CONNECT,
                                        .node = target,
                                        .connection = connection });
}

int64_t
fake_peers_message_bytes (const LwMessage *message)
{
  bool has_answer = message->type == LW_PING;
  size_t length;

  free (lw_message_encode (message, &length));
  return (int64_t)length + HEADER_BYTES + (has_answer ? 0 : HEADER_BYTES);
}

static void
send_message_on_connection (FakePeers *peers, size_t node, size_t index, const LwMessage *message)
{
  const Connection *connection = &peers->connections[index];
  size_t target = connection->nodes[!get_connection_side_of_node (connection, node)];
  Event event = { .at = peers->now + draw_one_way_network_delay (peers),
                  .type = EVENT_MESSAGE,
                  .node = target,
                  .connection = index,
                  .message = *message };

  add_traffic_bytes_to_nodes (peers, node, target, fake_peers_message_bytes (message));
  if (message->type != LW_PING && message->type != LW_PONG)
    lc_membership_frame_sent (peers->nodes[node].membership,
                              connection->links[get_connection_side_of_node (connection, node)],
                              peers->now);
  if (connection->drops_messages || !can_nodes_communicate (peers, node, target))
    return;
  event.message.instances
      = lb_memdup (message->instances, message->n_instances * sizeof *message->instances);
  push_event_to_heap (peers, event);
}

static void
broadcast_message_except_on_link (FakePeers *peers,
                                  size_t node,
                                  const LwMessage *message,
                                  LcLinkId excluded_link)
{
  LcMembership *membership = peers->nodes[node].membership;
  const char *excluded_name = lc_membership_link_peer_name (membership, excluded_link);

  for (size_t i = 0; i < peers->n_connections; i++)
    {
      const Connection *connection = &peers->connections[i];
      int side = get_connection_side_of_node (connection, node);
      if (connection->nodes[side] != node || connection->closed)
        continue;
      const char *name = lc_membership_link_peer_name (membership, connection->links[side]);
      if (name && (!excluded_name || strcmp (name, excluded_name) != 0)
          && lc_membership_find_link (membership, name) == connection->links[side])
        send_message_on_connection (peers, node, i, message);
    }
}

static void
close_connection (FakePeers *peers, size_t node, LcLinkId link)
{
  size_t index = find_connection (peers, node, link);

  if (index == SIZE_MAX)
    return;
  Connection *connection = &peers->connections[index];
  int other = !get_connection_side_of_node (connection, node);
  connection->closed = true;
  connection->closed_at = peers->now;
  add_traffic_bytes_to_nodes (peers, node, connection->nodes[other], 4 * HEADER_BYTES);
  if (connection->links[other] && !connection->drops_messages
      && can_nodes_communicate (peers, node, connection->nodes[other]))
    push_event_to_heap (peers, (Event){ .at = peers->now + draw_one_way_network_delay (peers),
                                        .type = EVENT_CLOSED,
                                        .node = connection->nodes[other],
                                        .link = connection->links[other] });
}

static void
execute_membership_action (FakePeers *peers, size_t node, const LcMembershipAction *action)
{
  LwMessage message = { .type = action->type == LC_MEMBERSHIP_COMPARE ? LW_COMPARE : LW_INSTANCES,
                        .digest = action->digest,
                        .instances = action->instances,
                        .n_instances = action->n_instances,
                        .is_reply = action->is_reply };

  if (action->type == LC_MEMBERSHIP_PING)
    message.type = LW_PING;
  switch (action->type)
    {
    case LC_MEMBERSHIP_DIAL:
      dial_address (peers, node, action);
      break;
    case LC_MEMBERSHIP_CLOSE:
      close_connection (peers, node, action->link);
      break;
    case LC_MEMBERSHIP_BROADCAST:
      broadcast_message_except_on_link (peers, node, &message, action->link);
      break;
    case LC_MEMBERSHIP_PING:
    case LC_MEMBERSHIP_SEND:
    case LC_MEMBERSHIP_COMPARE:
      if (find_connection (peers, node, action->link) != SIZE_MAX)
        send_message_on_connection (peers, node, find_connection (peers, node, action->link),
                                    &message);
      break;
    case LC_MEMBERSHIP_CHANGED:
      break;
    }
}

void
fake_peers_execute_membership_actions (FakePeers *peers, size_t node, LbList *actions)
{
  LbLink *link;

  while ((link = lb_list_pop (actions)))
    {
      LcMembershipAction *action = LB_CONTAINER (link, LcMembershipAction, link_in_list);
      execute_membership_action (peers, node, action);
      lc_membership_action_free (action);
    }
}

static void
schedule_next_tick (FakePeers *peers, size_t node)
{
  LbTime at = lc_membership_next_tick (peers->nodes[node].membership);
  LbTime scheduled_at = peers->nodes[node].tick_at;

  if (at <= peers->now)
    at = peers->now + LB_MSEC;
  if (scheduled_at > peers->now && scheduled_at <= at)
    return;
  peers->nodes[node].tick_at = at;
  push_event_to_heap (peers, (Event){ .at = at, .type = EVENT_TICK, .node = node });
}

static void
establish_connection (FakePeers *peers, size_t index, LbList *actions)
{
  Connection *connection = &peers->connections[index];
  size_t dialler = connection->nodes[0];
  LcMembership *acceptor = peers->nodes[connection->nodes[1]].membership;
  LcMembership *dialler_membership = peers->nodes[dialler].membership;

  if (connection->closed || connection->drops_messages
      || !can_nodes_communicate (peers, dialler, connection->nodes[1]))
    return;
  add_traffic_bytes_to_nodes (peers, dialler, connection->nodes[1], CONNECT_HEADER_BYTES + 400);
  LcInstance self = *lc_membership_self (dialler_membership);
  connection->links[1] = lc_membership_link_accepted (acceptor, &self, peers->now, actions);
  fake_peers_execute_membership_actions (peers, peers->connections[index].nodes[1], actions);
  self = *lc_membership_self (acceptor);
  lc_membership_link_dialled (dialler_membership, peers->connections[index].links[0], &self,
                              peers->now, actions);
  fake_peers_execute_membership_actions (peers, dialler, actions);
}

static void
deliver_message_event (FakePeers *peers, const Event *event, LbList *actions)
{
  const Connection *connection = &peers->connections[event->connection];
  LcMembership *membership = peers->nodes[event->node].membership;
  LcLinkId link = connection->links[get_connection_side_of_node (connection, event->node)];
  const LwMessage *message = &event->message;
  LwMessage pong = { .type = LW_PONG };

  if (connection->closed)
    return;
  lc_membership_frame_received (membership, link, peers->now);
  if (message->type == LW_PING)
    {
      pong.digest = lc_membership_digest (membership);
      send_message_on_connection (peers, event->node, event->connection, &pong);
    }
  else if (message->type == LW_PONG)
    lc_membership_digest_received (membership, link, message->digest, peers->now);
  else if (message->type == LW_INSTANCES)
    lc_membership_updates_received (membership, link, message->instances, message->n_instances,
                                    peers->now, actions);
  else
    lc_membership_summary_received (membership, link, message->instances, message->n_instances,
                                    message->is_reply, peers->now, actions);
}

static bool
defer_event_if_node_paused (FakePeers *peers, Event *event)
{
  if (peers->nodes[event->node].state != FAKE_PAUSED)
    return false;
  event->at = peers->now + 50 * LB_MSEC;
  push_event_to_heap (peers, *event);
  return true;
}

static void
execute_event (FakePeers *peers, Event *event)
{
  Node *node = &peers->nodes[event->node];
  LbList actions;

  if (defer_event_if_node_paused (peers, event))
    return;
  lb_list_init (&actions);
  if (node->state == FAKE_RUNNING)
    switch (event->type)
      {
      case EVENT_TICK:
        if (event->at >= node->tick_at)
          lc_membership_tick (node->membership, peers->now, &actions);
        break;
      case EVENT_CONNECT:
        establish_connection (peers, event->connection, &actions);
        break;
      case EVENT_REFUSED:
      case EVENT_CLOSED:
        lc_membership_link_closed (node->membership, event->link, peers->now, &actions);
        break;
      case EVENT_MESSAGE:
        deliver_message_event (peers, event, &actions);
        break;
      }
  fake_peers_execute_membership_actions (peers, event->node, &actions);
  if (node->state == FAKE_RUNNING)
    schedule_next_tick (peers, event->node);
  free (event->message.instances);
}

FakePeers *
fake_peers_new (size_t count, const LcMembershipSettings *settings, uint64_t seed)
{
  FakePeers *peers = LB_NEW (FakePeers);

  peers->settings = *settings;
  peers->nodes = LB_NEW_ARRAY (Node, count);
  peers->n_nodes = count;
  peers->now = 1000 * LB_SEC;
  peers->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (peers->rng, (unsigned long)seed);
  for (size_t i = 0; i < count; i++)
    snprintf (peers->nodes[i].name, LB_NAME_MAX, "instance-%zu", i);
  return peers;
}

void
fake_peers_free (FakePeers *peers)
{
  for (size_t i = 0; i < peers->n_nodes; i++)
    lc_membership_free (peers->nodes[i].membership);
  for (size_t i = 0; i < peers->n_events; i++)
    free (peers->event_heap[i].message.instances);
  gsl_rng_free (peers->rng);
  free (peers->nodes);
  free (peers->connections);
  free (peers->event_heap);
  free (peers);
}

void
fake_peers_start_instance (FakePeers *peers, size_t index)
{
  LcMembershipSettings settings = peers->settings;
  bool is_restart = peers->nodes[index].membership != NULL;

  lc_membership_free (peers->nodes[index].membership);
  settings.self = (LcInstance){ .epoch = (uint64_t)peers->now };
  LB_COPY (settings.self.name, peers->nodes[index].name);
  snprintf (settings.self.incarnation, LB_NAME_MAX, "%lld", (long long)peers->now);
  snprintf (settings.self.data_centre, LB_NAME_MAX, "hall-%c", (char)('a' + index % 3));
  snprintf (settings.self.caller_address, LB_NAME_MAX, "%zu.caller.address", index);
  snprintf (settings.self.peer_address, LB_NAME_MAX, "%zu.peer.address", index);
  settings.random_seed = gsl_rng_get (peers->rng);
  peers->nodes[index].membership = lc_membership_new (&settings, peers->now);
  peers->nodes[index].state = FAKE_RUNNING;
  lc_membership_add_seed (peers->nodes[index].membership, "0.peer.address", peers->now);
  if (!is_restart)
    push_event_to_heap (peers, (Event){ .at = peers->now + draw_one_way_network_delay (peers),
                                        .type = EVENT_TICK,
                                        .node = index });
}

static void
close_all_connections_of_node (FakePeers *peers, size_t index)
{
  for (size_t i = 0; i < peers->n_connections; i++)
    {
      const Connection *connection = &peers->connections[i];
      int side = get_connection_side_of_node (connection, index);
      if (connection->nodes[side] == index && !connection->closed && connection->links[side])
        close_connection (peers, index, connection->links[side]);
    }
}

void
fake_peers_set_instance_state (FakePeers *peers, size_t index, FakeState state)
{
  if (state == FAKE_KILLED)
    close_all_connections_of_node (peers, index);
  peers->nodes[index].state = state;
}

void
fake_peers_set_partition_group (FakePeers *peers, size_t index, int partition_group)
{
  peers->nodes[index].partition_group = partition_group;
}

void
fake_peers_drop_messages_on_open_links (FakePeers *peers, size_t a, size_t b)
{
  for (size_t i = 0; i < peers->n_connections; i++)
    {
      Connection *connection = &peers->connections[i];
      if ((connection->nodes[0] == a && connection->nodes[1] == b)
          || (connection->nodes[0] == b && connection->nodes[1] == a))
        connection->drops_messages = true;
    }
}

void
fake_peers_partition_pair (FakePeers *peers, size_t a, size_t b)
{
  peers->partitioned_pair[0] = a;
  peers->partitioned_pair[1] = b;
  peers->has_partitioned_pair = true;
}

void
fake_peers_run_until (FakePeers *peers, LbTime until)
{
  while (peers->n_events > 0 && peers->event_heap[0].at <= until)
    {
      Event event = pop_earliest_event (peers);
      peers->now = event.at;
      execute_event (peers, &event);
    }
  peers->now = until;
}

void
fake_peers_reset_traffic_bytes (FakePeers *peers)
{
  for (size_t i = 0; i < peers->n_nodes; i++)
    peers->nodes[i].bytes = 0;
}

LbTime
fake_peers_now (const FakePeers *peers)
{
  return peers->now;
}

LcMembership *
fake_peers_membership (const FakePeers *peers, size_t index)
{
  return peers->nodes[index].membership;
}

bool
fake_peers_is_listed (const FakePeers *peers, size_t observer, size_t subject)
{
  LcMemberView view;

  return lc_membership_find_instance (peers->nodes[observer].membership, peers->nodes[subject].name,
                                      &view)
         && view.alive && !view.draining;
}

LcInstanceState
fake_peers_observed_state (const FakePeers *peers, size_t observer, size_t subject)
{
  LcMemberView view;

  if (!lc_membership_find_instance (peers->nodes[observer].membership, peers->nodes[subject].name,
                                    &view))
    return LC_INSTANCE_DEAD;
  return view.instance.state;
}

size_t
fake_peers_count_observers_listing (const FakePeers *peers, size_t subject)
{
  size_t listing = 0;

  for (size_t i = 0; i < peers->n_nodes; i++)
    listing += i != subject && peers->nodes[i].state == FAKE_RUNNING
               && fake_peers_is_listed (peers, i, subject);
  return listing;
}

size_t
fake_peers_count_converged_instances (const FakePeers *peers)
{
  size_t agreeing = 0;

  for (size_t i = 0; i < peers->n_nodes; i++)
    {
      bool agrees = peers->nodes[i].membership && peers->nodes[i].state == FAKE_RUNNING;
      for (size_t j = 0; j < peers->n_nodes && agrees; j++)
        agrees = fake_peers_is_listed (peers, i, j)
                 == (peers->nodes[j].membership && peers->nodes[j].state == FAKE_RUNNING);
      agreeing += agrees;
    }
  return agreeing;
}

int64_t
fake_peers_traffic_bytes (const FakePeers *peers, size_t index)
{
  return peers->nodes[index].bytes;
}

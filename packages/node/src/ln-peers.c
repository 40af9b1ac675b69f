#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "ln-context.h"
#include "ln-entry.h"
#include "ln-frame-window.h"
#include "ln-members.h"
#include "ln-outbox.h"
#include "ln-peer-connection.h"
#include "lp-platform.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <xxhash.h>

#define LIST_LEAST (2 * LB_SEC)
#define LIST_MOST (30 * LB_SEC)
#define LIST_PER_INSTANCE (200 * LB_MSEC)
#define LOAD_EVERY (5 * LB_SEC)
/* A connection opened to send a frame stays open for more of them. */
#define KEEP_FOR_FRAMES (30 * LB_SEC)
#define SHORTEST_TIMER LB_MSEC
/* An accepted connection must prove the key within this time. */
#define HANDSHAKE_TIMEOUT (2 * LB_SEC)
/* Accepted connections that have not proved the key. */
#define MOST_UNPROVED 256

typedef struct LnPeers LnPeers;

struct LnPeers
{
  LnTask base;
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
};

static LbMetric connections_open
    = LB_GAUGE_INIT ("lentilspindle_peer_connections",
                     NULL,
                     "Connections to other instances, both directions");
static LbMetric frames_dropped = LB_COUNTER_INIT ("lentilspindle_peer_frames_dropped_total",
                                                  NULL,
                                                  "Frames given up before they were sent");

static const LnPeerHandlers handlers;
static void carry_out (LnPeers *peers);

static LnPeerConnection *
find_connection (const LnPeers *peers, LcLinkId id)
{
  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    if (connection->id == id && id != 0)
      return connection;
  }
  return NULL;
}

static void
count_connections (const LnPeers *peers)
{
  lb_metric_set (&connections_open, (int64_t)peers->connections.length);
}

static void
add_connection (LnPeers *peers, LnPeerConnection *connection, LcLinkId id)
{
  connection->id = id;
  lb_list_append (&peers->connections, &connection->link);
  count_connections (peers);
}

static void
close_connection (LnPeers *peers, LnPeerConnection *connection)
{
  ln_peer_connection_close (connection);
  lb_list_remove (&peers->connections, &connection->link);
  lb_list_append (&peers->closed, &connection->link);
  count_connections (peers);
}

static void
free_all (LbList *connections)
{
  LbLink *link;

  while ((link = lb_list_pop (connections)))
    ln_peer_connection_free (LB_CONTAINER (link, LnPeerConnection, link));
}

static void
note_sent (const LnPeers *peers, const LnPeerConnection *connection)
{
  lc_membership_sent (peers->membership, connection->id, lb_clock_monotonic ());
}

/* A connection on which too much waits unsent is as good as silent: its end closes it. */
static void
send_frame (LnPeers *peers, LnPeerConnection *connection, const uint8_t *frame, size_t length)
{
  LcLinkId id = connection->id;

  if (ln_peer_connection_send (connection, frame, length))
    return;
  lb_metric_add (&frames_dropped, 1);
  close_connection (peers, connection);
  lc_membership_closed (peers->membership, id, lb_clock_monotonic (), &peers->actions);
}

static void
send_message (LnPeers *peers, LnPeerConnection *connection, const LwMessage *message)
{
  size_t length;
  uint8_t *frame = lw_message_encode (message, &length);

  send_frame (peers, connection, frame, length);
  if (message->type != LW_PING && message->type != LW_PONG)
    note_sent (peers, connection);
  free (frame);
}

/* One frame to each instance to which a connection is open, but not on the connection except. Two
 * instances may have a connection in each direction; the one heard last is taken. */
static void
send_to_all (LnPeers *peers, const LwMessage *message, LcLinkId except)
{
  const char *except_name = lc_membership_link_name (peers->membership, except);
  size_t length;
  uint8_t *frame = lw_message_encode (message, &length);

  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    const char *name = lc_membership_link_name (peers->membership, connection->id);
    if (name && (!except_name || strcmp (name, except_name) != 0)
        && lc_membership_link_to (peers->membership, name) == connection->id)
      {
        note_sent (peers, connection);
        send_frame (peers, connection, frame, length);
      }
  }
  free (frame);
}

static void
open_connection (LnPeers *peers, const LcMembershipAction *action)
{
  LnPeerConnection *connection
      = ln_peer_connection_dial (peers->context->base, action->address,
                                 peers->context->settings->cluster.key,
                                 lc_membership_self (peers->membership), &handlers, peers);

  if (connection)
    add_connection (peers, connection, action->link);
  else
    lc_membership_closed (peers->membership, action->link, lb_clock_monotonic (), &peers->actions);
}

static void
close_as_ordered (LnPeers *peers, const LcMembershipAction *action)
{
  LnPeerConnection *connection = find_connection (peers, action->link);

  if (!connection)
    return;
  if (action->reason != LB_OK)
    {
      lb_metric_count_error ((int)action->reason);
      lb_log (LB_LOG_INFO, "peer_connection_closed",
              LB_TEXT ("peer", connection->handshake.peer.name),
              LB_TEXT ("error", lb_error_name (action->reason)));
    }
  close_connection (peers, connection);
}

static void
send_as_ordered (LnPeers *peers, const LcMembershipAction *action)
{
  static const LwMessageType types[] = { [LC_MEMBERSHIP_PING] = LW_PING,
                                         [LC_MEMBERSHIP_SPREAD] = LW_INSTANCES,
                                         [LC_MEMBERSHIP_TELL] = LW_INSTANCES,
                                         [LC_MEMBERSHIP_COMPARE] = LW_COMPARE };
  LwMessage message = { .type = types[action->type],
                        .digest = action->digest,
                        .instances = action->instances,
                        .n_instances = action->n_instances,
                        .answer = action->answer };

  LnPeerConnection *connection = find_connection (peers, action->link);
  if (action->type == LC_MEMBERSHIP_SPREAD)
    send_to_all (peers, &message, action->link);
  else if (connection)
    send_message (peers, connection, &message);
}

static void
carry_out_one (LnPeers *peers, const LcMembershipAction *action)
{
  switch (action->type)
    {
    case LC_MEMBERSHIP_DIAL:
      open_connection (peers, action);
      break;
    case LC_MEMBERSHIP_CLOSE:
      close_as_ordered (peers, action);
      break;
    case LC_MEMBERSHIP_PING:
    case LC_MEMBERSHIP_SPREAD:
    case LC_MEMBERSHIP_TELL:
    case LC_MEMBERSHIP_COMPARE:
      send_as_ordered (peers, action);
      break;
    case LC_MEMBERSHIP_CHANGED:
      ln_members_publish (peers->membership, peers->base.hub);
      break;
    }
}

static void
set_timer (LnPeers *peers)
{
  LbTime wait = lc_membership_next_tick (peers->membership) - lb_clock_monotonic ();

  if (wait < SHORTEST_TIMER)
    wait = SHORTEST_TIMER;
  struct timeval delay = { .tv_sec = wait / LB_SEC, .tv_usec = wait % LB_SEC };
  event_add (peers->timer, &delay);
}

static void
carry_out (LnPeers *peers)
{
  LbLink *link;

  while ((link = lb_list_pop (&peers->actions)))
    {
      LcMembershipAction *action = LB_CONTAINER (link, LcMembershipAction, link_in_list);
      carry_out_one (peers, action);
      lc_membership_action_free (action);
    }
  ln_members_count (peers->membership, &peers->counted);
  set_timer (peers);
}

static void
send_waiting (const uint8_t *frame, size_t length, void *user)
{
  LnPeerConnection *connection = user;

  note_sent (connection->user, connection);
  if (!ln_peer_connection_send (connection, frame, length))
    lb_metric_add (&frames_dropped, 1);
}

static void
on_opened (LnPeerConnection *connection, const LcInstance *peer, void *user)
{
  LnPeers *peers = user;
  LbTime now = lb_clock_monotonic ();

  if (connection->id != 0)
    lc_membership_dialled (peers->membership, connection->id, peer, now, &peers->actions);
  else
    connection->id = lc_membership_accepted (peers->membership, peer, now, &peers->actions);
  if (connection->id == 0)
    close_connection (peers, connection);
  else
    ln_outbox_flush (&peers->outbox, peer->name, send_waiting, connection);
  carry_out (peers);
}

static void
on_failed (LnPeerConnection *connection, const LbError *error, void *user)
{
  LnPeers *peers = user;
  LcLinkId id = connection->id;

  lb_metric_count_error ((int)error->code);
  lb_log_error (error->code == LB_ERROR_CLOSED ? LB_LOG_DEBUG : LB_LOG_WARNING,
                "peer_connection_failed", error);
  close_connection (peers, connection);
  lc_membership_closed (peers->membership, id, lb_clock_monotonic (), &peers->actions);
  carry_out (peers);
}

static void
peer_message_clear (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

static void
deliver (LnPeers *peers, const char *sender, const char *topic, const char *payload, size_t length)
{
  LnTask *task = ln_hub_find (peers->base.hub, topic);
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_FRAME), .length = length };

  if (!task)
    {
      lb_log (LB_LOG_WARNING, "peer_frame_without_task", LB_TEXT ("topic", topic));
      return;
    }
  message.base.clear = peer_message_clear;
  LB_COPY (message.instance, sender);
  LB_COPY (message.topic, topic);
  message.payload = lb_malloc (length + 1);
  memcpy (message.payload, payload, length);
  message.payload[length] = '\0';
  LN_POST (peers->base.hub, task, message);
}

/* A frame to all is passed on over all connections, so that the sender need not have one to each.
 */
static void
receive_data (LnPeers *peers, LcLinkId from, const LwMessage *message)
{
  if (strcmp (message->origin, lc_membership_self (peers->membership)->name) == 0)
    return;
  if (message->to_all
      && !ln_frame_window_note (peers->window, message->origin, message->origin_epoch,
                                message->sequence))
    return;
  deliver (peers, message->origin, message->topic, message->payload, message->length);
  if (message->to_all)
    send_to_all (peers, message, from);
}

static void
answer_ping (LnPeers *peers, LnPeerConnection *connection)
{
  LwMessage pong = { .type = LW_PONG, .digest = lc_membership_digest (peers->membership) };

  send_message (peers, connection, &pong);
}

static void
refuse_message (LnPeers *peers, LnPeerConnection *connection)
{
  LbError error;

  lb_error_set (&error, LB_ERROR_FRAME_GARBLED, "peer", "a handshake message out of turn");
  on_failed (connection, &error, peers);
}

static void
on_received (LnPeerConnection *connection, const LwMessage *message, void *user)
{
  LnPeers *peers = user;
  LcLinkId id = connection->id;
  LbTime now = lb_clock_monotonic ();

  lc_membership_heard (peers->membership, id, now);
  switch (message->type)
    {
    case LW_PING:
      answer_ping (peers, connection);
      break;
    case LW_PONG:
      lc_membership_digest_heard (peers->membership, id, message->digest, now);
      break;
    case LW_INSTANCES:
      lc_membership_told (peers->membership, id, message->instances, message->n_instances, now,
                          &peers->actions);
      break;
    case LW_COMPARE:
      lc_membership_compared (peers->membership, id, message->instances, message->n_instances,
                              message->answer, now, &peers->actions);
      break;
    case LW_DATA:
      receive_data (peers, id, message);
      break;
    case LW_HELLO:
    case LW_CHALLENGE:
    case LW_PROOF:
    case LW_N_MESSAGES:
      refuse_message (peers, connection);
      return;
    }
  carry_out (peers);
}

static const LnPeerHandlers handlers
    = { .opened = on_opened, .received = on_received, .failed = on_failed };

static size_t
count_unproved (const LnPeers *peers)
{
  size_t count = 0;

  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    count += connection->id == 0;
  }
  return count;
}

static void
on_accept (struct evconnlistener *listener,
           evutil_socket_t fd,
           struct sockaddr *address,
           int length,
           void *user)
{
  (void)listener;
  (void)address;
  (void)length;
  LnPeers *peers = user;

  if (!peers->membership || count_unproved (peers) >= MOST_UNPROVED)
    {
      evutil_closesocket (fd);
      return;
    }
  LnPeerConnection *connection
      = ln_peer_connection_accept (peers->context->base, fd, peers->context->settings->cluster.key,
                                   lc_membership_self (peers->membership), &handlers, peers);
  if (!connection)
    return;
  connection->opened_by = lb_clock_monotonic () + HANDSHAKE_TIMEOUT;
  add_connection (peers, connection, 0);
}

/* The failure: whoever connects and says nothing would hold a socket for ever. */
static void
close_unproved (LnPeers *peers, LbTime now)
{
  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    if (connection->id != 0 || now < connection->opened_by)
      continue;
    lb_metric_count_error (LB_ERROR_TIMEOUT);
    close_connection (peers, connection);
  }
}

static bool
is_listed (const char *const *names, size_t n_names, const char *name)
{
  for (size_t i = 0; i < n_names; i++)
    if (strcmp (names[i], name) == 0)
      return true;
  return false;
}

static void
say_leaving (LnPeers *peers, const char *endpoint, bool stays)
{
  LnTask *calls = ln_hub_find (peers->base.hub, "calls");
  LnEndpointLeavingMessage message
      = { .base = LN_MESSAGE (LN_ENDPOINT_LEAVING), .source = LC_LEAVING_PLATFORM, .stays = stays };

  if (!calls)
    return;
  LB_COPY (message.endpoint, endpoint);
  LN_POST (peers->base.hub, calls, message);
}

/* Passes on which endpoints the platform's list says are leaving, and which no longer. */
static void
take_leaving_endpoints (LnPeers *peers, const LpInstanceList *list)
{
  for (size_t i = 0; i < peers->n_leaving; i++)
    if (!is_listed (list->leaving_endpoints, list->n_leaving_endpoints, peers->leaving[i]))
      say_leaving (peers, peers->leaving[i], true);
  peers->leaving = lb_realloc (peers->leaving, list->n_leaving_endpoints * sizeof (LbName));
  peers->n_leaving = list->n_leaving_endpoints;
  for (size_t i = 0; i < peers->n_leaving; i++)
    {
      say_leaving (peers, list->leaving_endpoints[i], false);
      LB_COPY (peers->leaving[i], list->leaving_endpoints[i]);
    }
}

static void
take_list (LnPeers *peers, const LpInstanceList *list)
{
  LcListedInstance *listed = LB_NEW_ARRAY (LcListedInstance, list->n_instances);

  for (size_t i = 0; i < list->n_instances; i++)
    {
      LB_COPY (listed[i].name, list->instances[i].name);
      LB_COPY (listed[i].peer_address, list->instances[i].peer_address);
      listed[i].leaving = list->instances[i].leaving;
    }
  lc_membership_listed (peers->membership, listed, list->n_instances, lb_clock_monotonic (),
                        &peers->actions);
  free (listed);
  take_leaving_endpoints (peers, list);
  carry_out (peers);
}

static void
on_list (LbErrorCode error, const LpInstanceList *list, void *user)
{
  LnPeers *peers = user;

  peers->listing = false;
  if (error == LB_OK)
    take_list (peers, list);
}

/* The platform is freed right after the tasks and drops what it has not answered: on_list never
 * sees a task that has ended, and an unanswered call leaves nothing behind. */
/* The list grows with the instances and each instance reads it, so the pause grows with them too:
 * some instance still reads it every LIST_PER_INSTANCE and tells the others who leaves. Spread, so
 * that instances that started together do not read together. */
static LbTime
list_pause (const LnPeers *peers, LbTime now)
{
  LbTime pause = (LbTime)lc_membership_count (peers->membership) * LIST_PER_INSTANCE;
  LbTime spread = (LbTime)(XXH64 (&now, sizeof now, peers->context->settings->seed) % 512);

  if (pause < LIST_LEAST)
    pause = LIST_LEAST;
  if (pause > LIST_MOST)
    pause = LIST_MOST;
  return pause - pause * spread / 2048;
}

static void
ask_for_list (LnPeers *peers, LbTime now)
{
  LpPlatform *platform = peers->context->platform;

  if (now < peers->next_list || peers->listing || !platform)
    return;
  peers->next_list = now + list_pause (peers, now);
  peers->listing = true;
  platform->klass->instances (platform, on_list, peers);
}

static LbTime
processor_time (void)
{
  struct rusage usage;

  getrusage (RUSAGE_SELF, &usage);
  return (usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * LB_SEC + usage.ru_utime.tv_usec
         + usage.ru_stime.tv_usec;
}

/* One event loop an instance: the share of one core that it uses is its load. */
static void
measure_load (LnPeers *peers, LbTime now)
{
  if (now < peers->next_load)
    return;
  LbTime used = processor_time ();
  LbTime since = now - peers->next_load + LOAD_EVERY;
  int64_t load = (used - peers->used_processor) * 1000 / since;
  if (peers->next_load > 0)
    lc_membership_set_load (peers->membership, load, now, &peers->actions);
  peers->used_processor = used;
  peers->next_load = now + LOAD_EVERY;
}

/* The failure: two processes of one name start in the same millisecond and have the same epoch;
 * then nobody sees that they are two. So the epoch has sixteen bits of the incarnation below the
 * clock. */
static uint64_t
make_epoch (const char *incarnation)
{
  uint64_t hash = XXH64 (incarnation, strlen (incarnation), 0);

  return (uint64_t)lb_clock_wall_ms () << 16 | (hash & 0xffff);
}

static LcInstance
describe_self (const LnContext *context)
{
  LcInstance self = { .epoch = make_epoch (context->incarnation) };

  LB_COPY (self.name, context->instance);
  LB_COPY (self.incarnation, context->incarnation);
  LB_COPY (self.data_centre, context->settings->instance.data_centre);
  LB_COPY (self.caller_address, context->caller_address);
  LB_COPY (self.peer_address, context->peer_address);
  return self;
}

/* Not before the loop runs: only then are the addresses of all tasks bound. */
static void
join (LnPeers *peers, LbTime now)
{
  const LnSettings *settings = peers->context->settings;
  LcMembershipSettings membership = lc_membership_settings_default ();

  membership.self = describe_self (peers->context);
  membership.seed
      = XXH64 (peers->context->incarnation, strlen (peers->context->incarnation), settings->seed);
  peers->membership = lc_membership_new (&membership, now);
  for (size_t i = 0; i < settings->cluster.n_seeds; i++)
    lc_membership_seed (peers->membership, settings->cluster.seeds[i], now);
  ln_members_publish (peers->membership, peers->base.hub);
}

static void
on_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnPeers *peers = user;
  LbTime now = lb_clock_monotonic ();

  if (!peers->membership)
    join (peers, now);
  free_all (&peers->closed);
  close_unproved (peers, now);
  lb_metric_add (&frames_dropped, (int64_t)ln_outbox_expire (&peers->outbox, now));
  ask_for_list (peers, now);
  measure_load (peers, now);
  lc_membership_tick (peers->membership, now, &peers->actions);
  carry_out (peers);
}

static void
send_to_one (LnPeers *peers, const char *name, const LwMessage *data, LbTime now)
{
  LcLinkId id = lc_membership_link_to (peers->membership, name);
  size_t length;

  if (!lc_membership_want (peers->membership, name, now + KEEP_FOR_FRAMES, now, &peers->actions))
    {
      lb_metric_add (&frames_dropped, 1);
      return;
    }
  LnPeerConnection *connection = find_connection (peers, id);
  if (connection)
    {
      send_message (peers, connection, data);
      return;
    }
  uint8_t *frame = lw_message_encode (data, &length);
  if (!ln_outbox_add (&peers->outbox, name, frame, length, now))
    lb_metric_add (&frames_dropped, 1);
}

static void
receive_send (LnPeers *peers, const LnPeerMessage *message)
{
  const LcInstance *self = lc_membership_self (peers->membership);
  LwMessage data = { .type = LW_DATA,
                     .origin_epoch = self->epoch,
                     .to_all = message->instance[0] == '\0',
                     .payload = message->payload,
                     .length = message->length };

  LB_COPY (data.origin, self->name);
  LB_COPY (data.topic, message->topic);
  if (data.to_all)
    {
      data.sequence = ++peers->sequence;
      send_to_all (peers, &data, 0);
    }
  else if (strcmp (message->instance, self->name) == 0)
    deliver (peers, self->name, message->topic, message->payload, message->length);
  else
    send_to_one (peers, message->instance, &data, lb_clock_monotonic ());
  carry_out (peers);
}

static void
receive_exchange (LnPeers *peers, LnExchange *exchange)
{
  ln_exchange_set_owner (exchange, &peers->base);
  ln_entry_answer (exchange, peers->membership, peers->context->settings->drain.entry_ttl_ms);
}

static void
peers_drain (LnTask *task)
{
  LnPeers *peers = (LnPeers *)task;

  if (!peers->membership)
    return;
  lc_membership_set_draining (peers->membership, lb_clock_monotonic (), &peers->actions);
  carry_out (peers);
}

static void
peers_receive (LnTask *task, const LnMessage *message)
{
  LnPeers *peers = (LnPeers *)task;

  if (!peers->membership)
    join (peers, lb_clock_monotonic ());
  switch (message->type)
    {
    case LN_EXCHANGE:
      receive_exchange (peers, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_PEER_SEND:
      receive_send (peers, (const LnPeerMessage *)message);
      break;
    case LN_DRAINING:
      peers_drain (task);
      break;
    default:
      break;
    }
}

static void
peers_free (LnTask *task)
{
  LnPeers *peers = (LnPeers *)task;
  LbLink *link;

  free_all (&peers->connections);
  free_all (&peers->closed);
  while ((link = lb_list_pop (&peers->actions)))
    lc_membership_action_free (LB_CONTAINER (link, LcMembershipAction, link_in_list));
  ln_outbox_clear (&peers->outbox);
  ln_frame_window_free (peers->window);
  lc_membership_free (peers->membership);
  free (peers->leaving);
  if (peers->listener)
    evconnlistener_free (peers->listener);
  event_free (peers->timer);
  free (peers);
}

static const LnTaskClass peers_class
    = { .name = "peers", .receive = peers_receive, .drain = peers_drain, .free = peers_free };

static void
note_bound_address (LnPeers *peers)
{
  struct sockaddr_in bound = { 0 };
  socklen_t length = sizeof bound;
  char ip[INET_ADDRSTRLEN] = "";

  getsockname (evconnlistener_get_fd (peers->listener), (struct sockaddr *)&bound, &length);
  evutil_inet_ntop (AF_INET, &bound.sin_addr, ip, sizeof ip);
  snprintf (peers->context->peer_address, sizeof peers->context->peer_address, "%s:%d", ip,
            ntohs (bound.sin_port));
}

/* libevent's own reader of addresses refuses port 0, which asks the kernel to choose one. */
static bool
read_listen_address (const char *text, struct sockaddr_in *address)
{
  const char *colon = strrchr (text, ':');
  char ip[INET_ADDRSTRLEN] = "";

  if (!colon || (size_t)(colon - text) >= sizeof ip)
    return false;
  memcpy (ip, text, (size_t)(colon - text));
  address->sin_family = AF_INET;
  address->sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10));
  return inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

static bool
cannot_listen (const char *address)
{
  LbError error;

  lb_error_set (&error, LB_ERROR_IO, "instance.peer_address", "cannot listen at %s: %s", address,
                strerror (errno));
  lb_log_error (LB_LOG_ERROR, "start_failed", &error);
  return false;
}

static bool
start_listening (LnPeers *peers)
{
  const char *address = peers->context->settings->instance.peer_address;
  struct sockaddr_in wanted = { 0 };

  if (!read_listen_address (address, &wanted))
    return cannot_listen (address);
  peers->listener = evconnlistener_new_bind (peers->context->base, on_accept, peers,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                             (struct sockaddr *)&wanted, sizeof wanted);
  if (!peers->listener)
    return cannot_listen (address);
  note_bound_address (peers);
  return true;
}

/* Binds the peer address of the settings and writes the bound one into the context. NULL when it
 * cannot be bound. */
LnTask *
ln_peers_new (LnContext *context)
{
  LnPeers *peers = LB_NEW (LnPeers);
  struct timeval at_once = { 0 };

  peers->base.klass = &peers_class;
  peers->context = context;
  peers->timer = event_new (context->base, -1, 0, on_timer, peers);
  peers->window = ln_frame_window_new ();
  lb_list_init (&peers->connections);
  lb_list_init (&peers->closed);
  lb_list_init (&peers->actions);
  ln_outbox_init (&peers->outbox);
  if (!start_listening (peers))
    {
      peers_free (&peers->base);
      return NULL;
    }
  event_add (peers->timer, &at_once);
  return &peers->base;
}

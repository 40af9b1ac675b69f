#include "ln-peers-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "ln-entry.h"
#include "ln-members.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Makes the number by which the other instances order the incarnations of an instance: the wall
 * clock in milliseconds, followed by 16 bits of a hash of the incarnation. Without the hash, two
 * processes that start under the same name in the same millisecond would count as one instance. */
static uint64_t
make_incarnation_epoch (const char *incarnation)
{
  uint64_t hash = XXH64 (incarnation, strlen (incarnation), 0);

  return (uint64_t)lb_clock_wall_ms () << 16 | (hash & 0xffff);
}

static LcInstance
describe_this_instance (const LnContext *context)
{
  LcInstance self = { .epoch = make_incarnation_epoch (context->incarnation) };

  LB_COPY (self.name, context->instance);
  LB_COPY (self.incarnation, context->incarnation);
  LB_COPY (self.data_centre, context->settings->instance.data_centre);
  LB_COPY (self.caller_address, context->caller_address);
  LB_COPY (self.peer_address, context->peer_address);
  return self;
}

/* Called once the event loop runs, because only then the addresses of all tasks are bound. */
static void
start_membership (LnPeers *peers, LbTime now)
{
  const LnSettings *settings = peers->context->settings;
  LcMembershipSettings membership = lc_membership_settings_default ();

  membership.self = describe_this_instance (peers->context);
  membership.random_seed
      = XXH64 (peers->context->incarnation, strlen (peers->context->incarnation), settings->seed);
  peers->membership = lc_membership_new (&membership, now);
  for (size_t i = 0; i < settings->cluster.n_seeds; i++)
    lc_membership_add_seed (peers->membership, settings->cluster.seeds[i], now);
  ln_members_publish (peers->membership, peers->base.hub);
}

static void
on_membership_timer (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  LnPeers *peers = user;
  LbTime now = lb_clock_monotonic ();

  if (!peers->membership)
    start_membership (peers, now);
  ln_peers_free_connections (&peers->closed_connections);
  ln_peers_close_expired_handshakes (peers, now);
  ln_peers_drop_expired_frames (peers, now);
  ln_peers_request_platform_list (peers, now);
  ln_peers_measure_load (peers, now);
  lc_membership_tick (peers->membership, now, &peers->actions);
  ln_peers_run_membership_actions (peers);
}

static void
answer_address_lookup (LnPeers *peers, LnExchange *exchange)
{
  ln_exchange_set_owner (exchange, &peers->base);
  ln_entry_reply_addresses (exchange, peers->membership,
                            peers->context->settings->drain.entry_ttl_ms);
}

static void
drain_peers_task (LnTask *task)
{
  LnPeers *peers = (LnPeers *)task;

  if (!peers->membership)
    return;
  lc_membership_mark_self_draining (peers->membership, lb_clock_monotonic (), &peers->actions);
  ln_peers_run_membership_actions (peers);
}

static void
receive_message_for_peers_task (LnTask *task, const LnMessage *message)
{
  LnPeers *peers = (LnPeers *)task;

  if (!peers->membership)
    start_membership (peers, lb_clock_monotonic ());
  switch (message->type)
    {
    case LN_EXCHANGE:
      answer_address_lookup (peers, ((const LnExchangeMessage *)message)->exchange);
      break;
    case LN_PEER_SEND:
      ln_peers_send_task_message (peers, (const LnPeerMessage *)message);
      break;
    case LN_DRAINING:
      drain_peers_task (task);
      break;
    default:
      break;
    }
}

static void
free_peers_task (LnTask *task)
{
  LnPeers *peers = (LnPeers *)task;
  LbLink *link;

  ln_peers_free_connections (&peers->connections);
  ln_peers_free_connections (&peers->closed_connections);
  while ((link = lb_list_pop (&peers->actions)))
    lc_membership_action_free (LB_CONTAINER (link, LcMembershipAction, link_in_list));
  ln_outbox_clear (&peers->outbox);
  ln_frame_window_free (peers->seen_frames);
  lc_membership_free (peers->membership);
  free (peers->leaving_endpoints);
  if (peers->listener)
    evconnlistener_free (peers->listener);
  event_free (peers->timer);
  free (peers);
}

static const LnTaskClass peers_class = { .name = "peers",
                                         .receive = receive_message_for_peers_task,
                                         .drain = drain_peers_task,
                                         .free = free_peers_task };

/* Creates the task, binds the configured peer address and stores the bound address in the context.
 * Returns NULL if the address can't be bound. */
LnTask *
ln_peers_task_new (LnContext *context)
{
  LnPeers *peers = LB_NEW (LnPeers);
  struct timeval no_delay = { 0 };

  peers->base.klass = &peers_class;
  peers->context = context;
  peers->timer = event_new (context->base, -1, 0, on_membership_timer, peers);
  peers->seen_frames = ln_frame_window_new ();
  lb_list_init (&peers->connections);
  lb_list_init (&peers->closed_connections);
  lb_list_init (&peers->actions);
  ln_outbox_init (&peers->outbox);
  if (!ln_peers_start_listening (peers))
    {
      free_peers_task (&peers->base);
      return NULL;
    }
  event_add (peers->timer, &no_delay);
  return &peers->base;
}

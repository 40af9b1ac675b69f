#include "ln-peers-private.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"

#include <stdlib.h>
#include <string.h>

/* A connection that was opened to send a frame is kept open this long for further frames. */
#define KEEP_CONNECTED_TIME (30 * LB_SEC)

static LbMetric frames_dropped = LB_COUNTER_INIT ("lentilspindle_peer_frames_dropped_total",
                                                  NULL,
                                                  "Frames dropped before they were sent");

/* Sends the frame. Closes the connection if the frame can't be sent, because a peer that does not
 * read from the connection is treated like a peer that sends nothing. */
static void
send_frame_or_close_connection (LnPeers *peers,
                                LnPeerConnection *connection,
                                const uint8_t *frame,
                                size_t length)
{
  LcLinkId id = connection->id;

  if (ln_peer_connection_send (connection, frame, length))
    return;
  lb_metric_add (&frames_dropped, 1);
  ln_peers_close_connection (peers, connection);
  lc_membership_link_closed (peers->membership, id, lb_clock_monotonic (), &peers->actions);
}

void
ln_peers_send_message (LnPeers *peers, LnPeerConnection *connection, const LwMessage *message)
{
  size_t length;
  uint8_t *frame = lw_message_encode (message, &length);

  send_frame_or_close_connection (peers, connection, frame, length);
  if (message->type != LW_PING && message->type != LW_PONG)
    ln_peers_record_sent_frame (peers, connection);
  free (frame);
}

/* If two instances have a connection in each direction, the frame is sent only on the connection on
 * which a frame arrived last. */
void
ln_peers_broadcast (LnPeers *peers, const LwMessage *message, LcLinkId except)
{
  const char *except_name = lc_membership_link_peer_name (peers->membership, except);
  size_t length;
  uint8_t *frame = lw_message_encode (message, &length);

  LB_LIST_FOREACH (&peers->connections, LnPeerConnection, link, connection)
  {
    const char *name = lc_membership_link_peer_name (peers->membership, connection->id);
    if (name && (!except_name || strcmp (name, except_name) != 0)
        && lc_membership_find_link (peers->membership, name) == connection->id)
      {
        ln_peers_record_sent_frame (peers, connection);
        send_frame_or_close_connection (peers, connection, frame, length);
      }
  }
  free (frame);
}

static void
send_queued_frame (const uint8_t *frame, size_t length, void *user)
{
  LnPeerConnection *connection = user;

  ln_peers_record_sent_frame (connection->user, connection);
  if (!ln_peer_connection_send (connection, frame, length))
    lb_metric_add (&frames_dropped, 1);
}

void
ln_peers_flush_outbox (LnPeers *peers, LnPeerConnection *connection, const char *name)
{
  ln_outbox_flush (&peers->outbox, name, send_queued_frame, connection);
}

void
ln_peers_drop_expired_frames (LnPeers *peers, LbTime now)
{
  lb_metric_add (&frames_dropped, (int64_t)ln_outbox_drop_expired_frames (&peers->outbox, now));
}

static void
free_message_payload (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

static void
deliver_payload_to_task (
    LnPeers *peers, const char *sender, const char *topic, const char *payload, size_t length)
{
  LnTask *task = ln_hub_find_task (peers->base.hub, topic);
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_FRAME), .length = length };

  if (!task)
    {
      lb_log (LB_LOG_WARNING, "peer_frame_without_task", LB_TEXT ("topic", topic));
      return;
    }
  message.base.clear = free_message_payload;
  LB_COPY (message.instance, sender);
  LB_COPY (message.topic, topic);
  message.payload = lb_malloc (length + 1);
  memcpy (message.payload, payload, length);
  message.payload[length] = '\0';
  LN_POST (peers->base.hub, task, message);
}

/* Broadcast frames are forwarded to all connected instances, since their sender is not connected to
 * each instance. */
void
ln_peers_deliver_task_message (LnPeers *peers, LcLinkId from, const LwMessage *message)
{
  if (strcmp (message->origin, lc_membership_self (peers->membership)->name) == 0)
    return;
  if (message->is_broadcast
      && !ln_frame_window_record_if_new (peers->seen_frames, message->origin, message->origin_epoch,
                                         message->sequence))
    return;
  deliver_payload_to_task (peers, message->origin, message->topic, message->payload,
                           message->payload_length);
  if (message->is_broadcast)
    ln_peers_broadcast (peers, message, from);
}

static void
send_or_queue_for_instance (LnPeers *peers, const char *name, const LwMessage *data, LbTime now)
{
  LcLinkId id = lc_membership_find_link (peers->membership, name);
  size_t length;

  if (!lc_membership_keep_connected (peers->membership, name, now + KEEP_CONNECTED_TIME, now,
                                     &peers->actions))
    {
      lb_metric_add (&frames_dropped, 1);
      return;
    }
  LnPeerConnection *connection = ln_peers_find_connection (peers, id);
  if (connection)
    {
      ln_peers_send_message (peers, connection, data);
      return;
    }
  uint8_t *frame = lw_message_encode (data, &length);
  if (!ln_outbox_add_frame (&peers->outbox, name, frame, length, now))
    lb_metric_add (&frames_dropped, 1);
}

void
ln_peers_send_task_message (LnPeers *peers, const LnPeerMessage *message)
{
  const LcInstance *self = lc_membership_self (peers->membership);
  LwMessage data = { .type = LW_DATA,
                     .origin_epoch = self->epoch,
                     .is_broadcast = message->instance[0] == '\0',
                     .payload = message->payload,
                     .payload_length = message->length };

  LB_COPY (data.origin, self->name);
  LB_COPY (data.topic, message->topic);
  if (data.is_broadcast)
    {
      data.sequence = ++peers->sequence;
      ln_peers_broadcast (peers, &data, 0);
    }
  else if (strcmp (message->instance, self->name) == 0)
    deliver_payload_to_task (peers, self->name, message->topic, message->payload, message->length);
  else
    send_or_queue_for_instance (peers, message->instance, &data, lb_clock_monotonic ());
  ln_peers_run_membership_actions (peers);
}

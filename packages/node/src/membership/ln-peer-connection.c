#include "ln-peer-connection.h"

#include "lb-alloc.h"
#include "lb-counter.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Maximum number of unsent bytes per connection: two frames of maximum size. */
#define MAX_UNSENT_BYTES (2 * LW_FRAME_MAX_BODY_BYTES)

static LbMetric bytes_sent = LB_COUNTER_INIT ("lentilspindle_peer_bytes_sent_total",
                                              NULL,
                                              "Bytes of frames sent to other instances");
static LbMetric bytes_received = LB_COUNTER_INIT ("lentilspindle_peer_bytes_received_total",
                                                  NULL,
                                                  "Bytes of frames received from other instances");

static void
report_connection_failure (LnPeerConnection *connection, const LbError *error)
{
  connection->handlers->failed (connection, error, connection->user);
}

static void
send_handshake_message (LnPeerConnection *connection, const LwMessage *message)
{
  size_t length;
  uint8_t *frame = lw_message_encode (message, &length);

  ln_peer_connection_send (connection, frame, length);
  free (frame);
}

static bool
continue_handshake (LnPeerConnection *connection, const LwMessage *message, LbError *error)
{
  LwMessage answer;

  if (!lw_handshake_verify_and_answer_message (&connection->handshake, message, &answer, error))
    return false;
  if (answer.type != 0)
    send_handshake_message (connection, &answer);
  if (connection->handshake.done)
    connection->handlers->opened (connection, &connection->handshake.peer, connection->user);
  return true;
}

static bool
handle_peer_frame (LnPeerConnection *connection, const LwFrame *frame, LbError *error)
{
  LwMessage message;
  bool ok = true;

  if (!lw_message_decode (frame->body, frame->length, &message, error))
    return false;
  if (connection->handshake.done)
    connection->handlers->received (connection, &message, connection->user);
  else
    ok = continue_handshake (connection, &message, error);
  lw_message_clear (&message);
  return ok;
}

/* Reads one frame from the buffer. For a partial frame, sets the read low watermark to the frame's
 * end: evbuffer_pullup at each arrival of bytes would copy a large frame hundreds of times. */
static LwFrameResult
read_frame (LnPeerConnection *connection, struct evbuffer *input, LbError *error)
{
  size_t cap = connection->handshake.done ? LW_FRAME_MAX_BODY_BYTES
                                          : LW_FRAME_MAX_UNAUTHENTICATED_BODY_BYTES;
  size_t length = evbuffer_get_length (input);
  LwFrame frame;

  const uint8_t *bytes = evbuffer_pullup (input, (ev_ssize_t)length);
  LwFrameResult result = lw_frame_parse (bytes, length, cap, &frame, error);
  if (result == LW_FRAME_PARTIAL)
    bufferevent_setwatermark (connection->stream, EV_READ, frame.consumed, 0);
  if (result != LW_FRAME_COMPLETE)
    return result;
  lb_metric_add (&bytes_received, (int64_t)frame.consumed);
  if (!handle_peer_frame (connection, &frame, error))
    return LW_FRAME_INVALID;
  if (!connection->is_closed)
    evbuffer_drain (input, frame.consumed);
  return LW_FRAME_COMPLETE;
}

static void
on_stream_readable (struct bufferevent *stream, void *user)
{
  LnPeerConnection *connection = user;
  LwFrameResult result = LW_FRAME_COMPLETE;
  LbError error = { .code = LB_OK };

  bufferevent_setwatermark (stream, EV_READ, 0, 0);
  while (!connection->is_closed && result == LW_FRAME_COMPLETE
         && evbuffer_get_length (bufferevent_get_input (stream)) > 0)
    result = read_frame (connection, bufferevent_get_input (stream), &error);
  if (!connection->is_closed && result == LW_FRAME_INVALID)
    report_connection_failure (connection, &error);
}

static void
set_tcp_no_delay (struct bufferevent *stream)
{
  int on = 1;

  setsockopt (bufferevent_getfd (stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
on_stream_event (struct bufferevent *stream, short what, void *user)
{
  LnPeerConnection *connection = user;
  LbError error;
  LwMessage hello;

  if (what & BEV_EVENT_CONNECTED)
    {
      set_tcp_no_delay (stream);
      lw_handshake_build_hello (&connection->handshake, &hello);
      send_handshake_message (connection, &hello);
      return;
    }
  if (!(what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)))
    return;
  lb_error_set (&error, LB_ERROR_CLOSED, "peer", "%s",
                what & BEV_EVENT_EOF ? "the peer closed the connection"
                                     : evutil_socket_error_to_string (evutil_socket_geterror (-1)));
  report_connection_failure (connection, &error);
}

static LnPeerConnection *
peer_connection_new (struct bufferevent *stream,
                     bool is_dialler,
                     const char *key,
                     const LcInstance *self,
                     const LnPeerHandlers *handlers,
                     void *user)
{
  LnPeerConnection *connection = LB_NEW (LnPeerConnection);
  uint8_t nonce[LW_NONCE_BYTES];

  if (!stream || RAND_bytes (nonce, sizeof nonce) != 1)
    {
      if (stream)
        bufferevent_free (stream);
      free (connection);
      return NULL;
    }
  connection->handlers = handlers;
  connection->user = user;
  connection->stream = stream;
  lw_handshake_init (&connection->handshake, is_dialler, key, self, nonce);
  bufferevent_setcb (stream, on_stream_readable, NULL, on_stream_event, connection);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
  return connection;
}

LnPeerConnection *
ln_peer_connection_dial (struct event_base *base,
                         const char *address,
                         const char *key,
                         const LcInstance *self,
                         const LnPeerHandlers *handlers,
                         void *user)
{
  struct sockaddr_storage target;
  int length = sizeof target;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&target, &length) != 0)
    return NULL;
  struct bufferevent *stream = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  LnPeerConnection *connection = peer_connection_new (stream, true, key, self, handlers, user);
  if (!connection)
    return NULL;
  /* Removes the callbacks during the connect call: no handler may be called before this function
   * has returned the connection to its owner. */
  bufferevent_setcb (stream, NULL, NULL, NULL, NULL);
  int failed = bufferevent_socket_connect (stream, (struct sockaddr *)&target, length);
  bufferevent_setcb (stream, on_stream_readable, NULL, on_stream_event, connection);
  if (failed == 0)
    return connection;
  ln_peer_connection_close (connection);
  ln_peer_connection_free (connection);
  return NULL;
}

LnPeerConnection *
ln_peer_connection_accept (struct event_base *base,
                           int fd,
                           const char *key,
                           const LcInstance *self,
                           const LnPeerHandlers *handlers,
                           void *user)
{
  struct bufferevent *stream = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);

  if (!stream)
    evutil_closesocket (fd);
  else
    set_tcp_no_delay (stream);
  return peer_connection_new (stream, false, key, self, handlers, user);
}

void
ln_peer_connection_close (LnPeerConnection *connection)
{
  if (connection->is_closed)
    return;
  connection->is_closed = true;
  bufferevent_free (connection->stream);
  connection->stream = NULL;
}

void
ln_peer_connection_free (LnPeerConnection *connection)
{
  ln_peer_connection_close (connection);
  free (connection);
}

/* Limits the unsent bytes; otherwise a peer that reads nothing would make this process buffer all
 * frames sent to it. */
bool
ln_peer_connection_send (LnPeerConnection *connection, const uint8_t *frame, size_t length)
{
  if (connection->is_closed)
    return true;
  struct evbuffer *output = bufferevent_get_output (connection->stream);
  if (evbuffer_get_length (output) + length > MAX_UNSENT_BYTES)
    return false;
  lb_metric_add (&bytes_sent, (int64_t)length);
  return bufferevent_write (connection->stream, frame, length) == 0;
}

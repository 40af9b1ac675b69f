#include "fz-message.h"
#include "fz-peer.h"

#include "lb-alloc.h"
#include "lb-log.h"
#include "lh-fetch.h"
#include "ln-context.h"
#include "ln-messages.h"
#include "lp-platform.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/* Rounds of the event loop without a byte after which an input has had its effect. */
#define MAX_QUIET_ROUNDS 6
#define SERVICE_PATH "/services/s"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static LnSettings settings;
static LnContext context;
static FzPeer endpoint;

static void
apply_service (void)
{
  char *text = lb_asprintf ("{\"revision\": 1, \"resources\": [{\"kind\": \"endpoint\","
                            " \"name\": \"e\", \"type\": \"service\", \"pool\": \"s\","
                            " \"address\": \"%s\", \"data_centre\": \"local\","
                            " \"concurrency\": 8}]}",
                            endpoint.address);
  LnConfigMessage message = { .base = LN_MESSAGE (LN_CONFIG) };
  struct json_object *object = json_tokener_parse (text);
  LbError error = { 0 };

  message.set = lc_resource_set_from_json (object, "fuzz", &error);
  if (!message.set)
    abort ();
  ln_post (context.hub, NULL, &message.base, sizeof message);
  event_base_loop (context.base, EVLOOP_NONBLOCK);
  lc_resource_set_free (message.set);
  json_object_put (object);
  free (text);
}

/* Starts an instance with one service, whose endpoint this target plays. */
static void
start_instance (void)
{
  LnReadyMessage ready = { .base = LN_MESSAGE (LN_READY), .ready = true };

  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "fuzz");
  fz_peer_init (&endpoint);
  ln_settings_init (&settings);
  LB_COPY (settings.instance.caller_address, "127.0.0.1:0");
  settings.calls.load_poll_ms = 60000;
  context.base = event_base_new ();
  context.settings = &settings;
  context.hub = ln_hub_new (context.base);
  context.http_pool = lh_pool_new (context.base);
  context.platform = lp_memory_new (context.base);
  LB_COPY (context.instance, "i1");
  LB_COPY (context.incarnation, "a1");
  ln_hub_add_task (context.hub, ln_front_task_new (&context));
  ln_hub_add_task (context.hub, ln_calls_task_new (&context));
  LN_POST (context.hub, NULL, ready);
  apply_service ();
}

/* Whether the target that a caller sent names this target at the service. */
static bool
is_target_at_service (const char *sent, const char *target)
{
  const char *rest = sent + strlen (SERVICE_PATH);

  if (strncmp (sent, SERVICE_PATH, strlen (SERVICE_PATH)) != 0)
    return false;
  return rest[0] == '/' ? strcmp (rest, target) == 0
                        : target[0] == '/' && strcmp (rest, target + 1) == 0;
}

/* Whether the caller sent this request as its next one or a later one. Removes the requests up to
 * it from the bytes. */
static bool
take_sent_request (const char **bytes, size_t *length, const FzMessage *received)
{
  bool is_same = false;
  FzMessage sent;

  while (!is_same && fz_message_read_request (&sent, *bytes, *length) == FZ_COMPLETE)
    {
      is_same
          = strcmp (sent.words[0], received->words[0]) == 0
            && is_target_at_service (sent.words[1], received->words[1])
            && sent.body_length == received->body_length
            && (sent.body_length == 0 || memcmp (sent.body, received->body, sent.body_length) == 0);
      *bytes += sent.length;
      *length -= sent.length;
      fz_message_clear (&sent);
    }
  if (!is_same)
    fz_message_clear (&sent);
  return is_same;
}

static void
send_reply (FzConnection *connection, const char *body)
{
  char *text
      = lb_asprintf ("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body), body);

  fz_connection_send (connection, text, strlen (text));
  free (text);
}

/* Answers a request. Aborts if it is not the instance's own one for the load, and the caller did
 * not send it. */
static void
answer_request (FzConnection *connection,
                const FzMessage *message,
                const char **sent,
                size_t *sent_length)
{
  if (message->is_chunked)
    abort ();
  if (strcmp (message->words[1], "/load") == 0)
    send_reply (connection, "{\"incarnation\": \"e\", \"state\": \"serving\"}");
  else if (take_sent_request (sent, sent_length, message))
    send_reply (connection, "ok");
  else
    abort ();
}

/* Answers the requests that have arrived. Returns whether any byte has. */
static bool
serve_connection (FzConnection *connection, const char **sent, size_t *sent_length)
{
  bool has_moved = fz_connection_receive (connection);
  FzResult result = FZ_COMPLETE;
  FzMessage message;

  while (connection->length > 0 && result == FZ_COMPLETE)
    {
      result = fz_message_read_request (&message, connection->bytes, connection->length);
      if (result == FZ_INVALID)
        abort ();
      if (result == FZ_COMPLETE)
        {
          answer_request (connection, &message, sent, sent_length);
          fz_connection_drop (connection, message.length);
        }
      fz_message_clear (&message);
    }
  if (connection->is_closed)
    fz_connection_close (connection);
  return has_moved;
}

/* Runs the instance until no byte moves any more. */
static void
run_until_quiet (FzConnection *caller, const char **sent, size_t *sent_length)
{
  for (int n_quiet = 0; n_quiet < MAX_QUIET_ROUNDS; n_quiet++)
    {
      event_base_loop (context.base, EVLOOP_NONBLOCK);
      bool has_moved = fz_peer_accept (&endpoint);
      for (size_t i = 0; i < FZ_MAX_CONNECTIONS; i++)
        if (endpoint.connections[i].fd >= 0)
          has_moved |= serve_connection (&endpoint.connections[i], sent, sent_length);
      has_moved |= fz_connection_receive (caller);
      if (has_moved)
        n_quiet = -1;
    }
}

static void
expect_no_partial_request (void)
{
  for (size_t i = 0; i < FZ_MAX_CONNECTIONS; i++)
    if (endpoint.connections[i].fd >= 0 && endpoint.connections[i].length > 0)
      abort ();
}

/* Sends the input as the bytes of a caller, cut in two where its first byte says. Aborts if the
 * endpoint receives anything but requests that a strict parser finds in these bytes, in their order
 * and unchanged. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  FzConnection caller;

  if (size == 0)
    return 0;
  if (!context.base)
    start_instance ();
  const char *bytes = (const char *)data + 1;
  size_t length = size - 1;
  size_t cut = length * data[0] / 256;
  const char *unread = bytes;
  size_t unread_length = length;
  fz_connection_open (&caller, context.caller_address);
  fz_connection_send (&caller, bytes, cut);
  run_until_quiet (&caller, &unread, &unread_length);
  fz_connection_send (&caller, bytes + cut, length - cut);
  run_until_quiet (&caller, &unread, &unread_length);
  expect_no_partial_request ();
  fz_connection_close (&caller);
  event_base_loop (context.base, EVLOOP_NONBLOCK);
  return 0;
}

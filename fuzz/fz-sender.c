#include "fz-sender.h"

#include "fz-message.h"
#include "fz-peer.h"

#include "lh-request-check.h"

#include <event2/event.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ROUNDS 200

static struct event_base *base;
static LhPool *pool;
static FzPeer endpoint;
static bool is_done;

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  (void)fetch;
  (void)user;
  is_done = true;
  if (result->failure != LB_OK || result->status != 200)
    abort ();
}

static void
start_endpoint (void)
{
  signal (SIGPIPE, SIG_IGN);
  base = event_base_new ();
  pool = lh_pool_new (base);
  fz_peer_init (&endpoint);
}

/* Whether both texts are equal apart from spaces around them, which are no part of a value. */
static bool
is_same_value (const char *sent, const char *received)
{
  size_t length = 0;

  sent += strspn (sent, " \t");
  for (length = strlen (sent); length > 0 && strchr (" \t", sent[length - 1]);)
    length--;
  return strlen (received) == length && strncmp (sent, received, length) == 0;
}

/* Aborts unless the bytes at the endpoint are exactly the request. */
static void
check_received_request (const FzConnection *connection, const LhRequest *request)
{
  FzMessage message;
  size_t n_found = 0;

  if (fz_message_read_request (&message, connection->bytes, connection->length) != FZ_COMPLETE
      || message.length != connection->length || strcmp (message.words[0], request->method) != 0
      || strcmp (message.words[1], request->path) != 0
      || message.body_length != request->body_length
      || (request->body_length > 0
          && memcmp (message.body, request->body, request->body_length) != 0)
      || !is_same_value (request->host, fz_message_find_header (&message, "Host")))
    abort ();
  for (size_t i = 0; i < message.n_headers && n_found < request->n_headers; i++)
    n_found += strcmp (message.names[i], request->headers[n_found].name) == 0
               && is_same_value (request->headers[n_found].value, message.values[i]);
  if (n_found < request->n_headers)
    abort ();
  fz_message_clear (&message);
}

/* Aborts unless the endpoint gets the request whole within some rounds of the event loop. */
static void
expect_request (const LhRequest *request)
{
  static const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  FzConnection *connection = &endpoint.connections[0];
  FzMessage message;

  for (int round = 0; round < MAX_ROUNDS && !is_done; round++)
    {
      event_base_loop (base, EVLOOP_NONBLOCK);
      fz_peer_accept (&endpoint);
      if (connection->fd < 0 || !fz_connection_receive (connection))
        continue;
      FzResult result = fz_message_read_request (&message, connection->bytes, connection->length);
      fz_message_clear (&message);
      if (result == FZ_INCOMPLETE)
        continue;
      check_received_request (connection, request);
      fz_connection_send (connection, reply, sizeof reply - 1);
    }
  if (!is_done)
    abort ();
  fz_connection_close (connection);
}

bool
fz_send_request (const LhRequest *request)
{
  const LhHandlers handlers = { .on_done = on_done };
  LhRequest sent = *request;
  LbError error;

  if (!base)
    start_endpoint ();
  sent.address = endpoint.address;
  is_done = false;
  if (lh_fetch_start (pool, &sent, &handlers, NULL, &error))
    {
      expect_request (&sent);
      return true;
    }
  if (lh_request_check (&sent, &error))
    abort ();
  return false;
}

#include "si-raw-endpoint.h"

#include "lb-alloc.h"
#include "lb-time.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define ID_PLACEHOLDER "%ID%"
/* Bytes of filler that wait in the output buffer of a connection. */
#define FILLER_BYTES ((size_t)64 << 10)
#define TRICKLE_INTERVAL (50 * LB_MSEC)

typedef struct
{
  LbLink link;
  SiRawEndpoint *endpoint;
  struct bufferevent *bev;
  struct event *trickle_timer;
  bool is_replying; /* a reply is being sent that closes or never ends */
} Connection;

static void
connection_free (Connection *connection)
{
  lb_list_remove (&connection->endpoint->connections, &connection->link);
  bufferevent_free (connection->bev);
  event_free (connection->trickle_timer);
  free (connection);
}

/* Copies the value of a header from the text of a request; "" if it is absent. */
static void
read_header (const char *request, const char *name, LbName value)
{
  char *field = lb_asprintf ("\r\n%s: ", name);
  const char *at = strcasestr (request, field);

  lb_strlcpy (value, at ? at + strlen (field) : "", LB_NAME_MAX);
  value[strcspn (value, "\r")] = '\0';
  free (field);
}

/* Returns the length of the first request in the text; 0 if the request is incomplete. */
static size_t
get_request_length (const char *text, size_t length)
{
  const char *end = strstr (text, "\r\n\r\n");
  LbName body_length;

  if (!end)
    return 0;
  read_header (text, "Content-Length", body_length);
  size_t total = (size_t)(end - text) + 4 + strtoul (body_length, NULL, 10);
  return total <= length ? total : 0;
}

static void
write_filler (Connection *connection)
{
  struct evbuffer *output = bufferevent_get_output (connection->bev);
  const char *filler = connection->endpoint->filler;

  while (evbuffer_get_length (output) < FILLER_BYTES)
    evbuffer_add (output, filler, strlen (filler));
}

static void
write_reply (Connection *connection, const char *id)
{
  SiRawEndpoint *endpoint = connection->endpoint;
  struct evbuffer *output = bufferevent_get_output (connection->bev);
  const struct timeval interval = lb_time_to_timeval (TRICKLE_INTERVAL);
  const char *rest = endpoint->reply;
  const char *at;

  endpoint->n_requests++;
  while ((at = strstr (rest, ID_PLACEHOLDER)))
    {
      evbuffer_add (output, rest, (size_t)(at - rest));
      evbuffer_add (output, id, strlen (id));
      rest = at + strlen (ID_PLACEHOLDER);
    }
  evbuffer_add (output, rest, strlen (rest));
  connection->is_replying = endpoint->end != SI_RAW_KEEP_OPEN;
  if (endpoint->end == SI_RAW_REPEAT)
    write_filler (connection);
  else if (endpoint->end == SI_RAW_TRICKLE)
    event_add (connection->trickle_timer, &interval);
}

static void
on_trickle_due (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Connection *connection = user;
  const char *filler = connection->endpoint->filler;

  evbuffer_add (bufferevent_get_output (connection->bev), filler, strlen (filler));
}

static void
on_request_bytes (struct bufferevent *bev, void *user)
{
  Connection *connection = user;
  struct evbuffer *input = bufferevent_get_input (bev);
  size_t length = evbuffer_get_length (input);
  char *text = lb_malloc (length + 1);
  LbName id;

  evbuffer_copyout (input, text, length);
  text[length] = '\0';
  size_t request_length = get_request_length (text, length);
  if (request_length > 0 && !connection->is_replying)
    {
      read_header (text, "Attempt-Id", id);
      evbuffer_drain (input, request_length);
      write_reply (connection, id);
    }
  free (text);
}

static void
on_output_written (struct bufferevent *bev, void *user)
{
  (void)bev;
  Connection *connection = user;

  if (!connection->is_replying)
    return;
  if (connection->endpoint->end == SI_RAW_REPEAT)
    write_filler (connection);
  else if (connection->endpoint->end == SI_RAW_CLOSE)
    connection_free (connection);
}

static void
on_output_changed (struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *user)
{
  (void)buffer;
  SiRawEndpoint *endpoint = user;

  endpoint->bytes_sent += (int64_t)info->n_deleted;
}

static void
on_connection_event (struct bufferevent *bev, short events, void *user)
{
  (void)bev;

  if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
    connection_free (user);
}

static void
on_connection_accepted (
    struct evconnlistener *listener, int fd, struct sockaddr *address, int length, void *user)
{
  (void)listener;
  (void)address;
  (void)length;
  SiRawEndpoint *endpoint = user;
  Connection *connection = LB_NEW (Connection);

  connection->endpoint = endpoint;
  connection->bev = bufferevent_socket_new (endpoint->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->trickle_timer
      = event_new (endpoint->base, -1, EV_PERSIST, on_trickle_due, connection);
  lb_list_append (&endpoint->connections, &connection->link);
  evbuffer_add_cb (bufferevent_get_output (connection->bev), on_output_changed, endpoint);
  bufferevent_setcb (connection->bev, on_request_bytes, on_output_written, on_connection_event,
                     connection);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
}

bool
si_raw_endpoint_init (SiRawEndpoint *endpoint,
                      struct event_base *base,
                      SiRowStore *store,
                      const char *name)
{
  struct sockaddr_in at = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t length = sizeof at;

  memset (endpoint, 0, sizeof *endpoint);
  lb_list_init (&endpoint->connections);
  endpoint->base = base;
  endpoint->store = store;
  LB_COPY (endpoint->name, name);
  endpoint->listener
      = evconnlistener_new_bind (base, on_connection_accepted, endpoint, LEV_OPT_CLOSE_ON_FREE, -1,
                                 (struct sockaddr *)&at, (int)sizeof at);
  if (!endpoint->listener)
    return false;
  getsockname (evconnlistener_get_fd (endpoint->listener), (struct sockaddr *)&at, &length);
  snprintf (endpoint->address, sizeof endpoint->address, "127.0.0.1:%d", ntohs (at.sin_port));
  return true;
}

void
si_raw_endpoint_clear (SiRawEndpoint *endpoint)
{
  LB_LIST_FOREACH (&endpoint->connections, Connection, link, connection)
  {
    connection_free (connection);
  }
  evconnlistener_free (endpoint->listener);
}

void
si_raw_endpoint_register (SiRawEndpoint *endpoint,
                          const char *service,
                          const char *model,
                          int slots)
{
  char *models
      = model[0] ? lb_asprintf ("{\"name\": \"%s\", \"version\": 1}", model) : lb_strdup ("");
  char *entry = lb_asprintf ("{\"service\": \"%s\", \"address\": \"%s\", \"zone\": \"hall-a\","
                             " \"version\": \"v1\", \"slots\": %d, \"state\": \"ready\","
                             " \"coldLeftMs\": 0, \"seq\": 1, \"models\": [%s]}",
                             service, endpoint->address, slots, models);

  si_row_store_put (endpoint->store, "servers", "", endpoint->name, entry);
  free (entry);
  free (models);
}

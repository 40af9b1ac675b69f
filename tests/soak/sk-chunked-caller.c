#include "sk-chunked-caller.h"

#include "lb-alloc.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CALL_INTERVAL (100 * LB_MSEC)
#define SECOND_SEGMENT_DELAY (20 * LB_MSEC)
#define CALL_DEADLINE (3 * LB_SEC)

struct SkChunkedCaller
{
  SkWorld *world;
  int fd; /* -1: no connection */
  char request[1024];
  size_t n_sent;
  char reply[4096];
  size_t length;
  long long n_calls;
  LbTime started_at;
  LbTime next_call_at;
};

SkChunkedCaller *
sk_chunked_caller_new (SkWorld *world)
{
  SkChunkedCaller *caller = LB_NEW (SkChunkedCaller);

  caller->world = world;
  caller->fd = -1;
  return caller;
}

static void
close_connection (SkChunkedCaller *caller)
{
  if (caller->fd >= 0)
    close (caller->fd);
  caller->fd = -1;
}

void
sk_chunked_caller_free (SkChunkedCaller *caller)
{
  if (!caller)
    return;
  close_connection (caller);
  free (caller);
}

static void
send_until (SkChunkedCaller *caller, size_t length)
{
  ssize_t n = caller->n_sent < length ? send (caller->fd, caller->request + caller->n_sent,
                                              length - caller->n_sent, MSG_NOSIGNAL)
                                      : 0;

  caller->n_sent += n > 0 ? (size_t)n : 0;
}

static void
append_request (SkChunkedCaller *caller, const char *id)
{
  static const char format[]
      = "POST /lookup/x HTTP/1.1\r\nHost: " SK_HOST "\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\n"
        "Api-Key: " SK_CALLER_API_KEY "\r\nTransfer-Encoding: chunkeD\r\n\r\n"
        "2;x=\"y\"\r\nhe\r\n3 \r\nllo\r\n0;end\r\nTrailing: 1\r\nTrailing-Too: 2\r\n\r\n";
  size_t length = strlen (caller->request);

  snprintf (caller->request + length, sizeof caller->request - length, format, id);
}

static void
start_calls (SkChunkedCaller *caller, LbTime now)
{
  SkWorld *world = caller->world;
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  const SkInstance *instance
      = &world->instances[sk_random_int (world, 0, (int64_t)world->n_instances - 1)];
  LbName id;

  caller->next_call_at = now + CALL_INTERVAL;
  if (!sk_instance_is_running (instance) || !instance->address[0])
    return;
  to.sin_port = htons ((uint16_t)atoi (strrchr (instance->address, ':') + 1));
  caller->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (connect (caller->fd, (struct sockaddr *)&to, sizeof to) != 0 && errno != EINPROGRESS)
    close_connection (caller);
  caller->request[0] = '\0';
  caller->n_sent = 0;
  caller->length = 0;
  caller->started_at = now;
  for (int i = 0; i < 2; i++)
    {
      snprintf (id, sizeof id, "k%lld", caller->n_calls + i);
      sk_request_find_or_add (world, id)->is_idempotent = true;
      append_request (caller, id);
    }
}

/* Returns whether the reply to the connection's request number i has begun, and reads its status.
 */
static bool
read_reply_status (const SkChunkedCaller *caller, int i, int *status)
{
  static const char version[] = "HTTP/1.1 ";
  const char *at = strstr (caller->reply, version);

  for (; at && i > 0; i--)
    at = strstr (at + 1, version);
  *status = at ? atoi (at + sizeof version - 1) : 0;
  return at != NULL;
}

static void
check_reply (const SkChunkedCaller *caller, int i)
{
  int status;
  char body[LB_NAME_MAX + 16];

  if (!read_reply_status (caller, i, &status))
    return;
  snprintf (body, sizeof body, "answer to k%lld", caller->n_calls + i);
  if (status == 400 || status == 408 || status == 431
      || (status == 200 && !strstr (caller->reply, body)))
    sk_report_violation (caller->world, "a chunked request is read as it was sent",
                         "k%lld got status %d: %s", caller->n_calls + i, status, caller->reply);
}

static void
end_calls (SkChunkedCaller *caller)
{
  for (int i = 0; i < 2; i++)
    check_reply (caller, i);
  caller->n_calls += 2;
  close_connection (caller);
}

static void
read_replies (SkChunkedCaller *caller, LbTime now)
{
  char last_body[LB_NAME_MAX + 16];
  ssize_t n = recv (caller->fd, caller->reply + caller->length,
                    sizeof caller->reply - 1 - caller->length, MSG_DONTWAIT);

  caller->length += n > 0 ? (size_t)n : 0;
  caller->reply[caller->length] = '\0';
  snprintf (last_body, sizeof last_body, "answer to k%lld", caller->n_calls + 1);
  if (n == 0 || now - caller->started_at > CALL_DEADLINE || strstr (caller->reply, last_body))
    end_calls (caller);
}

void
sk_chunked_caller_tick (SkChunkedCaller *caller, LbTime now)
{
  if (caller->fd < 0 && now >= caller->next_call_at)
    start_calls (caller, now);
  if (caller->fd < 0)
    return;
  send_until (caller, strlen (caller->request)
                          * (now - caller->started_at < SECOND_SEGMENT_DELAY ? 1 : 3) / 3);
  read_replies (caller, now);
}

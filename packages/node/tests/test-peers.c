#include "ln-context.h"
#include "ln-messages.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-counter.h"
#include "lb-log.h"
#include "lw-frame.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PATIENCE (30 * LB_SEC)
/* More than one instance has connections to, so that frames to all have to be passed on. */
#define MAX_INSTANCES 10

/* A task that notes what the peers task of its instance tells. */
typedef struct
{
  LnTask base;
  LnMember members[MAX_INSTANCES];
  size_t n_members;
  size_t frames;
  char last_payload[64];
  LbName last_sender;
} Listener;

typedef struct
{
  LnSettings settings;
  LnContext context;
  LnTask *peers;
  Listener *listener;
} Instance;

typedef struct
{
  struct event_base *base;
  Instance instances[MAX_INSTANCES];
  size_t n_instances;
} World;

static void
note_members (Listener *listener, const LnMembersMessage *message)
{
  listener->n_members = message->n_members;
  for (size_t i = 0; i < message->n_members && i < MAX_INSTANCES; i++)
    listener->members[i] = message->members[i];
}

static void
listener_receive (LnTask *task, const LnMessage *message)
{
  Listener *listener = (Listener *)task;
  const LnPeerMessage *frame = (const LnPeerMessage *)message;

  if (message->type == LN_MEMBERS)
    note_members (listener, (const LnMembersMessage *)message);
  if (message->type != LN_PEER_FRAME)
    return;
  listener->frames++;
  LB_COPY (listener->last_payload, frame->payload);
  LB_COPY (listener->last_sender, frame->instance);
}

static void
listener_free (LnTask *task)
{
  free (task);
}

static const LnTaskClass listener_class
    = { .name = "config", .receive = listener_receive, .free = listener_free };

static void
world_init (World *world)
{
  memset (world, 0, sizeof *world);
  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "test");
  world->base = event_base_new ();
}

static Instance *
start (World *world, const char *key, const char *seed)
{
  Instance *instance = &world->instances[world->n_instances++];

  ln_settings_init (&instance->settings);
  LB_COPY (instance->settings.cluster.key, key);
  instance->settings.cluster.seeds = LB_NEW_ARRAY (LbName, 1);
  instance->settings.cluster.n_seeds = seed ? 1 : 0;
  LB_COPY (instance->settings.cluster.seeds[0], seed ? seed : "");
  instance->context = (LnContext){ .base = world->base, .settings = &instance->settings };
  instance->context.hub = ln_hub_new (world->base);
  snprintf (instance->context.instance, LB_NAME_MAX, "i%zu", world->n_instances);
  snprintf (instance->context.incarnation, 40, "a%zu", world->n_instances);
  LB_COPY (instance->context.caller_address, "127.0.0.1:1");
  instance->peers = ln_peers_new (&instance->context);
  cr_assert (instance->peers);
  ln_hub_add (instance->context.hub, instance->peers);
  instance->listener = LB_NEW (Listener);
  instance->listener->base.klass = &listener_class;
  ln_hub_add (instance->context.hub, &instance->listener->base);
  return instance;
}

static void
stop (Instance *instance)
{
  ln_hub_free (instance->context.hub);
  ln_settings_clear (&instance->settings);
}

static void
world_clear (World *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    stop (&world->instances[i]);
  event_base_free (world->base);
}

static void
pump (World *world)
{
  event_base_loop (world->base, EVLOOP_NONBLOCK);
  usleep (500);
}

#define UNTIL(world, condition)                                                                    \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + PATIENCE;                                              \
      while (!(condition) && lb_clock_monotonic () < end_)                                         \
        pump (world);                                                                              \
      cr_assert ((condition), "never came true: %s", #condition);                                  \
    }                                                                                              \
  while (0)

static size_t
count_alive (const Instance *instance)
{
  size_t alive = 0;

  for (size_t i = 0; i < instance->listener->n_members; i++)
    alive += instance->listener->members[i].alive;
  return alive;
}

static bool
sees_draining (const Instance *instance, const char *name)
{
  for (size_t i = 0; i < instance->listener->n_members; i++)
    if (strcmp (instance->listener->members[i].name, name) == 0)
      return instance->listener->members[i].draining;
  return false;
}

static int64_t
metric (const char *name)
{
  char *text = lb_metric_render ();
  char *start = lb_asprintf ("\n%s ", name);
  const char *at = strstr (text, start);
  int64_t value = at ? strtoll (at + strlen (start), NULL, 10) : 0;

  free (start);
  free (text);
  return value;
}

static void
clear_payload (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

static void
send_to (Instance *from, const char *to, const char *payload)
{
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_SEND), .topic = "config" };

  message.base.clear = clear_payload;
  LB_COPY (message.instance, to);
  message.payload = lb_strdup (payload);
  message.length = strlen (payload);
  ln_post (from->context.hub, from->peers, &message.base, sizeof message);
}

Test (peers, instances_find_one_another_and_frames_arrive_once)
{
  World world;

  world_init (&world);
  Instance *first = start (&world, "key", NULL);
  pump (&world);
  while (world.n_instances < MAX_INSTANCES)
    start (&world, "key", first->context.peer_address);
  for (size_t i = 0; i < MAX_INSTANCES; i++)
    UNTIL (&world, count_alive (&world.instances[i]) == MAX_INSTANCES);

  Instance *sender = &world.instances[5];
  send_to (sender, "", "to all");
  for (size_t i = 0; i < MAX_INSTANCES; i++)
    UNTIL (&world, i == 5 || world.instances[i].listener->frames == 1);
  send_to (&world.instances[1], "i4", "to one");
  UNTIL (&world, world.instances[3].listener->frames == 2);
  cr_assert_str_eq (world.instances[3].listener->last_payload, "to one");
  cr_assert_str_eq (world.instances[3].listener->last_sender, "i2");
  for (int i = 0; i < 200; i++)
    pump (&world);
  for (size_t i = 0; i < MAX_INSTANCES; i++)
    cr_assert_eq (world.instances[i].listener->frames, i == 5 ? 0 : i == 3 ? 2 : 1);

  ln_hub_drain (first->context.hub);
  for (size_t i = 1; i < MAX_INSTANCES; i++)
    UNTIL (&world, sees_draining (&world.instances[i], "i1"));
  world_clear (&world);
}

/* An instance of another cluster is given a seed of this one by mistake. If its key were not asked
 * for, both clusters would mix members and configurations. It must stay alone, and a count must
 * tell the operator why. */
Test (peers, an_instance_with_another_key_stays_alone)
{
  World world;

  world_init (&world);
  Instance *first = start (&world, "key", NULL);
  pump (&world);
  Instance *stranger = start (&world, "other key", first->context.peer_address);
  UNTIL (&world, metric ("lentilspindle_errors_total{type=\"wrong_key\"}") >= 2);
  cr_assert_eq (count_alive (first), 1);
  cr_assert_eq (count_alive (stranger), 1);
  world_clear (&world);
}

static int
connect_raw (const Instance *instance)
{
  struct sockaddr_storage to;
  int length = sizeof to;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  evutil_parse_sockaddr_port (instance->context.peer_address, (struct sockaddr *)&to, &length);
  cr_assert_eq (connect (fd, (struct sockaddr *)&to, (socklen_t)length), 0);
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

static bool
is_closed (int fd)
{
  char byte;
  ssize_t got = recv (fd, &byte, 1, 0);

  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Somebody scans the ports, an old program speaks another version, a frame is damaged, or a length
 * of gigabytes arrives; or a connection is opened and nothing is ever said. Each must cost its own
 * connection, be counted by its type, and nothing else: the other instances go on. */
Test (peers, bad_frames_close_their_own_connection_with_a_counted_error)
{
  static const struct
  {
    uint8_t bytes[8];
    const char *counter;
  } cases[] = {
    { { 0, 0, 0, 3, 99, 1, 2, 3 }, "lentilspindle_errors_total{type=\"frame_version\"}" },
    { { 0x7f, 0, 0, 0, LW_FRAME_VERSION }, "lentilspindle_errors_total{type=\"frame_too_large\"}" },
    { { 0, 0, 0, 3, LW_FRAME_VERSION, 0xdd, 0xff, 0xff },
      "lentilspindle_errors_total{type=\"frame_garbled\"}" },
    { { 0, 0, 0, 3, LW_FRAME_VERSION, 0x92, 0x04, 0x05 },
      "lentilspindle_errors_total{type=\"frame_garbled\"}" },
  };
  World world;

  world_init (&world);
  Instance *first = start (&world, "key", NULL);
  pump (&world);
  start (&world, "key", first->context.peer_address);
  UNTIL (&world, count_alive (first) == 2);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      int64_t before = metric (cases[i].counter);
      int fd = connect_raw (first);
      cr_assert_eq (send (fd, cases[i].bytes, 8, 0), 8);
      UNTIL (&world, is_closed (fd));
      cr_assert_eq (metric (cases[i].counter), before + 1, "case %zu", i);
      close (fd);
    }
  int dumb = connect_raw (first);
  UNTIL (&world, is_closed (dumb));
  cr_assert_geq (metric ("lentilspindle_errors_total{type=\"timeout\"}"), 1);
  close (dumb);
  cr_assert_eq (count_alive (first), 2);
  world_clear (&world);
}

/* Stands between two instances; once it has lost track, what is written to its connections goes
 * nowhere, though they stay open. */
typedef struct
{
  World *world;
  struct evconnlistener *listener;
  LbName address;
  LbName target;
  struct bufferevent *ends[2];
  bool lost;
} Middle;

static void
pass_on (struct bufferevent *from, void *user)
{
  Middle *middle = user;
  struct evbuffer *input = bufferevent_get_input (from);

  if (middle->lost)
    evbuffer_drain (input, evbuffer_get_length (input));
  else
    bufferevent_write_buffer (middle->ends[from == middle->ends[0]], input);
}

static void
connect_through (struct evconnlistener *listener,
                 evutil_socket_t fd,
                 struct sockaddr *address,
                 int length,
                 void *user)
{
  (void)listener;
  (void)address;
  (void)length;
  Middle *middle = user;
  struct sockaddr_storage to;
  int to_length = sizeof to;

  if (middle->ends[0])
    {
      evutil_closesocket (fd);
      return;
    }
  evutil_parse_sockaddr_port (middle->target, (struct sockaddr *)&to, &to_length);
  middle->ends[0] = bufferevent_socket_new (middle->world->base, fd, BEV_OPT_CLOSE_ON_FREE);
  middle->ends[1] = bufferevent_socket_new (middle->world->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_socket_connect (middle->ends[1], (struct sockaddr *)&to, to_length);
  for (int i = 0; i < 2; i++)
    {
      bufferevent_setcb (middle->ends[i], pass_on, NULL, NULL, middle);
      bufferevent_enable (middle->ends[i], EV_READ | EV_WRITE);
    }
}

static void
middle_init (Middle *middle, World *world, const char *target)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t length = sizeof at;

  memset (middle, 0, sizeof *middle);
  middle->world = world;
  LB_COPY (middle->target, target);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  middle->listener
      = evconnlistener_new_bind (world->base, connect_through, middle, LEV_OPT_CLOSE_ON_FREE, -1,
                                 (struct sockaddr *)&at, sizeof at);
  getsockname (evconnlistener_get_fd (middle->listener), (struct sockaddr *)&at, &length);
  snprintf (middle->address, LB_NAME_MAX, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
middle_clear (Middle *middle)
{
  evconnlistener_free (middle->listener);
  for (int i = 0; i < 2; i++)
    bufferevent_free (middle->ends[i]);
}

/* Something between two instances loses track of their open connection: bytes go nowhere, no end is
 * told. Frames would be lost and a healthy instance called dead. The silence must be found, a new
 * connection opened, frames arrive again, and nobody be suspected by either. */
Test (peers, a_connection_that_swallows_bytes_is_replaced)
{
  World world;
  Middle middle;

  world_init (&world);
  Instance *first = start (&world, "key", NULL);
  pump (&world);
  middle_init (&middle, &world, first->context.peer_address);
  Instance *second = start (&world, "key", middle.address);
  UNTIL (&world, count_alive (first) == 2 && count_alive (second) == 2);
  cr_assert (middle.ends[0]);

  middle.lost = true;
  LbTime lost = lb_clock_monotonic ();
  UNTIL (&world, metric ("lentilspindle_peer_silent_connections_total") > 0);
  LbTime found = lb_clock_monotonic () - lost;
  UNTIL (&world, count_alive (first) == 2 && count_alive (second) == 2);
  send_to (second, "i1", "over the new one");
  UNTIL (&world, first->listener->frames == 1);
  cr_assert_eq (metric ("lentilspindle_members_suspected_total"), 0);
  cr_log_info ("found after %.2f s", (double)found / LB_SEC);
  middle_clear (&middle);
  world_clear (&world);
}

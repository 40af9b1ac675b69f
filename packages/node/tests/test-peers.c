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

#define WAIT_TIMEOUT (30 * LB_SEC)
/* More instances than a single instance has connections to, so that broadcast frames have to be
 * forwarded. */
#define MAX_INSTANCES 10

/* Task that records the member lists and frames that its instance receives from other instances. */
typedef struct
{
  LnTask base;
  LnMember members[MAX_INSTANCES];
  size_t n_members;
  size_t n_frames;
  char last_payload[64];
  LbName last_sender;
} MessageRecorder;

typedef struct
{
  LnSettings settings;
  LnContext context;
  LnTask *peers;
  MessageRecorder *recorder;
} Instance;

typedef struct
{
  struct event_base *base;
  Instance instances[MAX_INSTANCES];
  size_t n_instances;
} Cluster;

static void
record_member_list (MessageRecorder *recorder, const LnMembersMessage *message)
{
  recorder->n_members = message->n_members;
  for (size_t i = 0; i < message->n_members && i < MAX_INSTANCES; i++)
    recorder->members[i] = message->members[i];
}

static void
message_recorder_receive (LnTask *task, const LnMessage *message)
{
  MessageRecorder *recorder = (MessageRecorder *)task;
  const LnPeerMessage *frame = (const LnPeerMessage *)message;

  if (message->type == LN_MEMBERS)
    record_member_list (recorder, (const LnMembersMessage *)message);
  if (message->type != LN_PEER_FRAME)
    return;
  recorder->n_frames++;
  LB_COPY (recorder->last_payload, frame->payload);
  LB_COPY (recorder->last_sender, frame->instance);
}

static void
message_recorder_free (LnTask *task)
{
  free (task);
}

static const LnTaskClass message_recorder_class
    = { .name = "config", .receive = message_recorder_receive, .free = message_recorder_free };

static void
cluster_init (Cluster *cluster)
{
  memset (cluster, 0, sizeof *cluster);
  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "test");
  cluster->base = event_base_new ();
}

static Instance *
start_instance (Cluster *cluster, const char *cluster_key, const char *seed_address)
{
  Instance *instance = &cluster->instances[cluster->n_instances++];

  ln_settings_init (&instance->settings);
  LB_COPY (instance->settings.cluster.key, cluster_key);
  instance->settings.cluster.seeds = LB_NEW_ARRAY (LbName, 1);
  instance->settings.cluster.n_seeds = seed_address ? 1 : 0;
  LB_COPY (instance->settings.cluster.seeds[0], seed_address ? seed_address : "");
  instance->context = (LnContext){ .base = cluster->base, .settings = &instance->settings };
  instance->context.hub = ln_hub_new (cluster->base);
  snprintf (instance->context.instance, LB_NAME_MAX, "i%zu", cluster->n_instances);
  snprintf (instance->context.incarnation, 40, "a%zu", cluster->n_instances);
  LB_COPY (instance->context.caller_address, "127.0.0.1:1");
  instance->peers = ln_peers_task_new (&instance->context);
  cr_assert (instance->peers);
  ln_hub_add_task (instance->context.hub, instance->peers);
  instance->recorder = LB_NEW (MessageRecorder);
  instance->recorder->base.klass = &message_recorder_class;
  ln_hub_add_task (instance->context.hub, &instance->recorder->base);
  return instance;
}

static void
stop_instance (Instance *instance)
{
  ln_hub_free (instance->context.hub);
  ln_settings_clear (&instance->settings);
}

static void
cluster_clear (Cluster *cluster)
{
  for (size_t i = 0; i < cluster->n_instances; i++)
    stop_instance (&cluster->instances[i]);
  event_base_free (cluster->base);
}

static void
run_event_loop_once (Cluster *cluster)
{
  event_base_loop (cluster->base, EVLOOP_NONBLOCK);
  usleep (500);
}

#define WAIT_UNTIL(cluster, condition)                                                             \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + WAIT_TIMEOUT;                                          \
      while (!(condition) && lb_clock_monotonic () < end_)                                         \
        run_event_loop_once (cluster);                                                             \
      cr_assert ((condition), "still false at the timeout: %s", #condition);                       \
    }                                                                                              \
  while (0)

static size_t
count_alive_members (const Instance *instance)
{
  size_t alive = 0;

  for (size_t i = 0; i < instance->recorder->n_members; i++)
    alive += instance->recorder->members[i].alive;
  return alive;
}

static bool
sees_member_draining (const Instance *instance, const char *name)
{
  for (size_t i = 0; i < instance->recorder->n_members; i++)
    if (strcmp (instance->recorder->members[i].name, name) == 0)
      return instance->recorder->members[i].draining;
  return false;
}

static int64_t
read_process_metric (const char *name)
{
  char *text = lb_metric_render_all ();
  char *start = lb_asprintf ("\n%s ", name);
  const char *at = strstr (text, start);
  int64_t value = at ? strtoll (at + strlen (start), NULL, 10) : 0;

  free (start);
  free (text);
  return value;
}

static void
free_frame_payload (LnMessage *message)
{
  free (((LnPeerMessage *)message)->payload);
}

static void
send_frame_to_instance (Instance *from, const char *to, const char *payload)
{
  LnPeerMessage message = { .base = LN_MESSAGE (LN_PEER_SEND), .topic = "config" };

  message.base.clear = free_frame_payload;
  LB_COPY (message.instance, to);
  message.payload = lb_strdup (payload);
  message.length = strlen (payload);
  ln_post (from->context.hub, from->peers, &message.base, sizeof message);
}

Test (peers, instances_discover_each_other_and_frames_arrive_once)
{
  Cluster cluster;

  cluster_init (&cluster);
  Instance *first = start_instance (&cluster, "key", NULL);
  run_event_loop_once (&cluster);
  while (cluster.n_instances < MAX_INSTANCES)
    start_instance (&cluster, "key", first->context.peer_address);
  for (size_t i = 0; i < MAX_INSTANCES; i++)
    WAIT_UNTIL (&cluster, count_alive_members (&cluster.instances[i]) == MAX_INSTANCES);

  Instance *sender = &cluster.instances[5];
  send_frame_to_instance (sender, "", "to all");
  for (size_t i = 0; i < MAX_INSTANCES; i++)
    WAIT_UNTIL (&cluster, i == 5 || cluster.instances[i].recorder->n_frames == 1);
  send_frame_to_instance (&cluster.instances[1], "i4", "to one");
  WAIT_UNTIL (&cluster, cluster.instances[3].recorder->n_frames == 2);
  cr_assert_str_eq (cluster.instances[3].recorder->last_payload, "to one");
  cr_assert_str_eq (cluster.instances[3].recorder->last_sender, "i2");
  for (int i = 0; i < 200; i++)
    run_event_loop_once (&cluster);
  for (size_t i = 0; i < MAX_INSTANCES; i++)
    cr_assert_eq (cluster.instances[i].recorder->n_frames, i == 5 ? 0 : i == 3 ? 2 : 1);

  ln_hub_drain_tasks (first->context.hub);
  for (size_t i = 1; i < MAX_INSTANCES; i++)
    WAIT_UNTIL (&cluster, sees_member_draining (&cluster.instances[i], "i1"));
  cluster_clear (&cluster);
}

/* Guards against two clusters that mix their members and configurations after an instance of one
 * cluster was given a seed address of the other by mistake. An instance with another cluster key
 * must be refused, and a counter must show the operator why. */
Test (peers, an_instance_with_another_cluster_key_is_refused)
{
  Cluster cluster;

  cluster_init (&cluster);
  Instance *first = start_instance (&cluster, "key", NULL);
  run_event_loop_once (&cluster);
  Instance *other = start_instance (&cluster, "other key", first->context.peer_address);
  WAIT_UNTIL (&cluster,
              read_process_metric ("lentilspindle_errors_total{type=\"wrong_key\"}") >= 2);
  cr_assert_eq (count_alive_members (first), 1);
  cr_assert_eq (count_alive_members (other), 1);
  cluster_clear (&cluster);
}

static int
connect_client_to_instance (const Instance *instance)
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
is_socket_closed (int fd)
{
  char byte;
  ssize_t got = recv (fd, &byte, 1, 0);

  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Guards against faulty clients that disturb the cluster: port scans, other protocol versions,
 * damaged frames, lengths of gigabytes, connections on which nothing is sent. Each fault closes its
 * own connection only and is counted by type; the connection between the instances is not affected.
 */
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
  Cluster cluster;

  cluster_init (&cluster);
  Instance *first = start_instance (&cluster, "key", NULL);
  run_event_loop_once (&cluster);
  start_instance (&cluster, "key", first->context.peer_address);
  WAIT_UNTIL (&cluster, count_alive_members (first) == 2);
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      int64_t before = read_process_metric (cases[i].counter);
      int fd = connect_client_to_instance (first);
      cr_assert_eq (send (fd, cases[i].bytes, 8, 0), 8);
      WAIT_UNTIL (&cluster, is_socket_closed (fd));
      cr_assert_eq (read_process_metric (cases[i].counter), before + 1,
                    "case %zu: expected its counter to increase by 1", i);
      close (fd);
    }
  int silent_fd = connect_client_to_instance (first);
  WAIT_UNTIL (&cluster, is_socket_closed (silent_fd));
  cr_assert_geq (read_process_metric ("lentilspindle_errors_total{type=\"timeout\"}"), 1);
  close (silent_fd);
  cr_assert_eq (count_alive_members (first), 2);
  cluster_clear (&cluster);
}

/* An instance is paused while a peer connects to it. The peer's frames wait unread, so the instance
 * must not count the pause as a slow handshake: the peer would take the close for a failed dial and
 * suspect the instance. */
Test (peers, a_pause_does_not_count_towards_the_handshake_timeout)
{
  Cluster cluster;

  cluster_init (&cluster);
  Instance *first = start_instance (&cluster, "key", NULL);
  run_event_loop_once (&cluster);
  int fd = connect_client_to_instance (first);
  for (int i = 0; i < 20; i++)
    run_event_loop_once (&cluster);
  usleep (2200000);
  for (int i = 0; i < 200; i++)
    run_event_loop_once (&cluster);
  cr_assert_not (is_socket_closed (fd));
  WAIT_UNTIL (&cluster, is_socket_closed (fd));
  close (fd);
  cluster_clear (&cluster);
}

/* Proxy between two instances. While `drops_bytes` is set, the proxy discards the bytes that arrive
 * on its connections but keeps the connections open. */
typedef struct
{
  Cluster *cluster;
  struct evconnlistener *listener;
  LbName address;
  LbName target;
  struct bufferevent *ends[2];
  bool drops_bytes;
} Proxy;

static void
proxy_forward_or_drop_bytes (struct bufferevent *from, void *user)
{
  Proxy *proxy = user;
  struct evbuffer *input = bufferevent_get_input (from);

  if (proxy->drops_bytes)
    evbuffer_drain (input, evbuffer_get_length (input));
  else
    bufferevent_write_buffer (proxy->ends[from == proxy->ends[0]], input);
}

static void
proxy_accept (struct evconnlistener *listener,
              evutil_socket_t fd,
              struct sockaddr *address,
              int length,
              void *user)
{
  (void)listener;
  (void)address;
  (void)length;
  Proxy *proxy = user;
  struct sockaddr_storage to;
  int to_length = sizeof to;

  if (proxy->ends[0])
    {
      evutil_closesocket (fd);
      return;
    }
  evutil_parse_sockaddr_port (proxy->target, (struct sockaddr *)&to, &to_length);
  proxy->ends[0] = bufferevent_socket_new (proxy->cluster->base, fd, BEV_OPT_CLOSE_ON_FREE);
  proxy->ends[1] = bufferevent_socket_new (proxy->cluster->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_socket_connect (proxy->ends[1], (struct sockaddr *)&to, to_length);
  for (int i = 0; i < 2; i++)
    {
      bufferevent_setcb (proxy->ends[i], proxy_forward_or_drop_bytes, NULL, NULL, proxy);
      bufferevent_enable (proxy->ends[i], EV_READ | EV_WRITE);
    }
}

static void
proxy_init (Proxy *proxy, Cluster *cluster, const char *target)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t length = sizeof at;

  memset (proxy, 0, sizeof *proxy);
  proxy->cluster = cluster;
  LB_COPY (proxy->target, target);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  proxy->listener
      = evconnlistener_new_bind (cluster->base, proxy_accept, proxy, LEV_OPT_CLOSE_ON_FREE, -1,
                                 (struct sockaddr *)&at, sizeof at);
  getsockname (evconnlistener_get_fd (proxy->listener), (struct sockaddr *)&at, &length);
  snprintf (proxy->address, LB_NAME_MAX, "127.0.0.1:%d", ntohs (at.sin_port));
}

static void
proxy_clear (Proxy *proxy)
{
  evconnlistener_free (proxy->listener);
  for (int i = 0; i < 2; i++)
    bufferevent_free (proxy->ends[i]);
}

/* A middlebox between two instances drops the state of their open connection: bytes are lost and
 * neither end is notified. Guards against lost frames and a healthy instance that is declared dead:
 * the silence is detected, a new connection is opened, and neither instance suspects the other. */
Test (peers, a_connection_that_loses_bytes_is_replaced)
{
  Cluster cluster;
  Proxy proxy;

  cluster_init (&cluster);
  Instance *first = start_instance (&cluster, "key", NULL);
  run_event_loop_once (&cluster);
  proxy_init (&proxy, &cluster, first->context.peer_address);
  Instance *second = start_instance (&cluster, "key", proxy.address);
  WAIT_UNTIL (&cluster, count_alive_members (first) == 2 && count_alive_members (second) == 2);
  cr_assert (proxy.ends[0]);

  proxy.drops_bytes = true;
  LbTime lost_at = lb_clock_monotonic ();
  WAIT_UNTIL (&cluster, read_process_metric ("lentilspindle_peer_silent_connections_total") > 0);
  LbTime detection_time = lb_clock_monotonic () - lost_at;
  WAIT_UNTIL (&cluster, count_alive_members (first) == 2 && count_alive_members (second) == 2);
  send_frame_to_instance (second, "i1", "over the new one");
  WAIT_UNTIL (&cluster, first->recorder->n_frames == 1);
  cr_assert_eq (read_process_metric ("lentilspindle_members_suspected_total"), 0);
  cr_log_info ("silence detected after %.2f s", (double)detection_time / LB_SEC);
  proxy_clear (&proxy);
  cluster_clear (&cluster);
}

#ifndef STEPS_FIXTURE_H
#define STEPS_FIXTURE_H

#include "ln-context.h"
#include "ln-messages.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-log.h"
#include "lh-fetch.h"
#include "lp-platform.h"

#include <criterion/criterion.h>
#include <event2/event.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT (30 * LB_SEC)
#define MAX_SLOTS 64

typedef enum
{
  STORE_WORKS,
  STORE_UNAVAILABLE, /* no operation is applied */
  STORE_LOSES_REPLY  /* a write is applied, and its outcome reported as unknown */
} StoreMode;

/* The in-memory platform with injected faults. */
typedef struct
{
  LpPlatform platform; /* must be the first member */
  LpPlatform *inner;
  StoreMode mode;
  int writes;
} FaultyStore;

/* Stands in for the task "calls": answers each sample at once with ten tokens, or holds it. */
typedef struct
{
  LnTask task; /* must be the first member */
  bool holds_samples;
  int n_samples;
  size_t n_prefix_hashes; /* maximum over all samples */
  LcRequestId held[MAX_SLOTS];
  size_t n_held;
} FakeCalls;

typedef struct
{
  LnContext context;
  LnSettings settings;
  FakeCalls calls;
  LnTask *front;
  LnTask *rollouts;
  bool alive; /* in the membership view of both instances */
  bool draining;
} Instance;

/* Two instances with one store, and a trainer. */
typedef struct
{
  struct event_base *base;
  FaultyStore store;
  Instance instances[2];
  struct LhPool *http;
  /* State of the trainer. */
  char *cursor;
  int received[MAX_SLOTS]; /* how often each sample was delivered */
  int status;
  char *reply;
  int n_pending; /* calls without a reply */
  bool strict;
} Cluster;

static inline void store_transact (LpPlatform *platform,
                                   const LpTransaction *transaction,
                                   LpPriority priority,
                                   LpTransactDone done,
                                   void *user);

/* A reply that is delivered from the event loop, as those of the platform are. */
typedef struct
{
  FaultyStore *store;
  LpTransactDone done;
  LpRowsDone rows_done;
  LpObjectDone object_done;
  LbErrorCode error;
  void *user;
} DeferredReply;

static inline void
deliver_reply (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  DeferredReply reply = *(DeferredReply *)user;

  free (user);
  if (reply.done)
    reply.done (reply.error, NULL, reply.user);
  else if (reply.rows_done)
    reply.rows_done (reply.error, NULL, 0, reply.user);
  else
    reply.object_done (reply.error, NULL, 0, reply.user);
}

static struct event_base *store_event_base;

static inline void
defer_reply (DeferredReply reply)
{
  const struct timeval now = { 0 };

  event_base_once (store_event_base, -1, EV_TIMEOUT, deliver_reply,
                   lb_memdup (&reply, sizeof reply), &now);
}

static inline void
lose_reply (LbErrorCode error, const LpRow *row, void *user)
{
  DeferredReply *reply = user;

  (void)error;
  (void)row;
  reply->done (LB_ERROR_STORE_UNKNOWN, NULL, reply->user);
  free (reply);
}

static inline void
store_transact (LpPlatform *platform,
                const LpTransaction *transaction,
                LpPriority priority,
                LpTransactDone done,
                void *user)
{
  FaultyStore *store = (FaultyStore *)platform;
  DeferredReply reply
      = { .store = store, .done = done, .error = LB_ERROR_STORE_AWAY, .user = user };

  store->writes++;
  if (store->mode == STORE_UNAVAILABLE)
    defer_reply (reply);
  else if (store->mode == STORE_LOSES_REPLY)
    store->inner->klass->transact (store->inner, transaction, priority, lose_reply,
                                   lb_memdup (&reply, sizeof reply));
  else
    store->inner->klass->transact (store->inner, transaction, priority, done, user);
}

static inline void
store_get (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  FaultyStore *store = (FaultyStore *)platform;

  if (store->mode == STORE_UNAVAILABLE)
    defer_reply ((DeferredReply){ .rows_done = done, .error = LB_ERROR_STORE_AWAY, .user = user });
  else
    store->inner->klass->get (store->inner, key, done, user);
}

static inline void
store_put_object (LpPlatform *platform,
                  const char *key,
                  const char *bytes,
                  size_t length,
                  LpObjectDone done,
                  void *user)
{
  FaultyStore *store = (FaultyStore *)platform;

  if (store->mode == STORE_UNAVAILABLE)
    defer_reply (
        (DeferredReply){ .object_done = done, .error = LB_ERROR_STORE_AWAY, .user = user });
  else
    store->inner->klass->put_object (store->inner, key, bytes, length, done, user);
}

static inline void
store_get_object (LpPlatform *platform, const char *key, LpObjectDone done, void *user)
{
  FaultyStore *store = (FaultyStore *)platform;

  store->inner->klass->get_object (store->inner, key, done, user);
}

static const LpPlatformClass store_class = { .name = "faulty",
                                             .transact = store_transact,
                                             .get = store_get,
                                             .put_object = store_put_object,
                                             .get_object = store_get_object };

static inline void
calls_post_piece (FakeCalls *calls, LcRequestId request)
{
  LnSamplePieceMessage piece = { .base = LN_MESSAGE (LN_SAMPLE_PIECE),
                                 .request = request,
                                 .piece = { .tokens = 10, .version = 40 },
                                 .endpoint = "e1" };

  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), piece);
}

static inline void
calls_post_done (FakeCalls *calls, LcRequestId request)
{
  LnSampleDoneMessage done = { .base = LN_MESSAGE (LN_SAMPLE_DONE), .request = request };

  done.text = "text";
  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), done);
}

static inline void
calls_receive (LnTask *task, const LnMessage *message)
{
  FakeCalls *calls = (FakeCalls *)task;

  if (message->type != LN_SAMPLE)
    return;
  LcRequestId request = ((const LnSampleMessage *)message)->spec.id;
  const LcRequestSpec *spec = &((const LnSampleMessage *)message)->spec;
  if (spec->n_prefix_hashes > calls->n_prefix_hashes)
    calls->n_prefix_hashes = spec->n_prefix_hashes;
  calls->n_samples++;
  if (calls->holds_samples)
    calls->held[calls->n_held++] = request;
  else
    {
      calls_post_piece (calls, request);
      calls_post_done (calls, request);
    }
}

static inline void
calls_free (LnTask *task)
{
  (void)task;
}

static const LnTaskClass calls_class
    = { .name = "calls", .receive = calls_receive, .free = calls_free };

static inline void
cluster_send_members (Cluster *cluster)
{
  for (size_t to = 0; to < 2; to++)
    {
      LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS), .n_members = 2 };
      LnMember members[2];

      memset (members, 0, sizeof members);
      for (size_t i = 0; i < 2; i++)
        {
          const Instance *instance = &cluster->instances[i];
          LB_COPY (members[i].name, instance->context.instance);
          LB_COPY (members[i].incarnation, instance->context.incarnation);
          LB_COPY (members[i].caller_address, instance->context.caller_address);
          members[i].alive = instance->alive;
          members[i].draining = instance->draining;
          members[i].is_self = i == to;
        }
      message.members = members;
      Instance *instance = &cluster->instances[to];
      instance->rollouts->klass->receive (instance->rollouts, &message.base);
    }
}

static inline void
instance_configure (Cluster *cluster, Instance *instance)
{
  LcPool pool = { .name = "reader" };
  LcSubscription subscription
      = { .name = "t", .pool = "reader", .share = 1, .strict = cluster->strict };
  LcVersionBound bound = { .name = "b", .subscription = "t", .max_lag = 2 };
  LcResourceSet set = { .pools = &pool,
                        .n_pools = 1,
                        .subscriptions = &subscription,
                        .n_subscriptions = 1,
                        .bounds = &bound,
                        .n_bounds = 1 };
  LnConfigMessage config = { .base = LN_MESSAGE (LN_CONFIG), .set = &set };
  LnReadyMessage ready = { .base = LN_MESSAGE (LN_READY), .ready = true };

  instance->rollouts->klass->receive (instance->rollouts, &config.base);
  instance->rollouts->klass->receive (instance->rollouts, &ready.base);
}

static inline void
instance_init (Cluster *cluster, Instance *instance, const char *name)
{
  LnContext *context = &instance->context;

  ln_settings_init (&instance->settings);
  LB_COPY (instance->settings.instance.caller_address, "127.0.0.1:0");
  context->base = cluster->base;
  context->settings = &instance->settings;
  context->platform = &cluster->store.platform;
  context->hub = ln_hub_new (cluster->base);
  context->http_pool = lh_pool_new (cluster->base);
  LB_COPY (context->instance, name);
  snprintf (context->incarnation, sizeof context->incarnation, "%s-1", name);
  instance->alive = true;
  instance->front = ln_front_task_new (context);
  instance->rollouts = ln_rollouts_task_new (context);
  instance->calls.task.klass = &calls_class;
  ln_hub_add_task (context->hub, instance->front);
  ln_hub_add_task (context->hub, &instance->calls.task);
  ln_hub_add_task (context->hub, instance->rollouts);
  instance_configure (cluster, instance);
}

static inline Cluster *
cluster_new (bool strict)
{
  Cluster *cluster = LB_NEW (Cluster);

  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "test");
  cluster->strict = strict;
  cluster->base = event_base_new ();
  store_event_base = cluster->base;
  cluster->store.platform.klass = &store_class;
  cluster->store.inner = lp_memory_new (cluster->base);
  cluster->http = lh_pool_new (cluster->base);
  cluster->cursor = lb_strdup ("");
  instance_init (cluster, &cluster->instances[0], "i1");
  instance_init (cluster, &cluster->instances[1], "i2");
  cluster_send_members (cluster);
  return cluster;
}

static inline void
cluster_free (Cluster *cluster)
{
  for (size_t i = 0; i < 2; i++)
    {
      ln_hub_free (cluster->instances[i].context.hub);
      lh_pool_free (cluster->instances[i].context.http_pool);
      ln_settings_clear (&cluster->instances[i].settings);
    }
  lh_pool_free (cluster->http);
  cluster->store.inner->klass->free (cluster->store.inner);
  event_base_free (cluster->base);
  free (cluster->cursor);
  free (cluster->reply);
  free (cluster);
}

static inline void
cluster_run_once (Cluster *cluster)
{
  event_base_loop (cluster->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

#define CLUSTER_UNTIL(cluster, condition)                                                          \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + TIMEOUT;                                               \
      while (!(condition) && lb_clock_monotonic () < end_)                                         \
        cluster_run_once (cluster);                                                                \
      cr_assert ((condition), "timed out waiting for: %s", #condition);                            \
    }                                                                                              \
  while (0)

static inline void
cluster_on_reply (LhFetch *fetch, const LhResult *result, void *user)
{
  Cluster *cluster = user;

  (void)fetch;
  free (cluster->reply);
  cluster->reply = lb_strndup (result->body ? result->body : "", result->body_length);
  cluster->status = result->status;
  cluster->n_pending--;
}

/* Sends a call of the trainer without waiting for the reply. */
static inline void
cluster_send_to (Cluster *cluster,
                 size_t instance,
                 const char *subscription,
                 const char *subpath,
                 const char *body)
{
  static const LhHandlers handlers = { .on_done = cluster_on_reply };
  char *path = lb_asprintf ("/v1/subscriptions/%s/%s", subscription, subpath);
  const LhRequest request = { .method = body ? "POST" : "GET",
                              .address = cluster->instances[instance].context.caller_address,
                              .path = path,
                              .body = body ? body : "",
                              .body_length = body ? strlen (body) : 0 };
  LbError error;

  cluster->n_pending++;
  cr_assert (lh_fetch_start (cluster->http, &request, &handlers, cluster, &error), "%s",
             error.detail);
  free (path);
}

static inline void
cluster_send (Cluster *cluster, size_t instance, const char *subpath, const char *body)
{
  cluster_send_to (cluster, instance, "t", subpath, body);
}

static inline void
cluster_send_open (Cluster *cluster, size_t instance)
{
  cluster_send (
      cluster, instance, "steps",
      "{\"step\":1,\"weight_version\":40,\"groups\":["
      "{\"id\":\"g0\",\"prompt\":\"Read this smudged envelope and name the village of its "
      "sender, if it can be read at all: \",\"samples\":2,\"max_tokens\":64},"
      "{\"id\":\"g1\",\"prompt\":\"q\",\"samples\":2,\"max_tokens\":64}]}");
}

static inline void
cluster_open_step (Cluster *cluster, size_t instance)
{
  cluster_send_open (cluster, instance);
  CLUSTER_UNTIL (cluster, cluster->n_pending == 0);
}

static inline void
cluster_send_pull (Cluster *cluster, size_t instance, int max_samples, int wait_ms)
{
  char *body = lb_asprintf ("{\"step\":1,\"cursor\":\"%s\",\"weight_version\":40,"
                            "\"max_samples\":%d,\"wait_ms\":%d}",
                            cluster->cursor, max_samples, wait_ms);

  cluster_send (cluster, instance, "pull", body);
  free (body);
}

/* Records the samples and the cursor of the last reply, as a trainer does. Returns the number of
 * samples. */
static inline size_t
cluster_accept_reply (Cluster *cluster)
{
  struct json_object *reply = json_tokener_parse (cluster->reply);
  struct json_object *cursor = NULL, *samples = NULL, *group = NULL, *index = NULL;

  cr_assert (json_object_object_get_ex (reply, "cursor", &cursor), "%s", cluster->reply);
  json_object_object_get_ex (reply, "samples", &samples);
  free (cluster->cursor);
  cluster->cursor = lb_strdup (json_object_get_string (cursor));
  size_t n_samples = json_object_array_length (samples);
  for (size_t i = 0; i < n_samples; i++)
    {
      struct json_object *sample = json_object_array_get_idx (samples, i);
      json_object_object_get_ex (sample, "group", &group);
      json_object_object_get_ex (sample, "index", &index);
      cluster
          ->received[2 * (json_object_get_string (group)[1] - '0') + json_object_get_int (index)]++;
    }
  json_object_put (reply);
  return n_samples;
}

static inline size_t
cluster_pull (Cluster *cluster, size_t instance, int max_samples)
{
  cluster_send_pull (cluster, instance, max_samples, 5000);
  CLUSTER_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert_eq (cluster->status, 200, "%d %s", cluster->status, cluster->reply);
  return cluster_accept_reply (cluster);
}

static inline void
cluster_expect_each_sample_once (const Cluster *cluster)
{
  for (int i = 0; i < 4; i++)
    cr_assert_eq (cluster->received[i], 1, "sample %d was delivered %d times, expected once", i,
                  cluster->received[i]);
}

#endif

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

#define CLUSTER_WAIT_TIMEOUT (30 * LB_SEC)
#define MAX_SAMPLES 64

typedef enum
{
  STORE_WORKS,
  STORE_UNAVAILABLE, /* all operations fail and have no effect */
  STORE_LOSES_REPLY  /* writes take effect, but their outcome is reported as unknown */
} StoreMode;

/* Wraps the in-memory platform and injects faults. */
typedef struct
{
  LpPlatform platform; /* first member, because callbacks cast LpPlatform * to FaultyStore * */
  LpPlatform *inner;
  StoreMode mode;
  int n_writes;
} FaultyStore;

/* Replaces the task "calls", which sends sample requests to engines. Answers each sample request
 * at once with ten tokens, or holds it until the test answers it. */
typedef struct
{
  LnTask task; /* first member, because callbacks cast LnTask * to FakeCalls * */
  bool holds_samples;
  int n_samples;          /* number of sample requests received */
  size_t n_prefix_hashes; /* largest number of prefix hashes in one received sample request */
  LcRequestId held[MAX_SAMPLES];
  size_t n_held;
} FakeCalls;

typedef struct
{
  LnContext context;
  LnSettings settings;
  FakeCalls calls;
  LnTask *front;
  LnTask *rollouts;
  bool alive; /* the member lists that the test sends show this instance as alive */
  bool draining;
} Instance;

/* Two instances that share a store, and a trainer that calls the instances. */
typedef struct
{
  struct event_base *base;
  FaultyStore store;
  Instance instances[2];
  struct LhPool *http;
  /* State of the simulated trainer, whose calls the test sends. */
  char *cursor;
  int received[MAX_SAMPLES]; /* number of times that each sample was delivered */
  int status;                /* HTTP status of the last reply */
  char *reply;               /* body of the last reply */
  int n_pending;             /* number of calls without a reply */
  bool strict; /* the trainer pulls from a strict subscription: the owner of a step must record
                  samples in the store before it delivers them */
} Cluster;

static inline void faulty_store_transact (LpPlatform *platform,
                                          const LpTransaction *transaction,
                                          LpPriority priority,
                                          LpTransactDone done,
                                          void *user);

/* A reply of the store that is delivered from the event loop, like the replies of a real platform.
 */
typedef struct
{
  FaultyStore *store;
  LpTransactDone done;
  LpRowsDone rows_done;
  LpObjectDone object_done;
  LbErrorCode error;
  void *user;
} DeferredStoreReply;

static inline void
deliver_store_reply (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  DeferredStoreReply reply = *(DeferredStoreReply *)user;

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
defer_store_reply (DeferredStoreReply reply)
{
  const struct timeval now = { 0 };

  event_base_once (store_event_base, -1, EV_TIMEOUT, deliver_store_reply,
                   lb_memdup (&reply, sizeof reply), &now);
}

static inline void
report_store_outcome_unknown (LbErrorCode error, const LpRow *row, void *user)
{
  DeferredStoreReply *reply = user;

  (void)error;
  (void)row;
  reply->done (LB_ERROR_STORE_UNKNOWN, NULL, reply->user);
  free (reply);
}

static inline void
faulty_store_transact (LpPlatform *platform,
                       const LpTransaction *transaction,
                       LpPriority priority,
                       LpTransactDone done,
                       void *user)
{
  FaultyStore *store = (FaultyStore *)platform;
  DeferredStoreReply reply
      = { .store = store, .done = done, .error = LB_ERROR_STORE_AWAY, .user = user };

  store->n_writes++;
  if (store->mode == STORE_UNAVAILABLE)
    defer_store_reply (reply);
  else if (store->mode == STORE_LOSES_REPLY)
    store->inner->klass->transact (store->inner, transaction, priority,
                                   report_store_outcome_unknown, lb_memdup (&reply, sizeof reply));
  else
    store->inner->klass->transact (store->inner, transaction, priority, done, user);
}

static inline void
faulty_store_get (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  FaultyStore *store = (FaultyStore *)platform;

  if (store->mode == STORE_UNAVAILABLE)
    defer_store_reply (
        (DeferredStoreReply){ .rows_done = done, .error = LB_ERROR_STORE_AWAY, .user = user });
  else
    store->inner->klass->get (store->inner, key, done, user);
}

static inline void
faulty_store_put_object (LpPlatform *platform,
                         const char *key,
                         const char *bytes,
                         size_t length,
                         LpObjectDone done,
                         void *user)
{
  FaultyStore *store = (FaultyStore *)platform;

  if (store->mode == STORE_UNAVAILABLE)
    defer_store_reply (
        (DeferredStoreReply){ .object_done = done, .error = LB_ERROR_STORE_AWAY, .user = user });
  else
    store->inner->klass->put_object (store->inner, key, bytes, length, done, user);
}

static inline void
faulty_store_get_object (LpPlatform *platform, const char *key, LpObjectDone done, void *user)
{
  FaultyStore *store = (FaultyStore *)platform;

  store->inner->klass->get_object (store->inner, key, done, user);
}

static const LpPlatformClass faulty_store_class = { .name = "faulty",
                                                    .transact = faulty_store_transact,
                                                    .get = faulty_store_get,
                                                    .put_object = faulty_store_put_object,
                                                    .get_object = faulty_store_get_object };

static inline void
fake_calls_post_ten_tokens (FakeCalls *calls, LcRequestId request)
{
  LnSamplePieceMessage piece = { .base = LN_MESSAGE (LN_SAMPLE_PIECE),
                                 .request = request,
                                 .piece = { .tokens = 10, .version = 40 },
                                 .endpoint = "e1" };

  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), piece);
}

static inline void
fake_calls_post_sample_done (FakeCalls *calls, LcRequestId request)
{
  LnSampleDoneMessage done = { .base = LN_MESSAGE (LN_SAMPLE_DONE), .request = request };

  done.text = "text";
  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), done);
}

static inline void
fake_calls_receive_message (LnTask *task, const LnMessage *message)
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
      fake_calls_post_ten_tokens (calls, request);
      fake_calls_post_sample_done (calls, request);
    }
}

static inline void
fake_calls_free (LnTask *task)
{
  (void)task;
}

static const LnTaskClass fake_calls_class
    = { .name = "calls", .receive = fake_calls_receive_message, .free = fake_calls_free };

static inline void
cluster_send_member_lists (Cluster *cluster)
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
cluster_send_config_to_instance (Cluster *cluster, Instance *instance)
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
  instance->calls.task.klass = &fake_calls_class;
  ln_hub_add_task (context->hub, instance->front);
  ln_hub_add_task (context->hub, &instance->calls.task);
  ln_hub_add_task (context->hub, instance->rollouts);
  cluster_send_config_to_instance (cluster, instance);
}

static inline Cluster *
cluster_new (bool strict_subscription)
{
  Cluster *cluster = LB_NEW (Cluster);

  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "test");
  cluster->strict = strict_subscription;
  cluster->base = event_base_new ();
  store_event_base = cluster->base;
  cluster->store.platform.klass = &faulty_store_class;
  cluster->store.inner = lp_memory_new (cluster->base);
  cluster->http = lh_pool_new (cluster->base);
  cluster->cursor = lb_strdup ("");
  instance_init (cluster, &cluster->instances[0], "i1");
  instance_init (cluster, &cluster->instances[1], "i2");
  cluster_send_member_lists (cluster);
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
cluster_run_event_loop_once (Cluster *cluster)
{
  event_base_loop (cluster->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

#define CLUSTER_WAIT_UNTIL(cluster, condition)                                                     \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + CLUSTER_WAIT_TIMEOUT;                                  \
      while (!(condition) && lb_clock_monotonic () < end_)                                         \
        cluster_run_event_loop_once (cluster);                                                     \
      cr_assert ((condition), "timed out waiting for: %s", #condition);                            \
    }                                                                                              \
  while (0)

static inline void
cluster_record_reply (LhFetch *fetch, const LhResult *result, void *user)
{
  Cluster *cluster = user;

  (void)fetch;
  free (cluster->reply);
  cluster->reply = lb_strndup (result->body ? result->body : "", result->body_length);
  cluster->status = result->status;
  cluster->n_pending--;
}

/* Sends an HTTP request of the trainer without waiting for the reply. */
static inline void
cluster_send_subscription_call (Cluster *cluster,
                                size_t instance,
                                const char *subscription,
                                const char *subpath,
                                const char *body)
{
  static const LhHandlers handlers = { .on_done = cluster_record_reply };
  char *path = lb_asprintf ("/v1/subscriptions/%s/%s", subscription, subpath);
  const LhRequest request = { .method = body ? "POST" : "GET",
                              .address = cluster->instances[instance].context.caller_address,
                              .path = path,
                              .body = body ? body : "",
                              .body_length = body ? strlen (body) : 0 };
  LbError error;

  cluster->n_pending++;
  cr_assert (lh_fetch_start (cluster->http, &request, &handlers, cluster, &error),
             "the request could not be sent: %s", error.detail);
  free (path);
}

static inline void
cluster_send_step_call (Cluster *cluster, size_t instance, const char *subpath, const char *body)
{
  cluster_send_subscription_call (cluster, instance, "t", subpath, body);
}

static inline void
cluster_send_open_step_call (Cluster *cluster, size_t instance)
{
  cluster_send_step_call (
      cluster, instance, "steps",
      "{\"step\":1,\"weight_version\":40,\"groups\":["
      "{\"id\":\"g0\",\"prompt\":\"Read this smudged envelope and name the village of its "
      "sender, if it can be read at all: \",\"samples\":2,\"max_tokens\":64},"
      "{\"id\":\"g1\",\"prompt\":\"q\",\"samples\":2,\"max_tokens\":64}]}");
}

static inline void
cluster_open_step (Cluster *cluster, size_t instance)
{
  cluster_send_open_step_call (cluster, instance);
  CLUSTER_WAIT_UNTIL (cluster, cluster->n_pending == 0);
}

static inline void
cluster_send_pull_call (Cluster *cluster, size_t instance, int max_samples, int wait_ms)
{
  char *body = lb_asprintf ("{\"step\":1,\"cursor\":\"%s\",\"weight_version\":40,"
                            "\"max_samples\":%d,\"wait_ms\":%d}",
                            cluster->cursor, max_samples, wait_ms);

  cluster_send_step_call (cluster, instance, "pull", body);
  free (body);
}

/* Records the samples and the cursor of the last reply, like a trainer. Returns the number of
 * samples in the reply. */
static inline size_t
cluster_record_samples_of_reply (Cluster *cluster)
{
  struct json_object *reply = json_tokener_parse (cluster->reply);
  struct json_object *cursor = NULL, *samples = NULL, *group = NULL, *index = NULL;

  cr_assert (json_object_object_get_ex (reply, "cursor", &cursor), "reply without a cursor: %s",
             cluster->reply);
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
cluster_pull_samples (Cluster *cluster, size_t instance, int max_samples)
{
  cluster_send_pull_call (cluster, instance, max_samples, 5000);
  CLUSTER_WAIT_UNTIL (cluster, cluster->n_pending == 0);
  cr_assert_eq (cluster->status, 200, "status %d instead of 200: %s", cluster->status,
                cluster->reply);
  return cluster_record_samples_of_reply (cluster);
}

static inline void
cluster_expect_each_sample_delivered_once (const Cluster *cluster)
{
  for (int i = 0; i < 4; i++)
    cr_assert_eq (cluster->received[i], 1, "sample %d was delivered %d times, expected once", i,
                  cluster->received[i]);
}

#endif

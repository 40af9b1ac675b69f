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

#define PATIENCE (30 * LB_SEC)
#define MAX_SLOTS 64

typedef enum
{
  STORE_WORKS,
  STORE_AWAY,       /* nothing is applied */
  STORE_LOSES_REPLY /* a write is applied, its outcome is not known */
} StoreMode;

/* The in-memory platform behind faults. */
typedef struct
{
  LpPlatform platform; /* first */
  LpPlatform *inner;
  StoreMode mode;
  int writes;
} Store;

/* Plays the calls task: answers each sample at once with ten tokens, or keeps it. */
typedef struct
{
  LnTask task; /* first */
  bool keeps;
  int samples;
  size_t n_prefix_hashes; /* of the sample with most */
  LcRequestId kept[MAX_SLOTS];
  size_t n_kept;
} Calls;

typedef struct
{
  LnContext context;
  LnSettings settings;
  Calls calls;
  LnTask *front;
  LnTask *rollouts;
  bool alive; /* as the others see it */
  bool draining;
} Instance;

/* Two instances on one store, and a trainer. */
typedef struct
{
  struct event_base *base;
  Store store;
  Instance instances[2];
  struct LhPool *http;
  /* the trainer */
  char *cursor;
  int seen[MAX_SLOTS]; /* how often each sample came */
  int status;
  char *reply;
  int pending; /* calls without an answer */
  bool strict;
} World;

static inline void store_transact (LpPlatform *platform,
                                   const LpTransaction *transaction,
                                   LpPriority priority,
                                   LpTransactDone done,
                                   void *user);

/* One answer that is told later, as the platform's are. */
typedef struct
{
  Store *store;
  LpTransactDone done;
  LpRowsDone rows_done;
  LpObjectDone object_done;
  LbErrorCode error;
  void *user;
} Later;

static inline void
later_tell (evutil_socket_t fd, short what, void *user)
{
  (void)fd;
  (void)what;
  Later later = *(Later *)user;

  free (user);
  if (later.done)
    later.done (later.error, NULL, later.user);
  else if (later.rows_done)
    later.rows_done (later.error, NULL, 0, later.user);
  else
    later.object_done (later.error, NULL, 0, later.user);
}

static struct event_base *store_base;

static inline void
tell_later (Later later)
{
  const struct timeval now = { 0 };

  event_base_once (store_base, -1, EV_TIMEOUT, later_tell, lb_memdup (&later, sizeof later), &now);
}

static inline void
store_lost (LbErrorCode error, const LpRow *row, void *user)
{
  Later *later = user;

  (void)error;
  (void)row;
  later->done (LB_ERROR_STORE_UNKNOWN, NULL, later->user);
  free (later);
}

static inline void
store_transact (LpPlatform *platform,
                const LpTransaction *transaction,
                LpPriority priority,
                LpTransactDone done,
                void *user)
{
  Store *store = (Store *)platform;
  Later later = { .store = store, .done = done, .error = LB_ERROR_STORE_AWAY, .user = user };

  store->writes++;
  if (store->mode == STORE_AWAY)
    tell_later (later);
  else if (store->mode == STORE_LOSES_REPLY)
    store->inner->klass->transact (store->inner, transaction, priority, store_lost,
                                   lb_memdup (&later, sizeof later));
  else
    store->inner->klass->transact (store->inner, transaction, priority, done, user);
}

static inline void
store_get (LpPlatform *platform, const char *key, LpRowsDone done, void *user)
{
  Store *store = (Store *)platform;

  if (store->mode == STORE_AWAY)
    tell_later ((Later){ .rows_done = done, .error = LB_ERROR_STORE_AWAY, .user = user });
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
  Store *store = (Store *)platform;

  if (store->mode == STORE_AWAY)
    tell_later ((Later){ .object_done = done, .error = LB_ERROR_STORE_AWAY, .user = user });
  else
    store->inner->klass->put_object (store->inner, key, bytes, length, done, user);
}

static inline void
store_get_object (LpPlatform *platform, const char *key, LpObjectDone done, void *user)
{
  Store *store = (Store *)platform;

  store->inner->klass->get_object (store->inner, key, done, user);
}

static const LpPlatformClass store_class = { .name = "faulty",
                                             .transact = store_transact,
                                             .get = store_get,
                                             .put_object = store_put_object,
                                             .get_object = store_get_object };

static inline void
calls_begin (Calls *calls, LcRequestId request)
{
  LnSamplePieceMessage piece = { .base = LN_MESSAGE (LN_SAMPLE_PIECE),
                                 .request = request,
                                 .piece = { .tokens = 10, .version = 40 },
                                 .endpoint = "e1" };

  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), piece);
}

static inline void
calls_end (Calls *calls, LcRequestId request)
{
  LnSampleDoneMessage done = { .base = LN_MESSAGE (LN_SAMPLE_DONE), .request = request };

  done.text = "text";
  LN_POST (calls->task.hub, ln_hub_find_task (calls->task.hub, "rollouts"), done);
}

static inline void
calls_receive (LnTask *task, const LnMessage *message)
{
  Calls *calls = (Calls *)task;

  if (message->type != LN_SAMPLE)
    return;
  LcRequestId request = ((const LnSampleMessage *)message)->spec.id;
  const LcRequestSpec *spec = &((const LnSampleMessage *)message)->spec;
  if (spec->n_prefix_hashes > calls->n_prefix_hashes)
    calls->n_prefix_hashes = spec->n_prefix_hashes;
  calls->samples++;
  if (calls->keeps)
    calls->kept[calls->n_kept++] = request;
  else
    {
      calls_begin (calls, request);
      calls_end (calls, request);
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
world_tell_members (World *world)
{
  for (size_t to = 0; to < 2; to++)
    {
      LnMembersMessage message = { .base = LN_MESSAGE (LN_MEMBERS), .n_members = 2 };
      LnMember members[2];

      memset (members, 0, sizeof members);
      for (size_t i = 0; i < 2; i++)
        {
          const Instance *instance = &world->instances[i];
          LB_COPY (members[i].name, instance->context.instance);
          LB_COPY (members[i].incarnation, instance->context.incarnation);
          LB_COPY (members[i].caller_address, instance->context.caller_address);
          members[i].alive = instance->alive;
          members[i].draining = instance->draining;
          members[i].is_self = i == to;
        }
      message.members = members;
      Instance *instance = &world->instances[to];
      instance->rollouts->klass->receive (instance->rollouts, &message.base);
    }
}

static inline void
instance_configure (World *world, Instance *instance)
{
  LcPool pool = { .name = "reader" };
  LcSubscription subscription
      = { .name = "t", .pool = "reader", .share = 1, .strict = world->strict };
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
instance_init (World *world, Instance *instance, const char *name)
{
  LnContext *context = &instance->context;

  ln_settings_init (&instance->settings);
  LB_COPY (instance->settings.instance.caller_address, "127.0.0.1:0");
  context->base = world->base;
  context->settings = &instance->settings;
  context->platform = &world->store.platform;
  context->hub = ln_hub_new (world->base);
  context->http_pool = lh_pool_new (world->base);
  LB_COPY (context->instance, name);
  snprintf (context->incarnation, sizeof context->incarnation, "%s-1", name);
  instance->alive = true;
  instance->front = ln_front_new (context);
  instance->rollouts = ln_rollouts_new (context);
  instance->calls.task.klass = &calls_class;
  ln_hub_add (context->hub, instance->front);
  ln_hub_add (context->hub, &instance->calls.task);
  ln_hub_add (context->hub, instance->rollouts);
  instance_configure (world, instance);
}

static inline World *
world_new (bool strict)
{
  World *world = LB_NEW (World);

  signal (SIGPIPE, SIG_IGN);
  lb_log_init (LB_LOG_OFF, 2, "test");
  world->strict = strict;
  world->base = event_base_new ();
  store_base = world->base;
  world->store.platform.klass = &store_class;
  world->store.inner = lp_memory_new (world->base);
  world->http = lh_pool_new (world->base);
  world->cursor = lb_strdup ("");
  instance_init (world, &world->instances[0], "i1");
  instance_init (world, &world->instances[1], "i2");
  world_tell_members (world);
  return world;
}

static inline void
world_free (World *world)
{
  for (size_t i = 0; i < 2; i++)
    {
      ln_hub_free (world->instances[i].context.hub);
      lh_pool_free (world->instances[i].context.http_pool);
      ln_settings_clear (&world->instances[i].settings);
    }
  lh_pool_free (world->http);
  world->store.inner->klass->free (world->store.inner);
  event_base_free (world->base);
  free (world->cursor);
  free (world->reply);
  free (world);
}

static inline void
world_pump (World *world)
{
  event_base_loop (world->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
}

#define WORLD_UNTIL(world, condition)                                                              \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + PATIENCE;                                              \
      while (!(condition) && lb_clock_monotonic () < end_)                                         \
        world_pump (world);                                                                        \
      cr_assert ((condition), "never came true: %s", #condition);                                  \
    }                                                                                              \
  while (0)

static inline void
world_on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  World *world = user;

  (void)fetch;
  free (world->reply);
  world->reply = lb_strndup (result->body ? result->body : "", result->body_length);
  world->status = result->status;
  world->pending--;
}

/* Sends a call of the trainer without waiting for the answer. */
static inline void
world_send_to (
    World *world, size_t instance, const char *subscription, const char *what, const char *body)
{
  static const LhHandlers handlers = { .on_done = world_on_done };
  char *path = lb_asprintf ("/v1/subscriptions/%s/%s", subscription, what);
  const LhRequest request = { .method = body ? "POST" : "GET",
                              .address = world->instances[instance].context.caller_address,
                              .path = path,
                              .body = body ? body : "",
                              .body_length = body ? strlen (body) : 0 };
  LbError error;

  world->pending++;
  cr_assert (lh_fetch_start (world->http, &request, &handlers, world, &error), "%s", error.detail);
  free (path);
}

static inline void
world_send (World *world, size_t instance, const char *what, const char *body)
{
  world_send_to (world, instance, "t", what, body);
}

static inline void
world_send_open (World *world, size_t instance)
{
  world_send (world, instance, "steps",
              "{\"step\":1,\"weight_version\":40,\"groups\":["
              "{\"id\":\"g0\",\"prompt\":\"Read this smudged envelope and name the village of its "
              "sender, if it can be read at all: \",\"samples\":2,\"max_tokens\":64},"
              "{\"id\":\"g1\",\"prompt\":\"q\",\"samples\":2,\"max_tokens\":64}]}");
}

static inline void
world_open (World *world, size_t instance)
{
  world_send_open (world, instance);
  WORLD_UNTIL (world, world->pending == 0);
}

static inline void
world_send_pull (World *world, size_t instance, int max_samples, int wait_ms)
{
  char *body = lb_asprintf ("{\"step\":1,\"cursor\":\"%s\",\"weight_version\":40,"
                            "\"max_samples\":%d,\"wait_ms\":%d}",
                            world->cursor, max_samples, wait_ms);

  world_send (world, instance, "pull", body);
  free (body);
}

/* Takes the samples and the cursor of the reply in, as a trainer does. Returns how many came. */
static inline size_t
world_take (World *world)
{
  struct json_object *reply = json_tokener_parse (world->reply);
  struct json_object *cursor = NULL, *samples = NULL, *group = NULL, *index = NULL;

  cr_assert (json_object_object_get_ex (reply, "cursor", &cursor), "%s", world->reply);
  json_object_object_get_ex (reply, "samples", &samples);
  free (world->cursor);
  world->cursor = lb_strdup (json_object_get_string (cursor));
  size_t n = json_object_array_length (samples);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *sample = json_object_array_get_idx (samples, i);
      json_object_object_get_ex (sample, "group", &group);
      json_object_object_get_ex (sample, "index", &index);
      world->seen[2 * (json_object_get_string (group)[1] - '0') + json_object_get_int (index)]++;
    }
  json_object_put (reply);
  return n;
}

static inline size_t
world_pull (World *world, size_t instance, int max_samples)
{
  world_send_pull (world, instance, max_samples, 5000);
  WORLD_UNTIL (world, world->pending == 0);
  cr_assert_eq (world->status, 200, "%d %s", world->status, world->reply);
  return world_take (world);
}

static inline void
world_expect_each_once (const World *world)
{
  for (int i = 0; i < 4; i++)
    cr_assert_eq (world->seen[i], 1, "sample %d came %d times", i, world->seen[i]);
}

#endif

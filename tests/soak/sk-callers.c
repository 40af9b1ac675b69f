#include "sk-callers.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_PERIOD (12 * LB_MSEC)
#define PROBE_PERIOD (150 * LB_MSEC)
#define MAX_RUNNING 200
#define DEADLINE (3 * LB_SEC)
/* After its deadline a call has its final answer, but for the time of a busy machine. */
#define ANSWER_SLACK LB_SEC
#define CONFIG_TIME (2 * LB_SEC) /* in which an accepted state is in force everywhere */
#define CONFIG_SLACK (500 * LB_MSEC)
/* Faults leave their marks for so long: connections that are found silent, views that are old. */
#define CALM_TIME (3 * LB_SEC)

typedef enum
{
  CALL_LOOKUP,
  CALL_ORDER,
  CALL_ROUTE /* of the newest route that was added */
} CallKind;

typedef struct
{
  LbLink link;
  SkCallers *callers;
  SkInstance *instance;
  int start; /* of the instance, when the call began */
  CallKind kind;
  LbName id;
  int64_t route; /* ROUTE: which */
  LbTime began;
  LhFetch *fetch;
} Call;

struct SkCallers
{
  SkWorld *world;
  LbList calls;
  int64_t n_calls;
  LbTime next_call;
  LbTime next_probe;
  bool stopped;
};

SkCallers *
sk_callers_new (SkWorld *world)
{
  SkCallers *callers = LB_NEW (SkCallers);

  callers->world = world;
  lb_list_init (&callers->calls);
  return callers;
}

static void
call_free (Call *call)
{
  lb_list_remove (&call->callers->calls, &call->link);
  free (call);
}

void
sk_callers_free (SkCallers *callers)
{
  LB_LIST_FOREACH (&callers->calls, Call, link, call)
  {
    lh_fetch_cancel (call->fetch);
    call_free (call);
  }
  free (callers);
}

/* The process is the one that the call went to, and nothing was done to it or to the store. */
static bool
was_left_alone (const Call *call, LbTime since)
{
  return call->instance->starts == call->start && sk_instance_is_calm (call->instance, since);
}

static bool
is_whole (const Call *call, const LhFetch *fetch, const LhResult *result)
{
  const char *stamp = lh_fetch_header (fetch, "Server-Stamp");
  char body[LB_NAME_MAX + 16];
  char expected[LB_NAME_MAX + 8];

  snprintf (body, sizeof body, "answer to %s", call->id);
  snprintf (expected, sizeof expected, "stamp-%s", call->id);
  return stamp && strcmp (stamp, expected) == 0 && result->body_length == strlen (body)
         && memcmp (result->body, body, result->body_length) == 0;
}

static void
check_not_run (Call *call)
{
  SkRequest *request = sk_request_ensure (call->callers->world, call->id);

  request->said_not_run = true;
  if (request->runs > 0 && !request->repeatable)
    sk_fail (call->callers->world, "not run is true", "%s ran %d times and its caller was told 503",
             call->id, request->runs);
}

static void
check_route (Call *call, int status, LbTime now)
{
  SkWorld *world = call->callers->world;
  SkInstance *instance = call->instance;
  LbTime in_force = world->config_at + CONFIG_TIME + CONFIG_SLACK;

  if (instance->starts != call->start)
    return;
  if (status == 200 && call->route > instance->route_seen)
    instance->route_seen = call->route;
  if (status != 404)
    return;
  if (call->route <= instance->route_seen)
    sk_fail (world, "an accepted configuration never reverts", "%s has lost route r%lld",
             instance->name, (long long)call->route);
  else if (call->route == world->n_routes && call->began > in_force
           && was_left_alone (call, world->config_at - CALM_TIME) && now > in_force)
    sk_fail (world, "an accepted configuration is in force in seconds",
             "%s has no route r%lld %.3f s after its acknowledgement", instance->name,
             (long long)call->route, (double)(call->began - world->config_at) / LB_SEC);
}

/* Shutdown cuts nothing: a request that an instance had taken gets its answer, as long as nobody
 * killed the process. What crossed its close was not passed on. */
static void
check_cut (const Call *call, const LhResult *result)
{
  const SkInstance *instance = call->instance;
  const SkRequest *request = sk_request_find (call->callers->world, call->id);

  if (result->failure != LB_ERROR_CLOSED && result->failure != LB_ERROR_IO)
    return;
  if (instance->starts != call->start || instance->disturbed_at > call->began
      || (instance->stopping && instance->disturbed_at > call->began))
    return;
  if (request && request->runs > 0)
    sk_fail (call->callers->world, "shutdown cuts nothing", "%s ran, and %s closed its connection",
             call->id, instance->name);
}

static void
check (Call *call, const LhFetch *fetch, const LhResult *result, LbTime now)
{
  SkWorld *world = call->callers->world;

  if (result->failure != LB_OK)
    {
      world->n_failed++;
      check_cut (call, result);
      return;
    }
  if (result->status == 200 && !is_whole (call, fetch, result))
    sk_fail (world, "whole answers", "%s got %.*s", call->id, (int)result->body_length,
             result->body);
  world->n_served += result->status == 200;
  world->n_refused += result->status == 503 || result->status == 429;
  if (result->status == 503 || result->status == 429)
    check_not_run (call);
  if (call->kind == CALL_ROUTE)
    check_route (call, result->status, now);
  else if (result->status == 404)
    sk_fail (world, "a route that is there is found", "%s got 404 of %s", call->id,
             call->instance->name);
  if (now - call->began > DEADLINE + ANSWER_SLACK && was_left_alone (call, call->began - CALM_TIME))
    sk_fail (world, "an answer by the deadline", "%s was answered %d after %.3f s by %s", call->id,
             result->status, (double)(now - call->began) / LB_SEC, call->instance->name);
}

static void
on_done (LhFetch *fetch, const LhResult *result, void *user)
{
  Call *call = user;

  check (call, fetch, result, lb_clock_monotonic ());
  call_free (call);
}

/* Any instance that a caller may know of: also one that stops, since addresses are kept. */
static SkInstance *
choose_instance (SkWorld *world)
{
  size_t first = (size_t)sk_draw (world, 0, (int64_t)world->n_instances - 1);

  for (size_t i = 0; i < world->n_instances; i++)
    {
      SkInstance *instance = &world->instances[(first + i) % world->n_instances];
      if (instance->process.pid > 0 && instance->address[0])
        return instance;
    }
  return NULL;
}

static void
start_call (SkCallers *callers, SkInstance *instance, CallKind kind, LbTime now)
{
  SkWorld *world = callers->world;
  Call *call = LB_NEW (Call);
  char path[32];
  char deadline[16];
  const LhHeader headers[]
      = { { "Attempt-Id", call->id }, { "Deadline-Ms", deadline }, { "Api-Key", SK_CALLERS_KEY } };
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = "POST",
                              .address = instance->address,
                              .path = path,
                              .host = SK_HOST,
                              .headers = headers,
                              .n_headers = 3,
                              .body = "hello",
                              .body_length = 5,
                              .idle_timeout = DEADLINE + 2 * ANSWER_SLACK,
                              .fresh_connection = sk_draw (world, 0, 3) == 0 };

  *call = (Call){ .callers = callers,
                  .instance = instance,
                  .start = instance->starts,
                  .kind = kind,
                  .route = world->n_routes,
                  .began = now };
  snprintf (call->id, sizeof call->id, "c%lld", (long long)callers->n_calls++);
  snprintf (deadline, sizeof deadline, "%lld", (long long)(DEADLINE / LB_MSEC));
  if (kind == CALL_ROUTE)
    snprintf (path, sizeof path, "/r%lld/x", (long long)call->route);
  else
    snprintf (path, sizeof path, kind == CALL_ORDER ? "/order/x" : "/lookup/x");
  sk_request_ensure (world, call->id)->repeatable = kind != CALL_ORDER;
  world->n_calls++;
  lb_list_append (&callers->calls, &call->link);
  call->fetch = lh_fetch_start (world->pool, &request, &handlers, call, NULL);
}

static void
start_probes (SkCallers *callers, LbTime now)
{
  SkWorld *world = callers->world;

  for (size_t i = 0; world->n_routes > 0 && i < world->n_instances; i++)
    if (sk_instance_runs (&world->instances[i]) && !world->instances[i].stopping)
      start_call (callers, &world->instances[i], CALL_ROUTE, now);
}

void
sk_callers_tick (SkCallers *callers, LbTime now)
{
  SkInstance *instance = NULL;

  if (callers->stopped || callers->calls.length > MAX_RUNNING)
    return;
  if (now >= callers->next_call && (instance = choose_instance (callers->world)))
    {
      callers->next_call = now + CALL_PERIOD;
      start_call (callers, instance, sk_draw (callers->world, 0, 1) ? CALL_LOOKUP : CALL_ORDER,
                  now);
    }
  if (now < callers->next_probe)
    return;
  callers->next_probe = now + PROBE_PERIOD;
  start_probes (callers, now);
}

void
sk_callers_stop (SkCallers *callers)
{
  callers->stopped = true;
}

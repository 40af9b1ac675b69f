#include "sk-callers.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_INTERVAL (12 * LB_MSEC)
#define ROUTE_PROBE_INTERVAL (150 * LB_MSEC)
#define MAX_CONCURRENT_CALLS 200
#define CALL_DEADLINE (3 * LB_SEC)
#define RESPONSE_SLACK LB_SEC /* allowance for a slow test machine after CALL_DEADLINE */
/* An accepted configuration must be active on all instances within this time. */
#define CONFIG_PROPAGATION_TIME (2 * LB_SEC)
#define CONFIG_SLACK (500 * LB_MSEC) /* allowance for a slow test machine */
/* A fault can have effects for this long after its end, because dead connections are not detected
 * yet and instances have stale state. */
#define FAULT_EFFECT_TIME (3 * LB_SEC)

typedef enum
{
  CALL_LOOKUP,
  CALL_ORDER,
  CALL_ROUTE_PROBE /* call to the newest route that a configuration change added */
} CallKind;

typedef struct
{
  LbLink link;
  SkCallers *callers;
  SkInstance *instance;
  int called_process_start; /* value of the instance's n_process_starts when the call started, to
                               detect a restart */
  CallKind kind;
  LbName id;
  int64_t route; /* number of the newest added route when the call started, which a probe calls; 0:
                    none */
  LbTime started_at;
  LhFetch *fetch;
} Call;

struct SkCallers
{
  SkWorld *world;
  LbList calls;
  int64_t n_calls;
  LbTime next_call_at;
  LbTime next_probe_at;
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

/* Returns true if the called process still runs, and neither the process nor the store was
 * disturbed (start, signal, exit or fault) after `since`. */
static bool
was_called_instance_undisturbed (const Call *call, LbTime since)
{
  return call->instance->n_process_starts == call->called_process_start
         && sk_instance_was_undisturbed_since (call->instance, since);
}

static bool
is_complete_response (const Call *call, const LhFetch *fetch, const LhResult *result)
{
  const char *stamp = lh_fetch_get_response_header (fetch, "Server-Stamp");
  char body[LB_NAME_MAX + 16];
  char expected[LB_NAME_MAX + 8];

  snprintf (body, sizeof body, "answer to %s", call->id);
  snprintf (expected, sizeof expected, "stamp-%s", call->id);
  return stamp && strcmp (stamp, expected) == 0 && result->body_length == strlen (body)
         && memcmp (result->body, body, result->body_length) == 0;
}

static void
check_refused_call_did_not_run (Call *call)
{
  SkRequest *request = sk_request_find_or_add (call->callers->world, call->id);

  request->reported_not_run = true;
  if (request->n_runs > 0 && !request->is_idempotent)
    sk_report_violation (call->callers->world, "a request reported as not run did not run",
                         "%s ran %d times and was refused as not run", call->id, request->n_runs);
}

static void
check_probed_route_is_served (Call *call, int status, LbTime now)
{
  SkWorld *world = call->callers->world;
  SkInstance *instance = call->instance;
  LbTime active_by = world->config_put_at + CONFIG_PROPAGATION_TIME + CONFIG_SLACK;

  if (instance->n_process_starts != call->called_process_start)
    return;
  if (status == 200 && call->route > instance->newest_served_route)
    instance->newest_served_route = call->route;
  if (status != 404)
    return;
  if (call->route <= instance->newest_served_route)
    sk_report_violation (world, "an accepted configuration never reverts",
                         "%s no longer has route r%lld", instance->name, (long long)call->route);
  else if (call->route == world->n_added_routes && call->started_at > active_by
           && was_called_instance_undisturbed (call, world->config_put_at - FAULT_EFFECT_TIME)
           && now > active_by)
    sk_report_violation (world, "an accepted configuration is active within seconds",
                         "%s has no route r%lld %.3f s after it was accepted", instance->name,
                         (long long)call->route,
                         (double)(call->started_at - world->config_put_at) / LB_SEC);
}

/* Checks that a graceful shutdown aborts no request. A request that ran at a service must be
 * answered, unless the process was disturbed (signal, exit or fault) after the request was sent.
 * A request that arrives while the instance closes the connection may be lost without an answer,
 * since it is not forwarded. */
static void
check_shutdown_aborted_no_request (const Call *call, const LhResult *result)
{
  const SkInstance *instance = call->instance;
  const SkRequest *request = sk_request_find (call->callers->world, call->id);

  if (result->failure != LB_ERROR_CLOSED && result->failure != LB_ERROR_IO)
    return;
  if (instance->n_process_starts != call->called_process_start
      || instance->last_disturbed_at > call->started_at
      || (instance->stopping && instance->last_disturbed_at > call->started_at))
    return;
  if (request && request->n_runs > 0)
    sk_report_violation (call->callers->world, "shutdown aborts no request",
                         "%s ran, but %s closed its connection", call->id, instance->name);
}

static void
check_call_result (Call *call, const LhFetch *fetch, const LhResult *result, LbTime now)
{
  SkWorld *world = call->callers->world;

  if (result->failure != LB_OK)
    {
      world->n_failed++;
      check_shutdown_aborted_no_request (call, result);
      return;
    }
  if (result->status == 200 && !is_complete_response (call, fetch, result))
    sk_report_violation (world, "complete responses",
                         "%s: expected the complete response to its request, got %.*s", call->id,
                         (int)result->body_length, result->body);
  world->n_served += result->status == 200;
  world->n_refused += result->status == 503 || result->status == 429;
  if (result->status == 503 || result->status == 429)
    check_refused_call_did_not_run (call);
  if (call->kind == CALL_ROUTE_PROBE)
    check_probed_route_is_served (call, result->status, now);
  else if (result->status == 404)
    sk_report_violation (world, "configured routes are served",
                         "%s: expected a configured route, got status 404 from %s", call->id,
                         call->instance->name);
  if (now - call->started_at > CALL_DEADLINE + RESPONSE_SLACK
      && was_called_instance_undisturbed (call, call->started_at - FAULT_EFFECT_TIME))
    sk_report_violation (
        world, "a response by the deadline",
        "%s: expected a response by the deadline, got status %d after %.3f s from %s", call->id,
        result->status, (double)(now - call->started_at) / LB_SEC, call->instance->name);
}

static void
on_call_done (LhFetch *fetch, const LhResult *result, void *user)
{
  Call *call = user;

  check_call_result (call, fetch, result, lb_clock_monotonic ());
  call_free (call);
}

/* Returns a random instance with a process and a known address, which may be paused or shutting
 * down; NULL if there is none. */
static SkInstance *
choose_random_instance_with_address (SkWorld *world)
{
  size_t first = (size_t)sk_random_int (world, 0, (int64_t)world->n_instances - 1);

  for (size_t i = 0; i < world->n_instances; i++)
    {
      SkInstance *instance = &world->instances[(first + i) % world->n_instances];
      if (instance->process.pid > 0 && instance->address[0])
        return instance;
    }
  return NULL;
}

static void
start_simulated_call (SkCallers *callers, SkInstance *instance, CallKind kind, LbTime now)
{
  SkWorld *world = callers->world;
  Call *call = LB_NEW (Call);
  char path[32];
  char deadline[16];
  const LhHeader headers[] = { { "Attempt-Id", call->id },
                               { "Deadline-Ms", deadline },
                               { "Api-Key", SK_CALLER_API_KEY } };
  const LhHandlers handlers = { .on_done = on_call_done };
  const LhRequest request = { .method = "POST",
                              .address = instance->address,
                              .path = path,
                              .host = SK_HOST,
                              .headers = headers,
                              .n_headers = 3,
                              .body = "hello",
                              .body_length = 5,
                              .idle_timeout = CALL_DEADLINE + 2 * RESPONSE_SLACK,
                              .fresh_connection = sk_random_int (world, 0, 3) == 0 };

  *call = (Call){ .callers = callers,
                  .instance = instance,
                  .called_process_start = instance->n_process_starts,
                  .kind = kind,
                  .route = world->n_added_routes,
                  .started_at = now };
  snprintf (call->id, sizeof call->id, "c%lld", (long long)callers->n_calls++);
  snprintf (deadline, sizeof deadline, "%lld", (long long)(CALL_DEADLINE / LB_MSEC));
  if (kind == CALL_ROUTE_PROBE)
    snprintf (path, sizeof path, "/r%lld/x", (long long)call->route);
  else
    snprintf (path, sizeof path, kind == CALL_ORDER ? "/order/x" : "/lookup/x");
  sk_request_find_or_add (world, call->id)->is_idempotent = kind != CALL_ORDER;
  world->n_calls++;
  lb_list_append (&callers->calls, &call->link);
  call->fetch = lh_fetch_start (world->pool, &request, &handlers, call, NULL);
}

static void
start_route_probe_at_each_instance (SkCallers *callers, LbTime now)
{
  SkWorld *world = callers->world;

  for (size_t i = 0; world->n_added_routes > 0 && i < world->n_instances; i++)
    if (sk_instance_is_running (&world->instances[i]) && !world->instances[i].stopping)
      start_simulated_call (callers, &world->instances[i], CALL_ROUTE_PROBE, now);
}

void
sk_callers_start_due_calls (SkCallers *callers, LbTime now)
{
  SkInstance *instance = NULL;

  if (callers->stopped || callers->calls.length > MAX_CONCURRENT_CALLS)
    return;
  if (now >= callers->next_call_at
      && (instance = choose_random_instance_with_address (callers->world)))
    {
      callers->next_call_at = now + CALL_INTERVAL;
      start_simulated_call (callers, instance,
                            sk_random_int (callers->world, 0, 1) ? CALL_LOOKUP : CALL_ORDER, now);
    }
  if (now < callers->next_probe_at)
    return;
  callers->next_probe_at = now + ROUTE_PROBE_INTERVAL;
  start_route_probe_at_each_instance (callers, now);
}

void
sk_callers_stop_new_calls (SkCallers *callers)
{
  callers->stopped = true;
}

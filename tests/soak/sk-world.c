#include "sk-world.h"

#include "sk-crasher.h"
#include "sk-one-shot.h"

#include "lb-alloc.h"
#include "lb-clock.h"
#include "lb-json.h"

#include <event2/event.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LOOP_PAUSE_US 300 /* pause between two passes of the event loop */
#define N_SERVICES 2
/* time from the start of a fatal request to the crash of the service */
#define FATAL_REQUEST_CRASH_DELAY (20 * LB_MSEC)
/* longest time that an order to load weights is delayed by a relay fault, or in the socket
 * buffers of a paused instance */
#define MAX_ORDER_DELAY (1500 * LB_MSEC)
#define BATCH_CALL_IDLE_TIMEOUT (4 * LB_SEC)
#define MIN_DRAIN_TIME (4 * LB_SEC) /* minimum time for which a draining endpoint stays up */
/* limit of a graceful shutdown: the drain time plus the time for open calls and batches */
#define STOP_TIMEOUT (10 * LB_SEC)
/* Without other faults, a draining endpoint may get new work for at most this time. */
#define DRAIN_PROPAGATION_TIME (2 * LB_SEC)
#define DRAIN_SLACK (500 * LB_MSEC) /* allowance for a slow test machine */

void
sk_report_violation (SkWorld *world, const char *invariant, const char *format, ...)
{
  char text[512];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  world->n_violations++;
  printf ("BROKEN seed %llu at %.3f s: %s: %s (logs in %s)\n", (unsigned long long)world->seed,
          (double)(lb_clock_monotonic () - world->started_at) / LB_SEC, invariant, text,
          world->directory);
  fflush (stdout);
}

void
sk_log (const SkWorld *world, const char *format, ...)
{
  va_list arguments;

  if (!world->verbose)
    return;
  fprintf (stderr, "%8.3f ", (double)(lb_clock_monotonic () - world->started_at) / LB_SEC);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
}

int64_t
sk_random_int (SkWorld *world, int64_t low, int64_t high)
{
  return low + (int64_t)gsl_rng_uniform_int (world->rng, (unsigned long)(high - low + 1));
}

SkRequest *
sk_request_find (SkWorld *world, const char *id)
{
  SkRequest *request = NULL;

  HASH_FIND_STR (world->requests, id, request);
  return request;
}

SkRequest *
sk_request_find_or_add (SkWorld *world, const char *id)
{
  SkRequest *request = sk_request_find (world, id);

  if (request)
    return request;
  request = LB_NEW (SkRequest);
  LB_COPY (request->id, id);
  HASH_ADD_STR (world->requests, id, request);
  return request;
}

/* --- configuration and weight version in the store --- */

static void
add_route_object (struct json_object *routes,
                  const char *name,
                  const char *kind,
                  const char *service)
{
  char *text = lb_asprintf ("{\"name\": \"%s\", \"host\": \"" SK_HOST "\", \"prefix\": \"/%s/\","
                            " \"kind\": \"%s\", \"timeoutMs\": 8000, \"service\": \"%s\","
                            " \"attempts\": 3, \"goalMs\": 400}",
                            name, name, kind, service);

  json_object_array_add (routes, json_tokener_parse (text));
  free (text);
}

/* Writes a configuration with three fixed routes and the added routes r1, r2, ... */
void
sk_store_put_config (SkWorld *world)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *routes = json_object_new_array ();
  char name[16];

  add_route_object (routes, "lookup", "safe", "lookups");
  add_route_object (routes, "order", "unsafe", "lookups");
  add_route_object (routes, "steps", "weight_rollout", "engines");
  for (int64_t i = 1; i <= world->n_added_routes; i++)
    {
      snprintf (name, sizeof name, "r%lld", (long long)i);
      add_route_object (routes, name, "safe", "lookups");
    }
  json_object_object_add (object, "version", json_object_new_int64 (++world->config_version));
  json_object_object_add (object, "routes", routes);
  json_object_object_add (object, "services",
                          json_tokener_parse ("[{\"name\": \"engines\", \"maxConns\": 200,"
                                              " \"engine\": {\"stride\": 1}},"
                                              " {\"name\": \"lookups\", \"maxConns\": 200}]"));
  json_object_object_add (object, "tenants",
                          json_tokener_parse (
                              "[{\"name\": \"" SK_CALLER_ORGANISATION
                              "\", \"apiKeys\": [\"" SK_CALLER_API_KEY
                              "\"], \"priority\": 0}, {\"name\": \"" SK_TRAINER_ORGANISATION
                              "\", \"apiKeys\": [\"" SK_TRAINER_API_KEY "\"], \"priority\": 1}]"));
  si_row_store_put (&world->store, "op", "", "config", json_object_to_json_string (object));
  json_object_put (object);
  world->config_put_at = lb_clock_monotonic ();
}

void
sk_store_put_weight_version (SkWorld *world, int64_t version)
{
  char text[96];

  world->weight_version = version;
  snprintf (text, sizeof text, "{\"model\": \"" SK_MODEL "\", \"version\": %lld}",
            (long long)version);
  si_row_store_put (&world->store, "op", "", "version/" SK_MODEL, text);
}

/* --- instances: processes of the daemon --- */

bool
sk_instance_is_running (const SkInstance *instance)
{
  return instance->process.pid > 0 && !instance->process.ended && !instance->paused
         && instance->address[0];
}

bool
sk_instance_was_undisturbed_since (const SkInstance *instance, LbTime since)
{
  return sk_instance_is_running (instance) && !instance->stopping
         && instance->last_disturbed_at < since && instance->world->store_last_disturbed_at < since;
}

static void
write_config_file (const SkInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.json", instance->world->directory, instance->name);
  FILE *out = fopen (path, "w");
  if (!out)
    abort ();
  fprintf (out,
           "{\"instance\": {\"name\": \"%s\", \"data_centre\": \"hall-%c\","
           " \"caller_address\": \"127.0.0.1:0\", \"peer_address\": \"127.0.0.1:0\","
           " \"metrics_address\": \"127.0.0.1:0\"},"
           " \"platform\": {\"kind\": \"shared\", \"address\": \"%s\", \"deadline_ms\": 1000},"
           " \"calls\": {\"stream_silence_ms\": 2000},"
           " \"drain\": {\"drain_ms\": 2500, \"entry_ttl_ms\": 1000},"
           " \"duties\": {\"address\": \"%s\", \"usage_window_s\": 1, \"kinds\":"
           " [\"usage_report\"]},"
           " \"address_file\": \"%s/%s.addr\"}",
           instance->name, 'a' + (int)(instance->index % 3), instance->store_relay.address,
           instance->world->control_plane.server.address, instance->world->directory,
           instance->name);
  fclose (out);
}

void
sk_instance_start (SkInstance *instance)
{
  char settings[128];
  char log[128];
  char addresses[128];
  const char *const argv[] = { "lentilspindled", "--config", settings, NULL };

  snprintf (settings, sizeof settings, "%s/%s.json", instance->world->directory, instance->name);
  snprintf (addresses, sizeof addresses, "%s/%s.addr", instance->world->directory, instance->name);
  snprintf (log, sizeof log, "%s/%s.err", instance->world->directory, instance->name);
  unlink (addresses);
  instance->address[0] = '\0';
  instance->restart_at = LB_TIME_NEVER;
  instance->stopping = false;
  instance->paused = false;
  instance->newest_served_route = 0;
  instance->n_process_starts++;
  instance->last_disturbed_at = lb_clock_monotonic ();
  pt_process_start (&instance->process, argv, log);
}

/* Saves the output of the instance's process in the directory of the run, one file per start. */
static void
save_process_log (const SkInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.%d.log", instance->world->directory, instance->name,
            instance->n_process_starts);
  FILE *out = fopen (path, "w");
  if (!out)
    return;
  fwrite (instance->process.output, 1, instance->process.output_length, out);
  fclose (out);
}

static void
record_disturbance_of_instance (SkInstance *instance)
{
  instance->last_disturbed_at = lb_clock_monotonic ();
  instance->world->last_disturbed_at = instance->last_disturbed_at;
}

void
sk_instance_kill (SkInstance *instance, LbTime restart_after)
{
  if (instance->process.pid == 0 || instance->process.ended)
    return;
  sk_log (instance->world, "kill %s", instance->name);
  record_disturbance_of_instance (instance);
  pt_process_poll (&instance->process);
  save_process_log (instance);
  pt_process_clear (&instance->process);
  instance->address[0] = '\0';
  instance->paused = false;
  instance->resume_at = LB_TIME_NEVER;
  instance->stopping = false;
  instance->restart_at = lb_clock_monotonic () + restart_after;
}

void
sk_instance_pause (SkInstance *instance, LbTime duration)
{
  if (!sk_instance_is_running (instance))
    return;
  sk_log (instance->world, "pause %s for %lld ms", instance->name, (long long)(duration / LB_MSEC));
  record_disturbance_of_instance (instance);
  pt_process_signal (&instance->process, SIGSTOP);
  instance->paused = true;
  instance->resume_at = lb_clock_monotonic () + duration;
}

void
sk_instance_stop (SkInstance *instance)
{
  if (!sk_instance_is_running (instance) || instance->stopping)
    return;
  sk_log (instance->world, "stop %s", instance->name);
  instance->last_disturbed_at = lb_clock_monotonic ();
  instance->stopping = true;
  instance->sigterm_at = instance->last_disturbed_at;
  pt_process_signal (&instance->process, SIGTERM);
}

static void
read_address_file (SkInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.addr", instance->world->directory, instance->name);
  if (access (path, R_OK) != 0)
    return;
  struct json_object *object = json_object_from_file (path);
  if (!object)
    return;
  LB_COPY (instance->address, lb_json_text (object, "caller_address", ""));
  LB_COPY (instance->metrics_address, lb_json_text (object, "metrics_address", ""));
  json_object_put (object);
}

static void
resume_instance (SkInstance *instance)
{
  record_disturbance_of_instance (instance);
  pt_process_signal (&instance->process, SIGCONT);
  instance->paused = false;
  instance->resume_at = LB_TIME_NEVER;
}

static void
check_process_exit_and_schedule_restart (SkInstance *instance, LbTime now)
{
  if (!instance->stopping)
    sk_report_violation (instance->world, "no instance crashes",
                         "%s ended unexpectedly with wait status %x", instance->name,
                         instance->process.status);
  else if (!pt_process_has_exited (&instance->process, 0))
    sk_report_violation (instance->world, "graceful shutdown exits with 0",
                         "%s: expected exit status 0, got wait status %x", instance->name,
                         instance->process.status);
  record_disturbance_of_instance (instance);
  save_process_log (instance);
  pt_process_clear (&instance->process);
  instance->address[0] = '\0';
  instance->stopping = false;
  instance->restart_at = now + sk_random_int (instance->world, 100, 600) * LB_MSEC;
}

static void
restart_resume_or_heal_instance_if_due (SkInstance *instance, LbTime now)
{
  pt_process_poll (&instance->process);
  if (instance->process.pid > 0 && instance->process.ended)
    check_process_exit_and_schedule_restart (instance, now);
  if (instance->process.pid > 0 && !instance->address[0])
    read_address_file (instance);
  if (now >= instance->restart_at)
    sk_instance_start (instance);
  if (instance->paused && now >= instance->resume_at)
    resume_instance (instance);
  if (instance->stopping && !instance->paused && now - instance->sigterm_at > STOP_TIMEOUT
      && instance->last_disturbed_at <= instance->sigterm_at)
    {
      sk_report_violation (instance->world, "shutdown completes in time",
                           "%s still runs %.1f s after SIGTERM", instance->name,
                           (double)(now - instance->sigterm_at) / LB_SEC);
      sk_instance_kill (instance, LB_SEC);
    }
  if (now >= instance->heal_at)
    {
      sk_log (instance->world, "%s: store connection is healed", instance->name);
      record_disturbance_of_instance (instance);
      instance->heal_at = LB_TIME_NEVER;
      instance->store_relay.fault = (PtRelayFault){ 0 };
    }
}

LhFetch *
sk_call_batch_api (SkInstance *instance,
                   const char *method,
                   const char *path,
                   const char *id,
                   const char *body,
                   void (*on_done) (LhFetch *fetch, const LhResult *result, void *user),
                   void *user)
{
  const LhHeader headers[]
      = { { "Attempt-Id", id }, { "Deadline-Ms", "4000" }, { "Api-Key", SK_TRAINER_API_KEY } };
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = method,
                              .address = instance->address,
                              .path = path,
                              .host = SK_HOST,
                              .headers = headers,
                              .n_headers = 3,
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = BATCH_CALL_IDLE_TIMEOUT,
                              .fresh_connection = true };

  return lh_fetch_start (instance->world->pool, &request, &handlers, user, NULL);
}

/* --- endpoints: simulated engines and services --- */

/* Checks that a request reached the endpoint with the name of its organisation and without its API
 * key. */
static void
check_request_organisation (const SkEndpoint *endpoint, const char *id, const char *organisation)
{
  const SiEndpoint *standin = &endpoint->standin;

  if (strcmp (standin->organisation, organisation) != 0)
    sk_report_violation (endpoint->world, "requests carry their organisation",
                         "%s reached %s with organisation \"%s\", expected \"%s\"", id,
                         standin->name, standin->organisation, organisation);
  if (standin->leaked_keys > 0)
    sk_report_violation (endpoint->world, "API keys are not forwarded", "%s received an API key",
                         standin->name);
}

static void
on_service_call (SiEndpoint *standin, const char *id, void *user)
{
  (void)standin;
  SkEndpoint *endpoint = user;
  SkRequest *request = sk_request_find (endpoint->world, id);

  check_request_organisation (endpoint, id, request ? SK_CALLER_ORGANISATION : "");
  if (!request)
    return; /* a call that no simulated caller sent: an instance sent it to score an item of a batch
             */
  request->n_runs++;
  if (!request->is_idempotent && request->n_runs > 1)
    sk_report_violation (endpoint->world, "a non-idempotent request runs at most once",
                         "%s ran %d times", id, request->n_runs);
  if (request->reported_not_run)
    sk_report_violation (endpoint->world, "a request reported as not run did not run",
                         "%s starts after it was refused as not run", id);
}

static void
on_engine_stream (SiEndpoint *standin, const char *id, void *user)
{
  SkEndpoint *endpoint = user;
  LbTime now = lb_clock_monotonic ();
  LbTime limit = endpoint->draining_since + DRAIN_PROPAGATION_TIME + DRAIN_SLACK;

  check_request_organisation (endpoint, id, SK_TRAINER_ORGANISATION);
  if (endpoint->world->one_shot_trainers)
    sk_one_shot_trainers_record_item_start (endpoint->world->one_shot_trainers, id);
  if (endpoint->draining_since > 0 && now > limit
      && endpoint->world->last_disturbed_at < endpoint->draining_since
      && endpoint->world->store_last_disturbed_at < endpoint->draining_since)
    sk_report_violation (endpoint->world, "no new work for a draining endpoint",
                         "%s got %s %.3f s after it began to drain", standin->name, id,
                         (double)(now - endpoint->draining_since) / LB_SEC);
}

/* Engines refuse an order to load weights with an outdated fencing token. In addition, an
 * instance that lost its lease longer ago than an order can be delayed must not send orders at
 * all. */
static void
check_fencing_token_is_current (SkWorld *world,
                                const char *engine,
                                const char *holder,
                                int64_t fence)
{
  LbTime now = lb_clock_monotonic ();

  if (fence > world->highest_fencing_token)
    {
      world->highest_fencing_token = fence;
      world->highest_fencing_token_at = now;
    }
  if (fence < world->highest_fencing_token
      && now - world->highest_fencing_token_at > MAX_ORDER_DELAY)
    sk_report_violation (
        world, "a duty has one holder",
        "%s sent an order to %s with fencing token %lld, %.3f s after token %lld was first used",
        holder, engine, (long long)fence, (double)(now - world->highest_fencing_token_at) / LB_SEC,
        (long long)world->highest_fencing_token);
}

/* Called when an engine receives an order to load weights. Checks that two lease holders never use
 * the same fencing token, since engines would accept orders of both. */
static void
on_weights_load_order (
    SiEndpoint *standin, const char *holder, int64_t fence, bool accepted, void *user)
{
  static LbName holder_by_fence[1000];
  static uint64_t holders_seed;
  SkEndpoint *endpoint = user;

  if (holders_seed != endpoint->world->seed)
    memset (holder_by_fence, 0, sizeof holder_by_fence);
  holders_seed = endpoint->world->seed;
  if (fence < 1 || fence >= 1000)
    {
      sk_report_violation (endpoint->world, "a duty has one holder",
                           "expected a fencing token from 1 to 999, got %lld", (long long)fence);
      return;
    }
  if (holder_by_fence[fence][0] && strcmp (holder_by_fence[fence], holder) != 0)
    sk_report_violation (
        endpoint->world, "a duty has one holder",
        "%s and then %s sent orders, the latter to %s, with the same fencing token %lld",
        holder_by_fence[fence], holder, standin->name, (long long)fence);
  LB_COPY (holder_by_fence[fence], holder);
  check_fencing_token_is_current (endpoint->world, standin->name, holder, fence);
  (void)accepted;
}

static void
on_fatal_request (SiEndpoint *standin, const char *id, void *user)
{
  SkEndpoint *endpoint = user;

  if (endpoint->exit_at == LB_TIME_NEVER)
    endpoint->exit_at = lb_clock_monotonic () + FATAL_REQUEST_CRASH_DELAY;
  if (endpoint->world->crasher)
    sk_crasher_record_crash (endpoint->world->crasher, id, standin->name);
}

static const SiEndpointListener listener = { .on_call = on_service_call,
                                             .on_stream = on_engine_stream,
                                             .on_fatal_request = on_fatal_request,
                                             .on_order = on_weights_load_order };

static SkEndpoint *
add_endpoint (SkWorld *world, const char *name, const char *service, const char *model)
{
  SkEndpoint *endpoint = NULL;

  if (world->n_endpoints == SK_MAX_ENDPOINTS)
    return NULL;
  endpoint = &world->endpoints[world->n_endpoints++];
  *endpoint = (SkEndpoint){ .world = world, .is_used = true };
  endpoint->heal_at = LB_TIME_NEVER;
  endpoint->return_at = LB_TIME_NEVER;
  endpoint->exit_at = LB_TIME_NEVER;
  if (!si_endpoint_init (&endpoint->standin, world->base, &world->store, name, service, model))
    abort ();
  pt_relay_init (&endpoint->relay, world->base, endpoint->standin.server.address);
  LB_COPY (endpoint->standin.advertised_address, endpoint->relay.address);
  endpoint->standin.reports_version = true;
  endpoint->standin.listener = &listener;
  endpoint->standin.fatal_body = SK_FATAL_BODY;
  endpoint->standin.user = endpoint;
  /* long enough that many calls are running when a connection breaks */
  endpoint->standin.call_duration = 80 * LB_MSEC;
  endpoint->usual_event_interval = 25 * LB_MSEC;
  endpoint->standin.event_interval = endpoint->usual_event_interval;
  endpoint->standin.n_events = 24;
  si_endpoint_register (&endpoint->standin);
  return endpoint;
}

/* Adds an engine that has the newest weight version loaded. */
SkEndpoint *
sk_engine_add (SkWorld *world)
{
  char name[24];
  SkEndpoint *endpoint = NULL;

  snprintf (name, sizeof name, "i-engine-%d", world->n_engines_added++);
  endpoint = add_endpoint (world, name, "engines", SK_MODEL);
  if (!endpoint)
    return NULL;
  endpoint->standin.version = world->weight_version > 0 ? world->weight_version : 1;
  si_endpoint_register (&endpoint->standin);
  return endpoint;
}

static void
take_endpoint_down (SkEndpoint *endpoint, LbTime return_after)
{
  endpoint->is_down = true;
  endpoint->exit_at = LB_TIME_NEVER;
  endpoint->return_at
      = return_after == LB_TIME_NEVER ? LB_TIME_NEVER : lb_clock_monotonic () + return_after;
  si_endpoint_close_stream_connections (&endpoint->standin);
  si_endpoint_unregister (&endpoint->standin);
  pt_relay_reset_connections (&endpoint->relay);
}

void
sk_endpoint_crash (SkEndpoint *endpoint, LbTime return_after)
{
  if (endpoint->is_down)
    return;
  sk_log (endpoint->world, "crash %s", endpoint->standin.name);
  endpoint->relay.fault = (PtRelayFault){ .drops_to_target = true };
  take_endpoint_down (endpoint, return_after);
}

void
sk_endpoint_exit (SkEndpoint *endpoint, LbTime return_after)
{
  if (endpoint->is_down)
    return;
  sk_log (endpoint->world, "exit %s", endpoint->standin.name);
  pt_relay_refuse_connections (&endpoint->relay);
  take_endpoint_down (endpoint, return_after);
}

void
sk_endpoint_drain (SkEndpoint *endpoint)
{
  if (endpoint->is_down || endpoint->draining_since > 0)
    return;
  sk_log (endpoint->world, "%s drains", endpoint->standin.name);
  endpoint->draining_since = lb_clock_monotonic ();
  endpoint->standin.draining = true;
  si_endpoint_register (&endpoint->standin);
}

static void
heal_exit_or_restart_endpoint_if_due (SkEndpoint *endpoint, LbTime now)
{
  if (now >= endpoint->heal_at)
    {
      endpoint->heal_at = LB_TIME_NEVER;
      endpoint->relay.fault = (PtRelayFault){ 0 };
      endpoint->standin.event_interval = endpoint->usual_event_interval;
    }
  if (now >= endpoint->exit_at)
    sk_endpoint_exit (endpoint, sk_random_int (endpoint->world, 400, 1200) * LB_MSEC);
  if (now >= endpoint->return_at)
    {
      sk_log (endpoint->world, "%s is up again", endpoint->standin.name);
      endpoint->return_at = LB_TIME_NEVER;
      endpoint->is_down = false;
      endpoint->relay.fault = (PtRelayFault){ 0 };
      pt_relay_accept_connections (&endpoint->relay);
      endpoint->standin.start_ms++;
      endpoint->standin.accepted_orders = 0;
      endpoint->standin.last_fence = 0;
      si_endpoint_register (&endpoint->standin);
    }
  if (endpoint->draining_since > 0 && !endpoint->is_down
      && now > endpoint->draining_since + MIN_DRAIN_TIME && endpoint->standin.streams.length == 0)
    sk_endpoint_crash (endpoint, LB_TIME_NEVER);
}

/* --- setup, cleanup and event loop --- */

void
sk_world_init (SkWorld *world, uint64_t seed, size_t n_instances, size_t n_engines)
{
  memset (world, 0, sizeof *world);
  signal (SIGPIPE, SIG_IGN);
  snprintf (world->directory, sizeof world->directory, "/tmp/lentilspindle-soak-XXXXXX");
  if (!mkdtemp (world->directory))
    abort ();
  world->seed = seed;
  world->started_at = lb_clock_monotonic ();
  world->store_heal_at = LB_TIME_NEVER;
  world->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->rng, seed);
  world->fault_rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->fault_rng, seed);
  world->base = si_precise_event_base_new ();
  world->pool = lh_pool_new (world->base);
  if (!si_row_store_init (&world->store, world->base, 0)
      || !si_control_plane_init (&world->control_plane, world->base))
    abort ();
  sk_store_put_config (world);
  for (size_t i = 0; i < n_engines; i++)
    sk_engine_add (world);
  for (int i = 0; i < N_SERVICES; i++)
    add_endpoint (world, i == 0 ? "i-lookup-0" : "i-lookup-1", "lookups", "");
  world->n_instances = n_instances;
  world->next_rolling_stop = n_instances;
  for (size_t i = 0; i < n_instances; i++)
    {
      SkInstance *instance = &world->instances[i];
      *instance = (SkInstance){ .world = world, .index = i };
      instance->restart_at = LB_TIME_NEVER;
      instance->resume_at = LB_TIME_NEVER;
      instance->heal_at = LB_TIME_NEVER;
      snprintf (instance->name, sizeof instance->name, "n%zu", i);
      pt_relay_init (&instance->store_relay, world->base, world->store.server.address);
      write_config_file (instance);
      sk_instance_start (instance);
    }
}

static void
remove_run_directory (const SkWorld *world)
{
  static const char *const kinds[] = { "json", "addr", "err" };
  char path[160];

  for (size_t i = 0; i < world->n_instances; i++)
    {
      const SkInstance *instance = &world->instances[i];
      for (size_t kind = 0; kind < sizeof kinds / sizeof kinds[0]; kind++)
        {
          snprintf (path, sizeof path, "%s/%s.%s", world->directory, instance->name, kinds[kind]);
          unlink (path);
        }
      for (int start = 0; start <= instance->n_process_starts; start++)
        {
          snprintf (path, sizeof path, "%s/%s.%d.log", world->directory, instance->name, start);
          unlink (path);
        }
    }
  rmdir (world->directory);
}

void
sk_world_clear (SkWorld *world, bool keep_logs)
{
  SkRequest *request, *next;

  for (size_t i = 0; i < world->n_instances; i++)
    {
      SkInstance *instance = &world->instances[i];
      pt_process_poll (&instance->process);
      if (instance->process.pid > 0)
        save_process_log (instance);
      pt_process_clear (&instance->process);
      pt_relay_clear (&instance->store_relay);
    }
  lh_pool_free (world->pool);
  for (size_t i = 0; i < world->n_endpoints; i++)
    {
      pt_relay_clear (&world->endpoints[i].relay);
      si_endpoint_clear (&world->endpoints[i].standin);
    }
  si_control_plane_clear (&world->control_plane);
  si_row_store_clear (&world->store);
  HASH_ITER (hh, world->requests, request, next)
  {
    HASH_DEL (world->requests, request);
    free (request);
  }
  event_base_free (world->base);
  gsl_rng_free (world->rng);
  gsl_rng_free (world->fault_rng);
  if (!keep_logs)
    remove_run_directory (world);
}

/* Checks that usage reports of the same time window are equal. A window may be reported more than
 * once, also by different lease holders. */
static void
check_usage_reports_of_same_window_are_equal (SkWorld *world)
{
  if (world->control_plane.conflicting_reports > 0)
    sk_report_violation (
        world, "usage reports of a window are equal",
        "expected equal reports, got %d that differ from the first one of their window",
        world->control_plane.conflicting_reports);
  world->control_plane.conflicting_reports = 0;
}

/* Stops the next instance of the rolling stop once the one before runs again. */
static void
continue_rolling_stop (SkWorld *world)
{
  size_t next = world->next_rolling_stop;

  if (next >= world->n_instances)
    return;
  if (next > 0
      && (!sk_instance_is_running (&world->instances[next - 1])
          || world->instances[next - 1].stopping))
    return;
  if (!sk_instance_is_running (&world->instances[next]) || world->instances[next].stopping)
    return;
  sk_instance_stop (&world->instances[next]);
  world->next_rolling_stop++;
}

void
sk_world_run_event_loop_once (SkWorld *world)
{
  LbTime now = 0;

  /* With EVLOOP_NONBLOCK alone, the loop returns only when no event is active, which never happens
   * while the simulated store is overloaded. */
  event_base_loop (world->base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
  now = lb_clock_monotonic ();
  for (size_t i = 0; i < world->n_instances; i++)
    restart_resume_or_heal_instance_if_due (&world->instances[i], now);
  for (size_t i = 0; i < world->n_endpoints; i++)
    heal_exit_or_restart_endpoint_if_due (&world->endpoints[i], now);
  check_usage_reports_of_same_window_are_equal (world);
  continue_rolling_stop (world);
  if (world->store_heal_at != LB_TIME_NEVER)
    world->store_last_disturbed_at = now;
  if (now >= world->store_heal_at)
    {
      sk_log (world, "store: healed");
      world->store_heal_at = LB_TIME_NEVER;
      world->store.mode = SI_ROW_STORE_NORMAL;
      world->store.max_requests_per_second = 0;
    }
  usleep (LOOP_PAUSE_US);
}

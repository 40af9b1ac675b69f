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

#define TURN_PAUSE 300 /* us; of a loop with nothing to do */
#define N_SERVICES 2
#define ENDS_AFTER (20 * LB_MSEC) /* from the start of a request that ends a service */
/* An order may wait so long in a harmed way, or in the sockets of a paused instance. */
#define ORDER_ON_ITS_WAY (1500 * LB_MSEC)
#define BATCH_CALL_TIME (4 * LB_SEC)
/* A service that leaves, or an engine, is gone so long after its word at the earliest. */
#define LEAVE_TIME (4 * LB_SEC)
/* Longest time until a stopped process has ended: its drain time, its callers' and its batches'. */
#define STOP_LIMIT (10 * LB_SEC)
/* New work may still reach a leaving endpoint for so long, when nothing else is wrong. */
#define DRAIN_TIME (2 * LB_SEC)
#define DRAIN_SLACK (500 * LB_MSEC) /* this machine may be busy */

void
sk_fail (SkWorld *world, const char *promise, const char *format, ...)
{
  char text[512];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (text, sizeof text, format, arguments);
  va_end (arguments);
  world->failures++;
  printf ("BROKEN seed %llu at %.3f s: %s: %s (logs in %s)\n", (unsigned long long)world->seed,
          (double)(lb_clock_monotonic () - world->started) / LB_SEC, promise, text, world->folder);
  fflush (stdout);
}

void
sk_tell (const SkWorld *world, const char *format, ...)
{
  va_list arguments;

  if (!world->verbose)
    return;
  fprintf (stderr, "%8.3f ", (double)(lb_clock_monotonic () - world->started) / LB_SEC);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
}

int64_t
sk_draw (SkWorld *world, int64_t low, int64_t high)
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
sk_request_ensure (SkWorld *world, const char *id)
{
  SkRequest *request = sk_request_find (world, id);

  if (request)
    return request;
  request = LB_NEW (SkRequest);
  LB_COPY (request->id, id);
  HASH_ADD_STR (world->requests, id, request);
  return request;
}

/* --- the desired state --- */

static void
add_route (struct json_object *routes, const char *name, const char *kind, const char *service)
{
  char *text = lb_asprintf ("{\"name\": \"%s\", \"host\": \"" SK_HOST "\", \"prefix\": \"/%s/\","
                            " \"kind\": \"%s\", \"timeoutMs\": 8000, \"service\": \"%s\","
                            " \"attempts\": 3, \"goalMs\": 400}",
                            name, name, kind, service);

  json_object_array_add (routes, json_tokener_parse (text));
  free (text);
}

/* Each state has one route more than the one before. */
void
sk_config_put (SkWorld *world)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *routes = json_object_new_array ();
  char name[16];

  add_route (routes, "lookup", "safe", "lookups");
  add_route (routes, "order", "unsafe", "lookups");
  add_route (routes, "steps", "weight_rollout", "engines");
  for (int64_t i = 1; i <= world->n_routes; i++)
    {
      snprintf (name, sizeof name, "r%lld", (long long)i);
      add_route (routes, name, "safe", "lookups");
    }
  json_object_object_add (object, "version", json_object_new_int64 (++world->config_version));
  json_object_object_add (object, "routes", routes);
  json_object_object_add (object, "services",
                          json_tokener_parse ("[{\"name\": \"engines\", \"maxConns\": 200,"
                                              " \"engine\": {\"stride\": 1}},"
                                              " {\"name\": \"lookups\", \"maxConns\": 200}]"));
  json_object_object_add (object, "tenants",
                          json_tokener_parse (
                              "[{\"name\": \"" SK_CALLERS "\", \"apiKeys\": [\"" SK_CALLERS_KEY
                              "\"], \"priority\": 0}, {\"name\": \"" SK_TRAINER
                              "\", \"apiKeys\": [\"" SK_TRAINER_KEY "\"], \"priority\": 1}]"));
  si_row_store_put (&world->rows, "op", "", "config", json_object_to_json_string (object));
  json_object_put (object);
  world->config_at = lb_clock_monotonic ();
}

void
sk_version_put (SkWorld *world, int64_t version)
{
  char text[96];

  world->named_version = version;
  snprintf (text, sizeof text, "{\"model\": \"" SK_MODEL "\", \"version\": %lld}",
            (long long)version);
  si_row_store_put (&world->rows, "op", "", "version/" SK_MODEL, text);
}

/* --- instances --- */

bool
sk_instance_runs (const SkInstance *instance)
{
  return instance->process.pid > 0 && !instance->process.ended && !instance->paused
         && instance->address[0];
}

bool
sk_instance_is_calm (const SkInstance *instance, LbTime since)
{
  return sk_instance_runs (instance) && !instance->stopping && instance->disturbed_at < since
         && instance->world->store_disturbed_at < since;
}

/* By their logs, as an operator would look it up. */
SkInstance *
sk_batch_owner (SkWorld *world)
{
  char line[LB_NAME_MAX + 48];

  snprintf (line, sizeof line, "\"event\":\"batch_running\",\"batch\":\"%s\"", world->batch);
  for (size_t i = 0; i < world->n_instances; i++)
    {
      SkInstance *instance = &world->instances[i];
      if (sk_instance_runs (instance) && strstr (instance->process.output, line))
        return instance;
    }
  return NULL;
}

static void
write_settings (const SkInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.json", instance->world->folder, instance->name);
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
           instance->name, 'a' + (int)(instance->index % 3), instance->to_store.address,
           instance->world->cloud.server.address, instance->world->folder, instance->name);
  fclose (out);
}

void
sk_instance_start (SkInstance *instance)
{
  char settings[128];
  char log[128];
  char addresses[128];
  const char *const argv[] = { "lentilspindled", "--config", settings, NULL };

  snprintf (settings, sizeof settings, "%s/%s.json", instance->world->folder, instance->name);
  snprintf (addresses, sizeof addresses, "%s/%s.addr", instance->world->folder, instance->name);
  snprintf (log, sizeof log, "%s/%s.err", instance->world->folder, instance->name);
  unlink (addresses);
  instance->address[0] = '\0';
  instance->restart_at = LB_TIME_NEVER;
  instance->stopping = false;
  instance->paused = false;
  instance->route_seen = 0;
  instance->starts++;
  instance->disturbed_at = lb_clock_monotonic ();
  pt_process_start (&instance->process, argv, log);
}

/* What a process wrote is kept beside its settings, start by start. */
static void
keep_log (const SkInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.%d.log", instance->world->folder, instance->name,
            instance->starts);
  FILE *out = fopen (path, "w");
  if (!out)
    return;
  fwrite (instance->process.output, 1, instance->process.output_length, out);
  fclose (out);
}

static void
note_disturbed (SkInstance *instance)
{
  instance->disturbed_at = lb_clock_monotonic ();
  instance->world->disturbed_at = instance->disturbed_at;
}

void
sk_instance_kill (SkInstance *instance, LbTime restart_after)
{
  if (instance->process.pid == 0 || instance->process.ended)
    return;
  sk_tell (instance->world, "kill %s", instance->name);
  note_disturbed (instance);
  pt_process_poll (&instance->process);
  keep_log (instance);
  pt_process_clear (&instance->process);
  instance->address[0] = '\0';
  instance->paused = false;
  instance->resume_at = LB_TIME_NEVER;
  instance->stopping = false;
  instance->restart_at = lb_clock_monotonic () + restart_after;
}

void
sk_instance_pause (SkInstance *instance, LbTime time)
{
  if (!sk_instance_runs (instance))
    return;
  sk_tell (instance->world, "pause %s for %lld ms", instance->name, (long long)(time / LB_MSEC));
  note_disturbed (instance);
  pt_process_signal (&instance->process, SIGSTOP);
  instance->paused = true;
  instance->resume_at = lb_clock_monotonic () + time;
}

void
sk_instance_stop (SkInstance *instance)
{
  if (!sk_instance_runs (instance) || instance->stopping)
    return;
  sk_tell (instance->world, "stop %s", instance->name);
  instance->disturbed_at = lb_clock_monotonic ();
  instance->stopping = true;
  instance->stopped_at = instance->disturbed_at;
  pt_process_signal (&instance->process, SIGTERM);
}

static void
read_addresses (SkInstance *instance)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s.addr", instance->world->folder, instance->name);
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
resume (SkInstance *instance)
{
  note_disturbed (instance);
  pt_process_signal (&instance->process, SIGCONT);
  instance->paused = false;
  instance->resume_at = LB_TIME_NEVER;
}

static void
note_end (SkInstance *instance, LbTime now)
{
  if (!instance->stopping)
    sk_fail (instance->world, "nothing ends the process", "%s ended by itself with status %x",
             instance->name, instance->process.status);
  else if (!pt_process_has_exited (&instance->process, 0))
    sk_fail (instance->world, "shutdown is graceful", "%s ended with status %x", instance->name,
             instance->process.status);
  note_disturbed (instance);
  keep_log (instance);
  pt_process_clear (&instance->process);
  instance->address[0] = '\0';
  instance->stopping = false;
  instance->restart_at = now + sk_draw (instance->world, 100, 600) * LB_MSEC;
}

static void
turn_instance (SkInstance *instance, LbTime now)
{
  pt_process_poll (&instance->process);
  if (instance->process.pid > 0 && instance->process.ended)
    note_end (instance, now);
  if (instance->process.pid > 0 && !instance->address[0])
    read_addresses (instance);
  if (now >= instance->restart_at)
    sk_instance_start (instance);
  if (instance->paused && now >= instance->resume_at)
    resume (instance);
  if (instance->stopping && !instance->paused && now - instance->stopped_at > STOP_LIMIT
      && instance->disturbed_at <= instance->stopped_at)
    {
      sk_fail (instance->world, "shutdown ends in time", "%s still runs %.1f s after SIGTERM",
               instance->name, (double)(now - instance->stopped_at) / LB_SEC);
      sk_instance_kill (instance, LB_SEC);
    }
  if (now >= instance->heal_at)
    {
      sk_tell (instance->world, "%s reaches the store again", instance->name);
      note_disturbed (instance);
      instance->heal_at = LB_TIME_NEVER;
      instance->to_store.fault = (PtRelayFault){ 0 };
    }
}

LhFetch *
sk_call_batches (SkInstance *instance,
                 const char *method,
                 const char *path,
                 const char *id,
                 const char *body,
                 void (*on_done) (LhFetch *fetch, const LhResult *result, void *user),
                 void *user)
{
  const LhHeader headers[]
      = { { "Attempt-Id", id }, { "Deadline-Ms", "4000" }, { "Api-Key", SK_TRAINER_KEY } };
  const LhHandlers handlers = { .on_done = on_done };
  const LhRequest request = { .method = method,
                              .address = instance->address,
                              .path = path,
                              .host = SK_HOST,
                              .headers = headers,
                              .n_headers = 3,
                              .body = body,
                              .body_length = strlen (body),
                              .idle_timeout = BATCH_CALL_TIME,
                              .fresh_connection = true };

  return lh_fetch_start (instance->world->pool, &request, &handlers, user, NULL);
}

/* --- endpoints --- */

/* An endpoint hears whose a request is, and never by which key that is known. */
static void
check_identity (const SkEndpoint *endpoint, const char *id, const char *organisation)
{
  const SiEndpoint *sampler = &endpoint->sampler;

  if (strcmp (sampler->organisation, organisation) != 0)
    sk_fail (endpoint->world, "whose it is", "%s reached %s as that of \"%s\", not \"%s\"", id,
             sampler->name, sampler->organisation, organisation);
  if (sampler->leaked_keys > 0)
    sk_fail (endpoint->world, "keys are not passed on", "%s saw a key", sampler->name);
}

static void
on_call (SiEndpoint *sampler, const char *id, void *user)
{
  (void)sampler;
  SkEndpoint *endpoint = user;
  SkRequest *request = sk_request_find (endpoint->world, id);

  check_identity (endpoint, id, request ? SK_CALLERS : "");
  if (!request)
    return; /* a scorer's */
  request->runs++;
  if (!request->repeatable && request->runs > 1)
    sk_fail (endpoint->world, "at most once", "%s ran %d times", id, request->runs);
  if (request->said_not_run)
    sk_fail (endpoint->world, "not run is true", "%s runs after its caller was told so", id);
}

static void
on_run (SiEndpoint *sampler, const char *id, void *user)
{
  SkEndpoint *endpoint = user;
  LbTime now = lb_clock_monotonic ();
  LbTime limit = endpoint->leaving_since + DRAIN_TIME + DRAIN_SLACK;

  check_identity (endpoint, id, SK_TRAINER);
  if (endpoint->world->one_shots)
    sk_one_shots_note_run (endpoint->world->one_shots, id);
  if (endpoint->leaving_since > 0 && now > limit
      && endpoint->world->disturbed_at < endpoint->leaving_since
      && endpoint->world->store_disturbed_at < endpoint->leaving_since)
    sk_fail (endpoint->world, "no new work to a leaving endpoint",
             "%s got %s %.3f s after its word", sampler->name, id,
             (double)(now - endpoint->leaving_since) / LB_SEC);
}

/* Engines would refuse it, but a holder that was replaced for so long knows it. */
static void
check_old_holder (SkWorld *world, const char *engine, const char *holder, int64_t fence)
{
  LbTime now = lb_clock_monotonic ();

  if (fence > world->highest_fence)
    {
      world->highest_fence = fence;
      world->fence_at = now;
    }
  if (fence < world->highest_fence && now - world->fence_at > ORDER_ON_ITS_WAY)
    sk_fail (world, "one holder",
             "%s orders %s with fencing number %lld, %.3f s after %lld was used", holder, engine,
             (long long)fence, (double)(now - world->fence_at) / LB_SEC,
             (long long)world->highest_fence);
}

/* Two holders with one fencing number would both be obeyed. */
static void
on_order (SiEndpoint *sampler, const char *holder, int64_t fence, bool accepted, void *user)
{
  static LbName holder_of[1000];
  static uint64_t seed_of;
  SkEndpoint *endpoint = user;

  if (seed_of != endpoint->world->seed)
    memset (holder_of, 0, sizeof holder_of);
  seed_of = endpoint->world->seed;
  if (fence < 1 || fence >= 1000)
    {
      sk_fail (endpoint->world, "one holder", "fencing number %lld", (long long)fence);
      return;
    }
  if (holder_of[fence][0] && strcmp (holder_of[fence], holder) != 0)
    sk_fail (endpoint->world, "one holder", "%s and %s order %s with fencing number %lld",
             holder_of[fence], holder, sampler->name, (long long)fence);
  LB_COPY (holder_of[fence], holder);
  check_old_holder (endpoint->world, sampler->name, holder, fence);
  (void)accepted;
}

static void
on_fatal (SiEndpoint *sampler, const char *id, void *user)
{
  SkEndpoint *endpoint = user;

  if (endpoint->ends_at == LB_TIME_NEVER)
    endpoint->ends_at = lb_clock_monotonic () + ENDS_AFTER;
  if (endpoint->world->crasher)
    sk_crasher_note_run (endpoint->world->crasher, id, sampler->name);
}

static const SiEndpointListener listener = {
  .on_call = on_call, .on_stream = on_run, .on_fatal_request = on_fatal, .on_order = on_order
};

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
  endpoint->ends_at = LB_TIME_NEVER;
  if (!si_endpoint_init (&endpoint->sampler, world->base, &world->rows, name, service, model))
    abort ();
  pt_relay_init (&endpoint->way, world->base, endpoint->sampler.server.address);
  LB_COPY (endpoint->sampler.advertised_address, endpoint->way.address);
  endpoint->sampler.reports_version = true;
  endpoint->sampler.listener = &listener;
  endpoint->sampler.fatal_body = SK_CRASHER_BODY;
  endpoint->sampler.user = endpoint;
  endpoint->sampler.call_duration
      = 80 * LB_MSEC; /* many are on their way when a connection breaks */
  endpoint->sampler.event_interval = 25 * LB_MSEC;
  endpoint->sampler.n_events = 24;
  si_endpoint_register (&endpoint->sampler);
  return endpoint;
}

/* A new engine has the newest weights. */
SkEndpoint *
sk_engine_add (SkWorld *world)
{
  char name[24];
  SkEndpoint *endpoint = NULL;

  snprintf (name, sizeof name, "i-engine-%d", world->n_engines_made++);
  endpoint = add_endpoint (world, name, "engines", SK_MODEL);
  if (!endpoint)
    return NULL;
  endpoint->sampler.version = world->named_version > 0 ? world->named_version : 1;
  si_endpoint_register (&endpoint->sampler);
  return endpoint;
}

static void
take_away (SkEndpoint *endpoint, LbTime return_after)
{
  endpoint->is_gone = true;
  endpoint->ends_at = LB_TIME_NEVER;
  endpoint->return_at
      = return_after == LB_TIME_NEVER ? LB_TIME_NEVER : lb_clock_monotonic () + return_after;
  si_endpoint_break_streams (&endpoint->sampler);
  si_endpoint_unregister (&endpoint->sampler);
  pt_relay_reset_connections (&endpoint->way);
}

void
sk_endpoint_crash (SkEndpoint *endpoint, LbTime return_after)
{
  if (endpoint->is_gone)
    return;
  sk_tell (endpoint->world, "crash %s", endpoint->sampler.name);
  endpoint->way.fault = (PtRelayFault){ .drops_to_target = true };
  take_away (endpoint, return_after);
}

void
sk_endpoint_end (SkEndpoint *endpoint, LbTime return_after)
{
  if (endpoint->is_gone)
    return;
  sk_tell (endpoint->world, "end %s", endpoint->sampler.name);
  pt_relay_refuse_connections (&endpoint->way);
  take_away (endpoint, return_after);
}

void
sk_endpoint_leave (SkEndpoint *endpoint)
{
  if (endpoint->is_gone || endpoint->leaving_since > 0)
    return;
  sk_tell (endpoint->world, "%s leaves", endpoint->sampler.name);
  endpoint->leaving_since = lb_clock_monotonic ();
  endpoint->sampler.draining = true;
  si_endpoint_register (&endpoint->sampler);
}

static void
turn_endpoint (SkEndpoint *endpoint, LbTime now)
{
  if (now >= endpoint->heal_at)
    {
      endpoint->heal_at = LB_TIME_NEVER;
      endpoint->way.fault = (PtRelayFault){ 0 };
      endpoint->sampler.event_interval = 25 * LB_MSEC;
    }
  if (now >= endpoint->ends_at)
    sk_endpoint_end (endpoint, sk_draw (endpoint->world, 400, 1200) * LB_MSEC);
  if (now >= endpoint->return_at)
    {
      sk_tell (endpoint->world, "%s is back", endpoint->sampler.name);
      endpoint->return_at = LB_TIME_NEVER;
      endpoint->is_gone = false;
      endpoint->way.fault = (PtRelayFault){ 0 };
      pt_relay_accept_connections (&endpoint->way);
      endpoint->sampler.start_ms++;
      endpoint->sampler.accepted_orders = 0;
      endpoint->sampler.last_fence = 0;
      si_endpoint_register (&endpoint->sampler);
    }
  if (endpoint->leaving_since > 0 && !endpoint->is_gone
      && now > endpoint->leaving_since + LEAVE_TIME && endpoint->sampler.streams.length == 0)
    sk_endpoint_crash (endpoint, LB_TIME_NEVER);
}

/* --- all --- */

void
sk_world_init (SkWorld *world, uint64_t seed, size_t n_instances, size_t n_engines)
{
  memset (world, 0, sizeof *world);
  signal (SIGPIPE, SIG_IGN);
  snprintf (world->folder, sizeof world->folder, "/tmp/lentilspindle-soak-XXXXXX");
  if (!mkdtemp (world->folder))
    abort ();
  world->seed = seed;
  world->started = lb_clock_monotonic ();
  world->store_heal_at = LB_TIME_NEVER;
  world->rng = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->rng, seed);
  world->plan = gsl_rng_alloc (gsl_rng_taus2);
  gsl_rng_set (world->plan, seed);
  world->base = si_precise_base_new ();
  world->pool = lh_pool_new (world->base);
  if (!si_row_store_init (&world->rows, world->base, 0)
      || !si_control_plane_init (&world->cloud, world->base))
    abort ();
  sk_config_put (world);
  for (size_t i = 0; i < n_engines; i++)
    sk_engine_add (world);
  for (int i = 0; i < N_SERVICES; i++)
    add_endpoint (world, i == 0 ? "i-lookup-0" : "i-lookup-1", "lookups", "");
  world->n_instances = n_instances;
  for (size_t i = 0; i < n_instances; i++)
    {
      SkInstance *instance = &world->instances[i];
      *instance = (SkInstance){ .world = world, .index = i };
      instance->restart_at = LB_TIME_NEVER;
      instance->resume_at = LB_TIME_NEVER;
      instance->heal_at = LB_TIME_NEVER;
      snprintf (instance->name, sizeof instance->name, "n%zu", i);
      pt_relay_init (&instance->to_store, world->base, world->rows.server.address);
      write_settings (instance);
      sk_instance_start (instance);
    }
}

static void
remove_folder (const SkWorld *world)
{
  static const char *const kinds[] = { "json", "addr", "err" };
  char path[160];

  for (size_t i = 0; i < world->n_instances; i++)
    {
      const SkInstance *instance = &world->instances[i];
      for (size_t kind = 0; kind < sizeof kinds / sizeof kinds[0]; kind++)
        {
          snprintf (path, sizeof path, "%s/%s.%s", world->folder, instance->name, kinds[kind]);
          unlink (path);
        }
      for (int start = 0; start <= instance->starts; start++)
        {
          snprintf (path, sizeof path, "%s/%s.%d.log", world->folder, instance->name, start);
          unlink (path);
        }
    }
  rmdir (world->folder);
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
        keep_log (instance);
      pt_process_clear (&instance->process);
      pt_relay_clear (&instance->to_store);
    }
  lh_pool_free (world->pool);
  for (size_t i = 0; i < world->n_endpoints; i++)
    {
      pt_relay_clear (&world->endpoints[i].way);
      si_endpoint_clear (&world->endpoints[i].sampler);
    }
  si_control_plane_clear (&world->cloud);
  si_row_store_clear (&world->rows);
  HASH_ITER (hh, world->requests, request, next)
  {
    HASH_DEL (world->requests, request);
    free (request);
  }
  event_base_free (world->base);
  gsl_rng_free (world->rng);
  gsl_rng_free (world->plan);
  if (!keep_logs)
    remove_folder (world);
}

/* A holder that reports a window again, another holder too, repeats what was reported. */
static void
check_reports (SkWorld *world)
{
  if (world->cloud.conflicting_reports > 0)
    sk_fail (world, "one report of a window", "%d reports differ from an earlier one",
             world->cloud.conflicting_reports);
  world->cloud.conflicting_reports = 0;
}

void
sk_world_turn (SkWorld *world)
{
  LbTime now = 0;

  event_base_loop (world->base, EVLOOP_NONBLOCK);
  now = lb_clock_monotonic ();
  for (size_t i = 0; i < world->n_instances; i++)
    turn_instance (&world->instances[i], now);
  for (size_t i = 0; i < world->n_endpoints; i++)
    turn_endpoint (&world->endpoints[i], now);
  check_reports (world);
  if (world->store_heal_at != LB_TIME_NEVER)
    world->store_disturbed_at = now;
  if (now >= world->store_heal_at)
    {
      sk_tell (world, "the store is well again");
      world->store_heal_at = LB_TIME_NEVER;
      world->rows.mode = SI_ROW_STORE_NORMAL;
    }
  usleep (TURN_PAUSE);
}

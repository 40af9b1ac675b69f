#include "pt-world.h"

#include "pt-assert.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <ftw.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define POLL (20 * LB_MSEC)

void
pt_cluster_init (PtCluster *world)
{
  memset (world, 0, sizeof *world);
  signal (SIGPIPE, SIG_IGN);
  strcpy (world->folder, "/tmp/lentilspindle-test-XXXXXX");
  PT_ASSERT (mkdtemp (world->folder) != NULL);
  si_client_init (&world->client);
  world->drain_ms = 300;
  world->entry_ttl_ms = 300;
  world->stream_silence_ms = 1500;
  world->request_read_ms = 5000;
}

static int
remove_one (const char *path, const struct stat *info, int type, struct FTW *where)
{
  (void)info;
  (void)type;
  (void)where;
  return remove (path);
}

/* With PT_KEEP in the environment the logs stay, to be read after a failure. */
void
pt_cluster_clear (PtCluster *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    pt_process_clear (&world->instances[i].process);
  for (size_t i = 0; i < world->n_endpoints; i++)
    pt_process_clear (&world->endpoints[i].process);
  pt_process_clear (&world->platform.process);
  si_client_clear (&world->client);
  if (!getenv ("PT_KEEP"))
    nftw (world->folder, remove_one, 8, FTW_DEPTH | FTW_PHYS);
}

static void
poll_all (PtCluster *world)
{
  pt_process_poll (&world->platform.process);
  for (size_t i = 0; i < world->n_instances; i++)
    pt_process_poll (&world->instances[i].process);
  for (size_t i = 0; i < world->n_endpoints; i++)
    pt_process_poll (&world->endpoints[i].process);
}

void
pt_wait (PtCluster *world, const char *what, PtCondition condition, void *user)
{
  LbTime give_up = lb_clock_monotonic () + PT_WAIT_TIMEOUT;

  while (!condition (world, user))
    {
      PT_ASSERT_MSG (lb_clock_monotonic () < give_up, "never: %s (logs in %s)", what,
                     world->folder);
      si_client_pause (&world->client, POLL);
      poll_all (world);
    }
}

static void
start (PtCluster *world, PtProcess *process, const char *name, const char *const *argv)
{
  char *log = lb_asprintf ("%s/%s.log", world->folder, name);

  pt_process_start (process, argv, log);
  free (log);
}

static bool
has_announced (PtCluster *world, void *user)
{
  (void)world;
  PtProgram *program = user;
  struct json_object *line;

  pt_process_poll (&program->process);
  PT_ASSERT_MSG (!program->process.ended, "%s ended at its start", program->name);
  if (!strchr (program->process.output, '\n'))
    return false;
  line = json_tokener_parse (program->process.output);
  LB_COPY (program->address, si_json_text (line, "address", ""));
  json_object_put (line);
  return true;
}

void
pt_start_platform (PtCluster *world)
{
  static const char *const argv[] = { "standin-platform", NULL };

  LB_COPY (world->platform.name, "platform");
  start (world, &world->platform.process, "platform", argv);
  pt_wait (world, "address of the platform", has_announced, &world->platform);
}

static void
launch_endpoint (PtCluster *world,
                 PtProgram *endpoint,
                 const char *program,
                 const char *const *options)
{
  const char *argv[PT_MAX_ARGS] = { program, "--name", endpoint->name };
  size_t n = 3;

  while (options && *options && n < PT_MAX_ARGS - 1)
    argv[n++] = *options++;
  start (world, &endpoint->process, endpoint->name, argv);
  pt_wait (world, "address of an endpoint", has_announced, endpoint);
}

static PtProgram *
start_endpoint (PtCluster *world, const char *program, const char *name, const char *const *options)
{
  PtProgram *endpoint = &world->endpoints[world->n_endpoints++];

  LB_COPY (endpoint->name, name);
  launch_endpoint (world, endpoint, program, options);
  return endpoint;
}

void
pt_restart_engine (PtCluster *world, PtProgram *engine, const char *const *options)
{
  pt_process_clear (&engine->process);
  launch_endpoint (world, engine, "standin-engine", options);
}

PtProgram *
pt_start_engine (PtCluster *world, const char *name, const char *const *options)
{
  return start_endpoint (world, "standin-engine", name, options);
}

PtProgram *
pt_start_service (PtCluster *world, const char *name, const char *const *options)
{
  return start_endpoint (world, "standin-service", name, options);
}

/* instances */

static bool
is_running (const PtProgram *program)
{
  return program->process.pid > 0 && !program->process.ended;
}

static struct json_object *
new_seeds (const PtCluster *world, const PtProgram *except)
{
  struct json_object *seeds = json_object_new_array ();

  for (size_t i = 0; i < world->n_instances; i++)
    if (&world->instances[i] != except && is_running (&world->instances[i]))
      json_object_array_add (seeds, json_object_new_string (world->instances[i].peer_address));
  return seeds;
}

static struct json_object *
add_group (struct json_object *settings, const char *key)
{
  struct json_object *group = json_object_new_object ();

  json_object_object_add (settings, key, group);
  return group;
}

static void
add_platform (const PtCluster *world, struct json_object *settings)
{
  struct json_object *platform = add_group (settings, "platform");

  si_json_set_text (platform, "kind", world->in_memory ? "memory" : "http");
  if (!world->in_memory)
    si_json_set_text (platform, "address", world->platform.address);
}

static struct json_object *
new_settings (const PtCluster *world, const PtProgram *instance, const char *address_file)
{
  struct json_object *settings = json_object_new_object ();
  struct json_object *self = add_group (settings, "instance");
  struct json_object *cluster = add_group (settings, "cluster");
  struct json_object *http = add_group (settings, "http");
  struct json_object *calls = add_group (settings, "calls");
  struct json_object *drain = add_group (settings, "drain");

  si_json_set_text (self, "name", instance->name);
  si_json_set_text (self, "data_centre", instance->data_centre);
  si_json_set_text (self, "caller_address", "127.0.0.1:0");
  si_json_set_text (self, "peer_address", "127.0.0.1:0");
  add_platform (world, settings);
  si_json_set_text (cluster, "key", "test-key");
  json_object_object_add (cluster, "seeds", new_seeds (world, instance));
  si_json_set_text (http, "operator_token", PT_OPERATOR_TOKEN);
  si_json_set_int (http, "request_read_ms", world->request_read_ms);
  si_json_set_int (calls, "stream_silence_ms", world->stream_silence_ms);
  si_json_set_int (calls, "load_poll_ms", 100);
  si_json_set_int (drain, "drain_ms", world->drain_ms);
  si_json_set_int (drain, "entry_ttl_ms", world->entry_ttl_ms);
  si_json_set_text (settings, "address_file", address_file);
  return settings;
}

static bool
has_address_file (PtCluster *world, void *user)
{
  PtProgram *instance = user;
  char *path = lb_asprintf ("%s/%s.address", world->folder, instance->name);
  struct json_object *addresses = json_object_from_file (path);

  pt_process_poll (&instance->process);
  PT_ASSERT_MSG (!instance->process.ended, "%s ended at its start (logs in %s)", instance->name,
                 world->folder);
  if (addresses)
    {
      LB_COPY (instance->address, si_json_text (addresses, "caller_address", ""));
      LB_COPY (instance->peer_address, si_json_text (addresses, "peer_address", ""));
    }
  json_object_put (addresses);
  free (path);
  return addresses != NULL;
}

static void
launch (PtCluster *world, PtProgram *instance)
{
  char *file = lb_asprintf ("%s/%s.json", world->folder, instance->name);
  char *address_file = lb_asprintf ("%s/%s.address", world->folder, instance->name);
  const char *argv[] = { "lentilspindled", "--config", file, NULL };
  struct json_object *settings = new_settings (world, instance, address_file);

  unlink (address_file);
  PT_ASSERT (json_object_to_file (file, settings) == 0);
  json_object_put (settings);
  start (world, &instance->process, instance->name, argv);
  pt_wait (world, "addresses of an instance", has_address_file, instance);
  free (file);
  free (address_file);
}

PtProgram *
pt_start_instance (PtCluster *world, const char *name, const char *data_centre)
{
  PtProgram *instance = &world->instances[world->n_instances++];

  LB_COPY (instance->name, name);
  LB_COPY (instance->data_centre, data_centre);
  launch (world, instance);
  pt_publish_instances (world);
  return instance;
}

void
pt_restart_instance (PtCluster *world, PtProgram *instance)
{
  pt_process_clear (&instance->process);
  launch (world, instance);
  pt_publish_instances (world);
}

void
pt_publish_instances (PtCluster *world)
{
  struct json_object *order, *list, *instances;

  if (world->in_memory)
    return;
  order = json_object_new_object ();
  list = json_object_new_object ();
  instances = json_object_new_array ();
  for (size_t i = 0; i < world->n_instances; i++)
    {
      PtProgram *instance = &world->instances[i];
      if (!is_running (instance))
        continue;
      struct json_object *item = json_object_new_object ();
      si_json_set_text (item, "name", instance->name);
      si_json_set_text (item, "caller_address", instance->address);
      si_json_set_text (item, "peer_address", instance->peer_address);
      si_json_set_text (item, "data_centre", instance->data_centre);
      si_json_set_text (item, "state", "live");
      json_object_array_add (instances, item);
    }
  json_object_object_add (list, "instances", instances);
  json_object_object_add (list, "endpoints", json_object_new_array ());
  json_object_object_add (order, "instances", list);
  json_object_put (si_client_call_json (&world->client, world->platform.address, "/control",
                                        json_object_to_json_string (order)));
  json_object_put (order);
}

static bool
is_ready (PtCluster *world, void *user)
{
  const PtProgram *instance = user;
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/readyz" };
  SiResponse answer;

  si_client_call (&world->client, &call, &answer);
  bool ready = si_response_is_ok (&answer);
  si_response_clear (&answer);
  return ready;
}

void
pt_wait_ready (PtCluster *world, PtProgram *instance)
{
  pt_wait (world, "an instance is ready", is_ready, instance);
}

typedef struct
{
  PtProcess *process;
} Ending;

static bool
has_ended (PtCluster *world, void *user)
{
  (void)world;
  Ending *ending = user;

  pt_process_poll (ending->process);
  return ending->process->ended;
}

void
pt_wait_exit (PtCluster *world, PtProcess *process, int code)
{
  Ending ending = { process };

  pt_wait (world, "a process ends", has_ended, &ending);
  PT_ASSERT_MSG (pt_process_has_exited (process, code), "status %x, not exit %d (logs in %s)",
                 (unsigned)process->status, code, world->folder);
}

void
pt_inject_fault (PtCluster *world, PtProgram *program, const char *order)
{
  struct json_object *reply
      = si_client_call_json (&world->client, program->address, "/faults", order);

  PT_ASSERT_MSG (reply != NULL, "fault not taken: %s", order);
  json_object_put (reply);
}

struct json_object *
pt_read_log (PtCluster *world, PtProgram *program)
{
  struct json_object *log = si_client_call_json (&world->client, program->address, "/log", NULL);

  PT_ASSERT_MSG (log != NULL, "%s has no log", program->name);
  return log;
}

int64_t
pt_read_log_counter (PtCluster *world, PtProgram *program, const char *key)
{
  struct json_object *log = pt_read_log (world, program);
  int64_t number = si_json_int (log, key, -1);

  json_object_put (log);
  return number;
}

int64_t
pt_count_runs (PtCluster *world, PtProgram *program, const char *key)
{
  struct json_object *log = pt_read_log (world, program);
  struct json_object *runs = NULL;
  int64_t n;

  json_object_object_get_ex (log, "runs", &runs);
  n = si_json_int (runs, key, 0);
  json_object_put (log);
  return n;
}

static void
start_caller (PtCluster *world, PtProcess *process, const char *program, const char *const *options)
{
  const char *argv[PT_MAX_ARGS] = { program };
  size_t n = 1;

  for (size_t i = 0; i < world->n_instances && n < PT_MAX_ARGS - 2; i++)
    {
      if (!is_running (&world->instances[i]))
        continue;
      argv[n++] = "--address";
      argv[n++] = world->instances[i].address;
    }
  while (options && *options && n < PT_MAX_ARGS - 1)
    argv[n++] = *options++;
  start (world, process, program, argv);
}

void
pt_start_trainer (PtCluster *world, PtProcess *trainer, const char *const *options)
{
  start_caller (world, trainer, "standin-trainer", options);
}

void
pt_start_load (PtCluster *world, PtProcess *load, const char *const *options)
{
  start_caller (world, load, "standin-load", options);
}

struct json_object *
pt_wait_summary (PtCluster *world, PtProcess *process)
{
  Ending ending = { process };

  pt_wait (world, "a stand-in ends", has_ended, &ending);
  struct json_object *summary = json_tokener_parse (process->output);
  PT_ASSERT_MSG (summary != NULL, "no summary (logs in %s)", world->folder);
  return summary;
}

typedef struct
{
  SiCheckedCallResult result;
  bool done;
} LiveWait;

static void
on_live (const SiCheckedCallResult *result, void *user)
{
  LiveWait *wait = user;

  wait->result = *result;
  wait->done = true;
}

static bool
live_is_done (PtCluster *world, void *user)
{
  (void)world;
  return ((LiveWait *)user)->done;
}

SiCheckedCallResult
pt_checked_call (PtCluster *world, const SiCheckedCallSpec *spec)
{
  LiveWait wait = { .done = false };

  si_checked_call_start (world->client.pool, spec, on_live, &wait);
  pt_wait (world, "the answer of a live call", live_is_done, &wait);
  return wait.result;
}

void
pt_cluster_drain (PtCluster *world)
{
  for (size_t i = 0; i < world->n_instances; i++)
    if (is_running (&world->instances[i]))
      pt_process_signal (&world->instances[i].process, SIGTERM);
  for (size_t i = 0; i < world->n_instances; i++)
    if (is_running (&world->instances[i]))
      pt_wait_exit (world, &world->instances[i].process, 0);
}

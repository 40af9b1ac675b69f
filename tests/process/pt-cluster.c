#include "pt-cluster.h"

#include "pt-assert.h"

#include "lb-alloc.h"
#include "lb-clock.h"

#include <ftw.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CONDITION_POLL_INTERVAL (20 * LB_MSEC)

void
pt_cluster_init (PtCluster *cluster)
{
  memset (cluster, 0, sizeof *cluster);
  signal (SIGPIPE, SIG_IGN);
  strcpy (cluster->folder, "/tmp/lentilspindle-test-XXXXXX");
  PT_ASSERT (mkdtemp (cluster->folder) != NULL);
  si_client_init (&cluster->client);
  cluster->drain_ms = 300;
  cluster->entry_ttl_ms = 300;
  cluster->stream_silence_ms = 1500;
  cluster->request_read_ms = 5000;
}

static int
remove_file_or_folder (const char *path, const struct stat *info, int type, struct FTW *where)
{
  (void)info;
  (void)type;
  (void)where;
  return remove (path);
}

void
pt_cluster_clear (PtCluster *cluster)
{
  for (size_t i = 0; i < cluster->n_instances; i++)
    pt_process_clear (&cluster->instances[i].process);
  for (size_t i = 0; i < cluster->n_endpoints; i++)
    pt_process_clear (&cluster->endpoints[i].process);
  pt_process_clear (&cluster->platform.process);
  si_client_clear (&cluster->client);
  if (!getenv ("PT_KEEP"))
    nftw (cluster->folder, remove_file_or_folder, 8, FTW_DEPTH | FTW_PHYS);
}

static void
poll_all_processes (PtCluster *cluster)
{
  pt_process_poll (&cluster->platform.process);
  for (size_t i = 0; i < cluster->n_instances; i++)
    pt_process_poll (&cluster->instances[i].process);
  for (size_t i = 0; i < cluster->n_endpoints; i++)
    pt_process_poll (&cluster->endpoints[i].process);
}

void
pt_wait_until (PtCluster *cluster, const char *description, PtCondition condition, void *user)
{
  LbTime deadline = lb_clock_monotonic () + PT_WAIT_TIMEOUT;

  while (!condition (cluster, user))
    {
      PT_ASSERT_MSG (lb_clock_monotonic () < deadline, "timed out waiting until %s (logs in %s)",
                     description, cluster->folder);
      si_client_pause (&cluster->client, CONDITION_POLL_INTERVAL);
      poll_all_processes (cluster);
    }
}

static void
start_program (PtCluster *cluster, PtProcess *process, const char *name, const char *const *argv)
{
  char *log = lb_asprintf ("%s/%s.log", cluster->folder, name);

  pt_process_start (process, argv, log);
  free (log);
}

static bool
has_standin_printed_address (PtCluster *cluster, void *user)
{
  (void)cluster;
  PtProgram *program = user;
  struct json_object *line;

  pt_process_poll (&program->process);
  PT_ASSERT_MSG (!program->process.ended, "%s ended before it printed its address", program->name);
  if (!strchr (program->process.output, '\n'))
    return false;
  line = json_tokener_parse (program->process.output);
  LB_COPY (program->address, si_json_get_text (line, "address", ""));
  json_object_put (line);
  return true;
}

void
pt_start_platform (PtCluster *cluster)
{
  static const char *const argv[] = { "standin-platform", NULL };

  LB_COPY (cluster->platform.name, "platform");
  start_program (cluster, &cluster->platform.process, "platform", argv);
  pt_wait_until (cluster, "the platform prints its address", has_standin_printed_address,
                 &cluster->platform);
}

static void
spawn_endpoint_and_wait_for_address (PtCluster *cluster,
                                     PtProgram *endpoint,
                                     const char *program,
                                     const char *const *options)
{
  const char *argv[PT_MAX_ARGS] = { program, "--name", endpoint->name };
  size_t n = 3;

  while (options && *options && n < PT_MAX_ARGS - 1)
    argv[n++] = *options++;
  start_program (cluster, &endpoint->process, endpoint->name, argv);
  pt_wait_until (cluster, "the endpoint prints its address", has_standin_printed_address, endpoint);
}

static PtProgram *
start_endpoint (PtCluster *cluster,
                const char *program,
                const char *name,
                const char *const *options)
{
  PtProgram *endpoint = &cluster->endpoints[cluster->n_endpoints++];

  LB_COPY (endpoint->name, name);
  spawn_endpoint_and_wait_for_address (cluster, endpoint, program, options);
  return endpoint;
}

void
pt_restart_engine (PtCluster *cluster, PtProgram *engine, const char *const *options)
{
  pt_process_clear (&engine->process);
  spawn_endpoint_and_wait_for_address (cluster, engine, "standin-engine", options);
}

PtProgram *
pt_start_engine (PtCluster *cluster, const char *name, const char *const *options)
{
  return start_endpoint (cluster, "standin-engine", name, options);
}

PtProgram *
pt_start_service (PtCluster *cluster, const char *name, const char *const *options)
{
  return start_endpoint (cluster, "standin-service", name, options);
}

/* --- Starting instances --- */

static bool
is_program_running (const PtProgram *program)
{
  return program->process.pid > 0 && !program->process.ended;
}

static struct json_object *
make_seed_addresses_json (const PtCluster *cluster, const PtProgram *excluded)
{
  struct json_object *seeds = json_object_new_array ();

  for (size_t i = 0; i < cluster->n_instances; i++)
    if (&cluster->instances[i] != excluded && is_program_running (&cluster->instances[i]))
      json_object_array_add (seeds, json_object_new_string (cluster->instances[i].peer_address));
  return seeds;
}

static struct json_object *
add_settings_group (struct json_object *settings, const char *key)
{
  struct json_object *group = json_object_new_object ();

  json_object_object_add (settings, key, group);
  return group;
}

static void
add_platform_settings (const PtCluster *cluster, struct json_object *settings)
{
  struct json_object *platform = add_settings_group (settings, "platform");

  si_json_set_text (platform, "kind", cluster->has_memory_platform ? "memory" : "http");
  if (!cluster->has_memory_platform)
    si_json_set_text (platform, "address", cluster->platform.address);
}

static struct json_object *
make_instance_settings (const PtCluster *cluster,
                        const PtProgram *instance,
                        const char *address_file)
{
  struct json_object *settings = json_object_new_object ();
  struct json_object *self = add_settings_group (settings, "instance");
  struct json_object *cluster_settings = add_settings_group (settings, "cluster");
  struct json_object *http = add_settings_group (settings, "http");
  struct json_object *calls = add_settings_group (settings, "calls");
  struct json_object *drain = add_settings_group (settings, "drain");

  si_json_set_text (self, "name", instance->name);
  si_json_set_text (self, "data_centre", instance->data_centre);
  si_json_set_text (self, "caller_address", "127.0.0.1:0");
  si_json_set_text (self, "peer_address", "127.0.0.1:0");
  add_platform_settings (cluster, settings);
  si_json_set_text (cluster_settings, "key", "test-key");
  json_object_object_add (cluster_settings, "seeds", make_seed_addresses_json (cluster, instance));
  si_json_set_text (http, "operator_token", PT_OPERATOR_TOKEN);
  si_json_set_int (http, "request_read_ms", cluster->request_read_ms);
  si_json_set_int (calls, "stream_silence_ms", cluster->stream_silence_ms);
  si_json_set_int (calls, "load_poll_ms", 100);
  si_json_set_int (drain, "drain_ms", cluster->drain_ms);
  si_json_set_int (drain, "entry_ttl_ms", cluster->entry_ttl_ms);
  si_json_set_text (settings, "address_file", address_file);
  return settings;
}

static bool
has_instance_written_address_file (PtCluster *cluster, void *user)
{
  PtProgram *instance = user;
  char *path = lb_asprintf ("%s/%s.address", cluster->folder, instance->name);
  struct json_object *addresses = json_object_from_file (path);

  pt_process_poll (&instance->process);
  PT_ASSERT_MSG (!instance->process.ended, "%s ended before it wrote its addresses (logs in %s)",
                 instance->name, cluster->folder);
  if (addresses)
    {
      LB_COPY (instance->address, si_json_get_text (addresses, "caller_address", ""));
      LB_COPY (instance->peer_address, si_json_get_text (addresses, "peer_address", ""));
    }
  json_object_put (addresses);
  free (path);
  return addresses != NULL;
}

static void
spawn_instance_and_wait_for_addresses (PtCluster *cluster, PtProgram *instance)
{
  char *file = lb_asprintf ("%s/%s.json", cluster->folder, instance->name);
  char *address_file = lb_asprintf ("%s/%s.address", cluster->folder, instance->name);
  const char *argv[] = { "lentilspindled", "--config", file, NULL };
  struct json_object *settings = make_instance_settings (cluster, instance, address_file);

  unlink (address_file);
  PT_ASSERT (json_object_to_file (file, settings) == 0);
  json_object_put (settings);
  start_program (cluster, &instance->process, instance->name, argv);
  pt_wait_until (cluster, "the instance writes its addresses", has_instance_written_address_file,
                 instance);
  free (file);
  free (address_file);
}

PtProgram *
pt_start_instance (PtCluster *cluster, const char *name, const char *data_centre)
{
  PtProgram *instance = &cluster->instances[cluster->n_instances++];

  LB_COPY (instance->name, name);
  LB_COPY (instance->data_centre, data_centre);
  spawn_instance_and_wait_for_addresses (cluster, instance);
  pt_publish_instance_list (cluster);
  return instance;
}

void
pt_restart_instance (PtCluster *cluster, PtProgram *instance)
{
  pt_process_clear (&instance->process);
  spawn_instance_and_wait_for_addresses (cluster, instance);
  pt_publish_instance_list (cluster);
}

void
pt_publish_instance_list (PtCluster *cluster)
{
  struct json_object *control, *list, *instances;

  if (cluster->has_memory_platform)
    return;
  control = json_object_new_object ();
  list = json_object_new_object ();
  instances = json_object_new_array ();
  for (size_t i = 0; i < cluster->n_instances; i++)
    {
      PtProgram *instance = &cluster->instances[i];
      if (!is_program_running (instance))
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
  json_object_object_add (control, "instances", list);
  json_object_put (si_client_call_json (&cluster->client, cluster->platform.address, "/control",
                                        json_object_to_json_string (control)));
  json_object_put (control);
}

static bool
is_instance_ready (PtCluster *cluster, void *user)
{
  const PtProgram *instance = user;
  const SiCall call = { .method = "GET", .address = instance->address, .path = "/readyz" };
  SiResponse response;

  si_client_call (&cluster->client, &call, &response);
  bool ready = si_response_is_ok (&response);
  si_response_clear (&response);
  return ready;
}

void
pt_wait_until_instance_ready (PtCluster *cluster, PtProgram *instance)
{
  pt_wait_until (cluster, "the instance is ready", is_instance_ready, instance);
}

typedef struct
{
  PtProcess *process;
} ExitWait;

static bool
has_process_ended (PtCluster *cluster, void *user)
{
  (void)cluster;
  ExitWait *exit_wait = user;

  pt_process_poll (exit_wait->process);
  return exit_wait->process->ended;
}

void
pt_wait_for_exit_with_code (PtCluster *cluster, PtProcess *process, int code)
{
  ExitWait exit_wait = { process };

  pt_wait_until (cluster, "the process ends", has_process_ended, &exit_wait);
  PT_ASSERT_MSG (pt_process_has_exited (process, code),
                 "process ended with wait status 0x%x instead of exit code %d (logs in %s)",
                 (unsigned)process->status, code, cluster->folder);
}

void
pt_inject_fault (PtCluster *cluster, PtProgram *standin, const char *fault_json)
{
  struct json_object *reply
      = si_client_call_json (&cluster->client, standin->address, "/faults", fault_json);

  PT_ASSERT_MSG (reply != NULL, "stand-in rejected the fault %s", fault_json);
  json_object_put (reply);
}

struct json_object *
pt_read_standin_log (PtCluster *cluster, PtProgram *standin)
{
  struct json_object *log = si_client_call_json (&cluster->client, standin->address, "/log", NULL);

  PT_ASSERT_MSG (log != NULL, "%s returned no log as JSON", standin->name);
  return log;
}

int64_t
pt_read_standin_log_counter (PtCluster *cluster, PtProgram *standin, const char *key)
{
  struct json_object *log = pt_read_standin_log (cluster, standin);
  int64_t value = si_json_get_int (log, key, -1);

  json_object_put (log);
  return value;
}

int64_t
pt_count_call_runs (PtCluster *cluster, PtProgram *endpoint, const char *key)
{
  struct json_object *log = pt_read_standin_log (cluster, endpoint);
  struct json_object *runs = NULL;
  int64_t n;

  json_object_object_get_ex (log, "runs", &runs);
  n = si_json_get_int (runs, key, 0);
  json_object_put (log);
  return n;
}

/* Starts the program with one --address option for each running instance, followed by `options`. */
static void
start_program_with_addresses (PtCluster *cluster,
                              PtProcess *process,
                              const char *program,
                              const char *const *options)
{
  const char *argv[PT_MAX_ARGS] = { program };
  size_t n = 1;

  for (size_t i = 0; i < cluster->n_instances && n < PT_MAX_ARGS - 2; i++)
    {
      if (!is_program_running (&cluster->instances[i]))
        continue;
      argv[n++] = "--address";
      argv[n++] = cluster->instances[i].address;
    }
  while (options && *options && n < PT_MAX_ARGS - 1)
    argv[n++] = *options++;
  start_program (cluster, process, program, argv);
}

void
pt_start_trainer (PtCluster *cluster, PtProcess *trainer, const char *const *options)
{
  start_program_with_addresses (cluster, trainer, "standin-trainer", options);
}

void
pt_start_load_generator (PtCluster *cluster, PtProcess *load, const char *const *options)
{
  start_program_with_addresses (cluster, load, "standin-load", options);
}

struct json_object *
pt_wait_for_client_summary (PtCluster *cluster, PtProcess *process)
{
  ExitWait exit_wait = { process };

  pt_wait_until (cluster, "the stand-in client ends", has_process_ended, &exit_wait);
  struct json_object *summary = json_tokener_parse (process->output);
  PT_ASSERT_MSG (summary != NULL, "stand-in client printed no JSON summary (logs in %s)",
                 cluster->folder);
  return summary;
}

typedef struct
{
  SiCheckedCallResult result;
  bool done;
} CallCompletion;

static void
on_call_done (const SiCheckedCallResult *result, void *user)
{
  CallCompletion *completion = user;

  completion->result = *result;
  completion->done = true;
}

static bool
is_call_done (PtCluster *cluster, void *user)
{
  (void)cluster;
  return ((CallCompletion *)user)->done;
}

SiCheckedCallResult
pt_run_checked_call (PtCluster *cluster, const SiCheckedCallSpec *spec)
{
  CallCompletion completion = { .done = false };

  si_checked_call_start (cluster->client.pool, spec, on_call_done, &completion);
  pt_wait_until (cluster, "the call ends", is_call_done, &completion);
  return completion.result;
}

void
pt_drain_instances_and_wait_for_exit (PtCluster *cluster)
{
  for (size_t i = 0; i < cluster->n_instances; i++)
    if (is_program_running (&cluster->instances[i]))
      pt_process_signal (&cluster->instances[i].process, SIGTERM);
  for (size_t i = 0; i < cluster->n_instances; i++)
    if (is_program_running (&cluster->instances[i]))
      pt_wait_for_exit_with_code (cluster, &cluster->instances[i].process, 0);
}

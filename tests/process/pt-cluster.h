#ifndef PT_CLUSTER_H
#define PT_CLUSTER_H

#include "pt-process.h"
#include "si-checked-call.h"
#include "si-client.h"

#define PT_MAX_PROGRAMS 16 /* limit of instances, and of endpoints, in one cluster */
#define PT_OPERATOR_TOKEN "test-token"
#define PT_WAIT_TIMEOUT (60 * LB_SEC) /* limit of one wait; long enough for a busy machine */

/* A child process of the test: an instance, or a stand-in for the platform or an endpoint. */
typedef struct
{
  PtProcess process;
  LbName name;
  LbName address;      /* where the program serves callers; IP:PORT */
  LbName peer_address; /* where an instance serves other instances; empty for stand-ins */
  LbName data_centre;  /* empty for stand-ins */
} PtProgram;

/* The processes that one test runs, and the settings of its instances. */
typedef struct
{
  char folder[64]; /* temporary; holds settings and logs; removed by pt_cluster_clear */
  SiClient client;
  PtProgram platform;
  PtProgram instances[PT_MAX_PROGRAMS];
  size_t n_instances;
  PtProgram endpoints[PT_MAX_PROGRAMS];
  size_t n_endpoints;
  int drain_ms;             /* time for which an instance serves callers after SIGTERM, at least */
  int entry_ttl_ms;         /* how long callers may cache addresses of instances */
  int stream_silence_ms;    /* a stream that receives no byte for this time has failed */
  int request_read_ms;      /* limit for reading a request; does not cover its response */
  bool has_memory_platform; /* instances keep platform data in memory; no platform process runs */
} PtCluster;

/* Tests a condition that pt_wait_until waits for; user is the pointer given to pt_wait_until. */
typedef bool (*PtCondition) (PtCluster *cluster, void *user);

void pt_cluster_init (PtCluster *cluster);
/* Kills all processes of the cluster. Also deletes cluster->folder, unless the environment variable
 * PT_KEEP is set. */
void pt_cluster_clear (PtCluster *cluster);
/* Sends SIGTERM to every running instance, waits until all have exited and asserts exit code 0. In
 * a sanitizer build a memory leak makes the exit code non-zero. */
void pt_drain_instances_and_wait_for_exit (PtCluster *cluster);

/* Each pt_start_* function below runs a program of the build. `options` holds additional
 * command-line arguments, NULL-terminated; NULL: none. */
void pt_start_platform (PtCluster *cluster);
PtProgram *pt_start_engine (PtCluster *cluster, const char *name, const char *const *options);
/* Kills the engine if it runs and starts it again at a new address. Instances use the new address
 * only after pt_configure_cluster. */
void pt_restart_engine (PtCluster *cluster, PtProgram *engine, const char *const *options);
PtProgram *pt_start_service (PtCluster *cluster, const char *name, const char *const *options);
PtProgram *pt_start_instance (PtCluster *cluster, const char *name, const char *data_centre);
/* Kills the instance if it runs and starts a replacement with the same name. */
void pt_restart_instance (PtCluster *cluster, PtProgram *instance);
/* Tells the stand-in platform which instances run now, for the instance list that it serves. */
void pt_publish_instance_list (PtCluster *cluster);

/* Waits until the condition is true. After PT_WAIT_TIMEOUT the test fails, and the message contains
 * `description`. */
void pt_wait_until (PtCluster *cluster, const char *description, PtCondition condition, void *user);
void pt_wait_until_instance_ready (PtCluster *cluster, PtProgram *instance);
/* Waits until the process ends and asserts this exit code. */
void pt_wait_for_exit_with_code (PtCluster *cluster, PtProcess *process, int code);

/* Configures the cluster through this instance: all engines in pool "reader", all services in
 * service "lookup", and subscription "reader-trainer" to samples at most 2 weight versions old. */
void pt_configure_cluster (PtCluster *cluster, PtProgram *instance);
/* Like pt_configure_cluster, but tries each running instance in turn until one accepts. */
void pt_configure_cluster_at_any_instance (PtCluster *cluster);
/* Sends resource changes (JSON) to the instance. if_match is the value of the If-Match header: the
 * expected revision, "*" for any, or NULL for no header. The caller clears the response. */
void pt_post_resource_changes (PtCluster *cluster,
                               PtProgram *instance,
                               const char *changes,
                               const char *if_match,
                               SiResponse *response);
/* Waits until all running instances report the same active revision of the configuration. */
void pt_wait_until_instances_have_same_revision (PtCluster *cluster);

/* Sends a fault, such as {"mode": "hang"}, to a stand-in; mode "none" ends all faults. */
void pt_inject_fault (PtCluster *cluster, PtProgram *standin, const char *fault_json);
/* Returns the stand-in's log (JSON object); the caller releases it. */
struct json_object *pt_read_standin_log (PtCluster *cluster, PtProgram *standin);
/* Returns the number under `key` in the stand-in's JSON log; -1: the log has no such key. */
int64_t pt_read_standin_log_counter (PtCluster *cluster, PtProgram *standin, const char *key);
/* Returns how often the endpoint started the call that `key` identifies: by the x-order header
 * of the call, or by its prompt or body if it has no such header. */
int64_t pt_count_call_runs (PtCluster *cluster, PtProgram *endpoint, const char *key);

/* Each of these two functions starts a stand-in client that sends its calls to the instances that
 * run at that moment. */
void pt_start_trainer (PtCluster *cluster, PtProcess *trainer, const char *const *options);
void pt_start_load_generator (PtCluster *cluster, PtProcess *load, const char *const *options);
/* Waits until the stand-in client ends and returns the JSON summary that it printed; the caller
 * releases it. */
struct json_object *pt_wait_for_client_summary (PtCluster *cluster, PtProcess *process);

/* Sends one call, checks its response against the expected text and returns the result. */
SiCheckedCallResult pt_run_checked_call (PtCluster *cluster, const SiCheckedCallSpec *spec);

#endif

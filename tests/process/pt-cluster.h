#ifndef PT_CLUSTER_H
#define PT_CLUSTER_H

#include "pt-process.h"
#include "si-checked-call.h"
#include "si-client.h"

#define PT_MAX_PROGRAMS 16
#define PT_OPERATOR_TOKEN "test-token"
#define PT_WAIT_TIMEOUT (60 * LB_SEC) /* of every wait; long enough for a busy machine */

/* A stand-in or an instance, and its addresses. */
typedef struct
{
  PtProcess process;
  LbName name;
  LbName address;
  LbName peer_address; /* set for instances only */
  LbName data_centre;
} PtProgram;

/* The programs that one test runs. */
typedef struct
{
  char folder[64]; /* settings and logs; removed by pt_cluster_clear */
  SiClient client;
  PtProgram platform;
  PtProgram instances[PT_MAX_PROGRAMS];
  size_t n_instances;
  PtProgram endpoints[PT_MAX_PROGRAMS];
  size_t n_endpoints;
  int drain_ms;
  int entry_ttl_ms;
  int stream_silence_ms;
  int request_read_ms;      /* limit for reading a request; does not cover its response */
  bool has_memory_platform; /* instances keep platform data in memory; no stand-in runs */
} PtCluster;

typedef bool (*PtCondition) (PtCluster *cluster, void *user);

void pt_cluster_init (PtCluster *cluster);
void pt_cluster_clear (PtCluster *cluster);
/* Stops every running instance with SIGTERM and asserts that it becomes idle and exits with 0. In
 * a sanitizer build a leak makes the exit code non-zero. */
void pt_cluster_drain (PtCluster *cluster);

void pt_start_platform (PtCluster *cluster);
/* options: more arguments, NULL-terminated; may be NULL. */
PtProgram *pt_start_engine (PtCluster *cluster, const char *name, const char *const *options);
/* Kills the engine if it runs and starts it at a new address, which no resource names until
 * pt_apply_resources. */
void pt_restart_engine (PtCluster *cluster, PtProgram *engine, const char *const *options);
PtProgram *pt_start_service (PtCluster *cluster, const char *name, const char *const *options);
PtProgram *pt_start_instance (PtCluster *cluster, const char *name, const char *data_centre);
/* Kills the instance if it runs and starts a replacement with the same name. */
void pt_restart_instance (PtCluster *cluster, PtProgram *instance);
/* Sets the platform's list of instances, which lags behind the processes, to those that run now. */
void pt_publish_instances (PtCluster *cluster);

/* Waits until the condition holds; fails the test with the message `what` after PT_WAIT_TIMEOUT. */
void pt_wait (PtCluster *cluster, const char *what, PtCondition condition, void *user);
void pt_wait_ready (PtCluster *cluster, PtProgram *instance);
void pt_wait_exit (PtCluster *cluster, PtProcess *process, int code);

/* Applies pool "reader" with every engine, subscription "reader-trainer" with a lag of at most 2
 * versions, and service "lookup" with every service. */
void pt_apply_resources (PtCluster *cluster, PtProgram *instance);
/* Like pt_apply_resources, at each running instance in turn until one accepts. */
void pt_apply_resources_anywhere (PtCluster *cluster);
/* Sends changes with the header If-Match, unless if_match is NULL ("*" matches any revision). The
 * caller clears the response. */
void pt_apply_change (PtCluster *cluster,
                      PtProgram *instance,
                      const char *changes,
                      const char *if_match,
                      SiResponse *response);
/* Waits until the newest accepted revision is in force on every running instance. */
void pt_wait_revision_in_force (PtCluster *cluster);

void pt_inject_fault (PtCluster *cluster, PtProgram *program, const char *fault);
struct json_object *pt_read_log (PtCluster *cluster, PtProgram *program);
int64_t pt_read_log_counter (PtCluster *cluster, PtProgram *program, const char *key);
/* How often the endpoint has run the call with this key. */
int64_t pt_count_runs (PtCluster *cluster, PtProgram *program, const char *key);

/* Starts a trainer or load generator that uses the running instances; options is
 * NULL-terminated. */
void pt_start_trainer (PtCluster *cluster, PtProcess *trainer, const char *const *options);
void pt_start_load (PtCluster *cluster, PtProcess *load, const char *const *options);
/* Waits until the program ends and returns its JSON summary; the caller releases it. */
struct json_object *pt_wait_summary (PtCluster *cluster, PtProcess *process);

/* Sends one call and waits for its result. */
SiCheckedCallResult pt_checked_call (PtCluster *cluster, const SiCheckedCallSpec *spec);

#endif

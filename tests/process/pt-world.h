#ifndef PT_WORLD_H
#define PT_WORLD_H

#include "pt-process.h"
#include "si-client.h"
#include "si-checked-call.h"

#define PT_MAX_PROGRAMS 16
#define PT_OPERATOR_TOKEN "test-token"
#define PT_WAIT_TIMEOUT (60 * LB_SEC) /* of any wait: generous, since the machine may be busy */

/* A stand-in or an instance, and where it listens. */
typedef struct
{
  PtProcess process;
  LbName name;
  LbName address;
  LbName peer_address; /* of an instance */
  LbName data_centre;
} PtProgram;

/* Everything that one test runs. */
typedef struct
{
  char folder[64]; /* of settings and logs; removed at the end */
  SiClient client;
  PtProgram platform;
  PtProgram instances[PT_MAX_PROGRAMS];
  size_t n_instances;
  PtProgram endpoints[PT_MAX_PROGRAMS];
  size_t n_endpoints;
  int drain_ms;
  int entry_ttl_ms;
  int stream_silence_ms;
  int request_read_ms; /* of a request, not of its answer */
  bool in_memory;      /* no platform beside the instance */
} PtCluster;

typedef bool (*PtCondition) (PtCluster *world, void *user);

void pt_cluster_init (PtCluster *world);
void pt_cluster_clear (PtCluster *world);
/* Ends every instance that still runs, gracefully: whatever it went through, it must become idle
 * and exit with 0 (and, built with sanitizers, have leaked nothing). */
void pt_cluster_drain (PtCluster *world);

void pt_start_platform (PtCluster *world);
/* options: further arguments, ended by NULL; may be NULL. */
PtProgram *pt_start_engine (PtCluster *world, const char *name, const char *const *options);
/* Starts it anew, at another address, which no resource names yet. */
void pt_restart_engine (PtCluster *world, PtProgram *engine, const char *const *options);
PtProgram *pt_start_service (PtCluster *world, const char *name, const char *const *options);
PtProgram *pt_start_instance (PtCluster *world, const char *name, const char *data_centre);
/* Starts it anew under the same name, as its replacement. */
void pt_restart_instance (PtCluster *world, PtProgram *instance);
/* What the platform's lagging list says: every instance that runs. */
void pt_publish_instances (PtCluster *world);

/* Waits until the condition holds; fails the test with `what` when it never does. */
void pt_wait (PtCluster *world, const char *what, PtCondition condition, void *user);
void pt_wait_ready (PtCluster *world, PtProgram *instance);
void pt_wait_exit (PtCluster *world, PtProcess *process, int code);

/* Resources: pool "reader" with every engine, subscription "reader-trainer" with a lag of 2
 * versions at most, service "lookup" with every service. */
void pt_apply_resources (PtCluster *world, PtProgram *instance);
/* The same, tried at each instance in turn until one accepts it. */
void pt_apply_resources_anywhere (PtCluster *world);
/* Sends one change, by default whatever revision is there; the answer must be cleared. */
void pt_apply_change (PtCluster *world,
                      PtProgram *instance,
                      const char *changes,
                      const char *if_match,
                      SiResponse *answer);
/* Waits until every running instance has the newest accepted revision in force. */
void pt_wait_revision_in_force (PtCluster *world);

void pt_inject_fault (PtCluster *world, PtProgram *program, const char *order);
struct json_object *pt_read_log (PtCluster *world, PtProgram *program);
int64_t pt_read_log_counter (PtCluster *world, PtProgram *program, const char *key);
/* How often the endpoint ran the key. */
int64_t pt_count_runs (PtCluster *world, PtProgram *program, const char *key);

/* A trainer with the options, ended by NULL, towards these instances. */
void pt_start_trainer (PtCluster *world, PtProcess *trainer, const char *const *options);
void pt_start_load (PtCluster *world, PtProcess *load, const char *const *options);
/* Waits for a stand-in that prints a summary; the caller puts it. */
struct json_object *pt_wait_summary (PtCluster *world, PtProcess *process);

/* One live call, waited for. */
SiCheckedCallResult pt_checked_call (PtCluster *world, const SiCheckedCallSpec *spec);

#endif

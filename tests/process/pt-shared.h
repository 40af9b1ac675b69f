#ifndef PT_SHARED_H
#define PT_SHARED_H

#include "pt-process.h"
#include "pt-relay.h"
#include "si-control-plane.h"
#include "si-endpoint.h"

#include "lb-clock.h"
#include "lh-fetch.h"

#include <criterion/criterion.h>

/* Runs instances on a shared platform as real processes. The test itself acts as the store, the
 * endpoints and the callers, in one event loop. */

#define PS_MAX_INSTANCES 3
#define PS_N_ENGINES 3
#define PS_WAIT_TIMEOUT (60 * LB_SEC) /* of every wait; long enough for a busy machine */

typedef struct
{
  PtProcess process;
  PtRelay store_relay; /* its only path to the store */
  LbName name;
  LbName address;
  LbName metrics_address;
} PsInstance;

typedef struct
{
  struct event_base *base;
  LhPool *pool;
  char folder[64];
  SiRowStore store;
  SiEndpoint engines[PS_N_ENGINES];
  SiEndpoint lookup;
  SiControlPlane control_plane; /* used by instances when has_duties is set */
  bool has_duties;
  PsInstance instances[PS_MAX_INSTANCES];
  size_t n_instances;
  const char *organisations_config; /* JSON added to the desired state; NULL: none */
  /* Headers of the calls to come. */
  const char *api_key;              /* NULL: none */
  const char *second_api_key;       /* sent in the same call; NULL: none */
  const char *claimed_organisation; /* in a header of the caller; NULL: none */
  /* The last response to a caller, and how many there were. */
  int n_responses;
  LbErrorCode failure;
  int status;
  char *body;
  char retry_after[32];
  char server_stamp[64];
} PsCluster;

#define PS_WAIT_UNTIL(cluster, condition)                                                          \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + PS_WAIT_TIMEOUT;                                       \
      bool met_ = false;                                                                           \
      while (!(met_ = (condition)) && lb_clock_monotonic () < end_)                                \
        ps_run_loop_once (cluster);                                                                \
      cr_assert (met_, "timed out waiting for: %s", #condition);                                   \
    }                                                                                              \
  while (0)

void ps_cluster_init (PsCluster *cluster);
void ps_cluster_clear (PsCluster *cluster);
/* Runs one non-blocking iteration of the event loop and polls the processes. */
void ps_run_loop_once (PsCluster *cluster);
/* Stores a desired state with the routes /lookup/ and /steps/ of h.example, and the JSON of
 * more_routes. */
void ps_put_config (PsCluster *cluster, int version, const char *more_routes);
/* Starts an instance, waits until it is ready and returns its index. */
size_t ps_start_instance (PsCluster *cluster);
/* Like ps_start_instance, but does not wait until the instance is ready. */
size_t ps_spawn_instance (PsCluster *cluster);
/* Kills the instance if it runs, starts it with the same settings and waits until it is ready. */
void ps_restart_instance (PsCluster *cluster, size_t index);
bool ps_is_ready (PsCluster *cluster, size_t instance);
/* The server of the store that this instance uses. */
const SiServer *ps_store_server (const PsCluster *cluster, size_t instance);
/* Sends a call with this id. ps_call also waits for the response, which is then in the cluster. */
LhFetch *ps_start_call (PsCluster *cluster,
                        size_t instance,
                        const char *method,
                        const char *path,
                        const char *id,
                        const char *body);
void ps_call (PsCluster *cluster,
              size_t instance,
              const char *method,
              const char *path,
              const char *id,
              const char *body);
/* A step with one group and a scorer for each item; the caller frees it. */
char *ps_make_batch (int n_items);
void ps_submit (PsCluster *cluster, size_t instance, const char *id, int n_items);
/* The first page; NULL when the request is rejected. */
struct json_object *ps_read_results (PsCluster *cluster, size_t instance, const char *id);
/* Number of results listed; -1 when the request is rejected. */
int64_t ps_count_listed (PsCluster *cluster, size_t instance, const char *id);
/* Asserts that each item is listed exactly once, complete, with the score of its own scorer
 * call. */
void ps_assert_all_listed (PsCluster *cluster, size_t instance, const char *id, int n_items);
void ps_read_metrics (PsCluster *cluster, size_t instance);
double ps_read_metric (PsCluster *cluster, size_t instance, const char *name);
/* Index of the instance that runs a batch; n_instances when there is none. */
size_t ps_find_owner (PsCluster *cluster);
/* Number of samples started on all engines. */
size_t ps_count_engine_runs (const PsCluster *cluster);
/* How often the text occurs in the instance's log. */
int ps_count_logged (const PsCluster *cluster, size_t instance, const char *text);

#endif

#ifndef PT_SHARED_H
#define PT_SHARED_H

#include "pt-process.h"
#include "pt-relay.h"
#include "si-control-plane.h"
#include "si-endpoint.h"

#include "lb-clock.h"
#include "lh-fetch.h"

#include <criterion/criterion.h>

/* Helpers for tests of instances that share a platform. The instances are real processes; the
 * test process runs stand-ins for the store, the endpoints, the control plane and the callers in
 * one event loop. */

#define PS_MAX_INSTANCES 3
#define PS_N_ENGINES 3
#define PS_WAIT_TIMEOUT (60 * LB_SEC) /* limit of one wait; long enough for a busy machine */

typedef struct
{
  PtProcess process;
  PtRelay store_relay; /* proxy that carries all traffic of the instance to the store */
  LbName name;
  LbName address;         /* serves callers; IP:PORT */
  LbName metrics_address; /* serves /metrics; IP:PORT */
} PsInstance;

typedef struct
{
  struct event_base *base;
  LhPool *pool;
  char folder[64]; /* temporary; settings, address files and logs of the instances */
  SiRowStore store;
  SiEndpoint engines[PS_N_ENGINES]; /* endpoints of service "engines" */
  SiEndpoint lookup;                /* endpoint of service "lookups" */
  SiControlPlane control_plane;
  bool has_duties; /* enables usage reports and autoscaling; to be set before the instances start */
  int drain_ms;    /* drain time, to be set before the instances start; 0: 300 ms */
  double grace_s;  /* time from SIGTERM to the kill that the instances are told; 0: none */
  int request_read_ms; /* limit for reading a request, before the instances start; 0: default */
  int keep_ended_s; /* retention of ended batches, to be set before the instances start; 0: 5 s */
  PsInstance instances[PS_MAX_INSTANCES];
  size_t n_instances;
  /* organisations in the desired state, as text ", NAME: VALUE"; NULL: none */
  const char *organisations_json;
  /* Headers that ps_start_call and ps_call_and_wait send. */
  const char *api_key;              /* value of header Api-Key; NULL: not sent */
  const char *second_api_key;       /* value of a second Api-Key header; NULL: not sent */
  const char *claimed_organisation; /* value of a forged header Tenant; NULL: not sent */
  int n_responses;                  /* number of ended calls and metrics requests */
  /* The latest response to a call or to a metrics request. */
  LbErrorCode response_error; /* LB_OK: the response is complete */
  int response_status;
  char *response_body;
  char retry_after[32];  /* header Retry-After; empty: absent */
  char server_stamp[64]; /* header Server-Stamp; empty: absent */
} PsCluster;

/* Runs the event loop until the condition is true; fails the test if that takes longer than
 * PS_WAIT_TIMEOUT. */
#define PS_WAIT_UNTIL(cluster, condition)                                                          \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + PS_WAIT_TIMEOUT;                                       \
      bool met_ = false;                                                                           \
      while (!(met_ = (condition)) && lb_clock_monotonic () < end_)                                \
        ps_run_event_loop_once (cluster);                                                          \
      cr_assert (met_, "timed out waiting for: %s", #condition);                                   \
    }                                                                                              \
  while (0)

void ps_cluster_init (PsCluster *cluster);
void ps_cluster_clear (PsCluster *cluster);
/* Handles pending events, polls the instances' processes and sleeps for 0.5 ms. */
void ps_run_event_loop_once (PsCluster *cluster);
/* Writes the desired state to the store: routes /lookup/ and /steps/ of host h.example, then
 * more_routes (JSON: ", {...}" for each route, or ""). */
void ps_put_desired_state (PsCluster *cluster, int version, const char *more_routes);
/* Starts an instance, waits until it is ready and returns its index in cluster->instances. The
 * parameter `instance` of the other functions is that index. */
size_t ps_start_instance (PsCluster *cluster);
/* Like ps_start_instance, but does not wait until the instance is ready, only until it has written
 * its address file. */
size_t ps_spawn_instance (PsCluster *cluster);
/* Kills the instance if it runs, starts it again with the same settings and waits until it is
 * ready. */
void ps_restart_instance (PsCluster *cluster, size_t index);
bool ps_is_instance_ready (PsCluster *cluster, size_t instance);
/* Returns the store's server that the instance connects to: the first server for instance 0, the
 * second one for all others. */
const SiServer *ps_get_store_server (const PsCluster *cluster, size_t instance);
/* Sends a call with this Attempt-Id. The response is copied to the cluster when it arrives. */
LhFetch *ps_start_call (PsCluster *cluster,
                        size_t instance,
                        const char *method,
                        const char *path,
                        const char *id,
                        const char *body);
/* Like ps_start_call, but waits for the response. */
void ps_call_and_wait (PsCluster *cluster,
                       size_t instance,
                       const char *method,
                       const char *path,
                       const char *id,
                       const char *body);
/* Returns the JSON of a batch: n_items samples in one group, each with a scorer call. The caller
 * frees it. */
char *ps_make_batch_json (int n_items);
/* Submits a batch of n_items samples with this id and waits for the response. */
void ps_submit_batch (PsCluster *cluster, size_t instance, const char *id, int n_items);
/* Starts two instances and submits batch "b1" of 30 slow samples to instance 0; returns when 3
 * samples have results. */
void ps_start_two_instances_with_batch (PsCluster *cluster);
/* Returns the first page of the batch's results; NULL if the request was rejected. The caller
 * releases it. */
struct json_object *
ps_read_first_results_page (PsCluster *cluster, size_t instance, const char *id);
/* Returns the number of results on the first page; -1 if the request was rejected. */
int64_t ps_count_results_on_first_page (PsCluster *cluster, size_t instance, const char *id);
/* Asserts that the batch's results contain each of its n_items exactly once, with the complete text
 * and with the score that the scorer call of that item returned. */
void ps_assert_each_item_has_one_result (PsCluster *cluster,
                                         size_t instance,
                                         const char *id,
                                         int n_items);
/* Requests /metrics of the instance; the text is then in cluster->response_body. */
void ps_fetch_metrics (PsCluster *cluster, size_t instance);
/* Requests /metrics and returns the value of one metric; 0: the metric is absent. */
double ps_read_metric (PsCluster *cluster, size_t instance, const char *name);
/* Returns the index of the instance that owns exactly one batch; n_instances: none does. */
size_t ps_find_batch_owner (PsCluster *cluster);
/* Returns the number of sample streams, new or resumed, that all engines have started. */
size_t ps_count_started_sample_streams (const PsCluster *cluster);
/* Returns how often the text occurs in the instance's log, which it prints to standard output. */
int ps_count_text_in_log (const PsCluster *cluster, size_t instance, const char *text);

#endif

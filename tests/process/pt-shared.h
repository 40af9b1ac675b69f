#ifndef PT_SHARED_H
#define PT_SHARED_H

#include "pt-process.h"
#include "pt-relay.h"
#include "si-control-plane.h"
#include "si-endpoint.h"

#include "lb-clock.h"
#include "lh-fetch.h"

#include <criterion/criterion.h>

/* Instances on a shared platform as real processes; the store, the engines and the callers are
 * played by the test itself, in one loop. */

#define PS_MAX_INSTANCES 3
#define PS_N_ENGINES 3
#define PS_WAIT_TIMEOUT (60 * LB_SEC) /* of any wait: generous, since the machine may be busy */

typedef struct
{
  PtProcess process;
  PtRelay to_store;
  LbName name;
  LbName address;
  LbName metrics_address;
} PsInstance;

typedef struct
{
  struct event_base *base;
  LhPool *pool;
  char folder[64];
  SiRowStore rows;
  SiEndpoint engines[PS_N_ENGINES];
  SiEndpoint lookup;
  SiControlPlane
      cloud; /* the platform beside its store; instances call it where has_duties is set */
  bool has_duties;
  PsInstance instances[PS_MAX_INSTANCES];
  size_t n_instances;
  const char *organisations; /* more of the desired state; NULL: it declares none */
  /* what callers bring */
  const char *key;      /* NULL: none */
  const char *more_key; /* a second one in the same call; NULL: none */
  const char *claims;   /* the organisation that they say they are; NULL: they don't */
  /* the last answer to a caller */
  int answers;
  LbErrorCode failure;
  int status;
  char *body;
  char retry_after[32];
  char stamp[64];
} PsCluster;

#define PS_WAIT_UNTIL(w, condition)                                                                \
  do                                                                                               \
    {                                                                                              \
      LbTime end_ = lb_clock_monotonic () + PS_WAIT_TIMEOUT;                                       \
      bool met_ = false;                                                                           \
      while (!(met_ = (condition)) && lb_clock_monotonic () < end_)                                \
        ps_run_loop_once (w);                                                                      \
      cr_assert (met_, "never came true: %s", #condition);                                         \
    }                                                                                              \
  while (0)

void ps_cluster_init (PsCluster *w);
void ps_cluster_clear (PsCluster *w);
/* One turn of the loop that plays the store, the endpoints and the callers. */
void ps_run_loop_once (PsCluster *w);
/* The desired state: routes /lookup/ and /steps/ of h.example, and what more_routes adds. */
void ps_put_config (PsCluster *w, int version, const char *more_routes);
/* Returns its index, once it is ready. */
size_t ps_start_instance (PsCluster *w);
/* The same without waiting until it is ready. */
size_t ps_spawn_instance (PsCluster *w);
/* Kills it where it runs, and starts it anew with the same settings. */
void ps_restart_instance (PsCluster *w, size_t index);
bool ps_is_ready (PsCluster *w, size_t instance);
/* The way to the store that the instance has. */
const SiServer *ps_store_server (const PsCluster *w, size_t instance);
/* One call under the id; ps_call waits for its answer, which then stands in the world. */
LhFetch *ps_start_call (PsCluster *w,
                        size_t instance,
                        const char *method,
                        const char *path,
                        const char *id,
                        const char *body);
void ps_call (PsCluster *w,
              size_t instance,
              const char *method,
              const char *path,
              const char *id,
              const char *body);
/* A step of one group with a scorer for each item; the caller frees it. */
char *ps_make_batch (int n_items);
void ps_submit (PsCluster *w, size_t instance, const char *id, int n_items);
/* The first page; NULL when it is refused. */
struct json_object *ps_read_results (PsCluster *w, size_t instance, const char *id);
/* -1 when it is refused. */
int64_t ps_count_listed (PsCluster *w, size_t instance, const char *id);
/* Each item stands exactly once, whole, with a score of its own scorer call. */
void ps_assert_all_listed (PsCluster *w, size_t instance, const char *id, int n_items);
void ps_read_metrics (PsCluster *w, size_t instance);
double ps_read_metric (PsCluster *w, size_t instance, const char *name);
/* The instance that runs a batch; n_instances when there is none. */
size_t ps_find_owner (PsCluster *w);
/* Texts begun at all engines together. */
size_t ps_count_engine_runs (const PsCluster *w);
/* How often the instance's log holds the text. */
int ps_count_logged (const PsCluster *w, size_t instance, const char *text);

#endif

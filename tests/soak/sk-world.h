#ifndef SK_WORLD_H
#define SK_WORLD_H

#include "lh-fetch.h"
#include "pt-process.h"
#include "pt-relay.h"
#include "si-control-plane.h"
#include "si-endpoint.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

/* The environment of a fault soak. The instances are real lentilspindled processes on loopback; the
 * shared store, engines, a plain service, callers and a trainer run in this process. Invariants are
 * checked from what callers and endpoints observe while faults are injected from outside. */

#define SK_MAX_INSTANCES 200
#define SK_MAX_ENGINES 64
#define SK_MAX_ENDPOINTS 128 /* engines, services and the replacements of drained engines */
#define SK_HOST "h.example"
#define SK_MODEL "m"

typedef struct SkWorld SkWorld;
struct SkOneShots;
struct SkCrasher;

/* An instance: its process, and the relay through which it reaches the store. */
typedef struct
{
  SkWorld *world;
  size_t index;
  LbName name;
  PtProcess process;
  PtRelay store_relay;
  LbName address; /* of its listener for callers; empty until read from its address file */
  LbName metrics_address;
  int n_starts;
  bool paused;                 /* by SIGSTOP */
  bool stopping;               /* SIGTERM was sent */
  LbTime restart_at;           /* LB_TIME_NEVER: no restart is due */
  LbTime resume_at;            /* LB_TIME_NEVER: not paused */
  LbTime heal_at;              /* end of the store relay's fault; LB_TIME_NEVER: no fault */
  LbTime sigterm_at;           /* when SIGTERM was sent */
  LbTime last_disturbed_at;    /* last start, signal, exit or fault */
  int64_t newest_served_route; /* newest added route that this process served; 0: none */
} SkInstance;

/* An engine or a plain service, and the relay through which instances reach it. */
typedef struct
{
  SkWorld *world;
  SiEndpoint standin;
  PtRelay relay;
  bool is_used;
  bool is_down;          /* its process has ended or its machine has crashed */
  LbTime heal_at;        /* end of the relay's fault or of slow streaming; LB_TIME_NEVER: neither */
  LbTime exit_at;        /* exit caused by a fatal request; LB_TIME_NEVER: no exit is due */
  LbTime return_at;      /* restart after a crash or exit; LB_TIME_NEVER: up, or down for good */
  LbTime draining_since; /* 0: not draining */
} SkEndpoint;

/* A live request as observed by the service and by its caller. */
typedef struct
{
  LbName id;  /* key */
  int n_runs; /* at the service */
  bool is_idempotent;
  bool reported_not_run;
  UT_hash_handle hh;
} SkRequest;

/* The two organisations and their API keys. */
#define SK_CALLER_ORGANISATION "post"
#define SK_CALLER_API_KEY "key-of-post"
#define SK_TRAINER_ORGANISATION "mill"
#define SK_TRAINER_API_KEY "key-of-mill"

struct SkWorld
{
  struct event_base *base;
  LhPool *pool;
  gsl_rng *fault_rng; /* kinds and times of faults: the same sequence for a seed */
  gsl_rng *rng;       /* everything else */
  char directory[64]; /* of settings and logs */
  SiRowStore store;
  SiControlPlane control_plane; /* receives usage reports */
  SkInstance instances[SK_MAX_INSTANCES];
  size_t n_instances;
  SkEndpoint endpoints[SK_MAX_ENDPOINTS];
  size_t n_endpoints;
  int n_engines_added; /* for unique names */
  SkRequest *requests;
  int64_t highest_fence;        /* fencing number of the orders that engines received */
  LbTime highest_fence_at;      /* when it was first used */
  struct SkOneShots *one_shots; /* notified of runs at engines; NULL: none */
  struct SkCrasher *crasher;    /* notified of fatal requests; NULL: none */
  LbName trainer_batch;         /* id of the trainer's current batch */
  int64_t config_version;
  int64_t n_added_routes;         /* routes r1, r2, ... that configuration changes added */
  LbTime config_put_at;           /* when the newest configuration was written */
  int64_t weight_version;         /* newest weight version that the trainer announced */
  LbTime store_heal_at;           /* LB_TIME_NEVER: the store works */
  LbTime store_last_disturbed_at; /* last time that the store had a fault */
  LbTime last_disturbed_at;       /* last fault of an instance, a connection or an endpoint */
  LbTime started_at;
  bool verbose;
  int n_violations;
  uint64_t seed;
  /* totals that are printed for each seed */
  int64_t n_calls, n_served, n_refused, n_failed, n_batches, n_results, n_faults;
};

void sk_world_init (SkWorld *world, uint64_t seed, size_t n_instances, size_t n_engines);
/* keep_logs: keeps the directory with settings and logs. */
void sk_world_clear (SkWorld *world, bool keep_logs);
/* Runs the event loop once; then restarts, resumes and heals what is due and checks processes. */
void sk_world_run_once (SkWorld *world);

/* Counts and prints a violated invariant. */
void sk_fail (SkWorld *world, const char *invariant, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/* Logs a line to standard error if the run is verbose. */
void sk_log (const SkWorld *world, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/* faults and changes */
void sk_instance_start (SkInstance *instance);
void sk_instance_kill (SkInstance *instance, LbTime restart_after);
void sk_instance_pause (SkInstance *instance, LbTime duration);
/* Requests a graceful shutdown with SIGTERM. */
void sk_instance_stop (SkInstance *instance);
/* NULL: no room for another endpoint. */
SkEndpoint *sk_engine_add (SkWorld *world);
/* Machine crash: packets to it are lost without an answer. LB_TIME_NEVER: it never returns. */
void sk_endpoint_crash (SkEndpoint *endpoint, LbTime return_after);
/* Process exit: its machine refuses connections. LB_TIME_NEVER: it never returns. */
void sk_endpoint_exit (SkEndpoint *endpoint, LbTime return_after);
void sk_endpoint_drain (SkEndpoint *endpoint);
/* Writes a configuration with the routes added so far to the store. */
void sk_config_put (SkWorld *world);
void sk_weight_version_put (SkWorld *world, int64_t version);

/* Sends a request of the trainer's organisation to the batch API, on a new connection. */
LhFetch *sk_call_batch_api (SkInstance *instance,
                            const char *method,
                            const char *path,
                            const char *id,
                            const char *body,
                            void (*on_done) (LhFetch *fetch, const LhResult *result, void *user),
                            void *user);

/* queries */
bool sk_instance_is_running (const SkInstance *instance);
/* The first running instance whose log says that it runs the trainer's batch; NULL: none. */
SkInstance *sk_find_batch_owner (SkWorld *world);
/* Whether neither the instance nor the store was disturbed since then. */
bool sk_instance_was_undisturbed (const SkInstance *instance, LbTime since);
SkRequest *sk_request_find (SkWorld *world, const char *id);
SkRequest *sk_request_find_or_add (SkWorld *world, const char *id);
/* A random number from low to high, both included. */
int64_t sk_random_int (SkWorld *world, int64_t low, int64_t high);

#endif

#ifndef SK_WORLD_H
#define SK_WORLD_H

#include "lh-fetch.h"
#include "pt-process.h"
#include "pt-relay.h"
#include "si-control-plane.h"
#include "si-endpoint.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

/* The environment of the fault soak test. The instances are real lentilspindled processes on the
 * loopback interface. The shared store, engines, services, callers and trainers are simulated in
 * the test process, which injects faults and checks invariants on what callers and endpoints
 * observe. */

#define SK_MAX_INSTANCES 200
#define SK_MAX_ENGINES 64
#define SK_MAX_ENDPOINTS 128 /* includes the replacements of drained engines */
#define SK_HOST "h.example"
#define SK_MODEL "m"

typedef struct SkWorld SkWorld;
struct SkOneShotTrainers;
struct SkCrasher;
struct SkOddEndpoint;

/* An instance, with its process and the relay through which it reaches the store. */
typedef struct
{
  SkWorld *world;
  size_t index;
  LbName name;
  PtProcess process;
  PtRelay store_relay;
  LbName address; /* address for callers; empty until it is read from the address file */
  LbName metrics_address;
  int n_process_starts;
  bool paused;              /* SIGSTOP was sent */
  bool stopping;            /* SIGTERM was sent */
  LbTime restart_at;        /* time of the next restart; LB_TIME_NEVER: none */
  LbTime resume_at;         /* end of the pause; LB_TIME_NEVER: not paused */
  LbTime heal_at;           /* end of the store relay's fault; LB_TIME_NEVER: no fault */
  LbTime sigterm_at;        /* time when SIGTERM was sent */
  LbTime last_disturbed_at; /* time of the last start, signal, exit or fault */
  /* number of the newest of the routes r1, r2, ... that the instance has served; 0: none */
  int64_t newest_served_route;
} SkInstance;

/* An engine or a plain service, and the relay through which instances reach it. */
typedef struct
{
  SkWorld *world;
  SiEndpoint standin;
  PtRelay relay;
  bool is_used;
  bool is_down;          /* the process has ended or the machine has crashed */
  LbTime heal_at;        /* end of the relay's fault or of slow streaming; LB_TIME_NEVER: neither */
  LbTime exit_at;        /* time of the exit caused by a fatal request; LB_TIME_NEVER: none */
  LbTime return_at;      /* time of the restart after a crash or exit; LB_TIME_NEVER: none */
  LbTime draining_since; /* time when the endpoint began to drain; 0: not draining */
  LbTime usual_event_interval; /* time between two events of a stream that is not slowed down */
} SkEndpoint;

/* A request of a simulated caller, as observed by the service and by the caller. */
typedef struct
{
  LbName id;  /* key of the hash table */
  int n_runs; /* number of times that a service started the request */
  bool is_idempotent;
  bool reported_not_run;
  UT_hash_handle hh;
} SkRequest;

/* The organisations of the callers and of the trainers, with their API keys. */
#define SK_CALLER_ORGANISATION "post"
#define SK_CALLER_API_KEY "key-of-post"
#define SK_TRAINER_ORGANISATION "mill"
#define SK_TRAINER_API_KEY "key-of-mill"

struct SkWorld
{
  struct event_base *base;
  LhPool *pool;
  gsl_rng *fault_rng; /* draws the kinds and times of faults, which depend only on the seed */
  gsl_rng *rng;       /* draws all other random values */
  char directory[64]; /* path of the directory with settings and logs */
  SiRowStore store;
  SiControlPlane control_plane; /* receives usage reports */
  SkInstance instances[SK_MAX_INSTANCES];
  size_t n_instances;
  SkEndpoint endpoints[SK_MAX_ENDPOINTS];
  size_t n_endpoints;
  int n_engines_added; /* number of engines added in total, for unique names */
  SkRequest *requests;
  int64_t highest_fencing_token;   /* highest fencing token of the orders that engines received */
  LbTime highest_fencing_token_at; /* time when highest_fencing_token was first used */
  struct SkOneShotTrainers *one_shot_trainers; /* notified when engines start an item; NULL: none */
  struct SkCrasher *crasher;          /* notified when services start a fatal request; NULL: none */
  struct SkOddEndpoint *odd_endpoint; /* started by a fault */
  LbName trainer_batch;               /* id of the trainer's current batch */
  int64_t config_version;
  int64_t n_added_routes; /* number of routes r1, r2, ... that configuration changes added */
  LbTime config_put_at;   /* time when the newest configuration was written to the store */
  int64_t weight_version; /* newest weight version that the trainer announced */
  /* index of the instance that the rolling stop stops next; n_instances: no rolling stop */
  size_t next_rolling_stop;
  LbTime store_heal_at;           /* end of the store's fault; LB_TIME_NEVER: the store works */
  LbTime store_last_disturbed_at; /* time when the store last had a fault */
  LbTime last_disturbed_at; /* time of the last fault of an instance, a connection or an endpoint */
  LbTime started_at;
  size_t n_fault_kinds; /* faults are drawn from the first kinds of sk_faults */
  bool verbose;
  int n_violations;
  uint64_t seed;
  /* totals of the run, which are printed for each seed */
  int64_t n_calls, n_served, n_refused, n_failed, n_batches, n_results, n_faults;
};

void sk_world_init (SkWorld *world, uint64_t seed, size_t n_instances, size_t n_engines);
/* keep_logs: the directory with settings and logs is not deleted. */
void sk_world_clear (SkWorld *world, bool keep_logs);
/* Runs one pass of the event loop, then executes the restarts, resumes and repairs that are due and
 * checks for processes that have ended. */
void sk_world_run_event_loop_once (SkWorld *world);

/* Counts and prints a violated invariant. */
void sk_report_violation (SkWorld *world, const char *invariant, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/* Logs a line to standard error if the run is verbose. */
void sk_log (const SkWorld *world, const char *format, ...) __attribute__ ((format (printf, 2, 3)));

/* Commands: functions that inject faults or change the environment. */
void sk_instance_start (SkInstance *instance);
void sk_instance_kill (SkInstance *instance, LbTime restart_after);
void sk_instance_pause (SkInstance *instance, LbTime duration);
/* Requests a graceful shutdown with SIGTERM. */
void sk_instance_stop (SkInstance *instance);
/* Returns NULL if there are SK_MAX_ENDPOINTS endpoints already. */
SkEndpoint *sk_engine_add (SkWorld *world);
/* Simulates a machine crash: packets to the endpoint are lost without an answer. return_after: time
 * until the restart; LB_TIME_NEVER: no restart. */
void sk_endpoint_crash (SkEndpoint *endpoint, LbTime return_after);
/* Simulates the exit of the endpoint's process: connections are refused. return_after: time until
 * the restart; LB_TIME_NEVER: no restart. */
void sk_endpoint_exit (SkEndpoint *endpoint, LbTime return_after);
void sk_endpoint_drain (SkEndpoint *endpoint);
/* Writes a configuration with all added routes to the store. */
void sk_store_put_config (SkWorld *world);
void sk_store_put_weight_version (SkWorld *world, int64_t version);

/* Sends a request of the trainer's organisation to the batch API, on a new connection. */
LhFetch *sk_call_batch_api (SkInstance *instance,
                            const char *method,
                            const char *path,
                            const char *id,
                            const char *body,
                            void (*on_done) (LhFetch *fetch, const LhResult *result, void *user),
                            void *user);

/* Queries of instances, requests of simulated callers and random numbers. */
bool sk_instance_is_running (const SkInstance *instance);
/* Returns true if the instance runs, is not shutting down, and neither the instance nor the
 * store was disturbed (start, signal, exit or fault) after `since`. */
bool sk_instance_was_undisturbed_since (const SkInstance *instance, LbTime since);
SkRequest *sk_request_find (SkWorld *world, const char *id);
SkRequest *sk_request_find_or_add (SkWorld *world, const char *id);
/* Returns a random number from low to high, both included. */
int64_t sk_random_int (SkWorld *world, int64_t low, int64_t high);

#endif

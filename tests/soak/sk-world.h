#ifndef SK_WORLD_H
#define SK_WORLD_H

#include "lh-fetch.h"
#include "pt-process.h"
#include "pt-relay.h"
#include "si-control-plane.h"
#include "si-endpoint.h"

#include <gsl/gsl_rng.h>
#include <uthash.h>

/* The real program as separate processes on loopback, and in this process all that surrounds it:
 * the shared store, engines, a plain service, callers, a trainer. What callers and endpoints see is
 * checked against the promises while faults come from outside. */

#define SK_MAX_INSTANCES 200
#define SK_MAX_ENGINES 64
#define SK_MAX_ENDPOINTS 128 /* engines, services, and those that take the place of others */
#define SK_HOST "h.example"
#define SK_MODEL "m"

typedef struct SkWorld SkWorld;
struct SkOneShots;
struct SkCrasher;

/* An instance: a process, and its own way to the store. */
typedef struct
{
  SkWorld *world;
  size_t index;
  LbName name;
  PtProcess process;
  PtRelay to_store;
  LbName address; /* empty: it has not said it yet */
  LbName metrics_address;
  int starts;
  bool paused;
  bool stopping;       /* it was sent SIGTERM */
  LbTime restart_at;   /* LB_TIME_NEVER: it runs */
  LbTime resume_at;    /* LB_TIME_NEVER: it is not paused */
  LbTime heal_at;      /* of its way to the store; LB_TIME_NEVER: it is well */
  LbTime stopped_at;   /* when it was sent SIGTERM */
  LbTime disturbed_at; /* the last time that anything was done to it */
  int64_t route_seen;  /* newest added route that this process has served; 0: none */
} SkInstance;

/* An engine or a plain service, and the way to it. */
typedef struct
{
  SkWorld *world;
  SiEndpoint sampler;
  PtRelay way;
  bool is_used;
  bool is_gone;         /* its process has ended */
  LbTime heal_at;       /* of the way or of its pace; LB_TIME_NEVER: all is well */
  LbTime ends_at;       /* it has begun a request that ends it; LB_TIME_NEVER: it has not */
  LbTime return_at;     /* of one that crashed; LB_TIME_NEVER: it is there, or gone for good */
  LbTime leaving_since; /* 0: it does not leave */
} SkEndpoint;

/* What became of one live request. */
typedef struct
{
  LbName id; /* key */
  int runs;  /* at the service */
  bool repeatable;
  bool said_not_run;
  UT_hash_handle hh;
} SkRequest;

/* Two organisations and their keys. */
#define SK_CALLERS "post"
#define SK_CALLERS_KEY "key-of-post"
#define SK_TRAINER "mill"
#define SK_TRAINER_KEY "key-of-mill"

struct SkWorld
{
  struct event_base *base;
  LhPool *pool;
  gsl_rng *plan;   /* kinds and times of the faults, the same for a seed */
  gsl_rng *rng;    /* all else */
  char folder[64]; /* of settings and logs */
  SiRowStore rows;
  SiControlPlane cloud; /* takes reports of usage */
  SkInstance instances[SK_MAX_INSTANCES];
  size_t n_instances;
  SkEndpoint endpoints[SK_MAX_ENDPOINTS];
  size_t n_endpoints;
  int n_engines_made; /* numbers their names */
  SkRequest *requests;
  int64_t highest_fence;        /* of the orders that engines got */
  LbTime fence_at;              /* when it was seen first */
  struct SkOneShots *one_shots; /* that hear of runs; NULL: none yet */
  struct SkCrasher *crasher;    /* the same */
  LbName batch;                 /* that the trainer waits for */
  int64_t config_version;
  int64_t n_routes; /* that were added */
  LbTime config_at; /* when the newest one was accepted */
  int64_t named_version;
  LbTime store_heal_at;      /* LB_TIME_NEVER: the store is well */
  LbTime store_disturbed_at; /* the last time that it was not */
  LbTime disturbed_at;       /* the last time that anything was */
  LbTime started;
  bool verbose;
  int failures;
  uint64_t seed;
  /* what was done, for the report */
  int64_t n_calls, n_served, n_refused, n_failed, n_batches, n_results, n_faults;
};

void sk_world_init (SkWorld *world, uint64_t seed, size_t n_instances, size_t n_engines);
/* keep_logs: the folder with settings and logs stays. */
void sk_world_clear (SkWorld *world, bool keep_logs);
/* One turn of the loop; restarts, resumes and heals what is due. */
void sk_world_turn (SkWorld *world);

/* A promise is broken. */
void sk_fail (SkWorld *world, const char *promise, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
/* One line of the story, on standard error; only when it is wanted. */
void sk_tell (const SkWorld *world, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* commands on parts of the world */
void sk_instance_start (SkInstance *instance);
void sk_instance_kill (SkInstance *instance, LbTime restart_after);
void sk_instance_pause (SkInstance *instance, LbTime time);
void sk_instance_stop (SkInstance *instance);
SkEndpoint *sk_engine_add (SkWorld *world);
/* Its machine is gone, and answers nothing. */
void sk_endpoint_crash (SkEndpoint *endpoint, LbTime return_after);
/* Its process ends; the machine refuses connections. */
void sk_endpoint_end (SkEndpoint *endpoint, LbTime return_after);
void sk_endpoint_leave (SkEndpoint *endpoint);
void sk_config_put (SkWorld *world);
void sk_version_put (SkWorld *world, int64_t version);

/* A call about batches, on a new connection. */
LhFetch *sk_call_batches (SkInstance *instance,
                          const char *method,
                          const char *path,
                          const char *id,
                          const char *body,
                          void (*on_done) (LhFetch *fetch, const LhResult *result, void *user),
                          void *user);

/* queries */
bool sk_instance_runs (const SkInstance *instance);
/* The instance that wrote last that it runs the trainer's batch; NULL: none has. */
SkInstance *sk_batch_owner (SkWorld *world);
/* Whether the instance was left alone since then, and the store too. */
bool sk_instance_is_calm (const SkInstance *instance, LbTime since);
SkRequest *sk_request_find (SkWorld *world, const char *id);
SkRequest *sk_request_ensure (SkWorld *world, const char *id);
/* A number from low to high, both included. */
int64_t sk_draw (SkWorld *world, int64_t low, int64_t high);

#endif

#ifndef LC_RESOURCES_H
#define LC_RESOURCES_H

#include "lc-types.h"

struct json_object;

typedef enum
{
  LC_RESOURCE_POOL,
  LC_RESOURCE_SUBSCRIPTION,
  LC_RESOURCE_VERSION_BOUND,
  LC_RESOURCE_ENDPOINT,
  LC_N_RESOURCE_KINDS
} LcResourceKind;

/* Engines that serve one model to live callers and trainers. */
typedef struct
{
  LbName name;
  LbName model;
  int64_t weight_version;   /* to load on all engines; 0: the newest of the weight store */
  double live_reserve;      /* share of each engine's concurrency kept for live calls, 0..0.9 */
  int64_t roll_out_percent; /* most engines that load weights at once, 1..100 */
  int64_t queue_limit;      /* waiting requests per instance */
} LcPool;

typedef enum
{
  LC_PRESET_BALANCED,
  LC_PRESET_IDLE_TIME, /* weighs idle time of trainers more */
  LC_PRESET_STALENESS  /* weighs staleness of samples more */
} LcPreset;

/* Use of a pool by a trainer. */
typedef struct
{
  LbName name;
  LbName pool;
  double share;        /* weight among the trainers of the pool */
  int preset;          /* LcPreset */
  double idle_weight;  /* 0 (only staleness counts) to 1 (only idle time counts), from the preset */
  double hedge_budget; /* share of a step's tokens that hedges may waste, 0..0.5 */
  /* Before each chunk is sent, its samples are recorded as delivered in the step's row of the store
   * (the ledger); the trainer sends no cursor of the samples that it has. */
  bool strict;
  LbName scorer; /* service that scores samples before delivery; empty: none */
} LcSubscription;

/* Largest staleness of a sample when it is delivered to its trainer. */
typedef struct
{
  LbName name;
  LbName subscription;
  /* Number of weight versions by which the oldest tokens of the sample may be behind the trainer's
   * version. */
  int64_t max_lag;
} LcVersionBound;

typedef enum
{
  LC_ENDPOINT_ENGINE,
  LC_ENDPOINT_SERVICE
} LcEndpointKind;

/* Engine of a pool, or address of a plain service. */
typedef struct
{
  LbName name;
  int kind;       /* LcEndpointKind */
  LbName pool;    /* SERVICE: name of the service */
  LbName address; /* "127.0.0.1:9000" */
  LbName data_centre;
  bool leaving;
  LbName service;      /* shared platform: service of the engine */
  bool is_spot;        /* shared platform: cheaper, may be reclaimed at any time */
  bool checks_fence;   /* rejects orders with an old fencing number */
  int64_t concurrency; /* requests that the endpoint can run at once */
  /* concurrency comes from the endpoint itself: a refusal below it means that the endpoint is busy
   * with other work, for example an order, and does not lower the estimate of its capacity. */
  bool reports_concurrency;
} LcEndpointMember;

/* Complete accepted configuration; immutable once built. */
typedef struct
{
  int64_t revision;
  LcPool *pools;
  size_t n_pools;
  LcSubscription *subscriptions;
  size_t n_subscriptions;
  LcVersionBound *bounds;
  size_t n_bounds;
  LcEndpointMember *endpoints;
  size_t n_endpoints;
} LcResourceSet;

/* Builds and validates a set from {"revision": n, "resources": [{"kind", "name", ...}]}: types,
 * ranges, unknown keys, duplicate names and references. Returns NULL and an error with file and key
 * path for the first fault. */
LcResourceSet *
lc_resource_set_from_json (struct json_object *object, const char *file, LbError *error);
struct json_object *lc_resource_set_to_json (const LcResourceSet *set);
LcResourceSet *lc_resource_set_copy (const LcResourceSet *set);
void lc_resource_set_free (LcResourceSet *set);

const char *lc_resource_kind_name (LcResourceKind kind);
bool lc_resource_kind_from_name (const char *name, LcResourceKind *kind);

const LcPool *lc_resource_set_find_pool (const LcResourceSet *set, const char *name);
const LcSubscription *lc_resource_set_find_subscription (const LcResourceSet *set,
                                                         const char *name);
const LcEndpointMember *lc_resource_set_find_endpoint (const LcResourceSet *set, const char *name);
/* Smallest max_lag of the subscription's bounds; INT64_MAX if it has none. */
int64_t lc_resource_set_max_lag (const LcResourceSet *set, const char *subscription);

#endif

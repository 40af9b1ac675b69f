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

/* A rollout pool: engines that serve one model to live callers and trainers. */
typedef struct
{
  LbName name;
  LbName model;
  int64_t weight_version;   /* version wanted on all engines; 0: the newest of the weight store */
  double live_reserve;      /* share of each engine's concurrency kept for live calls, 0..0.9 */
  int64_t roll_out_percent; /* most engines in a swap at once, 1..100 */
  int64_t queue_limit;      /* waiting requests per instance */
} LcPool;

typedef enum
{
  LC_PRESET_BALANCED,
  LC_PRESET_IDLE_TIME, /* Kurunegala: trainer idle time weighs more */
  LC_PRESET_STALENESS  /* Hoa Sen: staleness weighs more */
} LcPreset;

/* A trainer's claim on a pool. */
typedef struct
{
  LbName name;
  LbName pool;
  double share;        /* weight among trainers of the pool */
  int preset;          /* LcPreset */
  double idle_weight;  /* 0 (only staleness counts) .. 1 (only idle time); set by the preset */
  double hedge_budget; /* share of a step's tokens that hedges may waste, 0..0.5 */
  bool strict;         /* no cursor: the ledger is written before each chunk is sent */
  LbName scorer;       /* service that scores samples before delivery; empty: none */
} LcSubscription;

/* How old a sample may be at delivery to its trainer. */
typedef struct
{
  LbName name;
  LbName subscription;
  int64_t max_lag; /* trainer's version minus the oldest span's version, in versions */
} LcVersionBound;

typedef enum
{
  LC_ENDPOINT_ENGINE,
  LC_ENDPOINT_SERVICE
} LcEndpointKind;

/* An endpoint's membership: an engine in a pool or an address of a plain service. */
typedef struct
{
  LbName name;
  int kind;       /* LcEndpointKind */
  LbName pool;    /* pool of an engine, service name of a plain service */
  LbName address; /* "127.0.0.1:9000" */
  LbName data_centre;
  bool leaving;
  LbName service;      /* on a shared platform: that it belongs to */
  bool is_spot;        /* the same: of the kind that costs less and may be taken away */
  bool checks_fence;   /* refuses an order that carries an old fencing number */
  int64_t concurrency; /* requests at once the endpoint is sized for */
  /* The endpoint itself states `concurrency`: one that refuses a request below it is busy with
   * something else, an order for example, and is not smaller than it says. */
  bool reports_concurrency;
} LcEndpointMember;

/* A whole accepted configuration, immutable once built. */
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

/* Builds and checks a set from {"revision": n, "resources": [{"kind", "name", ...}]}. Types,
 * ranges, unknown keys, doubled names and references are checked over the whole set; NULL and a
 * typed error with file and key path on the first fault. */
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
/* The tightest bound of a subscription, in versions; INT64_MAX when none is declared. */
int64_t lc_resource_set_max_lag (const LcResourceSet *set, const char *subscription);

#endif

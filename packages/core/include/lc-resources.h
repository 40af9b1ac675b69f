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

/* Pool of engines that serve one model to interactive (live) callers and to trainers. */
typedef struct
{
  LbName name;
  LbName model;
  int64_t weight_version; /* version to load on all engines; 0: the newest in the weight store */
  /* share of each engine's concurrency that is reserved for live calls, 0..0.9 */
  double live_reserve;
  /* maximum percentage of the engines that load weights at once, 1..100 */
  int64_t roll_out_percent;
  int64_t queue_limit; /* maximum number of waiting requests per instance */
} LcPool;

typedef enum
{
  LC_PRESET_BALANCED,
  /* scheduling weighs the idle time of trainers more than the staleness of samples */
  LC_PRESET_IDLE_TIME,
  /* scheduling weighs the staleness of samples more than the idle time of trainers */
  LC_PRESET_STALENESS
} LcPreset;

/* Subscription: use of a pool's engines by one trainer. */
typedef struct
{
  LbName name;
  LbName pool;
  /* share of the pool's engines that the trainer gets, relative to the shares of the pool's
   * other trainers */
  double share;
  int preset; /* value of LcPreset */
  /* derived from preset: 0 (only staleness counts) to 1 (only idle time counts) */
  double idle_weight;
  double hedge_budget; /* maximum share of a step's tokens that hedged requests may waste, 0..0.5 */
  /* If set, the samples of a chunk are recorded as delivered in the step's row of the store (the
   * ledger) before the chunk is sent. The trainer then sends no cursor of the samples that it
   * has, but may name its last chunk. */
  bool strict;
  LbName scorer; /* service that scores samples before delivery; empty: none */
} LcSubscription;

/* Maximum staleness of a sample when it is delivered to its trainer. */
typedef struct
{
  LbName name;
  LbName subscription;
  /* Number of weight versions by which the oldest tokens of a sample may be behind the trainer's
   * version. */
  int64_t max_lag;
} LcVersionBound;

typedef enum
{
  LC_ENDPOINT_ENGINE,
  LC_ENDPOINT_SERVICE
} LcEndpointKind;

/* Endpoint: an engine of a pool, or an address of a plain service. */
typedef struct
{
  LbName name;
  int kind;       /* value of LcEndpointKind */
  LbName pool;    /* pool of the engine; LC_ENDPOINT_SERVICE: name of the service */
  LbName address; /* IPv4 address and port, as in "127.0.0.1:9000" */
  LbName data_centre;
  bool leaving;
  LbName service; /* on a shared platform: service that the engine belongs to */
  /* on a shared platform: cheaper endpoint that may be reclaimed at any time */
  bool is_spot;
  bool checks_fence;   /* the endpoint rejects orders with an outdated fencing token */
  int64_t concurrency; /* maximum number of requests that the endpoint runs at once */
  /* The endpoint itself reported its concurrency. If such an endpoint refuses a request while it
   * runs fewer requests than its concurrency, it is busy with other work, such as an order to load
   * weights. The refusal then does not lower the estimate of its capacity. */
  bool reports_concurrency;
} LcEndpointMember;

/* Complete configuration of one accepted revision; immutable once built. */
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

/* Builds a set from {"revision": n, "resources": [{"kind", "name", ...}]} and validates types,
 * ranges, unknown keys, duplicate names and references. Returns NULL and an error with the file and
 * key path of the first fault. */
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
/* Returns the smallest max_lag of the subscription's bounds; INT64_MAX if it has none. */
int64_t lc_resource_set_max_lag (const LcResourceSet *set, const char *subscription);

#endif

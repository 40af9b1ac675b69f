#ifndef LC_DESIRED_H
#define LC_DESIRED_H

#include "lc-organisations.h"
#include "lc-resources.h"

/* Desired state: routes and services that the operators of a shared platform declare for the whole
 * deployment. Immutable once built, reference-counted. */

typedef enum
{
  LC_ROUTE_IDEMPOTENT,   /* calls that may run more than once */
  LC_ROUTE_AT_MOST_ONCE, /* calls that must not run twice */
  LC_ROUTE_STREAM,       /* calls with a streamed answer */
  LC_ROUTE_BATCH         /* batches of samples, accepted at once and run later */
} LcRouteKind;

#define LC_MAX_ROUTE_TARGETS 8

typedef struct
{
  LbName service;
  int64_t weight;
} LcRouteTarget;

typedef struct
{
  LbName name;
  LbName host;
  char prefix[128]; /* prefix of the paths that the route serves */
  LcRouteKind kind;
  LbTime timeout;       /* longest wait of a caller; 0: only the deadline of the call */
  LbTime latency_goal;  /* answers within it have the highest value */
  LbTime item_expiry;   /* BATCH: items may be dropped this long after submission; 0: never */
  LbTime due_after;     /* BATCH: all results are due this long after submission */
  int64_t max_attempts; /* endpoints that one request is sent to */
  int priority;         /* larger first */
  bool resumable;
  bool is_public;      /* needs no key where organisations are declared */
  bool single_version; /* BATCH: each result must come from one weight version */
  LcRouteTarget targets[LC_MAX_ROUTE_TARGETS];
  size_t n_targets;
} LcRoute;

typedef struct
{
  LbName data_centre;
  double price; /* of an endpoint there, relative to the other data centres */
} LcDataCentrePrice;

#define LC_MAX_DATA_CENTRES 16

/* Limits for ordering endpoints of a service. */
typedef struct
{
  int64_t min;       /* in each data centre, spot and regular endpoints together */
  int64_t max;       /* counted like min; 0: none may be ordered */
  double spot_price; /* relative to regular endpoints; 0: there are no spot endpoints */
  LcDataCentrePrice prices[LC_MAX_DATA_CENTRES];
  size_t n_prices;
} LcScalingLimits;

typedef struct
{
  LbName name;
  LcScalingLimits scaling;
  int64_t max_connections;  /* connections to one endpoint, of all instances together */
  int64_t tokens_per_event; /* of an engine's stream; 0: not known or a plain service */
} LcService;

/* Limits for requests and connections of callers. */
typedef struct
{
  int64_t max_header_bytes;
  int64_t max_body_bytes;
  LbTime header_timeout;
  LbTime idle_timeout;
} LcCallerLimits;

typedef struct
{
  int references;
  int64_t version;
  LcRoute *routes; /* longest prefix first */
  size_t n_routes;
  LcService *services;
  size_t n_services;
  LcOrganisations *organisations; /* NULL: none are declared, and no call needs a key */
  LcCallerLimits limits;
} LcDesired;

LcDesired *lc_desired_new (int64_t version);
LcDesired *lc_desired_ref (LcDesired *desired);
void lc_desired_unref (LcDesired *desired);
/* Both copy. lc_desired_sort_routes must be called after the last route. */
void lc_desired_add_route (LcDesired *desired, const LcRoute *route);
void lc_desired_add_service (LcDesired *desired, const LcService *service);
void lc_desired_sort_routes (LcDesired *desired);

/* Returns the route of the host with the longest prefix of the path; NULL if there is none. */
const LcRoute *
lc_desired_match_route (const LcDesired *desired, const char *host, const char *path);
const LcService *lc_desired_find_service (const LcDesired *desired, const char *name);
/* Time without an answer after which a call is hedged on another endpoint; 0: never. */
LbTime lc_route_hedge_delay (const LcRoute *route);
/* Chooses a service of the route by weight. random: between 0 and 1. */
const char *lc_route_choose_service (const LcRoute *route, double random);

#endif

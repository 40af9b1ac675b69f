#ifndef LC_DESIRED_H
#define LC_DESIRED_H

#include "lc-organisations.h"
#include "lc-resources.h"

/* The routes and services that the operators of a shared platform declare for the whole
 * deployment. Immutable once built, shared by reference. */

typedef enum
{
  LC_ROUTE_IDEMPOTENT,   /* a call that may run more than once */
  LC_ROUTE_AT_MOST_ONCE, /* a call that runs at most once */
  LC_ROUTE_STREAM,       /* a streamed answer */
  LC_ROUTE_BATCH         /* a batch of samples, accepted now and run later */
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
  char prefix[128];
  LcRouteKind kind;
  LbTime timeout; /* longest time that a caller is kept waiting; 0: its deadline alone counts */
  LbTime latency_goal;  /* an answer within it is worth most */
  LbTime item_expiry;   /* BATCH: an item may be given up so long after the submission; 0: never */
  LbTime due_after;     /* BATCH: all results are wanted so long after the submission */
  int64_t max_attempts; /* most endpoints that one request is sent to */
  int priority;         /* larger first */
  bool resumable;
  bool is_public;      /* needs no key where organisations are declared */
  bool single_version; /* BATCH: a result must be of one weight version */
  LcRouteTarget targets[LC_MAX_ROUTE_TARGETS];
  size_t n_targets;
} LcRoute;

typedef struct
{
  LbName data_centre;
  double price; /* of an endpoint there, against others */
} LcDataCentrePrice;

#define LC_MAX_DATA_CENTRES 16

/* What may be ordered of a service's endpoints. */
typedef struct
{
  int64_t min;       /* in each data centre, of both kinds together */
  int64_t max;       /* the same; 0: none may be ordered */
  double spot_price; /* of those that may be taken away, against the others; 0: there are none */
  LcDataCentrePrice prices[LC_MAX_DATA_CENTRES];
  size_t n_prices;
} LcScalingLimits;

typedef struct
{
  LbName name;
  LcScalingLimits scaling;
  int64_t max_connections;  /* of one endpoint, from all instances together */
  int64_t tokens_per_event; /* of an engine's stream; 0: not known, or a plain service */
} LcService;

/* What callers may send, and how slowly. */
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
/* Both copy; lc_desired_sort_routes comes after the last. */
void lc_desired_add_route (LcDesired *desired, const LcRoute *route);
void lc_desired_add_service (LcDesired *desired, const LcService *service);
void lc_desired_sort_routes (LcDesired *desired);

/* The route with the longest prefix that begins the path; NULL: none. */
const LcRoute *
lc_desired_match_route (const LcDesired *desired, const char *host, const char *path);
const LcService *lc_desired_find_service (const LcDesired *desired, const char *name);
/* When a repeatable call that has heard nothing is worth a second attempt elsewhere; 0: never. */
LbTime lc_route_hedge_delay (const LcRoute *route);
/* One of the route's services by weight; draw is in 0..1. */
const char *lc_route_choose_service (const LcRoute *route, double draw);

#endif

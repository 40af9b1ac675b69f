#ifndef LC_DESIRED_H
#define LC_DESIRED_H

#include "lc-organisations.h"
#include "lc-resources.h"

/* This header declares the desired state: the routes and services that the operators of a shared
 * platform declare for the whole deployment. The state is immutable once built, and
 * reference-counted. */

typedef enum
{
  LC_ROUTE_IDEMPOTENT,   /* calls that may run more than once */
  LC_ROUTE_AT_MOST_ONCE, /* calls that must not run twice */
  LC_ROUTE_STREAM,       /* calls with a streamed answer */
  LC_ROUTE_BATCH         /* batches of items, acknowledged at once and run later */
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
  /* maximum time of a call on the route; 0: only the deadline that the caller gave applies */
  LbTime timeout;
  LbTime latency_goal;  /* time within which an answer is worth most to the caller */
  LbTime item_expiry;   /* BATCH: items may be dropped this long after submission; 0: never */
  LbTime due_after;     /* BATCH: all results are due this long after submission */
  int64_t max_attempts; /* maximum number of endpoints that one request is sent to */
  int priority;         /* requests of routes with a larger value run first */
  bool resumable;
  bool is_public;      /* calls need no API key even if organisations are declared */
  bool single_version; /* BATCH: each result must come from one weight version */
  LcRouteTarget targets[LC_MAX_ROUTE_TARGETS];
  size_t n_targets;
} LcRoute;

typedef struct
{
  LbName data_centre;
  /* price of an endpoint in this data centre, relative to the price in other data centres */
  double price;
} LcDataCentrePrice;

#define LC_MAX_DATA_CENTRES 16

/* Limits on the number of endpoints that are ordered from the platform for a service. */
typedef struct
{
  /* minimum number of endpoints in each data centre, spot and regular together */
  int64_t min;
  int64_t max; /* maximum number, counted like min; 0: no endpoint may be ordered */
  /* price of a spot endpoint relative to a regular one; 0: there are no spot endpoints */
  double spot_price;
  LcDataCentrePrice prices[LC_MAX_DATA_CENTRES];
  size_t n_prices;
} LcScalingLimits;

typedef struct
{
  LbName name;
  LcScalingLimits scaling;
  int64_t max_connections; /* maximum connections to one endpoint, of all instances together */
  /* tokens in one event of an engine's stream; 0: unknown, or a plain service */
  int64_t tokens_per_event;
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
  LcRoute *routes; /* sorted by length of the path prefix, longest first */
  size_t n_routes;
  LcService *services;
  size_t n_services;
  /* organisations whose API keys are accepted; NULL: none are declared, so no call needs an API
   * key */
  LcOrganisations *organisations;
  LcCallerLimits limits;
} LcDesired;

LcDesired *lc_desired_new (int64_t version);
LcDesired *lc_desired_ref (LcDesired *desired);
void lc_desired_unref (LcDesired *desired);
/* lc_desired_add_route and lc_desired_add_service copy their second argument. Call
 * lc_desired_sort_routes after the last route was added. */
void lc_desired_add_route (LcDesired *desired, const LcRoute *route);
void lc_desired_add_service (LcDesired *desired, const LcService *service);
void lc_desired_sort_routes (LcDesired *desired);

/* Returns the route of the host with the longest prefix that matches the path; NULL if no route
 * matches. */
const LcRoute *
lc_desired_match_route (const LcDesired *desired, const char *host, const char *path);
const LcService *lc_desired_find_service (const LcDesired *desired, const char *name);
/* Returns the time without an answer after which a call is also sent to another endpoint (hedged);
 * 0: never. */
LbTime lc_route_hedge_delay (const LcRoute *route);
/* Chooses one of the route's services at random by weight. random: uniform number from 0 to 1. */
const char *lc_route_choose_service (const LcRoute *route, double random);

#endif

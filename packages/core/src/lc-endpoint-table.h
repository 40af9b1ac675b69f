#ifndef LC_ENDPOINT_TABLE_H
#define LC_ENDPOINT_TABLE_H

#include "lc-breaker.h"
#include "lc-concurrency.h"
#include "lc-endpoints.h"
#include "lc-flight-log.h"
#include "lc-leaving.h"
#include "lc-prefix-belief.h"

#include <uthash.h>

/* What the table keeps of an endpoint beside the part that policies and the node read. */
typedef struct LcEntry
{
  LcEndpoint endpoint; /* first, so that one can be cast to the other */
  uint64_t name_hash;
  int data_centre; /* index among the table's data centres */
  bool retired;    /* no longer in the configuration; kept while requests of ours run there */
  int64_t in_flight_at_report;
  LbTime swap_since;
  LcVersion version_before_swap;
  LcBreaker breaker;
  LcCacheView cache;
  LcConcurrency concurrency;
  LcLeaving leaving;
  LcFlightLog flights;
  LcEndpoints *table;
  size_t index; /* in entries */
  UT_hash_handle hh;
} LcEntry;

/* The endpoints of one pool or plain service. */
typedef struct
{
  char key[LB_NAME_MAX + 2]; /* kind and name */
  LcEntry **members;
  size_t n_members;
  size_t capacity;
  double service_seconds; /* mean of our own requests there; 0: none ended yet */
  UT_hash_handle hh;
} LcEndpointGroup;

struct LcEndpoints
{
  LcEntry *by_name;
  LcEntry **entries; /* without holes */
  size_t n_entries;
  size_t capacity;
  const LcCacheView **views; /* by slot; NULL: free */
  size_t n_slots;
  LcEndpointGroup *groups;
  LbName *data_centres;
  int n_data_centres;
  LbTime distance; /* one way between two data centres */
  int64_t peers;   /* instances that route by the same reports, this one included */
  uint32_t last_epoch;
  LcPrefixBelief *belief;
};

static inline LcEntry *
lc_entry (const LcEndpoint *endpoint)
{
  return (LcEntry *)endpoint;
}

LcEndpointGroup *
lc_endpoints_group (const LcEndpoints *endpoints, LcEndpointKind kind, const char *pool);
/* -1 when no endpoint is there. */
int lc_endpoints_data_centre (const LcEndpoints *endpoints, const char *name);

/* Requests at the endpoint that others than this instance sent, as of the last report. */
int64_t lc_entry_others (const LcEntry *entry);
bool lc_entry_weights_are_known (const LcEntry *entry, LbTime now);

#endif

#ifndef LC_ENDPOINT_TABLE_H
#define LC_ENDPOINT_TABLE_H

#include "lc-batch-cost.h"
#include "lc-breaker.h"
#include "lc-concurrency.h"
#include "lc-endpoints.h"
#include "lc-flight-log.h"
#include "lc-leaving.h"
#include "lc-prefix-belief.h"
#include "lc-stream-pace.h"

#include <uthash.h>

#define LC_NEVER_REPORTED ((LbTime)-1)

/* What a decision needs of an endpoint, in one cache line: a decision looks at all endpoints of a
 * pool, and their entries are spread over memory. Rewritten after each command on the endpoint. */
typedef struct
{
  LcEndpoint *endpoint;
  LbTime reported_at; /* or LC_NEVER_REPORTED */
  LcVersion version;
  float size;   /* requests at once it is made for */
  float limit;  /* requests of ours at once */
  float load;   /* by the last report, and what we added since */
  float others; /* requests of others, by the last report */
  uint32_t slot;
  int32_t live_since;        /* live requests we sent since the report */
  int32_t in_flight;         /* ours */
  int16_t data_centre;       /* index among the table's */
  bool is_out;               /* leaving, or no longer in the configuration */
  bool is_special;           /* swap, unknown weights or breaker: the entry must be asked */
  float alone_token_seconds; /* of one stream with no other beside it */
  float places_inverse;      /* 1 / size */
} LcSummary;

/* What the table keeps of an endpoint beside the part that policies and the node read. */
typedef struct LcEntry
{
  LcEndpoint endpoint; /* first, so that one can be cast to the other */
  uint64_t name_hash;
  int data_centre;      /* index among the table's data centres */
  LbTime refused_until; /* takes no new request until then; 0: never refused one */
  bool retired;         /* no longer in the configuration; kept while requests of ours run there */
  bool is_reported;
  int64_t in_flight_at_report;
  int64_t live_since_report;
  double alone_token_seconds;
  LcStreamPace pace; /* of our streams there */
  LbTime paced_at;   /* when it was last seen; 0: never */
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
  uint32_t *slots;
  size_t n_slots;
  size_t capacity;
  double service_seconds; /* mean of our own requests there; 0: none ended yet */
  LcBatchCost batch_cost;
  double slowdown;    /* by it */
  LbTime pace_review; /* when paces that were not seen for long are forgotten next */
  double fastest;     /* seconds of a token at the fastest of late; 0: not known */
  double bound_share; /* of our requests, those that went where their prompt was cached */
  UT_hash_handle hh;
} LcEndpointGroup;

struct LcEndpoints
{
  LcEntry *by_name;
  LcEntry **entries; /* without holes */
  size_t n_entries;
  size_t capacity;
  LcSummary *summaries;      /* by slot */
  const LcCacheView **views; /* by slot; NULL: free */
  size_t n_slots;
  LcEndpointGroup *groups;
  LbName *data_centres;
  int n_data_centres;
  LbTime last_event;  /* of any kind; there is one each time a load report comes */
  LbTime void_before; /* reports measured earlier are not believed */
  int64_t repeats;    /* reports that were not the first of their endpoint */
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

/* NULL when there is none of this name. */
LcEntry *lc_endpoints_entry (const LcEndpoints *endpoints, const char *name);

/* commands on one entry */
/* Reports measured before this are not believed; see lc_endpoints_note_time. */
LbTime lc_endpoints_void_before (const LcEndpoints *endpoints, LbTime now);
void lc_endpoints_note_time (LcEndpoints *endpoints, LbTime now);
void lc_entry_publish (LcEntry *entry, LbTime now);
void lc_entry_forget_process (LcEntry *entry);
void lc_entry_void_belief (LcEntry *entry);

/* Void_before: lc_endpoints_void_before, which is the same for all of a decision. */
bool lc_summary_may_take (const LcSummary *summary,
                          LcRequestKind kind,
                          double live_reserve,
                          LbTime void_before,
                          LbTime now);

#endif

#ifndef LC_ENDPOINT_TABLE_H
#define LC_ENDPOINT_TABLE_H

#include "lc-batch-cost.h"
#include "lc-breaker.h"
#include "lc-concurrency.h"
#include "lc-endpoints.h"
#include "lc-in-flight-history.h"
#include "lc-leaving.h"
#include "lc-prefix-index.h"
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
  float capacity;          /* requests at once it is made for */
  float concurrency_limit; /* requests of ours at once */
  float requests;          /* by the last report, and what we added since */
  float other_requests;    /* requests of others, by the last report */
  uint32_t slot;
  int32_t live_sent_since_report;    /* live requests we sent since the report */
  int32_t in_flight;                 /* ours */
  int16_t data_centre;               /* index among the table's */
  bool is_excluded;                  /* leaving, or no longer in the configuration */
  bool needs_full_check;             /* swap, unknown weights or breaker: the entry must be asked */
  float single_stream_token_seconds; /* of one stream with no other beside it */
  float inverse_capacity;            /* 1 / size */
} LcEndpointSummary;

/* What the table keeps of an endpoint beside the part that policies and the node read. */
typedef struct LcEndpointEntry
{
  LcEndpoint endpoint; /* first, so that one can be cast to the other */
  uint64_t name_hash;
  int data_centre;      /* index among the table's data centres */
  LbTime refused_until; /* takes no new request until then; 0: never refused one */
  bool retired;         /* no longer in the configuration; kept while requests of ours run there */
  bool is_reported;
  int64_t in_flight_at_report;
  int64_t live_since_report;
  double single_stream_token_seconds;
  LcStreamPace pace; /* of our streams there */
  LbTime paced_at;   /* when it was last seen; 0: never */
  LbTime swap_since;
  LcVersion version_before_swap;
  LcBreaker breaker;
  LcEndpointCache cache;
  LcConcurrency concurrency;
  LcLeaving leaving;
  LcInFlightHistory flights;
  LcEndpoints *table;
  size_t index; /* in entries */
  UT_hash_handle hh;
} LcEndpointEntry;

/* The endpoints of one pool or plain service. */
typedef struct
{
  char key[LB_NAME_MAX + 2]; /* kind and name */
  uint32_t *slots;
  size_t n_slots;
  size_t capacity;
  double mean_service_seconds; /* mean of our own requests there; 0: none ended yet */
  LcBatchCost batch_cost;
  double batch_slowdown;        /* by it */
  LbTime next_pace_review_at;   /* when paces that were not seen for long are forgotten next */
  double fastest_token_seconds; /* seconds of a token at the fastest of late; 0: not known */
  double prefix_bound_share;    /* of our requests, those that went where their prompt was cached */
  UT_hash_handle hh;
} LcEndpointGroup;

struct LcEndpoints
{
  LcEndpointEntry *by_name;
  LcEndpointEntry **entries; /* without holes */
  size_t n_entries;
  size_t capacity;
  LcEndpointSummary *summaries;   /* by slot */
  const LcEndpointCache **caches; /* by slot; NULL: free */
  size_t n_slots;
  LcEndpointGroup *groups;
  LbName *data_centres;
  int n_data_centres;
  LbTime last_event_at;       /* of any kind; there is one each time a load report comes */
  LbTime reports_valid_since; /* reports measured earlier are not believed */
  int64_t n_repeated_reports; /* reports that were not the first of their endpoint */
  uint32_t last_epoch;
  LcPrefixIndex *prefix_index;
};

static inline LcEndpointEntry *
lc_endpoint_entry (const LcEndpoint *endpoint)
{
  return (LcEndpointEntry *)endpoint;
}

LcEndpointGroup *
lc_endpoints_find_group (const LcEndpoints *endpoints, LcEndpointKind kind, const char *pool);
/* -1 when no endpoint is there. */
int lc_endpoints_find_data_centre (const LcEndpoints *endpoints, const char *name);

/* NULL when there is none of this name. */
LcEndpointEntry *lc_endpoints_find_entry (const LcEndpoints *endpoints, const char *name);

/* commands on one entry */
/* Reports measured before this are not believed; see lc_endpoints_record_event_time. */
LbTime lc_endpoints_reports_valid_since (const LcEndpoints *endpoints, LbTime now);
void lc_endpoints_record_event_time (LcEndpoints *endpoints, LbTime now);
void lc_endpoint_entry_publish (LcEndpointEntry *entry, LbTime now);
void lc_endpoint_entry_reset_process (LcEndpointEntry *entry);
void lc_endpoint_entry_invalidate_prefixes (LcEndpointEntry *entry);

/* Void_before: lc_endpoints_reports_valid_since, which is the same for all of a decision. */
bool lc_endpoint_summary_can_accept (const LcEndpointSummary *summary,
                                     LcRequestKind kind,
                                     double live_reserve,
                                     LbTime reports_valid_since,
                                     LbTime now);

#endif

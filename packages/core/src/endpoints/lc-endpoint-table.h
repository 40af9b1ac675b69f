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

/* The fields of an endpoint that a routing decision reads, in one cache line: a decision scans all
 * endpoints of a pool, and their entries are scattered in memory. Rewritten after each command on
 * the endpoint. */
typedef struct
{
  LcEndpoint *endpoint;
  LbTime reported_at; /* or LC_NEVER_REPORTED */
  LcVersion version;
  float capacity;          /* concurrent requests that it is sized for */
  float concurrency_limit; /* limit of this instance's concurrent requests */
  float requests;          /* as last reported, corrected by this instance's requests since then */
  float other_requests;    /* requests of other instances in the last report */
  uint32_t slot;
  int32_t live_sent_since_report;    /* live requests that this instance sent */
  int32_t in_flight;                 /* this instance's requests there */
  int16_t data_centre;               /* index into LcEndpoints.data_centres */
  bool is_excluded;                  /* leaving, or no longer in the configuration */
  bool needs_full_check;             /* the entry has state that the summary does not hold */
  float single_stream_token_seconds; /* seconds per token of a stream that runs alone */
  float inverse_capacity;            /* 1 / capacity */
} LcEndpointSummary;

/* One endpoint in the table: the part that policies and the node read, and private state. */
typedef struct LcEndpointEntry
{
  LcEndpoint endpoint; /* first member: lc_endpoint_to_entry casts it to the entry */
  uint64_t name_hash;
  int data_centre;      /* index into LcEndpoints.data_centres */
  LbTime refused_until; /* rejected a request and gets no new one before; 0: never rejected one */
  bool is_retired;      /* no longer configured; kept while this instance has requests there */
  bool is_reported;     /* has sent a load report */
  int64_t in_flight_at_report; /* this instance's requests that the last report includes */
  int64_t live_sent_since_report;
  double single_stream_token_seconds;
  LcStreamPace stream_pace; /* pace of this instance's streams there */
  LbTime stream_pace_at;    /* when a stream last updated it; 0: never */
  LbTime swap_started_at;
  LcVersion version_before_swap;
  LcBreaker breaker;
  LcEndpointCache cache;
  LcConcurrency concurrency;
  LcLeaving leaving;
  LcInFlightHistory in_flight_history;
  LcEndpoints *table;
  size_t index; /* in LcEndpoints.entries */
  UT_hash_handle hh;
} LcEndpointEntry;

/* The endpoints of one pool or plain service. */
typedef struct
{
  char key[LB_NAME_MAX + 2]; /* kind and name */
  uint32_t *slots;           /* LcEndpoint.slot of each */
  size_t n_slots;
  size_t capacity;
  double mean_service_seconds; /* duration of this instance's requests; 0: none has ended yet */
  LcBatchCost batch_cost;
  double batch_slowdown;        /* lc_batch_cost_full_batch_slowdown of batch_cost */
  LbTime next_pace_review_at;   /* when outdated paces are discarded next */
  double fastest_token_seconds; /* seconds per token at the fastest endpoint; 0: not known */
  double prefix_bound_share;    /* share of this instance's requests routed to a cached prefix */
  UT_hash_handle hh;
} LcEndpointGroup;

struct LcEndpoints
{
  LcEndpointEntry *by_name;
  LcEndpointEntry **entries; /* contiguous, in no particular order */
  size_t n_entries;
  size_t capacity;
  LcEndpointSummary *summaries;   /* indexed by LcEndpoint.slot */
  const LcEndpointCache **caches; /* indexed by LcEndpoint.slot; NULL: the slot is free */
  size_t n_slots;
  LcEndpointGroup *groups;
  LbName *data_centres;
  int n_data_centres;
  LbTime last_event_at;       /* time of the last event of any kind, such as a load report */
  LbTime reports_valid_since; /* reports measured earlier are ignored */
  int64_t n_repeated_reports; /* reports other than the first of an endpoint */
  uint32_t last_epoch;        /* latest LcEndpointCache.epoch given to an endpoint */
  LcPrefixIndex *prefix_index;
};

static inline LcEndpointEntry *
lc_endpoint_to_entry (const LcEndpoint *endpoint)
{
  return (LcEndpointEntry *)endpoint;
}

LcEndpointGroup *
lc_endpoints_find_group (const LcEndpoints *endpoints, LcEndpointKind kind, const char *pool);
/* Index of the data centre; -1: no endpoint is there. */
int lc_endpoints_find_data_centre (const LcEndpoints *endpoints, const char *name);

/* NULL: not found. */
LcEndpointEntry *lc_endpoints_find_entry (const LcEndpoints *endpoints, const char *name);

/* commands on one entry */
/* Reports measured earlier are ignored; see lc_endpoints_record_event_time. */
LbTime lc_endpoints_reports_valid_since (const LcEndpoints *endpoints, LbTime now);
void lc_endpoints_record_event_time (LcEndpoints *endpoints, LbTime now);
/* Writes the entry's current state to its summary. */
void lc_endpoint_entry_publish_state (LcEndpointEntry *entry, LbTime now);
void lc_endpoint_entry_reset_for_new_process (LcEndpointEntry *entry);
void lc_endpoint_entry_invalidate_prefixes (LcEndpointEntry *entry);

/* reports_valid_since: from lc_endpoints_reports_valid_since, once per decision. */
bool lc_endpoint_summary_can_accept (const LcEndpointSummary *summary,
                                     LcRequestKind kind,
                                     double live_reserve,
                                     LbTime reports_valid_since,
                                     LbTime now);

#endif

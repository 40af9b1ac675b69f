#ifndef LC_ENDPOINT_TABLE_H
#define LC_ENDPOINT_TABLE_H

#include "lc-batch-cost.h"
#include "lc-breaker.h"
#include "lc-concurrency.h"
#include "lc-endpoint-condition.h"
#include "lc-endpoints.h"
#include "lc-in-flight-history.h"
#include "lc-leaving.h"
#include "lc-prefix-index.h"
#include "lc-stream-pace.h"

#include <uthash.h>

#define LC_NEVER_REPORTED ((LbTime)-1)
#define LC_GROUP_KEY_SIZE (2 * LB_NAME_MAX + 2)

/* The fields of an endpoint that a routing decision reads, in one cache line: a decision scans all
 * endpoints of a pool, and their entries are scattered in memory. Updated after each change of the
 * endpoint. The index of a summary in LcEndpoints.summaries is the endpoint's slot. */
typedef struct
{
  LcEndpoint *endpoint;
  LbTime reported_at; /* when the last load report was measured, or LC_NEVER_REPORTED */
  LcVersion version;
  float capacity;          /* number of concurrent requests that the endpoint is sized for */
  float concurrency_limit; /* limit of this instance's concurrent requests */
  /* number of requests at the endpoint: those of the last report, corrected by later changes */
  float requests;
  float other_requests; /* number of requests of other instances in the last report */
  /* number of requests other than samples that this instance sent since the last report */
  int32_t live_sent_since_report;
  int32_t in_flight;                 /* number of this instance's requests at the endpoint */
  int16_t data_centre;               /* index into LcEndpoints.data_centres */
  bool is_excluded : 1;              /* the endpoint is leaving or no longer in the configuration */
  bool needs_full_check : 1;         /* the entry's state must be checked, not only the summary */
  bool is_slowed : 1;                /* the entry's condition may show a present slowdown */
  bool reports_pace : 1;             /* the load report states the token rate of a stream */
  float single_stream_token_seconds; /* seconds per token of a stream that runs alone */
  float inverse_capacity;            /* 1 / capacity */
  /* lasting seconds per token, or per request at a plain service (see lc-endpoint-condition.h); 0:
   * not known */
  float lasting_token_seconds;
} LcEndpointSummary;

#define LC_CACHE_LINE_BYTES 64
_Static_assert(sizeof (LcEndpointSummary) <= LC_CACHE_LINE_BYTES,
               "a summary must fit into a cache line");

/* One endpoint in the table: the public part, which routing policies and other packages read, and
 * private state. */
typedef struct LcEndpointEntry
{
  LcEndpoint endpoint; /* must be first: lc_endpoint_to_entry casts it to the entry */
  uint64_t name_hash;
  int data_centre;      /* index into LcEndpoints.data_centres */
  LbTime refused_until; /* end of the backoff after a rejected request; 0: none was rejected */
  /* no longer in the configuration; kept until this instance's requests end */
  bool is_retired;
  int held_slots;              /* slots that are kept free of samples for moving texts */
  bool is_reported;            /* the endpoint has sent a load report */
  int64_t in_flight_at_report; /* this instance's requests that the last report includes */
  int64_t live_sent_since_report;
  double single_stream_token_seconds;
  LcStreamPace stream_pace; /* pace of this instance's streams at the endpoint */
  LbTime stream_pace_at;    /* when a stream last updated stream_pace; 0: never */
  LcEndpointCondition condition;
  bool has_reported_invalid_load; /* the endpoint's process has sent an invalid load header */
  LbTime swap_started_at;
  LcVersion version_before_swap;
  LcBreaker breaker;
  LcEndpointCache cache;
  LcConcurrency concurrency;
  LcLeaving leaving;
  LcInFlightHistory in_flight_history;
  LcEndpoints *table;
  size_t index; /* index into LcEndpoints.entries */
  UT_hash_handle hh;
} LcEndpointEntry;

/* The endpoints of one pool or plain service. */
typedef struct
{
  /* kind of endpoint, 'e' or 's', and name of the pool or plain service; for the engines of a
   * service also the name of the service */
  char key[LC_GROUP_KEY_SIZE];
  uint32_t *slots; /* LcEndpoint.slot of each endpoint in the group */
  size_t n_slots;
  size_t capacity;
  double mean_service_seconds; /* mean duration of this instance's requests; 0: none has ended */
  LcBatchCost batch_cost;
  double batch_slowdown;        /* result of lc_batch_cost_full_batch_slowdown for batch_cost */
  LbTime next_pace_review_at;   /* next time when outdated stream paces are discarded */
  double fastest_token_seconds; /* seconds per token at the fastest endpoint; 0: not known */
  /* median of the endpoints' lasting seconds per token, or per request; 0: not known */
  double median_lasting_token_seconds;
  LbTime next_median_update_at;
  bool is_uneven; /* the endpoints' lasting values differ clearly */
  /* relation between the fill of an engine and the time per token of its streams, as a multiple of
   * the engine's lasting time per token */
  LcBatchCost stream_cost;
  double stream_slowdown;     /* how much longer a token takes in a full batch; 0: not known */
  double mean_request_tokens; /* mean length of this instance's streams; 0: none has ended */
  double prefix_bound_share;  /* share of this instance's requests routed to a cached prefix */
  UT_hash_handle hh;
} LcEndpointGroup;

struct LcEndpoints
{
  LcEndpointEntry *by_name;
  LcEndpointEntry **entries; /* array of n_entries in no particular order */
  size_t n_entries;
  size_t capacity;
  LcEndpointSummary *summaries;   /* indexed by LcEndpoint.slot */
  const LcEndpointCache **caches; /* indexed by LcEndpoint.slot; NULL: the slot is free */
  size_t n_slots;
  LcEndpointGroup *groups;
  LbName *data_centres;
  int n_data_centres;
  LbTime last_event_at;       /* time of the last event of any kind, such as a load report */
  LbTime reports_valid_since; /* load reports measured before this time are ignored */
  int64_t n_repeated_reports; /* number of reports, the first of each endpoint excluded */
  uint32_t last_epoch;        /* last value assigned to an LcEndpointCache.epoch */
  LcPrefixIndex *prefix_index;
};

static inline LcEndpointEntry *
lc_endpoint_to_entry (const LcEndpoint *endpoint)
{
  return (LcEndpointEntry *)endpoint;
}

/* service: service of the engines, which may share the pool with engines of other services; NULL or
 * "": they belong to none. Ignored for plain services. */
LcEndpointGroup *lc_endpoints_find_group (const LcEndpoints *endpoints,
                                          LcEndpointKind kind,
                                          const char *pool,
                                          const char *service);
/* Index into LcEndpoints.data_centres; -1: no endpoint is known in the data centre. */
int lc_endpoints_find_data_centre (const LcEndpoints *endpoints, const char *name);

/* Returns NULL if no endpoint has this name. */
LcEndpointEntry *lc_endpoints_find_entry (const LcEndpoints *endpoints, const char *name);

/* Load reports measured before the returned time are ignored; see
 * lc_endpoints_detect_process_pause. */
LbTime lc_endpoints_reports_valid_since (const LcEndpoints *endpoints, LbTime now);
void lc_endpoints_detect_process_pause (LcEndpoints *endpoints, LbTime now);
/* Copies the state of the entry's components to its endpoint and its summary. */
void lc_endpoint_entry_refresh_public_state (LcEndpointEntry *entry, LbTime now);
void lc_endpoint_entry_reset_for_new_process (LcEndpointEntry *entry);
void lc_endpoint_entry_invalidate_cached_prefixes (LcEndpointEntry *entry);
LcEndpointGroup *lc_endpoint_entry_find_group (const LcEndpointEntry *entry);
/* Expected seconds for the units of work (tokens, or requests at a plain service) at the endpoint,
 * with its lasting pace and the present slowdown; 0: no lasting pace is known in the group, or the
 * endpoint reports its pace. */
double lc_endpoint_summary_expected_seconds (const LcEndpointSummary *summary,
                                             const LcEndpointGroup *group,
                                             double units,
                                             LbTime now);
/* Records the present duration of work, in percent of the usual duration; 0: not reported. */
void
lc_endpoint_entry_record_work_time (LcEndpointEntry *entry, int64_t percent, LbTime measured_at);
/* Records the duration of a complete request to a plain service. */
void lc_endpoint_entry_record_service_duration (LcEndpointEntry *entry, LbTime took, LbTime now);

/* Changes the number of slots that are kept for moving texts. */
void lc_endpoint_hold_slots (LcEndpoint *endpoint, int change, LbTime now);

/* reports_valid_since: result of lc_endpoints_reports_valid_since, read once per routing
 * decision. */
bool lc_endpoint_summary_can_accept (const LcEndpointSummary *summary,
                                     LcRequestKind kind,
                                     double live_reserve,
                                     LbTime reports_valid_since,
                                     LbTime now);

#endif

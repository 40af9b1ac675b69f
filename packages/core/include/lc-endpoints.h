#ifndef LC_ENDPOINTS_H
#define LC_ENDPOINTS_H

#include "lc-resources.h"

/* Load and state that an engine or service reports. Reports may arrive late or out of order. */
typedef struct
{
  char incarnation[40]; /* changes with each start of the endpoint's process; "": not stated */
  bool leaving;
  /* weight version that the endpoint serves; 0: a weight swap is in progress or has failed */
  LcVersion version;
  int64_t running;          /* number of requests being processed */
  int64_t waiting;          /* number of queued requests */
  double tokens_per_second; /* token rate of one stream at the current load; 0: unknown */
  double kv_used;           /* share of the KV cache in use, 0..1 */
  int64_t slots;            /* number of requests that can run at once; 0: not reported */
  /* present duration of work, in percent of the usual duration; 0: not reported */
  int64_t work_time_percent;
  LbTime measured_at;    /* time of the measurement, converted to this instance's clock */
  bool is_from_registry; /* the report was read from the store, not sent by the endpoint */
} LcLoadReport;

typedef enum
{
  LC_BREAKER_CLOSED,
  LC_BREAKER_OPEN,
  LC_BREAKER_HALF_OPEN
} LcBreakerState;

/* This instance's view of one endpoint. Owned by LcEndpoints; read by routing policies. */
typedef struct LcEndpoint
{
  LcEndpointMember member;
  uint32_t slot; /* index in the endpoint table, stable while the endpoint is known */
  LcLoadReport report;
  /* The endpoint is being removed and gets no new requests. Set when any source marks it as
   * leaving. Cleared by a new incarnation, or when the platform's list clears a mark that may have
   * been meant for an earlier incarnation. */
  bool leaving;
  LbTime leaving_since;
  bool swap_pending; /* the weights are about to change or their version is unknown */
  LbTime swap_until; /* when the weight swap is expected to be complete */
  int64_t in_flight; /* number of this instance's requests at the endpoint */
  int64_t in_flight_samples;
  /* number of this instance's requests to the endpoint that the endpoint's last load report does
   * not include */
  int64_t sent_since_report;
  double concurrency_limit;       /* adaptive limit of in_flight */
  double ewma_token_seconds;      /* moving average of a request's duration per token */
  double ewma_first_byte_seconds; /* moving average of the time to the first byte */
  LcBreakerState breaker;
  LbTime breaker_open_until;
  int64_t consecutive_failures;
  LbTime last_reply_at;
  size_t idle_connections; /* number of open idle connections at idle_connections_at */
  LbTime idle_connections_at;
} LcEndpoint;

typedef struct LcEndpoints LcEndpoints;

typedef enum
{
  LC_LEAVING_RESOURCE, /* marked in the endpoint's configuration resource */
  LC_LEAVING_PLATFORM, /* marked in the platform's list of endpoints */
  LC_LEAVING_ENDPOINT, /* announced by the endpoint itself */
  LC_LEAVING_PEER      /* announced by another instance */
} LcLeavingSource;

LcEndpoints *lc_endpoints_new (void);
void lc_endpoints_free (LcEndpoints *endpoints);

/* Functions that change an LcEndpoints table. */

void lc_endpoints_configure (LcEndpoints *endpoints, const LcResourceSet *set, LbTime now);
/* Records a load report. A report with a new incarnation clears the leaving mark, the circuit
 * breaker and the cached prefixes. */
void lc_endpoints_record_load_report (LcEndpoints *endpoints,
                                      const char *name,
                                      const LcLoadReport *report,
                                      LbTime now);
/* Marks an incarnation of the endpoint as leaving; "": the current incarnation. Returns true if the
 * endpoint was not leaving before and is leaving now. */
bool lc_endpoints_mark_leaving (LcEndpoints *endpoints,
                                const char *name,
                                const char *incarnation,
                                LcLeavingSource source,
                                LbTime now);
/* Called when the platform's list of endpoints no longer marks the endpoint as leaving. Clears the
 * leaving mark only if this list set it and it may have been meant for an earlier incarnation. */
void
lc_endpoints_clear_platform_leaving_mark (LcEndpoints *endpoints, const char *name, LbTime now);
void lc_endpoints_set_weight_swap_state (
    LcEndpoints *endpoints, const char *name, bool pending, LbTime until, LbTime now);
void lc_endpoints_apply_cache_event (LcEndpoints *endpoints,
                                     const char *name,
                                     uint64_t sequence,
                                     bool stored,
                                     uint64_t prefix_hash,
                                     LbTime now);
void lc_endpoint_request_sent (LcEndpoint *endpoint,
                               LcRequestKind kind,
                               uint64_t prefix_hash,
                               LbTime now);
void lc_endpoint_first_byte_received (LcEndpoint *endpoint, LbTime waited, LbTime now);
/* Records the tokens, possibly 0, that a stream delivered in the interval since its previous
 * chunk. */
void
lc_endpoint_tokens_received (LcEndpoint *endpoint, int64_t tokens, LbTime interval, LbTime now);
/* Records the end of a request. ok: false if the endpoint failed. Cancellations by this instance
 * are reported with lc_endpoint_request_cancelled instead. */
void lc_endpoint_request_ended (
    LcEndpoint *endpoint, LcRequestKind kind, bool ok, int64_t tokens, LbTime took, LbTime now);
/* Records the present duration of work that the endpoint reports, in percent of the usual duration.
 * For a reply without a valid number of requests; a load report states the percentage too. */
void lc_endpoint_work_time_reported (LcEndpoint *endpoint, int64_t percent, LbTime measured_at);
/* Returns true for the first invalid load header of the endpoint's process. */
bool lc_endpoint_invalid_load_reported (LcEndpoint *endpoint);
void lc_endpoint_set_idle_connections (LcEndpoint *endpoint, size_t n_idle, LbTime now);
/* The endpoint rejected the request without starting it. */
void
lc_endpoint_request_refused (LcEndpoint *endpoint, LcRequestKind kind, LbTime sent_at, LbTime now);
/* This instance cancelled the request. The cancellation counts neither as a success nor as a
 * failure of the endpoint. */
void lc_endpoint_request_cancelled (LcEndpoint *endpoint,
                                    LcRequestKind kind,
                                    LbTime sent_at,
                                    LbTime now);

/* Functions that only read an LcEndpoints table. */

LcEndpoint *lc_endpoints_find (LcEndpoints *endpoints, const char *name);
size_t lc_endpoints_count (const LcEndpoints *endpoints);
LcEndpoint *lc_endpoints_at (LcEndpoints *endpoints, size_t index);
/* Expected share of the prompt in the endpoint's prefix cache, 0..1. */
double lc_endpoint_cached_prompt_share (const LcEndpoint *endpoint,
                                        const uint64_t *prefix_hashes,
                                        size_t n_hashes,
                                        LbTime now);
/* Number of requests at the endpoint, of all instances: those of the last load report, corrected by
 * the requests that this instance has sent and completed since. */
int64_t lc_endpoint_estimate_requests (const LcEndpoint *endpoint);
/* Lasting seconds per token at an engine, or per request at a plain service, without slowdowns of
 * less than a second; 0: not known. */
double lc_endpoint_lasting_token_seconds (const LcEndpoint *endpoint);
/* Lasting values of the known endpoints of one kind, in all pools or services. */
typedef struct
{
  size_t n_known; /* number of endpoints whose lasting value is known */
  double lowest;
  double median;
  double highest;
} LcLastingPaces;

LcLastingPaces lc_endpoints_summarise_lasting_paces (const LcEndpoints *endpoints,
                                                     LcEndpointKind kind);
/* Median of the lasting values of the endpoint's pool or service; 0: not known. */
double lc_endpoint_group_lasting_token_seconds (const LcEndpoint *endpoint);
/* Present duration of work at the endpoint, as a multiple of the lasting duration; 1: as usual. */
double lc_endpoint_present_slowdown (const LcEndpoint *endpoint, LbTime now);
/* How much longer the present slowdown is expected to last; 0: the endpoint is not slow. It grows
 * with the time for which the endpoint has been slow. */
LbTime lc_endpoint_remaining_slowdown (const LcEndpoint *endpoint, LbTime now);
/* Expected seconds for the units of work (tokens of a stream, or requests at a plain service) at
 * the endpoint's lasting pace, or at its group's if it is not known, with the present slowdown for
 * as long as it is expected to last; 0: no pace is known. */
double lc_endpoint_expected_work_seconds (const LcEndpoint *endpoint, double units, LbTime now);
/* Whether a request of this kind may be sent to the endpoint now. live_reserve: share of the
 * concurrency kept for live calls, 0..0.9. */
bool lc_endpoint_can_accept (const LcEndpoint *endpoint,
                             LcRequestKind kind,
                             double live_reserve,
                             LbTime now);

#endif

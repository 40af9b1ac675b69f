#ifndef LC_ENDPOINTS_H
#define LC_ENDPOINTS_H

#include "lc-resources.h"

/* What an engine or service says of itself; arrives late. */
typedef struct
{
  char incarnation[40]; /* changes with each start of the endpoint's process */
  bool leaving;
  LcVersion version; /* weights that serve now; 0 while a swap goes on or failed */
  int64_t running;
  int64_t waiting;
  double tokens_per_second; /* of one stream at present load; 0: unknown */
  double kv_used;           /* 0..1 */
  LbTime measured_at;       /* when the endpoint measured it, on our clock */
  bool is_from_registry;    /* by the store; the endpoint itself said nothing */
} LcLoadReport;

/* The breaker of an endpoint. */
typedef enum
{
  LC_BREAKER_CLOSED,
  LC_BREAKER_OPEN,
  LC_BREAKER_HALF_OPEN
} LcBreakerState;

/* All this instance knows of one endpoint. Owned by LcEndpoints; read by policies. */
typedef struct LcEndpoint
{
  LcEndpointMember member;
  uint32_t slot; /* stable index while the endpoint is known */
  LcLoadReport report;
  bool leaving; /* one way for this incarnation, from whichever source */
  LbTime leaving_since;
  bool swap_pending; /* weights are about to change or in an unknown state */
  LbTime swap_until;
  int64_t in_flight; /* our own requests running there */
  int64_t in_flight_rollout;
  int64_t sent_since_report;
  double concurrency_limit; /* adaptive */
  double ewma_token_seconds;
  double ewma_first_byte_seconds;
  LcBreakerState breaker;
  LbTime breaker_open_until;
  int64_t consecutive_failures;
  LbTime last_reply_at;
  size_t idle_connections; /* of ours, kept open, when this was last told */
  LbTime idle_connections_at;
} LcEndpoint;

typedef struct LcEndpoints LcEndpoints;

typedef enum
{
  LC_LEAVING_RESOURCE,
  LC_LEAVING_PLATFORM,
  LC_LEAVING_ENDPOINT,
  LC_LEAVING_PEER
} LcLeavingSource;

LcEndpoints *lc_endpoints_new (void);
void lc_endpoints_free (LcEndpoints *endpoints);

/* commands */
void lc_endpoints_configure (LcEndpoints *endpoints, const LcResourceSet *set, LbTime now);
/* A report with a new incarnation clears leaving, breaker and belief. */
void lc_endpoints_record_load (LcEndpoints *endpoints,
                               const char *name,
                               const LcLoadReport *report,
                               LbTime now);
/* Marks this incarnation as leaving; true when it was news. */
bool lc_endpoints_mark_leaving (LcEndpoints *endpoints,
                                const char *name,
                                const char *incarnation,
                                LcLeavingSource source,
                                LbTime now);
/* The platform's list names the endpoint and no longer says leaving: ends the doubt that its word
 * left after a new incarnation came, nothing else. */
void lc_endpoints_clear_platform_leaving (LcEndpoints *endpoints, const char *name, LbTime now);
void lc_endpoints_set_swap (
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
/* What a stream of ours brought there since its last piece. */
void
lc_endpoint_tokens_received (LcEndpoint *endpoint, int64_t tokens, LbTime interval, LbTime now);
/* ok is false for a failure that speaks against the endpoint (not for a cancel of ours). */
void lc_endpoint_request_ended (
    LcEndpoint *endpoint, LcRequestKind kind, bool ok, int64_t tokens, LbTime took, LbTime now);
/* Connections of ours to it that are open and idle now. */
void lc_endpoint_set_idle_connections (LcEndpoint *endpoint, size_t n_idle, LbTime now);
/* The endpoint said that it did not start the request. */
void lc_endpoint_request_refused (LcEndpoint *endpoint, LcRequestKind kind, LbTime now);
/* We closed the attempt ourselves, which says nothing of the endpoint. */
void lc_endpoint_request_cancelled (LcEndpoint *endpoint, LcRequestKind kind, LbTime now);

/* queries */
LcEndpoint *lc_endpoints_find (LcEndpoints *endpoints, const char *name);
size_t lc_endpoints_count (const LcEndpoints *endpoints);
LcEndpoint *lc_endpoints_at (LcEndpoints *endpoints, size_t index);
/* Believed share of the prompt found in the endpoint's prefix cache, 0..1. */
double lc_endpoint_cached_share (const LcEndpoint *endpoint,
                                 const uint64_t *prefix_hashes,
                                 size_t n_hashes,
                                 LbTime now);
bool lc_endpoint_can_accept (const LcEndpoint *endpoint,
                             LcRequestKind kind,
                             double live_reserve,
                             LbTime now);

#endif

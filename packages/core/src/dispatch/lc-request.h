#ifndef LC_REQUEST_H
#define LC_REQUEST_H

#include "lc-dispatch.h"
#include "lc-pool.h"

#include <uthash.h>

/* One attempt of a request at one endpoint. */
typedef struct
{
  LbLink link;
  uint32_t number; /* sequence number within the request, from 1 */
  LbName endpoint;
  LbTime sent_at;
  LbTime last_piece_at; /* when the last forwarded piece arrived; 0: none was forwarded, or the
                           answer is not streamed */
  int64_t next_offset;  /* index of the next token expected from the endpoint */
  int64_t received_tokens;
  bool has_piece;
  bool is_complete; /* a piece with the end marker has arrived */
} LcAttempt;

typedef enum
{
  LC_STATE_WAITING, /* the request is in the queue of its pool */
  LC_STATE_BACKOFF, /* the request is queued again at retry_at */
  LC_STATE_RUNNING  /* the request has running attempts */
} LcRequestState;

/* An admitted request without a final result. Copies only the needed part of its LcRequestSpec to
 * save memory, since thousands may wait. */
typedef struct
{
  UT_hash_handle hh;
  LcRequestId id;
  char *external_id; /* id of the request in logs; NULL: none */
  LcPoolState *pool;
  LcQueueEntry queue_entry;
  LcHeapNode timer_node;
  LbTime timer_due; /* when the timer of the request expires; LB_TIME_NEVER: no timer */
  LbTime submitted;
  LbTime deadline;      /* time by which the answer must be complete */
  LbTime soft_deadline; /* desired completion time of the whole answer; 0: none */
  /* when the request first waited for a faster endpoint although a slower one could take it; 0: it
   * has not */
  LbTime awaits_faster_since;
  /* when the waiting request was last checked by lc_dispatch_check_late_call; 0: never */
  LbTime late_checked_at;
  LbTime start_deadline; /* latest start of the first attempt; at most the deadline */
  LbTime retry_at;       /* when the request is queued again after a backoff (LC_STATE_BACKOFF) */
  LbName caller;
  LbName flow;
  double share;
  int organisation_priority;
  int priority;
  LcFingerprint content;
  LcRequestKind kind;
  LcDelivery delivery;
  LcRequestState state;
  bool repeatable;
  bool resumable;
  bool failure_is_final;
  bool is_owed;       /* postponed, not quarantined, after crashes of endpoints */
  bool may_have_run;  /* an endpoint may have executed the request; never reset */
  bool hedged;        /* a hedge was sent or denied; no further hedge is tried */
  bool retry_charged; /* the next attempt is a retry charged to the caller's budget */
  int64_t prompt_tokens;
  int64_t expected_tokens;
  LcVersion min_version;
  int64_t first_token; /* index of the first token that the submitter wants */
  int64_t next_token;  /* streamed answer: index of the next token to forward to the submitter */
  uint32_t forwarded_attempt; /* streamed answer: attempt whose pieces are forwarded; 0: none */
  uint32_t n_attempts;        /* number of attempts sent; also LcAttempt.number of the last one */
  LbTime hedge_after; /* delay before a hedge, from LcRequestSpec.hedge_after; raised when the hedge
                         is postponed */
  /* maximum number of attempts that the route allows; 0: only MAX_ATTEMPTS applies */
  uint32_t max_attempts;
  uint32_t n_not_sent; /* number of attempts that ended before a byte was sent */
  uint32_t n_retries;
  uint32_t n_consecutive_lost; /* consecutive attempts that may have run and returned no token */
  LbErrorCode last_error;      /* error reported if the request is not retried */
  LbList attempts;             /* running attempts (LcAttempt) */
  size_t n_prefix_hashes;
  size_t n_avoid; /* number of endpoints that the submitter excluded */
  size_t n_tried; /* number of endpoints that failed the request or were slow to answer it */
  uint64_t *prefix_hashes;
  LbName *avoid; /* n_avoid excluded endpoints, then n_tried tried endpoints */
} LcRequest;

LcRequest *lc_request_new (const LcRequestSpec *spec, LcPoolState *pool, LbTime now);
void lc_request_free (LcRequest *request);

LcAttempt *lc_request_add_attempt (LcRequest *request, const char *endpoint, LbTime now);
LcAttempt *lc_request_find_attempt (const LcRequest *request, uint32_t number);
void lc_request_remove_attempt (LcRequest *request, LcAttempt *attempt);
/* Records that the endpoint has failed the request or is slow to answer it; later attempts prefer
 * other endpoints. */
void lc_request_add_tried_endpoint (LcRequest *request, const char *endpoint);

LcQueueKey lc_request_make_queue_key (const LcRequest *request);
LcRouteQuery
lc_request_make_route_query (const LcRequest *request, const char *data_centre, bool avoid_tried);
bool lc_request_has_attempts_left (const LcRequest *request);
bool lc_request_has_output (const LcRequest *request);
/* Whether another attempt may resume the stream where a broken attempt ended. */
bool lc_request_is_resumable_stream (const LcRequest *request);

#endif

#ifndef LC_REQUEST_H
#define LC_REQUEST_H

#include "lc-dispatch.h"
#include "lc-pool.h"

#include <uthash.h>

/* One attempt of a request at one endpoint. */
typedef struct
{
  LbLink link;
  uint32_t number;
  LbName endpoint;
  LbTime sent_at;
  LbTime last_piece_at; /* 0: no piece yet */
  int64_t next_offset;  /* index of the next expected token */
  int64_t received_tokens;
  bool has_piece;
  bool is_complete; /* a piece carried the end marker */
} LcAttempt;

typedef enum
{
  LC_STATE_WAITING, /* in the queue of its pool */
  LC_STATE_BACKOFF, /* waits until retry_at, then is queued again */
  LC_STATE_RUNNING  /* has attempts */
} LcRequestState;

/* A request from admission to its final result. Keeps only the needed part of the spec, since
 * thousands may wait. */
typedef struct
{
  UT_hash_handle hh;
  LcRequestId id;
  LcPoolState *pool;
  LcQueueEntry queue_entry;
  LcHeapNode timer_node;
  LbTime timer_due; /* when the dispatch must act on the request; LB_TIME_NEVER: no timer */
  LbTime submitted;
  LbTime deadline;       /* latest end of the answer */
  LbTime soft_deadline;  /* 0: none */
  LbTime start_deadline; /* latest start of the first attempt; not after the deadline */
  LbTime retry_at;
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
  bool may_have_run; /* some attempt may have run; never becomes false again */
  bool hedged;
  bool retry_charged; /* the caller's budget was charged for the next attempt, a retry */
  int64_t prompt_tokens;
  int64_t expected_tokens;
  LcVersion min_version;
  int64_t first_token;        /* index of the first token that the submitter wants */
  int64_t next_token;         /* STREAM: index of the next token to forward */
  uint32_t forwarded_attempt; /* STREAM: the attempt whose pieces are forwarded; 0: none yet */
  uint32_t n_attempts;        /* attempts sent so far; also the number of the last one */
  LbTime hedge_after;         /* 0: the dispatch's default, for live calls */
  uint32_t max_attempts;      /* 0: only the dispatch's own limit */
  uint32_t n_not_sent;        /* those of n_attempts of which no byte was sent */
  uint32_t n_retries;
  uint32_t n_consecutive_lost; /* consecutive attempts that may have run and returned nothing */
  LbErrorCode last_error;      /* error of the request if no further attempt follows */
  LbList attempts;             /* LcAttempt; the running ones */
  size_t n_prefix_hashes;
  size_t n_avoid; /* endpoints to avoid that the submitter named */
  size_t n_tried; /* endpoints that failed this request; they follow the submitted ones in avoid */
  uint64_t *prefix_hashes;
  LbName *avoid; /* n_avoid submitted ones, then n_tried */
} LcRequest;

LcRequest *lc_request_new (const LcRequestSpec *spec, LcPoolState *pool, LbTime now);
void lc_request_free (LcRequest *request);

LcAttempt *lc_request_add_attempt (LcRequest *request, const char *endpoint, LbTime now);
LcAttempt *lc_request_find_attempt (const LcRequest *request, uint32_t number);
void lc_request_remove_attempt (LcRequest *request, LcAttempt *attempt);
/* Records that the endpoint failed the request; later attempts prefer other endpoints. */
void lc_request_add_tried (LcRequest *request, const char *endpoint);

LcQueueKey lc_request_queue_key (const LcRequest *request);
LcRouteQuery
lc_request_route_query (const LcRequest *request, const char *data_centre, bool avoid_tried);
bool lc_request_has_attempts_left (const LcRequest *request);
bool lc_request_has_output (const LcRequest *request);
/* Whether a broken attempt is followed by one that resumes behind its pieces. */
bool lc_request_is_resumable_stream (const LcRequest *request);

#endif

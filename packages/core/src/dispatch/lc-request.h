#ifndef LC_REQUEST_H
#define LC_REQUEST_H

#include "lc-dispatch.h"
#include "lc-pool.h"

#include <uthash.h>

/* One try of a request at one endpoint. */
typedef struct
{
  LbLink link;
  uint32_t number;
  LbName endpoint;
  LbTime sent_at;
  LbTime piece_at; /* when the last piece came; 0: none has */
  int64_t offset;  /* next token expected */
  int64_t tokens;  /* received */
  bool heard;      /* a piece came */
  bool whole;      /* the end marker came as a piece */
} LcAttempt;

typedef enum
{
  LC_STATE_WAITING, /* in the queue of its pool */
  LC_STATE_BACKOFF, /* waits for the time of its retry */
  LC_STATE_RUNNING  /* has attempts */
} LcRequestState;

/* A request from its admission to its final answer. Of the spec only what is needed is kept, since
 * thousands may wait. */
typedef struct
{
  UT_hash_handle hh;
  LcRequestId id;
  LcPoolState *pool;
  LcWaiting waiting;
  LcHeapNode timer;
  LbTime due; /* when the timer fires; LB_TIME_NEVER: never */
  LbTime submitted;
  LbTime deadline;      /* of the answer */
  LbTime soft_deadline; /* 0: no such time */
  LbTime start_by;      /* of the first attempt; not after the deadline */
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
  bool maybe_run; /* some attempt may have run; never becomes false again */
  bool hedged;
  bool charged; /* the next attempt is a retry that its caller has paid for */
  int64_t prompt_tokens;
  int64_t expected_tokens;
  LcVersion min_version;
  int64_t first_token;   /* as submitted */
  int64_t next_token;    /* STREAM: the one to be forwarded next */
  uint32_t owner;        /* STREAM: the attempt whose pieces are forwarded; 0: none yet */
  uint32_t n_attempts;   /* made so far; the number of the last */
  LbTime hedge_after;    /* 0: the dispatch's own, for live calls */
  uint32_t max_attempts; /* 0: the dispatch's own limit */
  uint32_t n_not_handed; /* of these, those of which no byte left: nobody was asked */
  uint32_t n_retries;
  uint32_t n_lost;        /* attempts in a row that may have run and brought nothing */
  LbErrorCode last_error; /* what the last failed attempt means if nothing else follows */
  LbList attempts;        /* LcAttempt, those that run */
  size_t n_prefix_hashes;
  size_t n_avoid; /* as submitted */
  size_t n_tried; /* endpoints that failed this request, after those to avoid */
  uint64_t *prefix_hashes;
  LbName *avoid; /* n_avoid, then n_tried */
} LcRequest;

LcRequest *lc_request_new (const LcRequestSpec *spec, LcPoolState *pool, LbTime now);
void lc_request_free (LcRequest *request);

LcAttempt *lc_request_add_attempt (LcRequest *request, const char *endpoint, LbTime now);
LcAttempt *lc_request_attempt (const LcRequest *request, uint32_t number);
void lc_request_drop_attempt (LcRequest *request, LcAttempt *attempt);
/* Later attempts go elsewhere if they can. */
void lc_request_tried (LcRequest *request, const char *endpoint);

LcQueueKey lc_request_key (const LcRequest *request);
LcRouteQuery lc_request_query (const LcRequest *request, const char *data_centre, bool avoid_tried);
/* Whether one more attempt may be made. */
bool lc_request_has_attempts_left (const LcRequest *request);
bool lc_request_has_output (const LcRequest *request);
/* Whether an attempt that breaks is followed by one that goes on behind its pieces. */
bool lc_request_keeps_pieces (const LcRequest *request);

#endif

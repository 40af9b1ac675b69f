#ifndef LC_DISPATCH_H
#define LC_DISPATCH_H

#include "lc-quarantine.h"
#include "lc-router.h"

/* Handles the requests of this instance from admission to final result: queue, attempts, retries,
 * hedges, streaming, and whether a failure may be reported as "not run". No I/O: commands append
 * actions that the caller carries out. */

#define LC_MAX_PREFIX_HASHES 16

/* How pieces of an answer reach the submitter. */
typedef enum
{
  LC_DELIVER_STREAM,  /* forwarded as they arrive, all from the first attempt that sends one */
  LC_DELIVER_BUFFERED /* collected per attempt; the first complete attempt is the answer */
} LcDelivery;

typedef struct
{
  LcRequestId id;        /* chosen by the submitter; never reused in this process */
  LcFingerprint content; /* hash of what it asks for; the quarantine refuses by it */
  LcRequestKind kind;
  LcDelivery delivery;
  LbName pool;           /* pool or service name */
  LbName caller;         /* live caller or subscription; unit of fair sharing and retry budgets */
  LbName flow;           /* callers of one flow share as one; empty: the caller alone */
  double share;          /* weight of the caller within its kind; 0: 1 */
  bool repeatable;       /* may run more than once */
  bool resumable;        /* a broken stream may continue elsewhere at its last offset */
  bool failure_is_final; /* the submitter counts endpoint failures itself: no retry after one */
  int64_t max_attempts;  /* 0: only the dispatch's own limit */
  LbTime hedge_after;    /* if repeatable and no piece came; 0: default, for live calls */
  int organisation_priority; /* higher first within a kind */
  int priority;              /* higher first within one organisation_priority */
  /* Latest start to finish in time; among equal priorities the earlier goes first. 0: none. */
  LbTime latest_start;
  LbTime soft_deadline; /* desired completion time of the whole answer; 0: none */
  int64_t prompt_tokens;
  int64_t expected_tokens; /* expected length of the answer; 0: not known */
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  LcVersion min_version; /* oldest acceptable weights; 0: any */
  LbTime deadline;       /* LB_TIME_NEVER: none */
  int64_t resume_at;     /* index of the first token wanted; the submitter has those before it */
  LbName avoid[LC_MAX_AVOIDED_ENDPOINTS]; /* excluded; for samples only while others are eligible */
  size_t n_avoid;
} LcRequestSpec;

/* A piece of an answer as the endpoint sent it. */
typedef struct
{
  int64_t offset; /* index of its first token */
  int64_t tokens;
  LcVersion version;           /* 0: not stated */
  bool last;                   /* explicit end marker */
  LcVersion kv_reused_version; /* version of the KV cache that the engine says it reused; 0: none */
} LcPiece;

typedef enum
{
  LC_PIECE_FORWARD, /* new to the submitter: forward it (STREAM) or collect it (BUFFERED) */
  LC_PIECE_DROP     /* from another attempt, repeated or out of order; counted in a metric */
} LcPieceVerdict;

/* How an attempt ended, as the node saw it. */
typedef enum
{
  LC_END_COMPLETE,        /* the end marker was received */
  LC_END_REFUSED,         /* the endpoint replied that it did not start the request */
  LC_END_REFUSED_LEAVING, /* the same, because it is leaving */
  LC_END_NOT_SENT,        /* no byte was written to a socket */
  LC_END_BROKEN,          /* connection lost, or silent for too long, after bytes were written */
  LC_END_REJECTED,        /* the endpoint replied that the request can never succeed */
  LC_END_FAILED           /* the endpoint replied with a failure after it may have run */
} LcAttemptEnd;

typedef enum
{
  LC_ACTION_SEND,   /* start the attempt at the endpoint, from token resume_at */
  LC_ACTION_CANCEL, /* close the attempt; its later events are ignored */
  LC_ACTION_FINISH  /* final result for the submitter: error is LB_OK or the failure */
} LcActionType;

typedef struct
{
  LbLink link;
  LcActionType type;
  LcRequestId request;
  uint32_t attempt;
  LbName endpoint;
  LbName address;
  int64_t resume_at;        /* SEND: index of the first token to generate */
  LbErrorCode error;        /* FINISH: LB_OK or the failure */
  LbTime retry_after;       /* hint for the caller of a failed request; 0: none */
  LcRouteDecision decision; /* SEND: for the log; pointers are valid until the next command */
} LcAction;

typedef struct
{
  LbName data_centre;
  LbName policy; /* empty: "lentilspindle" */
  int64_t queue_limit;
  LbTime default_deadline;
  double retry_budget;   /* retries and hedges per successful attempt */
  LbTime hedge_after;    /* for repeatable live calls without a first piece; 0: never */
  LbTime max_report_age; /* endpoints with older load reports are used last; 0: 2.5 s */
  uint64_t seed;
} LcDispatchSettings;

typedef struct LcDispatch LcDispatch;

LcDispatch *lc_dispatch_new (const LcDispatchSettings *settings);
void lc_dispatch_free (LcDispatch *dispatch);

/* commands; they append actions to the list, which the caller owns (lc_action_free) */
void
lc_dispatch_configure (LcDispatch *dispatch, const LcResourceSet *set, LbTime now, LbList *actions);
/* Returns false with a "not run" error and *retry_after if the request is not admitted. */
bool lc_dispatch_submit (LcDispatch *dispatch,
                         const LcRequestSpec *spec,
                         LbTime now,
                         LbList *actions,
                         LbTime *retry_after,
                         LbError *error);
/* The submitter is gone: removes the request and cancels its attempts; no FINISH follows. */
void lc_dispatch_cancel (LcDispatch *dispatch, LcRequestId request, LbTime now, LbList *actions);
LcPieceVerdict lc_dispatch_receive_piece (LcDispatch *dispatch,
                                          LcRequestId request,
                                          uint32_t attempt,
                                          const LcPiece *piece,
                                          LbTime now,
                                          LbList *actions);
void lc_dispatch_record_attempt_end (LcDispatch *dispatch,
                                     LcRequestId request,
                                     uint32_t attempt,
                                     LcAttemptEnd end,
                                     LbTime now,
                                     LbList *actions);
void lc_dispatch_record_load (LcDispatch *dispatch,
                              const char *endpoint,
                              const LcLoadReport *report,
                              LbTime now,
                              LbList *actions);
void lc_dispatch_mark_leaving (LcDispatch *dispatch,
                               const char *endpoint,
                               const char *incarnation,
                               LcLeavingSource source,
                               LbTime now,
                               LbList *actions);
/* Refuses new requests as "not run" from here on; admitted ones continue. */
void lc_dispatch_drain (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_dispatch_tick (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_action_free (LcAction *action);

/* queries */
/* Whether the plain service is configured. */
bool lc_dispatch_has_service (const LcDispatch *dispatch, const char *service);
LbTime lc_dispatch_next_tick (const LcDispatch *dispatch);
size_t lc_dispatch_count_in_progress (const LcDispatch *dispatch);
size_t lc_dispatch_count_waiting (const LcDispatch *dispatch, LcRequestKind kind);
LcEndpoints *lc_dispatch_get_endpoints (LcDispatch *dispatch);
LcQuarantine *lc_dispatch_get_quarantine (LcDispatch *dispatch);
/* Actions suppressed since the start because they would have violated an invariant; 0 in a correct
 * program. */
uint64_t lc_dispatch_count_invariant_failures (const LcDispatch *dispatch);

#endif

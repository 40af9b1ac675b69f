#ifndef LC_DISPATCH_H
#define LC_DISPATCH_H

#include "lc-quarantine.h"
#include "lc-router.h"

/* The life of every request of this instance: admission, queue, attempts, retries, hedges, the
 * whole answer, and what may be said when it fails. No I/O: commands return actions for the node.
 */

#define LC_MAX_PREFIX_HASHES 16

/* How pieces of an answer reach the caller. */
typedef enum
{
  LC_DELIVER_STREAM, /* pieces go out as they come; the first attempt that sends one is the only one
                      */
  LC_DELIVER_BUFFERED /* gathered per attempt; the first whole one is the answer */
} LcDelivery;

typedef struct
{
  LcRequestId id;        /* chosen by the submitter; never reused in this process */
  LcFingerprint content; /* what it asks for */
  LcRequestKind kind;
  LcDelivery delivery;
  LbName pool;   /* pool, or service name */
  LbName caller; /* live caller or subscription: the unit of fair shares and budgets */
  LbName flow;   /* callers of one flow share as one; empty: the caller alone */
  double share;  /* weight of the caller among its kind; 0: 1 */
  bool repeatable;
  bool resumable;        /* a broken stream may go on elsewhere at the last offset */
  bool failure_is_final; /* the submitter counts failures of endpoints: each one is an answer */
  int64_t max_attempts;  /* 0: the dispatch's own limit */
  LbTime
      hedge_after; /* if repeatable, with no first piece; 0: the dispatch's own, for live calls */
  int organisation_priority; /* larger first within a kind */
  int priority;              /* larger first among those of one organisation_priority */
  /* When it has to begin in order to end in time; of equal priority the earlier one goes first. 0:
   * none. */
  LbTime latest_start;
  LbTime soft_deadline; /* when it is wanted whole; 0: none */
  int64_t prompt_tokens;
  int64_t expected_tokens;
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  LcVersion min_version;
  LbTime deadline;   /* LB_TIME_NEVER: none */
  int64_t resume_at; /* first token wanted; the submitter has those before */
  LbName avoid[LC_MAX_AVOIDED_ENDPOINTS];
  size_t n_avoid;
} LcRequestSpec;

/* A piece of an answer as the endpoint sent it. */
typedef struct
{
  int64_t offset; /* index of its first token */
  int64_t tokens;
  LcVersion version;           /* 0: not stated */
  bool last;                   /* explicit end marker */
  LcVersion kv_reused_version; /* the engine said that it reused KV cache of it; 0: no */
} LcPiece;

typedef enum
{
  LC_PIECE_FORWARD, /* new to the submitter: pass it on (STREAM) or keep it (WHOLE) */
  LC_PIECE_DROP     /* of another attempt, a repeat, or out of order; counted */
} LcPieceVerdict;

/* How an attempt ended, as the node saw it. */
typedef enum
{
  LC_END_COMPLETE,        /* the end marker came */
  LC_END_REFUSED,         /* the endpoint itself said that it did not start */
  LC_END_REFUSED_LEAVING, /* the same, because it is leaving */
  LC_END_NOT_SENT,        /* no byte was handed to a socket */
  LC_END_BROKEN,          /* connection lost or silent after bytes were handed */
  LC_END_REJECTED,        /* the endpoint answered that the request can never be done */
  LC_END_FAILED           /* the endpoint answered with a failure after it may have run */
} LcAttemptEnd;

typedef enum
{
  LC_ACTION_SEND,   /* open attempt at endpoint, from token resume_at */
  LC_ACTION_CANCEL, /* close the attempt; expect no more events of it */
  LC_ACTION_FINISH  /* final answer for the submitter: error.code LB_OK or the typed failure */
} LcActionType;

typedef struct
{
  LbLink link;
  LcActionType type;
  LcRequestId request;
  uint32_t attempt;
  LbName endpoint;
  LbName address;
  int64_t resume_at;
  LbErrorCode error;
  LbTime retry_after;       /* hint for the caller with a "not run"; 0: none */
  LcRouteDecision decision; /* SEND: for the log; pointers valid until the next command */
} LcAction;

typedef struct
{
  LbName data_centre;
  LbName policy; /* empty: "lentilspindle" */
  int64_t queue_limit;
  LbTime default_deadline;
  double retry_budget;   /* retries and hedges as a share of successes */
  LbTime hedge_after;    /* for repeatable live calls with no first piece; 0: never */
  LbTime max_report_age; /* age of an endpoint's report above which it comes last; 0: 2.5 s */
  uint64_t seed;
} LcDispatchSettings;

typedef struct LcDispatch LcDispatch;

LcDispatch *lc_dispatch_new (const LcDispatchSettings *settings);
void lc_dispatch_free (LcDispatch *dispatch);

/* commands; actions are appended to the list and owned by the caller (lc_action_free) */
void
lc_dispatch_configure (LcDispatch *dispatch, const LcResourceSet *set, LbTime now, LbList *actions);
/* False with a typed "not run" error and *retry_after when it is not admitted. */
bool lc_dispatch_submit (LcDispatch *dispatch,
                         const LcRequestSpec *spec,
                         LbTime now,
                         LbList *actions,
                         LbTime *retry_after,
                         LbError *error);
/* The submitter is gone: out of the queue, attempts cancelled, no FINISH follows. */
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
/* New work is refused "not run" from here on; what runs goes on. */
void lc_dispatch_drain (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_dispatch_tick (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_action_free (LcAction *action);

/* queries */
/* Whether the resources that were configured name the plain service. */
bool lc_dispatch_has_service (const LcDispatch *dispatch, const char *service);
LbTime lc_dispatch_next_tick (const LcDispatch *dispatch);
size_t lc_dispatch_count_in_progress (const LcDispatch *dispatch);
size_t lc_dispatch_count_waiting (const LcDispatch *dispatch, LcRequestKind kind);
LcEndpoints *lc_dispatch_endpoints (LcDispatch *dispatch);
LcQuarantine *lc_dispatch_quarantine (LcDispatch *dispatch);
/* Actions refused since the start because they would have broken a promise; 0 in a sound program.
 */
uint64_t lc_dispatch_invariant_failures (const LcDispatch *dispatch);

#endif

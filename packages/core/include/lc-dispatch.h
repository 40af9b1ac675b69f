#ifndef LC_DISPATCH_H
#define LC_DISPATCH_H

#include "lc-move.h"
#include "lc-quarantine.h"
#include "lc-router.h"

/* This header declares the dispatcher, which handles the requests of this instance from admission
 * to final result: queue, attempts, retries, hedges and streaming. It also decides whether a
 * failure may be reported as "not run". No I/O: commands append actions that the caller carries
 * out. */

#define LC_MAX_PREFIX_HASHES 16

/* How the parts of an answer are passed to the submitter of the request. */
typedef enum
{
  LC_DELIVER_STREAM,  /* forward the pieces of the first attempt that sends one */
  LC_DELIVER_BUFFERED /* collect pieces per attempt; the first complete attempt is the answer */
} LcDelivery;

typedef struct
{
  LcRequestId id; /* chosen by the submitter; never reused in this process */
  /* id of the request in logs; NULL: none. Only used while lc_dispatch_submit runs. */
  const char *external_id;
  LcFingerprint content; /* hash of the request's content, by which a quarantine can refuse it */
  LcRequestKind kind;
  LcDelivery delivery;
  LbName pool;    /* pool or service name */
  LbName service; /* service whose engines run the request; "": those that belong to none */
  /* client or trainer's subscription that the request runs for; each caller has its own retry
   * budget */
  LbName caller;
  /* name of the flow (queue of requests that fair queueing serves in turn with others) that the
   * request belongs to; a flow may combine several callers; empty: the caller's name is used */
  LbName flow;
  double share;    /* weight of the flow in fair queueing among flows of the same kind; 0 means 1 */
  bool repeatable; /* the request may be executed more than once */
  bool resumable;  /* another endpoint may continue a broken stream at its last offset */
  /* the request was handed in to run later and is still owed: after crashes of endpoints it is only
   * postponed, not quarantined */
  bool is_owed;
  /* an attempt that ends with LC_END_FAILED is not retried, because the submitter counts such
   * failures itself */
  bool failure_is_final;
  /* maximum number of attempts, from the request's route; 0: only MAX_ATTEMPTS of lc-request.c
   * applies */
  int64_t max_attempts;
  /* Time without a piece until a repeatable request is hedged. 0: LcDispatchSettings.hedge_after
   * for live calls, no hedge for others. */
  LbTime hedge_after;
  int organisation_priority; /* among requests of one kind, higher is sent first */
  int priority; /* among requests of equal organisation_priority, higher is sent first */
  /* Latest start that still lets the answer finish in time; 0: none. Among requests of equal
   * priority, the earliest is sent first. */
  LbTime latest_start;
  LbTime soft_deadline; /* desired completion time of the whole answer; 0: none */
  int64_t prompt_tokens;
  int64_t expected_tokens; /* expected length of the answer; 0: unknown */
  uint64_t prefix_hashes[LC_MAX_PREFIX_HASHES];
  size_t n_prefix_hashes;
  LcVersion min_version; /* oldest acceptable weight version; 0: any */
  LbTime deadline;       /* latest end of the answer; LB_TIME_NEVER: none */
  /* index of the first token that the endpoint must generate; the submitter has all earlier
   * tokens */
  int64_t resume_at;
  /* endpoints to exclude; a trainer's samples may still be sent to them if no other endpoint is
   * eligible */
  LbName avoid[LC_MAX_AVOIDED_ENDPOINTS];
  size_t n_avoid;
  /* endpoint that gets the request if it can take it at once; otherwise the request is placed like
   * any other; "": none */
  LbName preferred_endpoint;
} LcRequestSpec;

/* Consecutive tokens of an answer, as the endpoint sent them. */
typedef struct
{
  int64_t offset; /* index of the piece's first token in the answer */
  int64_t tokens;
  LcVersion version; /* weight version that generated the tokens; 0: not stated */
  bool last;         /* the piece carries the explicit end marker */
  /* version of the weights that computed the KV cache reported as reused for these tokens; 0:
   * none */
  LcVersion kv_reused_version;
} LcPiece;

typedef enum
{
  /* pass the piece on to the submitter: forward the piece (LC_DELIVER_STREAM) or collect it
   * (LC_DELIVER_BUFFERED) */
  LC_PIECE_FORWARD,
  /* discard and count the piece, because it is repeated, out of order or of a superseded attempt */
  LC_PIECE_DROP
} LcPieceVerdict;

/* How an attempt ended, as observed by this instance. */
typedef enum
{
  LC_END_COMPLETE,        /* the end marker was received */
  LC_END_REFUSED,         /* the endpoint replied that it did not start the request */
  LC_END_REFUSED_LEAVING, /* the endpoint did not start the request because it is leaving */
  /* the endpoint did not start the request because a condition that the caller set is not met,
   * which says nothing about the endpoint */
  LC_END_REFUSED_CONDITION,
  LC_END_NOT_SENT, /* no byte was written to a socket */
  LC_END_BROKEN,   /* after bytes were written, the connection was lost or silent for too long */
  LC_END_REJECTED, /* the endpoint replied that the request can never succeed */
  LC_END_FAILED    /* the endpoint replied with a failure; the request may have run */
} LcAttemptEnd;

typedef enum
{
  /* send the request to an endpoint as a new attempt that begins with token resume_at */
  LC_ACTION_SEND,
  LC_ACTION_CANCEL, /* close the attempt's connection; later events of the attempt are ignored */
  LC_ACTION_FINISH  /* give the submitter the final result, LB_OK or the failure */
} LcActionType;

typedef struct
{
  LbLink link;
  LcActionType type;
  LcRequestId request;
  uint32_t attempt;
  LbName endpoint;
  LbName address;
  int64_t resume_at;  /* SEND: index of the first token to generate */
  LbErrorCode error;  /* FINISH: LB_OK or the failure */
  LbTime retry_after; /* FINISH: delay after which the caller should retry a failure; 0: no hint */
  /* SEND: why the endpoint was chosen, for the log; its pointers are valid until the LcDispatch is
   * next changed */
  LcRouteDecision decision;
} LcAction;

typedef struct
{
  LbName data_centre;
  LbName policy; /* name of the routing policy; empty: "lentilspindle" */
  int64_t queue_limit;
  LbTime default_deadline;
  double retry_budget;   /* number of retries and hedges allowed per successful attempt */
  LbTime hedge_after;    /* time without a piece until a repeatable live call is hedged; 0: never */
  LbTime max_report_age; /* endpoints with older load reports are chosen last; 0: 2.5 s */
  uint64_t seed;
} LcDispatchSettings;

typedef struct LcDispatch LcDispatch;

LcDispatch *lc_dispatch_new (const LcDispatchSettings *settings);
void lc_dispatch_free (LcDispatch *dispatch);

/* Functions that change an LcDispatch. They append to actions, which the caller owns and frees with
 * lc_action_free. */

void
lc_dispatch_configure (LcDispatch *dispatch, const LcResourceSet *set, LbTime now, LbList *actions);
/* Returns false with a "not run" error and *retry_after if the request is not admitted. */
bool lc_dispatch_submit (LcDispatch *dispatch,
                         const LcRequestSpec *spec,
                         LbTime now,
                         LbList *actions,
                         LbTime *retry_after,
                         LbError *error);
/* Removes the request of a submitter that has disconnected and cancels its attempts. Appends no
 * LC_ACTION_FINISH. */
void lc_dispatch_cancel (LcDispatch *dispatch, LcRequestId request, LbTime now, LbList *actions);
/* Brings the request's deadline forward to `deadline` if it is later. */
void lc_dispatch_limit_deadline (LcDispatch *dispatch, LcRequestId request, LbTime deadline);
/* Decides whether a running sample moves to another endpoint. Does not change the sample, but holds
 * the free slot of the chosen endpoint for a moment against other moves: the caller must cancel the
 * request and submit the rest with preferred_endpoint. */
LcMoveDecision lc_dispatch_decide_move (LcDispatch *dispatch,
                                        LcRequestId request,
                                        const LcMoveProposal *proposal,
                                        LbTime now);
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
void lc_dispatch_record_load_report (LcDispatch *dispatch,
                                     const char *endpoint,
                                     const LcLoadReport *report,
                                     LbTime now,
                                     LbList *actions);
void lc_dispatch_mark_endpoint_leaving (LcDispatch *dispatch,
                                        const char *endpoint,
                                        const char *incarnation,
                                        LcLeavingSource source,
                                        LbTime now,
                                        LbList *actions);
/* Makes lc_dispatch_submit refuse all further requests as "not run"; admitted requests continue. */
void lc_dispatch_drain (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_dispatch_tick (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_action_free (LcAction *action);

/* Functions that give access to the state of an LcDispatch and append no actions. */

/* Whether the current configuration contains a plain service, not a pool, of this name. */
bool lc_dispatch_has_service (const LcDispatch *dispatch, const char *service);
/* Whether the request is known and no attempt of it runs. */
bool lc_dispatch_is_request_waiting (const LcDispatch *dispatch, LcRequestId request);
LbTime lc_dispatch_next_tick (const LcDispatch *dispatch);
size_t lc_dispatch_count_requests_in_progress (const LcDispatch *dispatch);
size_t lc_dispatch_count_waiting_requests (const LcDispatch *dispatch, LcRequestKind kind);
LcEndpoints *lc_dispatch_get_endpoints (LcDispatch *dispatch);
LcQuarantine *lc_dispatch_get_quarantine (LcDispatch *dispatch);
/* Number of actions suppressed because they would have violated an invariant; 0 in a correct
 * program. */
uint64_t lc_dispatch_count_invariant_failures (const LcDispatch *dispatch);

#endif

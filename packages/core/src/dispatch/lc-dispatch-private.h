#ifndef LC_DISPATCH_PRIVATE_H
#define LC_DISPATCH_PRIVATE_H

#include "lc-request.h"
#include "lc-retry.h"

/* Longest time between two attempts to place the waiting requests: circuit breakers, weight swaps
 * and concurrency limits can change without an event. */
#define LC_DISPATCH_POLL_INTERVAL (20 * LB_MSEC)

#define LC_MAX_MOVE_HOLDS 16

/* A slot that is kept for a moving text: a free one until the text arrives, or the next one that
 * becomes free. */
typedef struct
{
  LbName endpoint;   /* "": the entry is not used */
  LcRequestId owner; /* running text that waits for the slot; 0: the text is on its way */
  LbTime until;
} LcMoveHold;

struct LcDispatch
{
  LcDispatchSettings settings;
  LcEndpoints *endpoints;
  LcRouter *router;
  LcRetryBudgets *budgets;
  LcQuarantine *quarantine;
  gsl_rng *random;
  LcPoolState *pools[LC_N_POOL_KINDS];
  LcRequest *requests;
  LcHeap timers; /* requests with a timer (LcRequest), earliest timer_due first */
  LcMoveHold move_holds[LC_MAX_MOVE_HOLDS];
  size_t n_move_holds;    /* number of used entries in move_holds */
  LbTime polled_at;       /* when all pools were last polled for requests that can be placed */
  uint64_t last_sequence; /* LcQueueEntry.sequence of the last admitted request */
  uint64_t invariant_failures;
  bool draining;
  bool forbid_cancel; /* set while the configuration, a load report or a leaving mark is applied:
                         none of these may cancel an attempt */
};

static inline LcPoolKind
lc_pool_kind_of_request (LcRequestKind kind)
{
  return kind == LC_KIND_SERVICE ? LC_POOL_SERVICE : LC_POOL_ENGINES;
}

static inline LcPoolKind
lc_pool_kind_of_endpoint (const LcEndpointMember *member)
{
  return member->kind == LC_ENDPOINT_SERVICE ? LC_POOL_SERVICE : LC_POOL_ENGINES;
}

/* Implemented in lc-dispatch-query.c. */
LcRequest *lc_dispatch_find_request (const LcDispatch *dispatch, LcRequestId id);

/* Returns until when requests with this content, on which endpoints have crashed, must not be sent;
 * 0 if they may be. is_owed: they are postponed, not quarantined. */
LbTime lc_dispatch_find_quarantine_end (const LcDispatch *dispatch,
                                        LcFingerprint content,
                                        bool is_owed,
                                        LbTime now);

/* Implemented in lc-timers.c. */
void lc_dispatch_reschedule_request_timer (LcDispatch *dispatch, LcRequest *request);
LcRequest *lc_dispatch_find_due_request (LcDispatch *dispatch, LbTime now);

/* Implemented in lc-placement.c, which queues requests and sends them to endpoints. */
LbTime lc_dispatch_earliest_pool_availability (LcDispatch *dispatch, const LcPoolState *pool);
bool lc_dispatch_may_wait_for_pool (LcRequestKind kind,
                                    LbTime available_at,
                                    LbTime start_deadline,
                                    LbTime now);
void lc_dispatch_enqueue (LcDispatch *dispatch, LcRequest *request);
bool lc_dispatch_should_try_placement (const LcRequest *request);
void lc_dispatch_send_waiting_requests (LcDispatch *dispatch,
                                        LcPoolState *pool,
                                        LbTime now,
                                        LbList *actions);
void
lc_dispatch_send_waiting_requests_of_all_pools (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_dispatch_try_hedge (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions);

/* Sends a queued request to this endpoint if the endpoint can take it now. */
bool lc_dispatch_send_to_preferred_endpoint (
    LcDispatch *dispatch, LcRequest *request, const char *endpoint, LbTime now, LbList *actions);

/* Implemented in lc-late-calls.c, which refuses waiting calls that would be late. */
/* Whether the call can't end by its deadline even if a slot is free now. */
bool lc_dispatch_is_too_late_to_start (const LcRequest *request, LbTime now);
/* Returns when lc_dispatch_check_late_call is due; LB_TIME_NEVER: never. */
LbTime lc_dispatch_next_late_check (const LcRequest *request);
/* Refuses a call whose latest useful start has passed, or sets the time of the next check. */
void
lc_dispatch_check_late_call (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions);
void lc_dispatch_refuse_late_call (LcDispatch *dispatch,
                                   LcRequest *request,
                                   LbTime now,
                                   LbList *actions);
/* Refuses the calls that are no longer expected to be served in time, for example because an
 * endpoint has left or stopped answering since they were admitted. */
void lc_dispatch_review_waiting_calls (LcDispatch *dispatch,
                                       const LcPoolState *pool,
                                       LbTime now,
                                       LbList *actions);

/* Implemented in lc-dispatch-move.c. */
void lc_dispatch_release_move_hold (LcDispatch *dispatch, const char *endpoint, LbTime now);
void lc_dispatch_expire_move_holds (LcDispatch *dispatch, LbTime now);

/* Implemented in lc-outcome.c, which ends attempts and requests. */
void lc_dispatch_end_attempt (LcDispatch *dispatch,
                              LcRequest *request,
                              LcAttempt *attempt,
                              LcAttemptEnd end,
                              LbTime now,
                              LbList *actions);
void lc_dispatch_cancel_attempt (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions);
void
lc_dispatch_drop_request (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions);
void lc_dispatch_fail_request (LcDispatch *dispatch,
                               LcRequest *request,
                               LbErrorCode error,
                               LbTime retry_after,
                               LbTime now,
                               LbList *actions);
LbTime lc_dispatch_compute_retry_after (LcDispatch *dispatch,
                                        LcPoolState *pool,
                                        const LcWaitDecision *decision,
                                        LbTime now);
LcAction *lc_action_new (LcActionType type, LcRequestId request, LbList *actions);

/* Implemented in lc-invariant.c. */
bool lc_dispatch_check_invariant (LcDispatch *dispatch,
                                  bool holds,
                                  const char *invariant,
                                  LcRequestId request);

#endif

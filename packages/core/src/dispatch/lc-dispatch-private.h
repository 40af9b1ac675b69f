#ifndef LC_DISPATCH_PRIVATE_H
#define LC_DISPATCH_PRIVATE_H

#include "lc-request.h"
#include "lc-retry.h"

/* Waiting requests are retried at least this often, since breakers, weight swaps and limits also
 * change with time alone. */
#define LC_DISPATCH_POLL_INTERVAL (20 * LB_MSEC)

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
  LcHeap timers;          /* LcRequest ordered by timer_due */
  LbTime polled_at;       /* when the waiting requests of all pools were last retried */
  uint64_t last_sequence; /* LcQueueEntry.sequence of the latest admitted request */
  uint64_t invariant_failures;
  bool draining;
  bool forbid_cancel; /* the current command must not cancel running attempts */
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

/* lc-dispatch-query.c */
LcRequest *lc_dispatch_find_request (const LcDispatch *dispatch, LcRequestId id);

/* Returns the time until which requests with this content are quarantined because endpoints crashed
 * on it; 0 if they are not. */
LbTime
lc_dispatch_quarantined_until (const LcDispatch *dispatch, LcFingerprint content, LbTime now);

/* lc-timers.c */
void lc_dispatch_update_timer (LcDispatch *dispatch, LcRequest *request);
LcRequest *lc_dispatch_find_due (LcDispatch *dispatch, LbTime now);

/* lc-placement.c: queues requests and sends them to endpoints */
LbTime lc_dispatch_pool_available_at (LcDispatch *dispatch, const LcPoolState *pool);
bool
lc_dispatch_may_wait (LcRequestKind kind, LbTime available_at, LbTime start_deadline, LbTime now);
void lc_dispatch_enqueue (LcDispatch *dispatch, LcRequest *request);
bool lc_dispatch_may_be_placed (const LcRequest *request);
void
lc_dispatch_send_waiting (LcDispatch *dispatch, LcPoolState *pool, LbTime now, LbList *actions);
void lc_dispatch_send_all_waiting (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_dispatch_try_hedge (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions);

/* lc-outcome.c: ends attempts and requests */
void lc_dispatch_handle_attempt_end (LcDispatch *dispatch,
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
LbTime lc_dispatch_retry_after (LcDispatch *dispatch,
                                const LcPoolState *pool,
                                const LcQueueKey *key,
                                LbTime now);
LcAction *lc_action_new (LcActionType type, LcRequestId request, LbList *actions);

/* lc-invariant.c */
bool lc_dispatch_check_invariant (LcDispatch *dispatch,
                                  bool holds,
                                  const char *invariant,
                                  LcRequestId request);

#endif

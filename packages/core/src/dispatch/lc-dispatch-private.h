#ifndef LC_DISPATCH_PRIVATE_H
#define LC_DISPATCH_PRIVATE_H

#include "lc-request.h"
#include "lc-retry.h"

/* Waiting requests are tried again at least this often, since breakers, swaps and limits change
 * with time alone. */
#define LC_DISPATCH_POLL (20 * LB_MSEC)

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
  LcHeap timers; /* LcRequest by due */
  LbTime polled_at;
  uint64_t sequence;
  uint64_t invariant_failures;
  bool draining;
  bool keep_running; /* the present command may not cut what runs */
};

static inline LcPoolKind
lc_pool_kind (LcRequestKind kind)
{
  return kind == LC_KIND_SERVICE ? LC_POOL_SERVICE : LC_POOL_ENGINES;
}

static inline LcPoolKind
lc_pool_kind_of (const LcEndpointMember *member)
{
  return member->kind == LC_ENDPOINT_SERVICE ? LC_POOL_SERVICE : LC_POOL_ENGINES;
}

/* lc-dispatch-query.c */
LcRequest *lc_dispatch_find (const LcDispatch *dispatch, LcRequestId id);

/* Until when the request is kept from endpoints, since some ended under its content; 0: it may go.
 */
LbTime lc_dispatch_kept_until (const LcDispatch *dispatch, LcFingerprint content, LbTime now);

/* lc-timers.c */
void lc_dispatch_set_timer (LcDispatch *dispatch, LcRequest *request);
LcRequest *lc_dispatch_due (LcDispatch *dispatch, LbTime now);

/* lc-placement.c */
LbTime lc_dispatch_opens_at (LcDispatch *dispatch, const LcPoolState *pool);
bool lc_dispatch_may_wait (LcRequestKind kind, LbTime opens_at, LbTime start_by, LbTime now);
void lc_dispatch_enqueue (LcDispatch *dispatch, LcRequest *request);
bool lc_dispatch_may_be_next (const LcRequest *request);
void lc_dispatch_pump (LcDispatch *dispatch, LcPoolState *pool, LbTime now, LbList *actions);
void lc_dispatch_pump_all (LcDispatch *dispatch, LbTime now, LbList *actions);
void lc_dispatch_hedge (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions);

/* lc-outcome.c */
void lc_dispatch_end_attempt (LcDispatch *dispatch,
                              LcRequest *request,
                              LcAttempt *attempt,
                              LcAttemptEnd end,
                              LbTime now,
                              LbList *actions);
void lc_dispatch_cancel_attempt (
    LcDispatch *dispatch, LcRequest *request, LcAttempt *attempt, LbTime now, LbList *actions);
void lc_dispatch_forget (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions);
void lc_dispatch_give_up (LcDispatch *dispatch,
                          LcRequest *request,
                          LbErrorCode error,
                          LbTime retry_after,
                          LbTime now,
                          LbList *actions);
LbTime lc_dispatch_retry_hint (LcDispatch *dispatch,
                               const LcPoolState *pool,
                               const LcQueueKey *key,
                               LbTime now);
LcAction *lc_action_new (LcActionType type, LcRequestId request, LbList *actions);

/* lc-invariant.c */
bool lc_dispatch_check (LcDispatch *dispatch, bool holds, const char *promise, LcRequestId request);

#endif

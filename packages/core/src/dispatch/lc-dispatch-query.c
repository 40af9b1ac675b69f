#include "lc-dispatch-private.h"

/* Returns the unfinished request with the id; NULL if there is none. */
LcRequest *
lc_dispatch_find_request (const LcDispatch *dispatch, LcRequestId id)
{
  LcRequest *request = NULL;

  HASH_FIND (hh, dispatch->requests, &id, sizeof id, request);
  return request;
}

bool
lc_dispatch_is_request_waiting (const LcDispatch *dispatch, LcRequestId id)
{
  const LcRequest *request = lc_dispatch_find_request (dispatch, id);

  return request && request->state != LC_STATE_RUNNING;
}

static bool
has_waiting_requests (const LcDispatch *dispatch)
{
  for (int kind = 0; kind < LC_N_POOL_KINDS; kind++)
    for (const LcPoolState *pool = dispatch->pools[kind]; pool; pool = pool->hh.next)
      if (lc_queue_length (pool->queue) > 0)
        return true;
  return false;
}

/* Returns when lc_dispatch_tick must be called next at the latest; LB_TIME_NEVER if no timer is set
 * and no request waits. */
LbTime
lc_dispatch_next_tick (const LcDispatch *dispatch)
{
  const LcHeapNode *node = lc_heap_top (&dispatch->timers);
  LbTime due = node ? LC_HEAP_ENTRY (node, LcRequest, timer_node)->timer_due : LB_TIME_NEVER;
  LbTime poll = has_waiting_requests (dispatch) ? dispatch->polled_at + LC_DISPATCH_POLL_INTERVAL
                                                : LB_TIME_NEVER;

  return poll < due ? poll : due;
}

/* Returns the number of admitted requests without a final result. */
size_t
lc_dispatch_count_requests_in_progress (const LcDispatch *dispatch)
{
  return HASH_COUNT (dispatch->requests);
}

size_t
lc_dispatch_count_waiting_requests (const LcDispatch *dispatch, LcRequestKind kind)
{
  size_t waiting = 0;

  for (const LcPoolState *pool = dispatch->pools[lc_pool_kind_of_request (kind)]; pool;
       pool = pool->hh.next)
    waiting += lc_queue_length_of_kind (pool->queue, kind);
  return waiting;
}

LbTime
lc_dispatch_find_quarantine_end (const LcDispatch *dispatch,
                                 LcFingerprint content,
                                 bool is_owed,
                                 LbTime now)
{
  LbTime until = is_owed ? lc_quarantine_postponed_until (dispatch->quarantine, content)
                         : lc_quarantine_ends_at (dispatch->quarantine, content);

  return until > now ? until : 0;
}

LcQuarantine *
lc_dispatch_get_quarantine (LcDispatch *dispatch)
{
  return dispatch->quarantine;
}

LcEndpoints *
lc_dispatch_get_endpoints (LcDispatch *dispatch)
{
  return dispatch->endpoints;
}

uint64_t
lc_dispatch_count_invariant_failures (const LcDispatch *dispatch)
{
  return dispatch->invariant_failures;
}

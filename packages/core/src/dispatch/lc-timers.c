#include "lc-dispatch-private.h"

#include "lb-time.h"

/* A sample is hedged only after this multiple of the pool's average time to the first piece. If all
 * engines are slow or queue requests, the average rises and samples are not hedged. */
#define HEDGE_FIRST_PIECE_FACTOR 4.0

static LbTime
compute_hedge_delay (const LcDispatch *dispatch, const LcRequest *request)
{
  LbTime usual = (LbTime)(request->pool->first_piece_seconds[request->kind]
                          * HEDGE_FIRST_PIECE_FACTOR * (double)LB_SEC);

  if (request->hedge_after == 0)
    return request->kind == LC_KIND_LIVE ? dispatch->settings.hedge_after : 0;
  if (request->kind != LC_KIND_SAMPLE)
    return request->hedge_after;
  return usual > request->hedge_after ? usual : request->hedge_after;
}

/* Returns when a hedge of the request is due; LB_TIME_NEVER if the request may not be hedged. */
static LbTime
compute_hedge_due_time (const LcDispatch *dispatch, const LcRequest *request)
{
  const LcAttempt *attempt = LB_LIST_FIRST (&request->attempts, LcAttempt, link);
  LbTime after = compute_hedge_delay (dispatch, request);

  if (after <= 0 || !request->repeatable || request->hedged || !attempt || attempt->has_piece
      || !lc_request_has_attempts_left (request))
    return LB_TIME_NEVER;
  return attempt->sent_at + after;
}

static LbTime
compute_next_timer_due (const LcDispatch *dispatch, const LcRequest *request)
{
  switch (request->state)
    {
    case LC_STATE_WAITING:
      return lb_time_earlier (request->start_deadline, lc_dispatch_next_late_check (request));
    case LC_STATE_BACKOFF:
      return lb_time_earlier (request->retry_at, request->deadline);
    default:
      return lb_time_earlier (request->deadline, compute_hedge_due_time (dispatch, request));
    }
}

/* Sets the timer of a request to its next due time. Must be called after each change of the
 * request's state. The timers are in a heap, so a tick costs nothing for requests that are not
 * due. */
void
lc_dispatch_reschedule_request_timer (LcDispatch *dispatch, LcRequest *request)
{
  request->timer_due = compute_next_timer_due (dispatch, request);
  if (request->timer_due == LB_TIME_NEVER)
    lc_heap_remove (&dispatch->timers, &request->timer_node);
  else if (lc_heap_node_is_in_heap (&request->timer_node))
    lc_heap_reposition_node (&dispatch->timers, &request->timer_node);
  else
    lc_heap_push (&dispatch->timers, &request->timer_node);
}

/* Returns a request whose timer has expired; NULL if there is none. */
LcRequest *
lc_dispatch_find_due_request (LcDispatch *dispatch, LbTime now)
{
  LcHeapNode *node = lc_heap_top (&dispatch->timers);
  LcRequest *request = node ? LC_HEAP_ENTRY (node, LcRequest, timer_node) : NULL;

  return request && request->timer_due <= now ? request : NULL;
}

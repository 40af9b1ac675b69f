#include "lc-dispatch-private.h"

#include "lb-time.h"

/* The first piece of a text comes later at engines that are slow, or that queue: only one that is
 * this many times as late as usual speaks against its engine. */
#define USUAL_FIRST_PIECES 4.0

static LbTime
hedge_delay (const LcDispatch *dispatch, const LcRequest *request)
{
  LbTime usual = (LbTime)(request->pool->first_piece_seconds[request->kind] * USUAL_FIRST_PIECES
                          * (double)LB_SEC);

  if (request->hedge_after == 0)
    return request->kind == LC_KIND_LIVE ? dispatch->settings.hedge_after : 0;
  if (request->kind != LC_KIND_SAMPLE)
    return request->hedge_after;
  return usual > request->hedge_after ? usual : request->hedge_after;
}

/* Time at which a second attempt is worth making; NEVER when none is allowed. */
static LbTime
hedge_time (const LcDispatch *dispatch, const LcRequest *request)
{
  const LcAttempt *attempt = LB_LIST_FIRST (&request->attempts, LcAttempt, link);
  LbTime after = hedge_delay (dispatch, request);

  if (after <= 0 || !request->repeatable || request->hedged || !attempt || attempt->heard
      || !lc_request_has_attempts_left (request))
    return LB_TIME_NEVER;
  return attempt->sent_at + after;
}

static LbTime
due_of (const LcDispatch *dispatch, const LcRequest *request)
{
  switch (request->state)
    {
    case LC_STATE_WAITING:
      return request->start_by;
    case LC_STATE_BACKOFF:
      return lb_time_earlier (request->retry_at, request->deadline);
    default:
      return lb_time_earlier (request->deadline, hedge_time (dispatch, request));
    }
}

/* Called after each change of a request's state: one timer a request, so that finding what is due
 * costs nothing for those that are not. */
void
lc_dispatch_set_timer (LcDispatch *dispatch, LcRequest *request)
{
  request->due = due_of (dispatch, request);
  if (request->due == LB_TIME_NEVER)
    lc_heap_remove (&dispatch->timers, &request->timer);
  else if (lc_heap_holds (&request->timer))
    lc_heap_moved (&dispatch->timers, &request->timer);
  else
    lc_heap_push (&dispatch->timers, &request->timer);
}

/* A request whose timer has run out; NULL when there is none. */
LcRequest *
lc_dispatch_due (LcDispatch *dispatch, LbTime now)
{
  LcHeapNode *node = lc_heap_first (&dispatch->timers);
  LcRequest *request = node ? LC_HEAP_ENTRY (node, LcRequest, timer) : NULL;

  return request && request->due <= now ? request : NULL;
}

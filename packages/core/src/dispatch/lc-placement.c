#include "lc-dispatch-private.h"

#include "lc-endpoint-table.h"

#include "lb-alloc.h"

#include <string.h>

/* Requests that are passed over in one round because they fit nowhere now. Bounds the cost of a
 * round while a pool is full. */
#define MAX_PASSED_OVER 16
#define MAX_BLOCKED_WAIT (200 * LB_MSEC)
/* A timer that is later shows that this instance itself stood still. */
#define OWN_PAUSE (300 * LB_MSEC)
/* Until a second attempt that found no place is tried again. */
#define HEDGE_AGAIN (100 * LB_MSEC)
#define MAX_HOLD (1200 * LB_MSEC) /* a little more than a period of the polls for load */

static const LcEndpointGroup *
group_of (const LcDispatch *dispatch, const LcPoolState *pool)
{
  LcEndpointKind kind = pool->kind == LC_POOL_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;

  return lc_endpoints_find_group (dispatch->endpoints, kind, pool->name);
}

/* The earliest time at which some endpoint of the pool may take work as far as its breaker goes: 0
 * for now, LB_TIME_NEVER when nobody serves the pool. */
LbTime
lc_dispatch_opens_at (LcDispatch *dispatch, const LcPoolState *pool)
{
  const LcEndpointGroup *group = group_of (dispatch, pool);
  LbTime opens_at = LB_TIME_NEVER;

  if (!pool->configured || !group)
    return LB_TIME_NEVER;
  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[group->slots[i]];

      if (summary->is_excluded)
        continue;
      if (summary->endpoint->breaker != LC_BREAKER_OPEN)
        return 0;
      if (summary->endpoint->breaker_open_until < opens_at)
        opens_at = summary->endpoint->breaker_open_until;
    }
  return opens_at;
}

/* Whether a call may wait for a pool that opens then. While every breaker of a pool is open, calls
 * that wait would pile up and fall on the first endpoint that returns all at once; their callers
 * are told at once when to come back instead. Samples may wait, since nobody sits before them. */
bool
lc_dispatch_may_wait (LcRequestKind kind, LbTime opens_at, LbTime start_by, LbTime now)
{
  if (opens_at == LB_TIME_NEVER || opens_at > start_by)
    return false;
  return kind == LC_KIND_SAMPLE || opens_at <= now + MAX_BLOCKED_WAIT;
}

void
lc_dispatch_enqueue (LcDispatch *dispatch, LcRequest *request)
{
  LcQueueKey key = lc_request_key (request);

  request->state = LC_STATE_WAITING;
  lc_queue_push (request->pool->queue, &key, &request->waiting);
  lc_dispatch_set_timer (dispatch, request);
}

/* An instance that was paused, was cut off from an endpoint or has just begun may not know that the
 * endpoint is leaving: what it sends is new work, seconds after the last had to go there. A report
 * that was asked for since this time proves that the endpoint was not leaving a short while ago. */
static LbTime
views_count_since (const LcDispatch *dispatch, LbTime now)
{
  LbTime longest = dispatch->settings.max_report_age;

  return longest < now ? now - longest : 0;
}

static bool
has_view (const LcDispatch *dispatch, const LcPoolState *pool, LbTime since)
{
  const LcEndpointGroup *group = group_of (dispatch, pool);

  for (size_t i = 0; group && i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[group->slots[i]];

      if (!summary->is_excluded && summary->reported_at >= since)
        return true;
    }
  return false;
}

/* Holds a pool back none of whose endpoints has a current view, until one reports. Reports come
 * within milliseconds when it was this instance that slept; when none comes for MAX_HOLD,
 * endpoints do not answer for their load and are taken as they are. Those that were never heard of
 * have been kept out by the table of endpoints for as long already. */
static LcRouteDecision
hold_back (LcPoolState *pool, const LcRouteDecision *outdated, LbTime now)
{
  if (!lc_endpoint_entry (outdated->endpoint)->is_reported)
    return *outdated;
  if (pool->held_since == 0)
    pool->held_since = now;
  if (now - pool->held_since >= MAX_HOLD)
    return *outdated;
  return (LcRouteDecision){ .reason = "view-too-old" };
}

/* Chooses among the endpoints with a current view as long as there is one, be they full. */
static LcRouteDecision
route (LcDispatch *dispatch, const LcRequest *request, bool avoid_tried, LbTime now)
{
  LcRouteQuery query = lc_request_query (request, dispatch->settings.data_centre, avoid_tried);

  query.reported_since = views_count_since (dispatch, now);

  LcRouteDecision decision = lc_router_choose (dispatch->router, dispatch->endpoints, &query, now);

  if (decision.endpoint)
    request->pool->held_since = 0;
  if (decision.endpoint || has_view (dispatch, request->pool, query.reported_since))
    return decision;
  query.reported_since = 0;
  decision = lc_router_choose (dispatch->router, dispatch->endpoints, &query, now);
  return decision.endpoint ? hold_back (request->pool, &decision, now) : decision;
}

static LcRouteDecision
choose (LcDispatch *dispatch, const LcRequest *request, LbTime now)
{
  LcRouteDecision decision = route (dispatch, request, true, now);

  if (decision.endpoint || request->n_tried == 0)
    return decision;
  return route (dispatch, request, false, now);
}

/* The last look before new work goes out. A retry, a hedge, a resume and queued work all pass
 * here, so an endpoint that is leaving gets none of them even when a policy names it by mistake,
 * and a call that may not be repeated gets no second attempt while it may have run. */
static bool
may_send (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
{
  bool first = lb_list_is_empty (&request->attempts) && !request->maybe_run;

  return lc_dispatch_check (dispatch, !endpoint->leaving, "no-new-work-to-leaving", request->id)
         && lc_dispatch_check (dispatch, request->repeatable || first, "at-most-once", request->id);
}

static void
send_attempt (LcDispatch *dispatch,
              LcRequest *request,
              const LcRouteDecision *decision,
              LbTime now,
              LbList *actions)
{
  LcEndpoint *endpoint = decision->endpoint;
  LcAttempt *attempt = lc_request_add_attempt (request, endpoint->member.name, now);
  LcAction *action = lc_action_new (LC_ACTION_SEND, request->id, actions);
  size_t n_hashes = request->n_prefix_hashes;

  request->state = LC_STATE_RUNNING;
  action->attempt = attempt->number;
  action->resume_at = attempt->offset;
  action->decision = *decision;
  LB_COPY (action->endpoint, endpoint->member.name);
  LB_COPY (action->address, endpoint->member.address);
  lc_pool_state_started (request->pool, request->kind);
  lc_endpoint_request_sent (endpoint, request->kind,
                            n_hashes ? request->prefix_hashes[n_hashes - 1] : 0, now);
  lc_dispatch_set_timer (dispatch, request);
}

static bool
is_choosy (const LcRequest *request)
{
  return request->min_version > 0 || request->n_avoid > 0;
}

/* False when a newcomer stands behind one that could be sent nowhere a moment ago, and that asked
 * for nothing special: then there is no place for the newcomer either. */
bool
lc_dispatch_may_be_next (const LcRequest *request)
{
  const LcWaiting *first = lc_queue_first (request->pool->queue);

  return first == &request->waiting || is_choosy (LB_CONTAINER (first, LcRequest, waiting));
}

/* What waited while endpoints ended under the same content, here or at other instances. */
static void
keep_out (LcDispatch *dispatch, LcRequest *request, LbTime until, LbTime now, LbList *actions)
{
  LbErrorCode error = request->maybe_run ? request->last_error : LB_ERROR_QUARANTINED;

  lc_dispatch_give_up (dispatch, request, error, until - now, now, actions);
}

/* Sends a request that has been chosen for an endpoint. */
static void
place (LcDispatch *dispatch,
       LcRequest *request,
       const LcRouteDecision *decision,
       LbTime now,
       LbList *actions)
{
  const char *endpoint = decision->endpoint->member.name;
  LbTime kept_until = lc_dispatch_kept_until (dispatch, request->content, now);

  lc_queue_take (request->pool->queue, &request->waiting);
  if (kept_until > 0)
    {
      keep_out (dispatch, request, kept_until, now, actions);
      return;
    }
  if (!may_send (dispatch, request, decision->endpoint))
    {
      lc_dispatch_give_up (dispatch, request, LB_ERROR_INVARIANT, 0, now, actions);
      return;
    }
  if (request->charged && !lc_retry_budgets_allow (dispatch->budgets, endpoint))
    {
      lc_dispatch_give_up (dispatch, request, request->last_error, 0, now, actions);
      return;
    }
  if (request->charged)
    lc_retry_budgets_spend (dispatch->budgets, endpoint);
  request->charged = false;
  send_attempt (dispatch, request, decision, now, actions);
}

/* Answers what waits for a pool that takes nothing for too long. */
static void
answer_blocked (LcDispatch *dispatch, LcPoolState *pool, LbTime now, LbList *actions)
{
  LcWaiting *waiting = NULL;

  if (lc_queue_length (pool->queue) == 0)
    return;

  LbTime opens_at = lc_dispatch_opens_at (dispatch, pool);

  while ((waiting = lc_queue_first (pool->queue)))
    {
      LcRequest *request = LB_CONTAINER (waiting, LcRequest, waiting);
      LbErrorCode error = request->maybe_run ? request->last_error : LB_ERROR_NO_ENDPOINT;

      if (lc_dispatch_may_wait (request->kind, opens_at, LB_TIME_NEVER, now))
        return;
      lc_dispatch_give_up (dispatch, request, error, 0, now, actions);
    }
}

/* Sends as many waiting requests of the pool as fit. Ends at the first that fits nowhere, unless
 * that one is choosy: then others may still fit. */
void
lc_dispatch_pump (LcDispatch *dispatch, LcPoolState *pool, LbTime now, LbList *actions)
{
  LcWaiting *waiting = NULL;
  int passed_over = 0;

  while ((waiting = lc_queue_first (pool->queue)))
    {
      LcRequest *request = LB_CONTAINER (waiting, LcRequest, waiting);
      LcRouteDecision decision = choose (dispatch, request, now);

      if (decision.endpoint)
        place (dispatch, request, &decision, now, actions);
      else if (is_choosy (request) && passed_over++ < MAX_PASSED_OVER)
        lc_queue_set_aside (pool->queue, waiting);
      else
        break;
    }
  lc_queue_restore (pool->queue);
  answer_blocked (dispatch, pool, now, actions);
}

void
lc_dispatch_pump_all (LcDispatch *dispatch, LbTime now, LbList *actions)
{
  LcPoolState *next = NULL;

  dispatch->polled_at = now;
  for (int kind = 0; kind < LC_N_POOL_KINDS; kind++)
    for (LcPoolState *pool = dispatch->pools[kind]; pool; pool = next)
      {
        next = pool->hh.next;
        lc_dispatch_pump (dispatch, pool, now, actions);
      }
}

/* What a second attempt of a call costs is bounded by the budgets of retries. A text takes a place
 * that is free, once, and leaves it when either engine begins; were it paid for, the texts that
 * hang at an engine gone dark would use up the budget with the first three. */
static bool
may_hedge_at (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
{
  const char *name = endpoint->member.name;

  return request->kind == LC_KIND_SAMPLE
         || (lc_retry_budgets_allow (dispatch->budgets, request->caller)
             && lc_retry_budgets_allow (dispatch->budgets, name));
}

static void
pay_for_hedge (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
{
  if (request->kind == LC_KIND_SAMPLE)
    return;
  lc_retry_budgets_spend (dispatch->budgets, request->caller);
  lc_retry_budgets_spend (dispatch->budgets, endpoint->member.name);
}

static void
postpone_hedge (LcDispatch *dispatch, LcRequest *request, const LcAttempt *attempt, LbTime now)
{
  request->hedged = false;
  request->hedge_after = now - attempt->sent_at + HEDGE_AGAIN;
  lc_dispatch_set_timer (dispatch, request);
}

/* A second attempt elsewhere for a repeatable call that has heard nothing yet. Guards against an
 * instance that stood still itself: its timer is late then, and the first pieces of its texts, of
 * which it has hundreds, may be there, unread. */
void
lc_dispatch_hedge (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  const LcAttempt *attempt = LB_LIST_FIRST (&request->attempts, LcAttempt, link);
  LbTime due = request->due;

  /* What is usual may have changed since the timer was set. */
  lc_dispatch_set_timer (dispatch, request);
  if (!attempt || request->due > now)
    return;
  if (lc_dispatch_kept_until (dispatch, request->content, now) > 0)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  if (request->kind == LC_KIND_SAMPLE && now - due > OWN_PAUSE)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  request->hedged = true;
  lc_request_tried (request, attempt->endpoint);

  LcRouteDecision decision = route (dispatch, request, true, now);
  const LcEndpoint *endpoint = decision.endpoint;

  if (!endpoint || strcmp (endpoint->member.name, attempt->endpoint) == 0)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  if (may_hedge_at (dispatch, request, endpoint) && may_send (dispatch, request, endpoint))
    {
      pay_for_hedge (dispatch, request, endpoint);
      send_attempt (dispatch, request, &decision, now, actions);
    }
  lc_dispatch_set_timer (dispatch, request);
}

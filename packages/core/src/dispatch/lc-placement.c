#include "lc-dispatch-private.h"

#include "lc-endpoint-table.h"

#include "lb-alloc.h"

#include <string.h>

/* Waiting requests skipped in one round because no endpoint can take them now; bounds the cost of a
 * round while a pool is full. */
#define MAX_SKIPPED_PER_ROUND 16
/* Longest wait of a call for a pool whose breakers are all open. */
#define MAX_BLOCKED_WAIT (200 * LB_MSEC)
/* A sample's hedge timer that fires later than this shows that this instance itself was paused. */
#define MAX_TIMER_LATENESS (300 * LB_MSEC)
/* Delay before a hedge that found no endpoint is tried again. */
#define HEDGE_RETRY_DELAY (100 * LB_MSEC)
#define MAX_POOL_HOLD (1200 * LB_MSEC) /* slightly more than one load polling interval */

static const LcEndpointGroup *
find_group (const LcDispatch *dispatch, const LcPoolState *pool)
{
  LcEndpointKind kind = pool->kind == LC_POOL_SERVICE ? LC_ENDPOINT_SERVICE : LC_ENDPOINT_ENGINE;

  return lc_endpoints_find_group (dispatch->endpoints, kind, pool->name);
}

/* Returns the earliest time at which the breaker of some endpoint of the pool lets a request
 * through: 0 for now, LB_TIME_NEVER if no endpoint serves the pool. */
LbTime
lc_dispatch_pool_available_at (LcDispatch *dispatch, const LcPoolState *pool)
{
  const LcEndpointGroup *group = find_group (dispatch, pool);
  LbTime available_at = LB_TIME_NEVER;

  if (!pool->configured || !group)
    return LB_TIME_NEVER;
  for (size_t i = 0; i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[group->slots[i]];

      if (summary->is_excluded)
        continue;
      if (summary->endpoint->breaker != LC_BREAKER_OPEN)
        return 0;
      if (summary->endpoint->breaker_open_until < available_at)
        available_at = summary->endpoint->breaker_open_until;
    }
  return available_at;
}

/* Whether a request may wait for a pool that becomes available at that time. While all breakers of
 * a pool are open, waiting calls would pile up and hit the first endpoint that returns all at once;
 * their callers get a retry time immediately instead. Samples may wait, since no caller waits for
 * them interactively. */
bool
lc_dispatch_may_wait (LcRequestKind kind, LbTime available_at, LbTime start_deadline, LbTime now)
{
  if (available_at == LB_TIME_NEVER || available_at > start_deadline)
    return false;
  return kind == LC_KIND_SAMPLE || available_at <= now + MAX_BLOCKED_WAIT;
}

void
lc_dispatch_enqueue (LcDispatch *dispatch, LcRequest *request)
{
  LcQueueKey key = lc_request_queue_key (request);

  request->state = LC_STATE_WAITING;
  lc_queue_push (request->pool->queue, &key, &request->queue_entry);
  lc_dispatch_update_timer (dispatch, request);
}

/* Returns the time from which load reports count as current. An instance that was paused, was
 * partitioned from an endpoint or has just started may not know that the endpoint is leaving, and
 * would send it new work seconds after it had to stop. A report requested since then proves that
 * the endpoint was not leaving shortly before. */
static LbTime
reports_current_since (const LcDispatch *dispatch, LbTime now)
{
  LbTime max_age = dispatch->settings.max_report_age;

  return max_age < now ? now - max_age : 0;
}

static bool
has_current_report (const LcDispatch *dispatch, const LcPoolState *pool, LbTime since)
{
  const LcEndpointGroup *group = find_group (dispatch, pool);

  for (size_t i = 0; group && i < group->n_slots; i++)
    {
      const LcEndpointSummary *summary = &dispatch->endpoints->summaries[group->slots[i]];

      if (!summary->is_excluded && summary->reported_at >= since)
        return true;
    }
  return false;
}

/* Holds back the requests of a pool whose reports are all outdated until an endpoint reports. If
 * this instance was paused, reports arrive within milliseconds. If none arrives within
 * MAX_POOL_HOLD, the endpoints don't report their load and are used as they are. Endpoints that
 * never reported are not held: the endpoint table has already excluded them for as long. */
static LcRouteDecision
hold_or_use_outdated (LcPoolState *pool, const LcRouteDecision *outdated, LbTime now)
{
  if (!lc_endpoint_to_entry (outdated->endpoint)->is_reported)
    return *outdated;
  if (pool->held_since == 0)
    pool->held_since = now;
  if (now - pool->held_since >= MAX_POOL_HOLD)
    return *outdated;
  return (LcRouteDecision){ .reason = "view-too-old" };
}

/* Chooses among the endpoints with current reports, even if all of those are full, and among the
 * others only if there are none. */
static LcRouteDecision
route_request (LcDispatch *dispatch, const LcRequest *request, bool avoid_tried, LbTime now)
{
  LcRouteQuery query
      = lc_request_route_query (request, dispatch->settings.data_centre, avoid_tried);

  query.reported_since = reports_current_since (dispatch, now);

  LcRouteDecision decision = lc_router_choose (dispatch->router, dispatch->endpoints, &query, now);

  if (decision.endpoint)
    request->pool->held_since = 0;
  if (decision.endpoint || has_current_report (dispatch, request->pool, query.reported_since))
    return decision;
  query.reported_since = 0;
  decision = lc_router_choose (dispatch->router, dispatch->endpoints, &query, now);
  return decision.endpoint ? hold_or_use_outdated (request->pool, &decision, now) : decision;
}

static LcRouteDecision
choose_endpoint (LcDispatch *dispatch, const LcRequest *request, LbTime now)
{
  LcRouteDecision decision = route_request (dispatch, request, true, now);

  if (decision.endpoint || request->n_tried == 0)
    return decision;
  return route_request (dispatch, request, false, now);
}

/* Last check before an attempt is sent. Queued requests, retries, hedges and resumed streams are
 * all checked here, so a leaving endpoint gets none of them even if a policy chooses it by mistake,
 * and a non-repeatable call gets no second attempt while it may have run. */
static bool
may_send (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
{
  bool is_first = lb_list_is_empty (&request->attempts) && !request->may_have_run;

  return lc_dispatch_check_invariant (dispatch, !endpoint->leaving, "no-new-work-to-leaving",
                                      request->id)
         && lc_dispatch_check_invariant (dispatch, request->repeatable || is_first, "at-most-once",
                                         request->id);
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
  action->resume_at = attempt->next_offset;
  action->decision = *decision;
  LB_COPY (action->endpoint, endpoint->member.name);
  LB_COPY (action->address, endpoint->member.address);
  lc_pool_state_record_start (request->pool, request->kind);
  lc_endpoint_request_sent (endpoint, request->kind,
                            n_hashes ? request->prefix_hashes[n_hashes - 1] : 0, now);
  lc_dispatch_update_timer (dispatch, request);
}

static bool
has_constraints (const LcRequest *request)
{
  return request->min_version > 0 || request->n_avoid > 0;
}

/* False if the new request queues behind an unconstrained one that could not be placed a moment
 * ago: then the new one can't be placed either. */
bool
lc_dispatch_may_be_placed (const LcRequest *request)
{
  const LcQueueEntry *first = lc_queue_peek (request->pool->queue);

  return first == &request->queue_entry
         || has_constraints (LB_CONTAINER (first, LcRequest, queue_entry));
}

/* Fails a waiting request whose content has been quarantined since its admission, by crashes here
 * or at other instances. */
static void
fail_quarantined (
    LcDispatch *dispatch, LcRequest *request, LbTime until, LbTime now, LbList *actions)
{
  LbErrorCode error = request->may_have_run ? request->last_error : LB_ERROR_QUARANTINED;

  lc_dispatch_fail_request (dispatch, request, error, until - now, now, actions);
}

/* Sends a request to the endpoint that was chosen for it. */
static void
place_request (LcDispatch *dispatch,
               LcRequest *request,
               const LcRouteDecision *decision,
               LbTime now,
               LbList *actions)
{
  const char *endpoint = decision->endpoint->member.name;
  LbTime quarantined_until = lc_dispatch_quarantined_until (dispatch, request->content, now);

  lc_queue_dequeue (request->pool->queue, &request->queue_entry);
  if (quarantined_until > 0)
    {
      fail_quarantined (dispatch, request, quarantined_until, now, actions);
      return;
    }
  if (!may_send (dispatch, request, decision->endpoint))
    {
      lc_dispatch_fail_request (dispatch, request, LB_ERROR_INVARIANT, 0, now, actions);
      return;
    }
  if (request->retry_charged && !lc_retry_budgets_allow (dispatch->budgets, endpoint))
    {
      lc_dispatch_fail_request (dispatch, request, request->last_error, 0, now, actions);
      return;
    }
  if (request->retry_charged)
    lc_retry_budgets_spend (dispatch->budgets, endpoint);
  request->retry_charged = false;
  send_attempt (dispatch, request, decision, now, actions);
}

/* Fails the waiting requests of a pool that stays unavailable for too long. */
static void
fail_blocked (LcDispatch *dispatch, LcPoolState *pool, LbTime now, LbList *actions)
{
  LcQueueEntry *entry = NULL;

  if (lc_queue_length (pool->queue) == 0)
    return;

  LbTime available_at = lc_dispatch_pool_available_at (dispatch, pool);

  while ((entry = lc_queue_peek (pool->queue)))
    {
      LcRequest *request = LB_CONTAINER (entry, LcRequest, queue_entry);
      LbErrorCode error = request->may_have_run ? request->last_error : LB_ERROR_NO_ENDPOINT;

      if (lc_dispatch_may_wait (request->kind, available_at, LB_TIME_NEVER, now))
        return;
      lc_dispatch_fail_request (dispatch, request, error, 0, now, actions);
    }
}

/* Sends as many waiting requests of the pool as its endpoints can take. Stops at the first that
 * fits nowhere, unless that one has constraints: then others may still fit. */
void
lc_dispatch_send_waiting (LcDispatch *dispatch, LcPoolState *pool, LbTime now, LbList *actions)
{
  LcQueueEntry *entry = NULL;
  int n_skipped = 0;

  while ((entry = lc_queue_peek (pool->queue)))
    {
      LcRequest *request = LB_CONTAINER (entry, LcRequest, queue_entry);
      LcRouteDecision decision = choose_endpoint (dispatch, request, now);

      if (decision.endpoint)
        place_request (dispatch, request, &decision, now, actions);
      else if (has_constraints (request) && n_skipped++ < MAX_SKIPPED_PER_ROUND)
        lc_queue_defer (pool->queue, entry);
      else
        break;
    }
  lc_queue_restore_deferred (pool->queue);
  fail_blocked (dispatch, pool, now, actions);
}

void
lc_dispatch_send_all_waiting (LcDispatch *dispatch, LbTime now, LbList *actions)
{
  LcPoolState *next = NULL;

  dispatch->polled_at = now;
  for (int kind = 0; kind < LC_N_POOL_KINDS; kind++)
    for (LcPoolState *pool = dispatch->pools[kind]; pool; pool = next)
      {
        next = pool->hh.next;
        lc_dispatch_send_waiting (dispatch, pool, now, actions);
      }
}

/* The retry budgets bound the hedges of calls. A sample's hedge is free: it uses a slot that is
 * idle, once, and is cancelled when either engine starts. If it cost budget, the samples that hang
 * at an unresponsive engine would use it up with the first three. */
static bool
is_hedge_allowed (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
{
  const char *name = endpoint->member.name;

  return request->kind == LC_KIND_SAMPLE
         || (lc_retry_budgets_allow (dispatch->budgets, request->caller)
             && lc_retry_budgets_allow (dispatch->budgets, name));
}

static void
charge_hedge (LcDispatch *dispatch, const LcRequest *request, const LcEndpoint *endpoint)
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
  request->hedge_after = now - attempt->sent_at + HEDGE_RETRY_DELAY;
  lc_dispatch_update_timer (dispatch, request);
}

/* Sends a second attempt of a repeatable request that has not received a piece. Postpones it if
 * this instance itself was paused: the timer is then late, and first pieces of its hundreds of
 * samples may be waiting unread. */
void
lc_dispatch_try_hedge (LcDispatch *dispatch, LcRequest *request, LbTime now, LbList *actions)
{
  const LcAttempt *attempt = LB_LIST_FIRST (&request->attempts, LcAttempt, link);
  LbTime due = request->timer_due;

  /* The usual time to the first piece may have changed since the timer was set. */
  lc_dispatch_update_timer (dispatch, request);
  if (!attempt || request->timer_due > now)
    return;
  if (lc_dispatch_quarantined_until (dispatch, request->content, now) > 0)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  if (request->kind == LC_KIND_SAMPLE && now - due > MAX_TIMER_LATENESS)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  request->hedged = true;
  lc_request_add_tried (request, attempt->endpoint);

  LcRouteDecision decision = route_request (dispatch, request, true, now);
  const LcEndpoint *endpoint = decision.endpoint;

  if (!endpoint || strcmp (endpoint->member.name, attempt->endpoint) == 0)
    {
      postpone_hedge (dispatch, request, attempt, now);
      return;
    }
  if (is_hedge_allowed (dispatch, request, endpoint) && may_send (dispatch, request, endpoint))
    {
      charge_hedge (dispatch, request, endpoint);
      send_attempt (dispatch, request, &decision, now, actions);
    }
  lc_dispatch_update_timer (dispatch, request);
}
